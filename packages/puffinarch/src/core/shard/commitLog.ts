/**
 * Group commit of a shard: one transaction for everything that changed while the last one was under way. Each is conditional
 * on the owner's row, which fences a replaced owner, and on a sequence row, so that a copy that takes effect late cannot
 * bring old rows back. While the store is slow, several batches of different jobs are under way at once, each with a
 * sequence row of its own; a job is in one at most.
 */

import type { RowStore, RowTransaction } from "../../types/cellPorts.js";
import type { CancelTimer, Clock, Log, Meter } from "../../types/ports.js";
import { createBatchWriter } from "./batchWriter.js";
import { journalTable, maxFlights, ownerKey, ownerTable, sequenceKey } from "./shardTables.js";

/** Most rows that a batch puts; the store takes 100 entries a call, three of them conditions and the sequence. */
const maxBatchRows = 90;
/** Most bytes of values in a batch; the store takes 1 MB a call, and base64 adds a third. */
const maxBatchBytes = 600_000;
/**
 * What follows from a change, such as the starts of the next step, is planned within 2 ms, and then shares its batch: a step
 * costs one answer of the store in place of two.
 */
const gatherMs = 3;
/** A usual commit is over by then; only while the store is slower is another batch sent beside it. */
const overlapAfterMs = 20;
/** A store that has answered nothing for this long is not slow but away; more batches would only load its connections. */
const overlapStalledMs = 250;

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
    /** Versions of the sequence rows as they were read, by place; 0 for none. */
    readonly sequenceVersions: readonly number[];
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
    /** Milliseconds for which batches under way have found no answer; 0 at rest. */
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
    readonly place: number;
    readonly batchId: string;
    readonly transaction: RowTransaction;
    readonly jobIds: readonly string[];
    readonly waiting: readonly (() => void)[];
    readonly sentAtMs: number;
}

/**
 * Makes the commit log of a shard's owner.
 *
 * @example
 * const commits = createCommitLog({ clock, log, meter, store, part, ownerVersion, sequenceVersions, storeMs, claimId, encode, onFenced });
 * await commits.commit("5c0e7a21d94b36f8");
 */
