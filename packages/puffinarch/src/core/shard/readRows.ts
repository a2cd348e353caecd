/** Reads a whole part of a table, in pages. */

import type { Row, RowStore } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { failureOf } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";

/** What reading a part of a table needs. */
export interface ReadRowsOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly store: RowStore;
    readonly table: string;
    readonly part: string;
    readonly wanted: () => boolean;
    /** Gives up once no page came for this long; never where it is left out. */
    readonly patienceMs?: number;
    /** Gives up once the whole took this long; never where it is left out. */
    readonly withinMs?: number;
    /** Rows of the first page, for rows that are known to be small. */
    readonly firstRows?: number;
    /** Pause after a page that failed. */
    readonly retryPauseMs?: number;
    /** How long a page may take while it keeps coming; as long as the store may be silent where it is left out. */
    readonly longestPageMs?: number;
}

/** A part of a table. */
export interface ReadRows {
    readonly rows: readonly Row[];
    /** The table's version when the first page was read; what changed since is followed from there. */
    readonly version: number;
}

/** Someone waits for the rows of a shard; a store that refuses is asked 16 times a second by one daemon alone. */
const shortRetryPauseMs = 60;
/** A read that goes on failing is logged this often. */
const logPauseMs = 1_000;
/** Rows of the first page, at 7 KB a job at the most; a link of 10 Mbit/s carries them in 0.4 s. */
const firstPageRows = 50;
const fewestPageRows = 10;
/** The store's own limit. */
export const mostPageRows = 500;
/**
 * A page that took less than this is followed by one twice as large, which takes twice the time at the most and so still
 * ends within the store's 1 s for a read. With 150 ms a store of 240 ms an answer never got a larger one: 15 s for 3,000 rows.
 */
const quickPageMs = 450;
/** A read that failed sooner than this was refused, which says nothing of its size. */
const refusedMs = 250;

/** The key from which the page after these rows begins: the least one after the last. */
const keyAfter = (rows: readonly Row[]): string => `${rows.at(-1)?.key ?? ""}\u0001`;

/**
 * Reads a whole part of a table, in pages that adapt to the link and the store, so that a slow read still gets on; undefined
 * once it is not wanted any more, or does not get on.
 *
 * @example
 * const read = await readAllRows({ clock, log, store, table, part, wanted: () => true });
 */
export const readAllRows = async (
    {
        clock,
        log,
        store,
        table,
        part,
        wanted,
        patienceMs = Infinity,
        withinMs = Infinity,
        firstRows = firstPageRows,
        retryPauseMs = shortRetryPauseMs,
        longestPageMs,
    }: ReadRowsOptions,
): Promise<ReadRows | undefined> => {
    const rows: Row[] = [];
    let fromKey: string | undefined;
    let version: number | undefined;
    let pageRows = firstRows;
    let failures = 0;
    let loggedAtMs = -Infinity;
    const startedAtMs = clock.monotonicMs();
    let gotOnAtMs = startedAtMs;
    const isLate = (): boolean =>
        clock.monotonicMs() - gotOnAtMs >= patienceMs || clock.monotonicMs() - startedAtMs >= withinMs;
    while (wanted() && !isLate()) {
        const askedAtMs = clock.monotonicMs();
        try {
            const page = await store.read(table, part, fromKey, pageRows, longestPageMs);
            rows.push(...page.rows);
            version ??= page.version;
            if (!page.more) {
                return { rows, version };
            }
            fromKey = keyAfter(page.rows);
            gotOnAtMs = clock.monotonicMs();
            pageRows = gotOnAtMs - askedAtMs < quickPageMs ? Math.min(mostPageRows, 2 * pageRows) : pageRows;
        }
        catch (error) {
            failures += 1;
            if (clock.monotonicMs() - loggedAtMs >= logPauseMs) {
                loggedAtMs = clock.monotonicMs();
                const { message: reason } = failureOf(error);
                log.write("warn", "shardReadDelayed", { table, part, rows: rows.length, pageRows, failures, reason });
            }
            if (clock.monotonicMs() - askedAtMs >= refusedMs) {
                pageRows = Math.max(fewestPageRows, Math.floor(pageRows / 4));
            }
            await sleep(clock, retryPauseMs);
        }
    }
    if (isLate()) {
        const nowMs = clock.monotonicMs();
        const withoutPageMs = nowMs - gotOnAtMs;
        log.write("warn", "shardReadGivenUp", {
            table,
            part,
            rows: rows.length,
            pageRows,
            tookMs: nowMs - startedAtMs,
            withoutPageMs,
            withinMs,
        });
    }
    return undefined;
};
