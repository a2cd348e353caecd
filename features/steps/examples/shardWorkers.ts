/** Examples of how an owner watches, moves and paces runs on its workers; each example uses one module by itself. */

import { createFakeClock, createFakeRowStore, plainStep, testQueue, workerEntry } from "@puffinarch/stand-ins";
import {
    createDelayedStarts,
    createFirstLooks,
    createGangWatch,
    createGuard,
    createLookSlots,
    createPacer,
    createRowReader,
    createShardWorkers,
    createWaveRows,
    createWorkerWatch,
    defaultShardSettings,
    extendLease,
    type FencedWorkerPort,
    freeCapacityOf,
    isWaiting,
    mayGoDown,
    newJob,
    newRun,
    openWorkerLink,
    runsToMove,
    startUpkeep,
    watchWorkerList,
    withAnswers,
    type WorkerEntry,
} from "puffinarch";
import { exampleJob, log, meter, openWorker, part, runOf, submission, taskOf } from "./shardFixtures.js";

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
        onIncarnationEnded: () => {},
        staleOrderWindowMs: 0,
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

const workerTable = (): string => {
    const worker = openWorker();
    const deadlineMs = extendLease(worker, 500, 5_000);
    return `until ${deadlineMs} on its clock, ${freeCapacityOf(worker).cpuMillis} free`;
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
        countOthersAt: () => 0,
        onStuck: () => {},
        stop: () => {},
        stopUnknown: () => {},
        onFormerGone: () => {},
        onMemberLost: () => {},
        onAbsent: () => {},
        fencingToken: 7,
        lookAgain: () => {},
        refuse: () => {},
        stopMs: 900,
        claimedAtMs: 0,
    });
    const ended = [{ endNumber: 7, taskName: task.name, run: 1, how: "done", checkpoint: "" }] as const;
    const newest = watch.applyLook(worker, { outcome: "done", clockMs: 1_000, running: [], ended }, 10);
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

const workerAnswers = (): Promise<string> => {
    const fails = async (): Promise<never> => Promise.reject(new Error("the address cannot be used"));
    const port = withAnswers(
        { start: fails, stop: fails, pace: fails, look: fails },
        createGuard({ clock: createFakeClock(), log }),
    );
    return port.stop({ workerId: "i-1", address: "" }, { taskName: "a.0.0.0", run: 1, fencingToken: 7 }, 600);
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
        stopMs: 900,
        leaseLimitMs: 10_000,
        mayGetFormerLooks: false,
        lookWaitMs: 1_000,
        firstLooks: createFirstLooks(clock),
        delayedStarts: createDelayedStarts(clock),
        lookSlots: createLookSlots(clock),
        lookPauseMs: 250,
        orderPauseMs: 100,
        unansweredStartMs: 6_500,
        ticketsNameIncarnation: false,
        onLook: async () => {},
        onSilent: () => {},
        onIncarnationOver: () => {},
        onRestarted: () => {},
        onFenced: () => {},
        onNotStarted: () => {},
        onStarted: () => {},
        onUnanswered: async () => {},
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
            look: async () => ({ outcome: "otherIncarnation" }),
        },
        fencingToken: 7,
        jobOf: () => undefined,
        changed: async () => {},
        onNextIncarnation: () => {},
        onStarted: () => {},
        wake: () => {},
        onRunsKnown: () => {},
        onFenced: () => {},
    });
    workers.update([workerEntry("i-1", 1)]);
    const before = workers.all.size;
    await clock.advance(100);
    return `${before} worker, then ${workers.all.size}, as its incarnation was over`;
};

const workerList = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock);
    store.put("workers", "i-1", workerEntry("i-1", 1));
    const reported: string[] = [];
    const watch = watchWorkerList({
        clock,
        log,
        store: store.connect("entry-1"),
        table: "workers",
        readWorker: row => row.value === undefined ? undefined : JSON.parse(row.value) as WorkerEntry,
        onWorkers: entries => reported.push(entries.map(entry => entry.workerId).join("+")),
    });
    await clock.advance(1_000);
    store.remove("workers", "i-1");
    await clock.advance(1_000);
    watch.stop();
    return reported.map(each => each === "" ? "nobody" : each).join(", then ");
};

const gangWatch = async (): Promise<string> => {
    const clock = createFakeClock();
    const stopped: string[] = [];
    const watch = createGangWatch({
        clock,
        log,
        meter,
        gangWaitMs: 3_000,
        stop: ({ task }) => stopped.push(task.name),
    });
    const job = newJob({ ...submission, steps: [{ ...plainStep, count: 2, gang: true }] }, testQueue, {
        acceptedAtMs: 0,
        order: 1,
    });
    for (const task of taskOf(job).step.tasks) {
        const run = newRun(task, "i-1", 1, { startedAtMs: task.index === 0 ? 0 : undefined });
        task.runs.push(run);
        watch.watch(run);
    }
    watch.review();
    const before = stopped.length;
    await clock.advance(2_000);
    watch.review();
    return `${before} stopped, then ${stopped.length}`;
};

/** Examples of the modules about workers, by the module's name. */
export const shardWorkerExamples: Readonly<Record<string, () => string | Promise<string>>> = {
    evacuate,
    firstLooks: firstLooksExample,
    gangWatch,
    pacer,
    shardWorkers,
    upkeep,
    waveRows,
    workerAnswers,
    workerLink,
    workerList,
    workerTable,
    workerWatch,
};
