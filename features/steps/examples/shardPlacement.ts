/** Examples of how a shard chooses workers for tasks; each example uses one module by itself. */

import { createFakeClock, plainStep, testQueue, workerEntry } from "@puffinarch/stand-ins";
import {
    adoptRun,
    allowsTrial,
    avoidedBy,
    chooseVictims,
    countTasksThatFit,
    createAccounts,
    createAdviceCallSizer,
    createAdviceDispatcher,
    createAdviceRequester,
    createCapacityView,
    createCapView,
    createChooser,
    createFairShares,
    createRunTimes,
    createShortage,
    createSpeedsReport,
    createTaskPlacer,
    createTicketBudget,
    createUrgentArrivals,
    defaultShardSettings,
    explainJob,
    freeCapacityOf,
    inSchedulingOrder,
    isBlocked,
    listOrganisations,
    listSpeeds,
    mayUseRestingWorkers,
    newAccount,
    newJob,
    noResources,
    planHeadroom,
    planReservations,
    type RankedStep,
    roomyWorkers,
    shouldRequestAhead,
    startableTasks,
} from "puffinarch";
import { exampleJob, log, meter, openWorker, runOf, submission, taskOf } from "./shardFixtures.js";

const adviceDispatcher = async (): Promise<string> => {
    const clock = createFakeClock();
    const order: string[] = [];
    const dispatcher = createAdviceDispatcher({
        clock,
        log,
        meter,
        lanes: () => ["entry-1"],
        call: async (_lane, { stepName }) => {
            order.push(stepName);
            return { good: [], validMs: 2_500 };
        },
    });
    const common = { workerIds: ["i-1"], costMs: 20, onAnswer: () => {}, onFailure: () => {}, isNeeded: () => true };
    dispatcher.enqueue({ ...common, stepName: "first", priority: 2 });
    dispatcher.enqueue({ ...common, stepName: "batch", priority: 2 });
    dispatcher.enqueue({ ...common, stepName: "urgent", priority: 0 });
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
        view: createCapacityView(0),
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
    return `${
        countTasksThatFit({ cpuMillis: 2_500, memoryMib: 4_000, accelerators: 0 }, step, 0)
    } of ${step.spec.count}`;
};

const adviceAhead = (): string => {
    const job = exampleJob();
    const second = taskOf(job, 1).step;
    const early = shouldRequestAhead(second);
    taskOf(job).runs.push(runOf(job));
    return `${early ? "now" : "not yet"}, then ${shouldRequestAhead(second) ? "now" : "not yet"}`;
};

const adviceCallSize = (): string => {
    const step = taskOf(exampleJob()).step;
    const sizer = createAdviceCallSizer({ usualAdviceWorkers: 40, maxAdviceWorkers: 100 });
    const before = sizer.namesFor(step, 30);
    sizer.recordAnswer(step, ["i-1", "i-2", "i-3", "i-4"], {
        good: [{ workerId: "i-2", ticket: "t" }],
        validMs: 2_000,
    });
    return `${before}, then ${sizer.namesFor(step, 20)}, or ${sizer.namesFor(step, 1)}`;
};

const shardQueries = (): string => {
    const job = exampleJob();
    job.stored = true;
    job.visibleState = "queued";
    const full = openWorker();
    full.held = full.entry.capacity;
    const workers = new Map([["i-1", full]]);
    taskOf(job).step.advice.good.set("i-1", { ticket: "t", validUntilMs: 9_000 });
    const accounts = { all: () => [job.account] };
    const jobs = new Map([[submission.jobId, job]]);
    const state = { jobs, accounts, workers, nowMs: 0, wallMs: 0, plannedStartMs: () => undefined };
    const explanation = explainJob(submission.jobId, state);
    const [use] = listOrganisations(state);
    const speeds = [
        { address: "10.0.0.9:1", speed: 1, error: 0.1 },
        { address: full.entry.address, speed: 0.5, error: 0.1 },
    ];
    const [slowest] = listSpeeds({ speeds, biases: [] }, workers).workers;
    return `waits for ${
        Object.keys(explanation?.steps[0]?.waits ?? {}).join()
    }, ${use?.waiting.tasks} task, ${slowest?.workerId} at ${slowest?.speed}`;
};

const capView = (): string => {
    const account = newAccount("north", { ...noResources, cpuMillis: 3_000 });
    const first = newJob(submission, testQueue, { acceptedAtMs: 0, order: 1, account });
    const { step } = taskOf(first);
    const caps = createCapView(0, new WeakMap());
    caps.reserve(step, 2);
    return `${caps.allowed(step, [taskOf(first), taskOf(first)]).length} beside 2 that wait for room`;
};

