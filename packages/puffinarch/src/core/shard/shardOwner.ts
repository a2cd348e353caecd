/**
 * The owner of a shard: the one daemon that accepts its jobs, places their tasks and talks to its workers. All that must
 * last is in the shard's rows; all that runs is listed by the workers, so a successor learns the rest from them.
 */

import { type AdviceAnswer, type AdviceRequest, type FencedWorkerPort, type RowStore } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import type { CellConfiguration, JobState, JobSubmission, Queue, WorkerEntry } from "../../types/work.js";
import { jobStates, parseTaskName } from "../../types/work.js";
import { die, errorOf } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";
import { createAdviceDesk } from "./adviceDesk.js";
import { heldBy } from "./chooseWorker.js";
import { type ClaimedShard, readAllRows } from "./claimShard.js";
import { createCommitLog, endedTable, type RowChange } from "./commitLog.js";
import {
    endJob,
    hasEnded,
    newJob,
    openOccurrence,
    runPhases,
    runsOf,
    type ShardJob,
    type ShardRun,
} from "./jobBook.js";
import { decodeEnded, encodeJob, restoreJobs, type StoredRun } from "./jobRows.js";
import { createPacer } from "./pacer.js";
import { createPlacing } from "./placing.js";
import type { ShardSettings } from "./shardSettings.js";
import { openWorkerLink, type WorkerLink } from "./workerLink.js";
import { adoptRun, dropRun, newWorker, type ShardWorker, slowestClockRate } from "./workerTable.js";
import { createWorkerWatch } from "./workerWatch.js";

/** What a shard's owner needs. */
export interface ShardOwnerOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly settings: ShardSettings;
    readonly store: RowStore;
    readonly workers: FencedWorkerPort;
    readonly part: string;
    readonly claimId: string;
    readonly claimed: ClaimedShard;
    /** Daemons that can call the advisor, this one included. */
    readonly adviceLanes: () => readonly string[];
    readonly callAdvice: (laneId: string, request: AdviceRequest) => Promise<AdviceAnswer>;
    /** Another daemon owns the shard by now. */
    readonly onFenced: (reason: string) => void;
}

/** The running owner of a shard. */
export interface ShardOwner {
    readonly fencingToken: number;
    /** Resolves once the job is durable; the same id again is the same job. */
    submit(submission: JobSubmission): Promise<void>;
    /** Undefined where there is no such job. */
    jobState(jobId: string): Promise<JobState | undefined>;
    /** False where there is no such job; resolves once the cancel is durable. */
    cancel(jobId: string): Promise<boolean>;
    /** Jobs accepted of which no task has started, by queue. */
    pending(): Readonly<Record<string, number>>;
    updateConfiguration(configuration: CellConfiguration): void;
    /** All workers that the platform lists now. */
    updateWorkers(entries: readonly WorkerEntry[]): void;
    wake(): void;
    stalledMs(): number;
    /** How late this process's timers are, on average over the last second or so. */
    lagMs(): number;
    /** Resolves when all changes so far are durable. */
    idle(): Promise<void>;
    close(): void;
}

/** Interval of the checks that depend on time alone: leases, due occurrences, expired advice. */
const tickMs = 100;
/** Weight of the newest tick in the average of its lateness: about a second's memory. */
const lagShare = 0.1;
/** All that happens within this time shares one pass over the waiting steps. */
const passDelayMs = 2;
/** How often a job that waits for its acceptance looks whether the store stalls. */
const acceptanceCheckMs = 100;
/** Ended jobs are looked through this many ticks apart. */
const forgetIntervalTicks = 50;

/** Stands for a worker that has runs and is not listed: no order can reach it and nothing fits on it. */
const unlistedEntry: WorkerEntry = {
    workerId: "",
    service: "",
    address: "",
    dataCentre: "",
    draining: false,
    capacity: { cpuMillis: 0, memoryMib: 0, accelerators: 0 },
    labels: [],
    rack: "",
};

