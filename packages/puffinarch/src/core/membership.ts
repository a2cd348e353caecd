/**
 * A daemon's view of the cluster: sessions and units as last read from the table, the VM list, which lags, and the latest
 * gossip of each daemon. A session is considered dead if its VM was listed and is no longer, if a later incarnation runs
 * on its VM, or if its row is in the state fenced or closed. A session that only stops responding is not considered dead.
 */

import type { SessionRow, UnitRow } from "../types/ownership.js";
import type { Gossip } from "../types/peer.js";
import type { Clock, TableRow, Vm, VmListing } from "../types/ports.js";

/** A unit's row with its version. The owner may be any session, or none. */
export interface VersionedUnit extends UnitRow {
    readonly version: number;
}

/** View of the cluster, updated by `core/ownership.ts` and by gossip. */
export interface Membership {
    /**
     * Replaces the sessions and units with the result of a scan that began at `begunAtMs` on the monotonic clock. With
     * `dataCentre`, the scan read only the units of that data centre, and the units of others are kept.
     */
    setRows(sessions: readonly TableRow[], units: readonly TableRow[], begunAtMs: number, dataCentre?: string): void;
    /** Replaces the VM list; ignored if its generation is lower than that of the current one. */
    setListing(listing: VmListing): void;
    setGossip(gossip: Gossip): void;
    listing(): VmListing;
    vm(vmId: string): Vm | undefined;
    /** True if the VM was listed and no longer is; such a VM never returns. */
    vmGone(vmId: string): boolean;
    /** Like `vmGone`, for a VM that another daemon read in the list of generation `listedGeneration`. */
    vmGoneSince(vmId: string, listedGeneration: number): boolean;
    sessions(): readonly SessionRow[];
    /** Row of exactly this session; undefined if its VM has no row or one of another incarnation. */
    session(sessionId: string): SessionRow | undefined;
    /** Version of the session's row as last read. */
    sessionVersion(sessionId: string): number | undefined;
    /**
     * How long the session's row has certainly not changed. 0 for an unknown session, and while the last scan is older than
     * `maxReadGapMs`.
     */
    unchangedForMs(sessionId: string): number;
    /** Sessions in the state live that are not dead; they may be given work. */
    liveSessions(): readonly SessionRow[];
    /** Milliseconds since this daemon found the session dead; undefined while the session may be alive. */
    deadForMs(sessionId: string): number | undefined;
    unit(key: string): VersionedUnit | undefined;
    units(): readonly VersionedUnit[];
    /** Session that owns the unit; undefined if there is none or it is dead. */
    ownerOf(key: string): SessionRow | undefined;
    /** Latest gossip of the session; undefined if it is older than `gossipMaxAgeMs`. */
    gossipOf(sessionId: string): Gossip | undefined;
    /** Sessions of other VMs that are not dead, draining ones included. */
    peers(): readonly SessionRow[];
}

/** Dependencies and settings of `createMembership`. */
export interface MembershipOptions {
    readonly clock: Clock;
    readonly ownVmId: string;
    readonly gossipMaxAgeMs: number;
    /** After a longer gap between two scans, the time since which each session's row is unchanged counts anew. */
    readonly maxReadGapMs: number;
}

interface ReceivedGossip {
    readonly gossip: Gossip;
    readonly receivedAtMs: number;
}

interface ObservedRow {
    readonly version: number;
    readonly unchangedSinceMs: number;
}

const emptyListing: VmListing = { generation: -1, vms: [] };

const vmIdOf = (sessionId: string): string => sessionId.slice(0, sessionId.lastIndexOf("~"));
const incarnationOf = (sessionId: string): number => Number(sessionId.slice(sessionId.lastIndexOf("~") + 1));

/**
 * Returns the id of a session, made of its VM's id and its incarnation, which counts the daemon's starts on that VM.
 *
 * @example
 * sessionIdOf("vm-1", 3); // "vm-1~3"
 */
export const sessionIdOf = (vmId: string, incarnation: number): string => `${vmId}~${incarnation}`;

/**
 * Creates an empty view of the cluster.
 *
 * @example
 * const membership = createMembership({ clock, ownVmId: "vm-1", gossipMaxAgeMs: 3_000, maxReadGapMs: 3_000 });
 */
