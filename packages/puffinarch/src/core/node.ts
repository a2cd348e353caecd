/** One daemon's coordination, put together from its parts; all of the outside comes in through ports. */

import type { Configuration } from "../types/configuration.js";
import type { Decision } from "../types/decision.js";
import { type AttemptReport, jobIdOf } from "../types/job.js";
import { type SessionRow, unitKinds } from "../types/ownership.js";
import type { DaemonView, Gossip, NodeReport, PeerCallName, PeerCalls, PeerHandlers, PeerPort } from "../types/peer.js";
import type {
    Clock,
    Log,
    Meter,
    ObjectStore,
    Random,
    TableStore,
    UpstreamPort,
    VmList,
    WorkerPort,
} from "../types/ports.js";
import { add, fits, noResources, type Resources } from "../types/resources.js";
import { die, failureOf } from "../utils/errors.js";
import { createRing } from "../utils/ring.js";
import { type Loop, sleep, startLoop } from "../utils/time.js";
import { type ConfigurationStore, createConfigurationStore } from "./configurationStore.js";
import { createDeputy } from "./deputy.js";
import { createHomes, holderOf, type SharedHomeOptions } from "./homes.js";
import { createJobs, type Jobs } from "./jobs.js";
import { createMembership, type Membership } from "./membership.js";
import type { NodeSettings } from "./nodeSettings.js";
import { createOwnership } from "./ownership.js";
import { createRackOwner } from "./rackOwner.js";
import { createRequestClaims, type RequestClaims } from "./requestClaims.js";
import type { OwnerCapacity } from "./rooms.js";
import { createRouter, type Router } from "./router.js";
import { createSession } from "./session.js";
import { createSlots, type Slots } from "./slots.js";

/** Everything outside that a node touches. */
export interface NodePorts {
    readonly table: TableStore;
    readonly objects: ObjectStore;
    readonly vmList: VmList;
    readonly workers: WorkerPort;
    readonly upstreams: UpstreamPort;
    readonly peers: PeerPort;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly meter: Meter;
}

/** Answers of all live daemons, and the sessions that did not answer. */
export interface Answers<T> {
    readonly answers: readonly T[];
    readonly unreachable: readonly string[];
}

/** A running daemon, without its network side. */
export interface Node {
    /**
     * Opens the session and starts all loops; resolves once the node owns its home. Peers reach this daemon at the
     * address, a URL.
     */
    start(address: string): Promise<void>;
    /** Makes the node not ready, so that the balancer sends no more callers; it goes on serving. */
    announceStop(): void;
    /** Refuses new work, hands everything over and stops. */
    stop(): Promise<void>;
    /** True while callers may be sent here. */
    ready(): boolean;
    draining(): boolean;
    sessionId(): string;
    readonly handlers: PeerHandlers;
    readonly jobs: Jobs;
    readonly configuration: ConfigurationStore;
    readonly membership: Membership;
    readonly claims: RequestClaims;
    readonly slots: Slots;
    readonly router: Router;
    noteDecision(decision: Decision): void;
    callAll<K extends PeerCallName>(name: K, input: PeerCalls[K]["input"]): Promise<Answers<PeerCalls[K]["output"]>>;
    call<K extends PeerCallName>(
        sessionId: string,
        name: K,
        input: PeerCalls[K]["input"],
    ): Promise<PeerCalls[K]["output"]>;
    /** Resolves when a peer or an operator asked for a graceful shutdown. */
    readonly drainAsked: Promise<string>;
    /** Resources in use by teams with a quota, over all daemons heard of lately. */
    teamUse(team: string): Resources;
}

const gossipMaxAgeMs = 5_000;
const decisionsKept = 5_000;
/** Daemons of other data centres hear of this one in one round of this many, so many of them at a time. */
const farGossipEvery = 8;
const farPeersPerRound = 6;
/** Gossip tells of a new configuration first; the table is asked in one refresh of this many. */
const configurationEvery = 3;
const startPollMs = 20;
const maxMissedReads = 3;
const clockMarginMs = 250;

const countCalls = (table: TableStore, meter: Meter): TableStore => ({
    read: keys => {
        meter.count("tableReads");
        return table.read(keys);
    },
    scan: prefix => {
        meter.count("tableReads");
        return table.scan(prefix);
    },
    transact: transaction => {
        meter.count("tableWrites");
        return table.transact(transaction);
    },
});

