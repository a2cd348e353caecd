/** Examples of the parts of a shard; each is a complete embedding of one module. */

import {
    createFakeClock,
    createFakeRowStore,
    createShardCell,
    type FakeClock,
    plainStep,
    quietLog,
    quietMeter,
    testQueue,
    workerEntry,
} from "@puffinarch/stand-ins";
import {
    adoptRun,
    allowsTrial,
    applyEnd,
    avoidedBy,
    chooseVictims,
    claimOrder,
    claimReasons,
    claimShard,
    countCrash,
    countShortOffices,
    countStands,
    crashedRuns,
    createAcceptance,
    createAdviceAsker,
    createAdviceDesk,
    createBatchWriter,
    createChooser,
    createCommitLog,
    createFalls,
    createFirstLooks,
    createForward,
    createLateOrders,
    createLostRuns,
    createPacer,
    createPeers,
    createPlacing,
    createRoomView,
    createRowReader,
    createShardWorkers,
    createTaskReview,
    createWaveRows,
    createWorkerWatch,
    decodeMember,
    decodeRow,
    defaultShardSettings,
    encodeJob,
    enterLife,
    extendLease,
    type FencedWorkerPort,
    followerPauseMs,
    formatTaskName,
    handOver,
    inTurn,
    isHeldUp,
    isOtherLife,
    isSettledByLook,
    isTimeToAsk,
    isWaiting,
    journalTable,
    kindOf,
    leaveLife,
    lifeOf,
    mayGoDown,
    memberTable,
    newJob,
    newWorker,
    openWorkerLink,
    passesRests,
    patienceFactor,
    type Peers,
    placeDelayMs,
    placesIn,
    planRoom,
    readAllRows,
    restoreJobs,
    roomOf,
    type Row,
    runsToMove,
    sequenceKey,
    type ShardJob,
    type ShardOwner,
    type ShardRun,
    showSound,
    startable,
    startShardOwner,
    startUpkeep,
    submissionSchema,
    taskWaitOf,
    unreadableOwner,
    watchOwner,
    watchReadiness,
    watchTable,
    watchWorkerList,
    withUndecided,
    type WorkerEntry,
} from "puffinarch";
import { z } from "zod";

const log = quietLog;
const meter = quietMeter;
const part = "shard-0";
const owner = {
    memberId: "entry-1",
    address: "http://127.0.0.1:7100",
    dataCentre: "leon-feria",
    incarnation: "1",
    claimId: "1",
};

const submission = {
    jobId: "5c0e7a21d94b36f8",
    queueKey: testQueue.key,
    dataCentre: "leon-feria",
    payload: "plan",
    steps: [plainStep, { ...plainStep, after: [0] }],
    schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
};

const exampleJob = (): ShardJob => newJob(submission, testQueue, { acceptedAtMs: 0, order: 1 });

const taskOf = (job: ShardJob, step = 0) => {
    const task = job.occurrences.get(0)?.steps[step]?.tasks[0];
    if (task === undefined) {
        throw new Error("the job has no such step");
    }
    return task;
};

const openWorker = () => {
    const worker = newWorker(workerEntry("i-1", 1), 0);
    worker.certain = true;
    worker.clock = { localMs: 0, clockMs: 1_000 };
    return worker;
};

const runOf = (job: ShardJob): ShardRun => ({
    task: taskOf(job),
    run: 1,
    workerId: "i-1",
    bornAtMs: undefined,
    address: "",
    held: plainStep.size,
    phase: "running",
    sentAtMs: undefined,
    settledAtMs: 0,
    shown: true,
    startedAtMs: 0,
    percent: 100,
    figure: 0,
    idleSinceMs: undefined,
});

const jobBook = (): string => {
    const job = exampleJob();
    applyEnd(taskOf(job), 1, "done", "", 1_000);
    applyEnd(taskOf(job, 1), 1, "done", "", 2_000);
    return job.state;
};

const jobRows = (): string => {
    const job = exampleJob();
    taskOf(job).lastRun = 1;
    taskOf(job).runs.push(runOf(job));
    const rows = encodeJob(job).puts.map(put => ({ ...put, part, version: 1 }));
    const [run] = restoreJobs(rows, createRowReader({ log, meter }), 0).runs;
    return `${run?.taskName} ran on ${run?.workerId}`;
};

