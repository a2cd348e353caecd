/** Whether capacity is short: whether a waiting step has lately found no worker with capacity for it. */

import { countRuns, countTasksThatFit, isEligible, minTasksToStart } from "./eligible.js";
import type { ShardStep } from "./jobModel.js";
import { freeCapacityOf, isOpen, type ShardWorker } from "./workerTable.js";

/** Whether capacity is short, by what waiting steps have found. */
export interface Shortage {
    /** Records that a step has tasks that found no worker, for lack of capacity or of a ticket. */
    recordWait(step: ShardStep, nowMs: number): void;
    /** Records that a step was kept from capacity that is left for others. */
    recordKeptBack(nowMs: number): void;
    /** Whether a step found no capacity within the last second. */
    isShort(nowMs: number): boolean;
}

/** Capacity counts as short for this long after a step found none; under load a pass takes place every few milliseconds. */
const shortForMs = 1_000;
/** A shortage is confirmed by another search for free capacity at most this often. */
const confirmIntervalMs = 100;

/**
 * Tells whether workers have capacity for all tasks of a step that must start together, whether or not the advisor approves them.
 *
 * @example
 * hasCapacityFor(step, workers, clock.monotonicMs()); // false while all workers are full
 */
export const hasCapacityFor = (
    step: ShardStep,
    workers: ReadonlyMap<string, ShardWorker>,
    nowMs: number,
): boolean => {
    const runs = countRuns(step);
    let needed = minTasksToStart(step);
    for (const worker of workers.values()) {
        if (isOpen(worker, nowMs) && isEligible(worker, step)) {
            needed -= countTasksThatFit(freeCapacityOf(worker), step, runs.get(worker.workerId) ?? 0);
        }
        if (needed <= 0) {
            return true;
        }
    }
    return false;
};

/**
 * Creates the record of a placer; capacity is not short at first.
 *
 * @example
 * const shortage = createShortage(workers);
 * shortage.recordWait(step, clock.monotonicMs());
 * shortage.isShort(clock.monotonicMs());
 */
export const createShortage = (workers: ReadonlyMap<string, ShardWorker>): Shortage => {
    let seenAtMs = -Infinity;
    return {
        recordWait: (step, nowMs) => {
            if (nowMs - seenAtMs >= confirmIntervalMs && !hasCapacityFor(step, workers, nowMs)) {
                seenAtMs = nowMs;
            }
        },
        recordKeptBack: nowMs => {
            seenAtMs = nowMs;
        },
        isShort: nowMs => nowMs - seenAtMs < shortForMs,
    };
};
