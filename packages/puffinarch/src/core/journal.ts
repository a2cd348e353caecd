/**
 * The journal of a home: batches of records, one transaction each, one in flight while the next gathers (group
 * commit). Every batch is conditional on the home's ownership row, so a holder that was replaced writes nothing.
 * An unknown outcome is resolved by reading the batch id back, never by guessing.
 */

import type { Clock, Log, Meter, RowCondition, TableRow, TableStore, Transaction } from "../types/ports.js";
import type { JournalRecord } from "../types/records.js";
import { createBucket } from "../utils/bucket.js";
import { errorOf, type Failure } from "../utils/errors.js";
import { sleep } from "../utils/time.js";

/** A row that must not exist yet and is written with the batch, such as the directory entry of a job. */
export interface RowClaim {
    readonly key: string;
    readonly value: unknown;
}

/** A home's durable log. */
export interface Journal {
    /**
     * Resolves once the records are durable. Retries through outages; rejects only when the journal is fenced. Urgent
     * records do not wait for the steady allowance of writes.
     */
    append(records: readonly JournalRecord[], urgent: boolean): Promise<void>;
    /**
     * Like `append`, with a row to claim. Rejects with `alreadyExists` where the row is taken, and with
     * `notAccepted` where the table surely refused; nothing was written then.
     */
    claim(records: readonly JournalRecord[], row: RowClaim, urgent: boolean): Promise<void>;
    /** Batches that hold everything up to now are committed when this resolves. */
    flush(): Promise<void>;
    /** Sequence number of the next batch; every record that was applied stands before it. */
    nextSequence(): number;
    /** Stops writing; pending entries are rejected with `unavailable`. */
    close(): void;
    pendingEntries(): number;
}

/** What a journal needs. */
export interface JournalOptions {
    readonly table: TableStore;
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly journalId: string;
    /** Sequence number of the first batch to write. */
    readonly nextSequence: number;
    /** The ownership row that every batch is conditional on. */
    readonly fence: RowCondition;
    readonly newBatchId: () => string;
    readonly onFenced: () => void;
    /** Steady allowance of batches; as many may come at once after a rest. */
    readonly batchesPerSecond: () => number;
    /** Further allowance while something urgent or a full batch waits. */
    readonly urgentBatchesPerSecond: () => number;
    /** Entries that may wait before claims are refused as overloaded. */
    readonly maxPendingEntries: number;
}

interface Entry {
    readonly records: readonly JournalRecord[];
    readonly row: RowClaim | undefined;
    readonly urgent: boolean;
    readonly sizeBytes: number;
    readonly resolve: () => void;
    readonly reject: (error: Error) => void;
}

interface BatchValue {
    readonly batchId: string;
    readonly records: readonly JournalRecord[];
}

const maxBatchBytes = 48 * 1024;
const maxClaimsPerBatch = 23;
const sequenceDigits = 10;
const unknownFailure: Failure = { kind: "mayHaveRun", message: "it is not known whether the batch was committed" };
const firstRetryMs = 20;
const maxRetryMs = 1_000;

/**
 * Names the row of a batch; rows sort in sequence order.
 *
 * @example
 * journalKey("home-1", 7); // "journal/home-1/0000000007"
 */
export const journalKey = (journalId: string, sequence: number): string =>
    `journal/${journalId}/${String(sequence).padStart(sequenceDigits, "0")}`;

/** A journal as it was read. */
export interface Replayed {
    readonly records: readonly JournalRecord[];
    /** Sequence number of the next batch. */
    readonly nextSequence: number;
    /** Rows that a snapshot holds already and that were not deleted yet. */
    readonly staleKeys: readonly string[];
}

/**
 * Reads a journal from a sequence number on: its records in order.
 *
 * @example
 * const { records, nextSequence } = await replay(table, "home-1", 0);
 */
