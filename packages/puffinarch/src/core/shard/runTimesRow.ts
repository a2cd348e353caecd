/**
 * Keeps what an owner has learned about run times over a takeover: one bounded row in the shard's journal, which is written
 * together with a commit that is made anyway. Daemons of earlier versions ignore its key.
 */

import { z } from "zod";
import type { Row } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { type Decoded, decodeRow, mapDecoded } from "../../utils/decode.js";
import type { RowChange } from "./commitLog.js";
import type { RowReader } from "./rowReader.js";
import type { RunTimeEntries, RunTimes } from "./runTimes.js";
import { journalTable, runTimesKey } from "./shardTables.js";

/** Least time between two writes of the row. */
const writeIntervalMs = 5_000;
/** Most bytes of the row, below the 32 KiB that a store of the platform has to take in addition to the rows of a full batch. */
const maxRowBytes = 30_000;
/** Most entries that are read, whatever a row holds. */
const maxEntries = 2_000;

const positive = z.number("a number").positive("a positive number");
const ends = z.number("a whole number").int("a whole number").min(0, "0 or more");
const speedSchema = z.tuple([z.string("an address"), positive, positive], "an address, a speed and its error");
const biasSchema = z.tuple([z.string("a queue"), positive, positive, ends], "a queue, its bias, spread and ends");

/** Schema of the row. */
export const runTimesSchema = z.object({
    speeds: z.array(speedSchema, "speeds of workers").max(maxEntries, `at most ${maxEntries} speeds`),
    biases: z.array(biasSchema, "biases of queues").max(maxEntries, `at most ${maxEntries} biases`),
});

/** Rounds to three significant digits, which is more than the error of any entry allows. */
const rounded = (value: number): number => Number(value.toPrecision(3));

/** Takes entries from the front as long as their texts fit; returns those taken, and the bytes that are left. */
const takeFitting = <T>(
    entries: readonly T[],
    bytes: number,
): { readonly taken: readonly T[]; readonly left: number; } => {
    const taken: T[] = [];
    let left = bytes;
    for (const entry of entries) {
        left -= Buffer.byteLength(JSON.stringify(entry)) + 1;
        if (left < 0) {
            break;
        }
        taken.push(entry);
    }
    return { taken, left: Math.max(0, left) };
};

/**
 * Encodes what was learned as the value of a row; the least recently used entries are left out where they do not fit.
 *
 * @example
 * encodeRunTimes(runTimes.entries()).length <= 30_000; // true
 */
export const encodeRunTimes = ({ speeds, biases }: RunTimeEntries): string => {
    const biasRows = biases.map(each => [each.queueKey, rounded(each.bias), rounded(each.spread), each.ends]);
    const speedRows = speeds.map(each => [each.address, rounded(each.speed), rounded(each.error)]);
    // Queues are fewer, and what was learned of them took longer; half of the row is theirs if need be.
    const keptBiases = takeFitting(biasRows, maxRowBytes / 2);
    const keptSpeeds = takeFitting(speedRows, maxRowBytes / 2 + keptBiases.left - 100);
    return JSON.stringify({ speeds: keptSpeeds.taken, biases: keptBiases.taken });
};

/**
 * Decodes the row.
 *
 * @example
 * decodeRunTimes({ value: '{"speeds":[["10.0.0.1:1",0.5,0.1]],"biases":[]}' }).kind; // "entry"
 */
export const decodeRunTimes = (row: Pick<Row, "value">): Decoded<RunTimeEntries> =>
    mapDecoded(decodeRow(row, runTimesSchema), ({ speeds, biases }) => ({
        speeds: speeds.map(([address, speed, error]) => ({ address, speed, error })),
        biases: biases.map(([queueKey, bias, spread, count]) => ({ queueKey, bias, spread, ends: count })),
    }));

/** Writes and restores the row of one owner. */
export interface RunTimesRow {
    /** The row to write with the batch that is being built; none while the newest write is recent or nothing was learned. */
    due(): RowChange["puts"];
    /** Restores what the row among these holds; a row that cannot be read is reported and skipped. */
    restore(rows: readonly Row[]): void;
}

/**
 * Creates the access to the row of a shard.
 *
 * @example
 * const row = createRunTimesRow({ clock, log, reader, runTimes });
 * row.restore(claimed.rows);
 */
export const createRunTimesRow = ({ clock, log, reader, runTimes }: {
    readonly clock: Clock;
    readonly log: Log;
    readonly reader: RowReader;
    readonly runTimes: Pick<RunTimes, "entries" | "restore">;
}): RunTimesRow => {
    let writtenAtMs = clock.monotonicMs();
    let written = "";
    return {
        due: () => {
            const nowMs = clock.monotonicMs();
            if (nowMs - writtenAtMs < writeIntervalMs) {
                return [];
            }
            writtenAtMs = nowMs;
            const entries = runTimes.entries();
            const value = encodeRunTimes(entries);
            if (entries.speeds.length === 0 || value === written) {
                return [];
            }
            written = value;
            return [{ table: journalTable, key: runTimesKey, value }];
        },
        restore: rows => {
            const row = rows.find(({ key }) => key === runTimesKey);
            const entries = row === undefined ? undefined : reader.entryOf(row, decodeRunTimes(row));
            if (entries !== undefined) {
                runTimes.restore(entries);
                log.write("info", "runTimesRestored", { speeds: entries.speeds.length, biases: entries.biases.length });
            }
        },
    };
};
