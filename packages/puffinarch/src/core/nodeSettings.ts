/** Settings of a node's coordination, and their defaults. */

import type { UpstreamChoiceName } from "../plugins/upstreamChoices.js";

/** Settings of a node's coordination. */
export interface NodeSettings {
    readonly vmId: string;
    readonly dataCentre: string;
    /** Lease of a running attempt; the worker ends the attempt when it is not renewed; at least three times `pollWaitMs`. */
    readonly leaseMs: number;
    /** Longest time that a worker holds back its answer to a poll. */
    readonly pollWaitMs: number;
    /** A start order is void this long after it was sent. */
    readonly startValidityMs: number;
    /** A reservation that is not started within this time is released. */
    readonly reservationMs: number;
    /** The units of a dead session are claimed only after this time; longer than `startValidityMs`, so that its start orders are void. */
    readonly deathGraceMs: number;
    /** How long one renewal lets a session act; at least three times `renewIntervalMs`. */
    readonly sessionLeaseMs: number;
    /** Interval between renewals of the session's row. */
    readonly renewIntervalMs: number;
    /** How long a deputy's promise not to take over a session lasts; at most `sessionLeaseMs`. */
    readonly promiseMs: number;
    /** After this wait, a worker may be kept free for a task. */
    readonly starvationMs: number;
    /** When a journal commit takes longer than this, re-runnable tasks start before it completes. */
    readonly earlyStartMs: number;
    /** Number of journal batches after which a home saves a snapshot. */
    readonly snapshotBatches: number;
    /** Interval at which a home checks whether a snapshot is due. */
    readonly maintainIntervalMs: number;
    /** Jobs that ended longer ago than this are dropped with the next snapshot. */
    readonly retentionMs: number;
    /** Interval between reads of the VM list and of the session and unit rows. */
    readonly refreshIntervalMs: number;
    /** Interval between gossip rounds. */
    readonly gossipIntervalMs: number;
    /** Interval between placement rounds of a home. */
    readonly pumpIntervalMs: number;
    /** Interval at which homes query rack owners about unconfirmed attempts, and rack owners resend their reports. */
    readonly reconcileIntervalMs: number;
    /** Rate of journal batches of the whole cell; each live daemon takes an equal share. */
    readonly journalBatchesPerSecond: number;
    /** Additional rate of the whole cell for urgent entries and full batches. */
    readonly urgentBatchesPerSecond: number;
    /** Journal entries, and likewise request ids, that may be pending before new ones are refused as `overloaded`. */
    readonly maxPendingEntries: number;
    /** A request id that could not be claimed within this time is refused. */
    readonly claimTimeoutMs: number;
    /** Concurrent requests that an upstream is sent at most. */
    readonly slotsPerUpstream: number;
    /** Requests that may wait for a slot of one service. */
    readonly maxQueuedRequests: number;
    /** Interval between status queries to an owned upstream. */
    readonly statusIntervalMs: number;
    /** Longest wait for requests in flight when an upstream is handed over, and for journal writes when a home is closed. */
    readonly drainTimeoutMs: number;
    /** Rule that picks one upstream among those with a free slot. */
    readonly upstreamChoice: UpstreamChoiceName;
}

/** Default settings; the batch rates suit a cell of the present size. */
export const defaultNodeSettings: Omit<NodeSettings, "vmId" | "dataCentre"> = {
    leaseMs: 20_000,
    pollWaitMs: 5_000,
    startValidityMs: 2_000,
    reservationMs: 5_000,
    deathGraceMs: 3_000,
    sessionLeaseMs: 6_000,
    renewIntervalMs: 1_500,
    promiseMs: 3_000,
    starvationMs: 5_000,
    earlyStartMs: 250,
    snapshotBatches: 500,
    maintainIntervalMs: 5_000,
    retentionMs: 3_600_000,
    refreshIntervalMs: 1_000,
    gossipIntervalMs: 250,
    pumpIntervalMs: 50,
    reconcileIntervalMs: 1_000,
    journalBatchesPerSecond: 56,
    urgentBatchesPerSecond: 189,
    maxPendingEntries: 20_000,
    claimTimeoutMs: 2_000,
    slotsPerUpstream: 8,
    maxQueuedRequests: 512,
    statusIntervalMs: 1_000,
    drainTimeoutMs: 30_000,
    upstreamChoice: "leastOfTwo",
};
