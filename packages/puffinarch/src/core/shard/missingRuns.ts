/**
 * Handles runs that a look does not list although their worker should have them: a run is gone, or its start may still be
 * carried out.
 */

import type { Clock, Log, Meter } from "../../types/ports.js";
import { type AbsenceStep, absenceSteps, type AbsenceTimes, goneByMs, listedByMs, nextAbsenceStep } from "./absence.js";
import { markBlockedLong } from "./blockedSteps.js";
import type { CrashedRun } from "./crashes.js";
import { jobOf, type ShardJob, type ShardRun } from "./jobModel.js";
import { mayArrive } from "./unansweredStart.js";
import { dropRun, logFieldsOf, setAbsent, type ShardWorker } from "./workerTable.js";

/** What `createMissingRuns` needs. */
export interface MissingRunsOptions extends AbsenceTimes {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    /** Called when a job has changed and has to be made durable. */
    readonly onChange: (job: ShardJob) => void;
    /** Called when a former owner's run is gone; its start may still be in flight. */
    readonly onFormerGone: (worker: ShardWorker, run: ShardRun) => void;
    /** Called when a run is dropped that may have crashed an incarnation of its worker that this owner did not observe. */
    readonly onPossibleCrash: (worker: ShardWorker, run: ShardRun) => void;
    /**
     * Called when the worker does not have a run, so that the other members of its gang would wait for it. An absent run may still be
     * carried out later.
     */
    readonly onMemberLost: (run: ShardRun) => void;
    /** Called when a worker answers looks but left a start unanswered, and the start may still be carried out there. */
    readonly onAbsent: (worker: ShardWorker, run: ShardRun) => void;
    /** Called for a run at which the worker has to be looked again after `absenceProvenAfterMs`. */
    readonly lookAgain: (worker: ShardWorker, run: ShardRun) => void;
    /** Called for a run that its worker must refuse before a look can prove that the run is gone. */
    readonly refuse: (worker: ShardWorker, run: ShardRun) => void;
    /** Stops a run that has begun. */
    readonly stop: (worker: ShardWorker, run: ShardRun) => void;
    /** Age of the platform's list of workers in ms, for the log. */
    readonly listAgeMs?: (() => number) | undefined;
    /** Token and local time of this owner's claim, for the log. */
    readonly fencingToken: number;
    readonly claimedAtMs: number;
}

/** What the log needs besides the worker and the run. */
export interface DropContext extends Pick<MissingRunsOptions, "listAgeMs" | "claimedAtMs" | "fencingToken"> {
    readonly nowMs: number;
}

const agesOf = (times: Readonly<Record<string, number | undefined>>, nowMs: number): Record<string, number> => {
    const ages: Record<string, number> = {};
    for (const [name, atMs] of Object.entries(times)) {
        if (atMs !== undefined && Number.isFinite(atMs)) {
            ages[name] = Math.round(nowMs - atMs);
        }
    }
    return ages;
};

/**
 * Returns what the log says about a run that is dropped without an end. Of the run: whether a look has listed it, and how long ago its
 * start was sent, its worker confirmed it, and its worker answered a stop of it. Of the worker: whether it is listed, how old the list is,
 * how long leases there may still last, and how long ago it answered a look. Of the owner: its claim.
 *
 * @example
 * log.write("info", "runGone", dropContextOf(worker, run, { nowMs: clock.monotonicMs(), listAgeMs, claimedAtMs, fencingToken }));
 */
export const dropContextOf = (
    { unlistedAtMs, leaseHorizonMs, answeredAtMs, runsKnown }: ShardWorker,
    { wasListed, sentAtMs, startedAtMs, stopAnsweredAtMs }: ShardRun,
    { nowMs, listAgeMs = () => Infinity, claimedAtMs, fencingToken }: DropContext,
): Readonly<Record<string, boolean | number>> => {
    const ageMs = listAgeMs();
    return {
        wasListed,
        ...agesOf({
            sentMsAgo: sentAtMs,
            startedMsAgo: startedAtMs,
            stopAnsweredMsAgo: stopAnsweredAtMs,
            heardMsAgo: runsKnown ? answeredAtMs : undefined,
            claimedMsAgo: claimedAtMs,
        }, nowMs),
        listed: unlistedAtMs === undefined,
        ...(Number.isFinite(ageMs) ? { listAgeMs: Math.round(ageMs) } : {}),
        leaseLeftMs: Math.round(leaseHorizonMs - nowMs),
        fencingToken,
    };
};

/** Reviews runs that looks do not list. */
export interface MissingRuns {
    /**
     * Drops the runs that a look, sent at this local time, proves to be gone. Returns those that may have crashed an earlier
     * incarnation.
     */
    review(worker: ShardWorker, listed: ReadonlySet<string>, sentAtMs: number): readonly CrashedRun[];
}

