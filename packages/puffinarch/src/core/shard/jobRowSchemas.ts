/** Shapes of a shard's own rows, checked when a successor reads them; fields that former versions did not write have defaults. */

import { z } from "zod";
import { type FailureCause, failureCauses, type JobState, jobStates } from "../../types/work.js";

const text = z.string("a text");
const whole = z.number("a whole number").int("a whole number").min(0, "0 or more");
const amount = z.number("a number").min(0, "0 or more");
const flag = z.boolean("true or false").default(false);
const state = z.enum(Object.values(jobStates) as [JobState, ...JobState[]], "a state of a job");
/** What a task holds, as a run's number and its worker's id. */
const run = z.tuple([text, whole], "a worker and the number of a run");

const resourcesSchema = z.object({ cpuMillis: amount, memoryMib: amount, accelerators: amount });

const stepSchema = z.object({
    count: whole.min(1, "one task at least"),
    size: resourcesSchema,
    estimateMs: amount.default(0),
    after: z.array(whole, "numbers of steps").default([]),
    checkpointing: flag,
    gang: flag,
    colocated: flag,
    requiredLabel: text.default(""),
    dataRack: text.default(""),
    maxPerWorker: amount.default(0),
    speculative: flag,
    longRunning: flag,
    image: text.default(""),
    latencyObjectiveMs: amount.default(0),
    fills: flag,
    mayMiss: amount.default(0),
});

const stepsSchema = z.array(stepSchema, "a list of steps").min(1, "one step at least").refine(
    steps => steps.every(({ after }, index) => after.every(number => number < index)),
    "steps that wait for earlier ones only",
);

const queueSchema = z.object({
    key: text,
    host: text,
    pathPrefix: text,
    service: text,
    priority: amount,
    attempts: amount,
    timeoutMs: amount,
    stretch: amount.default(0),
    targetRuntimeMs: amount.default(0),
    advice: z.object({ decideMs: amount, eachMs: amount, validMs: amount }).optional(),
});

/** What a job was submitted with. */
export const submissionSchema = z.object({
    submission: z.object({
        jobId: text.min(1, "an id"),
        queueKey: text,
        organisation: text.optional(),
        dataCentre: text.default(""),
        payload: text,
        steps: stepsSchema,
        schedule: z.object({ startAtMs: amount, intervalMs: amount, repeatCount: whole }),
    }),
    queue: queueSchema,
    /** Of its organisation at the acceptance, for a successor that does not find the organisation in its configuration. */
    cap: resourcesSchema.optional(),
    beyondShare: flag,
    acceptedAtMs: z.number("a time"),
    order: z.number("a number"),
});

const taskSchema = z.union([
    z.literal(0),
    z.literal(1),
    z.tuple([whole, whole, text, z.array(run)]),
    z.tuple([whole, whole, text, z.array(run), z.literal([0, 1])]),
], "the state of a task");

const failure = z.object({
    cause: z.enum(Object.values(failureCauses) as [FailureCause, ...FailureCause[]], "a cause"),
    taskName: text,
    count: whole,
}).optional();

/** A task under which workers have crashed; its place is that of its occurrence, its step and its index there. */
const crashedTaskSchema = z.object({
    place: z.tuple([whole, whole, whole], "the place of a task"),
    crashes: whole,
    excused: whole,
    unconfirmed: whole.default(0),
    possible: whole.default(0),
    confirmedRun: whole.default(0),
});

/** A run whose start got no answer, and until when it may be carried out, in milliseconds since the Unix epoch. */
const unansweredSchema = z.object({
    place: z.tuple([whole, whole, whole], "the place of a task"),
    run: whole,
    untilMs: z.number("a time"),
    /** An incarnation of its worker that was looked at does not have it. */
    absent: flag,
    /** An incarnation that nobody looked at may have crashed by it. */
    mayHaveCrashed: flag,
});

/** A run that was lost with a silent worker, which may have crashed. */
const lossSchema = z.object({
    place: z.tuple([whole, whole, whole], "the place of a task"),
    run: whole,
    workerId: text,
    bornAtMs: whole.optional(),
    address: text,
    alone: flag,
    confirmed: flag,
});

/** A task that failed, and the workers on which it did. */
const failedTaskSchema = z.object({
    place: z.tuple([whole, whole, whole], "the place of a task"),
    workerIds: z.array(text),
});

/** A job's state, with what each open occurrence of it has done. */
export const stateSchema = z.object({
    state,
    done: z.array(whole, "numbers of occurrences"),
    open: z.array(
        z.tuple([whole, z.array(z.tuple([whole, whole, z.array(taskSchema)]))], "an occurrence and its steps"),
        "open occurrences",
    ),
    failure,
    crashed: z.array(crashedTaskSchema, "tasks under which workers crashed").default([]),
    lost: z.array(lossSchema, "runs that were lost").default([]),
    failed: z.array(failedTaskSchema, "tasks that failed").default([]),
    /** Where the workers of its live runs are reached, by id. */
    addresses: z.record(z.string(), text, "addresses of workers").default({}),
    /** When the incarnations of these workers began that the runs were planned for, by id; none where incarnations are told by their ids. */
    lives: z.record(z.string(), whole, "beginnings of incarnations").default({}),
    /** When it was written, in milliseconds since the Unix epoch: what is not said to be unanswered may have been sent right after. */
    writtenAtMs: z.number("a time").default(0),
    /** Live runs whose start got no answer. */
    unanswered: z.array(unansweredSchema, "starts without an answer").default([]),
});

/** The state of a job that has ended. */
export const endedSchema = z.object({ state, failure, organisation: text.default("") });

/** What a job was submitted with, as it is stored. */
export type StoredSubmission = z.infer<typeof submissionSchema>;
/** 1: done; 0: untouched; else highest run, failures, checkpoint, runs as worker and number, and 1 where it is done. */
export type StoredTask = z.infer<typeof taskSchema>;
/** A task under which workers have crashed, as it is stored. */
export type StoredCrashedTask = z.infer<typeof crashedTaskSchema>;
/** A run whose start got no answer, as it is stored. */
export type StoredUnanswered = z.infer<typeof unansweredSchema>;
/** A run that was lost, as it is stored. */
export type StoredLoss = z.infer<typeof lossSchema>;
/** A task that failed, as it is stored. */
export type StoredFailedTask = z.infer<typeof failedTaskSchema>;
/** A job's state as it is stored: number of each open occurrence, then for each step its gang's failures, newest failed run and its tasks. */
export type StoredState = z.infer<typeof stateSchema>;
