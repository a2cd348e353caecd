/**
 * A daemon's session: one row in the table, renewed at an interval, that authorises the daemon to act on its units.
 * The authority lasts for a lease after the last renewal. While the table is unreachable, promises of the deputy not to
 * take over extend it. A session that named no deputy keeps its authority until its row is fenced.
 */

import { sessionKey, type SessionRow, type SessionState } from "../types/ownership.js";
import type { Clock, Log, Meter, TableRow, TableStore, VmList } from "../types/ports.js";
import { die } from "../utils/errors.js";
import { sleep } from "../utils/time.js";
import { type Membership, sessionIdOf } from "./membership.js";

/** A daemon's own session. */
export interface Session {
    /**
     * Waits until the VM list shows this VM, then writes the row and resolves; retries until it succeeds. From then on,
     * other daemons treat any earlier incarnation on this VM as dead.
     */
    open(address: string): Promise<void>;
    /** Id of the session; throws `unavailable` before the session is open. */
    id(): string;
    /** The row as last written or read back; undefined before the session is open. */
    row(): SessionRow | undefined;
    /** Version of that row in the table. */
    version(): number;
    /** True once the row was written for the first time; stays true after fencing. */
    isOpen(): boolean;
    /** True once another session has fenced this one; `open` then starts a new incarnation. */
    isFenced(): boolean;
    /** Whether this session has the authority to act on its units now; checked before each send. */
    mayAct(): boolean;
    /** Renews the row once `renewIntervalMs` has passed, or immediately if another deputy has to be named. */
    renew(): Promise<void>;
    /** Records a deputy's promise of `promiseMs`; it counts from `sentAtMs`, when this session sent its gossip. */
    recordPromise(from: string, sentAtMs: number, promiseMs: number): void;
    /** Writes a new state to the row; gives up silently after 25 attempts, 200 ms apart, or once fenced. */
    setState(state: SessionState): Promise<void>;
}

/** Dependencies and settings of a session. */
export interface SessionOptions {
    readonly table: TableStore;
    readonly vmList: VmList;
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly membership: Membership;
    readonly vmId: string;
    readonly dataCentre: string;
    /** Authority that one renewal gives, counted from when the write was sent. */
    readonly sessionLeaseMs: number;
    readonly renewIntervalMs: number;
}

const retryDelayMs = 200;
const maxStateWrites = 25;

/**
 * Creates a session; it has no row and no authority before `open`.
 *
 * @example
 * const session = createSession(options);
 * await session.open("http://127.0.0.1:7100");
 */
