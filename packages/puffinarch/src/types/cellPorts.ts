/**
 * Ports of a shard's scheduler: the row store, the workers (whose orders carry fencing tokens), the advisor and the other daemons
 * of the cell. Adapters implement these interfaces; tests pass fakes.
 */

import type { CellConfiguration, JobFailure, JobReference, JobState, JobSubmission } from "./work.js";

/** A row of the store. Its version comes from one counter for the whole store, which grows with each transaction. */
export interface Row {
    readonly table: string;
    readonly part: string;
    readonly key: string;
    /** JSON text; undefined where the row was removed. */
    readonly value: string | undefined;
    readonly version: number;
}

/** Identifies a row. */
export interface RowKey {
    readonly table: string;
    readonly part: string;
    readonly key: string;
}

/** Condition of a transaction: the row must have this version, or must not exist where the version is 0. */
export interface RowExpectation extends RowKey {
    readonly version: number;
}

/** Largest rows and transactions that a store accepts. */
export interface StoreLimits {
    /** Most bytes of a row's value as UTF-8. */
    readonly rowBytes: number;
    /** Most conditions, puts and removes of one transaction together. */
    readonly callEntries: number;
    /** Most bytes of the values that one transaction puts. */
    readonly callBytes: number;
}

/** An atomic transaction on rows of one part, within the store's limits. */
export interface RowTransaction {
    readonly expect: readonly RowExpectation[];
    readonly puts: readonly (RowKey & { readonly value: string; })[];
    readonly removes: readonly RowKey[];
}

/**
 * Result of a transaction. `conflict`: a condition did not hold; nothing was written, and `rows` holds the current rows. `refused`:
 * nothing was or will be written, and a later attempt may succeed. `rejected`: the store never accepts this transaction. `unknown`: it may
 * have taken effect, or may still do so.
 */
export type RowTransactResult =
    | { readonly outcome: "committed"; readonly version: number; }
    | { readonly outcome: "conflict"; readonly rows: readonly Row[]; }
    | { readonly outcome: "refused" | "rejected" | "unknown"; readonly reason: string; };

/** A consistent snapshot of rows of one part. */
export interface RowPage {
    readonly rows: readonly Row[];
    /** True where the part has further rows after these. */
    readonly hasMore: boolean;
    /** Newest version of the store at the time of the snapshot. */
    readonly version: number;
}

/** Changes of a table since a version; `historyLost` where the store no longer keeps all of them. */
export type RowChanges =
    | { readonly kind: "changes"; readonly rows: readonly Row[]; readonly version: number; }
    | { readonly kind: "historyLost"; };

/** The platform's transactional row store. `read` and `changes` fail with the kind `unavailable`. */
export interface RowStore {
    readonly limits: StoreLimits;
    /** The outcome is `unknown` where no answer arrives within `timeoutMs`. */
    transact(transaction: RowTransaction, timeoutMs: number): Promise<RowTransactResult>;
    /**
     * Reads rows in ascending order of their keys, starting at `fromKey`: at most `limit`, and no more than the store's own page size.
     * `longestMs` limits the whole answer as long as pieces of it keep arriving; where it is left out, the limit is the adapter's
     * timeout for a silent store.
     */
    read(table: string, part: string, fromKey?: string, limit?: number, longestMs?: number): Promise<RowPage>;
    /** Long poll: waits up to `waitMs` for a change after `version`. */
    changes(table: string, version: number, waitMs: number): Promise<RowChanges>;
}

/** Order to a worker to start a run, which is one attempt at a task. */
export interface StartRunOrder {
    readonly taskName: string;
    /** Number of the attempt; it increases with each attempt at the task. */
    readonly run: number;
    readonly payload: string;
    /** End of the lease of the worker's runs, on the worker's own clock; an order that arrives after it is refused as `late`. */
    readonly deadlineMs: number;
    readonly fencingToken: number;
    /** Saved progress to resume from; empty to start from the beginning. */
    readonly checkpoint: string;
    /** Proof that the advisor allows the step on this worker; empty where none is needed. */
    readonly ticket: string;
}

/**
 * How a worker answered an order:
 * - `done`: carried out, now or by an earlier copy of the order.
 * - `fenced`: the worker has received a higher fencing token.
 * - `stale`: a run of the task with this or a higher number was already started, stopped or ended there.
 * - `late`: the deadline had passed.
 * - `noRoom`: the worker lacks the capacity.
 * - `badTicket`: the ticket does not allow the step on this incarnation of the worker.
 * - `invalid`: the order is malformed or names something that does not exist.
 * - `unhealthy`: the worker takes no orders at present.
 * - `otherIncarnation`: the addressed incarnation of the worker no longer exists.
 * - `notSent`: the time limit ended while the order waited in this process. No part of it was written to a connection, nor will be. Only
 *   for starts.
 * - `unknown`: the order may have been carried out, or may still be.
 *
 * With any outcome other than `done` and `unknown`, the order had no effect.
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
    notSent: "notSent",
    unknown: "unknown",
} as const;
/** One of `orderOutcomes`. */
export type OrderOutcome = (typeof orderOutcomes)[keyof typeof orderOutcomes];

