/**
 * The membership of one daemon in its cell: it follows the configuration, the member rows and the row of the shard's owner,
 * claims the shard when the owner has failed, and forwards callers' requests to the owner.
 */

import {
    type AdvisorPort,
    type FencedWorkerPort,
    type HandOverReason,
    type KnownOwner,
    type MemberHandlers,
    type MemberPort,
    type MemberRow,
    type OwnerRow,
    type Row,
    type RowKey,
    type RowStore,
} from "../../types/cellPorts.js";
import type { Clock, Log, Meter, Random } from "../../types/ports.js";
import type { UpkeepWave, VmPort, WaveState } from "../../types/upkeep.js";
import type {
    CellConfiguration,
    JobReference,
    JobStatus,
    JobSubmission,
    Queue,
    WorkerEntry,
} from "../../types/work.js";
import { type Decoded, noEntry } from "../../utils/decode.js";
import { die, failureOf } from "../../utils/errors.js";
import { createGuard, withGuardedTimers } from "../../utils/guard.js";
import { sleep } from "../../utils/time.js";
import { type CallerKeys, createCallerKeys } from "./callerKeys.js";
import { claimShard } from "./claimShard.js";
import { createCommitMonitor } from "./commitMonitor.js";
import { createConfigurationFetch } from "./configurationFetch.js";
import { createForwarder } from "./forward.js";
import { handOver } from "./handOver.js";
import { createLocalRefusals } from "./localRefusals.js";
import { decodeOwner, unreadableOwner } from "./memberRows.js";
import { watchOwner } from "./ownerWatch.js";
import { createPartitionWatch } from "./partition.js";
import { createPeers, pingIntervalMs } from "./peers.js";
import { createPendingCancels } from "./pendingCancels.js";
import { createProcessorShare, type ProcessorTimes } from "./processorShare.js";
import { watchReadiness } from "./readiness.js";
import { createRowReader } from "./rowReader.js";
import { type ShardOwner, startShardOwner } from "./shardOwner.js";
import type { ShardQueries } from "./shardQueries.js";
import type { ShardSettings } from "./shardSettings.js";
import { ownerKey, ownerTable } from "./shardTables.js";
import { type ClaimReason, claimReasons, countShortTenures, settlingMs } from "./shortTenures.js";
import { shortFeedWaitMs, type TableWatch, watchTable } from "./tableWatch.js";
import { watchWorkerList } from "./workerList.js";

/** Table in which the daemons register themselves; the key is the member's id. */
export const memberTable = "puffinarch-member";

/** Dependencies and settings of a cell member. */
export interface CellMemberOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly random: Random;
    readonly settings: ShardSettings;
    readonly self: MemberRow;
    readonly store: RowStore;
    readonly workers: FencedWorkerPort;
    readonly advisor: AdvisorPort;
    readonly members: MemberPort;
    /** How a slow VM is told from an overloaded owner; no VM is taken for slow if it is left out. */
    readonly processor?: {
        readonly readTimes: () => ProcessorTimes;
        /** Share of a core that the VM is configured with. */
        readonly configuredShare: number;
    };
    /** Tables that the platform publishes, and the decoders of their rows. */
    readonly platform: {
        readonly configurationTable: string;
        readonly readConfiguration: (row: Row) => Decoded<CellConfiguration>;
        readonly workerTable: string;
        readonly readWorker: (row: Row) => Decoded<WorkerEntry>;
        /** Upkeep waves, whose rows are in `configurationTable`; left out where the platform has none. */
        readonly upkeep?: {
            readonly port: VmPort;
            /** How long an upkeep order of a former owner may still arrive, in ms; 0 where the platform refuses lower fencing tokens. */
            readonly staleOrderWindowMs: number;
            readonly readWave: (row: Row) => Decoded<UpkeepWave>;
            readonly stateRow: (wave: number, state: WaveState) => RowKey & { readonly value: string; };
        };
    };
}

