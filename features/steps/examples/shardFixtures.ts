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
import { newJob, newRun, newWorker, type ShardJob, type ShardRun } from "puffinarch";

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
 * Creates a job of two steps that has been accepted.
 *
 * @example
 * const job = exampleJob();
 */
export const exampleJob = (): ShardJob => newJob(submission, testQueue, { acceptedAtMs: 0, order: 1 });

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
