/** Rows that keep a job: one for its submission, written once, and a small one for its state, written at each change. */

import { type Row } from "../../types/cellPorts.js";
import { type JobState, type JobSubmission, type Queue } from "../../types/work.js";
import { die } from "../../utils/errors.js";
import { hasEnded, type ShardJob, newJob, openOccurrence, type ShardStep, type ShardTask } from "./jobBook.js";

/** Key prefix of the rows with submissions. */
export const submissionPrefix = "job/";
/** Key prefix of the rows with states. */
export const statePrefix = "state/";

/** A run as its intent was made durable: worker and number. */
export interface StoredRun {
    readonly taskName: string;
    readonly run: number;
    readonly workerId: string;
}

interface StoredSubmission {
    readonly submission: JobSubmission;
    readonly queue: Queue;
    readonly acceptedAtMs: number;
    readonly order: number;
}

/** 1: done; 0: untouched; else highest run, failures, checkpoint, runs as worker and number. */
type StoredTask = 0 | 1 | readonly [number, number, string, readonly (readonly [string, number])[]];

interface StoredState {
    readonly state: JobState;
    readonly endedAtMs?: number;
    readonly done: readonly number[];
    /** Number, then for each step its gang's failures, newest failed run and its tasks. */
    readonly open: readonly (readonly [number, readonly (readonly [number, number, readonly StoredTask[]])[]])[];
}

const encodeTask = (task: ShardTask): StoredTask => {
    if (task.done) {
        return 1;
    }
    if (task.lastRun === 0) {
        return 0;
    }
    return [task.lastRun, task.failures, task.checkpoint, task.runs.map(run => [run.workerId, run.run])];
};

const encodeStep = (step: ShardStep): readonly [number, number, readonly StoredTask[]] => [
    step.gangFailures,
    step.gangFailedRun,
    step.tasks.map(encodeTask),
];

/**
 * Writes a job's state; the tasks of a job that has ended are left out.
 *
 * @example
 * encodeState(job); // '{"state":"running",...}'
 */
export const encodeState = (job: ShardJob): string => {
    const open: StoredState["open"] = hasEnded(job)
        ? []
        : [...job.occurrences.values()].map(occurrence => [occurrence.number, occurrence.steps.map(encodeStep)]);
    const stored: StoredState = {
        state: job.state,
        ...(job.endedAtMs === undefined ? {} : { endedAtMs: job.endedAtMs }),
        done: [...job.doneOccurrences],
        open,
    };
    return JSON.stringify(stored);
};

/**
 * Writes what a job was submitted with; the tasks of one that has ended are left out.
 *
 * @example
 * encodeSubmission(job);
 */
export const encodeSubmission = (job: ShardJob): string => {
    const { submission, queue, acceptedAtMs, order } = job;
    const kept = hasEnded(job) ? { ...submission, payload: "", steps: [] } : submission;
    const stored: StoredSubmission = { submission: kept, queue, acceptedAtMs, order };
    return JSON.stringify(stored);
};

const restoreTask = (task: ShardTask, stored: StoredTask | undefined, runs: StoredRun[]): void => {
    if (stored === undefined || stored === 0) {
        return;
    }
    if (stored === 1) {
        task.done = true;
        task.step.open -= 1;
        return;
    }
    const [lastRun, failures, checkpoint, storedRuns] = stored;
    task.lastRun = lastRun;
    task.failures = failures;
    task.checkpoint = checkpoint;
    for (const [workerId, run] of storedRuns) {
        runs.push({ taskName: task.name, run, workerId });
    }
};

const restoreState = (job: ShardJob, stored: StoredState): readonly StoredRun[] => {
    const runs: StoredRun[] = [];
    job.state = stored.state;
    job.shown = stored.state;
    job.started = stored.state !== "queued";
    job.endedAtMs = stored.endedAtMs;
    job.occurrences.clear();
    for (const number of stored.done) {
        job.doneOccurrences.add(number);
    }
    for (const [number, steps] of stored.open) {
        const occurrence = openOccurrence(job, number);
        for (const [index, step] of occurrence.steps.entries()) {
            const [gangFailures, gangFailedRun, tasks] = steps[index] ?? [0, 0, []];
            step.gangFailures = gangFailures;
            step.gangFailedRun = gangFailedRun;
            for (const task of step.tasks) {
                restoreTask(task, tasks[task.index], runs);
            }
        }
    }
    return runs;
};

/** Jobs as the store has them, with the runs that were meant to be started. */
export interface RestoredJobs {
    readonly jobs: readonly ShardJob[];
    readonly runs: readonly StoredRun[];
}

/**
 * Reads jobs back from all rows of a shard's part.
 *
 * @example
 * const { jobs, runs } = restoreJobs(rows);
 */
export const restoreJobs = (rows: readonly Row[]): RestoredJobs => {
    const byKey = new Map(rows.map(row => [row.key, row.value ?? ""]));
    const jobs: ShardJob[] = [];
    const runs: StoredRun[] = [];
    for (const [key, value] of byKey) {
        if (!key.startsWith(submissionPrefix)) {
            continue;
        }
        const stored = JSON.parse(value) as StoredSubmission;
        const stateText = byKey.get(statePrefix + key.slice(submissionPrefix.length))
            ?? die("internal", `the job ${key} has no state row`);
        const job = newJob(stored.submission, stored.queue, stored);
        job.stored = true;
        runs.push(...restoreState(job, JSON.parse(stateText) as StoredState));
        jobs.push(job);
    }
    return { jobs, runs };
};
