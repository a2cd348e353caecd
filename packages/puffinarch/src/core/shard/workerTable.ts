/** The workers of a shard: room, leases, and what is known of each. */

import { add, fits, largest, noResources, type Resources, subtract } from "../../types/resources.js";
import type { WorkerEntry } from "../../types/work.js";
import { charge, isOverCap, release } from "./accounts.js";
import type { CrashedRun } from "./crashes.js";
import type { DelayedStart } from "./delayedStarts.js";
import { jobOf, runPhases, type ShardJob, type ShardRun } from "./jobBook.js";
import { allowsStart } from "./startBreaker.js";

/** How much slower than ours a worker's clock may run. */
export const slowestClockRate = 0.98;

/** One incarnation of a worker as its shard's owner knows it. */
export interface ShardWorker {
    readonly workerId: string;
    /** When this incarnation began, as its own answers say; undefined before the first one, and where they do not say. */
    bornAtMs: number | undefined;
    entry: WorkerEntry;
    /** The most that it was listed with, which it may have again once it has shrunk. */
    mostCapacity: Resources;
    /** Local time since which the platform's list lacks it; undefined while it has it. */
    unlistedAtMs: number | undefined;
    /** True once it has answered a look under this owner's token, so that all it runs is known. */
    certain: boolean;
    /** Local time and its own clock at its newest answer. */
    clock: { readonly localMs: number; readonly clockMs: number; } | undefined;
    /** Local time by which every lease that it may have been given is over. */
    horizonMs: number;
    /** Local time of the newest answer to a look. */
    answeredAtMs: number;
    /** Looks in a row without an answer. */
    silentLooks: number;
    /** Local time of the first of these; undefined while it answers. */
    silentSinceMs: number | undefined;
    /** The first of these lost its connection. Of a worker that went silent otherwise nobody knows when it crashed, if it did. */
    connectionLost: boolean;
    /** Highest number of an end that is durable, and so may be forgotten there. */
    acknowledgedEnd: number;
    /** Highest number of an end that was taken into the book. */
    takenEnd: number;
    /** Resolves once all ends taken so far are durable. */
    endsWritten: Promise<unknown>;
    /** Runs of the incarnation before that this one may have carried out, and which may have crashed that one; by name and number. */
    readonly undecided: Map<string, CrashedRun>;
    /** Runs that hold room, by name and number. */
    readonly runs: Map<string, ShardRun>;
    /** Room that is held, by known runs and by runs that nobody knows until they are stopped. */
    held: Resources;
    /** Runs that this incarnation refuses; their orders may reach the next one, of which alone they hold room. */
    absentRuns: number;
    /** Failures in a row, and the jobs that they belonged to. */
    readonly failedJobs: Set<string>;
    failuresInARow: number;
    /** Local time at which the newest of the orders was sent whose run has ended well. */
    soundSinceMs: number;
    /** Local time of the first of these; it means nothing while there are none. */
    streakBeganAtMs: number;
    /** Local time at which the newest rest after failures began, and until which it gets no work but what passes rests. */
    restBeganAtMs: number;
    restsUntilMs: number;
    /** Gets no work before this local time. */
    avoidUntilMs: number;
    /** Starts in a row without an answer, and the local time of the newest that was counted. */
    unansweredStarts: number;
    startUnansweredAtMs: number;
    /** A start that it did not answer; until it answers an order about it, it gets no other. */
    unansweredOrder: DelayedStart | undefined;
    /** Gets no work at all, since its VM is about to go down. */
    cordoned: boolean;
    /** Newest run of a task that is to show whether it crashes its worker; nothing else is started beside it. */
    trial: ShardRun | undefined;
    /** A job for whose trial it is to become empty; only its tasks are started there until then. */
    trialHold: { readonly job: ShardJob; readonly untilMs: number; } | undefined;
}

/** Key of a run among those of a worker. */
export const runKey = (taskName: string, run: number): string => `${taskName}#${run}`;

