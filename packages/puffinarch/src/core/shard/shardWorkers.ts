/** The workers of a shard and what runs on them: links, looks, listings, draining, lost incarnations and leases that are over. */

import type { FencedWorkerPort } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import type { WorkerEntry } from "../../types/work.js";
import { sleep } from "../../utils/time.js";
import { createCorrelatedCrashes } from "./correlatedCrashes.js";
import { type CrashedRun, crashedRuns, needsTrial, noteConfirmed } from "./crashes.js";
import { createDelayedStarts, type DelayedStart } from "./delayedStarts.js";
import { createFirstLooks } from "./firstLooks.js";
import { incarnationOf, isOtherIncarnation } from "./incarnations.js";
import { findTask, newRun, runPhases, type ShardJob, type ShardRun } from "./jobBook.js";
import type { RestoredLoss, StoredRun } from "./jobRows.js";
import { createLookSlots } from "./lookSlots.js";
import { createLostRuns } from "./lostRuns.js";
import { enterIncarnation, isSettledByLook, leaveIncarnation, withUndecided } from "./nextIncarnation.js";
import { createPacer } from "./pacer.js";
import type { ShardSettings } from "./shardSettings.js";
import { holdsForOneIncarnation, mayArrive } from "./unansweredStart.js";
import { openWorkerLink, type WorkerLink } from "./workerLink.js";
import {
    adoptRun,
    dropRun,
    hasLeft,
    newWorker,
    runKey,
    type ShardWorker,
    slowestClockRate,
    takeEntry,
} from "./workerTable.js";
import { createWorkerWatch } from "./workerWatch.js";

/** What the workers of a shard need. */
export interface ShardWorkersOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly settings: ShardSettings;
    readonly port: FencedWorkerPort;
    readonly fencingToken: number;
    /** The highest token that is surely this owner's now; `fencingToken` where it is left out. */
    readonly newestToken?: () => number;
    readonly jobOf: (jobId: string) => ShardJob | undefined;
    /** The job changed; resolves once it is durable. */
    readonly changed: (job: ShardJob) => Promise<void>;
    /** A worker has started again: what steps and tasks know of it by its id was of the incarnation before. */
    readonly onNextIncarnation: (workerId: string) => void;
    /** A task of the job runs. */
    readonly onStarted: (job: ShardJob) => void;
    /** There may be room now. */
    readonly wake: () => void;
    /** Every worker that answers has shown what it runs; called once. */
    readonly onKnown: () => void;
    /** A worker has seen a higher token. */
    readonly onFenced: () => void;
}

/** The workers of a shard. */
export interface ShardWorkers {
    readonly all: ReadonlyMap<string, ShardWorker>;
    /** Runs whose intent a former owner made durable; each holds room until its worker's first look settles it. */
    expect(runs: readonly StoredRun[]): void;
    /** Runs that were lost under a former owner with workers that may have crashed. */
    recallLosses(losses: readonly RestoredLoss[]): void;
    /** All workers that the platform lists now, and how old the list before may have been. */
    update(entries: readonly WorkerEntry[], unreadable?: ReadonlySet<string>, formerAgeMs?: number): void;
    start(run: ShardRun, ticket: string): void;
    /** Stops a run, or lets go of one that was only planned. */
    stop(run: ShardRun): void;
    /** The worker's incarnation is surely over: nothing runs there any more. */
    lose(workerId: string, reason: string): void;
    /** Looks for leases that are over by now. */
    checkLeases(nowMs: number): void;
    close(): void;
}

/** An entry that is no older than this may be used on; with the time for which one that lapsed is, it stays below 4.5 s. */
const trustedListMs = 2_000;

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
 * Makes the workers of a shard; none is known before the first listing.
 *
 * @example
 * const workers = createShardWorkers({ clock, log, meter, settings, port, fencingToken, jobOf, changed, onNextIncarnation, onStarted, wake, onKnown, onFenced });
 * workers.update(entries);
 */
