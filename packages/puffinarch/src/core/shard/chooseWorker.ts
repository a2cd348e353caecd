/** Which worker takes a task: what must hold, and what is better. */

import { fits, type Resources } from "../../types/resources.js";
import type { Step } from "../../types/work.js";
import { avoidedBy, failedLately } from "./avoidance.js";
import { ignoresRests } from "./blockedSteps.js";
import { allowsAnother, countRuns, suits, ticketFor } from "./eligible.js";
import { heldBy, type ShardStep, type ShardTask } from "./jobBook.js";
import type { RoomView } from "./roomView.js";
import { allowsTrial, companyOf, isKeptFrom, isSuspect } from "./trials.js";
import { isOpen, type ShardWorker } from "./workerTable.js";

/** A worker with its room for a task, and what the task takes of it. */
interface Offer {
    readonly capacity: Resources;
    readonly room: Resources;
    readonly held: Resources;
}

/** Share of processors that would be free after the task; workers with much room first spreads the harm of a loss. */
const spareShare = ({ capacity, room, held }: Offer): number =>
    (room.cpuMillis - held.cpuMillis) / Math.max(1, capacity.cpuMillis);

/** Outweighs all that speaks for a worker near the caller or with others of the step. */
const acceleratorWeight = 2;

/** What speaks for a worker by how full it would be: a higher value is better. */
export const packings = {
    /** The emptiest by processors. */
    spread: spareShare,
    /**
     * Tasks that need accelerators go where the fewest are left, so that whole workers stay free for those that need all
     * of one; tasks that need none keep off workers that have some.
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
/** Name of a way to pack workers. */
export type Packing = keyof typeof packings;

/**
 * The loss of a worker or a data centre harms every job with a task there, so a step's tasks go together and near the
 * caller: with six tasks spread over 33 workers, losing two of them harms 3 jobs in 10, else 1 in 16.
 */
const togetherBonus = 0.6;
const nearCallerBonus = 0.5;
/** Preferences outweigh the spread: a data rack saves half the run time, a worker that failed others may do so again. */
const dataRackBonus = 1;
const streakPenalty = 0.5;
/** More than all else: a worker at rest takes a task only where no other does. */
const restPenalty = 1_000;
/** Tasks that last and take kept room go where others of them do, so that it is lost to the fewest workers. */
const keptRoomPenalty = 0.6;
/** Outweighs all that speaks for a worker: one that failed the task is taken only where no other has room. */
const failedPenalty = 100;
/** Tasks that fill and tasks that serve disturb each other. */
const disturbancePenalty = 2;

/** What runs beside a task that crashes its worker is lost with it, so such tasks go where little runs, and others elsewhere. */
const companyPenalty = 2;

const hasServing = (worker: ShardWorker): boolean =>
    [...worker.runs.values()].some(run => run.task.step.spec.latencyObjectiveMs > 0);
const hasFilling = (worker: ShardWorker): boolean => [...worker.runs.values()].some(run => run.task.step.spec.fills);

/** What speaks for a worker whatever else of the step runs there. */
const fixedScore = ({ entry, failuresInARow }: ShardWorker, { spec, occurrence }: ShardStep): number => {
    let value = -streakPenalty * failuresInARow;
    if (spec.dataRack !== "" && entry.rack === spec.dataRack) {
        value += dataRackBonus;
    }
    if (entry.dataCentre === occurrence.job.submission.dataCentre) {
        value += nearCallerBonus;
    }
    return value;
};

const disturbance = (worker: ShardWorker, { fills, latencyObjectiveMs }: Step): number => {
    const disturbs = fills && hasServing(worker) || latencyObjectiveMs > 0 && hasFilling(worker);
    return disturbs ? disturbancePenalty : 0;
};

/** A worker that may run the step, with what stays as it is while the step's tasks are placed one after the other. */
interface Candidate {
    readonly worker: ShardWorker;
    readonly fixed: number;
    /** False while it rests. */
    readonly open: boolean;
    readonly hasTicket: boolean;
    /** Runs of the step on it. */
    runs: number;
}

/** What limits a choice. */
export interface ChoiceLimits {
    readonly nowMs: number;
    readonly view: RoomView;
    readonly packing: Packing;
    /** Rack that the tasks must stay on; undefined for any. */
    readonly rack?: string;
}

/** Chooses workers for the tasks of one step at one moment. */
export interface Chooser {
    /** A worker with room for the task now; undefined where there is none. */
    choose(task: ShardTask, except?: ReadonlySet<string>): ShardWorker | undefined;
    /** A task of the step was placed there. */
    took(worker: ShardWorker): void;
}

/** Workers that may run the step: those that the advisor allows, where it is asked, else all. */
const mayRunOn = function*(step: ShardStep, workers: ReadonlyMap<string, ShardWorker>): Generator<ShardWorker> {
    if (step.occurrence.job.queue.advice === undefined) {
        yield* workers.values();
        return;
    }
    for (const workerId of step.advice.good.keys()) {
        const worker = workers.get(workerId);
        if (worker !== undefined) {
            yield worker;
        }
    }
};

/**
 * Workers that may run the step and take work now, whether they have room or not.
 *
 * @example
 * const candidates = openFor(step, workers, clock.monotonicMs());
 */
export const openFor = (
    step: ShardStep,
    workers: ReadonlyMap<string, ShardWorker>,
    nowMs: number,
): readonly ShardWorker[] =>
    [...mayRunOn(step, workers)].filter(worker => isOpen(worker, nowMs) && suits(worker, step));

/**
 * Prepares the choice of workers for a step. A task that failed keeps off the workers that failed it for a moment, as far as
 * others may run it, and then prefers others that have room.
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
    const held = heldBy(spec);
    const runs = countRuns(step);
    const usable: Candidate[] = [];
    const { job } = step.occurrence;
    const suspect = isSuspect(step);
    for (const worker of mayRunOn(step, workers)) {
        const open = isOpen(worker, limits.nowMs);
        const hasTicket = ticketFor(step, worker.workerId, limits.nowMs) !== undefined;
        if (
            (open ? hasTicket : isOpen(worker, limits.nowMs, Infinity)) && suits(worker, step)
            && (limits.rack === undefined || worker.entry.rack === limits.rack)
            && !isKeptFrom(worker, job, { workers, nowMs: limits.nowMs })
        ) {
            usable.push({
                worker,
                open,
                hasTicket,
                fixed: fixedScore(worker, step) - disturbance(worker, spec)
                    - companyPenalty * companyOf(worker, job, suspect),
                runs: runs.get(worker.workerId) ?? 0,
            });
        }
    }

    const hasRoomFor = ({ worker, runs: here }: Candidate): boolean =>
        allowsAnother(spec, here) && fits(held, view.roomFor(worker, step));

    const score = ({ worker, fixed, runs: here }: Candidate): number => {
        const offer = { capacity: worker.entry.capacity, room: view.roomFor(worker, step), held };
        const together = !spec.longRunning && here > 0 ? togetherBonus : 0;
        const takesKept = here === 0 && view.takesKept(worker, step) ? keptRoomPenalty : 0;
        return fixed + packings[packing](offer) + together - takesKept;
    };

    return {
        choose: (task, except) => {
            const { nowMs, rack } = limits;
            const avoided = avoidedBy(task, { workers, nowMs, rack, except });
            let best: ShardWorker | undefined;
            let bestScore = -Infinity;
            // Copies may wait: their tasks run.
            const mayPass = task.runs.length === 0 && ignoresRests(task, nowMs);
            for (const candidate of usable) {
                const { worker, open, hasTicket } = candidate;
                if (
                    except?.has(worker.workerId) === true || !allowsTrial(worker, task, nowMs) || !hasRoomFor(candidate)
                ) {
                    continue;
                }
                if (avoided.has(worker.workerId) || !open && !(mayPass && hasTicket)) {
                    continue;
                }
                const value = score(candidate) - (open ? 0 : restPenalty)
                    - (failedLately(task, worker.workerId, nowMs) ? failedPenalty : 0);
                if (value > bestScore) {
                    best = worker;
                    bestScore = value;
                }
            }
            return best;
        },
        took: worker => {
            const candidate = usable.find(each => each.worker === worker);
            if (candidate !== undefined) {
                candidate.runs += 1;
            }
        },
    };
};
