/** Which worker takes a task: what must hold, and what is better. */

import { fits, type Resources } from "../../types/resources.js";

import { heldBy, type ShardStep, type ShardTask } from "./jobBook.js";
import { isOpen, roomOf, type ShardWorker } from "./workerTable.js";

/** A ticket that is about to end might be refused on arrival. */
const ticketMarginMs = 120;

/**
 * Counts a step's live runs on a worker.
 *
 * @example
 * runsOnWorker(step, "i-7f3a91c2"); // 0
 */
export const runsOnWorker = (step: ShardStep, workerId: string): number => {
    let count = 0;
    for (const task of step.tasks) {
        for (const run of task.runs) {
            count += run.workerId === workerId ? 1 : 0;
        }
    }
    return count;
};

/**
 * Gives the ticket that a start of the step must show: empty where none is needed, undefined where there is none.
 *
 * @example
 * ticketFor(step, "i-7f3a91c2", clock.monotonicMs());
 */
export const ticketFor = (step: ShardStep, workerId: string, nowMs: number): string | undefined => {
    if (step.occurrence.job.queue.advice === undefined) {
        return "";
    }
    const good = step.advice.good.get(workerId);
    return good !== undefined && good.validUntilMs - ticketMarginMs > nowMs ? good.ticket : undefined;
};

/**
 * Tells whether a worker could ever run the step: service, label and capacity.
 *
 * @example
 * suits(worker, step);
 */
export const suits = ({ entry }: ShardWorker, { spec, occurrence }: ShardStep): boolean =>
    entry.service === occurrence.job.queue.service
    && (spec.requiredLabel === "" || entry.labels.includes(spec.requiredLabel))
    && fits(heldBy(spec), entry.capacity);

/** Share of processors that would be free after the task; workers with much room first spreads the harm of a loss. */
const spareShare = (worker: ShardWorker, held: Resources): number =>
    (roomOf(worker).cpuMillis - held.cpuMillis) / Math.max(1, worker.entry.capacity.cpuMillis);

/**
 * The loss of a worker or a data centre harms every job with a task there, so a step's tasks go together and near the
 * caller: with six tasks spread over 33 workers, losing two of them harms 3 jobs in 10, else 1 in 16.
 */
const togetherBonus = 0.6;
const nearCallerBonus = 0.5;
/** Preferences outweigh the spread: a data rack saves half the run time, a worker that failed others may do so again. */
const dataRackBonus = 1;
const streakPenalty = 0.5;
/** Tasks that fill and tasks that serve disturb each other. */
const disturbancePenalty = 2;

const hasServing = (worker: ShardWorker): boolean =>
    [...worker.runs.values()].some(run => run.task.step.spec.latencyObjectiveMs > 0);
const hasFilling = (worker: ShardWorker): boolean => [...worker.runs.values()].some(run => run.task.step.spec.fills);

const score = (worker: ShardWorker, task: ShardTask, held: Resources): number => {
    const { spec } = task.step;
    let value = spareShare(worker, held);
    if (spec.dataRack !== "" && worker.entry.rack === spec.dataRack) {
        value += dataRackBonus;
    }
    const { dataCentre } = task.step.occurrence.job.submission;
    if (worker.entry.dataCentre === dataCentre) {
        value += nearCallerBonus;
    }
    if (!spec.longRunning && runsOnWorker(task.step, worker.workerId) > 0) {
        value += togetherBonus;
    }
    value -= streakPenalty * worker.failuresInARow;
    if (spec.fills && hasServing(worker)) {
        value -= disturbancePenalty;
    }
    if (spec.latencyObjectiveMs > 0 && hasFilling(worker)) {
        value -= disturbancePenalty;
    }
    return value;
};

/** What limits a choice. */
export interface ChoiceLimits {
    readonly nowMs: number;
    /** Racks that the task must stay on; undefined for any. */
    readonly rack?: string;
    /** Workers that may not be chosen. */
    readonly except?: ReadonlySet<string>;
}

/** Whether the step may run there now, whatever room is left, or nobody has asked yet whether it may. */
const mightRun = (worker: ShardWorker, step: ShardStep, { nowMs, rack, except }: ChoiceLimits): boolean =>
    isOpen(worker, nowMs) && suits(worker, step) && except?.has(worker.workerId) !== true
    && (rack === undefined || worker.entry.rack === rack)
    && (step.occurrence.job.queue.advice === undefined || step.advice.good.has(worker.workerId)
        || !step.advice.asked.has(worker.workerId));

const hasRoomFor = (worker: ShardWorker, step: ShardStep): boolean => {
    const { maxPerWorker } = step.spec;
    return fits(heldBy(step.spec), roomOf(worker))
        && (maxPerWorker === 0 || runsOnWorker(step, worker.workerId) < maxPerWorker);
};

/**
 * Chooses a worker with room for a task now; undefined where there is none. A worker on which the task failed is chosen
 * only where no other may run it, with room or without.
 *
 * @example
 * const worker = chooseWorker(task, workers.values(), { nowMs: clock.monotonicMs() });
 */
export const chooseWorker = (
    task: ShardTask,
    workers: Iterable<ShardWorker>,
    limits: ChoiceLimits,
): ShardWorker | undefined => {
    const { step } = task;
    const held = heldBy(step.spec);
    const allowed = [...workers].filter(worker => mightRun(worker, step, limits));
    const untried = allowed.filter(worker => !task.failedOn.has(worker.workerId));
    let best: ShardWorker | undefined;
    let bestScore = -Infinity;
    for (const worker of untried.length > 0 ? untried : allowed) {
        if (!hasRoomFor(worker, step) || ticketFor(step, worker.workerId, limits.nowMs) === undefined) {
            continue;
        }
        const value = score(worker, task, held);
        if (value > bestScore) {
            best = worker;
            bestScore = value;
        }
    }
    return best;
};
