/**
 * The other side of a session's authority: promises not to take over, and the fencing of sessions whose authority has
 * surely run out. Only the named deputy fences a session by lease; anyone may once that deputy is dead on evidence.
 */

import { sessionKey, type SessionRow } from "../types/ownership.js";
import type { Clock, Log, Meter, TableStore } from "../types/ports.js";
import { pickMember } from "../utils/rendezvous.js";
import type { Membership } from "./membership.js";

/** Promises to sessions that named this one, and their fencing. */
export interface Deputy {
    /** Answers a session that named this one as its deputy; 0 where its renewals have stopped although the table answers. */
    promise(sessionId: string): number;
    /** Fences every session that may be fenced now. */
    fenceLapsed(): Promise<void>;
}

/** What a deputy needs. */
export interface DeputyOptions {
    readonly table: TableStore;
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly membership: Membership;
    readonly ownId: () => string;
    /** Only a session that surely was not replaced itself may promise anything. */
    readonly mayAct: () => boolean;
    readonly sessionLeaseMs: number;
    readonly promiseMs: number;
    /** Added to every wait, for clocks that run at slightly different rates. */
    readonly marginMs: number;
}

const isOpen = ({ state }: SessionRow): boolean => state === "live" || state === "draining";

/**
 * Makes the deputy side of a daemon.
 *
 * @example
 * const promiseMs = deputy.promise("vm-2~1");
 */
export const createDeputy = (options: DeputyOptions): Deputy => {
    const { table, clock, log, meter, membership, ownId } = options;
    const promisedUntilMs = new Map<string, number>();
    const fencing = new Set<string>();

    /** The row has stood still for a whole lease while the table was read all the time. */
    const hasLapsed = (sessionId: string): boolean =>
        membership.unchangedForMs(sessionId) >= options.sessionLeaseMs + options.marginMs;

    const promise = (sessionId: string): number => {
        const session = membership.session(sessionId);
        if (!options.mayAct()) {
            return 0;
        }
        if (session === undefined || !isOpen(session) || fencing.has(sessionId) || hasLapsed(sessionId)) {
            return 0;
        }
        promisedUntilMs.set(sessionId, clock.monotonicMs() + options.promiseMs + options.marginMs);
        return options.promiseMs;
    };

    const deputyIsDead = (session: SessionRow): boolean =>
        (membership.deadForMs(session.deputy) ?? -1) >= options.promiseMs + options.marginMs;

    /** Once the deputy is dead, one live session is picked, of the same data centre where there is one. */
    const isPicked = (session: SessionRow): boolean => {
        const live = membership.liveSessions().filter(each => each.sessionId !== session.sessionId);
        const near = live.filter(each => each.dataCentre === session.dataCentre);
        return pickMember(session.sessionId, (near.length > 0 ? near : live).map(each => each.sessionId)) === ownId();
    };

    const mayFence = (session: SessionRow): boolean => {
        if (session.sessionId === ownId() || session.deputy === "" || !hasLapsed(session.sessionId)) {
            return false;
        }
        if (session.deputy === ownId()) {
            return clock.monotonicMs() >= (promisedUntilMs.get(session.sessionId) ?? 0);
        }
        return deputyIsDead(session) && isPicked(session);
    };

    const fence = async (session: SessionRow, version: number): Promise<void> => {
        const key = sessionKey(session.vmId);
        const { outcome } = await table.transact({
            conditions: [{ key, version }],
            puts: [{ key, value: { ...session, state: "fenced" } satisfies SessionRow }],
            deletes: [],
        });
        meter.count("sessionsFenced");
        log.write("warn", "sessionFencing", { sessionId: session.sessionId, outcome });
    };

    return {
        promise,
        fenceLapsed: async () => {
            for (const session of membership.sessions()) {
                const version = membership.sessionVersion(session.sessionId);
                if (!isOpen(session) || version === undefined || !mayFence(session)) {
                    fencing.delete(session.sessionId);
                    continue;
                }
                fencing.add(session.sessionId);
                await fence(session, version);
            }
        },
    };
};
