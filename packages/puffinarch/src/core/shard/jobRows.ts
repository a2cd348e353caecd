/** Rows that keep a job: one for its submission, written once, and a small one for its state, written at each change. */

import { type Row } from "../../types/cellPorts.js";
import type { Clock } from "../../types/ports.js";
import type { JobStatus } from "../../types/work.js";
import { type Decoded, decodeRow } from "../../utils/decode.js";
import type { Accounts } from "./accounts.js";
import { type RowChange } from "./commitLog.js";
import type { CrashedRun } from "./crashes.js";
import {
    hasEnded,
    letGo,
    newJob,
    openOccurrence,
    runsOf,
    type ShardJob,
    type ShardStep,
    type ShardTask,
    stepsOf,
} from "./jobBook.js";
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

/** Key prefix of the rows with submissions. */
const submissionPrefix = "job/";
/** Key prefix of the rows with states. */
const statePrefix = "state/";

/** A job that has ended, as its row keeps it. */
export interface EndedJob extends JobStatus {
    /** Empty where its caller belonged to none. */
    readonly organisation: string;
}

/** A run as its intent was made durable: worker and number. */
export interface StoredRun {
    readonly taskName: string;
    readonly run: number;
    readonly workerId: string;
    /** When the worker's incarnation began; undefined where the row does not say. */
    readonly bornAtMs: number | undefined;
    /** Where the worker is reached; empty where the row does not say. */
    readonly address: string;
    /** Local time until which its start may be carried out, which got no answer; undefined where that is not known. */
    readonly mayArriveUntilMs: number | undefined;
    /** An incarnation of its worker that was looked at does not have it. */
    readonly absent: boolean;
    /** An incarnation that nobody looked at may have crashed by it. */
    readonly mayHaveCrashed: boolean;
    /** Local time at which it was made durable, or a later change of its job. */
    readonly storedAtMs: number;
}

/** A run that was lost with a silent worker under a former owner. */
export interface RestoredLoss {
    readonly workerId: string;
    /** Where the worker was reached. */
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
        ? [task.lastRun, task.failures, task.checkpoint, runs, 1]
        : [task.lastRun, task.failures, task.checkpoint, runs];
};

const encodeStep = (step: ShardStep): [number, number, StoredTask[]] => [
    step.gangFailures,
    step.gangFailedRun,
    step.tasks.map(encodeTask),
];

type Place = StoredCrashedTask["place"];

const placeOf = ({ step, index }: ShardTask): Place => [step.occurrence.number, step.number, index];

const taskAt = (job: ShardJob, [occurrence, step, index]: Place): ShardTask | undefined =>
    job.occurrences.get(occurrence)?.steps[step]?.tasks[index];

/** A successor keeps a task off the workers that failed it, too: it would else spend the last attempt on one of them. */
const encodeFailed = (job: ShardJob): StoredFailedTask[] => {
    const failed: StoredFailedTask[] = [];
    for (const step of stepsOf(job)) {
        for (const task of step.tasks) {
            if (task.failedOn.size > 0 && !task.done) {
                failed.push({ place: placeOf(task), workerIds: [...task.failedOn.keys()] });
            }
        }
    }
    return failed;
};

/** Crashes are written with the next intent of a start at the latest, so that a successor counts on from them. */
const encodeCrashed = (job: ShardJob): StoredCrashedTask[] => {
    const crashed: StoredCrashedTask[] = [];
    for (const step of stepsOf(job)) {
        for (const task of step.tasks) {
            const { crashes, crashesExcused: excused, crashesUnconfirmed: unconfirmed, confirmedRun, done } = task;
            const { possibleCrashes: possible } = task;
            if (crashes + excused + possible + confirmedRun > 0 && !done) {
                crashed.push({ place: placeOf(task), crashes, excused, unconfirmed, possible, confirmedRun });
            }
        }
    }
    return crashed;
};

/** What was lost with a silent worker may have crashed it, which may be known under a successor only. */
const encodeLosses = (job: ShardJob): StoredLoss[] => {
    const lost: StoredLoss[] = [];
    for (const { tasks } of stepsOf(job)) {
        for (const task of tasks) {
            for (const loss of task.done ? [] : task.unresolvedLosses) {
                const { run, workerId, bornAtMs, address, alone, confirmed } = loss;
                lost.push({ place: placeOf(task), run, workerId, bornAtMs, address, alone, confirmed });
            }
        }
    }
    return lost;
};

