/** What of a worker's room a step may use, beside room that is kept for more urgent steps. */

import { add, fits, noResources, type Resources, subtract } from "../../types/resources.js";
import { hasWaitedLong, holdPatienceMs } from "./blockedSteps.js";
import type { ShardRun, ShardStep } from "./jobBook.js";
import { roomOf, type ShardWorker } from "./workerTable.js";

/** Room on one worker that is kept for a task of a step. */
export interface Reservation {
    readonly step: ShardStep;
    readonly workerId: string;
    readonly held: Resources;
    /** Local time at which it is expected to be free. */
    readonly freeAtMs: number;
    /** Less urgent runs whose stop frees it. */
    readonly victims: readonly ShardRun[];
}

/** Room as it is seen in one pass over the waiting steps, which goes from the most urgent to the least. */
export interface RoomView {
    /** Keeps room from all steps that are considered later. */
    keep(reservation: Reservation): void;
    /**
     * Room that a task of the step may use now, or in `aheadMs` if nothing changes; negative where more is kept than is
     * free.
     */
    roomFor(worker: ShardWorker, step: ShardStep, aheadMs?: number): Resources;
    /** A task of the step was placed there; where it took what is kept, others may not do so again at once. */
    tookRoom(worker: ShardWorker, step: ShardStep): void;
    /** Whether a task that lasts would take room there that is kept for others, for good. */
    takesKept(worker: ShardWorker, step: ShardStep): boolean;
}

/** Estimates of run times are off by up to half; a task that ends before by this much passes. */
const estimateMargin = 1.3;
/** A run that can be stopped and resumed makes some progress within this; a restore alone takes up to 0.6 s. */
const progressMs = 1_500;

/** Whether a task can be stopped for a more urgent one at no loss of work. */
export const isPreemptible = ({ spec }: ShardStep): boolean =>
    spec.checkpointing && !spec.gang && !spec.longRunning && !spec.fills;

/**
 * Room may be kept for as long as an objective allows, for a gang whose last worker is busy, and its plan may never come
 * true: a run beyond its estimate may end at any moment, and does not. So a task of a job that has waited long takes the
 * room, and the next one only after twice the time: a stream of such tasks would else keep the gang out for ever.
 */
const passedAgainMs = 2 * holdPatienceMs;
/** Room that is kept for what begins this late would lie idle for long; each job that waits long takes some of it in turn. */
const farOffMs = 10_000;

const priorityOf = ({ occurrence }: ShardStep): number => occurrence.job.queue.priority;

/** Whether a step that has waited long may take what is kept for another; each task that lasts counts by itself. */
const mayTake = (step: ShardStep, kept: Reservation, atMs: number): boolean =>
    hasWaitedLong(step, atMs) && (step.spec.longRunning || kept.step.passableAtMs <= atMs);

/** When the next one may take what is kept after another one did. */
const nextPassAtMs = ({ step, freeAtMs }: Reservation, nowMs: number): number =>
    nowMs + (freeAtMs - nowMs > farOffMs ? holdPatienceMs : passedAgainMs * 2 ** step.timesPassed);

/** Whether a task does no harm in kept room: it ends before, or is stopped then and has got on by then. */
const mayPass = (step: ShardStep, kept: Reservation, nowMs: number): boolean => {
    const leftMs = kept.freeAtMs - nowMs;
    const { estimateMs, longRunning } = step.spec;
    const endsBefore = !longRunning && estimateMs > 0 && estimateMargin * estimateMs <= leftMs;
    return endsBefore || isPreemptible(step) && priorityOf(step) > priorityOf(kept.step) && leftMs >= progressMs;
};

/**
 * Makes the view of one pass; nothing is kept before.
 *
 * @example
 * const view = createRoomView(clock.monotonicMs());
 * view.roomFor(worker, step);
 */
export const createRoomView = (nowMs: number): RoomView => {
    const byWorker = new Map<string, Reservation[]>();
    const keptFor = (worker: ShardWorker): readonly Reservation[] => byWorker.get(worker.workerId) ?? [];
    return {
        keep: reservation => {
            const known = byWorker.get(reservation.workerId);
            if (known === undefined) {
                byWorker.set(reservation.workerId, [reservation]);
            }
            else {
                known.push(reservation);
            }
        },
        roomFor: (worker, step, aheadMs = 0) => {
            let room = roomOf(worker);
            for (const kept of keptFor(worker)) {
                if (kept.step !== step && !mayPass(step, kept, nowMs) && !mayTake(step, kept, nowMs + aheadMs)) {
                    room = subtract(room, kept.held);
                }
            }
            return room;
        },
        tookRoom: (worker, step) => {
            const others = keptFor(worker).filter(kept => kept.step !== step && !mayPass(step, kept, nowMs));
            const held = others.reduce((sum, kept) => add(sum, kept.held), noResources);
            if (fits(held, roomOf(worker))) {
                return;
            }
            for (const kept of others.filter(each => each.step.passableAtMs <= nowMs)) {
                kept.step.passableAtMs = nextPassAtMs(kept, nowMs);
                kept.step.timesPassed += 1;
            }
        },
        takesKept: (worker, step) => step.spec.longRunning && keptFor(worker).some(kept => kept.step !== step),
    };
};
