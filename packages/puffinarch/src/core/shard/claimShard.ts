/** Claiming a shard: one conditional write of its owner's row, whose version is the fencing token, then its rows. */

import type { OwnerRow, Row, RowStore } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { failureOf } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";
import { decodeOwner } from "./memberRows.js";
import { readAllRows } from "./readRows.js";
import { journalTable, ownerKey, ownerTable, sequenceKey } from "./shardTables.js";

/** What a claim needs. */
export interface ClaimOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly store: RowStore;
    readonly part: string;
    readonly owner: OwnerRow;
    /** Version of the owner's row that this claim replaces; 0 where there is none. */
    readonly seenVersion: number;
    /** False once the claim is of no use any more. */
    readonly wanted: () => boolean;
    /** Version of the owner's row, where a peer or a feed told that this claim took effect before the store's answer came. */
    readonly heardToken: () => number | undefined;
    /** Version at which this claim is known to have taken effect before; undefined where it is still to be written. */
    readonly wonToken?: number | undefined;
    /** The claim took effect; the rows are still to be read. */
    readonly onClaimed: (fencingToken: number) => void;
    /** Gives up once no page of rows came for this long, so that a daemon that gets on better may claim. */
    readonly restorePatienceMs: number;
    /** Gives up once reading all rows took this long, though it gets on. */
    readonly restoreWithinMs: number;
}

/** A shard that was claimed, with all its rows. */
export interface ClaimedShard {
    readonly fencingToken: number;
    /** Version of the row that orders commits; 0 for none. */
    readonly sequenceVersion: number;
    readonly rows: readonly Row[];
    /** How long the store took for the claim. */
    readonly storeMs: number;
}

const retryPauseMs = 60;
/** A store that answers 60 times slower than its usual 7 ms still makes it. */
const claimTimeoutMs = 600;

/** Reads the owner's row to learn whether a claim without an answer took effect. */
const settleClaim = async ({ store, part, owner }: ClaimOptions): Promise<number | undefined> => {
    const { rows } = await store.read(ownerTable, part);
    const row = rows.find(each => each.key === ownerKey);
    if (row === undefined) {
        return undefined;
    }
    const decoded = decodeOwner(row);
    return decoded.kind === "entry" && decoded.entry.claimId === owner.claimId ? row.version : undefined;
};

const writeClaim = async (options: ClaimOptions): Promise<number | undefined> => {
    const { clock, log, store, part, owner, seenVersion, wanted } = options;
    const key = { table: ownerTable, part, key: ownerKey };
    while (wanted()) {
        const result = await store.transact({
            expect: [{ ...key, version: seenVersion }],
            puts: [{ ...key, value: JSON.stringify(owner) }],
            removes: [],
        }, claimTimeoutMs);
        if (result.outcome === "committed") {
            return result.version;
        }
        const heard = options.heardToken();
        if (heard !== undefined) {
            return heard;
        }
        if (result.outcome === "conflict") {
            // An earlier try may have taken effect although its answer was lost.
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
        await sleep(clock, retryPauseMs);
    }
    return undefined;
};

/**
 * Claims a shard; undefined where another daemon has it by now, or its rows could not be read. What a former owner still sends is refused from then on.
 *
 * @example
 * const claimed = await claimShard({ clock, log, store, part: "shard-0", owner, seenVersion, wanted, heardToken, onClaimed, restorePatienceMs: 2_500, restoreWithinMs: 5_000 });
 */
export const claimShard = async (options: ClaimOptions): Promise<ClaimedShard | undefined> => {
    const startedAtMs = options.clock.monotonicMs();
    const fencingToken = options.wonToken ?? await writeClaim(options);
    const storeMs = options.wonToken === undefined ? options.clock.monotonicMs() - startedAtMs : claimTimeoutMs;
    if (fencingToken === undefined) {
        return undefined;
    }
    options.onClaimed(fencingToken);
    const read = await readAllRows({
        ...options,
        table: journalTable,
        patienceMs: options.restorePatienceMs,
        withinMs: options.restoreWithinMs,
    });
    if (read === undefined) {
        return undefined;
    }
    const { rows } = read;
    const sequence = rows.find(row => row.key === sequenceKey);
    return { fencingToken, sequenceVersion: sequence?.version ?? 0, rows, storeMs };
};