export const createShardWorkers = (options: ShardWorkersOptions): ShardWorkers => {
    const { clock, log, meter, settings, fencingToken, jobOf, changed, wake } = options;
    const startedAtMs = clock.monotonicMs();
    const workers = new Map<string, ShardWorker>();
    const links = new Map<string, WorkerLink>();
    /** Incarnations that are over, by worker: when the last one of them began. Their entries may still be listed. */
    const endedIncarnations = new Map<string, number | undefined>();
    /** The platform's newest list. */
    let listing: ReadonlyMap<string, WorkerEntry> = new Map();
    /** Runs whose intent is durable and whose worker has not been seen yet. */
    const unseenRuns = new Map<string, StoredRun[]>();
    const pacer = createPacer({ clock, log });
    const firstLooks = createFirstLooks(clock);
    const delayedStarts = createDelayedStarts(clock);
    const lookSlots = createLookSlots(clock);
    const touched = new Set<ShardJob>();
    const lostRuns = createLostRuns(job => touched.add(job));
    const correlatedCrashes = createCorrelatedCrashes();

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

    /** The other members of a gang would hold their room until they give up waiting for the one that does not come. */
    const stopRestOfGang = ({ task: { step }, run }: ShardRun): void => {
        const members = step.spec.gang ? step.tasks : [];
        for (const other of members.flatMap(({ runs }) => runs).filter(each => each.run === run)) {
            stopRun(other);
        }
    };

    const watch = createWorkerWatch({
        clock,
        log,
        meter,
        jobOf,
        onChange: job => touched.add(job),
        othersAt: correlatedCrashes.othersAt,
        stop: (worker, run) => links.get(worker.workerId)?.stop(run),
        onStuck: (worker, run) => {
            worker.avoidUntilMs = Math.max(worker.avoidUntilMs, clock.monotonicMs() + settings.stuckWorkerRestMs);
            links.get(worker.workerId)?.stop(run);
        },
        // This incarnation refuses it by its fencing token, which the next one will not know.
        onFormerGone: ({ workerId }, { task, run }) => delayedStarts.note(workerId, { taskName: task.name, run }),
        onStartLost: stopRestOfGang,
        onAbsent: (worker, run) => {
            probe(worker, { taskName: run.task.name, run: run.run });
            // What came meanwhile is shown by a look after that time, and by no earlier one.
            const leftMs = (run.mayArriveUntilMs ?? 0) - clock.monotonicMs();
            clock.setTimer(leftMs + 1, () => links.get(worker.workerId)?.look());
        },
        stopUnknown: (worker, taskName, run) => links.get(worker.workerId)?.stopUnknown(taskName, run),
    });

    /** One order at a time finds out whether a worker takes orders again. */
    const probe = (worker: ShardWorker, order: DelayedStart): void => {
        if (worker.unansweredOrder === undefined) {
            worker.unansweredOrder = order;
            links.get(worker.workerId)?.probe(order);
        }
    };

    const commitTouched = (): Promise<unknown> => {
        const all = [...touched].map(changed);
        touched.clear();
        return Promise.all(all);
    };

    const dropWorker = (worker: ShardWorker, reason: string): readonly CrashedRun[] => {
        links.get(worker.workerId)?.close();
        links.delete(worker.workerId);
        workers.delete(worker.workerId);
        log.write("info", "workerGone", { ...incarnationOf(worker), reason, runs: worker.runs.size });
        const crashed = watch.loseRuns(worker, reason);
        void commitTouched();
        return crashed;
    };

    /** Counts what an incarnation may have crashed by. */
    const countCrashes = (worker: ShardWorker, crashed: readonly CrashedRun[]): void => {
        if (!hasLeft(worker)) {
            watch.countCrashes(worker.workerId, crashed);
            void commitTouched();
        }
    };

    const endIncarnation = (worker: ShardWorker, reason: string): void => {
        const crashed = withUndecided(worker, dropWorker(worker, reason));
        countCrashes(worker, [...crashed, ...lostRuns.replaced(worker.entry.address, "")]);
    };

    /** The worker's incarnation is over: what is still listed of it is an entry that has yet to lapse, or to tell of the next one. */
    const loseWorker = (worker: ShardWorker, reason: string): void => {
        endedIncarnations.set(worker.workerId, worker.bornAtMs ?? worker.entry.bornAtMs);
        endIncarnation(worker, reason);
    };

    /**
     * The same worker answers as another incarnation: what the one before had is over with it, and nothing known of it holds on. Nothing is
     * started in place of the runs that this one may have before it has shown, or refused, them.
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
            // It was back before a look could fail.
            correlatedCrashes.note(former, nowMs, crashedRuns(former, nowMs));
        }
        const left = leaveIncarnation(former, delayedStarts, nowMs);
        dropWorker(former, "otherIncarnation");
        countCrashes(former, [...left.suspects, ...lostRuns.replaced(former.entry.address, "")]);
        const next = enterIncarnation(former, hasLeft(former) ? { ...left, undecided: [] } : left, {
            bornAtMs,
            listed: listing.get(workerId),
            // Deadlines on the clock of the incarnation before may have reached this one, whose clock has begun anew.
            horizonMs: nowMs + settings.leaseLimitMs / slowestClockRate,
            nowMs,
        });
        workers.set(workerId, next);
        const link = openLink(next);
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

    /** Runs of a silent worker whose leases are over: whether it crashed is known once something answers at its address. */
    const loseSilent = (worker: ShardWorker, reason: string, runs: readonly ShardRun[]): void => {
        const crashed = watch.loseRuns(worker, reason, runs).filter(({ task, run }) =>
            !worker.undecided.has(runKey(task.name, run))
        );
        countCrashes(worker, [...worker.undecided.values()]);
        worker.undecided.clear();
        if (!hasLeft(worker)) {
            const { workerId, entry: { address } } = worker;
            lostRuns.lose({ workerId, address }, crashed, clock.monotonicMs());
        }
    };

    let allKnown = false;

    /** Tells once, after a takeover, when every worker that answers has shown what it runs. */
    const noteKnown = (): void => {
        if (
            allKnown || links.size === 0
            || [...workers.values()].some(worker => !worker.certain && worker.silentLooks === 0)
        ) {
            return;
        }
        allKnown = true;
        const silent = [...workers.values()].filter(worker => !worker.certain).length;
        const afterMs = Math.round(clock.monotonicMs() - startedAtMs);
        meter.record("workersKnownMs", afterMs);
        log.write("info", "workersKnown", { afterMs, workers: workers.size, silent });
        options.onKnown();
    };

    const openLink = (worker: ShardWorker): WorkerLink => {
        const link = openWorkerLink(worker, {
            clock,
            log,
            meter,
            workers: options.port,
            fencingToken,
            ...(options.newestToken === undefined ? {} : { newestToken: options.newestToken }),
            leaseMs: settings.leaseMs,
            lookWaitMs: settings.lookWaitMs,
            firstLooks,
            delayedStarts,
            lookSlots,
            lookPauseMs: settings.lookPauseMs,
            orderPauseMs: settings.orderPauseMs,
            unansweredStartMs: settings.unansweredStartMs,
            ticketsNameIncarnation: settings.ticketsNameIncarnation,
            onLook: async (seen, look, sentAtMs) => {
                const wasCertain = seen.certain;
                watch.countCrashes(seen.workerId, lostRuns.answered(seen));
                correlatedCrashes.answered(seen);
                const newest = watch.take(seen, look, sentAtMs);
                pacer.review(seen, (run, percent) => links.get(seen.workerId)?.pace(run, percent));
                // A look may list ends again whose commit, begun by an earlier look, is still under way.
                const written = Promise.all([seen.endsWritten, commitTouched()]).then(() => {
                    seen.acknowledgedEnd = Math.max(seen.acknowledgedEnd, newest);
                });
                seen.endsWritten = written;
                if (!wasCertain) {
                    noteKnown();
                    wake();
                }
                if (look.ended.length > 0) {
                    await Promise.race([written, sleep(clock, settings.lookPauseMs)]);
                }
            },
            onSilent: silent => {
                const nowMs = clock.monotonicMs();
                const crashed = crashedRuns(silent, nowMs);
                // All that are silent from the start of an office are noticed at one moment.
                if (silent.certain) {
                    correlatedCrashes.note(silent, nowMs, crashed);
                }
                noteConfirmed(crashed).forEach(job => touched.add(job));
                void commitTouched();
            },
            onIncarnationOver: gone => loseWorker(gone, "otherIncarnation"),
            onRestarted: beginNextIncarnation,
            onFenced: () => options.onFenced(),
            onNotStarted: (holder, run, outcome) => {
                dropRun(holder, run);
                stopRestOfGang(run);
                const { step } = run.task;
                if (outcome === "badTicket") {
                    step.advice.good.delete(holder.workerId);
                    step.advice.asked.delete(holder.workerId);
                }
                else {
                    holder.avoidUntilMs = Math.max(holder.avoidUntilMs, clock.monotonicMs() + settings.retryAfterMs);
                }
                void changed(step.occurrence.job);
            },
            onUnanswered: run => changed(run.task.step.occurrence.job),
            onStarted: (holder, run) => {
                run.startedAtMs = clock.monotonicMs();
                options.onStarted(run.task.step.occurrence.job);
                if (holder.entry.draining) {
                    leaveDraining(holder);
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
    const attachStored = (
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
            settledAtMs: 0,
            absent,
            mayHaveCrashed,
        });
        if (!holdsForOneIncarnation(entry, settings)) {
            // The time of day may have been stepped since it was stored.
            const latestMs = startedAtMs + settings.unansweredStartMs;
            entry.mayArriveUntilMs = Math.min(latestMs, mayArriveUntilMs ?? storedAtMs + settings.unansweredStartMs);
        }
        task.runs.push(entry);
        adoptRun(worker, entry);
        if (needsTrial(task)) {
            worker.trial = entry;
        }
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

    const isOver = ({ workerId, bornAtMs }: WorkerEntry): boolean =>
        endedIncarnations.has(workerId) && !isOtherIncarnation(endedIncarnations.get(workerId), bornAtMs);

    /** Begins to look at a worker that is listed, unless it is listed as an incarnation that is over. */
    const meet = (entry: WorkerEntry): void => {
        if (!isOver(entry)) {
            links.set(entry.workerId, openLink(addWorker(entry, true)));
        }
    };

    const updateWorkers = (
        entries: readonly WorkerEntry[],
        unreadable: ReadonlySet<string> = new Set(),
        formerAgeMs = 0,
    ): void => {
        // After an outage the former list may be old, and a worker that lapsed meanwhile may have shrunk before it did.
        const missingSinceMs = clock.monotonicMs() - Math.max(0, formerAgeMs - trustedListMs);
        listing = new Map(entries.map(entry => [entry.workerId, entry]));
        // The entry of an incarnation that is over may outlast the one of the incarnation after it, which has not ended for that.
        const byAddress = new Map(
            entries.filter(entry => !isOver(entry)).map(entry => [entry.address, entry.workerId]),
        );
        for (const entry of entries) {
            const known = workers.get(entry.workerId);
            if (known === undefined) {
                watch.countCrashes(entry.workerId, lostRuns.replaced(entry.address, entry.workerId));
                meet(entry);
                continue;
            }
            if (isOtherIncarnation(known.bornAtMs, entry.bornAtMs)) {
                // Either may be the newer one, which the worker's next answer settles; until then it is not used.
                known.unlistedAtMs = -Infinity;
                continue;
            }
            const drainsNow = entry.draining && !known.entry.draining;
            takeEntry(known, entry.address === "" ? { ...entry, address: known.entry.address } : entry);
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
            if (listing.has(worker.workerId)) {
                continue;
            }
            // An entry that lapsed may be back soon; one that cannot be read names a worker that must not be used.
            worker.unlistedAtMs = unreadable.has(worker.workerId)
                ? -Infinity
                : worker.unlistedAtMs ?? missingSinceMs;
            const next = byAddress.get(worker.entry.address);
            if (next !== undefined && next !== worker.workerId) {
                loseWorker(worker, "addressTaken");
            }
        }
        void commitTouched();
        wake();
    };

    /**
     * Whether an incarnation that nobody can look at may carry a run's order out, and hold it for a whole lease where the platform hears
     * of that worker.
     */
    const mayBeUnseen = ({ workerId, bornAtMs }: ShardWorker, run: ShardRun, nowMs: number): boolean => {
        const leaseMs = listing.has(workerId) ? settings.leaseLimitMs / slowestClockRate : 0;
        return bornAtMs !== undefined && mayArrive(run, nowMs - leaseMs);
    };

    /** Leases that are surely over, and workers of which nothing is left. */
    const checkHorizons = (nowMs: number): void => {
        // The last one may have turned out to be silent.
        noteKnown();
        for (const worker of [...workers.values()]) {
            const silent = worker.silentLooks > 0 || !worker.certain;
            if (!silent || nowMs <= worker.horizonMs) {
                continue;
            }
            const over = [...worker.runs.values()].filter(run => !mayBeUnseen(worker, run, nowMs));
            if (over.length > 0) {
                loseSilent(worker, "leaseOver", over);
            }
            if (worker.unlistedAtMs !== undefined && worker.runs.size === 0) {
                // It may only have been cut off from the store and from here; once listed again, it begins anew.
                dropWorker(worker, "notListed");
                const entry = listing.get(worker.workerId);
                if (entry !== undefined) {
                    // Its next incarnation has been listed meanwhile.
                    meet(entry);
                }
            }
        }
        void commitTouched();
    };

    const expect = (runs: readonly StoredRun[]): void => {
        for (const stored of runs) {
            const known = unseenRuns.get(stored.workerId) ?? [];
            known.push(stored);
            unseenRuns.set(stored.workerId, known);
        }
        for (const [workerId, [stored]] of [...unseenRuns]) {
            // Until the platform lists it, it may be anywhere; its lease, or another incarnation at its address, settles it.
            addWorker({ ...unlistedEntry, workerId, address: stored?.address ?? "" }, false);
        }
    };

    return {
        all: workers,
        expect,
        recallLosses: losses => {
            for (const { workerId, address, crashed } of losses) {
                lostRuns.lose({ workerId, address }, [crashed], clock.monotonicMs());
            }
        },
        update: updateWorkers,
        start: (run, ticket) => links.get(run.workerId)?.start(run, run.task.checkpoint, ticket),
        stop: stopRun,
        lose: (workerId, reason) => {
            const worker = workers.get(workerId);
            if (worker !== undefined) {
                loseWorker(worker, reason);
            }
        },
        checkLeases: checkHorizons,
        close: () => {
            for (const link of links.values()) {
                link.close();
            }
        },
    };
};
