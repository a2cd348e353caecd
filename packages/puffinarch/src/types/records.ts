/** Records of a home's journal. Replaying them in order restores the state of the home's jobs. */

import type { JobSpec, TaskState } from "./job.js";

/** Kinds of journal records. */
export const recordKinds = {
    jobAccepted: "jobAccepted",
    attemptIntended: "attemptIntended",
    attemptAbandoned: "attemptAbandoned",
    taskEnded: "taskEnded",
    jobCancelled: "jobCancelled",
    taskCancelled: "taskCancelled",
} as const;

/** A job was accepted; this record makes it durable. */
export interface JobAcceptedRecord {
    readonly kind: typeof recordKinds.jobAccepted;
    readonly spec: JobSpec;
    readonly acceptedAtMs: number;
}

/** An attempt is about to start. Committed before the start is sent, so that a replay restores the worker on which the task may run. */
export interface AttemptIntendedRecord {
    readonly kind: typeof recordKinds.attemptIntended;
    readonly taskId: string;
    readonly attemptId: string;
    readonly workerId: string;
    readonly rackKey: string;
    /** Generation of the VM list that contained the worker. */
    readonly listedGeneration: number;
}

/** An attempt ended without a final state of its task, or never ran; the task is queued again. */
export interface AttemptAbandonedRecord {
    readonly kind: typeof recordKinds.attemptAbandoned;
    readonly taskId: string;
    readonly attemptId: string;
    /** True where the attempt started or may have started. */
    readonly started: boolean;
    readonly reason: string;
    /** Saved progress from which the next attempt resumes; left out where there is none. */
    readonly checkpoint?: string;
}

/** A task reached its final state. */
export interface TaskEndedRecord {
    readonly kind: typeof recordKinds.taskEnded;
    readonly taskId: string;
    readonly state: TaskState;
    readonly detail: string;
    /** True where the task started or may have started. */
    readonly started: boolean;
    /** Result of the task, where it is small enough for the record. */
    readonly result?: string;
    /** Key of a larger result in the object store. */
    readonly resultKey?: string;
    readonly startedAtMs?: number;
    readonly endedAtMs: number;
}

/** A job was cancelled: its waiting tasks end with this record, its started ones are stopped. */
export interface JobCancelledRecord {
    readonly kind: typeof recordKinds.jobCancelled;
    readonly jobId: string;
    readonly cancelledAtMs: number;
}

/** A task was cancelled: a waiting task ends with this record, a started one is stopped. */
export interface TaskCancelledRecord {
    readonly kind: typeof recordKinds.taskCancelled;
    readonly taskId: string;
    readonly cancelledAtMs: number;
}

/** Any record of a journal. */
export type JournalRecord =
    | JobAcceptedRecord
    | AttemptIntendedRecord
    | AttemptAbandonedRecord
    | TaskEndedRecord
    | JobCancelledRecord
    | TaskCancelledRecord;