/**
 * Creates the review of one owner.
 *
 * @example
 * const missing = createMissingRuns({ ...options, stopMs: 900, claimedAtMs });
 * missing.review(worker, new Set(), sentAtMs);
 */
export const createMissingRuns = (options: MissingRunsOptions): MissingRuns => {
    const { clock, log, meter, onChange } = options;

    const markAbsent = (worker: ShardWorker, run: ShardRun): void => {
        if (run.absent) {
            return;
        }
        const nowMs = clock.monotonicMs();
        setAbsent(worker, run, true);
        meter.count("startsAbsent");
        log.write("warn", "startMayArrive", {
            ...logFieldsOf(worker, run),
            forMs: Math.round((run.mayArriveUntilMs ?? nowMs) - nowMs),
        });
        options.onAbsent(worker, run);
        options.onMemberLost(run);
        onChange(jobOf(run));
    };

    const dropGoneRun = (worker: ShardWorker, run: ShardRun): void => {
        const nowMs = clock.monotonicMs();
        meter.count("runsGone");
        log.write("info", "runGone", {
            ...logFieldsOf(worker, run),
            phase: run.phase,
            ...dropContextOf(worker, run, { ...options, nowMs }),
        });
        dropRun(worker, run);
        if (run.absent) {
            meter.record("startHeldMs", nowMs - (run.sentAtMs ?? nowMs));
            markBlockedLong(run.task.step, nowMs);
        }
        if (run.mayHaveCrashed) {
            options.onPossibleCrash(worker, run);
        }
        if (run.sentAtMs === undefined && !run.wasListed) {
            options.onFormerGone(worker, run);
        }
        options.onMemberLost(run);
        onChange(jobOf(run));
    };

    const waitUntilListed = (worker: ShardWorker, run: ShardRun): void => {
        const nowMs = clock.monotonicMs();
        run.missingSinceMs = nowMs;
        // The stop of a gang covers this member too, and would leave its absence unproven until the stop is answered.
        options.onMemberLost(run);
        run.absenceProvenAfterMs = listedByMs(run, nowMs, options);
        options.lookAgain(worker, run);
    };

    const refuse = (worker: ShardWorker, run: ShardRun): void => {
        run.refused = true;
        meter.count("runsRefused");
        log.write("info", "runRefused", {
            ...logFieldsOf(worker, run),
            phase: run.phase,
        });
        options.refuse(worker, run);
    };

    const stopMissing = (worker: ShardWorker, run: ShardRun): void => {
        const nowMs = clock.monotonicMs();
        run.missingSinceMs = nowMs;
        meter.count("runsMissing");
        log.write("warn", "runMissing", {
            ...logFieldsOf(worker, run),
            phase: run.phase,
            ...dropContextOf(worker, run, { ...options, nowMs }),
        });
        options.onMemberLost(run);
        options.stop(worker, run);
        run.absenceProvenAfterMs = goneByMs(nowMs, options);
        options.lookAgain(worker, run);
    };

    const handlers: Readonly<Record<AbsenceStep, (worker: ShardWorker, run: ShardRun) => void>> = {
        wait: waitUntilListed,
        refuse,
        stop: stopMissing,
        setAside: markAbsent,
        drop: dropGoneRun,
    };
    /** Steps after which the worker's incarnation surely does not have the run. */
    const settledSteps: ReadonlySet<AbsenceStep> = new Set([absenceSteps.setAside, absenceSteps.drop]);

    /** Handles a run that a look does not list; returns whether the look proves that the worker's incarnation does not have it. */
    const reviewRun = (worker: ShardWorker, run: ShardRun, nowMs: number): boolean => {
        // Workers that get a new id for each incarnation reject orders that name another one, so their missing runs are gone.
        const step = nextAbsenceStep(run, worker.bornAtMs !== undefined && mayArrive(run, nowMs));
        handlers[step](worker, run);
        return settledSteps.has(step);
    };

    return {
        review: (worker, listed, sentAtMs) => {
            const crashed: CrashedRun[] = [];
            const nowMs = clock.monotonicMs();
            for (const [key, run] of [...worker.runs]) {
                if (run.absenceProvenAfterMs === undefined || run.absenceProvenAfterMs >= sentAtMs || listed.has(key)) {
                    continue;
                }
                if (!reviewRun(worker, run, nowMs)) {
                    continue;
                }
                const suspect = worker.undecided.get(key);
                if (suspect !== undefined) {
                    worker.undecided.delete(key);
                    crashed.push(suspect);
                }
            }
            return crashed;
        },
    };
};
