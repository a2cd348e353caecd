/** Chooses the worker for a task: filters workers by hard requirements, then scores the remaining ones. */

import { fits, type Resources } from "../../types/resources.js";
import type { Step } from "../../types/work.js";
import { avoidedBy, failedRecently } from "./avoidance.js";
import { mayUseRestingWorkers } from "./blockedSteps.js";
import type { CapacityView } from "./capacityView.js";
import { allowsAnotherRun, countRuns, isApproved, isEligible, ticketFor } from "./eligible.js";
import { reservedResources, type ShardStep, type ShardTask } from "./jobModel.js";
import { allowsTrial, crashExposureOf, isBlockedByTrial, isSuspect } from "./trials.js";
import { isOpen, type ShardWorker } from "./workerTable.js";

/** Capacity of a worker, the part of it that a step may use now (`room`), and what a task would reserve (`held`). */
interface Offer {
    readonly capacity: Resources;
    readonly room: Resources;
    readonly held: Resources;
}

/** Share of processors left free after the task. Preferring the emptiest worker means that the loss of one harms few tasks. */
const spareShare = ({ capacity, room, held }: Offer): number =>
    (room.cpuMillis - held.cpuMillis) / Math.max(1, capacity.cpuMillis);

/** Outweighs the bonuses for workers near the caller and for workers with other tasks of the step. */
const acceleratorWeight = 2;

/** Packing policies: each scores a worker by how full it would be; higher is better. */
export const packings = {
    /** Prefers the worker with the largest share of free processors. */
    spread: spareShare,
    /**
     * Places tasks with accelerators where the fewest accelerators remain, so that whole workers stay free for tasks that
     * need all of one, and keeps other tasks off workers with accelerators.
     */
    scarcest: (offer: Offer): number => {
        const { capacity, room, held } = offer;
        if (capacity.accelerators === 0) {
            return spareShare(offer);
        }
        const left = (room.accelerators - held.accelerators) / capacity.accelerators;
        return held.accelerators === 0 ? spareShare(offer) - acceleratorWeight : acceleratorWeight * (1 - left);
    },
} as const;
/** Name of a packing policy. */
export type Packing = keyof typeof packings;

/**
 * The loss of a worker or a data centre harms every job with a task there, so the tasks of a step are placed together and
 * near the caller: with six tasks per job spread over 33 workers, the loss of two workers harms 3 jobs in 10; with them
 * together, 1 in 16.
 */
const togetherBonus = 0.6;
const nearCallerBonus = 0.5;
/**
 * Usually outweigh differences in the share of free processors, which is 0 to 1: a rack near the data halves the run time, and
 * a worker with failures is likely to fail again.
 */
const dataRackBonus = 1;
const failureStreakPenalty = 0.5;
/** Larger than all other scores together: a resting worker is chosen only where no other can take the task. */
const restingPenalty = 1_000;
/** Long-running tasks that take reserved capacity are placed together, so that few workers lose reserved capacity permanently. */
const reservedCapacityPenalty = 0.6;
/** Outweighs every bonus: a worker that failed the task recently is chosen only where no other has capacity. */
const recentFailurePenalty = 100;
/** Best-effort tasks (`fills`) and tasks with a latency objective slow each other down. */
const interferencePenalty = 2;

/**
 * A task that crashes its worker takes the other runs there with it, so suspect tasks are placed where few other runs are,
 * and other tasks away from suspect ones.
 */
const crashExposurePenalty = 2;

const hasLatencySensitive = (worker: ShardWorker): boolean =>
    [...worker.runs.values()].some(run => run.task.step.spec.latencyObjectiveMs > 0);
const hasBestEffort = (worker: ShardWorker): boolean => [...worker.runs.values()].some(run => run.task.step.spec.fills);

/** The part of a worker's score that does not depend on the step's other runs there. */
const fixedScore = ({ entry, failuresInARow }: ShardWorker, { spec, occurrence }: ShardStep): number => {
    let value = -failureStreakPenalty * failuresInARow;
    if (spec.dataRack !== "" && entry.rack === spec.dataRack) {
        value += dataRackBonus;
    }
    if (entry.dataCentre === occurrence.job.submission.dataCentre) {
        value += nearCallerBonus;
    }
    return value;
};

const interferenceOf = (worker: ShardWorker, { fills, latencyObjectiveMs }: Step): number => {
    const interferes = fills && hasLatencySensitive(worker) || latencyObjectiveMs > 0 && hasBestEffort(worker);
    return interferes ? interferencePenalty : 0;
};

/** A worker that may run the step, with values computed once for all of the step's tasks, and a count of its runs there. */
interface Candidate {
    readonly worker: ShardWorker;
    readonly fixed: number;
    /** False while the worker is resting, that is, gets no new work for a while after failures. */
    readonly open: boolean;
    readonly hasTicket: boolean;
    /** Live runs of the step on the worker. */
    runs: number;
    /** Score by the worker's speed; undefined until the worker is first found to have capacity. */
    speedScore: number | undefined;
}

