/**
 * Limits for how long an owner renews leases without proof that it still owns the shard. A successor counts on every lease of its
 * predecessor being over some time after its own claim, but cannot tell a predecessor behind a network partition that it was replaced. What
 * counts is when a call was sent: a VM that was suspended reads answers that are as old as its suspension.
 */

import type { Clock } from "../../types/ports.js";
import { elapsedSinceMs, type Moment, momentOf } from "../../utils/moments.js";
import type { ShardSettings } from "./shardSettings.js";
import type { ShardWorker } from "./workerTable.js";

/** Dependencies of the proof. */
export interface OwnershipProofOptions {
    readonly clock: Clock;
    readonly settings: Pick<ShardSettings, "formerOwnerMs">;
    readonly workers: () => ReadonlyMap<string, ShardWorker>;
    /** When the call was sent that has claimed the shard; undefined where that is not known. */
    readonly claimSentAt?: Moment | undefined;
    /** Called when there is no recent proof; asks the store for one. */
    readonly onMissing: () => void;
}

/** Proof that this daemon owned the shard until recently. */
export interface OwnershipProof {
    /** Records that the store has carried out a commit of this owner that was sent at this moment. */
    recordCommit(sentAt: Moment): void;
    /** Whether leases may be renewed now. */
    isRecent(): boolean;
}

/** Share of the time that a successor allows for a former owner; the rest is for clocks that differ. */
const maxAgeShare = 0.95;
/** The answers of all workers are reviewed once in this time, since each look asks. */
const reviewIntervalMs = 50;

/**
 * Creates the proof of an owner. The store proves it by the claim or a commit, and at least half of the workers by answers to looks, since
 * a successor would have looked at them with a higher token.
 *
 * @example
 * const proof = createOwnershipProof({ clock, settings, workers: () => workers.all, onMissing: commits.probe });
 * proof.recordCommit(momentOf(clock));
 * proof.isRecent(); // true
 */
export const createOwnershipProof = (
    { clock, settings, workers, claimSentAt, onMissing }: OwnershipProofOptions,
): OwnershipProof => {
    const maxAgeMs = maxAgeShare * settings.formerOwnerMs;
    let committedAt = claimSentAt;
    let reviewed: { readonly at: Moment; readonly isProof: boolean; } | undefined;

    const isYoung = (sentAt: Moment | undefined): boolean =>
        sentAt !== undefined && elapsedSinceMs(clock, sentAt) <= maxAgeMs;

    const doWorkersProve = (): boolean => {
        if (reviewed === undefined || elapsedSinceMs(clock, reviewed.at) >= reviewIntervalMs) {
            const all = [...workers().values()];
            const answering = all.filter(({ answeredLookSentAt }) => isYoung(answeredLookSentAt)).length;
            reviewed = { at: momentOf(clock), isProof: answering > 0 && 2 * answering >= all.length };
        }
        return reviewed.isProof;
    };

    return {
        recordCommit: sentAt => {
            if (committedAt === undefined || elapsedSinceMs(clock, sentAt) < elapsedSinceMs(clock, committedAt)) {
                committedAt = sentAt;
            }
        },
        isRecent: () => {
            const isRecent = isYoung(committedAt) || doWorkersProve();
            if (!isRecent) {
                onMissing();
            }
            return isRecent;
        },
    };
};
