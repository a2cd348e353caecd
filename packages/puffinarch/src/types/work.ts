/** Jobs of several steps, the queues that take them, and the workers that run their tasks. */

import type { Resources } from "./resources.js";

/** One step of a job: equal tasks that may start once the steps before it are done. */
export interface Step {
    /** Number of tasks. */
    readonly count: number;
    /** What each task needs. */
    readonly size: Resources;
    /** The caller's rough estimate of a task's run time; 0 for none. */
    readonly estimateMs: number;
    /** Numbers of earlier steps whose tasks must all be done first. */
    readonly after: readonly number[];
    /** True where a task saves its progress, so that a later attempt can resume. */
    readonly checkpointing: boolean;
    /** True where all tasks work only together, under one run number. */
    readonly gang: boolean;
    /** True where tasks run slower on more than one rack. */
    readonly colocated: boolean;
    /** A label that the worker must have; empty for any worker. */
    readonly requiredLabel: string;
    /** Rack near the data; empty for none. */
    readonly dataRack: string;
    /** Most tasks of the step on one worker; 0 for no limit. */
    readonly maxPerWorker: number;
    /** True where copies may run in parallel and the first to finish counts. */
    readonly speculative: boolean;
    /** True where tasks run until the job is cancelled. */
    readonly longRunning: boolean;
    /** What the tasks run; tasks of one image behave alike. */
    readonly image: string;
    /** Latency objective of the tasks' own users; 0 for none. */
    readonly latencyObjectiveMs: number;
    /** True where tasks run on processors that other tasks leave unused and are not counted against capacity. */
    readonly fills: boolean;
    /** How many tasks of a long-running step may be away at once through the scheduler's own actions. */
    readonly mayMiss: number;
}

/** When the steps of a job run: once, or on a schedule. */
export interface Schedule {
    /** Due time of occurrence 0, milliseconds since the Unix epoch. */
    readonly startAtMs: number;
    readonly intervalMs: number;
    /** Number of occurrences; 0 for a job that runs once, at once. */
    readonly repeatCount: number;
}

/** A job as its caller submitted it. The id is the caller's choice, so that a resend is idempotent. */
export interface JobSubmission {
    readonly jobId: string;
    readonly queueKey: string;
    /** Name of the organisation that its caller belongs to; empty, or left out, for a caller without one. */
    readonly organisation?: string;
    /** Where its caller's requests arrive; tasks near it share its fate when the data centre is cut off. */
    readonly dataCentre: string;
    /** Opaque text for the tasks. */
    readonly payload: string;
    readonly steps: readonly Step[];
    readonly schedule: Schedule;
}

/** A job that a caller asks for. */
export interface JobReference {
    readonly queueKey: string;
    readonly jobId: string;
    /** Of the caller; empty for one without. A daemon of a former version leaves it out, and asks for whoever it is. */
    readonly organisation?: string;
}

/** States of a job as callers see them. */
export const jobStates = {
    queued: "queued",
    running: "running",
    completed: "completed",
    failed: "failed",
    cancelled: "cancelled",
} as const;
/** One of `jobStates`. */
export type JobState = (typeof jobStates)[keyof typeof jobStates];

/** Why a job was given up. */
export const failureCauses = {
    /** A task, or a gang, failed as often as it may. */
    attempts: "attempts",
    /** A task crashed the workers that started it. */
    crashes: "crashes",
} as const;
/** One of `failureCauses`. */
export type FailureCause = (typeof failureCauses)[keyof typeof failureCauses];

/** What a job that was given up failed by. */
export interface JobFailure {
    readonly cause: FailureCause;
    readonly taskName: string;
    /** How often the task failed, or how many workers crashed under it. */
    readonly count: number;
}

/** A job as callers see it. */
export interface JobStatus {
    readonly state: JobState;
    /** Undefined where the job has not failed, or failed under a version that did not say why. */
    readonly failure?: JobFailure | undefined;
}

/** Cost of asking the advisor which workers may run a step. */
export interface AdviceTerms {
    readonly decideMs: number;
    readonly eachMs: number;
    readonly validMs: number;
}

/** A queue of jobs, as configured. */
export interface Queue {
    /** Host and path prefix; the same for as long as the queue exists. */
    readonly key: string;
    readonly host: string;
    readonly pathPrefix: string;
    /** Whose workers run the queue's tasks. */
    readonly service: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** How often a task, or a gang, may fail. */
    readonly attempts: number;
    readonly timeoutMs: number;
    /** A job's objective is this many times its longest chain of work, and `targetRuntimeMs` more; 0 for no objective. */
    readonly stretch: number;
    readonly targetRuntimeMs: number;
    /** Undefined where every worker of the service may run the queue's steps. */
    readonly advice?: AdviceTerms;
    /** True where callers need no API key. */
    readonly isPublic?: boolean;
}

/** An organisation that shares the service with others, as configured. */
export interface Organisation {
    readonly name: string;
    /** Digests of the API keys that its callers send, as `digestKey` gives them. */
    readonly keyDigests: readonly string[];
    /** Its share of the service while all of it is in use. */
    readonly weight: number;
    /** The most that it may have running over all workers; an amount of 0 is no limit. */
    readonly cap: Resources;
}

/** What the operator has put in force; versions only grow. */
export interface CellConfiguration {
    readonly version: number;
    readonly queues: readonly Queue[];
    /** Undefined where callers are not told apart and need no API key. */
    readonly organisations?: readonly Organisation[];
    /** Fields that could not be read, by their places; the organisations that they belong to are left out. */
    readonly unreadable?: readonly string[];
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
}

/** One incarnation of a worker, as the platform lists it. A worker that starts again may have the id that it had. */
export interface WorkerEntry {
    readonly workerId: string;
    /**
     * When this incarnation began, in milliseconds since the Unix epoch by a clock that may be stepped: another value is another
     * incarnation, and a smaller one need not be an earlier one. Undefined where the platform does not say; each incarnation has an id
     * of its own there.
     */
    readonly bornAtMs?: number;
    readonly service: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly draining: boolean;
    /** Least time left while it drains; undefined while it does not. */
    readonly drainRemainingMs?: number;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    /** Empty where the worker names none. */
    readonly rack: string;
}

/** Names one task: its job, the occurrence, the step and its place in the step. */
export interface TaskName {
    readonly jobId: string;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/**
 * Writes a task's name.
 *
 * @example
 * formatTaskName({ jobId: "5c0e7a21d94b36f8", occurrence: 0, step: 1, index: 17 }); // "5c0e7a21d94b36f8.0.1.17"
 */
export const formatTaskName = ({ jobId, occurrence, step, index }: TaskName): string =>
    `${jobId}.${occurrence}.${step}.${index}`;

/**
 * Reads a task's name; undefined for anything else.
 *
 * @example
 * parseTaskName("5c0e7a21d94b36f8.0.1.17")?.index; // 17
 */
export const parseTaskName = (text: string): TaskName | undefined => {
    const [jobId, occurrence, step, index, ...rest] = text.split(".");
    const numbers = [occurrence, step, index].map(Number);
    if (jobId === undefined || index === undefined || rest.length > 0 || !numbers.every(Number.isSafeInteger)) {
        return undefined;
    }
    return { jobId, occurrence: numbers[0] ?? 0, step: numbers[1] ?? 0, index: numbers[2] ?? 0 };
};
