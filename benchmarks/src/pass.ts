/**
 * Measures how long a scheduling pass occupies the owner of a shard while workers are full and many steps wait, by number of workers and
 * of waiting steps. A pass runs without interruption, so its duration delays every answer of the owner.
 */

import { noopLog, noopMeter, plainStep, testQueue, workerEntry } from "@puffinarch/stand-ins";
import {
    createSeededRandom,
    createTaskPlacer,
    defaultShardSettings,
    dropRun,
    holdCapacity,
    newJob,
    newRun,
    newWorker,
    type Queue,
    type Random,
    type ShardJob,
    type ShardRun,
    type ShardWorker,
    type Step,
} from "puffinarch";
import { type Benchmark, createSample, round, type Row } from "./benchmark.js";

const capacity = { cpuMillis: 16_000, memoryMib: 65_536, accelerators: 0 };
/** Passes per setting; a task ends before each pass, as it does every few milliseconds under load. */
const passes = 100;
/** Simulated time between two passes. */
const passIntervalMs = 120;
/** Share of the workers that the advisor approves for a step, in percent. */
const approvedPercent = 45;
/** Share of the waiting tasks that have failed on a worker, in percent; they avoid it for a while. */
const failedPercent = 5;

/** Kinds of jobs as they wait under overload: urgent small ones, gangs of large tasks, and wide batches. */
const kinds: readonly { readonly queue: Queue; readonly step: Step; readonly share: number; }[] = [
    {
        queue: { ...testQueue, key: "urgent", priority: 0, stretch: 1.5, targetRuntimeMs: 250 },
        step: {
            ...plainStep,
            count: 3,
            size: { cpuMillis: 2_500, memoryMib: 9_100, accelerators: 0 },
            estimateMs: 800,
        },
        share: 0.5,
    },
    {
        queue: { ...testQueue, key: "gang", priority: 1, stretch: 2.2, targetRuntimeMs: 1_000 },
        step: {
            ...plainStep,
            count: 20,
            size: { cpuMillis: 4_500, memoryMib: 13_000, accelerators: 0 },
            estimateMs: 6_200,
            gang: true,
            checkpointing: true,
        },
        share: 0.1,
    },
    {
        queue: { ...testQueue, key: "batch", priority: 2, stretch: 4, targetRuntimeMs: 3_000 },
        step: {
            ...plainStep,
            count: 25,
            size: { cpuMillis: 1_700, memoryMib: 5_000, accelerators: 0 },
            estimateMs: 3_400,
            checkpointing: true,
        },
        share: 0.4,
    },
].map(kind => ({ ...kind, queue: { ...kind.queue, advice: { decideMs: 150, eachMs: 2, validMs: 2_000 } } }));

const emptySubmission = {
    jobId: "",
    queueKey: "",
    dataCentre: "leon-feria",
    payload: "",
    steps: [],
    schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
};

const pickKind = (random: Random): (typeof kinds)[number] => {
    let remaining = random.next();
    for (const kind of kinds) {
        remaining -= kind.share;
        if (remaining < 0) {
            return kind;
        }
    }
    return kinds[0] as (typeof kinds)[number];
};

const createJob = (order: number, random: Random, workerCount: number, nowMs: number): ShardJob => {
    const { queue, step } = pickKind(random);
    const jobId = order.toString(16).padStart(16, "0");
    const job = newJob({ ...emptySubmission, jobId, queueKey: queue.key, steps: [step] }, queue, {
        acceptedAtMs: nowMs,
        order,
    });
    for (const task of job.occurrences.get(0)?.steps[0]?.tasks ?? []) {
        if (random.next() * 100 < failedPercent) {
            task.failures = 1;
            task.failedOn.set(`i-${Math.floor(random.next() * workerCount)}`, nowMs);
        }
    }
    return job;
};