const capacityView = (): string => {
    const worker = openWorker();
    const urgent = taskOf(exampleJob()).step;
    const other = taskOf(newJob(submission, { ...testQueue, priority: 2 }, { acceptedAtMs: 0, order: 2 })).step;
    const view = createCapacityView(0);
    view.reserve({ step: urgent, workerId: "i-1", held: worker.entry.capacity, freeAtMs: 100, victims: [] });
    return `${view.capacityFor(worker, urgent).cpuMillis} for it, ${
        view.capacityFor(worker, other).cpuMillis
    } for others`;
};

const blockedSteps = (): string => {
    const worker = openWorker();
    const task = taskOf(exampleJob());
    const { step } = task;
    step.advice.good.set("i-1", { ticket: "t", validUntilMs: 9_000 });
    worker.restsUntilMs = 4_000;
    step.blockedAtMs = isBlocked(step, { workers: new Map([["i-1", worker]]), nowMs: 100 }) ? 100 : undefined;
    const ignoredAtMs = [100, 1_100, 2_100, 3_100].filter(nowMs => mayUseRestingWorkers(task, nowMs));
    return `after ${ignoredAtMs.join(", ")} ms`;
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
    const view = createCapacityView(100);
    const options = { step, waiting: 2, workers, view, nowMs: 100, stopMs: 200, slackMs: 5_000 };
    return planReservations(options).map(each => `${each.workerId} in ${each.freeAtMs - 100} ms`).join(", ");
};

const urgency = (): string => {
    const workers = new Map([["i-1", openWorker()]]);
    const clock = createFakeClock();
    const nowMs = clock.nowMs();
    const early = newJob(submission, testQueue, { acceptedAtMs: nowMs - 3_000, order: 1 });
    const later = newJob(submission, testQueue, { acceptedAtMs: nowMs, order: 2 });
    const steps = [early, later].map(job => taskOf(job).step);
    const ranked = inSchedulingOrder(steps, { clock, workers, order: "due" });
    return ranked.map(({ step, standing }) => `${step.occurrence.job.order} ${standing}`).join(", ");
};

const roomyWorkersExample = (): string => {
    const full = openWorker();
    full.held = full.entry.capacity;
    const workers = [full, { ...openWorker(), workerId: "i-2" }];
    return roomyWorkers(workers, [taskOf(exampleJob()).step]).map(({ workerId }) => workerId).join(", ");
};

const ticketBudget = (): string => {
    const worker = openWorker();
    const job = exampleJob();
    job.queue = { ...testQueue, advice: { decideMs: 150, eachMs: 2, validMs: 2_000 } };
    const { step } = taskOf(job);
    const budget = createTicketBudget([worker], 0);
    return `${budget.take(step, 1)}, then ${budget.take(step, 1_000)}, then ${budget.take(step, 1)}`;
};

const fairShares = (): string => {
    const accounts = createAccounts();
    const workers = new Map([["i-1", openWorker()]]);
    accounts.of("north").held = openWorker().entry.capacity;
    const ranked: readonly RankedStep[] = ["north", "north", "south"].map((name, index) => {
        const job = newJob(submission, testQueue, { acceptedAtMs: 0, order: index, account: accounts.of(name) });
        return { step: taskOf(job).step, standing: "onTime", dueAtMs: 0 };
    });
    const policies = { order: "due", shares: "heldRoom" } as const;
    const shortage = { isShort: () => true };
    const shares = createFairShares({ log, meter, policies, workers, accounts, shortage });
    return [...shares.arrange(ranked, 0)].map(({ step }) => `1 ${step.occurrence.job.account.organisation}`).join(", ");
};

const shortage = (): string => {
    const full = openWorker();
    const short = createShortage(new Map([["i-1", full]]));
    const { step } = taskOf(exampleJob());
    short.recordWait(step, 0);
    const before = short.isShort(0) ? "short" : "not short";
    full.held = full.entry.capacity;
    short.recordWait(step, 200);
    const after = short.isShort(1_100) && !short.isShort(1_200) ? "short for 1 s" : "something else";
    return `${before}, then ${after}`;
};

