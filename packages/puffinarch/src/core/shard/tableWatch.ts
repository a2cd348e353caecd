/** Follows a table of the store: reads a snapshot, then the changes; reads another snapshot where the change history was lost. */

import type { Row, RowStore } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { failureOf } from "../../utils/errors.js";
import { createGuard } from "../../utils/guard.js";
import { elapsedSinceMs, type Moment, momentOf } from "../../utils/moments.js";
import { sleep } from "../../utils/time.js";
import { maxPageRows, readAllRows } from "./readRows.js";

/** Dependencies, callbacks and timings of a table watch. */
export interface TableWatchOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly store: RowStore;
    readonly table: string;
    readonly parts: readonly string[];
    /** Called with new, changed and removed rows; a removed row has no value. Called once more for each row where it throws. */
    readonly onRows: (rows: readonly Row[]) => void;
    /** Called after each snapshot with the keys of all its rows; rows with other keys no longer exist. */
    readonly onSnapshot: (keys: ReadonlySet<string>) => void;
    /** Pause between calls for changes, which limits the calls for a table that changes constantly; none where it is left out. */
    readonly pauseMs?: number;
    /** Longest wait of the store for a change before it answers, which bounds the time to detect a dead connection. */
    readonly feedWaitMs?: number;
}

/** A watch that runs until it is stopped. */
export interface TableWatch {
    /** Age of the data, in ms: time since the newest answered call was sent; `Infinity` before the first. */
    ageMs(): number;
    stop(): void;
}

/** For tables whose changes also reach a daemon through its peers. */
const longFeedWaitMs = 10_000;
/** For tables whose changes must arrive within the platform's limit of 2 s, even where the connection is dead without being closed. */
export const shortFeedWaitMs = 1_000;
const retryPauseMs = 250;
/**
 * Longest time for a page of which data keeps arriving. A single row may take longer than the store's own timeout, and a smaller
 * page does not help then.
 */
const longestPageMs = 20_000;

/**
 * Starts to follow a table.
 *
 * @example
 * const watch = watchTable({ clock, log, store, table: "puffinarch-member", parts: [""], onRows, onSnapshot });
 */
export const watchTable = (
    { clock, log, store, table, parts, onRows, onSnapshot, pauseMs, feedWaitMs }: TableWatchOptions,
): TableWatch => {
    let stopped = false;
    let lastCallSentAt: Moment | undefined;
    const guard = createGuard({ clock, log });

    /**
     * Passes rows on. Where one of them fails, each is passed on by itself, so that the others take effect: if the watch began again, it
     * would read the same row again, for as long as the row is stored.
     */
    const applyRows = (rows: readonly Row[]): void => {
        if (guard.call(`rows of ${table}`, () => onRows(rows))) {
            return;
        }
        for (const row of rows) {
            guard.call(`row ${table} ${row.part} ${row.key} version ${row.version}`, () => onRows([row]));
        }
    };

    /** Reads all parts and returns the version from which to follow changes; undefined once stopped. */
    const readSnapshot = async (): Promise<number | undefined> => {
        const sentAt = momentOf(clock);
        let oldest = Infinity;
        const keys = new Set<string>();
        for (const part of parts) {
            // One page usually holds all rows; it is divided where it takes too long over a slow link.
            const read = await readAllRows({
                clock,
                log,
                store,
                table,
                part,
                isNeeded: () => !stopped,
                firstPageRows: maxPageRows,
                retryPauseMs,
                longestPageMs,
            });
            if (read === undefined) {
                return undefined;
            }
            const { rows, version } = read;
            oldest = Math.min(oldest, version);
            for (const row of rows) {
                keys.add(row.key);
            }
            applyRows(rows);
        }
        guard.call(`snapshot of ${table}`, () => onSnapshot(keys));
        lastCallSentAt = sentAt;
        return oldest;
    };

    const follow = async (): Promise<void> => {
        let version = await readSnapshot();
        while (!stopped && version !== undefined) {
            const sentAt = momentOf(clock);
            const changes = await store.changes(table, version, feedWaitMs ?? longFeedWaitMs);
            if (changes.kind === "historyLost") {
                log.write("info", "historyLost", { table, version });
                return;
            }
            version = changes.version;
            if (changes.rows.length > 0 && !stopped) {
                applyRows(changes.rows);
            }
            lastCallSentAt = sentAt;
            if (pauseMs !== undefined) {
                await sleep(clock, pauseMs);
            }
        }
    };

    const run = async (): Promise<void> => {
        let isLost = false;
        while (!stopped) {
            try {
                await follow();
                isLost = false;
            }
            catch (error) {
                if (!isLost) {
                    log.write("warn", "watchLost", { table, reason: failureOf(error).message });
                }
                isLost = true;
                await sleep(clock, retryPauseMs);
            }
        }
    };

    void run();
    return {
        ageMs: () => lastCallSentAt === undefined ? Infinity : elapsedSinceMs(clock, lastCallSentAt),
        stop: () => {
            stopped = true;
        },
    };
};
