/**
 * Simulation of a process whose VM can be suspended. No code of the process runs during a suspension, and its monotonic clock
 * does not count that time, while its wall clock and the clocks of other processes go on.
 */

import type { Clock } from "puffinarch";

/** Tolerance for the rounding of times. */
const roundingMs = 0.001;

/** The clock of one process and control over its suspension. */
export interface Suspension {
    /** The clock that the process uses; its timers do not fire during a suspension. */
    readonly clock: Clock;
    /** Suspends the VM for this long from now on; ignored where it is suspended already. */
    suspend(forMs: number): void;
    isSuspended(): boolean;
    /** Resolves at once while the VM runs, otherwise when it resumes; messages that arrive during the suspension wait for this. */
    whenRunning(): Promise<void>;
}

/**
 * Creates the suspension control of a process, which runs at first.
 *
 * @example
 * const suspension = createSuspension(clock);
 * suspension.suspend(3_000);
 */
export const createSuspension = (clock: Clock): Suspension => {
    let suspendedTotalMs = 0;
    let suspendedAtMs: number | undefined;
    let resumeCallbacks: (() => void)[] = [];

    const monotonicMs = (): number => (suspendedAtMs ?? clock.monotonicMs()) - suspendedTotalMs;

    const whenRunning = (): Promise<void> =>
        suspendedAtMs === undefined ? Promise.resolve() : new Promise(resolve => {
            resumeCallbacks.push(resolve);
        });

    const resume = (): void => {
        suspendedTotalMs += clock.monotonicMs() - (suspendedAtMs ?? clock.monotonicMs());
        suspendedAtMs = undefined;
        const waiting = resumeCallbacks;
        resumeCallbacks = [];
        for (const run of waiting) {
            run();
        }
    };

    const setTimer: Clock["setTimer"] = (delayMs, run) => {
        const dueAtMs = monotonicMs() + delayMs;
        let cancelled = false;
        let cancelTimer = (): void => {};
        const arm = (): void => {
            cancelTimer = clock.setTimer(Math.max(0, dueAtMs - monotonicMs()), () => void fire());
        };
        const fire = async (): Promise<void> => {
            if (suspendedAtMs !== undefined) {
                await whenRunning();
            }
            if (cancelled) {
                return;
            }
            // Times are floating-point sums; without the tolerance a timer could be set again for a remainder of 0 forever.
            if (dueAtMs - monotonicMs() > roundingMs) {
                arm();
                return;
            }
            run();
        };
        arm();
        return () => {
            cancelled = true;
            cancelTimer();
        };
    };

    return {
        clock: { nowMs: clock.nowMs, monotonicMs, setTimer },
        suspend: forMs => {
            if (suspendedAtMs === undefined) {
                suspendedAtMs = clock.monotonicMs();
                clock.setTimer(forMs, resume);
            }
        },
        isSuspended: () => suspendedAtMs !== undefined,
        whenRunning,
    };
};
