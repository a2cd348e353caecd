/** Points in time for waits that a suspension of the VM must not shorten. */

import type { Clock } from "../types/ports.js";

/** A point in time on the monotonic clock and on the wall clock. */
export interface Moment {
    readonly monotonicMs: number;
    readonly wallClockMs: number;
}

/**
 * Returns the present moment.
 *
 * @example
 * const sentAt = momentOf(clock);
 */
export const momentOf = (clock: Clock): Moment => ({ monotonicMs: clock.monotonicMs(), wallClockMs: clock.nowMs() });

/**
 * Returns the longer time of both clocks: the monotonic one stops while the VM is suspended, the wall clock may be set back.
 *
 * @example
 * elapsedSinceMs(clock, sentAt); // 0 right after `momentOf`
 */
export const elapsedSinceMs = (clock: Clock, { monotonicMs, wallClockMs }: Moment): number =>
    Math.max(clock.monotonicMs() - monotonicMs, clock.nowMs() - wallClockMs);
