/**
 * Assigns the units of a cell to daemons. A unit is a rack, an upstream or a home; one row of the table names the session
 * that owns it. Ownership changes only by a conditional transaction on that row, and only after the owner handed the unit
 * over or is known to be dead (see `core/membership.ts`). Each daemon computes by rendezvous hashing over the live
 * sessions of the data centre which units it should own, so no messages are needed to agree on it.
 */

import { sessionKey, type Unit, unitKey, type UnitKind, unitKinds, type UnitRow } from "../types/ownership.js";
import type { Clock, Log, Meter, TableStore, VmList } from "../types/ports.js";
import { vmRoles } from "../types/ports.js";
import { pickMember } from "../utils/rendezvous.js";
import { sleep } from "../utils/time.js";
import type { Membership, VersionedUnit } from "./membership.js";
import type { Session } from "./session.js";

/** Handles the units of one kind while this daemon owns them. */
export interface UnitHandler {
    /** Called once this session owns the unit; starts to act on it. */
    acquire(unit: VersionedUnit): Promise<void>;
    /** Called when the unit is given up or lost; resolves once this daemon has stopped acting on it. */
    release(unit: VersionedUnit): Promise<void>;
}

/** Dependencies and settings of `createOwnership`. */
export interface OwnershipOptions {
    readonly table: TableStore;
    readonly vmList: VmList;
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly membership: Membership;
    readonly session: Session;
    readonly dataCentre: string;
    /** Wait before a dead session's units are claimed; has to exceed the longest time that its messages are in flight. */
    readonly deathGraceMs: number;
    /** Handlers of the units, by kind. */
    readonly unitHandlers: Readonly<Record<UnitKind, UnitHandler>>;
}

/** The units that a daemon owns. */
export interface Ownership {
    /** Reads the VM list and the rows of sessions and units, then claims units or hands one over; run at an interval. */
    refresh(): Promise<void>;
    owns(key: string): boolean;
    owned(kind: UnitKind): readonly VersionedUnit[];
    /** Hands all units over and closes the session. */
    close(): Promise<void>;
    /** Stops acting on all units without writing to the table; for a session that was fenced. */
    dropAll(): Promise<void>;
    /** Stops acting on a unit that another session owns by now, without writing to the table. */
    drop(key: string): void;
}

/**
 * With up to this many units, each scan reads all of them. With more, one scan in `scansPerFullScan` does, and the others
 * read only the units of this data centre.
 */
const maxUnitsForFullScan = 500;
const scansPerFullScan = 30;
const retryDelayMs = 200;
const maxClaimsPerTransaction = 8;
const maxHandOverWrites = 25;

/**
 * Creates the ownership of a daemon. The caller opens and renews the session.
 *
 * @example
 * const ownership = createOwnership(options);
 * const loop = startLoop({ clock, log, name: "ownership", intervalMs: 1_000, run: ownership.refresh });
 */