const acceptance = async (): Promise<string> => {
    const jobs = new Map<string, ShardJob>();
    const commits = {
        commit: async () => {},
        withdraw: () => true,
        stalledMs: () => 5_000,
        answeredAtMs: () => 0,
        idle: async () => {},
        probe: () => {},
        stop: () => {},
    };
    const submit = createAcceptance({
        clock: createFakeClock(),
        log,
        meter,
        settings: defaultShardSettings,
        jobs,
        queueOf: () => testQueue,
        nextOrder: 1,
        commits,
        commit: () => new Promise(() => {}),
        consider: () => {},
        takeBack: () => {},
        endedKnown: Promise.resolve(new Map()),
        endOfOffice: new Promise<never>(() => {}),
    });
    const refusal = await submit({ ...submission, steps: [plainStep] }).catch(kindOf);
    return `${String(refusal)}, ${jobs.size} jobs`;
};

const commitLog = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock);
    const commits = createCommitLog({
        clock,
        log,
        meter,
        store: store.connect("entry-1"),
        part,
        ownerVersion: 0,
        sequenceVersion: 0,
        storeMs: 8,
        claimId: "1",
        encode: jobId => ({ puts: [{ table: "puffinarch-journal", key: `state/${jobId}`, value: "{}" }], removes: [] }),
        onFenced: () => {},
    });
    const written = Promise.all(["a", "b", "c"].map(jobId => commits.commit(jobId)));
    await clock.advance(100);
    await written;
    return `3 jobs in ${store.transactions()} transaction`;
};

const batchWriter = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock);
    const writer = createBatchWriter({
        clock,
        log,
        meter,
        store: store.connect("entry-1"),
        part,
        ownerVersion: 0,
        storeMs: 8,
        onAnswer: () => {},
        isStopped: () => false,
    });
    const marker = { table: journalTable, part, key: sequenceKey };
    const transaction = { expect: [{ ...marker, version: 0 }], puts: [{ ...marker, value: "first" }], removes: [] };
    const version = writer.write({ batchId: "first", transaction });
    await clock.advance(10);
    return `in force at version ${await version}`;
};

const claim = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock).connect("entry-1");
    const options = {
        clock,
        log,
        store,
        part,
        owner,
        seenVersion: 0,
        wanted: () => true,
        heardToken: () => undefined,
        onClaimed: () => {},
        restorePatienceMs: 2_500,
        restoreWithinMs: 5_000,
    };
    const first = claimShard(options);
    await clock.advance(100);
    const second = claimShard({ ...options, owner: { ...owner, claimId: "2" } });
    await clock.advance(100);
    return `token ${(await first)?.fencingToken}, then ${(await second) === undefined ? "refused" : "claimed"}`;
};

const readRowsExample = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock);
    for (let number = 0; number < 120; number += 1) {
        store.put("workers", `worker-${number}`, {});
    }
    const read = readAllRows({
        clock,
        log,
        store: store.connect("entry-1"),
        table: "workers",
        part: "",
        wanted: () => true,
    });
    await clock.advance(100);
    return `${(await read)?.rows.length} rows`;
};

const readinessExample = async (): Promise<string> => {
    const clock = createFakeClock();
    const lines: string[] = [];
    const readiness = watchReadiness({
        clock,
        log: { write: (_level, event) => lines.push(event) },
        isLeaving: () => false,
        hasConfiguration: () => true,
        owns: () => clock.monotonicMs() < 500,
        wellAtMs: () => -Infinity,
        ownerAtWorkAtMs: () => Math.min(clock.monotonicMs(), 500),
        knownOwner: () => undefined,
        situation: () => ({}),
    });
    await clock.advance(2_000);
    readiness.close();
    return lines.join(", ");
};

const tableWatch = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock);
    const seen: string[] = [];
    const watch = watchTable({
        clock,
        log,
        store: store.connect("entry-1"),
        table: "operator",
        parts: [""],
        onRows: rows => seen.push(...rows.map(row => row.key)),
        onWhole: () => {},
    });
    await clock.advance(100);
    store.put("operator", "configuration", { version: 1 });
    await clock.advance(100);
    watch.stop();
    return `${seen.join(", ")} seen`;
};

const adviceDesk = async (): Promise<string> => {
    const clock = createFakeClock();
    const order: string[] = [];
    const desk = createAdviceDesk({
        clock,
        log,
        meter,
        lanes: () => ["entry-1"],
        call: async (_lane, { stepName }) => {
            order.push(stepName);
            return { good: [], validMs: 2_500 };
        },
    });
    const common = { workerIds: ["i-1"], costMs: 20, onAnswer: () => {}, onFailure: () => {}, wanted: () => true };
    desk.ask({ ...common, stepName: "first", priority: 2 });
    desk.ask({ ...common, stepName: "batch", priority: 2 });
    desk.ask({ ...common, stepName: "urgent", priority: 0 });
    await clock.advance(10);
    return order.join(", ");
};

