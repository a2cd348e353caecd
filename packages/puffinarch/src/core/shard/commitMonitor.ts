/**
 * Finds out from the store whether the owner of a shard still commits. A daemon that reaches neither the owner nor most of its
 * peers cannot otherwise distinguish a failed owner from a fault of its own link, and a claim it made in the second case would
 * end a healthy owner without being able to replace it.
 */

import type { RowStore } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { failureOf } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";
import { journalTable, sequenceKey } from "./shardTables.js";

/** Dependencies of a commit monitor. */
export interface CommitMonitorOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly store: RowStore;
    readonly part: string;
}

/** Follows the version of a shard's newest commit while it is asked for it. */
export interface CommitMonitor {
    /** Returns true once the store has shown no new commit for `quietMs`; reads the store at most twice a second. */
    isQuiet(): Promise<boolean>;
    /** Discards what was read, so that `isQuiet` returns true no sooner than `quietMs` later. */
    reset(): void;
}

/** A busy owner commits many times a second; it needs up to 1.5 s for a commit where copies of its requests are lost. */
const quietMs = 2_000;
const readIntervalMs = 500;
const readTimeoutMs = 400;

/** The newest commit, by the version of the sequence row, and the local time at which it was first seen. */
interface SeenBatch {
    readonly version: number;
    readonly sinceMs: number;
}

/**
 * Creates the commit monitor of a shard.
 *
 * @example
 * const monitor = createCommitMonitor({ clock, log, store, part: "shard-0" });
 * await monitor.isQuiet(); // false at first
 */
export const createCommitMonitor = ({ clock, log, store, part }: CommitMonitorOptions): CommitMonitor => {
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

    const refresh = async (): Promise<void> => {
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
            if (clock.monotonicMs() - readAtMs >= readIntervalMs) {
                await refresh();
            }
            // Counted up to the newest read, since the time after it may hold a commit that was not read yet.
            return seen !== undefined && readAtMs - seen.sinceMs >= quietMs;
        },
        reset: () => {
            seen = undefined;
        },
    };
};
