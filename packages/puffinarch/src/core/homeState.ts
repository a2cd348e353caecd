/** State of a home's jobs: a reducer over journal records, used for replay and for new records alike. */

import {
    isFinal,
    type Job,
    jobIdOf,
    type JobSpec,
    type Task,
    taskIdOf,
    type TaskState,
    taskStates,
} from "../types/job.js";
import type {
    AttemptAbandonedRecord,
    AttemptIntendedRecord,
    JobAcceptedRecord,
    JobCancelledRecord,
    JournalRecord,
    TaskCancelledRecord,
    TaskEndedRecord,
} from "../types/records.js";

/** Mutable state of one task inside a home. */
export interface TaskEntry {
    readonly taskId: string;
    readonly job: JobEntry;
    readonly index: number;
    state: TaskState;
    attempts: number;
    attemptId: string | undefined;
    workerId: string | undefined;
    rackKey: string | undefined;
    /** Ids of the latest abandoned attempts; recovery does not adopt them again. */
    abandonedIds: readonly string[];
    /** Generation of the VM list in which the attempt's worker was seen. */
    listedGeneration: number;
    detail: string;
    mayHaveStarted: boolean;
    cancelled: boolean;
    /** Saved progress that the next attempt resumes from; empty for none. */
    checkpoint: string;
    result: string | undefined;
    resultKey: string | undefined;
    queuedAtMs: number;
    startedAtMs: number | undefined;
    endedAtMs: number | undefined;
    /** Session that owned the rack and version of the rack's row when the attempt was last confirmed; not journaled. */
    confirmedBy: string | undefined;
    /** Workers on which an attempt failed; not journaled. */
    readonly failedOn: Set<string>;
    /** Attempts that failed; not journaled. */
    failures: number;
    /** Pending commit of the attempt's report; not journaled. */
    settling: Promise<void> | undefined;
}

/** One job and its tasks inside a home. */
export interface JobEntry {
    readonly spec: JobSpec;
    readonly acceptedAtMs: number;
    readonly tasks: TaskEntry[];
    readonly counts: Map<TaskState, number>;
    cancelled: boolean;
    /** True while the gang is in the queue; not journaled. */
    gangQueued: boolean;
}

const abandonedIdsKept = 16;

/** Fields of `TaskEntry` that a snapshot stores. */
export type TaskSnapshot = Pick<
    TaskEntry,
    | "state"
    | "attempts"
    | "attemptId"
    | "workerId"
    | "rackKey"
    | "abandonedIds"
    | "listedGeneration"
    | "detail"
    | "mayHaveStarted"
    | "cancelled"
    | "checkpoint"
    | "result"
    | "resultKey"
    | "queuedAtMs"
    | "startedAtMs"
    | "endedAtMs"
>;

/** Fields of a job that a snapshot stores. */
export interface JobSnapshot {
    readonly spec: JobSpec;
    readonly acceptedAtMs: number;
    readonly cancelled: boolean;
    readonly tasks: readonly TaskSnapshot[];
}

/** A home's state at one point of its journal. */
export type HomeSnapshot = readonly JobSnapshot[];

const taskSnapshotOf = (task: TaskEntry): TaskSnapshot => ({
    state: task.state,
    attempts: task.attempts,
    attemptId: task.attemptId,
    workerId: task.workerId,
    rackKey: task.rackKey,
    abandonedIds: task.abandonedIds,
    listedGeneration: task.listedGeneration,
    detail: task.detail,
    mayHaveStarted: task.mayHaveStarted,
    cancelled: task.cancelled,
    checkpoint: task.checkpoint,
    result: task.result,
    resultKey: task.resultKey,
    queuedAtMs: task.queuedAtMs,
    startedAtMs: task.startedAtMs,
    endedAtMs: task.endedAtMs,
});

const snapshotOf = ({ spec, acceptedAtMs, cancelled, tasks }: JobEntry): JobSnapshot => ({
    spec,
    acceptedAtMs,
    cancelled,
    tasks: tasks.map(taskSnapshotOf),
});

/**
 * Returns whether a task or its whole job was cancelled.
 *
 * @example
 * if (isCancelled(task)) { await stop([task]); }
 */
export const isCancelled = (task: TaskEntry): boolean => task.cancelled || task.job.cancelled;