const chooser = (): string => {
    const job = exampleJob();
    const task = taskOf(job);
    const full = openWorker();
    const free = { ...openWorker(), workerId: "i-2", entry: workerEntry("i-2", 2) };
    full.held = full.entry.capacity;
    for (const workerId of ["i-1", "i-2"]) {
        task.step.advice.good.set(workerId, { ticket: "t", validUntilMs: 9_000 });
    }
    return createChooser(task.step, new Map([full, free].map(worker => [worker.workerId, worker])), {
        nowMs: 0,
        view: createRoomView(0),
        packing: "spread",
    }).choose(task)
        ?.workerId ?? "none";
};

const avoidance = (): string => {
    const task = taskOf(exampleJob());
    const tried = openWorker();
    const full = { ...openWorker(), workerId: "i-2", entry: workerEntry("i-2", 2) };
    full.held = full.entry.capacity;
    const workers = new Map([tried, full].map(worker => [worker.workerId, worker]));
    task.failedOn.set("i-1", 0);
    const count = (nowMs: number): string => `${avoidedBy(task, { workers, nowMs }).size} after ${nowMs} ms`;
    return `${count(1_000)}, ${count(3_000)}`;
};

const eligible = (): string => {
    const step = { ...taskOf(exampleJob()).step, spec: { ...plainStep, count: 3 } };
    return `${placesIn({ cpuMillis: 2_500, memoryMib: 4_000, accelerators: 0 }, step, 0)} of ${step.spec.count}`;
};

const askAhead = (): string => {
    const job = exampleJob();
    const second = taskOf(job, 1).step;
    const early = isTimeToAsk(second);
    taskOf(job).runs.push(runOf(job));
    return `${early ? "now" : "not yet"}, then ${isTimeToAsk(second) ? "now" : "not yet"}`;
};

const roomView = (): string => {
    const worker = openWorker();
    const urgent = taskOf(exampleJob()).step;
    const other = taskOf(newJob(submission, { ...testQueue, priority: 2 }, { acceptedAtMs: 0, order: 2 })).step;
    const view = createRoomView(0);
    view.keep({ step: urgent, workerId: "i-1", held: worker.entry.capacity, freeAtMs: 100, victims: [] });
    return `${view.roomFor(worker, urgent).cpuMillis} for it, ${view.roomFor(worker, other).cpuMillis} for others`;
};

const heldUp = (): string => {
    const worker = openWorker();
    const task = taskOf(exampleJob());
    const { step } = task;
    step.advice.good.set("i-1", { ticket: "t", validUntilMs: 9_000 });
    worker.restsUntilMs = 4_000;
    step.heldUpAtMs = isHeldUp(step, { workers: new Map([["i-1", worker]]), nowMs: 100 }) ? 100 : undefined;
    const passed = [100, 1_100, 2_100, 3_100].filter(nowMs => passesRests(task, nowMs));
    return `after ${passed.join(", ")} ms`;
};

const plan = (): string => {
    const large = { ...plainStep, size: { ...plainStep.size, cpuMillis: 8_000 } };
    const job = newJob({ ...submission, steps: [large] }, testQueue, { acceptedAtMs: 0, order: 1 });
    const { step } = taskOf(job);
    const workers = new Map(["i-1", "i-2"].map(workerId => [workerId, { ...openWorker(), workerId }]));
    for (const workerId of workers.keys()) {
        step.advice.good.set(workerId, { ticket: "t", validUntilMs: 9_000 });
    }
    const busy = { ...runOf(exampleJob()), held: plainStep.size };
    const first = workers.get("i-1");
    if (first !== undefined) {
        first.held = busy.held;
        first.runs.set("busy", busy);
    }
    const view = createRoomView(100);
    const options = { step, waiting: 2, workers, view, nowMs: 100, stopMs: 200, slackMs: 5_000 };
    return planRoom(options).map(each => `${each.workerId} in ${each.freeAtMs - 100} ms`).join(", ");
};

const urgency = (): string => {
    const workers = new Map([["i-1", openWorker()]]);
    const clock = createFakeClock();
    const nowMs = clock.nowMs();
    const early = newJob(submission, testQueue, { acceptedAtMs: nowMs - 3_000, order: 1 });
    const later = newJob(submission, testQueue, { acceptedAtMs: nowMs, order: 2 });
    const steps = [early, later].map(job => taskOf(job).step);
    const ranked = inTurn(steps, { clock, workers, order: "due" });
    return ranked.map(({ step, standing }) => `${step.occurrence.job.order} ${standing}`).join(", ");
};

