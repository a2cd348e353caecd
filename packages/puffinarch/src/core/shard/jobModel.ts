/**
 * In-memory model of one shard's jobs: their occurrences, steps, tasks and live runs, and the transitions between their states. "Local
 * time" is the monotonic clock of this process.
 */

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
import { createOccurrenceSet, type OccurrenceSet } from "./occurrenceSet.js";

/** Phases of a run, from planning to its end. */
export const runPhases = {
    /** Capacity is reserved; the intent to start is not durable yet and no order was sent. */
    planned: "planned",
    /** The start order was sent and may have been carried out. */
    starting: "starting",
    /** The worker has confirmed that it runs. */
    running: "running",
    /** A stop order is under way; the capacity stays reserved until the worker reports the end of the run. */
    stopping: "stopping",
} as const;
/** One of `runPhases`. */
export type RunPhase = (typeof runPhases)[keyof typeof runPhases];

/** One attempt at a task, which reserves capacity on a worker. */
export interface ShardRun {
    readonly task: ShardTask;
    readonly run: number;
    readonly workerId: string;
    /**
     * Start time of the worker incarnation that it was planned for. If that incarnation refuses it and a later one takes it over, the
     * start time of the later one; undefined if unknown.
     */
    bornAtMs: number | undefined;
    /** Address of its worker at planning; empty if unknown. */
    readonly address: string;
    /** Capacity that it reserves on the worker. */
    readonly held: Resources;
    /** Checkpoint that its start carries, fixed at planning so that the starts of a gang's run all carry the same one. */
    readonly checkpoint: string;
    phase: RunPhase;
    /** Local time at which its start order was last passed on to be sent; undefined before that, and if a former owner sent it. */
    sentAtMs: number | undefined;
    /** Whether its start order was not sent within its time limit, since this process had not got round to it. */
    sentLate: boolean;
    /** Local time at which this owner knew that its start was durable; undefined before that, and if a former owner planned it. */
    durableAtMs?: number;
    /**
     * A look that is sent after this local time and does not list the run proves that the run is gone; undefined until its order is
     * answered or given up as unanswered.
     */
    absenceProvenAfterMs: number | undefined;
    /** Local time at which its worker last answered a stop of it, also one that makes the worker refuse it; undefined before. */
    stopAnsweredAtMs: number | undefined;
    /** Whether a look at its worker has listed it; before that, it is unknown which incarnation carried its order out. */
    wasListed: boolean;
    /**
     * Local time until which any incarnation of its worker may still carry out its start order; undefined once the order was answered,
     * and for orders that only one incarnation accepts.
     */
    mayArriveUntilMs: number | undefined;
    /** Whether the worker's current incarnation does not run it and would refuse its order. */
    absent: boolean;
    /** Local time of the first of the looks in a row that did not list it although they should have; undefined while there is none. */
    missingSinceMs: number | undefined;
    /** Whether the worker was told to refuse it, since looks did not list it. */
    refused: boolean;
    /** A worker incarnation that never answered a look of this owner may have carried out its order and crashed because of it. */
    mayHaveCrashed: boolean;
    /** Local time at which its worker first confirmed that it runs. */
    startedAtMs: number | undefined;
    /** Share of time in percent that it may work, and its activity figure (`RunningRun.figure`), as the newest look reported them. */
    percent: number;
    figure: number;
    /** Local time since which every look has reported that it uses no CPU; undefined while it uses some. */
    idleSinceMs: number | undefined;
}

/** A run whose worker stopped answering until its lease expired. Whether the worker crashed is not known yet. */
export interface UnresolvedLoss {
    readonly run: number;
    readonly workerId: string;
    /** Start time of the worker incarnation that had it; undefined if unknown. */
    readonly bornAtMs: number | undefined;
    /** Address of its worker. */
    readonly address: string;
    /** Local time at which it was lost. */
    readonly lostAtMs: number;
    /** If the worker crashed, no task of another job can be the cause. */
    readonly alone: boolean;
    /** Its worker had confirmed the run, and stopped answering with a lost connection, as after a crash. */
    readonly confirmed: boolean;
}

