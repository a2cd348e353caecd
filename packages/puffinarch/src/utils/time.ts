/** Small helpers on the clock port. */

import type { Clock, Log } from "../types/ports.js";
import { failureOf } from "./errors.js";

/**
 * Waits on a clock.
 *
 * @example
 * await sleep(clock, 100);
 */
export const sleep = (clock: Clock, delayMs: number): Promise<void> =>
    new Promise(resolve => {
        clock.setTimer(delayMs, resolve);
    });

/** A repeated piece of work, never overlapping itself. */
export interface Loop {
    /** Runs it as soon as possible instead of waiting for the interval. */
    wake(): void;
    /** Resolves once it has stopped and the run in progress is over. */
    stop(): Promise<void>;
}

/** What a loop needs. */
export interface LoopOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly name: string;
    readonly intervalMs: number;
    readonly run: () => Promise<void>;
}

/**
 * Runs a piece of work at an interval, one run at a time; a failed run is logged and the next one comes as usual.
 *
 * @example
 * const loop = startLoop({ clock, log, name: "gossip", intervalMs: 500, run: sendSummary });
 * await loop.stop();
 */
export const startLoop = ({ clock, log, name, intervalMs, run }: LoopOptions): Loop => {
    let stopped = false;
    let wanted = false;
    let running: Promise<void> | undefined;
    let cancelTimer = (): void => {};
    const once = async (): Promise<void> => {
        try {
            await run();
        }
        catch (error) {
            log.write("warn", "loopFailed", { loop: name, ...failureOf(error) });
        }
    };
    const begin = (): void => {
        cancelTimer();
        if (stopped) {
            return;
        }
        if (running !== undefined) {
            wanted = true;
            return;
        }
        running = once().then(() => {
            running = undefined;
            const delayMs = wanted ? 0 : intervalMs;
            wanted = false;
            if (!stopped) {
                cancelTimer = clock.setTimer(delayMs, begin);
            }
        });
    };
    cancelTimer = clock.setTimer(0, begin);
    return {
        wake: begin,
        stop: async () => {
            stopped = true;
            cancelTimer();
            await running;
        },
    };
};
