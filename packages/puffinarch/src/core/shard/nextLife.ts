/**
 * What follows when a worker answers as another life under its id: which runs of the life before are surely over with it, which of
 * them the next life may have, and what may have crashed it.
 */

import type { WorkerEntry } from "../../types/work.js";
import { type CrashedRun, crashedRuns, needsTrial } from "./crashes.js";
import type { DelayedStarts } from "./delayedStarts.js";
import { runPhases, type ShardRun } from "./jobBook.js";
import { isOtherLife } from "./lives.js";
import { adoptRun, newWorker, releaseRun, runKey, type ShardWorker } from "./workerTable.js";

/** What is left of a life that is over. */
export interface LeftLife {
    /** Runs that the next life may have; all others are over. */
    readonly carried: readonly ShardRun[];
    /** What may have crashed it, of the runs that are over. */
    readonly suspects: readonly CrashedRun[];
    /** The same of the runs that the next life may have. */
    readonly undecided: readonly CrashedRun[];
}

const isUnderWay = ({ task, run, workerId }: ShardRun, delayedStarts: DelayedStarts): boolean =>
    delayedStarts.has(workerId, { taskName: task.name, run });

/** It was answered by one of the two lives and neither has listed it, or an order for it may still be under way. */
const mayBeNext = (run: ShardRun, delayedStarts: DelayedStarts): boolean =>
    run.phase !== runPhases.planned
    && (!run.shown || run.phase === runPhases.starting || isUnderWay(run, delayedStarts));

/** Its task waits until its order cannot come any more, whichever life has the worker's ID by then. */
const isAwaited = ({ phase, mayArriveUntilMs }: ShardRun): boolean =>
    phase === runPhases.starting && mayArriveUntilMs !== undefined;

/**
 * Tells whether the next look at the next life settles a run that it may have; any other run has to be stopped there, so
 * that an order for it is refused when it comes.
 *
 * @example
 * if (!isSettledByLook(run, delayedStarts)) { link.stop(run); }
 */
export const isSettledByLook = (run: ShardRun, delayedStarts: DelayedStarts): boolean =>
    isAwaited(run) || run.phase === runPhases.running && !isUnderWay(run, delayedStarts);

/**
 * Adds what is undecided of the life before to what may have crashed a worker; such runs do not count for both lives.
 *
 * @example
 * countCrashes(worker, withUndecided(worker, crashedRuns(worker, clock.monotonicMs())));
 */
export const withUndecided = (
    { undecided }: ShardWorker,
    crashed: readonly CrashedRun[],
): readonly CrashedRun[] => [
    ...undecided.values(),
    ...crashed.filter(({ task, run }) => !undecided.has(runKey(task.name, run))),
];

/**
 * Takes from a life that is over the runs that the next one may have.
 *
 * @example
 * const { carried } = leaveLife(worker, createDelayedStarts(clock), clock.monotonicMs());
 */
export const leaveLife = (former: ShardWorker, delayedStarts: DelayedStarts, nowMs: number): LeftLife => {
    const all = withUndecided(former, crashedRuns(former, nowMs));
    const carried = new Map([...former.runs].filter(([, run]) => mayBeNext(run, delayedStarts)));
    for (const run of carried.values()) {
        releaseRun(former, run);
    }
    const isCarried = ({ task, run }: CrashedRun): boolean => carried.has(runKey(task.name, run));
    return {
        carried: [...carried.values()],
        suspects: all.filter(suspect => !isCarried(suspect)),
        undecided: all.filter(isCarried),
    };
};

/** The next life as its first answer tells of it. */
export interface NextLife {
    readonly bornAtMs: number | undefined;
    /** The platform's entry for the worker; undefined where it is not listed. */
    readonly listed: WorkerEntry | undefined;
    /** Local time by which every lease is over that orders for the life before may have brought it. */
    readonly horizonMs: number;
    /** Local time. */
    readonly nowMs: number;
}

/**
 * Makes the next life of a worker, with the runs that it may have.
 *
 * @example
 * const next = enterLife(former, leaveLife(former, delayedStarts, nowMs), { bornAtMs, listed, horizonMs, nowMs });
 */
export const enterLife = (
    former: ShardWorker,
    { carried, undecided }: LeftLife,
    { bornAtMs, listed, horizonMs, nowMs }: NextLife,
): ShardWorker => {
    const isListed = listed !== undefined && !isOtherLife(listed.bornAtMs, bornAtMs);
    const next = newWorker(isListed ? listed : former.entry, horizonMs);
    next.bornAtMs = bornAtMs;
    // It may be of another kind and size; nothing is started there before its own entry says so.
    next.unlistedAtMs = isListed ? undefined : -Infinity;
    for (const run of carried) {
        if (run.absent) {
            // The life before refused it, so that it did not crash under it.
            run.bornAtMs = bornAtMs;
            run.absent = false;
        }
        if (isAwaited(run)) {
            run.settledAtMs = nowMs;
        }
        adoptRun(next, run);
    }
    next.unansweredOrder = former.unansweredOrder;
    next.trial = carried.find(run => needsTrial(run.task));
    for (const suspect of undecided) {
        next.undecided.set(runKey(suspect.task.name, suspect.run), suspect);
    }
    return next;
};
