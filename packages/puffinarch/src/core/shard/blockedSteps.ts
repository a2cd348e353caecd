/**
 * Steps that are blocked: workers have room for them, and it is kept for others, the workers rest or have just failed the
 * task, or a ticket is on its way. Each of these waits has its reason, and each ends in time only if all are counted from
 * the same moment on.
 */

import { countRuns, placesIn, placesNeeded, suits } from "./eligible.js";
import type { ShardStep, ShardTask } from "./jobBook.js";
import { isKeptFrom } from "./trials.js";
import { isOpen, roomOf, type ShardWorker } from "./workerTable.js";

/**
 * A step waits so long for kept room and for workers at rest. A job of which nothing runs for 3 s though there is room for it
 * counts as lost; what is left is for the pass and the order that start it, and for a call to the advisor that is late.
 */
export const holdPatienceMs = 2_000;

/** What is seen in a pass. */
interface Sight {
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly nowMs: number;
}

const mayRunOn = (worker: ShardWorker, step: ShardStep, { workers, nowMs }: Sight): boolean => {
    const { job } = step.occurrence;
    return (job.queue.advice === undefined || step.advice.good.has(worker.workerId))
        && isOpen(worker, nowMs, Infinity) && suits(worker, step) && !isKeptFrom(worker, job, { workers, nowMs });
};

/**
 * Tells whether workers have room for all of a step that has to start at once, were none kept for others and none at rest.
 *
 * @example
 * noteBlocked(step, isBlocked(step, { workers, nowMs }), nowMs);
 */
export const isBlocked = (step: ShardStep, sight: Sight): boolean => {
    const runs = countRuns(step);
    let needed = placesNeeded(step);
    for (const worker of sight.workers.values()) {
        const places = placesIn(roomOf(worker), step, runs.get(worker.workerId) ?? 0);
        if (places > 0 && mayRunOn(worker, step, sight)) {
            needed -= places;
        }
        if (needed <= 0) {
            return true;
        }
    }
    return false;
};

/**
 * Notes whether a step is blocked now. Its wait goes on where others have taken the room for a moment: jobs that fail by themselves
 * would else begin it anew with each of their attempts.
 *
 * @example
 * noteBlocked(step, isBlocked(step, { workers, nowMs }), nowMs);
 */
export const noteBlocked = (step: ShardStep, isNow: boolean, nowMs: number): void => {
    if (isNow) {
        step.blockedAtMs ??= nowMs - step.blockedBeforeMs;
        return;
    }
    if (step.blockedAtMs !== undefined) {
        step.blockedBeforeMs = nowMs - step.blockedAtMs;
        step.blockedAtMs = undefined;
    }
};

/**
 * Tells whether a step has been blocked for long, or will have been at the given time. One that lasts never ends before
 * those for which room is kept, so that it counts from its turn on.
 *
 * @example
 * hasWaitedLong(step, clock.monotonicMs()); // false
 */
export const hasWaitedLong = ({ spec, readyAtMs, blockedAtMs }: ShardStep, atMs: number): boolean =>
    atMs - (spec.longRunning ? readyAtMs : blockedAtMs ?? atMs) >= holdPatienceMs;

/**
 * Ends the patience of a step whose task waited for a start without an answer: it has stood for seconds already.
 *
 * @example
 * endPatience(run.task.step, clock.monotonicMs());
 */
export const endPatience = (step: ShardStep, nowMs: number): void => {
    step.blockedAtMs = Math.min(step.blockedAtMs ?? nowMs, nowMs - holdPatienceMs);
};

/**
 * Tells whether a task may go to a worker at rest. It waits anew after each failure, so that a worker which fails everything
 * does not use up its attempts at once.
 *
 * @example
 * ignoresRests(task, clock.monotonicMs()); // false
 */
export const ignoresRests = ({ step, failedOn }: ShardTask, atMs: number): boolean =>
    step.blockedAtMs !== undefined
    && atMs - Math.max(step.blockedAtMs, ...failedOn.values()) >= holdPatienceMs;
