/** Examples of members and of how one of them claims and owns a shard; each example uses one module by itself. */

import { createFakeClock, createFakeRowStore, createShardCell, type FakeClock, testQueue } from "@puffinarch/stand-ins";
import {
    claimOrder,
    claimReasons,
    claimShard,
    countCall,
    countReceived,
    countShortTenures,
    createCommitMonitor,
    createConfigurationFetch,
    createLoadReport,
    createOwnerProgress,
    createPartitionWatch,
    createPauseGuard,
    createPeers,
    createProcessorShare,
    createRowReader,
    createStartGate,
    defaultShardSettings,
    delayForRankMs,
    followerPauseMs,
    handOver,
    journalTable,
    ownDelayMs,
    type Peers,
    sequenceKey,
    type ShardOwner,
    sleep,
    startShardOwner,
    timeoutFactor,
    watchOwner,
    watchReadiness,
} from "puffinarch";
import { createMeter } from "puffinarchd/metrics";
import { log, meter, openWorker, owner, part, submission } from "./shardFixtures.js";

const claim = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock).connect("entry-1");
    const options = {
        clock,
        log,
        store,
        part,
        owner,
        seenVersion: 0,
        isNeeded: () => true,
        reportedToken: () => undefined,
        onClaimed: () => {},
        restoreIdleTimeoutMs: 2_500,
        restoreTimeoutMs: 5_000,
    };
    const first = claimShard(options);
    await clock.advance(100);
    const second = claimShard({ ...options, owner: { ...owner, claimId: "2" } });
    await clock.advance(100);
    return `token ${(await first)?.fencingToken}, then ${(await second) === undefined ? "refused" : "claimed"}`;
};

const readinessExample = async (): Promise<string> => {
    const clock = createFakeClock();
    const lines: string[] = [];
    const readiness = watchReadiness({
        clock,
        log: { write: (_level, event) => lines.push(event) },
        isLeaving: () => false,
        hasConfiguration: () => true,
        owns: () => clock.monotonicMs() < 500,
        isPartitioned: () => false,
        lastHealthyAtMs: () => -Infinity,
        ownerServingAtMs: () => Math.min(clock.monotonicMs(), 500),
        knownOwner: () => undefined,
        situation: () => ({}),
    });
    await clock.advance(2_000);
    readiness.close();
    return lines.join(", ");
};

const shardOwner = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock).connect("entry-1");
    const claiming = claimShard({
        clock,
        log,
        store,
        part,
        owner,
        seenVersion: 0,
        isNeeded: () => true,
        reportedToken: () => undefined,
        onClaimed: () => {},
        restoreIdleTimeoutMs: 2_500,
        restoreTimeoutMs: 5_000,
    });
    await clock.advance(100);
    const claimed = await claiming;
    if (claimed === undefined) {
        return "not claimed";
    }
    const shard = startShardOwner({
        clock,
        log,
        meter,
        settings: defaultShardSettings,
        store,
        workers: {
            start: async () => "done",
            stop: async () => "done",
            pace: async () => "done",
            look: async () => ({ outcome: "unknown" }),
        },
        part,
        claimId: owner.claimId,
        claimed,
        adviceLanes: () => [],
        callAdvice: () => Promise.reject(new Error("no lane")),
        newsAgeMs: () => 0,
        onFenced: () => {},
    });
    shard.updateConfiguration({ version: 1, queues: [testQueue], maxHeaderBytes: 1, maxBodyBytes: 1 });
    const accepted = shard.submit(submission);
    await clock.advance(500);
    await accepted;
    const status = await shard.jobState(submission);
    shard.close();
    return `${submission.jobId} is ${status?.state}`;
};

const examplePeers = (clock: FakeClock, claimed: boolean): Peers => {
    const peers = createPeers({
        clock,
        log,
        self: owner,
        members: {
            call: async (_address, name) =>
                (name === "handOver" ? { claimed } : { incarnation: "9", leaving: false, ownedToken: 0 }) as never,
        },
        reader: createRowReader({ log, meter }),
        ownerVersion: () => 0,
        onOwner: () => {},
    });
    const peer = { memberId: "entry-2", address: "http://127.0.0.1:7101", dataCentre: "leon-feria", incarnation: "9" };
    peers.applyRows([{ table: "member", part: "", key: "entry-2", value: JSON.stringify(peer), version: 1 }]);
    return peers;
};

const peersExample = async (): Promise<string> => {
    const clock = createFakeClock();
    const peers = examplePeers(clock, false);
    const before = peers.live().length;
    await Promise.all([...peers.all.values()].map(peer => peers.ping(peer)));
    return `${before} daemon, then ${peers.live().join(" and ")}`;
};