const askAdvice = async (): Promise<string> => {
    const clock = createFakeClock();
    const { step } = taskOf(exampleJob());
    const call = async () => ({ good: [{ workerId: "i-1", ticket: "t" }], validMs: 2_500 });
    const desk = createAdviceDesk({ clock, log, meter, lanes: () => ["entry-1"], call });
    const workers = new Map([["i-1", openWorker()]]);
    const options = { clock, log, meter, settings: defaultShardSettings, workers, desk, onAnswer: () => {} };
    const view = createRoomView(0);
    createAdviceAsker(options).askFor({ step, waiting: 2, reservations: [], view, nowMs: 0 });
    await clock.advance(10);
    return `may run on ${[...step.advice.good.keys()].join(", ")}`;
};

const preempt = (): string => {
    const batchQueue = { ...testQueue, priority: 2 };
    const batch = newJob(
        { ...submission, steps: [{ ...plainStep, checkpointing: true }] },
        batchQueue,
        { acceptedAtMs: 0, order: 1 },
    );
    const worker = openWorker();
    worker.held = worker.entry.capacity;
    worker.runs.set("batch", runOf(batch));
    const need = plainStep.size;
    const victims = chooseVictims(worker, { need, room: roomOf(worker), priority: 0 });
    return `${victims?.length} run stops`;
};

const evacuate = (): string => {
    const job = newJob(
        { ...submission, steps: [{ ...plainStep, count: 2, longRunning: true, mayMiss: 1 }] },
        testQueue,
        { acceptedAtMs: 0, order: 1 },
    );
    const worker = openWorker();
    worker.runs.set("only", runOf(job));
    return `${runsToMove(worker, 5_000).length} moves while the other is away; ${
        mayGoDown(worker) ? "ready" : "not ready"
    }`;
};

const upkeep = async (): Promise<string> => {
    const clock = createFakeClock();
    const saved: string[] = [];
    const waves = startUpkeep({
        clock,
        log,
        meter,
        port: {
            list: async () => [{ vmId: "vm-1", state: "up", workerId: "i-1" }],
            upkeep: async () => "done",
        },
        holderId: "entry-1",
        fencingToken: 7,
        workers: new Map(),
        stop: () => {},
        lose: () => {},
        settleMs: 0,
        rows: {
            read: async () => new Map(),
            record: async () => true,
            show: async (_wave, state) => {
                saved.push(state);
                return true;
            },
        },
    });
    waves.update([{ number: 1, vmIds: ["vm-1"], deadlineMs: 10_000, atOnce: 1 }]);
    await clock.advance(1_000);
    waves.close();
    return saved.join(", ");
};

const waveRows = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock);
    const rows = createWaveRows({
        clock,
        log,
        store: store.connect("entry-1"),
        part,
        ownerVersion: 0,
        stateRow: (wave, state) => ({ table: "status", part: "", key: `wave/${wave}`, value: state }),
        reader: createRowReader({ log, meter }),
        isClosed: () => false,
    });
    const written = rows.record(3, { begun: new Set(["vm-1"]), ordered: new Map([["vm-1", 7]]) });
    await clock.advance(20);
    const read = rows.read();
    await clock.advance(20);
    return `${await written}, ${(await read).get(3)?.begun.size} begun`;
};

const pacer = (): string => {
    const worker = openWorker();
    const serving = newJob(
        { ...submission, steps: [{ ...plainStep, latencyObjectiveMs: 100 }] },
        testQueue,
        { acceptedAtMs: 0, order: 1 },
    );
    const filling = newJob(
        { ...submission, steps: [{ ...plainStep, fills: true }] },
        testQueue,
        { acceptedAtMs: 0, order: 2 },
    );
    worker.runs.set("serving", { ...runOf(serving), figure: 120 });
    worker.runs.set("filling", runOf(filling));
    const paced: number[] = [];
    createPacer({ clock: createFakeClock(), log }).review(worker, (_run, percent) => paced.push(percent));
    return `paced to ${paced.join(", ")} percent`;
};

