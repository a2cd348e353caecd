/**
 * Simulation of a process whose VM can be suspended, or which can be stopped. No code of the process runs meanwhile. The monotonic
 * clock of a suspended VM does not count that time; the clock of a stopped process does.
 */

import type { Clock } from "puffinarch";
import type { Departure } from "./fencedWorkers.js";

/** Tolerance for the rounding of times. */
const roundingMs = 0.001;

/** What a stopped process handles first when it continues: timers that are due, or answers that have arrived. */
export const wakingOrders = ["timers", "answers"] as const;
/** One of `wakingOrders`. */
export type WakingOrder = (typeof wakingOrders)[number];

/** The clock of one process and control over its suspension. */
export interface Suspension {
    /** The clock that the process uses; its timers do not fire during a suspension. */
    readonly clock: Clock;
    /** Suspends the VM for this long from now on; ignored where it is suspended already. */
    suspend(forMs: number): void;
    /** Stops the process for this long from now on, while its monotonic clock goes on; ignored where it does not run. */
    stop(forMs: number, first: WakingOrder): void;
    isSuspended(): boolean;
    /**
     * Whether the process is stopped until a timer for this local time has fired, which it then handles before the answers that have
     * arrived.
     */
    expires(dueAtMs: number): boolean;
    /** Lets a call leave the process; one that has this long to be answered waits meanwhile where the process is stopped. */
    depart(timeoutMs: number): Promise<Departure>;
    /** Resolves at once while the process runs, otherwise when it continues; messages that arrive meanwhile wait for this. */
    whenRunning(waitsFor?: WakingOrder): Promise<void>;
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
    let stopped: { readonly first: WakingOrder; readonly untilMs: number; } | undefined;
    let waiting: { readonly waitsFor: WakingOrder; readonly run: () => void; }[] = [];

    const isSuspended = (): boolean => suspendedAtMs !== undefined || stopped !== undefined;

    const monotonicMs = (): number => (suspendedAtMs ?? clock.monotonicMs()) - suspendedTotalMs;

    const whenRunning = (waitsFor: WakingOrder = "answers"): Promise<void> =>
        isSuspended()
            ? new Promise(resolve => {
                waiting.push({ waitsFor, run: resolve });
            })
            : Promise.resolve();

    const takeWaiting = (): typeof waiting => {
        const taken = waiting;
        waiting = [];
        return taken;
    };

    const resume = (): void => {
        suspendedTotalMs += clock.monotonicMs() - (suspendedAtMs ?? clock.monotonicMs());
        suspendedAtMs = undefined;
        for (const { run } of takeWaiting()) {
            run();
        }
    };

    /** Continues a stopped process: what waits is handled one after the other, each with all that follows from it at once. */
    const continueStopped = (first: WakingOrder): void => {
        stopped = undefined;
        const all = takeWaiting();
        const ordered = [
            ...all.filter(({ waitsFor }) => waitsFor === first),
            ...all.filter(({ waitsFor }) => waitsFor !== first),
        ];
        for (const { run } of ordered) {
            clock.setTimer(0, run);
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
            if (isSuspended()) {
                await whenRunning("timers");
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
            if (!isSuspended()) {
                suspendedAtMs = clock.monotonicMs();
                clock.setTimer(forMs, resume);
            }
        },
        stop: (forMs, first) => {
            if (!isSuspended()) {
                stopped = { first, untilMs: monotonicMs() + forMs };
                clock.setTimer(forMs, () => continueStopped(first));
            }
        },
        isSuspended,
        depart: async timeoutMs => {
            if (stopped === undefined) {
                return "sent";
            }
            const { first, untilMs } = stopped;
            const isExpired = monotonicMs() + timeoutMs <= untilMs;
            await whenRunning(isExpired ? first : "answers");
            return !isExpired ? "sent" : first === "timers" ? "unsent" : "expired";
        },
        expires: dueAtMs => stopped?.first === "timers" && dueAtMs <= stopped.untilMs,
        whenRunning,
    };
};