const partition = async (): Promise<string> => {
    const clock = createFakeClock();
    const readiness: string[] = [];
    const watch = createPartitionWatch({
        clock,
        log,
        meter,
        dataCentre: "leon-feria",
        peers: {
            elsewhere: () => [{ ...owner, dataCentre: "qro-arena" }],
            elsewhereAnsweredAtMs: () => -Infinity,
            ping: async () => undefined,
        },
        readStore: async () => clock.monotonicMs() > 500,
        storeAnsweredAtMs: () => -Infinity,
    });
    watch.suspect();
    for (let check = 0; check < 3; check += 1) {
        readiness.push(watch.isPartitioned() ? "cut off" : "connected");
        await clock.advance(400);
    }
    watch.close();
    return readiness.join(", ");
};

const probes = (): string => {
    const candidates = Array.from({ length: 97 }, (_, index) => ({
        memberId: `entry-${index}`,
        strong: index % 10 === 0,
    }));
    const order = claimOrder(candidates, 7);
    const strongAhead = order.findIndex(({ strong }) => !strong);
    const pauseMs = followerPauseMs(candidates.length, 200);
    return `${strongAhead} strong ones first, ${pauseMs} ms between two pings, ${
        delayForRankMs(20, 120)
    } ms for place 20`;
};

const pauseGuard = async (): Promise<string> => {
    const clock = createFakeClock();
    const confirm = (): Promise<void> => sleep(clock, 10);
    const guard = createPauseGuard({
        clock,
        log,
        fencingToken: 7,
        claimedMs: 0,
        provenAtMs: () => 0,
        maxPauseMs: 1_000,
        confirm,
    });
    const states: string[] = [];
    for (const elapsedMs of [900, 1_100, 20]) {
        await clock.advance(elapsedMs);
        states.push(guard.held() === undefined ? "free" : "held");
    }
    return states.join(", ");
};

const handOverExample = async (): Promise<string> => {
    const clock = createFakeClock();
    const peers = examplePeers(clock, true);
    await Promise.all([...peers.all.values()].map(peer => peers.ping(peer)));
    const left = { quietAfterMs: 0, startsFreed: 0, startsOpen: 0, isDurable: true };
    const shard = { fencingToken: 7, quiesce: async () => left, resume: () => {} } as unknown as ShardOwner;
    return await handOver(shard, "leaving", { clock, log, peers, selfId: "entry-1", isOver: () => false })
        ? "claimed by a peer"
        : "kept";
};

const startGate = async (): Promise<string> => {
    const clock = createFakeClock();
    const gate = createStartGate({ clock, freePlanned: () => 2, written: async () => {}, onOpened: () => {} });
    void gate.track(sleep(clock, 30));
    void gate.track(sleep(clock, 900));
    const closing = gate.close(600);
    await clock.advance(600);
    const { startsFreed, startsOpen } = await closing;
    gate.open();
    return `${startsFreed} freed, ${startsOpen} open, then ${gate.isOpen() ? "open again" : "closed"}`;
};

const ownerWatch = async (): Promise<string> => {
    const clock = createFakeClock();
    const claims: string[] = [];
    const watch = watchOwner({
        clock,
        log,
        self: { ...owner, incarnation: "2" },
        peers: examplePeers(clock, false),
        known: () => ({ row: owner, version: 7 }),
        owns: () => claims.length > 0,
        isSettled: () => true,
        isBackingOff: () => false,
        isLeaving: () => false,
        readOwner: async () => true,
        commitMonitor: { isQuiet: async () => true, reset: () => {} },
        claim: async (version, why) => claims.push(`${version} ${why}`),
        onAnswer: () => {},
        onOwnerAnswer: () => {},
        onRound: () => {},
        onOwnRound: () => {},
        onPeersPinged: () => {},
    });
    await clock.advance(1_000);
    watch.close();
    return claims.join(", ");
};

const processorShare = (): string => {
    const times = { usedMs: 0, activeMs: 0 };
    const share = createProcessorShare(() => ({ ...times }), 1);
    const verdicts: boolean[] = [];
    for (const usedMs of [100, 100, 20, 20]) {
        times.usedMs += usedMs;
        times.activeMs += 100;
        share.sample();
        verdicts.push(share.isSlow());
    }
    return verdicts.join(" ");
};

