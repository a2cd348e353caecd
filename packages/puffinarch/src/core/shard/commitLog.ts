/**
 * Group commit of a shard. At most one transaction is in flight; the next one holds everything that changed meanwhile. The store
 * serialises the transactions of one partition, so concurrent ones would only queue there. Each transaction is conditional on the owner's
 * row, which fences a former owner, and on a sequence row, so that a duplicate that is applied late cannot restore old rows.
 */

import type { RowTransaction, StoreLimits } from "../../types/cellPorts.js";
import { failureOf } from "../../utils/errors.js";
import { createGuard } from "../../utils/guard.js";
import { sleep } from "../../utils/time.js";
import { type BatchWriterOptions, createBatchWriter } from "./batchWriter.js";
import { journalTable, ownerKey, ownerTable, sequenceKey } from "./shardTables.js";

/** Entries of a transaction that are not rows of jobs: the two conditions, the sequence row and the rows of `rowsDue`. */
const reservedEntries = 10;
/** Rows for which a transaction keeps room beside the rows of jobs: the sequence row, and all rows of `rowsDue` together. */
const reservedRows = 2;
/**
 * Delay before a batch is built. Follow-up changes, such as starts of the next step, are planned within 2 ms and share the batch, so that
 * a step costs one round trip to the store instead of two.
 */
const batchDelayMs = 3;

/** Rows to put and remove in order to store a change. */
export interface RowChange {
    readonly puts: readonly { readonly table: string; readonly key: string; readonly value: string; }[];
    readonly removes: readonly { readonly table: string; readonly key: string; }[];
}

/** Dependencies of a commit log. */
export interface CommitLogOptions extends Omit<BatchWriterOptions, "onAnswer" | "isStopped"> {
    /** Version at which the sequence row was read; 0 if there is none. */
    readonly sequenceVersion: number;
    /** ID of this owner's claim, which makes the IDs of its batches unique. */
    readonly claimId: string;
    /**
     * Encodes the present state of a job as the rows to put and remove since its last commit, in the order in which they are written if
     * they take several transactions.
     */
    readonly encode: (jobId: string) => RowChange;
    /** Called when rows of a job have become durable: a whole change, or the first part of one that takes several transactions. */
    readonly onWritten?: (jobId: string, written: RowChange) => void;
    /** Returns rows to write with a batch that holds jobs anyway, at most one per batch; none where it is left out. */
    readonly rowsDue?: (() => RowChange["puts"]) | undefined;
    /** Called when the store cannot take the pending change of a job, which is then set aside. */
    readonly onSetAside?: (jobId: string) => void;
    /** Called when a batch was committed, with its store version: above that of the claim and below that of any successor's claim. */
    readonly onCommitted?: (version: number) => void;
    /** Called once when another owner has taken the shard, or when the log has failed and cannot commit any more. */
    readonly onFenced: () => void;
}

/** Writes changed jobs to the store. */
export interface CommitLog {
    /** Resolves once the job's present state is durable; like `confirm`, never after the owner was fenced or the log was stopped. */
    commit(jobId: string): Promise<void>;
    /** Milliseconds since the batch in flight was first sent; 0 without one. */
    stalledMs(): number;
    /** How long a change that is made now waits until it is durable, in ms: for the batch in flight, and for its own. */
    expectedWaitMs(): number;
    /** Local time at which the newest call was sent that the store has answered. */
    answeredAtMs(): number;
    /** Resolves once all changes before the call are durable; later ones are not waited for. */
    written(): Promise<void>;
    /**
     * Discards the pending write of a job; false if there is none, or if a part of it is durable or in flight.
     */
    withdraw(jobId: string): boolean;
    /** Why the store cannot take the pending change of a job; undefined if it can, or if the job has no pending change. */
    setAsideReason(jobId: string): string | undefined;
    /**
     * Resolves once a batch that was built after this call is durable, which proves that no other daemon had claimed the shard at the time
     * of the call. All calls until the next batch share it; without a pending change it holds no jobs.
     */
    confirm(): Promise<void>;
    /** If no write is pending, writes a batch without jobs to test whether the store answers this owner. */
    probe(): void;
    stop(): void;
}

