/**
 * The owner of a shard: the one daemon that accepts its jobs, places their tasks and calls its workers. A new owner restores
 * the state from the shard's rows and from the runs that the workers list.
 */

import {
    type AdviceAnswer,
    type AdviceRequest,
    type FencedWorkerPort,
    type RowKey,
    type RowStore,
    type Shedding,
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
import { createBucket } from "../../utils/bucket.js";
import { die, errorOf, failureOf } from "../../utils/errors.js";
import { createGuard } from "../../utils/guard.js";
import { sleep } from "../../utils/time.js";
import { createAcceptance } from "./acceptance.js";
import { createAccounts } from "./accounts.js";
import { createAdmission } from "./admission.js";
import { createAdviceDispatcher } from "./adviceDispatcher.js";
import { createBacklog } from "./backlog.js";
import type { ClaimedShard } from "./claimShard.js";
import { createCommitLog, explainOversized, type RowChange } from "./commitLog.js";
import { createCommitWait } from "./commitWait.js";
import { createDueOccurrences } from "./dueOccurrences.js";
import { ticketFor } from "./eligible.js";
import { createEndedJobs, type EndedJobs } from "./endedJobs.js";
import {
    cancelJob,
    forgetWorker,
    hasEnded,
    jobOf,
    runPhases,
    runsOf,
    type ShardJob,
    type ShardRun,
    stepNameOf,
} from "./jobModel.js";
import { decodeEnded, encodeJob, recordWritten, restoreJobs } from "./jobRows.js";
import { createLoadReport } from "./loadReport.js";
import { createOwnerProgress } from "./ownerProgress.js";
import { createPauseGuard } from "./pauseGuard.js";
import { readAllRows } from "./readRows.js";
import { createRowReader } from "./rowReader.js";
import { createRunTimes } from "./runTimes.js";
import { createRunTimesRow } from "./runTimesRow.js";
import { explainJob, listOrganisations, listSpeeds, type QueriedState, type ShardQueries } from "./shardQueries.js";
import type { ShardSettings } from "./shardSettings.js";
import { endedTable, journalTable } from "./shardTables.js";
import { createShardWorkers } from "./shardWorkers.js";
import { createOwnerShedding } from "./shedding.js";
import { createSpeedsReport } from "./speedsReport.js";
import { type ClosedGate, createStartGate } from "./startGate.js";
import { createStartQueue, type StartAnswer, startTurnMs } from "./startQueue.js";
import { createTaskPlacer } from "./taskPlacer.js";
import { createTaskReview } from "./taskReview.js";
import { startUpkeep, type Upkeep } from "./upkeep.js";
import { createWaveRows } from "./waveRows.js";
import { dropRun, isListed, stillFits } from "./workerTable.js";

/** Dependencies and settings of a shard's owner. */
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
    /** Ids of the daemons through which the advisor can be called, this daemon included. */
    readonly adviceLanes: () => readonly string[];
    readonly callAdvice: (laneId: string, request: AdviceRequest) => Promise<AdviceAnswer>;
    /** The platform's VMs, and the row that shows a wave's state to the operator; left out where the platform has no upkeep. */
    readonly upkeep?: {
        readonly port: VmPort;
        readonly holderId: string;
        /** How long an upkeep order of a former owner may still arrive, in ms; 0 where the platform refuses lower fencing tokens. */
        readonly staleOrderWindowMs: number;
        readonly stateRow: (wave: number, state: WaveState) => RowKey & { readonly value: string; };
    };
    /** Age in ms of the worker list or of the configuration, whichever is older; `Infinity` before both have been read. */
    readonly newsAgeMs: () => number;
    /**
     * Whether this daemon's data centre is cut off: neither the store nor a daemon of another data centre answers. Never where it
     * is left out.
     */
    readonly isPartitioned?: () => boolean;
    /** Local time of the newest answer of any other daemon; undefined, as where it is left out, if none has answered. */
    readonly peerAnsweredAtMs?: () => number | undefined;
    /** Age in ms of the worker list alone, for the log; not logged where it is left out. */
    readonly listAgeMs?: () => number;
    /** Called when the owner has stopped by itself, because another daemon owns the shard or may own it. */
    readonly onFenced: (reason: string) => void;
}

