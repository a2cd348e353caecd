/** Simulation of the processor of a daemon's VM on a fake clock: a queue that does one piece of work at a time, in order. */

import type { Clock, FencedWorkerPort, ProcessorTimes } from "puffinarch";

/** Processor time that a daemon's work takes. */
export interface ProcessorCosts {
    /** To read the answer to the first look at a worker, with a new connection and all of the worker's runs. */
    readonly firstLookMs: number;
    /** To read the answer to each later look. */
    readonly lookMs: number;
    /** To handle the call of a peer. */
    readonly callMs: number;
    /** To send a start order; nothing where it is left out. */
    readonly startMs?: number;
    /** To read the answer to a start order; nothing where it is left out. */
    readonly startAnswerMs?: number;
    /**
     * Whether the daemon's monotonic clock includes the work that it has queued, as on one thread. Where it is left out, a handler that
     * limits how long it works never sees time pass.
     */
    readonly countsOwnWork?: boolean;
}

/** A simulated processor. */
export interface Processor {
    /** Queues work that takes `costMs`; resolves when it and all earlier work are done. */
    use(costMs: number): Promise<void>;
    /** Makes all work that is queued from now on take this many times as long, as on a VM that gets a smaller share of its machine. */
    slowDown(factor: number): void;
    times(): ProcessorTimes;
    /** Monotonic time at which all queued work is done; in the past while the processor is idle. */
    freeAtMs(): number;
}

/**
 * Creates the processor of one daemon process.
 *
 * @example
 * const processor = createProcessor(clock);
 * await processor.use(5);
 */
export const createProcessor = (clock: Clock): Processor => {
    let freeAtMs = 0;
    let slowness = 1;
    let usedMs = 0;
    let activeMs = 0;
    return {
        slowDown: factor => {
            slowness = factor;
        },
        times: () => ({ usedMs, activeMs }),
        freeAtMs: () => freeAtMs,
        use: costMs => {
            const nowMs = clock.monotonicMs();
            usedMs += costMs;
            activeMs += slowness * costMs;
            freeAtMs = Math.max(nowMs, freeAtMs) + slowness * costMs;
            const delayMs = freeAtMs - nowMs;
            return new Promise(resolve => {
                clock.setTimer(delayMs, resolve);
            });
        },
    };
};

/**
 * Wraps a worker port so that sending starts and reading the answers to starts and looks take processor time. An answer that is read
 * after the timeout becomes `unknown`, although the worker has carried the order out; a start whose turn comes after its timeout is
 * `notSent`.
 *
 * @example
 * const port = withProcessor(workers.connect(), { clock, processor, costs });
 */
export const withProcessor = (
    port: FencedWorkerPort,
    { clock, processor, costs }: {
        readonly clock: Clock;
        readonly processor: Processor;
        readonly costs: ProcessorCosts;
    },
): FencedWorkerPort => {
    const connectedWorkers = new Set<string>();
    return {
        ...port,
        start: async (target, order, timeoutMs) => {
            if (costs.startMs === undefined) {
                return port.start(target, order, timeoutMs);
            }
            const beganAtMs = clock.monotonicMs();
            await processor.use(costs.startMs);
            if (clock.monotonicMs() - beganAtMs > timeoutMs) {
                return "notSent";
            }
            if (costs.startAnswerMs === undefined) {
                return port.start(target, order, timeoutMs);
            }
            const outcome = await port.start(target, order, timeoutMs - (clock.monotonicMs() - beganAtMs));
            await processor.use(costs.startAnswerMs);
            return clock.monotonicMs() - beganAtMs > timeoutMs ? "unknown" : outcome;
        },
        look: async (target, order) => {
            const sentAtMs = clock.monotonicMs();
            const answer = await port.look(target, order);
            if (answer.outcome !== "done") {
                return answer;
            }
            await processor.use(connectedWorkers.has(target.workerId) ? costs.lookMs : costs.firstLookMs);
            connectedWorkers.add(target.workerId);
            const isLate = clock.monotonicMs() - sentAtMs > order.waitMs + order.answerTimeoutMs;
            return isLate ? { outcome: "unknown" } : answer;
        },
    };
};

/**
 * Wraps a clock so that its timers run after the work that the processor has queued, as in an event loop. With `countsOwnWork`, its
 * monotonic time includes that work.
 *
 * @example
 * const delayed = withQueuedTimers(clock, createProcessor(clock));
 */
export const withQueuedTimers = (clock: Clock, processor: Processor, countsOwnWork = false): Clock => ({
    ...clock,
    ...(countsOwnWork ? { monotonicMs: () => Math.max(clock.monotonicMs(), processor.freeAtMs()) } : {}),
    setTimer: (delayMs, run) => {
        let cancelled = false;
        const cancel = clock.setTimer(delayMs, () => {
            void processor.use(0).then(() => cancelled ? undefined : run());
        });
        return () => {
            cancelled = true;
            cancel();
        };
    },
});