/**
 * Starts the owner of a shard that was just claimed.
 *
 * @example
 * const owner = startShardOwner({ clock, log, meter, settings, store, workers, part, claimId, claimed, adviceLanes, callAdvice, onFenced });
 * await owner.submit(submission);
 */
export const startShardOwner = (options: ShardOwnerOptions): ShardOwner => {
    const { clock, log, meter, settings, part, claimId, claimed } = options;
    const { fencingToken } = claimed;
    const jobs = new Map<string, ShardJob>();
    const workers = new Map<string, ShardWorker>();
    const links = new Map<string, WorkerLink>();
    const overLives = new Set<string>();
    /** Runs whose intent is durable and whose worker has not been seen yet. */
    const unseenRuns = new Map<string, StoredRun[]>();
    let queues = new Map<string, Queue>();
    let closed = false;
    let passWanted = false;
    let ticks = 0;
    let lagMs = 0;
    let tickDueMs = clock.monotonicMs() + tickMs;
    const startedAtMs = clock.monotonicMs();
    const endedBefore = new Map<string, JobState>();
    let nextOrder = 1;
    let rejectWaiting: (error: Error) => void = () => {};

    const fenced = (reason: string): void => {
        if (!closed) {
            close();
            options.onFenced(reason);
        }
    };

    const encode = (jobId: string): RowChange => {
        const job = jobs.get(jobId);
        return job === undefined ? { puts: [], removes: [{ table: endedTable, key: jobId }] } : encodeJob(job);
    };

    const commits = createCommitLog({
        clock,
        log,
        meter,
        store: options.store,
        part,
        ownerVersion: fencingToken,
        sequenceVersion: claimed.sequenceVersion,
        storeMs: claimed.storeMs,
        claimId,
        encode,
        onFenced: () => fenced("commit"),
    });

    const commit = async (job: ShardJob): Promise<void> => {
        const { state } = job;
        await commits.commit(job.submission.jobId);
        job.stored = true;
        if (job.shown !== state) {
            log.write("info", "jobState", { jobId: job.submission.jobId, from: job.shown, to: state });
            job.shown = state;
        }
    };

    const stopRun = (run: ShardRun): void => {
        if (run.phase !== runPhases.planned) {
            links.get(run.workerId)?.stop(run);
            return;
        }
        const worker = workers.get(run.workerId);
        if (worker !== undefined) {
            dropRun(worker, run);
        }
    };

    /** After a change: what follows from it, and its commit. */
    const changed = (job: ShardJob): Promise<void> => {
        if (hasEnded(job)) {
            placing.forget(job);
        }
        else {
            job.state = job.started ? jobStates.running : jobStates.queued;
            placing.consider(job);
        }
        wake();
        return commit(job).then(() => {
            if (hasEnded(job)) {
                for (const run of [...runsOf(job)]) {
                    stopRun(run);
                }
            }
        });
    };

    const desk = createAdviceDesk({ clock, log, meter, lanes: options.adviceLanes, call: options.callAdvice });

    const startPlanned = (job: ShardJob, runs: readonly ShardRun[]): void => {
        void commit(job).then(() => {
            for (const run of runs) {
                const worker = workers.get(run.workerId);
                if (worker === undefined || run.phase !== runPhases.planned || !run.task.runs.includes(run)) {
                    continue;
                }
                if (closed || hasEnded(job) || run.task.done || worker.entry.draining) {
                    dropRun(worker, run);
                    void changed(job);
                    continue;
                }
                const ticket = run.task.step.advice.good.get(run.workerId)?.ticket ?? "";
                links.get(run.workerId)?.start(run, run.task.checkpoint, ticket);
            }
        });
    };

    const placing = createPlacing({
        clock,
        log,
        meter,
        settings,
        workers,
        desk,
        onPlanned: startPlanned,
        onPreempt: stopRun,
    });
    const pacer = createPacer({ clock, log });

    const wake = (): void => {
        if (passWanted || closed) {
            return;
        }
        passWanted = true;
        clock.setTimer(passDelayMs, () => {
            passWanted = false;
            if (!closed) {
                placing.pass();
            }
        });
    };

    const touched = new Set<ShardJob>();
    const watch = createWorkerWatch({
        clock,
        log,
        meter,
        jobOf: jobId => jobs.get(jobId),
        onChange: job => touched.add(job),
        stop: (worker, run) => links.get(worker.workerId)?.stop(run),
        onStuck: (worker, run) => {
            worker.avoidUntilMs = Math.max(worker.avoidUntilMs, clock.monotonicMs() + settings.stuckWorkerRestMs);
            links.get(worker.workerId)?.stop(run);
        },
        stopUnknown: (worker, taskName, run) => links.get(worker.workerId)?.stopUnknown(taskName, run),
    });

    const commitTouched = (): Promise<unknown> => {
        const all = [...touched].map(changed);
        touched.clear();
        return Promise.all(all);
    };

    const loseWorker = (worker: ShardWorker, reason: string): void => {
        links.get(worker.workerId)?.close();
        links.delete(worker.workerId);
        workers.delete(worker.workerId);
        overLives.add(worker.workerId);
        log.write("info", "workerGone", { workerId: worker.workerId, reason, runs: worker.runs.size });
        watch.loseRuns(worker, reason);
        void commitTouched();
    };

    const openLink = (worker: ShardWorker): WorkerLink =>
        openWorkerLink(worker, {
            clock,
            log,
            meter,
            workers: options.workers,
            fencingToken,
            leaseMs: settings.leaseMs,
            lookWaitMs: settings.lookWaitMs,
            lookPauseMs: settings.lookPauseMs,
            orderPauseMs: settings.orderPauseMs,
            onLook: async (seen, look, sentAtMs) => {
                const wasCertain = seen.certain;
                const newest = watch.take(seen, look, sentAtMs);
                pacer.review(seen, (run, percent) => links.get(seen.workerId)?.pace(run, percent));
                // A look may list ends again whose commit, begun by an earlier look, is still under way.
                const written = Promise.all([seen.endsWritten, commitTouched()]).then(() => {
                    seen.acknowledgedEnd = Math.max(seen.acknowledgedEnd, newest);
                });
                seen.endsWritten = written;
                if (!wasCertain) {
                    wake();
                }
                if (look.ended.length > 0) {
                    await Promise.race([written, sleep(clock, settings.lookPauseMs)]);
                }
            },
            onSilent: () => {},
            onLifeOver: gone => loseWorker(gone, "otherLife"),
            onFenced: () => fenced("worker"),
            onNotStarted: (holder, run, outcome) => {
                dropRun(holder, run);
                const { step } = run.task;
                if (outcome === "badTicket") {
                    step.advice.good.delete(holder.workerId);
                    step.advice.asked.delete(holder.workerId);
                }
                else {
                    holder.avoidUntilMs = clock.monotonicMs() + settings.retryAfterMs;
                }
                void changed(step.occurrence.job);
            },
            onStarted: (holder, run) => {
                const { job } = run.task.step.occurrence;
                run.startedAtMs = clock.monotonicMs();
                if (!job.started) {
                    job.started = true;
                    void changed(job);
                }
                if (holder.entry.draining) {
                    leaveDraining(holder);
                }
            },
        });

    /** Runs that would not end before a draining worker leaves move with their checkpoint. */
    const leaveDraining = (worker: ShardWorker): void => {
        const remainingMs = worker.entry.drainRemainingMs ?? 0;
        for (const run of [...worker.runs.values()]) {
            const { spec } = run.task.step;
            const ranMs = clock.monotonicMs() - (run.startedAtMs ?? clock.monotonicMs());
            const stays = !spec.longRunning && (!spec.checkpointing || spec.estimateMs - ranMs < remainingMs);
            if (!stays && run.phase === runPhases.running) {
                log.write("info", "evacuated", {
                    task: run.task.name,
                    run: run.run,
                    workerId: worker.workerId,
                    remainingMs,
                });
                links.get(worker.workerId)?.stop(run);
            }
        }
    };

    /** Puts a run whose intent was durable where its worker's first look will settle it. */
    const attachStored = (worker: ShardWorker, { taskName, run }: StoredRun): void => {
        const name = parseTaskName(taskName);
        const job = name === undefined ? undefined : jobs.get(name.jobId);
        const task = name === undefined
            ? undefined
            : job?.occurrences.get(name.occurrence)?.steps[name.step]?.tasks[name.index];
        if (task === undefined) {
            return;
        }
        const entry: ShardRun = {
            task,
            run,
            workerId: worker.workerId,
            held: heldBy(task.step.spec),
            phase: runPhases.running,
            settledAtMs: 0,
            startedAtMs: undefined,
            percent: 100,
            figure: 0,
            idleSinceMs: undefined,
        };
        task.runs.push(entry);
        adoptRun(worker, entry);
    };

    /** The longest lease that a former owner may have given, from now. */
    const formerHorizonMs = (): number =>
        clock.monotonicMs() + settings.formerOwnerMs + settings.leaseMs / slowestClockRate;

    const addWorker = (entry: WorkerEntry, listed: boolean): ShardWorker => {
        const worker = newWorker(entry, formerHorizonMs());
        worker.unlistedAtMs = listed ? undefined : clock.monotonicMs();
        workers.set(entry.workerId, worker);
        for (const stored of unseenRuns.get(entry.workerId) ?? []) {
            attachStored(worker, stored);
        }
        unseenRuns.delete(entry.workerId);
        return worker;
    };

    const updateWorkers = (entries: readonly WorkerEntry[]): void => {
        const listed = new Set<string>();
        const byAddress = new Map(entries.map(entry => [entry.address, entry.workerId]));
        for (const entry of entries) {
            listed.add(entry.workerId);
            const known = workers.get(entry.workerId);
            if (known === undefined) {
                if (!overLives.has(entry.workerId)) {
                    const worker = addWorker(entry, true);
                    links.set(entry.workerId, openLink(worker));
                }
                continue;
            }
            const drainsNow = entry.draining && !known.entry.draining;
            known.entry = entry.address === "" ? { ...entry, address: known.entry.address } : entry;
            known.unlistedAtMs = undefined;
            if (!links.has(known.workerId)) {
                links.set(known.workerId, openLink(known));
            }
            if (drainsNow) {
                log.write("info", "workerDrains", { workerId: entry.workerId, remainingMs: entry.drainRemainingMs });
                leaveDraining(known);
            }
        }
        for (const worker of [...workers.values()]) {
            if (listed.has(worker.workerId)) {
                continue;
            }
            worker.unlistedAtMs ??= clock.monotonicMs();
            const next = byAddress.get(worker.entry.address);
            if (next !== undefined && next !== worker.workerId) {
                loseWorker(worker, "addressTaken");
            }
        }
        wake();
    };

    /** Leases that are surely over, and workers of which nothing is left. */
    const checkHorizons = (nowMs: number): void => {
        for (const worker of [...workers.values()]) {
            const silent = worker.silentLooks > 0 || !worker.certain;
            if (!silent || nowMs <= worker.horizonMs) {
                continue;
            }
            if (worker.runs.size > 0) {
                watch.loseRuns(worker, "leaseOver");
            }
            if (worker.unlistedAtMs !== undefined) {
                loseWorker(worker, "notListed");
            }
        }
        void commitTouched();
    };

    const openDue = (): void => {
        const wallMs = clock.nowMs();
        for (const job of jobs.values()) {
            const { startAtMs, intervalMs, repeatCount } = job.submission.schedule;
            if (repeatCount === 0 || hasEnded(job) || !job.stored) {
                continue;
            }
            for (let number = 0; number < repeatCount; number += 1) {
                if (startAtMs + number * intervalMs > wallMs) {
                    break;
                }
                if (!job.occurrences.has(number) && !job.doneOccurrences.has(number)) {
                    openOccurrence(job, number);
                    placing.consider(job);
                    wake();
                }
            }
        }
    };

    const forgetOld = (nowMs: number): void => {
        // What ended under earlier owners is counted from this owner's start.
        if (nowMs - startedAtMs > settings.retentionMs) {
            for (const jobId of endedBefore.keys()) {
                endedBefore.delete(jobId);
                void commits.commit(jobId);
            }
        }
        for (const [jobId, job] of jobs) {
            if (job.endedAtMs !== undefined && nowMs - job.endedAtMs > settings.retentionMs) {
                jobs.delete(jobId);
                void commits.commit(jobId);
            }
        }
    };

    /**
     * An owner that neither the store nor most workers answer may have been replaced by one that it cannot see; it stops
     * renewing leases soon enough for the successor's count of them.
     */
    const isCutOff = (nowMs: number): boolean => {
        const silent = [...workers.values()].filter(worker => nowMs - worker.answeredAtMs > settings.silentMs).length;
        if (2 * silent <= workers.size || nowMs - startedAtMs < settings.cutOffMs) {
            return false;
        }
        if (nowMs - commits.answeredAtMs() > settings.silentMs) {
            commits.probe();
        }
        return nowMs - commits.answeredAtMs() > settings.cutOffMs && commits.stalledMs() > settings.silentMs;
    };

    const tick = (): void => {
        if (closed) {
            return;
        }
        ticks += 1;
        const nowMs = clock.monotonicMs();
        lagMs += lagShare * (nowMs - tickDueMs - lagMs);
        tickDueMs = nowMs + tickMs;
        if (isCutOff(nowMs)) {
            fenced("cutOff");
            return;
        }
        checkHorizons(nowMs);
        openDue();
        if (ticks % forgetIntervalTicks === 0) {
            forgetOld(nowMs);
        }
        if (placing.readySteps() > 0) {
            wake();
        }
        desk.wake();
        clock.setTimer(tickMs, tick);
    };

    const endOfOffice = new Promise<never>((_resolve, reject) => {
        rejectWaiting = reject;
    });
    endOfOffice.catch(() => {});

    const close = (): void => {
        closed = true;
        rejectWaiting(errorOf({ kind: "mayHaveRun", message: "this daemon owns the shard no more" }));
        commits.stop();
        desk.close();
        for (const link of links.values()) {
            link.close();
        }
    };

    const restore = (): void => {
        const restored = restoreJobs(claimed.rows);
        for (const job of restored.jobs) {
            nextOrder = Math.max(nextOrder, job.order + 1);
            jobs.set(job.submission.jobId, job);
        }
        for (const stored of restored.runs) {
            const runs = unseenRuns.get(stored.workerId) ?? [];
            runs.push(stored);
            unseenRuns.set(stored.workerId, runs);
        }
        for (const workerId of [...unseenRuns.keys()]) {
            // Until the platform lists it, it may be anywhere; its lease settles it.
            addWorker({ ...unlistedEntry, workerId }, false);
        }
        for (const job of jobs.values()) {
            placing.consider(job);
        }
        log.write("info", "shardRestored", { part, fencingToken, jobs: jobs.size, runs: restored.runs.length });
    };

    /** Jobs that ended under earlier owners, by id, with their states; they are read while the others go on already. */
    const readEnded = async (): Promise<ReadonlyMap<string, JobState>> => {
        const rows = await readAllRows({
            clock,
            log,
            store: options.store,
            table: endedTable,
            part,
            wanted: () => !closed,
        });
        for (const row of rows ?? []) {
            endedBefore.set(row.key, decodeEnded(row.value ?? ""));
        }
        log.write("info", "endedRead", { part, jobs: endedBefore.size, complete: rows !== undefined });
        return rows === undefined ? endOfOffice : endedBefore;
    };

    restore();
    const endedKnown = readEnded();
    endedKnown.catch(() => {});
    clock.setTimer(tickMs, tick);

    /**
     * Waits for a job's acceptance. Where the store stalls and no batch has held the job yet, it is taken back: the
     * refusal is certain, and the caller hears it at once.
     */
    const settleAcceptance = async (job: ShardJob): Promise<void> => {
        const { jobId } = job.submission;
        let stored = false;
        const written = commit(job).then(() => {
            stored = true;
        });
        while (!stored) {
            await Promise.race([written, endOfOffice, sleep(clock, acceptanceCheckMs)]);
            if (!stored && commits.stalledMs() > settings.refuseStalledMs && commits.withdraw(jobId)) {
                jobs.delete(jobId);
            }
            if (jobs.get(jobId) !== job) {
                die("notAccepted", "the store does not answer", { retryAfterMs: settings.retryAfterMs });
            }
        }
    };

    const accept = (submission: JobSubmission): ShardJob => {
        const queue = queues.get(submission.queueKey)
            ?? die("unavailable", `the queue ${submission.queueKey} is not in this daemon's configuration`);
        if (commits.stalledMs() > settings.refuseStalledMs) {
            die("notAccepted", "the store does not answer", { retryAfterMs: settings.retryAfterMs });
        }
        const job = newJob(submission, queue, { acceptedAtMs: clock.nowMs(), order: nextOrder });
        nextOrder += 1;
        jobs.set(submission.jobId, job);
        return job;
    };

    const submit = async (submission: JobSubmission): Promise<void> => {
        const known = jobs.get(submission.jobId);
        if (known !== undefined) {
            if (!known.stored) {
                await settleAcceptance(known);
            }
            return;
        }
        if ((await endedKnown).has(submission.jobId) || jobs.has(submission.jobId)) {
            // It ended before, or the same id came through another daemon meanwhile.
            await (jobs.has(submission.jobId) ? submit(submission) : undefined);
            return;
        }
        const job = accept(submission);
        await settleAcceptance(job);
        meter.count("jobsAccepted");
        log.write("info", "jobAccepted", {
            jobId: submission.jobId,
            queue: submission.queueKey,
            steps: submission.steps.length,
        });
        placing.consider(job);
        wake();
    };

    const cancel = async (jobId: string): Promise<boolean> => {
        const job = jobs.get(jobId);
        if (job === undefined) {
            return (await endedKnown).has(jobId) || (jobs.has(jobId) && cancel(jobId));
        }
        endJob(job, jobStates.cancelled, clock.monotonicMs());
        log.write("info", "jobCancelled", { jobId, state: job.state });
        await Promise.race([changed(job), endOfOffice]);
        return true;
    };

    return {
        fencingToken,
        submit,
        jobState: async jobId => jobs.get(jobId)?.shown ?? (await endedKnown).get(jobId) ?? jobs.get(jobId)?.shown,
        cancel,
        pending: () => {
            const counts: Record<string, number> = {};
            for (const job of jobs.values()) {
                if (job.shown === jobStates.queued && job.submission.schedule.repeatCount === 0) {
                    counts[job.submission.queueKey] = (counts[job.submission.queueKey] ?? 0) + 1;
                }
            }
            return counts;
        },
        updateConfiguration: configuration => {
            queues = new Map(configuration.queues.map(queue => [queue.key, queue]));
            for (const job of jobs.values()) {
                job.queue = queues.get(job.submission.queueKey) ?? job.queue;
            }
            wake();
        },
        updateWorkers,
        wake: () => {
            wake();
            desk.wake();
        },
        stalledMs: commits.stalledMs,
        lagMs: () => lagMs,
        idle: commits.idle,
        close,
    };
};