/** Jobs of one home. */
export interface HomeState {
    apply(record: JournalRecord): void;
    job(jobId: string): JobEntry | undefined;
    task(taskId: string): TaskEntry | undefined;
    jobs(): IterableIterator<JobEntry>;
    /** Changes a state that is not journaled, such as starting to running. */
    setState(task: TaskEntry, state: TaskState): void;
    /** Tasks that hold an attempt. */
    active(): IterableIterator<TaskEntry>;
    snapshot(): HomeSnapshot;
    /** Restores a snapshot; it must be called before any record is applied. */
    load(snapshot: HomeSnapshot): void;
    /** Drops jobs whose last task ended before `beforeMs` (wall clock); returns their ids. */
    dropEndedJobs(beforeMs: number): readonly string[];
}

/**
 * Creates the state of a home without jobs.
 *
 * @example
 * const state = createHomeState();
 * for (const record of records) { state.apply(record); }
 */
export const createHomeState = (): HomeState => {
    const jobs = new Map<string, JobEntry>();
    const active = new Set<TaskEntry>();

    const findTask = (taskId: string): TaskEntry | undefined =>
        jobs.get(jobIdOf(taskId))?.tasks[Number(taskId.slice(taskId.lastIndexOf("/") + 1))];

    const setState = (task: TaskEntry, state: TaskState): void => {
        const { counts } = task.job;
        counts.set(task.state, (counts.get(task.state) ?? 0) - 1);
        counts.set(state, (counts.get(state) ?? 0) + 1);
        task.state = state;
        if (state === taskStates.starting || state === taskStates.running) {
            active.add(task);
            return;
        }
        active.delete(task);
    };

    const newTask = (job: JobEntry, index: number): TaskEntry => ({
        taskId: taskIdOf(job.spec.jobId, index),
        job,
        index,
        state: taskStates.queued,
        attempts: 0,
        attemptId: undefined,
        workerId: undefined,
        rackKey: undefined,
        abandonedIds: [],
        listedGeneration: 0,
        detail: "",
        mayHaveStarted: false,
        cancelled: false,
        checkpoint: "",
        failedOn: new Set(),
        failures: 0,
        result: undefined,
        resultKey: undefined,
        queuedAtMs: job.acceptedAtMs,
        startedAtMs: undefined,
        endedAtMs: undefined,
        confirmedBy: undefined,
        settling: undefined,
    });

    const jobAccepted = ({ spec, acceptedAtMs }: JobAcceptedRecord): void => {
        const job: JobEntry = { spec, acceptedAtMs, tasks: [], counts: new Map(), cancelled: false, gangQueued: false };
        for (let index = 0; index < spec.tasks; index += 1) {
            job.tasks.push(newTask(job, index));
        }
        job.counts.set(taskStates.queued, spec.tasks);
        jobs.set(spec.jobId, job);
    };

    const attemptIntended = (record: AttemptIntendedRecord): void => {
        const task = findTask(record.taskId);
        if (task === undefined || task.state !== taskStates.queued) {
            return;
        }
        task.attempts += 1;
        task.attemptId = record.attemptId;
        task.workerId = record.workerId;
        task.rackKey = record.rackKey;
        task.listedGeneration = record.listedGeneration;
        task.confirmedBy = undefined;
        setState(task, taskStates.starting);
    };

    const clearAttempt = (task: TaskEntry): void => {
        task.attemptId = undefined;
        task.confirmedBy = undefined;
        task.startedAtMs = undefined;
    };

    const attemptAbandoned = (record: AttemptAbandonedRecord): void => {
        const task = findTask(record.taskId);
        if (task === undefined || task.attemptId !== record.attemptId || isFinal(task.state)) {
            return;
        }
        task.mayHaveStarted ||= record.started;
        task.detail = record.reason;
        task.checkpoint = record.checkpoint ?? task.checkpoint;
        task.abandonedIds = [...task.abandonedIds, record.attemptId].slice(-abandonedIdsKept);
        clearAttempt(task);
        setState(task, isCancelled(task) ? taskStates.cancelled : taskStates.queued);
    };

    const taskEnded = (record: TaskEndedRecord): void => {
        const task = findTask(record.taskId);
        if (task === undefined || isFinal(task.state)) {
            return;
        }
        task.mayHaveStarted ||= record.started;
        task.detail = record.detail;
        task.result = record.result;
        task.resultKey = record.resultKey;
        task.startedAtMs = record.startedAtMs ?? task.startedAtMs;
        task.endedAtMs = record.endedAtMs;
        setState(task, record.state);
    };

    const cancelIfQueued = (task: TaskEntry, cancelledAtMs: number): void => {
        if (task.state === taskStates.queued) {
            task.endedAtMs = cancelledAtMs;
            task.detail = "cancelled while waiting";
            setState(task, taskStates.cancelled);
        }
    };

    const taskCancelled = ({ taskId, cancelledAtMs }: TaskCancelledRecord): void => {
        const task = findTask(taskId);
        if (task !== undefined) {
            task.cancelled = true;
            cancelIfQueued(task, cancelledAtMs);
        }
    };

    const jobCancelled = ({ jobId, cancelledAtMs }: JobCancelledRecord): void => {
        const job = jobs.get(jobId);
        if (job === undefined) {
            return;
        }
        job.cancelled = true;
        for (const task of job.tasks) {
            cancelIfQueued(task, cancelledAtMs);
        }
    };

    const handlers: { readonly [K in JournalRecord["kind"]]: (record: Extract<JournalRecord, { kind: K; }>) => void; } =
        {
            jobAccepted,
            attemptIntended,
            attemptAbandoned,
            taskEnded,
            jobCancelled,
            taskCancelled,
        };

    const load = (snapshot: HomeSnapshot): void => {
        for (const { spec, acceptedAtMs, cancelled, tasks } of snapshot) {
            jobAccepted({ kind: "jobAccepted", spec, acceptedAtMs });
            const job = jobs.get(spec.jobId);
            if (job === undefined) {
                continue;
            }
            job.cancelled = cancelled;
            for (const [index, saved] of tasks.entries()) {
                const task = job.tasks[index];
                if (task !== undefined) {
                    const { state, ...fields } = saved;
                    Object.assign(task, fields);
                    setState(task, state);
                }
            }
        }
    };

    const dropEndedJobs = (beforeMs: number): readonly string[] => {
        const dropped: string[] = [];
        for (const [jobId, job] of jobs) {
            const retained = job.tasks.some(task => !isFinal(task.state) || (task.endedAtMs ?? 0) >= beforeMs);
            if (!retained) {
                jobs.delete(jobId);
                dropped.push(jobId);
            }
        }
        return dropped;
    };

    const apply = (record: JournalRecord): void => {
        (handlers[record.kind] as (each: JournalRecord) => void)(record);
    };

    return {
        apply,
        job: jobId => jobs.get(jobId),
        task: findTask,
        jobs: () => jobs.values(),
        setState,
        active: () => active.values(),
        snapshot: () => [...jobs.values()].map(snapshotOf),
        load,
        dropEndedJobs,
    };
};

