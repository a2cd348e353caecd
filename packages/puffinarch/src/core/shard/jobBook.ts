/** Jobs of one shard in memory: their occurrences, steps, tasks and live runs, and the changes between their states. */

import type { RunEnd } from "../../types/cellPorts.js";
import type { Resources } from "../../types/resources.js";
import {
    failureCauses,
    formatTaskName,
    type JobFailure,
    type JobState,
    jobStates,
    type JobSubmission,
    parseTaskName,
    type Queue,
    type Step,
    type TaskName,
} from "../../types/work.js";
import { type Account, newAccount } from "./accounts.js";

/** Phases of a run, from its plan to its end. */
export const runPhases = {
    /** Reserved; its intent is not durable yet and nothing was sent. */
    planned: "planned",
    /** The order was sent and may have been carried out. */
    starting: "starting",
    /** The worker has answered that it runs. */
    running: "running",
    /** A stop is under way; its room is held until the worker lists the end. */
    stopping: "stopping",
} as const;
/** One of `runPhases`. */
export type RunPhase = (typeof runPhases)[keyof typeof runPhases];

/** One attempt at a task that holds room on a worker. */
export interface ShardRun {
    readonly task: ShardTask;
    readonly run: number;
    readonly workerId: string;
    /** When the incarnation that it was planned for began, or a later one that does not have it; undefined where that is not known. */
    bornAtMs: number | undefined;
    /** Where its worker was reached when it was planned; empty where that is not known. */
    readonly address: string;
    /** What it holds of the worker's capacity. */
    readonly held: Resources;
    phase: RunPhase;
    /** Local time at which its order was first sent; undefined before, and where another owner sent it. */
    sentAtMs: number | undefined;
    /** Local time from which a look that does not list it proves that it is gone; undefined before an answer. */
    settledAtMs: number | undefined;
    /** Whether a look at its worker has listed it; until then the incarnation that carried it out is not known. */
    shown: boolean;
    /**
     * Local time until which its order may be carried out by any incarnation of its worker; undefined once it was answered, and where
     * it holds for one incarnation only.
     */
    mayArriveUntilMs: number | undefined;
    /** Whether the worker's present incarnation neither runs it nor will. */
    absent: boolean;
    /** An incarnation between two that answered may have carried its order out, and crashed by it. */
    mayHaveCrashed: boolean;
    /** Local time at which the worker first showed it at work. */
    startedAtMs: number | undefined;
    /** Latest share of the processor and progress that a look showed. */
    percent: number;
    figure: number;
    /** Local time since which every look showed it using no processor; undefined while it uses some. */
    idleSinceMs: number | undefined;
}

/** A run that was lost with a silent worker, as its lease was over. */
export interface UnresolvedLoss {
    readonly run: number;
    readonly workerId: string;
    /** When the incarnation began that had it; undefined where that is not known. */
    readonly bornAtMs: number | undefined;
    /** Where its worker was reached. */
    readonly address: string;
    /** Local time at which it was lost. */
    readonly lostAtMs: number;
    /** Nothing else there can have crashed its worker. */
    readonly alone: boolean;
    /** Its worker had said that it runs. */
    readonly confirmed: boolean;
}

/** One task of a step. */
export interface ShardTask {
    readonly step: ShardStep;
    readonly index: number;
    readonly name: string;
    done: boolean;
    /** Highest run number used so far. */
    lastRun: number;
    failures: number;
    checkpoint: string;
    /** Workers that crashed soon after they had started it. */
    crashes: number;
    /** Further ones that went down together with many others, which it cannot have crashed. */
    crashesExcused: number;
    /** Runs of it that were lost with workers of which nobody knows yet whether they crashed. */
    readonly unresolvedLosses: UnresolvedLoss[];
    /** Those of `crashes` before which no worker had said that it runs the task, or that nobody saw. */
    crashesUnconfirmed: number;
    /** Starts of it that a worker may have carried out and crashed by between two answers; none of them is among `crashes`. */
    possibleCrashes: number;
    /** Run that a worker had said to run before it fell silent, so that a successor counts its crash as confirmed; 0 for none. */
    confirmedRun: number;
    /** Highest run that was at work long enough to show that the task crashes nothing. */
    soundRun: number;
    /** Local time since which it wants a worker for itself; undefined while it does not. */
    trialWantedAtMs: number | undefined;
    readonly runs: ShardRun[];
    /** Workers on which it failed, and the local time of the newest failure there. */
    readonly failedOn: Map<string, number>;
}

/** Answers of the advisor for one step. */
export interface StepAdvice {
    /** Workers that were named in a call. */
    readonly asked: Set<string>;
    /** Workers that may run the step, which does not change, and their newest tickets. */
    readonly good: Map<string, { ticket: string; validUntilMs: number; }>;
    inFlight: boolean;
    /** No call before this local time. */
    notBeforeMs: number;
}

