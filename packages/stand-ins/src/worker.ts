/**
 * Stand-in for a worker without guards: it runs whatever it is told, checks no capacity, and starts a task twice if
 * told twice. It honours leases and the time after which a start order is void, on its own clock.
 */

import {
    add,
    type AttemptOutcome,
    type CancelTimer,
    type Clock,
    type EndedAttempt,
    fits,
    noResources,
    type Resources,
    type RunningAttempt,
    type StartOrder,
    type StartOutcome,
    type StopOrder,
    type WorkerPoll,
    type WorkerReport,
} from "puffinarch";

/** One run of an attempt, as the worker itself saw it. */
export interface Execution {
    readonly taskId: string;
    readonly attemptId: string;
    readonly workerId: string;
    readonly startedAtMs: number;
    readonly endedAtMs?: number;
    readonly outcome?: AttemptOutcome;
}

/** What a task of the stand-in does; the payload of its job, as JSON. */
export interface TaskScript {
    readonly runMs: number;
    readonly fails?: boolean;
    readonly resultBytes?: number;
    /** What it uses of what it declared; 0.8 by default. */
    readonly usedShare?: number;
}

/** Faults of one worker. */
export interface WorkerFaults {
    readonly failsEverything: boolean;
    readonly losesStartReply: boolean;
    readonly unreachable: boolean;
}

/** One worker. */
export interface WorkerStandIn {
    readonly workerId: string;
    start(order: StartOrder): StartOutcome;
    poll(poll: WorkerPoll): Promise<WorkerReport>;
    stop(orders: readonly StopOrder[]): void;
    /** Limits what an attempt uses from now on. */
    throttle(attemptId: string, cpuMillis: number): void;
    /** The VM is gone: everything that ran has ended, and nobody is told. */
    kill(): void;
    setFaults(faults: Partial<WorkerFaults>): void;
    faults(): WorkerFaults;
    executions(): readonly Execution[];
    /** Starts after which more was held than the worker has. */
    overcommits(): number;
    peakUse(): Resources;
}

interface Running {
    readonly order: StartOrder;
    readonly startedAtMs: number;
    readonly execution: number;
    readonly doneBeforeMs: number;
    throttledCpuMillis: number;
    changedVersion: number;
    cancelRun: CancelTimer;
    cancelLease: CancelTimer;
}

/** More than can end between two polls of one owner. */
const goneKept = 1_000;
const usageLagMs = 1_000;
const usedShare = 0.8;
const defaultScript: TaskScript = { runMs: 100 };

const scriptOf = (payload: string): TaskScript => {
    try {
        return { ...defaultScript, ...JSON.parse(payload) as Partial<TaskScript> };
    }
    catch {
        return defaultScript;
    }
};

/**
 * Makes a worker.
 *
 * @example
 * const worker = createWorker(clock, "leon-r1-1", { cpuMillis: 16_000, memoryMib: 32_768, accelerators: 0 });
 */
