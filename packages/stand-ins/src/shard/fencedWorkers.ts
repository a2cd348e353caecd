/**
 * Stand-ins for workers with fencing tokens: leases on their own clock, a list of ends that is kept until it is
 * acknowledged, orders that are lost or carried out late, and a new incarnation after a crash, under another ID or the same. They
 * keep the evidence.
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
    type StartRunOrder,
    type StopRunOrder,
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
    /** The task crashes each worker that starts it. */
    readonly crashesWorkers: boolean;
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

/** How a run of a task goes. */
export interface RunModel {
    readonly durationMs: number;
    readonly fails: boolean;
    /** The worker crashes this long after the run has started there; undefined where it does not. */
    readonly crashesAfterMs?: number | undefined;
}

/** How long the tasks of a step run, and whether a run of one fails or crashes its worker. */
export type TaskModel = (taskName: string, run: number) => RunModel;

/** The stand-ins. */
export interface FakeFencedWorkers {
    /** The workers as one daemon reaches them; the gate tells whether a link is open now. */
    connect(isOpen: (workerId: string) => boolean): FencedWorkerPort;
    add(entry: WorkerEntry): void;
    setFault(workerId: string, fault: WorkerFault): void;
    /** The worker's incarnation ends; what answers at its address from now on is another one. */
    crash(workerId: string): void;
    /** The same, but nobody answers at its address until `replace` brings another incarnation there. */
    goDown(workerId: string): void;
    /** The worker that went down is back at its address, as another incarnation under another ID. */
    replace(workerId: string, next: WorkerEntry): void;
    /**
     * The worker starts again under its ID: it holds and knows nothing, its ends are numbered from 1 and its clock begins at 0.
     * What is wrong with its link stays so, and orders that are still under way reach this incarnation. Gives its entry.
     */
    startAgain(workerId: string, capacity: Resources): WorkerEntry | undefined;
    workerIds(): readonly string[];
    /** The worker's capacity is another one from now on; gives its entry. */
    resize(workerId: string, capacity: Resources): WorkerEntry | undefined;
    /** The entry of a worker that lives. */
    entryOf(workerId: string): WorkerEntry | undefined;
    /** What the runs on a worker hold, those that are being stopped with them. */
    heldOn(workerId: string): Resources;
    /** Whether the worker lives and nothing is wrong with it. */
    isSound(workerId: string): boolean;
    readonly evidence: readonly StartEvidence[];
    /** Workers that ever held more than they have. */
    overcommitted(): readonly string[];
}

interface LiveRun {
    readonly evidence: StartEvidence;
    cancel: () => void;
    /** Begins its work, once all members of its gang are there. */
    readonly work: () => () => void;
    readonly held: Resources;
    readonly checkpoint: string;
}

interface FakeWorker {
    entry: WorkerEntry;
    /** What it had before it shrank, and until when a start that counts on it is no fault. */
    readonly former: { readonly capacity: Resources; readonly untilMs: number; }[];
    token: number;
    fault: WorkerFault;
    alive: boolean;
    /** Nobody answers at its address. */
    down: boolean;
    /** Scene time at which its own clock stood at 0. */
    readonly clockZeroMs: number;
    /** On its own clock. */
    deadlineMs: number;
    cancelLapse: () => void;
    readonly running: Map<string, LiveRun>;
    readonly highestRun: Map<string, number>;
    ended: (EndedRun & { readonly evidence: StartEvidence; })[];
    nextEnd: number;
    /** Highest number that was acknowledged; an end with it or a lower one keeps no look from waiting. */
    seenUpTo: number;
    readonly waiters: Set<() => void>;
}

/** The advisor's ticket for a step on a worker; it holds for one incarnation of it. */
export const ticketFor = (stepName: string, entry: WorkerEntry | undefined): string =>
    `${stepName}@${entry?.workerId}@${entry?.bornAtMs}`;

const stepNameOf = (taskName: string): string => taskName.slice(0, taskName.lastIndexOf("."));

const answerMs = 1;
const unansweredMs = 500;
/** How long a start may count on room that a worker has no more: its news take a heartbeat. */
const shrunkCountsMs = 4_500;
const lateMs = 3_000;
const failMs = 100;
/** How long a member of a gang waits for the others. */
const aloneMs = 3_000;
/** As slow as the slower site allows. */
const stopMs = 900;

