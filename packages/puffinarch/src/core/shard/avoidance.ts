/**
 * Workers that a task avoids because it failed on them. Another worker may run it well, but may also never become available,
 * so that each wait for one ends after a fixed time.
 */

import { add, type Resources } from "../../types/resources.js";
import {
    countRuns,
    countTasksThatFit,
    hasServiceAndLabel,
    isApproved,
    isEligible,
    mightBecomeEligible,
    minTasksToStart,
} from "./eligible.js";
import { estimatedEndMs, isOnLastAttempt, isWaiting, type ShardStep, type ShardTask } from "./jobModel.js";
import { freeCapacityOf, isOpen, type ShardWorker } from "./workerTable.js";

/** A worker that failed a task within this time is chosen for it only where no other one has capacity. */
const preferOthersMs = 15_000;
/**
 * How long a task avoids a worker that failed it and waits for others, which may stay full, shrunk or unresponsive, or have
 * capacity for only part of its gang. Work that does not run for 3 s although capacity is free counts as lost; the
 * remaining second covers a pass and the start.
 */
const avoidMs = 2_000;
/**
 * How long the last attempt of a task avoids the worker that failed it: disruptions of workers last 4 to 7 s. This applies only
 * where other workers are expected to have capacity by then and at least `minShareInUse` of all capacity is in use, so that such a
 * wait is usual. It does not apply after failures on several workers, since the task itself is then the likely cause.
 */
const lastAttemptAvoidMs = 7_000;
const minShareInUse = 0.5;

/** Workers and time on which the avoidance depends, and workers to leave out. */
export interface AvoidanceLimits {
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly nowMs: number;
    /** Rack that the tasks must stay on; undefined for any. */
    readonly rack?: string | undefined;
    /** Workers that are excluded for other reasons. */
    readonly except?: ReadonlySet<string> | undefined;
}

/**
 * Tells whether a task failed on a worker so recently that other workers with capacity are preferred.
 *
 * @example
 * failedRecently(task, "i-7f3a91c2", clock.monotonicMs());
 */
export const failedRecently = ({ failedOn }: ShardTask, workerId: string, nowMs: number): boolean =>
    nowMs - (failedOn.get(workerId) ?? -Infinity) < preferOthersMs;

const mightBeApproved = (worker: ShardWorker, step: ShardStep): boolean =>
    isApproved(worker, step) || !step.advice.askedWorkerIds.has(worker.workerId);

/**
 * Whether the step might run on a worker now, or once the worker answers again. Workers about which the advisor was not asked
 * yet count; an unresponsive worker counts until its leases have expired.
 */
const mightRun = (worker: ShardWorker, step: ShardStep, { nowMs, rack }: AvoidanceLimits): boolean =>
    mightBecomeEligible(worker, step) && !worker.entry.draining && !worker.cordoned
    && (isOpen(worker, nowMs) || worker.unlistedAtMs === undefined && nowMs <= worker.leaseHorizonMs)
    && (rack === undefined || worker.entry.rack === rack) && mightBeApproved(worker, step);

const shareInUse = (step: ShardStep, { workers }: AvoidanceLimits): number => {
    let inUse = 0;
    let capacity = 0;
    for (const worker of workers.values()) {
        if (hasServiceAndLabel(worker, step)) {
            inUse += worker.held.cpuMillis;
            capacity += worker.entry.capacity.cpuMillis;
        }
    }
    return inUse / Math.max(1, capacity);
};

const capacityBy = (worker: ShardWorker, byMs: number, nowMs: number): Resources =>
    [...worker.runs.values()].filter(run => estimatedEndMs(run, nowMs) <= byMs)
        .reduce((free, run) => add(free, run.held), freeCapacityOf(worker));

/** Whether other workers are expected to have capacity by `byMs` for all tasks that must start together. */
const hasCapacityBy = (step: ShardStep, others: readonly ShardWorker[], byMs: number, nowMs: number): boolean => {
    const runs = countRuns(step);
    let needed = minTasksToStart(step);
    for (const worker of others) {
        if (isOpen(worker, nowMs) && isEligible(worker, step)) {
            needed -= countTasksThatFit(capacityBy(worker, byMs, nowMs), step, runs.get(worker.workerId) ?? 0);
        }
    }
    return needed <= 0;
};