/** A batch that is being written. */
interface InFlightBatch {
    readonly batchId: string;
    readonly transaction: RowTransaction;
    /** The rows of each job in the batch, by job ID. */
    readonly changes: ReadonlyMap<string, RowChange>;
    /** Resolvers of the commits that it makes durable, by job ID, and of the confirmations. */
    readonly resolvers: ReadonlyMap<string, readonly (() => void)[]>;
    readonly confirmations: readonly (() => void)[];
    readonly sentAtMs: number;
}

/** A job whose pending change the store cannot take. */
interface SetAside {
    readonly reason: string;
    readonly resolvers: (() => void)[];
    /** Local time from which another change of the job is tried. */
    readonly retryAtMs: number;
    isRetryScheduled: boolean;
}

/** Time for which a job that was set aside is not tried again although it changes. */
const setAsideMs = 1_000;
/** Pause after the store has rejected a batch without jobs. */
const rejectedPauseMs = 200;

/**
 * Explains why the store cannot take a row of a change; undefined if all of them are small enough.
 *
 * @example
 * explainOversized(encodeJob(job, clock, limits), limits);
 */
export const explainOversized = (
    { puts }: RowChange,
    { rowBytes }: Pick<StoreLimits, "rowBytes">,
): string | undefined => {
    for (const { table, key, value } of puts) {
        const bytes = Buffer.byteLength(value);
        if (bytes > rowBytes) {
            return `the row ${table} ${key} takes ${bytes} bytes, and the store holds at most ${rowBytes} in a row`;
        }
    }
    return undefined;
};

/** Number of rows that a change puts and removes. */
const rowCount = ({ puts, removes }: RowChange): number => puts.length + removes.length;

/** Takes rows of a change from the front, as many as fit; `bytes` is the size of the values that were taken. */
const takeRows = (
    { puts, removes }: RowChange,
    limits: { readonly entries: number; readonly bytes: number; },
): { readonly taken: RowChange; readonly bytes: number; } => {
    const takenPuts: RowChange["puts"][number][] = [];
    let bytes = 0;
    for (const put of puts) {
        const size = Buffer.byteLength(put.value);
        if (takenPuts.length === limits.entries || bytes + size > limits.bytes) {
            return { taken: { puts: takenPuts, removes: [] }, bytes };
        }
        takenPuts.push(put);
        bytes += size;
    }
    return { taken: { puts: takenPuts, removes: removes.slice(0, limits.entries - takenPuts.length) }, bytes };
};

/**
 * Creates the commit log of a shard's owner.
 *
 * @example
 * const commits = createCommitLog({ clock, log, meter, store, part, ownerVersion, sequenceVersion, storeLatencyMs, claimId, encode, onFenced });
 * await commits.commit("5c0e7a21d94b36f8");
 */
