/** Runnable examples of the modules for homes, rack owners and sessions. */

import {
    createFakeClock,
    createPlatform,
    createWorker,
    defaultPlatformLimits,
    type FakeClock,
    type Platform,
} from "@puffinarch/stand-ins";
import {
    applyReport,
    type Attempt,
    createAttemptOwners,
    createAttempts,
    createBucket,
    createDeputy,
    createEarmarks,
    createHomeRecovery,
    createHomes,
    createHomeState,
    createJobs,
    createLedger,
    createMembership,
    createPlacer,
    createPreemptor,
    createQuarantine,
    createRackOwner,
    createReportOutbox,
    createSeededRandom,
    createSession,
    createTaskQueue,
    defaultNodeSettings,
    type Homes,
    initialDocument,
    type JobSpec,
    loadSnapshot,
    type Membership,
    type Meter,
    type OwnedWorker,
    type Policy,
    recordForOutcome,
    remediesFor,
    saveSnapshot,
    type Session,
    type SessionRow,
    type VersionedUnit,
    type Vm,
    type WorkerPort,
} from "puffinarch";

const log = { write: () => {} };
const meter: Meter = { count: () => {}, record: () => {}, total: () => 0, percentile: () => 0 };
const random = createSeededRandom(1);
const dataCentre = "leon-feria";
const size = { cpuMillis: 1_000, memoryMib: 512, accelerators: 0 };
const capacity = { cpuMillis: 4_000, memoryMib: 4_096, accelerators: 0 };
const policy: Policy = { name: "pack", placement: "bestFit", sampleSize: 2 };
const batch = { name: "batch", kind: "batch", policy: "pack", priority: 3 } as const;
const workerVm: Vm = { vmId: "w1", role: "worker", dataCentre, address: "w1", leaving: false, rack: "r1", capacity };
const spec: JobSpec = {
    jobId: "load-in-7",
    workloadClass: "batch",
    team: "rigging",
    tasks: 1,
    taskSize: size,
    atMostOnce: false,
    payload: "",
};
const attemptSpec = {
    attemptId: "a1",
    taskId: "load-in-7/0",
    size,
    payload: "",
    checkpoint: "",
    priority: 3,
    preemptible: true,
};

/** The simulated clock, platform and membership view (`known`) that an example needs. */
interface Surroundings {
    readonly clock: FakeClock;
    readonly platform: Platform;
    readonly known: Membership;
}

const createSurroundings = (): Surroundings => {
    const clock = createFakeClock();
    const platform = createPlatform(clock, random, { ...defaultPlatformLimits, vmListLagMs: 0 });
    platform.setVms([{ vmId: "vm-1", role: "entry", dataCentre, address: "", leaving: false }, workerVm]);
    const known = createMembership({ clock, ownVmId: "vm-1", gossipMaxAgeMs: 5_000, maxReadGapMs: 3_000 });
    return { clock, platform, known };
};

const openSession = async ({ clock, platform, known }: Surroundings): Promise<Session> => {
    const { table, vmList } = platform;
    const own = createSession({
        table,
        vmList,
        clock,
        log,
        meter,
        membership: known,
        vmId: "vm-1",
        dataCentre,
        sessionLeaseMs: 6_000,
        renewIntervalMs: 1_500,
    });
    await own.open("http://127.0.0.1:7100");
    return own;
};

const session = async (): Promise<string> => {
    const own = await openSession(createSurroundings());
    return `${own.id()} ${own.mayAct() ? "may act" : "may not act"}`;
};

const deputy = (): string => {
    const { clock, platform, known } = createSurroundings();
    const other: SessionRow = {
        sessionId: "vm-2~1",
        vmId: "vm-2",
        incarnation: 1,
        dataCentre,
        address: "",
        state: "live",
        listedGeneration: 0,
        deputy: "vm-1~1",
        beat: 1,
    };
    known.setRows([{ key: "session/vm-2", version: 1, value: other }], [], 0);
    const own = createDeputy({
        table: platform.table,
        clock,
        log,
        meter,
        membership: known,
        ownId: () => "vm-1~1",
        mayAct: () => true,
        sessionLeaseMs: 6_000,
        promiseMs: 3_000,
        marginMs: 250,
    });
    return `promises ${own.grantPromise("vm-2~1")} ms`;
};

