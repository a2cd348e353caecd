/**
 * The owner of racks: decides which worker takes a task, starts it there, renews its lease, and reports its end to
 * the task's home. A worker is offered for placing only after it has said what it already runs.
 */

import { placements } from "../plugins/placements.js";
import type { Policy } from "../types/configuration.js";
import type { Decision } from "../types/decision.js";
import type { AttemptOutcome, AttemptReport } from "../types/job.js";
import { unitKey } from "../types/ownership.js";
import type {
    AttemptsRequest,
    AttemptState,
    CapacitySummary,
    Placement,
    PlaceRequest,
    TaskOffer,
    WorkerView,
} from "../types/peer.js";
import type { Clock, Log, Meter, Random, Vm, WorkerPort, WorkerReport } from "../types/ports.js";
import { vmRoles } from "../types/ports.js";
import { add, noResources, type Resources } from "../types/resources.js";
import { failureOf } from "../utils/errors.js";
import { type Loop, sleep, startLoop } from "../utils/time.js";
import { createLedger } from "./ledger.js";
import type { Membership, OwnedUnit } from "./membership.js";
import type { UnitKeeper } from "./ownership.js";

/** States of a worker at its owner. */
export const workerStates = {
    recovering: "recovering",
    live: "live",
    unreachable: "unreachable",
    leaving: "leaving",
} as const;
/** One of `workerStates`. */
export type WorkerState = (typeof workerStates)[keyof typeof workerStates];

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
}

interface Attempt {
    readonly attemptId: string;
    readonly taskId: string;
    readonly homeId: string;
    readonly size: Resources;
    readonly payload: string;
    readonly worker: WorkerEntry;
    state: AttemptState;
    readonly reservedAtMs: number;
    confirmedAtMs: number;
    /** On the worker's clock; after it, an attempt that the worker does not show never started. */
    startBeforeMs: number;
    stopWanted: boolean;
    used: Resources;
    report: AttemptReport | undefined;
    reported: boolean;
}

interface WorkerEntry {
    vm: Vm;
    readonly rackKey: string;
    state: WorkerState;
    failures: number;
    clockMs: number;
    clockReadAtMs: number;
    readonly acknowledge: Set<string>;
    readonly attempts: Set<Attempt>;
    loop: Loop | undefined;
}

const failuresUntilUnreachable = 3;
const reportsPerCall = 512;
const pollPauseMs = 5;
const failedPollPauseMs = 250;

/**
 * Makes a rack owner that owns nothing yet.
 *
 * @example
 * const rackOwner = createRackOwner(options);
 * rackOwner.place({ homeId: "vm-1~1", offers }); // reservations for the offers that fit
 */
