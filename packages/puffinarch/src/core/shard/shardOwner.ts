/**
 * The owner of a shard: the one daemon that accepts its jobs, places their tasks and talks to its workers. All that must
 * last is in the shard's rows; all that runs is listed by the workers, so a successor learns the rest from them.
 */

import {
    type AdviceAnswer,
    type AdviceRequest,
    type FencedWorkerPort,
    type RowKey,
    type RowStore,
} from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import type { UpkeepWave, VmPort, WaveState } from "../../types/upkeep.js";
import type {
    CellConfiguration,
    JobReference,
    JobState,
    JobStatus,
    JobSubmission,
    Queue,
    WorkerEntry,
} from "../../types/work.js";
import { jobStates } from "../../types/work.js";
import { errorOf } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";
import { createAcceptance } from "./acceptance.js";
import { createAccounts } from "./accounts.js";
import { createAdviceDesk } from "./adviceDesk.js";
import type { ClaimedShard } from "./claimShard.js";
import { createCommitLog, type RowChange } from "./commitLog.js";
import {
    cancelJob,
    forgetWorker,
    hasEnded,
    jobOf,
    openOccurrence,
    runPhases,
    runsOf,
    type ShardJob,
    type ShardRun,
} from "./jobBook.js";
import { decodeEnded, encodeJob, type EndedJob, restoreJobs } from "./jobRows.js";
import { createOwnerProgress } from "./ownerProgress.js";
import { createPlacing } from "./placing.js";
import { readAllRows } from "./readRows.js";
import { createRowReader } from "./rowReader.js";
import type { ShardSettings } from "./shardSettings.js";
import { endedTable } from "./shardTables.js";
import { createShardWorkers } from "./shardWorkers.js";
import { createTaskReview } from "./taskReview.js";
import { startUpkeep, type Upkeep } from "./upkeep.js";
import { createWaveRows } from "./waveRows.js";
import { dropRun, isListed, stillFits } from "./workerTable.js";

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
    /** The platform's VMs and where the operator is shown a wave's state; undefined where nobody asks for upkeep. */
    readonly upkeep?: {
        readonly port: VmPort;
        readonly holderId: string;
        /** How long an order of a former owner may still arrive; 0 where the platform refuses lower fencing tokens. */
        readonly settleMs: number;
        readonly stateRow: (wave: number, state: WaveState) => RowKey & { readonly value: string; };
    };
    /** How old what is known of the list of workers, or of the configuration, may be. */
    readonly newsAgeMs: () => number;
    /** Another daemon owns the shard by now. */
    readonly onFenced: (reason: string) => void;
}

/** The running owner of a shard. */
export interface ShardOwner {
    readonly fencingToken: number;
    /** Resolves once the job is durable; the same id again is the same job. */
    submit(submission: JobSubmission): Promise<void>;
    /** Undefined where the caller's organisation has no such job. */
    jobState(job: JobReference): Promise<JobStatus | undefined>;
    /** False where the caller's organisation has no such job; resolves once the cancel is durable. */
    cancel(job: JobReference): Promise<boolean>;
    /** Jobs accepted of which no task has started, by queue. */
    pending(): Readonly<Record<string, number>>;
    updateConfiguration(configuration: CellConfiguration): void;
    /** All workers that are listed now, those whose entries cannot be read, and how old the list before may have been. */
    updateWorkers(entries: readonly WorkerEntry[], unreadable: ReadonlySet<string>, formerAgeMs: number): void;
    /** All waves of upkeep that the operator asks for. */
    updateWaves(waves: readonly UpkeepWave[]): void;
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
/** Where the store is well its news are 2.3 s old at the most; older ones may lack a worker that shrank or a cap that was lowered. */
const staleNewsMs = 3_000;
/** A start waits no longer for news of them, for the store may answer in part for long; a call for changes takes up to 1 s. */
const newsPatienceMs = 2_000;
const newsPauseMs = 20;
/** All that happens within this time shares one pass over the waiting steps. */
const passDelayMs = 2;
/** Passes take a third of the processor at the most, however many steps wait; looks, pings and commits need the rest. */
const passRest = 2;
/** Ended jobs are looked through this many ticks apart. */
const forgetIntervalTicks = 50;
/** All accepted tasks are reviewed this many ticks apart: a task that an event has missed stands for a second at the most. */
const reviewIntervalTicks = 10;

/** What an ended job was allowed to take; nothing for one that goes on, is scheduled, or has no objective. */
const objectiveOf = (job: ShardJob): { readonly objectiveMs?: number; } => {
    const objectiveMs = job.occurrences.get(0)?.course?.objectiveMs ?? Infinity;
    const counts = hasEnded(job) && job.submission.schedule.repeatCount === 0 && Number.isFinite(objectiveMs);
    return counts ? { objectiveMs: Math.round(objectiveMs) } : {};
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
    const accounts = createAccounts();
    let queues = new Map<string, Queue>();
    let closed = false;
    let passWanted = false;
    /** How long the newest pass took. */
    let passMs = 0;
    let ticks = 0;
    let lagMs = 0;
    let tickDueMs = clock.monotonicMs() + tickMs;
    const startedAtMs = clock.monotonicMs();
    const endedBefore = new Map<string, EndedJob>();
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
        return job === undefined ? { puts: [], removes: [{ table: endedTable, key: jobId }] } : encodeJob(job, clock);
    };