/** Time, capacity and policy of a choice. */
export interface ChoiceLimits {
    readonly nowMs: number;
    readonly view: CapacityView;
    readonly packing: Packing;
    /** Score of a worker by its learned speed; speeds are ignored where it is left out. */
    readonly scoreSpeed?: ((worker: ShardWorker) => number) | undefined;
    /** Rack that the tasks must stay on; undefined for any. */
    readonly rack?: string;
}

/** Chooses workers for the tasks of one step at one moment. */
export interface Chooser {
    /** Gives the best worker with capacity for the task, none of `except`; undefined where there is none. */
    choose(task: ShardTask, except?: ReadonlySet<string>): ShardWorker | undefined;
    /** Records that a task of the step was placed on the worker. */
    recordPlacement(worker: ShardWorker): void;
}

/**
 * Lists the workers that may run the step and accept work now, whether or not they have free capacity.
 *
 * @example
 * const candidates = openWorkersFor(step, workers, clock.monotonicMs());
 */
export const openWorkersFor = (
    step: ShardStep,
    workers: ReadonlyMap<string, ShardWorker>,
    nowMs: number,
): readonly ShardWorker[] =>
    [...workers.values()].filter(worker =>
        isApproved(worker, step) && isOpen(worker, nowMs) && isEligible(worker, step)
    );

/**
 * Prepares the choice of workers for a step. A task avoids workers that failed it for some seconds if others may run it,
 * and prefers other workers with free capacity afterwards.
 *
 * @example
 * const chooser = createChooser(step, workers, { nowMs, view, packing: "scarcest" });
 * const worker = chooser.choose(task);
 */
export const createChooser = (
    step: ShardStep,
    workers: ReadonlyMap<string, ShardWorker>,
    limits: ChoiceLimits,
): Chooser => {
    const { spec } = step;
    const { view, packing } = limits;
    const held = reservedResources(spec);
    const runs = countRuns(step);
    const usable: Candidate[] = [];
    const { job } = step.occurrence;
    const suspect = isSuspect(step);
    for (const worker of view.roomy ?? workers.values()) {
        if (!isApproved(worker, step)) {
            continue;
        }
        const open = isOpen(worker, limits.nowMs);
        const hasTicket = ticketFor(step, worker.workerId, limits.nowMs) !== undefined;
        if (
            (open ? hasTicket : isOpen(worker, limits.nowMs, Infinity)) && isEligible(worker, step)
            && (limits.rack === undefined || worker.entry.rack === limits.rack)
            && !isBlockedByTrial(worker, job, { workers, nowMs: limits.nowMs })
        ) {
            usable.push({
                worker,
                open,
                hasTicket,
                fixed: fixedScore(worker, step) - interferenceOf(worker, spec)
                    - crashExposurePenalty * crashExposureOf(worker, job, suspect),
                runs: runs.get(worker.workerId) ?? 0,
                speedScore: limits.scoreSpeed === undefined ? 0 : undefined,
            });
        }
    }

    const hasCapacityFor = ({ worker, runs: runsHere }: Candidate): boolean =>
        allowsAnotherRun(spec, runsHere) && fits(held, view.capacityFor(worker, step));

    const score = (candidate: Candidate): number => {
        const { worker, fixed, runs: runsHere } = candidate;
        candidate.speedScore ??= limits.scoreSpeed?.(worker) ?? 0;
        const offer = { capacity: worker.entry.capacity, room: view.capacityFor(worker, step), held };
        const togetherScore = !spec.longRunning && runsHere > 0 ? togetherBonus : 0;
        const reservedPenalty = runsHere === 0 && view.occupiesReserved(worker, step) ? reservedCapacityPenalty : 0;
        return fixed + candidate.speedScore + packings[packing](offer) + togetherScore - reservedPenalty;
    };

    return {
        choose: (task, except) => {
            const { nowMs, rack } = limits;
            // Examining all workers for each task that has failed costs most of a pass, so it waits for a worker with capacity.
            let avoided: ReadonlyMap<string, number> | undefined;
            let best: ShardWorker | undefined;
            let bestScore = -Infinity;
            // A copy, which is a further run of a task that already runs, never uses a resting worker.
            const mayUseResting = task.runs.length === 0 && mayUseRestingWorkers(task, nowMs);
            for (const candidate of usable) {
                const { worker, open, hasTicket } = candidate;
                if (
                    except?.has(worker.workerId) === true || !allowsTrial(worker, task, nowMs)
                    || !hasCapacityFor(candidate)
                ) {
                    continue;
                }
                if (!open && !(mayUseResting && hasTicket)) {
                    continue;
                }
                avoided ??= avoidedBy(task, { workers, nowMs, rack, except });
                if (avoided.has(worker.workerId)) {
                    continue;
                }
                const value = score(candidate) - (open ? 0 : restingPenalty)
                    - (failedRecently(task, worker.workerId, nowMs) ? recentFailurePenalty : 0);
                if (value > bestScore) {
                    best = worker;
                    bestScore = value;
                }
            }
            return best;
        },
        recordPlacement: worker => {
            const candidate = usable.find(each => each.worker === worker);
            if (candidate !== undefined) {
                candidate.runs += 1;
            }
        },
    };
};
