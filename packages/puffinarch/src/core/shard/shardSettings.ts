/** Timings, limits and policies of a shard's owner; all can be configured. */

import type { Packing } from "./chooseWorker.js";
import type { SchedulingOrder } from "./urgency.js";

/** Scheduling policies, each selected by name, so that alternatives can be compared on live work. */
export interface ShardPolicies {
    /** Order in which waiting steps are placed. */
    readonly order: SchedulingOrder;
    /** Which of the workers with free capacity are preferred. */
    readonly packing: Packing;
    /** Whether capacity is reserved, and less urgent runs are preempted, for tasks that do not fit anywhere. */
    readonly room: RoomPolicy;
    /** Whether organisations that hold more than their share of the capacity come after the others while it is short. */
    readonly shares: SharesPolicy;
    /** Whether steps of lower priorities leave capacity free for urgent work while it keeps arriving. */
    readonly headroom: HeadroomPolicy;
    /** Which jobs are refused because of the load; `backlogAndLag` where it is left out. */
    readonly admission?: AdmissionPolicy;
    /** Whether learned speeds and biases are used; `learned` where it is left out. */
    readonly runTimes?: RunTimesPolicy;
}

/**
 * `learned`: placement uses the speeds of workers and the biases of estimates that the owner learns. `ignored`: they are learned
 * for the operator only.
 */
export const runTimesPolicies = ["learned", "ignored"] as const;
/** One of `runTimesPolicies`. */
export type RunTimesPolicy = (typeof runTimesPolicies)[number];

/**
 * `planned`: capacity is reserved for tasks that need a large part of a worker, and preemptible runs are stopped for urgent tasks.
 * `none`: tasks are started wherever capacity is free, without reservations or preemption.
 */
export const roomPolicies = ["planned", "none"] as const;
/** One of `roomPolicies`. */
export type RoomPolicy = (typeof roomPolicies)[number];

/**
 * `heldRoom`: while capacity is short, steps of an organisation that holds more than its weighted share of it come after those of
 * the others within the same priority and standing. `none`: what an organisation holds does not change the order.
 */
export const sharesPolicies = ["none", "heldRoom"] as const;
/** One of `sharesPolicies`. */
export type SharesPolicy = (typeof sharesPolicies)[number];

/**
 * `urgentArrivals`: while capacity is short and urgent work has arrived within the last 3 s, steps of a lower priority that can
 * wait leave as much capacity free as urgent work needs at that rate, at most a fifth of all. `none`: they take what is free.
 */
export const headroomPolicies = ["none", "urgentArrivals"] as const;
/** One of `headroomPolicies`. */
export type HeadroomPolicy = (typeof headroomPolicies)[number];

/**
 * `backlog`: jobs that would end after three times their objective are refused. `backlogAndLag`: so are, while the owner itself is
 * late, the submissions that it cannot answer in time, the least urgent first. `none`: no job is refused because of the load.
 */
export const admissionPolicies = ["none", "backlog", "backlogAndLag"] as const;
/** One of `admissionPolicies`. */
export type AdmissionPolicy = (typeof admissionPolicies)[number];

/** Timings and limits of a shard's owner. */
export interface ShardSettings {
    /** Lease of each run; longer than a takeover, and short enough that the tasks of a lost worker soon run again. */
    readonly leaseMs: number;
    /**
     * The longest lease that a worker grants. A run may hold it in full where its deadline was set for the clock of another
     * incarnation of the worker.
     */
    readonly leaseLimitMs: number;
    /**
     * How long a worker may delay the answer to a look, the call that renews its leases and lists its runs, until a run ends. At
     * most a third of the lease, so that two looks may fail.
     */
    readonly lookWaitMs: number;
    /** Longest pause between looks at a worker that does not answer; also the longest wait for the commit of ends before the next look. */
    readonly lookPauseMs: number;
    /** Pause before an unanswered order to a worker is sent again. */
    readonly orderPauseMs: number;
    /**
     * How long an unanswered start may still be carried out; its task waits that long. A start goes unanswered only during a
     * fault, and accepted work may wait at most 3 s although capacity is free once there has been no fault for 4 s. The time must
     * therefore stay below 7 s.
     */
    readonly unansweredStartMs: number;
    /** Whether workers refuse tickets of the advisor that were issued for another incarnation of the worker. */
    readonly ticketsNameIncarnation: boolean;
    /** How long after it was replaced a former owner may go on renewing leases; its successor assumes that it did. */
    readonly formerOwnerMs: number;
    /** How long a worker may take to stop a run; a guarantee of the platform. */
    readonly stopMs: number;
    /** How long a member of a gang waits on its worker for the others to start, before its run ends; a setting of the platform. */
    readonly gangWaitMs: number;
    /** A worker or store that has not answered for this long counts as silent; must exceed `lookWaitMs`, the wait of a look. */
    readonly silentMs: number;
    /**
     * An owner gives the shard up once the store has not answered for this long and most workers count as silent. Below
     * `formerOwnerMs`, the time for which a successor assumes that leases are still renewed.
     */
    readonly cutOffMs: number;
    /** Submissions are refused at once while commits have been unanswered for longer than this. */
    readonly refuseStalledMs: number;
    /** A worker on which a run made no progress gets no new work for this long. */
    readonly stuckWorkerRestMs: number;
    /** An ended job is deleted after this time. */
    readonly retentionMs: number;
    /** Workers per call to the advisor while few tasks wait; the objective of a job assumes 30. */
    readonly usualAdviceWorkers: number;
    /** Most workers per call to the advisor; a limit of the platform. */
    readonly maxAdviceWorkers: number;
    /**
     * Most tasks that an owner holds in memory, of all jobs together; each takes about 1 KB while it runs. Jobs beyond it are refused, and
     * due occurrences wait.
     */
    readonly maxHeldTasks: number;
    /** Retry delay returned to a refused caller. */
    readonly retryAfterMs: number;
    readonly policies: ShardPolicies;
}

/** Default settings; docs/design/platform.md explains the values. */
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
    gangWaitMs: 3_000,
    silentMs: 1_300,
    cutOffMs: 1_800,
    refuseStalledMs: 600,
    stuckWorkerRestMs: 3_000,
    retentionMs: 180_000,
    usualAdviceWorkers: 40,
    maxAdviceWorkers: 100,
    maxHeldTasks: 50_000,
    retryAfterMs: 1_000,
    policies: { order: "due", packing: "scarcest", room: "planned", shares: "none", headroom: "none" },
};
