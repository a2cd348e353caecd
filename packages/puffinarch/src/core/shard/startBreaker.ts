/**
 * Circuit breaker for the starts of one worker. A worker that answers looks may still lose orders, or carry them out seconds
 * late: each one costs its task the wait for an answer, and may reach a worker that has restarted meanwhile.
 */

import { runPhases } from "./jobBook.js";
import type { ShardWorker } from "./workerTable.js";

/** A connection that was lost costs no more than this, and the next start takes another one. */
const shortestOpenMs = 100;
/** With a call to the advisor it stays below the 3 s for which an accepted task may stand beside room. */
const longestOpenMs = 1_500;

/**
 * Notes that the worker answered a start, which closes the breaker.
 *
 * @example
 * noteStartAnswered(worker);
 */
export const noteStartAnswered = (worker: ShardWorker): void => {
    worker.unansweredStarts = 0;
    worker.unansweredOrder = undefined;
};

/**
 * Notes a start that got no answer. Starts that were under way together count as one failure.
 *
 * @example
 * noteStartUnanswered(worker, run.sentAtMs, clock.monotonicMs());
 */
export const noteStartUnanswered = (worker: ShardWorker, sentAtMs: number, nowMs: number): void => {
    if (worker.unansweredStarts > 0 && sentAtMs <= worker.startUnansweredAtMs) {
        return;
    }
    worker.unansweredStarts += 1;
    worker.startUnansweredAtMs = nowMs;
    const openMs = Math.min(longestOpenMs, shortestOpenMs * 2 ** (worker.unansweredStarts - 1));
    worker.avoidUntilMs = Math.max(worker.avoidUntilMs, nowMs + openMs);
};

/**
 * Tells whether the breaker lets a start through: always while it is closed; half open, only while no other is under way. Where a
 * start might be carried out by another incarnation, an order that is harmless to any of them is sent instead to try the worker out.
 *
 * @example
 * allowsStart(worker); // true for a worker that answered its newest start
 */
export const allowsStart = ({ unansweredStarts, unansweredOrder, runs }: ShardWorker): boolean =>
    unansweredOrder === undefined && (unansweredStarts === 0
        || [...runs.values()].every(({ phase }) => phase !== runPhases.planned && phase !== runPhases.starting));