/**
 * With the address a successor knows at once that a worker of which the list has another incarnation crashed; it would else wait
 * for 7.6 s of leases, and count nothing.
 */
const encodeAddresses = (job: ShardJob): Readonly<Record<string, string>> =>
    Object.fromEntries([...runsOf(job)].map(({ workerId, address }) => [workerId, address]));

/** A successor knows by them which runs were for an incarnation that is over by now, and that its worker crashed under them. */
const encodeIncarnations = (job: ShardJob): Readonly<Record<string, number>> => {
    const incarnations: Record<string, number> = {};
    for (const { workerId, bornAtMs } of runsOf(job)) {
        if (bornAtMs !== undefined) {
            incarnations[workerId] = bornAtMs;
        }
    }
    return incarnations;
};

/** A successor would else start a task elsewhere as soon as a look does not list its run. */
const encodeUnanswered = (job: ShardJob, clock: Clock): readonly StoredUnanswered[] => {
    const unanswered: StoredUnanswered[] = [];
    for (const { task, run, mayArriveUntilMs, absent, mayHaveCrashed } of runsOf(job)) {
        if (mayArriveUntilMs !== undefined) {
            const untilMs = clock.nowMs() + mayArriveUntilMs - clock.monotonicMs();
            unanswered.push({ place: placeOf(task), run, untilMs, absent, mayHaveCrashed });
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

const endedOf = ({ state, failure, account }: ShardJob): EndedJob => ({
    state,
    failure,
    organisation: account.organisation,
});

/**
 * Gives the rows that keep a job as it is now: two while it goes on or holds room, a small one after that.
 *
 * @example
 * const { puts, removes } = encodeJob(job, clock);
 */
export const encodeJob = (job: ShardJob, clock: Clock): RowChange => {
    const { jobId } = job.submission;
    const submission = { table: journalTable, key: submissionPrefix + jobId };
    const state = { table: journalTable, key: statePrefix + jobId };
    if (letGo(job) && hasEnded(job)) {
        const ended = { table: endedTable, key: jobId, value: JSON.stringify(endedOf(job)) };
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
 * Reads the state of a job that has ended.
 *
 * @example
 * decodeEnded({ value: '{"state":"completed"}' }); // { kind: "entry", entry: { state: "completed", organisation: "" } }
 */
export const decodeEnded = (row: Pick<Row, "value">): Decoded<EndedJob> => decodeRow(row, endedSchema);

/** Writes what a job was submitted with. */
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
    task.checkpoint = checkpoint;
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
        // Which workers fell silent at that moment is not known any more.
        const goneAtMs = -Infinity;
        return task === undefined
            ? []
            : [{ workerId, address, crashed: { task, run, bornAtMs, goneAtMs, alone, confirmed } }];
    });

const restoreState = (job: ShardJob, stored: StoredState, clock: Clock): Pick<RestoredJobs, "runs" | "losses"> => {
    const nowMs = clock.monotonicMs();
    const runs: StoredRun[] = [];
    job.state = stored.state;
    job.shown = stored.state;
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
    const localMs = (epochMs: number): number => nowMs + epochMs - clock.nowMs();
    return {
        runs: runs.map(run => {
            const start = unanswered.get(runKey(run.taskName, run.run));
            return {
                ...run,
                address: stored.addresses[run.workerId] ?? "",
                bornAtMs: stored.lives[run.workerId],
                absent: start?.absent ?? false,
                mayHaveCrashed: start?.mayHaveCrashed ?? false,
                mayArriveUntilMs: start && localMs(start.untilMs),
                storedAtMs: localMs(stored.writtenAtMs),
            };
        }),
        losses: restoreLosses(job, stored.lost),
    };
};

/** Jobs as the store has them, with the runs that were meant to be started and those that were lost. */
export interface RestoredJobs {
    readonly jobs: readonly ShardJob[];
    readonly runs: readonly StoredRun[];
    readonly losses: readonly RestoredLoss[];
}

/**
 * Reads jobs back from all rows of a shard's part. A job of which a row cannot be read is left out, with its rows as they
 * are: to run it anew might run it twice.
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
