/** How urgent a step is: when its job is due by its queue's objective, and whether that can still be met. */

import type { Clock } from "../../types/ports.js";
import type { Resources } from "../../types/resources.js";
import { newAccount, tasksUnderCap } from "./accounts.js";
import { suits } from "./eligible.js";
import { heldBy, type ShardOccurrence, type ShardStep } from "./jobBook.js";
import type { ShardWorker } from "./workerTable.js";

/** What a step's callers still get out of it. */
export const standings = {
    /** The job may still end within its objective. */
    onTime: "onTime",
    /** It ends after its objective, which callers value at a fifth. */
    late: "late",
    /** Nobody waits for it any more; it runs all the same, since it was accepted. */
    overdue: "overdue",
} as const;
/** One of `standings`. */
export type Standing = (typeof standings)[keyof typeof standings];

/** A step with what decides on its turn. */
export interface RankedStep {
    readonly step: ShardStep;
    readonly standing: Standing;
    /** Milliseconds since the Unix epoch; `Infinity` where its queue has no objective. */
    readonly dueAtMs: number;
}

/** The platform's objective counts a call to the advisor about this many workers for each step. */
const namesInObjective = 30;
/**
 * The platform's objective counts a step in waves, each of this share of the tasks that the service could hold, and of no more
 * than its organisation's cap allows.
 */
const waveShare = 0.25;
/** Up to this many times its objective a job is late; after that it is worth nothing to its caller. */
const lateFactor = 3;
/**
 * A job is taken to need this share of its estimate. Below 1, an overload is spent on jobs that miss their objective by a
 * little: at 1.04 times the room of 60 workers 76 of 205 checks were in time with 0.7, 117 with 1 and 149 with 1.2.
 */
const neededShare = 1.1;

/** How many tasks of a size an empty worker holds. */
const tasksOn = (held: Resources, capacity: Resources): number => {
    let least = Infinity;
    for (const name of ["cpuMillis", "memoryMib", "accelerators"] as const) {
        if (held[name] > 0) {
            least = Math.min(least, Math.floor(capacity[name] / held[name]));
        }
    }
    return Number.isFinite(least) ? least : 1;
};

const wavesOf = (step: ShardStep, workers: ReadonlyMap<string, ShardWorker>): number => {
    const held = heldBy(step.spec);
    let room = 0;
    for (const worker of workers.values()) {
        if (suits(worker, step)) {
            room += tasksOn(held, worker.entry.capacity);
        }
    }
    const { organisation, cap } = step.occurrence.job.account;
    const mostAtOnce = Math.min(waveShare * room, tasksUnderCap(newAccount(organisation, cap), held));
    return room === 0 ? 1 : Math.max(1, Math.ceil(step.spec.count / Math.max(1, mostAtOnce)));
};

/** Computes the objective of an occurrence, and how much work follows from the start of each of its steps on. */
const setCourse = (occurrence: ShardOccurrence, workers: ReadonlyMap<string, ShardWorker>): void => {
    const { steps, job } = occurrence;
    const { advice, stretch, targetRuntimeMs } = job.queue;
    const adviceMs = advice === undefined ? 0 : advice.decideMs + namesInObjective * advice.eachMs;
    const lengthsMs = steps.map(step => adviceMs + wavesOf(step, workers) * step.spec.estimateMs);
    const headsMs: number[] = [];
    for (const [index, step] of steps.entries()) {
        headsMs.push((lengthsMs[index] ?? 0) + Math.max(0, ...step.spec.after.map(before => headsMs[before] ?? 0)));
    }
    const tailsMs = [...lengthsMs];
    for (const [index, step] of [...steps.entries()].reverse()) {
        for (const before of step.spec.after) {
            const throughMs = (lengthsMs[before] ?? 0) + (tailsMs[index] ?? 0);
            tailsMs[before] = Math.max(tailsMs[before] ?? 0, throughMs);
        }
    }
    const objectiveMs = stretch === 0 ? Infinity : stretch * Math.max(0, ...headsMs) + targetRuntimeMs;
    occurrence.course = { objectiveMs, tailsMs };
};