/**
 * Converts a job's entry to the form that callers get.
 *
 * @example
 * const job = showJob(entry, "home-1");
 */
export const showJob = (entry: JobEntry, homeId: string): Job => {
    const taskCounts: Partial<Record<TaskState, number>> = {};
    let endedTasks = 0;
    for (const [state, count] of entry.counts) {
        if (count > 0) {
            taskCounts[state] = count;
            endedTasks += isFinal(state) ? count : 0;
        }
    }
    return {
        spec: entry.spec,
        homeId,
        acceptedAtMs: entry.acceptedAtMs,
        cancelled: entry.cancelled,
        ended: endedTasks === entry.spec.tasks,
        taskCounts,
    };
};

/**
 * Converts a task's entry to the form that callers get; a result in the object store is left out.
 *
 * @example
 * const task = showTask(entry);
 */
export const showTask = (entry: TaskEntry): Task => ({
    taskId: entry.taskId,
    jobId: entry.job.spec.jobId,
    state: entry.state,
    attempts: entry.attempts,
    attemptId: entry.attemptId,
    workerId: entry.workerId,
    rackKey: entry.rackKey,
    detail: entry.detail,
    mayHaveStarted: entry.mayHaveStarted,
    result: entry.result,
    queuedAtMs: entry.queuedAtMs,
    startedAtMs: entry.startedAtMs,
    endedAtMs: entry.endedAtMs,
});
