/** Scheduling order of steps: when a job is due by the objective of its queue, and whether it can still meet it. */

import type { Clock } from "../../types/ports.js";
import { type Resources, timesThatFit } from "../../types/resources.js";
import { newAccount, tasksUnderCap } from "./accounts.js";
import { isEligible } from "./eligible.js";
import { reservedResources, type ShardOccurrence, type ShardStep } from "./jobModel.js";
import type { TimeLeft } from "./runTimes.js";
import type { ShardWorker } from "./workerTable.js";

/** Whether the job of a step can still end in time to be of value to its caller. */
export const standings = {
    /** The job may still end within its objective. */
    onTime: "onTime",
    /** The job ends after its objective; callers value that at a fifth. */
    late: "late",
    /** The job ends too late to be of any value; it runs all the same, since it was accepted. */
    overdue: "overdue",
} as const;
/** One of `standings`. */
export type Standing = (typeof standings)[keyof typeof standings];

/** A step with the values that decide its place in the scheduling order. */
export interface RankedStep {
    readonly step: ShardStep;
    readonly standing: Standing;
    /** Milliseconds since the Unix epoch; `Infinity` where its queue has no objective. */
    readonly dueAtMs: number;
}

/** Number of workers in the one call to the advisor that the platform's objective includes for each step. */
const advisedWorkersInObjective = 30;
/**
 * The platform's objective assumes that a step runs in waves. A wave has this share of the tasks that all eligible workers could
 * hold, and no more than the cap of the organisation allows.
 */
const waveShare = 0.25;
/** A job that ends within this many times its objective is late; after that it is of no value to its caller. */
const lateFactor = 3;
/**
 * Factor on the estimated remaining time of a job when its end is predicted. A smaller factor spends the capacity of an
 * overloaded shard on jobs that just miss their objective: with 60 workers at 1.04 times their capacity, 76 of 205 checks
 * are in time with 0.7, 117 with 1 and 149 with 1.2.
 */
const remainingTimeFactor = 1.1;

/** How many tasks of a size an empty worker holds. */
const tasksPerWorker = (held: Resources, capacity: Resources): number => {
    const tasks = timesThatFit(held, capacity);
    return Number.isFinite(tasks) ? tasks : 1;
};

/** Number of waves in which the objective assumes that the tasks of a step run; 1 where no listed worker is eligible. */
const wavesOf = (step: ShardStep, workers: ReadonlyMap<string, ShardWorker>): number => {
    const held = reservedResources(step.spec);
    let maxTasks = 0;
    for (const worker of workers.values()) {
        if (isEligible(worker, step)) {
            maxTasks += tasksPerWorker(held, worker.entry.capacity);
        }
    }
    const { organisation, cap } = step.occurrence.job.account;
    const maxConcurrent = Math.min(waveShare * maxTasks, tasksUnderCap(newAccount(organisation, cap), held));
    return maxTasks === 0 ? 1 : Math.max(1, Math.ceil(step.spec.count / Math.max(1, maxConcurrent)));
};

/** Computes the objective of an occurrence, and for each step the longest path of work from its start to the end. */
const setTiming = (occurrence: ShardOccurrence, workers: ReadonlyMap<string, ShardWorker>): void => {
    const { steps, job } = occurrence;
    const { advice, stretch, targetRuntimeMs } = job.queue;
    const adviceMs = advice === undefined ? 0 : advice.decideMs + advisedWorkersInObjective * advice.eachMs;
    const lengthsMs = steps.map(step => adviceMs + wavesOf(step, workers) * step.spec.estimateMs);
    /** For each step, the longest path of work from the start of the occurrence to the end of the step. */
    const pathToEndMs: number[] = [];
    for (const [index, step] of steps.entries()) {
        pathToEndMs.push(
            (lengthsMs[index] ?? 0) + Math.max(0, ...step.spec.after.map(predecessor => pathToEndMs[predecessor] ?? 0)),
        );
    }
    const remainingByStepMs = [...lengthsMs];
    for (const [index, step] of [...steps.entries()].reverse()) {
        for (const predecessor of step.spec.after) {
            const pathMs = (lengthsMs[predecessor] ?? 0) + (remainingByStepMs[index] ?? 0);
            remainingByStepMs[predecessor] = Math.max(remainingByStepMs[predecessor] ?? 0, pathMs);
        }
    }
    const objectiveMs = stretch === 0 ? Infinity : stretch * Math.max(0, ...pathToEndMs) + targetRuntimeMs;
    occurrence.timing = { objectiveMs, remainingByStepMs };
};

