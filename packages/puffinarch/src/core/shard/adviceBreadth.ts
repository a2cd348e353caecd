/**
 * How many workers a call to the advisor names. A call has a fixed cost beside that of each name, so that a wide step whose
 * tasks need many workers gets its tickets for less in one broad call than in several narrow ones.
 */

import type { AdviceAnswer } from "../../types/cellPorts.js";
import type { ShardStep } from "./jobBook.js";
import type { ShardSettings } from "./shardSettings.js";

/** Chooses the breadth of calls, by the share of workers that were good for a queue's steps so far. */
export interface AdviceBreadth {
    /** Most workers to name for a step of which so many tasks wait. */
    namesFor(step: ShardStep, waiting: number): number;
    /** Takes an answer about workers that nobody had asked about for the step before. */
    note(step: ShardStep, firstNamed: readonly string[], answer: AdviceAnswer): void;
}

/** Taken for queues about which nothing is known. */
const unknownShare = 0.5;
/** Weight of the newest answer: a memory of some ten calls. */
const newestWeight = 0.1;

/**
 * Makes the breadth of a shard's calls.
 *
 * @example
 * const breadth = createAdviceBreadth(settings);
 * breadth.namesFor(step, 30); // 60 before the first answer
 */
export const createAdviceBreadth = (
    { usualAdviceWorkers, maxAdviceWorkers }: Pick<ShardSettings, "usualAdviceWorkers" | "maxAdviceWorkers">,
): AdviceBreadth => {
    const goodShares = new Map<string, number>();
    const keyOf = ({ occurrence }: ShardStep): string => occurrence.job.queue.key;

    return {
        namesFor: (step, waiting) => {
            const needed = Math.ceil(waiting / Math.max(0.01, goodShares.get(keyOf(step)) ?? unknownShare));
            return Math.min(maxAdviceWorkers, Math.max(usualAdviceWorkers, needed));
        },
        note: (step, firstNamed, { good }) => {
            if (firstNamed.length === 0) {
                return;
            }
            const goodIds = new Set(good.map(({ workerId }) => workerId));
            const share = firstNamed.filter(workerId => goodIds.has(workerId)).length / firstNamed.length;
            const known = goodShares.get(keyOf(step)) ?? share;
            goodShares.set(keyOf(step), known + newestWeight * (share - known));
        },
    };
};
