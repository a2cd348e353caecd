/**
 * Spaces out looks at silent workers to which orders may be in flight. The next incarnation of such a worker carries these
 * orders out until a look has reached it, so the worker is looked at often; without a shared limit, a hundred workers that
 * are down together would use up the processor of this daemon's VM.
 */

import type { Clock } from "../../types/ports.js";

/** Schedules looks. */
export interface LookSlots {
    /** Returns how long to wait before the next look at a worker, at most `longestMs`. */
    pauseMs(longestMs: number): number;
}

const minPauseMs = 10;
/** Least time between two such looks: as many a second as an owner sends to 200 workers that answer. */
const slotIntervalMs = 5;

/**
 * Creates the schedule of one owner.
 *
 * @example
 * const slots = createLookSlots(clock);
 * await sleep(clock, slots.pauseMs(250));
 */
export const createLookSlots = (clock: Clock): LookSlots => {
    let lastSlotAtMs = -Infinity;
    return {
        pauseMs: longestMs => {
            const nowMs = clock.monotonicMs();
            const nextAtMs = Math.max(nowMs + minPauseMs, lastSlotAtMs + slotIntervalMs);
            lastSlotAtMs = Math.min(nextAtMs, nowMs + longestMs);
            return lastSlotAtMs - nowMs;
        },
    };
};
