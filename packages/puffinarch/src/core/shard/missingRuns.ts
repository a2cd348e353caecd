/**
 * Handles runs that a look does not list although their worker should have them: a run is gone, or its start may still be
 * carried out.
 */

import type { Clock, Log, Meter } from "../../types/ports.js";
import { markBlockedLong } from "./blockedSteps.js";
import type { CrashedRun } from "./crashes.js";
import { incarnationOf } from "./incarnations.js";
import { jobOf, runPhases, type ShardJob, type ShardRun } from "./jobModel.js";
import { mayArrive } from "./unansweredStart.js";
import { dropRun, setAbsent, type ShardWorker } from "./workerTable.js";

/** What `createMissingRuns` needs. */
export interface MissingRunsOptions {
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
    /** Called for a run that its worker must refuse before a look can prove that the run is gone. */
    readonly refuse: (worker: ShardWorker, run: ShardRun) => void;
    /** Age of the platform's list of workers in ms, for the log. */
    readonly listAgeMs?: (() => number) | undefined;
    /** This owner's claim, for the log. */
    readonly claim?: ClaimForLog | undefined;
}

/** What the log says of an owner's claim. */
export interface ClaimForLog {
    readonly fencingToken: number;
    /** Local time of the claim. */
    readonly claimedAtMs: number;
}

/** What the log needs besides the worker and the run. */
export interface DropContext extends Pick<MissingRunsOptions, "listAgeMs" | "claim"> {
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
 * log.write("info", "runGone", dropContextOf(worker, run, { nowMs: clock.monotonicMs(), listAgeMs, claim }));
 */
export const dropContextOf = (
    { unlistedAtMs, leaseHorizonMs, answeredAtMs, runsKnown }: ShardWorker,
    { wasListed, sentAtMs, startedAtMs, stopAnsweredAtMs }: ShardRun,
    { nowMs, listAgeMs = () => Infinity, claim }: DropContext,
): Readonly<Record<string, boolean | number>> => {
    const ageMs = listAgeMs();
    return {
        wasListed,
        ...agesOf({
            sentMsAgo: sentAtMs,
            startedMsAgo: startedAtMs,
            stopAnsweredMsAgo: stopAnsweredAtMs,
            heardMsAgo: runsKnown ? answeredAtMs : undefined,
            claimedMsAgo: claim?.claimedAtMs,
        }, nowMs),
        listed: unlistedAtMs === undefined,
        ...(Number.isFinite(ageMs) ? { listAgeMs: Math.round(ageMs) } : {}),
        leaseLeftMs: Math.round(leaseHorizonMs - nowMs),
        ...(claim === undefined ? {} : { fencingToken: claim.fencingToken }),
    };
};

/**
 * Whether a worker that does not list a run may begin it yet: it may have checked the token of the start before that of the look. Only
 * once it has refused the run, or has had time to begin it, does a look prove that the run is gone.
 */
const mayBeginYet = ({ phase, sentAtMs, wasListed, absent, refused }: ShardRun): boolean =>
    !wasListed && !absent && !refused
    && (phase === runPhases.starting || phase === runPhases.running && sentAtMs === undefined);

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
 * const missing = createMissingRuns({ clock, log, meter, onChange, onFormerGone, onPossibleCrash, onMemberLost, onAbsent, refuse });
 * missing.review(worker, new Set(), sentAtMs);
 */
export const createMissingRuns = (options: MissingRunsOptions): MissingRuns => {
    const { clock, log, meter, onChange } = options;

    const markAbsent = (worker: ShardWorker, run: ShardRun, nowMs: number): void => {
        setAbsent(worker, run, true);
        meter.count("startsAbsent");
        log.write("warn", "startMayArrive", {
            task: run.task.name,
            run: run.run,
            ...incarnationOf(worker),
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
            task: run.task.name,
            run: run.run,
            ...incarnationOf(worker),
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

    const refuse = (worker: ShardWorker, run: ShardRun): void => {
        run.refused = true;
        meter.count("runsRefused");
        log.write("info", "runRefused", {
            task: run.task.name,
            run: run.run,
            ...incarnationOf(worker),
            phase: run.phase,
        });
        options.onMemberLost(run);
        options.refuse(worker, run);
    };

    /** Handles a run that a look does not list; returns whether the look proves that the worker's incarnation does not have it. */
    const reviewRun = (worker: ShardWorker, run: ShardRun, nowMs: number): boolean => {
        // Workers that get a new id for each incarnation reject orders that name another one, so their missing runs are gone.
        if (worker.bornAtMs !== undefined && mayArrive(run, nowMs)) {
            if (!run.absent) {
                markAbsent(worker, run, nowMs);
            }
            return true;
        }
        if (mayBeginYet(run)) {
            refuse(worker, run);
            return false;
        }
        dropGoneRun(worker, run);
        return true;
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