const placing = (): string => {
    const clock = createFakeClock();
    const planned: string[] = [];
    const job = exampleJob();
    taskOf(job).step.advice.good.set("i-1", { ticket: "t", validUntilMs: 9_000 });
    const desk = createAdviceDesk({
        clock,
        log,
        meter,
        lanes: () => [],
        call: () => Promise.reject(new Error("no lane")),
    });
    const all = createPlacing({
        clock,
        log,
        meter,
        settings: defaultShardSettings,
        workers: new Map([["i-1", openWorker()]]),
        desk,
        onPlanned: (_job, runs) => planned.push(...runs.map(run => `${run.task.name} on ${run.workerId}`)),
        onPreempt: () => {},
        wake: () => {},
    });
    all.consider(job);
    all.pass();
    return planned.join(", ");
};

const workerTable = (): string => {
    const worker = openWorker();
    const deadlineMs = extendLease(worker, 500, 5_000);
    return `until ${deadlineMs} on its clock, ${roomOf(worker).cpuMillis} free`;
};

const workerWatch = (): string => {
    const job = exampleJob();
    const task = taskOf(job);
    const worker = openWorker();
    const run = runOf(job);
    task.runs.push(run);
    worker.runs.set(`${task.name}#1`, run);
    const watch = createWorkerWatch({
        clock: createFakeClock(),
        log,
        meter,
        jobOf: () => job,
        onChange: () => {},
        othersAt: () => 0,
        onStuck: () => {},
        stop: () => {},
        stopUnknown: () => {},
        onFormerGone: () => {},
    });
    const ended = [{ endNumber: 7, taskName: task.name, run: 1, how: "done", checkpoint: "" }] as const;
    const newest = watch.take(worker, { outcome: "done", clockMs: 1_000, running: [], ended }, 10);
    return `end ${newest} taken, ${isWaiting(task) ? "waiting" : "done"}`;
};

const firstLooksExample = async (): Promise<string> => {
    const firstLooks = createFirstLooks(createFakeClock());
    let sent = 0;
    const ends: (() => void)[] = [];
    for (let count = 0; count < 30; count += 1) {
        void firstLooks.enter(() => true).then(answered => {
            sent += 1;
            ends.push(answered);
        });
    }
    await Promise.resolve();
    const before = sent;
    ends[0]?.();
    await Promise.resolve();
    return `${before} sent, then ${sent}`;
};

const workerLink = async (): Promise<string> => {
    const clock = createFakeClock();
    let looks = 0;
    const workers: FencedWorkerPort = {
        start: async () => "done",
        stop: async () => "done",
        pace: async () => "done",
        look: async () => {
            looks += 1;
            await new Promise<void>(resolve => {
                clock.setTimer(1_000, resolve);
            });
            return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] };
        },
    };
    const link = openWorkerLink(openWorker(), {
        clock,
        log,
        meter,
        workers,
        fencingToken: 7,
        leaseMs: 5_000,
        lookWaitMs: 1_000,
        firstLooks: createFirstLooks(clock),
        lateOrders: createLateOrders(clock),
        lookPauseMs: 250,
        orderPauseMs: 100,
        onLook: async () => {},
        onSilent: () => {},
        onLifeOver: () => {},
        onRestarted: () => {},
        onFenced: () => {},
        onNotStarted: () => {},
        onStarted: () => {},
    });
    await clock.advance(2_500);
    link.close();
    return `${looks} looks`;
};

const shardWorkers = async (): Promise<string> => {
    const clock = createFakeClock();
    const workers = createShardWorkers({
        clock,
        log,
        meter,
        settings: defaultShardSettings,
        port: {
            start: async () => "done",
            stop: async () => "done",
            pace: async () => "done",
            look: async () => ({ outcome: "otherLife" }),
        },
        fencingToken: 7,
        jobOf: () => undefined,
        changed: async () => {},
        onNextLife: () => {},
        onStarted: () => {},
        wake: () => {},
        onKnown: () => {},
        onFenced: () => {},
    });
    workers.update([workerEntry("i-1", 1)]);
    const before = workers.all.size;
    await clock.advance(100);
    return `${before} worker, then ${workers.all.size}, as its life was over`;
};

