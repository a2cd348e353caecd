/** What an accepted task that does not run waits for: one of a closed list of events, each with a bound on the wait. */

import { fits, subtract } from "../../types/resources.js";
import { allowsAnother, countRuns, failedLately, keepsOffForMs, suits, ticketFor, untriedFor } from "./chooseWorker.js";
import { needsTrial } from "./crashes.js";
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
    /** A task keeps off a worker for 5 s. */
    untried: 6_000,
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
    "noTicket",
    "avoided",
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
    /** Live runs of the step on the worker. */
    readonly runsHere: number;
}

const standOf = (worker: ShardWorker, step: ShardStep, { runsHere, workers, nowMs }: StandOptions): WorkerStand => {
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
    if (ticketFor(step, worker.workerId, nowMs) === undefined) {
        return "noTicket";
    }
    const avoided = step.tasks.every(task => !isWaiting(task) || failedLately(task, worker.workerId, nowMs));
    return avoided ? "avoided" : "free";
};

/**
 * Counts how the workers that could run a step stand towards it. A worker that was never listed to this owner counts as
 * unlisted, since nobody knows what it could run.
 *
 * @example
 * countStands(step, { workers, nowMs: clock.monotonicMs() }).silent;
 */
export const countStands = (step: ShardStep, { workers, nowMs }: WorkersNow): StandCounts => {
    const counts = {
        unlisted: 0,
        leaving: 0,
        uncertain: 0,
        silent: 0,
        resting: 0,
        barred: 0,
        full: 0,
        noTicket: 0,
        avoided: 0,
        free: 0,
    };
    const runs = countRuns(step);
    for (const worker of workers.values()) {
        if (worker.entry.service === "") {
            counts.unlisted += 1;
        }
        else if (suits(worker, step)) {
            counts[standOf(worker, step, { runsHere: runs.get(worker.workerId) ?? 0, workers, nowMs })] += 1;
        }
    }
    return counts;
};

/** Tasks of a step that have room, one beside the other, on one worker. */
const placesOn = (worker: ShardWorker, { spec }: ShardStep, runsHere: number): number => {
    const held = heldBy(spec);
    let room = roomOf(worker);
    let places = 0;
    while (places < spec.count && allowsAnother(spec, runsHere + places) && fits(held, room)) {
        room = subtract(room, held);
        places += 1;
    }
    return places;
};

/** Whether what is free now holds what has to start at once: all members of a gang, else one task. */
const fitsOnFree = (step: ShardStep, { workers, nowMs }: WorkersNow): boolean => {
    const runs = countRuns(step);
    let needed = step.spec.gang ? step.tasks.length : 1;
    for (const worker of workers.values()) {
        const runsHere = runs.get(worker.workerId) ?? 0;
        if (suits(worker, step) && standOf(worker, step, { runsHere, workers, nowMs }) === "free") {
            needed -= placesOn(worker, step, runsHere);
        }
    }
    return needed <= 0;
};

const waitForWorker = (step: ShardStep, counts: StandCounts, now: WorkersNow): TaskWait => {
    const { advice } = step;
    if (counts.free > 0 && fitsOnFree(step, now)) {
        return taskWaits.turn;
    }
    if (advice.inFlight) {
        return taskWaits.advice;
    }
    if (counts.noTicket > 0) {
        return taskWaits.ticket;
    }
    if (counts.avoided > 0) {
        return taskWaits.untried;
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
    const { step } = task;
    const { workers, nowMs } = now;
    const avoided = [...task.failedOn.keys()].filter(workerId => failedLately(task, workerId, nowMs));
    if (avoided.length === 0) {
        return "";
    }
    const runs = countRuns(step);
    const awaited = [...untriedFor(task, now)].slice(0, mostAwaited).map(worker => {
        const stand = standOf(worker, step, { runsHere: runs.get(worker.workerId) ?? 0, workers, nowMs });
        return `${worker.workerId} ${stand}`;
    });
    const times = avoided.map(workerId => `${workerId} for ${Math.round(keepsOffForMs(task, workerId, nowMs))} ms`);
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
    return waitForWorker(step, counts, now);
};
