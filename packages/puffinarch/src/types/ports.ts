/**
 * The ports: the only places where the library touches the outside. The daemon passes adapters, tests pass fakes,
 * and both meet the contracts in `features/`.
 */

import type { AttemptOutcome } from "./job.js";
import type { Resources } from "./resources.js";

/** Stops a timer; calling it twice is harmless. */
export type CancelTimer = () => void;

/** Time. Wall time is for people only; every decision uses the monotonic reading. */
export interface Clock {
    /** Milliseconds since the Unix epoch. */
    nowMs(): number;
    /** Milliseconds since an arbitrary start; never steps back. */
    monotonicMs(): number;
    setTimer(delayMs: number, run: () => void): CancelTimer;
}

/** Random numbers, evenly spread over 0 (inclusive) to 1 (exclusive). */
export interface Random {
    next(): number;
}

/** A row of the platform's table; `version` differs after every change of the row. */
export interface TableRow {
    readonly key: string;
    readonly version: number;
    readonly value: unknown;
}

/** Demands that a row has this version, or that there is none. */
export interface RowCondition {
    readonly key: string;
    readonly version: number | "absent";
}

/** At most 25 rows, each at most 64 KiB as JSON. */
export interface Transaction {
    readonly conditions: readonly RowCondition[];
    readonly puts: readonly { readonly key: string; readonly value: unknown; }[];
    readonly deletes: readonly string[];
}

/** `refused`: surely no effect. `unknown`: it may have taken effect, now or a little later. */
export type TransactResult =
    | { readonly outcome: "committed"; readonly version: number; }
    | { readonly outcome: "conflict" | "refused" | "unknown"; };

/** The platform's transactional table. Reads fail with the kind `unavailable`. */
export interface TableStore {
    read(keys: readonly string[]): Promise<readonly TableRow[]>;
    /** Rows whose key starts with the prefix, in key order, all of them. */
    scan(prefix: string): Promise<readonly TableRow[]>;
    transact(transaction: Transaction): Promise<TransactResult>;
}

/** The platform's object store. Fails with the kind `unavailable`. */
export interface ObjectStore {
    put(key: string, body: string): Promise<void>;
    get(key: string): Promise<string | undefined>;
    delete(key: string): Promise<void>;
}

/** Roles of a VM in the platform's list. */
export const vmRoles = { entry: "entry", worker: "worker", upstream: "upstream" } as const;
/** One of `vmRoles`. */
export type VmRole = (typeof vmRoles)[keyof typeof vmRoles];

/** A VM as the platform lists it. */
export interface Vm {
    readonly vmId: string;
    readonly role: VmRole;
    readonly dataCentre: string;
    readonly address: string;
    readonly leaving: boolean;
    /** Workers only. */
    readonly rack?: string;
    /** Workers only. */
    readonly capacity?: Resources;
    /** Upstreams only. */
    readonly service?: string;
}

/** A lagging reading of the list. Generations grow; a VM once listed and now missing is gone for good. */
export interface VmListing {
    readonly generation: number;
    readonly vms: readonly Vm[];
}

/** The platform's list of VMs. Fails with the kind `unavailable`. */
export interface VmList {
    list(): Promise<VmListing>;
}

/** Order to a worker to start one attempt. `startBeforeMs` is on the worker's own clock. */
export interface StartOrder {
    readonly attemptId: string;
    readonly taskId: string;
    readonly homeId: string;
    readonly size: Resources;
    readonly payload: string;
    /** What an earlier attempt saved, to go on from; empty to begin anew. */
    readonly checkpoint: string;
    readonly leaseMs: number;
    readonly startBeforeMs: number;
}

/** An attempt that a worker runs; usage lags. */
export interface RunningAttempt {
    readonly attemptId: string;
    readonly taskId: string;
    readonly homeId: string;
    readonly size: Resources;
    readonly used: Resources;
}

/** An attempt that ended on a worker and that nobody has acknowledged yet. */
export interface EndedAttempt {
    readonly attemptId: string;
    readonly taskId: string;
    readonly homeId: string;
    readonly outcome: AttemptOutcome;
    readonly result: string;
    /** Saved by an attempt that was stopped with a checkpoint; empty otherwise. */
    readonly checkpoint: string;
}

/** Everything a worker knows, with its own clock at the time. */
export interface WorkerReport {
    readonly nowMs: number;
    /** Differs after each start of the worker's own process, which forgets everything. */
    readonly bootId: string;
    /** Grows with each change of what runs. */
    readonly version: number;
    /** True where `running` is everything; false where it is what changed since the version that the poll named. */
    readonly complete: boolean;
    readonly running: readonly RunningAttempt[];
    /** Attempts that have stopped running since that version. */
    readonly gone: readonly string[];
    readonly ended: readonly EndedAttempt[];
}

/** Renews the leases of all attempts that run, forgets the ended ones acknowledged, and waits for news. */
export interface WorkerPoll {
    /** What the owner has seen of this worker; undefined asks for everything. */
    readonly seen: { readonly bootId: string; readonly version: number; } | undefined;
    /** 0 renews nothing. */
    readonly leaseMs: number;
    readonly acknowledge: readonly string[];
    /** The worker holds its answer this long unless an attempt ends. */
    readonly waitMs: number;
}

/** `refused`: surely not started. `unknown`: it may have started. */
export type StartOutcome = "started" | "refused" | "unknown";

/** Orders to a worker about an attempt that runs. */
export interface StopOrder {
    readonly attemptId: string;
    /** Saves the attempt's progress before it is stopped. */
    readonly checkpoint: boolean;
}

/** Workers. All but `start` fail with the kind `unavailable`. */
export interface WorkerPort {
    start(address: string, order: StartOrder): Promise<StartOutcome>;
    poll(address: string, poll: WorkerPoll): Promise<WorkerReport>;
    stop(address: string, orders: readonly StopOrder[]): Promise<void>;
    /** Limits the processors that an attempt may use, in thousandths of a core. */
    throttle(address: string, attemptId: string, cpuMillis: number): Promise<void>;
}

/** What an upstream says of itself. */
export interface UpstreamStatus {
    readonly leaving: boolean;
    readonly slotsInUse: number;
}

/** Upstreams' own status; fails with the kind `unavailable`. */
export interface UpstreamPort {
    status(address: string): Promise<UpstreamStatus>;
}

/** Levels of the log, gravest first. */
export const logLevels = ["error", "warn", "info", "debug"] as const;
/** One of `logLevels`. */
export type LogLevel = (typeof logLevels)[number];

/** Structured log: an event name and its fields. */
export interface Log {
    write(level: LogLevel, event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Counters and histograms; names carry the unit as a suffix. */
export interface Meter {
    count(name: string, by?: number): void;
    record(name: string, value: number): void;
    /** Sum of a counter; 0 for one never counted. */
    total(name: string): number;
    /** A percentile (0 to 100) of a histogram; 0 for one never recorded. */
    percentile(name: string, percent: number): number;
}