/** The running owner of a shard. */
export interface ShardOwner {
    readonly fencingToken: number;
    /** Resolves once the job is durable; a repeated id denotes the same job. */
    submit(submission: JobSubmission): Promise<void>;
    /** Returns the job's state; undefined where the caller's organisation has no such job. */
    jobState(job: JobReference): Promise<JobStatus | undefined>;
    /** Cancels a job and resolves once this is durable; false where the caller's organisation has no such job. */
    cancel(job: JobReference): Promise<boolean>;
    /** Number of accepted jobs of which no task has started, by queue. */
    pending(): Readonly<Record<string, number>>;
    readonly queries: ShardQueries;
    updateConfiguration(configuration: CellConfiguration): void;
    /** Passes all listed workers, the ids of those whose entries cannot be read, and the age of the former list in ms. */
    updateWorkers(entries: readonly WorkerEntry[], unreadable: ReadonlySet<string>, formerAgeMs: number): void;
    /** Passes all upkeep waves that the operator has requested. */
    updateWaves(waves: readonly UpkeepWave[]): void;
    /** Schedules a pass over the waiting steps and the pending calls to the advisor. */
    wake(): void;
    /** How long the commit in progress has waited for the store, in ms; 0 where there is none. */
    stalledMs(): number;
    /** How late this process's timers fire, in ms, on average over about the last second. */
    lagMs(): number;
    /** What the log says about this owner when it stops: its newest commit, and how long ago the store answered and a start was sent. */
    tenure(): Readonly<Record<string, number | undefined>>;
    /** The submissions that it refuses because it is late; undefined while it is not. */
    shedding(): Shedding | undefined;
    /**
     * Plans and sends no more starts, frees those that were not sent, and resolves once the others are settled and all changes are durable,
     * after `limitMs` at the latest. Callers, looks and ends are answered as before.
     */
    quiesce(limitMs: number): Promise<ClosedGate>;
    /** Plans starts again after `quiesce`. */
    resume(): void;
    close(): void;
}

/** Interval of the checks that depend only on time: leases, due occurrences, expired advice. */
const tickMs = 100;
/** Shorter differences between the clocks are due to their resolution. */
const minSuspensionMs = 20;
/** Weight of the newest tick in the moving average of its lateness, which covers about a second. */
const lagSmoothing = 0.1;
/**
 * Age at which the worker list and the configuration count as stale. With a healthy store they are at most 2.3 s old; older ones
 * may lack a worker that shrank or a cap that was lowered.
 */
const staleNewsMs = 3_000;
/**
 * Longest wait of a start for fresh data, since the store may answer only some of its calls for a long time; a call for changes
 * takes up to 1 s.
 */
const maxNewsWaitMs = 2_000;
const newsPauseMs = 20;
/** Delay of a pass over the waiting steps, so that all events within this time share one pass. */
const passDelayMs = 2;
/**
 * The next pass waits for this many times the duration of the last one. Passes thus take at most a third of the processor,
 * however many steps wait; calls to workers, pings and commits need the rest.
 */
const passRestFactor = 2;
/**
 * Most starts, other than those of gangs, that are planned and not sent, where commits take no time. The others keep their tasks waiting,
 * so that the most urgent of them is next.
 */
const maxStartsPlanned = 500;
/** Fewest starts that may be planned, so that a queue that stood still for a moment is filled again. */
const minStartsPlanned = 32;
/** Starts are planned ahead for this much of a commit's wait at the most; after a longer one, their tickets would end before they are sent. */
const maxCommitWaitMs = 800;
/** Starts that an idle daemon sends in one turn of the event loop, in much less than the 150 ms after which one counts as unanswered. */
const usualStartsPerTurn = 128;
/** Lateness of timers at which a turn sends twice as many: turns are rarer then, for reasons other than the starts. */
const doublingLagMs = 250;
/** Planned starts are sent within this time, a fraction of a ticket's validity; the room that they hold is idle meanwhile. */
const maxStartQueueMs = 400;
/** Time after which a start makes room for the next one, with or without an answer. */
const maxStartAnswerMs = 200;
/** The same for a start that was not sent in time; its worker or the store may keep it longer, and must not hold up the others. */
const maxUnsentWaitMs = 1_000;
/** Most log lines a second about planned starts that were dropped; the counters have all of them. */
const maxDropLinesPerS = 20;
/** First looks at all workers take a new owner 1 to 2 s. Callers wait for 3 s in all, so that it counts as settled after this time. */
const maxSettlingMs = 3_000;
/** An owner whose timers are later than this is too busy for occurrences beside the open ones of their job. */
const maxBacklogLagMs = 50;
/** Ticks between searches for ended jobs to delete. */
const forgetIntervalTicks = 50;
/** Ticks between reviews of all accepted tasks; a task that was missed by an event is delayed by at most a second. */
const reviewIntervalTicks = 10;

