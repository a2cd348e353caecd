/** Jobs made of steps, the queues that they are submitted to, and the workers that run their tasks. */

import type { Resources } from "./resources.js";

/** One step of a job: identical tasks, which may start once the steps in `after` are done. */
export interface Step {
    /** Number of tasks. */
    readonly count: number;
    /** Resources that each task needs. */
    readonly size: Resources;
    /** The caller's estimate of a task's run time; 0 for none. */
    readonly estimateMs: number;
    /** Numbers of earlier steps whose tasks must all be done first. */
    readonly after: readonly number[];
    /** True where tasks save checkpoints from which a later attempt can resume. */
    readonly checkpointing: boolean;
    /** True for gang scheduling: the tasks run only all at the same time, and their attempts share one run number. */
    readonly gang: boolean;
    /** True where the tasks run slower when they are spread over several racks. */
    readonly colocated: boolean;
    /** A label that the worker must have; empty for any worker. */
    readonly requiredLabel: string;
    /** Preferred rack, which is close to the step's data; empty for none. */
    readonly dataRack: string;
    /** Maximum number of the step's tasks on one worker; 0 for no limit. */
    readonly maxPerWorker: number;
    /** True where a task may run in several copies at once; the first copy to finish decides. */
    readonly speculative: boolean;
    /** True where tasks run until the job is cancelled. */
    readonly longRunning: boolean;
    /** Image that the tasks run; tasks of the same image are expected to behave alike. */
    readonly image: string;
    /** Latency objective for the requests that the tasks serve; 0 for none. */
    readonly latencyObjectiveMs: number;
    /** True for best-effort tasks: they run on processors that other tasks leave idle, and reserve memory and accelerators only. */
    readonly fills: boolean;
    /**
     * Disruption budget of a long-running step: the scheduler stops one of its tasks only where at most this many are then down. 0 for
     * no limit.
     */
    readonly mayMiss: number;
}

/** When the steps of a job run: once on submission, or repeatedly on a schedule. Each repetition is an occurrence. */
export interface Schedule {
    /** Due time of occurrence 0, milliseconds since the Unix epoch. */
    readonly startAtMs: number;
    /** Time between two occurrences. */
    readonly intervalMs: number;
    /** Number of occurrences; 0 for a job that runs once, immediately. */
    readonly repeatCount: number;
}

/** A job as its caller submitted it. The caller chooses the id, which makes a repeated submission idempotent. */
export interface JobSubmission {
    readonly jobId: string;
    readonly queueKey: string;
    /** Organisation of the caller; empty or left out for a caller without one. */
    readonly organisation?: string;
    /** Data centre in which the caller's request arrived; tasks placed there stay with the caller when it is cut off from the others. */
    readonly dataCentre: string;
    /** Opaque text that is passed to every task. */
    readonly payload: string;
    readonly steps: readonly Step[];
    readonly schedule: Schedule;
}

/** Identifies the job that a call is about. */
export interface JobReference {
    readonly queueKey: string;
    readonly jobId: string;
    /**
     * Organisation of the caller; empty for a caller without one. A job that was submitted for an organisation is visible to callers of
     * that organisation only. Daemons of an earlier version leave it out, which skips this check.
     */
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

/** Causes for which the scheduler fails a job. */
export const failureCauses = {
    /** A task or gang has used up the failures that its queue allows. */
    attempts: "attempts",
    /** A task crashed the workers on which it started. */
    crashes: "crashes",
} as const;
/** One of `failureCauses`. */
export type FailureCause = (typeof failureCauses)[keyof typeof failureCauses];

/** Why a job failed. */
export interface JobFailure {
    readonly cause: FailureCause;
    /** The task that caused the failure. */
    readonly taskName: string;
    /** Number of failures of the task or gang, or number of workers that the task crashed. */
    readonly count: number;
}

/** A job's status as callers see it. */
export interface JobStatus {
    readonly state: JobState;
    /** Undefined where the job has not failed, or failed under an earlier version that recorded no cause. */
    readonly failure?: JobFailure | undefined;
}

/** Duration of an advisor call and validity of its answer, for the steps of one queue. */
export interface AdviceTerms {
    /** Fixed duration of a call. */
    readonly decideMs: number;
    /** Additional duration for each worker in the request. */
    readonly eachMs: number;
    /** How long a ticket stays valid. */
    readonly validMs: number;
}

/** A queue of jobs, as configured. */
export interface Queue {
    /** Host and path prefix; constant as long as the queue exists. */
    readonly key: string;
    readonly host: string;
    readonly pathPrefix: string;
    /** The service whose workers run the queue's tasks. */
    readonly service: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Number of failures of a task or gang at which its job fails. */
    readonly attempts: number;
    /** Longest time that a caller's request may take; a request may ask for less. */
    readonly timeoutMs: number;
    /** A job's completion objective is `stretch` times the length of its critical path plus `targetRuntimeMs`; 0 for no objective. */
    readonly stretch: number;
    readonly targetRuntimeMs: number;
    /** Undefined where every worker of the service may run the queue's steps, so that the advisor is not called. */
    readonly advice?: AdviceTerms;
    /** True where callers need no API key. */
    readonly isPublic?: boolean;
}

/** An organisation that shares the service with others, as configured. */
export interface Organisation {
    readonly name: string;
    /** Digests of the API keys that its callers send, as computed by `digestKey`. */
    readonly keyDigests: readonly string[];
    /** Its share of the service while all of it is in use, as a rate: up to `weight` submitted jobs a second are within the share. */
    readonly weight: number;
    /** Limit on the resources of its running tasks over all workers; an amount of 0 means no limit. */
    readonly cap: Resources;
}

/** A version of the operator's configuration; versions only grow. */
export interface CellConfiguration {
    readonly version: number;
    readonly queues: readonly Queue[];
    /** Undefined where callers are not distinguished and need no API key. */
    readonly organisations?: readonly Organisation[];
    /** Paths of fields that could not be decoded; the organisations that contain them are left out. */
    readonly unreadable?: readonly string[];
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
}

/** One incarnation of a worker, as the platform lists it. A worker that restarts may keep its id. */
export interface WorkerEntry {
    readonly workerId: string;
    /**
     * Start time of this incarnation in milliseconds since the Unix epoch. A different value means a different incarnation, but not
     * which of the two is later, because the clock may be stepped. Undefined where the platform does not report it; there each
     * incarnation has an id of its own.
     */
    readonly bornAtMs?: number;
    readonly service: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly draining: boolean;
    /** Minimum time until a draining worker is shut down; undefined for a worker that is not draining. */
    readonly drainRemainingMs?: number;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    /** Empty where the rack is unknown. */
    readonly rack: string;
}

/** Parts of a task's name: its job, the occurrence of the job, the step, and the task's index within the step. */
export interface TaskName {
    readonly jobId: string;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/**
 * Formats a task's name.
 *
 * @example
 * formatTaskName({ jobId: "5c0e7a21d94b36f8", occurrence: 0, step: 1, index: 17 }); // "5c0e7a21d94b36f8.0.1.17"
 */
export const formatTaskName = ({ jobId, occurrence, step, index }: TaskName): string =>
    `${jobId}.${occurrence}.${step}.${index}`;

/**
 * Parses a task's name; returns undefined for text that is not one.
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
