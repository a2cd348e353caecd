/**
 * Starts without an answer that hold for whichever incarnation has the worker's ID. A look proves that one incarnation refuses such an
 * order; the next one knows nothing of it and would run a task that was started elsewhere meanwhile, and may have ended there. The task
 * therefore waits until the order cannot come any more, and its room on that worker is kept.
 */

import { jobOf, type ShardRun } from "./jobBook.js";
import type { ShardSettings } from "./shardSettings.js";

/**
 * Tells whether the order of a run is refused by every incarnation of its worker but the one that it was sent to, since its ticket is.
 *
 * @example
 * holdsForOneIncarnation(run, settings); // false where its queue asks for no advice
 */
export const holdsForOneIncarnation = (
    run: ShardRun,
    { ticketsNameIncarnation }: Pick<ShardSettings, "ticketsNameIncarnation">,
): boolean => ticketsNameIncarnation && jobOf(run).queue.advice !== undefined;

/**
 * Tells whether the order of a run may still be carried out, whatever the worker's present incarnation says of it.
 *
 * @example
 * if (mayArrive(run, clock.monotonicMs())) { return; }
 */
export const mayArrive = ({ mayArriveUntilMs }: ShardRun, nowMs: number): boolean =>
    mayArriveUntilMs !== undefined && nowMs <= mayArriveUntilMs;
