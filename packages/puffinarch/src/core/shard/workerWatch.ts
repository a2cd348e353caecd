/** Applies the answers to looks: ended runs, runs that this owner did not know, missing runs, and runs without progress. */

import { type EndedRun, type LookResult, type RunningRun } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import { parseTaskName } from "../../types/work.js";
import { markBlockedLong } from "./blockedSteps.js";
import type { CorrelatedCrashes } from "./correlatedCrashes.js";
import { clearCrashesIfSound, countCrash, countPossibleCrash, type CrashedRun, crashedRuns } from "./crashes.js";
import { incarnationOf, isOtherIncarnation } from "./incarnations.js";
import {
    applyRunEnd,
    findTask,
    hasEnded,
    newRun,
    recordCheckpoint,
    runPhases,
    type ShardJob,
    type ShardRun,
    type ShardTask,
} from "./jobModel.js";
import { createMissingRuns, dropContextOf, type MissingRunsOptions } from "./missingRuns.js";
import { recordStartAnswered } from "./startBreaker.js";
import { adoptRun, dropRun, isLeaving, logFieldsOf, runKey, setAbsent, type ShardWorker } from "./workerTable.js";

/** What `createWorkerWatch` needs. */
export interface WorkerWatchOptions extends
    Pick<
        MissingRunsOptions,
        | "stopMs"
        | "onFormerGone"
        | "onMemberLost"
        | "onAbsent"
        | "lookAgain"
        | "refuse"
        | "listAgeMs"
        | "claimedAtMs"
        | "fencingToken"
    >
{
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly jobOf: (jobId: string) => ShardJob | undefined;
    /** Whether a job has rows that this owner cannot read; none has where it is left out. */
    readonly isLeftOut?: ((jobId: string) => boolean) | undefined;
    /** Called when a job has changed and has to be made durable. */
    readonly onChange: (job: ShardJob) => void;
    /** Counts the workers that fell silent at a moment without having just started a task of the job. */
    readonly countOthersAt: CorrelatedCrashes["countOthersAt"];
    readonly stop: (worker: ShardWorker, run: ShardRun) => void;
    /** Called for a run that makes no progress and has to run elsewhere. */
    readonly onStuck: (worker: ShardWorker, run: ShardRun) => void;
    readonly stopUnknown: (worker: ShardWorker, taskName: string, run: number) => void;
    /** Called for a run of this owner that was listed as `done`, before it is removed from its worker. */
    readonly onDone?: ((worker: ShardWorker, run: ShardRun) => void) | undefined;
    /** Called for an end whose task is not found. */
    readonly onEndWithoutTask?: ((worker: ShardWorker, end: EndedRun) => void) | undefined;
}

/** Applies answers to looks to the jobs in memory. */
export interface WorkerWatch {
    /** Applies the answer to one look; returns the highest end number that may be acknowledged once all is durable. */
    applyLook(worker: ShardWorker, look: LookResult & { readonly outcome: "done"; }, sentAtMs: number): number;
    /**
     * Drops runs whose worker's incarnation, or whose leases, are over: all runs of the worker, or those given. Returns those
     * that may have crashed the worker.
     */
    loseRuns(worker: ShardWorker, reason: string, runs?: readonly ShardRun[]): readonly CrashedRun[];
    /** Counts a crash for each of the runs; the worker, or the former incarnation at its address, has surely crashed. */
    countCrashes(workerId: string, runs: readonly CrashedRun[]): void;
}

/** A worker rests after this many consecutive failures from at least this many jobs. */
const minFailuresToRest = 3;
const minFailedJobsToRest = 2;
/**
 * Most ends that a worker lists at once, the oldest first. An answer with as many may leave out later ones, and shows of no run that it is
 * gone.
 */
const maxListedEnds = 500;
/** A run that uses no processor for this long is stuck; restoring a resumed run takes up to 0.6 s. */
const stuckMs = 1_500;
/**
 * How long a worker rests; disruptions of workers last some 4 to 7 s. Tasks may have to start sooner, and the failures may be
 * their own fault, so that a step that has been blocked for long may use resting workers.
 */
const restMs = 4_000;

/** Returns what the log says about a task of which a run has ended that this owner does not hold as live. */
const stateForLog = ({ done, lastRun, runs }: ShardTask): Readonly<Record<string, boolean | number | string>> => ({
    taskDone: done,
    lastRun,
    liveRuns: runs.map(({ run, workerId, phase }) => `${run}@${workerId} ${phase}`).join(" "),
});

/**
 * Creates the watch of one shard owner.
 *
 * @example
 * const watch = createWorkerWatch({ clock, log, meter, jobOf, onChange, stop, stopUnknown });
 */
