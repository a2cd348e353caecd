/**
 * Simulated worker that carries out every start order: it neither checks its capacity nor refuses a task that it already
 * runs, so that mistakes of the scheduler show in its records. It does enforce leases and the expiry of start orders, on
 * its own clock.
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

/** One run of an attempt, as the worker recorded it; times are wall clock. */
export interface Execution {
    readonly taskId: string;
    readonly attemptId: string;
    readonly workerId: string;
    readonly startedAtMs: number;
    readonly endedAtMs?: number;
    readonly outcome?: AttemptOutcome;
}

/** Behaviour of a simulated task: the payload of its job, as JSON. */
export interface TaskScript {
    readonly runMs: number;
    /** True where every attempt fails, 1 ms after its start. */
    readonly fails?: boolean;
    /** Length of the padding that is appended to the result. */
    readonly resultBytes?: number;
    /** Used fraction of the declared processors and memory; 0.8 by default. */
    readonly usedShare?: number;
}

/** Injected faults of one worker. */
export interface WorkerFaults {
    /** Attempts that start while this is set fail after 1 ms. */
    readonly failsEverything: boolean;
    /** Start orders are carried out, but their answers are lost. */
    readonly losesStartReply: boolean;
    /** Calls to the worker fail; what runs continues. */
    readonly unreachable: boolean;
}

/** A simulated worker and its records. */
export interface WorkerStandIn {
    readonly workerId: string;
    /** Refuses only an expired order. */
    start(order: StartOrder): StartOutcome;
    poll(poll: WorkerPoll): Promise<WorkerReport>;
    stop(orders: readonly StopOrder[]): void;
    /** Limits the processor use of an attempt from now on. */
    throttle(attemptId: string, cpuMillis: number): void;
    /** Simulates the loss of the VM: every attempt ends as `lapsed`, and later polls report none of the ends. */
    kill(): void;
    setFaults(faults: Partial<WorkerFaults>): void;
    faults(): WorkerFaults;
    executions(): readonly Execution[];
    /** Number of starts that brought the running attempts over the worker's capacity. */
    overcommits(): number;
    /** Declared sizes of the running attempts, summed, when they held the most processors. */
    peakUse(): Resources;
}

interface RunningEntry {
    readonly order: StartOrder;
    readonly startedAtMs: number;
    /** Index in `executions`. */
    readonly execution: number;
    /** Run time saved in the checkpoint that the attempt resumes from. */
    readonly earlierProgressMs: number;
    cpuLimitMillis: number;
    /** Version of the worker at the attempt's last change. */
    changedVersion: number;
    cancelRun: CancelTimer;
    cancelLease: CancelTimer;
}

/** Must exceed the number of attempts that can end between two polls of one owner, as a poll would miss the rest. */
const maxGoneEntries = 1_000;
/** A new attempt reports no use for this long. */
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
 * Creates a worker that runs nothing.
 *
 * @example
 * const worker = createWorker(clock, "leon-r1-1", { cpuMillis: 16_000, memoryMib: 32_768, accelerators: 0 });
 */