/** One step of one occurrence. */
export interface ShardStep {
    readonly occurrence: ShardOccurrence;
    readonly number: number;
    readonly spec: Step;
    readonly tasks: readonly ShardTask[];
    /** Tasks that are not done. */
    open: number;
    /** Gangs: runs of the whole gang that failed, and the newest run that was counted so. */
    gangFailures: number;
    gangFailedRun: number;
    readonly advice: StepAdvice;
    /** Local time at which it became ready. */
    readyAtMs: number;
    /** Local time since which it has been blocked beside room for it; undefined where it is not. */
    blockedAtMs: number | undefined;
    /** For how long it was blocked before that, since its newest start. */
    blockedBeforeMs: number;
    /** Others that waited long took room kept for it so often, and may do so again from this local time on. */
    timesPassed: number;
    passableAtMs: number;
}

/** One occurrence of a job's steps. */
export interface ShardOccurrence {
    readonly job: ShardJob;
    readonly number: number;
    readonly steps: readonly ShardStep[];
    /** Undefined until the workers are known. */
    course: OccurrenceCourse | undefined;
}

/** The time that an occurrence may take, and what is expected of its steps. */
export interface OccurrenceCourse {
    /** `Infinity` where its queue has no objective. */
    readonly objectiveMs: number;
    /** Expected time from the start of each step to the end of the job. */
    readonly tailsMs: readonly number[];
}

/** One job. */
export interface ShardJob {
    readonly submission: JobSubmission;
    /** Of its organisation; all jobs of one share it. */
    readonly account: Account;
    /** Its organisation had submitted more than its share by then. */
    readonly beyondShare: boolean;
    queue: Queue;
    /** Milliseconds since the Unix epoch. */
    readonly acceptedAtMs: number;
    /** Order of acceptance since the shard has existed. */
    readonly order: number;
    readonly occurrences: Map<number, ShardOccurrence>;
    /** Occurrences that are done, and therefore no longer kept. */
    readonly doneOccurrences: Set<number>;
    state: JobState;
    started: boolean;
    endedAtMs: number | undefined;
    /** Why it was given up; undefined where it was not. */
    failure: JobFailure | undefined;
    /** What callers may see; undefined before the acceptance is durable. */
    shown: JobState | undefined;
    /** True once the submission's own row is durable. */
    stored: boolean;
}

const newTask = (step: ShardStep, name: TaskName): ShardTask => ({
    step,
    index: name.index,
    name: formatTaskName(name),
    done: false,
    lastRun: 0,
    failures: 0,
    checkpoint: "",
    crashes: 0,
    crashesExcused: 0,
    unresolvedLosses: [],
    crashesUnconfirmed: 0,
    possibleCrashes: 0,
    confirmedRun: 0,
    soundRun: 0,
    trialWantedAtMs: undefined,
    runs: [],
    failedOn: new Map(),
});

const newStep = (occurrence: ShardOccurrence, number: number, spec: Step): ShardStep => {
    const tasks: ShardTask[] = [];
    const step: ShardStep = {
        occurrence,
        number,
        spec,
        tasks,
        open: spec.count,
        gangFailures: 0,
        gangFailedRun: 0,
        advice: { asked: new Set(), good: new Map(), inFlight: false, notBeforeMs: 0 },
        readyAtMs: 0,
        blockedAtMs: undefined,
        blockedBeforeMs: 0,
        timesPassed: 0,
        passableAtMs: 0,
    };
    for (let index = 0; index < spec.count; index += 1) {
        const { jobId } = occurrence.job.submission;
        tasks.push(newTask(step, { jobId, occurrence: occurrence.number, step: number, index }));
    }
    return step;
};

/**
 * Opens an occurrence of a job with all its tasks waiting.
 *
 * @example
 * openOccurrence(job, 0).steps.length;
 */
export const openOccurrence = (job: ShardJob, number: number): ShardOccurrence => {
    const steps: ShardStep[] = [];
    const occurrence: ShardOccurrence = { job, number, steps, course: undefined };
    for (const [index, spec] of job.submission.steps.entries()) {
        steps.push(newStep(occurrence, index, spec));
    }
    job.occurrences.set(number, occurrence);
    return occurrence;
};

/**
 * Makes the entry of a job; occurrence 0 of a job without a schedule is open at once.
 *
 * @example
 * const job = newJob(submission, queue, { acceptedAtMs: clock.nowMs(), order: 1 });
 */
