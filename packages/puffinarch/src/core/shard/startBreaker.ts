/**
 * Circuit breaker for the starts of one worker. A worker that answers looks may still lose starts or carry them out seconds
 * late. Each such start makes its task wait for the answer, and may reach a worker that has restarted in the meantime.
 */

import { runPhases } from "./jobModel.js";
import type { ShardWorker } from "./workerTable.js";

/** Shortest time for which the breaker opens; it is enough for a lost connection, since the next start opens another one. */
const minOpenMs = 100;
/**
 * Longest time for which the breaker opens. Together with a call to the advisor it stays below 3 s, for which an accepted
 * task may wait although capacity is free.
 */
const maxOpenMs = 1_500;

/**
 * Records that the worker answered a start, which closes the breaker.
 *
 * @example
 * recordStartAnswered(worker);
 */
export const recordStartAnswered = (worker: ShardWorker): void => {
    worker.unansweredStarts = 0;
    worker.unansweredOrder = undefined;
};

/**
 * Records a start that got no answer, and opens the breaker for twice as long as after the previous failure, up to the
 * maximum. Starts in flight at the same time count as one failure.
 *
 * @example
 * recordStartUnanswered(worker, run.sentAtMs, clock.monotonicMs());
 */
export const recordStartUnanswered = (worker: ShardWorker, sentAtMs: number, nowMs: number): void => {
    if (worker.unansweredStarts > 0 && sentAtMs <= worker.startUnansweredAtMs) {
        return;
    }
    worker.unansweredStarts += 1;
    worker.startUnansweredAtMs = nowMs;
    const openMs = Math.min(maxOpenMs, minOpenMs * 2 ** (worker.unansweredStarts - 1));
    worker.avoidUntilMs = Math.max(worker.avoidUntilMs, nowMs + openMs);
};

/**
 * Tells whether the breaker lets a start through: any while it is closed, and one at a time while it is half open. Where
 * another incarnation might carry a start out, none is let through until the worker has answered a harmless order.
 *
 * @example
 * allowsStart(worker); // true for a worker that answered its newest start
 */
export const allowsStart = ({ unansweredStarts, unansweredOrder, runs }: ShardWorker): boolean =>
    unansweredOrder === undefined && (unansweredStarts === 0
        || [...runs.values()].every(({ phase }) => phase !== runPhases.planned && phase !== runPhases.starting));
