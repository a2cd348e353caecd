/**
 * Schemas of the rows that a shard stores for its jobs, validated when they are read. Fields that earlier versions did not write have
 * defaults.
 */

import { z } from "zod";
import { type FailureCause, failureCauses, type JobState, jobStates } from "../../types/work.js";

const text = z.string("a string");
const wholeNumber = z.number("a whole number").int("a whole number").min(0, "0 or more");
const nonNegative = z.number("a number").min(0, "0 or more");
const flag = z.boolean("true or false").default(false);
const state = z.enum(Object.values(jobStates) as [JobState, ...JobState[]], "a state of a job");
/** A live run of a task: its worker's ID and its run number. */
const run = z.tuple([text, wholeNumber], "a worker and the number of a run");

const resourcesSchema = z.object({ cpuMillis: nonNegative, memoryMib: nonNegative, accelerators: nonNegative });

const stepSchema = z.object({
    count: wholeNumber.min(1, "at least one task"),
    size: resourcesSchema,
    estimateMs: nonNegative.default(0),
    after: z.array(wholeNumber, "numbers of steps").default([]),
    checkpointing: flag,
    gang: flag,
    colocated: flag,
    requiredLabel: text.default(""),
    dataRack: text.default(""),
    maxPerWorker: nonNegative.default(0),
    speculative: flag,
    longRunning: flag,
    image: text.default(""),
    latencyObjectiveMs: nonNegative.default(0),
    fills: flag,
    mayMiss: nonNegative.default(0),
});

/** Fields of a step that have their defaults when a row leaves them out. */
const stepDefaults: Readonly<Record<string, unknown>> = stepSchema.omit({ count: true, size: true }).parse({});

/**
 * Leaves out the fields of a step that have their defaults; the schema of submission rows puts them back.
 *
 * @example
 * compactStep({ ...step, gang: false }); // without "gang"
 */
export const compactStep = <T extends object>(step: T): Partial<T> =>
    Object.fromEntries(
        Object.entries(step).filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(stepDefaults[name])),
    ) as Partial<T>;

const stepsSchema = z.array(stepSchema, "a list of steps").min(1, "at least one step").refine(
    steps => steps.every(({ after }, index) => after.every(number => number < index)),
    "dependencies on earlier steps only",
);

const queueSchema = z.object({
    key: text,
    host: text,
    pathPrefix: text,
    service: text,
    priority: nonNegative,
    attempts: nonNegative,
    timeoutMs: nonNegative,
    stretch: nonNegative.default(0),
    targetRuntimeMs: nonNegative.default(0),
    advice: z.object({ decideMs: nonNegative, eachMs: nonNegative, validMs: nonNegative }).optional(),
});

/** Schema of a submission row. */
export const submissionSchema = z.object({
    submission: z.object({
        jobId: text.min(1, "an id"),
        queueKey: text,
        organisation: text.optional(),
        dataCentre: text.default(""),
        payload: text,
        steps: stepsSchema,
        schedule: z.object({ startAtMs: nonNegative, intervalMs: nonNegative, repeatCount: wholeNumber }),
    }),
    queue: queueSchema,
    /** Cap of the organisation at acceptance, used by a successor whose configuration lacks the organisation. */
    cap: resourcesSchema.optional(),
    beyondShare: flag,
    acceptedAtMs: z.number("a time"),
    order: z.number("a number"),
});

const taskSchema = z.union([
    z.literal(0),
    z.literal(1),
    z.tuple([wholeNumber, wholeNumber, text, z.array(run)]),
    z.tuple([wholeNumber, wholeNumber, text, z.array(run), z.literal([0, 1])]),
], "the state of a task");

const failure = z.object({
    cause: z.enum(Object.values(failureCauses) as [FailureCause, ...FailureCause[]], "a cause"),
    taskName: text,
    count: wholeNumber,
}).optional();

/** Crash counts of a task. `place` holds the numbers of its occurrence and its step, and its index in the step. */
const crashedTaskSchema = z.object({
    place: z.tuple([wholeNumber, wholeNumber, wholeNumber], "the position of a task"),
    crashes: wholeNumber,
    excused: wholeNumber,
    unconfirmed: wholeNumber.default(0),
    possible: wholeNumber.default(0),
    confirmedRun: wholeNumber.default(0),
});

/**
 * A live run whose start order is unanswered. `untilMs` is the time until which the order may be carried out, in milliseconds since the
 * Unix epoch.
 */
const unansweredSchema = z.object({
    place: z.tuple([wholeNumber, wholeNumber, wholeNumber], "the position of a task"),
    run: wholeNumber,
    untilMs: z.number("a time"),
    /** The worker incarnation that answered the last look does not run it and would refuse its order. */
    absent: flag,
    /** A worker incarnation that never answered a look may have crashed because of the run. */
    mayHaveCrashed: flag,
});

/** A run that was lost because its worker, which may have crashed, stopped answering. */
const lossSchema = z.object({
    place: z.tuple([wholeNumber, wholeNumber, wholeNumber], "the position of a task"),
    run: wholeNumber,
    workerId: text,
    bornAtMs: wholeNumber.optional(),
    address: text,
    alone: flag,
    confirmed: flag,
});

