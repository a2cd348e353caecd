/**
 * The journal of a home, with group commit: records are collected into a batch while the previous batch is in flight,
 * and each batch is one transaction. Every batch is conditional on the home's ownership row, so a replaced holder cannot
 * write. A batch whose outcome is unknown is sent again; if it then conflicts, the batch id in its row shows whether the
 * first send was committed.
 */

import type { Clock, Log, Meter, RowCondition, TableRow, TableStore, Transaction } from "../types/ports.js";
import type { JournalRecord } from "../types/records.js";
import { createBucket } from "../utils/bucket.js";
import { errorOf, type Failure } from "../utils/errors.js";
import { sleep } from "../utils/time.js";

/** A row that must not exist yet and is written together with the batch, such as the directory row of a job. */
export interface RowClaim {
    readonly key: string;
    readonly value: unknown;
}

/** A home's durable log. */
export interface Journal {
    /**
     * Resolves once the records are durable. Retries through outages; rejects only when the journal is fenced or closed.
     * Urgent records may also use the additional urgent rate.
     */
    append(records: readonly JournalRecord[], urgent: boolean): Promise<void>;
    /**
     * Like `append`, with a row to claim. Rejects with `alreadyExists` if the row exists, with `notAccepted` if the table
     * refused the batch, and with `overloaded` if too many entries are pending; in all three cases nothing was written.
     */
    claim(records: readonly JournalRecord[], row: RowClaim, urgent: boolean): Promise<void>;
    /** Resolves once no entry is pending or in flight. */
    flush(): Promise<void>;
    /** Sequence number of the next batch; all committed records are in earlier batches. */
    nextSequence(): number;
    /** Stops writing; rejects entries with `unavailable`, or with `mayHaveRun` if their batch may have been committed. */
    close(): void;
    pendingEntries(): number;
}

/** Options of `createJournal`. */
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
    /** Called when a conflict shows that another session holds the home. */
    readonly onFenced: () => void;
    /** Steady rate of batches; after idle time, a burst of up to one second's batches is allowed. */
    readonly batchesPerSecond: () => number;
    /** Additional rate while an urgent entry or a full batch is pending. */
    readonly urgentBatchesPerSecond: () => number;
    /** Pending entries from which on claims are refused as `overloaded`. */
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

/** Keeps the row of a batch of several entries below the table's limit of 64 KiB. */
const maxBatchBytes = 48 * 1024;
/** A transaction takes at most 25 rows; the ownership row and the row of the batch are two of them. */
const maxClaimsPerBatch = 23;
const sequenceDigits = 10;
const unknownOutcome: Failure = { kind: "mayHaveRun", message: "it is not known whether the batch was committed" };
const firstRetryMs = 20;
const maxRetryMs = 1_000;

/**
 * Returns the key of a batch's row; keys sort in sequence order.
 *
 * @example
 * journalKey("home-1", 7); // "journal/home-1/0000000007"
 */
export const journalKey = (journalId: string, sequence: number): string =>
    `journal/${journalId}/${String(sequence).padStart(sequenceDigits, "0")}`;

/** Content of a journal. */
export interface ReplayResult {
    readonly records: readonly JournalRecord[];
    /** Sequence number of the next batch. */
    readonly nextSequence: number;
    /** Keys of batches that a snapshot already contains and whose rows were not deleted yet. */
    readonly staleKeys: readonly string[];
}

/**
 * Reads the records of a journal in order, from the batch with the sequence number `fromSequence` on.
 *
 * @example
 * const { records, nextSequence } = await replay(table, "home-1", 0);
 */
