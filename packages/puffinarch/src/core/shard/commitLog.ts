/**
 * Group commit of a shard: one transaction at a time for everything that changed while the last one was under way; the store
 * carries out those of one part one after another, so that more at once would only queue there. Each is conditional on the
 * owner's row, which fences a replaced owner, and on a sequence row, so that a copy that takes effect late cannot bring old
 * rows back.
 */

import type { RowTransaction } from "../../types/cellPorts.js";
import { type BatchWriterOptions, createBatchWriter } from "./batchWriter.js";
import { journalTable, ownerKey, ownerTable, sequenceKey } from "./shardTables.js";

/** Most rows that a batch puts; the store takes 100 entries a call, three of them conditions and the sequence. */
const maxBatchRows = 90;
/** Most bytes of values in a batch; the store takes 1 MB a call, and base64 adds a third. */
const maxBatchBytes = 600_000;
/**
 * What follows from a change, such as the starts of the next step, is planned within 2 ms, and then shares its batch: a step
 * costs one answer of the store in place of two.
 */
const gatherMs = 3;

/** Rows that a change puts and removes. */
export interface RowChange {
    readonly puts: readonly { readonly table: string; readonly key: string; readonly value: string; }[];
    readonly removes: readonly { readonly table: string; readonly key: string; }[];
}

/** What a commit log needs. */
export interface CommitLogOptions extends Omit<BatchWriterOptions, "onAnswer" | "isStopped"> {
    /** Version of the sequence row as it was read; 0 for none. */
    readonly sequenceVersion: number;
    /** Tells this owner's batches from all others. */
    readonly claimId: string;
    /** Rows that keep a job as it is now. */
    readonly encode: (jobId: string) => RowChange;
    /** A batch took effect at this version of the store, above the claim and below that of any successor. */
    readonly onCommitted?: (version: number) => void;
    /** Another owner has the shard; called once. */
    readonly onFenced: () => void;
}

/** Makes changed jobs durable. */
export interface CommitLog {
    /** Resolves once the job as it is now is durable; never resolves after a fence or a stop. */
    commit(jobId: string): Promise<void>;
    /** Milliseconds since the batch under way was first sent; 0 at rest. */
    stalledMs(): number;
    /** Local time of the newest answer from the store. */
    answeredAtMs(): number;
    /** Resolves when nothing waits to be written any more. */
    idle(): Promise<void>;
    /** Takes a job back that no batch has held yet; false where one may have made it durable. */
    withdraw(jobId: string): boolean;
    /** Writes a batch without jobs where nothing is under way, to learn whether the store answers this owner. */
    probe(): void;
    stop(): void;
}

/** A batch under way, or about to be. */
interface Flight {
    readonly batchId: string;
    readonly transaction: RowTransaction;
    readonly jobIds: ReadonlySet<string>;
    readonly waiting: readonly (() => void)[];
    readonly sentAtMs: number;
}

/**
 * Makes the commit log of a shard's owner.
 *
 * @example
 * const commits = createCommitLog({ clock, log, meter, store, part, ownerVersion, sequenceVersion, storeMs, claimId, encode, onFenced });
 * await commits.commit("5c0e7a21d94b36f8");
 */
export const createCommitLog = (options: CommitLogOptions): CommitLog => {
    const { clock, meter, part, ownerVersion, claimId, encode, onFenced } = options;
    const dirty = new Map<string, (() => void)[]>();
    let flight: Flight | undefined;
    let sequenceVersion = options.sequenceVersion;
    let idleWaiting: (() => void)[] = [];
    let batches = 0;
    /** From the first change on until nothing is left to write. */
    let working = false;
    let probeWanted = false;
    let stopped = false;
    let answeredAtMs = clock.monotonicMs();

    const writer = createBatchWriter({
        ...options,
        onAnswer: atMs => {
            answeredAtMs = atMs;
        },
        isStopped: () => stopped,
    });

    const takeBatch = (): Flight => {
        const batchId = `${claimId}/${batches}`;
        batches += 1;
        const puts: { table: string; part: string; key: string; value: string; }[] = [];
        const removes: { table: string; part: string; key: string; }[] = [];
        const waiting: (() => void)[] = [];
        const jobIds = new Set<string>();
        let bytes = 0;
        for (const [jobId, resolvers] of dirty) {
            if (puts.length + removes.length >= maxBatchRows || bytes >= maxBatchBytes) {
                break;
            }
            dirty.delete(jobId);
            jobIds.add(jobId);
            waiting.push(...resolvers);
            const change = encode(jobId);
            for (const put of change.puts) {
                puts.push({ ...put, part });
                bytes += put.value.length;
            }
            for (const remove of change.removes) {
                removes.push({ ...remove, part });
            }
        }
        const sequence = { table: journalTable, part, key: sequenceKey };
        puts.push({ ...sequence, value: JSON.stringify({ batch: batchId }) });
        meter.record("commitRows", puts.length);
        meter.count("commitBytes", bytes);
        const expect = [
            { table: ownerTable, part, key: ownerKey, version: ownerVersion },
            { ...sequence, version: sequenceVersion },
        ];
        const transaction = { expect, puts, removes };
        return { batchId, transaction, jobIds, waiting, sentAtMs: clock.monotonicMs() };
    };

    const endIdle = (): void => {
        for (const resolve of idleWaiting) {
            resolve();
        }
        idleWaiting = [];
    };

    /** Writes batches until nothing is left to write. */
    const drain = async (): Promise<void> => {
        while ((dirty.size > 0 || probeWanted) && !stopped) {
            probeWanted = false;
            flight = takeBatch();
            const version = await writer.write(flight);
            if (stopped) {
                return;
            }
            if (version === undefined) {
                stopped = true;
                onFenced();
                return;
            }
            sequenceVersion = version;
            options.onCommitted?.(version);
            meter.record("commitMs", clock.monotonicMs() - flight.sentAtMs);
            for (const resolve of flight.waiting) {
                resolve();
            }
            flight = undefined;
            // Lets those who waited mark more jobs, so that the next batch has them.
            await Promise.resolve();
        }
        working = false;
        endIdle();
    };

    const begin = (): void => {
        if (!working && !stopped) {
            working = true;
            clock.setTimer(gatherMs, () => void drain());
        }
    };

    return {
        probe: () => {
            if (!working) {
                probeWanted = true;
                begin();
            }
        },
        withdraw: jobId => flight?.jobIds.has(jobId) !== true && dirty.delete(jobId),
        commit: jobId =>
            new Promise(resolve => {
                const resolvers = dirty.get(jobId);
                if (resolvers === undefined) {
                    dirty.set(jobId, [resolve]);
                }
                else {
                    resolvers.push(resolve);
                }
                begin();
            }),
        answeredAtMs: () => answeredAtMs,
        stalledMs: () => flight === undefined ? 0 : clock.monotonicMs() - flight.sentAtMs,
        idle: () =>
            !stopped && working
                ? new Promise(resolve => {
                    idleWaiting.push(resolve);
                })
                : Promise.resolve(),
        stop: () => {
            stopped = true;
        },
    };
};