/** A task that failed, and the IDs of the workers on which it failed. */
const failedTaskSchema = z.object({
    place: z.tuple([wholeNumber, wholeNumber, wholeNumber], "the position of a task"),
    workerIds: z.array(text),
});

/** What is stored of tasks beside their states. */
const detailsShape = {
    crashed: z.array(crashedTaskSchema, "tasks under which workers crashed").default([]),
    lost: z.array(lossSchema, "runs that were lost").default([]),
    failed: z.array(failedTaskSchema, "tasks that failed").default([]),
    /** Addresses of the workers of the live runs, by worker ID. */
    addresses: z.record(z.string(), text, "addresses of workers").default({}),
    /**
     * Start times of the worker incarnations that the live runs were planned for, by worker ID; empty if each incarnation has an ID of its
     * own.
     */
    lives: z.record(z.string(), wholeNumber, "start times of incarnations").default({}),
    /** Live runs whose start order is unanswered. */
    unanswered: z.array(unansweredSchema, "starts without an answer").default([]),
};

const jobShape = {
    state,
    done: z.array(wholeNumber, "numbers of occurrences").optional(),
    /** Done occurrences as ranges, each with its first number and the one after its last, in place of a long `done`. */
    doneRanges: z.array(z.tuple([wholeNumber, wholeNumber]), "ranges of occurrences").optional(),
    failure,
    /**
     * When the row was written, in milliseconds since the Unix epoch. Runs that are not listed as unanswered may have been ordered right
     * after it.
     */
    writtenAtMs: z.number("a time").default(0),
};

/** Without its done occurrences, a job would run them again. */
const listsDone = ({ done, doneRanges }: { readonly done?: unknown; readonly doneRanges?: unknown; }): boolean =>
    done !== undefined || doneRanges !== undefined;
const doneIsMissing = { message: "numbers or ranges of occurrences", path: ["done"] };

/** Schema of a state row that holds all of its job: its state and the progress of each open occurrence. */
export const stateSchema = z.object({
    ...jobShape,
    ...detailsShape,
    open: z.array(
        z.tuple(
            [wholeNumber, z.array(z.tuple([wholeNumber, wholeNumber, z.array(taskSchema)]))],
            "an occurrence and its steps",
        ),
        "open occurrences",
    ),
}).refine(listsDone, doneIsMissing);

/** Schema of the mark by which a state row refers to task pages. Earlier versions cannot read such a row and leave its job alone. */
export const pagedMarkSchema = z.object({ paged: z.literal(true).optional().catch(undefined) });

/** Schema of a state row whose job has its tasks in task pages. */
export const pagedStateSchema = z.object({ ...jobShape, paged: z.literal(true) }).refine(listsDone, doneIsMissing);

/** Schema of a task page: consecutive tasks of one occurrence, counted over all of its steps, from `first` on. */
export const taskPageSchema = z.object({
    occurrence: wholeNumber,
    first: wholeNumber,
    tasks: z.array(taskSchema, "tasks"),
    /** For each gang whose first task is in the page, if it has failed: its step, its failures and the newest failed run. */
    gangs: z.array(z.tuple([wholeNumber, wholeNumber, wholeNumber]), "gangs that failed").default([]),
    ...detailsShape,
});

/** Schema of the row of a job that has ended, or that was cancelled before it was submitted. */
export const endedSchema = z.object({
    state,
    failure,
    organisation: text.default(""),
    /** Organisations whose callers cancelled the job before it was submitted; undefined for a submitted job. */
    cancelledFor: z.array(text, "names of organisations").optional(),
});

/** A decoded submission row. */
export type StoredSubmission = z.infer<typeof submissionSchema>;
/**
 * State of a task: 1 if it is done and has no live runs, 0 if it was never started; otherwise its highest run number, failures,
 * checkpoint, live runs as worker ID and run number, and a trailing 1 if it is done.
 */
export type StoredTask = z.infer<typeof taskSchema>;
/** Stored crash counts of a task. */
export type StoredCrashedTask = z.infer<typeof crashedTaskSchema>;
/** A stored run whose start order is unanswered. */
export type StoredUnanswered = z.infer<typeof unansweredSchema>;
/** A stored run that was lost with its worker. */
export type StoredLoss = z.infer<typeof lossSchema>;
/** A stored task that failed on some workers. */
export type StoredFailedTask = z.infer<typeof failedTaskSchema>;
/** Stored details of tasks. */
export type StoredDetails = z.infer<z.ZodObject<typeof detailsShape>>;
/** A decoded task page. */
export type StoredTaskPage = z.infer<typeof taskPageSchema>;
/** A decoded state row of a job with task pages. */
export type StoredPagedState = z.infer<typeof pagedStateSchema>;
/**
 * A decoded state row. Each entry of `open` holds an occurrence's number and, for each step, the gang's failures, the newest failed run
 * of the gang and its tasks.
 */
export type StoredState = z.infer<typeof stateSchema>;
