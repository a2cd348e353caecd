/** What an accepted task that does not run waits for: one of a closed list of events, each with a bound on the wait. */

import { fits } from "../../types/resources.js";
import { avoidedBy, avoidedByAll, awaitedBy } from "./avoidance.js";
import { needsTrial } from "./crashes.js";
import { allowsAnother, countRuns, isAtCap, placesIn, placesNeeded, suits, ticketFor } from "./eligible.js";
import { hasEnded, heldBy, isReady, isWaiting, runPhases, type ShardStep, type ShardTask } from "./jobBook.js";
import { isKeptFrom, startable } from "./trials.js";
import { isOpen, roomOf, type ShardWorker } from "./workerTable.js";

/** Events that a task can wait for once its turn has come. */
export const taskWaits = {
    /** The intent of its start is to become durable. */
    commit: "commit",
    /** A worker is to answer the order that starts it. */
    startAnswer: "startAnswer",
    /** A run that was stopped is to end. */
    stopEnd: "stopEnd",
    /** Other members of its gang are to end, since all start at once. */
    members: "members",
    /** A worker that could run it is to be listed. */
    listing: "listing",
    /** A worker that could run it is to answer, or to end its rest. */
    workers: "workers",
    /** The advisor is to answer. */
    advice: "advice",
    /** The advisor is to be asked about workers that are open, or to allow one. */
    ticket: "ticket",
    /** Runs are to end on a worker that it may use. */
    room: "room",
    /** Runs of its organisation are to end, which has all that its cap allows. */
    cap: "cap",
    /** Workers crashed under its step: one task of it is to be at work first, or it is to have a worker for itself. */
    trial: "trial",
    /** It failed lately on the workers with room, and another one is to have some. */
    untried: "untried",
    /** A worker has room for it: a pass is to place it, once no room is kept for others or, of a gang, all have some. */
    turn: "turn",
} as const;
/** One of `taskWaits`. */
export type TaskWait = (typeof taskWaits)[keyof typeof taskWaits];

/** How long each wait may last in milliseconds before it is worth a log line. */
export const waitBoundsMs: Readonly<Record<TaskWait, number>> = {
    /** The store answers within 10 ms; an outage is logged by the commit log. */
    commit: 2_000,
    /** A start without an answer is given up after 2 s, and is gone once its lease of 5 s would be over. */
    startAnswer: 9_000,
    /** A stop takes up to 0.9 s. */
    stopEnd: 3_000,
    /** The longest of a stop and of a gang's wait for its members. */
    members: 5_000,
    /** Entries are back 2 s after the store is. */
    listing: 3_000,
    /** A lease, with the time for which a former owner may have renewed it. */
    workers: 8_000,
    /** Calls that have waited for 2 s are taken out of turn. */
    advice: 4_000,
    /** A new call follows an answer within 0.2 s. */
    ticket: 3_000,
    /** Under load the wait for room is usual. */
    room: 10_000,
    /** The same for what an organisation sends beyond its cap. */
    cap: 10_000,
    /** Only the last attempt of a task keeps off a worker for longer than 2 s. */
    untried: 3_000,
    /** Each task of a step in turn may take a worker down for some seconds. */
    trial: 10_000,
    /** Passes follow within milliseconds of a change, and more slowly where many steps wait. */
    turn: 3_000,
};

/** How a worker stands towards a step that waits; the first that applies. */
export const workerStands = [
    "unlisted",
    "leaving",
    "uncertain",
    "silent",
    "resting",
    "barred",
    "full",
    "avoided",
    "noTicket",
    "free",
] as const;
/** One of `workerStands`. */
export type WorkerStand = (typeof workerStands)[number];

/** How many of the workers that could run a step stand in each way. */
export type StandCounts = Readonly<Record<WorkerStand, number>>;

/** The workers, at one moment. */
export interface WorkersNow {
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly nowMs: number;
}

interface StandOptions extends WorkersNow {
    /** Workers that all waiting tasks of the step keep off. */
    readonly avoided: ReadonlySet<string>;
    /** Live runs of the step on the worker. */
    readonly runsHere: number;
}

