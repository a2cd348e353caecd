/**
 * Counts worker crashes against the tasks that may have caused them. A run that is lost with its worker has no end and uses
 * up no attempt: without these counts, one task that crashes each worker that starts it keeps 4 to 8 of 40 workers down for as
 * long as its job lasts. The counts are part of the job's row.
 */

import { failureCauses } from "../../types/work.js";
import { failJob, jobOf, runPhases, type ShardJob, type ShardRun, type ShardTask } from "./jobModel.js";
import type { ShardWorker } from "./workerTable.js";

/** A run that may have crashed its worker, since the worker crashed so soon after the run's start. */
export interface CrashedRun {
    readonly task: ShardTask;
    readonly run: number;
    /** When the crashed incarnation of its worker began; undefined where that is not known. */
    readonly bornAtMs: number | undefined;
    /** Local time at which its worker fell silent. */
    readonly goneAtMs: number;
    /**
     * Its worker had reported it as running, and was seen to crash. The start of any other run may never have been carried
     * out, or the run may have ended, unreported, long before a crash behind a broken network link.
     */
    readonly confirmed: boolean;
    /** It had surely just started there and no task of another job had, so that nothing else there can be the cause. */
    readonly alone: boolean;
}

/**
 * A run that lasts this long shows that its task does not crash workers on start, and clears the task's crash counts; otherwise
 * unrelated crashes over a month would add up and fail a long-running task. It equals the duration of a lease, within which the
 * end of a silent worker is known.
 */
const soundAfterMs = 5_000;
/**
 * A task that crashes its worker on start does so within this time. Runs that had been at work for longer when their worker
 * crashed are not counted where others had just started.
 */
export const atWorkMs = 300;
/**
 * After this many crashes a task runs on a worker by itself, to tell whether it is the cause, rather than chance or a task
 * beside it.
 */
const crashesForTrial = 2;
/** A task is given up once this many workers have surely crashed under it, the last of them with no other possible cause. */
const crashesToGiveUp = 3;
/** A task is given up at this many crashes even if other tasks had just started on each of the workers too. */
const maxCrashes = 5;
/** A silent worker that is not back this long after its leases ended, some 17 s in all, is no longer waited for. */
const maxConfirmationWaitMs = 12_000;
/**
 * A crash is excused where at least this many other workers went down at the same moment without a task of the job: the cause
 * is outside of it.
 */
const minOthersToExcuse = 4;
/** Most crashes of a task that are excused: five tasks that each crash their worker may do so at the same moment. */
const maxExcusedCrashes = 2;

/** Whether the time of the worker's crash is known: it restarted before a look failed, or its connection was lost. */
const wasSeenToCrash = ({ silentSinceMs, connectionLost }: ShardWorker): boolean =>
    silentSinceMs === undefined || connectionLost;

/**
 * Local time at which the run began, as far as this owner knows; undefined for a run of a former owner that no look has shown
 * at work.
 */
const beganAtMs = ({ sentAtMs, startedAtMs }: ShardRun): number | undefined => sentAtMs ?? startedAtMs;

/**
 * Returns the runs that may have crashed a worker: those that had just been started when it fell silent, or else those at
 * work for less than `soundAfterMs` by then.
 *
 * @example
 * const suspects = crashedRuns(worker, clock.monotonicMs());
 */
export const crashedRuns = (worker: ShardWorker, nowMs: number): readonly CrashedRun[] => {
    const goneAtMs = worker.silentSinceMs ?? nowMs;
    // A run sent after the worker fell silent cannot be the cause.
    const sent = [...worker.runs.values()].filter(run =>
        run.phase !== runPhases.planned && !run.absent && (beganAtMs(run) ?? goneAtMs) <= goneAtMs
    );
    // Over a broken link the silence is noticed long after the crash, so runs that no look has shown at work are suspects too.
    const justStarted = sent.filter(run =>
        !run.wasListed || worker.answeredAtMs - (beganAtMs(run) ?? -Infinity) < atWorkMs
    );
    const possible = justStarted.length > 0
        ? justStarted
        : sent.filter(run => goneAtMs - (beganAtMs(run) ?? goneAtMs) < soundAfterMs);
    return possible.map(run => ({
        task: run.task,
        run: run.run,
        bornAtMs: worker.bornAtMs ?? run.bornAtMs,
        goneAtMs,
        confirmed: run.startedAtMs !== undefined && wasSeenToCrash(worker) || run.run === run.task.confirmedRun,
        alone: beganAtMs(run) !== undefined && possible.every(other => jobOf(other) === jobOf(run)),
    }));
};

/** Possible crashes count towards giving a task up only besides at least this many confirmed ones. */
const minConfirmedCrashes = 2;

