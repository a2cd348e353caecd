/**
 * A daemon's part in the cell: it watches the configuration, the members and the owner of the shard, takes the shard
 * over when its owner is lost, and passes callers' requests on to the owner.
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
import { sleep } from "../../utils/time.js";
import { type CallerKeys, createCallerKeys } from "./callerKeys.js";
import { claimShard } from "./claimShard.js";
import { createCommitWitness } from "./commitWitness.js";
import { createConfigurationFetch } from "./configurationFetch.js";
import { createForward } from "./forward.js";
import { handOver } from "./handOver.js";
import { decodeOwner, unreadableOwner } from "./memberRows.js";
import { watchOwner } from "./ownerWatch.js";
import { createPeers, pingIntervalMs } from "./peers.js";
import { watchReadiness } from "./readiness.js";
import { createRowReader } from "./rowReader.js";
import { type ShardOwner, startShardOwner } from "./shardOwner.js";
import type { ShardSettings } from "./shardSettings.js";
import { ownerKey, ownerTable } from "./shardTables.js";
import { type ClaimReason, claimReasons, countShortOffices, settlingMs } from "./shortOffices.js";
import { shortFeedWaitMs, type TableWatch, watchTable } from "./tableWatch.js";
import { watchWorkerList } from "./workerList.js";

/** Table in which the daemons enter themselves; the key is the member's id. */
export const memberTable = "puffinarch-member";

/** What a member is made of. */
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
    /** Table and decoding of what the platform publishes. */
    readonly platform: {
        readonly configurationTable: string;
        readonly readConfiguration: (row: Row) => Decoded<CellConfiguration>;
        readonly workerTable: string;
        readonly readWorker: (row: Row) => Decoded<WorkerEntry>;
        /** Waves of upkeep among the rows of the configuration's table; left out where nobody asks for any. */
        readonly upkeep?: {
            readonly port: VmPort;
            /** How long an order of a former owner may still arrive; 0 where the platform refuses lower fencing tokens. */
            readonly settleMs: number;
            readonly readWave: (row: Row) => Decoded<UpkeepWave>;
            readonly stateRow: (wave: number, state: WaveState) => RowKey & { readonly value: string; };
        };
    };
}

/** A daemon in its cell. */
export interface CellMember {
    readonly dataCentre: string;
    /** The newest configuration known; undefined before the first. */
    configuration(): CellConfiguration | undefined;
    /** True while callers may be sent here. */
    ready(): boolean;
    submit(submission: JobSubmission, patienceMs: number): Promise<void>;
    /**
     * Name of the organisation whose caller sends this API key to a queue, by the newest configuration; empty for none. Fails
     * with `unauthenticated` where the key is not known, or the queue asks for one.
     */
    authenticate(queue: Queue, key: string | undefined): string;
    /** Undefined where the caller's organisation has no such job. */
    jobState(job: JobReference, patienceMs: number): Promise<JobStatus | undefined>;
    /** False where the caller's organisation has no such job. */
    cancel(job: JobReference, patienceMs: number): Promise<boolean>;
    /** Jobs accepted of which no task has started; undefined where that is not known freshly enough. */
    pending(queueKey: string): Promise<number | undefined>;
    readonly handlers: MemberHandlers;
    ownsShard(): boolean;
    /**
     * Hands the shard over and claims none any more, but goes on passing callers' requests to the owner. Where every peer
     * is leaving as well, it keeps the shard until one has come back, at most until the local time given.
     */
    leave(untilMs: number): Promise<void>;
    close(): void;
}

