/**
 * Restarts, at little risk to other runs, tasks under which workers have crashed. Once a worker has crashed under a step, one
 * task of the step is started at a time until one is at work (see `isAtWork`). Once two have crashed under a task, it is on
 * trial: it runs on a worker by itself until it is at work.
 */

import { atWorkMs, awaitsCrashConfirmation, isNearCrashLimit, needsTrial } from "./crashes.js";
import { jobOf, runPhases, type ShardJob, type ShardRun, type ShardStep, type ShardTask } from "./jobModel.js";
import { runKey, type ShardWorker } from "./workerTable.js";

/**
 * A task on trial that has waited this long for a worker by itself may share one: the delay of its job costs more than a
 * crash there.
 */
const maxTrialWaitMs = 1_500;
/**
 * The same for a task whose job may fail at the next crash even if another run on the worker causes it: within this longer
 * wait, other tasks of about a second have ended. It leaves time for the start itself, since a job of which nothing runs for
 * 3 s although capacity is free counts as lost.
 */
const maxTrialWaitNearLimitMs = 2_000;
/**
 * While no task of a step is known to be sound, the step goes on with at most this many workers silent since they were sent a
 * task of it; once a worker has surely crashed under it, with none.
 */
const maxSilentWorkers = 1;
/** Largest share of the workers that is reserved for trials at any time. */
const maxHeldShare = 0.25;

/** The workers at one moment. */
interface WorkerSnapshot {
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly nowMs: number;
}

/** Whether a run has been running for `atWorkMs` on a worker that answers, and so did not crash it on start. */
const isAtWork = (run: ShardRun, { workers, nowMs }: WorkerSnapshot): boolean =>
    run.phase === runPhases.running && run.startedAtMs !== undefined && nowMs - run.startedAtMs >= atWorkMs
    && workers.get(run.workerId)?.silentLooks === 0;

/**
 * Tells whether a worker fell silent less than `atWorkMs` after a run's start was sent. The task may have crashed it, and a
 * second copy might crash another worker.
 *
 * @example
 * if (fellSilentAtStart(run, worker)) { return; }
 */
export const fellSilentAtStart = ({ sentAtMs }: ShardRun, { silentSinceMs }: ShardWorker): boolean =>
    silentSinceMs !== undefined && sentAtMs !== undefined && silentSinceMs - sentAtMs < atWorkMs;

const hasCrashed = ({ crashes }: ShardTask): boolean => crashes > 0;

/** Whether a task of the step is done or at work, so that not every task of it crashes its worker. */
const hasSoundTask = ({ tasks }: ShardStep, snapshot: WorkerSnapshot): boolean =>
    tasks.some(task => task.done || task.runs.some(run => isAtWork(run, snapshot)));

/** Workers that fell silent just after they were sent runs of the step. Whether they crashed is known some seconds later. */
const workersSilentSinceStart = ({ tasks }: ShardStep, { workers }: WorkerSnapshot): ReadonlySet<string> => {
    const silent = new Set<string>();
    for (const task of tasks) {
        for (const run of task.runs) {
            const worker = workers.get(run.workerId);
            if (worker !== undefined && fellSilentAtStart(run, worker)) {
                silent.add(worker.workerId);
            }
        }
    }
    return silent;
};

/**
 * The task to start next: the one with most crashes, then with fewest failures, since a task that fails by itself shows
 * nothing about the other tasks of its step, which wait for the outcome.
 */
const firstToRetry = (tasks: readonly ShardTask[]): readonly ShardTask[] =>
    [...tasks].sort((left, right) => right.crashes - left.crashes || left.failures - right.failures).slice(0, 1);

/**
 * Returns those of a step's waiting tasks that may be started now.
 *
 * @example
 * for (const task of startableTasks(step, waiting, { workers, nowMs })) { place(task); }
 */
export const startableTasks = (
    step: ShardStep,
    all: readonly ShardTask[],
    snapshot: WorkerSnapshot,
): readonly ShardTask[] => {
    const waiting = all.filter(task => !awaitsCrashConfirmation(task, snapshot.nowMs));
    if (step.spec.gang) {
        return waiting;
    }
    const silent = workersSilentSinceStart(step, snapshot);
    const suspect = isSuspect(step);
    if (silent.size === 0 && !suspect) {
        return waiting;
    }
    const live = step.tasks.flatMap(task => task.runs).filter(run =>
        !run.absent && !isAtWork(run, snapshot) && !silent.has(run.workerId)
    );
    if (!hasSoundTask(step, snapshot)) {
        const tooMany = silent.size > (suspect ? 0 : maxSilentWorkers);
        return live.length > 0 || tooMany ? [] : firstToRetry(waiting);
    }
    const onTrial = live.some(run => needsTrial(run.task));
    return [
        ...onTrial ? [] : firstToRetry(waiting.filter(needsTrial)),
        ...waiting.filter(task => !needsTrial(task)),
    ];
};