const createOwnedWorker = (): OwnedWorker => ({
    vm: workerVm,
    rackKey: "unit/rack/leon-feria/r1",
    state: "live",
    failures: 0,
    clockMs: 0,
    clockReadAtMs: 0,
    acknowledge: new Set(),
    reportedAttempts: new Map(),
    seen: undefined,
    attempts: new Set(),
    loop: undefined,
});

const trackAttempt = (): { readonly attempt: Attempt; readonly worker: OwnedWorker; } => {
    const worker = createOwnedWorker();
    return {
        worker,
        attempt: createAttempts(createFakeClock(), createLedger()).track(worker, attemptSpec, "home-1", "reserved"),
    };
};

const attempts = (): string => `${trackAttempt().attempt.attemptId} is ${trackAttempt().attempt.state}`;

const reportOutbox = async (): Promise<string> => {
    const { attempt } = trackAttempt();
    attempt.report = { attemptId: "a1", taskId: "load-in-7/0", outcome: "completed", result: "", checkpoint: "" };
    const settled: string[] = [];
    const outbox = createReportOutbox({
        log,
        report: async () => ["a1"],
        onSettled: each => settled.push(each.attemptId),
    });
    outbox.add(attempt);
    await outbox.flush();
    await createFakeClock().advance(1);
    return `${settled.join(", ")} is settled`;
};

const workerReport = (): string => {
    const ledger = createLedger();
    ledger.addWorker("w1", "r1", capacity);
    const table = createAttempts(createFakeClock(), ledger);
    const running = [{ attemptId: "a1", taskId: "load-in-7/0", homeId: "home-1", size, used: size }];
    const report = { nowMs: 0, bootId: "b", version: 1, complete: true, running, gone: [], ended: [] };
    applyReport({ ledger, attempts: table, onRunning: () => {}, onEnded: () => {} }, createOwnedWorker(), report, 0);
    return `a1 holds ${ledger.worker("w1")?.reserved.cpuMillis} cpuMillis`;
};

const quarantine = (): string => {
    const workerQuarantine = createQuarantine({
        clock: createFakeClock(),
        failures: 3,
        jobs: 2,
        firstProbeMs: 10_000,
        maxProbeMs: 300_000,
    });
    ["job-1", "job-1", "job-2"].forEach(jobId => workerQuarantine.recordFailure("w1", jobId));
    return workerQuarantine.stateOf("w1");
};

const usage = (): string => {
    const used = { ...capacity, cpuMillis: 5_000 };
    return remediesFor(capacity, [{ attemptId: "a1", size, used, throttled: false }]).map(each =>
        `${each.kind} ${each.attemptId}`
    ).join(", ");
};

const earmarks = (): string => {
    const workerEarmarks = createEarmarks({ clock: createFakeClock(), earmarkMs: 10_000, workersPerEarmark: 4 });
    workerEarmarks.add("load-in-7/0", "w1", 8, 0);
    return `${workerEarmarks.workersFor("load-in-7/0").join(", ")} is kept`;
};

const bucket = (): string => {
    const tokens = createBucket(createFakeClock(), () => 2);
    return [tokens.take(), tokens.take(), tokens.take()].join(", ");
};

const createQueuedTask = () => {
    const state = createHomeState();
    state.apply({ kind: "jobAccepted", spec, acceptedAtMs: 0 });
    const task = state.task("load-in-7/0");
    if (task === undefined) {
        throw new Error("the task is missing");
    }
    return { state, task };
};

const outcomes = (): string => {
    const report = { attemptId: "a1", taskId: "load-in-7/0", outcome: "lapsed", result: "", checkpoint: "" } as const;
    return recordForOutcome(createQueuedTask().task, report, { nowMs: 0, workloadClass: batch, result: {} }).kind;
};

const placer = async (): Promise<string> => {
    const { task } = createQueuedTask();
    const queue = createTaskQueue();
    queue.push({
        tasks: [task],
        gang: false,
        priority: 3,
        policy: "pack",
        team: "rigging",
        size,
        queuedAtMs: 0,
        tries: 0,
    });
    const placed = await createPlacer({
        queue,
        clock: createFakeClock(),
        random,
        newAttemptId: taskId => `${taskId}@1`,
        policyOf: () => policy,
        ownerCapacities: () => [{ sessionId: "vm-1~1", inSameDataCentre: true, free: capacity, mostFree: capacity }],
        withinQuota: () => true,
        useOf: () => 0,
        addUse: () => {},
        offer: async (_owner, offers) =>
            offers.map(({ attemptId }) => ({ attemptId, workerId: "w1", rackKey: "r1", listedGeneration: 0 })),
        release: async () => {},
        commit: async () => {},
        isWaiting: () => true,
        starvationMs: 5_000,
    }).round();
    return `${placed} placed`;
};

