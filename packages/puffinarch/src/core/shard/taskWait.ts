/** Classifies what an accepted task that does not run waits for, with an expected upper bound for each kind of wait. */

import { fits } from "../../types/resources.js";
import { avoidedBy, avoidedByAll, awaitedBy } from "./avoidance.js";
import { needsTrial } from "./crashes.js";
import {
    allowsAnotherRun,
    countRuns,
    countTasksThatFit,
    isAtCap,
    isEligible,
    minTasksToStart,
    ticketFor,
} from "./eligible.js";
import {
    hasEnded,
    isReady,
    isWaiting,
    reservedResources,
    runPhases,
    type ShardStep,
    type ShardTask,
} from "./jobModel.js";
import { isBlockedByTrial, startableTasks } from "./trials.js";
import { freeCapacityOf, isOpen, type ShardWorker } from "./workerTable.js";

/** Events that a task can wait for once its step is ready. */
export const taskWaits = {
    /** The commit of its planned start. */
    commit: "commit",
    /** A worker's answer to its start order. */
    startAnswer: "startAnswer",
    /** The end of its run that is being stopped. */
    stopEnd: "stopEnd",
    /** The end of runs of other members of its gang, since all members start together. */
    members: "members",
    /** The listing of a worker that could run it. */
    listing: "listing",
    /** Workers that could run it, but do not answer, are resting or leaving, or have not yet reported what they run. */
    workers: "workers",
    /** The advisor's answer. */
    advice: "advice",
    /** A call to the advisor about available workers, or its approval of one. */
    ticket: "ticket",
    /** The end of runs on a worker that it may use. */
    room: "room",
    /** The end of runs of its organisation, which uses all that its cap allows. */
    cap: "cap",
    /**
     * A trial after crashes of workers: another task of its step has to run first, or it needs a worker for itself. Also used while it
     * is not known whether its lost runs crashed their workers, if one more crash might fail its job.
     */
    trial: "trial",
    /** Capacity on another worker than those on which it failed recently. */
    untried: "untried",
    /** A pass that places it: workers have capacity for it, or for its whole gang, which may be reserved for other steps. */
    turn: "turn",
} as const;
/** One of `taskWaits`. */
export type TaskWait = (typeof taskWaits)[keyof typeof taskWaits];

/** Duration in milliseconds after which each kind of wait is logged. */
export const waitBoundsMs: Readonly<Record<TaskWait, number>> = {
    /** The store answers within 10 ms; an outage is logged by the commit log. */
    commit: 2_000,
    /** An unanswered start may be carried out for 6.5 s (`unansweredStartMs`). Its run holds a lease that ends 5 s after it was sent. */
    startAnswer: 9_000,
    /** A stop takes up to 0.9 s. */
    stopEnd: 3_000,
    /** The longest time for a stop and for a gang's wait for its members. */
    members: 5_000,
    /** Workers are listed again within 2 s after the store has recovered. */
    listing: 3_000,
    /** The duration of a lease and the time for which a former owner may have renewed it. */
    workers: 8_000,
    /** Calls that have waited for 2 s may be served before more urgent ones. */
    advice: 4_000,
    /** A new call follows an answer within 0.2 s. */
    ticket: 3_000,
    /** Waits for capacity are usual under load. */
    room: 10_000,
    /** Waits are usual for jobs that an organisation submits beyond its cap. */
    cap: 10_000,
    /** Only the last attempt of a task avoids a worker for longer than 2 s. */
    untried: 3_000,
    /** Each task of a step, one after the other, may crash a worker, which is then away for some seconds. */
    trial: 10_000,
    /** A pass follows a change within milliseconds, or later where many steps wait. */
    turn: 3_000,
};

/** Why a worker can or cannot take a task of a waiting step now; the first state that applies. */
export const workerAvailabilities = [
    /** Missing from the platform's list of workers, or never listed to this owner. */
    "unlisted",
    /** Draining, or its VM is about to go down. */
    "leaving",
    /** Has not yet reported its runs to this owner. */
    "uncertain",
    /** Did not answer the newest look. */
    "silent",
    /** Gets no new work for a while after failures, or is reserved for the trial of another job's task. */
    "resting",
    /** Not approved by the advisor. */
    "barred",
    /** Has no free capacity for a task, or as many of the step's runs as it may have. */
    "full",
    /** Avoided by all waiting tasks of the step, which failed there. */
    "avoided",
    "noTicket",
    "free",
] as const;
/** One of `workerAvailabilities`. */
export type WorkerAvailability = (typeof workerAvailabilities)[number];

/** Number of the workers that could run a step, by state. */
export type AvailabilityCounts = Readonly<Record<WorkerAvailability, number>>;

/** The workers and the local time for which they are examined. */
export interface WorkerSnapshot {
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly nowMs: number;
}

interface StateOptions extends WorkerSnapshot {
    /** Workers that all waiting tasks of the step avoid. */
    readonly avoided: ReadonlySet<string>;
    /** Live runs of the step on the worker. */
    readonly runsHere: number;
}

const stateOf = (worker: ShardWorker, step: ShardStep, options: StateOptions): WorkerAvailability => {
    const { runsHere, avoided, workers, nowMs } = options;
    if (worker.entry.draining || worker.cordoned) {
        return "leaving";
    }
    if (!worker.runsKnown) {
        return "uncertain";
    }
    if (worker.silentLooks > 0) {
        return "silent";
    }
    if (isBlockedByTrial(worker, step.occurrence.job, { workers, nowMs })) {
        return "resting";
    }
    if (!isOpen(worker, nowMs)) {
        return worker.unlistedAtMs === undefined ? "resting" : "unlisted";
    }
    const { askedWorkerIds: asked, good } = step.advice;
    if (asked.has(worker.workerId) && !good.has(worker.workerId)) {
        return "barred";
    }
    if (!allowsAnotherRun(step.spec, runsHere) || !fits(reservedResources(step.spec), freeCapacityOf(worker))) {
        return "full";
    }
    // Checked before `noTicket`, since no tickets are requested for workers that the step avoids.
    if (avoided.has(worker.workerId)) {
        return "avoided";
    }
    return ticketFor(step, worker.workerId, nowMs) === undefined ? "noTicket" : "free";
};