/**
 * Tells whether a worker must not start tasks of a job, since it is reserved for the trial of another job or runs a task of one
 * on trial.
 *
 * @example
 * isBlockedByTrial(worker, step.occurrence.job, { workers, nowMs });
 */
export const isBlockedByTrial = (
    { trial, trialHold, runs }: ShardWorker,
    job: ShardJob,
    snapshot: WorkerSnapshot,
): boolean => {
    if (trialHold !== undefined && trialHold.job !== job && snapshot.nowMs < trialHold.untilMs) {
        return true;
    }
    return trial !== undefined && !trial.absent && jobOf(trial) !== job && runs.has(runKey(trial.task.name, trial.run))
        && !isAtWork(trial, snapshot);
};

const maxTrialWaitMsOf = (task: ShardTask): number => isNearCrashLimit(task) ? maxTrialWaitNearLimitMs : maxTrialWaitMs;

/**
 * Whether a start to the worker went unanswered so recently that it may still be in flight, and be carried out by the next
 * incarnation.
 */
const lostOrderRecently = ({ unansweredStarts, startUnansweredAtMs }: ShardWorker, nowMs: number): boolean =>
    unansweredStarts > 0 && nowMs - startUnansweredAtMs < maxTrialWaitMs;

/**
 * Tells whether a task may run on a worker as far as trials are concerned: it is not on trial, no other job runs there, or it
 * has waited too long. A task under which a worker has crashed is not sent to a worker that has just lost a start: the start
 * might be carried out late and crash the worker unnoticed.
 *
 * @example
 * allowsTrial(worker, task, clock.monotonicMs());
 */
export const allowsTrial = (worker: ShardWorker, task: ShardTask, nowMs: number): boolean => {
    if (hasCrashed(task) && lostOrderRecently(worker, nowMs)) {
        return false;
    }
    if (!needsTrial(task) || nowMs - (task.trialWantedAtMs ?? nowMs) >= maxTrialWaitMsOf(task)) {
        return true;
    }
    const { job } = task.step.occurrence;
    return countOtherRuns(worker, job) === 0;
};

/** Counts the runs of other jobs on a worker. Absent runs take no part: the worker rejects them. */
const countOtherRuns = ({ runs }: ShardWorker, job: ShardJob): number =>
    [...runs.values()].filter(run => jobOf(run) !== job && !run.absent).length;

/** Whether all runs on a worker end by themselves, so that it becomes empty if nothing more is started there. */
const hasNoLongRunningRuns = ({ runs }: ShardWorker): boolean =>
    [...runs.values()].every(({ task, absent }) => absent || !task.step.spec.longRunning);

/**
 * Reserves a worker for a task on trial until no other job runs there: the candidate with the fewest runs of other jobs. Does
 * nothing while a worker is reserved for the job already, or too many are reserved.
 *
 * @example
 * holdForTrial(task, candidates, { workers, nowMs });
 */
export const holdForTrial = (task: ShardTask, candidates: readonly ShardWorker[], snapshot: WorkerSnapshot): void => {
    const { job } = task.step.occurrence;
    const { workers, nowMs } = snapshot;
    const isHeld = ({ trialHold }: ShardWorker): boolean => trialHold !== undefined && nowMs < trialHold.untilMs;
    const held = [...workers.values()].filter(isHeld);
    if (
        held.some(({ trialHold }) => trialHold?.job === job) || held.length >= Math.max(1, maxHeldShare * workers.size)
    ) {
        return;
    }
    const able = candidates.filter(worker =>
        !isHeld(worker) && hasNoLongRunningRuns(worker) && !isBlockedByTrial(worker, job, snapshot)
    )
        .sort((left, right) => countOtherRuns(left, job) - countOtherRuns(right, job));
    const [chosen] = able;
    if (chosen !== undefined) {
        chosen.trialHold = { job, untilMs: (task.trialWantedAtMs ?? nowMs) + maxTrialWaitMsOf(task) };
    }
};

/**
 * Tells whether a worker has crashed under any task of the step.
 *
 * @example
 * isSuspect(step); // false for a step none of whose workers crashed
 */
export const isSuspect = ({ tasks }: ShardStep): boolean => tasks.some(hasCrashed);

/**
 * Rates, as n/(n+1), the number n of runs that a crash on a worker would put at risk or that may cause one: all runs of other
 * jobs for a suspect step, and only those of tasks under which workers have crashed for any other step.
 *
 * @example
 * const value = -crashExposureOf(worker, job, isSuspect(step));
 */
export const crashExposureOf = ({ runs }: ShardWorker, job: ShardJob, suspect: boolean): number => {
    let harmed = 0;
    for (const run of runs.values()) {
        if (jobOf(run) !== job && !run.absent && (suspect || hasCrashed(run.task))) {
            harmed += 1;
        }
    }
    return harmed / (harmed + 1);
};
