/**
 * Stores a job that goes on in a submission row, written once, and a state row, written at each change. The tasks of a small job are part
 * of its state row; those of a wide one are in task pages, of which each change writes only the affected ones. A job that has ended is
 * reduced to one row.
 */

import type { Row, StoreLimits } from "../../types/cellPorts.js";
import type { Clock } from "../../types/ports.js";
import type { JobStatus } from "../../types/work.js";
import { type Decoded, decodeRow } from "../../utils/decode.js";
import type { Accounts } from "./accounts.js";
import type { RowChange } from "./commitLog.js";
import {
    hasEnded,
    newJob,
    openOccurrence,
    pruneDoneOccurrences,
    settleRestored,
    type ShardJob,
    type ShardStep,
    stepsOf,
} from "./jobModel.js";
import {
    compactStep,
    endedSchema,
    pagedMarkSchema,
    pagedStateSchema,
    stateSchema,
    type StoredPagedState,
    type StoredState,
    type StoredTask,
    type StoredTaskPage,
    submissionSchema,
    taskPageSchema,
} from "./jobRowSchemas.js";
import type { RowReader } from "./rowReader.js";
import { endedTable, journalTable } from "./shardTables.js";
import {
    encodeTaskPages,
    jobIdOfTaskPage,
    maxCheckpointBytes,
    restoreTaskPage,
    taskPagePrefix,
    withoutReplacedTasks,
} from "./taskPages.js";
import {
    encodeDetails,
    encodeTask,
    restoreDetails,
    type RestoredLoss,
    type RestoredRuns,
    restoreTask,
    type RestoreTimes,
    type StoredRun,
} from "./taskRows.js";

/** Key prefix of submission rows. */
const submissionPrefix = "job/";
/** Key prefix of state rows. */
const statePrefix = "state/";
/** Most open tasks of a job whose state row holds them: it is written whole at each change of one of them. */
const maxSingleRowTasks = 500;

/** Most done occurrences that a state row lists one by one. */
const maxSingleDone = 100;

/** What is stored of a job that has ended. */
export interface EndedJob extends JobStatus {
    /** Organisation of its caller; empty for a caller without one. */
    readonly organisation: string;
    /** Organisations whose callers cancelled the job before it was submitted; undefined for a submitted job. */
    readonly cancelledFor?: readonly string[] | undefined;
}

const encodeStep = (step: ShardStep, checkpointBytes: number): [number, number, StoredTask[]] => [
    step.gangFailures,
    step.gangFailedRun,
    step.tasks.map(task => encodeTask(task, checkpointBytes)),
];

/**
 * Encodes the done occurrences: one by one if they are few, as earlier versions expect them, and otherwise as ranges. An earlier version
 * cannot read a row without `done` and leaves its job alone.
 */
const encodeDone = ({ doneOccurrences }: ShardJob): Pick<StoredState, "done" | "doneRanges"> => {
    const ranges = doneOccurrences.ranges();
    if (doneOccurrences.size() > maxSingleDone) {
        return { doneRanges: ranges.map(([from, to]) => [from, to]) };
    }
    return { done: ranges.flatMap(([from, to]) => Array.from({ length: to - from }, (_, index) => from + index)) };
};

/** Encodes a state row that holds all tasks of its job. */
const encodeState = (job: ShardJob, clock: Clock, rowBytes: number): string => {
    const checkpointBytes = maxCheckpointBytes(rowBytes);
    const stored: StoredState = {
        state: job.state,
        failure: job.failure,
        ...encodeDetails([...stepsOf(job)].flatMap(({ tasks }) => tasks), clock),
        writtenAtMs: clock.nowMs(),
        ...encodeDone(job),
        open: [...job.occurrences.values()].map(({ number, steps }) => [
            number,
            steps.map(step => encodeStep(step, checkpointBytes)),
        ]),
    };
    return JSON.stringify(stored);
};

/** Encodes a state row whose job has its tasks in task pages. */
const encodePagedState = (job: ShardJob, clock: Clock): string => {
    const stored: StoredPagedState = {
        state: job.state,
        failure: job.failure,
        writtenAtMs: clock.nowMs(),
        ...encodeDone(job),
        paged: true,
    };
    return JSON.stringify(stored);
};

/** Encodes a job's state as a state row, and task pages where the tasks don't fit into it. */
const encodeProgress = (
    job: ShardJob,
    clock: Clock,
    rowBytes: number,
): { readonly state: string; readonly pages: ReadonlyMap<string, string>; } => {
    const openTasks = [...stepsOf(job)].reduce((sum, { tasks }) => sum + tasks.length, 0);
    const state = openTasks > maxSingleRowTasks ? undefined : encodeState(job, clock, rowBytes);
    return state === undefined || Buffer.byteLength(state) > rowBytes
        ? { state: encodePagedState(job, clock), pages: encodeTaskPages(job, clock, rowBytes) }
        : { state, pages: new Map() };
};