const commitMonitor = async (): Promise<string> => {
    const clock = createFakeClock();
    const store = createFakeRowStore(clock);
    const monitor = createCommitMonitor({ clock, log, store: store.connect("entry-1"), part });
    const isQuiet = async (): Promise<boolean> => {
        const answer = monitor.isQuiet();
        await clock.advance(1_000);
        return answer;
    };
    for (let batch = 1; batch <= 4; batch += 1) {
        store.putText({ table: journalTable, part, key: sequenceKey, value: `batch ${batch}` });
        await isQuiet();
    }
    const atWork = await isQuiet();
    await isQuiet();
    return `${atWork ? "quiet" : "commits"}, then ${await isQuiet() ? "quiet" : "commits"}`;
};

const configurationFetch = async (): Promise<string> => {
    const clock = createFakeClock();
    let asked = 0;
    const fetch = createConfigurationFetch({
        clock,
        log,
        selfId: owner.memberId,
        peers: {
            ask: () => {
                asked += 1;
                return new Promise<never>(() => {});
            },
        },
        version: () => 7,
        storeAgeMs: () => 10_000,
        onConfiguration: () => {},
    });
    const offers = 3;
    for (let offer = 0; offer < offers; offer += 1) {
        fetch.offer("http://10.1.0.14:7720", 8);
        await clock.advance(200);
    }
    return `asked ${asked} time for ${offers} offers`;
};

const ownerProgress = async (): Promise<string> => {
    const clock = createFakeClock();
    const lines: string[] = [];
    const progress = createOwnerProgress({
        clock,
        log: {
            write: (_level, event, fields) =>
                lines.push(`${event} for ${fields["forMs"]} ms, news of ${fields["newsAgeMs"]} ms ago`),
        },
        meter,
        newsAgeMs: () => 500,
        stalledMs: () => 0,
        newestAnswerAtMs: () => 0,
    });
    for (let second = 0; second < 5; second += 1) {
        await clock.advance(1_000);
        progress.review(12);
    }
    return lines.join("; ");
};

const loadReport = (): string => {
    const lines: string[] = [];
    const traffic = createMeter();
    const report = createLoadReport({
        clock: createFakeClock(),
        log: {
            write: (_level, _event, fields) =>
                lines.push(
                    `${fields["waitingSteps"]} steps wait, ${fields["plannedStarts"]} planned, ${
                        fields["freeCores"]
                    } cores free, workers: ${fields["workersTraffic"]}`,
                ),
        },
        meter: traffic,
        lagMs: () => 0,
        planned: () => ({ starts: 500, free: 0 }),
        queue: () => ({ queued: 0, inFlight: 0, inFlightLimit: 128 }),
        stalledMs: () => 300,
        workers: new Map([["i-1", openWorker()]]),
    });
    countCall(traffic, "workers", 9_000);
    report.write(0);
    countCall(traffic, "workers", 90);
    countCall(traffic, "workers", 90);
    countReceived(traffic, "workers", 510);
    report.write(12);
    return lines.join("; ");
};

const ownDelay = (): string => `${ownDelayMs(100, 500)} ms, then ${ownDelayMs(1_000, 500)} ms`;

const cellMember = async (): Promise<string> => {
    const cell = createShardCell({ members: 3, workers: 2, seed: 1 });
    await cell.clock.advance(2_000);
    const first = cell.owner();
    cell.kill(first ?? "");
    await cell.clock.advance(2_000);
    return cell.owner() === undefined || cell.owner() === first ? "nobody took over" : "another daemon owns the shard";
};

const shortTenures = (): string => {
    const previous = { shortOffices: 1 };
    const replacedSoon = countShortTenures({ previous, lastedMs: 1_200, why: claimReasons.ownerSilent });
    const replacedLate = countShortTenures({ previous, lastedMs: 60_000, why: claimReasons.ownerSilent });
    return `${timeoutFactor({ shortOffices: replacedSoon })} times, then ${
        timeoutFactor({ shortOffices: replacedLate })
    }`;
};

/** Examples of the modules about members and owners, by the module's name. */
export const shardOwnerExamples: Readonly<Record<string, () => string | Promise<string>>> = {
    cellMember,
    claimShard: claim,
    commitMonitor,
    processorShare,
    configurationFetch,
    handOver: handOverExample,
    startGate,
    loadReport,
    ownDelay,
    ownerProgress,
    ownerWatch,
    partition,
    pauseGuard,
    readiness: readinessExample,
    peers: peersExample,
    probes,
    shardOwner,
    shardSettings: () => `leases of ${defaultShardSettings.leaseMs} ms`,
    shortTenures,
};
