/**
 * Plans where and when the waiting tasks of a step get capacity: each task gets the worker that first has enough, as runs there
 * end or are stopped. Without reservations large tasks would starve, since small ones take each piece of capacity as soon as it
 * is free.
 */

import { add, fits, noResources, type Resources, subtract } from "../../types/resources.js";
import { avoidedByAll } from "./avoidance.js";
import type { CapacityView, Reservation } from "./capacityView.js";
import { allowsAnotherRun, countRuns, isApproved, isEligible } from "./eligible.js";
import { estimatedRunMs, reservedResources, runPhases, type ShardRun, type ShardStep } from "./jobModel.js";
import { chooseVictims, isPreemptibleBy } from "./preempt.js";
import { isBlockedByTrial } from "./trials.js";
import { isOpen, type ShardWorker } from "./workerTable.js";

/** Inputs of a plan. */
export interface PlanOptions {
    readonly step: ShardStep;
    /** Number of tasks that found no worker with capacity, or only workers for which they have no ticket. */
    readonly waiting: number;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly view: CapacityView;
    readonly nowMs: number;
    /** How long a worker may take to stop a run. */
    readonly stopMs: number;
    /** How long the step may still wait for the job to meet its objective; 0 or less where it cannot. */
    readonly slackMs: number;
    /** Expected run time of a run on its worker; by default that of its estimate. */
    readonly expectedRunMs?: ((run: ShardRun) => number) | undefined;
}

/** When a worker has capacity for one more task, and which runs must be stopped for it. */
interface Opening {
    readonly freeAtMs: number;
    readonly victims: readonly ShardRun[];
}

/**
 * Least remaining time assumed for a run, as a share of its estimate and in milliseconds; the larger one applies. A run past its
 * estimate may end at any moment.
 */
const minRemainingShare = 0.15;
const minRemainingMs = 100;
/** A stop and a restore cost the stopped task about 1 s, so runs are stopped only where that saves more than this share of the slack. */
const minSavedShare = 0.1;
/** Cost of each run to be stopped, as additional waiting time, when workers are compared. */
const victimCostMs = 50;
/** Tasks that need a smaller share of a worker than this find free capacity without a reservation. */
const largeShare = 0.25;

const expectedEndMs = (
    run: ShardRun,
    { nowMs, stopMs, expectedRunMs = estimatedRunMs }: PlanOptions,
): number => {
    if (run.phase === runPhases.stopping) {
        return nowMs + stopMs;
    }
    const runMs = expectedRunMs(run);
    const earliestMs = nowMs + Math.max(minRemainingMs, minRemainingShare * runMs);
    return Math.max(earliestMs, (run.startedAtMs ?? nowMs) + runMs);
};

/** Time at which enough capacity is free once these runs end by themselves, in order of their ends; `Infinity` where it never is. */
const whenFreed = (
    runs: readonly { readonly run: ShardRun; readonly endMs: number; }[],
    need: Resources,
    initial: Resources,
): number => {
    let room = initial;
    for (const { run, endMs } of runs) {
        room = add(room, run.held);
        if (fits(need, room)) {
            return endMs;
        }
    }
    return Infinity;
};

const openingOf = (
    worker: ShardWorker,
    room: Resources,
    options: PlanOptions,
): Opening | undefined => {
    const { step, nowMs, stopMs, slackMs } = options;
    const need = reservedResources(step.spec);
    if (fits(need, room)) {
        return { freeAtMs: nowMs, victims: [] };
    }
    const { priority } = step.occurrence.job.queue;
    const ends = [...worker.runs.values()]
        .map(run => ({ run, endMs: expectedEndMs(run, options) }))
        .sort((left, right) => left.endMs - right.endMs);
    const freedByEndsMs = whenFreed(ends, need, room);
    const stoppedMs = nowMs + stopMs;
    const worthwhile = freedByEndsMs - stoppedMs > minSavedShare * Math.max(0, slackMs);
    if (!worthwhile) {
        return { freeAtMs: freedByEndsMs, victims: [] };
    }
    const victims = chooseVictims(worker, { need, room, priority });
    if (victims !== undefined) {
        return { freeAtMs: stoppedMs, victims };
    }
    // Preemptible runs keep running until the other runs have ended; only then does stopping them free enough.
    const preemptible = ends.filter(({ run }) => isPreemptibleBy(run, priority));
    const others = ends.filter(({ run }) => !isPreemptibleBy(run, priority));
    const freed = preemptible.reduce((sum, { run }) => add(sum, run.held), room);
    const freeAtMs = Math.min(freedByEndsMs, whenFreed(others, need, freed));
    return Number.isFinite(freeAtMs) ? { freeAtMs, victims: [] } : undefined;
};

