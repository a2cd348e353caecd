/**
 * Headroom for urgent work: capacity that steps of a lower priority leave free while urgent work keeps arriving and capacity is
 * short. Without it, wide batches take each piece of capacity between two arrivals, and the next urgent step waits for their ends.
 */

import type { Clock, Log, Meter } from "../../types/ports.js";
import { noResources, type Resources, scale } from "../../types/resources.js";
import { isBlockedLong } from "./blockedSteps.js";
import { countTasksThatFit, isEligible } from "./eligible.js";
import { reservedResources, type ShardStep } from "./jobModel.js";
import type { ShardPolicies } from "./shardSettings.js";
import type { Shortage } from "./shortage.js";
import { isPlacedLast, type RankedStep, slackMsOf } from "./urgency.js";
import { freeCapacityOf, isOpen, type ShardWorker } from "./workerTable.js";

/** What headroom depends on, in cores. */
export interface HeadroomInputs {
    /** All capacity, and the part of it that runs hold. */
    readonly capacityCores: number;
    readonly usedCores: number;
    /** Cores that urgent work occupies on average if it goes on arriving at its recent rate, and those that it holds now. */
    readonly urgentCores: number;
    readonly urgentHeldCores: number;
    /** Whether a waiting step has found no capacity lately; otherwise urgent steps find some anyway. */
    readonly isShort: boolean;
}

/** Headroom takes at most this share of all capacity. */
const maxHeadroomShare = 0.2;
/** Accepted work may not wait for long while less than this share of all capacity is in use. */
const minUsedShare = 0.5;
/** Arrivals count for this long, so that a burst that does not come again costs nothing after it. */
const windowMs = 3_000;
const bucketMs = 500;
/** Headroom is logged at most this often. */
const logIntervalMs = 1_000;
const millisPerCore = 1_000;

/**
 * Gives how many cores are to stay free for urgent work.
 *
 * @example
 * planHeadroom({ capacityCores: 100, usedCores: 90, urgentCores: 15, urgentHeldCores: 5, isShort: true }); // 10
 */
export const planHeadroom = (inputs: HeadroomInputs): number => {
    const { capacityCores, usedCores, urgentCores, urgentHeldCores, isShort } = inputs;
    if (!isShort || usedCores <= minUsedShare * capacityCores) {
        return 0;
    }
    return Math.min(maxHeadroomShare * capacityCores, Math.max(0, urgentCores - urgentHeldCores));
};

/** Arrivals of the most urgent queues. */
export interface UrgentArrivals {
    /** Records a step that has become ready. */
    record(step: ShardStep, nowMs: number): void;
    /** Smallest priority number of all steps so far; `Infinity` before the first. */
    priority(): number;
    /** Cores that the most urgent steps of the last 3 s occupy on average if more arrive at that rate. */
    cores(nowMs: number): number;
    /** The newest of these steps; undefined before the first. */
    newest(): ShardStep | undefined;
}

/** Work that arrived within `bucketMs`. */
interface Bucket {
    readonly number: number;
    coreMs: number;
}

/** Arrivals of one queue. */
interface QueueArrivals {
    readonly priority: number;
    readonly buckets: Bucket[];
}

const coreMsOf = ({ spec }: ShardStep): number => spec.count * spec.estimateMs * spec.size.cpuMillis / millisPerCore;

/**
 * Creates the record of arrivals, without any.
 *
 * @example
 * const arrivals = createUrgentArrivals();
 * arrivals.record(step, clock.monotonicMs());
 * arrivals.cores(clock.monotonicMs());
 */
export const createUrgentArrivals = (): UrgentArrivals => {
    const queues = new Map<string, QueueArrivals>();
    let smallest = Infinity;
    let newest: ShardStep | undefined;

    /** Number of the oldest bucket that counts. */
    const firstBucket = (nowMs: number): number => Math.floor(nowMs / bucketMs) - windowMs / bucketMs + 1;

    const bucketOf = ({ buckets }: QueueArrivals, nowMs: number): Bucket => {
        while (buckets.length > 0 && (buckets[0]?.number ?? 0) < firstBucket(nowMs)) {
            buckets.shift();
        }
        const number = Math.floor(nowMs / bucketMs);
        const last = buckets[buckets.length - 1];
        if (last?.number === number) {
            return last;
        }
        const bucket = { number, coreMs: 0 };
        buckets.push(bucket);
        return bucket;
    };

    return {
        record: (step, nowMs) => {
            const { key, priority } = step.occurrence.job.queue;
            if (priority > smallest) {
                return;
            }
            smallest = priority;
            newest = step;
            let queue = queues.get(key);
            if (queue?.priority !== priority) {
                queue = { priority, buckets: [] };
                queues.set(key, queue);
            }
            bucketOf(queue, nowMs).coreMs += coreMsOf(step);
        },
        priority: () => smallest,
        cores: nowMs => {
            const first = firstBucket(nowMs);
            let coreMs = 0;
            for (const { priority, buckets } of queues.values()) {
                for (const bucket of priority === smallest ? buckets : []) {
                    coreMs += bucket.number >= first ? bucket.coreMs : 0;
                }
            }
            return coreMs / (nowMs - first * bucketMs);
        },
        newest: () => newest,
    };
};

/** Policies, dependencies and state of the headroom. */
export interface HeadroomOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly policies: Pick<ShardPolicies, "order" | "headroom">;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly shortage: Pick<Shortage, "isShort">;
}