const snapshots = async (): Promise<string> => {
    const { platform: { table, objects } } = createSurroundings();
    const put = await table.transact({ conditions: [], puts: [{ key: "unit", value: {} }], deletes: [] });
    const fence = { key: "unit", version: put.outcome === "committed" ? put.version : 0 };
    await saveSnapshot({ table, objects, homeId: "home-1", fence }, {
        snapshot: createQueuedTask().state.snapshot(),
        nextSequence: 5,
    });
    const loaded = await loadSnapshot(table, objects, "home-1");
    return `${loaded.snapshot.length} job up to batch ${loaded.nextSequence}`;
};

const makeHomes = async (surroundings: Surroundings): Promise<{ readonly homes: Homes; readonly own: Session; }> => {
    const { clock, platform: { table, objects }, known } = surroundings;
    const own = await openSession(surroundings);
    const key = `unit/home/${dataCentre}/${own.id()}`;
    const unit = { key, kind: "home", dataCentre, name: own.id(), owner: own.id() } as const;
    const put = await table.transact({ conditions: [], puts: [{ key, value: unit }], deletes: [] });
    const {
        pumpIntervalMs,
        reconcileIntervalMs,
        starvationMs,
        earlyStartMs,
        snapshotBatches,
        maintainIntervalMs,
        retentionMs,
    } = defaultNodeSettings;
    const homes = createHomes({
        table,
        objects,
        clock,
        log,
        meter,
        membership: known,
        sessionId: own.id,
        isOpen: own.isOpen,
        batchesPerSecond: () => 8,
        urgentBatchesPerSecond: () => 27,
        maxPendingEntries: 100,
        onFenced: () => {},
        homeOptions: () => ({
            clock,
            random,
            log,
            meter,
            objects,
            membership: known,
            newAttemptId: taskId => `${taskId}@1`,
            policyOf: () => policy,
            classOf: () => batch,
            ownerCapacities: () => [],
            withinQuota: () => true,
            call: async () => ({}) as never,
            mayAct: own.mayAct,
            pumpIntervalMs,
            reconcileIntervalMs,
            starvationMs,
            earlyStartMs,
            snapshotBatches,
            maintainIntervalMs,
            retentionMs,
            closeTimeoutMs: 1_000,
        }),
    });
    const owned: VersionedUnit = { ...unit, version: put.outcome === "committed" ? put.version : 0 };
    await homes.unitHandler.acquire(owned);
    await clock.advance(10);
    return { homes, own };
};

const homesExample = async (): Promise<string> =>
    `${(await makeHomes(createSurroundings())).homes.held().length} home is held`;

const home = async (): Promise<string> => {
    const surroundings = createSurroundings();
    const { homes } = await makeHomes(surroundings);
    const accepted = homes.own()?.submit(spec);
    await surroundings.clock.advance(10);
    return `${(await accepted)?.spec.jobId} is accepted`;
};

const jobs = async (): Promise<string> => {
    const surroundings = createSurroundings();
    const { homes, own } = await makeHomes(surroundings);
    const configuration = { version: 0, document: initialDocument, author: "", reason: "", acceptedAtMs: 0 };
    const calls = createJobs({
        table: surroundings.platform.table,
        membership: surroundings.known,
        homes,
        configuration: () => configuration,
        vms: () => [workerVm],
        acceptsJobs: () => true,
        mayAct: own.mayAct,
        call: async () => ({}) as never,
        callAll: async () => ({ answers: [], unreachable: [] }),
    });
    const first = calls.submit(spec);
    await surroundings.clock.advance(10);
    return (await first).homeId === (await calls.submit(spec)).homeId ? "the same answer twice" : "another answer";
};

