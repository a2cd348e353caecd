/**
 * Seeded exploration: a random schedule of submissions, pauses, kills, cuts and faults on a small cell, with every
 * promise checked after each step from the stand-ins' evidence. The same seed gives the same schedule.
 */

import { createSeededRandom, failureOf, isFinal, type JobSpec, type Random, type Task } from "puffinarch";
import type { BrokenPart } from "../cell/brokenParts.js";
import { type Cell, type CellDaemon, createCell, defaultCellOptions, platformPlace } from "../cell/cell.js";
import type { Fault } from "../faults.js";
import { groupBy, tasksRunTwice } from "../runTwice.js";

/** What one schedule came to. */
export interface Exploration {
    readonly seed: number;
    readonly steps: readonly string[];
    /** Promises that broke; empty where all held. */
    readonly broken: readonly string[];
    readonly tasksAccepted: number;
    readonly executions: number;
}

/** Scenes that a schedule may be made to show often. */
export type Scene = "endMidStart" | "cutWithBacklog" | "endInOutage";

/** What a schedule is run with. */
export interface ExploreOptions {
    /** Shows this scene much more often than the others. */
    readonly scene?: Scene;
    readonly seed: number;
    readonly steps: number;
    readonly part?: BrokenPart;
}

interface Run {
    readonly cell: Cell;
    readonly random: Random;
    readonly accepted: Map<string, JobSpec>;
    readonly refused: Set<string>;
    readonly gone: Set<string>;
    submitted: number;
    added: number;
    workersLost: number;
}

type Action = (run: Run) => string | Promise<string>;

const settleLimitMs = 400_000;
/** What is left has to hold the largest gang. */
const mostWorkersLost = 1;
const callLimitMs = 4_000;
/** Around the two seconds for which a start order is valid. */
const startDelaysMs = [1_000, 1_500, 1_800, 4_000, 6_500];
const stepMs = 50;

const any = <T>(random: Random, items: readonly T[]): T | undefined => items[Math.floor(random.next() * items.length)];

const alive = ({ cell, gone }: Run): readonly CellDaemon[] =>
    cell.daemons().filter(daemon => !gone.has(daemon.vmId) && !daemon.gate.dead());

const answering = (run: Run): readonly CellDaemon[] =>
    alive(run).filter(daemon => !daemon.gate.paused() && daemon.node.ready());

/** Calls a node while the clock moves; undefined where no answer came in time. */
const callFor = async <T>(cell: Cell, call: () => Promise<T>): Promise<T | undefined> => {
    let answer: T | undefined;
    let done = false;
    void call().then(value => {
        answer = value;
    }, () => undefined).finally(() => {
        done = true;
    });
    for (let passedMs = 0; passedMs < callLimitMs && !done; passedMs += stepMs) {
        await cell.advance(stepMs);
    }
    return answer;
};

const specOf = (run: Run): JobSpec => {
    run.submitted += 1;
    const { random } = run;
    const workloadClass = any(random, ["batch", "batch", "interactive", "gang"]) ?? "batch";
    return {
        jobId: `job-${run.submitted}`,
        workloadClass,
        team: any(random, ["rigging", "barriers"]) ?? "rigging",
        tasks: 1 + Math.floor(random.next() * 5),
        taskSize: { cpuMillis: 500 + Math.floor(random.next() * 3) * 500, memoryMib: 512, accelerators: 0 },
        atMostOnce: workloadClass === "batch" && random.next() < 0.4,
        payload: JSON.stringify({
            runMs: Math.floor(random.next() * 6_000),
            fails: workloadClass !== "interactive" && random.next() < 0.05,
        }),
    };
};

/** More tasks than there is room for, so that some wait while faults come. */
const backlogOf = (run: Run): JobSpec => ({
    ...specOf(run),
    workloadClass: "batch",
    tasks: 24,
    taskSize: { cpuMillis: 1_000, memoryMib: 512, accelerators: 0 },
    atMostOnce: false,
    payload: JSON.stringify({ runMs: 300 + Math.floor(run.random.next() * 12_000) }),
});