const toEndedJob = ({ state, failure, account }: ShardJob): EndedJob => ({
    state,
    failure,
    organisation: account.organisation,
});

const journalRow = (key: string): { readonly table: string; readonly key: string; } => ({ table: journalTable, key });

/**
 * Encodes a job as the rows to put and remove since its last commit. Where a change takes several transactions, its rows are written in
 * this order, and a successor may find only the first of them: task pages come before the state row, so that a job never counts as ended
 * or an occurrence as done before its tasks do, and the submission row comes last. The row of a job that has ended is written together
 * with the removal of its submission row; what is left of its other rows then belongs to no job.
 *
 * @example
 * const { puts, removes } = encodeJob(job, clock, { rowBytes: 49_152 });
 */
export const encodeJob = (job: ShardJob, clock: Clock, { rowBytes }: Pick<StoreLimits, "rowBytes">): RowChange => {
    const { jobId } = job.submission;
    const submissionKey = submissionPrefix + jobId;
    const stateKey = statePrefix + jobId;
    if (pruneDoneOccurrences(job) && hasEnded(job)) {
        const ended = { table: endedTable, key: jobId, value: JSON.stringify(toEndedJob(job)) };
        const keys = [submissionKey, stateKey, ...job.storedRows.keys()].filter(key => job.storedRows.has(key));
        return { puts: [ended], removes: [...new Set(keys)].map(journalRow) };
    }
    const { state, pages } = encodeProgress(job, clock, rowBytes);
    const changedPages = [...pages].filter(([key, value]) => job.storedRows.get(key) !== value);
    const formerPages = [...job.storedRows.keys()].filter(key => key.startsWith(taskPagePrefix) && !pages.has(key));
    return {
        puts: [
            ...changedPages.map(([key, value]) => ({ ...journalRow(key), value })),
            { ...journalRow(stateKey), value: state },
            ...(job.storedRows.has(submissionKey)
                ? []
                : [{ ...journalRow(submissionKey), value: encodeSubmission(job) }]),
        ],
        removes: formerPages.map(journalRow),
    };
};

/**
 * Records that rows of a job have become durable.
 *
 * @example
 * recordWritten(job, encodeJob(job, clock, limits));
 */
export const recordWritten = (job: ShardJob, { puts, removes }: RowChange): void => {
    for (const { table, key, value } of puts) {
        if (table === journalTable) {
            job.storedRows.set(key, key.startsWith(taskPagePrefix) ? value : "");
        }
    }
    for (const { key } of removes) {
        job.storedRows.delete(key);
    }
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
    const steps = submission.steps.map(compactStep);
    const stored = { submission: { ...submission, steps }, queue, cap: account.cap, beyondShare, acceptedAtMs, order };
    return JSON.stringify(stored);
};

const restoreJobState = (
    job: ShardJob,
    { state, failure, done = [], doneRanges = [] }: StoredState | StoredPagedState,
): void => {
    job.state = state;
    job.visibleState = state;
    job.failure = failure;
    job.started = state !== "queued";
    job.occurrences.clear();
    for (const range of [...doneRanges, ...done.map(number => [number, number + 1] as const)]) {
        job.doneOccurrences.addRange(range);
    }
};

const restoreTimes = (clock: Clock, { writtenAtMs }: StoredState | StoredPagedState): RestoreTimes => {
    const nowMs = clock.monotonicMs();
    const toLocalMs = (epochMs: number): number => nowMs + epochMs - clock.nowMs();
    return { nowMs, toLocalMs, storedAtMs: toLocalMs(writtenAtMs) };
};

const restoreState = (job: ShardJob, stored: StoredState, clock: Clock): RestoredRuns => {
    restoreJobState(job, stored);
    const live = stored.open.flatMap(([number, steps]) =>
        openOccurrence(job, number).steps.flatMap((step, index) => {
            const [gangFailures, gangFailedRun, tasks] = steps[index] ?? [0, 0, []];
            step.gangFailures = gangFailures;
            step.gangFailedRun = gangFailedRun;
            return step.tasks.flatMap(task =>
                restoreTask(task, tasks[task.index] ?? 0).map(([workerId, run]) => ({ task, workerId, run }))
            );
        })
    );
    return restoreDetails(job, stored, live, restoreTimes(clock, stored));
};

