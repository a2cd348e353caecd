/**
 * Moves a worker's state to its next incarnation, once another incarnation answers under its id: which runs of the former
 * incarnation are over, which the next one may have, and which may have crashed the former one.
 */

import type { WorkerEntry } from "../../types/work.js";
import { type CrashedRun, crashedRuns, needsTrial } from "./crashes.js";
import type { DelayedStarts } from "./delayedStarts.js";
import { isOtherIncarnation } from "./incarnations.js";
import { runPhases, type ShardRun } from "./jobModel.js";
import { adoptRun, newWorker, releaseRun, runKey, type ShardWorker } from "./workerTable.js";

/** What an ended incarnation leaves behind. */
export interface FormerIncarnation {
    /** Runs that the next incarnation may have; all others are over. */
    readonly carried: readonly ShardRun[];
    /** Runs that are over and may have crashed it. */
    readonly suspects: readonly CrashedRun[];
    /**
     * Runs that the next incarnation may have and that may have crashed the former one; counted only once it turns out not to
     * have them.
     */
    readonly undecided: readonly CrashedRun[];
}

const mayBeInFlight = ({ task, run, workerId }: ShardRun, delayedStarts: DelayedStarts): boolean =>
    delayedStarts.has(workerId, { taskName: task.name, run });

/**
 * Whether the next incarnation may have a run, or get it yet: no look has listed the run, its start has no answer, or an
 * order for it may be in flight.
 */
const mayRunOnNext = (run: ShardRun, delayedStarts: DelayedStarts): boolean =>
    run.phase !== runPhases.planned
    && (!run.wasListed || run.phase === runPhases.starting || mayBeInFlight(run, delayedStarts));

/** Whether a run's task waits until its unanswered start can no longer be carried out, by whichever incarnation has the id then. */
const awaitsLateStart = ({ phase, mayArriveUntilMs }: ShardRun): boolean =>
    phase === runPhases.starting && mayArriveUntilMs !== undefined;

/**
 * Tells whether the next look at the next incarnation settles a run that it may have. Any other run has to be stopped there,
 * so that the worker rejects an order for it that arrives late.
 *
 * @example
 * if (!isSettledByLook(run, delayedStarts)) { link.stop(run); }
 */
export const isSettledByLook = (run: ShardRun, delayedStarts: DelayedStarts): boolean =>
    awaitsLateStart(run) || run.phase === runPhases.running && !mayBeInFlight(run, delayedStarts);

/**
 * Adds a worker's undecided suspects, from its former incarnation, to the runs that may have crashed it. A run that is among
 * both counts once.
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
 * Releases the runs that the next incarnation may have from an ended one, and separates the undecided suspects from those that
 * may be counted now.
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
    const carried = new Map([...former.runs].filter(([, run]) => mayRunOnNext(run, delayedStarts)));
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

/** The next incarnation, as known from its first answer. */
export interface NextIncarnation {
    readonly bornAtMs: number | undefined;
    /** The platform's entry for the worker; undefined where it is not listed. */
    readonly listed: WorkerEntry | undefined;
    /** Local time by which every lease is over that it may have been granted by late orders for the former incarnation. */
    readonly leaseHorizonMs: number;
    /** Local time. */
    readonly nowMs: number;
}

/**
 * Creates the state of a worker's next incarnation, with the runs that it may have.
 *
 * @example
 * const next = enterIncarnation(former, leaveIncarnation(former, delayedStarts, nowMs), { bornAtMs, listed, leaseHorizonMs, nowMs });
 */
export const enterIncarnation = (
    former: ShardWorker,
    { carried, undecided }: FormerIncarnation,
    { bornAtMs, listed, leaseHorizonMs, nowMs }: NextIncarnation,
): ShardWorker => {
    const isListed = listed !== undefined && !isOtherIncarnation(listed.bornAtMs, bornAtMs);
    const next = newWorker(isListed ? listed : former.entry, leaseHorizonMs);
    next.bornAtMs = bornAtMs;
    // It may have another service or capacity, so nothing is started there until its own entry is listed.
    next.unlistedAtMs = isListed ? undefined : -Infinity;
    for (const run of carried) {
        run.refused = false;
        run.missingSinceMs = undefined;
        run.wasListed = false;
        run.startedAtMs = undefined;
        run.stopAnsweredAtMs = undefined;
        if (run.absent) {
            // The former incarnation rejected the run and so did not crash under it, but an unseen incarnation in between may have.
            run.bornAtMs = bornAtMs;
            run.absent = false;
            run.mayHaveCrashed = true;
        }
        if (awaitsLateStart(run)) {
            run.absenceProvenAfterMs = nowMs;
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
