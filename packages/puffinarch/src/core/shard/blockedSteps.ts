/**
 * Steps that are blocked: workers have free capacity for them, but it is reserved for other steps, the workers are resting
 * (no new work for a while after failures) or have just failed the task, or a ticket is missing. These waits may follow one
 * another, so all are counted from the same moment; counted separately, they could add up to more than a job may wait.
 */

import { countRuns, countTasksThatFit, isApproved, isEligible, minTasksToStart } from "./eligible.js";
import type { ShardStep, ShardTask } from "./jobModel.js";
import { isBlockedByTrial } from "./trials.js";
import { freeCapacityOf, isOpen, type ShardWorker } from "./workerTable.js";

/**
 * How long a step waits for reserved capacity and for resting workers. A job of which nothing runs for 3 s although capacity is
 * free counts as lost; the remaining second covers the pass, the start order and a late call to the advisor.
 */
export const maxBlockedMs = 2_000;

/** The workers and the local time of a pass. */
interface PassSnapshot {
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly nowMs: number;
    /** The only workers that may have capacity for a waiting task; all workers if it is left out. */
    readonly roomy?: readonly ShardWorker[] | undefined;
}

const isUsable = (worker: ShardWorker, step: ShardStep, { workers, nowMs }: PassSnapshot): boolean => {
    const { job } = step.occurrence;
    return isApproved(worker, step) && isOpen(worker, nowMs, Infinity) && isEligible(worker, step)
        && !isBlockedByTrial(worker, job, { workers, nowMs });
};

/**
 * Tells whether workers have capacity for all tasks of a step that must start together, ignoring reservations and whether the workers rest.
 *
 * @example
 * recordBlocked(step, isBlocked(step, { workers, nowMs }), nowMs);
 */
export const isBlocked = (step: ShardStep, snapshot: PassSnapshot): boolean => {
    const runs = countRuns(step);
    let needed = minTasksToStart(step);
    for (const worker of snapshot.roomy ?? snapshot.workers.values()) {
        if (!isUsable(worker, step, snapshot)) {
            continue;
        }
        needed -= countTasksThatFit(freeCapacityOf(worker), step, runs.get(worker.workerId) ?? 0);
        if (needed <= 0) {
            return true;
        }
    }
    return false;
};

/**
 * Records whether a step is blocked now. Its wait resumes after other jobs took the capacity for a moment: otherwise each
 * attempt of a job that always fails would restart it.
 *
 * @example
 * recordBlocked(step, isBlocked(step, { workers, nowMs }), nowMs);
 */
export const recordBlocked = (step: ShardStep, blocked: boolean, nowMs: number): void => {
    if (blocked) {
        step.blockedAtMs ??= nowMs - step.blockedBeforeMs;
        return;
    }
    if (step.blockedAtMs !== undefined) {
        step.blockedBeforeMs = nowMs - step.blockedAtMs;
        step.blockedAtMs = undefined;
    }
};

/**
 * Tells whether a step has been blocked for long, or will have been at the given time. A long-running step never ends before
 * reserved capacity is needed, so that its time counts from when it became ready.
 *
 * @example
 * isBlockedLong(step, clock.monotonicMs()); // false
 */
export const isBlockedLong = ({ spec, readyAtMs, blockedAtMs }: ShardStep, atMs: number): boolean =>
    atMs - (spec.longRunning ? readyAtMs : blockedAtMs ?? atMs) >= maxBlockedMs;

/**
 * Makes a step count as blocked for long, since a task of it has already waited for seconds for a start without an answer.
 *
 * @example
 * markBlockedLong(run.task.step, clock.monotonicMs());
 */
export const markBlockedLong = (step: ShardStep, nowMs: number): void => {
    step.blockedAtMs = Math.min(step.blockedAtMs ?? nowMs, nowMs - maxBlockedMs);
};

/**
 * Tells whether a task may run on a resting worker. Its wait restarts after each failure, so that a worker that fails every
 * run does not use up its attempts at once.
 *
 * @example
 * mayUseRestingWorkers(task, clock.monotonicMs()); // false
 */
export const mayUseRestingWorkers = ({ step, failedOn }: ShardTask, atMs: number): boolean =>
    step.blockedAtMs !== undefined
    && atMs - Math.max(step.blockedAtMs, ...failedOn.values()) >= maxBlockedMs;
