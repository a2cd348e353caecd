/**
 * Which workers a task keeps off since they failed it. Another worker may run it well; but what a task waits for here may
 * never come, so that each wait has an end that rests on nothing but time and what is known.
 */

import { add, type Resources } from "../../types/resources.js";
import { countRuns, isOfKind, mightSuit, placesIn, placesNeeded, suits } from "./eligible.js";
import { estimatedEndMs, hasOneAttempt, isWaiting, type ShardStep, type ShardTask } from "./jobBook.js";
import { isOpen, roomOf, type ShardWorker } from "./workerTable.js";

/** A worker that failed a task this lately is chosen for it only where no other one has room. */
const prefersOthersMs = 15_000;
/**
 * A task waits this long for others rather than go back to a worker that failed it: they may stay full, shrunk or silent, or
 * hold only some members of its gang. Users count work that does not run for 3 s though there is room as lost; what is left
 * of these pays for a pass and the start.
 */
const keepsOffMs = 2_000;
/**
 * The last attempt waits for as long as disruptions of workers last, 4 to 7 s, where other workers are known to have room by
 * then and half of all room is in use, so that such a wait is usual. What several workers failed is likely to be the cause itself.
 */
const lastKeepsOffMs = 7_000;
const busyShare = 0.5;

/** What decides whether a task keeps off workers on which it failed. */
export interface AvoidanceLimits {
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly nowMs: number;
    readonly rack?: string | undefined;
    /** Workers that are out of the question for other reasons. */
    readonly except?: ReadonlySet<string> | undefined;
}

/**
 * Tells whether a task failed on a worker so recently that it runs elsewhere where there is room.
 *
 * @example
 * failedLately(task, "i-7f3a91c2", clock.monotonicMs());
 */
export const failedLately = ({ failedOn }: ShardTask, workerId: string, nowMs: number): boolean =>
    nowMs - (failedOn.get(workerId) ?? -Infinity) < prefersOthersMs;

const isAllowed = ({ workerId }: ShardWorker, { occurrence, advice }: ShardStep): boolean =>
    occurrence.job.queue.advice === undefined || advice.good.has(workerId) || !advice.asked.has(workerId);

/**
 * Whether the step may run there, now or once the worker answers again, or nobody has asked yet whether it may. A worker
 * that stays silent for longer than its leases last is not waited for.
 */
const mightRun = (worker: ShardWorker, step: ShardStep, { nowMs, rack }: AvoidanceLimits): boolean =>
    mightSuit(worker, step) && !worker.entry.draining && !worker.cordoned
    && (isOpen(worker, nowMs) || worker.unlistedAtMs === undefined && nowMs <= worker.horizonMs)
    && (rack === undefined || worker.entry.rack === rack) && isAllowed(worker, step);

const shareInUse = (step: ShardStep, { workers }: AvoidanceLimits): number => {
    let inUse = 0;
    let capacity = 0;
    for (const worker of workers.values()) {
        if (isOfKind(worker, step)) {
            inUse += worker.held.cpuMillis;
            capacity += worker.entry.capacity.cpuMillis;
        }
    }
    return inUse / Math.max(1, capacity);
};

const roomBy = (worker: ShardWorker, byMs: number, nowMs: number): Resources =>
    [...worker.runs.values()].filter(run => estimatedEndMs(run, nowMs) <= byMs)
        .reduce((room, run) => add(room, run.held), roomOf(worker));

/** Whether others have room by then for all that has to start at once, as far as the estimates of their runs tell. */
const hasRoomBy = (step: ShardStep, others: readonly ShardWorker[], byMs: number, nowMs: number): boolean => {
    const runs = countRuns(step);
    let needed = placesNeeded(step);
    for (const worker of others) {
        if (isOpen(worker, nowMs) && suits(worker, step)) {
            needed -= placesIn(roomBy(worker, byMs, nowMs), step, runs.get(worker.workerId) ?? 0);
        }
    }
    return needed <= 0;
};

/** Workers that failed the task this lately, with the time, without those that have ended well what they began since. */
const failedWithin = (
    { failedOn }: ShardTask,
    withinMs: number,
    { workers, nowMs }: AvoidanceLimits,
): ReadonlyMap<string, number> =>
    new Map(
        [...failedOn].filter(([workerId, failedAtMs]) => {
            const worker = workers.get(workerId);
            return worker !== undefined && nowMs - failedAtMs < withinMs && worker.soundSinceMs <= failedAtMs;
        }),
    );

/** Workers that might run the task and that it does not keep off. */
const othersFor = (
    { step }: ShardTask,
    failed: ReadonlyMap<string, number>,
    limits: AvoidanceLimits,
): readonly ShardWorker[] =>
    [...limits.workers.values()].filter(worker =>
        !failed.has(worker.workerId) && limits.except?.has(worker.workerId) !== true
        && mightRun(worker, step, limits)
    );

const none: ReadonlyMap<string, number> = new Map();

/**
 * Gives the workers that a task keeps off now, each with the local time until which it does at the most; empty where no
 * other worker might run it.
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
    if (hasOneAttempt(task)) {
        const failed = failedWithin(task, lastKeepsOffMs, limits);
        const untilMs = Math.max(...failed.values()) + lastKeepsOffMs;
        const others = othersFor(task, failed, limits);
        if (
            failed.size === 1 && others.length > 0 && shareInUse(step, limits) >= busyShare
            && hasRoomBy(step, others, untilMs, nowMs)
        ) {
            return new Map([...failed].map(([workerId, atMs]) => [workerId, atMs + lastKeepsOffMs]));
        }
    }
    const failed = failedWithin(task, keepsOffMs, limits);
    if (failed.size === 0 || othersFor(task, failed, limits).length === 0) {
        return none;
    }
    return new Map([...failed].map(([workerId, atMs]) => [workerId, atMs + keepsOffMs]));
};

/**
 * Gives the workers to which no waiting task of a step would go, since each of them failed there and may still run
 * elsewhere. Such a worker is neither asked about nor kept for the step: others would find no room there.
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
 * Names the workers for the sake of which a task keeps off those that failed it.
 *
 * @example
 * const [awaited] = awaitedBy(task, { workers, nowMs: clock.monotonicMs() });
 */
export const awaitedBy = (task: ShardTask, limits: AvoidanceLimits): readonly ShardWorker[] =>
    othersFor(task, avoidedBy(task, limits), limits);
