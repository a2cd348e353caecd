/** What a look at a worker brings: ends, runs that nobody knew, runs that are gone, and tasks to pace. */

import { type EndedRun, type LookResult, type RunningRun } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import { endPatience } from "./blockedSteps.js";
import type { CorrelatedCrashes } from "./correlatedCrashes.js";
import { countCrash, countPossibleCrash, type CrashedRun, crashedRuns, showSound } from "./crashes.js";
import { incarnationOf, isOtherIncarnation } from "./incarnations.js";
import {
    applyEnd,
    findTask,
    hasEnded,
    newRun,
    runPhases,
    type ShardJob,
    type ShardRun,
    type ShardTask,
} from "./jobBook.js";
import { createMissingRuns, type MissingRunsOptions } from "./missingRuns.js";
import { noteStartAnswered } from "./startBreaker.js";
import { adoptRun, dropRun, hasLeft, runKey, setAbsent, type ShardWorker } from "./workerTable.js";

/** What the watch needs. */
export interface WorkerWatchOptions extends Pick<MissingRunsOptions, "onFormerGone" | "onStartLost" | "onAbsent"> {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly jobOf: (jobId: string) => ShardJob | undefined;
    /** The job changed and has to be made durable. */
    readonly onChange: (job: ShardJob) => void;
    /** Workers that fell at a moment without a task of the job. */
    readonly othersAt: CorrelatedCrashes["othersAt"];
    readonly stop: (worker: ShardWorker, run: ShardRun) => void;
    /** The run makes no progress; it is to run elsewhere. */
    readonly onStuck: (worker: ShardWorker, run: ShardRun) => void;
    readonly stopUnknown: (worker: ShardWorker, taskName: string, run: number) => void;
}

/** Takes looks into the book. */
export interface WorkerWatch {
    /** Gives the highest end that was taken in. */
    take(worker: ShardWorker, look: LookResult & { readonly outcome: "done"; }, sentAtMs: number): number;
    /** The worker's incarnation is over, or the leases of these runs are: they run there no more. Gives what may have crashed it. */
    loseRuns(worker: ShardWorker, reason: string, runs?: readonly ShardRun[]): readonly CrashedRun[];
    /** The worker, or the incarnation before it at its address, has surely crashed with these runs. */
    countCrashes(workerId: string, runs: readonly CrashedRun[]): void;
}

/** Failures in a row, from at least this many jobs, after which a worker rests. */
const failuresToRest = 3;
const jobsToRest = 2;
/** A run that uses no processor for this long is stuck; a resumed one takes up to 0.6 s to be restored. */
const stuckMs = 1_500;
/**
 * How long it rests; disruptions of workers last some 4 to 7 s. A task may stand for less than that, and the failures may be the
 * tasks' own fault, so that a step which has waited for workers at rest passes it.
 */
const restMs = 4_000;

/**
 * Makes the watch.
 *
 * @example
 * const watch = createWorkerWatch({ clock, log, meter, jobOf, onChange, stop, stopUnknown });
 */
