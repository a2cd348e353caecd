/**
 * The part of a daemon that owns racks: it reserves a worker for each task, starts the attempt there, renews the attempt's
 * lease by polling the worker, and reports its end to the task's home. No task is placed on a worker before its first
 * report, which lists the attempts that it already runs.
 */

import { type PlacementChoice, placements } from "../plugins/placements.js";
import type { Policy } from "../types/configuration.js";
import type { Decision } from "../types/decision.js";
import { type AttemptOutcome, type AttemptReport, jobIdOf } from "../types/job.js";
import { unitKey } from "../types/ownership.js";
import type {
    AttemptsRequest,
    AttemptState,
    CapacitySummary,
    HomeAttemptsRequest,
    HomeAttemptsResponse,
    Placement,
    PlaceRequest,
    TaskOffer,
    WorkerView,
} from "../types/peer.js";
import { type Clock, type Log, type Meter, type Random, type Vm, vmRoles, type WorkerPort } from "../types/ports.js";
import { add, noResources } from "../types/resources.js";
import { failureOf } from "../utils/errors.js";
import { sleep, startLoop } from "../utils/time.js";
import { type Attempt, createAttempts, type OwnedWorker, type WorkerState } from "./attempts.js";
import { createEarmarks } from "./earmarks.js";
import { createLedger } from "./ledger.js";
import type { Membership, VersionedUnit } from "./membership.js";
import type { UnitHandler } from "./ownership.js";
import { createPreemptor } from "./preemptor.js";
import { createQuarantine } from "./quarantine.js";
import { createReportOutbox } from "./reportOutbox.js";
import { correctedSize, remediesFor } from "./usage.js";
import { applyReport } from "./workerReport.js";

/**
 * Owner of the workers of some racks. `place`, `start`, `release` and `stop` ignore requests of an earlier holder of a home,
 * which have a lower `homeVersion` than a request received before.
 */
export interface RackOwner {
    /** Handles the racks as units. */
    readonly unitHandler: UnitHandler;
    /** Applies the VM list: adds new workers and removes those that are gone; also expires reservations and earmarks. */
    refresh(): void;
    /** Reserves workers for offers; an offer without a placement in the result was refused. */
    place(request: PlaceRequest): readonly Placement[];
    /** Starts reserved attempts; resolves with the state of each attempt, by id. */
    start(request: AttemptsRequest): Promise<Readonly<Record<string, AttemptState>>>;
    /** Releases reservations that were not started, and the earmarks for `keepKeys`. */
    release(request: AttemptsRequest): void;
    /** Stops attempts without a checkpoint; those that are only reserved end as `notStarted`. */
    stop(request: AttemptsRequest): Promise<void>;
    /** State of each attempt, by id. */
    states(request: AttemptsRequest): Readonly<Record<string, AttemptState>>;
    /** All attempts of a home. From then on, requests of earlier holders of the home are refused. */
    attemptsOfHome(request: HomeAttemptsRequest): HomeAttemptsResponse;
    /** Capacity of the open workers, for gossip. */
    summary(): CapacitySummary;
    /** All workers, for operators. */
    views(): readonly WorkerView[];
    /** Sends the reports that homes have not settled yet. */
    flushReports(): Promise<void>;
    /** Stops polling the workers. */
    close(): Promise<void>;
}

/** Dependencies and settings of a rack owner. */
export interface RackOwnerOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly meter: Meter;
    readonly workers: WorkerPort;
    readonly membership: Membership;
    readonly daemonId: () => string;
    /** Whether this session may act now; checked before each message to a worker. */
    readonly mayAct: () => boolean;
    readonly policyOf: (name: string) => Policy;
    readonly onDecision: (decision: Decision) => void;
    /** Sends reports to the home's current holder; resolves with the ids of the attempts that it settled. */
    readonly report: (homeId: string, reports: readonly AttemptReport[]) => Promise<readonly string[]>;
    /** Lease of a running attempt; each poll of its worker renews it. */
    readonly leaseMs: number;
    /** Longest time that a worker may hold a poll before it answers. */
    readonly pollWaitMs: number;
    /** A worker ignores a start order that is older than this. */
    readonly startValidityMs: number;
    /** A reservation that is not started within this time is released. */
    readonly reservationMs: number;
    /** A worker is earmarked for a task that has waited this long. */
    readonly starvationMs: number;
}

