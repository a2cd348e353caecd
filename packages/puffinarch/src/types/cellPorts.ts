/**
 * Ports of a shard's scheduler: the store of rows, the workers with fencing tokens, the advisor and the other daemons.
 * Adapters implement them; tests pass fakes.
 */

import type { CellConfiguration, JobFailure, JobReference, JobState, JobSubmission } from "./work.js";

/** A row of the store. Versions come from one counter that grows with each transaction. */
export interface Row {
    readonly table: string;
    readonly part: string;
    readonly key: string;
    /** JSON text; undefined where the row was removed. */
    readonly value: string | undefined;
    readonly version: number;
}

/** Names a row. */
export interface RowKey {
    readonly table: string;
    readonly part: string;
    readonly key: string;
}

/** Demands that a row has this version; 0 demands that there is none. */
export interface RowExpectation extends RowKey {
    readonly version: number;
}

/** All of it takes effect, or nothing; one part, at most `maxRowsPerTransaction` entries. */
export interface RowTransaction {
    readonly expect: readonly RowExpectation[];
    readonly puts: readonly (RowKey & { readonly value: string; })[];
    readonly removes: readonly RowKey[];
}

/** `refused`: surely no effect. `unknown`: it took effect, or still may. */
export type RowTransactResult =
    | { readonly outcome: "committed"; readonly version: number; }
    | { readonly outcome: "conflict"; readonly rows: readonly Row[]; }
    | { readonly outcome: "refused" | "unknown"; readonly reason: string; };

/** Rows of one part as of a single moment. */
export interface RowPage {
    readonly rows: readonly Row[];
    readonly more: boolean;
    /** Newest version of the store at that moment. */
    readonly version: number;
}

/** Changes of a table since a version; `historyLost` where they are no longer known. */
export type RowChanges =
    | { readonly kind: "changes"; readonly rows: readonly Row[]; readonly version: number; }
    | { readonly kind: "historyLost"; };

/** The platform's transactional store of rows. Reads fail with the kind `unavailable`. */
export interface RowStore {
    /** Without an answer within `timeoutMs` the outcome is unknown. */
    transact(transaction: RowTransaction, timeoutMs: number): Promise<RowTransactResult>;
    /**
     * Keys in ascending order, from `fromKey` on, at most `limit` of them; the store has a limit of its own. `longestMs` is how long
     * an answer may take while it keeps coming, which is as long as the store may be silent where it is left out.
     */
    read(table: string, part: string, fromKey?: string, limit?: number, longestMs?: number): Promise<RowPage>;
    /** Waits up to `waitMs` for a change after `version`. */
    changes(table: string, version: number, waitMs: number): Promise<RowChanges>;
}

/** Order to start one attempt at a task. `deadlineMs` is on the worker's own clock. */
export interface RunOrder {
    readonly taskName: string;
    readonly run: number;
    readonly payload: string;
    readonly deadlineMs: number;
    readonly fencingToken: number;
    /** Empty to begin anew. */
    readonly checkpoint: string;
    /** Proof that the advisor allows the step on this worker; empty where none is needed. */
    readonly ticket: string;
}

/**
 * How a worker answered an order. `stale`: a run as high was stopped or ended there. `otherIncarnation`: the worker that the
 * order named is over. `unhealthy`: nothing was done. `unknown`: it may be carried out, now or later.
 */
export const orderOutcomes = {
    done: "done",
    fenced: "fenced",
    stale: "stale",
    late: "late",
    noRoom: "noRoom",
    badTicket: "badTicket",
    invalid: "invalid",
    unhealthy: "unhealthy",
    otherIncarnation: "otherIncarnation",
    unknown: "unknown",
} as const;
/** One of `orderOutcomes`. */
export type OrderOutcome = (typeof orderOutcomes)[keyof typeof orderOutcomes];

/** An attempt that runs on a worker. */
export interface RunningRun {
    readonly taskName: string;
    readonly run: number;
    readonly checkpoint: string;
    /** Share at which it works; 100 unless it was paced. */
    readonly percent: number;
    /** Rough figure of the last half second: latency in ms for a serving task, thousandths of a core for others. */
    readonly figure: number;
}

/** How a run ended on its worker. */
export const runEnds = {
    done: "done",
    failed: "failed",
    stopped: "stopped",
    lapsed: "lapsed",
    broken: "broken",
    alone: "alone",
} as const;
/** One of `runEnds`. */
export type RunEnd = (typeof runEnds)[keyof typeof runEnds];

/** A run that ended; the worker lists it until its number is acknowledged. */
export interface EndedRun {
    readonly endNumber: number;
    readonly taskName: string;
    readonly run: number;
    readonly how: RunEnd;
    readonly checkpoint: string;
}

/** What a worker shows of itself. */
export type LookResult =
    | {
        readonly outcome: "done";
        readonly clockMs: number;
        /** When the incarnation that answers began, as in its `WorkerEntry`; undefined where it does not say. */
        readonly bornAtMs?: number;
        readonly running: readonly RunningRun[];
        readonly ended: readonly EndedRun[];
    }
    | {
        readonly outcome: Exclude<OrderOutcome, "done">;
        /** The connection was refused or closed, as by a process that has ended; a cut link only lets the look time out. */
        readonly connectionLost?: boolean;
    };

/** Raises the fencing token, renews every lease, acknowledges ends and waits up to `waitMs` for an end. */
export interface LookOrder {
    readonly fencingToken: number;
    readonly acknowledgedEnd: number;
    /** On the worker's own clock; undefined renews nothing. */
    readonly deadlineMs?: number;
    /** How long the answer may wait for an end. */
    readonly waitMs: number;
    /** How much longer than that it may take before the look counts as unanswered. */
    readonly patienceMs: number;
}