/** A daemon that is a member of a cell. */
export interface CellMember {
    readonly dataCentre: string;
    /** The newest configuration received; undefined before the first. */
    configuration(): CellConfiguration | undefined;
    /** True while the load balancer may send callers to this daemon. */
    ready(): boolean;
    /**
     * Resolves once the job is durable. `totalTimeoutMs` is the longest time that the call may take, as in the calls below. Once
     * `isAbandoned` returns true, since the caller has closed its connection, the owner is not called any more.
     */
    submit(submission: JobSubmission, totalTimeoutMs: number, isAbandoned?: () => boolean): Promise<void>;
    /**
     * Returns the name of the organisation that the API key belongs to by the newest configuration; empty for a caller without
     * a key. Fails with `unauthenticated` where the key is unknown, or is missing and the queue requires one, and with
     * `unavailable` before the first configuration.
     */
    authenticate(queue: Queue, key: string | undefined): string;
    /** Returns the job's state; undefined where the caller's organisation has no such job. */
    jobState(job: JobReference, totalTimeoutMs: number): Promise<JobStatus | undefined>;
    /**
     * Cancels a job; false where the caller's organisation has no such job. A cancel that fails with `unavailable` or `mayHaveRun` stays
     * pending at this daemon and may take effect after the failure.
     */
    cancel(job: JobReference, totalTimeoutMs: number): Promise<boolean>;
    /** Number of accepted jobs in a queue of which no task has started; undefined where no recent count is available. */
    pending(queueKey: string): Promise<number | undefined>;
    /** Handlers of the calls that peers make to this daemon. */
    readonly handlers: MemberHandlers;
    ownsShard(): boolean;
    /** Operators' queries; undefined where this daemon does not own the shard. */
    queries(): ShardQueries | undefined;
    /** The newest owner that is known, which may be this daemon while it still reads the shard's rows; undefined for none. */
    knownOwner(): { readonly memberId: string; readonly address: string; } | undefined;
    /**
     * Hands the shard over to a peer and stops claiming, while callers' requests are still forwarded to the owner. As long as
     * no peer accepts the shard, for example because all are leaving, this daemon keeps it, at most until the local time `untilMs`.
     */
    leave(untilMs: number): Promise<void>;
    close(): void;
}

/** Name of the only shard of a cell; docs/design/platform.md has the arithmetic for more than one. */
const part = "shard-0";
/** Timeout of a write of this daemon's member row. */
const registerTimeoutMs = 1_500;
/**
 * First pause after a failed write of the member row; it doubles up to the maximum, since all daemons register at once after a
 * loss of all VMs.
 */
const registerRetryPauseMs = 300;
const maxRegisterRetryPauseMs = 4_800;
const unknownProcessor = { readTimes: (): ProcessorTimes => ({ usedMs: 0, activeMs: 0 }), configuredShare: 1 };
/** An owner on a slow VM hands the shard over once its timers fire this late, on average over a second: before its peers miss answers. */
const slowOwnerLagMs = 20;
/** A claim that the store has not answered is abandoned after this time, so that the peers can be asked who owns the shard. */
const maxClaimMs = 1_500;
/**
 * A claimant that receives no page of the journal for this long gives the shard up; a store 60 times slower than usual takes
 * 0.5 s a page.
 */
const restoreIdleTimeoutMs = 2_500;
/**
 * A claimant that reads the journal for this long gives the shard up as well: over a link of 20 bytes a ms it would read for
 * 56 s, while its peers need 0.1 s. Where the shard had no serving owner for longer than this before the claim, that longer time
 * is the limit instead. The limit thus at least doubles from one claimant to the next, so that one of them succeeds where all
 * are slow. 1,000 jobs of 6 KB take 7 s at 10 Mbit/s.
 */
const minRestoreBudgetMs = 8_000;
/** A claimant that gave the shard up because its restore was too slow does not claim again for this long. */
const claimBackoffMs = 3_000;
/**
 * A daemon claims nothing before it has read the member rows, since without them it ranks itself strongest and has no peer to
 * ask about the owner. After this time, enough for three reads without an answer, it claims without them.
 */
