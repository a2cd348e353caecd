/**
 * Stores each job in two rows: its submission, written once, and its small state, written at each change. A job that has ended is reduced
 * to one row.
 */

import { type Row } from "../../types/cellPorts.js";
import type { Clock } from "../../types/ports.js";
import type { JobStatus } from "../../types/work.js";
import { type Decoded, decodeRow } from "../../utils/decode.js";
import type { Accounts } from "./accounts.js";
import { type RowChange } from "./commitLog.js";
import type { CrashedRun } from "./crashes.js";
import {
    hasEnded,
    newJob,
    openOccurrence,
    pruneDoneOccurrences,
    recordCheckpoint,
    runsOf,
    type ShardJob,
    type ShardStep,
    type ShardTask,
    stepsOf,
} from "./jobModel.js";
import {
    endedSchema,
    stateSchema,
    type StoredCrashedTask,
    type StoredFailedTask,
    type StoredLoss,
    type StoredState,
    type StoredTask,
    type StoredUnanswered,
    submissionSchema,
} from "./jobRowSchemas.js";
import type { RowReader } from "./rowReader.js";
import { endedTable, journalTable } from "./shardTables.js";
import { runKey } from "./workerTable.js";

/** Key prefix of submission rows. */
const submissionPrefix = "job/";
/** Key prefix of state rows. */
const statePrefix = "state/";

/** What is stored of a job that has ended. */
export interface EndedJob extends JobStatus {
    /** Organisation of its caller; empty for a caller without one. */
    readonly organisation: string;
    /** Organisations whose callers cancelled the job before it was submitted; undefined for a submitted job. */
    readonly cancelledFor?: readonly string[] | undefined;
}

/** A run that a state row lists: its start was intended, and may have been ordered. */
export interface StoredRun {
    readonly taskName: string;
    readonly run: number;
    readonly workerId: string;
    /** Start time of the worker incarnation that it was planned for; undefined if the row does not state it. */
    readonly bornAtMs: number | undefined;
    /** Address of the worker; empty if the row does not state it. */
    readonly address: string;
    /** Local time until which its unanswered start order may still be carried out; undefined if the row does not state it. */
    readonly mayArriveUntilMs: number | undefined;
    /** The worker incarnation that answered the last look does not run it and would refuse its order. */
    readonly absent: boolean;
    /** A worker incarnation that never answered a look may have crashed because of it. */
    readonly mayHaveCrashed: boolean;
    /** Local time at which the state row was written. */
    readonly storedAtMs: number;
}

/** A run that was lost under a former owner because its worker stopped answering; whether the worker crashed is not known. */
export interface RestoredLoss {
    readonly workerId: string;
    /** Address of the worker. */
    readonly address: string;
    readonly crashed: CrashedRun;
}

const encodeTask = (task: ShardTask): StoredTask => {
    if (task.done && task.runs.length === 0) {
        return 1;
    }
    if (task.lastRun === 0) {
        return 0;
    }
    const runs = task.runs.map((run): [string, number] => [run.workerId, run.run]);
    return task.done
        ? [task.lastRun, task.failures, task.saved.checkpoint, runs, 1]
        : [task.lastRun, task.failures, task.saved.checkpoint, runs];
};

const encodeStep = (step: ShardStep): [number, number, StoredTask[]] => [
    step.gangFailures,
    step.gangFailedRun,
    step.tasks.map(encodeTask),
];

type TaskPosition = StoredCrashedTask["place"];

const positionOf = ({ step, index }: ShardTask): TaskPosition => [step.occurrence.number, step.number, index];

const taskAt = (job: ShardJob, [occurrence, step, index]: TaskPosition): ShardTask | undefined =>
    job.occurrences.get(occurrence)?.steps[step]?.tasks[index];

/** Workers on which tasks failed. Without them, a successor could spend a task's last attempt on a worker that has failed it before. */
const encodeFailed = (job: ShardJob): StoredFailedTask[] => {
    const failed: StoredFailedTask[] = [];
    for (const step of stepsOf(job)) {
        for (const task of step.tasks) {
            if (task.failedOn.size > 0 && !task.done) {
                failed.push({ place: positionOf(task), workerIds: [...task.failedOn.keys()] });
            }
        }
    }
    return failed;
};

/** Crash counts of tasks. They are durable no later than the next intent to start the task, so that a successor continues from them. */
const encodeCrashed = (job: ShardJob): StoredCrashedTask[] => {
    const crashed: StoredCrashedTask[] = [];
    for (const step of stepsOf(job)) {
        for (const task of step.tasks) {
            const { crashes, crashesExcused: excused, crashesUnconfirmed: unconfirmed, confirmedRun, done } = task;
            const { possibleCrashes: possible } = task;
            if (crashes + excused + possible + confirmedRun > 0 && !done) {
                crashed.push({ place: positionOf(task), crashes, excused, unconfirmed, possible, confirmedRun });
            }
        }
    }
    return crashed;
};

