/** Capacity of workers that a step may use during a pass: what is free, less what is reserved for more urgent steps. */

import { add, fits, noResources, type Resources, subtract } from "../../types/resources.js";
import { isBlockedLong, maxBlockedMs } from "./blockedSteps.js";
import type { PassHeadroom } from "./headroom.js";
import type { ShardRun, ShardStep } from "./jobModel.js";
import { freeCapacityOf, type ShardWorker } from "./workerTable.js";

/** Capacity on one worker that is reserved for one task of a step. */
export interface Reservation {
    readonly step: ShardStep;
    readonly workerId: string;
    readonly held: Resources;
    /** Local time at which the capacity is expected to be free. */
    readonly freeAtMs: number;
    /** Less urgent runs to be stopped to free it. */
    readonly victims: readonly ShardRun[];
}

/** What a view is restricted to. */
export interface CapacityViewOptions {
    readonly roomy?: readonly ShardWorker[];
    readonly headroom?: Pick<PassHeadroom, "keptFrom">;
}

/** Capacity and reservations during one pass, which visits waiting steps from the most to the least urgent. */
export interface CapacityView {
    /** The only workers on which a waiting task may fit; undefined where all have to be examined. */
    readonly roomy: readonly ShardWorker[] | undefined;
    /** Reserves capacity, so that steps visited later in the pass cannot use it. */
    reserve(reservation: Reservation): void;
    /**
     * Capacity that a task of the step may use now, or in `aheadMs` if nothing changes; negative where more is reserved than
     * free.
     */
    capacityFor(worker: ShardWorker, step: ShardStep, aheadMs?: number): Resources;
    /**
     * Records that a task of the step was placed on the worker. Where it overrode reservations, they may not be overridden again
     * for some time.
     */
    recordPlacement(worker: ShardWorker, step: ShardStep): void;
    /** Whether the step is long-running and the worker has capacity reserved for other steps, which its task could take permanently. */
    occupiesReserved(worker: ShardWorker, step: ShardStep): boolean;
}

/**
 * A task may use reserved capacity if this multiple of its estimated run time fits before the capacity is needed; estimates are
 * off by up to half.
 */
const estimateMargin = 1.3;
/** A preemptible run makes some progress within this time; a restore alone takes up to 0.6 s. */
const minProgressMs = 1_500;

/** Whether a task of the step can be stopped for a more urgent one without losing its work. */
export const isPreemptible = ({ spec }: ShardStep): boolean =>
    spec.checkpointing && !spec.gang && !spec.longRunning && !spec.fills;

/**
 * Time between the first two overrides of a reservation; doubles with each override. A reservation may stand for as long as
 * the objective of its job allows and never be used, such as one for a gang whose last worker has a run past its estimate.
 * A step that has been blocked for long may therefore override it. The interval doubles, since a stream of such steps would
 * otherwise starve the gang.
 */
const overrideIntervalMs = 2 * maxBlockedMs;
/**
 * A reservation for a start later than this would leave capacity idle for long, so the interval between its overrides is only
 * `maxBlockedMs` and does not grow.
 */
const distantStartMs = 10_000;

const priorityOf = ({ occurrence }: ShardStep): number => occurrence.job.queue.priority;

/** Whether a step that has been blocked for long may override a reservation; a long-running step need not await the interval. */
const mayOverride = (step: ShardStep, reservation: Reservation, atMs: number): boolean =>
    isBlockedLong(step, atMs) && (step.spec.longRunning || reservation.step.nextOverrideAtMs <= atMs);

/** Local time from which a reservation that is overridden now may be overridden again. */
const nextOverrideAtMs = ({ step, freeAtMs }: Reservation, nowMs: number): number =>
    nowMs + (freeAtMs - nowMs > distantStartMs ? maxBlockedMs : overrideIntervalMs * 2 ** step.timesOverridden);

/**
 * Whether a task may use reserved capacity until it is needed: it ends before, or makes progress and can be stopped then for
 * the more urgent step.
 */
const canBackfill = (step: ShardStep, reservation: Reservation, nowMs: number): boolean => {
    const leftMs = reservation.freeAtMs - nowMs;
    const { estimateMs, longRunning } = step.spec;
    const endsBefore = !longRunning && estimateMs > 0 && estimateMargin * estimateMs <= leftMs;
    return endsBefore
        || isPreemptible(step) && priorityOf(step) > priorityOf(reservation.step) && leftMs >= minProgressMs;
};

/**
 * Creates the view of one pass, without reservations. `roomy` lists the workers that may have capacity for a waiting task; all
 * workers may if it is left out. Steps leave the given headroom free.
 *
 * @example
 * const view = createCapacityView(clock.monotonicMs());
 * view.capacityFor(worker, step);
 */
export const createCapacityView = (nowMs: number, { roomy, headroom }: CapacityViewOptions = {}): CapacityView => {
    const reservationsByWorker = new Map<string, Reservation[]>();
    const reservationsOn = (worker: ShardWorker): readonly Reservation[] =>
        reservationsByWorker.get(worker.workerId) ?? [];
    return {
        roomy,
        reserve: reservation => {
            const existing = reservationsByWorker.get(reservation.workerId);
            if (existing === undefined) {
                reservationsByWorker.set(reservation.workerId, [reservation]);
            }
            else {
                existing.push(reservation);
            }
        },
        capacityFor: (worker, step, aheadMs = 0) => {
            let free = freeCapacityOf(worker);
            const kept = headroom?.keptFrom(worker, step, nowMs + aheadMs);
            if (kept !== undefined) {
                free = subtract(free, kept);
            }
            for (const reservation of reservationsOn(worker)) {
                if (
                    reservation.step !== step && !canBackfill(step, reservation, nowMs)
                    && !mayOverride(step, reservation, nowMs + aheadMs)
                ) {
                    free = subtract(free, reservation.held);
                }
            }
            return free;
        },
        recordPlacement: (worker, step) => {
            const others = reservationsOn(worker).filter(reservation =>
                reservation.step !== step && !canBackfill(step, reservation, nowMs)
            );
            const held = others.reduce((sum, reservation) => add(sum, reservation.held), noResources);
            if (fits(held, freeCapacityOf(worker))) {
                return;
            }
            for (const reservation of others.filter(reservation => reservation.step.nextOverrideAtMs <= nowMs)) {
                reservation.step.nextOverrideAtMs = nextOverrideAtMs(reservation, nowMs);
                reservation.step.timesOverridden += 1;
            }
        },
        occupiesReserved: (worker, step) =>
            step.spec.longRunning && reservationsOn(worker).some(reservation => reservation.step !== step),
    };
};
