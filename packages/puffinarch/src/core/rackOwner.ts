/**
 * The owner of racks: decides which worker takes a task, starts it there, renews its lease, and reports its end to
 * the task's home. A worker is offered for placing only after it has said what it already runs.
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
import type { Membership, OwnedUnit } from "./membership.js";
import type { UnitKeeper } from "./ownership.js";
import { createQuarantine } from "./quarantine.js";
import { createReportOutbox } from "./reportOutbox.js";
import { createRoomMaker } from "./roomMaker.js";
import { correctedSize, remediesFor } from "./usage.js";
import { readReport } from "./workerReport.js";

/** The part of a daemon that owns racks. */
export interface RackOwner {
    readonly keeper: UnitKeeper;
    /** Adds workers that the VM list newly shows and removes those that are gone. */
    refresh(): void;
    place(request: PlaceRequest): readonly Placement[];
    start(request: AttemptsRequest): Promise<Readonly<Record<string, AttemptState>>>;
    /** Gives back reservations that were not started. */
    release(request: AttemptsRequest): void;
    stop(request: AttemptsRequest): Promise<void>;
    states(request: AttemptsRequest): Readonly<Record<string, AttemptState>>;
    /** Everything known of a home; earlier holders of the home are shut out from then on. */
    attemptsOfHome(request: HomeAttemptsRequest): HomeAttemptsResponse;
    summary(): CapacitySummary;
    views(): readonly WorkerView[];
    /** Sends reports that wait. */
    flushReports(): Promise<void>;
    close(): Promise<void>;
}

/** What a rack owner needs. */
export interface RackOwnerOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly meter: Meter;
    readonly workers: WorkerPort;
    readonly membership: Membership;
    readonly daemonId: () => string;
    /** Whether this session may act now; asked before each send. */
    readonly mayAct: () => boolean;
    readonly policyOf: (name: string) => Policy;
    readonly onDecision: (decision: Decision) => void;
    /** Sends reports to the home's present holder; answers the attempts settled there. */
    readonly report: (homeId: string, reports: readonly AttemptReport[]) => Promise<readonly string[]>;
    readonly leaseMs: number;
    readonly pollWaitMs: number;
    /** A start order is void this long after it was sent. */
    readonly startValidityMs: number;
    /** A reservation that is not started is given back after this. */
    readonly reservationMs: number;
    /** A task that waited this long earns a worker that is kept free for it. */
    readonly starvationMs: number;
}

const failuresUntilUnreachable = 3;
const pollPauseMs = 5;
const undecidedWaitMs = 1_000;
const failedPollPauseMs = 250;
const failuresUntilQuarantine = 3;
const jobsUntilQuarantine = 2;
const firstProbeMs = 10_000;
const maxProbeMs = 300_000;
const earmarkMs = 10_000;
const oneInWorkersKept = 4;
/** A gang that has waited this long takes a worker that failed it; a probe opens a quarantined one after 10 s. */
const gangRefusalMs = 15_000;

/**
 * Makes a rack owner that owns nothing yet.
 *
 * @example
 * const rackOwner = createRackOwner(options);
 * rackOwner.place({ homeId: "vm-1~1", homeVersion: 3, offers }); // reservations for the offers that fit
 */