const isCandidate = (worker: ShardWorker, { step, workers, nowMs }: PlanOptions): boolean =>
    isOpen(worker, nowMs) && isEligible(worker, step)
    && !isBlockedByTrial(worker, step.occurrence.job, { workers, nowMs })
    && isApproved(worker, step);

const shareOf = (held: Resources, capacity: Resources): number =>
    Math.max(
        held.cpuMillis / Math.max(1, capacity.cpuMillis),
        held.memoryMib / Math.max(1, capacity.memoryMib),
        held.accelerators / Math.max(1, capacity.accelerators),
    );

/**
 * Sets the start of all members of a gang to the time at which the last one has capacity. Runs are stopped for the gang only once
 * that time is at most `stopMs` away. Empty where not all members have been planned.
 */
const alignGang = (
    planned: readonly Reservation[],
    { waiting, nowMs, stopMs }: PlanOptions,
): readonly Reservation[] => {
    if (planned.length < waiting) {
        return [];
    }
    const freeAtMs = Math.max(...planned.map(reservation => reservation.freeAtMs));
    const soon = freeAtMs <= nowMs + stopMs;
    return planned.map(reservation => ({ ...reservation, freeAtMs, victims: soon ? reservation.victims : [] }));
};

/**
 * Plans reservations for the waiting tasks of a step, each on the worker that first has capacity for it. Only large tasks
 * and tasks for which runs are stopped get a reservation; of a gang, all members do or none.
 *
 * @example
 * const reservations = planReservations({ step, waiting: 2, workers, view, nowMs, stopMs: 400, slackMs: 5_000 });
 */
export const planReservations = (options: PlanOptions): readonly Reservation[] => {
    const { step, waiting, workers, view } = options;
    const held = reservedResources(step.spec);
    const runs = countRuns(step);
    /** Capacity and number of tasks planned so far, by worker id. */
    const plannedByWorker = new Map<string, { readonly room: Resources; readonly count: number; }>();
    const openings = new Map<ShardWorker, Opening | undefined>();

    const updateOpening = (worker: ShardWorker): void => {
        const { room, count } = plannedByWorker.get(worker.workerId) ?? { room: noResources, count: 0 };
        const full = !allowsAnotherRun(step.spec, (runs.get(worker.workerId) ?? 0) + count);
        openings.set(
            worker,
            full ? undefined : openingOf(worker, subtract(view.capacityFor(worker, step), room), options),
        );
    };

    const bestOpening = (): { readonly worker: ShardWorker; readonly opening: Opening; } | undefined => {
        let best: { readonly worker: ShardWorker; readonly opening: Opening; } | undefined;
        let bestCostMs = Infinity;
        for (const [worker, opening] of openings) {
            if (opening === undefined) {
                continue;
            }
            const costMs = opening.freeAtMs + victimCostMs * opening.victims.length;
            if (costMs < bestCostMs) {
                best = { worker, opening };
                bestCostMs = costMs;
            }
        }
        return best;
    };

    const avoided = avoidedByAll(step, options);
    for (const worker of workers.values()) {
        if (isCandidate(worker, options) && !avoided.has(worker.workerId)) {
            updateOpening(worker);
        }
    }
    const planned: Reservation[] = [];
    while (planned.length < waiting) {
        const best = bestOpening();
        if (best === undefined) {
            break;
        }
        const { worker, opening } = best;
        const { room, count } = plannedByWorker.get(worker.workerId) ?? { room: noResources, count: 0 };
        plannedByWorker.set(worker.workerId, { room: add(room, held), count: count + 1 });
        planned.push({ step, workerId: worker.workerId, held, ...opening });
        if (opening.victims.length > 0) {
            // A plan stops runs on a worker only once; capacity left over by the stops is counted in a later plan.
            openings.set(worker, undefined);
        }
        else {
            updateOpening(worker);
        }
    }
    const aligned = step.spec.gang ? alignGang(planned, options) : planned;
    return aligned.filter(({ workerId, victims }) => {
        const capacity = workers.get(workerId)?.entry.capacity ?? noResources;
        return step.spec.gang || victims.length > 0 || shareOf(held, capacity) >= largeShare;
    });
};
