/**
 * Answers to operators from the state of a shard's owner: why a job waits and when it is expected to end, what each organisation
 * holds, and how fast each worker is. Nothing is recorded for them, and each answer walks the state once. They hold no API keys,
 * no digests and no payloads.
 */

import { add, noResources, type Resources, scale } from "../../types/resources.js";
import { type JobFailure, type JobState, jobStates } from "../../types/work.js";
import type { Accounts } from "./accounts.js";
import { needsTrial } from "./crashes.js";
import { countDue } from "./dueOccurrences.js";
import { isEligible } from "./eligible.js";
import {
    estimatedEndMs,
    hasEnded,
    isReady,
    isWaiting,
    jobOf,
    reservedResources,
    runPhases,
    type ShardJob,
    type ShardOccurrence,
    type ShardStep,
    type ShardTask,
    stepsOf,
} from "./jobModel.js";
import type { LearnedBias, RunTimeEntries } from "./runTimes.js";
import {
    type AvailabilityCounts,
    awaitsStart,
    countAvailabilities,
    type TaskWait,
    taskWaitOf,
    taskWaits,
    workerAvailabilities,
    type WorkerAvailability,
    type WorkerSnapshot,
} from "./taskWait.js";
import { startableTasks } from "./trials.js";
import { rankStep, type Standing } from "./urgency.js";
import type { ShardWorker } from "./workerTable.js";

/** The owner's state that is queried, and the time at which it is examined. */
export interface QueriedState extends WorkerSnapshot {
    readonly jobs: ReadonlyMap<string, ShardJob>;
    readonly accounts: Pick<Accounts, "all">;
    /** Milliseconds since the Unix epoch at the local time `nowMs`. */
    readonly wallMs: number;
    /** Local time at which capacity is planned for the waiting tasks of a step; undefined without a plan. */
    readonly plannedStartMs: (step: ShardStep) => number | undefined;
}

/** Number of waiting tasks by what they wait for. */
export type WaitCounts = Readonly<Partial<Record<TaskWait, number>>>;

/** State of one step of a job. Times are in milliseconds since the Unix epoch, and missing where nothing is known. */
export interface StepExplanation {
    readonly occurrence: number;
    readonly step: number;
    readonly tasks: { readonly done: number; readonly running: number; readonly waiting: number; };
    /** Earlier steps that are not done, and that this one waits for. */
    readonly after: readonly number[];
    readonly standing?: Standing;
    /** What the waiting tasks of a ready step wait for. */
    readonly waits: WaitCounts;
    /** Number of workers by what keeps them from taking a waiting task. */
    readonly workers: Readonly<Partial<Record<WorkerAvailability, number>>>;
    readonly expectedStartAtMs?: number;
    readonly expectedEndAtMs?: number;
}

/** State of one job. Times are in milliseconds since the Unix epoch, and missing where nothing is known. */
export interface JobExplanation {
    readonly jobId: string;
    readonly state: JobState;
    readonly failure?: JobFailure;
    /** Empty for a job of a caller without an organisation. */
    readonly organisation: string;
    /** Missing for a job that ended under a former owner, as everything below. */
    readonly queueKey?: string;
    /** Smaller numbers are more urgent. */
    readonly priority?: number;
    readonly acceptedAtMs?: number;
    /** Time limit of its earliest open occurrence, from its beginning, and when it is due by that. */
    readonly objectiveMs?: number;
    readonly dueAtMs?: number;
    readonly expectedEndAtMs?: number;
    /** Start of the next occurrence of a scheduled job. */
    readonly nextStartAtMs?: number;
    readonly steps: readonly StepExplanation[];
    /** Number of steps that are left out, beyond `maxListedSteps`. */
    readonly omittedSteps: number;
}