/**
 * Workers that failed the task within the last `withinMs`, with the local time of the failure. A worker that completed a run
 * whose start was sent after that failure is left out.
 */
const failedWithin = (
    { failedOn }: ShardTask,
    withinMs: number,
    { workers, nowMs }: AvoidanceLimits,
): ReadonlyMap<string, number> =>
    new Map(
        [...failedOn].filter(([workerId, failedAtMs]) => {
            const worker = workers.get(workerId);
            return worker !== undefined && nowMs - failedAtMs < withinMs && worker.lastCompletedSentAtMs <= failedAtMs;
        }),
    );

/** Whether the worker might run the task, and is not one that failed it or is excluded. */
const isOther = (
    worker: ShardWorker,
    { step }: ShardTask,
    failed: ReadonlyMap<string, number>,
    limits: AvoidanceLimits,
): boolean =>
    !failed.has(worker.workerId) && limits.except?.has(worker.workerId) !== true && mightRun(worker, step, limits);

/** Workers that might run the task, without those that failed it or are excluded. */
const othersFor = (
    task: ShardTask,
    failed: ReadonlyMap<string, number>,
    limits: AvoidanceLimits,
): readonly ShardWorker[] => [...limits.workers.values()].filter(worker => isOther(worker, task, failed, limits));

/** Whether `othersFor` would give any worker; a pass asks this for each task that has failed. */
const hasOthers = (task: ShardTask, failed: ReadonlyMap<string, number>, limits: AvoidanceLimits): boolean => {
    for (const worker of limits.workers.values()) {
        if (isOther(worker, task, failed, limits)) {
            return true;
        }
    }
    return false;
};

const none: ReadonlyMap<string, number> = new Map();

/**
 * Gives the workers that a task avoids now, each with the latest local time until which it does; empty where no other worker
 * might run it.
 *
 * @example
 * avoidedBy(task, { workers, nowMs: clock.monotonicMs() }).has("i-7f3a91c2");
 */
export const avoidedBy = (task: ShardTask, limits: AvoidanceLimits): ReadonlyMap<string, number> => {
    if (task.failedOn.size === 0) {
        return none;
    }
    const { step } = task;
    const { nowMs } = limits;
    if (isOnLastAttempt(task)) {
        const failed = failedWithin(task, lastAttemptAvoidMs, limits);
        const untilMs = Math.max(...failed.values()) + lastAttemptAvoidMs;
        if (
            failed.size === 1 && shareInUse(step, limits) >= minShareInUse
            && hasCapacityBy(step, othersFor(task, failed, limits), untilMs, nowMs)
        ) {
            return new Map([...failed].map(([workerId, atMs]) => [workerId, atMs + lastAttemptAvoidMs]));
        }
    }
    const failed = failedWithin(task, avoidMs, limits);
    if (failed.size === 0 || !hasOthers(task, failed, limits)) {
        return none;
    }
    return new Map([...failed].map(([workerId, atMs]) => [workerId, atMs + avoidMs]));
};

/**
 * Gives the workers that all waiting tasks of a step avoid. No ticket is requested and no capacity reserved there for the
 * step, since a reservation would only keep other steps out.
 *
 * @example
 * avoidedByAll(step, { workers, nowMs: clock.monotonicMs() }).has("i-7f3a91c2");
 */
export const avoidedByAll = (step: ShardStep, limits: AvoidanceLimits): ReadonlySet<string> => {
    let common: ReadonlySet<string> | undefined;
    for (const task of step.tasks) {
        if (!isWaiting(task)) {
            continue;
        }
        const avoided = avoidedBy(task, limits);
        common = new Set([...common ?? avoided.keys()].filter(workerId => avoided.has(workerId)));
        if (common.size === 0) {
            break;
        }
    }
    return common ?? new Set();
};

/**
 * Gives the workers that a task might run on instead of those that it avoids.
 *
 * @example
 * const [awaited] = awaitedBy(task, { workers, nowMs: clock.monotonicMs() });
 */
export const awaitedBy = (task: ShardTask, limits: AvoidanceLimits): readonly ShardWorker[] =>
    othersFor(task, avoidedBy(task, limits), limits);
