/** Runs that a look does not list although their worker was to have them: each is gone, or may still come. */

import type { Clock, Log, Meter } from "../../types/ports.js";
import { endPatience } from "./blockedSteps.js";
import type { CrashedRun } from "./crashes.js";
import { incarnationOf } from "./incarnations.js";
import { jobOf, type ShardJob, type ShardRun } from "./jobBook.js";
import { mayArrive } from "./unansweredStart.js";
import { dropRun, setAbsent, type ShardWorker } from "./workerTable.js";

/** What the review of missing runs needs. */
export interface MissingRunsOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    /** The job changed and has to be made durable. */
    readonly onChange: (job: ShardJob) => void;
    /** A former owner's run is not there; its order may still be under way. */
    readonly onFormerGone: (worker: ShardWorker, run: ShardRun) => void;
    /** The run was let go of, and nobody knows whether a worker crashed by it. */
    readonly onPossibleCrash: (worker: ShardWorker, run: ShardRun) => void;
    /** The start of the run was lost; it surely does not and will not run there. */
    readonly onStartLost: (run: ShardRun) => void;
    /** The worker answers, and left the start of a run that may still be carried out there without an answer. */
    readonly onAbsent: (worker: ShardWorker, run: ShardRun) => void;
}

/** Reviews what looks do not list. */
export interface MissingRuns {
    /** Lets go of the runs that a look, sent at this local time, proves gone; gives those of them that may have crashed an earlier incarnation. */
    review(worker: ShardWorker, listed: ReadonlySet<string>, sentAtMs: number): readonly CrashedRun[];
}

const wasStartLost = ({ sentAtMs, shown, startedAtMs }: ShardRun): boolean =>
    sentAtMs !== undefined && !shown && startedAtMs === undefined;

/**
 * Makes the review of one owner.
 *
 * @example
 * const missing = createMissingRuns({ clock, log, meter, onChange, onFormerGone, onPossibleCrash, onStartLost, onAbsent });
 * missing.review(worker, new Set(), sentAtMs);
 */
export const createMissingRuns = (options: MissingRunsOptions): MissingRuns => {
    const { clock, log, meter, onChange } = options;

    const holdAbsent = (worker: ShardWorker, run: ShardRun, nowMs: number): void => {
        setAbsent(worker, run, true);
        meter.count("startsAbsent");
        log.write("warn", "startMayArrive", {
            task: run.task.name,
            run: run.run,
            ...incarnationOf(worker),
            forMs: Math.round((run.mayArriveUntilMs ?? nowMs) - nowMs),
        });
        options.onAbsent(worker, run);
        if (wasStartLost(run)) {
            options.onStartLost(run);
        }
        onChange(jobOf(run));
    };

    const dropGone = (worker: ShardWorker, run: ShardRun): void => {
        meter.count("runsGone");
        log.write("info", "runGone", {
            task: run.task.name,
            run: run.run,
            ...incarnationOf(worker),
            phase: run.phase,
        });
        dropRun(worker, run);
        if (run.absent) {
            const nowMs = clock.monotonicMs();
            meter.record("startHeldMs", nowMs - (run.sentAtMs ?? nowMs));
            endPatience(run.task.step, nowMs);
        }
        if (run.mayHaveCrashed) {
            options.onPossibleCrash(worker, run);
        }
        if (run.sentAtMs === undefined && !run.shown) {
            options.onFormerGone(worker, run);
        }
        if (!run.absent && wasStartLost(run)) {
            options.onStartLost(run);
        }
        onChange(jobOf(run));
    };

    const reviewRun = (worker: ShardWorker, run: ShardRun, nowMs: number): void => {
        // A worker with a new ID for each incarnation refuses what names another one.
        if (worker.bornAtMs === undefined || !mayArrive(run, nowMs)) {
            dropGone(worker, run);
            return;
        }
        if (!run.absent) {
            holdAbsent(worker, run, nowMs);
        }
    };

    return {
        review: (worker, listed, sentAtMs) => {
            const crashed: CrashedRun[] = [];
            const nowMs = clock.monotonicMs();
            for (const [key, run] of [...worker.runs]) {
                if (run.settledAtMs === undefined || run.settledAtMs >= sentAtMs || listed.has(key)) {
                    continue;
                }
                reviewRun(worker, run, nowMs);
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