export const createCommitLog = (options: CommitLogOptions): CommitLog => {
    const { clock, log, meter, part, ownerVersion, claimId, encode, onFenced } = options;
    const dirty = new Map<string, (() => void)[]>();
    let inFlight: InFlightBatch | undefined;
    let sequenceVersion = options.sequenceVersion;
    let batches = 0;
    /** True from the first change or confirmation until everything is written. */
    let isDraining = false;
    /** Callbacks of the confirmations that the next batch resolves. */
    let confirmations: (() => void)[] = [];
    let stopped = false;
    const guard = createGuard({ clock, log, meter });
    let answeredAtMs = clock.monotonicMs();
    /** Duration of the newest batch that was committed. */
    let newestCommitMs = 0;

    const writer = createBatchWriter({
        ...options,
        onAnswer: sentAtMs => {
            answeredAtMs = Math.max(answeredAtMs, sentAtMs);
        },
        isStopped: () => stopped,
    });

    const { limits } = options.store;
    const maxEntries = limits.callEntries - reservedEntries;
    const maxBytes = limits.callBytes - reservedRows * limits.rowBytes;
    /** Jobs of which a part of the pending change is durable. */
    const partlyWritten = new Set<string>();
    /** Jobs that are written in a batch of their own, since the store has rejected a batch that they were part of. */
    const writtenAlone = new Set<string>();
    const aside = new Map<string, SetAside>();

    const markChanged = (jobId: string, resolvers: readonly (() => void)[]): void => {
        const waiting = dirty.get(jobId) ?? [];
        waiting.push(...resolvers);
        dirty.set(jobId, waiting);
    };

    /** Lets the others go on without a job whose change the store cannot take. The job is tried again once it has changed. */
    const setAside = (jobId: string, resolvers: readonly (() => void)[], reason: string): void => {
        log.write("error", "jobSetAside", { part, jobId, reason });
        meter.count("jobsSetAside");
        writtenAlone.delete(jobId);
        const retryAtMs = clock.monotonicMs() + setAsideMs;
        aside.set(jobId, { reason, resolvers: [...resolvers], retryAtMs, isRetryScheduled: false });
        options.onSetAside?.(jobId);
    };

    const retryAside = (jobId: string): void => {
        const entry = aside.get(jobId);
        if (entry !== undefined) {
            aside.delete(jobId);
            writtenAlone.add(jobId);
            markChanged(jobId, entry.resolvers);
            scheduleDrain();
        }
    };

    /** Encodes a job. One that cannot be encoded is set aside, so that the others are committed. */
    const encodeOrSetAside = (jobId: string, waiting: readonly (() => void)[]): RowChange | undefined => {
        let reason: string | undefined;
        try {
            const change = encode(jobId);
            reason = explainOversized(change, limits);
            if (reason === undefined) {
                return change;
            }
        }
        catch (error) {
            reason = failureOf(error).message;
        }
        dirty.delete(jobId);
        setAside(jobId, waiting, reason);
        return undefined;
    };

    type PendingBatch = Pick<InFlightBatch, "changes" | "resolvers"> & { readonly bytes: number; };

    /** Takes the pending changes of jobs for one batch, each whole, or the first part of one that exceeds a batch by itself. */
    const takeChanges = (): PendingBatch => {
        const changes = new Map<string, RowChange>();
        const resolvers = new Map<string, readonly (() => void)[]>();
        let entries = 0;
        let bytes = 0;
        for (const [jobId, waiting] of dirty) {
            if (entries >= maxEntries || bytes >= maxBytes) {
                break;
            }
            const isAlone = writtenAlone.has(jobId);
            if (isAlone && changes.size > 0) {
                continue;
            }
            const change = encodeOrSetAside(jobId, waiting);
            if (change === undefined) {
                continue;
            }
            const next = takeRows(change, { entries: maxEntries - entries, bytes: maxBytes - bytes });
            const isWhole = rowCount(next.taken) === rowCount(change);
            if (!isWhole && changes.size > 0) {
                break;
            }
            changes.set(jobId, next.taken);
            entries += rowCount(next.taken);
            bytes += next.bytes;
            dirty.delete(jobId);
            if (isWhole) {
                partlyWritten.delete(jobId);
                resolvers.set(jobId, waiting);
            }
            else {
                // The rest follows after the changes of the other jobs.
                partlyWritten.add(jobId);
                dirty.set(jobId, waiting);
            }
            if (!isWhole || isAlone) {
                break;
            }
        }
        return { changes, resolvers, bytes };
    };

    const buildBatch = ({ changes, resolvers, bytes }: PendingBatch): InFlightBatch => {
        const batchId = `${claimId}/${batches}`;
        batches += 1;
        const sequence = { table: journalTable, key: sequenceKey };
        const carriesRowsDue = [...changes.keys()].some(jobId => !writtenAlone.has(jobId));
        const puts = [
            ...[...changes.values()].flatMap(change => change.puts),
            ...carriesRowsDue ? options.rowsDue?.() ?? [] : [],
            { ...sequence, value: JSON.stringify({ batch: batchId }) },
        ];
        meter.record("commitRows", puts.length);
        meter.count("commitBytes", bytes);
        const transaction = {
            expect: [
                { table: ownerTable, part, key: ownerKey, version: ownerVersion },
                { ...sequence, part, version: sequenceVersion },
            ],
            puts: puts.map(put => ({ ...put, part })),
            removes: [...changes.values()].flatMap(change => change.removes).map(remove => ({ ...remove, part })),
        };
        const waiting = confirmations;
        confirmations = [];
        return {
            batchId,
            transaction,
            changes,
            resolvers,
            confirmations: waiting,
            sentAtMs: clock.monotonicMs(),
        };
    };

    /** Finds the job for which the store has rejected a batch: the jobs of the batch are written one by one. */
    const isolateJobs = ({ changes, resolvers, confirmations: waiting }: InFlightBatch, reason: string): void => {
        log.write("error", "commitRejected", { part, jobs: changes.size, reason });
        confirmations = [...waiting, ...confirmations];
        const isFound = changes.size === 1;
        for (const jobId of changes.keys()) {
            const pending = [...resolvers.get(jobId) ?? [], ...dirty.get(jobId) ?? []];
            dirty.delete(jobId);
            if (isFound) {
                setAside(jobId, pending, reason);
            }
            else {
                writtenAlone.add(jobId);
                dirty.set(jobId, pending);
            }
        }
    };

    const finishBatch = (batch: InFlightBatch, version: number): void => {
        sequenceVersion = version;
        options.onCommitted?.(version);
        newestCommitMs = clock.monotonicMs() - batch.sentAtMs;
        meter.record("commitMs", newestCommitMs);
        for (const [jobId, change] of batch.changes) {
            options.onWritten?.(jobId, change);
            writtenAlone.delete(jobId);
        }
        for (const resolve of [...[...batch.resolvers.values()].flat(), ...batch.confirmations]) {
            resolve();
        }
    };

    /** Writes batches until no change or confirmation is pending. */
    const drain = async (): Promise<void> => {
        while (dirty.size + confirmations.length > 0 && !stopped) {
            const pending = takeChanges();
            if (pending.changes.size + confirmations.length === 0) {
                continue;
            }
            inFlight = buildBatch(pending);
            const result = await writer.write(inFlight);
            const batch = inFlight;
            if (stopped) {
                return;
            }
            if (result.outcome === "fenced" || result.outcome === "stopped") {
                stopped = true;
                onFenced();
                return;
            }
            inFlight = undefined;
            if (result.outcome === "rejected") {
                isolateJobs(batch, result.reason);
                await sleep(clock, batch.changes.size === 0 ? rejectedPauseMs : 0);
                continue;
            }
            finishBatch(batch, result.version);
            // Lets resumed callers mark further jobs as changed, so that the next batch includes them.
            await Promise.resolve();
        }
        isDraining = false;
    };

    /** Gives the shard up: a successor commits what this log cannot write any more. */
    const giveUp = (): void => {
        if (!stopped) {
            stopped = true;
            onFenced();
        }
    };

    const scheduleDrain = (): void => {
        if (!isDraining && !stopped) {
            isDraining = true;
            clock.setTimer(batchDelayMs, () => void guard.run("commits", drain, giveUp));
        }
    };

    const stalledMs = (): number => inFlight === undefined ? 0 : clock.monotonicMs() - inFlight.sentAtMs;

    const confirm = (): Promise<void> =>
        new Promise(resolve => {
            confirmations.push(resolve);
            scheduleDrain();
        });

    const commit = (jobId: string): Promise<void> =>
        new Promise(resolve => {
            const entry = aside.get(jobId);
            if (entry === undefined) {
                markChanged(jobId, [resolve]);
                scheduleDrain();
                return;
            }
            entry.resolvers.push(resolve);
            if (!entry.isRetryScheduled) {
                entry.isRetryScheduled = true;
                clock.setTimer(Math.max(0, entry.retryAtMs - clock.monotonicMs()), () => retryAside(jobId));
            }
        });

    const written = async (): Promise<void> => {
        if (isDraining && !stopped) {
            // The batch in flight is durable before that of the confirmation.
            await Promise.all([confirm(), ...[...dirty.keys()].map(commit)]);
        }
    };

    return {
        confirm,
        probe: () => {
            if (!isDraining) {
                void confirm();
            }
        },
        withdraw: jobId =>
            inFlight?.changes.has(jobId) !== true && !partlyWritten.has(jobId)
            && (dirty.delete(jobId) || aside.delete(jobId)),
        setAsideReason: jobId => aside.get(jobId)?.reason,
        commit,
        answeredAtMs: () => answeredAtMs,
        stalledMs,
        expectedWaitMs: () => 2 * Math.max(newestCommitMs, stalledMs()),
        written,
        stop: () => {
            stopped = true;
        },
    };
};
