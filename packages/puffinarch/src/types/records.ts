/** Records of a home's journal. Replaying them in order gives the state of its jobs. */

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

/** The job is durable from here on. */
export interface JobAcceptedRecord {
    readonly kind: typeof recordKinds.jobAccepted;
    readonly spec: JobSpec;
    readonly acceptedAtMs: number;
}

/** Committed before the start is sent, so that whoever replays knows where the task may run. */
export interface AttemptIntendedRecord {
    readonly kind: typeof recordKinds.attemptIntended;
    readonly taskId: string;
    readonly attemptId: string;
    readonly workerId: string;
    readonly rackKey: string;
    /** Generation of the VM list in which the worker was seen. */
    readonly listedGeneration: number;
}

/** The attempt surely runs no more, or never ran; the task waits again. */
export interface AttemptAbandonedRecord {
    readonly kind: typeof recordKinds.attemptAbandoned;
    readonly taskId: string;
    readonly attemptId: string;
    readonly started: boolean;
    readonly reason: string;
    /** Progress to go on from; left out where there is none. */
    readonly checkpoint?: string;
}

/** The task has its final state. A large result stands in the object store under `resultKey`. */
export interface TaskEndedRecord {
    readonly kind: typeof recordKinds.taskEnded;
    readonly taskId: string;
    readonly state: TaskState;
    readonly detail: string;
    readonly started: boolean;
    readonly result?: string;
    readonly resultKey?: string;
    readonly startedAtMs?: number;
    readonly endedAtMs: number;
}

/** Waiting tasks end here; started ones are stopped. */
export interface JobCancelledRecord {
    readonly kind: typeof recordKinds.jobCancelled;
    readonly jobId: string;
    readonly cancelledAtMs: number;
}

/** One task ends here; a started one is stopped. */
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