export const newJob = (
    submission: JobSubmission,
    queue: Queue,
    { acceptedAtMs, order, account = newAccount(submission.organisation ?? ""), beyondShare = false }: {
        readonly acceptedAtMs: number;
        readonly order: number;
        readonly account?: Account;
        readonly beyondShare?: boolean;
    },
): ShardJob => {
    const job: ShardJob = {
        submission,
        account,
        beyondShare,
        queue,
        acceptedAtMs,
        order,
        occurrences: new Map(),
        doneOccurrences: new Set(),
        state: jobStates.queued,
        started: false,
        endedAtMs: undefined,
        failure: undefined,
        shown: undefined,
        stored: false,
    };
    if (submission.schedule.repeatCount === 0) {
        openOccurrence(job, 0);
    }
    return job;
};

/**
 * Tells whether a job changes no more.
 *
 * @example
 * hasEnded(job); // false while a task may still run
 */
export const hasEnded = (job: ShardJob): boolean => job.state !== jobStates.queued && job.state !== jobStates.running;

/**
 * Tells whether all steps that a step waits for are done.
 *
 * @example
 * isReady(step); // true for a first step
 */
export const isReady = ({ spec, occurrence }: ShardStep): boolean =>
    spec.after.every(number => occurrence.steps[number]?.open === 0);

/**
 * Tells whether a task needs a run and has none.
 *
 * @example
 * isWaiting(task);
 */
export const isWaiting = (task: ShardTask): boolean => !task.done && task.runs.length === 0;

/**
 * Tells whether a task, or its gang, is given up if it fails once more. A task that lasts is never given up for that.
 *
 * @example
 * hasOneAttempt(task); // true for a task that has failed twice, where its queue allows three attempts
 */
export const hasOneAttempt = ({ step, failures }: ShardTask): boolean => {
    const { spec, gangFailures, occurrence } = step;
    const used = spec.gang ? gangFailures : failures;
    return !spec.longRunning && used + 1 >= occurrence.job.queue.attempts;
};

/** Expected length of a run without an estimate. */
const unknownRunMs = 1_000;

/** How long a run is expected to take; `Infinity` for one that lasts. */
export const estimatedRunMs = ({ task }: ShardRun): number => {
    const { estimateMs, longRunning } = task.step.spec;
    if (longRunning) {
        return Infinity;
    }
    return estimateMs === 0 ? unknownRunMs : estimateMs;
};

/**
 * Gives the local time at which a run is expected to end, in the past for one that is overdue.
 *
 * @example
 * estimatedEndMs(run, clock.monotonicMs());
 */
export const estimatedEndMs = (run: ShardRun, nowMs: number): number =>
    (run.startedAtMs ?? nowMs) + estimatedRunMs(run);

/**
 * Names a step as the advisor and the log do: job, occurrence and step.
 *
 * @example
 * stepNameOf(step); // "5c0e7a21d94b36f8.0.1"
 */
export const stepNameOf = ({ occurrence, number }: ShardStep): string =>
    `${occurrence.job.submission.jobId}.${occurrence.number}.${number}`;

/** What a task of a step holds of a worker: tasks that fill use processors that others leave unused. */
export const heldBy = ({ size, fills }: Step): Resources => fills ? { ...size, cpuMillis: 0 } : size;

/**
 * Makes a run of a task, planned unless said otherwise; it holds no room yet.
 *
 * @example
 * const run = newRun(task, "i-7f3a91c2", 1);
 */
export const newRun = (task: ShardTask, workerId: string, run: number, known: Partial<ShardRun> = {}): ShardRun => ({
    task,
    run,
    workerId,
    bornAtMs: undefined,
    address: "",
    held: heldBy(task.step.spec),
    phase: runPhases.planned,
    sentAtMs: undefined,
    settledAtMs: undefined,
    shown: false,
    mayArriveUntilMs: undefined,
    absent: false,
    mayHaveCrashed: false,
    startedAtMs: undefined,
    percent: 100,
    figure: 0,
    idleSinceMs: undefined,
    ...known,
});

/**
 * Finds a task by its name; undefined where its job, or the occurrence, is not kept.
 *
 * @example
 * findTask(jobId => jobs.get(jobId), "5c0e7a21d94b36f8.0.1.17");
 */
export const findTask = (
    jobOf: (jobId: string) => ShardJob | undefined,
    taskName: string,
): ShardTask | undefined => {
    const name = parseTaskName(taskName);
    return name === undefined
        ? undefined
        : jobOf(name.jobId)?.occurrences.get(name.occurrence)?.steps[name.step]?.tasks[name.index];
};

/** Number of occurrences that a job has in all. */
const occurrencesOf = ({ submission }: ShardJob): number => Math.max(1, submission.schedule.repeatCount);

const settleJob = (job: ShardJob, state: JobState, nowMs: number): void => {
    job.state = state;
    job.endedAtMs = nowMs;
};

