/** Delays and repeated work on the clock port. */

import type { Clock, Log } from "../types/ports.js";
import { failureOf } from "./errors.js";

/**
 * Resolves after a delay.
 *
 * @example
 * await sleep(clock, 100);
 */
export const sleep = (clock: Clock, delayMs: number): Promise<void> =>
    new Promise(resolve => {
        clock.setTimer(delayMs, resolve);
    });

/** A function that is called repeatedly; its calls never overlap. */
export interface Loop {
    /** Starts the next run at once, or directly after the run in progress, instead of after the interval. */
    wake(): void;
    /** Ends the loop; resolves once the run in progress is over. */
    stop(): Promise<void>;
}

/** Options of a loop. */
export interface LoopOptions {
    readonly clock: Clock;
    readonly log: Log;
    /** Name of the loop in the log. */
    readonly name: string;
    /** Pause between the end of a run and the start of the next. */
    readonly intervalMs: number;
    readonly run: () => Promise<void>;
}

/**
 * Calls a function repeatedly, the first time at once. A failed run is logged, and the next one starts after the usual interval.
 *
 * @example
 * const loop = startLoop({ clock, log, name: "gossip", intervalMs: 500, run: sendSummary });
 * await loop.stop();
 */
export const startLoop = ({ clock, log, name, intervalMs, run }: LoopOptions): Loop => {
    let stopped = false;
    let rerunRequested = false;
    let running: Promise<void> | undefined;
    let cancelTimer = (): void => {};
    const runAndLogFailure = async (): Promise<void> => {
        try {
            await run();
        }
        catch (error) {
            log.write("warn", "loopFailed", { loop: name, ...failureOf(error) });
        }
    };
    const startRun = (): void => {
        cancelTimer();
        if (stopped) {
            return;
        }
        if (running !== undefined) {
            rerunRequested = true;
            return;
        }
        running = runAndLogFailure().then(() => {
            running = undefined;
            const delayMs = rerunRequested ? 0 : intervalMs;
            rerunRequested = false;
            if (!stopped) {
                cancelTimer = clock.setTimer(delayMs, startRun);
            }
        });
    };
    cancelTimer = clock.setTimer(0, startRun);
    return {
        wake: startRun,
        stop: async () => {
            stopped = true;
            cancelTimer();
            await running;
        },
    };
};
