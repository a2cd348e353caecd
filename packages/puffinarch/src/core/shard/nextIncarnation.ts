/**
 * What follows when a worker answers as another incarnation under its id: which runs of the incarnation before are surely over with it, which of
 * them the next incarnation may have, and what may have crashed it.
 */

import type { WorkerEntry } from "../../types/work.js";
import { type CrashedRun, crashedRuns, needsTrial } from "./crashes.js";
import type { DelayedStarts } from "./delayedStarts.js";
import { isOtherIncarnation } from "./incarnations.js";
import { runPhases, type ShardRun } from "./jobBook.js";
import { adoptRun, newWorker, releaseRun, runKey, type ShardWorker } from "./workerTable.js";

/** What is left of an incarnation that is over. */
export interface FormerIncarnation {
    /** Runs that the next incarnation may have; all others are over. */
    readonly carried: readonly ShardRun[];
    /** What may have crashed it, of the runs that are over. */
    readonly suspects: readonly CrashedRun[];
    /** The same of the runs that the next incarnation may have. */
    readonly undecided: readonly CrashedRun[];
}

const isUnderWay = ({ task, run, workerId }: ShardRun, delayedStarts: DelayedStarts): boolean =>
    delayedStarts.has(workerId, { taskName: task.name, run });

/** It was answered by one of the two incarnations and neither has listed it, or an order for it may still be under way. */
const mayBeNext = (run: ShardRun, delayedStarts: DelayedStarts): boolean =>
    run.phase !== runPhases.planned
    && (!run.shown || run.phase === runPhases.starting || isUnderWay(run, delayedStarts));

/** Its task waits until its order cannot come any more, whichever incarnation has the worker's ID by then. */
const isAwaited = ({ phase, mayArriveUntilMs }: ShardRun): boolean =>
    phase === runPhases.starting && mayArriveUntilMs !== undefined;

/**
 * Tells whether the next look at the next incarnation settles a run that it may have; any other run has to be stopped there, so
 * that an order for it is refused when it comes.
 *
 * @example
 * if (!isSettledByLook(run, delayedStarts)) { link.stop(run); }
 */
export const isSettledByLook = (run: ShardRun, delayedStarts: DelayedStarts): boolean =>
    isAwaited(run) || run.phase === runPhases.running && !isUnderWay(run, delayedStarts);

/**
 * Adds what is undecided of the incarnation before to what may have crashed a worker; such runs do not count for both incarnations.
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
 * Takes from an incarnation that is over the runs that the next one may have.
 *
 * @example
 * const { carried } = leaveIncarnation(worker, createDelayedStarts(clock), clock.monotonicMs());
 */
export const leaveIncarnation = (
    former: ShardWorker,
    delayedStarts: DelayedStarts,
    nowMs: number,
): FormerIncarnation => {
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

/** The next incarnation as its first answer tells of it. */
export interface NextIncarnation {
    readonly bornAtMs: number | undefined;
    /** The platform's entry for the worker; undefined where it is not listed. */
    readonly listed: WorkerEntry | undefined;
    /** Local time by which every lease is over that orders for the incarnation before may have brought it. */
    readonly horizonMs: number;
    /** Local time. */
    readonly nowMs: number;
}

/**
 * Makes the next incarnation of a worker, with the runs that it may have.
 *
 * @example
 * const next = enterIncarnation(former, leaveIncarnation(former, delayedStarts, nowMs), { bornAtMs, listed, horizonMs, nowMs });
 */
export const enterIncarnation = (
    former: ShardWorker,
    { carried, undecided }: FormerIncarnation,
    { bornAtMs, listed, horizonMs, nowMs }: NextIncarnation,
): ShardWorker => {
    const isListed = listed !== undefined && !isOtherIncarnation(listed.bornAtMs, bornAtMs);
    const next = newWorker(isListed ? listed : former.entry, horizonMs);
    next.bornAtMs = bornAtMs;
    // It may be of another kind and size; nothing is started there before its own entry says so.
    next.unlistedAtMs = isListed ? undefined : -Infinity;
    for (const run of carried) {
        if (run.absent) {
            // The incarnation before refused it, so that it did not crash under it; one between the two may have.
            run.bornAtMs = bornAtMs;
            run.absent = false;
            run.mayHaveCrashed = true;
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
