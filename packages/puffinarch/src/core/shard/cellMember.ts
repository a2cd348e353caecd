/**
 * A daemon's part in the cell: it watches the configuration, the members and the owner of the shard, takes the shard
 * over when its owner is lost, and passes callers' requests on to the owner.
 */

import {
    type AdvisorPort,
    type FencedWorkerPort,
    type MemberHandlers,
    type MemberPort,
    type MemberRow,
    type OwnerRow,
    type PingAnswer,
    type Row,
    type RowKey,
    type RowStore,
} from "../../types/cellPorts.js";
import type { Clock, Log, Meter, Random } from "../../types/ports.js";
import type { UpkeepWave, VmPort, WaveState } from "../../types/upkeep.js";
import type { CellConfiguration, JobState, JobSubmission, WorkerEntry } from "../../types/work.js";
import { die, failureOf, kindOf } from "../../utils/errors.js";
import { hash } from "../../utils/rendezvous.js";
import { sleep } from "../../utils/time.js";
import { claimShard } from "./claimShard.js";
import { createForward } from "./forward.js";
import { type ShardOwner, startShardOwner } from "./shardOwner.js";
import type { ShardSettings } from "./shardSettings.js";
import { ownerKey, ownerTable } from "./shardTables.js";
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
        readonly readConfiguration: (rows: readonly Row[]) => CellConfiguration | undefined;
        readonly workerTable: string;
        readonly readWorker: (row: Row) => WorkerEntry | undefined;
        /** Waves of upkeep among the rows of the configuration's table; left out where nobody asks for any. */
        readonly upkeep?: {
            readonly port: VmPort;
            readonly readWave: (row: Row) => UpkeepWave | undefined;
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
    jobState(queueKey: string, jobId: string, patienceMs: number): Promise<JobState | undefined>;
    cancel(queueKey: string, jobId: string, patienceMs: number): Promise<boolean>;
    /** Jobs accepted of which no task has started; undefined where that is not known freshly enough. */
    pending(queueKey: string): number | undefined;
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
const pingIntervalMs = 200;
/** How long the store may take to write this daemon's entry. */
const enterTimeoutMs = 1_500;
/** An owner pings its peers, which are its lanes to the advisor, every second round; the others every tenth. */
const ownerPingRounds = 2;
const memberPingRounds = 10;
/** After a ping that failed the next one comes sooner. */
const failedPingIntervalMs = 50;
/** An answer takes some 10 ms; a VM that is 5 times slowed still makes it. */
const pingTimeoutMs = 350;
/** Pings in a row without any answer before the owner counts as lost. */
const silentPingsToClaim = 2;
/** How long a peer may take to say whether it sees the owner. */
const peerOpinionMs = 200;
/** An answer from the owner within this time speaks against a peer that finds it silent. */
const freshAnswerMs = 450;
/** Without an owner for this long, a daemon asks the balancer for no more callers. */
const readyWithoutOwnerMs = 450;
/** Each place in the order of candidates waits this much longer. */
const rankDelayMs = 120;
/** A candidate that reaches too few of its peers waits this much longer, so that a cut-off minority does not claim. */
const minorityDelayMs = 2_500;
const minorityAsks = 2;
/** Timers of an owner that are late by this much, on average over a second, tell that its VM has turned slow. */
const slowOwnerLagMs = 60;
/**
 * An owner whose commits found no answer for this long is replaced by a peer that the store answers quickly. Of the copies
 * that it sends by then, at 0, 80 and 240 ms, each may lose its answer one time in three.
 */
const stalledOwnerMs = 400;
/** A store that answers a read, which takes some 6 ms, within this time is well, and an owner that waits for it is not. */
const quickReadMs = 60;
/** A store that answers a read within this time can carry a claim. */
const claimReadMs = 800;
/** Counts older than this are not told. */
const countsFreshMs = 1_800;

interface KnownOwner {
    readonly row: OwnerRow;
    readonly version: number;
}

/**
 * Starts a member; it enters itself in the store and watches from then on.
 *
 * @example
 * const member = startCellMember({ clock, log, meter, random, settings, self, store, workers, advisor, members, platform });
 * await member.submit(submission, 2_000);
 */
export const startCellMember = (options: CellMemberOptions): CellMember => {
    const { clock, log, meter, settings, self, store, members, platform } = options;
    const peers = new Map<string, MemberRow>();
    const peerAnsweredAtMs = new Map<string, number>();
    /** Waves of upkeep by the key of their row. */
    const waves = new Map<string, UpkeepWave>();
    let workerWatch: TableWatch | undefined;
    let configuration: CellConfiguration | undefined;
    let knownOwner: KnownOwner | undefined;
    let ownerRead = false;
    let owner: ShardOwner | undefined;
    let claiming = false;
    /** Token of a claim whose rows are still being read; 0 for none. */
    let claimedToken = 0;
    /** Claims no shard any more. */
    let leaving = false;
    let closed = false;
    let ownerLostAtMs: number | undefined;
    let silentPings = 0;
    let ownerAnsweredAtMs = -Infinity;
    let lastOwnedAtMs = clock.monotonicMs();
    let pendingCounts: { readonly counts: Readonly<Record<string, number>>; readonly atMs: number; } | undefined;
    let wakeWatch: (() => void) | undefined;
    let yielding = false;
    const leavingPeers = new Set<string>();

    const adopt = (next: CellConfiguration, source: string): void => {
        if (configuration !== undefined && next.version <= configuration.version) {
            return;
        }
        log.write("info", "configurationInForce", { version: next.version, from: configuration?.version, source });
        configuration = next;
        owner?.updateConfiguration(next);
    };

    const learnOwner = (row: Row): void => {
        if (row.value === undefined || row.version <= (knownOwner?.version ?? 0)) {
            return;
        }
        knownOwner = { row: JSON.parse(row.value) as OwnerRow, version: row.version };
        silentPings = 0;
        ownerLostAtMs = undefined;
        log.write("info", "ownerKnown", { owner: knownOwner.row.memberId, fencingToken: row.version });
        if (owner !== undefined && row.version > owner.fencingToken) {
            loseShard("ownerRow");
        }
        forward.wake();
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

    const liveLanes = (): readonly string[] => {
        const nowMs = clock.monotonicMs();
        const live = [...peers.keys()].filter(id =>
            nowMs - (peerAnsweredAtMs.get(id) ?? -Infinity) < 3 * pingIntervalMs
        );
        return [self.memberId, ...live];
    };

    const claim = async (seenVersion: number, why: string): Promise<boolean> => {
        if (claiming || leaving || closed) {
            return false;
        }
        claiming = true;
        const startedAtMs = clock.monotonicMs();
        const claimId = `${self.memberId}/${self.incarnation}/${Math.floor(options.random.next() * 1e9)}`;
        log.write("info", "claimBegins", { part, seenVersion, why });
        try {
            const claimed = await claimShard({
                clock,
                log,
                store,
                part,
                owner: { ...self, claimId },
                seenVersion,
                wanted: () =>
                    !closed && (knownOwner?.version ?? 0) <= seenVersion
                    || knownOwner?.row.claimId === claimId,
                onClaimed: fencingToken => {
                    claimedToken = fencingToken;
                    knownOwner = { row: { ...self, claimId }, version: fencingToken };
                },
            });
            if (claimed === undefined) {
                log.write("info", "claimLost", { part, seenVersion });
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
                adviceLanes: liveLanes,
                callAdvice: (laneId, request) => {
                    const peer = peers.get(laneId);
                    return laneId === self.memberId || peer === undefined
                        ? options.advisor.advise(request)
                        : members.call(peer.address, "advise", request, request.timeoutMs);
                },
                ...(platform.upkeep === undefined
                    ? {}
                    : { upkeep: { ...platform.upkeep, holderId: `${self.memberId}/${self.incarnation}` } }),
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
                readWorker: platform.readWorker,
                onWorkers: entries => shard.updateWorkers(entries),
            });
            return true;
        }
        finally {
            claiming = false;
            claimedToken = 0;
        }
    };

    const forEachLost = async <T>(run: () => Promise<T>): Promise<T | undefined> => {
        try {
            return await run();
        }
        catch (error) {
            log.write("debug", "peerSilent", { reason: failureOf(error).message });
            return undefined;
        }
    };

    /** Whether a peer had an answer from the owner within the last moments; then the fault is on this side. */
    const peersSeeOwner = async (version: number): Promise<{ readonly seen: boolean; readonly answered: number; }> => {
        const others = [...peers.values()].filter(peer => peer.memberId !== knownOwner?.row.memberId);
        const ask = (peer: MemberRow): Promise<PingAnswer | undefined> =>
            forEachLost(() => members.call(peer.address, "ping", { from: self.memberId }, peerOpinionMs));
        const answers = await Promise.all(others.map(ask));
        const answered = answers.filter(answer => answer !== undefined);
        return {
            seen: version > 0 && answered.some(answer => answer.seenOwnerToken === version),
            answered: answered.length,
        };
    };

    const rankOf = (version: number): number => {
        const score = (id: string): number => hash(`${version}|${id}`);
        const mine = score(self.memberId);
        return liveLanes().filter(id => id !== knownOwner?.row.memberId && score(id) > mine).length;
    };

    const considerClaim = async (why: string): Promise<void> => {
        if (claiming || leaving || owner !== undefined || !ownerRead) {
            return;
        }
        const version = knownOwner?.version ?? 0;
        if (knownOwner?.row.memberId === self.memberId) {
            // This VM's former process owned it, and is surely over.
            await claim(version, why);
            return;
        }
        ownerLostAtMs ??= clock.monotonicMs();
        const lostForMs = clock.monotonicMs() - ownerLostAtMs;
        if (lostForMs < rankOf(version) * rankDelayMs) {
            return;
        }
        const { seen, answered } = await peersSeeOwner(version);
        if (seen) {
            ownerLostAtMs = clock.monotonicMs();
            return;
        }
        const others = Math.max(0, peers.size - 1);
        const minority = 2 * answered < others;
        if (minority && lostForMs < minorityDelayMs) {
            return;
        }
        // A claim that is sent into an outage might take effect after it, when nobody needs it.
        if (!await storeAnswers(claimReadMs) || minority && await ownerAnswers(version)) {
            return;
        }
        if ((knownOwner?.version ?? 0) === version && owner === undefined) {
            await claim(version, why);
        }
    };

    /**
     * A cut may just have healed: once the store answers, a minority asks the owner before it replaces it, and once more
     * where the first call was lost to a connection that was begun during the cut.
     */
    const ownerAnswers = async (version: number): Promise<boolean> => {
        const address = knownOwner?.row.address;
        for (let tries = 0; address !== undefined && tries < minorityAsks; tries += 1) {
            const answer = await forEachLost(() =>
                members.call(address, "ping", { from: self.memberId }, pingTimeoutMs)
            );
            if (answer !== undefined) {
                return answer.ownedToken === version;
            }
        }
        return false;
    };

    const storeAnswers = async (withinMs: number): Promise<boolean> => {
        const startedAtMs = clock.monotonicMs();
        const page = await forEachLost(() => store.read(ownerTable, part));
        for (const row of page?.rows ?? []) {
            if (row.key === ownerKey) {
                learnOwner(row);
            }
        }
        return page !== undefined && clock.monotonicMs() - startedAtMs < withinMs;
    };

    /** An owner that answers its peers and cannot reach the store gives way to one that can. */
    const replaceStalled = async (version: number, stalledMs: number): Promise<void> => {
        if (claiming || leaving || stalledMs < stalledOwnerMs + rankOf(version) * rankDelayMs) {
            return;
        }
        if (await storeAnswers(quickReadMs) && knownOwner?.version === version && owner === undefined) {
            await claim(version, "ownerStalled");
        }
    };

    const takePing = (answer: PingAnswer): void => {
        ownerAnsweredAtMs = clock.monotonicMs();
        silentPings = 0;
        ownerLostAtMs = undefined;
        pendingCounts = { counts: answer.pending, atMs: clock.monotonicMs() };
    };

    const pingOwner = async ({ row, version }: KnownOwner): Promise<void> => {
        const startedAtMs = clock.monotonicMs();
        try {
            const answer = await members.call(row.address, "ping", { from: self.memberId }, pingTimeoutMs);
            peerAnsweredAtMs.set(row.memberId, clock.monotonicMs());
            if (knownOwner?.version !== version) {
                return;
            }
            if (answer.configurationVersion > (configuration?.version ?? 0)) {
                void fetchConfiguration(row.address);
            }
            if (answer.ownedToken === version) {
                takePing(answer);
                await replaceStalled(version, answer.storeStalledMs);
                return;
            }
            // The process is another one, or gave the shard up; a claim under way shows no token yet.
            if (answer.incarnation !== row.incarnation || clock.monotonicMs() - startedAtMs < pingTimeoutMs) {
                silentPings += 1;
            }
        }
        catch (error) {
            silentPings += 1;
            log.write("warn", "ownerSilent", { owner: row.memberId, kind: kindOf(error), silentPings });
        }
        if (knownOwner?.version === version && silentPings >= silentPingsToClaim) {
            await considerClaim("ownerSilent");
        }
    };

    const fetchConfiguration = async (address: string): Promise<void> => {
        const next = await forEachLost(() =>
            members.call(address, "configuration", { from: self.memberId }, pingTimeoutMs)
        );
        if (next !== undefined) {
            adopt(next, "peer");
        }
    };

    const notePeer = (peerId: string, answer: PingAnswer): void => {
        if (answer.leaving) {
            leavingPeers.add(peerId);
        }
        else {
            leavingPeers.delete(peerId);
        }
    };

    const pingPeers = (): void => {
        for (const peer of peers.values()) {
            if (peer.memberId === knownOwner?.row.memberId && owner === undefined) {
                continue;
            }
            void forEachLost(async () => {
                const answer = await members.call(peer.address, "ping", { from: self.memberId }, pingTimeoutMs);
                peerAnsweredAtMs.set(peer.memberId, clock.monotonicMs());
                notePeer(peer.memberId, answer);
                if (answer.configurationVersion > (configuration?.version ?? 0)) {
                    await fetchConfiguration(peer.address);
                }
            });
        }
        owner?.wake();
    };

    /** The owner pings everyone, since its peers are its lanes to the advisor; the others ping the owner. */
    const watchOnce = async (round: number): Promise<void> => {
        if (owner !== undefined) {
            lastOwnedAtMs = clock.monotonicMs();
            pendingCounts = { counts: owner.pending(), atMs: clock.monotonicMs() };
            if (round % ownerPingRounds === 0) {
                pingPeers();
            }
            void yieldIfSlow();
            return;
        }
        if (!ownerRead || claiming) {
            return;
        }
        if (knownOwner === undefined || knownOwner.row.memberId === self.memberId) {
            await considerClaim(knownOwner === undefined ? "noOwner" : "restarted");
        }
        else {
            await pingOwner(knownOwner);
        }
        if (round % memberPingRounds === 0) {
            pingPeers();
        }
    };

    const watchOwner = async (): Promise<void> => {
        for (let round = 1; !closed; round += 1) {
            try {
                await watchOnce(round);
            }
            catch (error) {
                // Without this watch the daemon would never take over again.
                log.write("error", "ownerWatchFailed", { ...failureOf(error) });
            }
            await new Promise<void>(resolve => {
                const cancel = clock.setTimer(silentPings > 0 ? failedPingIntervalMs : pingIntervalMs, resolve);
                wakeWatch = () => {
                    cancel();
                    resolve();
                };
            });
        }
    };

    /** Lets a peer claim the shard; the one that started last is the least likely to stop soon. */
    const handOver = async (shard: ShardOwner, why: string): Promise<boolean> => {
        await Promise.race([shard.idle(), sleep(clock, pingTimeoutMs)]);
        const startedAt = (peerId: string): number => Number.parseInt(peers.get(peerId)?.incarnation ?? "0", 10);
        const candidates = liveLanes().filter(id => id !== self.memberId && !leavingPeers.has(id));
        for (const peerId of candidates.sort((left, right) => startedAt(right) - startedAt(left))) {
            const peer = peers.get(peerId);
            if (peer === undefined) {
                continue;
            }
            const call = members.call(peer.address, "handOver", { token: shard.fencingToken }, 2 * pingTimeoutMs);
            const claimed = (await forEachLost(() => call))?.claimed ?? false;
            log.write("info", "handOver", { to: peerId, claimed, why });
            if (claimed) {
                if (owner === shard) {
                    loseShard(why);
                }
                return true;
            }
        }
        return false;
    };

    /** An owner whose VM has turned slow gives way to a peer. */
    const yieldIfSlow = async (): Promise<void> => {
        if (owner === undefined || leaving || yielding || owner.lagMs() < slowOwnerLagMs) {
            return;
        }
        yielding = true;
        await handOver(owner, "slow");
        yielding = false;
    };

    const enterSelf = async (): Promise<void> => {
        const row = { table: memberTable, part: "", key: self.memberId };
        while (!closed) {
            const result = await store.transact({
                expect: [],
                puts: [{ ...row, value: JSON.stringify(self) }],
                removes: [],
            }, enterTimeoutMs);
            if (result.outcome === "committed") {
                return;
            }
            await sleep(clock, 300);
        }
    };

    const takeWaves = (rows: readonly Row[]): void => {
        let changed = false;
        for (const row of platform.upkeep === undefined ? [] : rows) {
            const wave = platform.upkeep?.readWave(row);
            changed ||= wave !== undefined || waves.has(row.key);
            if (wave === undefined) {
                waves.delete(row.key);
            }
            else {
                waves.set(row.key, wave);
            }
        }
        if (changed) {
            owner?.updateWaves([...waves.values()]);
        }
    };

    const watches = [
        watchTable({
            clock,
            log,
            store,
            table: ownerTable,
            parts: [part],
            onRows: rows => {
                for (const row of rows.filter(each => each.part === part && each.key === ownerKey)) {
                    learnOwner(row);
                }
            },
            onWhole: () => {
                ownerRead = true;
                wakeWatch?.();
            },
        }),
        watchTable({
            clock,
            log,
            store,
            table: memberTable,
            parts: [""],
            onRows: rows => {
                for (const row of rows) {
                    if (row.value === undefined) {
                        peers.delete(row.key);
                    }
                    else if (row.key !== self.memberId) {
                        peers.set(row.key, JSON.parse(row.value) as MemberRow);
                    }
                }
            },
            onWhole: () => {},
        }),
        watchTable({
            clock,
            log,
            store,
            table: platform.configurationTable,
            parts: [""],
            feedWaitMs: shortFeedWaitMs,
            onRows: rows => {
                const next = platform.readConfiguration(rows);
                if (next !== undefined) {
                    adopt(next, "store");
                }
                takeWaves(rows);
            },
            onWhole: () => {},
        }),
    ];

    void enterSelf();
    void watchOwner();

    const forward = createForward({
        clock,
        retryAfterMs: settings.retryAfterMs,
        shard: () => owner,
        ownerAddress: () =>
            knownOwner === undefined || knownOwner.row.memberId === self.memberId ? undefined : knownOwner.row.address,
        ownerLostMs: () => clock.monotonicMs() - Math.max(ownerAnsweredAtMs, lastOwnedAtMs),
    });

    const owned = (): ShardOwner => owner ?? die("unavailable", "this daemon does not own the shard");

    return {
        dataCentre: self.dataCentre,
        configuration: () => configuration,
        ready: () =>
            !leaving && configuration !== undefined
            && (owner !== undefined || clock.monotonicMs() - ownerAnsweredAtMs < readyWithoutOwnerMs),
        submit: (submission, patienceMs) =>
            forward.run({
                local: shard => shard.submit(submission),
                remote: async (address, timeoutMs) => {
                    await members.call(address, "submit", submission, timeoutMs);
                },
                patienceMs,
            }),
        jobState: (queueKey, jobId, patienceMs) =>
            forward.run({
                local: shard => shard.jobState(jobId),
                remote: async (address, timeoutMs) =>
                    (await members.call(address, "jobState", { queueKey, jobId }, timeoutMs)).state,
                patienceMs,
            }),
        cancel: (queueKey, jobId, patienceMs) =>
            forward.run({
                local: shard => shard.cancel(jobId),
                remote: async (address, timeoutMs) =>
                    (await members.call(address, "cancelJob", { queueKey, jobId }, timeoutMs)).known,
                patienceMs,
            }),
        pending: queueKey =>
            pendingCounts === undefined || clock.monotonicMs() - pendingCounts.atMs > countsFreshMs
                ? undefined
                : pendingCounts.counts[queueKey] ?? 0,
        handlers: {
            ping: async () => ({
                incarnation: self.incarnation,
                ownedToken: owner?.fencingToken ?? claimedToken,
                storeStalledMs: owner?.stalledMs() ?? 0,
                configurationVersion: configuration?.version ?? 0,
                pending: owner?.pending() ?? {},
                seenOwnerToken: owner?.fencingToken
                    ?? (silentPings === 0 && clock.monotonicMs() - ownerAnsweredAtMs < freshAnswerMs
                        ? knownOwner?.version ?? 0
                        : 0),
                leaving,
                lagMs: owner?.lagMs() ?? 0,
            }),
            submit: async submission => {
                await owned().submit(submission);
                return { accepted: true };
            },
            jobState: async ({ jobId }) => ({ state: await owned().jobState(jobId) }),
            cancelJob: async ({ jobId }) => ({ known: await owned().cancel(jobId) }),
            advise: request => options.advisor.advise(request),
            configuration: async () => configuration ?? die("unavailable", "no configuration is known yet"),
            handOver: async ({ token }) => ({ claimed: await claim(token, "handOver") }),
        },
        ownsShard: () => owner !== undefined,
        leave: async untilMs => {
            leaving = true;
            while (owner !== undefined && clock.monotonicMs() < untilMs) {
                if (!await handOver(owner, "leaving")) {
                    await sleep(clock, pingIntervalMs);
                }
            }
            loseShard("leaving");
        },
        close: () => {
            closed = true;
            loseShard("closing");
            for (const watch of watches) {
                watch.stop();
            }
        },
    };
};
