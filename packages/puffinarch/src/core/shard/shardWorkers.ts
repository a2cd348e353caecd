/** Manages the workers of a shard and their runs: links, looks, the platform's list, draining, restarted workers and expired leases. */

import type { FencedWorkerPort } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import type { WorkerEntry } from "../../types/work.js";
import { createGuard } from "../../utils/guard.js";
import { sleep } from "../../utils/time.js";
import { createCorrelatedCrashes } from "./correlatedCrashes.js";
import { type CrashedRun, crashedRuns, needsTrial, recordConfirmedRuns } from "./crashes.js";
import { createDelayedStarts, type DelayedStart } from "./delayedStarts.js";
import { createEndsWithoutTask } from "./endsWithoutTask.js";
import { createFirstLooks } from "./firstLooks.js";
import { createGangWatch } from "./gangWatch.js";
import { incarnationOf, isOtherIncarnation } from "./incarnations.js";
import { findTask, newRun, runPhases, type ShardJob, type ShardRun } from "./jobModel.js";
import { createLookSlots } from "./lookSlots.js";
import { createLostRuns } from "./lostRuns.js";
import { enterIncarnation, isSettledByLook, leaveIncarnation, withUndecided } from "./nextIncarnation.js";
import { createPacer } from "./pacer.js";
import { runTimeOf, type RunTimes } from "./runTimes.js";
import type { ShardSettings } from "./shardSettings.js";
import type { RestoredLoss, StoredRun } from "./taskRows.js";
import { holdsForOneIncarnation, mayArrive } from "./unansweredStart.js";
import { withAnswers } from "./workerAnswers.js";
import { openWorkerLink, type WorkerLink } from "./workerLink.js";
import {
    adoptRun,
    dropRun,
    isLeaving,
    newWorker,
    runKey,
    type ShardWorker,
    slowestClockRate,
    updateEntry,
} from "./workerTable.js";
import { createWorkerWatch } from "./workerWatch.js";

/** What `createShardWorkers` needs. */
export interface ShardWorkersOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly settings: ShardSettings;
    readonly port: FencedWorkerPort;
    readonly fencingToken: number;
    /** Highest token that surely belongs to this owner now; defaults to `fencingToken`. */
    readonly newestToken?: () => number;
    /** Writes a batch, if only to get a newer token, and resolves once it is durable. */
    readonly confirm?: () => Promise<unknown>;
    /** Resolves once leases may be renewed and runs started; undefined if they may now. They always may where it is left out. */
    readonly held?: () => Promise<void> | undefined;
    /** Whether starts may be sent; they always may where it is left out. */
    readonly mayStart?: () => boolean;
    /** How late timers of this process fire now, in ms; never late where it is left out. */
    readonly lagMs?: () => number;
    /** Age of the platform's list of workers in ms, for the log. */
    readonly listAgeMs?: (() => number) | undefined;
    readonly jobOf: (jobId: string) => ShardJob | undefined;
    /** Whether a job has rows that this owner cannot read; none has where it is left out. */
    readonly isLeftOut?: (jobId: string) => boolean;
    /** Called when a job has changed; resolves once the change is durable. */
    readonly changed: (job: ShardJob) => Promise<void>;
    /** Called when a worker has restarted; what steps and tasks recorded under its id applied to the former incarnation. */
    readonly onNextIncarnation: (workerId: string) => void;
    /** Called when a worker has confirmed the start of a task of the job. */
    readonly onStarted: (job: ShardJob) => void;
    /** Called when capacity may have become free. */
    readonly wake: () => void;
    /** Called once, when every worker that answers has reported its runs. */
    readonly onRunsKnown: () => void;
    /** Learns from the ends of runs; nothing is learned where it is left out. */
    readonly runTimes?: Pick<RunTimes, "recordEnd"> | undefined;
    /** Called when a worker has rejected a call because it has seen another owner's higher token. */
    readonly onFenced: () => void;
}