/**
 * Ends a job that its caller wants no more.
 *
 * @example
 * cancelJob(job, clock.monotonicMs());
 */
export const cancelJob = (job: ShardJob, nowMs: number): void => {
    if (!hasEnded(job)) {
        settleJob(job, jobStates.cancelled, nowMs);
    }
};

/**
 * Gives a job up that cannot be done.
 *
 * @example
 * failJob(job, { cause: "attempts", taskName: task.name, count: 3 }, clock.monotonicMs());
 */
export const failJob = (job: ShardJob, failure: JobFailure, nowMs: number): void => {
    if (!hasEnded(job)) {
        job.failure = failure;
        settleJob(job, jobStates.failed, nowMs);
    }
};

const closeTask = (task: ShardTask): void => {
    if (!task.done) {
        task.done = true;
        task.step.open -= 1;
    }
};

const closeFinished = ({ occurrence }: ShardStep, nowMs: number): void => {
    const { job } = occurrence;
    if (occurrence.steps.some(step => step.open > 0)) {
        return;
    }
    job.doneOccurrences.add(occurrence.number);
    if (job.doneOccurrences.size === occurrencesOf(job) && !hasEnded(job)) {
        settleJob(job, jobStates.completed, nowMs);
    }
};

const countFailure = (task: ShardTask, run: number): number => {
    const { step } = task;
    if (!step.spec.gang) {
        task.failures += 1;
        return task.failures;
    }
    if (run > step.gangFailedRun) {
        step.gangFailedRun = run;
        step.gangFailures += 1;
    }
    return step.gangFailures;
};

/** Handlers for each way a run can end; they change the task, its step and its job. */
const endHandlers: Readonly<Record<RunEnd, (task: ShardTask, run: number, nowMs: number) => void>> = {
    done: (task, _run, nowMs) => {
        if (task.step.spec.longRunning) {
            return;
        }
        for (const each of task.step.spec.gang ? task.step.tasks : [task]) {
            closeTask(each);
        }
        if (task.step.open === 0) {
            closeFinished(task.step, nowMs);
        }
    },
    failed: (task, run, nowMs) => {
        const failures = countFailure(task, run);
        const { job } = task.step.occurrence;
        if (!task.step.spec.longRunning && failures >= job.queue.attempts) {
            failJob(job, { cause: failureCauses.attempts, taskName: task.name, count: failures }, nowMs);
        }
    },
    stopped: () => {},
    lapsed: () => {},
    broken: () => {},
    alone: () => {},
};

/**
 * Takes the end of a run into its task, step and job.
 *
 * @example
 * applyEnd(task, 1, "done", "", clock.nowMs());
 */
export const applyEnd = (task: ShardTask, run: number, how: RunEnd, checkpoint: string, nowMs: number): void => {
    if (task.done) {
        return;
    }
    if (checkpoint !== "") {
        for (const each of task.step.spec.gang ? task.step.tasks : [task]) {
            each.checkpoint = checkpoint;
        }
    }
    endHandlers[how](task, run, nowMs);
};

const hasRuns = ({ steps }: ShardOccurrence): boolean =>
    steps.some(step => step.tasks.some(task => task.runs.length > 0));

/**
 * Tells whether nothing of a job holds room any more, and lets go of occurrences that are done.
 *
 * @example
 * const settled = letGo(job);
 */
export const letGo = (job: ShardJob): boolean => {
    let settled = true;
    for (const [number, occurrence] of job.occurrences) {
        if (hasRuns(occurrence)) {
            settled = false;
        }
        else if (job.doneOccurrences.has(number)) {
            job.occurrences.delete(number);
        }
    }
    return settled;
};

/** All steps of a job's open occurrences. */
export const stepsOf = function*(job: ShardJob): Generator<ShardStep> {
    for (const occurrence of job.occurrences.values()) {
        yield* occurrence.steps;
    }
};

/**
 * Forgets what a job knows of a worker's former incarnation: tickets hold for one incarnation, and the next one has failed no task.
 *
 * @example
 * forgetWorker(job, "i-7f3a91c2");
 */
export const forgetWorker = (job: ShardJob, workerId: string): void => {
    for (const { advice, tasks, open } of stepsOf(job)) {
        if (open === 0) {
            continue;
        }
        advice.good.delete(workerId);
        advice.asked.delete(workerId);
        for (const { failedOn } of tasks) {
            failedOn.delete(workerId);
        }
    }
};

/** The job that a run belongs to. */
export const jobOf = ({ task }: ShardRun): ShardJob => task.step.occurrence.job;

/** All live runs of a job. */
export const runsOf = function*(job: ShardJob): Generator<ShardRun> {
    for (const step of stepsOf(job)) {
        for (const task of step.tasks) {
            yield* task.runs;
        }
    }
};
