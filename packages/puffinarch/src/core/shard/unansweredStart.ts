/**
 * Unanswered starts that any incarnation under the worker's id may carry out. A look proves only that one incarnation rejects
 * such an order; the next one would accept it, and run a task that was started elsewhere meanwhile and may have ended there.
 * The task therefore waits, and capacity for it stays reserved on the worker, until the order can no longer arrive.
 */

import { jobOf, type ShardRun } from "./jobModel.js";
import type { ShardSettings } from "./shardSettings.js";

/**
 * Tells whether only the incarnation to which a run's start was sent accepts it, since the start's ticket names that
 * incarnation.
 *
 * @example
 * holdsForOneIncarnation(run, settings); // false where its queue needs no advice
 */
export const holdsForOneIncarnation = (
    run: ShardRun,
    { ticketsNameIncarnation }: Pick<ShardSettings, "ticketsNameIncarnation">,
): boolean => ticketsNameIncarnation && jobOf(run).queue.advice !== undefined;

/**
 * Tells whether a run's start may still be carried out, whatever the worker's present incarnation reports of the run.
 *
 * @example
 * if (mayArrive(run, clock.monotonicMs())) { return; }
 */
export const mayArrive = ({ mayArriveUntilMs }: ShardRun, nowMs: number): boolean =>
    mayArriveUntilMs !== undefined && nowMs <= mayArriveUntilMs;
