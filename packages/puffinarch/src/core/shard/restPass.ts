/**
 * When a step may use workers at rest. Workers rest after failures that may be the fault of the tasks themselves, and each window
 * between two rests may be taken by other steps: a step that finds room on workers at rest only would stand without a bound.
 */

import type { ShardStep, ShardTask } from "./jobBook.js";

/**
 * A step waits so long for workers at rest. A task may stand for 3 s with room for it; what is left is for the pass and
 * the order that start it, and for a call to the advisor that is late.
 */
const restPatienceMs = 2_000;

/** Passes follow far more closely; a wait that none has seen for so long is over, as there was no room or another worker. */
const unseenMs = 1_000;

/**
 * Notes that a task of the step finds room, at this moment, on workers at rest and on no other.
 *
 * @example
 * noteRestWait(step, clock.monotonicMs());
 */
export const noteRestWait = (step: ShardStep, nowMs: number): void => {
    const { restWait } = step;
    const goesOn = restWait !== undefined && nowMs - restWait.seenAtMs <= unseenMs;
    step.restWait = { sinceMs: goesOn ? restWait.sinceMs : nowMs, seenAtMs: nowMs };
};

/**
 * Tells whether a task has waited for workers at rest for long enough, or will have at the given time. It waits anew after each
 * failure, so that a worker which fails everything does not use up its attempts at once.
 *
 * @example
 * passesRests(task, clock.monotonicMs()); // false
 */
export const passesRests = ({ step, failedOn }: ShardTask, atMs: number): boolean =>
    step.restWait !== undefined
    && atMs - Math.max(step.restWait.sinceMs, ...failedOn.values()) >= restPatienceMs;
