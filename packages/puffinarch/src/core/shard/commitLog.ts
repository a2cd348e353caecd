/**
 * Group commit of a shard: one transaction at a time for everything that changed while the last one was under way. Each
 * is conditional on the owner's row, which fences a replaced owner, and on a sequence row, so that a copy that takes
 * effect late cannot bring old rows back.
 */

import type { Row, RowStore, RowTransaction } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import { sleep } from "../../utils/time.js";

/** Table of a shard's jobs; the part is the shard's name. */
export const journalTable = "puffinarch-journal";
/** Table of the jobs that have ended, which a successor need not read before it places the others. */
export const endedTable = "puffinarch-ended";
/** Table of the owners of shards. */
export const ownerTable = "puffinarch-owner";
/** Key of the owner's row in the shard's part. */
export const ownerKey = "owner";
/** Key of the row that orders commits. */
export const sequenceKey = "sequence";

/** Most rows that a batch puts; the store takes 100 entries a call, three of them conditions and the sequence. */
const maxBatchRows = 90;
/** Most bytes of values in a batch; the store takes 1 MB a call, and base64 adds a third. */
const maxBatchBytes = 600_000;
/** Pause after a refusal, doubled up to the longest one; refused calls are priced. */
const firstPauseMs = 25;
const longestPauseMs = 200;

/**
 * What follows from a change, such as the starts of the next step, is planned within 2 ms, and then shares its batch: a step
 * costs one answer of the store in place of two.
 */
const gatherMs = 3;
/** A commit takes some 8 ms; without an answer by the first it is sent again, with twice the time up to the last. */
const shortestTimeoutMs = 80;
const longestTimeoutMs = 1_500;
const timeoutFactor = 4;
/** Weight of the newest answer in the usual time. */
const usualShare = 0.2;

/** Rows that a change puts and removes. */
export interface RowChange {
    readonly puts: readonly { readonly table: string; readonly key: string; readonly value: string; }[];
    readonly removes: readonly { readonly table: string; readonly key: string; }[];
}

/** What a commit log needs. */
export interface CommitLogOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly store: RowStore;
    readonly part: string;
    /** Version of the owner's row, which is the fencing token. */
    readonly ownerVersion: number;
    /** Version of the sequence row as it was read; 0 for none. */
    readonly sequenceVersion: number;
    /** How long the store took to answer last. */
    readonly storeMs: number;
    /** Tells this owner's batches from all others. */
    readonly claimId: string;
    /** Rows that keep a job as it is now. */
    readonly encode: (jobId: string) => RowChange;
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

interface Batch {
    readonly id: string;
    readonly transaction: RowTransaction;
    readonly waiting: readonly (() => void)[];
}

/**
 * Makes the commit log of a shard's owner.
 *
 * @example
 * const commits = createCommitLog({ clock, log, meter, store, part, ownerVersion, sequenceVersion, claimId, encode, onFenced });
 * await commits.commit("5c0e7a21d94b36f8");
 */
