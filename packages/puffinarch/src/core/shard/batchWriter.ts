/**
 * Writes one batch of a commit log until its outcome is certain. If a call is not answered in time, a duplicate ("copy") is sent while
 * the first call may still be answered, so that a lost answer costs little time; the wait before the next copy grows with the latency of
 * the store. All copies have the same conditions, so at most one of them takes effect.
 */

import type { Row, RowStore, RowTransaction } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import { sleep } from "../../utils/time.js";
import { ownerTable } from "./shardTables.js";

/** Dependencies of the writer. */
export interface BatchWriterOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly store: RowStore;
    readonly part: string;
    /** Version of the owner's row under this owner's claim. */
    readonly ownerVersion: number;
    /** Latency of the store's last answer before the writer was created. */
    readonly storeLatencyMs: number;
    /** Called for each definite answer from the store, with the local time at which its call was sent. */
    readonly onAnswer: (sentAtMs: number) => void;
    readonly isStopped: () => boolean;
}

/** A batch to write. The last row that it puts is its sequence row, whose value is unique to the batch. */
export interface Batch {
    readonly batchId: string;
    readonly transaction: RowTransaction;
}

/**
 * How the write of a batch ended. `committed`: it took effect at this version of the sequence row. `fenced`: another daemon owns the shard.
 * `rejected`: the store never accepts the batch, and nothing of it was written. `stopped`: the writer was stopped before.
 */
export type BatchResult =
    | { readonly outcome: "committed"; readonly version: number; }
    | { readonly outcome: "rejected"; readonly reason: string; }
    | { readonly outcome: "fenced"; }
    | { readonly outcome: "stopped"; };

/** Writes the batches of one shard. */
export interface BatchWriter {
    /** Resolves once the outcome of the batch is certain. */
    write(batch: Batch): Promise<BatchResult>;
}

/** Pause after a refused call, doubled up to `longestPauseMs`; the platform charges for refused calls. */
const firstPauseMs = 25;
const longestPauseMs = 200;
/**
 * Wait for an answer before another copy is sent: `waitFactor` times the typical latency of the store within these bounds, and doubled
 * for each further copy. A commit takes about 8 ms.
 */
const shortestWaitMs = 80;
const longestWaitMs = 1_500;
const waitFactor = 4;
/** Timeout of the call that sends one copy. */
const copyTimeoutMs = 1_500;
/** Number of copies after which a store that has not answered counts as down and is probed with reads. */
const minCopiesBeforeProbe = 3;
/** Interval between probes. A copy that was sent during an outage is never answered, and the next one may be 1.5 s away. */
const probeIntervalMs = 200;
/**
 * Shortest remaining wait in which a probe is sent. No answer arrives in less. A pause of a fraction of a millisecond may also end at the
 * clock reading at which it began, and the next probe would then be sent at once.
 */
const minProbeWaitMs = 1;
/** After a probe was answered, none is sent for this long, since the store may answer reads but not commits. */
const probeCooldownMs = 1_000;
/** Weight of the newest answer in the moving average of the store's latency, for batches that needed one copy only. */
const newestAnswerWeight = 0.2;

/**
 * Creates the writer of a shard's batches.
 *
 * @example
 * const writer = createBatchWriter({ clock, log, meter, store, part, ownerVersion, storeLatencyMs, onAnswer, isStopped });
 * const result = await writer.write({ batchId: "entry-1/0", transaction });
 */