/**
 * Makes the entry of a worker of which nothing is known but its listing.
 *
 * @example
 * const worker = newWorker(entry, clock.monotonicMs() + 7_000);
 */
export const newWorker = (entry: WorkerEntry, horizonMs: number): ShardWorker => ({
    workerId: entry.workerId,
    bornAtMs: undefined,
    entry,
    mostCapacity: entry.capacity,
    unlistedAtMs: undefined,
    certain: false,
    clock: undefined,
    horizonMs,
    answeredAtMs: 0,
    silentLooks: 0,
    silentSinceMs: undefined,
    connectionLost: false,
    acknowledgedEnd: 0,
    takenEnd: 0,
    endsWritten: Promise.resolve(),
    undecided: new Map(),
    runs: new Map(),
    held: noResources,
    absentRuns: 0,
    failedJobs: new Set(),
    failuresInARow: 0,
    soundSinceMs: -Infinity,
    streakBeganAtMs: -Infinity,
    restBeganAtMs: -Infinity,
    restsUntilMs: 0,
    avoidUntilMs: 0,
    unansweredStarts: 0,
    startUnansweredAtMs: -Infinity,
    unansweredOrder: undefined,
    cordoned: false,
    trial: undefined,
    trialHold: undefined,
});

/**
 * Gives the time on a worker's own clock that lies this far ahead, and notes how long the lease may last.
 *
 * @example
 * const deadlineMs = extendLease(worker, clock.monotonicMs(), 5_000);
 */
export const extendLease = (worker: ShardWorker, nowMs: number, leaseMs: number): number | undefined => {
    if (worker.clock === undefined) {
        return undefined;
    }
    const { localMs, clockMs } = worker.clock;
    const deadlineMs = Math.floor(clockMs + (nowMs - localMs) + leaseMs);
    const latestEndMs = localMs + (deadlineMs - clockMs) / slowestClockRate;
    worker.horizonMs = Math.max(worker.horizonMs, latestEndMs);
    return deadlineMs;
};

/** What ends with this incarnation holds nothing of the next one; whatever has no answer yet may be carried out there. */
const mayReachNext = ({ mayArriveUntilMs, phase }: ShardRun): boolean =>
    mayArriveUntilMs !== undefined || phase === runPhases.planned || phase === runPhases.starting;

const heldOfNext = ({ runs }: ShardWorker): Resources =>
    [...runs.values()].filter(mayReachNext).reduce((sum, run) => add(sum, run.held), noResources);

/**
 * Gives the room that is left on a worker, and would be on its next incarnation if that were to carry out what has no answer.
 *
 * @example
 * roomOf(worker).cpuMillis;
 */
export const roomOf = (worker: ShardWorker): Resources =>
    subtract(worker.entry.capacity, worker.absentRuns === 0 ? worker.held : largest(worker.held, heldOfNext(worker)));

/**
 * Takes a worker's newest listing.
 *
 * @example
 * takeEntry(worker, { ...worker.entry, draining: true });
 */
export const takeEntry = (worker: ShardWorker, entry: WorkerEntry): void => {
    worker.entry = entry;
    worker.mostCapacity = largest(worker.mostCapacity, entry.capacity);
};

/** A run fits where no amount that it takes of the worker is more than there is. */
const fitsWith = (held: Resources, left: Resources): boolean =>
    (held.cpuMillis === 0 || left.cpuMillis >= 0) && (held.memoryMib === 0 || left.memoryMib >= 0)
    && (held.accelerators === 0 || left.accelerators >= 0);

/**
 * Tells whether the room that a run holds is still there: a worker may have shrunk since the run was planned, and one that
 * does not guard its capacity would start it all the same. The cap of its organisation may have been lowered as well.
 *
 * @example
 * if (!stillFits(worker, run)) { dropRun(worker, run); }
 */
export const stillFits = (worker: ShardWorker, run: ShardRun): boolean =>
    fitsWith(run.held, roomOf(worker)) && !isOverCap(jobOf(run).account, run.held);