export const createWorkerWatch = (options: WorkerWatchOptions): WorkerWatch => {
    const { clock, log, meter, jobOf, onChange } = options;

    const notePossibleCrash = (worker: ShardWorker, run: ShardRun): void => {
        const { task } = run;
        if (hasLeft(worker) || !countPossibleCrash(run, clock.monotonicMs())) {
            return;
        }
        meter.count("crashesPossible");
        log.write("warn", "taskMayHaveCrashed", {
            task: task.name,
            run: run.run,
            ...incarnationOf(worker),
            crashes: task.crashes,
            crashesExcused: task.crashesExcused,
            crashesUnconfirmed: task.crashesUnconfirmed,
            possibleCrashes: task.possibleCrashes,
        });
        onChange(task.step.occurrence.job);
    };
    const missingRuns = createMissingRuns({ ...options, onPossibleCrash: notePossibleCrash });

    const judgeWorker = (
        worker: ShardWorker,
        { jobId, how, sentAtMs }: { readonly jobId: string; readonly how: EndedRun["how"]; readonly sentAtMs: number; },
    ): void => {
        if (how === "done") {
            worker.soundSinceMs = Math.max(worker.soundSinceMs, sentAtMs);
        }
        // What ends well but began before the failures did tells nothing of the worker as it is now.
        if (how === "done" && (worker.failuresInARow === 0 || sentAtMs >= worker.streakBeganAtMs)) {
            worker.failuresInARow = 0;
            worker.failedJobs.clear();
        }
        if (how !== "failed") {
            return;
        }
        if (worker.failuresInARow === 0) {
            worker.streakBeganAtMs = clock.monotonicMs();
        }
        worker.failuresInARow += 1;
        worker.failedJobs.add(jobId);
        // Runs from before a rest do not renew it, since it would have no bound.
        if (
            worker.failuresInARow >= failuresToRest && worker.failedJobs.size >= jobsToRest
            && sentAtMs >= worker.restBeganAtMs
        ) {
            worker.restBeganAtMs = clock.monotonicMs();
            worker.restsUntilMs = worker.restBeganAtMs + restMs;
            log.write("warn", "workerRests", {
                ...incarnationOf(worker),
                failuresInARow: worker.failuresInARow,
                restMs,
            });
        }
    };

    const stopOthers = (task: ShardTask): void => {
        const runs = task.step.spec.gang ? [] : [...task.runs];
        for (const run of runs) {
            const worker = workersById.get(run.workerId);
            if (worker !== undefined) {
                options.stop(worker, run);
            }
        }
    };
    const workersById = new Map<string, ShardWorker>();

    const takeEnd = (worker: ShardWorker, end: EndedRun): void => {
        const run = worker.runs.get(runKey(end.taskName, end.run));
        const task = run?.task ?? findTask(jobOf, end.taskName);
        log.write("info", "runEnded", {
            task: end.taskName,
            run: end.run,
            ...incarnationOf(worker),
            how: end.how,
            known: run !== undefined,
        });
        if (run !== undefined) {
            dropRun(worker, run);
            worker.undecided.delete(runKey(end.taskName, end.run));
        }
        if (task === undefined) {
            return;
        }
        const { job } = task.step.occurrence;
        judgeWorker(worker, {
            jobId: job.submission.jobId,
            how: end.how,
            sentAtMs: run?.sentAtMs ?? -Infinity,
        });
        if (end.how === "failed") {
            // Any member that fails ends its whole gang.
            for (const each of task.step.spec.gang ? task.step.tasks : [task]) {
                each.failedOn.set(worker.workerId, clock.monotonicMs());
            }
        }
        // An end that was counted before, by a former owner or before the lease ran out, counts only as done.
        if (run !== undefined || end.how === "done") {
            meter.count(`ends.${end.how}`);
            applyEnd(task, end.run, end.how, end.checkpoint, clock.monotonicMs());
        }
        if (task.done) {
            stopOthers(task);
        }
        onChange(job);
    };

    const adopt = (worker: ShardWorker, task: ShardTask, row: RunningRun): void => {
        const nowMs = clock.monotonicMs();
        const run = newRun(task, worker.workerId, row.run, {
            address: worker.entry.address,
            bornAtMs: worker.bornAtMs,
            phase: runPhases.running,
            settledAtMs: nowMs,
            shown: true,
            startedAtMs: nowMs,
            percent: row.percent,
            figure: row.figure,
        });
        const wanted = !task.done && task.runs.length === 0 && row.run >= task.lastRun
            && !hasEnded(task.step.occurrence.job);
        task.lastRun = Math.max(task.lastRun, row.run);
        task.runs.push(run);
        adoptRun(worker, run);
        log.write("info", wanted ? "runAdopted" : "runUnwanted", {
            task: task.name,
            run: row.run,
            ...incarnationOf(worker),
        });
        onChange(task.step.occurrence.job);
        if (!wanted) {
            options.stop(worker, run);
        }
    };

    /** Gangs wait for their members, and tasks that fill or serve may rightly be idle. */
    const judgeProgress = (worker: ShardWorker, run: ShardRun, figure: number): void => {
        const { spec } = run.task.step;
        if (figure > 0 || spec.gang || spec.fills || spec.longRunning || run.phase !== runPhases.running) {
            run.idleSinceMs = undefined;
            return;
        }
        const nowMs = clock.monotonicMs();
        run.idleSinceMs ??= nowMs;
        if (nowMs - run.idleSinceMs >= stuckMs) {
            log.write("warn", "runStuck", { task: run.task.name, run: run.run, ...incarnationOf(worker) });
            options.onStuck(worker, run);
        }
    };

    const takeRunning = (worker: ShardWorker, row: RunningRun): void => {
        const run = worker.runs.get(runKey(row.taskName, row.run));
        if (run === undefined) {
            const task = findTask(jobOf, row.taskName);
            if (task === undefined) {
                options.stopUnknown(worker, row.taskName, row.run);
                return;
            }
            adopt(worker, task, row);
            return;
        }
        run.shown = true;
        setAbsent(worker, run, false);
        run.mayHaveCrashed = false;
        run.mayArriveUntilMs = undefined;
        worker.undecided.delete(runKey(row.taskName, row.run));
        run.percent = row.percent;
        run.figure = row.figure;
        judgeProgress(worker, run, row.figure);
        run.startedAtMs ??= clock.monotonicMs();
        if (run.phase === runPhases.starting || run.phase === runPhases.planned) {
            run.phase = runPhases.running;
            run.settledAtMs = clock.monotonicMs();
            // Only the answer was late or lost, as from a worker that is slow.
            noteStartAnswered(worker);
        }
        if (row.checkpoint !== "") {
            run.task.checkpoint = row.checkpoint;
        }
        const { job } = run.task.step.occurrence;
        if (!job.started) {
            // A former owner started it, whose rows need not say so.
            job.started = true;
            onChange(job);
        }
        if (showSound(run, clock.monotonicMs())) {
            log.write("info", "taskSound", { task: run.task.name, run: run.run, ...incarnationOf(worker) });
            onChange(job);
        }
        if (hasEnded(job) || (run.task.done && run.phase !== runPhases.stopping)) {
            options.stop(worker, run);
        }
    };

    const countCrashes: WorkerWatch["countCrashes"] = (workerId, runs) => {
        if (runs.length > 0) {
            meter.count("workersCrashed");
        }
        for (const crashed of runs) {
            const { task } = crashed;
            const { job } = task.step.occurrence;
            const others = options.othersAt(crashed.goneAtMs, job);
            if (!countCrash(crashed, { others, nowMs: clock.monotonicMs() })) {
                continue;
            }
            log.write("warn", "taskCrashed", {
                task: task.name,
                run: crashed.run,
                workerId,
                alone: crashed.alone,
                confirmed: crashed.confirmed,
                others,
                crashes: task.crashes,
                crashesExcused: task.crashesExcused,
                crashesUnconfirmed: task.crashesUnconfirmed,
            });
            onChange(job);
        }
    };

    /** Runs of former owners that were for an incarnation before this one may have crashed that one, unless this one has them. */
    const suspectFormer = (worker: ShardWorker): void => {
        if (hasLeft(worker)) {
            return;
        }
        for (const run of worker.runs.values()) {
            run.mayHaveCrashed ||= run.absent && isOtherIncarnation(run.bornAtMs, worker.bornAtMs);
        }
        for (const suspect of crashedRuns(worker, clock.monotonicMs())) {
            const key = runKey(suspect.task.name, suspect.run);
            const run = worker.runs.get(key);
            if (run?.sentAtMs === undefined && isOtherIncarnation(run?.bornAtMs, worker.bornAtMs)) {
                worker.undecided.set(key, suspect);
            }
        }
    };

    return {
        take: (worker, look, sentAtMs) => {
            workersById.set(worker.workerId, worker);
            if (!worker.certain) {
                suspectFormer(worker);
            }
            let newest = worker.acknowledgedEnd;
            const listed = new Set<string>();
            for (const end of look.ended) {
                listed.add(runKey(end.taskName, end.run));
                newest = Math.max(newest, end.endNumber);
                if (end.endNumber > worker.takenEnd) {
                    worker.takenEnd = end.endNumber;
                    takeEnd(worker, end);
                }
                else {
                    meter.count("endsListedAgain");
                }
            }
            for (const row of look.running) {
                listed.add(runKey(row.taskName, row.run));
                takeRunning(worker, row);
            }
            countCrashes(worker.workerId, missingRuns.review(worker, listed, sentAtMs));
            worker.certain = true;
            return newest;
        },
        countCrashes,
        loseRuns: (worker, reason, runs = [...worker.runs.values()]) => {
            const lost = new Set(runs);
            const crashed = crashedRuns(worker, clock.monotonicMs()).filter(({ task, run }) =>
                task.runs.some(each => each.run === run && lost.has(each))
            );
            const nowMs = clock.monotonicMs();
            for (const run of runs) {
                const { job } = run.task.step.occurrence;
                meter.count(`runsLost.${reason}`);
                log.write("info", "runLost", {
                    task: run.task.name,
                    run: run.run,
                    ...incarnationOf(worker),
                    reason,
                    phase: run.phase,
                    sentMsAgo: run.sentAtMs === undefined ? undefined : Math.round(nowMs - run.sentAtMs),
                    heardMsAgo: Math.round(nowMs - worker.answeredAtMs),
                    otherJobs: runs.filter(other => other.task.step.occurrence.job !== job).length,
                });
                dropRun(worker, run);
                if (run.absent) {
                    endPatience(run.task.step, nowMs);
                }
                if (run.absent || run.mayHaveCrashed) {
                    notePossibleCrash(worker, run);
                }
                onChange(run.task.step.occurrence.job);
            }
            return crashed;
        },
    };
};
