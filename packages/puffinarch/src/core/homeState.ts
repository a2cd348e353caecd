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
    TaskCancelledRecord,
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
    /** Latest attempts that were given up; none of them is ever taken up again. */
    abandonedIds: readonly string[];
    /** Generation of the VM list in which the attempt's worker was seen. */
    listedGeneration: number;
    detail: string;
    mayHaveStarted: boolean;
    cancelled: boolean;
    /** Progress that the next attempt goes on from. */
    checkpoint: string;
    result: string | undefined;
    resultKey: string | undefined;
    queuedAtMs: number;
    startedAtMs: number | undefined;
    endedAtMs: number | undefined;
    /** Owner and tenure of the rack when it last answered for this attempt; not journaled. */
    confirmedBy: string | undefined;
    /** Workers on which an attempt failed; not journaled. */
    readonly failedOn: Set<string>;
    /** Attempts that failed; not journaled. */
    failures: number;
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
    /** The gang waits in the queue; not journaled. */
    gangQueued: boolean;
}

const abandonedIdsKept = 16;

/** What of a task outlasts its process; the fields of `TaskEntry` of the same names. */
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

/** What of a job outlasts its process. */
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
 * Tells whether a task or its whole job was cancelled.
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
    /** Takes over a snapshot; before any record is applied. */
    load(snapshot: HomeSnapshot): void;
    /** Drops jobs whose last task ended before then (wall clock); answers their ids. */
    forgetEnded(beforeMs: number): readonly string[];
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

    const endWaiting = (task: TaskEntry, cancelledAtMs: number): void => {
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
            endWaiting(task, cancelledAtMs);
        }
    };

    const jobCancelled = ({ jobId, cancelledAtMs }: JobCancelledRecord): void => {
        const job = jobs.get(jobId);
        if (job === undefined) {
            return;
        }
        job.cancelled = true;
        for (const task of job.tasks) {
            endWaiting(task, cancelledAtMs);
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

    const forgetEnded = (beforeMs: number): readonly string[] => {
        const forgotten: string[] = [];
        for (const [jobId, job] of jobs) {
            const open = job.tasks.some(task => !isFinal(task.state) || (task.endedAtMs ?? 0) >= beforeMs);
            if (!open) {
                jobs.delete(jobId);
                forgotten.push(jobId);
            }
        }
        return forgotten;
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
        forgetEnded,
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