const submitThrough = async (run: Run, daemon: CellDaemon, spec: JobSpec): Promise<string> => {
    let kind = "open";
    const job = await callFor(run.cell, () =>
        daemon.node.jobs.submit(spec).catch((error: unknown) => {
            kind = failureOf(error).kind;
            throw error;
        }));
    if (job !== undefined) {
        run.accepted.set(spec.jobId, spec);
    }
    if (kind === "notAccepted") {
        run.refused.add(spec.jobId);
    }
    return `submit ${spec.jobId} (${spec.workloadClass}, ${spec.tasks}) through ${daemon.vmId}: ${
        job === undefined ? kind : "accepted"
    }`;
};

const pause: Action = run => {
    const daemon = any(run.random, alive(run));
    daemon?.gate.pause();
    return `pause ${daemon?.vmId}`;
};

const resume: Action = run => {
    const daemon = any(run.random, alive(run).filter(each => each.gate.paused()));
    daemon?.gate.resume();
    return `resume ${daemon?.vmId}`;
};

const end = (run: Run, daemon: CellDaemon): string => {
    if (run.random.next() < 0.5) {
        run.cell.kill(daemon.vmId, false);
        run.cell.restart(daemon.vmId);
        return `restart ${daemon.vmId}`;
    }
    run.cell.kill(daemon.vmId, true);
    run.gone.add(daemon.vmId);
    run.added += 1;
    run.cell.addDaemon(`new-e${run.added}`, daemon.dataCentre);
    return `lose ${daemon.vmId}, add new-e${run.added}`;
};

/** A VM is lost and a new one takes its place, or the process is started again on its VM. */
const endAny: Action = run => {
    const daemon = any(run.random, alive(run));
    return daemon === undefined ? "end: nobody is left" : end(run, daemon);
};

const stopGracefully: Action = run => {
    const daemon = any(run.random, answering(run));
    if (daemon === undefined || run.gone.size > 2) {
        return "stop: not now";
    }
    run.gone.add(daemon.vmId);
    run.added += 1;
    run.cell.addDaemon(`new-e${run.added}`, daemon.dataCentre);
    void daemon.node.stop().then(() => run.cell.kill(daemon.vmId, true));
    return `stop ${daemon.vmId}, add new-e${run.added}`;
};

const places = (run: Run): readonly string[] => [
    platformPlace,
    ...alive(run).map(daemon => daemon.vmId),
    ...run.cell.workers().map(worker => worker.workerId),
];

const cut: Action = run => {
    const daemon = any(run.random, alive(run));
    const other = any(run.random, places(run));
    if (daemon === undefined || other === undefined) {
        return "cut: nothing to cut";
    }
    run.cell.cut(daemon.vmId, other);
    return `cut ${daemon.vmId} from ${other}`;
};

const slow: Action = run => {
    const daemon = any(run.random, alive(run));
    const worker = any(run.random, run.cell.workers());
    if (daemon === undefined || worker === undefined) {
        return "slow: nothing to slow";
    }
    const delayMs = 200 + Math.floor(run.random.next() * 1_700);
    run.cell.slow(daemon.vmId, worker.workerId, delayMs);
    return `slow ${daemon.vmId} to ${worker.workerId} by ${delayMs} ms`;
};

const healNetwork: Action = run => {
    run.cell.healAll();
    return "heal the network";
};

const breakTable: Action = run => {
    const kind = any(run.random, ["refuse", "hang", "loseReply", "late", "slow"] as const) ?? "refuse";
    const fault: Fault = { target: "table", kind, probability: 0.2 + run.random.next() * 0.8, delayMs: 300 };
    run.cell.platform.faults.set("table", [fault]);
    return `the table has ${kind} at ${fault.probability.toFixed(2)}`;
};

const healTable: Action = run => {
    run.cell.platform.faults.set("table", []);
    return "heal the table";
};

const loseWorker: Action = run => {
    const worker = any(run.random, run.cell.workers());
    if (worker === undefined || run.workersLost === mostWorkersLost) {
        return "lose no worker";
    }
    run.workersLost += 1;
    run.cell.killWorker(worker.workerId);
    return `lose ${worker.workerId}`;
};

const breakWorker: Action = run => {
    const worker = any(run.random, run.cell.workers());
    const unreachable = run.random.next() < 0.5;
    worker?.setFaults(unreachable ? { unreachable: true } : { losesStartReply: true });
    return `${worker?.workerId} ${unreachable ? "is unreachable" : "loses the replies to starts"}`;
};