const membersReadTimeoutMs = 3_500;
/**
 * A commit that has waited this long may have been answered while this process was busy; what has arrived is read before a peer is told
 * that the store leaves the commit unanswered.
 */
const unreadAnswerMs = 100;
/** Pause between attempts of a slow or weak owner to hand the shard over. */
const handOverRetryPauseMs = 2_000;
/** Counts of pending jobs that are older than this are not returned. */
const maxCountsAgeMs = 1_800;

/**
 * Starts a member: it registers itself in the store and starts to follow the tables and the owner.
 *
 * @example
 * const member = startCellMember({ clock, log, meter, random, settings, self, store, workers, advisor, members, platform });
 * await member.submit(submission, 2_000);
 */
export const startCellMember = (options: CellMemberOptions): CellMember => {
    const { log, meter, settings, self, store, members, platform } = options;
    const guard = createGuard({ clock: options.clock, log, meter });
    const clock = withGuardedTimers(options.clock, guard);
    const reader = createRowReader({ log, meter });
    const peers = createPeers({
        clock,
        log,
        self,
        members,
        reader,
        ownerVersion: () => knownOwner?.version ?? 0,
        onOwner: known => updateKnownOwner(known, "peer"),
        onSilenceElsewhere: () => partition.suspect(),
    });
    /** Upkeep waves by the key of their row. */
    const waves = new Map<string, UpkeepWave>();
    let workerWatch: TableWatch | undefined;
    let configuration: CellConfiguration | undefined;
    /** Caller keys of `configuration`. */
    let callerKeys: CallerKeys | undefined;
    let knownOwner: KnownOwner | undefined;
    let ownerKnownAtMs = clock.monotonicMs();
    let ownerRead = false;
    let membersRead = false;
    let owner: ShardOwner | undefined;
    /** Claim id of the claim in progress. */
    let claimUnderWay: string | undefined;
    /** Ids of abandoned claims that are conditional on the current owner row; an unanswered write of one may still take effect. */
    const abandonedClaimIds = new Set<string>();
    /** An abandoned claim that took effect after all and has to be resumed. */
    let claimToResume: KnownOwner | undefined;
    /** Fencing token of a claim whose rows are still being read; 0 for none. */
    let claimedToken = 0;
    /** True once this daemon is shutting down and claims no shard any more. */
    let leaving = false;
    let closed = false;
    let lastOwnedAtMs = clock.monotonicMs();
    /** Local time at which any owner, this daemon included, was last known to be serving, which means that it has read all its rows. */
    let ownerServingAtMs = clock.monotonicMs();
    /** Whether the owner was serving by its newest ping answer. */
    let isOwnerServing = false;
    let pendingCounts: { readonly counts: Readonly<Record<string, number>>; readonly atMs: number; } | undefined;
    let handingOver = false;
    let nextClaimAtMs = 0;
    const claimWithoutMembersAtMs = clock.monotonicMs() + membersReadTimeoutMs;
    let nextHandOverAtMs = 0;
    const { readTimes, configuredShare } = options.processor ?? unknownProcessor;
    const processorShare = createProcessorShare(readTimes, configuredShare);

    const applyConfiguration = (next: CellConfiguration, source: string): void => {
        if (configuration !== undefined && next.version <= configuration.version) {
            return;
        }
        log.write("info", "configurationInForce", { version: next.version, from: configuration?.version, source });
        if (next.unreadable !== undefined && next.unreadable.length > 0) {
            meter.count("organisationsUnreadable", next.unreadable.length);
            log.write("error", "organisationsUnreadable", { version: next.version, fields: next.unreadable });
        }
        configuration = next;
        callerKeys = createCallerKeys(next);
        owner?.updateConfiguration(next);
    };

    /** Accepts a newer owner row from the store, or from a peer where this daemon cannot reach the store. */
    const updateKnownOwner = (known: KnownOwner, source: string): void => {
        if (known.version <= (knownOwner?.version ?? 0)) {
            return;
        }
        knownOwner = known;
        ownerKnownAtMs = clock.monotonicMs();
        ownerServingAtMs = lastServingAtMs();
        isOwnerServing = false;
        ownerWatch.reset();
        localRefusals.reset();
        log.write("info", "ownerKnown", { owner: known.row.memberId, fencingToken: known.version, source });
        if (owner !== undefined && known.version > owner.fencingToken) {
            loseShard("ownerRow");
        }
        claimToResume = abandonedClaimIds.has(known.row.claimId) ? known : undefined;
        // All other abandoned claims were conditional on the replaced row and can no longer take effect.
        abandonedClaimIds.clear();
        void resumeClaim();
        forwarder.wake();
    };

    const applyOwnerRows = (rows: readonly Row[]): void => {
        for (const row of rows) {
            if (row.part !== part || row.key !== ownerKey || row.value === undefined) {
                continue;
            }
            const entry = reader.entryOf(row, decodeOwner(row));
            updateKnownOwner(
                entry === undefined ? unreadableOwner(row.version) : { row: entry, version: row.version },
                "store",
            );
        }
    };

    const loseShard = (reason: string): void => {
        if (owner === undefined) {
            return;
        }
        log.write("warn", "shardLost", { reason, fencingToken: owner.fencingToken, ...owner.tenure() });
        owner.close();
        owner = undefined;
        workerWatch?.stop();
    };

    const claim = async (seenVersion: number, why: ClaimReason): Promise<boolean> => {
        if (claimUnderWay !== undefined || leaving || closed) {
            return false;
        }
        const startedAtMs = clock.monotonicMs();
        const claimId = `${self.memberId}/${self.incarnation}/${Math.floor(options.random.next() * 1e9)}`;
        const lastedMs = startedAtMs - ownerKnownAtMs;
        const shortOffices = countShortTenures({ previous: knownOwner?.row, lastedMs, why });
        const row: OwnerRow = { ...self, claimId, shortOffices };
        log.write("info", "claimBegins", { part, seenVersion, why, shortOffices });
        return claimAndStart(row, { seenVersion });
    };

    /** Resumes an abandoned claim that took effect; otherwise the shard would go unserved until peers find this owner silent. */
    const resumeClaim = async (): Promise<void> => {
        if (claimToResume === undefined || claimUnderWay !== undefined || leaving || closed) {
            return;
        }
        const { row, version } = claimToResume;
        claimToResume = undefined;
        log.write("warn", "claimResumed", { part, fencingToken: version });
        try {
            await claimAndStart(row, { seenVersion: version, committedToken: version });
        }
        catch (error) {
            log.write("error", "claimResumeFailed", { part, reason: failureOf(error).message });
        }
    };

    const claimAndStart = async (
        row: OwnerRow,
        { seenVersion, committedToken }: { readonly seenVersion: number; readonly committedToken?: number; },
    ): Promise<boolean> => {
        const startedAtMs = clock.monotonicMs();
        const { claimId } = row;
        claimUnderWay = claimId;
        try {
            const claimed = await claimShard({
                clock,
                log,
                store,
                part,
                owner: row,
                seenVersion,
                committedToken,
                restoreIdleTimeoutMs,
                restoreTimeoutMs: Math.max(minRestoreBudgetMs, startedAtMs - lastServingAtMs()),
                isNeeded: () =>
                    !closed && (knownOwner?.version ?? 0) <= seenVersion
                        && clock.monotonicMs() - startedAtMs < maxClaimMs
                    || knownOwner?.row.claimId === claimId,
                reportedToken: () => knownOwner?.row.claimId === claimId ? knownOwner.version : undefined,
                onClaimed: fencingToken => {
                    claimedToken = fencingToken;
                    if (fencingToken > (knownOwner?.version ?? 0)) {
                        knownOwner = { row, version: fencingToken };
                        ownerKnownAtMs = clock.monotonicMs();
                    }
                },
            });
            if (claimed === undefined) {
                const gaveUp = claimedToken !== 0 && claimedToken === knownOwner?.version;
                nextClaimAtMs = gaveUp ? clock.monotonicMs() + claimBackoffMs : 0;
                if (!gaveUp) {
                    abandonedClaimIds.add(claimId);
                }
                log.write("info", gaveUp ? "restoreGivenUp" : "claimLost", { part, seenVersion });
                return false;
            }
            owner = startShardOwner({
                clock,
                log,
                meter,
                settings,
                store,
                workers: options.workers,
                part,
                claimId,
                claimed,
                adviceLanes: peers.live,
                callAdvice: (laneId, request) => {
                    const peer = peers.all.get(laneId);
                    return laneId === self.memberId || peer === undefined
                        ? options.advisor.advise(request)
                        : members.call(peer.address, "advise", request, request.timeoutMs);
                },
                ...(platform.upkeep === undefined
                    ? {}
                    : { upkeep: { ...platform.upkeep, holderId: `${self.memberId}/${self.incarnation}` } }),
                isPartitioned: () => partition.isPartitioned(),
                peerAnsweredAtMs: peers.newestAnswerAtMs,
                newsAgeMs: () => Math.max(workerWatch?.ageMs() ?? Infinity, configurationWatch.ageMs()),
                listAgeMs: () => workerWatch?.ageMs() ?? Infinity,
                onFenced: reason => {
                    log.write("warn", "shardLost", {
                        reason,
                        fencingToken: claimed.fencingToken,
                        ...owner?.tenure(),
                    });
                    owner = undefined;
                    workerWatch?.stop();
                },
            });
            meter.record("takeoverMs", clock.monotonicMs() - startedAtMs);
            log.write("info", "claimed", {
                part,
                fencingToken: claimed.fencingToken,
                tookMs: clock.monotonicMs() - startedAtMs,
            });
            if (configuration !== undefined) {
                owner.updateConfiguration(configuration);
            }
            owner.updateWaves([...waves.values()]);
            const shard = owner;
            workerWatch = watchWorkerList({
                clock,
                log,
                store,
                table: platform.workerTable,
                readWorker: row => reader.entryOf(row, platform.readWorker(row)),
                onWorkers: (entries, unreadable) => shard.updateWorkers(entries, unreadable, workerWatch?.ageMs() ?? 0),
            });
            return true;
        }
        finally {
            claimUnderWay = undefined;
            claimedToken = 0;
            void resumeClaim();
        }
    };

    /**
     * Reads the owner row; returns whether the store answered within `withinMs`. The time is limited because the owner watch sends
     * no pings while it waits for the store.
     */
    const readOwner = (withinMs: number): Promise<boolean> => {
        const read = async (): Promise<boolean> => {
            try {
                const page = await store.read(ownerTable, part);
                applyOwnerRows(page.rows);
                return true;
            }
            catch (error) {
                log.write("debug", "storeSilent", { reason: failureOf(error).message });
                return false;
            }
        };
        return Promise.race([read(), sleep(clock, withinMs).then(() => false)]);
    };

    const handOverShard = async (shard: ShardOwner, why: HandOverReason): Promise<boolean> => {
        const isOver = (): boolean => owner !== shard;
        const claimed = await handOver(shard, why, { clock, log, peers, selfId: self.memberId, isOver });
        if (claimed && owner === shard) {
            loseShard(why);
        }
        return claimed;
    };

    const hasStrongerLivePeer = (): boolean =>
        !peers.isStrong(self.memberId)
        && peers.live().some(id => id !== self.memberId && peers.isStrong(id) && !peers.isLeaving(id));

    /** Hands the shard over where this owner's VM has become slow, or is weak while a strong peer answers. */
    const handOverIfUnfit = async (): Promise<void> => {
        if (owner === undefined || leaving || handingOver || clock.monotonicMs() < nextHandOverAtMs) {
            return;
        }
        const settled = clock.monotonicMs() - ownerKnownAtMs > settlingMs(knownOwner?.row ?? {});
        const slow = settled && owner.lagMs() >= slowOwnerLagMs && processorShare.isSlow();
        if (!slow && !hasStrongerLivePeer()) {
            return;
        }
        handingOver = true;
        try {
            await handOverShard(owner, slow ? "slow" : "weak");
        }
        finally {
            nextHandOverAtMs = clock.monotonicMs() + handOverRetryPauseMs;
            handingOver = false;
        }
    };

    const recordOwnership = (): void => {
        if (owner !== undefined) {
            lastOwnedAtMs = clock.monotonicMs();
            ownerServingAtMs = lastOwnedAtMs;
            pendingCounts = { counts: owner.pending(), atMs: clock.monotonicMs() };
            partition.reportStall(owner.stalledMs());
            void guard.run("handOver", handOverIfUnfit);
        }
    };

    const registerSelf = async (): Promise<void> => {
        const row = { table: memberTable, part: "", key: self.memberId };
        let pauseMs = registerRetryPauseMs;
        while (!closed) {
            const outcome = await guard.answer("register", async () => {
                const result = await store.transact({
                    expect: [],
                    puts: [{ ...row, value: JSON.stringify(self) }],
                    removes: [],
                }, registerTimeoutMs);
                return result.outcome;
            }, "unknown");
            if (outcome === "committed") {
                return;
            }
            await sleep(clock, pauseMs);
            pauseMs = Math.min(maxRegisterRetryPauseMs, 2 * pauseMs);
        }
    };

    const applyWaveRows = (rows: readonly Row[]): void => {
        let changed = false;
        for (const row of platform.upkeep === undefined ? [] : rows) {
            const decoded = platform.upkeep?.readWave(row) ?? noEntry;
            const wave = reader.entryOf(row, decoded);
            changed ||= wave !== undefined || waves.has(row.key);
            if (wave !== undefined) {
                waves.set(row.key, wave);
            }
            else if (decoded.kind === "none") {
                waves.delete(row.key);
            }
        }
        if (changed) {
            owner?.updateWaves([...waves.values()]);
        }
    };

    const configurationWatch = watchTable({
        clock,
        log,
        store,
        table: platform.configurationTable,
        parts: [""],
        feedWaitMs: shortFeedWaitMs,
        onRows: rows => {
            for (const row of rows) {
                const next = reader.entryOf(row, platform.readConfiguration(row));
                if (next !== undefined) {
                    applyConfiguration(next, "store");
                }
            }
            applyWaveRows(rows);
        },
        onSnapshot: () => {},
    });

    const configurationFetch = createConfigurationFetch({
        clock,
        log,
        selfId: self.memberId,
        peers,
        version: () => configuration?.version ?? 0,
        storeAgeMs: configurationWatch.ageMs,
        onConfiguration: next => applyConfiguration(next, "peer"),
    });

    const tableWatches = [
        watchTable({
            clock,
            log,
            store,
            table: ownerTable,
            parts: [part],
            onRows: applyOwnerRows,
            onSnapshot: () => {
                ownerRead = true;
                ownerWatch.wake();
            },
        }),
        watchTable({
            clock,
            log,
            store,
            table: memberTable,
            parts: [""],
            onRows: peers.applyRows,
            onSnapshot: () => {
                membersRead = true;
            },
        }),
        configurationWatch,
    ];

    const partition = createPartitionWatch({
        clock,
        log,
        meter,
        dataCentre: self.dataCentre,
        peers,
        readStore: readOwner,
        storeAnsweredAtMs: () => clock.monotonicMs() - Math.min(...tableWatches.map(({ ageMs }) => ageMs())),
    });

    const ownerWatch = watchOwner({
        clock,
        log,
        self,
        peers,
        known: () => knownOwner,
        owns: () => owner !== undefined,
        isSettled: () => ownerRead && claimUnderWay === undefined,
        isBackingOff: () =>
            clock.monotonicMs() < nextClaimAtMs || !membersRead && clock.monotonicMs() < claimWithoutMembersAtMs,
        isLeaving: () => leaving,
        readOwner,
        commitMonitor: createCommitMonitor({ clock, log, store, part }),
        claim,
        onAnswer: (address, { configurationVersion }) => configurationFetch.offer(address, configurationVersion),
        onOwnerAnswer: ({ pending, shedding, storeStalledMs }) => {
            partition.reportStall(storeStalledMs);
            localRefusals.onOwnerAnswer(shedding);
            // A claimant that is still reading the journal returns no counts.
            isOwnerServing = pending !== undefined;
            if (pending !== undefined) {
                ownerServingAtMs = clock.monotonicMs();
                pendingCounts = { counts: pending, atMs: ownerServingAtMs };
            }
        },
        onRound: processorShare.sample,
        onOwnRound: recordOwnership,
        onPeersPinged: () => owner?.wake(),
    });
    const lastServingAtMs = (): number =>
        isOwnerServing ? Math.max(ownerServingAtMs, ownerWatch.lastHealthyAtMs()) : ownerServingAtMs;

    const currentActivity = (): string => {
        if (claimedToken !== 0) {
            return "restores";
        }
        return claimUnderWay === undefined ? ownerWatch.doing() : "claims";
    };

    const readiness = watchReadiness({
        clock,
        log,
        isLeaving: () => leaving,
        hasConfiguration: () => configuration !== undefined,
        owns: () => owner !== undefined,
        isPartitioned: partition.isPartitioned,
        lastHealthyAtMs: ownerWatch.lastHealthyAtMs,
        ownerServingAtMs: lastServingAtMs,
        knownOwner: () => knownOwner,
        situation: () => ({
            doing: currentActivity(),
            strong: peers.isStrong(self.memberId),
            members: peers.all.size + 1,
            answering: peers.live().length,
        }),
    });
    void registerSelf();

    const localRefusals = createLocalRefusals({
        clock,
        meter,
        priorityOf: queueKey =>
            owner === undefined ? configuration?.queues.find(({ key }) => key === queueKey)?.priority : undefined,
    });

    const forwarder = createForwarder({
        clock,
        retryAfterMs: settings.retryAfterMs,
        shard: () => owner,
        ownerAddress: () =>
            knownOwner === undefined || knownOwner.row.memberId === self.memberId ? undefined : knownOwner.row.address,
        ownerLostMs: () => clock.monotonicMs() - Math.max(ownerWatch.lastHealthyAtMs(), lastOwnedAtMs),
        isPartitioned: partition.isPartitioned,
        onNoAnswer: ownerWatch.suspect,
    });

    const pendingCancels = createPendingCancels({
        clock,
        log,
        meter,
        deliver: (job, totalTimeoutMs) =>
            forwarder.run({
                refusal: "unavailable",
                jobId: job.jobId,
                local: shard => shard.cancel(job),
                remote: async (address, timeoutMs) => (await members.call(address, "cancelJob", job, timeoutMs)).known,
                totalTimeoutMs,
            }),
    });

    const freshCounts = (): Readonly<Record<string, number>> | undefined =>
        pendingCounts !== undefined && clock.monotonicMs() - pendingCounts.atMs <= maxCountsAgeMs
            ? pendingCounts.counts
            : undefined;

    /** Returns the counts of the newest ping answer, or pings the owner where these are too old. */
    const counts = async (): Promise<Readonly<Record<string, number>> | undefined> => {
        const known = knownOwner;
        if (freshCounts() === undefined && known !== undefined && known.row.memberId !== self.memberId) {
            const answer = await peers.ping(known.row);
            if (answer?.pending !== undefined) {
                pendingCounts = { counts: answer.pending, atMs: clock.monotonicMs() };
            }
        }
        return freshCounts();
    };

    const requireOwner = (): ShardOwner => owner ?? die("unavailable", "this daemon does not own the shard");

    return {
        dataCentre: self.dataCentre,
        configuration: () => configuration,
        ready: readiness.ready,
        submit: (submission, totalTimeoutMs, isAbandoned) =>
            localRefusals.run(submission, () =>
                forwarder.run({
                    refusal: "notAccepted",
                    jobId: submission.jobId,
                    isAbandoned,
                    local: shard => shard.submit(submission),
                    remote: async (address, timeoutMs) => {
                        await members.call(address, "submit", submission, timeoutMs);
                    },
                    totalTimeoutMs,
                })),
        authenticate: (queue, key) =>
            callerKeys === undefined
                ? die("unavailable", "no configuration is known yet", { retryAfterMs: settings.retryAfterMs })
                : callerKeys.organisationOf(queue, key),
        jobState: (job, totalTimeoutMs) =>
            forwarder.run({
                refusal: "unavailable",
                jobId: job.jobId,
                local: shard => shard.jobState(job),
                remote: async (address, timeoutMs) => {
                    const { state, failure } = await members.call(address, "jobState", job, timeoutMs);
                    return state === undefined ? undefined : { state, failure };
                },
                totalTimeoutMs,
            }),
        cancel: pendingCancels.cancel,
        pending: async queueKey => {
            const known = await counts();
            return known === undefined ? undefined : known[queueKey] ?? 0;
        },
        handlers: {
            ping: async ({ ownerVersion, ownerLostMs }) => {
                if ((owner?.stalledMs() ?? 0) > unreadAnswerMs) {
                    await sleep(clock, 0);
                }
                const shedding = owner?.shedding();
                return {
                    incarnation: self.incarnation,
                    ownedToken: owner?.fencingToken ?? claimedToken,
                    ...(claimUnderWay === undefined ? {} : { claimId: claimUnderWay }),
                    storeStalledMs: owner?.stalledMs() ?? 0,
                    configurationVersion: configuration?.version ?? 0,
                    ...(owner === undefined ? {} : { pending: owner.pending() }),
                    seenOwnerToken: owner?.fencingToken ?? ownerWatch.seenToken(ownerLostMs),
                    leaving,
                    lagMs: owner?.lagMs() ?? 0,
                    ...(shedding === undefined ? {} : { shedding }),
                    ...(knownOwner !== undefined && knownOwner.version > ownerVersion
                        ? { newerOwner: knownOwner }
                        : {}),
                };
            },
            submit: async submission => {
                await requireOwner().submit(submission);
                return { accepted: true };
            },
            jobState: async job => await requireOwner().jobState(job) ?? { state: undefined },
            cancelJob: async job => ({ known: await requireOwner().cancel(job) }),
            advise: request => options.advisor.advise(request),
            configuration: async () => configuration ?? die("unavailable", "no configuration is known yet"),
            handOver: async ({ token, why }) => ({
                claimed: await claim(token, why === "slow" ? claimReasons.ownerSlow : claimReasons.handOver),
            }),
        },
        ownsShard: () => owner !== undefined,
        queries: () => owner?.queries,
        knownOwner: () => knownOwner?.row,
        leave: async untilMs => {
            leaving = true;
            while (owner !== undefined && clock.monotonicMs() < untilMs) {
                const beganAtMs = clock.monotonicMs();
                if (!await handOverShard(owner, "leaving")) {
                    const nowMs = clock.monotonicMs();
                    // Nothing is placed during an attempt; where peers take long to refuse, tasks get half of the time.
                    await sleep(clock, Math.min(Math.max(pingIntervalMs, nowMs - beganAtMs), untilMs - nowMs));
                }
            }
            loseShard("leaving");
        },
        close: () => {
            closed = true;
            pendingCancels.close();
            ownerWatch.close();
            partition.close();
            readiness.close();
            loseShard("closing");
            for (const tableWatch of tableWatches) {
                tableWatch.stop();
            }
        },
    };
};
