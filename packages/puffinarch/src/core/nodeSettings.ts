/** Settings of a node's coordination, with defaults that suit a cell of today's size. */

import type { UpstreamChoiceName } from "../plugins/upstreamChoices.js";

/** Settings of a daemon that its coordination needs. */
export interface NodeSettings {
    readonly vmId: string;
    readonly dataCentre: string;
    readonly leaseMs: number;
    readonly pollWaitMs: number;
    readonly startValidityMs: number;
    readonly reservationMs: number;
    readonly deathGraceMs: number;
    readonly sessionLeaseMs: number;
    readonly renewIntervalMs: number;
    readonly promiseMs: number;
    readonly starvationMs: number;
    readonly earlyStartMs: number;
    readonly snapshotBatches: number;
    readonly maintainIntervalMs: number;
    readonly retentionMs: number;
    readonly refreshIntervalMs: number;
    readonly gossipIntervalMs: number;
    readonly pumpIntervalMs: number;
    readonly reconcileIntervalMs: number;
    /** Table writes for journals that the whole cell allows itself; each daemon takes an equal part. */
    readonly journalBatchesPerSecond: number;
    /** Further writes of the whole cell for urgent work and full batches. */
    readonly urgentBatchesPerSecond: number;
    readonly maxPendingEntries: number;
    readonly claimTimeoutMs: number;
    readonly slotsPerUpstream: number;
    readonly maxQueuedRequests: number;
    readonly statusIntervalMs: number;
    readonly drainTimeoutMs: number;
    readonly upstreamChoice: UpstreamChoiceName;
}

/** Settings that suit a cell of today's size. */
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