export const createBatchWriter = (options: BatchWriterOptions): BatchWriter => {
    const { clock, log, meter, store, part, ownerVersion, onAnswer, isStopped } = options;
    let typicalAnswerMs = options.storeLatencyMs;

    /** After a conflict: the version at which an earlier copy took effect; undefined if another daemon owns the shard. */
    const committedVersion = (rows: readonly Row[], { transaction }: Batch): number | undefined => {
        const owner = rows.find(row => row.table === ownerTable);
        const marker = transaction.puts.at(-1);
        const sequence = rows.find(row => row.table === marker?.table && row.key === marker.key);
        return owner?.version === ownerVersion && sequence?.value === marker?.value ? sequence?.version : undefined;
    };

    const write = async (batch: Batch): Promise<BatchResult> => {
        let finalResult: BatchResult | undefined;
        let resolveFinished: () => void = () => {};
        const finished = new Promise<void>(resolve => {
            resolveFinished = resolve;
        });
        const finish = (result: BatchResult): void => {
            finalResult = result;
            resolveFinished();
        };

        let copies = 0;
        const sendCopy = async (): Promise<void> => {
            copies += 1;
            const sentAtMs = clock.monotonicMs();
            const result = await store.transact(batch.transaction, copyTimeoutMs);
            meter.count(`commits.${result.outcome}`);
            if (result.outcome !== "refused" && result.outcome !== "unknown") {
                // The answer may have lain unread while this process was paused; it proves nothing of the time since the call.
                onAnswer(sentAtMs);
                const tookMs = clock.monotonicMs() - sentAtMs;
                // A slow store queues the copies, so a late answer among several copies raises the average at once.
                typicalAnswerMs = copies > 1
                    ? Math.max(typicalAnswerMs, tookMs)
                    : typicalAnswerMs + newestAnswerWeight * (tookMs - typicalAnswerMs);
            }
            if (finalResult !== undefined || isStopped()) {
                return;
            }
            if (result.outcome === "committed") {
                finish(result);
                return;
            }
            if (result.outcome === "rejected") {
                finish({ outcome: result.outcome, reason: result.reason });
                return;
            }
            if (result.outcome === "conflict") {
                const version = committedVersion(result.rows, batch);
                if (version === undefined) {
                    const found = result.rows.length;
                    log.write("warn", "commitFenced", { part, batch: batch.batchId, ownerVersion, found });
                }
                finish(version === undefined ? { outcome: "fenced" } : { outcome: "committed", version });
                return;
            }
            const { outcome, reason } = result;
            log.write("warn", "commitDelayed", { part, batch: batch.batchId, outcome, reason });
        };

        const firstWaitMs = Math.min(longestWaitMs, Math.max(shortestWaitMs, waitFactor * typicalAnswerMs));
        let waitMs = firstWaitMs;
        let pauseMs = firstPauseMs;
        let nextProbeAtMs = -Infinity;

        /** Waits up to `withinMs`, probing a store that is considered down; returns whether it answered a probe. */
        const waitForStore = async (withinMs: number): Promise<boolean> => {
            const endsAtMs = clock.monotonicMs() + withinMs;
            if (copies < minCopiesBeforeProbe || clock.monotonicMs() < nextProbeAtMs) {
                await sleep(clock, withinMs);
                return false;
            }
            while (finalResult === undefined && !isStopped() && endsAtMs - clock.monotonicMs() >= minProbeWaitMs) {
                const answer = store.read(ownerTable, part, undefined, 1).then(() => true, () => false);
                const pause = sleep(clock, Math.min(probeIntervalMs, endsAtMs - clock.monotonicMs()));
                if (await Promise.race([answer, pause.then(() => false)])) {
                    return finalResult === undefined;
                }
                await pause;
            }
            return false;
        };

        while (finalResult === undefined && !isStopped()) {
            let answered = false;
            const copy = sendCopy().then(() => {
                answered = true;
            });
            const storeAnswers = await Promise.race([
                copy.then(() => false),
                finished.then(() => false),
                waitForStore(waitMs),
            ]);
            if (finalResult !== undefined) {
                break;
            }
            if (storeAnswers) {
                log.write("info", "storeBack", { part, batch: batch.batchId, copies });
                nextProbeAtMs = clock.monotonicMs() + probeCooldownMs;
                waitMs = firstWaitMs;
                continue;
            }
            if (answered) {
                await Promise.race([finished, sleep(clock, pauseMs)]);
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
        return finalResult ?? { outcome: "stopped" };
    };

    return { write };
};