/** Progress that runs of a task have saved. */
export interface SavedProgress {
    /** The newest known checkpoint; empty for none. */
    checkpoint: string;
}

/** A task of a step, with the state of its attempts. */
export interface ShardTask {
    readonly step: ShardStep;
    readonly index: number;
    readonly name: string;
    done: boolean;
    /** Highest run number assigned so far. */
    lastRun: number;
    failures: number;
    /** The members of a gang share one object: the checkpoint of any member counts for all, and they must all start from the same one. */
    readonly saved: SavedProgress;
    /** Number of workers that crashed soon after they had started it. */
    crashes: number;
    /**
     * Number of further crashes that are attributed to another cause, since several workers without a task of its job went down at the
     * same moment.
     */
    crashesExcused: number;
    /** Its runs on workers that stopped answering and of which it is not known yet whether they crashed. */
    readonly unresolvedLosses: UnresolvedLoss[];
    /** How many of `crashes` are unconfirmed: the worker had not confirmed the run, or its crash was not observed. */
    crashesUnconfirmed: number;
    /** Number of start orders that an unobserved incarnation may have carried out and crashed because of; not included in `crashes`. */
    possibleCrashes: number;
    /**
     * Run that its worker had confirmed before it stopped answering, stored so that a successor counts a crash under it as confirmed; 0
     * for none.
     */
    confirmedRun: number;
    /** Highest run that ran long enough to show that the task does not crash its workers. */
    soundRun: number;
    /** Local time since which it waits for a worker of its own, as a task that may crash workers; undefined if it does not wait for one. */
    trialWantedAtMs: number | undefined;
    readonly runs: ShardRun[];
    /** Local time of the task's newest failure on each worker, by worker ID. */
    readonly failedOn: Map<string, number>;
}

/** What is known of the advisor's answers for one step. */
export interface StepAdvice {
    /** IDs of the workers that the advisor was asked about. */
    readonly askedWorkerIds: Set<string>;
    /** Newest ticket for each worker that may run the step, by worker ID. The advisor never changes its decision; only tickets expire. */
    readonly good: Map<string, { ticket: string; validUntilMs: number; }>;
    inFlight: boolean;
    /** Earliest local time of the next call. */
    notBeforeMs: number;
}

/** A step of an occurrence, with its tasks and how long it has waited to be placed. */
export interface ShardStep {
    readonly occurrence: ShardOccurrence;
    readonly number: number;
    readonly spec: Step;
    readonly tasks: readonly ShardTask[];
    /** Number of tasks that are not done. */
    open: number;
    /** For a gang: number of failed runs of the whole gang, and the newest run number that was counted. */
    gangFailures: number;
    gangFailedRun: number;
    readonly advice: StepAdvice;
    /** Local time at which it became ready, with all steps done that it depends on. */
    readyAtMs: number;
    /**
     * Local time since which it has been blocked although workers have capacity for it, moved back by `blockedBeforeMs`; undefined while
     * it is not blocked.
     */
    blockedAtMs: number | undefined;
    /** Total time for which it has been blocked since its newest start, without the current wait. */
    blockedBeforeMs: number;
    /**
     * How often steps that were blocked for long took capacity that was reserved for this one, and the earliest local time at which that
     * may happen again.
     */
    timesOverridden: number;
    nextOverrideAtMs: number;
}

/** An occurrence of a job: one execution of all of its steps. */
export interface ShardOccurrence {
    readonly job: ShardJob;
    readonly number: number;
    readonly steps: readonly ShardStep[];
    /** Undefined until workers are listed, which the objective is computed from. */
    timing: OccurrenceTiming | undefined;
}

/** Time limits of one occurrence: its objective, and the expected time that is left from each of its steps on. */
export interface OccurrenceTiming {
    /** Time from its beginning within which it should end; `Infinity` if its queue has no objective. */
    readonly objectiveMs: number;
    /** Expected time from the start of each step to the end of the job, by step number. */
    readonly remainingByStepMs: readonly number[];
}

