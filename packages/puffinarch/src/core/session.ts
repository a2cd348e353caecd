/**
 * A daemon's session: one row, renewed in the table, and the authority to act that hangs on it. The holder may act
 * while its last renewal is fresh or, when the table is out of reach, while its deputy has promised not to take over.
 */

import { sessionKey, type SessionRow, type SessionState } from "../types/ownership.js";
import type { Clock, Log, Meter, TableRow, TableStore, VmList } from "../types/ports.js";
import { die } from "../utils/errors.js";
import { sleep } from "../utils/time.js";
import { type Membership, sessionIdOf } from "./membership.js";

/** A daemon's own session. */
export interface Session {
    /** Writes the row once the VM list shows this VM; an earlier incarnation on this VM counts as dead from then on. */
    open(address: string): Promise<void>;
    /** Fails with `unavailable` before the session is open. */
    id(): string;
    row(): SessionRow | undefined;
    /** Version of the row as last written. */
    version(): number;
    isOpen(): boolean;
    /** True once another session has taken this one over; it must be opened anew. */
    isFenced(): boolean;
    /** Whether this session may act on what it owns now; asked before each send. */
    mayAct(): boolean;
    /** Renews the row when it is due, or at once where another deputy has to be named. */
    renew(): Promise<void>;
    /** Notes a promise of the deputy; it counts from when the gossip was sent. */
    notePromise(from: string, sentAtMs: number, promiseMs: number): void;
    /** Writes a state, with some tries. */
    setState(state: SessionState): Promise<void>;
}

/** What a session needs. */
export interface SessionOptions {
    readonly table: TableStore;
    readonly vmList: VmList;
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly membership: Membership;
    readonly vmId: string;
    readonly dataCentre: string;
    /** How long a renewal gives authority. */
    readonly sessionLeaseMs: number;
    readonly renewIntervalMs: number;
}

const retryMs = 200;
const stateTries = 25;

/**
 * Makes a session that is not open yet.
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
    let tableUntilMs = -Infinity;
    let promiseUntilMs = -Infinity;
    let renewedAtMs = -Infinity;
    /** A write whose outcome is not known yet may have named another deputy. */
    let uncertain = false;

    const accept = (next: SessionRow, writtenVersion: number, sentAtMs: number): void => {
        row = next;
        version = writtenVersion;
        uncertain = false;
        renewedAtMs = sentAtMs;
        tableUntilMs = sentAtMs + options.sessionLeaseMs;
    };

    const isMine = (found: TableRow, next: SessionRow): boolean => {
        const value = found.value as SessionRow;
        return value.sessionId === next.sessionId && value.state !== "fenced";
    };

    const notFencedHere = (found: TableRow | undefined, next: SessionRow): boolean =>
        found !== undefined && isMine(found, next);

    /** After a conflict: the row is either an earlier write of this session, or another has fenced it. */
    const settleConflict = async (next: SessionRow): Promise<void> => {
        const [found] = await table.read([key]);
        if (!notFencedHere(found, next)) {
            fenced = true;
            log.write("warn", "sessionFenced", { sessionId: next.sessionId });
            return;
        }
        row = found?.value as SessionRow;
        version = found?.version ?? version;
        uncertain = false;
    };

    const write = async (next: SessionRow): Promise<boolean> => {
        const sentAtMs = clock.monotonicMs();
        const result = await table.transact({
            conditions: [{ key, version }],
            puts: [{ key, value: next }],
            deletes: [],
        });
        meter.count("sessionWrites");
        if (result.outcome === "committed") {
            accept(next, result.version, sentAtMs);
            return true;
        }
        uncertain ||= result.outcome === "unknown" && next.deputy !== row?.deputy;
        if (result.outcome === "conflict") {
            await settleConflict(next);
        }
        return false;
    };

    const begin = async (address: string): Promise<boolean> => {
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
        accept(next, result.version, sentAtMs);
        return true;
    };

    const open = async (address: string): Promise<void> => {
        for (;;) {
            try {
                membership.setListing(await vmList.list());
                if (membership.vm(vmId) !== undefined && await begin(address)) {
                    return;
                }
            }
            catch {
                log.write("debug", "sessionWaits", { vmId });
            }
            await sleep(clock, retryMs);
        }
    };

    /** The next live session of the data centre in order of ids; the present deputy is kept while it lives. */
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
            await write({ ...row, deputy, beat: row.beat + 1 });
        }
    };

    const setState = async (state: SessionState): Promise<void> => {
        for (let left = stateTries; left > 0 && row !== undefined && !fenced; left -= 1) {
            if (await write({ ...row, state }).catch(() => false)) {
                return;
            }
            await sleep(clock, retryMs);
        }
    };

    const mayAct = (): boolean => {
        if (row === undefined || fenced) {
            return false;
        }
        const soleDaemon = row.deputy === "" && !uncertain;
        return soleDaemon || clock.monotonicMs() < Math.max(tableUntilMs, promiseUntilMs);
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
        notePromise: (from, sentAtMs, promiseMs) => {
            if (row !== undefined && !uncertain && from === row.deputy && promiseMs > 0) {
                promiseUntilMs = Math.max(promiseUntilMs, sentAtMs + promiseMs);
            }
        },
        setState,
    };
};
