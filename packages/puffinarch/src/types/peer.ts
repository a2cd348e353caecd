/** Messages between daemons. The handlers of the calls, which have the same names, are in `core/node.ts`. */

import type { Configuration } from "./configuration.js";
import type { Decision } from "./decision.js";
import type { AttemptReport, Job, Task } from "./job.js";
import type { Resources } from "./resources.js";

/** Asks a rack owner to reserve a worker for one attempt at a task. */
export interface TaskOffer {
    readonly attemptId: string;
    readonly taskId: string;
    readonly size: Resources;
    readonly payload: string;
    readonly checkpoint: string;
    readonly policy: string;
    readonly priority: number;
    /** True where the attempt may be stopped in favour of more urgent work. */
    readonly preemptible: boolean;
    /** How long the task has waited; after a long wait the owner keeps a worker free for it. */
    readonly waitedMs: number;
    /** Key under which workers are kept free: one for each task, or one for a whole gang. */
    readonly keepKey: string;
    readonly gang: boolean;
    /** Ids of workers on which the task failed before. */
    readonly avoid: readonly string[];
}

/** Offers of one home's tasks to a rack owner. */
export interface PlaceRequest {
    readonly homeId: string;
    /** Version of the home's ownership row. It acts as a fencing token: an owner refuses a lower version than it has received before. */
    readonly homeVersion: number;
    readonly offers: readonly TaskOffer[];
}

/** A reservation on a worker for one attempt; an offer that gets none is refused. */
export interface Placement {
    readonly attemptId: string;
    readonly workerId: string;
    readonly rackKey: string;
    /** Generation of the owner's VM list, which contained the worker. */
    readonly listedGeneration: number;
}

/** Reservations that the owner made for a `PlaceRequest`. */
export interface PlaceResponse {
    readonly placements: readonly Placement[];
}

/**
 * States of an attempt at the owner of its rack. `absent`: it does not run, but may have. `notStarted`: it never ran and will not run.
 * `undecided`: not determined yet, because the worker has not answered, or because the owner may itself have been replaced.
 */
export const attemptStates = {
    reserved: "reserved",
    starting: "starting",
    running: "running",
    ended: "ended",
    absent: "absent",
    notStarted: "notStarted",
    undecided: "undecided",
} as const;
/** One of `attemptStates`. */
export type AttemptState = (typeof attemptStates)[keyof typeof attemptStates];

/** A request of a home about some of its attempts: to start, stop or release them, or to return their states. */
export interface AttemptsRequest {
    /** For `release` only: keys under which no worker needs to be kept free any more. */
    readonly keepKeys?: readonly string[];
    readonly homeId: string;
    /** Version of the home's ownership row, as in `PlaceRequest`. */
    readonly homeVersion: number;
    readonly attempts: readonly Placement[];
}

/** States of the attempts in a request, by attempt id. */
export interface AttemptsResponse {
    readonly states: Readonly<Record<string, AttemptState>>;
}

/** Reports of ended attempts at one home's tasks. */
export interface ReportRequest {
    readonly homeId: string;
    readonly reports: readonly AttemptReport[];
}

/** Answer to reports: the sender drops the settled ones and sends the others again. */
export interface ReportResponse {
    /** Ids of attempts whose end the home has made durable or does not need. */
    readonly settled: readonly string[];
}

/** Summary of the capacity of one daemon's workers, whose size does not depend on their number. */
export interface CapacitySummary {
    /** Number of all workers that the daemon owns; the other fields cover only workers that are open to any task. */
    readonly workers: number;
    readonly capacity: Resources;
    readonly free: Resources;
    /** Free resources of the worker with the most free processors. */
    readonly mostFree: Resources;
}

/** State that each daemon sends to its peers at regular intervals. */
export interface Gossip {
    readonly sessionId: string;
    /** The session that may take over from this one, as named by this one; empty for none. */
    readonly deputy: string;
    readonly configurationVersion: number;
    readonly draining: boolean;
    readonly capacity: CapacitySummary;
    /** Free upstream slots by service. */
    readonly freeSlots: Readonly<Record<string, number>>;
    /** Resources of running tasks by team, for teams that have a quota. */
    readonly teamUse: Readonly<Record<string, Resources>>;
}

/** Answer to gossip. */
export interface GossipReply {
    readonly configurationVersion: number;
    /**
     * Promise of the deputy that it does not take over from the sender for this long; 0 for no promise. The deputy counts from its
     * answer and the sender from its own message, so that the sender's count ends first.
     */
    readonly promiseMs: number;
}

/** A worker's state at its owner. */
export interface WorkerView {
    readonly workerId: string;
    readonly dataCentre: string;
    readonly rack: string;
    readonly state: string;
    readonly capacity: Resources;
    readonly reserved: Resources;
    readonly used: Resources;
    readonly attemptIds: readonly string[];
    readonly ownerDaemonId: string;
}

/** An upstream's state at its owner. */
export interface UpstreamView {
    readonly upstreamId: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly state: string;
    readonly slotsInUse: number;
    readonly slots: number;
    readonly ownerDaemonId: string;
}

