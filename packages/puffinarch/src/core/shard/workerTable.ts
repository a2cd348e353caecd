/** The state that a shard's owner keeps of each worker: capacity, leases, runs and recent failures. */

import { add, fits, largest, noResources, type Resources, subtract } from "../../types/resources.js";
import type { WorkerEntry } from "../../types/work.js";
import { charge, isOverCap, release } from "./accounts.js";
import type { CrashedRun } from "./crashes.js";
import type { DelayedStart } from "./delayedStarts.js";
import { incarnationOf, type WorkerIncarnation } from "./incarnations.js";
import { jobOf, runPhases, type ShardJob, type ShardRun } from "./jobModel.js";
import { allowsStart } from "./startBreaker.js";

/** Lowest rate, relative to this daemon's clock, at which a worker's clock may run. */
export const slowestClockRate = 0.98;

/** One incarnation of a worker, as the shard's owner knows it. */
export interface ShardWorker {
    readonly workerId: string;
    /**
     * When this incarnation began, as its own answers report it; undefined before the first answer, and where answers do not
     * report it.
     */
    bornAtMs: number | undefined;
    entry: WorkerEntry;
    /** Largest capacity it was ever listed with; a worker that has shrunk may grow back to it. */
    maxCapacity: Resources;
    /** Local time since which the platform's list lacks it; undefined while it is listed. */
    unlistedAtMs: number | undefined;
    /** True once it has answered a look sent under this owner's token, so that all its runs are known. */
    runsKnown: boolean;
    /** Local time of its newest answer and its own clock at that moment; converts local times to lease deadlines. */
    clock: { readonly localMs: number; readonly clockMs: number; } | undefined;
    /** Local time by which every lease that it may have been granted has surely ended. */
    leaseHorizonMs: number;
    /** Local time of the newest answer to a look. */
    answeredAtMs: number;
    /** Time between its last two answers in which no look could bring an end; ends in the newest answer may be that old. */
    lookGapMs: number;
    /**
     * Local time of the newest answer by which its clock had advanced differently from this daemon's: the answer was read late, or one
     * of the two machines was suspended.
     */
    clockJumpAtMs: number;
    /** Consecutive looks without an answer. */
    silentLooks: number;
    /** Local time at which the first of the unanswered looks was given up; undefined while it answers. */
    silentSinceMs: number | undefined;
    /**
     * Whether the first unanswered look lost its connection. A worker that went silent in another way may have crashed at any
     * time since its last answer, or not at all.
     */
    connectionLost: boolean;
    /** Highest number of an end that is durable here, so that the worker may discard the ends up to it. */
    acknowledgedEnd: number;
    /** Highest number of an end that was applied to its job. */
    appliedEnd: number;
    /** Resolves once all ends applied so far are durable. */
    endsWritten: Promise<unknown>;
    /**
     * Suspected crashes of the former incarnation whose runs this incarnation may have, by run key. They are counted once it
     * is known that it does not have them.
     */
    readonly undecided: Map<string, CrashedRun>;
    /** Runs that hold capacity here, by run key. */
    readonly runs: Map<string, ShardRun>;
    /** Capacity held by all runs here, except absent ones. */
    held: Resources;
    /** Result of the last subtraction of `held` from the capacity; a pass asks for it once for each worker and waiting step. */
    lastFree: { readonly capacity: Resources; readonly held: Resources; readonly free: Resources; } | undefined;
    /**
     * Number of runs that this incarnation rejects. The next incarnation may still carry out their orders, so only its
     * capacity is held for them.
     */
    absentRuns: number;
    /** Jobs that the consecutive failures belonged to. */
    readonly failedJobs: Set<string>;
    failuresInARow: number;
    /** Latest local time at which the start of a run that completed was sent. */
    lastCompletedSentAtMs: number;
    /** Local time of the first of the consecutive failures; meaningless while there are none. */
    failureStreakBeganAtMs: number;
    /**
     * Local times at which the newest rest began and ends: a cooldown after failures, during which only tasks for which
     * `mayUseRestingWorkers` holds are started here.
     */
    restBeganAtMs: number;
    restsUntilMs: number;
    /** It gets no work before this local time. */
    avoidUntilMs: number;
    /** Consecutive starts without an answer, and the local time of the newest that was counted. */
    unansweredStarts: number;
    startUnansweredAtMs: number;
    /** A start that it did not answer; it gets no other start until it has answered an order about this one. */
    unansweredOrder: DelayedStart | undefined;
    /** It gets no work at all, since its VM is about to be shut down. */
    cordoned: boolean;
    /**
     * Newest run here of a task on trial, under which workers have crashed. No other job starts a run beside it until it has run long
     * enough to show that it did not crash the worker on its start.
     */
    trial: ShardRun | undefined;
    /** A job that waits for this worker to become empty for a trial; only its tasks are started here until then. */
    trialHold: { readonly job: ShardJob; readonly untilMs: number; } | undefined;
}

