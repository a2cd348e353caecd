/** Watches the platform's list of workers for as long as this daemon owns a shard. */

import type { Row, RowStore } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import type { WorkerEntry } from "../../types/work.js";
import { shortFeedWaitMs, type TableWatch, watchTable } from "./tableWatch.js";

/** What `watchWorkerList` needs. */
export interface WorkerListOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly store: RowStore;
    readonly table: string;
    readonly readWorker: (row: Row) => WorkerEntry | undefined;
    /** Called after each change with all workers listed now, and the ids of those whose row cannot be read. */
    readonly onWorkers: (entries: readonly WorkerEntry[], unreadable: ReadonlySet<string>) => void;
}

/** Pause between reads. Workers write their entries about every 1.5 s, and one that leaves has to be noticed within 2 s. */
const pauseMs = 300;

/**
 * Starts to watch the list; `onWorkers` is first called once the whole list has been read.
 *
 * @example
 * const watch = watchWorkerList({ clock, log, store, table: "workers", readWorker, onWorkers });
 */
export const watchWorkerList = (options: WorkerListOptions): TableWatch => {
    const { clock, log, store, table, readWorker, onWorkers } = options;
    const entries = new Map<string, WorkerEntry>();
    const unreadable = new Set<string>();
    let readOnce = false;
    return watchTable({
        clock,
        log,
        store,
        table,
        parts: [""],
        pauseMs,
        feedWaitMs: shortFeedWaitMs,
        onRows: rows => {
            for (const row of rows) {
                const entry = readWorker(row);
                unreadable.delete(row.key);
                if (entry !== undefined) {
                    entries.set(row.key, entry);
                    continue;
                }
                entries.delete(row.key);
                if (row.value !== undefined) {
                    unreadable.add(row.key);
                }
            }
            if (readOnce) {
                onWorkers([...entries.values()], unreadable);
            }
        },
        onSnapshot: keys => {
            readOnce = true;
            for (const workerId of [...entries.keys(), ...unreadable]) {
                if (!keys.has(workerId)) {
                    entries.delete(workerId);
                    unreadable.delete(workerId);
                }
            }
            onWorkers([...entries.values()], unreadable);
        },
    });
};