/** A job of the shard, from its submission until it is deleted some time after its end. */
export interface ShardJob {
    readonly submission: JobSubmission;
    /** Resource use of its organisation; shared by all jobs of that organisation. */
    readonly account: Account;
    /** The organisation had already used up its share of submissions when this job was submitted. */
    readonly beyondShare: boolean;
    queue: Queue;
    /** Time of its submission, in milliseconds since the Unix epoch. */
    readonly acceptedAtMs: number;
    /** Position in the order of acceptance, over the shard's whole lifetime. */
    readonly order: number;
    readonly occurrences: Map<number, ShardOccurrence>;
    /** Numbers of the occurrences that are done; their steps are dropped once no run of them is left. */
    readonly doneOccurrences: OccurrenceSet;
    state: JobState;
    started: boolean;
    /** Local time of its end; undefined before, and for a job that ended under a former owner. */
    endedAtMs: number | undefined;
    /** Why it failed; undefined if it did not. */
    failure: JobFailure | undefined;
    /** State that callers are shown; undefined until the acceptance is durable. */
    visibleState: JobState | undefined;
    /** Whether the row with the submission is durable. */
    stored: boolean;
    /** Keys of its durable rows, with the values of its task pages; the other values are empty here. */
    readonly storedRows: Map<string, string>;
}

const newTask = (step: ShardStep, name: TaskName, saved: SavedProgress): ShardTask => ({
    step,
    index: name.index,
    name: formatTaskName(name),
    done: false,
    lastRun: 0,
    failures: 0,
    saved,
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
        advice: { askedWorkerIds: new Set(), good: new Map(), inFlight: false, notBeforeMs: 0 },
        readyAtMs: 0,
        blockedAtMs: undefined,
        blockedBeforeMs: 0,
        timesOverridden: 0,
        nextOverrideAtMs: 0,
    };
    const savedByGang: SavedProgress = { checkpoint: "" };
    for (let index = 0; index < spec.count; index += 1) {
        const { jobId } = occurrence.job.submission;
        const name = { jobId, occurrence: occurrence.number, step: number, index };
        tasks.push(newTask(step, name, spec.gang ? savedByGang : { checkpoint: "" }));
    }
    return step;
};

/**
 * Creates an occurrence of a job with all of its tasks waiting.
 *
 * @example
 * openOccurrence(job, 0).steps.length;
 */
export const openOccurrence = (job: ShardJob, number: number): ShardOccurrence => {
    const steps: ShardStep[] = [];
    const occurrence: ShardOccurrence = { job, number, steps, timing: undefined };
    for (const [index, spec] of job.submission.steps.entries()) {
        steps.push(newStep(occurrence, index, spec));
    }
    job.occurrences.set(number, occurrence);
    return occurrence;
};

/**
 * Creates a job. Occurrence 0 of a job without a schedule is created with it.
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
        doneOccurrences: createOccurrenceSet(),
        state: jobStates.queued,
        started: false,
        endedAtMs: undefined,
        failure: undefined,
        visibleState: undefined,
        stored: false,
        storedRows: new Map(),
    };
    if (submission.schedule.repeatCount === 0) {
        openOccurrence(job, 0);
    }
    return job;
};

/**
 * Tells whether a job is in a final state. Runs of it may be left that have yet to be stopped.
 *
 * @example
 * hasEnded(job); // false for a queued or running job
 */
export const hasEnded = (job: ShardJob): boolean => job.state !== jobStates.queued && job.state !== jobStates.running;

/**
 * Tells whether all steps that a step depends on are done.
 *
 * @example
 * isReady(step); // true for a first step
 */
export const isReady = ({ spec, occurrence }: ShardStep): boolean =>
    spec.after.every(number => occurrence.steps[number]?.open === 0);

/**
 * Returns the number of tasks of these steps.
 *
 * @example
 * taskCount([{ count: 2 }, { count: 3 }]); // 5
 */
export const taskCount = (steps: readonly { readonly count: number; }[]): number =>
    steps.reduce((sum, { count }) => sum + count, 0);

/**
 * Tells whether a task is not done and has no live run.
 *
 * @example
 * isWaiting(task);
 */
