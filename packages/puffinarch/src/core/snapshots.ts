/**
 * Snapshots of homes in the object store, so that journals stay short: the state goes to an object, a row names it and
 * the first batch after it, and the batches before that are deleted.
 */

import type { ObjectStore, RowCondition, TableStore } from "../types/ports.js";
import { die } from "../utils/errors.js";
import type { HomeSnapshot } from "./homeState.js";
import { journalKey } from "./journal.js";

interface SnapshotRow {
    readonly objectKey: string;
    readonly nextSequence: number;
}

/** A home's state and the first batch that it does not hold. */
export interface LoadedSnapshot {
    readonly snapshot: HomeSnapshot;
    readonly nextSequence: number;
}

const snapshotKey = (homeId: string): string => `snapshot/${homeId}`;
const deletesPerTransaction = 24;

/**
 * Loads the latest snapshot of a home; the empty one where there is none.
 *
 * @example
 * const { snapshot, nextSequence } = await loadSnapshot(table, objects, "vm-1~1");
 */
export const loadSnapshot = async (
    table: TableStore,
    objects: ObjectStore,
    homeId: string,
): Promise<LoadedSnapshot> => {
    const [row] = await table.read([snapshotKey(homeId)]);
    if (row === undefined) {
        return { snapshot: [], nextSequence: 0 };
    }
    const { objectKey, nextSequence } = row.value as SnapshotRow;
    const body = await objects.get(objectKey) ?? die("unavailable", `the snapshot ${objectKey} is not there`);
    return { snapshot: JSON.parse(body) as HomeSnapshot, nextSequence };
};

/** What saving a snapshot needs. */
export interface SaveSnapshotOptions {
    readonly table: TableStore;
    readonly objects: ObjectStore;
    readonly homeId: string;
    /** The ownership row; a holder that was replaced saves nothing. */
    readonly fence: RowCondition;
}

const deleteRows = async ({ table, fence }: SaveSnapshotOptions, keys: readonly string[]): Promise<void> => {
    for (let start = 0; start < keys.length; start += deletesPerTransaction) {
        await table.transact({
            conditions: [fence],
            puts: [],
            deletes: keys.slice(start, start + deletesPerTransaction),
        });
    }
};

/**
 * Saves a snapshot and deletes the batches that it holds. The object is written first and the row names it after, so a
 * crash between the two leaves the earlier snapshot in force. Answers false where the row did not surely commit.
 *
 * @example
 * await saveSnapshot(options, { snapshot: state.snapshot(), nextSequence: journal.nextSequence() });
 */
export const saveSnapshot = async (
    options: SaveSnapshotOptions,
    { snapshot, nextSequence }: LoadedSnapshot,
): Promise<boolean> => {
    const { table, objects, homeId, fence } = options;
    const objectKey = `snapshots/${homeId}/${nextSequence}`;
    const [before] = await table.read([snapshotKey(homeId)]);
    await objects.put(objectKey, JSON.stringify(snapshot));
    const { outcome } = await table.transact({
        conditions: [fence],
        puts: [{ key: snapshotKey(homeId), value: { objectKey, nextSequence } satisfies SnapshotRow }],
        deletes: [],
    });
    if (outcome !== "committed") {
        return false;
    }
    const earlier = before?.value as SnapshotRow | undefined;
    const keys: string[] = [];
    for (let sequence = earlier?.nextSequence ?? 0; sequence < nextSequence; sequence += 1) {
        keys.push(journalKey(homeId, sequence));
    }
    await deleteRows(options, keys);
    if (earlier !== undefined && earlier.objectKey !== objectKey) {
        await objects.delete(earlier.objectKey);
    }
    return true;
};

/**
 * Deletes the directory rows of forgotten jobs.
 *
 * @example
 * await forgetRows(options, ["job/load-in-7"]);
 */
export const forgetRows = deleteRows;