const standOf = (worker: ShardWorker, step: ShardStep, options: StandOptions): WorkerStand => {
    const { runsHere, avoided, workers, nowMs } = options;
    if (worker.entry.draining || worker.cordoned) {
        return "leaving";
    }
    if (!worker.certain) {
        return "uncertain";
    }
    if (worker.silentLooks > 0) {
        return "silent";
    }
    if (isKeptFrom(worker, step.occurrence.job, { workers, nowMs })) {
        return "resting";
    }
    if (!isOpen(worker, nowMs)) {
        return worker.unlistedAtMs === undefined ? "resting" : "unlisted";
    }
    const { asked, good } = step.advice;
    if (asked.has(worker.workerId) && !good.has(worker.workerId)) {
        return "barred";
    }
    if (!allowsAnother(step.spec, runsHere) || !fits(heldBy(step.spec), roomOf(worker))) {
        return "full";
    }
    // The advisor is not asked about workers that the step keeps off, so that they have no ticket for that reason.
    if (avoided.has(worker.workerId)) {
        return "avoided";
    }
    return ticketFor(step, worker.workerId, nowMs) === undefined ? "noTicket" : "free";
};

/** How each worker stands towards a step. */
const standingOf = (step: ShardStep, now: WorkersNow): (worker: ShardWorker) => WorkerStand => {
    const runs = countRuns(step);
    const avoided = avoidedByAll(step, now);
    return worker => standOf(worker, step, { ...now, runsHere: runs.get(worker.workerId) ?? 0, avoided });
};

/**
 * Counts how the workers that could run a step stand towards it. A worker that was never listed to this owner counts as
 * unlisted, since nobody knows what it could run.
 *
 * @example
 * countStands(step, { workers, nowMs: clock.monotonicMs() }).silent;
 */
export const countStands = (step: ShardStep, now: WorkersNow): StandCounts => {
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
    const standing = standingOf(step, now);
    for (const worker of now.workers.values()) {
        if (worker.entry.service === "") {
            counts.unlisted += 1;
        }
        else if (suits(worker, step)) {
            counts[standing(worker)] += 1;
        }
    }
    return counts;
};

/** Whether workers that stand in one of these ways hold what has to start at once. */
const fitsOn = (stands: readonly WorkerStand[], step: ShardStep, now: WorkersNow): boolean => {
    const standing = standingOf(step, now);
    const runs = countRuns(step);
    let needed = placesNeeded(step);
    for (const worker of now.workers.values()) {
        if (suits(worker, step) && stands.includes(standing(worker))) {
            needed -= placesIn(roomOf(worker), step, runs.get(worker.workerId) ?? 0);
        }
    }
    return needed <= 0;
};

const waitForWorker = (step: ShardStep, counts: StandCounts, now: WorkersNow): TaskWait => {
    const { advice } = step;
    if (counts.free > 0 && fitsOn(["free"], step, now)) {
        return taskWaits.turn;
    }
    if (counts.avoided > 0 && !fitsOn(["free", "noTicket"], step, now)) {
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

/** Workers that are named as awaited. */
const mostAwaited = 3;

/**
 * Tells which workers a task keeps off since they failed it, for how much longer, and for the sake of which others; empty
 * where it keeps off none.
 *
 * @example
 * describeAvoided(task, { workers, nowMs }); // "keeps off i-7f3a91c2 for 812 ms; awaits i-20bd11e9 full"
 */
export const describeAvoided = (task: ShardTask, now: WorkersNow): string => {
    const avoided = [...avoidedBy(task, now)];
    if (avoided.length === 0) {
        return "";
    }
    const standing = standingOf(task.step, now);
    const awaited = awaitedBy(task, now).slice(0, mostAwaited).map(worker => `${worker.workerId} ${standing(worker)}`);
    const times = avoided.map(([workerId, untilMs]) => `${workerId} for ${Math.round(untilMs - now.nowMs)} ms`);
    return `keeps off ${times.join(", ")}; awaits ${awaited.join(", ") || "none"}`;
};

/**
 * Tells whether an accepted task ought to run and does not: its turn has come, it is not done, and no worker shows it at
 * work.
 *
 * @example
 * isDue(task); // false while a step before its own is open
 */
export const isDue = (task: ShardTask): boolean => {
    const { step } = task;
    const { job } = step.occurrence;
    return job.stored && !hasEnded(job) && !task.done && isReady(step)
        && task.runs.every(run => run.phase !== runPhases.running);
};

/**
 * Names what a task that is due waits for.
 *
 * @example
 * if (isDue(task)) { taskWaitOf(task, countStands(task.step, { workers, nowMs }), { workers, nowMs }); } // "room"
 */
export const taskWaitOf = (task: ShardTask, counts: StandCounts, now: WorkersNow): TaskWait => {
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
    if (needsTrial(task) || !startable(step, step.tasks.filter(isWaiting), now).includes(task)) {
        return taskWaits.trial;
    }
    return isAtCap(step) ? taskWaits.cap : waitForWorker(step, counts, now);
};