/** Use of a shard by one organisation. */
export interface OrganisationUse {
    /** Empty for callers without an organisation. */
    readonly organisation: string;
    readonly held: Resources;
    /** An amount of 0 means no limit. */
    readonly cap: Resources;
    readonly weight: number;
    /** The largest share that it holds of any resource of the listed workers, from 0 to 1. */
    readonly share: number;
    /** Tasks whose turn has come and that have no run, and the cores that they need. */
    readonly waiting: { readonly tasks: number; readonly cores: number; };
    /** Accepted jobs by state; those that ended under a former owner are not counted. */
    readonly jobs: Readonly<Partial<Record<JobState, number>>>;
}

/** Learned speeds and errors of estimates; empty where nothing was learned. */
export interface SpeedListing {
    /** The slowest first. `workerId` is missing for an address that no listed worker has. */
    readonly workers: readonly {
        readonly address: string;
        readonly workerId?: string;
        readonly dataCentre?: string;
        readonly speed: number;
        readonly error: number;
    }[];
    readonly queues: readonly LearnedBias[];
}

/** Most steps that an answer lists; a scheduled job may have many open occurrences. */
export const maxListedSteps = 200;
/** Most tasks of a step, among those with failures or on trial, whose waits are examined: each one checks every worker. */
const maxExaminedTasks = 20;
const millisPerCore = 1_000;

/** Counts tasks by their wait. Tasks without failures wait for the same event, so only one of them is examined. */
const countWaits = (step: ShardStep, counts: AvailabilityCounts, now: WorkerSnapshot): WaitCounts => {
    const tally: Partial<Record<TaskWait, number>> = {};
    const startable = new Set(startableTasks(step, step.tasks.filter(isWaiting), now));
    const waitOfKind = new Map<string, TaskWait>();
    let examined = 0;
    for (const task of step.tasks.filter(awaitsStart)) {
        const isPlain = task.failedOn.size === 0 && !needsTrial(task) || examined >= maxExaminedTasks;
        examined += isPlain ? 0 : 1;
        const kind = isPlain ? `${task.runs.map(({ phase }) => phase).join()}|${startable.has(task)}` : task.name;
        const wait = waitOfKind.get(kind) ?? taskWaitOf(task, counts, now);
        waitOfKind.set(kind, wait);
        tally[wait] = (tally[wait] ?? 0) + 1;
    }
    return tally;
};

const isRunning = ({ done, runs }: ShardTask): boolean =>
    !done && runs.some(({ phase }) => phase === runPhases.running);

const workOf = (step: ShardStep, tasks: number): number =>
    tasks * step.spec.estimateMs * reservedResources(step.spec).cpuMillis;

/** Whether a job is placed before another one as far as priority and acceptance tell. */
const isAhead = (job: ShardJob, other: ShardJob): boolean =>
    job.queue.priority < other.queue.priority
    || job.queue.priority === other.queue.priority && job.order < other.order;

/** Work of all waiting tasks ahead of a job on the workers of its service, in milliseconds times thousandths of a core. */
const workAheadOf = (job: ShardJob, jobs: ReadonlyMap<string, ShardJob>): number => {
    let work = 0;
    for (const other of jobs.values()) {
        if (hasEnded(other) || other.queue.service !== job.queue.service || !isAhead(other, job)) {
            continue;
        }
        for (const step of stepsOf(other)) {
            if (step.open > 0 && isReady(step)) {
                work += workOf(step, step.tasks.filter(isWaiting).length);
            }
        }
    }
    return work;
};

/** The queried state, and the result of `workAheadOf` for the explained job, which is computed at most once. */
interface ExplainedState extends QueriedState {
    readonly workAhead: () => number;
}

/**
 * Local time at which the eligible workers will have done what they run and the waiting work ahead of a step, by the estimates;
 * undefined where no worker is eligible, or runs without an end hold all capacity.
 */
const startAfterBacklogMs = (
    step: ShardStep,
    { workAhead, workers, nowMs }: ExplainedState,
): number | undefined => {
    let capacity = 0;
    let work = workAhead();
    for (const worker of workers.values()) {
        if (!isEligible(worker, step)) {
            continue;
        }
        capacity += worker.entry.capacity.cpuMillis;
        for (const run of worker.runs.values()) {
            const leftMs = Math.max(0, estimatedEndMs(run, nowMs) - nowMs);
            // A run without an end keeps its part of the capacity.
            capacity -= Number.isFinite(leftMs) ? 0 : run.held.cpuMillis;
            work += Number.isFinite(leftMs) ? leftMs * run.held.cpuMillis : 0;
        }
    }
    return capacity <= 0 ? undefined : nowMs + work / capacity;
};