/** Runs that were lost with workers that stopped answering. Whether they crashed their workers may become known only under a successor. */
const encodeLosses = (job: ShardJob): StoredLoss[] => {
    const lost: StoredLoss[] = [];
    for (const { tasks } of stepsOf(job)) {
        for (const task of tasks) {
            for (const loss of task.done ? [] : task.unresolvedLosses) {
                const { run, workerId, bornAtMs, address, alone, confirmed } = loss;
                lost.push({ place: positionOf(task), run, workerId, bornAtMs, address, alone, confirmed });
            }
        }
    }
    return lost;
};

/**
 * Addresses of the workers of live runs, by worker ID. If the worker list shows another incarnation at an address, a successor detects
 * the crash at once; otherwise it would wait 7.6 s for the leases to expire and count no crash.
 */
const encodeAddresses = (job: ShardJob): Readonly<Record<string, string>> =>
    Object.fromEntries([...runsOf(job)].map(({ workerId, address }) => [workerId, address]));

/**
 * Start times of the worker incarnations of live runs, by worker ID. With them a successor can detect that an incarnation is over and
 * crashed under its runs.
 */
const encodeIncarnations = (job: ShardJob): Readonly<Record<string, number>> => {
    const incarnations: Record<string, number> = {};
    for (const { workerId, bornAtMs } of runsOf(job)) {
        if (bornAtMs !== undefined) {
            incarnations[workerId] = bornAtMs;
        }
    }
    return incarnations;
};

/**
 * Live runs whose start order is unanswered. Without them, a successor would start the task elsewhere as soon as a look does not list the
 * run, although the order may still be carried out.
 */
const encodeUnanswered = (job: ShardJob, clock: Clock): readonly StoredUnanswered[] => {
    const unanswered: StoredUnanswered[] = [];
    for (const { task, run, mayArriveUntilMs, absent, mayHaveCrashed } of runsOf(job)) {
        if (mayArriveUntilMs !== undefined) {
            const untilMs = clock.nowMs() + mayArriveUntilMs - clock.monotonicMs();
            unanswered.push({ place: positionOf(task), run, untilMs, absent, mayHaveCrashed });
        }
    }
    return unanswered;
};

const encodeState = (job: ShardJob, clock: Clock): string => {
    const stored: StoredState = {
        state: job.state,
        failure: job.failure,
        crashed: encodeCrashed(job),
        lost: encodeLosses(job),
        failed: encodeFailed(job),
        addresses: encodeAddresses(job),
        lives: encodeIncarnations(job),
        writtenAtMs: clock.nowMs(),
        unanswered: [...encodeUnanswered(job, clock)],
        done: [...job.doneOccurrences],
        open: [...job.occurrences.values()].map(({ number, steps }) => [number, steps.map(encodeStep)]),
    };
    return JSON.stringify(stored);
};

const toEndedJob = ({ state, failure, account }: ShardJob): EndedJob => ({
    state,
    failure,
    organisation: account.organisation,
});

/**
 * Encodes a job as rows: submission and state while the job goes on or a run of it reserves capacity, and one small row after that.
 *
 * @example
 * const { puts, removes } = encodeJob(job, clock);
 */
export const encodeJob = (job: ShardJob, clock: Clock): RowChange => {
    const { jobId } = job.submission;
    const submission = { table: journalTable, key: submissionPrefix + jobId };
    const state = { table: journalTable, key: statePrefix + jobId };
    if (pruneDoneOccurrences(job) && hasEnded(job)) {
        const ended = { table: endedTable, key: jobId, value: JSON.stringify(toEndedJob(job)) };
        return { puts: [ended], removes: job.stored ? [submission, state] : [] };
    }
    return {
        puts: [
            ...(job.stored ? [] : [{ ...submission, value: encodeSubmission(job) }]),
            { ...state, value: encodeState(job, clock) },
        ],
        removes: [],
    };
};

/**
 * Decodes the row of a job that has ended.
 *
 * @example
 * decodeEnded({ value: '{"state":"completed"}' }); // { kind: "entry", entry: { state: "completed", organisation: "" } }
 */
export const decodeEnded = (row: Pick<Row, "value">): Decoded<EndedJob> => decodeRow(row, endedSchema);

