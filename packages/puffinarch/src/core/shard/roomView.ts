/** What of a worker's room a step may use, beside room that is kept for more urgent steps. */

import { type Resources, subtract } from "../../types/resources.js";
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
    /** Whether room is kept there for other steps. */
    isKept(worker: ShardWorker, step: ShardStep): boolean;
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
 * true: a run beyond its estimate may end at any moment, and does not. A job of which nothing runs for 3 s though there is
 * room for it counts as lost; a task of it takes the room after this, which leaves a call to the advisor and a start their time.
 */
const keptOutMs = 2_000;

const priorityOf = ({ occurrence }: ShardStep): number => occurrence.job.queue.priority;

/** Whether a step has been kept out of room for long; one that lasts never ends before, so that it counts from its turn on. */
const waitedLong = ({ spec, readyAtMs, keptOutAtMs }: ShardStep, nowMs: number): boolean =>
    nowMs - (spec.longRunning ? readyAtMs : keptOutAtMs ?? nowMs) >= keptOutMs;

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
    const isKept = (worker: ShardWorker, step: ShardStep): boolean =>
        byWorker.get(worker.workerId)?.some(kept => kept.step !== step) === true;
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
                if (kept.step !== step && !mayPass(step, kept, nowMs) && !waitedLong(step, nowMs + aheadMs)) {
                    room = subtract(room, kept.held);
                }
            }
            return room;
        },
        isKept,
        takesKept: (worker, step) => step.spec.longRunning && isKept(worker, step),
    };
};