const headroom = (): string => {
    const inputs = { capacityCores: 100, usedCores: 90, urgentCores: 15, urgentHeldCores: 5, isShort: true };
    const arrivals = createUrgentArrivals();
    for (let nowMs = 0; nowMs < 3_000; nowMs += plainStep.estimateMs) {
        arrivals.record(taskOf(exampleJob()).step, nowMs);
    }
    return `${planHeadroom(inputs)} cores, ${Math.round(arrivals.cores(2_999))} core of arrivals, then ${
        arrivals.cores(6_000)
    }`;
};

const adviceRequester = async (): Promise<string> => {
    const clock = createFakeClock();
    const { step } = taskOf(exampleJob());
    const call = async () => ({ good: [{ workerId: "i-1", ticket: "t" }], validMs: 2_500 });
    const dispatcher = createAdviceDispatcher({ clock, log, meter, lanes: () => ["entry-1"], call });
    const workers = new Map([["i-1", openWorker()]]);
    const options = { clock, log, meter, settings: defaultShardSettings, workers, dispatcher, onAnswer: () => {} };
    const view = createCapacityView(0);
    createAdviceRequester(options).requestTickets({ step, waiting: 2, reservations: [], view, nowMs: 0 });
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
    const victims = chooseVictims(worker, { need, room: freeCapacityOf(worker), priority: 0 });
    return `${victims?.length} run stops`;
};

const taskPlacer = (): string => {
    const clock = createFakeClock();
    const planned: string[] = [];
    const job = exampleJob();
    taskOf(job).step.advice.good.set("i-1", { ticket: "t", validUntilMs: 9_000 });
    const dispatcher = createAdviceDispatcher({
        clock,
        log,
        meter,
        lanes: () => [],
        call: () => Promise.reject(new Error("no lane")),
    });
    const placer = createTaskPlacer({
        clock,
        log,
        meter,
        settings: defaultShardSettings,
        workers: new Map([["i-1", openWorker()]]),
        dispatcher,
        onPlanned: (_job, runs) => planned.push(...runs.map(run => `${run.task.name} on ${run.workerId}`)),
        onPreempt: () => {},
        wake: () => {},
    });
    placer.updateJob(job);
    placer.runPass();
    return planned.join(", ");
};

const trials = (): string => {
    const worker = openWorker();
    const job = exampleJob();
    const task = taskOf(job);
    task.crashes = 2;
    adoptRun(worker, runOf(exampleJob()));
    const now = { workers: new Map([["i-1", worker]]), nowMs: 100 };
    const chosen = startableTasks(task.step, [task], now).length;
    return `${chosen} task, ${allowsTrial(worker, task, 100) ? "beside others" : "by itself"}`;
};

const runTimes = (): string => {
    const learned = createRunTimes();
    for (let round = 0; round < 20; round += 1) {
        for (const [index, tookMs] of [800, 800, 800, 1_600].entries()) {
            learned.recordEnd({ queueKey: "plans", address: `10.0.0.${index}:1`, estimateMs: 800, tookMs });
        }
    }
    const [usual, slow] = ["10.0.0.0:1", "10.0.0.3:1"].map(address => learned.speedOf(address));
    return `${learned.isSpread() ? "spread" : "equal"}, ${((slow ?? 0) / (usual ?? 1)).toFixed(1)} times as fast`;
};

const speedsReport = (): string => {
    const lines: string[] = [];
    const [fast, slow] = [1.2, 0.5].map((speed, index) => ({ address: `10.0.0.${index}:1`, speed, error: 0.1 }));
    const report = createSpeedsReport({
        clock: createFakeClock(),
        log: { write: (_level, event, fields) => lines.push(`${event}: slowest ${String(fields["slowest"])}`) },
        meter,
        runTimes: {
            isSpread: () => true,
            entries: () => ({ speeds: [fast, slow].filter(each => each !== undefined), biases: [] }),
        },
    });
    report.review();
    report.review();
    return lines.join("; ");
};

/** Examples of the modules about placement, by the module's name. */
export const shardPlacementExamples: Readonly<Record<string, () => string | Promise<string>>> = {
    adviceDispatcher,
    adviceCallSize,
    adviceAhead,
    capView,
    shardQueries,
    avoidance,
    eligible,
    chooseWorker: chooser,
    taskPlacer,
    preempt,
    capacityView,
    blockedSteps,
    planReservations: plan,
    roomyWorkers: roomyWorkersExample,
    ticketBudget,
    urgency,
    fairShares,
    shortage,
    headroom,
    adviceRequester,
    runTimes,
    speedsReport,
    trials,
};
