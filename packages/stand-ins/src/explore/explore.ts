/**
 * Randomised fault testing of a small simulated cell: a schedule mixes job submissions with paused and killed daemons, cut
 * links and injected faults, and the scheduler's guarantees are checked against the workers' records after each step. The
 * same seed gives the same schedule.
 */

import { createSeededRandom, failureOf, isFinal, type JobSpec, type Random, type Task } from "puffinarch";
import type { BrokenPart } from "../cell/brokenParts.js";
import { type Cell, type CellDaemon, createCell, defaultCellOptions, platformEndpoint } from "../cell/cell.js";
import type { Fault } from "../faults.js";
import { groupBy, tasksRunTwice } from "../runTwice.js";

/** Result of one schedule. */
export interface Exploration {
    readonly seed: number;
    /** Descriptions of the steps taken, each with its time on the fake clock. */
    readonly steps: readonly string[];
    /** Violated guarantees; empty where all held. */
    readonly broken: readonly string[];
    /** Number of tasks of the accepted jobs. */
    readonly tasksAccepted: number;
    /** Number of runs on all workers. */
    readonly executions: number;
}

/** Fault sequences that a schedule can be biased towards; values of the option `--scene`. */
export type Scene = "endMidStart" | "cutWithBacklog" | "endInOutage";

/** Parameters of one schedule. */
export interface ExploreOptions {
    /** Chosen for most steps; undefined leaves all actions at their usual weights. */
    readonly scene?: Scene;
    readonly seed: number;
    /** Number of steps; fewer are taken once a guarantee is violated. */
    readonly steps: number;
    /** Part of every node's environment to break. */
    readonly part?: BrokenPart;
}

interface ScheduleRun {
    readonly cell: Cell;
    readonly random: Random;
    /** Accepted jobs by id. */
    readonly accepted: Map<string, JobSpec>;
    /** Ids of jobs whose submission failed with the kind `notAccepted`; their tasks must not run. */
    readonly refused: Set<string>;
    /** VM ids of daemons that were killed with their VM or are stopping. */
    readonly removed: Set<string>;
    submitted: number;
    added: number;
    workersLost: number;
}

/** Performs one step and returns its description. */
type Action = (run: ScheduleRun) => string | Promise<string>;

const finalStateTimeoutMs = 400_000;
/** The remaining workers must have room for the largest gang. */
const maxWorkersLost = 1;
const callTimeoutMs = 4_000;
/** Delays below and above 2 s, the time for which a start order is valid. */
const startDelaysMs = [1_000, 1_500, 1_800, 4_000, 6_500];
const stepMs = 50;

const pickRandom = <T>(random: Random, items: readonly T[]): T | undefined =>
    items[Math.floor(random.next() * items.length)];

const liveDaemons = ({ cell, removed }: ScheduleRun): readonly CellDaemon[] =>
    cell.daemons().filter(daemon => !removed.has(daemon.vmId) && !daemon.process.dead());

const readyDaemons = (run: ScheduleRun): readonly CellDaemon[] =>
    liveDaemons(run).filter(daemon => !daemon.process.paused() && daemon.node.ready());

/** Calls a node while the clock advances; undefined where the call failed or had no answer in time. */
const callWhileAdvancing = async <T>(cell: Cell, call: () => Promise<T>): Promise<T | undefined> => {
    let answer: T | undefined;
    let done = false;
    void call().then(value => {
        answer = value;
    }, () => undefined).finally(() => {
        done = true;
    });
    for (let passedMs = 0; passedMs < callTimeoutMs && !done; passedMs += stepMs) {
        await cell.advance(stepMs);
    }
    return answer;
};

const randomSpec = (run: ScheduleRun): JobSpec => {
    run.submitted += 1;
    const { random } = run;
    const workloadClass = pickRandom(random, ["batch", "batch", "interactive", "gang"]) ?? "batch";
    return {
        jobId: `job-${run.submitted}`,
        workloadClass,
        team: pickRandom(random, ["rigging", "barriers"]) ?? "rigging",
        tasks: 1 + Math.floor(random.next() * 5),
        taskSize: { cpuMillis: 500 + Math.floor(random.next() * 3) * 500, memoryMib: 512, accelerators: 0 },
        atMostOnce: workloadClass === "batch" && random.next() < 0.4,
        payload: JSON.stringify({
            runMs: Math.floor(random.next() * 6_000),
            fails: workloadClass !== "interactive" && random.next() < 0.05,
        }),
    };
};

