/** Fixtures that the examples of a shard's modules share: a job, a task, a run, a worker, an owner. */

import {
    createFakeClock,
    createFakeRowStore,
    noopLog,
    noopMeter,
    plainStep,
    testQueue,
    workerEntry,
} from "@puffinarch/stand-ins";
import {
    createShardWorkers,
    defaultShardSettings,
    newJob,
    newRun,
    newWorker,
    type ShardJob,
    type ShardRun,
    type ShardTask,
    type ShardWorkers,
    type ShardWorkersOptions,
    type Step,
    type StoredRun,
} from "puffinarch";

/** The log of each example; discards all lines. */
export const log = noopLog;

/** The meter of each example; discards all counts. */
export const meter = noopMeter;

/** The part of a table that holds the rows of the examples' shard. */
export const part = "shard-0";

/** The limits of the examples' store. */
export const limits = createFakeRowStore(createFakeClock()).connect("entry-1").limits;

/** The daemon that owns or claims the shard of an example. */
export const owner = {
    memberId: "entry-1",
    address: "http://127.0.0.1:7100",
    dataCentre: "leon-feria",
    incarnation: "1",
    claimId: "1",
};

/** A job of two steps, the second after the first. */
export const submission = {
    jobId: "5c0e7a21d94b36f8",
    queueKey: testQueue.key,
    dataCentre: "leon-feria",
    payload: "plan",
    steps: [plainStep, { ...plainStep, after: [0] }],
    schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
};

/**
 * Creates a job that has been accepted, of two steps or of those given.
 *
 * @example
 * const job = exampleJob();
 */
export const exampleJob = (steps: readonly Step[] = submission.steps): ShardJob =>
    newJob({ ...submission, steps }, testQueue, { acceptedAtMs: 0, order: 1 });

/**
 * Returns the first task of a step of a job; throws if the job has no such step.
 *
 * @example
 * const task = taskOf(exampleJob());
 */
export const taskOf = (job: ShardJob, step = 0) => {
    const task = job.occurrences.get(0)?.steps[step]?.tasks[0];
    if (task === undefined) {
        throw new Error("the job has no such step");
    }
    return task;
};

/**
 * Creates a worker that has answered a look and has all its room free.
 *
 * @example
 * const workers = new Map([["i-1", openWorker()]]);
 */
export const openWorker = () => {
    const worker = newWorker(workerEntry("i-1", 1), 0);
    worker.runsKnown = true;
    worker.clock = { localMs: 0, clockMs: 1_000 };
    return worker;
};

/**
 * Creates a run of a job's first task that is at work on worker "i-1".
 *
 * @example
 * const run = runOf(exampleJob());
 */
export const runOf = (job: ShardJob): ShardRun =>
    newRun(taskOf(job), "i-1", 1, { phase: "running", absenceProvenAfterMs: 0, wasListed: true, startedAtMs: 0 });

/**
 * Creates the workers of an owner that logs nothing and to which every change is durable at once, except for what `options` change.
 *
 * @example
 * const workers = openShardWorkers({ clock, port, jobOf: () => job });
 */
export const openShardWorkers = (
    options: Partial<ShardWorkersOptions> & Pick<ShardWorkersOptions, "clock" | "port">,
): ShardWorkers =>
    createShardWorkers({
        log,
        meter,
        settings: defaultShardSettings,
        fencingToken: 7,
        jobOf: () => undefined,
        changed: async () => {},
        onNextIncarnation: () => {},
        onStarted: () => {},
        wake: () => {},
        onRunsKnown: () => {},
        onFenced: () => {},
        ...options,
    });

/**
 * Returns the first run of a task on worker "i-1" as a row of its job holds it, except for what `more` changes.
 *
 * @example
 * workers.restoreRuns([storedRunOf(taskOf(exampleJob()))]);
 */
export const storedRunOf = ({ name }: ShardTask, more: Partial<StoredRun> = {}): StoredRun => ({
    taskName: name,
    run: 1,
    workerId: "i-1",
    bornAtMs: undefined,
    address: "10.0.0.1:1",
    mayArriveUntilMs: undefined,
    absent: false,
    mayHaveCrashed: false,
    storedAtMs: 0,
    ...more,
});
