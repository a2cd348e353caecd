/**
 * In-memory fakes of workers with fencing tokens. They keep leases on their own clocks and list ended runs until these are
 * acknowledged. Orders can be lost or carried out late, and a crashed worker can be followed by a new incarnation under another
 * ID or the same one. Every run is recorded for checks.
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
import { createSavedCheckpoints, type SavedCheckpoint, type Saving } from "./savedCheckpoints.js";

/** Record of a run that a worker started. */
export interface StartEvidence {
    readonly taskName: string;
    readonly run: number;
    readonly workerId: string;
    /** When the order to start it was sent. */
    readonly orderedAtMs: number;
    readonly startedAtMs: number;
    /** The checkpoint that its start carried; empty for none. */
    readonly checkpoint: string;
    /** Undefined while it runs. */
    endedAtMs: number | undefined;
    /** How the run ended; undefined while it runs. */
    how: RunEnd | "crashed" | undefined;
    /** Whether the task crashes each worker that starts it. */
    readonly crashesWorkers: boolean;
    /** When the owner acknowledged the end; undefined before. */
    acknowledgedAtMs: number | undefined;
    /** Whether the worker's lease expired between the end of the run and its acknowledgement. */
    lapsedBeforeAcknowledged: boolean;
}

/**
 * Faults of a worker. `cut`: no call reaches it. `late`: orders get no answer and are carried out after 3 s. `failing`: every run
 * fails. `hanging`: runs make no progress and do not end. `deaf`: orders are lost, while looks are answered. `unconnected`: orders find no
 * free connection and are not sent, while looks are answered.
 */
export const workerFaults = ["none", "cut", "late", "failing", "hanging", "deaf", "unconnected"] as const;
/** One of `workerFaults`. */
export type WorkerFault = (typeof workerFaults)[number];

/** Simulated course of a run. */
export interface RunModel {
    readonly durationMs: number;
    readonly fails: boolean;
    /** From the start of the run until it crashes its worker; undefined where it does not. */
    readonly crashesAfterMs?: number | undefined;
}

/** Returns the simulated course of a run of a task. */
export type TaskModel = (taskName: string, run: number) => RunModel;

/** How looks are lost and carried out late. */
export interface LateLooks {
    /** Whether a look that would reach this worker is lost. */
    readonly isLost: (workerId: string) => boolean;
    readonly lateMs: () => number;
}

/** How long a call takes to its worker, and its answer back; each is drawn anew, so that calls overtake each other. */
export interface Transit {
    readonly toMs: () => number;
    readonly backMs: () => number;
}

/**
 * How a call left the process of its daemon: `sent` within its time limit, `expired` right before the limit ended the call, or `unsent`,
 * as the limit came first.
 */
export type Departure = "sent" | "expired" | "unsent";

