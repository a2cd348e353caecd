/** Assembles the coordination of one daemon from its parts. All input and output goes through the given ports. */

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
import type { OwnerCapacity } from "./ownerCapacities.js";
import { createOwnership } from "./ownership.js";
import { createRackOwner } from "./rackOwner.js";
import { createRequestClaims, type RequestClaims } from "./requestClaims.js";
import { createRouter, type Router } from "./router.js";
import { createSession } from "./session.js";
import { createSlots, type Slots } from "./slots.js";

/** External dependencies of a node. */
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

/** Result of a call to all live daemons: the answers, and the ids of the sessions whose call failed. */
export interface CallAllResult<T> {
    readonly answers: readonly T[];
    readonly unreachable: readonly string[];
}

/** The coordination of one daemon, without its network servers. */
export interface Node {
    /** Opens the session and starts all loops; resolves once the node owns its home. Peers call this daemon at `address`, a URL. */
    start(address: string): Promise<void>;
    /** Makes the node not ready, so that the load balancer sends it no new callers; requests are still served. */
    announceStop(): void;
    /** Refuses new work, hands over all owned units and stops all loops. */
    stop(): Promise<void>;
    /** True while the load balancer may send callers to this daemon. */
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
    /** Logs a decision and keeps it for queries; only the latest decisions are kept. */
    recordDecision(decision: Decision): void;
    /** Calls every live daemon, this one included. */
    callAll<K extends PeerCallName>(
        name: K,
        input: PeerCalls[K]["input"],
    ): Promise<CallAllResult<PeerCalls[K]["output"]>>;
    /** Calls the daemon of a session; fails with `unavailable` for an unknown session. */
    call<K extends PeerCallName>(
        sessionId: string,
        name: K,
        input: PeerCalls[K]["input"],
    ): Promise<PeerCalls[K]["output"]>;
    /** Resolves with the reason once a peer or an operator requests a graceful shutdown. */
    readonly drainRequested: Promise<string>;
    /**
     * Resources held by the team's active tasks, on this daemon and on all peers whose gossip is recent; counted only for
     * teams with a quota.
     */
    teamUse(team: string): Resources;
}

const gossipMaxAgeMs = 5_000;
const maxDecisions = 5_000;
/** One gossip round in this many also goes to peers of other data centres, to at most `farPeersPerRound` of them. */
const farGossipRounds = 8;
const farPeersPerRound = 6;
/** One refresh in this many reads the configuration from the table; gossip usually announces a new version earlier. */
const configurationReadRounds = 3;
const homePollMs = 20;
const maxMissedReads = 3;
const clockMarginMs = 250;