export const createWorker = (clock: Clock, workerId: string, capacity: Resources): WorkerStandIn => {
    const running = new Map<string, RunningEntry>();
    const ended = new Map<string, EndedAttempt>();
    const executions: Execution[] = [];
    let faults: WorkerFaults = { failsEverything: false, losesStartReply: false, unreachable: false };
    const goneVersions = new Map<string, number>();
    const bootId = `${workerId}.${clock.nowMs()}`;
    let version = 0;
    let overcommits = 0;
    let peak = noResources;
    let pollWaiters = new Set<() => void>();

    const wakePolls = (): void => {
        const waiters = pollWaiters;
        pollWaiters = new Set();
        for (const wake of waiters) {
            wake();
        }
    };

    /** Checkpoint of an attempt: its run time, including earlier attempts, in milliseconds. */
    const checkpointOf = (attemptId: string): string => {
        const entry = running.get(attemptId);
        return entry === undefined ? "" : String(clock.monotonicMs() - entry.startedAtMs + entry.earlierProgressMs);
    };

    const end = (attemptId: string, outcome: AttemptOutcome, result: string, checkpoint = ""): void => {
        const entry = running.get(attemptId);
        if (entry === undefined) {
            return;
        }
        entry.cancelRun();
        entry.cancelLease();
        running.delete(attemptId);
        markGone(attemptId);
        const { taskId, homeId } = entry.order;
        const execution = executions[entry.execution];
        if (execution !== undefined) {
            executions[entry.execution] = { ...execution, endedAtMs: clock.nowMs(), outcome };
        }
        ended.set(attemptId, { attemptId, taskId, homeId, outcome, result, checkpoint });
        wakePolls();
    };

    const renewLease = (entry: RunningEntry, leaseMs: number): void => {
        entry.cancelLease();
        entry.cancelLease = clock.setTimer(leaseMs, () => end(entry.order.attemptId, "lapsed", ""));
    };

    const recordUse = (): void => {
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
        const entry: RunningEntry = {
            order,
            startedAtMs: clock.monotonicMs(),
            execution: executions.length - 1,
            earlierProgressMs: Number(order.checkpoint),
            cpuLimitMillis: Infinity,
            changedVersion: 0,
            cancelRun: () => {},
            cancelLease: () => {},
        };
        running.set(attemptId, entry);
        const result = fails ? "the task failed" : `${taskId} done${"x".repeat(script.resultBytes ?? 0)}`;
        entry.cancelRun = clock.setTimer(
            fails ? 1 : Math.max(0, script.runMs - entry.earlierProgressMs),
            () => end(attemptId, fails ? "failed" : "completed", result),
        );
        renewLease(entry, order.leaseMs);
        markChanged(entry);
        clock.setTimer(usageLagMs, () => markChanged(entry));
        recordUse();
        return "started";
    };

    const markChanged = (entry: RunningEntry): void => {
        version += 1;
        entry.changedVersion = version;
    };

    const markGone = (attemptId: string): void => {
        version += 1;
        goneVersions.set(attemptId, version);
        const [oldest] = goneVersions.keys();
        if (goneVersions.size > maxGoneEntries && oldest !== undefined) {
            goneVersions.delete(oldest);
        }
    };

    const toRunningAttempt = (entry: RunningEntry): RunningAttempt => {
        const { attemptId, taskId, homeId, size } = entry.order;
        return { attemptId, taskId, homeId, size, used: usedBy(entry) };
    };

    const usedBy = (entry: RunningEntry): Resources => {
        if (clock.monotonicMs() - entry.startedAtMs < usageLagMs) {
            return noResources;
        }
        const { cpuMillis, memoryMib, accelerators } = entry.order.size;
        const share = scriptOf(entry.order.payload).usedShare ?? usedShare;
        return {
            cpuMillis: Math.min(entry.cpuLimitMillis, Math.floor(cpuMillis * share)),
            memoryMib: Math.floor(memoryMib * share),
            accelerators,
        };
    };

    const waitForEndedAttempt = (waitMs: number): Promise<void> =>
        new Promise(resolve => {
            const cancel = clock.setTimer(waitMs, () => {
                pollWaiters.delete(wake);
                resolve();
            });
            const wake = (): void => {
                cancel();
                resolve();
            };
            pollWaiters.add(wake);
        });

    return {
        workerId,
        start,
        poll: async ({ seen, leaseMs, acknowledge, waitMs }) => {
            for (const entry of leaseMs === 0 ? [] : running.values()) {
                renewLease(entry, leaseMs);
            }
            for (const attemptId of acknowledge) {
                ended.delete(attemptId);
            }
            if (ended.size === 0 && waitMs > 0) {
                await waitForEndedAttempt(waitMs);
            }
            const complete = seen?.bootId !== bootId;
            const sinceVersion = complete ? -1 : seen.version;
            return {
                nowMs: clock.monotonicMs(),
                bootId,
                version,
                complete,
                running: [...running.values()].filter(entry => entry.changedVersion > sinceVersion).map(
                    toRunningAttempt,
                ),
                gone: complete
                    ? []
                    : [...goneVersions].filter(([, goneVersion]) => goneVersion > sinceVersion).map(([attemptId]) =>
                        attemptId
                    ),
                ended: [...ended.values()],
            };
        },
        stop: orders => {
            for (const { attemptId, checkpoint } of orders) {
                end(attemptId, "stopped", "", checkpoint ? checkpointOf(attemptId) : "");
            }
        },
        throttle: (attemptId, cpuMillis) => {
            const entry = running.get(attemptId);
            if (entry !== undefined) {
                entry.cpuLimitMillis = cpuMillis;
                markChanged(entry);
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
