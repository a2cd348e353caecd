/**
 * Who decides on what. Racks, upstreams and homes are units with one row each; a unit changes hands only by a
 * conditional transaction on its row, and only when its owner handed it over or is dead on evidence. Rendezvous
 * hashing over the live sessions of the data centre says who takes what, without a message.
 */

import { sessionKey, type Unit, unitKey, type UnitKind, unitKinds, type UnitRow } from "../types/ownership.js";
import type { Clock, Log, Meter, TableStore, VmList } from "../types/ports.js";
import { vmRoles } from "../types/ports.js";
import { pickMember } from "../utils/rendezvous.js";
import { sleep } from "../utils/time.js";
import type { Membership, OwnedUnit } from "./membership.js";
import type { Session } from "./session.js";

/** Acts on the units of one kind. */
export interface UnitKeeper {
    /** The unit is this session's from now on. */
    gain(unit: OwnedUnit): Promise<void>;
    /** Resolves once nothing of this session acts on the unit any more. */
    yield(unit: OwnedUnit): Promise<void>;
}

/** What ownership needs. */
export interface OwnershipOptions {
    readonly table: TableStore;
    readonly vmList: VmList;
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly membership: Membership;
    readonly session: Session;
    readonly dataCentre: string;
    /** A dead session's units are taken no earlier than this; longer than any of its messages can be under way. */
    readonly deathGraceMs: number;
    readonly keepers: Readonly<Record<UnitKind, UnitKeeper>>;
}

/** The units that a daemon owns. */
export interface Ownership {
    /** Reads what others wrote and takes or hands over units; run at an interval. */
    refresh(): Promise<void>;
    owns(key: string): boolean;
    owned(kind: UnitKind): readonly OwnedUnit[];
    /** Hands everything over and closes the session. */
    close(): Promise<void>;
    /** Stops acting on everything at once, without a word to the table: another session has taken over. */
    abandon(): Promise<void>;
    /** Stops acting on a unit that turned out to have another owner. */
    forfeit(key: string): void;
}

/** Up to this many units, all of them are read each time; beyond, those of other data centres once in a while. */
const smallCellUnits = 500;
const wholeEvery = 30;
const retryMs = 200;
const claimsPerTransaction = 8;
const handOverTries = 25;

/**
 * Makes the ownership of a daemon whose session is opened elsewhere.
 *
 * @example
 * const ownership = createOwnership(options);
 * const loop = startLoop({ clock, log, name: "ownership", intervalMs: 1_000, run: ownership.refresh });
 */