/** Local time at which the first run of the step's organisation is expected to end; undefined where it has no run that ends. */
const firstEndOfOrganisationMs = (step: ShardStep, { workers, nowMs }: QueriedState): number | undefined => {
    let firstMs = Infinity;
    for (const worker of workers.values()) {
        for (const run of worker.runs.values()) {
            if (jobOf(run).account === step.occurrence.job.account) {
                firstMs = Math.min(firstMs, Math.max(nowMs, estimatedEndMs(run, nowMs)));
            }
        }
    }
    return Number.isFinite(firstMs) ? firstMs : undefined;
};

/** Expected start of a waiting task by what it waits for; waits that are missing here end at an unknown time. */
const expectedStarts: Readonly<
    Partial<Record<TaskWait, (step: ShardStep, state: ExplainedState) => number | undefined>>
> = {
    [taskWaits.commit]: (_step, { nowMs }) => nowMs,
    [taskWaits.startAnswer]: (_step, { nowMs }) => nowMs,
    [taskWaits.turn]: (step, { nowMs, plannedStartMs }) => plannedStartMs(step) ?? nowMs,
    [taskWaits.room]: (step, state) => state.plannedStartMs(step) ?? startAfterBacklogMs(step, state),
    [taskWaits.ticket]: (step, { plannedStartMs }) => plannedStartMs(step),
    [taskWaits.cap]: firstEndOfOrganisationMs,
};

/** Latest of several times; undefined where one of them is. */
const latest = (times: readonly (number | undefined)[]): number | undefined => {
    let latestMs = -Infinity;
    for (const timeMs of times) {
        if (timeMs === undefined) {
            return undefined;
        }
        latestMs = Math.max(latestMs, timeMs);
    }
    return latestMs;
};

/** Local time at which the waiting tasks of a step are expected to have started; undefined where it is unknown or none waits. */
const expectedStartMs = (
    step: ShardStep,
    waits: WaitCounts,
    { predecessorsEndMs, state }: { readonly predecessorsEndMs: number | undefined; readonly state: ExplainedState; },
): number | undefined => {
    if (!isReady(step)) {
        return predecessorsEndMs;
    }
    const kinds = Object.keys(waits) as TaskWait[];
    return kinds.length === 0
        ? undefined
        : latest(kinds.map(kind => expectedStarts[kind]?.(step, state)));
};

/** Local time at which a step is expected to be done; undefined where it is unknown. */
const expectedEndMs = (step: ShardStep, startMs: number | undefined, { nowMs }: QueriedState): number | undefined => {
    const { estimateMs, longRunning } = step.spec;
    if (longRunning || estimateMs === 0) {
        return undefined;
    }
    const ends = step.tasks.filter(task => !task.done).map(task => {
        const [run] = task.runs;
        if (run !== undefined && isRunning(task)) {
            return Math.max(nowMs, estimatedEndMs(run, nowMs));
        }
        return startMs === undefined ? undefined : startMs + estimateMs;
    });
    return latest(ends);
};

const present = <T extends object>(fields: T): { [K in keyof T]?: Exclude<T[K], undefined>; } =>
    Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined)) as never;

/** A step's explanation and the local time of its expected end. */
interface ExplainedStep {
    readonly explanation: StepExplanation;
    readonly endMs: number | undefined;
}