const failuresUntilUnreachable = 3;
const pollPauseMs = 5;
const unconfirmedStartPollWaitMs = 1_000;
const failedPollPauseMs = 250;
const failuresUntilQuarantine = 3;
const jobsUntilQuarantine = 2;
const firstProbeMs = 10_000;
const maxProbeMs = 300_000;
const earmarkMs = 10_000;
const workersPerEarmark = 4;
/**
 * A gang that has waited this long accepts workers on which its tasks failed. Longer than the 10 s after which a quarantined
 * worker is probed.
 */
const gangAvoidanceMs = 15_000;

/**
 * Creates a rack owner without racks.
 *
 * @example
 * const rackOwner = createRackOwner(options);
 * rackOwner.place({ homeId: "vm-1~1", homeVersion: 3, offers }); // reservations for the offers that fit
 */
export const createRackOwner = (options: RackOwnerOptions): RackOwner => {
    const { clock, random, log, meter, workers, membership, mayAct } = options;
    const ledger = createLedger();
    const attempts = createAttempts(clock, ledger);
    const earmarks = createEarmarks({ clock, earmarkMs, workersPerEarmark });
    const quarantine = createQuarantine({
        clock,
        failures: failuresUntilQuarantine,
        jobs: jobsUntilQuarantine,
        firstProbeMs,
        maxProbeMs,
    });
    const ownedWorkers = new Map<string, OwnedWorker>();
    const preemptOrEarmark = createPreemptor({
        clock,
        meter,
        ledger,
        earmarks,
        attempts,
        workers: ownedWorkers,
        starvationMs: options.starvationMs,
        onEarmarked: () => [...ownedWorkers.values()].forEach(each => updateOpen(each)),
        stop: (worker, attemptIds) => stopInBackground(worker, attemptIds, true),
    });
    const racks = new Set<string>();
    const homeVersions = new Map<string, number>();

    const outbox = createReportOutbox({
        log,
        report: options.report,
        onSettled: attempt => {
            attempt.worker.acknowledge.add(attempt.attemptId);
            attempts.forget(attempt);
        },
    });

    /** Records the version of the home's holder; false if a later holder has already sent a request. */
    const acceptHolder = ({ homeId, homeVersion }: HomeAttemptsRequest): boolean => {
        const highestVersion = homeVersions.get(homeId) ?? -1;
        if (homeVersion < highestVersion) {
            return false;
        }
        homeVersions.set(homeId, homeVersion);
        return true;
    };

    const updateOpen = (worker: OwnedWorker): void => {
        const { vmId } = worker.vm;
        const quarantineState = quarantine.stateOf(vmId);
        const acceptsAttempts = quarantineState === "trusted"
            || (quarantineState === "probing" && worker.attempts.size === 0);
        ledger.setOpen(
            vmId,
            worker.state === "live" && acceptsAttempts && !earmarks.isEarmarked(vmId) && racks.has(worker.rackKey),
        );
    };

    const setWorkerState = (worker: OwnedWorker, state: WorkerState): void => {
        if (worker.state !== state) {
            log.write("info", "workerState", { workerId: worker.vm.vmId, from: worker.state, to: state });
            worker.state = state;
        }
        updateOpen(worker);
    };

    const recordOutcome = (attempt: Attempt, outcome: AttemptOutcome): void => {
        const { vmId } = attempt.worker.vm;
        if (outcome === "completed") {
            quarantine.recordSuccess(vmId);
        }
        if (outcome === "failed") {
            quarantine.recordFailure(vmId, jobIdOf(attempt.taskId));
            if (quarantine.stateOf(vmId) === "quarantined") {
                meter.count("quarantines");
                log.write("warn", "workerQuarantined", { workerId: vmId });
            }
        }
    };

    const endAttempt = (attempt: Attempt, outcome: AttemptOutcome, result: string, checkpoint: string): void => {
        if (attempt.state === "ended") {
            return;
        }
        attempt.state = "ended";
        ledger.release(attempt.attemptId);
        recordOutcome(attempt, outcome);
        updateOpen(attempt.worker);
        attempt.report = { attemptId: attempt.attemptId, taskId: attempt.taskId, outcome, result, checkpoint };
        outbox.add(attempt);
    };

    const sendStops = async (
        worker: OwnedWorker,
        attemptIds: readonly string[],
        checkpoint: boolean,
    ): Promise<void> => {
        if (attemptIds.length > 0 && mayAct()) {
            await workers.stop(worker.vm.address, attemptIds.map(attemptId => ({ attemptId, checkpoint })));
        }
    };

    const stopInBackground = (worker: OwnedWorker, attemptIds: readonly string[], checkpoint: boolean): void => {
        sendStops(worker, attemptIds, checkpoint).catch(error => {
            log.write("debug", "stopFailed", { workerId: worker.vm.vmId, ...failureOf(error) });
        });
    };

    const confirmRunning = (attempt: Attempt): void => {
        attempt.state = "running";
        attempt.confirmedAtMs = clock.monotonicMs();
        if (attempt.stopRequested) {
            stopInBackground(attempt.worker, [attempt.attemptId], false);
        }
    };

    /**
     * Adjusts reservations to the reported usage. If the total usage exceeds the worker's capacity, throttles or stops an
     * attempt.
     */
    const applyUsage = (worker: OwnedWorker): void => {
        const running = [...worker.attempts].filter(attempt => attempt.state === "running");
        for (const attempt of running) {
            const corrected = correctedSize(attempt.size, attempt.used);
            if (!attempt.throttled && corrected !== attempt.size) {
                ledger.resize(attempt.attemptId, corrected);
            }
        }
        for (const remedy of remediesFor(worker.vm.capacity ?? noResources, running)) {
            const attempt = attempts.find(remedy.attemptId);
            meter.count(`remedies.${remedy.kind}`);
            log.write("info", "remedy", { workerId: worker.vm.vmId, ...remedy });
            if (remedy.kind === "stop") {
                stopInBackground(worker, [remedy.attemptId], true);
            }
            else if (attempt !== undefined) {
                attempt.throttled = true;
                ledger.resize(attempt.attemptId, attempt.size);
                workers.throttle(worker.vm.address, remedy.attemptId, remedy.cpuMillis).catch(() => {
                    attempt.throttled = false;
                });
            }
        }
    };

    /** How long the worker may hold the poll: not at all before its first report, and briefly while a start is unconfirmed. */
    const pollWaitMsFor = (worker: OwnedWorker): number => {
        if (worker.seen === undefined) {
            return 0;
        }
        const hasUnconfirmedStart = [...worker.attempts].some(attempt => attempt.state === "starting");
        return hasUnconfirmedStart ? Math.min(unconfirmedStartPollWaitMs, options.pollWaitMs) : options.pollWaitMs;
    };

    const poll = async (worker: OwnedWorker): Promise<void> => {
        const sentAtMs = clock.monotonicMs();
        const acknowledged = [...worker.acknowledge];
        const report = await workers.poll(worker.vm.address, {
            seen: worker.seen,
            leaseMs: options.leaseMs,
            acknowledge: acknowledged,
            waitMs: pollWaitMsFor(worker),
        });
        if (ownedWorkers.get(worker.vm.vmId) !== worker) {
            return;
        }
        worker.clockMs = report.nowMs;
        worker.clockReadAtMs = clock.monotonicMs();
        worker.failures = 0;
        const onlyRepeats = report.ended.length > 0
            && report.ended.every(each => attempts.find(each.attemptId)?.state === "ended");
        applyReport({ ledger, attempts, onRunning: confirmRunning, onEnded: endAttempt }, worker, report, sentAtMs);
        for (const attemptId of acknowledged) {
            worker.acknowledge.delete(attemptId);
        }
        applyUsage(worker);
        setWorkerState(worker, worker.vm.leaving ? "leaving" : "live");
        meter.count("workerPolls");
        if (onlyRepeats) {
            // The report held only ended attempts that were already known. The worker answers each poll immediately while
            // it has unacknowledged ends, so without a pause this would be a busy loop as long as homes cannot write.
            await sleep(clock, failedPollPauseMs);
        }
    };

    const pollSafely = async (worker: OwnedWorker): Promise<void> => {
        if (!mayAct()) {
            await sleep(clock, failedPollPauseMs);
            return;
        }
        try {
            await poll(worker);
        }
        catch (error) {
            worker.failures += 1;
            if (worker.failures >= failuresUntilUnreachable && worker.state !== "recovering") {
                setWorkerState(worker, "unreachable");
            }
            log.write("debug", "pollFailed", { workerId: worker.vm.vmId, ...failureOf(error) });
            await sleep(clock, failedPollPauseMs);
        }
    };

    const addWorker = (vm: Vm, rackKey: string): void => {
        const worker: OwnedWorker = {
            vm,
            rackKey,
            state: "recovering",
            failures: 0,
            clockMs: 0,
            clockReadAtMs: 0,
            acknowledge: new Set(),
            reportedAttempts: new Map(),
            seen: undefined,
            attempts: new Set(),
            loop: undefined,
        };
        ownedWorkers.set(vm.vmId, worker);
        ledger.addWorker(vm.vmId, vm.rack ?? "", vm.capacity ?? noResources);
        const run = (): Promise<void> => pollSafely(worker);
        worker.loop = startLoop({ clock, log, name: `poll ${vm.vmId}`, intervalMs: pollPauseMs, run });
    };

    const removeWorker = (worker: OwnedWorker): void => {
        void worker.loop?.stop();
        ownedWorkers.delete(worker.vm.vmId);
        ledger.removeWorker(worker.vm.vmId);
        quarantine.forget(worker.vm.vmId);
    };

    const removeGoneWorker = (worker: OwnedWorker): void => {
        log.write("warn", "workerGone", { workerId: worker.vm.vmId, attempts: worker.attempts.size });
        removeWorker(worker);
        for (const attempt of [...worker.attempts]) {
            endAttempt(attempt, attempt.state === "reserved" ? "notStarted" : "absent", "", "");
        }
    };

    const applyListedVm = (vm: Vm): void => {
        const rackKey = vm.role === vmRoles.worker ? unitKey("rack", vm.dataCentre, vm.rack ?? "") : "";
        if (!racks.has(rackKey)) {
            return;
        }
        const known = ownedWorkers.get(vm.vmId);
        if (known === undefined) {
            addWorker(vm, rackKey);
            return;
        }
        if (vm.leaving !== known.vm.leaving) {
            known.vm = vm;
            setWorkerState(known, vm.leaving ? "leaving" : known.state);
        }
    };

    const expireReservations = (): void => {
        for (const attempt of [...attempts.all()]) {
            if (attempt.state === "reserved" && clock.monotonicMs() - attempt.reservedAtMs > options.reservationMs) {
                attempts.forget(attempt);
            }
        }
    };

    const refresh = (): void => {
        for (const vm of membership.listing().vms) {
            applyListedVm(vm);
        }
        expireReservations();
        earmarks.expire();
        for (const worker of [...ownedWorkers.values()]) {
            if (membership.vmGone(worker.vm.vmId)) {
                removeGoneWorker(worker);
                continue;
            }
            updateOpen(worker);
        }
    };

    /**
     * True if a task of this gang failed on the worker. Another failure there would end the whole gang again, and other
     * owners may have better workers.
     */
    const isAvoidedByGang = ({ gang, avoid, waitedMs }: TaskOffer, workerId: string): boolean =>
        gang && avoid.includes(workerId) && waitedMs < gangAvoidanceMs;

    const reserveEarmarked = (offer: TaskOffer): OwnedWorker | undefined => {
        for (const workerId of earmarks.workersFor(offer.keepKey)) {
            const worker = ownedWorkers.get(workerId);
            if (
                worker?.state === "live" && !isAvoidedByGang(offer, workerId)
                && ledger.reserveClosed(workerId, offer.attemptId, offer.size)
            ) {
                releaseEarmarks(offer);
                return worker;
            }
        }
        return undefined;
    };

    /** Removes the earmarks for a task. Those for a gang stay until its home releases them or they expire. */
    const releaseEarmarks = (offer: TaskOffer): void => {
        const released = offer.gang ? [] : earmarks.release(offer.keepKey);
        for (const workerId of released) {
            const worker = ownedWorkers.get(workerId);
            if (worker !== undefined) {
                updateOpen(worker);
            }
        }
    };

    const reserveChosen = (offer: TaskOffer, choice: PlacementChoice): OwnedWorker | undefined => {
        const worker = choice.worker === undefined ? undefined : ownedWorkers.get(choice.worker.workerId);
        if (worker === undefined || isAvoidedByGang(offer, worker.vm.vmId)) {
            return undefined;
        }
        if (!ledger.reserve(worker.vm.vmId, offer.attemptId, offer.size)) {
            return undefined;
        }
        releaseEarmarks(offer);
        return worker;
    };

    const placeOffer = (homeId: string, offer: TaskOffer): Placement | undefined => {
        const startedAtMs = clock.monotonicMs();
        const policy = options.policyOf(offer.policy);
        const { size, avoid } = offer;
        const choice = placements[policy.placement]({
            ledger,
            size,
            random,
            sampleSize: policy.sampleSize,
            avoid: new Set(avoid),
        });
        const worker = reserveEarmarked(offer) ?? reserveChosen(offer, choice);
        const reason = worker === undefined
            ? preemptOrEarmark(offer) ?? "no worker of these racks has room"
            : `${policy.placement} among workers with room`;
        options.onDecision({
            atMs: clock.nowMs(),
            daemonId: options.daemonId(),
            kind: "placement",
            subject: offer.taskId,
            requester: homeId,
            chosen: worker?.vm.vmId,
            reason,
            policy: policy.name,
            alternatives: choice.alternatives,
            durationUs: (clock.monotonicMs() - startedAtMs) * 1_000,
        });
        if (worker === undefined) {
            return undefined;
        }
        attempts.track(worker, offer, homeId, "reserved");
        updateOpen(worker);
        const listedGeneration = membership.listing().generation;
        return { attemptId: offer.attemptId, workerId: worker.vm.vmId, rackKey: worker.rackKey, listedGeneration };
    };

    const place = (request: PlaceRequest): readonly Placement[] => {
        if (!mayAct() || !acceptHolder(request)) {
            return [];
        }
        return request.offers.flatMap(offer => placeOffer(request.homeId, offer) ?? []);
    };

    const startOne = async (attempt: Attempt): Promise<AttemptState> => {
        const { worker, attemptId, taskId, homeId, size, payload, checkpoint } = attempt;
        const sinceReadMs = clock.monotonicMs() - worker.clockReadAtMs;
        attempt.state = "starting";
        attempt.startBeforeMs = worker.clockMs + sinceReadMs + options.startValidityMs;
        const { leaseMs } = options;
        const { startBeforeMs } = attempt;
        const order = { attemptId, taskId, homeId, size, payload, checkpoint, leaseMs, startBeforeMs };
        const outcome = await workers.start(worker.vm.address, order);
        meter.count("taskStarts");
        if (attempt.state !== "starting") {
            return attempt.state;
        }
        if (outcome === "started") {
            confirmRunning(attempt);
        }
        if (outcome === "refused") {
            attempts.forget(attempt);
            updateOpen(worker);
            return "notStarted";
        }
        return attempt.state;
    };

    /** Only the current owner of a rack may report an attempt as absent; another daemon may not know of it. */
    const mayReportAbsent = (rackKey: string): boolean => racks.has(rackKey) && mayAct();

    const startIfReserved = async ({ attemptId, rackKey }: Placement): Promise<AttemptState> => {
        const attempt = attempts.find(attemptId);
        if (attempt === undefined) {
            return mayReportAbsent(rackKey) ? "absent" : "undecided";
        }
        if (attempt.state !== "reserved") {
            return attempt.state;
        }
        if (!racks.has(attempt.worker.rackKey)) {
            attempts.forget(attempt);
            return "notStarted";
        }
        return mayAct() ? startOne(attempt) : "undecided";
    };

    const start = async (request: AttemptsRequest): Promise<Readonly<Record<string, AttemptState>>> => {
        if (!acceptHolder(request)) {
            return {};
        }
        const states = await Promise.all(
            request.attempts.map(async placement => [placement.attemptId, await startIfReserved(placement)] as const),
        );
        return Object.fromEntries(states);
    };

    const release = (request: AttemptsRequest): void => {
        if (!acceptHolder(request)) {
            return;
        }
        for (const { attemptId } of request.attempts) {
            const attempt = attempts.find(attemptId);
            if (attempt?.state === "reserved") {
                attempts.forget(attempt);
            }
        }
        for (const keepKey of request.keepKeys ?? []) {
            earmarks.release(keepKey);
        }
        [...ownedWorkers.values()].forEach(updateOpen);
    };

    const stop = async (request: AttemptsRequest): Promise<void> => {
        const byWorker = new Map<OwnedWorker, string[]>();
        if (!acceptHolder(request)) {
            return;
        }
        for (const { attemptId } of request.attempts) {
            const attempt = attempts.find(attemptId);
            if (attempt === undefined || attempt.state === "ended") {
                continue;
            }
            if (attempt.state === "reserved") {
                endAttempt(attempt, "notStarted", "", "");
                continue;
            }
            attempt.stopRequested = true;
            byWorker.set(attempt.worker, [...(byWorker.get(attempt.worker) ?? []), attemptId]);
        }
        await Promise.all([...byWorker].map(([worker, attemptIds]) => sendStops(worker, attemptIds, false)));
    };

    const stateOf = ({ attemptId, workerId, rackKey, listedGeneration }: Placement): AttemptState => {
        const attempt = attempts.find(attemptId);
        if (attempt !== undefined) {
            return attempt.state;
        }
        const worker = ownedWorkers.get(workerId);
        if (worker === undefined) {
            return membership.vmGoneSince(workerId, listedGeneration) ? "absent" : "undecided";
        }
        if (worker.acknowledge.has(attemptId)) {
            return "ended";
        }
        const isReachable = worker.state !== "recovering" && worker.state !== "unreachable";
        return isReachable && mayReportAbsent(rackKey) ? "absent" : "undecided";
    };

    const isRackDecided = (rackKey: string): boolean =>
        [...ownedWorkers.values()].every(worker => worker.rackKey !== rackKey || worker.state !== "recovering");

    const attemptsOfHome = (request: HomeAttemptsRequest): HomeAttemptsResponse => {
        acceptHolder(request);
        const known = [...attempts.all()].filter(attempt => attempt.homeId === request.homeId);
        return {
            attempts: known.map(({ attemptId, taskId, worker, state }) => ({
                attemptId,
                taskId,
                workerId: worker.vm.vmId,
                rackKey: worker.rackKey,
                listedGeneration: membership.listing().generation,
                state,
            })),
            decidedRacks: [...racks].filter(isRackDecided),
        };
    };

    /**
     * Waits until each pending start order is confirmed or no longer valid. Otherwise one could take effect after the next
     * owner has read what the worker runs.
     */
    const awaitPendingStarts = async (leaving: readonly OwnedWorker[]): Promise<void> => {
        const giveUpAtMs = clock.monotonicMs() + options.startValidityMs;
        const hasPendingStart = (): boolean =>
            leaving.some(worker => [...worker.attempts].some(attempt => attempt.state === "starting"));
        while (hasPendingStart() && clock.monotonicMs() < giveUpAtMs) {
            await sleep(clock, failedPollPauseMs);
        }
    };

    const releaseRack = async (unit: VersionedUnit): Promise<void> => {
        racks.delete(unit.key);
        const leaving = [...ownedWorkers.values()].filter(worker => worker.rackKey === unit.key);
        leaving.forEach(updateOpen);
        await awaitPendingStarts(leaving);
        for (const worker of leaving) {
            removeWorker(worker);
            for (const attempt of [...worker.attempts]) {
                outbox.drop(attempt);
                attempts.forget(attempt);
            }
        }
    };

    const viewOf = (worker: OwnedWorker): WorkerView => ({
        workerId: worker.vm.vmId,
        dataCentre: worker.vm.dataCentre,
        rack: worker.vm.rack ?? "",
        state: quarantine.stateOf(worker.vm.vmId) === "trusted" ? worker.state : quarantine.stateOf(worker.vm.vmId),
        capacity: worker.vm.capacity ?? noResources,
        reserved: ledger.worker(worker.vm.vmId)?.reserved ?? noResources,
        used: [...worker.attempts].reduce((sum, attempt) => add(sum, attempt.used), noResources),
        attemptIds: [...worker.attempts].map(attempt => attempt.attemptId),
        ownerDaemonId: options.daemonId(),
    });

    const summary = (): CapacitySummary => {
        let capacity = noResources;
        let free = noResources;
        let mostFree = noResources;
        for (const worker of ledger.openWorkers()) {
            capacity = add(capacity, worker.capacity);
            free = add(free, worker.free);
            mostFree = worker.free.cpuMillis > mostFree.cpuMillis ? worker.free : mostFree;
        }
        return { workers: ownedWorkers.size, capacity, free, mostFree };
    };

    return {
        unitHandler: {
            acquire: async unit => {
                racks.add(unit.key);
                refresh();
            },
            release: releaseRack,
        },
        refresh,
        place,
        start,
        release,
        stop,
        states: ({ attempts: wanted }) => Object.fromEntries(wanted.map(each => [each.attemptId, stateOf(each)])),
        attemptsOfHome,
        summary,
        views: () => [...ownedWorkers.values()].map(viewOf),
        flushReports: outbox.flush,
        close: async () => {
            for (const worker of [...ownedWorkers.values()]) {
                removeWorker(worker);
            }
        },
    };
};
