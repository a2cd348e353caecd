/** State of a home's jobs, as a reducer over journal records; replay and live writing share it. */

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
    TaskEndedRecord,
} from "../types/records.js";

/** The one place where a task's fields change. */
export interface TaskEntry {
    readonly taskId: string;
    readonly job: JobEntry;
    readonly index: number;
    state: TaskState;
    attempts: number;
    attemptId: string | undefined;
    workerId: string | undefined;
    rackKey: string | undefined;
    detail: string;
    mayHaveStarted: boolean;
    result: string | undefined;
    resultKey: string | undefined;
    queuedAtMs: number;
    startedAtMs: number | undefined;
    endedAtMs: number | undefined;
    /** Session of the rack owner that last answered for this attempt; not journaled. */
    confirmedBy: string | undefined;
    /** A report is being made durable; not journaled. */
    settling: Promise<void> | undefined;
}

/** One job and its tasks inside a home. */
export interface JobEntry {
    readonly spec: JobSpec;
    readonly acceptedAtMs: number;
    readonly tasks: TaskEntry[];
    readonly counts: Map<TaskState, number>;
    cancelled: boolean;
}

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
}

/**
 * Makes the state of a home without jobs.
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
        detail: "",
        mayHaveStarted: false,
        result: undefined,
        resultKey: undefined,
        queuedAtMs: job.acceptedAtMs,
        startedAtMs: undefined,
        endedAtMs: undefined,
        confirmedBy: undefined,
        settling: undefined,
    });

    const jobAccepted = ({ spec, acceptedAtMs }: JobAcceptedRecord): void => {
        const job: JobEntry = { spec, acceptedAtMs, tasks: [], counts: new Map(), cancelled: false };
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
        clearAttempt(task);
        setState(task, task.job.cancelled ? taskStates.cancelled : taskStates.queued);
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

    const jobCancelled = ({ jobId, cancelledAtMs }: JobCancelledRecord): void => {
        const job = jobs.get(jobId);
        if (job === undefined) {
            return;
        }
        job.cancelled = true;
        for (const task of job.tasks) {
            if (task.state === taskStates.queued) {
                task.endedAtMs = cancelledAtMs;
                task.detail = "cancelled while waiting";
                setState(task, taskStates.cancelled);
            }
        }
    };

    const handlers: { readonly [K in JournalRecord["kind"]]: (record: Extract<JournalRecord, { kind: K; }>) => void; } =
        {
            jobAccepted,
            attemptIntended,
            attemptAbandoned,
            taskEnded,
            jobCancelled,
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
    };
};

/**
 * Shows a job to callers.
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
 * Shows a task to callers.
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