const explainStep = (
    step: ShardStep,
    earlier: readonly ExplainedStep[],
    state: ExplainedState,
): ExplainedStep => {
    const { occurrence, number, spec, tasks, open } = step;
    const { nowMs, wallMs, workers } = state;
    const toWallMs = (localMs: number | undefined): number | undefined =>
        localMs === undefined ? undefined : Math.round(wallMs + localMs - nowMs);
    const running = tasks.filter(isRunning).length;
    const isOpen = open > 0 && !hasEnded(occurrence.job);
    const counts = isOpen && isReady(step) ? countAvailabilities(step, state) : undefined;
    const waits = counts === undefined ? {} : countWaits(step, counts, state);
    const predecessorsEndMs = latest([nowMs, ...spec.after.map(index => earlier[index]?.endMs)]);
    const startMs = isOpen ? expectedStartMs(step, waits, { predecessorsEndMs, state }) : undefined;
    const endMs = open === 0 ? nowMs : isOpen ? expectedEndMs(step, startMs, state) : undefined;
    const isExplained = counts !== undefined && Object.keys(waits).length > 0;
    return {
        endMs,
        explanation: {
            occurrence: occurrence.number,
            step: number,
            tasks: { done: spec.count - open, running, waiting: open - running },
            after: spec.after.filter(index => (occurrence.steps[index]?.open ?? 0) > 0),
            waits,
            workers: isExplained
                ? Object.fromEntries(
                    workerAvailabilities.filter(name => counts[name] > 0).map(name => [name, counts[name]]),
                )
                : {},
            ...present({
                standing: isOpen ? rankStep(step, workers, wallMs).standing : undefined,
                expectedStartAtMs: toWallMs(startMs),
                expectedEndAtMs: isOpen ? toWallMs(endMs) : undefined,
            }),
        },
    };
};

const explainOccurrence = ({ steps }: ShardOccurrence, state: ExplainedState): readonly ExplainedStep[] => {
    const explained: ExplainedStep[] = [];
    for (const step of steps) {
        explained.push(explainStep(step, explained, state));
    }
    return explained;
};

/** Start of the next occurrence of a scheduled job, in milliseconds since the Unix epoch; undefined where none is left. */
const nextStartMs = ({ submission: { schedule } }: ShardJob, wallMs: number): number | undefined => {
    const begun = countDue(schedule, wallMs);
    return begun < schedule.repeatCount ? schedule.startAtMs + begun * schedule.intervalMs : undefined;
};

/**
 * Explains where a job stands; undefined where no accepted job has this ID.
 *
 * @example
 * explainJob("5c0e7a21d94b36f8", state)?.steps[0]?.waits; // { cap: 2 }
 */
export const explainJob = (jobId: string, state: QueriedState): JobExplanation | undefined => {
    const job = state.jobs.get(jobId);
    if (job?.visibleState === undefined) {
        return undefined;
    }
    const { queue, account, acceptedAtMs, submission: { schedule } } = job;
    let work: number | undefined;
    const explained: ExplainedState = { ...state, workAhead: () => work ??= workAheadOf(job, state.jobs) };
    const open = [...job.occurrences.values()].filter(({ number }) => !job.doneOccurrences.has(number));
    const listed: ExplainedStep[] = [];
    let omittedSteps = 0;
    for (const occurrence of open) {
        const fits = listed.length + occurrence.steps.length <= maxListedSteps;
        omittedSteps += fits ? 0 : occurrence.steps.length;
        listed.push(...fits ? explainOccurrence(occurrence, explained) : []);
    }
    const [first] = open;
    const objectiveMs = first?.timing?.objectiveMs ?? Infinity;
    const beganAtMs = schedule.repeatCount === 0
        ? acceptedAtMs
        : schedule.startAtMs + (first?.number ?? 0) * schedule.intervalMs;
    const areAllKnown = omittedSteps === 0 && listed.length > 0 && schedule.repeatCount === 0 && !hasEnded(job);
    const endMs = areAllKnown ? latest(listed.map(step => step.endMs)) : undefined;
    return {
        jobId,
        state: job.visibleState,
        organisation: account.organisation,
        queueKey: queue.key,
        priority: queue.priority,
        acceptedAtMs: Math.round(acceptedAtMs),
        ...present({
            failure: job.visibleState === jobStates.failed ? job.failure : undefined,
            objectiveMs: Number.isFinite(objectiveMs) ? Math.round(objectiveMs) : undefined,
            dueAtMs: Number.isFinite(objectiveMs) ? Math.round(beganAtMs + objectiveMs) : undefined,
            expectedEndAtMs: endMs === undefined ? undefined : Math.round(state.wallMs + endMs - state.nowMs),
            nextStartAtMs: hasEnded(job) ? undefined : nextStartMs(job, state.wallMs),
        }),
        steps: listed.map(({ explanation }) => explanation),
        omittedSteps,
    };
};

