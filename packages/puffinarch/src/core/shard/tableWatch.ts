/** Follows a table of the store: a whole read, then its changes; a whole read again where the history is lost. */

import type { Row, RowStore } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { failureOf } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";
import { mostPageRows, readAllRows } from "./readRows.js";

/** What a watch needs. */
export interface TableWatchOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly store: RowStore;
    readonly table: string;
    readonly parts: readonly string[];
    /** Rows that are new or changed; a removed one has no value. */
    readonly onRows: (rows: readonly Row[]) => void;
    /** After a whole read: the keys of all rows; what else was known is gone. */
    readonly onWhole: (keys: ReadonlySet<string>) => void;
    /** Pause after changes, so that a table that changes all the time costs few calls; none where it is left out. */
    readonly pauseMs?: number;
    /** How long the store may wait for a change before it answers, which bounds how long a silent connection goes unnoticed. */
    readonly feedWaitMs?: number;
}

/** A watch that runs until it is stopped. */
export interface TableWatch {
    /** How old what is known may be: time since the newest answered call was sent; `Infinity` before the first. */
    ageMs(): number;
    stop(): void;
}

/** For tables whose changes reach a daemon through its peers as well. */
const longFeedWaitMs = 10_000;
/** For tables whose changes must be known within the platform's 2 s, also where the connection has gone silent. */
export const shortFeedWaitMs = 1_000;
const retryPauseMs = 250;
/** No smaller page helps with a row that alone takes longer than the store may be silent. */
const longestPageMs = 20_000;

/** A moment on both clocks. */
interface Moment {
    readonly steadyMs: number;
    readonly wallMs: number;
}

const momentOf = (clock: Clock): Moment => ({ steadyMs: clock.monotonicMs(), wallMs: clock.nowMs() });

/** The steady clock stands still while the VM is suspended and the time of day may be set back: the longer time counts. */
const sinceMoment = (clock: Clock, { steadyMs, wallMs }: Moment): number =>
    Math.max(clock.monotonicMs() - steadyMs, clock.nowMs() - wallMs);

/**
 * Starts to follow a table.
 *
 * @example
 * const watch = watchTable({ clock, log, store, table: "puffinarch-member", parts: [""], onRows, onWhole });
 */
export const watchTable = (
    { clock, log, store, table, parts, onRows, onWhole, pauseMs, feedWaitMs }: TableWatchOptions,
): TableWatch => {
    let stopped = false;
    let known: Moment | undefined;

    /** The version from which changes are followed; undefined once stopped. */
    const readWhole = async (): Promise<number | undefined> => {
        const sentAt = momentOf(clock);
        let oldest = Infinity;
        const keys = new Set<string>();
        for (const part of parts) {
            // Usually one answer holds all rows; over a link on which it takes too long they come in smaller pages.
            const read = await readAllRows({
                clock,
                log,
                store,
                table,
                part,
                wanted: () => !stopped,
                firstRows: mostPageRows,
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
            onRows(rows);
        }
        onWhole(keys);
        known = sentAt;
        return oldest;
    };

    const follow = async (): Promise<void> => {
        let version = await readWhole();
        while (!stopped && version !== undefined) {
            const sentAt = momentOf(clock);
            const changes = await store.changes(table, version, feedWaitMs ?? longFeedWaitMs);
            if (changes.kind === "historyLost") {
                log.write("info", "historyLost", { table, version });
                return;
            }
            version = changes.version;
            if (changes.rows.length > 0 && !stopped) {
                onRows(changes.rows);
            }
            known = sentAt;
            if (pauseMs !== undefined) {
                await sleep(clock, pauseMs);
            }
        }
    };

    const run = async (): Promise<void> => {
        let lost = false;
        while (!stopped) {
            try {
                await follow();
                lost = false;
            }
            catch (error) {
                if (!lost) {
                    log.write("warn", "watchLost", { table, reason: failureOf(error).message });
                }
                lost = true;
                await sleep(clock, retryPauseMs);
            }
        }
    };

    void run();
    return {
        ageMs: () => known === undefined ? Infinity : sinceMoment(clock, known),
        stop: () => {
            stopped = true;
        },
    };
};