export const createCommitLog = (options: CommitLogOptions): CommitLog => {
    const { clock, log, meter, store, part, ownerVersion, claimId, encode, onFenced } = options;
    const dirty = new Map<string, (() => void)[]>();
    /** Jobs of the batch under way. */
    let sent = new Set<string>();
    let idleWaiting: (() => void)[] = [];
    let sequenceVersion = options.sequenceVersion;
    let batches = 0;
    let running = false;
    let probeWanted = false;
    /** How long the store usually takes to answer. */
    let usualMs = options.storeMs;
    let stopped = false;
    let sentAtMs: number | undefined;
    let answeredAtMs = clock.monotonicMs();

    const takeBatch = (): Batch => {
        const id = `${claimId}/${batches}`;
        batches += 1;
        const puts: { table: string; part: string; key: string; value: string; }[] = [];
        const removes: { table: string; part: string; key: string; }[] = [];
        const waiting: (() => void)[] = [];
        sent = new Set();
        let bytes = 0;
        for (const [jobId, resolvers] of dirty) {
            if (puts.length + removes.length >= maxBatchRows || bytes >= maxBatchBytes) {
                break;
            }
            dirty.delete(jobId);
            sent.add(jobId);
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
        puts.push({ table: journalTable, part, key: sequenceKey, value: JSON.stringify({ batch: id }) });
        meter.record("commitRows", puts.length);
        meter.count("commitBytes", bytes);
        const expect = [
            { table: ownerTable, part, key: ownerKey, version: ownerVersion },
            { table: journalTable, part, key: sequenceKey, version: sequenceVersion },
        ];
        return { id, transaction: { expect, puts, removes }, waiting };
    };

    /** After a conflict: the version at which an earlier try took effect; undefined where the shard is another's. */
    const settledVersion = (rows: readonly Row[], id: string): number | undefined => {
        const owner = rows.find(row => row.table === ownerTable);
        const sequence = rows.find(row => row.table === journalTable && row.key === sequenceKey);
        if (owner?.version !== ownerVersion || sequence?.value === undefined) {
            return undefined;
        }
        return sequence.value === JSON.stringify({ batch: id }) ? sequence.version : undefined;
    };

    const write = async ({ id, transaction }: Batch): Promise<boolean> => {
        let pauseMs = firstPauseMs;
        let timeoutMs = Math.min(longestTimeoutMs, Math.max(shortestTimeoutMs, timeoutFactor * usualMs));
        let timedOut = false;
        while (!stopped) {
            const askedAtMs = clock.monotonicMs();
            const result = await store.transact(transaction, timeoutMs);
            meter.count(`commits.${result.outcome}`);
            if (result.outcome === "committed" || result.outcome === "conflict") {
                answeredAtMs = clock.monotonicMs();
                const tookMs = answeredAtMs - askedAtMs;
                // Copies sent too soon only load a slow store, so one slow answer after them is believed at once.
                usualMs = timedOut ? Math.max(usualMs, tookMs) : usualMs + usualShare * (tookMs - usualMs);
            }
            if (result.outcome === "committed") {
                sequenceVersion = result.version;
                return true;
            }
            if (result.outcome === "conflict") {
                const version = settledVersion(result.rows, id);
                if (version === undefined) {
                    log.write("warn", "commitFenced", { part, batch: id, ownerVersion, found: result.rows.length });
                    return false;
                }
                sequenceVersion = version;
                return true;
            }
            log.write("warn", "commitDelayed", { part, batch: id, outcome: result.outcome, reason: result.reason });
            if (result.outcome === "unknown" && clock.monotonicMs() - askedAtMs >= timeoutMs) {
                // The same batch again settles it; a store that is slow, not deaf, gets more time. A reset takes the pause.
                timeoutMs = Math.min(longestTimeoutMs, 2 * timeoutMs);
                timedOut = true;
                continue;
            }
            await sleep(clock, pauseMs);
            pauseMs = Math.min(longestPauseMs, 2 * pauseMs);
        }
        return false;
    };

    const drain = async (): Promise<void> => {
        running = true;
        while ((dirty.size > 0 || probeWanted) && !stopped) {
            sentAtMs = clock.monotonicMs();
            const batch = takeBatch();
            const written = await write(batch);
            if (stopped) {
                return;
            }
            if (!written) {
                stopped = true;
                onFenced();
                return;
            }
            meter.record("commitMs", clock.monotonicMs() - sentAtMs);
            sentAtMs = undefined;
            for (const resolve of batch.waiting) {
                resolve();
            }
            // Lets those who waited mark more jobs, so that the next batch has them.
            await Promise.resolve();
        }
        running = false;
        for (const resolve of idleWaiting) {
            resolve();
        }
        idleWaiting = [];
    };

    const begin = (): void => {
        if (!running && !stopped) {
            running = true;
            clock.setTimer(gatherMs, () => void drain());
        }
    };

    return {
        probe: () => {
            if (!running) {
                probeWanted = true;
                begin();
            }
        },
        withdraw: jobId => !sent.has(jobId) && dirty.delete(jobId),
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
        stalledMs: () => sentAtMs === undefined ? 0 : clock.monotonicMs() - sentAtMs,
        idle: () =>
            running && !stopped
                ? new Promise(resolve => {
                    idleWaiting.push(resolve);
                })
                : Promise.resolve(),
        stop: () => {
            stopped = true;
        },
    };
};