export const createRackOwner = (options: RackOwnerOptions): RackOwner => {
    const { clock, random, log, meter, workers, membership } = options;
    const ledger = createLedger();
    const entries = new Map<string, WorkerEntry>();
    const attempts = new Map<string, Attempt>();
    const racks = new Set<string>();
    const unreported = new Set<Attempt>();
    let reporting: Promise<void> | undefined;

    const setWorkerState = (worker: WorkerEntry, state: WorkerState): void => {
        if (worker.state !== state) {
            log.write("info", "workerState", { workerId: worker.vm.vmId, from: worker.state, to: state });
            worker.state = state;
        }
        ledger.setOpen(worker.vm.vmId, state === workerStates.live);
    };

    const forget = (attempt: Attempt): void => {
        ledger.release(attempt.attemptId);
        attempts.delete(attempt.attemptId);
        attempt.worker.attempts.delete(attempt);
        unreported.delete(attempt);
    };

    const track = (
        worker: WorkerEntry,
        offer: Omit<TaskOffer, "policy">,
        homeId: string,
        state: AttemptState,
    ): Attempt => {
        const attempt: Attempt = {
            ...offer,
            homeId,
            worker,
            state,
            reservedAtMs: clock.monotonicMs(),
            confirmedAtMs: clock.monotonicMs(),
            startBeforeMs: Infinity,
            stopWanted: false,
            used: noResources,
            report: undefined,
            reported: false,
        };
        attempts.set(attempt.attemptId, attempt);
        worker.attempts.add(attempt);
        return attempt;
    };

    const endAttempt = (attempt: Attempt, outcome: AttemptOutcome, result: string): void => {
        if (attempt.state === "ended") {
            return;
        }
        attempt.state = "ended";
        ledger.release(attempt.attemptId);
        attempt.report = { attemptId: attempt.attemptId, taskId: attempt.taskId, outcome, result };
        unreported.add(attempt);
        void flushReports();
    };

    const settleReport = (attempt: Attempt): void => {
        attempt.reported = true;
        attempt.worker.acknowledge.add(attempt.attemptId);
        forget(attempt);
    };

    const sendReports = async (homeId: string, batch: readonly Attempt[]): Promise<void> => {
        try {
            const reports = batch.flatMap(attempt => attempt.report === undefined ? [] : [attempt.report]);
            const settled = new Set(await options.report(homeId, reports));
            for (const attempt of batch) {
                if (settled.has(attempt.attemptId)) {
                    settleReport(attempt);
                }
            }
        }
        catch (error) {
            log.write("debug", "reportWaits", { homeId, reports: batch.length, ...failureOf(error) });
        }
    };

    const sendAllReports = async (): Promise<void> => {
        const byHome = new Map<string, Attempt[]>();
        for (const attempt of unreported) {
            const batch = byHome.get(attempt.homeId) ?? [];
            if (batch.length < reportsPerCall) {
                batch.push(attempt);
            }
            byHome.set(attempt.homeId, batch);
        }
        await Promise.all([...byHome].map(([homeId, batch]) => sendReports(homeId, batch)));
    };

    const flushReports = async (): Promise<void> => {
        reporting ??= Promise.resolve().then(sendAllReports).finally(() => {
            reporting = undefined;
        });
        await reporting;
    };

    const adoptRunning = (worker: WorkerEntry, report: WorkerReport): void => {
        for (const running of report.running) {
            const known = attempts.get(running.attemptId);
            if (known !== undefined) {
                known.used = running.used;
                continue;
            }
            const { attemptId, taskId, size, homeId } = running;
            ledger.adopt(worker.vm.vmId, attemptId, size);
            track(worker, { attemptId, taskId, size, payload: "" }, homeId, "running").used = running.used;
        }
    };

    const takeEnded = (worker: WorkerEntry, report: WorkerReport): void => {
        for (const { attemptId, taskId, homeId, outcome, result } of report.ended) {
            if (worker.acknowledge.has(attemptId)) {
                continue;
            }
            const attempt = attempts.get(attemptId)
                ?? track(worker, { attemptId, taskId, size: noResources, payload: "" }, homeId, "running");
            endAttempt(attempt, outcome, result);
        }
    };

    /** Attempts that the worker should show and does not. */
    const endMissing = (worker: WorkerEntry, report: WorkerReport, sentAtMs: number): void => {
        const shown = new Set(report.running.map(running => running.attemptId));
        for (const attempt of [...worker.attempts]) {
            if (shown.has(attempt.attemptId)) {
                if (attempt.state === "starting") {
                    confirm(attempt);
                }
                continue;
            }
            if (attempt.state === "running" && attempt.confirmedAtMs < sentAtMs) {
                endAttempt(attempt, "absent", "");
            }
            if (attempt.state === "starting" && report.nowMs > attempt.startBeforeMs) {
                endAttempt(attempt, "notStarted", "");
            }
        }
    };

    const confirm = (attempt: Attempt): void => {
        attempt.state = "running";
        attempt.confirmedAtMs = clock.monotonicMs();
        if (attempt.stopWanted) {
            void sendStop(attempt.worker, [attempt.attemptId]);
        }
    };

    const poll = async (worker: WorkerEntry): Promise<void> => {
        const sentAtMs = clock.monotonicMs();
        const acknowledged = [...worker.acknowledge];
        const renew = [...worker.attempts].filter(each => each.state === "running" || each.state === "starting");
        const report = await workers.poll(worker.vm.address, {
            renew: renew.map(attempt => attempt.attemptId),
            leaseMs: options.leaseMs,
            acknowledge: acknowledged,
            waitMs: options.pollWaitMs,
        });
        worker.clockMs = report.nowMs;
        worker.clockReadAtMs = clock.monotonicMs();
        worker.failures = 0;
        takeEnded(worker, report);
        for (const attemptId of acknowledged) {
            worker.acknowledge.delete(attemptId);
        }
        adoptRunning(worker, report);
        endMissing(worker, report, sentAtMs);
        setWorkerState(worker, worker.vm.leaving ? "leaving" : "live");
        meter.count("workerPolls");
    };

    const pollSafely = async (worker: WorkerEntry): Promise<void> => {
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
        const worker: WorkerEntry = {
            vm,
            rackKey,
            state: "recovering",
            failures: 0,
            clockMs: 0,
            clockReadAtMs: 0,
            acknowledge: new Set(),
            attempts: new Set(),
            loop: undefined,
        };
        entries.set(vm.vmId, worker);
        ledger.addWorker(vm.vmId, vm.rack ?? "", vm.capacity ?? noResources);
        const run = (): Promise<void> => pollSafely(worker);
        worker.loop = startLoop({ clock, log, name: `poll ${vm.vmId}`, intervalMs: pollPauseMs, run });
    };

    const removeWorker = (worker: WorkerEntry): void => {
        void worker.loop?.stop();
        entries.delete(worker.vm.vmId);
        ledger.removeWorker(worker.vm.vmId);
    };

    const removeGone = (worker: WorkerEntry): void => {
        removeWorker(worker);
        for (const attempt of [...worker.attempts]) {
            endAttempt(attempt, attempt.state === "reserved" ? "notStarted" : "absent", "");
        }
        log.write("warn", "workerGone", { workerId: worker.vm.vmId, attempts: worker.attempts.size });
    };

    const refresh = (): void => {
        for (const vm of membership.listing().vms) {
            const rackKey = vm.role === vmRoles.worker ? unitKey("rack", vm.dataCentre, vm.rack ?? "") : "";
            if (!racks.has(rackKey)) {
                continue;
            }
            const known = entries.get(vm.vmId);
            if (known === undefined) {
                addWorker(vm, rackKey);
            }
            else if (vm.leaving !== known.vm.leaving) {
                known.vm = vm;
                setWorkerState(known, vm.leaving ? "leaving" : known.state);
            }
        }
        for (const worker of [...entries.values()]) {
            if (membership.vmGone(worker.vm.vmId)) {
                removeGone(worker);
            }
        }
        for (const attempt of [...attempts.values()]) {
            if (attempt.state === "reserved" && clock.monotonicMs() - attempt.reservedAtMs > options.reservationMs) {
                forget(attempt);
            }
        }
    };

    const decide = (homeId: string, offer: TaskOffer): Placement | undefined => {
        const startedAtMs = clock.monotonicMs();
        const policy = options.policyOf(offer.policy);
        const choice = placements[policy.placement]({
            ledger,
            size: offer.size,
            random,
            sampleSize: policy.sampleSize,
        });
        const worker = choice.worker === undefined ? undefined : entries.get(choice.worker.workerId);
        const reserved = worker !== undefined && ledger.reserve(worker.vm.vmId, offer.attemptId, offer.size);
        options.onDecision({
            atMs: clock.nowMs(),
            daemonId: options.daemonId(),
            kind: "placement",
            subject: offer.taskId,
            requester: homeId,
            chosen: reserved ? worker.vm.vmId : undefined,
            reason: reserved ? `${policy.placement} among workers with room` : "no worker of these racks has room",
            policy: policy.name,
            alternatives: choice.alternatives,
            durationUs: (clock.monotonicMs() - startedAtMs) * 1_000,
        });
        if (!reserved) {
            return undefined;
        }
        const { attemptId, taskId, size, payload } = offer;
        track(worker, { attemptId, taskId, size, payload }, homeId, "reserved");
        return { attemptId, workerId: worker.vm.vmId, rackKey: worker.rackKey };
    };

    const place = ({ homeId, offers }: PlaceRequest): readonly Placement[] => {
        const made: Placement[] = [];
        for (const offer of offers) {
            const placement = decide(homeId, offer);
            if (placement !== undefined) {
                made.push(placement);
            }
        }
        return made;
    };

    const startOne = async (attempt: Attempt): Promise<AttemptState> => {
        const { worker, attemptId, taskId, homeId, size, payload } = attempt;
        const sinceReadMs = clock.monotonicMs() - worker.clockReadAtMs;
        attempt.state = "starting";
        attempt.startBeforeMs = worker.clockMs + sinceReadMs + options.startValidityMs;
        const { leaseMs } = options;
        const order = { attemptId, taskId, homeId, size, payload, leaseMs, startBeforeMs: attempt.startBeforeMs };
        const outcome = await workers.start(worker.vm.address, order);
        meter.count("taskStarts");
        if (attempt.state !== "starting") {
            return attempt.state;
        }
        if (outcome === "started") {
            confirm(attempt);
        }
        if (outcome === "refused") {
            forget(attempt);
            return "notStarted";
        }
        return attempt.state;
    };

    const start = async ({ attempts: wanted }: AttemptsRequest): Promise<Readonly<Record<string, AttemptState>>> => {
        const states: Record<string, AttemptState> = {};
        await Promise.all(wanted.map(async ({ attemptId }) => {
            const attempt = attempts.get(attemptId);
            if (attempt === undefined) {
                states[attemptId] = "absent";
                return;
            }
            if (attempt.state === "reserved" && !racks.has(attempt.worker.rackKey)) {
                forget(attempt);
                states[attemptId] = "notStarted";
                return;
            }
            states[attemptId] = attempt.state === "reserved" ? await startOne(attempt) : attempt.state;
        }));
        return states;
    };

    const sendStop = async (worker: WorkerEntry, attemptIds: readonly string[]): Promise<void> => {
        await workers.stop(worker.vm.address, attemptIds);
    };

    const stop = async ({ attempts: wanted }: AttemptsRequest): Promise<void> => {
        const byWorker = new Map<WorkerEntry, string[]>();
        for (const { attemptId } of wanted) {
            const attempt = attempts.get(attemptId);
            if (attempt === undefined || attempt.state === "ended") {
                continue;
            }
            if (attempt.state === "reserved") {
                endAttempt(attempt, "notStarted", "");
                continue;
            }
            attempt.stopWanted = true;
            byWorker.set(attempt.worker, [...(byWorker.get(attempt.worker) ?? []), attemptId]);
        }
        await Promise.all([...byWorker].map(([worker, attemptIds]) => sendStop(worker, attemptIds)));
    };

    const stateOf = (attemptId: string, workerId: string): AttemptState => {
        const attempt = attempts.get(attemptId);
        if (attempt !== undefined) {
            return attempt.state;
        }
        const worker = entries.get(workerId);
        if (worker === undefined) {
            return membership.vmGone(workerId) ? "absent" : "undecided";
        }
        if (worker.acknowledge.has(attemptId)) {
            return "ended";
        }
        return worker.state === "recovering" || worker.state === "unreachable" ? "undecided" : "absent";
    };

    const gain = async (unit: OwnedUnit): Promise<void> => {
        racks.add(unit.key);
        refresh();
    };

    /** A start order still under way could take effect unseen by the next owner; wait until each is decided or void. */
    const settleStarts = async (leaving: readonly WorkerEntry[]): Promise<void> => {
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
        for (const worker of leaving) {
            ledger.setOpen(worker.vm.vmId, false);
        }
        await settleStarts(leaving);
        await Promise.all(leaving.map(worker => worker.loop?.stop()));
        for (const worker of leaving) {
            removeWorker(worker);
            for (const attempt of [...worker.attempts]) {
                forget(attempt);
            }
        }
    };

    return {
        keeper: { gain, yield: yieldRack },
        refresh,
        place,
        start,
        release: ({ attempts: wanted }) => {
            for (const { attemptId } of wanted) {
                const attempt = attempts.get(attemptId);
                if (attempt?.state === "reserved") {
                    forget(attempt);
                }
            }
        },
        stop,
        states: ({ attempts: wanted }) =>
            Object.fromEntries(wanted.map(({ attemptId, workerId }) => [attemptId, stateOf(attemptId, workerId)])),
        summary: () => {
            const open = ledger.openWorkers();
            let capacity = noResources;
            let free = noResources;
            let mostFree = noResources;
            for (const worker of open) {
                capacity = add(capacity, worker.capacity);
                free = add(free, worker.free);
                mostFree = worker.free.cpuMillis > mostFree.cpuMillis ? worker.free : mostFree;
            }
            return { workers: open.length, capacity, free, mostFree };
        },
        views: () =>
            [...entries.values()].map(worker => ({
                workerId: worker.vm.vmId,
                dataCentre: worker.vm.dataCentre,
                rack: worker.vm.rack ?? "",
                state: worker.state,
                capacity: worker.vm.capacity ?? noResources,
                reserved: ledger.worker(worker.vm.vmId)?.reserved ?? noResources,
                used: [...worker.attempts].reduce((sum, attempt) => add(sum, attempt.used), noResources),
                attemptIds: [...worker.attempts].map(attempt => attempt.attemptId),
                ownerDaemonId: options.daemonId(),
            })),
        flushReports,
        close: async () => {
            await Promise.all([...entries.values()].map(worker => worker.loop?.stop()));
        },
    };
};