const countTableCalls = (table: TableStore, meter: Meter): TableStore => ({
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
 * Creates a node; nothing runs before `start`.
 *
 * @example
 * const node = createNode({ ...defaultNodeSettings, vmId: "vm-1", dataCentre: "leon-feria" }, ports);
 * await node.start("http://127.0.0.1:7100");
 */
export const createNode = (settings: NodeSettings, ports: NodePorts): Node => {
    const { clock, random, log, meter } = ports;
    const table = countTableCalls(ports.table, meter);
    const membership = createMembership({
        clock,
        ownVmId: settings.vmId,
        gossipMaxAgeMs,
        maxReadGapMs: maxMissedReads * settings.refreshIntervalMs,
    });
    const decisions = createRing<Decision>(maxDecisions);
    const loops: Loop[] = [];
    let isDraining = false;
    let stopAnnounced = false;
    let ownAddress = "";
    let attemptCount = 0;
    let gossipRound = 0;
    let refreshRound = 0;
    let requestDrain = (_reason: string): void => {};
    const drainRequested = new Promise<string>(resolve => {
        requestDrain = resolve;
    });

    const recordDecision = (decision: Decision): void => {
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
            ?? die("unavailable", `unknown session ${target}`, { retryAfterMs: 1_000 });
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
            // The next round becomes round 0, which also goes to peers of other data centres.
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
        onDecision: recordDecision,
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

    const ownerCapacities = (): readonly OwnerCapacity[] => {
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
        ownerCapacities,
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
        acceptsJobs: () => !isDraining,
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

    const adoptConfigurationFrom = async (target: string, version: number): Promise<void> => {
        if (version > configuration.inForce().version) {
            configuration.adopt(await call(target, "configuration", { version }));
        }
    };

    const gossipWith = async (peer: SessionRow, message: Gossip): Promise<void> => {
        try {
            const sentAtMs = clock.monotonicMs();
            const received = await call(peer.sessionId, "gossip", message);
            session.recordPromise(peer.sessionId, sentAtMs, received.promiseMs);
            await adoptConfigurationFrom(peer.sessionId, received.configurationVersion);
        }
        catch (error) {
            log.write("debug", "gossipFailed", { peer: peer.sessionId, ...failureOf(error) });
        }
    };

    /** Picks a bounded random sample, so that the cost of gossip does not grow with the number of data centres. */
    const sampleFarPeers = (): readonly SessionRow[] => {
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
        const far = gossipRound % farGossipRounds === 0 ? sampleFarPeers() : [];
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

    /** Rejects a call that would be answered from local state while another session may have taken over this one's units. */
    const requireAuthority = (): void => {
        if (!session.mayAct()) {
            die("unavailable", "the session of this daemon is not confirmed and may have been taken over", {
                retryAfterMs: 1_000,
            });
        }
    };

    const requireHome = (homeId: string) => {
        requireAuthority();
        return homes.find(homeId) ?? die("unavailable", `this daemon does not hold home ${homeId}`);
    };
    const requireHomeOfJob = (jobId: string) => {
        requireAuthority();
        return homes.withJob(jobId) ?? die("notFound", `this daemon has no job ${jobId}`);
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
        report: async ({ homeId, reports }) => ({ settled: await requireHome(homeId).report(reports) }),
        gossip: async received => {
            membership.setGossip(received);
            void adoptConfigurationFrom(received.sessionId, received.configurationVersion).catch(() => undefined);
            const promiseMs = session.isOpen() && received.deputy === sessionId()
                ? deputy.grantPromise(received.sessionId)
                : 0;
            return { configurationVersion: configuration.inForce().version, promiseMs };
        },
        configuration: async (): Promise<Configuration> => configuration.inForce(),
        job: async ({ jobId }) =>
            requireHomeOfJob(jobId).job(jobId) ?? die("notFound", `this daemon has no job ${jobId}`),
        cancelTask: async ({ taskId }) => requireHomeOfJob(jobIdOf(taskId)).cancelTask(taskId),
        cancel: async ({ jobId }) => requireHomeOfJob(jobId).cancel(jobId),
        jobs: async ({ team, afterJobId, limit }) => {
            requireAuthority();
            return homes.held().flatMap(home => home.jobs(team, afterJobId, limit));
        },
        task: async ({ taskId }) => {
            const home = requireHomeOfJob(jobIdOf(taskId));
            return await home.task(taskId) ?? die("notFound", `there is no task ${taskId}`);
        },
        tasks: async ({ jobId, afterIndex, limit }) => requireHomeOfJob(jobId).tasks(jobId, afterIndex, limit),
        decisions: async ({ subject, limit }) =>
            decisions.newest().filter(each => subject === "" || each.subject === subject).slice(0, limit),
        workers: async ({ dataCentre }) =>
            rackOwner.views().filter(view => dataCentre === "" || view.dataCentre === dataCentre),
        upstreams: async ({ service }) =>
            slots.views(sessionId()).filter(view => service === "" || view.service === service),
        daemon: async () => daemonView(),
        nodeReport: async () => nodeReport(),
        drain: async ({ reason }) => {
            requestDrain(reason);
            return { draining: true };
        },
    };

    const refresh = async (): Promise<void> => {
        await ownership.refresh();
        rackOwner.refresh();
        slots.refresh();
    };

    /** Stops acting on all units and opens a new session, after another daemon has fenced the present one. */
    const reopenSession = async (): Promise<void> => {
        await ownership.dropAll();
        await session.open(ownAddress);
        log.write("warn", "sessionReopened", { daemonId: sessionId() });
    };

    const maintainSession = async (): Promise<void> => {
        if (session.isFenced()) {
            await reopenSession();
            return;
        }
        await session.renew();
    };

    const refreshAll = async (): Promise<void> => {
        refreshRound += 1;
        const readsConfiguration = refreshRound % configurationReadRounds === 1;
        await Promise.all([refresh(), readsConfiguration ? configuration.refresh() : Promise.resolve()]);
        await deputy.fenceExpired();
    };

    let gossipLoop: Loop | undefined;
    const startNodeLoop = (name: string, intervalMs: number, run: () => Promise<void>): Loop => {
        const loop = startLoop({ clock, log, name, intervalMs, run });
        loops.push(loop);
        return loop;
    };

    const start = async (address: string): Promise<void> => {
        ownAddress = address;
        await session.open(address);
        startNodeLoop("refresh", settings.refreshIntervalMs, refreshAll);
        startNodeLoop("session", settings.renewIntervalMs / 3, maintainSession);
        gossipLoop = startNodeLoop("gossip", settings.gossipIntervalMs, sendGossip);
        startNodeLoop("reports", settings.reconcileIntervalMs, rackOwner.flushReports);
        while (homes.own() === undefined) {
            await sleep(clock, homePollMs);
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
        recordDecision,
        callAll,
        call,
        drainRequested,
        teamUse,
    };
};