/** Time from which the objective counts, in milliseconds since the Unix epoch: acceptance, or the scheduled start. */
const startOf = ({ job, number }: ShardOccurrence): number => {
    const { startAtMs, intervalMs, repeatCount } = job.submission.schedule;
    return repeatCount === 0 ? job.acceptedAtMs : startAtMs + number * intervalMs;
};

/**
 * Gives when the job of a step is due and whether it can still end in time.
 *
 * @example
 * rankStep(step, workers, clock.nowMs()).standing; // "onTime"
 */
export const rankStep = (
    step: ShardStep,
    workers: ReadonlyMap<string, ShardWorker>,
    wallMs: number,
    biasOf: (queueKey: string) => number = () => 1,
): RankedStep => {
    const { occurrence, spec, number } = step;
    if (occurrence.timing === undefined && workers.size > 0) {
        setTiming(occurrence, workers);
    }
    const { timing } = occurrence;
    if (timing === undefined || spec.longRunning || !Number.isFinite(timing.objectiveMs)) {
        return { step, standing: standings.onTime, dueAtMs: Infinity };
    }
    const startMs = startOf(occurrence);
    const dueAtMs = startMs + timing.objectiveMs;
    const factor = Math.max(1, remainingTimeFactor * biasOf(occurrence.job.queue.key));
    const endsAtMs = wallMs + factor * (timing.remainingByStepMs[number] ?? 0);
    if (endsAtMs <= dueAtMs) {
        return { step, standing: standings.onTime, dueAtMs };
    }
    const standing = endsAtMs <= startMs + lateFactor * timing.objectiveMs ? standings.late : standings.overdue;
    return { step, standing, dueAtMs };
};

/**
 * Returns how long a step may take from now on: until its job is due, and until it is worthless, each less the expected time of
 * the steps after it.
 *
 * @example
 * timeLeftOf(rankStep(step, workers, clock.nowMs()), clock.nowMs()).leftMs;
 */
export const timeLeftOf = ({ step, standing, dueAtMs }: RankedStep, wallMs: number): TimeLeft => {
    const { timing, steps } = step.occurrence;
    if (timing === undefined || standing === standings.overdue) {
        return { leftMs: Infinity, limitMs: Infinity };
    }
    let laterMs = 0;
    for (const { spec, number } of steps) {
        if (spec.after.includes(step.number)) {
            laterMs = Math.max(laterMs, timing.remainingByStepMs[number] ?? 0);
        }
    }
    const leftMs = dueAtMs - wallMs - laterMs;
    return { leftMs, limitMs: leftMs + (lateFactor - 1) * timing.objectiveMs };
};

const standingRanks: Readonly<Record<Standing, number>> = { onTime: 0, late: 1, overdue: 2 };

const byPriority = ({ step: left }: RankedStep, { step: right }: RankedStep): number =>
    left.occurrence.job.queue.priority - right.occurrence.job.queue.priority;

const byAcceptance = ({ step: left }: RankedStep, { step: right }: RankedStep): number =>
    left.occurrence.job.order - right.occurrence.job.order || left.number - right.number;

const byDue = (left: RankedStep, right: RankedStep): number =>
    left.dueAtMs === right.dueAtMs ? 0 : left.dueAtMs - right.dueAtMs;

const byShare = ({ step: left }: RankedStep, { step: right }: RankedStep): number =>
    Number(left.occurrence.job.beyondShare) - Number(right.occurrence.job.beyondShare);

const byStanding = (left: RankedStep, right: RankedStep): number =>
    standingRanks[left.standing] - standingRanks[right.standing];

const byOverdue = (left: RankedStep, right: RankedStep): number =>
    Number(left.standing === standings.overdue) - Number(right.standing === standings.overdue);

const byDueOrder = (left: RankedStep, right: RankedStep): number =>
    byPriority(left, right) || byStanding(left, right) || byDue(left, right) || byAcceptance(left, right);