/** Encodes the submission row of a job. */
const encodeSubmission = ({ submission, queue, account, beyondShare, acceptedAtMs, order }: ShardJob): string => {
    const stored = { submission, queue, cap: account.cap, beyondShare, acceptedAtMs, order };
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
    // Earlier versions stored a checkpoint of its own for each member of a gang; the last one becomes that of all.
    recordCheckpoint(task, lastRun, checkpoint);
    for (const [workerId, run] of storedRuns) {
        runs.push({
            taskName: task.name,
            run,
            workerId,
            bornAtMs: undefined,
            address: "",
            mayArriveUntilMs: undefined,
            absent: false,
            mayHaveCrashed: false,
            storedAtMs: 0,
        });
    }
};

const restoreCrashes = (
    job: ShardJob,
    { place, crashes, excused, unconfirmed, possible, confirmedRun }: StoredCrashedTask,
): void => {
    const task = taskAt(job, place);
    if (task !== undefined) {
        task.crashes = crashes;
        task.crashesExcused = excused;
        task.crashesUnconfirmed = unconfirmed;
        task.possibleCrashes = possible;
        task.confirmedRun = confirmedRun;
    }
};

const restoreLosses = (job: ShardJob, stored: readonly StoredLoss[]): readonly RestoredLoss[] =>
    stored.flatMap(({ place, run, workerId, bornAtMs, address, alone, confirmed }) => {
        const task = taskAt(job, place);
        // It is no longer known which other workers stopped answering at that moment, so a time is set that matches no other crash.
        const goneAtMs = -Infinity;
        return task === undefined
            ? []
            : [{ workerId, address, crashed: { task, run, bornAtMs, goneAtMs, alone, confirmed } }];
    });

const restoreState = (job: ShardJob, stored: StoredState, clock: Clock): Pick<RestoredJobs, "runs" | "losses"> => {
    const nowMs = clock.monotonicMs();
    const runs: StoredRun[] = [];
    job.state = stored.state;
    job.visibleState = stored.state;
    job.failure = stored.failure;
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
    for (const crashed of stored.crashed) {
        restoreCrashes(job, crashed);
    }
    for (const { place, workerIds } of stored.failed) {
        for (const workerId of workerIds) {
            taskAt(job, place)?.failedOn.set(workerId, nowMs);
        }
    }
    const unanswered = new Map(
        stored.unanswered.map(each => [runKey(taskAt(job, each.place)?.name ?? "", each.run), each]),
    );
    const toMonotonicMs = (epochMs: number): number => nowMs + epochMs - clock.nowMs();
    return {
        runs: runs.map(run => {
            const start = unanswered.get(runKey(run.taskName, run.run));
            return {
                ...run,
                address: stored.addresses[run.workerId] ?? "",
                bornAtMs: stored.lives[run.workerId],
                absent: start?.absent ?? false,
                mayHaveCrashed: start?.mayHaveCrashed ?? false,
                mayArriveUntilMs: start && toMonotonicMs(start.untilMs),
                storedAtMs: toMonotonicMs(stored.writtenAtMs),
            };
        }),
        losses: restoreLosses(job, stored.lost),
    };
};

/** Jobs as they were stored, with the runs that were to be started and those that were lost. */
export interface RestoredJobs {
    readonly jobs: readonly ShardJob[];
    readonly runs: readonly StoredRun[];
    readonly losses: readonly RestoredLoss[];
}

/**
 * Restores jobs from all rows of a shard's partition. If a row of a job cannot be read, the job is left out and its rows stay unchanged,
 * as starting it over could run it twice.
 *
 * @example
 * const { jobs, runs } = restoreJobs(rows, { reader: createRowReader({ log, meter }), accounts, clock });
 */
export const restoreJobs = (
    rows: readonly Row[],
    { reader, accounts, clock }: {
        readonly reader: RowReader;
        readonly accounts: Pick<Accounts, "of">;
        readonly clock: Clock;
    },
): RestoredJobs => {
    const byKey = new Map(rows.map(row => [row.key, row]));
    const jobs: ShardJob[] = [];
    const runs: StoredRun[] = [];
    const losses: RestoredLoss[] = [];
    for (const row of byKey.values()) {
        if (!row.key.startsWith(submissionPrefix)) {
            continue;
        }
        const stored = reader.entryOf(row, decodeRow(row, submissionSchema));
        const stateKey = statePrefix + row.key.slice(submissionPrefix.length);
        const stateRow = byKey.get(stateKey) ?? { ...row, key: stateKey, value: "" };
        const state = reader.entryOf(stateRow, decodeRow(stateRow, stateSchema));
        if (stored === undefined || state === undefined) {
            continue;
        }
        const { submission, queue, acceptedAtMs, order, cap, beyondShare } = stored;
        const account = accounts.of(submission.organisation ?? "", cap);
        const job = newJob(submission, queue, { acceptedAtMs, order, account, beyondShare });
        job.stored = true;
        const restored = restoreState(job, state, clock);
        runs.push(...restored.runs);
        losses.push(...restored.losses);
        jobs.push(job);
    }
    return { jobs, runs, losses };
};