export const replay = async (table: TableStore, journalId: string, fromSequence: number): Promise<Replayed> => {
    const rows = await table.scan(`journal/${journalId}/`);
    const records: JournalRecord[] = [];
    const staleKeys: string[] = [];
    let nextSequence = fromSequence;
    for (const row of rows) {
        const sequence = Number(row.key.slice(-sequenceDigits));
        if (sequence < fromSequence) {
            staleKeys.push(row.key);
            continue;
        }
        records.push(...(row.value as BatchValue).records);
        nextSequence = sequence + 1;
    }
    return { records, nextSequence, staleKeys };
};

/**
 * Opens a journal for writing.
 *
 * @example
 * const journal = createJournal(options);
 * await journal.append([{ kind: "jobCancelled", jobId: "load-in-7", cancelledAtMs: clock.nowMs() }], false);
 */
export const createJournal = (options: JournalOptions): Journal => {
    const { table, clock, log, meter, journalId, fence } = options;
    const pending: Entry[] = [];
    let sequence = options.nextSequence;
    let flushing: Promise<void> | undefined;
    let closed: Failure | undefined;
    const steady = createBucket(clock, options.batchesPerSecond);
    const urgent = createBucket(clock, options.urgentBatchesPerSecond);
    let urgentPending = 0;
    let pendingBytes = 0;
    let pendingClaims = 0;
    let wake = (): void => {};

    /** A batch that is full gains nothing by waiting. */
    const mayHurry = (): boolean =>
        urgentPending > 0 || pendingBytes >= maxBatchBytes || pendingClaims >= maxClaimsPerBatch;

    /** Waits for leave to write: from the steady allowance, or from the further one where waiting gains nothing. */
    const takeTurn = async (): Promise<void> => {
        for (;;) {
            if (steady.take() || (mayHurry() && urgent.take())) {
                return;
            }
            const waitMs = mayHurry() ? Math.min(steady.waitMs(), urgent.waitMs()) : steady.waitMs();
            const woken = new Promise<void>(resolve => {
                wake = resolve;
            });
            await Promise.race([sleep(clock, Math.ceil(waitMs)), woken]);
        }
    };

    const takeBatch = (): Entry[] => {
        const batch: Entry[] = [];
        let sizeBytes = 0;
        let claims = 0;
        for (const entry of pending) {
            const full = sizeBytes + entry.sizeBytes > maxBatchBytes
                || (entry.row !== undefined && claims === maxClaimsPerBatch);
            if (batch.length > 0 && full) {
                break;
            }
            batch.push(entry);
            sizeBytes += entry.sizeBytes;
            claims += entry.row === undefined ? 0 : 1;
        }
        pending.splice(0, batch.length);
        urgentPending -= batch.filter(entry => entry.urgent).length;
        pendingBytes -= sizeBytes;
        pendingClaims -= claims;
        return batch;
    };

    const transactionOf = (batch: readonly Entry[], batchId: string): Transaction => {
        const key = journalKey(journalId, sequence);
        const rows = batch.flatMap(entry => entry.row === undefined ? [] : [entry.row]);
        const value: BatchValue = { batchId, records: batch.flatMap(entry => entry.records) };
        return {
            conditions: [
                fence,
                { key, version: "absent" },
                ...rows.map(row => ({ key: row.key, version: "absent" as const })),
            ],
            puts: [{ key, value }, ...rows],
            deletes: [],
        };
    };

    const fail = (failure: Failure, entries: readonly Entry[]): void => {
        for (const entry of entries) {
            entry.reject(errorOf(failure));
        }
    };

    const closeWith = (failure: Failure): void => {
        closed = failure;
        urgentPending = 0;
        pendingBytes = 0;
        pendingClaims = 0;
        fail(failure, pending.splice(0));
    };

    const readUntilAnswered = async (keys: readonly string[]): Promise<ReadonlyMap<string, TableRow>> => {
        for (let retryMs = firstRetryMs;; retryMs = Math.min(maxRetryMs, retryMs * 2)) {
            try {
                const rows = await table.read(keys);
                return new Map(rows.map(row => [row.key, row]));
            }
            catch {
                await sleep(clock, retryMs);
            }
            if (closed !== undefined) {
                return new Map();
            }
        }
    };

    const holds = (row: TableRow | undefined, batchId: string): boolean =>
        row !== undefined && (row.value as BatchValue).batchId === batchId;

    /** Finds out why a batch met a conflict; what it names as taken is rejected, the rest is returned to be retried. */
    const settleConflict = async (
        batch: readonly Entry[],
        batchId: string,
    ): Promise<readonly Entry[] | "committed"> => {
        const key = journalKey(journalId, sequence);
        const claimed = batch.flatMap(entry => entry.row === undefined ? [] : [entry.row.key]);
        const rows = await readUntilAnswered([key, fence.key, ...claimed]);
        if (closed !== undefined) {
            fail(closed, batch);
            return [];
        }
        if (holds(rows.get(key), batchId)) {
            return "committed";
        }
        if (rows.has(key) || rows.get(fence.key)?.version !== fence.version) {
            const failure: Failure = { kind: "unavailable", message: `journal ${journalId} has another holder` };
            closeWith(failure);
            fail(failure, batch);
            options.onFenced();
            return [];
        }
        const taken = batch.filter(entry => entry.row !== undefined && rows.has(entry.row.key));
        fail({ kind: "alreadyExists", message: "the row is taken" }, taken);
        return batch.filter(entry => !taken.includes(entry));
    };

    const commit = async (whole: readonly Entry[]): Promise<void> => {
        const batchId = options.newBatchId();
        const startedAtMs = clock.monotonicMs();
        let batch = whole;
        let mayHaveCommitted = false;
        let retryMs = firstRetryMs;
        while (batch.length > 0) {
            if (closed !== undefined) {
                fail(mayHaveCommitted ? unknownFailure : closed, batch);
                return;
            }
            const { outcome } = await table.transact(transactionOf(batch, batchId));
            if (outcome === "conflict") {
                const rest = await settleConflict(batch, batchId);
                if (rest !== "committed") {
                    batch = rest;
                    continue;
                }
            }
            if (outcome === "committed" || outcome === "conflict") {
                sequence += 1;
                meter.count("journalBatches");
                meter.record("journalCommitMs", clock.monotonicMs() - startedAtMs);
                for (const entry of batch) {
                    entry.resolve();
                }
                return;
            }
            mayHaveCommitted ||= outcome === "unknown";
            if (!mayHaveCommitted) {
                const claims = batch.filter(entry => entry.row !== undefined);
                fail(
                    { kind: "notAccepted", message: "the platform's table is out of reach", retryAfterMs: maxRetryMs },
                    claims,
                );
                batch = batch.filter(entry => entry.row === undefined);
            }
            log.write("debug", "journalRetry", { journalId, outcome, retryMs });
            await sleep(clock, retryMs);
            retryMs = Math.min(maxRetryMs, retryMs * 2);
        }
    };

    const run = async (): Promise<void> => {
        await Promise.resolve();
        while (pending.length > 0) {
            await takeTurn();
            await commit(takeBatch());
        }
        flushing = undefined;
    };

    const enqueue = (records: readonly JournalRecord[], row: RowClaim | undefined, isUrgent: boolean): Promise<void> =>
        new Promise((resolve, reject) => {
            if (closed !== undefined) {
                reject(errorOf(closed));
                return;
            }
            if (row !== undefined && pending.length >= options.maxPendingEntries) {
                reject(errorOf({ kind: "overloaded", message: "too many writes wait", retryAfterMs: maxRetryMs }));
                return;
            }
            const sizeBytes = JSON.stringify(records).length;
            pending.push({ records, row, urgent: isUrgent, sizeBytes, resolve, reject });
            urgentPending += isUrgent ? 1 : 0;
            pendingClaims += row === undefined ? 0 : 1;
            pendingBytes += sizeBytes;
            if (mayHurry()) {
                wake();
            }
            flushing ??= run();
        });

    return {
        append: (records, isUrgent) => enqueue(records, undefined, isUrgent),
        claim: (records, row, isUrgent) => enqueue(records, row, isUrgent),
        flush: async () => {
            while (flushing !== undefined) {
                await flushing;
            }
        },
        close: () => closeWith({ kind: "unavailable", message: `journal ${journalId} is closed` }),
        nextSequence: () => sequence,
        pendingEntries: () => pending.length,
    };
};