export const isWaiting = (task: ShardTask): boolean => !task.done && task.runs.length === 0;

/**
 * Tells whether the next failure of a task, or of its gang, uses up its last attempt. Long-running tasks have no limit of attempts.
 *
 * @example
 * isOnLastAttempt(task); // true for a task that has failed twice, where its queue allows three attempts
 */
export const isOnLastAttempt = ({ step, failures }: ShardTask): boolean => {
    const { spec, gangFailures, occurrence } = step;
    const used = spec.gang ? gangFailures : failures;
    return !spec.longRunning && used + 1 >= occurrence.job.queue.attempts;
};

/** Assumed run time of a task without an estimate. */
const defaultEstimateMs = 1_000;

/** Expected run time; `Infinity` for a long-running task. */
export const estimatedRunMs = ({ task }: ShardRun): number => {
    const { estimateMs, longRunning } = task.step.spec;
    if (longRunning) {
        return Infinity;
    }
    return estimateMs === 0 ? defaultEstimateMs : estimateMs;
};

/**
 * Returns the local time at which a run is expected to end, in the past for one that is overdue. A run that has not started is counted
 * from now.
 *
 * @example
 * estimatedEndMs(run, clock.monotonicMs());
 */
export const estimatedEndMs = (run: ShardRun, nowMs: number): number =>
    (run.startedAtMs ?? nowMs) + estimatedRunMs(run);

/**
 * Returns the name of a step as it is used in calls to the advisor and in the log: job, occurrence and step number.
 *
 * @example
 * stepNameOf(step); // "5c0e7a21d94b36f8.0.1"
 */
export const stepNameOf = ({ occurrence, number }: ShardStep): string =>
    `${occurrence.job.submission.jobId}.${occurrence.number}.${number}`;

/** Capacity that a task of a step reserves on a worker. Tasks that only use spare CPU (`fills`) reserve none. */
export const reservedResources = ({ size, fills }: Step): Resources => fills ? { ...size, cpuMillis: 0 } : size;

/**
 * Creates a run of a task, in the phase `planned` unless `known` overrides it. It reserves no capacity yet.
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
    held: reservedResources(task.step.spec),
    checkpoint: task.saved.checkpoint,
    phase: runPhases.planned,
    sentAtMs: undefined,
    sentLate: false,
    absenceProvenAfterMs: undefined,
    stopAnsweredAtMs: undefined,
    wasListed: false,
    mayArriveUntilMs: undefined,
    absent: false,
    missingSinceMs: undefined,
    refused: false,
    mayHaveCrashed: false,
    startedAtMs: undefined,
    percent: 100,
    figure: 0,
    idleSinceMs: undefined,
    ...known,
});

/**
 * Finds a task by its name; undefined if its job is unknown or its occurrence is no longer kept.
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

/** Number of occurrences that a job has over its whole schedule. */
const occurrenceCount = ({ submission }: ShardJob): number => Math.max(1, submission.schedule.repeatCount);

const endJob = (job: ShardJob, state: JobState, nowMs: number): void => {
    job.state = state;
    job.endedAtMs = nowMs;
};

/**
 * Cancels a job that has not ended.
 *
 * @example
 * cancelJob(job, clock.monotonicMs());
 */
export const cancelJob = (job: ShardJob, nowMs: number): void => {
    if (!hasEnded(job)) {
        endJob(job, jobStates.cancelled, nowMs);
    }
};

/**
 * Marks a job that has not ended as failed.
 *
 * @example
 * failJob(job, { cause: "attempts", taskName: task.name, count: 3 }, clock.monotonicMs());
 */
export const failJob = (job: ShardJob, failure: JobFailure, nowMs: number): void => {
    if (!hasEnded(job)) {
        job.failure = failure;
        endJob(job, jobStates.failed, nowMs);
    }
};

const markTaskDone = (task: ShardTask): void => {
    if (!task.done) {
        task.done = true;
        task.step.open -= 1;
    }
};

