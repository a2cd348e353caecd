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
    type StartOrder,
    type StartOutcome,
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
    stop(attemptIds: readonly string[]): void;
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
    cancelRun: CancelTimer;
    cancelLease: CancelTimer;
}

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

    const end = (attemptId: string, outcome: AttemptOutcome, result: string): void => {
        const entry = running.get(attemptId);
        if (entry === undefined) {
            return;
        }
        entry.cancelRun();
        entry.cancelLease();
        running.delete(attemptId);
        const { taskId, homeId } = entry.order;
        const execution = executions[entry.execution];
        if (execution !== undefined) {
            executions[entry.execution] = { ...execution, endedAtMs: clock.nowMs(), outcome };
        }
        ended.set(attemptId, { attemptId, taskId, homeId, outcome, result });
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
            cancelRun: () => {},
            cancelLease: () => {},
        };
        running.set(attemptId, entry);
        const result = fails ? "the task failed" : `${taskId} done${"x".repeat(script.resultBytes ?? 0)}`;
        entry.cancelRun = clock.setTimer(
            fails ? 1 : script.runMs,
            () => end(attemptId, fails ? "failed" : "completed", result),
        );
        lease(entry, order.leaseMs);
        countUse();
        return "started";
    };

    const usedBy = (entry: Running): Resources => {
        if (clock.monotonicMs() - entry.startedAtMs < usageLagMs) {
            return noResources;
        }
        const { cpuMillis, memoryMib, accelerators } = entry.order.size;
        return {
            cpuMillis: Math.floor(cpuMillis * usedShare),
            memoryMib: Math.floor(memoryMib * usedShare),
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
        poll: async ({ renew, leaseMs, acknowledge, waitMs }) => {
            for (const attemptId of renew) {
                const entry = running.get(attemptId);
                if (entry !== undefined) {
                    lease(entry, leaseMs);
                }
            }
            for (const attemptId of acknowledge) {
                ended.delete(attemptId);
            }
            if (ended.size === 0 && waitMs > 0) {
                await waitForNews(waitMs);
            }
            return {
                nowMs: clock.monotonicMs(),
                running: [...running.values()].map(entry => {
                    const { attemptId, taskId, homeId, size } = entry.order;
                    return { attemptId, taskId, homeId, size, used: usedBy(entry) };
                }),
                ended: [...ended.values()],
            };
        },
        stop: attemptIds => {
            for (const attemptId of attemptIds) {
                end(attemptId, "stopped", "");
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