const healWorkers: Action = run => {
    for (const worker of run.cell.workers()) {
        worker.setFaults({ unreachable: false, losesStartReply: false });
    }
    return "heal the workers";
};

const cancel: Action = async run => {
    const jobId = any(run.random, [...run.accepted.keys()]);
    const daemon = any(run.random, answering(run));
    if (jobId === undefined || daemon === undefined) {
        return "cancel: nothing";
    }
    await callFor(run.cell, () => daemon.node.jobs.cancel(jobId));
    return `cancel ${jobId} through ${daemon.vmId}`;
};

const submit: Action = run => {
    const daemon = any(run.random, answering(run));
    return daemon === undefined ? "submit: nobody answers" : submitThrough(run, daemon, specOf(run));
};

const wait = async (run: Run, fromMs: number, toMs: number): Promise<void> => {
    await run.cell.advance(fromMs + Math.floor(run.random.next() * (toMs - fromMs)));
};

/** An owner ends while its start orders are still under way. */
const endMidStart: Action = async run => {
    const home = any(run.random, answering(run));
    const owner = any(run.random, alive(run).filter(each => each !== home && each.dataCentre === home?.dataCentre));
    if (owner === undefined || home === undefined) {
        return "end mid start: nobody is left";
    }
    const delayMs = any(run.random, startDelaysMs) ?? 0;
    for (const worker of run.cell.workers()) {
        run.cell.slow(owner.vmId, worker.workerId, delayMs);
    }
    const submitted = await submitThrough(run, home, { ...specOf(run), workloadClass: "batch", tasks: 8 });
    await wait(run, 20, 400);
    return `${submitted}; starts of ${owner.vmId} take ${delayMs} ms; ${end(run, owner)}`;
};

/** A home with waiting tasks is cut off from the platform until another takes over. */
const cutWithBacklog: Action = async run => {
    const daemon = any(run.random, answering(run));
    if (daemon === undefined) {
        return "cut with backlog: nobody answers";
    }
    const submitted = await submitThrough(run, daemon, backlogOf(run));
    await wait(run, 50, 600);
    run.cell.cut(daemon.vmId, platformPlace);
    await wait(run, 6_000, 14_000);
    return `${submitted}; cut ${daemon.vmId} from the platform`;
};

/** A home that goes on without the table ends before the table is back. */
const endInOutage: Action = async run => {
    const daemon = any(run.random, answering(run));
    if (daemon === undefined) {
        return "end in outage: nobody answers";
    }
    const runMs = 9_000 + Math.floor(run.random.next() * 3_000);
    const submitted = await submitThrough(run, daemon, { ...backlogOf(run), payload: JSON.stringify({ runMs }) });
    await wait(run, 0, 40);
    run.cell.platform.faults.set("table", [{ target: "table", kind: "refuse", probability: 1 }]);
    await wait(run, 500, 3_000);
    const ended = end(run, daemon);
    await wait(run, 100, 1_000);
    run.cell.platform.faults.set("table", []);
    return `${submitted}; the table is out; ${ended}; the table is back`;
};

/** Actions by weight. */
const actions: readonly (readonly [number, Action])[] = [
    [8, submit],
    [3, pause],
    [3, resume],
    [4, endAny],
    [1, stopGracefully],
    [3, cut],
    [2, slow],
    [2, healNetwork],
    [3, breakTable],
    [3, healTable],
    [1, loseWorker],
    [2, breakWorker],
    [1, healWorkers],
    [1, cancel],
    [3, endMidStart],
    [2, cutWithBacklog],
    [2, endInOutage],
];

const scenes: Readonly<Record<Scene, Action>> = { endMidStart, cutWithBacklog, endInOutage };
const sceneWeight = 60;

const pickAction = (random: Random, scene: Scene | undefined): Action => {
    const weighted = scene === undefined ? actions : [...actions, [sceneWeight, scenes[scene]] as const];
    let left = random.next() * weighted.reduce((sum, [weight]) => sum + weight, 0);
    for (const [weight, action] of weighted) {
        left -= weight;
        if (left < 0) {
            return action;
        }
    }
    return submit;
};