/** Tracks the workers of a shard and sends orders to them. */
export interface ShardWorkers {
    readonly all: ReadonlyMap<string, ShardWorker>;
    /** Adds runs whose intent a former owner made durable. Each holds capacity until its worker's first look settles it. */
    restoreRuns(runs: readonly StoredRun[]): void;
    /** Adds losses that a former owner left unresolved: runs on workers that may have crashed. */
    restoreLosses(losses: readonly RestoredLoss[]): void;
    /**
     * Applies the platform's current list: all entries, the ids of workers whose entry cannot be read, and the age in ms of the
     * list that it replaces.
     */
    update(entries: readonly WorkerEntry[], unreadable?: ReadonlySet<string>, formerAgeMs?: number): void;
    /** Sends the start of a run whose intent is durable; resolves once it is settled whether the run was started. */
    start(run: ShardRun, ticket: string): Promise<void>;
    /** Stops a run; one that is only planned is dropped at once. */
    stop(run: ShardRun): void;
    /** Ends a worker's incarnation, on which surely nothing runs any more. */
    endIncarnation(workerId: string, reason: string): void;
    /** Drops runs whose leases have expired by now, and stops gangs that cannot become whole. */
    checkLeases(nowMs: number): void;
    close(): void;
}

/**
 * Age up to which the former list counts as current. Together with the grace for unlisted workers, an entry is used for less
 * than 4.5 s.
 */
const maxListingAgeMs = 2_000;

/** A new owner waits this long for the list, which usually comes sooner, before it looks at workers that are not listed. */
const unlistedLookDelayMs = 500;

/**
 * Age up to which an incarnation may hold the longest lease at a takeover. A look that was meant for the incarnation before grants it; such
 * looks leave within 1.5 s of the restart and arrive at most 12 s late. The rest covers clocks that differ between VMs.
 */
const maxYoungAgeMs = 20_000;

/** Placeholder entry of a worker that has runs but is not listed: nothing fits on it. */
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
 * Creates the manager of a shard's workers; it has none before the first list.
 *
 * @example
 * const workers = createShardWorkers({
 *     clock, log, meter, settings, port, fencingToken, jobOf, changed,
 *     onNextIncarnation, onStarted, wake, onRunsKnown, onFenced,
 * });
 * workers.update(entries);
 */
