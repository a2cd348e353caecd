/**
 * Dispatches calls to the advisor over all daemons. The advisor serves one call at a time for each calling VM, so each daemon
 * is a lane for one call. Some lanes are closed to slow calls, so that quick ones do not queue behind them. While a call is
 * open, its step requests no other advice and its tasks may not run although capacity is free. Therefore a call that has waited
 * long is served before more urgent ones, a call without a timely answer is also given to another lane, and lanes that failed
 * are used last.
 */

import type { AdviceAnswer, AdviceRequest } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import { failureOf } from "../../utils/errors.js";
import { createGuard } from "../../utils/guard.js";
import { ownDelayMs } from "./ownDelay.js";

/** A call that waits for a lane. */
export interface AdviceCall {
    readonly stepName: string;
    readonly workerIds: readonly string[];
    /** Time that the advisor is expected to take. */
    readonly costMs: number;
    /** Lower values are served first. */
    readonly priority: number;
    readonly onAnswer: (answer: AdviceAnswer) => void;
    readonly onFailure: () => void;
    /** Returns false once the answer is no longer needed. */
    readonly isNeeded: () => boolean;
}

interface QueuedCall extends AdviceCall {
    readonly askedAtMs: number;
    /** Number of lanes that the call was given to so far. */
    lanesAsked: number;
    /** Number of those lanes that have neither answered nor failed yet. */
    lanesOpen: number;
    /** True once it was answered or given up; later results of other lanes are ignored. */
    settled: boolean;
}

/** Failures of a lane since its last answer. */
interface LaneFailures {
    readonly inARow: number;
    readonly newestAtMs: number;
}

/** The calls that are under way on a lane. */
interface LaneLoad {
    readonly calls: number;
    /** Sum of their expected costs. */
    readonly costMs: number;
    readonly hasSlow: boolean;
}

/** Dependencies of a dispatcher of advisor calls. */
export interface AdviceDispatcherOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    /** Ids of the daemons that can call the advisor now, this one first. */
    readonly lanes: () => readonly string[];
    readonly call: (laneId: string, request: AdviceRequest) => Promise<AdviceAnswer>;
    /** How late timers of this process fire now, in ms; never late where it is left out. */
    readonly lagMs?: () => number;
}

/** Queues calls and gives each to a free lane. */
export interface AdviceDispatcher {
    /** Queues a call and reports its answer or failure through its callbacks. */
    enqueue(call: AdviceCall): void;
    /** Dispatches queued calls again, after the set of lanes has changed. */
    wake(): void;
    /** Drops all queued calls and reports no further results. */
    close(): void;
}

/** Calls that cost more than this are slow. It lies between the costs of quick calls (28 ms) and slow ones (530 ms). */
const slowCostMs = 150;
/** Largest share of the lanes that is closed to slow calls. Where there are two or three lanes, one may be closed nevertheless. */
const quickLaneShare = 0.25;
/**
 * Quick calls that have waited for `minWaitToQueueMs` are given to a busy lane, up to this sum of expected costs, where no lane is
 * idle. The advisor queues them, so that it does not idle until this process, which may be busy itself, reads an answer and sends
 * the next call. More urgent calls that arrive meanwhile come after them.
 */
const maxQueuedCostMs = 60;
const minWaitToQueueMs = 10;
/**
 * Time constant of the average number of lanes that quick calls keep busy. The lanes closed to slow calls are one more than
 * `quickMargin` times this average, within `quickLaneShare`, since quick calls come in bursts.
 */
const quickAverageMs = 4_000;
const quickMargin = 2;
/**
 * Back-off of a lane after a failed call, so that a daemon that is cut off is not used again at once. It doubles with each
 * failure in a row, up to `maxLaneBackOffMs`, while another lane has no failures. Where all lanes have failed, the advisor itself
 * may be unavailable, and the back-off stays at `laneBackOffMs`.
 */
const laneBackOffMs = 500;
const maxLaneBackOffMs = 4_000;
/** Failures of a lane are forgotten after this time, so that the lanes listed first, which are near, are preferred again. */
const forgetFailureMs = 30_000;
/** The timeout of a call is `timeoutFactor` times its expected cost plus `timeoutMarginMs`. */
const timeoutFactor = 2;
const timeoutMarginMs = 400;
/**
 * A call that takes this much longer than expected is given to another lane as well, and the first answer counts. A task has to
 * run within 3 s where capacity is free, and the timeouts of two hanging lanes, one after the other, would take longer.
 */
const secondLaneAfterMs = 250;
/** Most that this process's own lateness adds to the limits of a call. */
const maxCallDelayMs = 500;
/** Limits on the lanes that one call is given to, in total and at a time. If all fail, its step may name other workers. */
const maxLanesAsked = 3;
const maxLanesOpen = 2;

/** A call that has waited for longer than this may be served before more urgent ones; most wait for some milliseconds. */
const longWaitMs = 2_000;
/** One dispatch in this many may serve the longest waiting call, so that urgent calls lose at most a quarter of the dispatches. */
const longestWaitingEvery = 4;

