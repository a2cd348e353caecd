/** Claims a shard: a conditional write of its owner row, whose new version is the fencing token, and a read of the shard's rows. */

import type { OwnerRow, Row, RowStore } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { failureOf } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";
import { decodeOwner } from "./memberRows.js";
import { startStopwatch } from "./pauseGuard.js";
import { readAllRows } from "./readRows.js";
import { journalTable, ownerKey, ownerTable, sequenceKey } from "./shardTables.js";

/** Dependencies and limits of a claim. */
export interface ClaimOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly store: RowStore;
    readonly part: string;
    /** The owner row to write. */
    readonly owner: OwnerRow;
    /** Version of the owner row that this claim replaces; 0 where there is none. */
    readonly seenVersion: number;
    /** Returns false once the claim has to be abandoned. */
    readonly isNeeded: () => boolean;
    /** Returns this claim's version of the owner row once a peer or a change feed has reported it, possibly before the store's answer. */
    readonly reportedToken: () => number | undefined;
    /** This claim's version of the owner row where it has already taken effect; undefined where it is still to be written. */
    readonly committedToken?: number | undefined;
    /** Called when the claim has taken effect, before the rows are read. */
    readonly onClaimed: (fencingToken: number) => void;
    /** Gives up once no page of rows has arrived for this long, so that a daemon with a better connection can claim. */
    readonly restoreIdleTimeoutMs: number;
    /** Gives up once reading all rows has taken this long, even if pages keep arriving. */
    readonly restoreTimeoutMs: number;
}

/** A claimed shard with all its rows. */
export interface ClaimedShard {
    readonly fencingToken: number;
    /** Version of the sequence row, on which each commit is conditional; 0 for none. */
    readonly sequenceVersion: number;
    readonly rows: readonly Row[];
    /** How long the store took for the claim, in ms; the timeout of one write where the claim was resumed. */
    readonly storeLatencyMs: number;
    /** Time since the claim was sent, in ms, in which another daemon may have claimed the shard; infinite where the claim was resumed. */
    readonly claimedMs: number;
}

const claimRetryPauseMs = 60;
/** Timeout of one write of the owner row; allows for a store 60 times slower than its usual 7 ms. */
const claimTimeoutMs = 600;

/** Reads the owner row to find out whether a claim without an answer took effect; returns the row's version where it did. */
const settleClaim = async ({ store, part, owner }: ClaimOptions): Promise<number | undefined> => {
    const { rows } = await store.read(ownerTable, part);
    const row = rows.find(each => each.key === ownerKey);
    if (row === undefined) {
        return undefined;
    }
    const decoded = decodeOwner(row);
    return decoded.kind === "entry" && decoded.entry.claimId === owner.claimId ? row.version : undefined;
};

/** Writes the claim until its outcome is known; undefined where it had no effect, or is no longer needed. */
const writeClaim = async (options: ClaimOptions): Promise<number | undefined> => {
    const { clock, log, store, part, owner, seenVersion, isNeeded } = options;
    const key = { table: ownerTable, part, key: ownerKey };
    while (isNeeded()) {
        const result = await store.transact({
            expect: [{ ...key, version: seenVersion }],
            puts: [{ ...key, value: JSON.stringify(owner) }],
            removes: [],
        }, claimTimeoutMs);
        if (result.outcome === "committed") {
            return result.version;
        }
        const reportedToken = options.reportedToken();
        if (reportedToken !== undefined) {
            return reportedToken;
        }
        if (result.outcome === "conflict") {
            // An earlier attempt may have taken effect although its answer was lost.
            try {
                return await settleClaim(options);
            }
            catch (error) {
                log.write("warn", "claimUnsettled", { part, reason: failureOf(error).message });
            }
        }
        else {
            log.write("warn", "claimDelayed", { part, outcome: result.outcome, reason: result.reason });
        }
        await sleep(clock, claimRetryPauseMs);
    }
    return undefined;
};

/**
 * Claims a shard and reads its rows. Returns undefined where another daemon owns the shard by now, or the rows could not be
 * read in time. Once the claim takes effect, commits and orders of the former owner are refused by their lower fencing token.
 *
 * @example
 * const claimed = await claimShard({ clock, log, store, part: "shard-0", owner, seenVersion, isNeeded, reportedToken, onClaimed, restoreIdleTimeoutMs: 2_500, restoreTimeoutMs: 5_000 });
 */
export const claimShard = async (options: ClaimOptions): Promise<ClaimedShard | undefined> => {
    const startedAtMs = options.clock.monotonicMs();
    const elapsedMs = startStopwatch(options.clock);
    const fencingToken = options.committedToken ?? await writeClaim(options);
    const storeLatencyMs = options.committedToken === undefined
        ? options.clock.monotonicMs() - startedAtMs
        : claimTimeoutMs;
    if (fencingToken === undefined) {
        return undefined;
    }
    options.onClaimed(fencingToken);
    const read = await readAllRows({
        ...options,
        table: journalTable,
        idleTimeoutMs: options.restoreIdleTimeoutMs,
        withinMs: options.restoreTimeoutMs,
    });
    if (read === undefined) {
        return undefined;
    }
    const { rows } = read;
    const sequence = rows.find(row => row.key === sequenceKey);
    return {
        fencingToken,
        sequenceVersion: sequence?.version ?? 0,
        rows,
        storeLatencyMs,
        claimedMs: options.committedToken === undefined ? elapsedMs() : Infinity,
    };
};