/** Fails the job once its task has crashed too many workers. Attempts do not matter here: they count only ends that workers report. */
const failAfterCrashes = (task: ShardTask, alone: boolean, nowMs: number): void => {
    const { crashes, crashesExcused, crashesUnconfirmed, possibleCrashes } = task;
    const confirmed = crashes - crashesUnconfirmed;
    const counted = crashes + crashesExcused;
    const isGivenUp = confirmed >= crashesToGiveUp && alone || counted >= maxCrashes
        || confirmed >= minConfirmedCrashes && counted + possibleCrashes >= maxCrashes;
    if (isGivenUp) {
        const failure = { cause: failureCauses.crashes, taskName: task.name, count: counted };
        failJob(task.step.occurrence.job, failure, nowMs);
    }
};

/**
 * Counts the crash of a worker against a task, and fails the job where the task is the cause. `others` is the number of
 * workers that went down at the same moment without a task of its job. Returns false where the task is done or a later run
 * has shown it to be sound.
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
    const excused = others >= minOthersToExcuse && task.crashesExcused < maxExcusedCrashes;
    if (excused) {
        task.crashesExcused += 1;
    }
    else {
        task.crashes += 1;
        // Counted separately, so that a sound task whose start was lost is not given up for a worker on which it never ran.
        task.crashesUnconfirmed += confirmed ? 0 : 1;
    }
    failAfterCrashes(task, alone && confirmed && !excused, nowMs);
    return true;
};

/**
 * Counts a crash that may not have happened: the start may have been carried out by an incarnation that crashed between two
 * answers of its worker. Such counts limit the starts of a task that crashes its workers, but fail no job without confirmed
 * crashes. Returns false where the task is done or a later run has shown it to be sound.
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
 * Records the confirmed runs, on a worker that falls silent, of tasks under which workers have crashed before. Returns the
 * jobs whose rows have to be written: a successor that did not know these crashes as confirmed would start each task once
 * more.
 *
 * @example
 * recordConfirmedRuns(crashedRuns(worker, nowMs)).forEach(changed);
 */
export const recordConfirmedRuns = (runs: readonly CrashedRun[]): readonly ShardJob[] => {
    const recorded = runs.filter(({ task, confirmed }) =>
        confirmed && task.crashes + task.crashesExcused + task.unresolvedLosses.length > 0
    );
    for (const { task, run } of recorded) {
        task.confirmedRun = run;
    }
    return recorded.map(({ task }) => task.step.occurrence.job);
};

/**
 * Tells whether a task has to run on a worker by itself, since enough workers have crashed under it and no run has shown it
 * to be sound.
 *
 * @example
 * needsTrial(task); // false for a task that was started once
 */
export const needsTrial = ({ crashes, unresolvedLosses }: ShardTask): boolean =>
    crashes + unresolvedLosses.length >= crashesForTrial;

/**
 * Tells whether a task must wait until it is known whether its lost workers crashed, since one more start might crash one too
 * many. Workers that stay away for longer than most crashed ones are not waited for.
 *
 * @example
 * if (awaitsCrashConfirmation(task, clock.monotonicMs())) { return; }
 */
export const awaitsCrashConfirmation = (
    { crashes, crashesExcused, unresolvedLosses }: ShardTask,
    nowMs: number,
): boolean => {
    const open = unresolvedLosses.filter(({ lostAtMs }) => nowMs - lostAtMs < maxConfirmationWaitMs).length;
    return open > 0 && crashes + crashesExcused + open >= crashesToGiveUp;
};

/**
 * Tells whether one more crash might fail the job even if tasks beside this one are the cause.
 *
 * @example
 * isNearCrashLimit(task); // false for a task that was started once
 */
export const isNearCrashLimit = ({ crashes, crashesExcused }: ShardTask): boolean =>
    crashes >= crashesToGiveUp || crashes + crashesExcused >= maxCrashes - 1;

/**
 * Clears the crash counts of a task whose run has been at work long enough to be sound; returns true where there was
 * something to clear.
 *
 * @example
 * if (clearCrashesIfSound(run, clock.monotonicMs())) { onChange(job); }
 */
export const clearCrashesIfSound = (run: ShardRun, nowMs: number): boolean => {
    const { task } = run;
    const counted = task.crashes + task.crashesExcused + task.possibleCrashes;
    if (counted === 0 || nowMs - (beganAtMs(run) ?? nowMs) < soundAfterMs) {
        return false;
    }
    task.crashes = 0;
    task.crashesExcused = 0;
    task.crashesUnconfirmed = 0;
    task.possibleCrashes = 0;
    task.soundRun = run.run;
    return true;
};
