/**
 * Who decides on what. Racks, upstreams and homes are units with one row each; a unit changes hands only by a
 * conditional transaction on its row, and only when its owner handed it over or is dead on evidence. Rendezvous
 * hashing over the live sessions of the data centre says who takes what, without a message.
 */

import {
    sessionKey,
    type SessionRow,
    type SessionState,
    type Unit,
    unitKey,
    type UnitKind,
    unitKinds,
    type UnitRow,
} from "../types/ownership.js";
import type { Clock, Log, Meter, TableRow, TableStore, VmList } from "../types/ports.js";
import { vmRoles } from "../types/ports.js";
import { die } from "../utils/errors.js";
import { pick } from "../utils/rendezvous.js";
import { sleep } from "../utils/time.js";
import { type Membership, type OwnedUnit, sessionIdOf } from "./membership.js";

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
    readonly vmId: string;
    readonly dataCentre: string;
    /** A dead session's units are taken no earlier than this; longer than any of its messages can be under way. */
    readonly deathGraceMs: number;
    readonly keepers: Readonly<Record<UnitKind, UnitKeeper>>;
}

/** A daemon's session and the units it owns. */
export interface Ownership {
    /** Writes the session row and waits until the VM list shows this VM. */
    open(address: string): Promise<void>;
    /** Fails with `unavailable` before the session is open. */
    sessionId(): string;
    isOpen(): boolean;
    /** Reads what others wrote and takes or hands over units; run at an interval. */
    refresh(): Promise<void>;
    owns(key: string): boolean;
    owned(kind: UnitKind): readonly OwnedUnit[];
    /** Hands everything over and closes the session. */
    close(): Promise<void>;
    /** Forgets a unit that turned out to have another owner. */
    forfeit(key: string): void;
}

const retryMs = 200;
const claimsPerTransaction = 8;
const handOverTries = 25;

/**
 * Makes the ownership of a daemon; nothing is written before `open`.
 *
 * @example
 * const ownership = createOwnership(options);
 * await ownership.open("http://127.0.0.1:7100");
 * const loop = startLoop({ clock, log, name: "ownership", intervalMs: 1_000, run: ownership.refresh });
 */
export const createOwnership = (options: OwnershipOptions): Ownership => {
    const { table, vmList, clock, log, meter, membership, vmId, dataCentre, keepers } = options;
    const owned = new Map<string, OwnedUnit>();
    const handedOver = new Map<string, number>();
    let session: SessionRow | undefined;
    let sessionVersion = 0;

    const ownId = (): string => session?.sessionId ?? die("unavailable", "the session is not open yet");

    const readListing = async (): Promise<void> => membership.setListing(await vmList.list());

    const isMine = (row: TableRow, next: SessionRow): boolean => {
        const value = row.value as SessionRow;
        return value.sessionId === next.sessionId && value.state === next.state && value.address === next.address;
    };

    /** Writes the session row until it is known to stand; the row's previous version is the condition. */
    const writeSession = async (next: SessionRow, version: number | "absent"): Promise<boolean> => {
        const key = sessionKey(vmId);
        const result = await table.transact({
            conditions: [{ key, version }],
            puts: [{ key, value: next }],
            deletes: [],
        });
        if (result.outcome === "committed") {
            session = next;
            sessionVersion = result.version;
            return true;
        }
        const [row] = await table.read([key]).catch(() => []);
        if (row !== undefined && result.outcome !== "refused" && isMine(row, next)) {
            session = next;
            sessionVersion = row.version;
            return true;
        }
        return false;
    };

    const beginSession = async (address: string): Promise<boolean> => {
        const [row] = await table.read([sessionKey(vmId)]);
        const incarnation = row === undefined ? 1 : (row.value as SessionRow).incarnation + 1;
        const next: SessionRow = {
            sessionId: sessionIdOf(vmId, incarnation),
            vmId,
            incarnation,
            dataCentre,
            address,
            state: "live",
            listedGeneration: membership.listing().generation,
        };
        return writeSession(next, row?.version ?? "absent");
    };

    const open = async (address: string): Promise<void> => {
        for (;;) {
            try {
                await readListing();
                if (membership.vm(vmId) !== undefined && await beginSession(address)) {
                    return;
                }
            }
            catch {
                log.write("debug", "sessionWaits", { vmId });
            }
            await sleep(clock, retryMs);
        }
    };

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
        return pick(unit.key, members.map(each => each.sessionId));
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
                { key: sessionKey(vmId), version: sessionVersion },
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
        if (session?.state !== "live") {
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
        const [sessions, units] = await Promise.all([table.scan("session/"), table.scan("unit/")]);
        membership.setRows(sessions, units);
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

    const setState = async (state: SessionState): Promise<void> => {
        for (let left = handOverTries; left > 0 && session !== undefined; left -= 1) {
            if (await writeSession({ ...session, state }, sessionVersion)) {
                return;
            }
            await sleep(clock, retryMs);
        }
    };

    const close = async (): Promise<void> => {
        await setState("draining");
        for (const unit of [...owned.values()]) {
            await handOver(unit);
        }
        await setState("closed");
    };

    return {
        open,
        sessionId: ownId,
        isOpen: () => session !== undefined,
        refresh,
        owns: key => owned.has(key),
        owned: kind => [...owned.values()].filter(unit => unit.kind === kind),
        close,
        forfeit: key => {
            owned.delete(key);
        },
    };
};