export const createWorkerWatch = (options: WorkerWatchOptions): WorkerWatch => {
    const { clock, log, meter, jobOf, onChange } = options;

    const recordPossibleCrash = (worker: ShardWorker, run: ShardRun): void => {
        const { task } = run;
        if (isLeaving(worker) || !countPossibleCrash(run, clock.monotonicMs())) {
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
    const missingRuns = createMissingRuns({ ...options, onPossibleCrash: recordPossibleCrash });

    const updateFailureStreak = (
        worker: ShardWorker,
        { jobId, how, sentAtMs }: { readonly jobId: string; readonly how: EndedRun["how"]; readonly sentAtMs: number; },
    ): void => {
        if (how === "done") {
            worker.lastCompletedSentAtMs = Math.max(worker.lastCompletedSentAtMs, sentAtMs);
        }
        // A run that was sent before the failures began does not show that the worker has recovered.
        if (how === "done" && (worker.failuresInARow === 0 || sentAtMs >= worker.failureStreakBeganAtMs)) {
            worker.failuresInARow = 0;
            worker.failedJobs.clear();
        }
        if (how !== "failed") {
            return;
        }
        if (worker.failuresInARow === 0) {
            worker.failureStreakBeganAtMs = clock.monotonicMs();
        }
        worker.failuresInARow += 1;
        worker.failedJobs.add(jobId);
        // A failed run that was sent before the rest does not extend it; otherwise a rest could go on without limit.
        if (
            worker.failuresInARow >= minFailuresToRest && worker.failedJobs.size >= minFailedJobsToRest
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

    const jobIdOf = ({ taskName }: EndedRun): string => parseTaskName(taskName)?.jobId ?? "";

    /**
     * The highest of these end numbers that may be acknowledged. An end of a job whose rows this owner cannot read is left to a successor
     * that can. Where the worker lists no more ends, all are acknowledged, or the ends of its other runs would never be listed.
     */
    const highestToAcknowledge = (ends: readonly EndedRun[]): number => {
        const numbers = ends.map(({ endNumber }) => endNumber);
        const left = ends.filter(end => options.isLeftOut?.(jobIdOf(end)) === true).map(({ endNumber }) => endNumber);
        if (left.length === 0) {
            return Math.max(0, ...numbers);
        }
        if (ends.length >= maxListedEnds) {
            meter.count("endsUnread", left.length);
            log.write("error", "endsUnread", { ends: left.length, jobs: new Set(ends.map(jobIdOf)).size });
            return Math.max(0, ...numbers);
        }
        const before = Math.min(...left);
        return Math.max(0, ...numbers.filter(number => number < before));
    };

    const applyEndedRun = (worker: ShardWorker, end: EndedRun): void => {
        const run = worker.runs.get(runKey(end.taskName, end.run));
        const task = run?.task ?? findTask(jobOf, end.taskName);
        log.write("info", "runEnded", {
            task: end.taskName,
            run: end.run,
            ...incarnationOf(worker),
            how: end.how,
            known: run !== undefined,
            ...(run === undefined && task !== undefined ? stateForLog(task) : {}),
        });
        if (run !== undefined) {
            if (end.how === "done") {
                options.onDone?.(worker, run);
            }
            dropRun(worker, run);
            worker.undecided.delete(runKey(end.taskName, end.run));
        }
        if (task === undefined) {
            // The occurrence was dropped from memory as done; its end may not be durable yet, and must be before this one is acknowledged.
            const known = jobOf(jobIdOf(end));
            if (known !== undefined) {
                onChange(known);
            }
            options.onEndWithoutTask?.(worker, end);
            return;
        }
        if (run === undefined && end.how === "done" && !task.done) {
            // It was dropped before, by this owner or a former one, and its task may have been started again meanwhile.
            meter.count("endsAfterDrop");
        }
        const { job } = task.step.occurrence;
        updateFailureStreak(worker, {
            jobId: job.submission.jobId,
            how: end.how,
            sentAtMs: run?.sentAtMs ?? -Infinity,
        });
        if (end.how === "failed") {
            // One failed member ends its whole gang.
            for (const each of task.step.spec.gang ? task.step.tasks : [task]) {
                each.failedOn.set(worker.workerId, clock.monotonicMs());
            }
        }
        // The end of an unknown run may have been counted already, by a former owner or as its lease ran out; it counts only if
        // it completed the task.
        if (run !== undefined || end.how === "done") {
            meter.count(`ends.${end.how}`);
            applyRunEnd(task, end.run, end.how, end.checkpoint, clock.monotonicMs());
        }
        if (task.done) {
            stopOthers(task);
        }
        onChange(job);
    };

    /** Adds a run that the worker lists and this owner did not know; a run that its task does not need is stopped. */
    const adopt = (worker: ShardWorker, task: ShardTask, row: RunningRun): void => {
        const nowMs = clock.monotonicMs();
        const run = newRun(task, worker.workerId, row.run, {
            address: worker.entry.address,
            bornAtMs: worker.bornAtMs,
            phase: runPhases.running,
            absenceProvenAfterMs: nowMs,
            wasListed: true,
            startedAtMs: nowMs,
            percent: row.percent,
            figure: row.figure,
        });
        const isNeeded = !task.done && task.runs.length === 0 && row.run >= task.lastRun
            && !hasEnded(task.step.occurrence.job);
        task.lastRun = Math.max(task.lastRun, row.run);
        task.runs.push(run);
        adoptRun(worker, run);
        log.write("info", isNeeded ? "runAdopted" : "runUnwanted", {
            task: task.name,
            run: row.run,
            ...incarnationOf(worker),
        });
        onChange(task.step.occurrence.job);
        if (!isNeeded) {
            options.stop(worker, run);
        }
    };

    /** Reports a run that uses no processor for too long. Gangs wait for their members, and tasks that fill or serve may be idle. */
    const detectStuckRun = (worker: ShardWorker, run: ShardRun, figure: number): void => {
        const { spec } = run.task.step;
        if (figure > 0 || spec.gang || spec.fills || spec.longRunning || run.phase !== runPhases.running) {
            run.idleSinceMs = undefined;
            return;
        }
        const nowMs = clock.monotonicMs();
        run.idleSinceMs ??= nowMs;
        if (nowMs - run.idleSinceMs >= stuckMs) {
            log.write("warn", "runStuck", logFieldsOf(worker, run));
            options.onStuck(worker, run);
        }
    };

    const applyRunningRun = (worker: ShardWorker, row: RunningRun): void => {
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
        run.wasListed = true;
        if (
            run.missingSinceMs !== undefined && run.phase === runPhases.stopping && run.stopAnsweredAtMs === undefined
        ) {
            run.absenceProvenAfterMs = undefined;
        }
        run.missingSinceMs = undefined;
        if (run.refused) {
            run.refused = false;
            meter.count("runsBegunLate");
            log.write("warn", "runBegunLate", logFieldsOf(worker, run));
        }
        setAbsent(worker, run, false);
        run.mayHaveCrashed = false;
        run.mayArriveUntilMs = undefined;
        worker.undecided.delete(runKey(row.taskName, row.run));
        run.percent = row.percent;
        run.figure = row.figure;
        detectStuckRun(worker, run, row.figure);
        run.startedAtMs ??= clock.monotonicMs();
        if (run.phase === runPhases.starting || run.phase === runPhases.planned) {
            run.phase = runPhases.running;
            run.absenceProvenAfterMs = clock.monotonicMs();
            // The start was carried out and only its answer was late or lost, as from a slow worker.
            recordStartAnswered(worker);
        }
        recordCheckpoint(run.task, row.run, row.checkpoint);
        const { job } = run.task.step.occurrence;
        if (!job.started) {
            // A former owner started the job, and its rows may not say so.
            job.started = true;
            onChange(job);
        }
        if (clearCrashesIfSound(run, clock.monotonicMs())) {
            log.write("info", "taskSound", logFieldsOf(worker, run));
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
            const others = options.countOthersAt(crashed.goneAtMs, job);
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

    /**
     * Records runs that former owners planned for an earlier incarnation: each may have crashed that incarnation, unless this
     * one has it.
     */
    const recordFormerSuspects = (worker: ShardWorker): void => {
        if (isLeaving(worker)) {
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
        applyLook: (worker, look, sentAtMs) => {
            workersById.set(worker.workerId, worker);
            if (!worker.runsKnown) {
                recordFormerSuspects(worker);
            }
            const listed = new Set<string>();
            // An end counts as applied once one with a higher number was, and a worker may list its ends in any order.
            const ended = [...look.ended].sort((left, right) => left.endNumber - right.endNumber);
            for (const end of ended) {
                listed.add(runKey(end.taskName, end.run));
                if (end.endNumber > worker.appliedEnd) {
                    worker.appliedEnd = end.endNumber;
                    applyEndedRun(worker, end);
                }
                else {
                    meter.count("endsListedAgain");
                }
            }
            for (const row of look.running) {
                listed.add(runKey(row.taskName, row.run));
                applyRunningRun(worker, row);
            }
            if (look.ended.length < maxListedEnds) {
                countCrashes(worker.workerId, missingRuns.review(worker, listed, sentAtMs));
            }
            worker.runsKnown = true;
            return Math.max(worker.acknowledgedEnd, highestToAcknowledge(look.ended));
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
                    ...logFieldsOf(worker, run),
                    reason,
                    phase: run.phase,
                    otherJobs: runs.filter(other => other.task.step.occurrence.job !== job).length,
                    ...dropContextOf(worker, run, { ...options, nowMs }),
                });
                dropRun(worker, run);
                if (run.absent) {
                    markBlockedLong(run.task.step, nowMs);
                }
                if (run.absent || run.mayHaveCrashed) {
                    recordPossibleCrash(worker, run);
                }
                onChange(run.task.step.occurrence.job);
            }
            return crashed;
        },
    };
};
