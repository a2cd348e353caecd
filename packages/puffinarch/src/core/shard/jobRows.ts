/** Rows that keep a job: one for its submission, written once, and a small one for its state, written at each change. */

import { type Row } from "../../types/cellPorts.js";
import { type JobState, type JobSubmission, type Queue } from "../../types/work.js";
import { die } from "../../utils/errors.js";
import { type RowChange } from "./commitLog.js";
import { hasEnded, letGo, newJob, openOccurrence, type ShardJob, type ShardStep, type ShardTask } from "./jobBook.js";
import { endedTable, journalTable } from "./shardTables.js";

/** Key prefix of the rows with submissions. */
const submissionPrefix = "job/";
/** Key prefix of the rows with states. */
const statePrefix = "state/";

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

/** Rows that an earlier version wrote lack these; the configuration brings them soon after a takeover. */
const noObjective = { stretch: 0, targetRuntimeMs: 0 };

/** 1: done; 0: untouched; else highest run, failures, checkpoint, runs as worker and number, and 1 where it is done. */
type StoredTask = 0 | 1 | readonly [number, number, string, readonly (readonly [string, number])[], (0 | 1)?];

interface StoredState {
    readonly state: JobState;
    readonly done: readonly number[];
    /** Number, then for each step its gang's failures, newest failed run and its tasks. */
    readonly open: readonly (readonly [number, readonly (readonly [number, number, readonly StoredTask[]])[]])[];
}

const encodeTask = (task: ShardTask): StoredTask => {
    if (task.done && task.runs.length === 0) {
        return 1;
    }
    if (task.lastRun === 0) {
        return 0;
    }
    const runs = task.runs.map(run => [run.workerId, run.run] as const);
    return task.done
        ? [task.lastRun, task.failures, task.checkpoint, runs, 1]
        : [task.lastRun, task.failures, task.checkpoint, runs];
};

const encodeStep = (step: ShardStep): readonly [number, number, readonly StoredTask[]] => [
    step.gangFailures,
    step.gangFailedRun,
    step.tasks.map(encodeTask),
];

const encodeState = (job: ShardJob): string => {
    const stored: StoredState = {
        state: job.state,
        done: [...job.doneOccurrences],
        open: [...job.occurrences.values()].map(({ number, steps }) => [number, steps.map(encodeStep)]),
    };
    return JSON.stringify(stored);
};

/**
 * Gives the rows that keep a job as it is now: two while it goes on or holds room, a small one after that.
 *
 * @example
 * const { puts, removes } = encodeJob(job);
 */
export const encodeJob = (job: ShardJob): RowChange => {
    const { jobId } = job.submission;
    const submission = { table: journalTable, key: submissionPrefix + jobId };
    const state = { table: journalTable, key: statePrefix + jobId };
    if (letGo(job) && hasEnded(job)) {
        const ended = { table: endedTable, key: jobId, value: JSON.stringify({ state: job.state }) };
        return { puts: [ended], removes: job.stored ? [submission, state] : [] };
    }
    return {
        puts: [
            ...(job.stored ? [] : [{ ...submission, value: encodeSubmission(job) }]),
            { ...state, value: encodeState(job) },
        ],
        removes: [],
    };
};

/**
 * Reads the state of a job that has ended.
 *
 * @example
 * decodeEnded('{"state":"completed"}'); // "completed"
 */
export const decodeEnded = (value: string): JobState => (JSON.parse(value) as { readonly state: JobState; }).state;

/** Writes what a job was submitted with. */
const encodeSubmission = ({ submission, queue, acceptedAtMs, order }: ShardJob): string => {
    const stored: StoredSubmission = { submission, queue, acceptedAtMs, order };
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
    const [lastRun, failures, checkpoint, storedRuns, done] = stored;
    if (done === 1) {
        task.done = true;
        task.step.open -= 1;
    }
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
        const job = newJob(stored.submission, { ...noObjective, ...stored.queue }, stored);
        job.stored = true;
        runs.push(...restoreState(job, JSON.parse(stateText) as StoredState));
        jobs.push(job);
    }
    return { jobs, runs };
};
