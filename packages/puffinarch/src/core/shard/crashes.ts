/**
 * Workers that crash under tasks. What is lost with its worker has no end, so that the attempts of a task never run out
 * under it: one task that crashes each worker that starts it took down 4 to 8 of 40 workers for as long as its job lasted. Each
 * crash is therefore counted for the tasks that may have caused it, in the job's row.
 */

import { failureCauses } from "../../types/work.js";
import { failJob, jobOf, runPhases, type ShardJob, type ShardRun, type ShardTask } from "./jobBook.js";
import type { ShardWorker } from "./workerTable.js";

/** A run whose worker crashed so soon after its start that it may be the cause. */
export interface CrashedRun {
    readonly task: ShardTask;
    readonly run: number;
    /** When the incarnation of its worker began that crashed; undefined where that is not known. */
    readonly bornAtMs: number | undefined;
    /** Local time at which its worker fell silent. */
    readonly goneAtMs: number;
    /**
     * Its worker had said that it runs, and was seen to crash. The order for any other run may never have been carried out, and a run may
     * have ended, unread, long before a crash behind a cut link.
     */
    readonly confirmed: boolean;
    /** It had surely just started there and no task of another job had, so that nothing else there can be the cause. */
    readonly alone: boolean;
}

/**
 * A run that has been at work for this long does not crash its worker by being started; a task that lasts would else be
 * given up for the crashes of a month. As long as a lease, within which a silent worker's end is known.
 */
const soundAfterMs = 5_000;
/**
 * A task that crashes its worker by being started has done so by then. Where something was started so shortly before, it is
 * the cause, and not what had been at work for longer.
 */
export const atWorkMs = 300;
/** Workers that crash under a task by chance, or by the task beside it, until it runs by itself to tell them apart. */
const crashesToSeparate = 2;
/** A task is given up once this many workers have crashed under it, the last of them with nothing else to blame. */
const crashesToGiveUp = 3;
/** Where no worker could be found on which nothing else had just started, two more crashes have to do. */
const mostCrashes = 5;
/** A worker that crashed and is not back this long after its leases, some 17 s in all, is taken for gone. */
const verdictMs = 12_000;
/** This many workers that go down at the same moment without a task of the job speak for a cause outside of it. */
const othersToExcuse = 4;
/** No more crashes of a task are excused: five that crash their workers by themselves may do so at the same moment. */
const mostExcused = 2;

/** Whether the time at which the worker fell silent is that of its crash. */
const wasSeenToCrash = ({ silentSinceMs, connectionLost }: ShardWorker): boolean =>
    silentSinceMs === undefined || connectionLost;

/** When the run began as far as this owner knows; undefined where it took the run over and never saw it at work. */
const sinceMs = ({ sentAtMs, startedAtMs }: ShardRun): number | undefined => sentAtMs ?? startedAtMs;

/**
 * Names the runs of a worker that may have crashed it: their order was sent, not long before the worker fell silent.
 *
 * @example
 * const suspects = crashedRuns(worker, clock.monotonicMs());
 */
export const crashedRuns = (worker: ShardWorker, nowMs: number): readonly CrashedRun[] => {
    const goneAtMs = worker.silentSinceMs ?? nowMs;
    // What was sent after the worker had fallen silent cannot be why.
    const sent = [...worker.runs.values()].filter(run =>
        run.phase !== runPhases.planned && !run.absent && (sinceMs(run) ?? goneAtMs) <= goneAtMs
    );
    // When it went is known only from its silence, which a cut link shows late: what no answer has shown at work may be to blame.
    const justStarted = sent.filter(run => !run.shown || worker.answeredAtMs - (sinceMs(run) ?? -Infinity) < atWorkMs);
    const possible = justStarted.length > 0
        ? justStarted
        : sent.filter(run => goneAtMs - (sinceMs(run) ?? goneAtMs) < soundAfterMs);
    return possible.map(run => ({
        task: run.task,
        run: run.run,
        bornAtMs: worker.bornAtMs ?? run.bornAtMs,
        goneAtMs,
        confirmed: run.startedAtMs !== undefined && wasSeenToCrash(worker) || run.run === run.task.confirmedRun,
        alone: sinceMs(run) !== undefined && possible.every(other => jobOf(other) === jobOf(run)),
    }));
};

/** Starts that nobody saw end speak against a task only beside this many crashes that surely were. */
const crashesToBelieve = 2;