/** Creates a function that gives the state of a worker for a step. */
const createClassifier = (step: ShardStep, now: WorkerSnapshot): (worker: ShardWorker) => WorkerAvailability => {
    const runs = countRuns(step);
    const avoided = avoidedByAll(step, now);
    return worker => stateOf(worker, step, { ...now, runsHere: runs.get(worker.workerId) ?? 0, avoided });
};

/**
 * Counts the workers that could run a step by their state. A worker that was never listed to this owner counts as unlisted,
 * since its service and capacity are not known.
 *
 * @example
 * countAvailabilities(step, { workers, nowMs: clock.monotonicMs() }).silent;
 */
export const countAvailabilities = (step: ShardStep, now: WorkerSnapshot): AvailabilityCounts => {
    const counts = {
        unlisted: 0,
        leaving: 0,
        uncertain: 0,
        silent: 0,
        resting: 0,
        barred: 0,
        full: 0,
        avoided: 0,
        noTicket: 0,
        free: 0,
    };
    const classify = createClassifier(step, now);
    for (const worker of now.workers.values()) {
        if (worker.entry.service === "") {
            counts.unlisted += 1;
        }
        else if (isEligible(worker, step)) {
            counts[classify(worker)] += 1;
        }
    }
    return counts;
};

/** Whether the workers in one of these states have capacity for all tasks that must start together. */
const haveCapacity = (states: readonly WorkerAvailability[], step: ShardStep, now: WorkerSnapshot): boolean => {
    const classify = createClassifier(step, now);
    const runs = countRuns(step);
    let needed = minTasksToStart(step);
    for (const worker of now.workers.values()) {
        if (isEligible(worker, step) && states.includes(classify(worker))) {
            needed -= countTasksThatFit(freeCapacityOf(worker), step, runs.get(worker.workerId) ?? 0);
        }
    }
    return needed <= 0;
};

const workerWaitOf = (step: ShardStep, counts: AvailabilityCounts, now: WorkerSnapshot): TaskWait => {
    const { advice } = step;
    if (counts.free > 0 && haveCapacity(["free"], step, now)) {
        return taskWaits.turn;
    }
    if (counts.avoided > 0 && !haveCapacity(["free", "noTicket"], step, now)) {
        return taskWaits.untried;
    }
    if (advice.inFlight) {
        return taskWaits.advice;
    }
    if (counts.noTicket > 0) {
        return taskWaits.ticket;
    }
    if (counts.full + counts.free > 0) {
        return taskWaits.room;
    }
    if (counts.leaving + counts.uncertain + counts.silent + counts.resting > 0) {
        return taskWaits.workers;
    }
    return counts.barred > 0 ? taskWaits.ticket : taskWaits.listing;
};

/** Maximum number of awaited workers named in a description. */
const maxAwaitedNames = 3;

/**
 * Describes which workers a task avoids because it failed there, for how much longer, and which others it waits for. Empty
 * where it avoids none.
 *
 * @example
 * describeAvoided(task, { workers, nowMs }); // "avoids i-7f3a91c2 for 812 ms; awaits i-20bd11e9 full"
 */
export const describeAvoided = (task: ShardTask, now: WorkerSnapshot): string => {
    const avoided = [...avoidedBy(task, now)];
    if (avoided.length === 0) {
        return "";
    }
    const classify = createClassifier(task.step, now);
    const awaited = awaitedBy(task, now).slice(0, maxAwaitedNames).map(worker =>
        `${worker.workerId} ${classify(worker)}`
    );
    const times = avoided.map(([workerId, untilMs]) => `${workerId} for ${Math.round(untilMs - now.nowMs)} ms`);
    return `avoids ${times.join(", ")}; awaits ${awaited.join(", ") || "none"}`;
};

/**
 * Tells whether an accepted task should run and does not: its step is ready, it is not done, and no worker reports it as
 * running.
 *
 * @example
 * awaitsStart(task); // false while a predecessor of its step is not done
 */
export const awaitsStart = (task: ShardTask): boolean => {
    const { step } = task;
    const { job } = step.occurrence;
    return job.stored && !hasEnded(job) && !task.done && isReady(step)
        && task.runs.every(run => run.phase !== runPhases.running);
};

/**
 * Returns the event that a task waits for; `awaitsStart` must hold for the task.
 *
 * @example
 * if (awaitsStart(task)) { taskWaitOf(task, countAvailabilities(task.step, { workers, nowMs }), { workers, nowMs }); } // "room"
 */
export const taskWaitOf = (task: ShardTask, counts: AvailabilityCounts, now: WorkerSnapshot): TaskWait => {
    const { step, runs } = task;
    if (runs.some(run => run.phase === runPhases.starting)) {
        return taskWaits.startAnswer;
    }
    if (runs.some(run => run.phase === runPhases.planned)) {
        return taskWaits.commit;
    }
    if (runs.length > 0) {
        return taskWaits.stopEnd;
    }
    if (step.spec.gang && !step.tasks.every(isWaiting)) {
        return taskWaits.members;
    }
    if (needsTrial(task) || !startableTasks(step, step.tasks.filter(isWaiting), now).includes(task)) {
        return taskWaits.trial;
    }
    return isAtCap(step) ? taskWaits.cap : workerWaitOf(step, counts, now);
};