export const createWorker = (clock: Clock, workerId: string, capacity: Resources): WorkerStandIn => {
    const running = new Map<string, Running>();
    const ended = new Map<string, EndedAttempt>();
    const executions: Execution[] = [];
    let faults: WorkerFaults = { failsEverything: false, losesStartReply: false, unreachable: false };
    const goneVersions = new Map<string, number>();
    const bootId = `${workerId}.${clock.nowMs()}`;
    let version = 0;
    let overcommits = 0;
    let peak = noResources;
    let news = new Set<() => void>();

    const tellNews = (): void => {
        const waiting = news;
        news = new Set();
        for (const wake of waiting) {
            wake();
        }
    };

    /** How long the attempt has run, earlier attempts included; that is all that this work needs to go on. */
    const progressOf = (attemptId: string): string => {
        const entry = running.get(attemptId);
        return entry === undefined ? "" : String(clock.monotonicMs() - entry.startedAtMs + entry.doneBeforeMs);
    };

    const end = (attemptId: string, outcome: AttemptOutcome, result: string, checkpoint = ""): void => {
        const entry = running.get(attemptId);
        if (entry === undefined) {
            return;
        }
        entry.cancelRun();
        entry.cancelLease();
        running.delete(attemptId);
        noteGone(attemptId);
        const { taskId, homeId } = entry.order;
        const execution = executions[entry.execution];
        if (execution !== undefined) {
            executions[entry.execution] = { ...execution, endedAtMs: clock.nowMs(), outcome };
        }
        ended.set(attemptId, { attemptId, taskId, homeId, outcome, result, checkpoint });
        tellNews();
    };

    const lease = (entry: Running, leaseMs: number): void => {
        entry.cancelLease();
        entry.cancelLease = clock.setTimer(leaseMs, () => end(entry.order.attemptId, "lapsed", ""));
    };

    const countUse = (): void => {
        let use = noResources;
        for (const entry of running.values()) {
            use = add(use, entry.order.size);
        }
        overcommits += fits(use, capacity) ? 0 : 1;
        peak = use.cpuMillis > peak.cpuMillis ? use : peak;
    };

    const start = (order: StartOrder): StartOutcome => {
        if (clock.monotonicMs() > order.startBeforeMs) {
            return "refused";
        }
        const script = scriptOf(order.payload);
        const fails = faults.failsEverything || script.fails === true;
        const { attemptId, taskId } = order;
        executions.push({ taskId, attemptId, workerId, startedAtMs: clock.nowMs() });
        const entry: Running = {
            order,
            startedAtMs: clock.monotonicMs(),
            execution: executions.length - 1,
            doneBeforeMs: Number(order.checkpoint),
            throttledCpuMillis: Infinity,
            changedVersion: 0,
            cancelRun: () => {},
            cancelLease: () => {},
        };
        running.set(attemptId, entry);
        const result = fails ? "the task failed" : `${taskId} done${"x".repeat(script.resultBytes ?? 0)}`;
        entry.cancelRun = clock.setTimer(
            fails ? 1 : Math.max(0, script.runMs - entry.doneBeforeMs),
            () => end(attemptId, fails ? "failed" : "completed", result),
        );
        lease(entry, order.leaseMs);
        noteChange(entry);
        clock.setTimer(usageLagMs, () => noteChange(entry));
        countUse();
        return "started";
    };

    const noteChange = (entry: Running): void => {
        version += 1;
        entry.changedVersion = version;
    };

    const noteGone = (attemptId: string): void => {
        version += 1;
        goneVersions.set(attemptId, version);
        const [oldest] = goneVersions.keys();
        if (goneVersions.size > goneKept && oldest !== undefined) {
            goneVersions.delete(oldest);
        }
    };

    const show = (entry: Running): RunningAttempt => {
        const { attemptId, taskId, homeId, size } = entry.order;
        return { attemptId, taskId, homeId, size, used: usedBy(entry) };
    };

    const usedBy = (entry: Running): Resources => {
        if (clock.monotonicMs() - entry.startedAtMs < usageLagMs) {
            return noResources;
        }
        const { cpuMillis, memoryMib, accelerators } = entry.order.size;
        const share = scriptOf(entry.order.payload).usedShare ?? usedShare;
        return {
            cpuMillis: Math.min(entry.throttledCpuMillis, Math.floor(cpuMillis * share)),
            memoryMib: Math.floor(memoryMib * share),
            accelerators,
        };
    };

    const waitForNews = (waitMs: number): Promise<void> =>
        new Promise(resolve => {
            const cancel = clock.setTimer(waitMs, () => {
                news.delete(wake);
                resolve();
            });
            const wake = (): void => {
                cancel();
                resolve();
            };
            news.add(wake);
        });

    return {
        workerId,
        start,
        poll: async ({ seen, leaseMs, acknowledge, waitMs }) => {
            for (const entry of leaseMs === 0 ? [] : running.values()) {
                lease(entry, leaseMs);
            }
            for (const attemptId of acknowledge) {
                ended.delete(attemptId);
            }
            if (ended.size === 0 && waitMs > 0) {
                await waitForNews(waitMs);
            }
            const complete = seen?.bootId !== bootId;
            const sinceVersion = complete ? -1 : seen.version;
            return {
                nowMs: clock.monotonicMs(),
                bootId,
                version,
                complete,
                running: [...running.values()].filter(entry => entry.changedVersion > sinceVersion).map(show),
                gone: complete
                    ? []
                    : [...goneVersions].filter(([, goneAt]) => goneAt > sinceVersion).map(([attemptId]) => attemptId),
                ended: [...ended.values()],
            };
        },
        stop: orders => {
            for (const { attemptId, checkpoint } of orders) {
                end(attemptId, "stopped", "", checkpoint ? progressOf(attemptId) : "");
            }
        },
        throttle: (attemptId, cpuMillis) => {
            const entry = running.get(attemptId);
            if (entry !== undefined) {
                entry.throttledCpuMillis = cpuMillis;
                noteChange(entry);
            }
        },
        kill: () => {
            for (const attemptId of [...running.keys()]) {
                end(attemptId, "lapsed", "");
            }
            ended.clear();
        },
        setFaults: changed => {
            faults = { ...faults, ...changed };
        },
        faults: () => faults,
        executions: () => executions,
        overcommits: () => overcommits,
        peakUse: () => peak,
    };
};