export const createOwnership = (options: OwnershipOptions): Ownership => {
    const { table, vmList, clock, log, meter, membership, session, dataCentre, unitHandlers } = options;
    const owned = new Map<string, VersionedUnit>();
    /** Row version of each unit that was handed over, from before that; a late read of such a row must not start the unit again. */
    const handedOverVersions = new Map<string, number>();
    const ownId = session.id;
    let scanCount = 0;

    const refreshListing = async (): Promise<void> => membership.setListing(await vmList.list());

    /** Racks and upstreams of this data centre, the daemon's own home, and all known homes. */
    const claimableUnits = (): readonly Unit[] => {
        const units = new Map<string, Unit>();
        const addUnit = (kind: UnitKind, name: string): void => {
            const key = unitKey(kind, dataCentre, name);
            units.set(key, { key, kind, dataCentre, name });
        };
        for (const vm of membership.listing().vms) {
            if (vm.dataCentre !== dataCentre) {
                continue;
            }
            if (vm.role === vmRoles.worker && vm.rack !== undefined) {
                addUnit(unitKinds.rack, vm.rack);
            }
            if (vm.role === vmRoles.upstream) {
                addUnit(unitKinds.upstream, vm.vmId);
            }
        }
        addUnit(unitKinds.home, ownId());
        for (const unit of membership.units()) {
            if (unit.kind === unitKinds.home) {
                units.set(unit.key, unit);
            }
        }
        return [...units.values()];
    };

    /**
     * Session that should own the unit, in the unit's data centre. A home whose data centre has no live session may go to
     * another one.
     */
    const preferredOwner = (unit: Unit): string | undefined => {
        const live = membership.liveSessions();
        if (unit.kind === unitKinds.home && unit.name === ownId()) {
            return ownId();
        }
        const inSameDataCentre = live.filter(each => each.dataCentre === unit.dataCentre);
        const candidates = inSameDataCentre.length > 0 || unit.kind !== unitKinds.home ? inSameDataCentre : live;
        return pickMember(unit.key, candidates.map(each => each.sessionId));
    };

    const isClaimable = (unit: VersionedUnit | undefined): boolean => {
        if (unit === undefined || unit.owner === "") {
            return true;
        }
        const deadForMs = membership.deadForMs(unit.owner);
        return deadForMs !== undefined && deadForMs >= options.deathGraceMs;
    };

    const claim = async (units: readonly Unit[]): Promise<boolean> => {
        const rows: readonly UnitRow[] = units.map(({ key, kind, dataCentre: unitDataCentre, name }) => ({
            key,
            kind,
            dataCentre: unitDataCentre,
            name,
            owner: ownId(),
        }));
        const { outcome } = await table.transact({
            conditions: [
                { key: sessionKey(session.row()?.vmId ?? ""), version: session.version() },
                ...units.map(unit => ({
                    key: unit.key,
                    version: membership.unit(unit.key)?.version ?? "absent" as const,
                })),
            ],
            puts: rows.map(row => ({ key: row.key, value: row })),
            deletes: [],
        });
        meter.count("unitClaims", units.length);
        return outcome === "committed";
    };

    const claimUnowned = async (): Promise<boolean> => {
        if (session.row()?.state !== "live" || session.isFenced()) {
            return false;
        }
        const toClaim = claimableUnits().filter(unit =>
            isClaimable(membership.unit(unit.key)) && preferredOwner(unit) === ownId()
        );
        let claimed = false;
        for (let start = 0; start < toClaim.length; start += maxClaimsPerTransaction) {
            claimed = await claim(toClaim.slice(start, start + maxClaimsPerTransaction)) || claimed;
        }
        return claimed;
    };

    const handOver = async (unit: VersionedUnit): Promise<void> => {
        owned.delete(unit.key);
        await unitHandlers[unit.kind].release(unit);
        const { key, kind, dataCentre: unitDataCentre, name } = unit;
        const value: UnitRow = { key, kind, dataCentre: unitDataCentre, name, owner: "" };
        for (let writesLeft = maxHandOverWrites; writesLeft > 0; writesLeft -= 1) {
            const { outcome } = await table.transact({
                conditions: [{ key, version: unit.version }],
                puts: [{ key, value }],
                deletes: [],
            });
            if (outcome === "committed" || outcome === "conflict") {
                break;
            }
            await sleep(clock, retryDelayMs);
        }
        handedOverVersions.set(key, unit.version);
        log.write("info", "unitHandedOver", { unit: key });
    };

    /** Hands over at most one unit per call whose preferred owner is another session; homes stay where they are. */
    const handOverMisplaced = async (): Promise<void> => {
        for (const unit of owned.values()) {
            const chosen = preferredOwner(unit);
            if (unit.kind !== unitKinds.home && chosen !== undefined && chosen !== ownId()) {
                await handOver(unit);
                return;
            }
        }
    };

    /** Compares the rows with the units held here, and starts or stops acting on those that changed. */
    const applyOwnership = async (): Promise<void> => {
        if (session.isFenced()) {
            return;
        }
        for (const unit of membership.units()) {
            const known = owned.get(unit.key);
            if (unit.owner !== ownId()) {
                if (known !== undefined) {
                    owned.delete(unit.key);
                    log.write("error", "unitLost", { unit: unit.key, owner: unit.owner });
                    await unitHandlers[unit.kind].release(known);
                }
                continue;
            }
            if (known === undefined && unit.version > (handedOverVersions.get(unit.key) ?? -1)) {
                owned.set(unit.key, unit);
                log.write("info", "unitGained", { unit: unit.key });
                await unitHandlers[unit.kind].acquire(unit);
            }
        }
    };

    const scanRows = async (): Promise<void> => {
        const scanBegunAtMs = clock.monotonicMs();
        const isFullScan = membership.units().length <= maxUnitsForFullScan || scanCount % scansPerFullScan === 0;
        const prefixes = isFullScan ? ["unit/"] : Object.values(unitKinds).map(kind => unitKey(kind, dataCentre, ""));
        const [sessions, ...units] = await Promise.all(["session/", ...prefixes].map(prefix => table.scan(prefix)));
        scanCount += 1;
        membership.setRows(sessions ?? [], units.flat(), scanBegunAtMs, isFullScan ? undefined : dataCentre);
        await applyOwnership();
    };

    const refresh = async (): Promise<void> => {
        await refreshListing().catch(() => log.write("debug", "vmListOut", {}));
        await scanRows();
        await handOverMisplaced();
        if (await claimUnowned()) {
            await scanRows();
        }
    };

    const close = async (): Promise<void> => {
        await session.setState("draining");
        for (const unit of [...owned.values()]) {
            await handOver(unit);
        }
        await session.setState("closed");
    };

    const abandon = async (): Promise<void> => {
        const units = [...owned.values()];
        owned.clear();
        await Promise.all(units.map(unit => unitHandlers[unit.kind].release(unit)));
    };

    return {
        refresh,
        owns: key => owned.has(key),
        owned: kind => [...owned.values()].filter(unit => unit.kind === kind),
        close,
        dropAll: abandon,
        drop: key => {
            const unit = owned.get(key);
            owned.delete(key);
            if (unit !== undefined) {
                void unitHandlers[unit.kind].release(unit);
            }
        },
    };
};