const onceOnly = (run: Run): ReadonlySet<string> =>
    new Set([...run.accepted.values()].filter(spec => spec.atMostOnce).map(spec => spec.jobId));

const checkEvidence = (run: Run): readonly string[] => {
    const executions = run.cell.executions();
    const twice = tasksRunTwice(executions, onceOnly(run));
    const refusedRan = executions.filter(each => run.refused.has(each.taskId.slice(0, each.taskId.lastIndexOf("/"))));
    return [
        ...twice.map(taskId => `${taskId} ran twice`),
        ...refusedRan.map(each => `${each.taskId} ran although its job was not accepted`),
        ...run.cell.overcommits() > 0 ? ["a worker was given more than it has"] : [],
    ];
};

const checkTask = (task: Task, executions: readonly { readonly outcome?: string; }[]): readonly string[] => {
    const completed = executions.some(each => each.outcome === "completed");
    if (task.state === "completed" && (!completed || task.result !== `${task.taskId} done`)) {
        return [`${task.taskId} was answered completed and was not, or with another result`];
    }
    if (task.state === "cancelled" && !task.mayHaveStarted && executions.length > 0) {
        return [`${task.taskId} was answered as never started and ran`];
    }
    return [];
};

const healEverything = (run: Run): void => {
    const { cell } = run;
    cell.healAll();
    cell.platform.faults.set("table", []);
    for (const worker of cell.workers()) {
        worker.setFaults({ unreachable: false, losesStartReply: false });
    }
    for (const daemon of alive(run)) {
        daemon.gate.resume();
    }
};

const tasksOf = async (run: Run, jobId: string): Promise<readonly Task[]> => {
    const daemon = answering(run)[0];
    return daemon === undefined ? [] : await callFor(run.cell, () => daemon.node.jobs.tasks(jobId, -1, 100)) ?? [];
};

/** After everything is healed, each accepted job has to be answered, and as the workers saw it. */
const settle = async (run: Run): Promise<readonly string[]> => {
    const { cell } = run;
    healEverything(run);
    const giveUpAtMs = cell.clock.monotonicMs() + settleLimitMs;
    const broken: string[] = [];
    for (const jobId of run.accepted.keys()) {
        let tasks = await tasksOf(run, jobId);
        while (
            cell.clock.monotonicMs() < giveUpAtMs && !(tasks.length > 0 && tasks.every(task => isFinal(task.state)))
        ) {
            await cell.advance(500);
            tasks = await tasksOf(run, jobId);
        }
        const open = tasks.filter(task => !isFinal(task.state));
        if (tasks.length === 0 || open.length > 0) {
            broken.push(
                `${jobId} is not answered: ${
                    tasks.length === 0 ? "nobody knows it" : open.map(task => task.state).join(", ")
                }`,
            );
        }
        const byTask = groupBy(cell.executions(), each => each.taskId);
        broken.push(...tasks.flatMap(task => checkTask(task, byTask.get(task.taskId) ?? [])));
    }
    return [...broken, ...checkEvidence(run)];
};

/**
 * Runs one schedule.
 *
 * @example
 * const { broken, steps } = await explore({ seed: 7, steps: 30 });
 */
export const explore = async ({ seed, steps, part, scene }: ExploreOptions): Promise<Exploration> => {
    const cell = createCell({ ...defaultCellOptions, seed, broken: part, maxDelayMs: 20 });
    const run: Run = {
        cell,
        random: createSeededRandom(seed + 1_000_003),
        accepted: new Map(),
        refused: new Set(),
        gone: new Set(),
        submitted: 0,
        added: 0,
        workersLost: 0,
    };
    const taken: string[] = [];
    let broken: readonly string[] = [];
    await cell.start();
    for (let step = 0; step < steps && broken.length === 0; step += 1) {
        const atMs = cell.clock.monotonicMs();
        taken.push(`${atMs.toFixed(0)} ms: ${await pickAction(run.random, scene)(run)}`);
        await cell.advance(Math.floor(run.random.next() * 2_500));
        broken = checkEvidence(run);
    }
    if (broken.length === 0) {
        broken = await settle(run);
    }
    const tasksAccepted = [...run.accepted.values()].reduce((sum, spec) => sum + spec.tasks, 0);
    return { seed, steps: taken, broken, tasksAccepted, executions: cell.executions().length };
};