/** The fake workers with their call ports, records and fault injection. */
export interface FakeFencedWorkers {
    /**
     * Creates the call port of one daemon; `isOpen` returns whether its link to a worker is up, `depart` how a call leaves the daemon's
     * process, which takes as long as the process is stopped; each is sent at once where it is left out.
     */
    connect(
        isOpen: (workerId: string) => boolean,
        depart?: (timeoutMs: number) => Promise<Departure>,
    ): FencedWorkerPort;
    add(entry: WorkerEntry): void;
    setFault(workerId: string, fault: WorkerFault): void;
    /**
     * From now on, a share of the looks that reach their worker is lost, and each look without an answer is carried out late, by
     * whichever incarnation has the worker's ID by then. `lateMs` draws after how long. Undefined ends the fault.
     */
    setLateLooks(lateLooks: LateLooks | undefined): void;
    /** Lets calls and answers take time from now on; undefined ends that. */
    setTransit(transit: Transit | undefined): void;
    /** Whether looks are carried out late. */
    hasLateLooks(): boolean;
    /** Sets how fast the runs that start on a worker from now on are; 1 is the usual speed. */
    setSpeed(workerId: string, speed: number): void;
    /** Ends the worker's incarnation; calls to it are answered with `otherIncarnation` from now on. */
    crash(workerId: string): void;
    /** Ends the worker's incarnation; nothing answers at its address until `replace` or `restart`. */
    goDown(workerId: string): void;
    /** Starts another incarnation under another ID at the address of a worker that went down. */
    replace(workerId: string, next: WorkerEntry): void;
    /**
     * Starts a crashed worker under its ID with no state: it has no runs, numbers its ends from 1 and its clock starts at 0. The
     * fault that was set on the worker stays, and late orders reach the new incarnation. Returns its entry; undefined for an
     * unknown worker or one that is up.
     */
    restart(workerId: string, capacity: Resources): WorkerEntry | undefined;
    workerIds(): readonly string[];
    /** Changes the worker's capacity and returns its new entry; undefined where it is not up. */
    resize(workerId: string, capacity: Resources): WorkerEntry | undefined;
    /** The entry of a worker that is up; undefined for others. */
    entryOf(workerId: string): WorkerEntry | undefined;
    /** The data centre of a worker, up or not; undefined for an unknown one. */
    dataCentreOf(workerId: string): string | undefined;
    /** Resources held by the runs on a worker, including those that are being stopped. */
    heldOn(workerId: string): Resources;
    /** Whether the worker is up and no fault is set on it. */
    isFaultFree(workerId: string): boolean;
    /** Every run that was started, in that order. */
    readonly evidence: readonly StartEvidence[];
    /** Checkpoints that runs have saved, by value; undefined where tasks do not save while they run. */
    readonly savedCheckpoints: ReadonlyMap<string, SavedCheckpoint> | undefined;
    /** Workers whose runs held more than their capacity at any time. */
    overcommitted(): readonly string[];
}

interface LiveRun {
    readonly evidence: StartEvidence;
    /** Cancels the timer that would end the run. */
    cancel: () => void;
    /** Sets the timer that ends the run and returns its cancel function; a gang member's once all members have started. */
    readonly beginWork: () => () => void;
    readonly held: Resources;
    /** Whether it works; a gang member does once all members have started. */
    isAtWork: boolean;
    /** Whether its worker was told to stop it. */
    isStopping: boolean;
    /** The newest checkpoint: the one that the start carried, or one that the run has saved. */
    checkpoint: string;
}

interface FakeWorker {
    entry: WorkerEntry;
    /** Earlier capacities, each with the time until which starts that fit it do not count as overcommitment. */
    readonly formerCapacities: { readonly capacity: Resources; readonly untilMs: number; }[];
    token: number;
    fault: WorkerFault;
    /** Runs take their usual time divided by this. */
    speed: number;
    /** Whether this incarnation has not ended. */
    alive: boolean;
    /** Whether nothing answers at its address. */
    down: boolean;
    /** Time of the simulation at which the worker's own clock was 0. */
    readonly clockStartMs: number;
    /** End of the lease of its runs, on its own clock. */
    deadlineMs: number;
    cancelExpiry: () => void;
    readonly running: Map<string, LiveRun>;
    readonly highestRun: Map<string, number>;
    ended: (EndedRun & { readonly evidence: StartEvidence; })[];
    nextEndNumber: number;
    /** Highest acknowledged end number; looks wait only while no end has a higher one. */
    acknowledgedUpTo: number;
    /** Callbacks of waiting looks. */
    readonly waiters: Set<() => void>;
}

/** The advisor's ticket for a step on a worker; it is valid for one incarnation of the worker, and until a time where one is given. */
export const ticketFor = (stepName: string, entry: WorkerEntry | undefined, validUntilMs = Infinity): string =>
    `${stepName}@${entry?.workerId}@${entry?.bornAtMs}@${validUntilMs}`;

/** Time until which a ticket is valid; `Infinity` for an empty one. */
const validUntilOf = (ticket: string): number => ticket === "" ? Infinity : Number(ticket.split("@").at(-1));