export const createOwnership = (options: OwnershipOptions): Ownership => {
    const { table, vmList, clock, log, meter, membership, session, dataCentre, keepers } = options;
    const owned = new Map<string, OwnedUnit>();
    const handedOver = new Map<string, number>();
    const ownId = session.id;
    let reads = 0;

    const readListing = async (): Promise<void> => membership.setListing(await vmList.list());

    const wantedUnits = (): readonly Unit[] => {
        const units = new Map<string, Unit>();
        const want = (kind: UnitKind, name: string): void => {
            const key = unitKey(kind, dataCentre, name);
            units.set(key, { key, kind, dataCentre, name });
        };
        for (const vm of membership.listing().vms) {
            if (vm.dataCentre !== dataCentre) {
                continue;
            }
            if (vm.role === vmRoles.worker && vm.rack !== undefined) {
                want(unitKinds.rack, vm.rack);
            }
            if (vm.role === vmRoles.upstream) {
                want(unitKinds.upstream, vm.vmId);
            }
        }
        want(unitKinds.home, ownId());
        for (const unit of membership.units()) {
            if (unit.kind === unitKinds.home) {
                units.set(unit.key, unit);
            }
        }
        return [...units.values()];
    };

    const chosenOwner = (unit: Unit): string | undefined => {
        const live = membership.liveSessions();
        if (unit.kind === unitKinds.home && unit.name === ownId()) {
            return ownId();
        }
        const near = live.filter(each => each.dataCentre === unit.dataCentre);
        const members = near.length > 0 || unit.kind !== unitKinds.home ? near : live;
        return pickMember(unit.key, members.map(each => each.sessionId));
    };

    const isFree = (unit: OwnedUnit | undefined): boolean => {
        if (unit === undefined || unit.owner === "") {
            return true;
        }
        const deadForMs = membership.deadForMs(unit.owner);
        return deadForMs !== undefined && deadForMs >= options.deathGraceMs;
    };

    const claim = async (units: readonly Unit[]): Promise<boolean> => {
        const rows: readonly UnitRow[] = units.map(({ key, kind, dataCentre: place, name }) => ({
            key,
            kind,
            dataCentre: place,
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

    const claimFree = async (): Promise<boolean> => {
        if (session.row()?.state !== "live" || session.isFenced()) {
            return false;
        }
        const wanted = wantedUnits().filter(unit => isFree(membership.unit(unit.key)) && chosenOwner(unit) === ownId());
        let claimed = false;
        for (let start = 0; start < wanted.length; start += claimsPerTransaction) {
            claimed = await claim(wanted.slice(start, start + claimsPerTransaction)) || claimed;
        }
        return claimed;
    };

    const handOver = async (unit: OwnedUnit): Promise<void> => {
        owned.delete(unit.key);
        await keepers[unit.kind].yield(unit);
        const { key, kind, dataCentre: place, name } = unit;
        const value: UnitRow = { key, kind, dataCentre: place, name, owner: "" };
        for (let left = handOverTries; left > 0; left -= 1) {
            const { outcome } = await table.transact({
                conditions: [{ key, version: unit.version }],
                puts: [{ key, value }],
                deletes: [],
            });
            if (outcome === "committed" || outcome === "conflict") {
                break;
            }
            await sleep(clock, retryMs);
        }
        handedOver.set(key, unit.version);
        log.write("info", "unitHandedOver", { unit: key });
    };

    const handOverSurplus = async (): Promise<void> => {
        for (const unit of owned.values()) {
            const chosen = chosenOwner(unit);
            if (unit.kind !== unitKinds.home && chosen !== undefined && chosen !== ownId()) {
                await handOver(unit);
                return;
            }
        }
    };

    const noteGains = async (): Promise<void> => {
        if (session.isFenced()) {
            return;
        }
        for (const unit of membership.units()) {
            const known = owned.get(unit.key);
            if (unit.owner !== ownId()) {
                if (known !== undefined) {
                    owned.delete(unit.key);
                    log.write("error", "unitLost", { unit: unit.key, owner: unit.owner });
                    await keepers[unit.kind].yield(known);
                }
                continue;
            }
            if (known === undefined && unit.version > (handedOver.get(unit.key) ?? -1)) {
                owned.set(unit.key, unit);
                log.write("info", "unitGained", { unit: unit.key });
                await keepers[unit.kind].gain(unit);
            }
        }
    };

    const readRows = async (): Promise<void> => {
        const begunAtMs = clock.monotonicMs();
        const whole = membership.units().length <= smallCellUnits || reads % wholeEvery === 0;
        const prefixes = whole ? ["unit/"] : Object.values(unitKinds).map(kind => unitKey(kind, dataCentre, ""));
        const [sessions, ...units] = await Promise.all(["session/", ...prefixes].map(prefix => table.scan(prefix)));
        reads += 1;
        membership.setRows(sessions ?? [], units.flat(), begunAtMs, whole ? undefined : dataCentre);
        await noteGains();
    };

    const refresh = async (): Promise<void> => {
        await readListing().catch(() => log.write("debug", "vmListOut", {}));
        await readRows();
        await handOverSurplus();
        if (await claimFree()) {
            await readRows();
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
        await Promise.all(units.map(unit => keepers[unit.kind].yield(unit)));
    };

    return {
        refresh,
        owns: key => owned.has(key),
        owned: kind => [...owned.values()].filter(unit => unit.kind === kind),
        close,
        abandon,
        forfeit: key => {
            const unit = owned.get(key);
            owned.delete(key);
            if (unit !== undefined) {
                void keepers[unit.kind].yield(unit);
            }
        },
    };
};