const rackOwner = async (): Promise<string> => {
    const { clock, platform, known } = createSurroundings();
    known.setListing(await platform.vmList.list());
    const worker = createWorker(clock, "w1", capacity);
    const port: WorkerPort = {
        start: async (_address, order) => worker.start(order),
        poll: (_address, poll) => worker.poll(poll),
        stop: async (_address, orders) => worker.stop(orders),
        throttle: async (_address, attemptId, cpuMillis) => worker.throttle(attemptId, cpuMillis),
    };
    const { leaseMs, pollWaitMs, startValidityMs, reservationMs, starvationMs } = defaultNodeSettings;
    const owner = createRackOwner({
        clock,
        random,
        log,
        meter,
        workers: port,
        membership: known,
        daemonId: () => "vm-1~1",
        mayAct: () => true,
        policyOf: () => policy,
        onDecision: () => {},
        report: async () => [],
        leaseMs,
        pollWaitMs,
        startValidityMs,
        reservationMs,
        starvationMs,
    });
    await owner.unitHandler.acquire({
        key: `unit/rack/${dataCentre}/r1`,
        kind: "rack",
        dataCentre,
        name: "r1",
        owner: "vm-1~1",
        version: 1,
    });
    await clock.advance(100);
    const offer = { ...attemptSpec, policy: "pack", waitedMs: 0, keepKey: attemptSpec.taskId, gang: false, avoid: [] };
    const placements = owner.place({ homeId: "home-1", homeVersion: 1, offers: [offer] });
    const states = await owner.start({ homeId: "home-1", homeVersion: 1, attempts: placements });
    return `${states["a1"]} on ${placements[0]?.workerId}`;
};

const homeRecovery = async (): Promise<string> => {
    const { platform, known } = createSurroundings();
    known.setListing(await platform.vmList.list());
    const key = "unit/rack/leon-feria/r1";
    const owner: SessionRow = {
        sessionId: "vm-2~1",
        vmId: "vm-2",
        incarnation: 1,
        dataCentre,
        address: "",
        state: "live",
        listedGeneration: -1,
        deputy: "",
        beat: 0,
    };
    const rack = { key, kind: "rack", dataCentre, name: "r1", owner: "vm-2~1" };
    known.setRows([{ key: "session/vm-2", version: 1, value: owner }], [{ key, version: 2, value: rack }], 0);
    const answer = { attempts: [], decidedRacks: [key] };
    const tryRecovery = createHomeRecovery({
        homeId: "home-1",
        homeVersion: 1,
        dataCentre,
        membership: known,
        call: async () => answer as never,
        adopt: async () => {},
    });
    return await tryRecovery() ? "recovered" : "not yet";
};

const attemptOwners = (): string => {
    const { known } = createSurroundings();
    const calls = createAttemptOwners({
        homeId: "home-1",
        homeVersion: 1,
        membership: known,
        log,
        call: async () => ({}) as never,
        onStartUnknown: () => {},
    });
    return calls.tenureOf("unit/rack/leon-feria/r1") ?? "no owner is known";
};

const preemptor = (): string => {
    const clock = createFakeClock();
    const ledger = createLedger();
    const table = createAttempts(clock, ledger);
    const worker = createOwnedWorker();
    ledger.addWorker("w1", "r1", capacity);
    ledger.setOpen("w1", true);
    ledger.reserve("w1", "a1", capacity);
    table.track(worker, { ...attemptSpec, size: capacity }, "home-1", "running");
    const preemptOrEarmark = createPreemptor({
        clock,
        meter,
        ledger,
        earmarks: createEarmarks({ clock, earmarkMs: 10_000, workersPerEarmark: 4 }),
        attempts: table,
        workers: new Map([["w1", worker]]),
        starvationMs: 5_000,
        onEarmarked: () => {},
        stop: () => {},
    });
    const urgent = {
        ...attemptSpec,
        attemptId: "a2",
        taskId: "barrier-plan/0",
        priority: 9,
        policy: "pack",
        waitedMs: 0,
        keepKey: "barrier-plan/0",
        gang: false,
        avoid: [],
    };
    return preemptOrEarmark(urgent) ?? "no room";
};

const nodeSettings = (): string => `leases of ${defaultNodeSettings.leaseMs} ms`;

/** The examples by module name; each returns a line that the feature compares. */
export const ownershipExamples = {
    homeRecovery,
    attemptOwners,
    preemptor,
    nodeSettings,
    session,
    deputy,
    attempts,
    reportOutbox,
    workerReport,
    quarantine,
    usage,
    earmarks,
    bucket,
    outcomes,
    placer,
    snapshots,
    homes: homesExample,
    home,
    jobs,
    rackOwner,
};
