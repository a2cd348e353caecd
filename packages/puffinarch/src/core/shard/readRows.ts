/** Reads a whole part of a table in pages. */

import type { Row, RowStore } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { failureOf } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";

/** Dependencies and limits of reading a part of a table. */
export interface ReadRowsOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly store: RowStore;
    readonly table: string;
    readonly part: string;
    /** Returns false once the read is no longer needed. */
    readonly isNeeded: () => boolean;
    /** Gives up once no page has arrived for this long; never where it is left out. */
    readonly idleTimeoutMs?: number;
    /** Gives up once the whole read has taken this long; never where it is left out. */
    readonly withinMs?: number;
    /** Most rows of the first page, for tables whose rows are known to be small. */
    readonly firstPageRows?: number;
    /** Pause after a failed page. */
    readonly retryPauseMs?: number;
    /** Longest time for a page of which data keeps arriving; the store's own timeout where it is left out. */
    readonly longestPageMs?: number;
}

/** All rows of a part of a table. */
export interface ReadRows {
    readonly rows: readonly Row[];
    /** The store's version when the first page was read, from which to follow later changes. */
    readonly version: number;
}

/**
 * Short, since a shard is not served until its rows are read; only one daemon reads them and so sends at most 16 calls a second
 * to a store that refuses them.
 */
const defaultRetryPauseMs = 60;
/** A read that keeps failing is logged at most once in this time. */
const logIntervalMs = 1_000;
/** At no more than 7 KB a job, a link of 10 Mbit/s carries a page of this many rows in 0.4 s. */
const defaultFirstPageRows = 50;
const minPageRows = 10;
/** The store's limit on the rows of a page. */
export const maxPageRows = 500;
/**
 * After a page that took less than this the page size doubles: the next page takes at most twice as long, and so stays within
 * the store's 1 s for a read. With 150 ms, pages never grow on a store that takes 240 ms to answer, and 3,000 rows take 15 s.
 */
const quickPageMs = 450;
/** A read that fails sooner than this was refused for a reason other than its size, and keeps its page size. */
const maxRefusalMs = 250;

/** Returns the key at which the next page begins: the lowest one above the last key of these rows. */
const keyAfter = (rows: readonly Row[]): string => `${rows.at(-1)?.key ?? ""}\u0001`;

/**
 * Reads a whole part of a table in pages, whose size adapts to the speed of the link and the store. Returns undefined once the
 * read is no longer needed, or one of its time limits has passed.
 *
 * @example
 * const read = await readAllRows({ clock, log, store, table, part, isNeeded: () => true });
 */
export const readAllRows = async (
    {
        clock,
        log,
        store,
        table,
        part,
        isNeeded,
        idleTimeoutMs = Infinity,
        withinMs = Infinity,
        firstPageRows = defaultFirstPageRows,
        retryPauseMs = defaultRetryPauseMs,
        longestPageMs,
    }: ReadRowsOptions,
): Promise<ReadRows | undefined> => {
    const rows: Row[] = [];
    let fromKey: string | undefined;
    let version: number | undefined;
    let pageRows = firstPageRows;
    let failures = 0;
    let loggedAtMs = -Infinity;
    const startedAtMs = clock.monotonicMs();
    let lastPageAtMs = startedAtMs;
    const isOverdue = (): boolean =>
        clock.monotonicMs() - lastPageAtMs >= idleTimeoutMs || clock.monotonicMs() - startedAtMs >= withinMs;
    while (isNeeded() && !isOverdue()) {
        const askedAtMs = clock.monotonicMs();
        try {
            const page = await store.read(table, part, fromKey, pageRows, longestPageMs);
            rows.push(...page.rows);
            version ??= page.version;
            if (!page.hasMore) {
                return { rows, version };
            }
            fromKey = keyAfter(page.rows);
            lastPageAtMs = clock.monotonicMs();
            pageRows = lastPageAtMs - askedAtMs < quickPageMs ? Math.min(maxPageRows, 2 * pageRows) : pageRows;
        }
        catch (error) {
            failures += 1;
            if (clock.monotonicMs() - loggedAtMs >= logIntervalMs) {
                loggedAtMs = clock.monotonicMs();
                const { message: reason } = failureOf(error);
                log.write("warn", "shardReadDelayed", { table, part, rows: rows.length, pageRows, failures, reason });
            }
            if (clock.monotonicMs() - askedAtMs >= maxRefusalMs) {
                pageRows = Math.max(minPageRows, Math.floor(pageRows / 4));
            }
            await sleep(clock, retryPauseMs);
        }
    }
    if (isOverdue()) {
        const nowMs = clock.monotonicMs();
        const withoutPageMs = nowMs - lastPageAtMs;
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
