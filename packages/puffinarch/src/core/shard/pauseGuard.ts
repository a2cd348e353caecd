/**
 * Holds an owner's calls to workers back after its process was paused. A successor may have claimed the shard meanwhile. It takes leases
 * for over some time after its claim, also at workers that it cannot reach, so that nothing may be renewed or started there by an owner
 * that wakes after this time. Timers do not protect from that: calls that were due during the pause go out as soon as the process runs.
 */

import type { Clock, Log } from "../../types/ports.js";

/** What `createPauseGuard` needs. */
export interface PauseGuardOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly fencingToken: number;
    /** Longest time without a run of this process after which it may go on without a proof that it still owns the shard. */
    readonly maxPauseMs: number;
    /** Resolves once it is proven that no other daemon had claimed the shard when this was called; never where one had. */
    readonly confirm: () => Promise<void>;
}

/** Notices pauses of the process, and waits for the proof of ownership after them. */
export interface PauseGuard {
    /** Notices a pause; called by each tick. Returns the time for which the monotonic clock has stood still since the last one, in ms. */
    check(): number;
    /** Resolves once calls to workers may go out; undefined if they may now. */
    held(): Promise<void> | undefined;
}

/**
 * Creates the guard of an owner that has just claimed the shard.
 *
 * @example
 * const guard = createPauseGuard({ clock, log, fencingToken, maxPauseMs: 1_800, confirm: commits.confirm });
 * await guard.held();
 */
export const createPauseGuard = (options: PauseGuardOptions): PauseGuard => {
    const { clock, log, fencingToken, maxPauseMs, confirm } = options;
    let atMs = clock.monotonicMs();
    let wallMs = clock.nowMs();
    let proof: Promise<void> | undefined;

    /** Time since the newest check, also what the monotonic clock does not count. */
    const sinceCheck = (): { readonly elapsedMs: number; readonly stoodStillMs: number; } => {
        const countedMs = clock.monotonicMs() - atMs;
        const stoodStillMs = Math.max(0, clock.nowMs() - wallMs - countedMs);
        return { elapsedMs: countedMs + stoodStillMs, stoodStillMs };
    };

    const awaitProof = (): void => {
        const awaited = confirm().then(() => {
            if (proof === awaited) {
                proof = undefined;
            }
        });
        proof = awaited;
    };

    const check = (): number => {
        const { elapsedMs, stoodStillMs } = sinceCheck();
        atMs = clock.monotonicMs();
        wallMs = clock.nowMs();
        if (elapsedMs > maxPauseMs) {
            log.write("warn", "ownerPaused", {
                fencingToken,
                pausedMs: Math.round(elapsedMs),
                stoodStillMs: Math.round(stoodStillMs),
            });
            awaitProof();
        }
        return stoodStillMs;
    };

    return {
        check,
        held: () => {
            if (sinceCheck().elapsedMs > maxPauseMs) {
                check();
            }
            return proof;
        },
    };
};
