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
 * Makes a full bucket; a rate of 0 never gives a token.
 *
 * @example
 * const bucket = createBucket(clock, 2);
 * [bucket.take(), bucket.take(), bucket.take()]; // [true, true, false]
 */
export const createBucket = (clock: Clock, perSecond: number): Bucket => {
    let tokens = perSecond;
    let countedAtMs = clock.monotonicMs();

    const refill = (): void => {
        const nowMs = clock.monotonicMs();
        tokens = Math.min(perSecond, tokens + (nowMs - countedAtMs) * perSecond / millisecondsASecond);
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
            return tokens >= 1 ? 0 : perSecond === 0 ? Infinity : (1 - tokens) * millisecondsASecond / perSecond;
        },
    };
};
