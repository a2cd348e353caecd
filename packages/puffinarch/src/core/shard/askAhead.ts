/** When to ask the advisor about a step that is not ready yet, so that its tickets are there when its turn comes. */

import type { ShardStep } from "./jobBook.js";

/** A call that costs less than this is asked for as soon as the steps before have started. */
const quickCostMs = 150;
/** The estimate may be off by half; beyond this share of the tickets' validity they would end too soon. */
const estimateShare = 0.6;
/** Share of the tasks before that may still be open when a dear call is made. */
const openShare = 0.25;

const openBefore = (
    { spec, occurrence }: ShardStep,
): { readonly open: number; readonly all: number; readonly waiting: number; } => {
    let open = 0;
    let all = 0;
    let waiting = 0;
    for (const number of spec.after) {
        const before = occurrence.steps[number];
        open += before?.open ?? 0;
        all += before?.spec.count ?? 0;
        waiting += before?.tasks.filter(task => !task.done && task.runs.length === 0).length ?? 0;
    }
    return { open, all, waiting };
};

/**
 * Tells whether now is the time to ask about a step that waits for others.
 *
 * @example
 * if (isTimeToAsk(step)) { ask(step); }
 */
export const isTimeToAsk = (step: ShardStep): boolean => {
    const terms = step.occurrence.job.queue.advice;
    if (terms === undefined || step.advice.inFlight || step.advice.asked.size > 0) {
        return false;
    }
    const { open, all, waiting } = openBefore(step);
    if (waiting > 0) {
        return false;
    }
    const longestMs = Math.max(...step.spec.after.map(number => step.occurrence.steps[number]?.spec.estimateMs ?? 0));
    return terms.decideMs < quickCostMs && longestMs < estimateShare * terms.validMs || open <= openShare * all;
};
