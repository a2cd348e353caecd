/** Messages between daemons. Every call is answered by the handler of the same name in `core/node.ts`. */

import type { Configuration } from "./configuration.js";
import type { Decision } from "./decision.js";
import type { AttemptReport, Job, Task } from "./job.js";
import type { Resources } from "./resources.js";

/** A task offered to the owner of racks. */
export interface TaskOffer {
    readonly attemptId: string;
    readonly taskId: string;
    readonly size: Resources;
    readonly payload: string;
    readonly checkpoint: string;
    readonly policy: string;
    readonly priority: number;
    /** True where the attempt may be stopped to make room for more urgent work. */
    readonly preemptible: boolean;
    /** How long the task has waited; a long wait earns a worker that is kept free for it. */
    readonly waitedMs: number;
    /** What a worker is kept free for: the task, or the whole gang. */
    readonly keepKey: string;
    readonly gang: boolean;
    /** Workers on which the task failed before. */
    readonly avoid: readonly string[];
}

/** Tasks of one home, offered to a rack owner. */
export interface PlaceRequest {
    readonly homeId: string;
    /** Version of the home's ownership row; an owner refuses a lower one than it has seen. */
    readonly homeVersion: number;
    readonly offers: readonly TaskOffer[];
}

/** A reservation; offers without one were refused. */
export interface Placement {
    readonly attemptId: string;
    readonly workerId: string;
    readonly rackKey: string;
    /** Generation of the VM list in which the owner saw the worker. */
    readonly listedGeneration: number;
}

/** What the owner reserved. */
export interface PlaceResponse {
    readonly placements: readonly Placement[];
}

/** States of an attempt at the owner of its rack. `undecided`: the worker has not answered yet. */
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

/** Attempts by id, with the rack they were placed in. */
export interface AttemptsRequest {
    /** With `release`: work that needs no worker kept free any more. */
    readonly keepKeys?: readonly string[];
    readonly homeId: string;
    readonly homeVersion: number;
    readonly attempts: readonly Placement[];
}

/** State of each attempt that was asked about. */
export interface AttemptsResponse {
    readonly states: Readonly<Record<string, AttemptState>>;
}

/** Ended attempts of one home's tasks. */
export interface ReportRequest {
    readonly homeId: string;
    readonly reports: readonly AttemptReport[];
}

/** Reports that are durable, or of no more interest. */
export interface ReportResponse {
    readonly settled: readonly string[];
}

/** Free room of one daemon's workers; of fixed size. */
export interface CapacitySummary {
    /** All workers owned; the amounts are of those that are open to any task. */
    readonly workers: number;
    readonly capacity: Resources;
    readonly free: Resources;
    /** Room of the worker with most free processors. */
    readonly mostFree: Resources;
}

/** What daemons tell each other regularly. */
export interface Gossip {
    readonly sessionId: string;
    /** The session that this one named as its deputy; empty for none. */
    readonly deputy: string;
    readonly configurationVersion: number;
    readonly draining: boolean;
    readonly capacity: CapacitySummary;
    /** Free slots by service. */
    readonly freeSlots: Readonly<Record<string, number>>;
    /** Held by the running tasks of teams that have a quota. */
    readonly teamUse: Readonly<Record<string, Resources>>;
}

/** What a daemon answers to gossip. */
export interface GossipReply {
    readonly configurationVersion: number;
    /** The deputy promises not to take over for this long, counted from when it answers; 0 for no promise. */
    readonly promiseMs: number;
}

/** A worker as its owner shows it. */
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

/** An upstream as its owner shows it. */
export interface UpstreamView {
    readonly upstreamId: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly state: string;
    readonly slotsInUse: number;
    readonly slots: number;
    readonly ownerDaemonId: string;
}

/** A daemon as it shows itself. */
export interface DaemonView {
    readonly daemonId: string;
    readonly vmId: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly reachable: boolean;
    readonly draining: boolean;
    readonly ownedRacks: number;
    readonly ownedUpstreams: number;
    readonly homes: number;
    readonly queuedTasks: number;
    readonly configurationVersion: number;
    readonly configurationInForceSinceMs: number;
}

/** Counts and waits of one daemon. */
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

/** Asks for everything that an owner knows of a home, and shuts out earlier holders of the home. */
export interface HomeAttemptsRequest {
    readonly homeId: string;
    readonly homeVersion: number;
}

/** An attempt of a home, as the owner of its rack knows it. */
export interface HomeAttempt {
    readonly attemptId: string;
    readonly taskId: string;
    readonly workerId: string;
    readonly rackKey: string;
    readonly listedGeneration: number;
    readonly state: AttemptState;
}

/** What the owner knows of a home's attempts. */
export interface HomeAttemptsResponse {
    readonly attempts: readonly HomeAttempt[];
    /** Racks of which every worker has answered since this daemon owns them. */
    readonly decidedRacks: readonly string[];
}

/** Calls between daemons: what goes in and what comes out. */
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
 * Calls to other daemons. Fails with `unavailable` where the call surely was not delivered, with `mayHaveRun` where
 * the answer was lost, and with the peer's own kind where it answered with an error.
 */
export interface PeerPort {
    call<K extends PeerCallName>(
        address: string,
        name: K,
        input: PeerCalls[K]["input"],
    ): Promise<PeerCalls[K]["output"]>;
}

/** A call to the daemon of a session, this one's own included; fails as `PeerPort` does. */
export type CallSession = <K extends PeerCallName>(
    sessionId: string,
    name: K,
    input: PeerCalls[K]["input"],
) => Promise<PeerCalls[K]["output"]>;