    /** Commits are conditional on the claim, so that their versions are above it and below that of any successor. */
    let newestToken = fencingToken;
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
        onCommitted: version => {
            newestToken = version;
        },
        onFenced: () => fenced("commit"),
    });

    const reader = createRowReader({ log, meter });

    const progress = createOwnerProgress({
        clock,
        log,
        meter,
        newsAgeMs: options.newsAgeMs,
        stalledMs: commits.stalledMs,
        lookedAtMs: () => Math.max(startedAtMs, ...[...workers.all.values()].map(({ answeredAtMs }) => answeredAtMs)),
    });

    const commit = async (job: ShardJob): Promise<void> => {
        const { state } = job;
        await commits.commit(job.submission.jobId);
        if (!job.stored) {
            progress.noteAcceptance();
        }
        job.stored = true;
        // A task may have started while this was written.
        show(job, state === jobStates.queued && job.started ? jobStates.running : state);
    };

    const show = (job: ShardJob, state: JobState): void => {
        if (job.shown !== state) {
            const { submission: { jobId }, shown } = job;
            const failure = state === jobStates.failed ? job.failure : undefined;
            log.write("info", "jobState", { jobId, from: shown, to: state, ...failure, ...objectiveOf(job) });
            job.shown = state;
            if (failure !== undefined) {
                meter.count(`jobsFailed.${failure.cause}`);
            }
        }
    };

    /** Also of a job that is not durable yet, which has no state to show. */
    const ownerOf = (jobId: string): string | undefined => {
        const job = jobs.get(jobId);
        return job === undefined ? endedBefore.get(jobId)?.organisation : job.account.organisation;
    };

    /** A job of another organisation is not there for a caller; one whose caller belonged to none is there for all. */
    const mayAsk = ({ jobId, organisation }: JobReference): boolean => {
        const owner = ownerOf(jobId) ?? "";
        return owner === "" || organisation === undefined || organisation === owner;
    };

    const shownOf = (jobId: string): JobStatus | undefined => {
        const job = jobs.get(jobId);
        if (job?.shown === undefined) {
            return undefined;
        }
        return { state: job.shown, ...(job.shown === jobStates.failed ? { failure: job.failure } : {}) };
    };

    const statusOf = async (job: JobReference): Promise<JobStatus | undefined> => {
        const { jobId } = job;
        const status = shownOf(jobId) ?? (await endedKnown).get(jobId) ?? shownOf(jobId);
        return status === undefined || !mayAsk(job) ? undefined : { state: status.state, failure: status.failure };
    };

    /** That a job has begun need not be durable: a successor finds its runs at the workers, or their ends. */
    const showStarted = (job: ShardJob): void => {
        job.started = true;
        if (!hasEnded(job)) {
            job.state = jobStates.running;
            show(job, job.state);
        }
    };

    const workers = createShardWorkers({
        clock,
        log,
        meter,
        settings,
        port: options.workers,
        fencingToken,
        newestToken: () => newestToken,
        jobOf: jobId => jobs.get(jobId),
        changed: job => changed(job),
        onNextIncarnation: workerId => {
            for (const job of jobs.values()) {
                forgetWorker(job, workerId);
            }
        },
        onStarted: showStarted,
        wake: () => wake(),
        onKnown: () => review.runFirst(),
        onFenced: () => fenced("worker"),
    });

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
                    workers.stop(run);
                }
            }
        });
    };

    const desk = createAdviceDesk({ clock, log, meter, lanes: options.adviceLanes, call: options.callAdvice });

    /**
     * After an outage the store may make an intent durable before it tells of workers and of the configuration again: what has
     * shrunk, drains or was lowered meanwhile would be used as it was.
     */
    const freshNews = async (): Promise<void> => {
        const untilMs = clock.monotonicMs() + newsPatienceMs;
        while (!closed && options.newsAgeMs() > staleNewsMs && clock.monotonicMs() < untilMs) {
            await sleep(clock, newsPauseMs);
        }
    };

    /**
     * Whether a planned run may be sent now: its worker may have drained, shrunk, fallen silent or gone while the intent was
     * written. An order to a silent worker is lost, or meets an incarnation that nobody knows yet.
     */
    const isStartable = (run: ShardRun): boolean => {
        const worker = workers.all.get(run.workerId);
        return worker !== undefined && run.phase === runPhases.planned && run.task.runs.includes(run)
            && !run.task.done && !worker.entry.draining && !worker.cordoned && worker.silentLooks === 0
            && isListed(worker, clock.monotonicMs()) && stillFits(worker, run);
    };

    const startPlanned = (job: ShardJob, runs: readonly ShardRun[]): void => {
        void commit(job).then(freshNews).then(() => {
            // A gang of which one member cannot be sent would wait for it in vain.
            const isBroken = runs.some(run => run.task.step.spec.gang) && !runs.every(isStartable);
            const none = closed || hasEnded(job) || isBroken;
            for (const run of runs) {
                const worker = workers.all.get(run.workerId);
                if (worker === undefined || run.phase !== runPhases.planned || !run.task.runs.includes(run)) {
                    continue;
                }
                if (none || !isStartable(run)) {
                    dropRun(worker, run);
                    void changed(job);
                    continue;
                }
                const ticket = run.task.step.advice.good.get(run.workerId)?.ticket ?? "";
                workers.start(run, ticket);
                progress.noteStart();
            }
        });
    };

    const placing = createPlacing({
        clock,
        log,
        meter,
        settings,
        workers: workers.all,
        desk,
        onPlanned: startPlanned,
        onPreempt: workers.stop,
        wake: () => wake(),
    });

    const review = createTaskReview({ clock, log, meter, jobs, workers: workers.all, placing });

    const wake = (): void => {
        if (passWanted || closed) {
            return;
        }
        passWanted = true;
        clock.setTimer(Math.max(passDelayMs, passRest * passMs), () => {
            passWanted = false;
            if (!closed) {
                const beganAtMs = clock.monotonicMs();
                placing.pass();
                passMs = clock.monotonicMs() - beganAtMs;
            }
        });
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
        const silent =
            [...workers.all.values()].filter(worker => nowMs - worker.answeredAtMs > settings.silentMs).length;
        if (2 * silent <= workers.all.size || nowMs - startedAtMs < settings.cutOffMs) {
            return false;
        }
        if (nowMs - commits.answeredAtMs() > settings.silentMs) {
            commits.probe();
        }
        return nowMs - commits.answeredAtMs() > settings.cutOffMs && commits.stalledMs() > settings.silentMs;
    };

    /** An account that counts a run which is gone would hold its organisation back for good. */
    const reviewAccounts = (): void => {
        const held = [...workers.all.values()].flatMap(worker =>
            [...worker.runs.values()].map(run => ({ account: jobOf(run).account, held: run.held }))
        );
        for (const organisation of accounts.recount(held)) {
            meter.count("accountsCorrected");
            log.write("error", "accountCorrected", { organisation });
        }
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
        workers.checkLeases(nowMs);
        openDue();
        if (ticks % forgetIntervalTicks === 0) {
            forgetOld(nowMs);
        }
        if (ticks % reviewIntervalTicks === 0) {
            review.run();
            progress.review(placing.waitingSteps());
            reviewAccounts();
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
        workers.close();
        upkeep?.close();
    };

    const restore = (): void => {
        const restored = restoreJobs(claimed.rows, { reader, accounts, clock });
        for (const job of restored.jobs) {
            nextOrder = Math.max(nextOrder, job.order + 1);
            jobs.set(job.submission.jobId, job);
        }
        workers.expect(restored.runs);
        workers.recallLosses(restored.losses);
        for (const job of jobs.values()) {
            placing.consider(job);
        }
        log.write("info", "shardRestored", { part, fencingToken, jobs: jobs.size, runs: restored.runs.length });
    };

    /** Jobs that ended under earlier owners, by id, with their states; they are read while the others go on already. */
    const readEnded = async (): Promise<ReadonlyMap<string, EndedJob>> => {
        const read = await readAllRows({
            clock,
            log,
            store: options.store,
            table: endedTable,
            part,
            wanted: () => !closed,
        });
        for (const row of read?.rows ?? []) {
            const status = reader.entryOf(row, decodeEnded(row));
            if (status !== undefined) {
                endedBefore.set(row.key, status);
            }
        }
        log.write("info", "endedRead", { part, jobs: endedBefore.size, complete: read !== undefined });
        return read === undefined ? endOfOffice : endedBefore;
    };

    const openUpkeep = (): Upkeep | undefined => {
        if (options.upkeep === undefined) {
            return undefined;
        }
        const { port, holderId, stateRow, settleMs: upkeepSettleMs } = options.upkeep;
        const rows = createWaveRows({
            clock,
            log,
            store: options.store,
            part,
            ownerVersion: fencingToken,
            stateRow,
            reader,
            isClosed: () => closed,
        });
        return startUpkeep({
            clock,
            log,
            meter,
            port,
            holderId,
            fencingToken,
            workers: workers.all,
            stop: workers.stop,
            lose: workerId => workers.lose(workerId, "upkeep"),
            settleMs: upkeepSettleMs,
            rows,
        });
    };

    restore();
    const upkeep = openUpkeep();
    const endedKnown = readEnded();
    endedKnown.catch(() => {});
    clock.setTimer(tickMs, tick);

    const submit = createAcceptance({
        clock,
        log,
        meter,
        settings,
        jobs,
        queueOf: queueKey => queues.get(queueKey),
        accounts,
        nextOrder,
        commits,
        commit,
        consider: job => {
            placing.consider(job);
            wake();
        },
        takeBack: job => {
            placing.forget(job);
            for (const run of [...runsOf(job)]) {
                workers.stop(run);
            }
        },
        endedKnown,
        endOfOffice,
    });

    const cancel = async (wanted: JobReference): Promise<boolean> => {
        const { jobId } = wanted;
        const job = jobs.get(jobId);
        if (job === undefined) {
            const hasEndedBefore = (await endedKnown).has(jobId);
            return hasEndedBefore ? mayAsk(wanted) : jobs.has(jobId) && cancel(wanted);
        }
        if (!mayAsk(wanted)) {
            return false;
        }
        cancelJob(job, clock.monotonicMs());
        log.write("info", "jobCancelled", { jobId, state: job.state });
        await Promise.race([changed(job), endOfOffice]);
        return true;
    };

    return {
        fencingToken,
        submit,
        jobState: statusOf,
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
            accounts.update(configuration.organisations ?? []);
            for (const job of jobs.values()) {
                job.queue = queues.get(job.submission.queueKey) ?? job.queue;
            }
            wake();
        },
        updateWorkers: workers.update,
        updateWaves: waves => upkeep?.update(waves),
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