/** Scheduling orders of waiting steps, as compare functions. */
export const schedulingOrders = {
    /** By priority, then first come, first served. */
    acceptance: (left: RankedStep, right: RankedStep): number => byPriority(left, right) || byAcceptance(left, right),
    /**
     * By priority, then those that can still be in time before those that cannot, then earliest due first. Under overload,
     * first come, first served would let a backlog make every later job late as well.
     */
    due: byDueOrder,
    /** As `due`, but jobs that can no longer be of value to their callers come after all others, whatever their priority. */
    value: (left: RankedStep, right: RankedStep): number => byOverdue(left, right) || byDueOrder(left, right),
    /** As `due`, but jobs that an organisation submitted beyond its share come after all others, whatever their priority. */
    shares: (left: RankedStep, right: RankedStep): number => byShare(left, right) || byDueOrder(left, right),
    /** As `due`, but jobs beyond the share of their organisation come after the others of the same priority. */
    sharesWithinPriority: (left: RankedStep, right: RankedStep): number =>
        byPriority(left, right) || byShare(left, right) || byDueOrder(left, right),
} as const;
/** Name of a scheduling order. */
export type SchedulingOrder = keyof typeof schedulingOrders;

/** The criteria of each order that come before the time at which a job is due or was accepted. */
const schedulingRanks: Readonly<Record<SchedulingOrder, (left: RankedStep, right: RankedStep) => number>> = {
    acceptance: byPriority,
    due: (left, right) => byPriority(left, right) || byStanding(left, right),
    value: (left, right) => byPriority(left, right) || byStanding(left, right),
    shares: (left, right) => byShare(left, right) || byPriority(left, right) || byStanding(left, right),
    sharesWithinPriority: (left, right) => byPriority(left, right) || byShare(left, right) || byStanding(left, right),
};

/**
 * Tells whether an order places two steps only by the time at which their jobs are due or were accepted: they have the same
 * priority and, in all orders but `acceptance`, the same standing.
 *
 * @example
 * isSameRank(left, right, "due"); // true for two steps of priority 0 that are in time
 */
export const isSameRank = (left: RankedStep, right: RankedStep, order: SchedulingOrder): boolean =>
    schedulingRanks[order](left, right) === 0;

/**
 * Tells whether an order places a step after all others because its job can no longer be of value. Such a step takes capacity
 * that is free, but nothing is reserved, stopped or requested early for it.
 *
 * @example
 * isPlacedLast({ step, standing: "overdue", dueAtMs: 0 }, "value"); // true
 */
export const isPlacedLast = ({ standing }: Pick<RankedStep, "standing">, order: SchedulingOrder): boolean =>
    order === "value" && standing === standings.overdue;

/**
 * Gives how long a step may still wait for its job to meet its objective; 0 or less where it cannot. Long-running steps and
 * steps without an objective have no due time, and any delay of their start is a loss.
 *
 * @example
 * slackMsOf(ranked, clock.nowMs()); // 0 for a step without an objective
 */
export const slackMsOf = ({ step, dueAtMs }: RankedStep, wallMs: number): number =>
    Number.isFinite(dueAtMs) ? dueAtMs - wallMs - (step.occurrence.timing?.remainingByStepMs[step.number] ?? 0) : 0;

/** Clock, workers and scheduling order by which steps are sorted. */
export interface SchedulingOrderOptions {
    readonly clock: Clock;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly order: SchedulingOrder;
    /** Factor by which the estimates of a queue are known to be off; 1 for all where it is left out. */
    readonly biasOf?: ((queueKey: string) => number) | undefined;
}

/**
 * Ranks waiting steps and sorts them by a scheduling order.
 *
 * @example
 * inSchedulingOrder(ready, { clock, workers, order: "due" });
 */
export const inSchedulingOrder = (
    steps: Iterable<ShardStep>,
    { clock, workers, order, biasOf }: SchedulingOrderOptions,
): readonly RankedStep[] => {
    const wallMs = clock.nowMs();
    const ranked: RankedStep[] = [];
    for (const step of steps) {
        ranked.push(rankStep(step, workers, wallMs, biasOf));
    }
    return ranked.sort(schedulingOrders[order]);
};