const takeRoom = (worker: ShardWorker, { absent, held }: ShardRun): void => {
    if (absent) {
        worker.absentRuns += 1;
        return;
    }
    worker.held = add(worker.held, held);
};

const giveRoomBack = (worker: ShardWorker, { absent, held }: ShardRun): void => {
    if (absent) {
        worker.absentRuns -= 1;
        return;
    }
    worker.held = subtract(worker.held, held);
};

/**
 * Notes whether the worker's present incarnation refuses a run that it holds; other tasks may then have the room.
 *
 * @example
 * setAbsent(worker, run, true);
 */
export const setAbsent = (worker: ShardWorker, run: ShardRun, absent: boolean): void => {
    if (run.absent === absent) {
        return;
    }
    giveRoomBack(worker, run);
    run.absent = absent;
    takeRoom(worker, run);
};

/** Room on a worker and use of an organisation's cap are taken and given back together, and only here and in `releaseRun`. */
const takeRun = (worker: ShardWorker, run: ShardRun): void => {
    takeRoom(worker, run);
    worker.runs.set(runKey(run.task.name, run.run), run);
    charge(jobOf(run).account, run.held);
};

/**
 * Reserves room for a run; false where it does not fit.
 *
 * @example
 * if (!holdRoom(worker, run)) { return; }
 */
export const holdRoom = (worker: ShardWorker, run: ShardRun): boolean => {
    if (!fits(run.held, roomOf(worker))) {
        return false;
    }
    takeRun(worker, run);
    return true;
};

/**
 * Takes over a run that a worker was found to have, whether it fits or not.
 *
 * @example
 * adoptRun(worker, run);
 */
export const adoptRun = takeRun;

/**
 * Gives back the room of a run that its task keeps, as it may go on elsewhere.
 *
 * @example
 * releaseRun(worker, run);
 */
export const releaseRun = (worker: ShardWorker, run: ShardRun): void => {
    if (worker.runs.delete(runKey(run.task.name, run.run))) {
        giveRoomBack(worker, run);
        release(jobOf(run).account, run.held);
    }
};

/**
 * Gives back the room of a run that is gone, and takes the run from its task.
 *
 * @example
 * dropRun(worker, run);
 */
export const dropRun = (worker: ShardWorker, run: ShardRun): void => {
    releaseRun(worker, run);
    const index = run.task.runs.indexOf(run);
    if (index >= 0) {
        run.task.runs.splice(index, 1);
    }
};

/**
 * Tells whether an incarnation that drained or went down for upkeep has left, whatever ran there.
 *
 * @example
 * hasLeft(worker); // false for one that serves
 */
export const hasLeft = ({ entry, cordoned }: ShardWorker): boolean => entry.draining || cordoned;

/** Entries may lapse while the store is away; those of workers that live are back within two seconds of its return. */
const unlistedGraceMs = 2_500;
/** Looks without an answer after which a worker gets no new work. */
const silentLooksToAvoid = 1;

/**
 * Tells whether what the list last said of a worker may be used: it is listed, or was until just now.
 *
 * @example
 * isListed(worker, clock.monotonicMs());
 */
export const isListed = ({ unlistedAtMs }: ShardWorker, nowMs: number): boolean =>
    unlistedAtMs === undefined || nowMs - unlistedAtMs < unlistedGraceMs;

/**
 * Tells whether a worker may get new work now, or does so within a given time if it only rests.
 *
 * @example
 * isOpen(worker, clock.monotonicMs());
 */
export const isOpen = (worker: ShardWorker, nowMs: number, restLeadMs = 0): boolean =>
    isListed(worker, nowMs) && worker.certain
    && !worker.entry.draining && !worker.cordoned && worker.clock !== undefined
    && worker.silentLooks < silentLooksToAvoid && worker.avoidUntilMs <= nowMs
    && worker.restsUntilMs <= nowMs + restLeadMs && allowsStart(worker);