/**
 * Makes the stand-ins.
 *
 * @example
 * const workers = createFakeFencedWorkers({ clock, model, heldOf, leaseLimitMs, onCrash: entry => {} });
 */
export const createFakeFencedWorkers = ({
    clock,
    model,
    heldOf,
    gangSize = () => 0,
    leaseLimitMs,
    checksTickets = false,
    onCrash,
}: {
    readonly clock: Clock;
    readonly model: TaskModel;
    readonly heldOf: (taskName: string) => Resources;
    /**
     * How many runs of a task's step, with the same number, have to be there before one of them works, and end with each
     * other; 0 where a task has nothing to do with others.
     */
    readonly gangSize?: (taskName: string) => number;
    readonly leaseLimitMs: number;
    /** Whether a start is refused that shows no ticket of the worker's present incarnation. */
    readonly checksTickets?: boolean;
    /** A task has crashed the worker; it is down. */
    readonly onCrash: (entry: WorkerEntry) => void;
}): FakeFencedWorkers => {
    const workers = new Map<string, FakeWorker>();
    const evidence: StartEvidence[] = [];
    const overcommitted = new Set<string>();

    const keyOf = (taskName: string, run: number): string => `${taskName}#${run}`;

    const wakeAll = (worker: FakeWorker): void => {
        for (const wake of [...worker.waiters]) {
            wake();
        }
    };

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
        if (worker.nextEnd - 1 > worker.seenUpTo) {
            wakeAll(worker);
        }
        endGang(start, how === runEnds.done ? runEnds.done : runEnds.broken);
    };

    /** Live runs of a gang, which have the same number; none of a task that is in no gang. */
    const membersOf = (
        { taskName, run }: StartEvidence,
    ): readonly { worker: FakeWorker; key: string; live: LiveRun; }[] =>
        gangSize(taskName) === 0
            ? []
            : [...workers.values()].flatMap(worker =>
                [...worker.running].filter(([, { evidence: other }]) =>
                    other.run === run && stepNameOf(other.taskName) === stepNameOf(taskName)
                ).map(([key, live]) => ({ worker, key, live }))
            );

    /** The members of a gang end done together, and those that are left when one has ended otherwise are broken. */
    const endGang = (ended: StartEvidence, how: RunEnd): void => {
        for (const { worker, key } of membersOf(ended)) {
            endRun(worker, key, how);
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

    const clockOf = ({ clockZeroMs }: FakeWorker): number => clock.monotonicMs() - clockZeroMs;

    const extend = (worker: FakeWorker, deadlineMs: number | undefined): void => {
        if (deadlineMs === undefined) {
            return;
        }
        const nowMs = clockOf(worker);
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

    const endIncarnation = (worker: FakeWorker): void => {
        worker.alive = false;
        worker.cancelLapse();
        const ended = [...worker.running.values()];
        worker.running.clear();
        for (const { evidence: run, cancel } of ended) {
            cancel();
            run.endedAtMs = clock.monotonicMs();
            run.how = "crashed";
        }
        for (const { evidence: run } of ended) {
            endGang(run, runEnds.broken);
        }
    };

    /** Calls that wait for an answer of the worker learn at once that the connection is gone. */
    const goDown = (worker: FakeWorker): void => {
        worker.down = true;
        endIncarnation(worker);
        wakeAll(worker);
    };

    const crashLater = (worker: FakeWorker, delayMs: number): () => void =>
        clock.setTimer(delayMs, () => {
            if (worker.alive) {
                goDown(worker);
                onCrash(worker.entry);
            }
        });

    const mayCountOnFormer = ({ former }: FakeWorker, held: Resources): boolean =>
        former.some(({ capacity, untilMs }) => clock.monotonicMs() <= untilMs && fits(held, capacity));

    const start = (worker: FakeWorker, order: StartRunOrder): OrderOutcome => {
        if (!raise(worker, order.fencingToken)) {
            return orderOutcomes.fenced;
        }
        if (order.deadlineMs <= clockOf(worker)) {
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
        const isForIncarnation = !checksTickets || order.ticket === ""
            || order.ticket === ticketFor(stepNameOf(order.taskName), worker.entry);
        if (!isForIncarnation) {
            return orderOutcomes.badTicket;
        }
        worker.highestRun.set(order.taskName, order.run);
        const { durationMs, fails, crashesAfterMs } = model(order.taskName, order.run);
        const made: StartEvidence = {
            taskName: order.taskName,
            run: order.run,
            workerId: worker.entry.workerId,
            startedAtMs: clock.monotonicMs(),
            endedAtMs: undefined,
            how: undefined,
            notedAtMs: undefined,
            lapsedSince: false,
            crashesWorkers: crashesAfterMs !== undefined,
        };
        evidence.push(made);
        const failing = worker.fault === "failing";
        const endLater = (): () => void =>
            worker.fault === "hanging" ? () => {} : clock.setTimer(
                failing ? failMs : durationMs,
                () => endRun(worker, key, failing || fails ? runEnds.failed : runEnds.done),
            );
        const work = (): () => void => crashesAfterMs === undefined ? endLater() : crashLater(worker, crashesAfterMs);
        const isMember = gangSize(order.taskName) > 0;
        worker.running.set(key, {
            evidence: made,
            cancel: isMember ? clock.setTimer(aloneMs, () => endRun(worker, key, runEnds.alone)) : work(),
            work,
            held: heldOf(order.taskName),
            checkpoint: order.checkpoint,
        });
        const members = membersOf(made);
        if (isMember && members.length === gangSize(order.taskName)) {
            for (const { live } of members) {
                live.cancel();
                live.cancel = live.work();
            }
        }
        const held = [...worker.running.values()].reduce((sum, run) => add(sum, run.held), noResources);
        if (!fits(held, worker.entry.capacity) && !mayCountOnFormer(worker, held)) {
            overcommitted.add(worker.entry.workerId);
        }
        return orderOutcomes.done;
    };

    const stop = (worker: FakeWorker, { taskName, run, fencingToken }: StopRunOrder): OrderOutcome => {
        if (!raise(worker, fencingToken)) {
            return orderOutcomes.fenced;
        }
        worker.highestRun.set(taskName, Math.max(run, worker.highestRun.get(taskName) ?? 0));
        clock.setTimer(stopMs, () => endRun(worker, keyOf(taskName, run), runEnds.stopped));
        return orderOutcomes.done;
    };

    const acknowledge = (worker: FakeWorker, upTo: number): void => {
        if (upTo <= worker.seenUpTo) {
            return;
        }
        worker.seenUpTo = upTo;
        for (const end of worker.ended) {
            if (end.endNumber <= upTo) {
                end.evidence.notedAtMs = clock.monotonicMs();
            }
        }
        worker.ended = worker.ended.filter(end => end.endNumber > upTo);
    };

    const show = (worker: FakeWorker): LookResult => ({
        outcome: orderOutcomes.done,
        clockMs: clockOf(worker),
        ...(worker.entry.bornAtMs === undefined ? {} : { bornAtMs: worker.entry.bornAtMs }),
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
        worker.nextEnd - 1 > worker.seenUpTo || waitMs === 0 ? Promise.resolve() : new Promise(resolve => {
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
        ): Promise<FakeWorker | "otherIncarnation" | "down" | undefined> => {
            await wait(answerMs);
            const worker = workers.get(target.workerId);
            if (worker === undefined || !isOpen(target.workerId) || worker.fault === "cut") {
                await wait(timeoutMs);
                return undefined;
            }
            if (worker.down) {
                return "down";
            }
            return worker.alive ? worker : "otherIncarnation";
        };
        const order = async (
            target: WorkerTarget,
            timeoutMs: number,
            carryOut: (worker: FakeWorker) => OrderOutcome,
        ): Promise<OrderOutcome> => {
            const worker = await reach(target, timeoutMs);
            if (worker === undefined || worker === "down") {
                return orderOutcomes.unknown;
            }
            if (worker === "otherIncarnation") {
                return orderOutcomes.otherIncarnation;
            }
            if (worker.fault === "deaf") {
                await wait(timeoutMs);
                return orderOutcomes.unknown;
            }
            if (worker.fault === "late") {
                clock.setTimer(lateMs, () => {
                    // It names the ID alone, so that the incarnation that answers to it by then carries it out.
                    const present = workers.get(target.workerId);
                    if (present?.alive === true) {
                        carryOut(present);
                    }
                });
                await wait(timeoutMs);
                return orderOutcomes.unknown;
            }
            return carryOut(worker);
        };
        const look = async (
            target: WorkerTarget,
            { fencingToken, acknowledgedEnd, deadlineMs, waitMs, answerTimeoutMs }: LookOrder,
        ): Promise<LookResult> => {
            const lostMs = Math.min(unansweredMs, waitMs + answerTimeoutMs);
            const worker = await reach(target, lostMs);
            if (worker === undefined || worker === "down") {
                return { outcome: orderOutcomes.unknown, connectionLost: worker === "down" };
            }
            if (worker === "otherIncarnation") {
                return { outcome: orderOutcomes.otherIncarnation };
            }
            if (!raise(worker, fencingToken)) {
                return { outcome: orderOutcomes.fenced };
            }
            extend(worker, deadlineMs);
            acknowledge(worker, acknowledgedEnd);
            await waitForEnd(worker, waitMs);
            if (!isOpen(target.workerId) || (worker.fault as WorkerFault) === "cut") {
                await wait(lostMs);
                return { outcome: orderOutcomes.unknown };
            }
            if (worker.down) {
                return { outcome: orderOutcomes.unknown, connectionLost: true };
            }
            return worker.alive ? show(worker) : { outcome: orderOutcomes.otherIncarnation };
        };
        return {
            start: (target, sent, timeoutMs) => order(target, timeoutMs, worker => start(worker, sent)),
            stop: (target, sent, timeoutMs) => order(target, timeoutMs, worker => stop(worker, sent)),
            look,
            pace: target => order(target, unansweredMs, () => orderOutcomes.done),
        };
    };

    const addWorker = (entry: WorkerEntry, fault: WorkerFault = "none", clockZeroMs = 0): void => {
        workers.set(entry.workerId, {
            entry,
            former: [],
            token: 0,
            fault,
            alive: true,
            down: false,
            clockZeroMs,
            deadlineMs: 0,
            cancelLapse: () => {},
            running: new Map(),
            highestRun: new Map(),
            ended: [],
            nextEnd: 1,
            seenUpTo: 0,
            waiters: new Set(),
        });
    };

    return {
        connect,
        add: entry => addWorker(entry),
        setFault: (workerId, fault) => {
            const worker = workers.get(workerId);
            if (worker !== undefined) {
                worker.fault = fault;
            }
        },
        crash: workerId => {
            const worker = workers.get(workerId);
            if (worker !== undefined) {
                endIncarnation(worker);
            }
        },
        goDown: workerId => {
            const worker = workers.get(workerId);
            if (worker !== undefined) {
                goDown(worker);
            }
        },
        replace: (workerId, next) => {
            const worker = workers.get(workerId);
            if (worker !== undefined) {
                worker.down = false;
            }
            addWorker(next);
        },
        startAgain: (workerId, capacity) => {
            const worker = workers.get(workerId);
            if (worker === undefined || worker.alive) {
                return undefined;
            }
            const entry = { ...worker.entry, capacity, bornAtMs: Math.floor(clock.nowMs()) };
            addWorker(entry, worker.fault, clock.monotonicMs());
            return entry;
        },
        workerIds: () => [...workers.keys()],
        resize: (workerId, capacity) => {
            const worker = workers.get(workerId);
            if (worker?.alive !== true) {
                return undefined;
            }
            worker.former.push({ capacity: worker.entry.capacity, untilMs: clock.monotonicMs() + shrunkCountsMs });
            worker.entry = { ...worker.entry, capacity };
            return worker.entry;
        },
        entryOf: workerId => {
            const worker = workers.get(workerId);
            return worker?.alive === true ? worker.entry : undefined;
        },
        heldOn: workerId =>
            [...workers.get(workerId)?.running.values() ?? []].reduce((sum, run) => add(sum, run.held), noResources),
        isSound: workerId => workers.get(workerId)?.alive === true && workers.get(workerId)?.fault === "none",
        evidence,
        overcommitted: () => [...overcommitted],
    };
};

/** A task that crashes its workers may be given up after two, and is started so often at most once three have crashed. */
const crashesToCount = 3;
const startsAfterCrashes = 2;

/** Whether a task that crashes its workers was started too often after the third crash. */
const startedTooOften = (starts: readonly StartEvidence[]): boolean => {
    const crashes = starts.filter(start => start.crashesWorkers && start.how === "crashed")
        .map(start => start.endedAtMs ?? Infinity)
        .sort((left, right) => left - right);
    const third = crashes[crashesToCount - 1];
    return third !== undefined && starts.filter(start => start.startedAtMs > third).length > startsAfterCrashes;
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
        if (startedTooOften(starts)) {
            breaches.push(`${taskName} was started on and on, though it had crashed ${crashesToCount} workers`);
        }
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
