/** The processor of a daemon's VM on a fake clock: it does one thing at a time, and what comes meanwhile waits its turn. */

import type { Clock, FencedWorkerPort } from "puffinarch";

/** What a daemon's work costs its processor, in milliseconds. */
export interface ProcessorCosts {
    /** Answer to the first look at a worker, with its new connection and all that runs there. */
    readonly firstLookMs: number;
    /** Answer to each later look. */
    readonly lookMs: number;
    /** Call of a peer. */
    readonly callMs: number;
}

/** A processor. */
export interface Processor {
    /** Resolves once all that came before, and this, are done. */
    use(costMs: number): Promise<void>;
}

/**
 * Makes the processor of one process.
 *
 * @example
 * const processor = createProcessor(clock);
 * await processor.use(5);
 */
export const createProcessor = (clock: Clock): Processor => {
    let freeAtMs = 0;
    return {
        use: costMs => {
            const nowMs = clock.monotonicMs();
            freeAtMs = Math.max(nowMs, freeAtMs) + costMs;
            const delayMs = freeAtMs - nowMs;
            return new Promise(resolve => {
                clock.setTimer(delayMs, resolve);
            });
        },
    };
};

/**
 * Lets answers to looks take processor time; one that is read too late counts as none, though the worker has carried the
 * look out.
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
    const seen = new Set<string>();
    return {
        ...port,
        look: async (target, order) => {
            const sentAtMs = clock.monotonicMs();
            const answer = await port.look(target, order);
            if (answer.outcome !== "done") {
                return answer;
            }
            await processor.use(seen.has(target.workerId) ? costs.lookMs : costs.firstLookMs);
            seen.add(target.workerId);
            const late = clock.monotonicMs() - sentAtMs > order.waitMs + order.answerTimeoutMs;
            return late ? { outcome: "unknown" } : answer;
        },
    };
};

/**
 * Lets the timers of a process wait behind what its processor has to do, as those of an event loop do.
 *
 * @example
 * const late = withLateTimers(clock, createProcessor(clock));
 */
export const withLateTimers = (clock: Clock, processor: Processor): Clock => ({
    ...clock,
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