/** The one shard of today's sites; docs/design/platform.md has the arithmetic for more. */
const part = "shard-0";
/** How long the store may take to write this daemon's entry. */
const enterTimeoutMs = 1_500;
/** Pause after an entry that was not written, doubled up to the longest one: all daemons enter themselves after a loss of all VMs. */
const enterPauseMs = 300;
const longestEnterPauseMs = 4_800;
/** Timers of an owner that are late by this much, on average over a second, tell that its VM has turned slow. */
const slowOwnerLagMs = 60;
/** A claim that the store does not answer is given up after this, so that the peers are asked who owns the shard by now. */
const claimPatienceMs = 1_500;
/** A claimant that reads no page of the journal for this long gives the shard up; a store 60 times slower takes 0.5 s a page. */
const restorePatienceMs = 2_500;
/**
 * A claimant that reads the journal for this long, and for as long as no owner was at work before, gives the shard up too:
 * over a link of 20 bytes a ms one got on for 56 s while its peers would have needed 0.1 s. The second part doubles what
 * each next claimant is given, so that one of them gets through where all are slow. 1,000 jobs of 6 KB take 7 s at 10 Mbit/s.
 */
const shortestRestoreMs = 8_000;
/** After that it leaves the claim to others for this long. */
const restAfterRestoreMs = 3_000;
/**
 * A daemon that has not read who else there is takes itself for the strongest, and hears nobody say that the owner is well;
 * so it claims nothing before, but after this time, three reads without an answer, in any case.
 */
const membersPatienceMs = 3_500;
/** A weak VM that owns the shard looks this often for a stronger one to give it to. */
const yieldPauseMs = 2_000;
/** Counts older than this are not told. */
const countsFreshMs = 1_800;

/**
 * Starts a member; it enters itself in the store and watches from then on.
 *
 * @example
 * const member = startCellMember({ clock, log, meter, random, settings, self, store, workers, advisor, members, platform });
 * await member.submit(submission, 2_000);
 */