/** A daemon's own state. */
export interface DaemonView {
    readonly daemonId: string;
    readonly vmId: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly reachable: boolean;
    readonly draining: boolean;
    readonly ownedRacks: number;
    readonly ownedUpstreams: number;
    /** Number of homes that the daemon holds. */
    readonly homes: number;
    readonly queuedTasks: number;
    readonly configurationVersion: number;
    readonly configurationInForceSinceMs: number;
}

/** Counters, capacity and task waiting times of one daemon. */
export interface NodeReport {
    readonly tasksAccepted: number;
    readonly tasksEnded: number;
    readonly tasksQueued: number;
    readonly tasksRunning: number;
    readonly waitP50Ms: number;
    readonly waitP99Ms: number;
    readonly reservedCpuMillis: number;
    readonly capacityCpuMillis: number;
    readonly tableWrites: number;
    readonly tableReads: number;
    readonly requestsAnswered: number;
}

/** Requests all attempts of a home that a rack owner holds. From then on the owner refuses requests of earlier holders of the home. */
export interface HomeAttemptsRequest {
    readonly homeId: string;
    readonly homeVersion: number;
}

/** An attempt of a home, with its state at the owner of its rack. */
export interface HomeAttempt {
    readonly attemptId: string;
    readonly taskId: string;
    readonly workerId: string;
    readonly rackKey: string;
    readonly listedGeneration: number;
    readonly state: AttemptState;
}

/** Attempts of a home at one rack owner. */
export interface HomeAttemptsResponse {
    readonly attempts: readonly HomeAttempt[];
    /** Racks for which `attempts` is complete: all their workers have answered since this daemon became their owner. */
    readonly decidedRacks: readonly string[];
}

/** Calls between daemons, by name, with their input and output. */
export interface PeerCalls {
    readonly place: { readonly input: PlaceRequest; readonly output: PlaceResponse; };
    readonly start: { readonly input: AttemptsRequest; readonly output: AttemptsResponse; };
    readonly release: { readonly input: AttemptsRequest; readonly output: AttemptsResponse; };
    readonly stop: { readonly input: AttemptsRequest; readonly output: AttemptsResponse; };
    readonly attemptStates: { readonly input: AttemptsRequest; readonly output: AttemptsResponse; };
    readonly attemptsOfHome: { readonly input: HomeAttemptsRequest; readonly output: HomeAttemptsResponse; };
    readonly report: { readonly input: ReportRequest; readonly output: ReportResponse; };
    readonly gossip: { readonly input: Gossip; readonly output: GossipReply; };
    readonly configuration: { readonly input: { readonly version: number; }; readonly output: Configuration; };
    readonly job: { readonly input: { readonly jobId: string; }; readonly output: Job; };
    readonly cancel: { readonly input: { readonly jobId: string; }; readonly output: Job; };
    readonly jobs: {
        readonly input: { readonly team: string; readonly afterJobId: string; readonly limit: number; };
        readonly output: readonly Job[];
    };
    readonly task: { readonly input: { readonly taskId: string; }; readonly output: Task; };
    readonly cancelTask: { readonly input: { readonly taskId: string; }; readonly output: Task; };
    readonly tasks: {
        readonly input: { readonly jobId: string; readonly afterIndex: number; readonly limit: number; };
        readonly output: readonly Task[];
    };
    readonly decisions: {
        readonly input: { readonly subject: string; readonly limit: number; };
        readonly output: readonly Decision[];
    };
    readonly workers: { readonly input: { readonly dataCentre: string; }; readonly output: readonly WorkerView[]; };
    readonly upstreams: { readonly input: { readonly service: string; }; readonly output: readonly UpstreamView[]; };
    readonly daemon: { readonly input: { readonly detail: boolean; }; readonly output: DaemonView; };
    readonly nodeReport: { readonly input: { readonly detail: boolean; }; readonly output: NodeReport; };
    readonly drain: { readonly input: { readonly reason: string; }; readonly output: { readonly draining: boolean; }; };
}

/** Name of a call between daemons. */
export type PeerCallName = keyof PeerCalls;

/** Answers one kind of call. */
export type PeerHandler<K extends PeerCallName> = (input: PeerCalls[K]["input"]) => Promise<PeerCalls[K]["output"]>;
/** One handler for each call. */
export type PeerHandlers = { readonly [K in PeerCallName]: PeerHandler<K>; };

/**
 * Calls to other daemons. Fails with the kind `unavailable` where the call was certainly not delivered, with `mayHaveRun` where no
 * answer arrived, and with the peer's error kind where it answered with an error.
 */
export interface PeerPort {
    call<K extends PeerCallName>(
        address: string,
        name: K,
        input: PeerCalls[K]["input"],
    ): Promise<PeerCalls[K]["output"]>;
}

/** Calls the daemon that holds a session, which may be the calling daemon itself; fails as `PeerPort` does. */
export type CallSession = <K extends PeerCallName>(
    sessionId: string,
    name: K,
    input: PeerCalls[K]["input"],
) => Promise<PeerCalls[K]["output"]>;
