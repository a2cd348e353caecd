/** Jobs, their tasks and the attempts at the tasks. */

import type { Resources } from "./resources.js";

/** Kinds of workload that a class can have. */
export const workloadKinds = { batch: "batch", service: "service", gang: "gang" } as const;
/** One of `workloadKinds`. */
export type WorkloadKind = (typeof workloadKinds)[keyof typeof workloadKinds];

/**
 * States of a task; the last four are final. `mayHaveRun`: a task that must not start twice was lost after it may have started, so
 * whether it ran is unknown.
 */
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

/** A job as a caller submits it. The caller chooses `jobId`, which makes a repeated submission idempotent. */
export interface JobSpec {
    readonly jobId: string;
    readonly workloadClass: string;
    readonly team: string;
    /** Number of tasks, which are identical. */
    readonly tasks: number;
    readonly taskSize: Resources;
    /** True where a task must never be started a second time. */
    readonly atMostOnce: boolean;
    readonly payload: string;
}

/** One task's state at the home of its job. */
export interface Task {
    readonly taskId: string;
    readonly jobId: string;
    readonly state: TaskState;
    /** Number of attempts so far. */
    readonly attempts: number;
    /** Id of the newest attempt; undefined where it was abandoned or there was none. */
    readonly attemptId?: string;
    /** Worker of the newest attempt, abandoned or not. */
    readonly workerId?: string;
    /** Rack of that worker. */
    readonly rackKey?: string;
    /** Why the newest attempt was abandoned or the task ended; empty where there is no reason. */
    readonly detail: string;
    /** True where at least one attempt started or may have started. */
    readonly mayHaveStarted: boolean;
    readonly result?: string;
    readonly queuedAtMs: number;
    readonly startedAtMs?: number;
    readonly endedAtMs?: number;
}

/** One job's state at its home. */
export interface Job {
    readonly spec: JobSpec;
    readonly homeId: string;
    readonly acceptedAtMs: number;
    readonly cancelled: boolean;
    readonly ended: boolean;
    /** Number of tasks by state. */
    readonly taskCounts: Readonly<Partial<Record<TaskState, number>>>;
}

/**
 * How an attempt ended. `stopped`: by an order. `lapsed`: its lease ran out. `absent`: it is lost, for example with its worker, and
 * may have run. `notStarted`: it never ran.
 */
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

/** Report of an ended attempt, sent by the owner of its rack to the home of its task. */
export interface AttemptReport {
    readonly attemptId: string;
    readonly taskId: string;
    readonly outcome: AttemptOutcome;
    readonly result: string;
    /** Progress saved by an attempt that was stopped with a checkpoint; empty otherwise. */
    readonly checkpoint: string;
}

/**
 * Returns the id of a job's task.
 *
 * @example
 * taskIdOf("load-in-7", 0); // "load-in-7/0"
 */
export const taskIdOf = (jobId: string, index: number): string => `${jobId}/${index}`;

/**
 * Returns the id of the job that a task belongs to.
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
 * Returns whether a task state is final.
 *
 * @example
 * isFinal("completed"); // true
 */
export const isFinal = (state: TaskState): boolean => finalStates.has(state);
