/** Decides when to request advice for a step that is not ready yet, so that it has tickets once it is. */

import type { ShardStep } from "./jobModel.js";

/** Calls with a fixed cost below this are made as soon as all tasks of the preceding steps have started. */
const quickCostMs = 150;
/**
 * Largest estimate of a preceding step, as a share of the validity of tickets, for which such an early call is made. Estimates
 * may be off by half, and tickets would expire before they are used.
 */
const maxEstimateShare = 0.6;
/** Share of the preceding steps' tasks that may still be open when any other call is made. */
const maxOpenShare = 0.25;

const countPredecessorTasks = (
    { spec, occurrence }: ShardStep,
): { readonly open: number; readonly all: number; readonly waiting: number; } => {
    let open = 0;
    let all = 0;
    let waiting = 0;
    for (const number of spec.after) {
        const predecessor = occurrence.steps[number];
        open += predecessor?.open ?? 0;
        all += predecessor?.spec.count ?? 0;
        waiting += predecessor?.tasks.filter(task => !task.done && task.runs.length === 0).length ?? 0;
    }
    return { open, all, waiting };
};

/**
 * Tells whether to request advice now for a step that waits for preceding steps.
 *
 * @example
 * if (shouldRequestAhead(step)) { requester.requestAhead(step, view, nowMs); }
 */
export const shouldRequestAhead = (step: ShardStep): boolean => {
    const terms = step.occurrence.job.queue.advice;
    if (terms === undefined || step.advice.inFlight || step.advice.askedWorkerIds.size > 0) {
        return false;
    }
    const { open, all, waiting } = countPredecessorTasks(step);
    if (waiting > 0) {
        return false;
    }
    const longestMs = Math.max(...step.spec.after.map(number => step.occurrence.steps[number]?.spec.estimateMs ?? 0));
    return terms.decideMs < quickCostMs && longestMs < maxEstimateShare * terms.validMs || open <= maxOpenShare * all;
};