export const createSession = (options: SessionOptions): Session => {
    const { table, vmList, clock, log, meter, membership, vmId, dataCentre } = options;
    const key = sessionKey(vmId);
    let row: SessionRow | undefined;
    let version = 0;
    let fenced = false;
    let leaseUntilMs = -Infinity;
    let promiseUntilMs = -Infinity;
    let renewedAtMs = -Infinity;
    /** True while a write with an unknown outcome may have named another deputy; promises do not count meanwhile. */
    let deputyUncertain = false;

    const recordCommit = (next: SessionRow, writtenVersion: number, sentAtMs: number): void => {
        row = next;
        version = writtenVersion;
        deputyUncertain = false;
        renewedAtMs = sentAtMs;
        leaseUntilMs = sentAtMs + options.sessionLeaseMs;
    };

    const isOwnUnfencedRow = (found: TableRow, next: SessionRow): boolean => {
        const value = found.value as SessionRow;
        return value.sessionId === next.sessionId && value.state !== "fenced";
    };

    const stillHoldsRow = (found: TableRow | undefined, next: SessionRow): boolean =>
        found !== undefined && isOwnUnfencedRow(found, next);

    /** Reads the row after a conflict: an earlier write of this session took effect, or the session was fenced. */
    const resolveConflict = async (next: SessionRow): Promise<void> => {
        const [found] = await table.read([key]);
        if (!stillHoldsRow(found, next)) {
            fenced = true;
            log.write("warn", "sessionFenced", { sessionId: next.sessionId });
            return;
        }
        row = found?.value as SessionRow;
        version = found?.version ?? version;
        deputyUncertain = false;
    };

    const writeRow = async (next: SessionRow): Promise<boolean> => {
        const sentAtMs = clock.monotonicMs();
        const result = await table.transact({
            conditions: [{ key, version }],
            puts: [{ key, value: next }],
            deletes: [],
        });
        meter.count("sessionWrites");
        if (result.outcome === "committed") {
            recordCommit(next, result.version, sentAtMs);
            return true;
        }
        deputyUncertain ||= result.outcome === "unknown" && next.deputy !== row?.deputy;
        if (result.outcome === "conflict") {
            await resolveConflict(next);
        }
        return false;
    };

    const claimRow = async (address: string): Promise<boolean> => {
        const [found] = await table.read([key]);
        const incarnation = found === undefined ? 1 : (found.value as SessionRow).incarnation + 1;
        const next: SessionRow = {
            sessionId: sessionIdOf(vmId, incarnation),
            vmId,
            incarnation,
            dataCentre,
            address,
            state: "live",
            listedGeneration: membership.listing().generation,
            deputy: "",
            beat: 0,
        };
        const sentAtMs = clock.monotonicMs();
        const condition = { key, version: found?.version ?? "absent" as const };
        const result = await table.transact({ conditions: [condition], puts: [{ key, value: next }], deletes: [] });
        if (result.outcome !== "committed") {
            return false;
        }
        fenced = false;
        promiseUntilMs = -Infinity;
        recordCommit(next, result.version, sentAtMs);
        return true;
    };

    const open = async (address: string): Promise<void> => {
        for (;;) {
            try {
                membership.setListing(await vmList.list());
                if (membership.vm(vmId) !== undefined && await claimRow(address)) {
                    return;
                }
            }
            catch {
                log.write("debug", "sessionWaits", { vmId });
            }
            await sleep(clock, retryDelayMs);
        }
    };

    /**
     * The current deputy while it is live; otherwise the live session of this data centre that follows this one in the
     * order of session ids, starting over at the end. Empty if there is none.
     */
    const chooseDeputy = (own: SessionRow): string => {
        const others = membership.liveSessions().filter(each => each.dataCentre === dataCentre && each.vmId !== vmId)
            .map(each => each.sessionId).sort();
        if (others.includes(own.deputy)) {
            return own.deputy;
        }
        return others.find(each => each > own.sessionId) ?? others[0] ?? "";
    };

    const renew = async (): Promise<void> => {
        if (row === undefined || fenced) {
            return;
        }
        const deputy = chooseDeputy(row);
        const isDue = clock.monotonicMs() - renewedAtMs >= options.renewIntervalMs;
        if (isDue || deputy !== row.deputy) {
            await writeRow({ ...row, deputy, beat: row.beat + 1 });
        }
    };

    const setState = async (state: SessionState): Promise<void> => {
        for (let triesLeft = maxStateWrites; triesLeft > 0 && row !== undefined && !fenced; triesLeft -= 1) {
            if (await writeRow({ ...row, state }).catch(() => false)) {
                return;
            }
            await sleep(clock, retryDelayMs);
        }
    };

    const mayAct = (): boolean => {
        if (row === undefined || fenced) {
            return false;
        }
        const hasNoDeputy = row.deputy === "" && !deputyUncertain;
        return hasNoDeputy || clock.monotonicMs() < Math.max(leaseUntilMs, promiseUntilMs);
    };

    return {
        open,
        id: () => row?.sessionId ?? die("unavailable", "the session is not open yet"),
        row: () => row,
        version: () => version,
        isOpen: () => row !== undefined,
        isFenced: () => fenced,
        mayAct,
        renew,
        recordPromise: (from, sentAtMs, promiseMs) => {
            if (row !== undefined && !deputyUncertain && from === row.deputy && promiseMs > 0) {
                promiseUntilMs = Math.max(promiseUntilMs, sentAtMs + promiseMs);
            }
        },
        setState,
    };
};