/** Number of lanes closed to slow calls, given the average number of lanes that quick calls keep busy. */
const quickLanes = (lanes: number, averageBusy: number): number => {
    const maxQuickLanes = lanes < 2 ? 0 : Math.max(1, Math.floor(lanes * quickLaneShare));
    return Math.min(maxQuickLanes, 1 + Math.ceil(quickMargin * averageBusy));
};

const backOffMs = (failuresInARow: number): number =>
    Math.min(maxLaneBackOffMs, laneBackOffMs * 2 ** (failuresInARow - 1));

/**
 * Creates the dispatcher of a shard's calls to the advisor.
 *
 * @example
 * const dispatcher = createAdviceDispatcher({ clock, log, meter, lanes: () => ["entry-1"], call });
 */
export const createAdviceDispatcher = (
    { clock, log, meter, lanes, call, lagMs = () => 0 }: AdviceDispatcherOptions,
): AdviceDispatcher => {
    const guard = createGuard({ clock, log, meter });
    const queue: QueuedCall[] = [];
    /** Number of calls that were given to a lane so far. */
    let dispatched = 0;
    /** Lanes with calls under way. */
    const busy = new Map<string, LaneLoad>();
    /** Exponentially decayed sum of the times that quick calls took, and the local time of its last update. */
    let quickTime = { tookMs: 0, atMs: clock.monotonicMs() };

    const addQuickTime = (tookMs: number): void => {
        const nowMs = clock.monotonicMs();
        const left = quickTime.tookMs * Math.exp((quickTime.atMs - nowMs) / quickAverageMs);
        quickTime = { tookMs: left + tookMs, atMs: nowMs };
    };

    const averageQuickLanes = (): number => {
        addQuickTime(0);
        return quickTime.tookMs / quickAverageMs;
    };
    const failures = new Map<string, LaneFailures>();
    let closed = false;

    const failuresOf = (lane: string): LaneFailures | undefined => {
        const known = failures.get(lane);
        return known !== undefined && clock.monotonicMs() - known.newestAtMs < forgetFailureMs ? known : undefined;
    };

    const isIdle = (lane: string): boolean => !busy.has(lane);

    /** Whether the advisor will be done soon with what the lane has under way. */
    const takesQuickCalls = (lane: string): boolean => {
        const load = busy.get(lane);
        return load !== undefined && !load.hasSlow && load.costMs < maxQueuedCostMs;
    };

    const addLoad = (lane: string, costMs: number): void => {
        const { calls, costMs: before, hasSlow } = busy.get(lane) ?? { calls: 0, costMs: 0, hasSlow: false };
        busy.set(lane, { calls: calls + 1, costMs: before + costMs, hasSlow: hasSlow || costMs > slowCostMs });
    };

    const removeLoad = (lane: string, costMs: number): void => {
        const load = busy.get(lane);
        if (load === undefined || load.calls === 1) {
            busy.delete(lane);
            return;
        }
        busy.set(lane, { ...load, calls: load.calls - 1, costMs: load.costMs - costMs });
    };

    /**
     * Gives the first suitable lane without failures, else the one whose last failure is longest ago and whose back-off is over.
     */
    const freeLane = (isSuitable: (lane: string) => boolean): string | undefined => {
        const nowMs = clock.monotonicMs();
        const all = lanes();
        const hasHealthy = all.some(lane => failuresOf(lane) === undefined);
        let best: string | undefined;
        let bestFailedAtMs = Infinity;
        for (const lane of all) {
            if (!isSuitable(lane)) {
                continue;
            }
            const failed = failuresOf(lane);
            if (failed === undefined) {
                return lane;
            }
            const delayMs = hasHealthy ? backOffMs(failed.inARow) : laneBackOffMs;
            if (failed.newestAtMs + delayMs <= nowMs && failed.newestAtMs < bestFailedAtMs) {
                best = lane;
                bestFailedAtMs = failed.newestAtMs;
            }
        }
        return best;
    };

    /** Whether a call may be queued at the advisor behind others. */
    const mayQueue = ({ costMs, askedAtMs }: QueuedCall): boolean =>
        costMs <= maxQueuedCostMs && clock.monotonicMs() - askedAtMs >= minWaitToQueueMs;

    /** Takes the next of the calls in the queue that are suitable. */
    const dequeue = (isSuitable: (queuedCall: QueuedCall) => boolean): QueuedCall | undefined => {
        const slowBusy = [...busy.values()].filter(({ hasSlow }) => hasSlow).length;
        const all = lanes().length;
        const slowAllowed = slowBusy < all - quickLanes(all, averageQuickLanes());
        const longWaitSinceMs = clock.monotonicMs() - longWaitMs;
        const servesLongest = dispatched % longestWaitingEvery === 0;
        let best = -1;
        let firstRepeat = -1;
        for (const [index, queuedCall] of queue.entries()) {
            if (!isSuitable(queuedCall) || queuedCall.costMs > slowCostMs && !slowAllowed) {
                continue;
            }
            if (queuedCall.lanesOpen > 0) {
                // Repeats come last: where the advisor is slow for every call, they must not take the lanes of first attempts.
                firstRepeat = firstRepeat < 0 ? index : firstRepeat;
                continue;
            }
            if (servesLongest && queuedCall.askedAtMs < longWaitSinceMs) {
                // The queue is in order of arrival, apart from repeated calls, so that this one has waited longest.
                best = index;
                break;
            }
            if (best < 0 || queuedCall.priority < (queue[best]?.priority ?? 0)) {
                best = index;
            }
        }
        best = best < 0 ? firstRepeat : best;
        if (best < 0) {
            return undefined;
        }
        dispatched += 1;
        return queue.splice(best, 1)[0];
    };

    const recordFailure = (lane: string): void => {
        const inARow = (failuresOf(lane)?.inARow ?? 0) + 1;
        failures.set(lane, { inARow, newestAtMs: clock.monotonicMs() });
        // The back-off depends on whether other lanes have failed, which may change, so dispatch after either time.
        for (const delayMs of new Set([laneBackOffMs, backOffMs(inARow)])) {
            clock.setTimer(delayMs, wake);
        }
    };

    const settle = (queuedCall: QueuedCall, report: () => void): void => {
        if (queuedCall.settled) {
            return;
        }
        queuedCall.settled = true;
        const index = queue.indexOf(queuedCall);
        if (index >= 0) {
            queue.splice(index, 1);
        }
        if (!closed) {
            report();
        }
    };

    /**
     * Queues a call for one more lane, at the front of the queue, so that it precedes other calls of its priority. While one of its
     * lanes is still open, `dequeue` serves it only where no first attempt can be served.
     */
    const queueRepeat = (queuedCall: QueuedCall): void => {
        const isEnough = queuedCall.lanesAsked >= maxLanesAsked || queuedCall.lanesOpen >= maxLanesOpen;
        if (closed || queuedCall.settled || isEnough || queue.includes(queuedCall)) {
            return;
        }
        queue.unshift(queuedCall);
        wake();
    };

    const runCall = async (lane: string, queuedCall: QueuedCall): Promise<void> => {
        const { stepName, workerIds, costMs, askedAtMs } = queuedCall;
        const startedAtMs = clock.monotonicMs();
        if (queuedCall.lanesAsked === 0) {
            meter.record("adviceQueueMs", startedAtMs - askedAtMs);
        }
        else {
            meter.count("adviceCallsAgain");
        }
        queuedCall.lanesAsked += 1;
        queuedCall.lanesOpen += 1;
        addLoad(lane, costMs);
        const delayMs = ownDelayMs(lagMs(), maxCallDelayMs);
        clock.setTimer(costMs + secondLaneAfterMs + delayMs, () => queueRepeat(queuedCall));
        try {
            const answer = await call(lane, {
                stepName,
                workerIds,
                timeoutMs: Math.ceil(timeoutFactor * costMs + timeoutMarginMs + delayMs),
            });
            meter.record("adviceMs", clock.monotonicMs() - startedAtMs);
            if (costMs <= slowCostMs) {
                addQuickTime(clock.monotonicMs() - startedAtMs);
            }
            failures.delete(lane);
            settle(queuedCall, () => queuedCall.onAnswer(answer));
        }
        catch (error) {
            const { kind, message } = failureOf(error);
            log.write("warn", "adviceFailed", {
                step: stepName,
                lane,
                kind,
                message,
                tookMs: clock.monotonicMs() - startedAtMs,
            });
            recordFailure(lane);
            if (queuedCall.lanesOpen === 1 && !queue.includes(queuedCall)) {
                settle(queuedCall, queuedCall.onFailure);
            }
        }
        finally {
            queuedCall.lanesOpen -= 1;
            removeLoad(lane, costMs);
        }
        wake();
    };

    const wake = (): void => {
        while (!closed) {
            const idle = freeLane(isIdle);
            const lane = idle ?? freeLane(takesQuickCalls);
            if (lane === undefined) {
                return;
            }
            const queuedCall = dequeue(idle === undefined ? mayQueue : () => true);
            if (queuedCall === undefined) {
                return;
            }
            if (queuedCall.isNeeded()) {
                void guard.run("advice", () => runCall(lane, queuedCall));
            }
            else {
                settle(queuedCall, queuedCall.onFailure);
            }
        }
    };

    return {
        enqueue: queuedCall => {
            queue.push({
                ...queuedCall,
                askedAtMs: clock.monotonicMs(),
                lanesAsked: 0,
                lanesOpen: 0,
                settled: false,
            });
            wake();
        },
        wake,
        close: () => {
            closed = true;
            queue.length = 0;
        },
    };
};