const beginOf = ({ job, number }: ShardOccurrence): number => {
    const { startAtMs, intervalMs, repeatCount } = job.submission.schedule;
    return repeatCount === 0 ? job.acceptedAtMs : startAtMs + number * intervalMs;
};

/**
 * Tells when a step's job is due and whether it can still be in time.
 *
 * @example
 * rankStep(step, workers, clock.nowMs()).standing; // "onTime"
 */
export const rankStep = (
    step: ShardStep,
    workers: ReadonlyMap<string, ShardWorker>,
    wallMs: number,
): RankedStep => {
    const { occurrence, spec, number } = step;
    if (occurrence.course === undefined && workers.size > 0) {
        setCourse(occurrence, workers);
    }
    const { course } = occurrence;
    if (course === undefined || spec.longRunning || !Number.isFinite(course.objectiveMs)) {
        return { step, standing: standings.onTime, dueAtMs: Infinity };
    }
    const beginMs = beginOf(occurrence);
    const dueAtMs = beginMs + course.objectiveMs;
    const endsAtMs = wallMs + neededShare * (course.tailsMs[number] ?? 0);
    if (endsAtMs <= dueAtMs) {
        return { step, standing: standings.onTime, dueAtMs };
    }
    const standing = endsAtMs <= beginMs + lateFactor * course.objectiveMs ? standings.late : standings.overdue;
    return { step, standing, dueAtMs };
};

const turnOf: Readonly<Record<Standing, number>> = { onTime: 0, late: 1, overdue: 2 };

const byPriority = ({ step: left }: RankedStep, { step: right }: RankedStep): number =>
    left.occurrence.job.queue.priority - right.occurrence.job.queue.priority;

const byAcceptance = ({ step: left }: RankedStep, { step: right }: RankedStep): number =>
    left.occurrence.job.order - right.occurrence.job.order || left.number - right.number;

const byDue = (left: RankedStep, right: RankedStep): number =>
    left.dueAtMs === right.dueAtMs ? 0 : left.dueAtMs - right.dueAtMs;

const byShare = ({ step: left }: RankedStep, { step: right }: RankedStep): number =>
    Number(left.occurrence.job.beyondShare) - Number(right.occurrence.job.beyondShare);

const byDueTurn = (left: RankedStep, right: RankedStep): number =>
    byPriority(left, right) || turnOf[left.standing] - turnOf[right.standing] || byDue(left, right)
    || byAcceptance(left, right);

/** Orders in which waiting steps take their turn. */
export const turnOrders = {
    /** First come, first served, within a priority. */
    acceptance: (left: RankedStep, right: RankedStep): number => byPriority(left, right) || byAcceptance(left, right),
    /**
     * Within a priority, earliest due first among those that can still be in time, and those that cannot after them: under
     * overload, first come, first served lets a backlog make every later job late as well.
     */
    due: byDueTurn,
    /** The same, with jobs that an organisation submitted beyond its share behind all others, of whatever priority. */
    shares: (left: RankedStep, right: RankedStep): number => byShare(left, right) || byDueTurn(left, right),
    /** The same, with them behind the others of their priority. */
    sharesWithinPriority: (left: RankedStep, right: RankedStep): number =>
        byPriority(left, right) || byShare(left, right) || byDueTurn(left, right),
} as const;
/** Name of an order of turns. */
export type TurnOrder = keyof typeof turnOrders;

/** Ranks steps and puts them in the order of their turns. */
export interface TurnOptions {
    readonly clock: Clock;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly order: TurnOrder;
}

/**
 * Puts waiting steps in the order of their turns.
 *
 * @example
 * inTurn(ready, { clock, workers, order: "due" });
 */
export const inTurn = (steps: Iterable<ShardStep>, { clock, workers, order }: TurnOptions): readonly RankedStep[] => {
    const wallMs = clock.nowMs();
    const ranked: RankedStep[] = [];
    for (const step of steps) {
        ranked.push(rankStep(step, workers, wallMs));
    }
    return ranked.sort(turnOrders[order]);
};