/** Returns the latency objective of an ended job for its log line; empty for a job that goes on, is scheduled, or has none. */
const objectiveOf = (job: ShardJob): { readonly objectiveMs?: number; } => {
    const objectiveMs = job.occurrences.get(0)?.timing?.objectiveMs ?? Infinity;
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
    /** Whether every worker that answers has listed its runs since the takeover. */
    let areRunsKnown = false;
    let passScheduled = false;
    /** Duration of the newest pass. */
    let passMs = 0;
    let ticks = 0;
    let lagMs = 0;
    let tickDueMs = clock.monotonicMs() + tickMs;
    const startedAtMs = clock.monotonicMs();
    /** Time for which this VM was suspended since the newest call that the store has answered; the monotonic clock stands still then. */
    let suspendedMs = 0;
    /** When this VM was last found to have been suspended. */
    let resumedAtMs = -Infinity;
    let startSentAtMs: number | undefined;
    let nextOrder = 1;
    let rejectWaiting: (error: Error) => void = () => {};

    const guard = createGuard({ clock, log, meter });

    /** Stops this owner and reports that it does not own the shard any more. */
    const stopFenced = (reason: string): void => {
        if (!closed) {
            close();
            options.onFenced(reason);
        }
    };

    /** Keys of rows without a submission row that former owners left, by job ID; they are removed, or become rows of a new job of that ID. */
    const leftovers = new Map<string, readonly string[]>();
    /** IDs of the jobs with rows that this owner cannot read. */
    let leftOut: ReadonlySet<string> = new Set();

    const encode = (jobId: string): RowChange => {
        const job = jobs.get(jobId);
        const left = leftovers.get(jobId) ?? [];
        if (job === undefined) {
            const { puts, removes } = endedJobs.encode(jobId);
            return { puts, removes: [...removes, ...left.map(key => ({ table: journalTable, key }))] };
        }
        for (const key of left) {
            job.storedRows.set(key, "");
        }
        leftovers.delete(jobId);
        return encodeJob(job, clock, options.store.limits);
    };

    const recordWrittenRows = (jobId: string, written: RowChange): void => {
        const job = jobs.get(jobId);
        if (job !== undefined) {
            recordWritten(job, written);
            return;
        }
        const removed = new Set(written.removes.map(({ key }) => key));
        const left = (leftovers.get(jobId) ?? []).filter(key => !removed.has(key));
        if (left.length > 0) {
            leftovers.set(jobId, left);
        }
        else {
            leftovers.delete(jobId);
        }
    };

    /**
     * Version of the claim or of the newest commit. Commits are conditional on the claim, so that their versions are above the
     * claim's own and below that of any successor's claim.
     */
    let newestVersion = fencingToken;
    const commits = createCommitLog({
        clock,
        log,
        meter,
        store: options.store,
        part,
        ownerVersion: fencingToken,
        sequenceVersion: claimed.sequenceVersion,
        storeLatencyMs: claimed.storeLatencyMs,
        claimId,
        encode,
        onWritten: recordWrittenRows,
        onSetAside: jobId => abandonStarts(jobs.get(jobId)),
        rowsDue: () => runTimesRow.due(),
        onCommitted: version => {
            newestVersion = version;
        },
        onFenced: () => stopFenced("commit"),
    });

    const pauseGuard = createPauseGuard({
        clock,
        log,
        fencingToken,
        claimedMs: claimed.claimedMs,
        provenAtMs: commits.answeredAtMs,
        // An owner that is cut off as it wakes notices that only after `silentMs`, with a tick on either side.
        maxPauseMs: settings.formerOwnerMs - settings.silentMs - 2 * tickMs,
        confirm: commits.confirm,
    });

    const endedJobs = createEndedJobs({ clock, retentionMs: settings.retentionMs, write: commits.commit });

    const reader = createRowReader({ log, meter });

    const runTimes = createRunTimes();
    const speedsReport = createSpeedsReport({ clock, log, meter, runTimes });
    const runTimesRow = createRunTimesRow({ clock, log, reader, runTimes });

    const progress = createOwnerProgress({
        clock,
        log,
        meter,
        newsAgeMs: options.newsAgeMs,
        stalledMs: commits.stalledMs,
        newestAnswerAtMs: () =>
            Math.max(startedAtMs, ...[...workers.all.values()].map(({ answeredAtMs }) => answeredAtMs)),
    });

    const commit = async (job: ShardJob): Promise<void> => {
        const { state } = job;
        await commits.commit(job.submission.jobId);
        if (jobs.get(job.submission.jobId) !== job) {
            // It was withdrawn or forgotten meanwhile, so that the commit has removed its rows.
            return;
        }
        if (!job.stored) {
            progress.recordAcceptance();
        }
        job.stored = true;
        // A task may have started during the commit.
        showState(job, state === jobStates.queued && job.started ? jobStates.running : state);
    };

    const showState = (job: ShardJob, state: JobState): void => {
        if (job.visibleState !== state) {
            const { submission: { jobId }, visibleState } = job;
            const failure = state === jobStates.failed ? job.failure : undefined;
            log.write("info", "jobState", { jobId, from: visibleState, to: state, ...failure, ...objectiveOf(job) });
            job.visibleState = state;
            if (failure !== undefined) {
                meter.count(`jobsFailed.${failure.cause}`);
            }
        }
    };

    /** Refuses calls about a job with rows that this owner cannot read: it was accepted, and a next owner may be able to read them. */
    const requireReadable = (jobId: string, kind: "mayHaveRun" | "unavailable"): void => {
        if (leftOut.has(jobId) && !jobs.has(jobId)) {
            die(kind, `the rows of the job ${jobId} cannot be read`);
        }
    };

    /** Returns the organisation of a job, also of one that is not durable yet and has no visible state. */
    const organisationOf = (jobId: string): string | undefined => {
        const job = jobs.get(jobId);
        return job === undefined ? endedJobs.find(jobId)?.job.organisation : job.account.organisation;
    };

    /** Jobs of other organisations are hidden from a caller; a job that belongs to no organisation is visible to all. */
    const isVisible = ({ jobId, organisation }: JobReference): boolean => {
        const owner = organisationOf(jobId) ?? "";
        return owner === "" || organisation === undefined || organisation === owner;
    };

    const shownStatusOf = (jobId: string): JobStatus | undefined => {
        const job = jobs.get(jobId);
        if (job?.visibleState === undefined) {
            return undefined;
        }
        return { state: job.visibleState, ...(job.visibleState === jobStates.failed ? { failure: job.failure } : {}) };
    };

    /**
     * Waits until it is proven that no other daemon owned the shard when this was called. A replaced owner that has not noticed it does not
     * know the jobs of its successor, and must not tell a caller that they do not exist.
     */
    const confirmOwnership = (): Promise<void> => commitWait.until(commits.confirm(), "unavailable");

    /** Returns the state of an ended job once it is durable. */
    const endedStatusOf = async (jobId: string): Promise<JobStatus | undefined> => {
        const outcome = (await endedRead).find(jobId);
        if (outcome !== undefined) {
            await commitWait.until(outcome.written, "unavailable");
        }
        return outcome?.job;
    };

    const statusOf = async (job: JobReference): Promise<JobStatus | undefined> => {
        const { jobId } = job;
        requireReadable(jobId, "unavailable");
        let status = shownStatusOf(jobId) ?? await endedStatusOf(jobId);
        if (status === undefined) {
            await confirmOwnership();
            status = shownStatusOf(jobId) ?? await endedStatusOf(jobId);
        }
        if (status === undefined || !isVisible(job)) {
            log.write("info", "jobUnknown", { jobId, fencingToken, hidden: status !== undefined });
            return undefined;
        }
        return { state: status.state, failure: status.failure };
    };

    /** Marks a job as started. This is not committed, since a successor reads the job's runs, or their ends, from the workers. */
    const markStarted = (job: ShardJob): void => {
        job.started = true;
        if (!hasEnded(job)) {
            job.state = jobStates.running;
            showState(job, job.state);
        }
    };

    const workers = createShardWorkers({
        clock,
        log,
        meter,
        settings,
        port: options.workers,
        fencingToken,
        newestToken: () => newestVersion,
        confirm: commits.confirm,
        held: pauseGuard.held,
        mayStart: () => gate.isOpen(),
        lagMs: () => presentLagMs(),
        listAgeMs: options.listAgeMs,
        jobOf: jobId => jobs.get(jobId),
        isLeftOut: jobId => leftOut.has(jobId) && !jobs.has(jobId),
        changed: job => commitChange(job),
        onNextIncarnation: workerId => {
            for (const job of jobs.values()) {
                forgetWorker(job, workerId);
            }
        },
        onStarted: markStarted,
        wake: () => wake(),
        onRunsKnown: () => {
            areRunsKnown = true;
            review.runAndReport();
        },
        runTimes,
        onFenced: () => stopFenced("worker"),
    });

    /** Applies the consequences of a change of a job, and commits it. */
    const commitChange = (job: ShardJob): Promise<void> => {
        if (!hasEnded(job)) {
            job.state = job.started ? jobStates.running : jobStates.queued;
        }
        // The change is committed in any case: an end that was applied counts as durable afterwards.
        guard.call("placement", () => {
            const place = hasEnded(job) ? taskPlacer.removeJob : taskPlacer.updateJob;
            place(job);
        });
        wake();
        return commit(job).then(() => {
            if (hasEnded(job)) {
                for (const run of [...runsOf(job)]) {
                    workers.stop(run);
                }
            }
        });
    };

    const adviceDispatcher = createAdviceDispatcher({
        clock,
        log,
        meter,
        lanes: options.adviceLanes,
        call: options.callAdvice,
        lagMs: () => presentLagMs(),
    });

    /**
     * Waits until the worker list and the configuration are fresh. After an outage the store may commit a planned start before it
     * delivers changes again; the start would then ignore workers that shrank or drain, and caps that were lowered meanwhile.
     */
    const waitForFreshNews = async (): Promise<void> => {
        const untilMs = clock.monotonicMs() + maxNewsWaitMs;
        while (!closed && options.newsAgeMs() > staleNewsMs && clock.monotonicMs() < untilMs) {
            await sleep(clock, newsPauseMs);
        }
    };

    /**
     * Returns whether a planned run may be sent to its worker, which may have drained, shrunk, become silent or gone while the plan
     * was committed. An order to a silent worker is lost, or reaches an incarnation that is not listed yet.
     */
    const isStartable = (run: ShardRun): boolean => {
        const worker = workers.all.get(run.workerId);
        return worker !== undefined && run.phase === runPhases.planned && run.task.runs.includes(run)
            && !run.task.done && !worker.entry.draining && !worker.cordoned && worker.silentLooks === 0
            && isListed(worker, clock.monotonicMs()) && stillFits(worker, run);
    };

    /** Runs whose start orders are to be sent, without those of gangs, which are placed only as a whole. */
    const plannedStarts = new Set<ShardRun>();

    /** How late timers fire now: on average, or the one that is due next where it is later. */
    const presentLagMs = (): number => Math.max(0, lagMs, clock.monotonicMs() - tickDueMs);

    const startsPerTurn = (): number => Math.round(usualStartsPerTurn * (1 + presentLagMs() / doublingLagMs));

    /** How many starts this daemon can send soon: by its pace where starts are waiting, else as many as its turns allow. */
    const startsSentSoon = (): number => {
        const pacePerMs = starts.pacePerMs();
        if (pacePerMs !== undefined) {
            return Math.min(maxStartsPlanned, Math.max(minStartsPlanned, pacePerMs * maxStartQueueMs));
        }
        const inTurn = startsPerTurn();
        const inTime = inTurn * maxStartQueueMs / (startTurnMs + presentLagMs());
        return Math.min(maxStartsPlanned, Math.max(inTurn, inTime));
    };

    /**
     * How many more starts may be planned: as many as this daemon can send soon, and as many as it could send while they wait for their
     * commit. Without the latter, a slow store would limit the rate of starts.
     */
    const freeStarts = (): number => {
        const sentSoon = startsSentSoon();
        const commitWaitMs = Math.min(maxCommitWaitMs, commits.expectedWaitMs());
        const most = Math.floor(sentSoon * (1 + commitWaitMs / maxStartQueueMs));
        if (plannedStarts.size >= most) {
            // The starts of a job that was withdrawn have ended without an order.
            for (const run of plannedStarts) {
                if (!run.task.runs.includes(run)) {
                    plannedStarts.delete(run);
                }
            }
        }
        return most - plannedStarts.size;
    };

    const leavePlanned = (run: ShardRun): void => {
        const isPlacingPaused = freeStarts() <= 0;
        plannedStarts.delete(run);
        if (isPlacingPaused) {
            wake();
        }
    };

    /** Frees the capacity of planned starts; returns whether there were any, since those of a job that was withdrawn are gone already. */
    const freePlanned = (runs: readonly ShardRun[]): boolean => {
        let freed = false;
        for (const run of runs) {
            const worker = workers.all.get(run.workerId);
            if (worker !== undefined && run.phase === runPhases.planned && run.task.runs.includes(run)) {
                dropRun(worker, run);
                freed = true;
            }
            leavePlanned(run);
        }
        return freed;
    };

    /**
     * Frees the capacity of a job's planned starts, of which none may be sent while the store cannot take the job. The review of tasks
     * hands the job back to the task placer.
     */
    const abandonStarts = (job: ShardJob | undefined): void => {
        if (job === undefined) {
            return;
        }
        taskPlacer.removeJob(job);
        freePlanned([...runsOf(job)].filter(({ phase }) => phase === runPhases.planned));
    };

    /** Frees the capacity of all planned starts, and commits it, so that a successor's rows list no run that was never sent. */
    const freeAllPlanned = (): number => {
        const planned = [...workers.all.values()]
            .flatMap(({ runs }) => [...runs.values()])
            .filter(({ phase }) => phase === runPhases.planned);
        freePlanned(planned);
        for (const job of new Set(planned.map(jobOf))) {
            void guard.run("jobChange", () => commitChange(job));
        }
        return planned.length;
    };

    const gate = createStartGate({
        clock,
        freePlanned: freeAllPlanned,
        written: commits.written,
        onOpened: () => wake(),
    });

    /** Whether the worker has left a start unanswered while this one was queued, which would most likely be lost as well. */
    const isBehindUnanswered = ({ workerId }: ShardRun): boolean => {
        const worker = workers.all.get(workerId);
        return worker !== undefined && worker.unansweredStarts > 0 && clock.monotonicMs() < worker.avoidUntilMs;
    };

    const hasTicket = ({ task, workerId }: ShardRun): boolean =>
        ticketFor(task.step, workerId, clock.monotonicMs()) !== undefined;

    /** Reasons for which a planned start is not sent. */
    const startProblems: Readonly<Record<string, (run: ShardRun) => boolean>> = {
        closed: () => closed,
        handingOver: () => !gate.isOpen(),
        jobEnded: run => hasEnded(jobOf(run)),
        notStartable: run => !isStartable(run),
        unanswered: isBehindUnanswered,
        noTicket: run => !hasTicket(run),
    };

    const startProblemOf = (run: ShardRun): string | undefined => {
        for (const [problem, applies] of Object.entries(startProblems)) {
            if (applies(run)) {
                return problem;
            }
        }
        return undefined;
    };

    /** Resolves once a start is settled, or after a time. */
    const settledWithin = (settled: Promise<void>, limitMs: number): Promise<void> =>
        new Promise((resolve, reject) => {
            const cancel = clock.setTimer(limitMs, resolve);
            settled.then(resolve, reject).finally(cancel);
        });

    /** Sends a start; resolves once it was answered or given up, or has waited so long that it no longer keeps others back. */
    const sendStart = async (run: ShardRun): Promise<StartAnswer> => {
        const ticket = ticketFor(run.task.step, run.workerId, clock.monotonicMs()) ?? "";
        const settled = gate.track(workers.start(run, ticket));
        await settledWithin(settled, maxStartAnswerMs);
        if (run.sentLate) {
            // It still waits in this process, and others would wait behind it.
            await settledWithin(settled, maxUnsentWaitMs);
            return "unanswered";
        }
        if (run.phase !== runPhases.starting) {
            return "answered";
        }
        // Set once the order counts as unanswered; the timer above may fire before an answer that has arrived was read.
        return run.absenceProvenAfterMs === undefined ? "open" : "unanswered";
    };

    const dropLines = createBucket(clock, () => maxDropLinesPerS);

    /** Sends a start, or the members of a gang: none of these is sent where one of them cannot be, since the others would wait for it. */
    const sendStarts = (runs: readonly ShardRun[], queuedMs: number): readonly Promise<StartAnswer>[] => {
        const [first] = runs;
        if (first === undefined) {
            return [];
        }
        meter.record("startQueuedMs", queuedMs);
        const { step } = first.task;
        const problem = runs.map(startProblemOf).find(each => each !== undefined);
        if (problem !== undefined) {
            meter.count(`startsDropped.${problem}`, runs.length);
            if (dropLines.take()) {
                log.write("info", "startsDropped", {
                    step: stepNameOf(step),
                    run: first.run,
                    starts: runs.length,
                    problem,
                    queuedMs: Math.round(queuedMs),
                });
            }
            if (freePlanned(runs)) {
                void guard.run("jobChange", () => commitChange(jobOf(first)));
            }
            return [];
        }
        progress.recordStart();
        startSentAtMs = clock.monotonicMs();
        return runs.map(run => {
            leavePlanned(run);
            return guard.answer<StartAnswer>("start", () => sendStart(run), "unanswered");
        });
    };

    const starts = createStartQueue({ clock, startsPerTurn, send: sendStarts });

    const loadReport = createLoadReport({
        clock,
        log,
        meter,
        lagMs: () => lagMs,
        planned: () => ({ starts: plannedStarts.size, free: freeStarts() }),
        queue: starts.load,
        stalledMs: commits.stalledMs,
        workers: workers.all,
    });

    const startPlanned = (job: ShardJob, runs: readonly ShardRun[]): void => {
        if (commits.setAsideReason(job.submission.jobId) !== undefined) {
            abandonStarts(job);
            void guard.run("jobChange", () => commit(job));
            return;
        }
        for (const run of runs.filter(({ task }) => !task.step.spec.gang)) {
            plannedStarts.add(run);
        }
        const startOnceDurable = async (): Promise<void> => {
            await commit(job);
            const durableAtMs = clock.monotonicMs();
            for (const run of runs) {
                run.durableAtMs = durableAtMs;
            }
            await waitForFreshNews();
            starts.add(runs);
        };
        void guard.run("plannedStarts", startOnceDurable, () => freePlanned(runs));
    };

    const taskPlacer = createTaskPlacer({
        clock,
        log,
        meter,
        settings,
        workers: workers.all,
        accounts,
        dispatcher: adviceDispatcher,
        freeStarts,
        onPlanned: startPlanned,
        onPreempt: workers.stop,
        runTimes: settings.policies.runTimes === "ignored" ? undefined : runTimes,
        wake: () => wake(),
    });

    const backlog = createBacklog({ clock, workers: workers.all, policies: settings.policies });
    const { admission: admissionPolicy = "backlogAndLag" } = settings.policies;
    const shedding = createOwnerShedding({
        clock,
        priorities: () => [...queues.values()].map(({ priority }) => priority),
        inProgress: () => admission.inProgress(),
        isSettling: () => !areRunsKnown && clock.monotonicMs() - startedAtMs < maxSettlingMs,
        retryAfterMs: settings.retryAfterMs,
    });
    const admission = createAdmission({
        clock,
        log,
        meter,
        workers: workers.all,
        backlog: admissionPolicy === "none" ? { ...backlog, of: () => undefined } : backlog,
        lagMs: () => lagMs,
        shedding: shedding.current,
    });

    const review = createTaskReview({ clock, log, meter, jobs, workers: workers.all, taskPlacer });

    const wake = (): void => {
        if (passScheduled || closed || !gate.isOpen()) {
            return;
        }
        passScheduled = true;
        clock.setTimer(Math.max(passDelayMs, passRestFactor * passMs), () => {
            passScheduled = false;
            if (!closed && gate.isOpen()) {
                const beganAtMs = clock.monotonicMs();
                taskPlacer.runPass();
                passMs = clock.monotonicMs() - beganAtMs;
                loadReport.recordPass(passMs);
            }
        });
    };

    const dueOccurrences = createDueOccurrences({
        clock,
        jobs,
        maxHeldTasks: settings.maxHeldTasks,
        isLate: () => lagMs > maxBacklogLagMs,
        onOpened: job => {
            taskPlacer.updateJob(job);
            wake();
        },
    });

    const forgetExpiredJobs = (nowMs: number): void => {
        endedJobs.forgetExpired();
        for (const [jobId, job] of jobs) {
            if (job.endedAtMs !== undefined && nowMs - job.endedAtMs > settings.retentionMs) {
                jobs.delete(jobId);
                void commits.commit(jobId);
            }
        }
    };

    const areMostWorkersSilent = (nowMs: number): boolean => {
        const silent =
            [...workers.all.values()].filter(worker => nowMs - worker.answeredAtMs > settings.silentMs).length;
        return 2 * silent > workers.all.size;
    };

    const areAllPeersSilent = (nowMs: number): boolean => {
        const answeredAtMs = options.peerAnsweredAtMs?.();
        return answeredAtMs !== undefined && nowMs - answeredAtMs > settings.silentMs;
    };

    /**
     * Returns whether the store does not answer this owner, and neither do most workers, the other data centres or any other daemon. It
     * may then have been replaced without receiving the new owner row, and must stop renewing leases before `formerOwnerMs`, the time that
     * its successor allows for this, is over. Workers alone do not show it: most of them may be on this side of the cut.
     */
    const isCutOff = (nowMs: number): boolean => {
        const isSeparated = options.isPartitioned?.() === true || areAllPeersSilent(nowMs)
            || areMostWorkersSilent(nowMs);
        if (!isSeparated || nowMs - startedAtMs < settings.cutOffMs) {
            return false;
        }
        if (nowMs - commits.answeredAtMs() > settings.silentMs) {
            commits.probe();
        }
        const stalledMs = commits.stalledMs();
        return nowMs + suspendedMs - commits.answeredAtMs() > settings.cutOffMs
            && stalledMs > 0 && stalledMs + suspendedMs > settings.silentMs;
    };

    const recordSuspension = (): void => {
        const stoodStillMs = pauseGuard.check();
        if (stoodStillMs > minSuspensionMs) {
            suspendedMs += stoodStillMs;
            resumedAtMs = clock.monotonicMs();
        }
        if (commits.answeredAtMs() > resumedAtMs) {
            suspendedMs = 0;
        }
    };

    /** Corrects the accounts by the runs of all workers; one that still counts an ended run would limit its organisation for ever. */
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
        lagMs += lagSmoothing * (nowMs - tickDueMs - lagMs);
        tickDueMs = nowMs + tickMs;
        recordSuspension();
        if (isCutOff(nowMs)) {
            stopFenced("cutOff");
            return;
        }
        // Each part is guarded by itself: one that fails must end neither the others nor the timer.
        guard.call("leases", () => workers.checkLeases(nowMs));
        guard.call("dueOccurrences", () => dueOccurrences.open());
        if (ticks % forgetIntervalTicks === 0) {
            guard.call("expiredJobs", () => forgetExpiredJobs(nowMs));
        }
        if (ticks % reviewIntervalTicks === 0) {
            guard.call("taskReview", () => review.run());
            guard.call("speedsReport", () => speedsReport.review());
            guard.call("ownerProgress", () => progress.review(taskPlacer.waitingSteps()));
            guard.call("loadReport", () => loadReport.write(taskPlacer.waitingSteps()));
            guard.call("accounts", reviewAccounts);
        }
        if (taskPlacer.activeSteps() > 0) {
            wake();
        }
        guard.call("advice", () => adviceDispatcher.wake());
        clock.setTimer(tickMs, tick);
    };

    /** Rejects with `mayHaveRun` once this daemon no longer owns the shard. */
    const ownershipLost = new Promise<never>((_resolve, reject) => {
        rejectWaiting = reject;
    });
    ownershipLost.catch(() => {});
    const commitWait = createCommitWait({ clock, settings, commits, ownershipLost });

    const close = (): void => {
        closed = true;
        rejectWaiting(errorOf({ kind: "mayHaveRun", message: "this daemon no longer owns the shard" }));
        shedding.close();
        commits.stop();
        adviceDispatcher.close();
        workers.close();
        upkeep?.close();
    };

    const restoreFromRows = (): void => {
        runTimesRow.restore(claimed.rows);
        const restored = restoreJobs(claimed.rows, { reader, accounts, clock });
        for (const job of restored.jobs) {
            nextOrder = Math.max(nextOrder, job.order + 1);
            jobs.set(job.submission.jobId, job);
            admission.accepted(job);
        }
        workers.restoreRuns(restored.runs);
        workers.restoreLosses(restored.losses);
        leftOut = restored.leftOut;
        for (const [jobId, keys] of restored.leftovers) {
            leftovers.set(jobId, keys);
        }
        for (const job of jobs.values()) {
            taskPlacer.updateJob(job);
            if (job.state !== job.visibleState) {
                void guard.run("jobChange", () => commitChange(job));
            }
        }
        log.write("info", "shardRestored", {
            part,
            fencingToken,
            // Every commit of a former owner has at most this version; a later one was refused.
            sequenceVersion: claimed.sequenceVersion,
            jobs: jobs.size,
            runs: restored.runs.length,
        });
    };

    /** Reads the jobs that ended under former owners, while the other jobs are already being placed. */
    const readEnded = async (): Promise<EndedJobs> => {
        const read = await readAllRows({
            clock,
            log,
            store: options.store,
            table: endedTable,
            part,
            isNeeded: () => !closed,
        });
        const rows = read?.rows ?? [];
        for (const row of rows) {
            const job = reader.entryOf(row, decodeEnded(row));
            if (job !== undefined) {
                endedJobs.restore(row.key, job);
            }
        }
        log.write("info", "endedRead", { part, jobs: rows.length, complete: read !== undefined });
        if (read === undefined) {
            return ownershipLost;
        }
        for (const jobId of leftovers.keys()) {
            void commits.commit(jobId);
        }
        return endedJobs;
    };

    const openUpkeep = (): Upkeep | undefined => {
        if (options.upkeep === undefined) {
            return undefined;
        }
        const { port, holderId, stateRow, staleOrderWindowMs } = options.upkeep;
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
            onIncarnationEnded: workerId => workers.endIncarnation(workerId, "upkeep"),
            staleOrderWindowMs,
            rows,
        });
    };

    restoreFromRows();
    const upkeep = openUpkeep();
    const endedRead = readEnded();
    endedRead.catch(() => {});
    clock.setTimer(tickMs, tick);
    if (admissionPolicy === "backlogAndLag") {
        shedding.start();
    }

    const submit = createAcceptance({
        clock,
        log,
        meter,
        jobs,
        queueOf: queueKey => queues.get(queueKey),
        accounts,
        admission,
        nextOrder,
        commits,
        commitWait,
        maxHeldTasks: settings.maxHeldTasks,
        backlogMs: service => {
            const { work = [], capacityCores = 1 } = backlog.of(service) ?? {};
            return work.reduce((sum, { coreMs }) => sum + coreMs, 0) / capacityCores;
        },
        explainOversized: job => explainOversized(encodeJob(job, clock, options.store.limits), options.store.limits),
        commit,
        scheduleJob: job => {
            taskPlacer.updateJob(job);
            wake();
        },
        dropPlannedStarts: job => {
            taskPlacer.removeJob(job);
            for (const run of [...runsOf(job)]) {
                workers.stop(run);
            }
        },
        endedJobs: endedRead,
    });

    /** Commits of cancelled jobs, by job. Callers repeat a cancel until it is answered; its copies wait for the same commit. */
    const cancelCommits = new WeakMap<ShardJob, Promise<void>>();

    const commitCancel = (job: ShardJob): Promise<void> => {
        const earlier = cancelCommits.get(job);
        if (earlier !== undefined) {
            return earlier;
        }
        cancelJob(job, clock.monotonicMs());
        log.write("info", "jobCancelled", { jobId: job.submission.jobId, state: job.state, fencingToken });
        const written = commitChange(job);
        cancelCommits.set(job, written);
        return written;
    };

    const cancelKnownJob = (job: ShardJob): Promise<void> => Promise.race([commitCancel(job), ownershipLost]);

    const cancel = async (reference: JobReference): Promise<boolean> => {
        const { jobId } = reference;
        requireReadable(jobId, "unavailable");
        const outcome = jobs.has(jobId) ? undefined : (await endedRead).find(jobId);
        const job = jobs.get(jobId);
        if (job !== undefined || outcome !== undefined) {
            const visible = isVisible(reference);
            if (visible) {
                await (job === undefined ? Promise.race([outcome?.written, ownershipLost]) : cancelKnownJob(job));
            }
            return visible;
        }
        log.write("info", "cancelWithoutJob", { jobId, fencingToken });
        // Its commit proves as well that no other daemon has accepted the job.
        await Promise.race([endedJobs.recordCancel(reference), ownershipLost]);
        return false;
    };

    /** State for operators' queries, after the store has confirmed the ownership: a replaced owner must not answer from old state. */
    const confirmedState = async (): Promise<QueriedState> => {
        try {
            await confirmOwnership();
        }
        catch (error) {
            // A query has no effect, so that it is safe to repeat in any case.
            throw errorOf({ ...failureOf(error), kind: "unavailable" });
        }
        return {
            jobs,
            accounts,
            workers: workers.all,
            nowMs: clock.monotonicMs(),
            wallMs: clock.nowMs(),
            plannedStartMs: taskPlacer.plannedStartMs,
        };
    };

    const queries: ShardQueries = {
        explainJob: async jobId => {
            const explanation = explainJob(jobId, await confirmedState());
            const ended = explanation === undefined ? await endedStatusOf(jobId) : undefined;
            return ended === undefined ? explanation : {
                jobId,
                state: ended.state,
                ...(ended.failure === undefined ? {} : { failure: ended.failure }),
                organisation: organisationOf(jobId) ?? "",
                steps: [],
                omittedSteps: 0,
            };
        },
        listOrganisations: async () => listOrganisations(await confirmedState()),
        listSpeeds: async () => {
            const { workers: listed } = await confirmedState();
            return listSpeeds(runTimes.entries(), listed);
        },
    };

    return {
        fencingToken,
        submit: async submission => {
            requireReadable(submission.jobId, "mayHaveRun");
            await submit(submission);
        },
        jobState: statusOf,
        cancel,
        queries,
        pending: () => {
            const counts: Record<string, number> = {};
            for (const job of jobs.values()) {
                if (job.visibleState === jobStates.queued && job.submission.schedule.repeatCount === 0) {
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
            adviceDispatcher.wake();
        },
        stalledMs: commits.stalledMs,
        lagMs: () => lagMs,
        tenure: () => {
            const nowMs = clock.monotonicMs();
            return {
                newestVersion,
                storeAnsweredMsAgo: Math.round(nowMs - commits.answeredAtMs()),
                startSentMsAgo: startSentAtMs === undefined ? undefined : Math.round(nowMs - startSentAtMs),
            };
        },
        shedding: shedding.current,
        quiesce: gate.close,
        resume: gate.open,
        close,
    };
};