/**
 * Returns the fields that identify a run and the incarnation of its worker in log entries.
 *
 * @example
 * log.write("warn", "runStuck", logFieldsOf(worker, run));
 */
export const logFieldsOf = (
    worker: WorkerIncarnation,
    { task, run }: Pick<ShardRun, "task" | "run">,
): Readonly<Record<string, string | number | undefined>> => ({
    task: task.name,
    run,
    ...incarnationOf(worker),
});

/** Key of a run in the maps of a worker. */
export const runKey = (taskName: string, run: number): string => `${taskName}#${run}`;

/**
 * Creates the state of a worker of which only its list entry is known.
 *
 * @example
 * const worker = newWorker(entry, clock.monotonicMs() + 7_000);
 */
export const newWorker = (entry: WorkerEntry, leaseHorizonMs: number): ShardWorker => ({
    workerId: entry.workerId,
    bornAtMs: undefined,
    entry,
    maxCapacity: entry.capacity,
    unlistedAtMs: undefined,
    runsKnown: false,
    clock: undefined,
    leaseHorizonMs,
    answeredAtMs: 0,
    lookGapMs: Infinity,
    clockJumpAtMs: -Infinity,
    silentLooks: 0,
    silentSinceMs: undefined,
    connectionLost: false,
    acknowledgedEnd: 0,
    appliedEnd: 0,
    endsWritten: Promise.resolve(),
    undecided: new Map(),
    runs: new Map(),
    held: noResources,
    lastFree: undefined,
    absentRuns: 0,
    failedJobs: new Set(),
    failuresInARow: 0,
    lastCompletedSentAtMs: -Infinity,
    failureStreakBeganAtMs: -Infinity,
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

/** Deviation between the clocks of two answers that is due to the network, in addition to the deviation of their rates. */
const maxClockDeviationMs = 150;

/**
 * Records an answer to a look, by the worker's clock in it. `lastAnswerAtMs` is the local time of the answer before.
 *
 * @example
 * recordAnswer(worker, { nowMs: clock.monotonicMs(), clockMs: look.clockMs, sentAtMs, lastAnswerAtMs });
 */
export const recordAnswer = (
    worker: ShardWorker,
    { nowMs, clockMs, sentAtMs, lastAnswerAtMs }: {
        readonly nowMs: number;
        readonly clockMs: number;
        readonly sentAtMs: number;
        readonly lastAnswerAtMs: number;
    },
): void => {
    const { clock } = worker;
    const elapsedMs = nowMs - (clock?.localMs ?? nowMs);
    const deviationMs = Math.abs(clockMs - (clock?.clockMs ?? 0) - elapsedMs);
    if (clock === undefined || deviationMs > maxClockDeviationMs + (1 - slowestClockRate) * elapsedMs) {
        worker.clockJumpAtMs = nowMs;
    }
    worker.lookGapMs = clock === undefined ? Infinity : Math.max(0, sentAtMs - lastAnswerAtMs);
    worker.clock = { localMs: nowMs, clockMs };
    worker.answeredAtMs = nowMs;
    worker.silentLooks = 0;
    worker.silentSinceMs = undefined;
};

/**
 * Returns the deadline, on the worker's own clock, of a lease that lasts `leaseMs` from now, and extends `leaseHorizonMs` to cover
 * it. Undefined while the worker's clock is not known.
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
    worker.leaseHorizonMs = Math.max(worker.leaseHorizonMs, latestEndMs);
    return deadlineMs;
};

/**
 * Extends `leaseHorizonMs` to cover the longest lease that the worker may have granted until now.
 *
 * @example
 * extendToLongestLease(worker, clock.monotonicMs(), 10_000);
 */
export const extendToLongestLease = (worker: ShardWorker, nowMs: number, leaseLimitMs: number): void => {
    worker.leaseHorizonMs = Math.max(worker.leaseHorizonMs, nowMs + leaseLimitMs / slowestClockRate);
};

/** Whether the next incarnation may carry out the run's order: it has had no final answer yet. */
const mayReachNext = ({ mayArriveUntilMs, phase }: ShardRun): boolean =>
    mayArriveUntilMs !== undefined || phase === runPhases.planned || phase === runPhases.starting;

const heldByNext = ({ runs }: ShardWorker): Resources =>
    [...runs.values()].filter(mayReachNext).reduce((sum, run) => add(sum, run.held), noResources);

const capacityLessHeld = (worker: ShardWorker): Resources => {
    const { held, entry: { capacity }, lastFree } = worker;
    if (lastFree?.held === held && lastFree.capacity === capacity) {
        return lastFree.free;
    }
    const free = subtract(capacity, held);
    worker.lastFree = { capacity, held, free };
    return free;
};

/**
 * Returns the free capacity of a worker. Where runs are absent, it also leaves enough for the next incarnation to carry out
 * every order that has no answer yet.
 *
 * @example
 * freeCapacityOf(worker).cpuMillis;
 */
export const freeCapacityOf = (worker: ShardWorker): Resources =>
    worker.absentRuns === 0
        ? capacityLessHeld(worker)
        : subtract(worker.entry.capacity, largest(worker.held, heldByNext(worker)));

/**
 * Updates a worker from its newest list entry.
 *
 * @example
 * updateEntry(worker, { ...worker.entry, draining: true });
 */
export const updateEntry = (worker: ShardWorker, entry: WorkerEntry): void => {
    worker.entry = entry;
    worker.maxCapacity = largest(worker.maxCapacity, entry.capacity);
};

/** A resource of which the run takes nothing may be overcommitted. */
const fitsWith = (held: Resources, left: Resources): boolean =>
    (held.cpuMillis === 0 || left.cpuMillis >= 0) && (held.memoryMib === 0 || left.memoryMib >= 0)
    && (held.accelerators === 0 || left.accelerators >= 0);

/**
 * Tells whether a run that already holds capacity still fits. The worker may have shrunk since the run was planned, and one
 * that does not check its capacity would start it all the same; the cap of the organisation may have been lowered too.
 *
 * @example
 * if (!stillFits(worker, run)) { dropRun(worker, run); }
 */
export const stillFits = (worker: ShardWorker, run: ShardRun): boolean =>
    fitsWith(run.held, freeCapacityOf(worker)) && !isOverCap(jobOf(run).account, run.held);

const addHeld = (worker: ShardWorker, { absent, held }: ShardRun): void => {
    if (absent) {
        worker.absentRuns += 1;
        return;
    }
    worker.held = add(worker.held, held);
};

const subtractHeld = (worker: ShardWorker, { absent, held }: ShardRun): void => {
    if (absent) {
        worker.absentRuns -= 1;
        return;
    }
    worker.held = subtract(worker.held, held);
};

/**
 * Sets whether the worker's present incarnation rejects a run. Other tasks may use the capacity of an absent run.
 *
 * @example
 * setAbsent(worker, run, true);
 */
export const setAbsent = (worker: ShardWorker, run: ShardRun, absent: boolean): void => {
    if (run.absent === absent) {
        return;
    }
    subtractHeld(worker, run);
    run.absent = absent;
    addHeld(worker, run);
};

/** Reserves capacity on a worker and charges the organisation's account. Both change together, only here and in `releaseRun`. */
const addRun = (worker: ShardWorker, run: ShardRun): void => {
    addHeld(worker, run);
    worker.runs.set(runKey(run.task.name, run.run), run);
    charge(jobOf(run).account, run.held);
};

/**
 * Reserves capacity for a run; returns false where it does not fit.
 *
 * @example
 * if (!holdCapacity(worker, run)) { return; }
 */
export const holdCapacity = (worker: ShardWorker, run: ShardRun): boolean => {
    if (!fits(run.held, freeCapacityOf(worker))) {
        return false;
    }
    addRun(worker, run);
    return true;
};

/**
 * Adds a run that the worker was found to have, whether it fits or not.
 *
 * @example
 * adoptRun(worker, run);
 */
export const adoptRun = addRun;

/**
 * Frees the capacity of a run that stays with its task, since the run may move to the worker's next incarnation.
 *
 * @example
 * releaseRun(worker, run);
 */
export const releaseRun = (worker: ShardWorker, run: ShardRun): void => {
    if (worker.runs.delete(runKey(run.task.name, run.run))) {
        subtractHeld(worker, run);
        release(jobOf(run).account, run.held);
    }
};

/**
 * Frees the capacity of a run that is gone, and removes the run from its task.
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
 * Tells whether a worker is about to go down as planned, by draining or for upkeep; that is not counted as a crash.
 *
 * @example
 * isLeaving(worker); // false for a worker that goes on serving
 */
export const isLeaving = ({ entry, cordoned }: ShardWorker): boolean => entry.draining || cordoned;

/** Entries may expire while the store is unavailable; live workers are listed again within 2 s of its return. */
const unlistedGraceMs = 2_500;
/** Consecutive unanswered looks from which on a worker gets no new work. */
const silentLooksToAvoid = 1;

/**
 * Tells whether a worker is listed, or was until just now, so that its last entry may still be used.
 *
 * @example
 * isListed(worker, clock.monotonicMs());
 */
export const isListed = ({ unlistedAtMs }: ShardWorker, nowMs: number): boolean =>
    unlistedAtMs === undefined || nowMs - unlistedAtMs < unlistedGraceMs;

/**
 * Tells whether a worker may get new work now. A worker whose rest ends within `restLeadMs` counts as open.
 *
 * @example
 * isOpen(worker, clock.monotonicMs());
 */
export const isOpen = (worker: ShardWorker, nowMs: number, restLeadMs = 0): boolean =>
    isListed(worker, nowMs) && worker.runsKnown
    && !worker.entry.draining && !worker.cordoned && worker.clock !== undefined
    && worker.silentLooks < silentLooksToAvoid && worker.avoidUntilMs <= nowMs
    && worker.restsUntilMs <= nowMs + restLeadMs && allowsStart(worker);
