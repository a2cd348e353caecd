/** A token bucket: a steady rate, and a second's worth at once after a rest. */

import type { Clock } from "../types/ports.js";

/** Tokens that come at a steady rate. */
export interface Bucket {
    /** Takes a token where there is one. */
    take(): boolean;
    /** Milliseconds until there is one; 0 where there is. */
    waitMs(): number;
}

const millisecondsASecond = 1_000;

/**
 * Makes a full bucket; it holds a second's tokens, one at least, and the rate may change.
 *
 * @example
 * const bucket = createBucket(clock, () => 2);
 * [bucket.take(), bucket.take(), bucket.take()]; // [true, true, false]
 */
export const createBucket = (clock: Clock, rate: () => number): Bucket => {
    let tokens = Math.max(1, rate());
    let countedAtMs = clock.monotonicMs();

    const refill = (): void => {
        const nowMs = clock.monotonicMs();
        const perSecond = rate();
        tokens = Math.min(Math.max(1, perSecond), tokens + (nowMs - countedAtMs) * perSecond / millisecondsASecond);
        countedAtMs = nowMs;
    };

    return {
        take: () => {
            refill();
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        },
        waitMs: () => {
            refill();
            return tokens >= 1 ? 0 : rate() === 0 ? Infinity : (1 - tokens) * millisecondsASecond / rate();
        },
    };
};
