/**
 * Counts short tenures: consecutive owners of a shard that were each replaced soon after their claim because they seemed lost or
 * slow. The work of a takeover can itself make an owner seem so, and each successor has to repeat that work. Every short tenure
 * therefore doubles the timeouts for the next owner.
 */

import type { OwnerRow } from "../../types/cellPorts.js";

/** Why a daemon claims a shard. */
export const claimReasons = {
    /** The shard has no owner row. */
    noOwner: "noOwner",
    /** An earlier process of this daemon owned the shard. */
    restarted: "restarted",
    /** The owner row names this process, which does not own the shard any more. */
    lost: "lost",
    /** The owner does not answer pings. */
    ownerSilent: "ownerSilent",
    /** The owner's commits are not answered by the store. */
    ownerStalled: "ownerStalled",
    /** The owner's VM has become slow, and it asks this daemon to claim. */
    ownerSlow: "ownerSlow",
    /** The owner stops or is weak, and asks this daemon to claim. */
    handOver: "handOver",
} as const;
/** One of `claimReasons`. */
export type ClaimReason = (typeof claimReasons)[keyof typeof claimReasons];

/** Within this time a VM of a third of a core completes the work of a takeover with 350 workers. */
const settlingBaseMs = 5_000;
/** A tenure is short where it ends within its settling time multiplied by this factor. */
const shortTenureFactor = 2;
/** Most doublings of the timeouts; with 3 the failure of an owner is detected after 2.8 s. */
const maxDoublings = 3;

/** Reasons for a claim that an overloaded owner can cause. */
const overloadReasons: ReadonlySet<ClaimReason> = new Set([
    claimReasons.ownerSilent,
    claimReasons.ownerStalled,
    claimReasons.ownerSlow,
]);

/**
 * Returns the factor on the timeouts after which a silent or stalled owner is replaced. Without it, the work of a
 * takeover of 350 workers makes each new owner seem lost: 31 owners follow one another within 15 s.
 *
 * @example
 * timeoutFactor({ shortOffices: 2 }); // 4
 */
export const timeoutFactor = ({ shortOffices = 0 }: Pick<OwnerRow, "shortOffices">): number =>
    2 ** Math.min(maxDoublings, shortOffices);

/**
 * Returns the time after its claim, in ms, before which an owner does not treat its VM as slow: until then the work of the
 * takeover delays its timers.
 *
 * @example
 * settlingMs({ shortOffices: 1 }); // 10000
 */
export const settlingMs = (row: Pick<OwnerRow, "shortOffices">): number => settlingBaseMs * timeoutFactor(row);

/**
 * Returns the number of consecutive short tenures to store in a new owner's row.
 *
 * @example
 * countShortTenures({ previous: row, lastedMs: 1_200, why: "ownerSilent" }); // one more than in the row
 */
export const countShortTenures = (
    { previous, lastedMs, why }: {
        readonly previous: Pick<OwnerRow, "shortOffices"> | undefined;
        readonly lastedMs: number;
        readonly why: ClaimReason;
    },
): number => {
    if (previous === undefined || lastedMs > shortTenureFactor * settlingMs(previous)) {
        return 0;
    }
    return (previous.shortOffices ?? 0) + (overloadReasons.has(why) ? 1 : 0);
};
