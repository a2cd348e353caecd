/**
 * The deputy's part in session leases: it promises other sessions not to take over from them, and fences sessions whose
 * authority has certainly expired. Only the deputy that a session named in its row may fence it. Once that deputy itself
 * is known to be dead, one other live session may.
 */

import { sessionKey, type SessionRow } from "../types/ownership.js";
import type { Clock, Log, Meter, TableStore } from "../types/ports.js";
import { pickMember } from "../utils/rendezvous.js";
import type { Membership } from "./membership.js";

/** Gives promises to the sessions that named this one as their deputy, and fences expired sessions. */
export interface Deputy {
    /**
     * Promises a session that named this one as its deputy not to fence it for the returned number of milliseconds.
     * Returns 0, for no promise, if this session has no authority itself, or if the other session is unknown, closed,
     * being fenced or expired.
     */
    grantPromise(sessionId: string): number;
    /** Fences every expired session that this one may fence now. */
    fenceExpired(): Promise<void>;
}

/** Dependencies and settings of a deputy. */
export interface DeputyOptions {
    readonly table: TableStore;
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly membership: Membership;
    readonly ownId: () => string;
    /** Whether this session has authority; one that may have been fenced itself must not promise anything. */
    readonly mayAct: () => boolean;
    readonly sessionLeaseMs: number;
    /** Length of a promise. */
    readonly promiseMs: number;
    /** Added to each wait, because the clocks of two daemons run at slightly different rates. */
    readonly marginMs: number;
}

const isOpen = ({ state }: SessionRow): boolean => state === "live" || state === "draining";

/**
 * Creates the deputy of a daemon.
 *
 * @example
 * const promiseMs = deputy.grantPromise("vm-2~1");
 */
export const createDeputy = (options: DeputyOptions): Deputy => {
    const { table, clock, log, meter, membership, ownId } = options;
    const promisedUntilMs = new Map<string, number>();
    const beingFenced = new Set<string>();

    /** True if the row did not change for a whole lease although the table was read without a gap. */
    const hasExpired = (sessionId: string): boolean =>
        membership.unchangedForMs(sessionId) >= options.sessionLeaseMs + options.marginMs;

    const promise = (sessionId: string): number => {
        const session = membership.session(sessionId);
        if (!options.mayAct()) {
            return 0;
        }
        if (session === undefined || !isOpen(session) || beingFenced.has(sessionId) || hasExpired(sessionId)) {
            return 0;
        }
        promisedUntilMs.set(sessionId, clock.monotonicMs() + options.promiseMs + options.marginMs);
        return options.promiseMs;
    };

    const deputyIsDead = (session: SessionRow): boolean =>
        (membership.deadForMs(session.deputy) ?? -1) >= options.promiseMs + options.marginMs;

    /** Replaces a dead deputy: all daemons pick the same live session, in the same data centre if it has one. */
    const isChosenToFence = (session: SessionRow): boolean => {
        const live = membership.liveSessions().filter(each => each.sessionId !== session.sessionId);
        const inSameDataCentre = live.filter(each => each.dataCentre === session.dataCentre);
        return pickMember(
            session.sessionId,
            (inSameDataCentre.length > 0 ? inSameDataCentre : live).map(each => each.sessionId),
        ) === ownId();
    };

    const mayFence = (session: SessionRow): boolean => {
        if (session.sessionId === ownId() || session.deputy === "" || !hasExpired(session.sessionId)) {
            return false;
        }
        if (session.deputy === ownId()) {
            return clock.monotonicMs() >= (promisedUntilMs.get(session.sessionId) ?? 0);
        }
        return deputyIsDead(session) && isChosenToFence(session);
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
        grantPromise: promise,
        fenceExpired: async () => {
            for (const session of membership.sessions()) {
                const version = membership.sessionVersion(session.sessionId);
                if (!isOpen(session) || version === undefined || !mayFence(session)) {
                    beingFenced.delete(session.sessionId);
                    continue;
                }
                beingFenced.add(session.sessionId);
                await fence(session, version);
            }
        },
    };
};