const completeIfFinished = ({ occurrence }: ShardStep, nowMs: number): void => {
    const { job } = occurrence;
    if (occurrence.steps.some(step => step.open > 0)) {
        return;
    }
    job.doneOccurrences.add(occurrence.number);
    if (job.doneOccurrences.size() === occurrenceCount(job) && !hasEnded(job)) {
        endJob(job, jobStates.completed, nowMs);
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

/** For each way in which a run can end, the changes to the task, its step and its job. */
const endHandlers: Readonly<Record<RunEnd, (task: ShardTask, run: number, nowMs: number) => void>> = {
    done: (task, _run, nowMs) => {
        if (task.step.spec.longRunning) {
            return;
        }
        for (const each of task.step.spec.gang ? task.step.tasks : [task]) {
            markTaskDone(each);
        }
        if (task.step.open === 0) {
            completeIfFinished(task.step, nowMs);
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
 * Records the checkpoint that a run shows, for its task or its whole gang; an empty one changes nothing. A former run of a gang, which may
 * show up long after the gang has gone on, does not set it back.
 *
 * @example
 * recordCheckpoint(task, 2, "00000bb87a21d94b");
 */
export const recordCheckpoint = ({ step, saved, lastRun }: ShardTask, run: number, checkpoint: string): void => {
    if (checkpoint !== "" && !(step.spec.gang && run < lastRun)) {
        saved.checkpoint = checkpoint;
    }
};

/**
 * Applies the end of a run to its task, step and job: its checkpoint, and completion or one more failure.
 *
 * @example
 * applyRunEnd(task, 1, "done", "", clock.monotonicMs());
 */
export const applyRunEnd = (task: ShardTask, run: number, how: RunEnd, checkpoint: string, nowMs: number): void => {
    if (task.done) {
        return;
    }
    recordCheckpoint(task, run, checkpoint);
    endHandlers[how](task, run, nowMs);
};

/**
 * Completes what the parts of a change, which was not written whole, imply: a gang is done once one of its members is, and an occurrence
 * once all of its tasks are.
 *
 * @example
 * settleRestored(job, clock.monotonicMs());
 */
export const settleRestored = (job: ShardJob, nowMs: number): void => {
    for (const { steps, number } of job.occurrences.values()) {
        for (const { spec, tasks } of steps) {
            if (spec.gang && tasks.some(({ done }) => done)) {
                tasks.forEach(markTaskDone);
            }
        }
        const [first] = steps;
        if (first !== undefined && !job.doneOccurrences.has(number)) {
            completeIfFinished(first, nowMs);
        }
    }
};

const hasLiveRuns = ({ steps }: ShardOccurrence): boolean =>
    steps.some(step => step.tasks.some(task => task.runs.length > 0));

/**
 * Drops the occurrences of a job that are done, or whose job has ended, and have no live runs; returns whether no run of the job reserves capacity any more.
 *
 * @example
 * const isReleased = pruneDoneOccurrences(job);
 */
export const pruneDoneOccurrences = (job: ShardJob): boolean => {
    let settled = true;
    for (const [number, occurrence] of job.occurrences) {
        if (hasLiveRuns(occurrence)) {
            settled = false;
        }
        else if (hasEnded(job) || job.doneOccurrences.has(number)) {
            job.occurrences.delete(number);
        }
    }
    return settled;
};

/** Iterates over the steps of a job's open occurrences. */
export const stepsOf = function*(job: ShardJob): Generator<ShardStep> {
    for (const occurrence of job.occurrences.values()) {
        yield* occurrence.steps;
    }
};

/**
 * Drops what a job has recorded about a worker's former incarnation: tickets are valid for one incarnation only, and the new one has
 * failed no task.
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
        advice.askedWorkerIds.delete(workerId);
        for (const { failedOn } of tasks) {
            failedOn.delete(workerId);
        }
    }
};

/** Returns the job that a run belongs to. */
export const jobOf = ({ task }: ShardRun): ShardJob => task.step.occurrence.job;

/** Iterates over the live runs of a job. */
export const runsOf = function*(job: ShardJob): Generator<ShardRun> {
    for (const step of stepsOf(job)) {
        for (const task of step.tasks) {
            yield* task.runs;
        }
    }
};
