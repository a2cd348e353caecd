/** Rows that keep waves of upkeep: which VMs have begun, for a successor, and the state that the operator is shown. */

import type { RowKey, RowStore } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { type WaveState, waveStates } from "../../types/upkeep.js";
import { readAllRows } from "./claimShard.js";
import { ownerKey, ownerTable, upkeepTable } from "./shardTables.js";

/** What the rows of waves need. */
export interface WaveRowsOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly store: RowStore;
    readonly part: string;
    /** Version of the owner's row. */
    readonly ownerVersion: number;
    /** Where and how the operator is shown a wave's state. */
    readonly stateRow: (wave: number, state: WaveState) => RowKey & { readonly value: string; };
    readonly isClosed: () => boolean;
}

/** Rows of waves. */
export interface WaveRows {
    /** VMs that have begun, by wave. */
    read(): Promise<ReadonlyMap<number, ReadonlySet<string>>>;
    /** False where the store did not take all of it. */
    save(wave: number, begun: ReadonlySet<string>, state: WaveState): Promise<boolean>;
}

/** Twenty times a usual commit; what was not taken is saved again with the next step. */
const saveTimeoutMs = 600;

/**
 * Makes the rows of a shard's waves.
 *
 * @example
 * const rows = createWaveRows({ clock, log, store, part, ownerVersion, stateRow, isClosed });
 * await rows.save(3, new Set(["m-17"]), "running");
 */
export const createWaveRows = (options: WaveRowsOptions): WaveRows => {
    const { clock, log, store, part, ownerVersion, stateRow, isClosed } = options;
    const shown = new Map<number, WaveState>();

    const saveBegun = async (wave: number, begun: ReadonlySet<string>): Promise<boolean> => {
        const { outcome } = await store.transact({
            expect: [{ table: ownerTable, part, key: ownerKey, version: ownerVersion }],
            puts: [{ table: upkeepTable, part, key: String(wave), value: JSON.stringify([...begun]) }],
            removes: [],
        }, saveTimeoutMs);
        return outcome === "committed";
    };

    const show = async (wave: number, state: WaveState): Promise<boolean> => {
        if (shown.get(wave) === state) {
            return true;
        }
        const row = stateRow(wave, state);
        // A copy that is carried out late must not bring "running" back.
        const expect = state === waveStates.running ? [{ ...row, version: 0 }] : [];
        const { outcome } = await store.transact({ expect, puts: [row], removes: [] }, saveTimeoutMs);
        const taken = outcome === "committed" || outcome === "conflict";
        if (taken) {
            shown.set(wave, state);
        }
        return taken;
    };

    return {
        read: async () => {
            const wanted = (): boolean => !isClosed();
            const rows = await readAllRows({ clock, log, store, table: upkeepTable, part, wanted });
            return new Map(
                (rows ?? []).map(row => [Number(row.key), new Set(JSON.parse(row.value ?? "[]") as readonly string[])]),
            );
        },
        save: async (wave, begun, state) =>
            (begun.size === 0 || await saveBegun(wave, begun)) && await show(wave, state),
    };
};
