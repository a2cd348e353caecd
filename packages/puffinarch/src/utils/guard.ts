/**
 * Guard of work that nobody waits for: loops, timers and calls in the background. An exception in such work would end the process or, as
 * a rejected promise, end the work without notice. The guard logs it, at a limited rate, and the caller goes on in a defined way.
 */

import type { Clock, Log, Meter } from "../types/ports.js";
import { createBucket } from "./bucket.js";
import { failureOf } from "./errors.js";

/** Dependencies of a guard. */
export interface GuardOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter?: Meter | undefined;
}

/** Runs work whose exceptions nobody else handles. */
export interface Guard {
    /** Runs work; returns whether it ended without an exception. */
    call(name: string, work: () => void): boolean;
    /** Runs asynchronous work and, where it fails, `onFailed`; resolves with whether the work ended without an exception. */
    run(name: string, work: () => Promise<unknown>, onFailed?: () => void): Promise<boolean>;
    /** Resolves with the result of a call, or with `otherwise` where the call fails. */
    answer<T>(name: string, call: () => Promise<T>, otherwise: T): Promise<T>;
}

/** Log lines of one guard; work that fails in each round of a loop must not fill the log. */
const maxLinesPerS = 2;
const maxMessageLength = 200;
/** The first lines of the stack, which name the failed function and its callers. */
const maxStackLength = 600;

/**
 * Creates a guard.
 *
 * @example
 * const guard = createGuard({ clock, log, meter });
 * void guard.run("commit", drain, giveUp);
 */
export const createGuard = ({ clock, log, meter }: GuardOptions): Guard => {
    const lines = createBucket(clock, () => maxLinesPerS);

    const report = (work: string, error: unknown): void => {
        meter?.count("workFailed");
        if (lines.take()) {
            const { kind, message } = failureOf(error);
            log.write("error", "workFailed", {
                work,
                kind,
                reason: String(message).slice(0, maxMessageLength),
                stack: error instanceof Error ? error.stack?.slice(0, maxStackLength) : undefined,
            });
        }
    };

    const call: Guard["call"] = (name, work) => {
        try {
            work();
            return true;
        }
        catch (error) {
            report(name, error);
            return false;
        }
    };

    return {
        call,
        run: async (name, work, onFailed) => {
            try {
                await work();
                return true;
            }
            catch (error) {
                report(name, error);
                if (onFailed !== undefined) {
                    call(name, onFailed);
                }
                return false;
            }
        },
        answer: async (name, work, otherwise) => {
            try {
                return await work();
            }
            catch (error) {
                report(name, error);
                return otherwise;
            }
        },
    };
};

/**
 * Returns a clock whose timers are guarded: an exception in a timer would end the process.
 *
 * @example
 * const clock = withGuardedTimers(systemClock, guard);
 */
export const withGuardedTimers = (clock: Clock, guard: Guard): Clock => ({
    nowMs: () => clock.nowMs(),
    monotonicMs: () => clock.monotonicMs(),
    setTimer: (delayMs, run) => clock.setTimer(delayMs, () => void guard.call("timer", run)),
});