/** A job with more tasks than the workers have room for, so that some are queued while faults are injected. */
const backlogSpec = (run: ScheduleRun): JobSpec => ({
    ...randomSpec(run),
    workloadClass: "batch",
    tasks: 24,
    taskSize: { cpuMillis: 1_000, memoryMib: 512, accelerators: 0 },
    atMostOnce: false,
    payload: JSON.stringify({ runMs: 300 + Math.floor(run.random.next() * 12_000) }),
});

const submitThrough = async (run: ScheduleRun, daemon: CellDaemon, spec: JobSpec): Promise<string> => {
    let kind = "no answer";
    const job = await callWhileAdvancing(run.cell, () =>
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
    const daemon = pickRandom(run.random, liveDaemons(run));
    daemon?.process.pause();
    return `pause ${daemon?.vmId}`;
};

const resume: Action = run => {
    const daemon = pickRandom(run.random, liveDaemons(run).filter(each => each.process.paused()));
    daemon?.process.resume();
    return `resume ${daemon?.vmId}`;
};

/** Kills a daemon, and either restarts it on its VM or removes the VM and adds a new one. */
const killDaemon = (run: ScheduleRun, daemon: CellDaemon): string => {
    if (run.random.next() < 0.5) {
        run.cell.kill(daemon.vmId, false);
        run.cell.restart(daemon.vmId);
        return `restart ${daemon.vmId}`;
    }
    run.cell.kill(daemon.vmId, true);
    run.removed.add(daemon.vmId);
    run.added += 1;
    run.cell.addDaemon(`new-e${run.added}`, daemon.dataCentre);
    return `lose ${daemon.vmId}, add new-e${run.added}`;
};

const killAnyDaemon: Action = run => {
    const daemon = pickRandom(run.random, liveDaemons(run));
    return daemon === undefined ? "kill: no live daemon" : killDaemon(run, daemon);
};

const stopGracefully: Action = run => {
    const daemon = pickRandom(run.random, readyDaemons(run));
    if (daemon === undefined || run.removed.size > 2) {
        return "stop: skipped";
    }
    run.removed.add(daemon.vmId);
    run.added += 1;
    run.cell.addDaemon(`new-e${run.added}`, daemon.dataCentre);
    void daemon.node.stop().then(() => run.cell.kill(daemon.vmId, true));
    return `stop ${daemon.vmId}, add new-e${run.added}`;
};

const endpoints = (run: ScheduleRun): readonly string[] => [
    platformEndpoint,
    ...liveDaemons(run).map(daemon => daemon.vmId),
    ...run.cell.workers().map(worker => worker.workerId),
];

const cut: Action = run => {
    const daemon = pickRandom(run.random, liveDaemons(run));
    const other = pickRandom(run.random, endpoints(run));
    if (daemon === undefined || other === undefined) {
        return "cut: no link";
    }
    run.cell.cut(daemon.vmId, other);
    return `cut ${daemon.vmId} from ${other}`;
};

const slow: Action = run => {
    const daemon = pickRandom(run.random, liveDaemons(run));
    const worker = pickRandom(run.random, run.cell.workers());
    if (daemon === undefined || worker === undefined) {
        return "slow: no link";
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
    const kind = pickRandom(run.random, ["refuse", "hang", "loseReply", "late", "slow"] as const) ?? "refuse";
    const fault: Fault = { target: "table", kind, probability: 0.2 + run.random.next() * 0.8, delayMs: 300 };
    run.cell.platform.faults.set("table", [fault]);
    return `the table has the fault ${kind} with probability ${fault.probability.toFixed(2)}`;
};

const healTable: Action = run => {
    run.cell.platform.faults.set("table", []);
    return "heal the table";
};

const loseWorker: Action = run => {
    const worker = pickRandom(run.random, run.cell.workers());
    if (worker === undefined || run.workersLost === maxWorkersLost) {
        return "lose no worker";
    }
    run.workersLost += 1;
    run.cell.killWorker(worker.workerId);
    return `lose ${worker.workerId}`;
};

const breakWorker: Action = run => {
    const worker = pickRandom(run.random, run.cell.workers());
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
    const jobId = pickRandom(run.random, [...run.accepted.keys()]);
    const daemon = pickRandom(run.random, readyDaemons(run));
    if (jobId === undefined || daemon === undefined) {
        return "cancel: no job or no ready daemon";
    }
    await callWhileAdvancing(run.cell, () => daemon.node.jobs.cancel(jobId));
    return `cancel ${jobId} through ${daemon.vmId}`;
};

const submit: Action = run => {
    const daemon = pickRandom(run.random, readyDaemons(run));
    return daemon === undefined ? "submit: no ready daemon" : submitThrough(run, daemon, randomSpec(run));
};

const advanceRandomly = async (run: ScheduleRun, fromMs: number, toMs: number): Promise<void> => {
    await run.cell.advance(fromMs + Math.floor(run.random.next() * (toMs - fromMs)));
};

/** A daemon in the job's data centre, which may own its racks, is killed while its start orders are in flight. */
const endMidStart: Action = async run => {
    const home = pickRandom(run.random, readyDaemons(run));
    const owner = pickRandom(
        run.random,
        liveDaemons(run).filter(each => each !== home && each.dataCentre === home?.dataCentre),
    );
    if (owner === undefined || home === undefined) {
        return "end mid start: no suitable daemon";
    }
    const delayMs = pickRandom(run.random, startDelaysMs) ?? 0;
    for (const worker of run.cell.workers()) {
        run.cell.slow(owner.vmId, worker.workerId, delayMs);
    }
    const submitted = await submitThrough(run, home, { ...randomSpec(run), workloadClass: "batch", tasks: 8 });
    await advanceRandomly(run, 20, 400);
    return `${submitted}; starts of ${owner.vmId} take ${delayMs} ms; ${killDaemon(run, owner)}`;
};

/** A home with queued tasks is cut off from the platform for 6 to 14 s, in which another daemon may take it over. */
const cutWithBacklog: Action = async run => {
    const daemon = pickRandom(run.random, readyDaemons(run));
    if (daemon === undefined) {
        return "cut with backlog: no ready daemon";
    }
    const submitted = await submitThrough(run, daemon, backlogSpec(run));
    await advanceRandomly(run, 50, 600);
    run.cell.cut(daemon.vmId, platformEndpoint);
    await advanceRandomly(run, 6_000, 14_000);
    return `${submitted}; cut ${daemon.vmId} from the platform`;
};

/** The table refuses all calls, and a home that continues without it is killed before the table works again. */
const endInOutage: Action = async run => {
    const daemon = pickRandom(run.random, readyDaemons(run));
    if (daemon === undefined) {
        return "end in outage: no ready daemon";
    }
    const runMs = 9_000 + Math.floor(run.random.next() * 3_000);
    const submitted = await submitThrough(run, daemon, { ...backlogSpec(run), payload: JSON.stringify({ runMs }) });
    await advanceRandomly(run, 0, 40);
    run.cell.platform.faults.set("table", [{ target: "table", kind: "refuse", probability: 1 }]);
    await advanceRandomly(run, 500, 3_000);
    const killed = killDaemon(run, daemon);
    await advanceRandomly(run, 100, 1_000);
    run.cell.platform.faults.set("table", []);
    return `${submitted}; the table refuses all calls; ${killed}; the table works again`;
};

/** Actions with their relative weights. */
const actions: readonly (readonly [number, Action])[] = [
    [8, submit],
    [3, pause],
    [3, resume],
    [4, killAnyDaemon],
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

const atMostOnceJobs = (run: ScheduleRun): ReadonlySet<string> =>
    new Set([...run.accepted.values()].filter(spec => spec.atMostOnce).map(spec => spec.jobId));

const checkEvidence = (run: ScheduleRun): readonly string[] => {
    const executions = run.cell.executions();
    const ranTwice = tasksRunTwice(executions, atMostOnceJobs(run));
    const refusedRuns = executions.filter(each => run.refused.has(each.taskId.slice(0, each.taskId.lastIndexOf("/"))));
    return [
        ...ranTwice.map(taskId => `${taskId} ran twice`),
        ...refusedRuns.map(each => `${each.taskId} ran although its job was not accepted`),
        ...run.cell.overcommits() > 0 ? ["a worker was given more than its capacity"] : [],
    ];
};

const checkTask = (task: Task, executions: readonly { readonly outcome?: string; }[]): readonly string[] => {
    const completed = executions.some(each => each.outcome === "completed");
    if (task.state === "completed" && (!completed || task.result !== `${task.taskId} done`)) {
        return [`${task.taskId} was reported as completed but did not complete, or has another result`];
    }
    if (task.state === "cancelled" && !task.mayHaveStarted && executions.length > 0) {
        return [`${task.taskId} was reported as never started but ran`];
    }
    return [];
};

const healEverything = (run: ScheduleRun): void => {
    const { cell } = run;
    cell.healAll();
    cell.platform.faults.set("table", []);
    for (const worker of cell.workers()) {
        worker.setFaults({ unreachable: false, losesStartReply: false });
    }
    for (const daemon of liveDaemons(run)) {
        daemon.process.resume();
    }
};

const readTasks = async (run: ScheduleRun, jobId: string): Promise<readonly Task[]> => {
    const daemon = readyDaemons(run)[0];
    return daemon === undefined
        ? []
        : await callWhileAdvancing(run.cell, () => daemon.node.jobs.tasks(jobId, -1, 100)) ?? [];
};

/**
 * Repairs everything, and checks that each accepted job reaches a final state and that the states of its tasks agree with
 * the workers' records. Returns the violations.
 */
const healAndCheckJobs = async (run: ScheduleRun): Promise<readonly string[]> => {
    const { cell } = run;
    healEverything(run);
    const deadlineMs = cell.clock.monotonicMs() + finalStateTimeoutMs;
    const broken: string[] = [];
    for (const jobId of run.accepted.keys()) {
        let tasks = await readTasks(run, jobId);
        while (
            cell.clock.monotonicMs() < deadlineMs && !(tasks.length > 0 && tasks.every(task => isFinal(task.state)))
        ) {
            await cell.advance(500);
            tasks = await readTasks(run, jobId);
        }
        const unfinished = tasks.filter(task => !isFinal(task.state));
        if (tasks.length === 0 || unfinished.length > 0) {
            broken.push(
                `${jobId} is not answered: ${
                    tasks.length === 0 ? "no daemon returned its tasks" : unfinished.map(task => task.state).join(", ")
                }`,
            );
        }
        const byTask = groupBy(cell.executions(), each => each.taskId);
        broken.push(...tasks.flatMap(task => checkTask(task, byTask.get(task.taskId) ?? [])));
    }
    return [...broken, ...checkEvidence(run)];
};

/**
 * Runs one schedule on a new cell, up to the first violation.
 *
 * @example
 * const { broken, steps } = await explore({ seed: 7, steps: 30 });
 */
export const explore = async ({ seed, steps, part, scene }: ExploreOptions): Promise<Exploration> => {
    const cell = createCell({ ...defaultCellOptions, seed, broken: part, maxDelayMs: 20 });
    const run: ScheduleRun = {
        cell,
        random: createSeededRandom(seed + 1_000_003),
        accepted: new Map(),
        refused: new Set(),
        removed: new Set(),
        submitted: 0,
        added: 0,
        workersLost: 0,
    };
    const stepTexts: string[] = [];
    let broken: readonly string[] = [];
    await cell.start();
    for (let step = 0; step < steps && broken.length === 0; step += 1) {
        const atMs = cell.clock.monotonicMs();
        stepTexts.push(`${atMs.toFixed(0)} ms: ${await pickAction(run.random, scene)(run)}`);
        await cell.advance(Math.floor(run.random.next() * 2_500));
        broken = checkEvidence(run);
    }
    if (broken.length === 0) {
        broken = await healAndCheckJobs(run);
    }
    const tasksAccepted = [...run.accepted.values()].reduce((sum, spec) => sum + spec.tasks, 0);
    return { seed, steps: stepTexts, broken, tasksAccepted, executions: cell.executions().length };
};
