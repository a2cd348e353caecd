/**
 * Stand-ins for workers with fencing tokens: leases on their own clock, a list of ends that is kept until it is
 * acknowledged, orders that are lost or carried out late, and a new life after a crash. They keep the evidence.
 */

import {
    add,
    type Clock,
    type EndedRun,
    type FencedWorkerPort,
    fits,
    type LookOrder,
    type LookResult,
    noResources,
    type OrderOutcome,
    orderOutcomes,
    type Resources,
    type RunEnd,
    runEnds,
    type RunOrder,
    type RunStop,
    type WorkerEntry,
    type WorkerTarget,
} from "puffinarch";

/** A start that a worker carried out, for the evidence. */
export interface StartEvidence {
    readonly taskName: string;
    readonly run: number;
    readonly workerId: string;
    readonly startedAtMs: number;
    endedAtMs: number | undefined;
    how: RunEnd | "crashed" | undefined;
    /** When the end was acknowledged. */
    notedAtMs: number | undefined;
    /** The lease of its worker lapsed between its end and the acknowledgement. */
    lapsedSince: boolean;
}

/**
 * What can be wrong with a worker. `late`: orders get no answer and are carried out three seconds after. `deaf`: orders get
 * lost, and looks do not.
 */
export const workerFaults = ["none", "cut", "late", "failing", "hanging", "deaf"] as const;
/** One of `workerFaults`. */
export type WorkerFault = (typeof workerFaults)[number];

/** How long the tasks of a step run, and whether a run of one fails. */
export type TaskModel = (taskName: string, run: number) => { readonly durationMs: number; readonly fails: boolean; };

/** The stand-ins. */
export interface FakeFencedWorkers {
    /** The workers as one daemon reaches them; the gate tells whether a link is open now. */
    connect(isOpen: (workerId: string) => boolean): FencedWorkerPort;
    add(entry: WorkerEntry): void;
    setFault(workerId: string, fault: WorkerFault): void;
    /** The worker's life ends; what answers at its address from now on is another one. */
    crash(workerId: string): void;
    workerIds(): readonly string[];
    /** Whether the worker lives and nothing is wrong with it. */
    isSound(workerId: string): boolean;
    readonly evidence: readonly StartEvidence[];
    /** Workers that ever held more than they have. */
    overcommitted(): readonly string[];
}

interface LiveRun {
    readonly evidence: StartEvidence;
    readonly cancel: () => void;
    readonly held: Resources;
    readonly checkpoint: string;
}

interface FakeWorker {
    readonly entry: WorkerEntry;
    token: number;
    fault: WorkerFault;
    alive: boolean;
    deadlineMs: number;
    cancelLapse: () => void;
    readonly running: Map<string, LiveRun>;
    readonly highestRun: Map<string, number>;
    ended: (EndedRun & { readonly evidence: StartEvidence; })[];
    nextEnd: number;
    readonly waiters: Set<() => void>;
}

const answerMs = 1;
const unansweredMs = 500;
const lateMs = 3_000;
const failMs = 100;
/** As slow as the slower site allows. */
const stopMs = 900;

/**
 * Makes the stand-ins.
 *
 * @example
 * const workers = createFakeFencedWorkers({ clock, model, heldOf, leaseLimitMs });
 */