export const createShardWorkers = (options: ShardWorkersOptions): ShardWorkers => {
    const { clock, log, meter, settings, fencingToken, jobOf, changed, wake } = options;
    const startedAtMs = clock.monotonicMs();
    /** How long the longest lease may last by this daemon's clock. */
    const longestLeaseMs = settings.leaseLimitMs / slowestClockRate;
    const workers = new Map<string, ShardWorker>();
    const links = new Map<string, WorkerLink>();
    /** Start time, if known, of each worker's newest ended incarnation, by worker id. Its list entry may still be there. */
    const endedIncarnations = new Map<string, number | undefined>();
    /** The platform's newest list. */
    let listing: ReadonlyMap<string, WorkerEntry> = new Map();
    /** Stored runs of workers that have not been added yet, by worker. */
    const storedRunsByWorker = new Map<string, StoredRun[]>();
    const pacer = createPacer({ clock, log });
    const firstLooks = createFirstLooks(clock);
    const delayedStarts = createDelayedStarts(clock);
    const lookSlots = createLookSlots(clock);
    const guard = createGuard({ clock, log, meter });
    const port = withAnswers(options.port, guard);
    const changedJobs = new Set<ShardJob>();
    let closed = false;
    const lostRuns = createLostRuns(job => changedJobs.add(job));
    const correlatedCrashes = createCorrelatedCrashes();
    const endsWithoutTask = createEndsWithoutTask({ clock, log, meter, jobOf });

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

    const gangs = createGangWatch({
        clock,
        log,
        meter,
        gangWaitMs: settings.gangWaitMs,
        stopMs: settings.stopMs,
        lagMs: options.lagMs,
        stop: stopRun,
    });

    const watch = createWorkerWatch({
        clock,
        log,
        meter,
        stopMs: settings.stopMs,
        jobOf,
        isLeftOut: options.isLeftOut,
        listAgeMs: options.listAgeMs,
        claimedAtMs: startedAtMs,
        fencingToken,
        onEndWithoutTask: endsWithoutTask.record,
        onChange: job => changedJobs.add(job),
        countOthersAt: correlatedCrashes.countOthersAt,
        stop: (worker, run) => links.get(worker.workerId)?.stop(run),
        onStuck: (worker, run) => {
            worker.avoidUntilMs = Math.max(worker.avoidUntilMs, clock.monotonicMs() + settings.stuckWorkerRestMs);
            links.get(worker.workerId)?.stop(run);
        },
        // This incarnation rejects the late order by its fencing token, but the next one will not know that token.
        onFormerGone: ({ workerId }, { task, run }) => delayedStarts.record(workerId, { taskName: task.name, run }),
        onMemberLost: run => gangs.memberLost(run, "memberLost"),
        onAbsent: (worker, run) => {
            probe(worker, { taskName: run.task.name, run: run.run });
            // The order may be carried out until `mayArriveUntilMs`, so only a look after that time shows whether it was.
            const leftMs = (run.mayArriveUntilMs ?? 0) - clock.monotonicMs();
            clock.setTimer(leftMs + 1, () => links.get(worker.workerId)?.look());
        },
        lookAgain: (worker, run) => links.get(worker.workerId)?.lookWhileMissing(run),
        refuse: (worker, run) => links.get(worker.workerId)?.refuseRun(run),
        stopUnknown: (worker, taskName, run) => links.get(worker.workerId)?.stopUnknown(taskName, run),
        onDone: (worker, run) => {
            const end = runTimeOf(worker, run, clock.monotonicMs());
            meter.count(end === undefined ? "runTimes.ignored" : "runTimes.counted");
            if (end !== undefined) {
                options.runTimes?.recordEnd(end);
            }
        },
    });

    /** Tests with one order at a time whether a worker takes orders again. */
    const probe = (worker: ShardWorker, order: DelayedStart): void => {
        if (worker.unansweredOrder === undefined) {
            worker.unansweredOrder = order;
            links.get(worker.workerId)?.probe(order);
        }
    };

    /** Commits a job, again and again where that fails: the ends that wait for it must not be acknowledged before. */
    const commitJob = async (job: ShardJob): Promise<void> => {
        while (!closed && !await guard.run("jobChange", () => changed(job))) {
            await sleep(clock, settings.lookPauseMs);
        }
    };

    const commitChangedJobs = (): Promise<unknown> => {
        const all = [...changedJobs].map(commitJob);
        changedJobs.clear();
        return Promise.all(all);
    };

    const dropWorker = (worker: ShardWorker, reason: string): readonly CrashedRun[] => {
        links.get(worker.workerId)?.close();
        links.delete(worker.workerId);
        workers.delete(worker.workerId);
        log.write("info", "workerGone", { ...incarnationOf(worker), reason, runs: worker.runs.size });
        const crashed = watch.loseRuns(worker, reason);
        void commitChangedJobs();
        return crashed;
    };

    /** Counts a crash for each run that may have caused it, unless the worker went down as planned. */
    const countCrashes = (worker: ShardWorker, crashed: readonly CrashedRun[]): void => {
        if (!isLeaving(worker)) {
            watch.countCrashes(worker.workerId, crashed);
            void commitChangedJobs();
        }
    };

    const endIncarnation = (worker: ShardWorker, reason: string): void => {
        const crashed = withUndecided(worker, dropWorker(worker, reason));
        countCrashes(worker, [...crashed, ...lostRuns.replaced(worker.entry.address, "")]);
    };

    /**
     * Ends an incarnation and records it, since its entry may stay listed until the entry expires or the next incarnation
     * replaces it.
     */
    const endAndRecordIncarnation = (worker: ShardWorker, reason: string): void => {
        endedIncarnations.set(worker.workerId, worker.bornAtMs ?? worker.entry.bornAtMs);
        endIncarnation(worker, reason);
    };

    /**
     * Replaces the state of a worker that answers as another incarnation. Runs of the former incarnation are over, except
     * those that the new one may have; these are not started elsewhere until the new one has listed or rejected them.
     */
    const beginNextIncarnation = (former: ShardWorker, bornAtMs: number | undefined): void => {
        const { workerId } = former;
        const nowMs = clock.monotonicMs();
        meter.count("workersRestarted");
        log.write("warn", "workerRestarted", {
            workerId,
            bornAtMs,
            formerBornAtMs: former.bornAtMs,
            runs: former.runs.size,
        });
        if (former.silentSinceMs === undefined) {
            // The worker restarted before a look failed, so its crash has not been recorded yet.
            correlatedCrashes.record(former, nowMs, crashedRuns(former, nowMs));
        }
        const left = leaveIncarnation(former, delayedStarts, nowMs);
        dropWorker(former, "otherIncarnation");
        countCrashes(former, [...left.suspects, ...lostRuns.replaced(former.entry.address, "")]);
        const next = enterIncarnation(former, isLeaving(former) ? { ...left, undecided: [] } : left, {
            bornAtMs,
            listed: listing.get(workerId),
            // Late orders for the former incarnation may have reached this one. Their deadlines refer to the clock
            // of the former incarnation, so each may result in the longest lease that a worker grants.
            leaseHorizonMs: nowMs + longestLeaseMs,
            nowMs,
        });
        workers.set(workerId, next);
        const link = openLink(next, true);
        links.set(workerId, link);
        if (next.unansweredOrder !== undefined) {
            link.probe(next.unansweredOrder);
        }
        for (const run of left.carried) {
            if (!isSettledByLook(run, delayedStarts)) {
                run.phase = runPhases.running;
                link.stop(run);
            }
        }
        options.onNextIncarnation(workerId);
        wake();
    };

    /** Drops runs of a silent worker whose leases are over. Whether it crashed is known once an incarnation answers at its address. */
    const expireRuns = (worker: ShardWorker, reason: string, runs: readonly ShardRun[]): void => {
        const crashed = watch.loseRuns(worker, reason, runs).filter(({ task, run }) =>
            !worker.undecided.has(runKey(task.name, run))
        );
        countCrashes(worker, [...worker.undecided.values()]);
        worker.undecided.clear();
        if (!isLeaving(worker)) {
            const { workerId, entry: { address } } = worker;
            lostRuns.add({ workerId, address }, crashed, clock.monotonicMs());
        }
    };

    /**
     * Ends unlisted workers at whose address another listed one has answered since. That it is listed there does not suffice: after an
     * outage, the entry of a former worker may be listed before that of the present one.
     */
    const endReplacedWorkers = (): void => {
        const answeredAtMs = new Map<string, number>();
        for (const { workerId, entry: { address }, runsKnown, answeredAtMs: atMs } of workers.values()) {
            if (runsKnown && listing.has(workerId)) {
                answeredAtMs.set(address, Math.max(answeredAtMs.get(address) ?? -Infinity, atMs));
            }
        }
        for (const worker of [...workers.values()]) {
            if (!listing.has(worker.workerId) && worker.answeredAtMs < (answeredAtMs.get(worker.entry.address) ?? 0)) {
                endAndRecordIncarnation(worker, "addressTaken");
            }
        }
    };

    let allKnown = false;
    let wasListRead = false;

    /** Reports once, after a takeover, that every worker that answers has listed its runs. */
    const reportAllKnown = (): void => {
        if (
            allKnown || !wasListRead || links.size === 0
            || [...workers.values()].some(worker => !worker.runsKnown && worker.silentLooks === 0)
        ) {
            return;
        }
        allKnown = true;
        const silent = [...workers.values()].filter(worker => !worker.runsKnown).length;
        const afterMs = Math.round(clock.monotonicMs() - startedAtMs);
        meter.record("workersKnownMs", afterMs);
        log.write("info", "workersKnown", { afterMs, workers: workers.size, silent });
        options.onRunsKnown();
    };

    const openLink = (worker: ShardWorker, mayGetFormerLooks = false): WorkerLink => {
        const link = openWorkerLink(worker, {
            clock,
            log,
            meter,
            workers: port,
            fencingToken,
            ...(options.newestToken === undefined ? {} : { newestToken: options.newestToken }),
            leaseMs: settings.leaseMs,
            stopMs: settings.stopMs,
            leaseLimitMs: settings.leaseLimitMs,
            lookWaitMs: settings.lookWaitMs,
            mayGetFormerLooks,
            firstLooks,
            delayedStarts,
            lookSlots,
            lookPauseMs: settings.lookPauseMs,
            orderPauseMs: settings.orderPauseMs,
            unansweredStartMs: settings.unansweredStartMs,
            ticketsNameIncarnation: settings.ticketsNameIncarnation,
            lagMs: options.lagMs,
            onLook: async (seen, look, sentAtMs) => {
                const wereRunsKnown = seen.runsKnown;
                watch.countCrashes(seen.workerId, lostRuns.answered(seen));
                correlatedCrashes.answered(seen);
                const { appliedEnd } = seen;
                let newest = 0;
                try {
                    newest = watch.applyLook(seen, look, sentAtMs);
                }
                catch (error) {
                    // The next look lists its ends again. One that was not applied must not be acknowledged, or its task would run again.
                    seen.appliedEnd = appliedEnd;
                    throw error;
                }
                pacer.review(seen, (run, percent) => links.get(seen.workerId)?.pace(run, percent));
                // A look may list ends again that an earlier look brought and that are still being committed.
                const written = Promise.all([seen.endsWritten, commitChangedJobs()]).then(() => {
                    seen.acknowledgedEnd = Math.max(seen.acknowledgedEnd, newest);
                    endsWithoutTask.reportAcknowledged(seen);
                });
                seen.endsWritten = written;
                if (!wereRunsKnown) {
                    endReplacedWorkers();
                    reportAllKnown();
                    wake();
                }
                if (look.ended.length > 0) {
                    // Looks do not wait at the worker while it lists ends, and those that are not acknowledged stay listed.
                    const areAllAcknowledged = look.ended.every(({ endNumber }) => endNumber <= newest);
                    const pause = sleep(clock, settings.lookPauseMs);
                    await Promise.race([areAllAcknowledged ? written : pause, pause]);
                }
            },
            onSilent: silent => {
                const nowMs = clock.monotonicMs();
                const crashed = crashedRuns(silent, nowMs);
                // Workers that are silent from the takeover on are all noticed at the same moment, which does not show when
                // they failed.
                if (silent.runsKnown) {
                    correlatedCrashes.record(silent, nowMs, crashed);
                }
                recordConfirmedRuns(crashed).forEach(job => changedJobs.add(job));
                void commitChangedJobs();
            },
            onIncarnationOver: gone => endAndRecordIncarnation(gone, "otherIncarnation"),
            onRestarted: beginNextIncarnation,
            onFenced: () => options.onFenced(),
            onNotStarted: (holder, run, outcome) => {
                dropRun(holder, run);
                gangs.memberLost(run, "refused");
                const { step } = run.task;
                if (outcome === "badTicket") {
                    step.advice.good.delete(holder.workerId);
                    step.advice.askedWorkerIds.delete(holder.workerId);
                }
                else {
                    // A start that was not sent may have waited for a connection to this worker, but most likely for this process.
                    const avoidMs = outcome === "notSent" ? settings.orderPauseMs : settings.retryAfterMs;
                    holder.avoidUntilMs = Math.max(holder.avoidUntilMs, clock.monotonicMs() + avoidMs);
                }
                void guard.run("jobChange", () => changed(step.occurrence.job));
            },
            onUnanswered: run => changed(run.task.step.occurrence.job),
            onAcknowledgementHeld: options.confirm,
            held: options.held,
            mayStart: options.mayStart,
            onStarted: (holder, run) => {
                run.startedAtMs = clock.monotonicMs();
                options.onStarted(run.task.step.occurrence.job);
                if (holder.entry.draining) {
                    evacuateDraining(holder);
                }
            },
        });
        for (const order of delayedStarts.of(worker.workerId)) {
            if (!worker.runs.has(runKey(order.taskName, order.run))) {
                link.refuse(order);
            }
        }
        return link;
    };

    /**
     * Stops the long-running runs of a draining worker, and the checkpointing ones that would not end before it leaves, so
     * that they resume elsewhere from their checkpoint.
     */
    const evacuateDraining = (worker: ShardWorker): void => {
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

    /** Adds a stored run to its worker, whose first look settles it. */
    const restoreRun = (
        worker: ShardWorker,
        { taskName, run, bornAtMs, address, mayArriveUntilMs, absent, mayHaveCrashed, storedAtMs }: StoredRun,
    ): void => {
        const task = findTask(jobOf, taskName);
        if (task === undefined) {
            return;
        }
        const entry = newRun(task, worker.workerId, run, {
            address,
            bornAtMs,
            phase: runPhases.running,
            absenceProvenAfterMs: 0,
            absent,
            mayHaveCrashed,
        });
        if (!holdsForOneIncarnation(entry, settings)) {
            // The wall clock may have been stepped since the run was stored; counted from the takeover, the start can arrive
            // for one full limit at most.
            const latestMs = startedAtMs + settings.unansweredStartMs;
            entry.mayArriveUntilMs = Math.min(latestMs, mayArriveUntilMs ?? storedAtMs + settings.unansweredStartMs);
        }
        task.runs.push(entry);
        adoptRun(worker, entry);
        gangs.watch(entry);
        if (needsTrial(task)) {
            worker.trial = entry;
        }
    };

    const isYoung = (bornAtMs: number | undefined): boolean =>
        bornAtMs !== undefined && clock.nowMs() - bornAtMs < maxYoungAgeMs;

    /** Local time by which every lease is over that a former owner may have granted a worker with these runs. */
    const formerLeaseEndMs = (runs: readonly StoredRun[]): number => {
        const isAnyYoung = runs.some(({ bornAtMs }) => isYoung(bornAtMs));
        const leaseMs = isAnyYoung ? longestLeaseMs : settings.leaseMs / slowestClockRate;
        return clock.monotonicMs() + settings.formerOwnerMs + leaseMs;
    };

    const addWorker = (entry: WorkerEntry, listed: boolean): ShardWorker => {
        const runs = storedRunsByWorker.get(entry.workerId) ?? [];
        const worker = newWorker(entry, formerLeaseEndMs(runs));
        worker.unlistedAtMs = listed ? undefined : clock.monotonicMs();
        workers.set(entry.workerId, worker);
        for (const stored of runs) {
            restoreRun(worker, stored);
        }
        storedRunsByWorker.delete(entry.workerId);
        return worker;
    };

    const hasEndedIncarnation = ({ workerId, bornAtMs }: WorkerEntry): boolean =>
        endedIncarnations.has(workerId) && !isOtherIncarnation(endedIncarnations.get(workerId), bornAtMs);

    /** Opens a link to a listed worker, unless the entry is that of an ended incarnation. */
    const linkListedWorker = (entry: WorkerEntry): void => {
        if (!hasEndedIncarnation(entry)) {
            links.set(entry.workerId, openLink(addWorker(entry, true), endedIncarnations.has(entry.workerId)));
        }
    };

    /** Applies one entry of the list. */
    const applyEntry = (entry: WorkerEntry): void => {
        const known = workers.get(entry.workerId);
        if (known === undefined) {
            watch.countCrashes(entry.workerId, lostRuns.replaced(entry.address, entry.workerId));
            linkListedWorker(entry);
            return;
        }
        if (isOtherIncarnation(known.bornAtMs, entry.bornAtMs)) {
            // Either incarnation may be the newer one, which the worker's next answer settles; until then it gets no work.
            known.unlistedAtMs = -Infinity;
            return;
        }
        const drainsNow = entry.draining && !known.entry.draining;
        updateEntry(known, entry.address === "" ? { ...entry, address: known.entry.address } : entry);
        known.unlistedAtMs = undefined;
        if (!links.has(known.workerId)) {
            links.set(known.workerId, openLink(known));
        }
        if (drainsNow) {
            log.write("info", "workerDrains", { workerId: entry.workerId, remainingMs: entry.drainRemainingMs });
            evacuateDraining(known);
        }
    };

    const updateWorkers = (
        entries: readonly WorkerEntry[],
        unreadable: ReadonlySet<string> = new Set(),
        formerAgeMs = 0,
    ): void => {
        if (closed) {
            // A list that was being read as the shard was lost must open no link, since nothing would close it.
            return;
        }
        // After an outage the former list may be old, and a worker that is missing now may meanwhile have been listed with less
        // capacity. The age of the former list beyond `maxListingAgeMs` therefore counts as time for which the worker was unlisted.
        const missingSinceMs = clock.monotonicMs() - Math.max(0, formerAgeMs - maxListingAgeMs);
        wasListRead = true;
        listing = new Map(entries.map(entry => [entry.workerId, entry]));
        for (const entry of entries) {
            guard.call(`entry of ${entry.workerId}`, () => applyEntry(entry));
        }
        for (const worker of [...workers.values()]) {
            if (listing.has(worker.workerId)) {
                continue;
            }
            // An expired entry may be back soon; a worker whose entry cannot be read must not be used.
            worker.unlistedAtMs = unreadable.has(worker.workerId)
                ? -Infinity
                : worker.unlistedAtMs ?? missingSinceMs;
        }
        endReplacedWorkers();
        void commitChangedJobs();
        wake();
    };

    /**
     * Whether an incarnation that this owner cannot reach may hold the run. It may carry the order out until
     * `mayArriveUntilMs` and, where the worker is listed, hold the run for one more lease. A worker that has not answered since the
     * takeover may keep its id as well; the list or the row of the run says so. An answered start may have been carried out by such an
     * incarnation too, as long as no look has listed the run; a lost connection shows that the one that was looked at went down later.
     */
    const mayRunUnseen = (
        { workerId, bornAtMs, entry, connectionLost }: ShardWorker,
        run: ShardRun,
        nowMs: number,
    ): boolean => {
        const { wasListed, startedAtMs = -Infinity } = run;
        return (bornAtMs ?? entry.bornAtMs ?? run.bornAtMs) !== undefined
            && (mayArrive(run, nowMs - (listing.has(workerId) ? longestLeaseMs : 0))
                || !wasListed && !connectionLost && nowMs <= startedAtMs + longestLeaseMs);
    };

    /** Drops runs whose leases are surely over, and unlisted workers without runs. */
    const expireLeases = (nowMs: number): void => {
        // The last worker that had not answered may count as silent by now.
        reportAllKnown();
        for (const worker of [...workers.values()]) {
            const silent = worker.silentLooks > 0 || !worker.runsKnown;
            if (!silent || nowMs <= worker.leaseHorizonMs) {
                continue;
            }
            const over = [...worker.runs.values()].filter(run => !mayRunUnseen(worker, run, nowMs));
            if (over.length > 0) {
                expireRuns(worker, "leaseOver", over);
            }
            if (worker.unlistedAtMs !== undefined && worker.runs.size === 0) {
                // It may only have been cut off from the store and from this daemon; once listed again, it is added anew.
                dropWorker(worker, "notListed");
                const entry = listing.get(worker.workerId);
                if (entry !== undefined) {
                    // Its next incarnation has been listed in the meantime.
                    linkListedWorker(entry);
                }
            }
        }
        void commitChangedJobs();
    };

    /**
     * Looks at workers that have runs and are not listed. The list may come late or lack them, as after an outage of the store; without
     * looks, their leases would end, and tasks whose ends were not durable would be started again.
     */
    const linkUnlistedWorkers = (): void => {
        for (const worker of workers.values()) {
            if (!closed && !links.has(worker.workerId) && worker.entry.address !== "") {
                links.set(worker.workerId, openLink(worker));
            }
        }
    };

    const restoreRuns = (runs: readonly StoredRun[]): void => {
        for (const stored of runs) {
            const known = storedRunsByWorker.get(stored.workerId) ?? [];
            known.push(stored);
            storedRunsByWorker.set(stored.workerId, known);
        }
        for (const [workerId, [stored]] of [...storedRunsByWorker]) {
            const { address = "", bornAtMs } = stored ?? {};
            addWorker({ ...unlistedEntry, workerId, address, bornAtMs }, false);
        }
        clock.setTimer(unlistedLookDelayMs, linkUnlistedWorkers);
    };

    return {
        all: workers,
        restoreRuns,
        restoreLosses: losses => {
            for (const { workerId, address, crashed } of losses) {
                lostRuns.add({ workerId, address }, [crashed], clock.monotonicMs());
            }
        },
        update: updateWorkers,
        start: async (run, ticket) => {
            gangs.watch(run);
            await links.get(run.workerId)?.start(run, ticket);
        },
        stop: stopRun,
        endIncarnation: (workerId, reason) => {
            const worker = workers.get(workerId);
            if (worker !== undefined) {
                endAndRecordIncarnation(worker, reason);
            }
        },
        checkLeases: nowMs => {
            expireLeases(nowMs);
            gangs.review();
        },
        close: () => {
            closed = true;
            for (const link of links.values()) {
                link.close();
            }
        },
    };
};