/** Gives the job up where its task has crashed enough workers, whatever its attempts: these count what workers say of runs that end. */
const failAfterCrashes = (task: ShardTask, alone: boolean, nowMs: number): void => {
    const { crashes, crashesExcused, crashesUnconfirmed, possibleCrashes } = task;
    const confirmed = crashes - crashesUnconfirmed;
    const counted = crashes + crashesExcused;
    const isGivenUp = confirmed >= crashesToGiveUp && alone || counted >= mostCrashes
        || confirmed >= crashesToBelieve && counted + possibleCrashes >= mostCrashes;
    if (isGivenUp) {
        const failure = { cause: failureCauses.crashes, taskName: task.name, count: counted };
        failJob(task.step.occurrence.job, failure, nowMs);
    }
};

/**
 * Counts the crash of a worker for a task; false where a later run has shown the task to be sound. `others` is the number
 * of workers that went down at the same moment without a task of its job. The job is given up where the task is the cause.
 *
 * @example
 * if (countCrash(crashed, { others: 0, nowMs: clock.monotonicMs() })) { onChange(crashed.task.step.occurrence.job); }
 */
export const countCrash = (
    { task, run, alone, confirmed }: CrashedRun,
    { others, nowMs }: { readonly others: number; readonly nowMs: number; },
): boolean => {
    if (task.done || run <= task.soundRun) {
        return false;
    }
    const excused = others >= othersToExcuse && task.crashesExcused < mostExcused;
    if (excused) {
        task.crashesExcused += 1;
    }
    else {
        task.crashes += 1;
        // A sound task whose order was lost would be given up for a worker that it never ran on.
        task.crashesUnconfirmed += confirmed ? 0 : 1;
    }
    failAfterCrashes(task, alone && confirmed && !excused, nowMs);
    return true;
};

/**
 * Counts a crash of which nobody knows whether it was: an order that may have been carried out between two answers of its worker. It
 * keeps a task that crashes its workers from being started on and on, and gives no job up without crashes that were seen. False where
 * a later run has shown the task to be sound.
 *
 * @example
 * if (countPossibleCrash(run, clock.monotonicMs())) { onChange(jobOf(run)); }
 */
export const countPossibleCrash = ({ task, run }: ShardRun, nowMs: number): boolean => {
    if (task.done || run <= task.soundRun) {
        return false;
    }
    task.possibleCrashes += 1;
    failAfterCrashes(task, false, nowMs);
    return true;
};

/**
 * Notes runs of tasks under which workers have crashed before, as their worker falls silent; gives the jobs whose rows have to tell
 * that these runs were confirmed. Their crashes would else ask for one more start of each under a successor.
 *
 * @example
 * noteConfirmed(crashedRuns(worker, nowMs)).forEach(changed);
 */
export const noteConfirmed = (runs: readonly CrashedRun[]): readonly ShardJob[] => {
    const noted = runs.filter(({ task, confirmed }) =>
        confirmed && task.crashes + task.crashesExcused + task.unresolvedLosses.length > 0
    );
    for (const { task, run } of noted) {
        task.confirmedRun = run;
    }
    return noted.map(({ task }) => task.step.occurrence.job);
};

/**
 * Tells whether a task runs by itself until it has shown that its worker stays up: enough workers have crashed under it.
 *
 * @example
 * needsTrial(task); // false for a task that was started once
 */
export const needsTrial = ({ crashes, unresolvedLosses }: ShardTask): boolean =>
    crashes + unresolvedLosses.length >= crashesToSeparate;

/**
 * Tells whether a task waits to know whether a worker crashed under it: it might be started too often. A worker that does
 * not come back is not waited for longer than most take.
 *
 * @example
 * if (awaitsVerdict(task, clock.monotonicMs())) { return; }
 */
export const awaitsVerdict = ({ crashes, crashesExcused, unresolvedLosses }: ShardTask, nowMs: number): boolean => {
    const open = unresolvedLosses.filter(({ lostAtMs }) => nowMs - lostAtMs < verdictMs).length;
    return open > 0 && crashes + crashesExcused + open >= crashesToGiveUp;
};

/**
 * Tells whether one more crash beside others might end a job whose task is not the cause.
 *
 * @example
 * isNearEnd(task); // false for a task that was started once
 */
export const isNearEnd = ({ crashes, crashesExcused }: ShardTask): boolean =>
    crashes >= crashesToGiveUp || crashes + crashesExcused >= mostCrashes - 1;

/**
 * Takes note of a run at work; true where it has been for so long that what had been counted for its task is forgotten.
 *
 * @example
 * if (showSound(run, clock.monotonicMs())) { onChange(job); }
 */
export const showSound = (run: ShardRun, nowMs: number): boolean => {
    const { task } = run;
    const counted = task.crashes + task.crashesExcused + task.possibleCrashes;
    if (counted === 0 || nowMs - (sinceMs(run) ?? nowMs) < soundAfterMs) {
        return false;
    }
    task.crashes = 0;
    task.crashesExcused = 0;
    task.crashesUnconfirmed = 0;
    task.possibleCrashes = 0;
    task.soundRun = run.run;
    return true;
};
