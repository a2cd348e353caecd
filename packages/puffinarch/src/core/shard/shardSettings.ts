/** Figures that a shard's owner works with; each can be set. */

import type { Packing } from "./chooseWorker.js";
import type { TurnOrder } from "./urgency.js";

/** Ways to decide; each names an entry of a table, so that one can be compared with another on live work. */
export interface ShardPolicies {
    /** In which order waiting steps take their turn. */
    readonly order: TurnOrder;
    /** How full workers are preferred. */
    readonly packing: Packing;
    /** Whether room is kept, and less urgent runs are stopped, for tasks that find none. */
    readonly room: RoomPolicy;
}

/**
 * `planned`: room is kept for tasks that need much of a worker, and runs that give way are stopped for urgent ones.
 * `none`: whoever finds room takes it.
 */
export const roomPolicies = ["planned", "none"] as const;
/** One of `roomPolicies`. */
export type RoomPolicy = (typeof roomPolicies)[number];

/** Timings and limits of a shard's owner. */
export interface ShardSettings {
    /** Lease of everything that runs; outlasts a takeover, and ends soon enough to run a lost worker's tasks again. */
    readonly leaseMs: number;
    /** The longest lease that a worker grants; a deadline on the clock of another incarnation of it gets as much. */
    readonly leaseLimitMs: number;
    /** How long a look may wait for an end; a third of the lease at most, so that two may fail. */
    readonly lookWaitMs: number;
    /** Pause between looks that bring nothing new to make durable. */
    readonly lookPauseMs: number;
    /** Pause before an order without an answer is sent again. */
    readonly orderPauseMs: number;
    /**
     * How long a start without an answer may still be carried out. Its task waits as long: accepted work may stand for 3 s once nothing
     * has been wrong for 4 s, and a start goes unanswered only while something is.
     */
    readonly unansweredStartMs: number;
    /** Whether each worker refuses tickets that were given for another incarnation of it. */
    readonly ticketsNameIncarnation: boolean;
    /** How long a replaced owner may go on renewing leases that its successor cannot see. */
    readonly formerOwnerMs: number;
    /** How long a worker may take to stop a run; a bound of the platform. */
    readonly stopMs: number;
    /** A worker or a store without an answer for this long is silent; a look waits up to `lookWaitMs`. */
    readonly silentMs: number;
    /** An owner to which neither the store nor most workers answered for this long stops; below `formerOwnerMs`. */
    readonly cutOffMs: number;
    /** Commits that find no answer for this long let submissions be refused at once. */
    readonly refuseStalledMs: number;
    /** A worker on which a run got stuck gets no work for this long. */
    readonly stuckWorkerRestMs: number;
    /** An ended job is forgotten after this. */
    readonly retentionMs: number;
    /** Workers named in a call to the advisor where few tasks wait; the objective of a job counts 30. */
    readonly usualAdviceWorkers: number;
    /** Most workers that a call may name; a bound of the platform. */
    readonly maxAdviceWorkers: number;
    /** What a refused caller is told to wait. */
    readonly retryAfterMs: number;
    readonly policies: ShardPolicies;
}

/** What fits the sites of today; the figures are explained in docs/design/platform.md. */
export const defaultShardSettings: ShardSettings = {
    leaseMs: 5_000,
    leaseLimitMs: 10_000,
    lookWaitMs: 1_000,
    lookPauseMs: 250,
    orderPauseMs: 100,
    unansweredStartMs: 6_500,
    ticketsNameIncarnation: false,
    formerOwnerMs: 2_500,
    stopMs: 900,
    silentMs: 1_300,
    cutOffMs: 1_800,
    refuseStalledMs: 600,
    stuckWorkerRestMs: 3_000,
    retentionMs: 180_000,
    usualAdviceWorkers: 40,
    maxAdviceWorkers: 100,
    retryAfterMs: 1_000,
    policies: { order: "due", packing: "scarcest", room: "planned" },
};