/** A run in progress, as its worker lists it. */
export interface RunningRun {
    readonly taskName: string;
    readonly run: number;
    readonly checkpoint: string;
    /** Share of time in percent for which it may use its processors; 100 unless `pace` reduced it. */
    readonly percent: number;
    /** Approximate measurement over the last 500 ms: latency in ms for a serving task, thousandths of a core used for others. */
    readonly figure: number;
}

/**
 * How a run ended on its worker. `stopped`: by an order. `lapsed`: its lease ran out. `broken`: another member of its gang ended
 * without completing. `alone`: the other members of its gang did not start in time.
 */
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

/** A run that ended; the worker lists it until its `endNumber`, or a higher one, is acknowledged. */
export interface EndedRun {
    /** Position in the worker's sequence of ends; each incarnation counts from the start. */
    readonly endNumber: number;
    readonly taskName: string;
    readonly run: number;
    readonly how: RunEnd;
    readonly checkpoint: string;
}

/** Answer to a look: the worker's clock, its current runs and the ends not yet acknowledged. */
export type LookResult =
    | {
        readonly outcome: "done";
        /** Reading of the worker's own clock. */
        readonly clockMs: number;
        /** Start time of the answering incarnation, as in its `WorkerEntry`; undefined where the worker does not report it. */
        readonly bornAtMs?: number;
        readonly running: readonly RunningRun[];
        readonly ended: readonly EndedRun[];
    }
    | {
        readonly outcome: Exclude<OrderOutcome, "done">;
        /** True where the connection was refused or closed, as by an ended process. A network partition only causes a timeout. */
        readonly connectionLost?: boolean;
    };

/**
 * A look, which is a long poll of one worker: it raises the worker's fencing token, renews the leases of all its runs, acknowledges ends
 * and returns once a run ends or `waitMs` have passed.
 */
export interface LookOrder {
    readonly fencingToken: number;
    /** Highest `endNumber` that is durable at the owner: the worker drops ends up to it. 0 acknowledges none. */
    readonly acknowledgedEnd: number;
    /** New end of the leases, on the worker's own clock; undefined renews none. */
    readonly deadlineMs?: number;
    /** How long the worker may delay its answer until a run ends. */
    readonly waitMs: number;
    /** Time beyond `waitMs` after which the look counts as unanswered. */
    readonly answerTimeoutMs: number;
}

/** A worker's id and address. Any incarnation of the worker that uses this id accepts the order. */
export interface WorkerTarget {
    readonly workerId: string;
    readonly address: string;
}

/** Order to stop one run, or the run that a `pace` order applies to. */
export interface StopRunOrder {
    readonly taskName: string;
    readonly run: number;
    readonly fencingToken: number;
}

/** Orders to workers. No call rejects: a call without an answer resolves with the outcome `unknown`. */
export interface FencedWorkerPort {
    /** The outcome is `unknown` where no answer arrives within `timeoutMs`. */
    start(target: WorkerTarget, order: StartRunOrder, timeoutMs: number): Promise<OrderOutcome>;
    /** The outcome is `unknown` where no answer arrives within `timeoutMs`. */
    stop(target: WorkerTarget, order: StopRunOrder, timeoutMs: number): Promise<OrderOutcome>;
    look(target: WorkerTarget, order: LookOrder): Promise<LookResult>;
    /** Limits the share of time for which a run may use its processors, in percent from 0 to 100. */
    pace(target: WorkerTarget, order: StopRunOrder & { readonly percent: number; }): Promise<OrderOutcome>;
}

/** Asks the advisor which of these workers may run a step. */
export interface AdviceRequest {
    /** Job, occurrence and step: a task's name without its index. */
    readonly stepName: string;
    readonly workerIds: readonly string[];
    readonly timeoutMs: number;
}

/** Answer of the advisor. */
export interface AdviceAnswer {
    /** Workers that may run the step, each with the ticket that its start orders must carry. */
    readonly good: readonly { readonly workerId: string; readonly ticket: string; }[];
    /** How long the tickets are valid. */
    readonly validMs: number;
}

/** The advisor; it processes one call at a time for each calling VM. Fails with the kind `unavailable`. */
export interface AdvisorPort {
    advise(request: AdviceRequest): Promise<AdviceAnswer>;
}

