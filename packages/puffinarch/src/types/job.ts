/** Jobs, their tasks and the attempts at them. */

import type { Resources } from "./resources.js";

/** Kinds of workload that a class can have. */
export const workloadKinds = { batch: "batch", service: "service", gang: "gang" } as const;
/** One of `workloadKinds`. */
export type WorkloadKind = (typeof workloadKinds)[keyof typeof workloadKinds];

/** States that a task goes through; the last four are final. */
export const taskStates = {
    queued: "queued",
    starting: "starting",
    running: "running",
    completed: "completed",
    failed: "failed",
    cancelled: "cancelled",
    mayHaveRun: "mayHaveRun",
} as const;
/** One of `taskStates`. */
export type TaskState = (typeof taskStates)[keyof typeof taskStates];

/** What a caller submits; `jobId` is the caller's choice, so that a resend is idempotent. */
export interface JobSpec {
    readonly jobId: string;
    readonly workloadClass: string;
    readonly team: string;
    /** Number of equal tasks. */
    readonly tasks: number;
    readonly taskSize: Resources;
    /** True where a task must never be started a second time. */
    readonly atMostOnce: boolean;
    readonly payload: string;
}

/** One task as its home knows it. */
export interface Task {
    readonly taskId: string;
    readonly jobId: string;
    readonly state: TaskState;
    readonly attempts: number;
    readonly attemptId?: string;
    readonly workerId?: string;
    readonly rackKey?: string;
    readonly detail: string;
    readonly mayHaveStarted: boolean;
    readonly result?: string;
    readonly queuedAtMs: number;
    readonly startedAtMs?: number;
    readonly endedAtMs?: number;
}

/** One job as its home knows it. */
export interface Job {
    readonly spec: JobSpec;
    readonly homeId: string;
    readonly acceptedAtMs: number;
    readonly cancelled: boolean;
    readonly ended: boolean;
    /** Number of tasks by state. */
    readonly taskCounts: Readonly<Partial<Record<TaskState, number>>>;
}

/** How an attempt ended on its worker. */
export const attemptOutcomes = {
    completed: "completed",
    failed: "failed",
    stopped: "stopped",
    lapsed: "lapsed",
    absent: "absent",
    notStarted: "notStarted",
} as const;
/** One of `attemptOutcomes`. */
export type AttemptOutcome = (typeof attemptOutcomes)[keyof typeof attemptOutcomes];

/** Report of an ended attempt, from the owner of a rack to the home of the task. */
export interface AttemptReport {
    readonly attemptId: string;
    readonly taskId: string;
    readonly outcome: AttemptOutcome;
    readonly result: string;
    /** Saved progress of an attempt that was stopped with a checkpoint; empty otherwise. */
    readonly checkpoint: string;
}

/**
 * Names a task of a job.
 *
 * @example
 * taskIdOf("load-in-7", 0); // "load-in-7/0"
 */
export const taskIdOf = (jobId: string, index: number): string => `${jobId}/${index}`;

/**
 * Gives the job that a task belongs to.
 *
 * @example
 * jobIdOf("load-in-7/0"); // "load-in-7"
 */
export const jobIdOf = (taskId: string): string => taskId.slice(0, taskId.lastIndexOf("/"));

const finalStates: ReadonlySet<TaskState> = new Set([
    taskStates.completed,
    taskStates.failed,
    taskStates.cancelled,
    taskStates.mayHaveRun,
]);

/**
 * Tells whether a task in this state changes no more.
 *
 * @example
 * isFinal("completed"); // true
 */
export const isFinal = (state: TaskState): boolean => finalStates.has(state);
