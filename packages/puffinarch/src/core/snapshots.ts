/**
 * Snapshots of homes, which keep journals short. The state is written to an object; a table row names the object and the
 * first batch that it does not contain, and the batches before that one are deleted.
 */

import type { ObjectStore, RowCondition, TableStore } from "../types/ports.js";
import { die } from "../utils/errors.js";
import type { HomeSnapshot } from "./homeState.js";
import { journalKey } from "./journal.js";

interface SnapshotRow {
    readonly objectKey: string;
    readonly nextSequence: number;
}

/** A home's state, and the sequence number of the first batch that it does not contain. */
export interface LoadedSnapshot {
    readonly snapshot: HomeSnapshot;
    readonly nextSequence: number;
}

const snapshotKey = (homeId: string): string => `snapshot/${homeId}`;
/** A transaction takes at most 25 rows; the ownership row is one of them. */
const deletesPerTransaction = 24;

/**
 * Loads the latest snapshot of a home; returns an empty one if none was saved.
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
    const body = await objects.get(objectKey) ?? die("unavailable", `the snapshot object ${objectKey} is missing`);
    return { snapshot: JSON.parse(body) as HomeSnapshot, nextSequence };
};

/** Where a snapshot is saved, and under which condition. */
export interface SaveSnapshotOptions {
    readonly table: TableStore;
    readonly objects: ObjectStore;
    readonly homeId: string;
    /** Condition on the ownership row, so that a replaced holder cannot save. */
    readonly fence: RowCondition;
}

const deleteFencedRows = async ({ table, fence }: SaveSnapshotOptions, keys: readonly string[]): Promise<void> => {
    for (let start = 0; start < keys.length; start += deletesPerTransaction) {
        await table.transact({
            conditions: [fence],
            puts: [],
            deletes: keys.slice(start, start + deletesPerTransaction),
        });
    }
};

/**
 * Saves a snapshot and deletes the batches that it contains. The object is written before the row that names it, so a
 * crash between the two leaves the previous snapshot valid. Returns false if the row is not known to be committed.
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
    const [previousRow] = await table.read([snapshotKey(homeId)]);
    await objects.put(objectKey, JSON.stringify(snapshot));
    const { outcome } = await table.transact({
        conditions: [fence],
        puts: [{ key: snapshotKey(homeId), value: { objectKey, nextSequence } satisfies SnapshotRow }],
        deletes: [],
    });
    if (outcome !== "committed") {
        return false;
    }
    const previous = previousRow?.value as SnapshotRow | undefined;
    const keys: string[] = [];
    for (let sequence = previous?.nextSequence ?? 0; sequence < nextSequence; sequence += 1) {
        keys.push(journalKey(homeId, sequence));
    }
    await deleteFencedRows(options, keys);
    if (previous !== undefined && previous.objectKey !== objectKey) {
        await objects.delete(previous.objectKey);
    }
    return true;
};

/**
 * Deletes rows while the ownership row is unchanged, such as the directory rows of dropped jobs. Rows of a transaction that
 * fails are left in the table, without an error.
 *
 * @example
 * await deleteHomeRows(options, ["job/load-in-7"]);
 */
export const deleteHomeRows = deleteFencedRows;