/** A worker's id and address. Whichever incarnation is there under the id takes the order. */
export interface WorkerTarget {
    readonly workerId: string;
    readonly address: string;
}

/** Stops one run. */
export interface RunStop {
    readonly taskName: string;
    readonly run: number;
    readonly fencingToken: number;
}

/** Orders to workers. No call rejects: what is not known is `unknown`. */
export interface FencedWorkerPort {
    /** Without an answer within `timeoutMs` the outcome is unknown. */
    start(target: WorkerTarget, order: RunOrder, timeoutMs: number): Promise<OrderOutcome>;
    stop(target: WorkerTarget, order: RunStop, timeoutMs: number): Promise<OrderOutcome>;
    look(target: WorkerTarget, order: LookOrder): Promise<LookResult>;
    /** Limits the share of time that a run works, 0 to 100 percent. */
    pace(target: WorkerTarget, order: RunStop & { readonly percent: number; }): Promise<OrderOutcome>;
}

/** Asks which workers may run a step. */
export interface AdviceRequest {
    /** Job, occurrence and step, as in a task's name without its index. */
    readonly stepName: string;
    readonly workerIds: readonly string[];
    readonly timeoutMs: number;
}

/** Workers that may run the step, each with the ticket to show. */
export interface AdviceAnswer {
    readonly good: readonly { readonly workerId: string; readonly ticket: string; }[];
    readonly validMs: number;
}

/** The advisor; it serves one call at a time for each calling VM. Fails with `unavailable`. */
export interface AdvisorPort {
    advise(request: AdviceRequest): Promise<AdviceAnswer>;
}

/** A daemon as it entered itself in the store. */
export interface MemberRow {
    readonly memberId: string;
    /** Where its peers reach it. */
    readonly address: string;
    readonly dataCentre: string;
    /** Differs after each start of the process. */
    readonly incarnation: string;
    /**
     * Processor time and network of its VM, as a share of what the owner of a whole shard uses at its peak; undefined in
     * rows of an earlier version.
     */
    readonly strength?: number;
}

/** Who owns a shard; the row's version is the fencing token. */
export interface OwnerRow extends MemberRow {
    /** Tells this claim from all others, so that a lost answer can be settled. */
    readonly claimId: string;
    /** Owners right before this one that were each replaced as silent or stalled soon after their claim; none where it is left out. */
    readonly shortOffices?: number;
}

/** An owner as its row says, with the row's version, which is its fencing token. */
export interface KnownOwner {
    readonly row: OwnerRow;
    readonly version: number;
}

/** A daemon's health check of its peer. */
export interface PingRequest {
    readonly from: string;
    /** Version of the newest owner's row that the caller knows; 0 for none. */
    readonly ownerVersion: number;
}

/** Answer of a daemon to its peer's health check. */
export interface PingAnswer {
    readonly incarnation: string;
    /** Fencing token of the shard that it owns; 0 for none. */
    readonly ownedToken: number;
    /** Its claim under way: it may own the shard by the store's word and not know it yet. */
    readonly claimId?: string;
    /** Milliseconds for which its commits have found no answer; 0 where all is well. */
    readonly storeStalledMs: number;
    readonly configurationVersion: number;
    /** Jobs accepted of which no task has started, by queue; undefined where it owns no shard, or still restores it. */
    readonly pending?: Readonly<Record<string, number>>;
    /** Token of the owner that this daemon had an answer from within the last moments; 0 for none. */
    readonly seenOwnerToken: number;
    /** It is about to stop, and claims no shard any more. */
    readonly leaving: boolean;
    /** How late its timers are, while it owns the shard. */
    readonly lagMs: number;
    /** A newer owner's row than the caller knows: the store may have turned the caller away. */
    readonly newerOwner?: KnownOwner;
}

/** Why an owner gives its shard to a peer: it stops, its VM has turned slow, or it is weaker than others. */
export type HandOverReason = "leaving" | "slow" | "weak";

/** Calls between the daemons of a cell: what goes in and what comes out. */
export interface MemberCalls {
    readonly ping: { readonly input: PingRequest; readonly output: PingAnswer; };
    readonly submit: { readonly input: JobSubmission; readonly output: { readonly accepted: true; }; };
    readonly jobState: {
        readonly input: JobReference;
        readonly output: { readonly state: JobState | undefined; readonly failure?: JobFailure | undefined; };
    };
    readonly cancelJob: {
        readonly input: JobReference;
        readonly output: { readonly known: boolean; };
    };
    readonly advise: { readonly input: AdviceRequest; readonly output: AdviceAnswer; };
    readonly configuration: { readonly input: { readonly from: string; }; readonly output: CellConfiguration; };
    /** Asks the daemon to claim the shard from the caller; former versions give no reason. */
    readonly handOver: {
        readonly input: { readonly token: number; readonly why?: HandOverReason; };
        readonly output: { readonly claimed: boolean; };
    };
}

/** Name of a call between the daemons of a cell. */
export type MemberCallName = keyof MemberCalls;

/** One handler for each call. */
export type MemberHandlers = {
    readonly [K in MemberCallName]: (input: MemberCalls[K]["input"]) => Promise<MemberCalls[K]["output"]>;
};

/**
 * Calls to other daemons. Fails with `unavailable` where the call surely was not delivered, with `mayHaveRun` where no
 * answer came, and with the peer's own kind where it answered with an error.
 */
export interface MemberPort {
    call<K extends MemberCallName>(
        address: string,
        name: K,
        input: MemberCalls[K]["input"],
        timeoutMs: number,
        /** How long an answer may take while it keeps coming; `timeoutMs` where it is left out. */
        longestMs?: number,
    ): Promise<MemberCalls[K]["output"]>;
}
