/** The system's clock and random numbers, and reproducible random numbers for tests and replays. */

import { performance } from "node:perf_hooks";
import type { Clock, Random } from "../types/ports.js";

/**
 * Creates a clock that reads the system's time.
 *
 * @example
 * createSystemClock().monotonicMs();
 */
export const createSystemClock = (): Clock => ({
    nowMs: () => Date.now(),
    monotonicMs: () => performance.now(),
    setTimer: (delayMs, run) => {
        const timer = setTimeout(run, delayMs);
        return () => clearTimeout(timer);
    },
});

/**
 * Creates a source of random numbers based on `Math.random`.
 *
 * @example
 * createSystemRandom().next() < 1; // true
 */
export const createSystemRandom = (): Random => ({ next: () => Math.random() });

/**
 * Creates a source of random numbers that repeats the same sequence for the same seed (mulberry32).
 *
 * @example
 * createSeededRandom(7).next() === createSeededRandom(7).next(); // true
 */
export const createSeededRandom = (seed: number): Random => {
    let state = seed >>> 0;
    return {
        next: () => {
            state = (state + 0x6d2b79f5) >>> 0;
            let mixed = Math.imul(state ^ (state >>> 15), state | 1);
            mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
            return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
        },
    };
};
