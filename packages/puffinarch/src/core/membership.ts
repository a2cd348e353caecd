/**
 * What a daemon knows of the others: sessions and units as last read from the table, the lagging VM list, and the
 * latest gossip. A session counts as dead on evidence only: its VM was listed once and is gone, or a later
 * incarnation runs on its VM. A paused or cut-off daemon is therefore never taken for dead.
 */

import type { SessionRow, UnitRow } from "../types/ownership.js";
import type { Gossip } from "../types/peer.js";
import type { Clock, TableRow, Vm, VmListing } from "../types/ports.js";

/** A unit with the version of its row. */
export interface OwnedUnit extends UnitRow {
    readonly version: number;
}

/** Knowledge of the cluster, refreshed by `core/ownership.ts` and by gossip. */
export interface Membership {
    setRows(sessions: readonly TableRow[], units: readonly TableRow[]): void;
    setListing(listing: VmListing): void;
    setGossip(gossip: Gossip): void;
    listing(): VmListing;
    vm(vmId: string): Vm | undefined;
    /** True where the VM was listed and is no more; such a VM never comes back. */
    vmGone(vmId: string): boolean;
    sessions(): readonly SessionRow[];
    session(sessionId: string): SessionRow | undefined;
    /** Sessions that can be given work. */
    liveSessions(): readonly SessionRow[];
    /** Milliseconds since the session was first known dead here; undefined while it may live. */
    deadForMs(sessionId: string): number | undefined;
    unit(key: string): OwnedUnit | undefined;
    units(): readonly OwnedUnit[];
    /** Session that owns the unit, if it may be alive. */
    ownerOf(key: string): SessionRow | undefined;
    gossipOf(sessionId: string): Gossip | undefined;
    /** Live sessions other than this one. */
    peers(): readonly SessionRow[];
}

/** What membership needs. */
export interface MembershipOptions {
    readonly clock: Clock;
    readonly ownVmId: string;
    readonly gossipMaxAgeMs: number;
}

interface HeardGossip {
    readonly gossip: Gossip;
    readonly heardAtMs: number;
}

const noListing: VmListing = { generation: -1, vms: [] };

const vmIdOf = (sessionId: string): string => sessionId.slice(0, sessionId.lastIndexOf("~"));
const incarnationOf = (sessionId: string): number => Number(sessionId.slice(sessionId.lastIndexOf("~") + 1));

/**
 * Names a session: the VM and how often its daemon has started.
 *
 * @example
 * sessionIdOf("vm-1", 3); // "vm-1~3"
 */
export const sessionIdOf = (vmId: string, incarnation: number): string => `${vmId}~${incarnation}`;

/**
 * Makes the knowledge of a daemon that knows nothing yet.
 *
 * @example
 * const membership = createMembership({ clock, ownVmId: "vm-1", gossipMaxAgeMs: 3_000 });
 */
export const createMembership = ({ clock, ownVmId, gossipMaxAgeMs }: MembershipOptions): Membership => {
    let listing = noListing;
    let vmsById = new Map<string, Vm>();
    const seenVmIds = new Set<string>();
    let sessionsByVm = new Map<string, SessionRow>();
    let unitsByKey = new Map<string, OwnedUnit>();
    const deadSinceMs = new Map<string, number>();
    const heard = new Map<string, HeardGossip>();

    const vmGone = (vmId: string): boolean => seenVmIds.has(vmId) && !vmsById.has(vmId);

    const goneByList = (session: SessionRow): boolean => {
        const listedBefore = session.listedGeneration >= 0 && listing.generation >= session.listedGeneration;
        return vmGone(session.vmId) || (listedBefore && !vmsById.has(session.vmId));
    };

    const isDead = (sessionId: string): boolean => {
        const session = sessionsByVm.get(vmIdOf(sessionId));
        if (session === undefined) {
            return vmGone(vmIdOf(sessionId));
        }
        const replaced = session.incarnation > incarnationOf(sessionId);
        const closed = session.sessionId === sessionId && session.state === "closed";
        return replaced || closed || goneByList(session);
    };

    const noteDeaths = (): void => {
        const known = new Set([...unitsByKey.values()].map(unit => unit.owner));
        for (const session of sessionsByVm.values()) {
            known.add(session.sessionId);
        }
        for (const sessionId of known) {
            if (sessionId !== "" && isDead(sessionId) && !deadSinceMs.has(sessionId)) {
                deadSinceMs.set(sessionId, clock.monotonicMs());
            }
        }
        for (const sessionId of deadSinceMs.keys()) {
            if (!known.has(sessionId)) {
                deadSinceMs.delete(sessionId);
            }
        }
    };

    const isLive = (session: SessionRow): boolean => session.state === "live" && !isDead(session.sessionId);
    const findSession = (sessionId: string): SessionRow | undefined => {
        const session = sessionsByVm.get(vmIdOf(sessionId));
        return session?.sessionId === sessionId ? session : undefined;
    };

    return {
        setRows: (sessions, units) => {
            sessionsByVm = new Map(sessions.map(row => {
                const session = row.value as SessionRow;
                return [session.vmId, session];
            }));
            unitsByKey = new Map(units.map(row => [row.key, { ...(row.value as UnitRow), version: row.version }]));
            noteDeaths();
        },
        setListing: next => {
            if (next.generation < listing.generation) {
                return;
            }
            listing = next;
            vmsById = new Map(next.vms.map(vm => [vm.vmId, vm]));
            for (const vm of next.vms) {
                seenVmIds.add(vm.vmId);
            }
            noteDeaths();
        },
        setGossip: gossip => {
            heard.set(gossip.sessionId, { gossip, heardAtMs: clock.monotonicMs() });
        },
        listing: () => listing,
        vm: vmId => vmsById.get(vmId),
        vmGone,
        sessions: () => [...sessionsByVm.values()],
        session: findSession,
        liveSessions: () => [...sessionsByVm.values()].filter(isLive),
        deadForMs: sessionId => {
            const sinceMs = deadSinceMs.get(sessionId);
            return sinceMs === undefined ? undefined : clock.monotonicMs() - sinceMs;
        },
        unit: key => unitsByKey.get(key),
        units: () => [...unitsByKey.values()],
        ownerOf: key => {
            const owner = unitsByKey.get(key)?.owner;
            return owner === undefined || owner === "" || isDead(owner) ? undefined : findSession(owner);
        },
        gossipOf: sessionId => {
            const entry = heard.get(sessionId);
            return entry !== undefined && clock.monotonicMs() - entry.heardAtMs <= gossipMaxAgeMs
                ? entry.gossip
                : undefined;
        },
        peers: () =>
            [...sessionsByVm.values()].filter(session => session.vmId !== ownVmId && !isDead(session.sessionId)),
    };
};