/** Restores a job from its task pages, given the oldest first. */
const restorePagedState = (
    job: ShardJob,
    stored: StoredPagedState,
    pages: readonly StoredTaskPage[],
    clock: Clock,
): RestoredRuns => {
    restoreJobState(job, stored);
    const numbers = new Set(pages.map(({ occurrence }) => occurrence));
    if (job.submission.schedule.repeatCount === 0 && !job.doneOccurrences.has(0)) {
        numbers.add(0);
    }
    for (const number of numbers) {
        openOccurrence(job, number);
    }
    const times = restoreTimes(clock, stored);
    const restored = withoutReplacedTasks(job, pages).map(page => restoreTaskPage(job, page, times));
    settleRestored(job, times.nowMs);
    return { runs: restored.flatMap(({ runs }) => runs), losses: restored.flatMap(({ losses }) => losses) };
};

/** Jobs as they were stored, with the runs that were to be started and those that were lost. */
export interface RestoredJobs extends RestoredRuns {
    readonly jobs: readonly ShardJob[];
    /** Keys of rows whose job has no submission row, by job ID: what an unfinished commit of a former owner has left. */
    readonly leftovers: ReadonlyMap<string, readonly string[]>;
    /** IDs of the jobs that were left out, as a row of theirs cannot be read. */
    readonly leftOut: ReadonlySet<string>;
}

/** Rows of one job. */
interface JobRows {
    submission: Row | undefined;
    state: Row | undefined;
    readonly pages: Row[];
}

/** Where the rows of each kind, by the prefix of their keys, belong among the rows of their job. */
const rowPlaces: Readonly<Record<string, (rows: JobRows, row: Row) => void>> = {
    [submissionPrefix]: (rows, row) => {
        rows.submission = row;
    },
    [statePrefix]: (rows, row) => {
        rows.state = row;
    },
    [taskPagePrefix]: (rows, row) => {
        rows.pages.push(row);
    },
};

const groupByJob = (rows: readonly Row[]): ReadonlyMap<string, JobRows> => {
    const jobs = new Map<string, JobRows>();
    for (const row of rows) {
        const prefix = row.key.slice(0, row.key.indexOf("/") + 1);
        const place = rowPlaces[prefix];
        if (place === undefined) {
            continue;
        }
        const jobId = prefix === taskPagePrefix ? jobIdOfTaskPage(row.key) : row.key.slice(prefix.length);
        const jobRows = jobs.get(jobId) ?? { submission: undefined, state: undefined, pages: [] };
        jobs.set(jobId, jobRows);
        place(jobRows, row);
    }
    return jobs;
};

const keysOf = ({ submission, state, pages }: JobRows): readonly string[] =>
    [submission, state, ...pages].flatMap(row => row?.key ?? []);

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
    const jobs: ShardJob[] = [];
    const runs: StoredRun[] = [];
    const losses: RestoredLoss[] = [];
    const leftovers = new Map<string, readonly string[]>();
    const leftOut = new Set<string>();

    const restoreProgress = (job: ShardJob, state: Row, pageRows: readonly Row[]): RestoredRuns | undefined => {
        const mark = decodeRow(state, pagedMarkSchema);
        if (mark.kind !== "entry" || mark.entry.paged !== true) {
            const stored = reader.entryOf(state, decodeRow(state, stateSchema));
            return stored === undefined ? undefined : restoreState(job, stored, clock);
        }
        const stored = reader.entryOf(state, decodeRow(state, pagedStateSchema));
        const oldestFirst = [...pageRows].sort((left, right) => left.version - right.version);
        const pages = oldestFirst.flatMap(row => reader.entryOf(row, decodeRow(row, taskPageSchema)) ?? []);
        return stored === undefined || pages.length < pageRows.length
            ? undefined
            : restorePagedState(job, stored, pages, clock);
    };

    for (const [jobId, jobRows] of groupByJob(rows)) {
        const { submission: row, pages } = jobRows;
        if (row === undefined) {
            leftovers.set(jobId, keysOf(jobRows));
            continue;
        }
        const stored = reader.entryOf(row, decodeRow(row, submissionSchema));
        const stateRow = jobRows.state ?? { ...row, key: statePrefix + jobId, value: "" };
        if (stored === undefined) {
            leftOut.add(jobId);
            continue;
        }
        const { submission, queue, acceptedAtMs, order, cap, beyondShare } = stored;
        const account = accounts.of(submission.organisation ?? "", cap);
        const job = newJob(submission, queue, { acceptedAtMs, order, account, beyondShare });
        const progress = restoreProgress(job, stateRow, pages);
        if (progress === undefined) {
            leftOut.add(jobId);
            continue;
        }
        job.stored = true;
        for (const key of keysOf(jobRows)) {
            job.storedRows.set(key, pages.find(page => page.key === key)?.value ?? "");
        }
        runs.push(...progress.runs);
        losses.push(...progress.losses);
        jobs.push(job);
    }
    return { jobs, runs, losses, leftovers, leftOut };
};