export const startCellMember = (options: CellMemberOptions): CellMember => {
    const { clock, log, meter, settings, self, store, members, platform } = options;
    const reader = createRowReader({ log, meter });
    const peers = createPeers({
        clock,
        log,
        self,
        members,
        reader,
        ownerVersion: () => knownOwner?.version ?? 0,
        onOwner: known => learnOwner(known, "peer"),
    });
    /** Waves of upkeep by the key of their row. */
    const waves = new Map<string, UpkeepWave>();
    let workerWatch: TableWatch | undefined;
    let configuration: CellConfiguration | undefined;
    /** Of the same version. */
    let callerKeys: CallerKeys | undefined;
    let knownOwner: KnownOwner | undefined;
    let ownerKnownAtMs = clock.monotonicMs();
    let ownerRead = false;
    let membersRead = false;
    let owner: ShardOwner | undefined;
    /** The claim under way. */
    let claimUnderWay: string | undefined;
    /** Claims on the present owner's row that were given up; a try of one that got no answer may take effect yet. */
    const claimsGivenUp = new Set<string>();
    /** One of them that is in force, and is to be resumed. */
    let wonClaim: KnownOwner | undefined;
    /** Token of a claim whose rows are still being read; 0 for none. */
    let claimedToken = 0;
    /** Claims no shard any more. */
    let leaving = false;
    let closed = false;
    let lastOwnedAtMs = clock.monotonicMs();
    /** Local time at which an owner was last known to have its rows, wherever it is. */
    let ownerAtWorkAtMs = clock.monotonicMs();
    /** Whether the owner's newest answer said that it has its rows. */
    let ownerWorks = false;
    let pendingCounts: { readonly counts: Readonly<Record<string, number>>; readonly atMs: number; } | undefined;
    let yielding = false;
    let claimsAgainAtMs = 0;
    const claimsAnywayAtMs = clock.monotonicMs() + membersPatienceMs;
    let yieldsAgainAtMs = 0;

    const adopt = (next: CellConfiguration, source: string): void => {
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

    /** From the store, or from a peer where the store turns this daemon away. */
    const learnOwner = (known: KnownOwner, source: string): void => {
        if (known.version <= (knownOwner?.version ?? 0)) {
            return;
        }
        knownOwner = known;
        ownerKnownAtMs = clock.monotonicMs();
        ownerAtWorkAtMs = lastAtWorkMs();
        ownerWorks = false;
        watch.reset();
        log.write("info", "ownerKnown", { owner: known.row.memberId, fencingToken: known.version, source });
        if (owner !== undefined && known.version > owner.fencingToken) {
            loseShard("ownerRow");
        }
        wonClaim = claimsGivenUp.has(known.row.claimId) ? known : undefined;
        // All others were conditional on the row before.
        claimsGivenUp.clear();
        void resumeClaim();
        forward.wake();
    };

    const takeOwnerRows = (rows: readonly Row[]): void => {
        for (const row of rows) {
            if (row.part !== part || row.key !== ownerKey || row.value === undefined) {
                continue;
            }
            const entry = reader.entryOf(row, decodeOwner(row));
            learnOwner(
                entry === undefined ? unreadableOwner(row.version) : { row: entry, version: row.version },
                "store",
            );
        }
    };

    const loseShard = (reason: string): void => {
        if (owner === undefined) {
            return;
        }
        log.write("warn", "shardLost", { reason, fencingToken: owner.fencingToken });
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
        const shortOffices = countShortOffices({ previous: knownOwner?.row, lastedMs, why });
        const row: OwnerRow = { ...self, claimId, shortOffices };
        log.write("info", "claimBegins", { part, seenVersion, why, shortOffices });
        return takeShard(row, { seenVersion });
    };

    /** A claim that was given up without an answer took effect: until it is taken for silent, no other daemon would serve the shard. */
    const resumeClaim = async (): Promise<void> => {
        if (wonClaim === undefined || claimUnderWay !== undefined || leaving || closed) {
            return;
        }
        const { row, version } = wonClaim;
        wonClaim = undefined;
        log.write("warn", "claimResumed", { part, fencingToken: version });
        try {
            await takeShard(row, { seenVersion: version, wonToken: version });
        }
        catch (error) {
            log.write("error", "claimResumeFailed", { part, reason: failureOf(error).message });
        }
    };

    const takeShard = async (
        row: OwnerRow,
        { seenVersion, wonToken }: { readonly seenVersion: number; readonly wonToken?: number; },
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
                wonToken,
                restorePatienceMs,
                restoreWithinMs: Math.max(shortestRestoreMs, startedAtMs - lastAtWorkMs()),
                wanted: () =>
                    !closed && (knownOwner?.version ?? 0) <= seenVersion
                        && clock.monotonicMs() - startedAtMs < claimPatienceMs
                    || knownOwner?.row.claimId === claimId,
                heardToken: () => knownOwner?.row.claimId === claimId ? knownOwner.version : undefined,
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
                claimsAgainAtMs = gaveUp ? clock.monotonicMs() + restAfterRestoreMs : 0;
                if (!gaveUp) {
                    claimsGivenUp.add(claimId);
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
                newsAgeMs: () => Math.max(workerWatch?.ageMs() ?? Infinity, configurationWatch.ageMs()),
                onFenced: reason => {
                    log.write("warn", "shardLost", { reason, fencingToken: claimed.fencingToken });
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

    /** Waits no longer than it may: whoever waits for the store does not see the owner fall silent meanwhile. */
    const readOwner = (withinMs: number): Promise<boolean> => {
        const read = async (): Promise<boolean> => {
            try {
                const page = await store.read(ownerTable, part);
                takeOwnerRows(page.rows);
                return true;
            }
            catch (error) {
                log.write("debug", "storeSilent", { reason: failureOf(error).message });
                return false;
            }
        };
        return Promise.race([read(), sleep(clock, withinMs).then(() => false)]);
    };

    const giveAway = async (shard: ShardOwner, why: HandOverReason): Promise<boolean> => {
        const isOver = (): boolean => owner !== shard;
        const claimed = await handOver(shard, why, { clock, log, peers, selfId: self.memberId, isOver });
        if (claimed && owner === shard) {
            loseShard(why);
        }
        return claimed;
    };

    const strongerPeerAnswers = (): boolean =>
        !peers.isStrong(self.memberId)
        && peers.live().some(id => id !== self.memberId && peers.isStrong(id) && !peers.isLeaving(id));

    /** An owner whose VM has turned slow, or is weaker than a peer's, gives way to one. */
    const yieldIfUnfit = async (): Promise<void> => {
        if (owner === undefined || leaving || yielding || clock.monotonicMs() < yieldsAgainAtMs) {
            return;
        }
        const settled = clock.monotonicMs() - ownerKnownAtMs > settlingMs(knownOwner?.row ?? {});
        const slow = settled && owner.lagMs() >= slowOwnerLagMs;
        if (!slow && !strongerPeerAnswers()) {
            return;
        }
        yielding = true;
        await giveAway(owner, slow ? "slow" : "weak");
        yieldsAgainAtMs = clock.monotonicMs() + yieldPauseMs;
        yielding = false;
    };

    const noteOwnership = (): void => {
        if (owner !== undefined) {
            lastOwnedAtMs = clock.monotonicMs();
            ownerAtWorkAtMs = lastOwnedAtMs;
            pendingCounts = { counts: owner.pending(), atMs: clock.monotonicMs() };
            void yieldIfUnfit();
        }
    };

    const enterSelf = async (): Promise<void> => {
        const row = { table: memberTable, part: "", key: self.memberId };
        let pauseMs = enterPauseMs;
        while (!closed) {
            const result = await store.transact({
                expect: [],
                puts: [{ ...row, value: JSON.stringify(self) }],
                removes: [],
            }, enterTimeoutMs);
            if (result.outcome === "committed") {
                return;
            }
            await sleep(clock, pauseMs);
            pauseMs = Math.min(longestEnterPauseMs, 2 * pauseMs);
        }
    };

    const takeWaves = (rows: readonly Row[]): void => {
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
                    adopt(next, "store");
                }
            }
            takeWaves(rows);
        },
        onWhole: () => {},
    });

    const configurationFetch = createConfigurationFetch({
        clock,
        log,
        selfId: self.memberId,
        peers,
        version: () => configuration?.version ?? 0,
        storeAgeMs: configurationWatch.ageMs,
        onConfiguration: next => adopt(next, "peer"),
    });

    const tableWatches = [
        watchTable({
            clock,
            log,
            store,
            table: ownerTable,
            parts: [part],
            onRows: takeOwnerRows,
            onWhole: () => {
                ownerRead = true;
                watch.wake();
            },
        }),
        watchTable({
            clock,
            log,
            store,
            table: memberTable,
            parts: [""],
            onRows: peers.take,
            onWhole: () => {
                membersRead = true;
            },
        }),
        configurationWatch,
    ];

    const watch = watchOwner({
        clock,
        log,
        self,
        peers,
        known: () => knownOwner,
        owns: () => owner !== undefined,
        isSettled: () => ownerRead && claimUnderWay === undefined,
        isResting: () =>
            clock.monotonicMs() < claimsAgainAtMs || !membersRead && clock.monotonicMs() < claimsAnywayAtMs,
        isLeaving: () => leaving,
        readOwner,
        witness: createCommitWitness({ clock, log, store, part }),
        claim,
        onAnswer: (address, { configurationVersion }) => configurationFetch.offer(address, configurationVersion),
        onOwnerAnswer: ({ pending }) => {
            // A claimant that still reads the journal counts nothing yet.
            ownerWorks = pending !== undefined;
            if (pending !== undefined) {
                ownerAtWorkAtMs = clock.monotonicMs();
                pendingCounts = { counts: pending, atMs: ownerAtWorkAtMs };
            }
        },
        onOwnRound: noteOwnership,
        onPeersPinged: () => owner?.wake(),
    });
    const lastAtWorkMs = (): number => ownerWorks ? Math.max(ownerAtWorkAtMs, watch.wellAtMs()) : ownerAtWorkAtMs;

    const doing = (): string => {
        if (claimedToken !== 0) {
            return "restores";
        }
        return claimUnderWay === undefined ? watch.doing() : "claims";
    };

    const readiness = watchReadiness({
        clock,
        log,
        isLeaving: () => leaving,
        hasConfiguration: () => configuration !== undefined,
        owns: () => owner !== undefined,
        wellAtMs: watch.wellAtMs,
        ownerAtWorkAtMs: lastAtWorkMs,
        knownOwner: () => knownOwner,
        situation: () => ({
            doing: doing(),
            strong: peers.isStrong(self.memberId),
            members: peers.all.size + 1,
            answering: peers.live().length,
        }),
    });
    void enterSelf();

    const forward = createForward({
        clock,
        retryAfterMs: settings.retryAfterMs,
        shard: () => owner,
        ownerAddress: () =>
            knownOwner === undefined || knownOwner.row.memberId === self.memberId ? undefined : knownOwner.row.address,
        ownerLostMs: () => clock.monotonicMs() - Math.max(watch.wellAtMs(), lastOwnedAtMs),
        onNoAnswer: watch.suspect,
    });

    const freshCounts = (): Readonly<Record<string, number>> | undefined =>
        pendingCounts !== undefined && clock.monotonicMs() - pendingCounts.atMs <= countsFreshMs
            ? pendingCounts.counts
            : undefined;

    /** The counts that came with the newest ping, or where that was a while ago, those that the owner tells now. */
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

    const owned = (): ShardOwner => owner ?? die("unavailable", "this daemon does not own the shard");

    return {
        dataCentre: self.dataCentre,
        configuration: () => configuration,
        ready: readiness.ready,
        submit: (submission, patienceMs) =>
            forward.run({
                local: shard => shard.submit(submission),
                remote: async (address, timeoutMs) => {
                    await members.call(address, "submit", submission, timeoutMs);
                },
                patienceMs,
            }),
        authenticate: (queue, key) =>
            callerKeys === undefined
                ? die("unavailable", "no configuration is known yet", { retryAfterMs: settings.retryAfterMs })
                : callerKeys.organisationOf(queue, key),
        jobState: (job, patienceMs) =>
            forward.run({
                local: shard => shard.jobState(job),
                remote: async (address, timeoutMs) => {
                    const { state, failure } = await members.call(address, "jobState", job, timeoutMs);
                    return state === undefined ? undefined : { state, failure };
                },
                patienceMs,
            }),
        cancel: (job, patienceMs) =>
            forward.run({
                local: shard => shard.cancel(job),
                remote: async (address, timeoutMs) => (await members.call(address, "cancelJob", job, timeoutMs)).known,
                patienceMs,
            }),
        pending: async queueKey => {
            const known = await counts();
            return known === undefined ? undefined : known[queueKey] ?? 0;
        },
        handlers: {
            ping: async ({ ownerVersion }) => ({
                incarnation: self.incarnation,
                ownedToken: owner?.fencingToken ?? claimedToken,
                ...(claimUnderWay === undefined ? {} : { claimId: claimUnderWay }),
                storeStalledMs: owner?.stalledMs() ?? 0,
                configurationVersion: configuration?.version ?? 0,
                ...(owner === undefined ? {} : { pending: owner.pending() }),
                seenOwnerToken: owner?.fencingToken ?? watch.seenToken(),
                leaving,
                lagMs: owner?.lagMs() ?? 0,
                ...(knownOwner !== undefined && knownOwner.version > ownerVersion ? { newerOwner: knownOwner } : {}),
            }),
            submit: async submission => {
                await owned().submit(submission);
                return { accepted: true };
            },
            jobState: async job => await owned().jobState(job) ?? { state: undefined },
            cancelJob: async job => ({ known: await owned().cancel(job) }),
            advise: request => options.advisor.advise(request),
            configuration: async () => configuration ?? die("unavailable", "no configuration is known yet"),
            handOver: async ({ token, why }) => ({
                claimed: await claim(token, why === "slow" ? claimReasons.ownerSlow : claimReasons.handOver),
            }),
        },
        ownsShard: () => owner !== undefined,
        leave: async untilMs => {
            leaving = true;
            while (owner !== undefined && clock.monotonicMs() < untilMs) {
                if (!await giveAway(owner, "leaving")) {
                    await sleep(clock, pingIntervalMs);
                }
            }
            loseShard("leaving");
        },
        close: () => {
            closed = true;
            watch.close();
            readiness.close();
            loseShard("closing");
            for (const tableWatch of tableWatches) {
                tableWatch.stop();
            }
        },
    };
};
