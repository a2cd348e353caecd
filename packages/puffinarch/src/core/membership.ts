/**
 * What a daemon knows of the others: sessions and units as last read from the table, the lagging VM list, and the
 * latest gossip. A session counts as dead on evidence only: its VM was listed once and is gone, or a later
 * incarnation runs on its VM, or its row says that it was fenced or closed. Silence alone is never taken for death.
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
    /**
     * Takes what a scan returned; the scan was begun at this reading of the monotonic clock. The units are all there are,
     * or all of one data centre.
     */
    setRows(sessions: readonly TableRow[], units: readonly TableRow[], begunAtMs: number, dataCentre?: string): void;
    setListing(listing: VmListing): void;
    setGossip(gossip: Gossip): void;
    listing(): VmListing;
    vm(vmId: string): Vm | undefined;
    /** True where the VM was listed and is no more; such a VM never comes back. */
    vmGone(vmId: string): boolean;
    /** Like `vmGone`, for a VM that another daemon saw in the list of that generation. */
    vmGoneSince(vmId: string, listedGeneration: number): boolean;
    sessions(): readonly SessionRow[];
    session(sessionId: string): SessionRow | undefined;
    /** Version of the session's row as last read. */
    sessionVersion(sessionId: string): number | undefined;
    /** How long the row surely stood still while the table was read without a gap; 0 for an unknown session. */
    unchangedForMs(sessionId: string): number;
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
    /** Reads further apart than this begin the watch on all sessions anew. */
    readonly maxReadGapMs: number;
}

interface HeardGossip {
    readonly gossip: Gossip;
    readonly heardAtMs: number;
}

interface WatchedRow {
    readonly version: number;
    readonly sinceMs: number;
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
 * const membership = createMembership({ clock, ownVmId: "vm-1", gossipMaxAgeMs: 3_000, maxReadGapMs: 3_000 });
 */
export const createMembership = (options: MembershipOptions): Membership => {
    const { clock, ownVmId, gossipMaxAgeMs } = options;
    let listing = noListing;
    let watched = new Map<string, WatchedRow>();
    let lastReadMs = -Infinity;
    let lastBegunMs = -Infinity;
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
        const over = session.sessionId === sessionId && (session.state === "closed" || session.state === "fenced");
        return replaced || over || goneByList(session);
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

    const watch = (sessions: readonly TableRow[], begunAtMs: number): void => {
        const nowMs = clock.monotonicMs();
        const gap = nowMs - lastReadMs > options.maxReadGapMs;
        const next = new Map<string, WatchedRow>();
        for (const { value, version } of sessions) {
            const { sessionId } = value as SessionRow;
            const known = watched.get(sessionId);
            next.set(sessionId, !gap && known?.version === version ? known : { version, sinceMs: nowMs });
        }
        watched = next;
        lastReadMs = nowMs;
        lastBegunMs = begunAtMs;
    };

    return {
        setRows: (sessions, units, begunAtMs, dataCentre) => {
            watch(sessions, begunAtMs);
            sessionsByVm = new Map(sessions.map(row => {
                const session = row.value as SessionRow;
                return [session.vmId, session];
            }));
            const kept = dataCentre === undefined
                ? []
                : [...unitsByKey].filter(([, unit]) => unit.dataCentre !== dataCentre);
            const read = units.map(row => [row.key, { ...(row.value as UnitRow), version: row.version }] as const);
            unitsByKey = new Map([...kept, ...read]);
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
        vmGoneSince: (vmId, listedGeneration) => !vmsById.has(vmId) && listing.generation >= listedGeneration,
        sessions: () => [...sessionsByVm.values()],
        session: findSession,
        sessionVersion: sessionId => watched.get(sessionId)?.version,
        unchangedForMs: sessionId => {
            const sinceMs = watched.get(sessionId)?.sinceMs;
            const read = clock.monotonicMs() - lastReadMs <= options.maxReadGapMs;
            return sinceMs === undefined || !read ? 0 : Math.max(0, lastBegunMs - sinceMs);
        },
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