export const createCommitLog = (options: CommitLogOptions): CommitLog => {
    const { clock, meter, part, ownerVersion, claimId, encode, onFenced } = options;
    const dirty = new Map<string, (() => void)[]>();
    const flights = new Set<Flight>();
    const inFlight = new Set<string>();
    const versions = Array.from({ length: maxFlights }, (_, place) => options.sequenceVersions[place] ?? 0);
    let idleWaiting: (() => void)[] = [];
    let batches = 0;
    let probeWanted = false;
    let stopped = false;
    let answeredAtMs = clock.monotonicMs();
    let nextPump: { readonly dueMs: number; readonly cancel: CancelTimer; } | undefined;

    const writer = createBatchWriter({
        ...options,
        onAnswer: atMs => {
            answeredAtMs = atMs;
        },
        isStopped: () => stopped,
    });

    const stalledMs = (): number => {
        let oldestMs = Infinity;
        for (const { sentAtMs } of flights) {
            oldestMs = Math.min(oldestMs, sentAtMs);
        }
        return flights.size === 0 ? 0 : clock.monotonicMs() - Math.max(answeredAtMs, oldestMs);
    };

    const takeBatch = (place: number): Flight => {
        const batchId = `${claimId}/${batches}`;
        batches += 1;
        const puts: { table: string; part: string; key: string; value: string; }[] = [];
        const removes: { table: string; part: string; key: string; }[] = [];
        const waiting: (() => void)[] = [];
        const jobIds: string[] = [];
        let bytes = 0;
        for (const [jobId, resolvers] of dirty) {
            if (puts.length + removes.length >= maxBatchRows || bytes >= maxBatchBytes) {
                break;
            }
            if (inFlight.has(jobId)) {
                continue;
            }
            dirty.delete(jobId);
            jobIds.push(jobId);
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
        const sequence = { table: journalTable, part, key: sequenceKey(place) };
        puts.push({ ...sequence, value: JSON.stringify({ batch: batchId }) });
        meter.record("commitRows", puts.length);
        meter.count("commitBytes", bytes);
        const expect = [
            { table: ownerTable, part, key: ownerKey, version: ownerVersion },
            { ...sequence, version: versions[place] ?? 0 },
        ];
        const transaction = { expect, puts, removes };
        return { place, batchId, transaction, jobIds, waiting, sentAtMs: clock.monotonicMs() };
    };

    const fly = async (flight: Flight): Promise<void> => {
        flights.add(flight);
        for (const jobId of flight.jobIds) {
            inFlight.add(jobId);
        }
        const version = await writer.write(flight);
        if (stopped) {
            return;
        }
        if (version === undefined) {
            stopped = true;
            onFenced();
            return;
        }
        versions[flight.place] = version;
        flights.delete(flight);
        for (const jobId of flight.jobIds) {
            inFlight.delete(jobId);
        }
        meter.record("commitMs", clock.monotonicMs() - flight.sentAtMs);
        for (const resolve of flight.waiting) {
            resolve();
        }
        // Lets those who waited mark more jobs, so that the next batch has them.
        await Promise.resolve();
        pump();
    };

    const freePlace = (): number => {
        const taken = new Set([...flights].map(({ place }) => place));
        return versions.findIndex((_, place) => !taken.has(place));
    };

    const hasWork = (): boolean => probeWanted || [...dirty.keys()].some(jobId => !inFlight.has(jobId));

    const endIdle = (): void => {
        for (const resolve of idleWaiting) {
            resolve();
        }
        idleWaiting = [];
    };

    /** Sends the next batch, unless the ones under way are to be waited for first. */
    const pump = (): void => {
        nextPump?.cancel();
        nextPump = undefined;
        if (stopped) {
            return;
        }
        if (!hasWork()) {
            if (flights.size === 0) {
                endIdle();
            }
            return;
        }
        const newestSentMs = Math.max(-Infinity, ...[...flights].map(({ sentAtMs }) => sentAtMs));
        const dueMs = newestSentMs + overlapAfterMs;
        if (dueMs > clock.monotonicMs()) {
            pumpAt(dueMs);
            return;
        }
        const place = freePlace();
        if (place < 0 || stalledMs() > overlapStalledMs) {
            return;
        }
        probeWanted = false;
        void fly(takeBatch(place));
        if (hasWork()) {
            pumpAt(clock.monotonicMs() + overlapAfterMs);
        }
    };

    const pumpAt = (dueMs: number): void => {
        if (stopped || nextPump !== undefined && nextPump.dueMs <= dueMs) {
            return;
        }
        nextPump?.cancel();
        nextPump = { dueMs, cancel: clock.setTimer(Math.max(0, dueMs - clock.monotonicMs()), pump) };
    };

    return {
        probe: () => {
            if (flights.size === 0) {
                probeWanted = true;
                pumpAt(clock.monotonicMs() + gatherMs);
            }
        },
        withdraw: jobId => !inFlight.has(jobId) && dirty.delete(jobId),
        commit: jobId =>
            new Promise(resolve => {
                const resolvers = dirty.get(jobId);
                if (resolvers === undefined) {
                    dirty.set(jobId, [resolve]);
                }
                else {
                    resolvers.push(resolve);
                }
                pumpAt(clock.monotonicMs() + gatherMs);
            }),
        answeredAtMs: () => answeredAtMs,
        stalledMs,
        idle: () =>
            !stopped && (flights.size > 0 || dirty.size > 0)
                ? new Promise(resolve => {
                    idleWaiting.push(resolve);
                })
                : Promise.resolve(),
        stop: () => {
            stopped = true;
            nextPump?.cancel();
        },
    };
};
