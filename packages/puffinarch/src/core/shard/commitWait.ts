/** Waits of callers' requests for a commit, which end in a refusal once the store has stopped answering. */

import type { Clock } from "../../types/ports.js";
import { die } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";
import type { CommitLog } from "./commitLog.js";
import type { Refusal } from "./forward.js";
import { retryAfterFor } from "./retryTimes.js";
import type { ShardSettings } from "./shardSettings.js";

/** Dependencies of the waits. */
export interface CommitWaitOptions {
    readonly clock: Clock;
    readonly settings: Pick<ShardSettings, "refuseStalledMs" | "retryAfterMs">;
    readonly commits: Pick<CommitLog, "stalledMs">;
    /** Rejects once this daemon no longer owns the shard. */
    readonly ownershipLost: Promise<never>;
}

/** Waits for the commits of one owner. */
export interface CommitWait {
    /** Whether the store has left a commit unanswered for too long. */
    isStalled(): boolean;
    /** Resolves once the answers that have arrived were read; a busy process must not take its own delay for that of the store. */
    afterReading(): Promise<void>;
    /** Fails with a time to try again, spread by the hash of the job ID where one is given. */
    refuse(refusal: Refusal | "mayHaveRun", jobId?: string): never;
    /** Waits until `write` resolves, or for a short time. Fails once this daemon no longer owns the shard. */
    pause(write: Promise<void>): Promise<void>;
    /** Waits until `write` resolves. Fails as `refuse` does while the store is stalled, although the write may still take effect. */
    until(write: Promise<void>, refusal: Refusal | "mayHaveRun", jobId?: string): Promise<void>;
}

/** Interval at which a wait checks whether the store has stopped answering. */
const stallCheckIntervalMs = 100;

/**
 * Creates the waits of one owner.
 *
 * @example
 * const commitWait = createCommitWait({ clock, settings, commits, ownershipLost });
 * await commitWait.until(commits.confirm(), "unavailable");
 */
export const createCommitWait = ({ clock, settings, commits, ownershipLost }: CommitWaitOptions): CommitWait => {
    const isStalled = (): boolean => commits.stalledMs() > settings.refuseStalledMs;
    const refuse: CommitWait["refuse"] = (refusal, jobId = "") =>
        die(refusal, "the store does not answer", {
            retryAfterMs: retryAfterFor("storeAway", settings.retryAfterMs, jobId),
        });
    const pause: CommitWait["pause"] = write =>
        Promise.race([write, ownershipLost, sleep(clock, stallCheckIntervalMs)]);

    return {
        isStalled,
        afterReading: () => sleep(clock, 0),
        refuse,
        pause,
        until: async (write, refusal, jobId) => {
            let isDurable = false;
            const durable = write.then(() => {
                isDurable = true;
            });
            // Paused first, since the write may be durable already.
            await pause(durable);
            while (!isDurable) {
                if (isStalled()) {
                    refuse(refusal, jobId);
                }
                await pause(durable);
            }
        },
    };
};