export const replay = async (table: TableStore, journalId: string, fromSequence: number): Promise<ReplayResult> => {
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
    let closeFailure: Failure | undefined;
    const steadyBucket = createBucket(clock, options.batchesPerSecond);
    const urgentBucket = createBucket(clock, options.urgentBatchesPerSecond);
    let urgentPending = 0;
    let pendingBytes = 0;
    let pendingClaims = 0;
    let wake = (): void => {};

    /** Urgent entries and full batches may use the urgent rate: a full batch collects no more entries by waiting. */
    const mayUseUrgentBucket = (): boolean =>
        urgentPending > 0 || pendingBytes >= maxBatchBytes || pendingClaims >= maxClaimsPerBatch;

    /** Waits for a token of the steady bucket or, where allowed, of the urgent one. */
    const takeWriteToken = async (): Promise<void> => {
        for (;;) {
            if (steadyBucket.take() || (mayUseUrgentBucket() && urgentBucket.take())) {
                return;
            }
            const waitMs = mayUseUrgentBucket()
                ? Math.min(steadyBucket.waitMs(), urgentBucket.waitMs())
                : steadyBucket.waitMs();
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
            const isFull = sizeBytes + entry.sizeBytes > maxBatchBytes
                || (entry.row !== undefined && claims === maxClaimsPerBatch);
            if (batch.length > 0 && isFull) {
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

    const rejectEntries = (failure: Failure, entries: readonly Entry[]): void => {
        for (const entry of entries) {
            entry.reject(errorOf(failure));
        }
    };

    const closeWith = (failure: Failure): void => {
        closeFailure = failure;
        urgentPending = 0;
        pendingBytes = 0;
        pendingClaims = 0;
        rejectEntries(failure, pending.splice(0));
    };

    const readWithRetries = async (keys: readonly string[]): Promise<ReadonlyMap<string, TableRow>> => {
        for (let retryMs = firstRetryMs;; retryMs = Math.min(maxRetryMs, retryMs * 2)) {
            try {
                const rows = await table.read(keys);
                return new Map(rows.map(row => [row.key, row]));
            }
            catch {
                await sleep(clock, retryMs);
            }
            if (closeFailure !== undefined) {
                return new Map();
            }
        }
    };

    const holdsBatch = (row: TableRow | undefined, batchId: string): boolean =>
        row !== undefined && (row.value as BatchValue).batchId === batchId;

    /**
     * Reads the rows of a batch that met a conflict. Rejects entries whose claimed row exists and returns the others for a
     * retry, or returns `committed` if an earlier send of the batch was committed. Closes the journal if it is fenced.
     */
    const settleConflict = async (
        batch: readonly Entry[],
        batchId: string,
    ): Promise<readonly Entry[] | "committed"> => {
        const key = journalKey(journalId, sequence);
        const claimed = batch.flatMap(entry => entry.row === undefined ? [] : [entry.row.key]);
        const rows = await readWithRetries([key, fence.key, ...claimed]);
        if (closeFailure !== undefined) {
            rejectEntries(closeFailure, batch);
            return [];
        }
        if (holdsBatch(rows.get(key), batchId)) {
            return "committed";
        }
        if (rows.has(key) || rows.get(fence.key)?.version !== fence.version) {
            const failure: Failure = { kind: "unavailable", message: `journal ${journalId} has another holder` };
            closeWith(failure);
            rejectEntries(failure, batch);
            options.onFenced();
            return [];
        }
        const taken = batch.filter(entry => entry.row !== undefined && rows.has(entry.row.key));
        rejectEntries({ kind: "alreadyExists", message: "the claimed row already exists" }, taken);
        return batch.filter(entry => !taken.includes(entry));
    };

    const commit = async (entries: readonly Entry[]): Promise<void> => {
        const batchId = options.newBatchId();
        const startedAtMs = clock.monotonicMs();
        let batch = entries;
        let mayHaveCommitted = false;
        let retryMs = firstRetryMs;
        while (batch.length > 0) {
            if (closeFailure !== undefined) {
                rejectEntries(mayHaveCommitted ? unknownOutcome : closeFailure, batch);
                return;
            }
            const { outcome } = await table.transact(transactionOf(batch, batchId));
            if (outcome === "conflict") {
                const remaining = await settleConflict(batch, batchId);
                if (remaining !== "committed") {
                    batch = remaining;
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
                rejectEntries(
                    { kind: "notAccepted", message: "the platform's table is unreachable", retryAfterMs: maxRetryMs },
                    claims,
                );
                batch = batch.filter(entry => entry.row === undefined);
            }
            log.write("debug", "journalRetry", { journalId, outcome, retryMs });
            await sleep(clock, retryMs);
            retryMs = Math.min(maxRetryMs, retryMs * 2);
        }
    };

    const writePending = async (): Promise<void> => {
        // Lets all appends of the current tick share the first batch.
        await Promise.resolve();
        while (pending.length > 0) {
            await takeWriteToken();
            await commit(takeBatch());
        }
        flushing = undefined;
    };

    const enqueue = (records: readonly JournalRecord[], row: RowClaim | undefined, isUrgent: boolean): Promise<void> =>
        new Promise((resolve, reject) => {
            if (closeFailure !== undefined) {
                reject(errorOf(closeFailure));
                return;
            }
            if (row !== undefined && pending.length >= options.maxPendingEntries) {
                reject(
                    errorOf({
                        kind: "overloaded",
                        message: "too many journal entries are pending",
                        retryAfterMs: maxRetryMs,
                    }),
                );
                return;
            }
            const sizeBytes = JSON.stringify(records).length;
            pending.push({ records, row, urgent: isUrgent, sizeBytes, resolve, reject });
            urgentPending += isUrgent ? 1 : 0;
            pendingClaims += row === undefined ? 0 : 1;
            pendingBytes += sizeBytes;
            if (mayUseUrgentBucket()) {
                wake();
            }
            flushing ??= writePending();
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