const stepNameOf = (taskName: string): string => taskName.slice(0, taskName.lastIndexOf("."));

const answerMs = 1;
const unansweredMs = 500;
/** How long starts may still rely on the capacity that a worker had before it shrank, as the owner learns of it by heartbeat. */
const shrinkNoticeMs = 4_500;
/** After how long a worker with the fault `late` carries out an order. */
export const lateOrderDelayMs = 3_000;
const failingRunMs = 100;
/** Most ends that an answer to a look lists. */
const maxListedEnds = 500;
/** How long a gang member waits for the other members before its run ends as `alone`. */
const gangWaitMs = 3_000;
/** The longest time for a stop at the slower of the users' sites. */
export const stopDurationMs = 900;

/**
 * Creates the fake workers; `add` adds each one.
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
    saving,
    startAnswerMs = () => 0,
    startTakesMs = () => 0,
    checksStartsOnce = false,
    hidesStopping = false,
    clockRate = 1,
    onCrash,
    onAlone = () => {},
}: {
    readonly clock: Clock;
    readonly model: TaskModel;
    /** Resources that a task holds while it runs. */
    readonly heldOf: (taskName: string) => Resources;
    /**
     * Size of a task's gang; 0 for a task in no gang. The runs of a gang's tasks that have the same number begin their work once
     * all are started, and end together.
     */
    readonly gangSize?: (taskName: string) => number;
    /** The longest lease that a worker grants. */
    readonly leaseLimitMs: number;
    /** Whether a start is refused whose ticket is for another incarnation of the worker. */
    readonly checksTickets?: boolean;
    /** Lets tasks save checkpoints while they run; where this is left out, each task saves one when it is stopped. */
    readonly saving?: Saving | undefined;
    /** How long the answer to a start takes after the start was carried out. */
    readonly startAnswerMs?: () => number;
    /** How long a worker takes to carry out a start whose token it has checked; looks at it are answered meanwhile. */
    readonly startTakesMs?: () => number;
    /** Whether a start is checked as a whole as its order comes, so that a stop that comes before the run begins has no effect on it. */
    readonly checksStartsOnce?: boolean;
    /** Whether a run that is being stopped is listed neither as running nor as ended until its end. */
    readonly hidesStopping?: boolean;
    /** Rate of the workers' own clocks, on which their leases are measured. */
    readonly clockRate?: number;
    /** Called when a task has crashed its worker, which is down then. */
    readonly onCrash: (entry: WorkerEntry) => void;
    /** Called when a run has ended because the other members of its gang did not start in time. */
    readonly onAlone?: (run: StartEvidence) => void;
}): FakeFencedWorkers => {
    const workers = new Map<string, FakeWorker>();
    const evidence: StartEvidence[] = [];
    const overcommitted = new Set<string>();
    let lateLooks: LateLooks | undefined;
    let transit: Transit | undefined;
    const saved = saving === undefined ? undefined : createSavedCheckpoints(clock, saving);

    const keyOf = (taskName: string, run: number): string => `${taskName}#${run}`;

    const wakeAll = (worker: FakeWorker): void => {
        for (const wake of [...worker.waiters]) {
            wake();
        }
    };

    const checkpointAtEnd = ({ evidence: start, checkpoint }: LiveRun, how: RunEnd): string => {
        if (saved === undefined) {
            return how === runEnds.stopped ? `saved-${start.run}` : "";
        }
        return how === runEnds.stopped ? saved.save(start) : checkpoint;
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
            endNumber: worker.nextEndNumber,
            taskName: start.taskName,
            run: start.run,
            how,
            checkpoint: checkpointAtEnd(live, how),
            evidence: start,
        });
        worker.nextEndNumber += 1;
        if (how === runEnds.alone) {
            onAlone(start);
        }
        if (worker.nextEndNumber - 1 > worker.acknowledgedUpTo) {
            wakeAll(worker);
        }
        endGang(start, how === runEnds.done ? runEnds.done : runEnds.broken);
    };

    /** Live runs of the gang to which a run belongs, which all have its run number; none for a task in no gang. */
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

    /** Ends the remaining members of a gang when one has ended: as `done` with one that is done, otherwise as `broken`. */
    const endGang = (ended: StartEvidence, how: RunEnd): void => {
        for (const { worker, key } of membersOf(ended)) {
            endRun(worker, key, how);
        }
    };

    const expireLease = (worker: FakeWorker): void => {
        for (const end of worker.ended) {
            end.evidence.lapsedBeforeAcknowledged = true;
        }
        for (const key of [...worker.running.keys()]) {
            endRun(worker, key, runEnds.lapsed);
        }
    };

    const workerTimeMs = ({ clockStartMs }: FakeWorker): number => clockRate * (clock.monotonicMs() - clockStartMs);

    const renewLease = (worker: FakeWorker, deadlineMs: number | undefined): void => {
        if (deadlineMs === undefined) {
            return;
        }
        const nowMs = workerTimeMs(worker);
        worker.deadlineMs = Math.max(worker.deadlineMs, Math.min(deadlineMs, nowMs + leaseLimitMs));
        worker.cancelExpiry();
        worker.cancelExpiry = clock.setTimer(
            Math.max(0, worker.deadlineMs - nowMs) / clockRate,
            () => expireLease(worker),
        );
    };

    const acceptToken = (worker: FakeWorker, token: number): boolean => {
        if (token < worker.token) {
            return false;
        }
        worker.token = token;
        return true;
    };

    const endIncarnation = (worker: FakeWorker): void => {
        worker.alive = false;
        worker.cancelExpiry();
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

    /** Ends the incarnation and wakes waiting looks, which return at once that the connection is lost. */
    const goDown = (worker: FakeWorker): void => {
        worker.down = true;
        endIncarnation(worker);
        wakeAll(worker);
    };

    const scheduleCrash = (worker: FakeWorker, delayMs: number): () => void =>
        clock.setTimer(delayMs, () => {
            if (worker.alive) {
                goDown(worker);
                onCrash(worker.entry);
            }
        });

    const fitsFormerCapacity = ({ formerCapacities }: FakeWorker, held: Resources): boolean =>
        formerCapacities.some(({ capacity, untilMs }) => clock.monotonicMs() <= untilMs && fits(held, capacity));

    /** Checks a start whose token is not too low; returns the answer to one that begins no run. */
    const checkStart = (worker: FakeWorker, order: StartRunOrder): OrderOutcome | undefined => {
        if (order.deadlineMs <= workerTimeMs(worker)) {
            return orderOutcomes.late;
        }
        renewLease(worker, order.deadlineMs);
        const key = keyOf(order.taskName, order.run);
        if (worker.running.has(key)) {
            return orderOutcomes.done;
        }
        if (order.run <= (worker.highestRun.get(order.taskName) ?? 0)) {
            return orderOutcomes.stale;
        }
        const validUntilMs = validUntilOf(order.ticket);
        const isForIncarnation = !checksTickets || order.ticket === ""
            || order.ticket === ticketFor(stepNameOf(order.taskName), worker.entry, validUntilMs);
        if (!isForIncarnation || clock.monotonicMs() > validUntilMs) {
            return orderOutcomes.badTicket;
        }
        worker.highestRun.set(order.taskName, order.run);
        return undefined;
    };

    /** Begins the run of a start that the worker has accepted. */
    const begin = (worker: FakeWorker, order: StartRunOrder, orderedAtMs: number): OrderOutcome => {
        const key = keyOf(order.taskName, order.run);
        const { durationMs, fails, crashesAfterMs } = model(order.taskName, order.run);
        const startRecord: StartEvidence = {
            taskName: order.taskName,
            run: order.run,
            workerId: worker.entry.workerId,
            orderedAtMs,
            startedAtMs: clock.monotonicMs(),
            checkpoint: order.checkpoint,
            endedAtMs: undefined,
            how: undefined,
            acknowledgedAtMs: undefined,
            lapsedBeforeAcknowledged: false,
            crashesWorkers: crashesAfterMs !== undefined,
        };
        evidence.push(startRecord);
        const failing = worker.fault === "failing";
        const scheduleEnd = (): () => void =>
            worker.fault === "hanging" ? () => {} : clock.setTimer(
                failing ? failingRunMs : durationMs / worker.speed,
                () => endRun(worker, key, failing || fails ? runEnds.failed : runEnds.done),
            );
        const scheduleOutcome = (): () => void =>
            crashesAfterMs === undefined ? scheduleEnd() : scheduleCrash(worker, crashesAfterMs);
        const beginWork = (): () => void => {
            const cancelOutcome = scheduleOutcome();
            const endSaving = worker.fault === "hanging"
                ? undefined
                : saved?.saveRepeatedly(startRecord, checkpoint => {
                    const live = worker.running.get(key);
                    if (live !== undefined) {
                        live.checkpoint = checkpoint;
                    }
                });
            return () => {
                cancelOutcome();
                endSaving?.();
            };
        };
        const isMember = gangSize(order.taskName) > 0;
        worker.running.set(key, {
            evidence: startRecord,
            cancel: isMember ? clock.setTimer(gangWaitMs, () => endRun(worker, key, runEnds.alone)) : beginWork(),
            beginWork,
            held: heldOf(order.taskName),
            isAtWork: !isMember,
            isStopping: false,
            checkpoint: order.checkpoint,
        });
        const members = membersOf(startRecord);
        if (isMember && members.length === gangSize(order.taskName)) {
            for (const { live } of members) {
                live.cancel();
                live.isAtWork = true;
                live.cancel = live.beginWork();
            }
        }
        const held = [...worker.running.values()].reduce((sum, run) => add(sum, run.held), noResources);
        if (!fits(held, worker.entry.capacity) && !fitsFormerCapacity(worker, held)) {
            overcommitted.add(worker.entry.workerId);
        }
        return orderOutcomes.done;
    };

    const start = (
        worker: FakeWorker,
        order: StartRunOrder,
        orderedAtMs: number,
    ): OrderOutcome | Promise<OrderOutcome> => {
        if (!acceptToken(worker, order.fencingToken)) {
            return orderOutcomes.fenced;
        }
        const takesMs = startTakesMs();
        const beginIfSound = (): OrderOutcome => checkStart(worker, order) ?? begin(worker, order, orderedAtMs);
        if (takesMs === 0) {
            return beginIfSound();
        }
        const problem = checksStartsOnce ? checkStart(worker, order) : undefined;
        const beginAccepted = (): OrderOutcome =>
            worker.deadlineMs <= workerTimeMs(worker) ? orderOutcomes.unknown : begin(worker, order, orderedAtMs);
        const beginLate = checksStartsOnce ? beginAccepted : beginIfSound;
        return problem ?? wait(takesMs).then(() => worker.alive ? beginLate() : orderOutcomes.unknown);
    };

    const stop = (worker: FakeWorker, { taskName, run, fencingToken }: StopRunOrder): OrderOutcome => {
        if (!acceptToken(worker, fencingToken)) {
            return orderOutcomes.fenced;
        }
        worker.highestRun.set(taskName, Math.max(run, worker.highestRun.get(taskName) ?? 0));
        const live = worker.running.get(keyOf(taskName, run));
        if (live !== undefined) {
            live.isStopping = true;
            clock.setTimer(stopDurationMs, () => endRun(worker, keyOf(taskName, run), runEnds.stopped));
        }
        return orderOutcomes.done;
    };

    const acknowledge = (worker: FakeWorker, upTo: number): void => {
        if (upTo <= worker.acknowledgedUpTo) {
            return;
        }
        worker.acknowledgedUpTo = upTo;
        for (const end of worker.ended) {
            if (end.endNumber <= upTo) {
                end.evidence.acknowledgedAtMs = clock.monotonicMs();
            }
        }
        worker.ended = worker.ended.filter(end => end.endNumber > upTo);
    };

    const createLookResult = (worker: FakeWorker): LookResult => ({
        outcome: orderOutcomes.done,
        clockMs: workerTimeMs(worker),
        ...(worker.entry.bornAtMs === undefined ? {} : { bornAtMs: worker.entry.bornAtMs }),
        running: [...worker.running.values()].filter(({ isStopping }) => !hidesStopping || !isStopping).map((
            { evidence: run, checkpoint, held, isAtWork },
        ) => ({
            taskName: run.taskName,
            run: run.run,
            checkpoint,
            percent: 100,
            figure: worker.fault === "hanging" || !isAtWork ? 0 : held.cpuMillis,
        })),
        ended: worker.ended.slice(0, maxListedEnds).map(({ endNumber, taskName, run, how, checkpoint }) => ({
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
        worker.nextEndNumber - 1 > worker.acknowledgedUpTo || waitMs === 0
            ? Promise.resolve()
            : new Promise(resolve => {
                const wake = (): void => {
                    cancel();
                    worker.waiters.delete(wake);
                    resolve();
                };
                const cancel = clock.setTimer(waitMs, wake);
                worker.waiters.add(wake);
            });

    /** Carries out a call after its time to the worker; `unanswered` is its outcome where the answer is not back in time. */
    const afterTransit = async <T>(
        carryOut: () => Promise<T>,
        { timeoutMs, unanswered }: { readonly timeoutMs: number; readonly unanswered: T; },
    ): Promise<T> => {
        if (transit === undefined) {
            return carryOut();
        }
        const { toMs, backMs } = transit;
        const answer = wait(toMs()).then(carryOut).then(async outcome => {
            await wait(backMs());
            return outcome;
        });
        return Promise.race([answer, wait(timeoutMs).then(() => unanswered)]);
    };

    /** Whether a worker is up at an address; it refuses calls that are meant for another one. */
    const isServed = (address: string): boolean =>
        [...workers.values()].some(({ alive, entry }) => alive && entry.address === address);

    const connect: FakeFencedWorkers["connect"] = (isOpen, depart = async () => "sent") => {
        const reach = async (
            target: WorkerTarget,
            timeoutMs = unansweredMs,
        ): Promise<FakeWorker | "otherIncarnation" | "down" | undefined> => {
            const worker = workers.get(target.workerId);
            if (worker === undefined || !isOpen(target.workerId) || worker.fault === "cut") {
                await wait(timeoutMs);
                return undefined;
            }
            // Some tests name no address.
            if (target.address !== "" && target.address !== worker.entry.address) {
                if (isServed(target.address)) {
                    return "otherIncarnation";
                }
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
            carryOut: (worker: FakeWorker, orderedAtMs: number) => OrderOutcome | Promise<OrderOutcome>,
        ): Promise<OrderOutcome> => {
            const orderedAtMs = clock.monotonicMs();
            await wait(answerMs);
            const departure = await depart(timeoutMs);
            if (departure === "unsent") {
                return orderOutcomes.notSent;
            }
            return afterTransit<OrderOutcome>(
                () => orderSent(target, { timeoutMs, orderedAtMs, departure }, carryOut),
                { timeoutMs, unanswered: orderOutcomes.unknown },
            );
        };
        const orderSent = async (
            target: WorkerTarget,
            { timeoutMs, orderedAtMs, departure }: {
                readonly timeoutMs: number;
                readonly orderedAtMs: number;
                readonly departure: Departure;
            },
            carryOut: (worker: FakeWorker, orderedAtMs: number) => OrderOutcome | Promise<OrderOutcome>,
        ): Promise<OrderOutcome> => {
            const worker = await reach(target, timeoutMs);
            if (worker === undefined || worker === "down") {
                return orderOutcomes.unknown;
            }
            if (worker === "otherIncarnation") {
                return orderOutcomes.otherIncarnation;
            }
            if (worker.fault === "unconnected") {
                await wait(timeoutMs);
                return orderOutcomes.notSent;
            }
            if (worker.fault === "deaf") {
                await wait(timeoutMs);
                return orderOutcomes.unknown;
            }
            if (worker.fault === "late") {
                clock.setTimer(lateOrderDelayMs, () => {
                    // The order names only the worker's ID, so whichever incarnation has that ID by then carries it out.
                    const present = workers.get(target.workerId);
                    if (present?.alive === true) {
                        void carryOut(present, orderedAtMs);
                    }
                });
                await wait(timeoutMs);
                return orderOutcomes.unknown;
            }
            const outcome = await carryOut(worker, orderedAtMs);
            return departure === "expired" ? orderOutcomes.unknown : outcome;
        };
        const carryOutLook = (
            worker: FakeWorker,
            { fencingToken, acknowledgedEnd, deadlineMs }: LookOrder,
        ): boolean => {
            if (!acceptToken(worker, fencingToken)) {
                return false;
            }
            renewLease(worker, deadlineMs);
            acknowledge(worker, acknowledgedEnd);
            return true;
        };
        const carryOutLookLate = (target: WorkerTarget, order: LookOrder, lateMs: number): void => {
            clock.setTimer(lateMs, () => {
                // The look names only the worker's ID, so whichever incarnation has that ID by then carries it out.
                const present = workers.get(target.workerId);
                if (present?.alive === true) {
                    carryOutLook(present, order);
                }
            });
        };
        const look = async (target: WorkerTarget, sent: LookOrder): Promise<LookResult> => {
            const { waitMs, answerTimeoutMs } = sent;
            const lookTimeoutMs = Math.min(unansweredMs, waitMs + answerTimeoutMs);
            await wait(answerMs);
            const departure = await depart(waitMs + answerTimeoutMs);
            if (departure === "unsent") {
                return { outcome: orderOutcomes.unknown };
            }
            const timeoutMs = waitMs + answerTimeoutMs;
            return afterTransit<LookResult>(
                () => lookSent(target, sent, { lookTimeoutMs, departure }),
                { timeoutMs, unanswered: { outcome: orderOutcomes.unknown } },
            );
        };
        const lookSent = async (
            target: WorkerTarget,
            sent: LookOrder,
            { lookTimeoutMs, departure }: { readonly lookTimeoutMs: number; readonly departure: Departure; },
        ): Promise<LookResult> => {
            const { waitMs, answerTimeoutMs } = sent;
            if (lateLooks?.isLost(target.workerId) === true) {
                carryOutLookLate(target, sent, lateLooks.lateMs());
                await wait(lookTimeoutMs);
                return { outcome: orderOutcomes.unknown };
            }
            const worker = await reach(target, lookTimeoutMs);
            if (worker === undefined && lateLooks !== undefined) {
                carryOutLookLate(target, sent, lateLooks.lateMs());
            }
            if (worker === undefined || worker === "down") {
                return { outcome: orderOutcomes.unknown, connectionLost: worker === "down" };
            }
            if (worker === "otherIncarnation") {
                return { outcome: orderOutcomes.otherIncarnation };
            }
            if (!carryOutLook(worker, sent)) {
                return { outcome: orderOutcomes.fenced };
            }
            if (departure === "expired") {
                return { outcome: orderOutcomes.unknown };
            }
            await waitForEnd(worker, waitMs);
            if (!isOpen(target.workerId) || (worker.fault as WorkerFault) === "cut") {
                await wait(answerTimeoutMs);
                return { outcome: orderOutcomes.unknown };
            }
            if (worker.down) {
                return { outcome: orderOutcomes.unknown, connectionLost: true };
            }
            return worker.alive ? createLookResult(worker) : { outcome: orderOutcomes.otherIncarnation };
        };
        return {
            start: async (target, sent, timeoutMs) => {
                const outcome = await order(
                    target,
                    timeoutMs,
                    (worker, orderedAtMs) => start(worker, sent, orderedAtMs),
                );
                if (outcome === orderOutcomes.done && startAnswerMs() > 0) {
                    await wait(startAnswerMs());
                }
                return outcome;
            },
            stop: (target, sent, timeoutMs) => order(target, timeoutMs, worker => stop(worker, sent)),
            look,
            pace: target => order(target, unansweredMs, () => orderOutcomes.done),
        };
    };

    const addWorker = (entry: WorkerEntry, fault: WorkerFault = "none", clockStartMs = 0): void => {
        workers.set(entry.workerId, {
            entry,
            formerCapacities: [],
            token: 0,
            fault,
            speed: 1,
            alive: true,
            down: false,
            clockStartMs,
            deadlineMs: 0,
            cancelExpiry: () => {},
            running: new Map(),
            highestRun: new Map(),
            ended: [],
            nextEndNumber: 1,
            acknowledgedUpTo: 0,
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
        setLateLooks: next => {
            lateLooks = next;
        },
        setTransit: next => {
            transit = next;
        },
        hasLateLooks: () => lateLooks !== undefined,
        setSpeed: (workerId, speed) => {
            const worker = workers.get(workerId);
            if (worker !== undefined) {
                worker.speed = speed;
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
        restart: (workerId, capacity) => {
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
            worker.formerCapacities.push({
                capacity: worker.entry.capacity,
                untilMs: clock.monotonicMs() + shrinkNoticeMs,
            });
            worker.entry = { ...worker.entry, capacity };
            return worker.entry;
        },
        entryOf: workerId => {
            const worker = workers.get(workerId);
            return worker?.alive === true ? worker.entry : undefined;
        },
        dataCentreOf: workerId => workers.get(workerId)?.entry.dataCentre,
        heldOn: workerId =>
            [...workers.get(workerId)?.running.values() ?? []].reduce((sum, run) => add(sum, run.held), noResources),
        isFaultFree: workerId => workers.get(workerId)?.alive === true && workers.get(workerId)?.fault === "none",
        evidence,
        savedCheckpoints: saved?.all,
        overcommitted: () => [...overcommitted],
    };
};

/** A task that crashes its workers may be given up after two crashes, and may be started at most twice after the third. */
const crashesToCount = 3;
const startsAfterCrashes = 2;

/** Whether a task that crashes its workers was started more than `startsAfterCrashes` times after the third crash. */
const startedTooOften = (starts: readonly StartEvidence[]): boolean => {
    const crashes = starts.filter(start => start.crashesWorkers && start.how === "crashed")
        .map(start => start.endedAtMs ?? Infinity)
        .sort((left, right) => left - right);
    const third = crashes[crashesToCount - 1];
    return third !== undefined && starts.filter(start => start.startedAtMs > third).length > startsAfterCrashes;
};

/** Violations of the scheduler's guarantees in the recorded runs. `mayRepeat` returns whether a task may run several times at once. */
export const findBreaches = (
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
            breaches.push(`${taskName} was started again and again after it had crashed ${crashesToCount} workers`);
        }
        if (mayRepeat(taskName)) {
            continue;
        }
        for (const [index, start] of starts.entries()) {
            for (const later of starts.slice(index + 1)) {
                if (start.endedAtMs === undefined || later.startedAtMs < start.endedAtMs) {
                    breaches.push(`${taskName} ran twice at the same time: on ${start.workerId} and ${later.workerId}`);
                }
                if (
                    start.how === runEnds.done && start.acknowledgedAtMs !== undefined
                    && !start.lapsedBeforeAcknowledged
                ) {
                    breaches.push(`${taskName} was started again after its end was acknowledged`);
                }
            }
        }
    }
    return breaches;
};
