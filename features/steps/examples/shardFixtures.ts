/** What examples of the parts of a shard share: a job, a task, a run, a worker, an owner. */

import { noopLog, noopMeter, plainStep, testQueue, workerEntry } from "@puffinarch/stand-ins";
import { newJob, newRun, newWorker, type ShardJob, type ShardRun } from "puffinarch";

/** The log of each example: none. */
export const log = noopLog;

/** The meter of each example: none. */
export const meter = noopMeter;

/** The part of the store that the shard of each example has. */
export const part = "shard-0";

/** The daemon that owns, or wants to own, the shard of an example. */
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
 * Gives a job of two steps, as it is once accepted.
 *
 * @example
 * const job = exampleJob();
 */
export const exampleJob = (): ShardJob => newJob(submission, testQueue, { acceptedAtMs: 0, order: 1 });

/**
 * Gives the first task of a step of a job.
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
 * Gives a worker that is known, with all its room free.
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
 * Gives a run of the first task of a job, at work on a worker.
 *
 * @example
 * const run = runOf(exampleJob());
 */
export const runOf = (job: ShardJob): ShardRun =>
    newRun(taskOf(job), "i-1", 1, { phase: "running", absenceProvenAfterMs: 0, wasListed: true, startedAtMs: 0 });