export const createRackOwner = (options: RackOwnerOptions): RackOwner => {
    const { clock, random, log, meter, workers, membership, mayAct } = options;
    const ledger = createLedger();
    const attempts = createAttempts(clock, ledger);
    const earmarks = createEarmarks({ clock, keptMs: earmarkMs, oneInWorkers: oneInWorkersKept });
    const quarantine = createQuarantine({
        clock,
        failures: failuresUntilQuarantine,
        jobs: jobsUntilQuarantine,
        firstProbeMs,
        maxProbeMs,
    });
    const entries = new Map<string, OwnedWorker>();
    const makeRoom = createRoomMaker({
        clock,
        meter,
        ledger,
        earmarks,
        attempts,
        workers: entries,
        starvationMs: options.starvationMs,
        onKept: () => [...entries.values()].forEach(each => refreshOpen(each)),
        stop: (worker, attemptIds) => stopSoon(worker, attemptIds, true),
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

    /** False for a holder of the home that has been replaced since. */
    const admitHolder = ({ homeId, homeVersion }: HomeAttemptsRequest): boolean => {
        const seen = homeVersions.get(homeId) ?? -1;
        if (homeVersion < seen) {
            return false;
        }
        homeVersions.set(homeId, homeVersion);
        return true;
    };

    const refreshOpen = (worker: OwnedWorker): void => {
        const { vmId } = worker.vm;
        const trust = quarantine.trust(vmId);
        const trusted = trust === "trusted" || (trust === "probing" && worker.attempts.size === 0);
        ledger.setOpen(vmId, worker.state === "live" && trusted && !earmarks.isKept(vmId) && racks.has(worker.rackKey));
    };

    const setWorkerState = (worker: OwnedWorker, state: WorkerState): void => {
        if (worker.state !== state) {
            log.write("info", "workerState", { workerId: worker.vm.vmId, from: worker.state, to: state });
            worker.state = state;
        }
        refreshOpen(worker);
    };

    const noteTrust = (attempt: Attempt, outcome: AttemptOutcome): void => {
        const { vmId } = attempt.worker.vm;
        if (outcome === "completed") {
            quarantine.noteSuccess(vmId);
        }
        if (outcome === "failed") {
            quarantine.noteFailure(vmId, jobIdOf(attempt.taskId));
            if (quarantine.trust(vmId) === "quarantined") {
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
        noteTrust(attempt, outcome);
        refreshOpen(attempt.worker);
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

    const stopSoon = (worker: OwnedWorker, attemptIds: readonly string[], checkpoint: boolean): void => {
        sendStops(worker, attemptIds, checkpoint).catch(error => {
            log.write("debug", "stopFailed", { workerId: worker.vm.vmId, ...failureOf(error) });
        });
    };

    const confirm = (attempt: Attempt): void => {
        attempt.state = "running";
        attempt.confirmedAtMs = clock.monotonicMs();
        if (attempt.stopWanted) {
            stopSoon(attempt.worker, [attempt.attemptId], false);
        }
    };

    /** Follows usage: what is held grows with it, and what exceeds the worker is throttled or stopped. */
    const followUsage = (worker: OwnedWorker): void => {
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
                stopSoon(worker, [remedy.attemptId], true);
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

    /** A worker that is not known yet is asked at once, and one with an undecided start soon. */
    const waitFor = (worker: OwnedWorker): number => {
        if (worker.seen === undefined) {
            return 0;
        }
        const undecided = [...worker.attempts].some(attempt => attempt.state === "starting");
        return undecided ? Math.min(undecidedWaitMs, options.pollWaitMs) : options.pollWaitMs;
    };

    const poll = async (worker: OwnedWorker): Promise<void> => {
        const sentAtMs = clock.monotonicMs();
        const acknowledged = [...worker.acknowledge];
        const report = await workers.poll(worker.vm.address, {
            seen: worker.seen,
            leaseMs: options.leaseMs,
            acknowledge: acknowledged,
            waitMs: waitFor(worker),
        });
        if (entries.get(worker.vm.vmId) !== worker) {
            return;
        }
        worker.clockMs = report.nowMs;
        worker.clockReadAtMs = clock.monotonicMs();
        worker.failures = 0;
        const told = report.ended.length > 0
            && report.ended.every(each => attempts.find(each.attemptId)?.state === "ended");
        readReport({ ledger, attempts, onRunning: confirm, onEnded: endAttempt }, worker, report, sentAtMs);
        for (const attemptId of acknowledged) {
            worker.acknowledge.delete(attemptId);
        }
        followUsage(worker);
        setWorkerState(worker, worker.vm.leaving ? "leaving" : "live");
        meter.count("workerPolls");
        if (told) {
            // A worker repeats what nobody has acknowledged at once; while homes cannot write, that would be all the time.
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
            shown: new Map(),
            seen: undefined,
            attempts: new Set(),
            loop: undefined,
        };
        entries.set(vm.vmId, worker);
        ledger.addWorker(vm.vmId, vm.rack ?? "", vm.capacity ?? noResources);
        const run = (): Promise<void> => pollSafely(worker);
        worker.loop = startLoop({ clock, log, name: `poll ${vm.vmId}`, intervalMs: pollPauseMs, run });
    };

    const removeWorker = (worker: OwnedWorker): void => {
        void worker.loop?.stop();
        entries.delete(worker.vm.vmId);
        ledger.removeWorker(worker.vm.vmId);
        quarantine.forget(worker.vm.vmId);
    };

    const removeGone = (worker: OwnedWorker): void => {
        log.write("warn", "workerGone", { workerId: worker.vm.vmId, attempts: worker.attempts.size });
        removeWorker(worker);
        for (const attempt of [...worker.attempts]) {
            endAttempt(attempt, attempt.state === "reserved" ? "notStarted" : "absent", "", "");
        }
    };

    const noteListing = (vm: Vm): void => {
        const rackKey = vm.role === vmRoles.worker ? unitKey("rack", vm.dataCentre, vm.rack ?? "") : "";
        if (!racks.has(rackKey)) {
            return;
        }
        const known = entries.get(vm.vmId);
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
            noteListing(vm);
        }
        expireReservations();
        earmarks.expire();
        for (const worker of [...entries.values()]) {
            if (membership.vmGone(worker.vm.vmId)) {
                removeGone(worker);
                continue;
            }
            refreshOpen(worker);
        }
    };

    /** A worker that failed one member of a gang fails all of it again; other owners may have a better one. */
    const refusesFor = ({ gang, avoid, waitedMs }: TaskOffer, workerId: string): boolean =>
        gang && avoid.includes(workerId) && waitedMs < gangRefusalMs;

    const takeKept = (offer: TaskOffer): OwnedWorker | undefined => {
        for (const workerId of earmarks.workersFor(offer.keepKey)) {
            const worker = entries.get(workerId);
            if (
                worker?.state === "live" && !refusesFor(offer, workerId)
                && ledger.reserveClosed(workerId, offer.attemptId, offer.size)
            ) {
                releaseKept(offer);
                return worker;
            }
        }
        return undefined;
    };

    /** A gang's workers stay kept until its last task has come or the time is up. */
    const releaseKept = (offer: TaskOffer): void => {
        const released = offer.gang ? [] : earmarks.release(offer.keepKey);
        for (const workerId of released) {
            const worker = entries.get(workerId);
            if (worker !== undefined) {
                refreshOpen(worker);
            }
        }
    };

    const takeChosen = (offer: TaskOffer, choice: PlacementChoice): OwnedWorker | undefined => {
        const worker = choice.worker === undefined ? undefined : entries.get(choice.worker.workerId);
        if (worker === undefined || refusesFor(offer, worker.vm.vmId)) {
            return undefined;
        }
        if (!ledger.reserve(worker.vm.vmId, offer.attemptId, offer.size)) {
            return undefined;
        }
        releaseKept(offer);
        return worker;
    };

    const decide = (homeId: string, offer: TaskOffer): Placement | undefined => {
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
        const worker = takeKept(offer) ?? takeChosen(offer, choice);
        const reason = worker === undefined
            ? makeRoom(offer) ?? "no worker of these racks has room"
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
        refreshOpen(worker);
        const listedGeneration = membership.listing().generation;
        return { attemptId: offer.attemptId, workerId: worker.vm.vmId, rackKey: worker.rackKey, listedGeneration };
    };

    const place = (request: PlaceRequest): readonly Placement[] => {
        if (!mayAct() || !admitHolder(request)) {
            return [];
        }
        return request.offers.flatMap(offer => decide(request.homeId, offer) ?? []);
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
            confirm(attempt);
        }
        if (outcome === "refused") {
            attempts.forget(attempt);
            refreshOpen(worker);
            return "notStarted";
        }
        return attempt.state;
    };

    /** Only the rack's owner can say that an attempt is not there; another may not know where it is. */
    const mayDeny = (rackKey: string): boolean => racks.has(rackKey) && mayAct();

    const startKnown = async ({ attemptId, rackKey }: Placement): Promise<AttemptState> => {
        const attempt = attempts.find(attemptId);
        if (attempt === undefined) {
            return mayDeny(rackKey) ? "absent" : "undecided";
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
        if (!admitHolder(request)) {
            return {};
        }
        const states = await Promise.all(
            request.attempts.map(async placement => [placement.attemptId, await startKnown(placement)] as const),
        );
        return Object.fromEntries(states);
    };

    const release = (request: AttemptsRequest): void => {
        if (!admitHolder(request)) {
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
        [...entries.values()].forEach(refreshOpen);
    };

    const stop = async (request: AttemptsRequest): Promise<void> => {
        const byWorker = new Map<OwnedWorker, string[]>();
        if (!admitHolder(request)) {
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
            attempt.stopWanted = true;
            byWorker.set(attempt.worker, [...(byWorker.get(attempt.worker) ?? []), attemptId]);
        }
        await Promise.all([...byWorker].map(([worker, attemptIds]) => sendStops(worker, attemptIds, false)));
    };

    const stateOf = ({ attemptId, workerId, rackKey, listedGeneration }: Placement): AttemptState => {
        const attempt = attempts.find(attemptId);
        if (attempt !== undefined) {
            return attempt.state;
        }
        const worker = entries.get(workerId);
        if (worker === undefined) {
            return membership.vmGoneSince(workerId, listedGeneration) ? "absent" : "undecided";
        }
        if (worker.acknowledge.has(attemptId)) {
            return "ended";
        }
        const asked = worker.state !== "recovering" && worker.state !== "unreachable";
        return asked && mayDeny(rackKey) ? "absent" : "undecided";
    };

    const isDecided = (rackKey: string): boolean =>
        [...entries.values()].every(worker => worker.rackKey !== rackKey || worker.state !== "recovering");

    const attemptsOfHome = (request: HomeAttemptsRequest): HomeAttemptsResponse => {
        admitHolder(request);
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
            decidedRacks: [...racks].filter(isDecided),
        };
    };

    /** A start order still under way could take effect unseen by the next owner; wait until each is decided or void. */
    const settleStarts = async (leaving: readonly OwnedWorker[]): Promise<void> => {
        const giveUpAtMs = clock.monotonicMs() + options.startValidityMs;
        const underWay = (): boolean =>
            leaving.some(worker => [...worker.attempts].some(attempt => attempt.state === "starting"));
        while (underWay() && clock.monotonicMs() < giveUpAtMs) {
            await sleep(clock, failedPollPauseMs);
        }
    };

    const yieldRack = async (unit: OwnedUnit): Promise<void> => {
        racks.delete(unit.key);
        const leaving = [...entries.values()].filter(worker => worker.rackKey === unit.key);
        leaving.forEach(refreshOpen);
        await settleStarts(leaving);
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
        state: quarantine.trust(worker.vm.vmId) === "trusted" ? worker.state : quarantine.trust(worker.vm.vmId),
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
        return { workers: entries.size, capacity, free, mostFree };
    };

    return {
        keeper: {
            gain: async unit => {
                racks.add(unit.key);
                refresh();
            },
            yield: yieldRack,
        },
        refresh,
        place,
        start,
        release,
        stop,
        states: ({ attempts: wanted }) => Object.fromEntries(wanted.map(each => [each.attemptId, stateOf(each)])),
        attemptsOfHome,
        summary,
        views: () => [...entries.values()].map(viewOf),
        flushReports: outbox.flush,
        close: async () => {
            for (const worker of [...entries.values()]) {
                removeWorker(worker);
            }
        },
    };
};