export const createFakeFencedWorkers = ({ clock, model, heldOf, leaseLimitMs }: {
    readonly clock: Clock;
    readonly model: TaskModel;
    readonly heldOf: (taskName: string) => Resources;
    readonly leaseLimitMs: number;
}): FakeFencedWorkers => {
    const workers = new Map<string, FakeWorker>();
    const evidence: StartEvidence[] = [];
    const overcommitted = new Set<string>();

    const keyOf = (taskName: string, run: number): string => `${taskName}#${run}`;

    const endRun = (worker: FakeWorker, key: string, how: RunEnd): void => {
        const live = worker.running.get(key);
        if (live === undefined) {
            return;
        }
        live.cancel();
        worker.running.delete(key);
        const { evidence: start } = live;
        start.endedAtMs = clock.monotonicMs();
        start.how = how;
        worker.ended.push({
            endNumber: worker.nextEnd,
            taskName: start.taskName,
            run: start.run,
            how,
            checkpoint: how === runEnds.stopped ? `saved-${start.run}` : "",
            evidence: start,
        });
        worker.nextEnd += 1;
        for (const wake of [...worker.waiters]) {
            wake();
        }
    };

    const lapse = (worker: FakeWorker): void => {
        for (const end of worker.ended) {
            end.evidence.lapsedSince = true;
        }
        for (const key of [...worker.running.keys()]) {
            endRun(worker, key, runEnds.lapsed);
        }
    };

    const extend = (worker: FakeWorker, deadlineMs: number | undefined): void => {
        if (deadlineMs === undefined) {
            return;
        }
        const nowMs = clock.monotonicMs();
        worker.deadlineMs = Math.max(worker.deadlineMs, Math.min(deadlineMs, nowMs + leaseLimitMs));
        worker.cancelLapse();
        worker.cancelLapse = clock.setTimer(Math.max(0, worker.deadlineMs - nowMs), () => lapse(worker));
    };

    const raise = (worker: FakeWorker, token: number): boolean => {
        if (token < worker.token) {
            return false;
        }
        worker.token = token;
        return true;
    };

    const start = (worker: FakeWorker, order: RunOrder): OrderOutcome => {
        if (!raise(worker, order.fencingToken)) {
            return orderOutcomes.fenced;
        }
        if (order.deadlineMs <= clock.monotonicMs()) {
            return orderOutcomes.late;
        }
        extend(worker, order.deadlineMs);
        const key = keyOf(order.taskName, order.run);
        if (worker.running.has(key)) {
            return orderOutcomes.done;
        }
        if (order.run <= (worker.highestRun.get(order.taskName) ?? 0)) {
            return orderOutcomes.stale;
        }
        worker.highestRun.set(order.taskName, order.run);
        const made: StartEvidence = {
            taskName: order.taskName,
            run: order.run,
            workerId: worker.entry.workerId,
            startedAtMs: clock.monotonicMs(),
            endedAtMs: undefined,
            how: undefined,
            notedAtMs: undefined,
            lapsedSince: false,
        };
        evidence.push(made);
        const { durationMs, fails } = model(order.taskName, order.run);
        const failing = worker.fault === "failing";
        const cancel = worker.fault === "hanging" ? () => {} : clock.setTimer(
            failing ? failMs : durationMs,
            () => endRun(worker, key, failing || fails ? runEnds.failed : runEnds.done),
        );
        worker.running.set(key, {
            evidence: made,
            cancel,
            held: heldOf(order.taskName),
            checkpoint: order.checkpoint,
        });
        const held = [...worker.running.values()].reduce((sum, run) => add(sum, run.held), noResources);
        if (!fits(held, worker.entry.capacity)) {
            overcommitted.add(worker.entry.workerId);
        }
        return orderOutcomes.done;
    };

    const stop = (worker: FakeWorker, { taskName, run, fencingToken }: RunStop): OrderOutcome => {
        if (!raise(worker, fencingToken)) {
            return orderOutcomes.fenced;
        }
        worker.highestRun.set(taskName, Math.max(run, worker.highestRun.get(taskName) ?? 0));
        clock.setTimer(stopMs, () => endRun(worker, keyOf(taskName, run), runEnds.stopped));
        return orderOutcomes.done;
    };

    const acknowledge = (worker: FakeWorker, upTo: number): void => {
        for (const end of worker.ended) {
            if (end.endNumber <= upTo) {
                end.evidence.notedAtMs = clock.monotonicMs();
            }
        }
        worker.ended = worker.ended.filter(end => end.endNumber > upTo);
    };

    const show = (worker: FakeWorker): LookResult => ({
        outcome: orderOutcomes.done,
        clockMs: clock.monotonicMs(),
        running: [...worker.running.values()].map(({ evidence: run, checkpoint, held }) => ({
            taskName: run.taskName,
            run: run.run,
            checkpoint,
            percent: 100,
            figure: worker.fault === "hanging" ? 0 : held.cpuMillis,
        })),
        ended: worker.ended.map(({ endNumber, taskName, run, how, checkpoint }) => ({
            endNumber,
            taskName,
            run,
            how,
            checkpoint,
        })),
    });

    const wait = (delayMs: number): Promise<void> =>
        new Promise(resolve => {
            clock.setTimer(delayMs, resolve);
        });

    const waitForEnd = (worker: FakeWorker, waitMs: number): Promise<void> =>
        worker.ended.length > 0 || waitMs === 0 ? Promise.resolve() : new Promise(resolve => {
            const wake = (): void => {
                cancel();
                worker.waiters.delete(wake);
                resolve();
            };
            const cancel = clock.setTimer(waitMs, wake);
            worker.waiters.add(wake);
        });

    const connect = (isOpen: (workerId: string) => boolean): FencedWorkerPort => {
        const reach = async (
            target: WorkerTarget,
            timeoutMs = unansweredMs,
        ): Promise<FakeWorker | "otherLife" | undefined> => {
            await wait(answerMs);
            const worker = workers.get(target.workerId);
            if (worker === undefined || !isOpen(target.workerId) || worker.fault === "cut") {
                await wait(timeoutMs);
                return undefined;
            }
            return worker.alive ? worker : "otherLife";
        };
        const order = async (
            target: WorkerTarget,
            timeoutMs: number,
            carryOut: (worker: FakeWorker) => OrderOutcome,
        ): Promise<OrderOutcome> => {
            const worker = await reach(target, timeoutMs);
            if (worker === undefined) {
                return orderOutcomes.unknown;
            }
            if (worker === "otherLife") {
                return orderOutcomes.otherLife;
            }
            if (worker.fault === "deaf") {
                await wait(timeoutMs);
                return orderOutcomes.unknown;
            }
            if (worker.fault === "late") {
                clock.setTimer(lateMs, () => {
                    if (worker.alive) {
                        carryOut(worker);
                    }
                });
                await wait(timeoutMs);
                return orderOutcomes.unknown;
            }
            return carryOut(worker);
        };
        const look = async (
            target: WorkerTarget,
            { fencingToken, acknowledgedEnd, deadlineMs, waitMs }: LookOrder,
        ): Promise<LookResult> => {
            const worker = await reach(target);
            if (worker === undefined) {
                return { outcome: orderOutcomes.unknown };
            }
            if (worker === "otherLife") {
                return { outcome: orderOutcomes.otherLife };
            }
            if (!raise(worker, fencingToken)) {
                return { outcome: orderOutcomes.fenced };
            }
            extend(worker, deadlineMs);
            acknowledge(worker, acknowledgedEnd);
            await waitForEnd(worker, waitMs);
            if (!isOpen(target.workerId) || (worker.fault as WorkerFault) === "cut") {
                await wait(unansweredMs);
                return { outcome: orderOutcomes.unknown };
            }
            return worker.alive ? show(worker) : { outcome: orderOutcomes.otherLife };
        };
        return {
            start: (target, sent, timeoutMs) => order(target, timeoutMs, worker => start(worker, sent)),
            stop: (target, sent, timeoutMs) => order(target, timeoutMs, worker => stop(worker, sent)),
            look,
            pace: target => order(target, unansweredMs, () => orderOutcomes.done),
        };
    };

    return {
        connect,
        add: entry => {
            workers.set(entry.workerId, {
                entry,
                token: 0,
                fault: "none",
                alive: true,
                deadlineMs: 0,
                cancelLapse: () => {},
                running: new Map(),
                highestRun: new Map(),
                ended: [],
                nextEnd: 1,
                waiters: new Set(),
            });
        },
        setFault: (workerId, fault) => {
            const worker = workers.get(workerId);
            if (worker !== undefined) {
                worker.fault = fault;
            }
        },
        crash: workerId => {
            const worker = workers.get(workerId);
            if (worker === undefined) {
                return;
            }
            worker.alive = false;
            worker.cancelLapse();
            for (const { evidence: run, cancel } of worker.running.values()) {
                cancel();
                run.endedAtMs = clock.monotonicMs();
                run.how = "crashed";
            }
            worker.running.clear();
        },
        workerIds: () => [...workers.keys()],
        isSound: workerId => workers.get(workerId)?.alive === true && workers.get(workerId)?.fault === "none",
        evidence,
        overcommitted: () => [...overcommitted],
    };
};

/** What the evidence says against the scheduler; empty where every promise was kept. */
export const breachesOf = (
    evidence: readonly StartEvidence[],
    mayRepeat: (taskName: string) => boolean,
): readonly string[] => {
    const breaches: string[] = [];
    const byTask = new Map<string, StartEvidence[]>();
    for (const start of evidence) {
        byTask.set(start.taskName, [...byTask.get(start.taskName) ?? [], start]);
    }
    for (const [taskName, starts] of byTask) {
        if (mayRepeat(taskName)) {
            continue;
        }
        for (const [index, start] of starts.entries()) {
            for (const later of starts.slice(index + 1)) {
                if (start.endedAtMs === undefined || later.startedAtMs < start.endedAtMs) {
                    breaches.push(`${taskName} ran twice at once: ${start.workerId} and ${later.workerId}`);
                }
                if (start.how === runEnds.done && start.notedAtMs !== undefined && !start.lapsedSince) {
                    breaches.push(`${taskName} was started again after its end was acknowledged`);
                }
            }
        }
    }
    return breaches;
};
