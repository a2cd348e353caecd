/**
 * How often in a row a shard's owner was replaced soon after its claim because it seemed lost or slow. Work that a takeover
 * costs makes an owner seem so, and the next one begins the same anew; each time it is given twice the time.
 */

import type { OwnerRow } from "../../types/cellPorts.js";

/** Why a daemon claims a shard. */
export const claimReasons = {
    noOwner: "noOwner",
    /** Its former process owned it. */
    restarted: "restarted",
    lost: "lost",
    ownerSilent: "ownerSilent",
    /** The owner finds no answer from the store. */
    ownerStalled: "ownerStalled",
    /** The owner takes its VM for slow and asks this daemon to claim. */
    ownerSlow: "ownerSlow",
    /** The owner stops, or is weaker, and asks this daemon to claim. */
    handOver: "handOver",
} as const;
/** One of `claimReasons`. */
export type ClaimReason = (typeof claimReasons)[keyof typeof claimReasons];

/** What a takeover at 350 workers costs is done within this on a VM of a third of a core. */
const settledAfterMs = 5_000;
/** An owner that is replaced within so many times what it was given was replaced soon. */
const soonFactor = 2;
/** Doublings at most: the silence of an owner that is truly lost is then noticed after 2.8 s. */
const mostDoublings = 3;

/** Reasons that being busy can bring about. */
const busyReasons: ReadonlySet<ClaimReason> = new Set([
    claimReasons.ownerSilent,
    claimReasons.ownerStalled,
    claimReasons.ownerSlow,
]);

/**
 * Tells how many times longer than usual an owner may seem silent or stalled before it is replaced; without it, 31 owners
 * followed one another within 15 s on fakes with 350 workers.
 *
 * @example
 * patienceFactor({ shortOffices: 2 }); // 4
 */
export const patienceFactor = ({ shortOffices = 0 }: Pick<OwnerRow, "shortOffices">): number =>
    2 ** Math.min(mostDoublings, shortOffices);

/**
 * Tells how long after its claim an owner may take its VM for slow; before that its timers are late with what the takeover
 * costs.
 *
 * @example
 * settlingMs({ shortOffices: 1 }); // 10000
 */
export const settlingMs = (row: Pick<OwnerRow, "shortOffices">): number => settledAfterMs * patienceFactor(row);

/**
 * Counts the short offices in a row for a new owner.
 *
 * @example
 * countShortOffices({ previous: row, lastedMs: 1_200, why: "ownerSilent" }); // one more than in the row
 */
export const countShortOffices = (
    { previous, lastedMs, why }: {
        readonly previous: Pick<OwnerRow, "shortOffices"> | undefined;
        readonly lastedMs: number;
        readonly why: ClaimReason;
    },
): number => {
    if (previous === undefined || lastedMs > soonFactor * settlingMs(previous)) {
        return 0;
    }
    return (previous.shortOffices ?? 0) + (busyReasons.has(why) ? 1 : 0);
};
