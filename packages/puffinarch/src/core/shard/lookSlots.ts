/**
 * Pauses between looks at silent workers to which orders may be under way. The next incarnation of such a worker carries them out
 * until a look has reached it, so that it is looked at often; a hundred workers that are down together would take a VM's processor.
 */

import type { Clock } from "../../types/ports.js";

/** Gives pauses. */
export interface LookSlots {
    /** How long to wait before the next look at a worker, at most the time given. */
    pauseMs(longestMs: number): number;
}

const shortestPauseMs = 10;
/** An owner sends as many looks a second to 200 workers that answer. */
const slotMs = 5;

/**
 * Makes the slots of one owner.
 *
 * @example
 * const slots = createLookSlots(clock);
 * await sleep(clock, slots.pauseMs(250));
 */
export const createLookSlots = (clock: Clock): LookSlots => {
    let newestAtMs = -Infinity;
    return {
        pauseMs: longestMs => {
            const nowMs = clock.monotonicMs();
            const nextAtMs = Math.max(nowMs + shortestPauseMs, newestAtMs + slotMs);
            newestAtMs = Math.min(nextAtMs, nowMs + longestMs);
            return newestAtMs - nowMs;
        },
    };
};
