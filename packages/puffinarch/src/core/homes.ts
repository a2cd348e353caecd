/** The homes that a daemon holds: its own and those that it took over from dead daemons. */

import { unitKey } from "../types/ownership.js";
import type { Clock, Log, Meter, ObjectStore, TableStore } from "../types/ports.js";
import { die, failureOf } from "../utils/errors.js";
import { sleep } from "../utils/time.js";
import { createHome, type Home, type HomeOptions, jobKey } from "./home.js";
import { createHomeState } from "./homeState.js";
import { createJournal, replay } from "./journal.js";
import type { Membership, VersionedUnit } from "./membership.js";
import type { UnitHandler } from "./ownership.js";
import { deleteHomeRows, loadSnapshot, saveSnapshot } from "./snapshots.js";

/** The homes that this daemon holds. */
export interface Homes {
    readonly unitHandler: UnitHandler;
    /** The home that accepts new jobs; undefined until the session owns it. */
    own(): Home | undefined;
    held(): readonly Home[];
    find(homeId: string): Home | undefined;
    /** The home of this daemon that contains the job. */
    withJob(jobId: string): Home | undefined;
}

/** Options that are the same for all homes of a daemon. */
export type SharedHomeOptions = Omit<
    HomeOptions,
    "homeId" | "homeVersion" | "dataCentre" | "journal" | "state" | "saveSnapshot" | "deleteJobRows"
>;

/** Options of `createHomes`. */
export interface HomesOptions {
    readonly table: TableStore;
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly membership: Membership;
    readonly sessionId: () => string;
    /** Whether the daemon's session is open. */
    readonly isOpen: () => boolean;
    readonly batchesPerSecond: () => number;
    readonly urgentBatchesPerSecond: () => number;
    readonly maxPendingEntries: number;
    /** Called with the home's unit key when a journal write shows that the home has another holder. */
    readonly onFenced: (unitKey: string) => void;
    readonly objects: ObjectStore;
    readonly homeOptions: () => SharedHomeOptions;
}

const retryMs = 200;

/**
 * Creates the homes of a daemon that holds none yet.
 *
 * @example
 * const homes = createHomes(options);
 * homes.own()?.queuedTasks();
 */
export const createHomes = (options: HomesOptions): Homes => {
    const { table, objects, clock, log, meter } = options;
    const homes = new Map<string, Home>();
    /** Homes that the session owns, with the promise of their opening; without an entry, `openHome` stops its retries. */
    const openings = new Map<string, Promise<void>>();
    let batchCount = 0;

    const newBatchId = (): string => {
        batchCount += 1;
        return `${options.sessionId()}.${batchCount}`;
    };

    const tryOpen = async (unit: VersionedUnit): Promise<void> => {
        const loaded = await loadSnapshot(table, objects, unit.name);
        const { records, nextSequence, staleKeys } = await replay(table, unit.name, loaded.nextSequence);
        const state = createHomeState();
        state.load(loaded.snapshot);
        for (const record of records) {
            state.apply(record);
        }
        const fence = { key: unit.key, version: unit.version };
        const snapshotOptions = { table, objects, homeId: unit.name, fence };
        const journal = createJournal({
            table,
            clock,
            log,
            meter,
            journalId: unit.name,
            nextSequence,
            fence,
            newBatchId,
            onFenced: () => options.onFenced(unit.key),
            batchesPerSecond: options.batchesPerSecond,
            urgentBatchesPerSecond: options.urgentBatchesPerSecond,
            maxPendingEntries: options.maxPendingEntries,
        });
        const home = createHome({
            ...options.homeOptions(),
            homeId: unit.name,
            homeVersion: unit.version,
            dataCentre: unit.dataCentre,
            journal,
            state,
            saveSnapshot: snapshot => saveSnapshot(snapshotOptions, snapshot),
            deleteJobRows: jobIds => deleteHomeRows(snapshotOptions, jobIds.map(jobKey)),
        });
        homes.set(unit.name, home);
        await deleteHomeRows(snapshotOptions, staleKeys);
        log.write("info", "homeOpened", { homeId: unit.name, records: records.length, nextSequence });
    };

    const openHome = async (unit: VersionedUnit): Promise<void> => {
        while (openings.has(unit.name)) {
            try {
                await tryOpen(unit);
                return;
            }
            catch (error) {
                log.write("warn", "homeOpenFailed", { homeId: unit.name, ...failureOf(error) });
                await sleep(clock, retryMs);
            }
        }
    };

    const gain = async (unit: VersionedUnit): Promise<void> => {
        openings.set(unit.name, Promise.resolve());
        openings.set(unit.name, openHome(unit));
    };

    const yieldHome = async (unit: VersionedUnit): Promise<void> => {
        const opening = openings.get(unit.name);
        openings.delete(unit.name);
        await opening;
        const home = homes.get(unit.name);
        homes.delete(unit.name);
        await home?.close();
    };

    return {
        unitHandler: { acquire: gain, release: yieldHome },
        own: () => options.isOpen() ? homes.get(options.sessionId()) : undefined,
        held: () => [...homes.values()],
        find: homeId => homes.get(homeId),
        withJob: jobId => [...homes.values()].find(home => home.job(jobId) !== undefined),
    };
};

/**
 * Returns the id of the session that holds a home; fails with `unavailable` while no holder is known.
 *
 * @example
 * const holder = holderOf(membership, "vm-1~1");
 */
export const holderOf = (membership: Membership, homeId: string): string => {
    const unit = membership.units().find(each => each.kind === "home" && each.name === homeId);
    const owner = unit === undefined ? undefined : membership.ownerOf(unit.key);
    return owner?.sessionId ?? die("unavailable", `home ${homeId} has no known holder`, { retryAfterMs: 1_000 });
};

/**
 * Returns the unit key of a session's own home.
 *
 * @example
 * homeKey("leon-feria", "vm-1~1"); // "unit/home/leon-feria/vm-1~1"
 */
export const homeKey = (dataCentre: string, sessionId: string): string => unitKey("home", dataCentre, sessionId);
