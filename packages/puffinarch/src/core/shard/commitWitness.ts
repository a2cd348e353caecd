/**
 * Tells from the store whether the owner of a shard goes on committing. A daemon that hears neither the owner nor most of its peers
 * cannot tell a lost owner from a fault of its own link, and each claim of a daemon that cannot do the work ends a sound owner.
 */

import type { RowStore } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { failureOf } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";
import { journalTable, sequenceKey } from "./shardTables.js";

/** What the witness needs. */
export interface CommitWitnessOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly store: RowStore;
    readonly part: string;
}

/** Watches the newest batch of a shard while it is asked. */
export interface CommitWitness {
    /** True once no batch has been committed for `quietMs`; reads the store twice a second at the most. */
    isQuiet(): Promise<boolean>;
    /** Forgets what was read; the next question begins anew. */
    reset(): void;
}

/** An owner with work commits many times a second; one whose copies get lost needs up to 1.5 s for the next. */
const quietMs = 2_000;
const readPauseMs = 500;
const readTimeoutMs = 400;

/** A batch by the version of its sequence row, and since when it is known to be the newest. */
interface SeenBatch {
    readonly version: number;
    readonly sinceMs: number;
}

/**
 * Makes the witness of a shard.
 *
 * @example
 * const witness = createCommitWitness({ clock, log, store, part: "shard-0" });
 * await witness.isQuiet(); // false at first
 */
export const createCommitWitness = ({ clock, log, store, part }: CommitWitnessOptions): CommitWitness => {
    let seen: SeenBatch | undefined;
    let readAtMs = -Infinity;

    const readVersion = async (): Promise<number | undefined> => {
        try {
            const { rows: [row] } = await store.read(journalTable, part, sequenceKey, 1);
            return row?.key === sequenceKey ? row.version : 0;
        }
        catch (error) {
            log.write("debug", "storeSilent", { reason: failureOf(error).message });
            return undefined;
        }
    };

    const look = async (): Promise<void> => {
        readAtMs = clock.monotonicMs();
        const version = await Promise.race([readVersion(), sleep(clock, readTimeoutMs).then(() => undefined)]);
        if (version === undefined || version === seen?.version) {
            return;
        }
        if (seen !== undefined) {
            log.write("info", "ownerCommits", { part, from: seen.version, to: version });
        }
        seen = { version, sinceMs: clock.monotonicMs() };
    };

    return {
        isQuiet: async () => {
            if (clock.monotonicMs() - readAtMs >= readPauseMs) {
                await look();
            }
            // The newest read, and not the time alone, shows that no batch has come.
            return seen !== undefined && readAtMs - seen.sinceMs >= quietMs;
        },
        reset: () => {
            seen = undefined;
        },
    };
};
