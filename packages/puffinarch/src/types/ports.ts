/**
 * Ports: the interfaces through which the library does all of its I/O. The daemon passes adapters, tests pass fakes; the contracts
 * that both must meet are tested in `features/`.
 */

import type { AttemptOutcome } from "./job.js";
import type { Resources } from "./resources.js";

/** Cancels a timer; idempotent. */
export type CancelTimer = () => void;

/**
 * Wall clock, monotonic clock and timers. Durations and timeouts use the monotonic clock; the wall clock, which may be stepped, is
 * for times that people read or that other processes share.
 */
export interface Clock {
    /** Wall clock: milliseconds since the Unix epoch. */
    nowMs(): number;
    /** Monotonic clock: milliseconds since an arbitrary start. */
    monotonicMs(): number;
    setTimer(delayMs: number, run: () => void): CancelTimer;
}

/** Random numbers, uniformly distributed from 0 (inclusive) to 1 (exclusive). */
export interface Random {
    next(): number;
}

/** A row of the platform's table; each change of the row gives it a new `version`. */
export interface TableRow {
    readonly key: string;
    readonly version: number;
    readonly value: unknown;
}

/** Condition of a transaction: the row must have this version, or must not exist where it is `absent`. */
export interface RowCondition {
    readonly key: string;
    readonly version: number | "absent";
}

/** An atomic transaction of at most 25 rows, each at most 64 KiB as JSON. */
export interface Transaction {
    readonly conditions: readonly RowCondition[];
    readonly puts: readonly { readonly key: string; readonly value: unknown; }[];
    readonly deletes: readonly string[];
}

/**
 * Result of a transaction. `conflict`: a condition did not hold and nothing was written. `refused`: nothing was or will be written.
 * `unknown`: it may have taken effect, or may still do so shortly.
 */
export type TransactResult =
    | { readonly outcome: "committed"; readonly version: number; }
    | { readonly outcome: "conflict" | "refused" | "unknown"; };

/** The platform's transactional table. `read` and `scan` fail with the kind `unavailable`. */
export interface TableStore {
    /** The rows with these keys that exist. */
    read(keys: readonly string[]): Promise<readonly TableRow[]>;
    /** All rows whose key starts with the prefix, in order of their keys. */
    scan(prefix: string): Promise<readonly TableRow[]>;
    transact(transaction: Transaction): Promise<TransactResult>;
}

/** The platform's object store. Fails with the kind `unavailable`. */
export interface ObjectStore {
    put(key: string, body: string): Promise<void>;
    /** Undefined where there is no such object. */
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
    /** True where the VM is about to be shut down. */
    readonly leaving: boolean;
    /** Set for workers only. */
    readonly rack?: string;
    /** Set for workers only. */
    readonly capacity?: Resources;
    /** Set for upstreams only. */
    readonly service?: string;
}

/** A snapshot of the VM list, which may be out of date. A VM that was listed once and is now missing never comes back. */
export interface VmListing {
    /** A higher generation is a newer snapshot. */
    readonly generation: number;
    readonly vms: readonly Vm[];
}

/** The platform's list of VMs. Fails with the kind `unavailable`. */
export interface VmList {
    list(): Promise<VmListing>;
}

/** Order to a worker to start one attempt. */
export interface StartOrder {
    readonly attemptId: string;
    readonly taskId: string;
    readonly homeId: string;
    readonly size: Resources;
    readonly payload: string;
    /** Progress saved by an earlier attempt, to resume from; empty to start from the beginning. */
    readonly checkpoint: string;
    /** The worker ends the attempt where its lease is not renewed for this long. */
    readonly leaseMs: number;
    /** Time on the worker's own clock after which it refuses the order. */
    readonly startBeforeMs: number;
}

/** An attempt that a worker runs. `used` is the measured usage, which may be out of date. */
export interface RunningAttempt {
    readonly attemptId: string;
    readonly taskId: string;
    readonly homeId: string;
    readonly size: Resources;
    readonly used: Resources;
}

/** An attempt that ended on a worker and is not acknowledged yet. */
export interface EndedAttempt {
    readonly attemptId: string;
    readonly taskId: string;
    readonly homeId: string;
    readonly outcome: AttemptOutcome;
    readonly result: string;
    /** Saved by an attempt that was stopped with a checkpoint; empty otherwise. */
    readonly checkpoint: string;
}

/** A worker's answer to a poll: its attempts, or the changes since the version that the poll names. */
export interface WorkerReport {
    /** Reading of the worker's own clock. */
    readonly nowMs: number;
    /** A new value for each start of the worker's process, which keeps no state over a restart. */
    readonly bootId: string;
    /** Grows with each change of the running attempts. */
    readonly version: number;
    /** True where `running` holds all running attempts; false where it holds only those that changed since the polled version. */
    readonly complete: boolean;
    readonly running: readonly RunningAttempt[];
    /** Ids of attempts that have stopped running since the polled version. */
    readonly gone: readonly string[];
    /** All ended attempts that are not acknowledged yet. */
    readonly ended: readonly EndedAttempt[];
}

/** A long poll of one worker. It renews the leases of all running attempts and acknowledges ended ones, which the worker drops. */
export interface WorkerPoll {
    /** State of the worker that the caller already has; undefined asks for a complete report. */
    readonly seen: { readonly bootId: string; readonly version: number; } | undefined;
    /** New duration of the leases; 0 renews none. */
    readonly leaseMs: number;
    /** Ids of ended attempts whose end is durable. */
    readonly acknowledge: readonly string[];
    /** The worker delays its answer for this long unless an attempt ends earlier. */
    readonly waitMs: number;
}

/** `refused`: not started, and never will be. `unknown`: it may have started, or may still start. */
export type StartOutcome = "started" | "refused" | "unknown";

/** Order to a worker to stop one attempt. */
export interface StopOrder {
    readonly attemptId: string;
    /** True to save the attempt's progress before it is stopped. */
    readonly checkpoint: boolean;
}

/** Calls to workers. All but `start` fail with the kind `unavailable`. */
export interface WorkerPort {
    start(address: string, order: StartOrder): Promise<StartOutcome>;
    poll(address: string, poll: WorkerPoll): Promise<WorkerReport>;
    stop(address: string, orders: readonly StopOrder[]): Promise<void>;
    /** Limits the processors that an attempt may use, in thousandths of a core. */
    throttle(address: string, attemptId: string, cpuMillis: number): Promise<void>;
}

/** Status that an upstream reports. */
export interface UpstreamStatus {
    /** True where the upstream is about to shut down. */
    readonly leaving: boolean;
    readonly slotsInUse: number;
}

/** Calls to upstreams; fails with the kind `unavailable`. */
export interface UpstreamPort {
    status(address: string): Promise<UpstreamStatus>;
}

/** Log levels, most severe first. */
export const logLevels = ["error", "warn", "info", "debug"] as const;
/** One of `logLevels`. */
export type LogLevel = (typeof logLevels)[number];

/** Structured log: each entry is an event name and its fields. */
export interface Log {
    write(level: LogLevel, event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Counters and histograms; a histogram's name ends with its unit, such as `Ms`. */
export interface Meter {
    /** Increments a counter, by 1 where `by` is left out. */
    count(name: string, by?: number): void;
    /** Records a value in a histogram. */
    record(name: string, value: number): void;
    /** Value of a counter; 0 where it was never incremented. */
    total(name: string): number;
    /** A percentile (0 to 100) of a histogram; 0 where nothing was recorded. */
    percentile(name: string, percent: number): number;
}
