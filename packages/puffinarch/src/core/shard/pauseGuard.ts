/**
 * Keeps an owner whose process was paused from renewing leases and starting runs until it has proven that it still owns the shard. Its
 * successor counts leases as over some time after its claim, also at workers that it cannot reach and that therefore still obey the former
 * owner. Timers do not protect from that: calls that were due during the pause go out as soon as the process runs.
 */

import type { Clock, Log } from "../../types/ports.js";

/** A reading of both clocks. */
interface ClockReading {
    readonly atMs: number;
    readonly wallMs: number;
}

const readClocks = (clock: Clock): ClockReading => ({ atMs: clock.monotonicMs(), wallMs: clock.nowMs() });

/** What `createPauseGuard` needs. */
export interface PauseGuardOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly fencingToken: number;
    /** Time since the claim was sent, which proved the ownership. */
    readonly claimedMs: number;
    /** Longest time for which this process may not have run, or since the claim, after which it goes on without another proof. */
    readonly maxPauseMs: number;
    /** Local time for which the ownership was last proven: that of the newest call that the store has answered. */
    readonly provenAtMs: () => number;
    /** Resolves once it is proven that no other daemon had claimed the shard when this was called; never where one had. */
    readonly confirm: () => Promise<void>;
}

/** Notices pauses of the process, after which ownership has to be proven. */
export interface PauseGuard {
    /** Notices a pause; called by each tick. Returns the time for which the monotonic clock has stood still since the last one, in ms. */
    check(): number;
    /** Resolves once leases may be renewed and runs started; undefined if they may now. */
    held(): Promise<void> | undefined;
}

/** Time between two readings, and the part of it that the monotonic clock did not count. */
const timeBetween = (
    from: ClockReading,
    to: ClockReading,
): { readonly elapsedMs: number; readonly stoodStillMs: number; } => {
    const countedMs = to.atMs - from.atMs;
    const stoodStillMs = Math.max(0, to.wallMs - from.wallMs - countedMs);
    return { elapsedMs: countedMs + stoodStillMs, stoodStillMs };
};

/** Shorter times between two calls occur without a pause, as in a busy process. */
const minPauseMs = 300;

/**
 * Measures the time from now on, also that which the monotonic clock does not count. The returned function tells it, in ms.
 *
 * @example
 * const elapsedMs = startStopwatch(clock);
 * elapsedMs(); // 0
 */
export const startStopwatch = (clock: Clock): () => number => {
    const startedAt = readClocks(clock);
    return () => timeBetween(startedAt, readClocks(clock)).elapsedMs;
};

/**
 * Creates the guard of an owner that has just claimed the shard.
 *
 * @example
 * const guard = createPauseGuard({ clock, log, fencingToken, claimedMs: 0, maxPauseMs: 1_000, provenAtMs, confirm: commits.confirm });
 * await guard.held();
 */
export const createPauseGuard = (options: PauseGuardOptions): PauseGuard => {
    const { clock, log, fencingToken, maxPauseMs, confirm } = options;
    /** When this process was last seen running, and when `check` was last called, on both clocks. */
    let running = readClocks(clock);
    let checked = running;
    let proof: Promise<void> | undefined;
    /** Pauses since the newest proof, together, and the end of the last one. */
    let pausedMs = 0;
    let pausedAtMs = -Infinity;

    const awaitProof = (): void => {
        const awaited = confirm().then(() => {
            if (proof === awaited) {
                proof = undefined;
            }
        });
        proof = awaited;
    };

    /** Notices a pause since this process was last seen running. A process that is only busy runs in between. */
    const recordRunning = (): ClockReading => {
        const now = readClocks(clock);
        const { elapsedMs, stoodStillMs } = timeBetween(running, now);
        running = now;
        if (options.provenAtMs() > pausedAtMs) {
            pausedMs = 0;
        }
        if (elapsedMs > minPauseMs) {
            pausedMs += elapsedMs;
            pausedAtMs = now.atMs;
        }
        if (pausedMs > maxPauseMs) {
            log.write("warn", "ownerPaused", {
                fencingToken,
                pausedMs: Math.round(pausedMs),
                stoodStillMs: Math.round(stoodStillMs),
            });
            pausedMs = 0;
            awaitProof();
        }
        return now;
    };

    if (options.claimedMs > maxPauseMs) {
        awaitProof();
    }

    return {
        check: () => {
            const now = recordRunning();
            const { stoodStillMs } = timeBetween(checked, now);
            checked = now;
            return stoodStillMs;
        },
        held: () => {
            recordRunning();
            return proof;
        },
    };
};