/**
 * Makes a node; nothing runs before `start`.
 *
 * @example
 * const node = createNode({ ...defaultNodeSettings, vmId: "vm-1", dataCentre: "leon-feria" }, ports);
 * await node.start("http://127.0.0.1:7100");
 */
export const createNode = (settings: NodeSettings, ports: NodePorts): Node => {
    const { clock, random, log, meter } = ports;
    const table = countCalls(ports.table, meter);
    const membership = createMembership({
        clock,
        ownVmId: settings.vmId,
        gossipMaxAgeMs,
        maxReadGapMs: maxMissedReads * settings.refreshIntervalMs,
    });
    const decisions = createRing<Decision>(decisionsKept);
    const loops: Loop[] = [];
    let isDraining = false;
    let stopAnnounced = false;
    let ownAddress = "";
    let attemptCount = 0;
    let gossipRound = 0;
    let refreshRound = 0;
    let askDrain = (_reason: string): void => {};
    const drainAsked = new Promise<string>(resolve => {
        askDrain = resolve;
    });

    const noteDecision = (decision: Decision): void => {
        decisions.push(decision);
        log.write("info", "decision", { ...decision });
        meter.record(`decisionUs.${decision.kind}`, decision.durationUs);
    };

    const session = createSession({
        table,
        vmList: ports.vmList,
        clock,
        log,
        meter,
        membership,
        vmId: settings.vmId,
        dataCentre: settings.dataCentre,
        sessionLeaseMs: settings.sessionLeaseMs,
        renewIntervalMs: settings.renewIntervalMs,
    });
    const sessionId = session.id;

    const deputy = createDeputy({
        table,
        clock,
        log,
        meter,
        membership,
        ownId: sessionId,
        mayAct: session.mayAct,
        sessionLeaseMs: settings.sessionLeaseMs,
        promiseMs: settings.promiseMs,
        marginMs: clockMarginMs,
    });

    const call: Node["call"] = async (target, name, input) => {
        if (target === sessionId()) {
            return handlers[name](input as never) as never;
        }
        const session = membership.session(target)
            ?? die("unavailable", `session ${target} is not known`, { retryAfterMs: 1_000 });
        meter.count("peerCalls");
        return ports.peers.call(session.address, name, input);
    };

    const callAll: Node["callAll"] = async (name, input) => {
        const targets = [sessionId(), ...membership.peers().map(peer => peer.sessionId)];
        const unreachable: string[] = [];
        const answers = await Promise.all(targets.map(target =>
            call(target, name, input).catch(() => {
                unreachable.push(target);
                return undefined;
            })
        ));
        return { answers: answers.filter(answer => answer !== undefined) as never, unreachable };
    };

    const configuration = createConfigurationStore({
        table,
        clock,
        log,
        onAdopted: () => {
            gossipRound = -1;
            gossipLoop?.wake();
        },
    });

    const report = async (homeId: string, reports: readonly AttemptReport[]): Promise<readonly string[]> =>
        (await call(holderOf(membership, homeId), "report", { homeId, reports })).settled;

    const rackOwner = createRackOwner({
        clock,
        random,
        log,
        meter,
        workers: ports.workers,
        membership,
        daemonId: sessionId,
        mayAct: session.mayAct,
        policyOf: configuration.policyOf,
        onDecision: noteDecision,
        report,
        leaseMs: settings.leaseMs,
        pollWaitMs: settings.pollWaitMs,
        startValidityMs: settings.startValidityMs,
        reservationMs: settings.reservationMs,
        starvationMs: settings.starvationMs,
    });

    const slots = createSlots({
        clock,
        random,
        log,
        meter,
        upstreams: ports.upstreams,
        membership,
        mayAct: session.mayAct,
        choice: settings.upstreamChoice,
        slotsPerUpstream: settings.slotsPerUpstream,
        maxQueued: settings.maxQueuedRequests,
        statusIntervalMs: settings.statusIntervalMs,
        drainTimeoutMs: settings.drainTimeoutMs,
    });

    const rooms = (): readonly OwnerCapacity[] => {
        const own = rackOwner.summary();
        const known: OwnerCapacity[] = [{
            sessionId: sessionId(),
            inSameDataCentre: true,
            free: own.free,
            mostFree: own.mostFree,
        }];
        for (const peer of membership.peers()) {
            const gossip = membership.gossipOf(peer.sessionId);
            if (gossip !== undefined && gossip.capacity.workers > 0) {
                const { free, mostFree } = gossip.capacity;
                known.push({
                    sessionId: peer.sessionId,
                    inSameDataCentre: peer.dataCentre === settings.dataCentre,
                    free,
                    mostFree,
                });
            }
        }
        return known;
    };

    const ownTeamUse = (): Readonly<Record<string, Resources>> => {
        const use: Record<string, Resources> = {};
        const teams = new Set(configuration.inForce().document.quotas.map(quota => quota.team));
        for (const home of homes.held()) {
            for (const [team, amount] of home.teamUse()) {
                if (teams.has(team)) {
                    use[team] = add(use[team] ?? noResources, amount);
                }
            }
        }
        return use;
    };

    const teamUse = (team: string): Resources => {
        let use = ownTeamUse()[team] ?? noResources;
        for (const peer of membership.peers()) {
            use = add(use, membership.gossipOf(peer.sessionId)?.teamUse[team] ?? noResources);
        }
        return use;
    };

    const withinQuota = (team: string, size: Resources): boolean => {
        const quota = configuration.inForce().document.quotas.find(each => each.team === team);
        return quota === undefined || fits(add(teamUse(team), size), { ...quota, accelerators: Infinity });
    };

    const homeOptions = (): SharedHomeOptions => ({
        clock,
        random,
        log,
        meter,
        objects: ports.objects,
        membership,
        newAttemptId: taskId => {
            attemptCount += 1;
            return `${taskId}@${sessionId()}.${attemptCount}`;
        },
        policyOf: configuration.policyOf,
        classOf: configuration.classOf,
        rooms,
        withinQuota,
        call,
        mayAct: session.mayAct,
        starvationMs: settings.starvationMs,
        earlyStartMs: settings.earlyStartMs,
        snapshotBatches: settings.snapshotBatches,
        maintainIntervalMs: settings.maintainIntervalMs,
        retentionMs: settings.retentionMs,
        closeTimeoutMs: settings.drainTimeoutMs,
        pumpIntervalMs: settings.pumpIntervalMs,
        reconcileIntervalMs: settings.reconcileIntervalMs,
    });

    const liveDaemons = (): number => Math.max(1, membership.liveSessions().length);

    const homes = createHomes({
        table,
        clock,
        log,
        meter,
        membership,
        sessionId,
        isOpen: session.isOpen,
        objects: ports.objects,
        batchesPerSecond: () => settings.journalBatchesPerSecond / liveDaemons(),
        urgentBatchesPerSecond: () => settings.urgentBatchesPerSecond / liveDaemons(),
        maxPendingEntries: settings.maxPendingEntries,
        onFenced: key => ownership.drop(key),
        homeOptions,
    });

    const ownership = createOwnership({
        table,
        vmList: ports.vmList,
        clock,
        log,
        meter,
        membership,
        session,
        dataCentre: settings.dataCentre,
        deathGraceMs: settings.deathGraceMs,
        unitHandlers: { rack: rackOwner.unitHandler, upstream: slots.unitHandler, home: homes.unitHandler },
    });

    const jobs = createJobs({
        table,
        membership,
        homes,
        configuration: configuration.inForce,
        mayAct: session.mayAct,
        vms: () => membership.listing().vms,
        accepts: () => !isDraining,
        call,
        callAll,
    });

    const router = createRouter({ clock, random, slots, membership, dataCentre: settings.dataCentre });

    const gossip = (): Gossip => ({
        sessionId: sessionId(),
        deputy: session.row()?.deputy ?? "",
        configurationVersion: configuration.inForce().version,
        draining: stopAnnounced,
        capacity: rackOwner.summary(),
        freeSlots: stopAnnounced ? {} : slots.free(),
        teamUse: ownTeamUse(),
    });

    const adoptFrom = async (target: string, version: number): Promise<void> => {
        if (version > configuration.inForce().version) {
            configuration.adopt(await call(target, "configuration", { version }));
        }
    };

    const gossipWith = async (peer: SessionRow, message: Gossip): Promise<void> => {
        try {
            const sentAtMs = clock.monotonicMs();
            const heard = await call(peer.sessionId, "gossip", message);
            session.recordPromise(peer.sessionId, sentAtMs, heard.promiseMs);
            await adoptFrom(peer.sessionId, heard.configurationVersion);
        }
        catch (error) {
            log.write("debug", "gossipFailed", { peer: peer.sessionId, ...failureOf(error) });
        }
    };

    /** A few at random, so that the cost of gossip does not grow with the number of data centres. */
    const someFarPeers = (): readonly SessionRow[] => {
        const far = membership.peers().filter(peer => peer.dataCentre !== settings.dataCentre);
        while (far.length > farPeersPerRound) {
            far.splice(Math.floor(random.next() * far.length), 1);
        }
        return far;
    };

    const sendGossip = async (): Promise<void> => {
        const message = gossip();
        gossipRound += 1;
        const near = membership.peers().filter(peer => peer.dataCentre === settings.dataCentre);
        const far = gossipRound % farGossipEvery === 0 ? someFarPeers() : [];
        await Promise.all([...near, ...far].map(peer => gossipWith(peer, message)));
    };

    const daemonView = (): DaemonView => ({
        daemonId: sessionId(),
        vmId: settings.vmId,
        dataCentre: settings.dataCentre,
        address: ownAddress,
        reachable: true,
        draining: stopAnnounced,
        ownedRacks: ownership.owned(unitKinds.rack).length,
        ownedUpstreams: ownership.owned(unitKinds.upstream).length,
        homes: homes.held().length,
        queuedTasks: homes.held().reduce((sum, home) => sum + home.queuedTasks(), 0),
        configurationVersion: configuration.inForce().version,
        configurationInForceSinceMs: configuration.inForceSinceMs(),
    });

    const nodeReport = (): NodeReport => {
        const held = homes.held();
        const { capacity, free } = rackOwner.summary();
        const accepted = held.reduce((sum, home) => sum + home.acceptedTasks(), 0);
        return {
            tasksAccepted: accepted,
            tasksEnded: meter.total("attempts.completed") + meter.total("attempts.failed"),
            tasksQueued: held.reduce((sum, home) => sum + home.queuedTasks(), 0),
            tasksRunning: held.reduce((sum, home) => sum + home.activeTasks(), 0),
            waitP50Ms: meter.percentile("taskWaitMs", 50),
            waitP99Ms: meter.percentile("taskWaitMs", 99),
            reservedCpuMillis: capacity.cpuMillis - free.cpuMillis,
            capacityCpuMillis: capacity.cpuMillis,
            tableWrites: meter.total("tableWrites"),
            tableReads: meter.total("tableReads"),
            requestsAnswered: meter.total("requestsAnswered"),
        };
    };

    /** A holder that may have been replaced without knowing answers nothing from its state. */
    const refuseWithoutAuthority = (): void => {
        if (!session.mayAct()) {
            die("unavailable", "this daemon may have been replaced and cannot tell", { retryAfterMs: 1_000 });
        }
    };

    const heldHome = (homeId: string) => {
        refuseWithoutAuthority();
        return homes.find(homeId) ?? die("unavailable", `home ${homeId} is not held here`);
    };
    const homeWithJob = (jobId: string) => {
        refuseWithoutAuthority();
        return homes.withJob(jobId) ?? die("notFound", `there is no job ${jobId} here`);
    };

    const handlers: PeerHandlers = {
        place: async input => ({ placements: isDraining ? [] : rackOwner.place(input) }),
        start: async input => ({ states: await rackOwner.start(input) }),
        release: async input => {
            rackOwner.release(input);
            return { states: {} };
        },
        stop: async input => {
            await rackOwner.stop(input);
            return { states: rackOwner.states(input) };
        },
        attemptStates: async input => ({ states: rackOwner.states(input) }),
        attemptsOfHome: async input => rackOwner.attemptsOfHome(input),
        report: async ({ homeId, reports }) => ({ settled: await heldHome(homeId).report(reports) }),
        gossip: async heard => {
            membership.setGossip(heard);
            void adoptFrom(heard.sessionId, heard.configurationVersion).catch(() => undefined);
            const promiseMs = session.isOpen() && heard.deputy === sessionId()
                ? deputy.grantPromise(heard.sessionId)
                : 0;
            return { configurationVersion: configuration.inForce().version, promiseMs };
        },
        configuration: async (): Promise<Configuration> => configuration.inForce(),
        job: async ({ jobId }) => homeWithJob(jobId).job(jobId) ?? die("notFound", `there is no job ${jobId} here`),
        cancelTask: async ({ taskId }) => homeWithJob(jobIdOf(taskId)).cancelTask(taskId),
        cancel: async ({ jobId }) => homeWithJob(jobId).cancel(jobId),
        jobs: async ({ team, afterJobId, limit }) => {
            refuseWithoutAuthority();
            return homes.held().flatMap(home => home.jobs(team, afterJobId, limit));
        },
        task: async ({ taskId }) => {
            const home = homeWithJob(jobIdOf(taskId));
            return await home.task(taskId) ?? die("notFound", `there is no task ${taskId}`);
        },
        tasks: async ({ jobId, afterIndex, limit }) => homeWithJob(jobId).tasks(jobId, afterIndex, limit),
        decisions: async ({ subject, limit }) =>
            decisions.newest().filter(each => subject === "" || each.subject === subject).slice(0, limit),
        workers: async ({ dataCentre }) =>
            rackOwner.views().filter(view => dataCentre === "" || view.dataCentre === dataCentre),
        upstreams: async ({ service }) =>
            slots.views(sessionId()).filter(view => service === "" || view.service === service),
        daemon: async () => daemonView(),
        nodeReport: async () => nodeReport(),
        drain: async ({ reason }) => {
            askDrain(reason);
            return { draining: true };
        },
    };

    const refresh = async (): Promise<void> => {
        await ownership.refresh();
        rackOwner.refresh();
        slots.refresh();
    };

    /** Another session has taken this one over: stop acting, and begin anew. */
    const rejoin = async (): Promise<void> => {
        await ownership.dropAll();
        await session.open(ownAddress);
        log.write("warn", "sessionReopened", { daemonId: sessionId() });
    };

    const keepSession = async (): Promise<void> => {
        if (session.isFenced()) {
            await rejoin();
            return;
        }
        await session.renew();
    };

    const refreshAll = async (): Promise<void> => {
        refreshRound += 1;
        const readsHead = refreshRound % configurationEvery === 1;
        await Promise.all([refresh(), readsHead ? configuration.refresh() : Promise.resolve()]);
        await deputy.fenceExpired();
    };

    let gossipLoop: Loop | undefined;
    const begin = (name: string, intervalMs: number, run: () => Promise<void>): Loop => {
        const loop = startLoop({ clock, log, name, intervalMs, run });
        loops.push(loop);
        return loop;
    };

    const start = async (address: string): Promise<void> => {
        ownAddress = address;
        await session.open(address);
        begin("refresh", settings.refreshIntervalMs, refreshAll);
        begin("session", settings.renewIntervalMs / 3, keepSession);
        gossipLoop = begin("gossip", settings.gossipIntervalMs, sendGossip);
        begin("reports", settings.reconcileIntervalMs, rackOwner.flushReports);
        while (homes.own() === undefined) {
            await sleep(clock, startPollMs);
        }
        log.write("info", "nodeStarted", { daemonId: sessionId(), dataCentre: settings.dataCentre });
    };

    const announceStop = (): void => {
        stopAnnounced = true;
        gossipLoop?.wake();
    };

    const stop = async (): Promise<void> => {
        announceStop();
        isDraining = true;
        log.write("info", "nodeStops", { daemonId: sessionId() });
        const [refreshLoop, ...others] = loops;
        await refreshLoop?.stop();
        await ownership.close();
        await Promise.all(others.map(loop => loop.stop()));
        await rackOwner.close();
        await slots.close();
        log.write("info", "nodeStopped", { daemonId: sessionId() });
    };

    return {
        start,
        announceStop,
        stop,
        ready: () => homes.own() !== undefined && !stopAnnounced && session.mayAct(),
        draining: () => isDraining,
        sessionId,
        handlers,
        jobs,
        configuration,
        membership,
        claims: createRequestClaims({
            table,
            clock,
            meter,
            sessionId,
            timeoutMs: settings.claimTimeoutMs,
            maxPending: settings.maxPendingEntries,
        }),
        slots,
        router,
        noteDecision,
        callAll,
        call,
        drainAsked,
        teamUse,
    };
};
