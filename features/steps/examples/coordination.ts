/** Runnable examples of the modules that coordinate daemons, on a simulated platform and a fake clock. */

import {
    createCell,
    createFakeClock,
    createPlatform,
    defaultCellOptions,
    defaultPlatformLimits,
    type FakeClock,
    type Platform,
} from "@puffinarch/stand-ins";
import {
    createConfigurationStore,
    createJournal,
    createMembership,
    createOwnership,
    createRequestClaims,
    createRouter,
    createSeededRandom,
    createSession,
    createSlots,
    failureOf,
    initialDocument,
    type Membership,
    type Meter,
    replay,
    type Slots,
    type UnitHandler,
    type VersionedUnit,
} from "puffinarch";

const log = { write: () => {} };
const meter: Meter = { count: () => {}, record: () => {}, total: () => 0, percentile: () => 0 };
const random = createSeededRandom(1);
const noopKeeper: UnitHandler = { acquire: async () => {}, release: async () => {} };

const createTestPlatform = (clock: FakeClock): Platform =>
    createPlatform(clock, random, { ...defaultPlatformLimits, vmListLagMs: 0 });

const journal = async (): Promise<string> => {
    const clock = createFakeClock();
    const { table } = createTestPlatform(clock);
    const fence = await table.transact({ conditions: [], puts: [{ key: "home", value: {} }], deletes: [] });
    const homeJournal = createJournal({
        table,
        clock,
        log,
        meter,
        journalId: "home-1",
        nextSequence: 0,
        fence: { key: "home", version: fence.outcome === "committed" ? fence.version : 0 },
        newBatchId: () => "batch-1",
        onFenced: () => {},
        batchesPerSecond: () => 40,
        urgentBatchesPerSecond: () => 0,
        maxPendingEntries: 100,
    });
    const appended = [0, 1].map(index =>
        homeJournal.append([{ kind: "jobCancelled", jobId: `job-${index}`, cancelledAtMs: 0 }], false)
    );
    await Promise.all(appended);
    return `${(await replay(table, "home-1", 0)).records.length} records replayed`;
};

const membership = (): string => {
    const known = createMembership({
        clock: createFakeClock(),
        ownVmId: "vm-2",
        gossipMaxAgeMs: 1_000,
        maxReadGapMs: 3_000,
    });
    const session = {
        sessionId: "vm-1~1",
        vmId: "vm-1",
        incarnation: 1,
        dataCentre: "leon-feria",
        address: "",
        state: "live",
        listedGeneration: 1,
        deputy: "",
        beat: 0,
    };
    known.setListing({
        generation: 1,
        vms: [{ vmId: "vm-1", role: "entry", dataCentre: "leon-feria", address: "", leaving: false }],
    });
    known.setListing({ generation: 2, vms: [] });
    known.setRows([{ key: "session/vm-1", version: 1, value: session }], [], 0);
    return known.deadForMs("vm-1~1") === undefined ? "the session may live" : "the session is dead";
};

const ownership = async (): Promise<string> => {
    const clock = createFakeClock();
    const platform = createTestPlatform(clock);
    platform.setVms([
        { vmId: "vm-1", role: "entry", dataCentre: "leon-feria", address: "", leaving: false },
        { vmId: "w1", role: "worker", dataCentre: "leon-feria", address: "", leaving: false, rack: "r1" },
    ]);
    const { table, vmList } = platform;
    const known = createMembership({ clock, ownVmId: "vm-1", gossipMaxAgeMs: 1_000, maxReadGapMs: 3_000 });
    const dataCentre = "leon-feria";
    const common = { table, vmList, clock, log, meter, membership: known, dataCentre };
    const session = createSession({ ...common, vmId: "vm-1", sessionLeaseMs: 6_000, renewIntervalMs: 1_500 });
    const keepers = { rack: noopKeeper, upstream: noopKeeper, home: noopKeeper };
    const own = createOwnership({ ...common, session, deathGraceMs: 3_000, unitHandlers: keepers });
    await session.open("http://127.0.0.1:7100");
    await own.refresh();
    return `${own.owned("rack")[0]?.key} is owned`;
};