export const createMembership = (options: MembershipOptions): Membership => {
    const { clock, ownVmId, gossipMaxAgeMs } = options;
    let listing = emptyListing;
    let observedRows = new Map<string, ObservedRow>();
    let lastScanEndedMs = -Infinity;
    let lastScanBegunMs = -Infinity;
    let vmsById = new Map<string, Vm>();
    const everListedVmIds = new Set<string>();
    let sessionsByVm = new Map<string, SessionRow>();
    let unitsByKey = new Map<string, VersionedUnit>();
    const deadSinceMs = new Map<string, number>();
    const gossipBySession = new Map<string, ReceivedGossip>();

    const vmGone = (vmId: string): boolean => everListedVmIds.has(vmId) && !vmsById.has(vmId);

    const isGoneFromListing = (session: SessionRow): boolean => {
        const listedBefore = session.listedGeneration >= 0 && listing.generation >= session.listedGeneration;
        return vmGone(session.vmId) || (listedBefore && !vmsById.has(session.vmId));
    };

    const isDead = (sessionId: string): boolean => {
        const session = sessionsByVm.get(vmIdOf(sessionId));
        if (session === undefined) {
            return vmGone(vmIdOf(sessionId));
        }
        const isReplaced = session.incarnation > incarnationOf(sessionId);
        const hasEnded = session.sessionId === sessionId && (session.state === "closed" || session.state === "fenced");
        return isReplaced || hasEnded || isGoneFromListing(session);
    };

    const recordDeaths = (): void => {
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

    const observeRows = (sessions: readonly TableRow[], begunAtMs: number): void => {
        const nowMs = clock.monotonicMs();
        const hadReadGap = nowMs - lastScanEndedMs > options.maxReadGapMs;
        const next = new Map<string, ObservedRow>();
        for (const { value, version } of sessions) {
            const { sessionId } = value as SessionRow;
            const known = observedRows.get(sessionId);
            next.set(
                sessionId,
                !hadReadGap && known?.version === version ? known : { version, unchangedSinceMs: nowMs },
            );
        }
        observedRows = next;
        lastScanEndedMs = nowMs;
        lastScanBegunMs = begunAtMs;
    };

    return {
        setRows: (sessions, units, begunAtMs, dataCentre) => {
            observeRows(sessions, begunAtMs);
            sessionsByVm = new Map(sessions.map(row => {
                const session = row.value as SessionRow;
                return [session.vmId, session];
            }));
            const retained = dataCentre === undefined
                ? []
                : [...unitsByKey].filter(([, unit]) => unit.dataCentre !== dataCentre);
            const read = units.map(row => [row.key, { ...(row.value as UnitRow), version: row.version }] as const);
            unitsByKey = new Map([...retained, ...read]);
            recordDeaths();
        },
        setListing: next => {
            if (next.generation < listing.generation) {
                return;
            }
            listing = next;
            vmsById = new Map(next.vms.map(vm => [vm.vmId, vm]));
            for (const vm of next.vms) {
                everListedVmIds.add(vm.vmId);
            }
            recordDeaths();
        },
        setGossip: gossip => {
            gossipBySession.set(gossip.sessionId, { gossip, receivedAtMs: clock.monotonicMs() });
        },
        listing: () => listing,
        vm: vmId => vmsById.get(vmId),
        vmGone,
        vmGoneSince: (vmId, listedGeneration) => !vmsById.has(vmId) && listing.generation >= listedGeneration,
        sessions: () => [...sessionsByVm.values()],
        session: findSession,
        sessionVersion: sessionId => observedRows.get(sessionId)?.version,
        unchangedForMs: sessionId => {
            const sinceMs = observedRows.get(sessionId)?.unchangedSinceMs;
            const isScanRecent = clock.monotonicMs() - lastScanEndedMs <= options.maxReadGapMs;
            return sinceMs === undefined || !isScanRecent ? 0 : Math.max(0, lastScanBegunMs - sinceMs);
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
            const entry = gossipBySession.get(sessionId);
            return entry !== undefined && clock.monotonicMs() - entry.receivedAtMs <= gossipMaxAgeMs
                ? entry.gossip
                : undefined;
        },
        peers: () =>
            [...sessionsByVm.values()].filter(session => session.vmId !== ownVmId && !isDead(session.sessionId)),
    };
};