const shareOf = (held: Resources, capacity: Resources): number =>
    Math.max(
        ...(["cpuMillis", "memoryMib", "accelerators"] as const).map(name =>
            capacity[name] === 0 ? 0 : held[name] / capacity[name]
        ),
    );

/** Capacity of the workers that the platform lists. */
const listedCapacity = (workers: Iterable<ShardWorker>): Resources => {
    let sum = noResources;
    for (const { entry, unlistedAtMs } of workers) {
        sum = unlistedAtMs === undefined ? add(sum, entry.capacity) : sum;
    }
    return sum;
};

/** Jobs and waiting work of one organisation. */
interface Demand {
    tasks: number;
    need: Resources;
    readonly jobs: Partial<Record<JobState, number>>;
}

const countDemand = (demand: Demand, job: ShardJob): void => {
    if (job.visibleState !== undefined) {
        demand.jobs[job.visibleState] = (demand.jobs[job.visibleState] ?? 0) + 1;
    }
    for (const step of hasEnded(job) ? [] : stepsOf(job)) {
        const waiting = step.open > 0 && isReady(step) ? step.tasks.filter(isWaiting).length : 0;
        demand.tasks += waiting;
        demand.need = add(demand.need, scale(reservedResources(step.spec), waiting));
    }
};

/**
 * Lists what each organisation holds and waits for, the largest share first.
 *
 * @example
 * listOrganisations(state)[0]?.share; // 0.25
 */
export const listOrganisations = ({ jobs, accounts, workers }: QueriedState): readonly OrganisationUse[] => {
    const demands = new Map<string, Demand>();
    for (const job of jobs.values()) {
        const { organisation } = job.account;
        const demand = demands.get(organisation) ?? { tasks: 0, need: noResources, jobs: {} };
        demands.set(organisation, demand);
        countDemand(demand, job);
    }
    const capacity = listedCapacity(workers.values());
    return [...accounts.all()].map(({ organisation, held, cap, weight }) => {
        const demand = demands.get(organisation);
        return {
            organisation,
            held,
            cap,
            weight,
            share: shareOf(held, capacity),
            waiting: { tasks: demand?.tasks ?? 0, cores: (demand?.need.cpuMillis ?? 0) / millisPerCore },
            jobs: demand?.jobs ?? {},
        };
    }).sort((left, right) => right.share - left.share);
};

/**
 * Lists learned speeds with the workers that they belong to, the slowest first; empty without a port.
 *
 * @example
 * listSpeeds(undefined, workers).workers.length; // 0
 */
export const listSpeeds = (
    { speeds, biases }: RunTimeEntries,
    workers: ReadonlyMap<string, ShardWorker>,
): SpeedListing => {
    const byAddress = new Map([...workers.values()].map(({ entry }) => [entry.address, entry]));
    const listed = speeds.map(({ address, speed, error }) => {
        const entry = byAddress.get(address);
        return {
            address,
            ...(entry === undefined ? {} : { workerId: entry.workerId, dataCentre: entry.dataCentre }),
            speed,
            error,
        };
    });
    return { workers: listed.sort((left, right) => left.speed - right.speed), queues: biases };
};

/** Queries of a shard's owner. Each fails with `unavailable` unless the store confirms that this daemon still owns the shard. */
export interface ShardQueries {
    /** Undefined where no accepted job has this ID. */
    explainJob(jobId: string): Promise<JobExplanation | undefined>;
    listOrganisations(): Promise<readonly OrganisationUse[]>;
    listSpeeds(): Promise<SpeedListing>;
}
