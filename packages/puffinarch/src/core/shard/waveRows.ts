/**
 * Stores upkeep waves: which VMs have begun and which may have been ordered, for a successor, and the state that is reported to the
 * operator.
 */

import { z } from "zod";
import type { RowKey, RowStore } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { type WaveState, waveStates } from "../../types/upkeep.js";
import { decodeRow } from "../../utils/decode.js";
import { readAllRows } from "./readRows.js";
import type { RowReader } from "./rowReader.js";
import { ownerKey, ownerTable, upkeepTable } from "./shardTables.js";

/** Dependencies of the rows of upkeep waves. */
export interface WaveRowsOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly store: RowStore;
    readonly part: string;
    /** Version of the owner's row under this owner's claim. */
    readonly ownerVersion: number;
    /** Returns the row that shows the operator a wave's state. */
    readonly stateRow: (wave: number, state: WaveState) => RowKey & { readonly value: string; };
    readonly reader: RowReader;
    readonly isClosed: () => boolean;
}

/** What is stored of a wave for a successor. */
export interface WaveRecord {
    /** VMs whose upkeep the platform has confirmed to have begun. */
    readonly begun: ReadonlySet<string>;
    /** VMs for which an order may have been sent, each with the fencing token of the newest owner that may have sent it. */
    readonly ordered: ReadonlyMap<string, number>;
}

/** Reads and writes the rows of upkeep waves. */
export interface WaveRows {
    /** Returns the records by wave number. */
    read(): Promise<ReadonlyMap<number, WaveRecord>>;
    /** Stores a record; false if it is not known to be stored, or another daemon owns the shard. */
    record(wave: number, record: WaveRecord): Promise<boolean>;
    /** Shows the operator a wave's state; false if the row is not known to be stored. */
    show(wave: number, state: WaveState): Promise<boolean>;
}

/** A record as it is stored; an earlier version stored only the list of VMs that have begun. */
type StoredRecord = readonly string[] | {
    readonly begun: readonly string[];
    readonly ordered: Readonly<Record<string, number>>;
};

const encodeRecord = ({ begun, ordered }: WaveRecord): string => {
    const stored: StoredRecord = { begun: [...begun], ordered: Object.fromEntries(ordered) };
    return JSON.stringify(stored);
};

const vmIds = z.array(z.string("the id of a VM"), "a list of VMs");
const recordSchema = z.union([
    vmIds,
    z.object({
        begun: vmIds,
        ordered: z.record(z.string(), z.number("a fencing token"), "fencing tokens by VM"),
    }),
], "the VMs of a wave");

const isLegacyRecord = (stored: StoredRecord): stored is readonly string[] => Array.isArray(stored);

const toWaveRecord = (stored: StoredRecord): WaveRecord =>
    isLegacyRecord(stored)
        ? { begun: new Set(stored), ordered: new Map() }
        : { begun: new Set(stored.begun), ordered: new Map(Object.entries(stored.ordered)) };

/** Timeout of a write, about 20 times the usual commit time. A failed write is repeated in the next cycle. */
const saveTimeoutMs = 600;

/**
 * Creates the access to the rows of a shard's upkeep waves.
 *
 * @example
 * const rows = createWaveRows({ clock, log, store, part, ownerVersion, stateRow, reader, isClosed });
 * await rows.record(3, { begun: new Set(["m-17"]), ordered: new Map() });
 */
export const createWaveRows = (options: WaveRowsOptions): WaveRows => {
    const { clock, log, store, part, ownerVersion, stateRow, isClosed } = options;
    const reportedStates = new Map<number, WaveState>();

    const record = async (wave: number, entry: WaveRecord): Promise<boolean> => {
        const result = await store.transact({
            expect: [{ table: ownerTable, part, key: ownerKey, version: ownerVersion }],
            puts: [{ table: upkeepTable, part, key: String(wave), value: encodeRecord(entry) }],
            removes: [],
        }, saveTimeoutMs);
        if (result.outcome === "rejected") {
            log.write("error", "waveRejected", { wave, vms: entry.ordered.size, reason: result.reason });
        }
        return result.outcome === "committed";
    };

    const show = async (wave: number, state: WaveState): Promise<boolean> => {
        if (reportedStates.get(wave) === state) {
            return true;
        }
        const row = stateRow(wave, state);
        // A write of "running" that is applied late must not replace "completed".
        const expect = state === waveStates.running ? [{ ...row, version: 0 }] : [];
        const { outcome } = await store.transact({ expect, puts: [row], removes: [] }, saveTimeoutMs);
        const saved = outcome === "committed" || outcome === "conflict";
        if (saved) {
            reportedStates.set(wave, state);
        }
        return saved;
    };

    return {
        read: async () => {
            const isNeeded = (): boolean => !isClosed();
            const read = await readAllRows({ clock, log, store, table: upkeepTable, part, isNeeded });
            const records = new Map<number, WaveRecord>();
            for (const row of read?.rows ?? []) {
                const stored = options.reader.entryOf(row, decodeRow(row, recordSchema));
                if (stored !== undefined) {
                    records.set(Number(row.key), toWaveRecord(stored));
                }
            }
            return records;
        },
        record,
        show,
    };
};
