/**
 * Where the waiting tasks of a step are expected to run: which worker has room for each first, by the runs that end or can
 * be stopped there. A task that needs much of a worker would else wait for ever behind small ones that take each piece of
 * room as it falls free.
 */

import { add, fits, noResources, type Resources, subtract } from "../../types/resources.js";
import { avoidedByAll } from "./avoidance.js";
import { allowsAnother, countRuns, suits } from "./eligible.js";
import { estimatedEndMs, estimatedRunMs, heldBy, runPhases, type ShardRun, type ShardStep } from "./jobBook.js";
import { chooseVictims, givesWay } from "./preempt.js";
import type { Reservation, RoomView } from "./roomView.js";
import { isKeptFrom } from "./trials.js";
import { isOpen, type ShardWorker } from "./workerTable.js";

/** What a plan needs. */
export interface PlanOptions {
    readonly step: ShardStep;
    /** Tasks that found no room, or no ticket where there is room. */
    readonly waiting: number;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly view: RoomView;
    readonly nowMs: number;
    /** How long a stop may take. */
    readonly stopMs: number;
    /** How long the job may still wait to be in time; 0 or less where it cannot be. */
    readonly slackMs: number;
}

/** When a worker has room for one more task, and whose stop gives it. */
interface Opening {
    readonly freeAtMs: number;
    readonly victims: readonly ShardRun[];
}

/** A run that is overdue may end at any moment; as a share of its estimate, and at least this long. */
const overdueShare = 0.15;
const overdueMs = 100;
/** A stop and a restore cost about a second of a less urgent task; they are worth it where they save this share of the slack. */
const worthwhileShare = 0.1;
/** Among workers that are free at about the same time, each run that must be stopped counts as much as this wait. */
const victimCostMs = 50;
/** A task that takes less of a worker than this finds its place among others and needs none kept. */
const largeShare = 0.25;

const expectedEndMs = (run: ShardRun, nowMs: number, stopMs: number): number => {
    if (run.phase === runPhases.stopping) {
        return nowMs + stopMs;
    }
    const leastMs = nowMs + Math.max(overdueMs, overdueShare * estimatedRunMs(run));
    return Math.max(leastMs, estimatedEndMs(run, nowMs));
};

/** When the runs that end by themselves leave enough room; `Infinity` where they never do. */
const whenFreed = (
    runs: readonly { readonly run: ShardRun; readonly endMs: number; }[],
    need: Resources,
    from: Resources,
): number => {
    let room = from;
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
    { step, nowMs, stopMs, slackMs }: PlanOptions,
): Opening | undefined => {
    const need = heldBy(step.spec);
    if (fits(need, room)) {
        return { freeAtMs: nowMs, victims: [] };
    }
    const { priority } = step.occurrence.job.queue;
    const ends = [...worker.runs.values()]
        .map(run => ({ run, endMs: expectedEndMs(run, nowMs, stopMs) }))
        .sort((left, right) => left.endMs - right.endMs);
    const byItselfMs = whenFreed(ends, need, room);
    const stoppedMs = nowMs + stopMs;
    const worthwhile = byItselfMs - stoppedMs > worthwhileShare * Math.max(0, slackMs);
    if (!worthwhile) {
        return { freeAtMs: byItselfMs, victims: [] };
    }
    const victims = chooseVictims(worker, { need, room, priority });
    if (victims !== undefined) {
        return { freeAtMs: stoppedMs, victims };
    }
    // What gives way is stopped only once the others are gone, so that it works on until then.
    const able = ends.filter(({ run }) => givesWay(run, priority));
    const others = ends.filter(({ run }) => !givesWay(run, priority));
    const freed = able.reduce((sum, { run }) => add(sum, run.held), room);
    const freeAtMs = Math.min(byItselfMs, whenFreed(others, need, freed));
    return Number.isFinite(freeAtMs) ? { freeAtMs, victims: [] } : undefined;
};

const isCandidate = (worker: ShardWorker, { step, workers, nowMs }: PlanOptions): boolean =>
    isOpen(worker, nowMs) && suits(worker, step)
    && !isKeptFrom(worker, step.occurrence.job, { workers, nowMs })
    && (step.occurrence.job.queue.advice === undefined || step.advice.good.has(worker.workerId));

const shareOf = (held: Resources, capacity: Resources): number =>
    Math.max(
        held.cpuMillis / Math.max(1, capacity.cpuMillis),
        held.memoryMib / Math.max(1, capacity.memoryMib),
        held.accelerators / Math.max(1, capacity.accelerators),
    );

/** A gang begins when the last of its members has room; until then nobody is stopped for it. */
const alignGang = (slots: readonly Reservation[], { waiting, nowMs, stopMs }: PlanOptions): readonly Reservation[] => {
    if (slots.length < waiting) {
        return [];
    }
    const freeAtMs = Math.max(...slots.map(slot => slot.freeAtMs));
    const soon = freeAtMs <= nowMs + stopMs;
    return slots.map(slot => ({ ...slot, freeAtMs, victims: soon ? slot.victims : [] }));
};

/**
 * Plans room for the waiting tasks of a step, each on the worker that has room for it first. Only tasks that need much of
 * a worker, or for which others are stopped, keep room; all members of a gang do, or none.
 *
 * @example
 * const reservations = planRoom({ step, waiting: 2, workers, view, nowMs, stopMs: 400, slackMs: 5_000 });
 */
export const planRoom = (options: PlanOptions): readonly Reservation[] => {
    const { step, waiting, workers, view } = options;
    const held = heldBy(step.spec);
    const runs = countRuns(step);
    const taken = new Map<string, { readonly room: Resources; readonly count: number; }>();
    const openings = new Map<ShardWorker, Opening | undefined>();

    const refresh = (worker: ShardWorker): void => {
        const { room, count } = taken.get(worker.workerId) ?? { room: noResources, count: 0 };
        const full = !allowsAnother(step.spec, (runs.get(worker.workerId) ?? 0) + count);
        openings.set(worker, full ? undefined : openingOf(worker, subtract(view.roomFor(worker, step), room), options));
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
            refresh(worker);
        }
    }
    const slots: Reservation[] = [];
    while (slots.length < waiting) {
        const best = bestOpening();
        if (best === undefined) {
            break;
        }
        const { worker, opening } = best;
        const { room, count } = taken.get(worker.workerId) ?? { room: noResources, count: 0 };
        taken.set(worker.workerId, { room: add(room, held), count: count + 1 });
        slots.push({ step, workerId: worker.workerId, held, ...opening });
        if (opening.victims.length > 0) {
            // One round of stops on a worker at a time; what they leave is seen when they are gone.
            openings.set(worker, undefined);
        }
        else {
            refresh(worker);
        }
    }
    const aligned = step.spec.gang ? alignGang(slots, options) : slots;
    return aligned.filter(({ workerId, victims }) => {
        const capacity = workers.get(workerId)?.entry.capacity ?? noResources;
        return step.spec.gang || victims.length > 0 || shareOf(held, capacity) >= largeShare;
    });
};