const shardOwner = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock).connect("entry-1");
    const claiming = claimShard({
        clock,
        log,
        store,
        part,
        owner,
        seenVersion: 0,
        wanted: () => true,
        heardToken: () => undefined,
        onClaimed: () => {},
        restorePatienceMs: 2_500,
        restoreWithinMs: 5_000,
    });
    await clock.advance(100);
    const claimed = await claiming;
    if (claimed === undefined) {
        return "not claimed";
    }
    const shard = startShardOwner({
        clock,
        log,
        meter,
        settings: defaultShardSettings,
        store,
        workers: {
            start: async () => "done",
            stop: async () => "done",
            pace: async () => "done",
            look: async () => ({ outcome: "unknown" }),
        },
        part,
        claimId: owner.claimId,
        claimed,
        adviceLanes: () => [],
        callAdvice: () => Promise.reject(new Error("no lane")),
        workersAgeMs: () => 0,
        onFenced: () => {},
    });
    shard.updateConfiguration({ version: 1, queues: [testQueue], maxHeaderBytes: 1, maxBodyBytes: 1 });
    const accepted = shard.submit(submission);
    await clock.advance(500);
    await accepted;
    const status = await shard.jobState(submission.jobId);
    shard.close();
    return `${submission.jobId} is ${status?.state}`;
};

const forward = async (): Promise<string> => {
    const clock = createFakeClock();
    const passing = createForward({
        clock,
        retryAfterMs: 1_000,
        shard: () => undefined,
        ownerAddress: () => undefined,
        ownerLostMs: () => clock.monotonicMs(),
        onNoAnswer: () => {},
    });
    const asked = passing.run({ local: async () => "here", remote: async () => "there", patienceMs: 2_000 })
        .catch((error: unknown) => `${kindOf(error)} after ${clock.monotonicMs()} ms`);
    await clock.advance(3_000);
    return asked;
};

const workerList = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock);
    store.put("workers", "i-1", workerEntry("i-1", 1));
    const told: string[] = [];
    const watch = watchWorkerList({
        clock,
        log,
        store: store.connect("entry-1"),
        table: "workers",
        readWorker: row => row.value === undefined ? undefined : JSON.parse(row.value) as WorkerEntry,
        onWorkers: entries => told.push(entries.map(entry => entry.workerId).join("+")),
    });
    await clock.advance(1_000);
    store.remove("workers", "i-1");
    await clock.advance(1_000);
    watch.stop();
    return told.map(each => each === "" ? "nobody" : each).join(", then ");
};

const examplePeers = (clock: FakeClock, claimed: boolean): Peers => {
    const peers = createPeers({
        clock,
        log,
        self: owner,
        members: {
            call: async (_address, name) =>
                (name === "handOver" ? { claimed } : { incarnation: "9", leaving: false, ownedToken: 0 }) as never,
        },
        reader: createRowReader({ log, meter }),
        ownerVersion: () => 0,
        onOwner: () => {},
    });
    const peer = { memberId: "entry-2", address: "http://127.0.0.1:7101", dataCentre: "leon-feria", incarnation: "9" };
    peers.take([{ table: "member", part: "", key: "entry-2", value: JSON.stringify(peer), version: 1 }]);
    return peers;
};

const peersExample = async (): Promise<string> => {
    const clock = createFakeClock();
    const peers = examplePeers(clock, false);
    const before = peers.live().length;
    await Promise.all([...peers.all.values()].map(peer => peers.ping(peer)));
    return `${before} daemon, then ${peers.live().join(" and ")}`;
};

const memberRows = (): string => {
    const row = (key: string): Row => ({
        table: memberTable,
        part: "",
        key,
        value: JSON.stringify({ memberId: "entry-2", address: "http://a:1", dataCentre: "d", incarnation: "9" }),
        version: 1,
    });
    const known = decodeMember(row("entry-2"));
    const other = decodeMember(row("entry-3"));
    const noOwner = unreadableOwner(7).row.memberId;
    return `${known.kind === "entry" ? known.entry.memberId : ""}, then ${
        other.kind === "unreadable" ? other.field : ""
    } cannot be read, then ${noOwner === "" ? "nobody" : noOwner}`;
};

const rowReader = (): string => {
    let lines = 0;
    const reader = createRowReader({ log: { write: () => lines += 1 }, meter });
    const row = { table: "workers", part: "", key: "i-1", value: "{", version: 4 };
    const schema = z.object({ address: z.string() });
    const entries = [row, row, { ...row, value: '{"address":"10.0.0.9:80"}', version: 5 }].flatMap(each =>
        reader.entryOf(each, decodeRow(each, schema)) ?? []
    );
    return `${lines} line, ${entries.length} entry`;
};

