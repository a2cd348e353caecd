/**
 * Chooses how many workers a call to the advisor names. A call has a fixed cost beside the cost of each name, so that a step
 * with many tasks gets its tickets at less cost in one call with many names than in several smaller ones.
 */

import type { AdviceAnswer } from "../../types/cellPorts.js";
import type { ShardStep } from "./jobModel.js";
import type { ShardSettings } from "./shardSettings.js";

/** Chooses the number of names from the share of named workers that the advisor has approved for a queue's steps so far. */
export interface AdviceCallSizer {
    /** Gives the maximum number of workers to name for a step with this number of waiting tasks. */
    namesFor(step: ShardStep, waiting: number): number;
    /** Records an answer; `firstNamed` are the workers that were named for the step for the first time. */
    recordAnswer(step: ShardStep, firstNamed: readonly string[], answer: AdviceAnswer): void;
}

/** Approved share that is assumed for queues without answers. */
const unknownShare = 0.5;
/** Weight of the newest answer in the moving average, which thus covers about ten calls. */
const newestWeight = 0.1;

/**
 * Creates the chooser of call sizes for a shard.
 *
 * @example
 * const sizer = createAdviceCallSizer(settings);
 * sizer.namesFor(step, 30); // 60 before the first answer
 */
export const createAdviceCallSizer = (
    { usualAdviceWorkers, maxAdviceWorkers }: Pick<ShardSettings, "usualAdviceWorkers" | "maxAdviceWorkers">,
): AdviceCallSizer => {
    const approvedShares = new Map<string, number>();
    const keyOf = ({ occurrence }: ShardStep): string => occurrence.job.queue.key;

    return {
        namesFor: (step, waiting) => {
            const needed = Math.ceil(waiting / Math.max(0.01, approvedShares.get(keyOf(step)) ?? unknownShare));
            return Math.min(maxAdviceWorkers, Math.max(usualAdviceWorkers, needed));
        },
        recordAnswer: (step, firstNamed, { good }) => {
            if (firstNamed.length === 0) {
                return;
            }
            const goodIds = new Set(good.map(({ workerId }) => workerId));
            const share = firstNamed.filter(workerId => goodIds.has(workerId)).length / firstNamed.length;
            const known = approvedShares.get(keyOf(step)) ?? share;
            approvedShares.set(keyOf(step), known + newestWeight * (share - known));
        },
    };
};