const createWorkers = (count: number): Map<string, ShardWorker> => {
    const workers = new Map<string, ShardWorker>();
    for (let index = 0; index < count; index += 1) {
        const worker = newWorker({ ...workerEntry(`i-${index}`, 1), capacity }, 0);
        worker.runsKnown = true;
        worker.clock = { localMs: 0, clockMs: 1_000 };
        workers.set(worker.workerId, worker);
    }
    return workers;
};

interface Running {
    readonly run: ShardRun;
    readonly worker: ShardWorker;
}

/** Fills each worker with tasks of wide batches, which leaves less than one such task free. */
const fillWorkers = (workers: ReadonlyMap<string, ShardWorker>, nowMs: number, running: Running[]): void => {
    const { queue, step } = kinds[2] as (typeof kinds)[number];
    for (const worker of workers.values()) {
        const job = newJob({ ...emptySubmission, jobId: `filled-${worker.workerId}`, steps: [step] }, queue, {
            acceptedAtMs: nowMs,
            order: 0,
        });
        for (const task of job.occurrences.get(0)?.steps[0]?.tasks ?? []) {
            const run = newRun(task, worker.workerId, 1, { phase: "running", startedAtMs: nowMs });
            if (!holdCapacity(worker, run)) {
                break;
            }
            task.runs.push(run);
            running.push({ run, worker });
        }
    }
};

const measureSetting = (workerCount: number, waitingSteps: number, seed: number): Row => {
    const random = createSeededRandom(seed);
    const workers = createWorkers(workerCount);
    let nowMs = 1_000_000;
    const running: Running[] = [];
    const clock = {
        nowMs: () => nowMs,
        monotonicMs: () => nowMs,
        setTimer: () => () => {},
    };
    const placer = createTaskPlacer({
        clock,
        log: noopLog,
        meter: noopMeter,
        settings: defaultShardSettings,
        workers,
        dispatcher: {
            enqueue: ({ workerIds, onAnswer }) => {
                const good = workerIds.filter(() => random.next() * 100 < approvedPercent)
                    .map(workerId => ({ workerId, ticket: workerId }));
                onAnswer({ good, validMs: 2_000 });
            },
            wake: () => {},
            close: () => {},
        },
        onPlanned: (_job, runs) => {
            for (const run of runs) {
                const worker = workers.get(run.workerId);
                run.phase = "running";
                run.startedAtMs = nowMs;
                if (worker !== undefined) {
                    running.push({ run, worker });
                }
            }
        },
        onPreempt: () => {},
        wake: () => {},
    });
    let order = 1;
    const submit = (): void => {
        placer.updateJob(createJob(order, random, workerCount, nowMs));
        order += 1;
    };
    const runPass = (): number => {
        nowMs += passIntervalMs;
        const startedAt = performance.now();
        placer.runPass();
        return performance.now() - startedAt;
    };
    fillWorkers(workers, nowMs, running);
    while (placer.waitingSteps() < waitingSteps) {
        submit();
    }
    const sample = createSample();
    for (let pass = 0; pass < passes; pass += 1) {
        const ended = running.splice(Math.floor(random.next() * running.length), 1)[0];
        if (ended !== undefined) {
            ended.run.task.done = true;
            ended.run.task.step.open -= 1;
            dropRun(ended.worker, ended.run);
        }
        sample.add(runPass());
    }
    return {
        workers: workerCount,
        waitingSteps,
        passP50Ms: round(sample.percentile(50), 2),
        passP99Ms: round(sample.percentile(99), 2),
    };
};

/** Measures passes at 250 and 2,000 workers with 50, 300 and 700 waiting steps. */
export const pass: Benchmark = async ({ long, seed }) => {
    const rows: Row[] = [];
    for (const workers of [250, 2_000]) {
        for (const waitingSteps of long ? [50, 300, 700, 1_500] : [50, 300, 700]) {
            rows.push(measureSetting(workers, waitingSteps, seed));
        }
    }
    return rows;
};
