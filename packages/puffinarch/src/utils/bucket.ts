/** A token bucket: a steady rate, with bursts of up to one second's tokens. */

import type { Clock } from "../types/ports.js";

/** A token bucket. */
export interface Bucket {
    /** Takes a token; returns false where none is available. */
    take(): boolean;
    /** Milliseconds until a token is available: 0 where one is available now, infinite at a rate of 0. */
    waitMs(): number;
}

const msPerSecond = 1_000;

/**
 * Creates a full bucket. `rate` returns the tokens per second; it is read at each use, so that the rate may change. The bucket holds
 * at most one second's tokens, but at least one token.
 *
 * @example
 * const bucket = createBucket(clock, () => 2);
 * [bucket.take(), bucket.take(), bucket.take()]; // [true, true, false]
 */
export const createBucket = (clock: Clock, rate: () => number): Bucket => {
    let tokens = Math.max(1, rate());
    let refilledAtMs = clock.monotonicMs();

    const refill = (): void => {
        const nowMs = clock.monotonicMs();
        const perSecond = rate();
        tokens = Math.min(Math.max(1, perSecond), tokens + (nowMs - refilledAtMs) * perSecond / msPerSecond);
        refilledAtMs = nowMs;
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
            return tokens >= 1 ? 0 : rate() === 0 ? Infinity : (1 - tokens) * msPerSecond / rate();
        },
    };
};