/** A daemon's entry in the store, written by the daemon itself. */
export interface MemberRow {
    readonly memberId: string;
    /** Address for calls from its peers. */
    readonly address: string;
    readonly dataCentre: string;
    /** A new value for each start of the process. */
    readonly incarnation: string;
    /**
     * Processor time and network of its VM, as a share of what the owner of a whole shard uses at its peak, at most 1; undefined in rows
     * that an earlier version wrote.
     */
    readonly strength?: number;
}

/** The owner of a shard; the row's version is the owner's fencing token. */
export interface OwnerRow extends MemberRow {
    /** Unique to this claim: a claimant whose write went unanswered recognises its own row by it. */
    readonly claimId: string;
    /**
     * Number of owners that were replaced as silent, stalled or slow in the unbroken series of short-lived owners before this one; 0
     * where it is left out. Each of them doubles, up to a factor of 8, the time for which this owner may be silent or stalled before it
     * is replaced.
     */
    readonly shortOffices?: number;
}

/** An owner's row with its version, which is the owner's fencing token. */
export interface KnownOwner {
    readonly row: OwnerRow;
    readonly version: number;
}

/** A health check of one daemon by another. */
export interface PingRequest {
    /** Id of the caller. */
    readonly from: string;
    /** Version of the newest owner row that the caller has; 0 for none. */
    readonly ownerVersion: number;
    /** For how long the caller has considered the owner lost, in ms; left out where it does not, and by earlier versions. */
    readonly ownerLostMs?: number;
}

/** Submissions that an owner refuses because it is too late to answer them in time. */
export interface Shedding {
    /**
     * Submissions to queues of larger priority numbers are refused; of those whose number is the integer part, a share of 1 less the
     * fraction.
     */
    readonly fromPriority: number;
    /** Time in ms after which their callers may retry. */
    readonly retryAfterMs: number;
}

/** Answer to a health check. */
export interface PingAnswer {
    readonly incarnation: string;
    /** Fencing token of the shard that it owns or is restoring; 0 for none. */
    readonly ownedToken: number;
    /** Its claim in progress: the claim may have been committed although the store's answer has not arrived yet. */
    readonly claimId?: string;
    /** Milliseconds for which its commit in progress has waited for the store; 0 where none is in progress. */
    readonly storeStalledMs: number;
    /** Version of the configuration in force there; 0 for none. */
    readonly configurationVersion: number;
    /**
     * Number of accepted jobs by queue of which no task has started, scheduled jobs aside; undefined where the daemon owns no shard or
     * is still restoring it.
     */
    readonly pending?: Readonly<Record<string, number>>;
    /** Fencing token of the owner that has answered this daemon recently, or since the caller lost it; 0 for none. */
    readonly seenOwnerToken: number;
    /** True where it is about to stop and no longer claims a shard. */
    readonly leaving: boolean;
    /** Average delay of its timers while it owns the shard; 0 otherwise. */
    readonly lagMs: number;
    /** Submissions that it refuses while it owns the shard; undefined where it refuses none, and on daemons of an earlier version. */
    readonly shedding?: Shedding;
    /** Set where the answering daemon has a newer owner row than the caller, which may be unable to reach the store. */
    readonly newerOwner?: KnownOwner;
}

/** Why an owner hands its shard to a peer: its process stops, its VM has become slow, or its VM has less capacity than others. */
export type HandOverReason = "leaving" | "slow" | "weak";

/** Calls between the daemons of a cell, by name, with their input and output. */
export interface MemberCalls {
    readonly ping: { readonly input: PingRequest; readonly output: PingAnswer; };
    readonly submit: { readonly input: JobSubmission; readonly output: { readonly accepted: true; }; };
    readonly jobState: {
        readonly input: JobReference;
        readonly output: { readonly state: JobState | undefined; readonly failure?: JobFailure | undefined; };
    };
    /** `known` is false where the caller has no such job. */
    readonly cancelJob: {
        readonly input: JobReference;
        readonly output: { readonly known: boolean; };
    };
    readonly advise: { readonly input: AdviceRequest; readonly output: AdviceAnswer; };
    readonly configuration: { readonly input: { readonly from: string; }; readonly output: CellConfiguration; };
    /** Asks the daemon to claim the shard from the caller, its owner. Callers of an earlier version leave out `why`. */
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
 * Calls to other daemons. Fails with the kind `unavailable` where the call was certainly not delivered, with `mayHaveRun` where no
 * answer arrived, and with the peer's error kind where it answered with an error.
 */
export interface MemberPort {
    call<K extends MemberCallName>(
        address: string,
        name: K,
        input: MemberCalls[K]["input"],
        timeoutMs: number,
        /** Limit for the whole answer as long as pieces of it keep arriving; `timeoutMs` where it is left out. */
        longestMs?: number,
    ): Promise<MemberCalls[K]["output"]>;
}
