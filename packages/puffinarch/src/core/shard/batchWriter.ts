/**
 * Writes one batch of a commit log until its outcome is certain. A copy that finds no answer in time is followed by another,
 * while the first may still be answered: a lost answer then costs little, and a slow store is not asked anew each time.
 * Every copy has the same conditions, so that one of them takes effect at most.
 */

import type { Row, RowStore, RowTransaction } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import { sleep } from "../../utils/time.js";
import { ownerTable } from "./shardTables.js";

/** What the writer needs. */
export interface BatchWriterOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly store: RowStore;
    readonly part: string;
    /** Version of the owner's row. */
    readonly ownerVersion: number;
    /** How long the store took to answer last. */
    readonly storeMs: number;
    /** The store has answered at this local time. */
    readonly onAnswer: (atMs: number) => void;
    readonly isStopped: () => boolean;
}

/** A batch; the last row that it puts is its sequence row, whose value no other batch has. */
export interface Batch {
    readonly batchId: string;
    readonly transaction: RowTransaction;
}

/** Writes batches. */
export interface BatchWriter {
    /** Version of the sequence row at which the batch took effect; undefined where the shard is another's, or after a stop. */
    write(batch: Batch): Promise<number | undefined>;
}

/** Pause after a refusal, doubled up to the longest one; refused calls are priced. */
const firstPauseMs = 25;
const longestPauseMs = 200;
/** A commit takes some 8 ms; without an answer by the first another copy is sent, the next after twice the time. */
const shortestWaitMs = 80;
const longestWaitMs = 1_500;
const waitFactor = 4;
/** How long one copy may be answered. */
const copyTimeoutMs = 1_500;
/** Copies without an answer after which the store is taken to be away, and is asked whether it is back. */
const copiesToProbe = 3;
/** Between two such questions; a copy that was sent into an outage is not answered after it, and the next is 1.5 s off. */
const probeMs = 200;
/** No answer comes in what is left of a wait by then; a pause of a fraction of that may end at the moment at which it began. */
const shortestProbeMs = 1;
/** A store that answers questions and no copies is not asked again for this long. */
const probePauseMs = 1_000;
/** Weight of the newest answer in the usual time, where no copy was sent before it came. */
const usualShare = 0.2;

/**
 * Makes the writer of a shard's batches.
 *
 * @example
 * const writer = createBatchWriter({ clock, log, meter, store, part, ownerVersion, storeMs, onAnswer, isStopped });
 * const version = await writer.write({ batchId: "entry-1/0", transaction });
 */
export const createBatchWriter = (options: BatchWriterOptions): BatchWriter => {
    const { clock, log, meter, store, part, ownerVersion, onAnswer, isStopped } = options;
    let usualMs = options.storeMs;

    /** After a conflict: the version at which an earlier copy took effect; undefined where the shard is another's. */
    const settledVersion = (rows: readonly Row[], { transaction }: Batch): number | undefined => {
        const owner = rows.find(row => row.table === ownerTable);
        const marker = transaction.puts.at(-1);
        const sequence = rows.find(row => row.table === marker?.table && row.key === marker.key);
        return owner?.version === ownerVersion && sequence?.value === marker?.value ? sequence?.version : undefined;
    };

    const write = async (batch: Batch): Promise<number | undefined> => {
        let settled: { readonly version: number | undefined; } | undefined;
        let announce: () => void = () => {};
        const settlement = new Promise<void>(resolve => {
            announce = resolve;
        });
        const settle = (version: number | undefined): void => {
            settled = { version };
            announce();
        };

        let copies = 0;
        const sendCopy = async (): Promise<void> => {
            copies += 1;
            const askedAtMs = clock.monotonicMs();
            const result = await store.transact(batch.transaction, copyTimeoutMs);
            meter.count(`commits.${result.outcome}`);
            if (result.outcome === "committed" || result.outcome === "conflict") {
                const nowMs = clock.monotonicMs();
                onAnswer(nowMs);
                const tookMs = nowMs - askedAtMs;
                // Copies queue behind each other in a slow store, so one late answer is believed at once.
                usualMs = copies > 1 ? Math.max(usualMs, tookMs) : usualMs + usualShare * (tookMs - usualMs);
            }
            if (settled !== undefined || isStopped()) {
                return;
            }
            if (result.outcome === "committed") {
                settle(result.version);
                return;
            }
            if (result.outcome === "conflict") {
                const version = settledVersion(result.rows, batch);
                if (version === undefined) {
                    const found = result.rows.length;
                    log.write("warn", "commitFenced", { part, batch: batch.batchId, ownerVersion, found });
                }
                settle(version);
                return;
            }
            const { outcome, reason } = result;
            log.write("warn", "commitDelayed", { part, batch: batch.batchId, outcome, reason });
        };

        const firstWaitMs = Math.min(longestWaitMs, Math.max(shortestWaitMs, waitFactor * usualMs));
        let waitMs = firstWaitMs;
        let pauseMs = firstPauseMs;
        let probesAgainAtMs = -Infinity;

        /** Whether the store is back before the wait for a copy's answer is over. */
        const isBack = async (withinMs: number): Promise<boolean> => {
            const endsAtMs = clock.monotonicMs() + withinMs;
            if (copies < copiesToProbe || clock.monotonicMs() < probesAgainAtMs) {
                await sleep(clock, withinMs);
                return false;
            }
            while (settled === undefined && !isStopped() && endsAtMs - clock.monotonicMs() >= shortestProbeMs) {
                const answer = store.read(ownerTable, part, undefined, 1).then(() => true, () => false);
                const pause = sleep(clock, Math.min(probeMs, endsAtMs - clock.monotonicMs()));
                if (await Promise.race([answer, pause.then(() => false)])) {
                    return settled === undefined;
                }
                await pause;
            }
            return false;
        };

        while (settled === undefined && !isStopped()) {
            let answered = false;
            const copy = sendCopy().then(() => {
                answered = true;
            });
            const back = await Promise.race([copy.then(() => false), settlement.then(() => false), isBack(waitMs)]);
            if (settled !== undefined) {
                break;
            }
            if (back) {
                log.write("info", "storeBack", { part, batch: batch.batchId, copies });
                probesAgainAtMs = clock.monotonicMs() + probePauseMs;
                waitMs = firstWaitMs;
                continue;
            }
            if (answered) {
                await Promise.race([settlement, sleep(clock, pauseMs)]);
                pauseMs = Math.min(longestPauseMs, 2 * pauseMs);
            }
            else {
                log.write("warn", "commitDelayed", {
                    part,
                    batch: batch.batchId,
                    outcome: "unknown",
                    reason: `no answer within ${Math.round(waitMs)} ms`,
                });
                waitMs = Math.min(longestWaitMs, 2 * waitMs);
            }
        }
        return settled?.version;
    };

    return { write };
};