/** Headroom of one pass, which visits waiting steps from the most to the least urgent. */
export interface PassHeadroom {
    /** Decides whether the step that the pass visits now must leave the headroom free. */
    visit(ranked: RankedStep): void;
    /** Whether there is headroom that the step must leave free. */
    isKeptBack(step: ShardStep): boolean;
    /** Capacity of the worker that a step must leave free, judged by its waiting time at `atMs`; undefined where there is none. */
    keptFrom(worker: ShardWorker, step: ShardStep, atMs: number): Resources | undefined;
}

/** Keeps headroom. */
export interface Headroom {
    /** Records a step that has become ready; one of a job that a former owner accepted does not count as an arrival. */
    recordArrival(step: ShardStep): void;
    /** Begins a pass; undefined where the policy is `none`. */
    beginPass(nowMs: number, wallMs: number): PassHeadroom | undefined;
}

/**
 * Creates the headroom of a placer.
 *
 * @example
 * const headroom = createHeadroom({ clock, log, meter, policies, workers, shortage });
 * const view = createCapacityView(nowMs, { headroom: headroom.beginPass(nowMs, wallMs) });
 */
export const createHeadroom = (options: HeadroomOptions): Headroom => {
    const { clock, log, meter, policies, workers, shortage } = options;
    const arrivals = createUrgentArrivals();
    const createdAtMs = clock.nowMs();
    const counted = new WeakSet<ShardStep>();
    let loggedAtMs = -Infinity;

    const isUrgent = (step: ShardStep): boolean => step.occurrence.job.queue.priority <= arrivals.priority();

    const inputsNow = (nowMs: number): HeadroomInputs => {
        let capacity = 0;
        let used = 0;
        let urgentHeld = 0;
        for (const worker of workers.values()) {
            capacity += worker.entry.capacity.cpuMillis;
            used += worker.held.cpuMillis;
            for (const { task, held } of worker.runs.values()) {
                urgentHeld += isUrgent(task.step) ? held.cpuMillis : 0;
            }
        }
        return {
            capacityCores: capacity / millisPerCore,
            usedCores: used / millisPerCore,
            urgentCores: arrivals.cores(nowMs),
            urgentHeldCores: urgentHeld / millisPerCore,
            isShort: true,
        };
    };

    /** Workers that may run a step, with their free capacity, the one with the most free cores first. */
    const byFreeCores = (
        step: ShardStep,
        nowMs: number,
    ): readonly { readonly worker: ShardWorker; readonly free: Resources; }[] =>
        [...workers.values()].filter(worker => isOpen(worker, nowMs) && isEligible(worker, step))
            .map(worker => ({ worker, free: freeCapacityOf(worker) }))
            .sort((left, right) => right.free.cpuMillis - left.free.cpuMillis);

    /** Cores that stay free, and on which workers: those with the most free cores. */
    const keepFree = (
        nowMs: number,
    ): { readonly cores: number; readonly kept: ReadonlyMap<ShardWorker, Resources>; } => {
        const kept = new Map<ShardWorker, Resources>();
        const newest = arrivals.newest();
        const need = newest === undefined ? noResources : reservedResources(newest.spec);
        if (newest === undefined || need.cpuMillis === 0 || !shortage.isShort(nowMs) || arrivals.cores(nowMs) === 0) {
            return { cores: 0, kept };
        }
        const inputs = inputsNow(nowMs);
        const cores = planHeadroom(inputs);
        let tasks = Math.ceil(cores * millisPerCore / need.cpuMillis);
        for (const { worker, free } of tasks > 0 ? byFreeCores(newest, nowMs) : []) {
            if (tasks <= 0) {
                break;
            }
            // A worker with too little free capacity gathers enough for a task as its runs end, since smaller ones leave it free.
            const places = Math.max(1, Math.min(tasks, countTasksThatFit(free, newest, 0)));
            tasks -= places;
            kept.set(worker, scale(need, places));
        }
        if (cores > 0 && nowMs - loggedAtMs >= logIntervalMs) {
            loggedAtMs = nowMs;
            log.write("info", "headroom", { ...inputs, cores });
        }
        return { cores, kept };
    };

    /** Late steps have nothing to wait for; those without an objective count every delay as a loss. */
    const mustLeaveFree = (ranked: RankedStep, wallMs: number): boolean =>
        isPlacedLast(ranked, policies.order) || !isUrgent(ranked.step) && slackMsOf(ranked, wallMs) > windowMs;

    /**
     * A step of which nothing runs may take headroom after 2 s beside free capacity, one task at a time, since it would count as
     * lost after 3 s.
     */
    const mayOverride = (step: ShardStep, atMs: number): boolean =>
        isBlockedLong(step, atMs) && (step.spec.gang || step.tasks.every(task => task.runs.length === 0));

    return {
        recordArrival: step => {
            if (
                policies.headroom === "none" || counted.has(step) || step.occurrence.job.acceptedAtMs < createdAtMs
            ) {
                return;
            }
            counted.add(step);
            arrivals.record(step, clock.monotonicMs());
        },
        beginPass: (nowMs, wallMs) => {
            if (policies.headroom === "none") {
                return undefined;
            }
            const keptBack = new WeakSet<ShardStep>();
            let kept: ReadonlyMap<ShardWorker, Resources> | undefined;
            return {
                visit: ranked => {
                    if (!mustLeaveFree(ranked, wallMs)) {
                        return;
                    }
                    keptBack.add(ranked.step);
                    if (kept === undefined) {
                        // Planned only here, after the urgent steps of this pass have been placed.
                        const plan = keepFree(nowMs);
                        ({ kept } = plan);
                        meter.record("headroomCores", plan.cores);
                    }
                },
                isKeptBack: step => keptBack.has(step) && kept !== undefined && kept.size > 0,
                keptFrom: (worker, step, atMs) =>
                    keptBack.has(step) && !mayOverride(step, atMs) ? kept?.get(worker) : undefined,
            };
        },
    };
};