const configurationStore = async (): Promise<string> => {
    const clock = createFakeClock();
    const { table } = createTestPlatform(clock);
    const createStore = () => createConfigurationStore({ table, clock, log, onAdopted: () => {} });
    await createStore().apply(initialDocument, { expectedVersion: 0, author: "ana", reason: "first" });
    try {
        await createStore().apply(initialDocument, { expectedVersion: 0, author: "kwame", reason: "too late" });
        return "no conflict";
    }
    catch (error) {
        const { kind, winningVersion } = failureOf(error);
        return `${kind} with version ${winningVersion}`;
    }
};

const requestClaims = async (): Promise<string> => {
    const clock = createFakeClock();
    const { table } = createTestPlatform(clock);
    const claims = createRequestClaims({
        table,
        clock,
        meter,
        sessionId: () => "vm-1~1",
        timeoutMs: 1_000,
        maxPending: 100,
    });
    const first = await claims.claim("claims-core", "payout-17");
    const second = await claims.claim("claims-core", "payout-17");
    return `${first === undefined ? "refused" : "claimed"}, then ${second === undefined ? "refused" : "claimed"}`;
};

const slotsWithUpstream = async (clock: FakeClock): Promise<{ readonly slots: Slots; readonly known: Membership; }> => {
    const known = createMembership({ clock, ownVmId: "vm-1", gossipMaxAgeMs: 1_000, maxReadGapMs: 3_000 });
    known.setListing({
        generation: 1,
        vms: [{
            vmId: "leon-feria-u1",
            role: "upstream",
            dataCentre: "leon-feria",
            address: "u1",
            leaving: false,
            service: "mesa-comun",
        }],
    });
    const slots = createSlots({
        clock,
        random,
        log,
        meter,
        upstreams: { status: async () => ({ leaving: false, slotsInUse: 0 }) },
        membership: known,
        mayAct: () => true,
        choice: "leastOfTwo",
        slotsPerUpstream: 8,
        maxQueued: 10,
        statusIntervalMs: 1_000,
        drainTimeoutMs: 1_000,
    });
    const unit: VersionedUnit = {
        key: "unit/upstream/leon-feria/leon-feria-u1",
        kind: "upstream",
        dataCentre: "leon-feria",
        name: "leon-feria-u1",
        owner: "vm-1~1",
        version: 1,
    };
    await slots.unitHandler.acquire(unit);
    await clock.advance(10);
    return { slots, known };
};

const slots = async (): Promise<string> =>
    `${(await slotsWithUpstream(createFakeClock())).slots.free()["mesa-comun"]} slots`;

const router = async (): Promise<string> => {
    const clock = createFakeClock();
    const { slots: own, known } = await slotsWithUpstream(clock);
    const route = await createRouter({ clock, random, slots: own, membership: known, dataCentre: "leon-feria" }).route(
        "mesa-comun",
        false,
        1_000,
    );
    return route.kind === "slot" ? `a slot of ${route.slot.upstreamId}` : `peer ${route.sessionId}`;
};

const node = async (): Promise<string> => {
    const cell = createCell({ ...defaultCellOptions, dataCentres: ["leon-feria"], daemonsPerDataCentre: 1 });
    await cell.start();
    const [daemon] = cell.daemons();
    void daemon?.node.jobs.submit({
        jobId: "load-in-7",
        workloadClass: "batch",
        team: "rigging",
        tasks: 1,
        taskSize: { cpuMillis: 500, memoryMib: 128, accelerators: 0 },
        atMostOnce: false,
        payload: "",
    });
    await cell.advance(1_000);
    return (await daemon?.node.jobs.task("load-in-7/0"))?.state ?? "unknown";
};

/** The examples by module name; each returns a line that the feature compares. */
export const coordinationExamples = {
    journal,
    membership,
    ownership,
    configurationStore,
    requestClaims,
    slots,
    router,
    node,
};