const jobRowSchemas = (): string => {
    const steps = [{ count: 1, size: { cpuMillis: 1, memoryMib: 1, accelerators: 0 } }];
    const schedule = { startAtMs: 0, intervalMs: 0, repeatCount: 0 };
    const submission = { jobId: "5c0e7a21d94b36f8", queueKey: "q", payload: "", steps, schedule };
    const queue = { key: "q", host: "h", pathPrefix: "/", service: "s", priority: 0, attempts: 1, timeoutMs: 1 };
    const stored = submissionSchema.parse({ submission, queue, acceptedAtMs: 1, order: 1 });
    return stored.submission.steps[0]?.longRunning === false && stored.queue.stretch === 0 ? "done with defaults" : "";
};

const decode = (): string => {
    const schema = z.object({ wave: z.number("a number") });
    const shown = ['{"wave":3}', '{"wave":"x"}', "{", undefined].map(value => {
        const decoded = decodeRow({ value }, schema);
        return decoded.kind === "unreadable" ? `unreadable at ${decoded.field}` : decoded.kind;
    });
    return shown.join(", ");
};

const probes = (): string => {
    const candidates = Array.from({ length: 97 }, (_, index) => ({
        memberId: `entry-${index}`,
        strong: index % 10 === 0,
    }));
    const order = claimOrder(candidates, 7);
    const strongAhead = order.findIndex(({ strong }) => !strong);
    const pauseMs = followerPauseMs(candidates.length, 200);
    return `${strongAhead} strong ones first, ${pauseMs} ms between two pings, ${
        placeDelayMs(20, 120)
    } ms for place 20`;
};

const handOverExample = async (): Promise<string> => {
    const clock = createFakeClock();
    const peers = examplePeers(clock, true);
    await Promise.all([...peers.all.values()].map(peer => peers.ping(peer)));
    const shard = { fencingToken: 7, idle: async () => {} } as ShardOwner;
    return await handOver(shard, "leaving", { clock, log, peers, selfId: "entry-1", isOver: () => false })
        ? "claimed by a peer"
        : "kept";
};

const ownerWatch = async (): Promise<string> => {
    const clock = createFakeClock();
    const claims: string[] = [];
    const watch = watchOwner({
        clock,
        log,
        self: { ...owner, incarnation: "2" },
        peers: examplePeers(clock, false),
        known: () => ({ row: owner, version: 7 }),
        owns: () => claims.length > 0,
        isSettled: () => true,
        isResting: () => false,
        isLeaving: () => false,
        readOwner: async () => true,
        claim: async (version, why) => claims.push(`${version} ${why}`),
        onAnswer: () => {},
        onOwnerAnswer: () => {},
        onOwnRound: () => {},
        onPeersPinged: () => {},
    });
    await clock.advance(1_000);
    watch.close();
    return claims.join(", ");
};

const cellMember = async (): Promise<string> => {
    const cell = createShardCell({ members: 3, workers: 2, seed: 1 });
    await cell.clock.advance(2_000);
    const first = cell.owner();
    cell.kill(first ?? "");
    await cell.clock.advance(2_000);
    return cell.owner() === undefined || cell.owner() === first ? "nobody took over" : "another daemon owns the shard";
};

const crashes = (): string => {
    const job = exampleJob();
    const worker = openWorker();
    const run = { ...runOf(job), startedAtMs: 990 };
    adoptRun(worker, run);
    for (const crashed of crashedRuns(worker, 1_000)) {
        countCrash(crashed, { others: 0, nowMs: 1_000 });
    }
    const { crashes: counted } = run.task;
    showSound(run, 9_000);
    return `${counted} crash, then ${run.task.crashes}`;
};

const lostRuns = (): string => {
    const worker = openWorker();
    adoptRun(worker, { ...runOf(exampleJob()), startedAtMs: 990 });
    const lost = createLostRuns();
    lost.lose({ workerId: "i-1", bornAtMs: undefined, address: "10.0.0.1:1" }, crashedRuns(worker, 1_000), 1_000);
    return `${lost.replaced("10.0.0.1:1", "i-2").length} run was lost with i-1`;
};

const lateOrders = async (): Promise<string> => {
    const clock = createFakeClock();
    const late = createLateOrders(clock);
    const order = { taskName: "5c0e7a21d94b36f8.0.1.17", run: 2 };
    late.note("i-1", order);
    const before = late.of("i-1").length;
    await clock.advance(13_000);
    return `${before} order, then ${late.has("i-1", order) ? "still one" : "none"}`;
};

const lives = (): string => {
    const { workerId, bornAtMs } = lifeOf({ ...openWorker(), bornAtMs: 1_000 });
    const next = isOtherLife(bornAtMs, 900) ? "another life" : "the same life";
    return `${workerId}, then ${next}; ${isOtherLife(undefined, 900) ? "another" : "maybe the same"}`;
};

