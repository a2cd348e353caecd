/** Measures how fast starts are sent while more of them wait; a queue that runs empty does not show how fast it could send. */

import type { Clock } from "../../types/ports.js";

/** Pace of one queue of starts. */
export interface StartPace {
    /** Records starts that were sent. */
    recordSent(starts: number): void;
    /** Ends a turn of the queue; `isWaiting` tells whether starts are left for the next turn. */
    endTurn(isWaiting: boolean): void;
    /** Starts sent per ms; undefined where none have waited for a while. */
    perMs(): number | undefined;
}

/** Shortest time that is measured: it spans several turns, also of a busy process. */
const windowMs = 100;
/** Age at which a measurement counts no longer, since the load of the process changes. */
const validMs = 1_000;
/** Weight of the newest measurement in the moving average. */
const smoothing = 0.5;

/**
 * Creates a pace that is not known yet.
 *
 * @example
 * const pace = createStartPace(clock);
 * pace.recordSent(128);
 * pace.endTurn(true);
 * pace.perMs();
 */
export const createStartPace = (clock: Clock): StartPace => {
    let sent = 0;
    let windowBeganAtMs: number | undefined;
    let average = 0;
    let measuredAtMs = -Infinity;

    const isKnown = (nowMs: number): boolean => nowMs - measuredAtMs <= validMs;

    const beginWindow = (nowMs: number): number => {
        sent = 0;
        return nowMs;
    };

    return {
        recordSent: starts => {
            sent += starts;
        },
        endTurn: isWaiting => {
            const nowMs = clock.monotonicMs();
            if (!isWaiting) {
                windowBeganAtMs = undefined;
                return;
            }
            windowBeganAtMs ??= beginWindow(nowMs);
            const elapsedMs = nowMs - windowBeganAtMs;
            if (elapsedMs < windowMs) {
                return;
            }
            const newest = sent / elapsedMs;
            average = isKnown(nowMs) ? average + smoothing * (newest - average) : newest;
            measuredAtMs = nowMs;
            windowBeganAtMs = beginWindow(nowMs);
        },
        perMs: () => isKnown(clock.monotonicMs()) ? average : undefined,
    };
};
