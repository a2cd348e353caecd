/**
 * A process whose VM is suspended now and then: nothing of it runs meanwhile, and its steady clock loses that time, while
 * the clocks of all others go on.
 */

import type { Clock } from "puffinarch";

const roundingMs = 0.001;

/** One process's time. */
export interface Suspension {
    /** The clock as the process reads it. */
    readonly clock: Clock;
    /** Suspends the VM for this long from now on. */
    suspend(forMs: number): void;
    isSuspended(): boolean;
    /** Resolves at once while it runs, else when it runs again: what arrives meanwhile is read then. */
    awake(): Promise<void>;
}

/**
 * Makes the time of a process; it runs at first.
 *
 * @example
 * const suspension = createSuspension(clock);
 * suspension.suspend(3_000);
 */
export const createSuspension = (clock: Clock): Suspension => {
    let lostMs = 0;
    let suspendedAtMs: number | undefined;
    let resume: (() => void)[] = [];

    const monotonicMs = (): number => (suspendedAtMs ?? clock.monotonicMs()) - lostMs;

    const awake = (): Promise<void> =>
        suspendedAtMs === undefined ? Promise.resolve() : new Promise(resolve => {
            resume.push(resolve);
        });

    const wakeUp = (): void => {
        lostMs += clock.monotonicMs() - (suspendedAtMs ?? clock.monotonicMs());
        suspendedAtMs = undefined;
        const waiting = resume;
        resume = [];
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
                await awake();
            }
            if (cancelled) {
                return;
            }
            // Sums of times are not exact; a timer that is armed for nothing would be so for ever.
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
                clock.setTimer(forMs, wakeUp);
            }
        },
        isSuspended: () => suspendedAtMs !== undefined,
        awake,
    };
};