const nextLife = (): string => {
    const clock = createFakeClock();
    const former = { ...openWorker(), bornAtMs: 500 };
    const job = exampleJob();
    const [shown, unshown] = [runOf(job), { ...runOf(job), run: 2, shown: false }];
    adoptRun(former, shown);
    adoptRun(former, unshown);
    const late = createLateOrders(clock);
    const left = leaveLife(former, late, 1_000);
    const next = enterLife(former, left, { bornAtMs: 900, listed: undefined, horizonMs: 11_000 });
    const settled = isSettledByLook(unshown, late) ? "by its next look" : "by a stop";
    const suspects = withUndecided(next, left.suspects).length;
    return `${next.runs.size} of 2 runs may be there, settled ${settled}; ${suspects} may have crashed the life before`;
};

const falls = (): string => {
    const all = createFalls();
    const first = { workerId: "i-1", bornAtMs: 500 };
    const second = { workerId: "i-2", bornAtMs: 500 };
    all.note(first, 1_000, []);
    all.note(second, 1_100, []);
    all.answered(second);
    all.answered({ ...first, bornAtMs: 1_200 });
    return `${all.othersAt(1_050, exampleJob())} worker fell`;
};

const trials = (): string => {
    const worker = openWorker();
    const job = exampleJob();
    const task = taskOf(job);
    task.crashes = 2;
    adoptRun(worker, runOf(exampleJob()));
    const now = { workers: new Map([["i-1", worker]]), nowMs: 100 };
    const chosen = startable(task.step, [task], now).length;
    return `${chosen} task, ${allowsTrial(worker, task, 100) ? "beside others" : "by itself"}`;
};

const shortOffices = (): string => {
    const previous = { shortOffices: 1 };
    const busy = countShortOffices({ previous, lastedMs: 1_200, why: claimReasons.ownerSilent });
    const lasting = countShortOffices({ previous, lastedMs: 60_000, why: claimReasons.ownerSilent });
    return `${patienceFactor({ shortOffices: busy })} times, then ${patienceFactor({ shortOffices: lasting })}`;
};

const taskWait = (): string => {
    const { step } = taskOf(exampleJob());
    const worker = openWorker();
    const now = { workers: new Map([["i-1", worker]]), nowMs: 100 };
    const before = taskWaitOf(taskOf(step.occurrence.job), countStands(step, now), now);
    step.advice.good.set("i-1", { ticket: "t", validUntilMs: 9_000 });
    worker.held = worker.entry.capacity;
    return `${before}, then ${taskWaitOf(taskOf(step.occurrence.job), countStands(step, now), now)}`;
};

const taskReview = (): string => {
    const job = exampleJob();
    job.stored = true;
    const considered: string[] = [];
    const review = createTaskReview({
        clock: createFakeClock(),
        log,
        meter,
        jobs: new Map([[submission.jobId, job]]),
        workers: new Map([["i-1", openWorker()]]),
        placing: { holds: () => considered.length > 0, consider: each => considered.push(each.submission.jobId) },
    });
    return `${review.run()} step put back, then ${review.run()}`;
};

/** One example for each module of `core/shard`, by the module's name. */
export const shardExamples: Readonly<Record<string, () => string | Promise<string>>> = {
    adviceDesk,
    askAhead,
    avoidance,
    eligible,
    cellMember,
    acceptance,
    batchWriter,
    chooseWorker: chooser,
    claimShard: claim,
    commitLog,
    evacuate,
    handOver: handOverExample,
    ownerWatch,
    readRows: readRowsExample,
    readiness: readinessExample,
    decode,
    jobRowSchemas,
    memberRows,
    peers: peersExample,
    probes,
    rowReader,
    firstLooks: firstLooksExample,
    forward,
    jobBook,
    jobRows,
    pacer,
    placing,
    preempt,
    roomView,
    heldUp,
    planRoom: plan,
    urgency,
    askAdvice,
    shardOwner,
    shardWorkers,
    shardSettings: () => `leases of ${defaultShardSettings.leaseMs} ms`,
    shardTables: () => sequenceKey,
    crashes,
    lostRuns,
    lives,
    lateOrders,
    nextLife,
    falls,
    trials,
    shortOffices,
    tableWatch,
    taskReview,
    taskWait,
    upkeep,
    waveRows,
    workerLink,
    workerList,
    workerTable,
    workerWatch,
    taskName: () => formatTaskName({ jobId: "5c0e7a21d94b36f8", occurrence: 0, step: 1, index: 17 }),
};
