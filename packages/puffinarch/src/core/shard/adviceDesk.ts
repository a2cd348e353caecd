/**
 * Calls to the advisor, spread over all daemons: it serves one call at a time for each calling VM, so each daemon is a
 * lane. Quick calls always find lanes that slow ones may not take, and a call that has waited long is not passed for ever:
 * its step asks nobody else meanwhile, so that its tasks would stand with room for them. For the same reason a call that gets
 * no answer in its time is also given to another lane, and a lane that failed is asked after those that did not.
 */

import type { AdviceAnswer, AdviceRequest } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import { failureOf } from "../../utils/errors.js";

/** A call that waits for a lane. */
export interface AdviceOrder {
    readonly stepName: string;
    readonly workerIds: readonly string[];
    /** How long the advisor is expected to take. */
    readonly costMs: number;
    /** 0 first. */
    readonly priority: number;
    readonly onAnswer: (answer: AdviceAnswer) => void;
    readonly onFailure: () => void;
    /** False once nobody wants the answer any more. */
    readonly wanted: () => boolean;
}

interface WaitingOrder extends AdviceOrder {
    readonly askedAtMs: number;
    /** Lanes that it was given to so far, and those of them that have neither answered nor failed. */
    lanesAsked: number;
    lanesOpen: number;
    /** Answered, or given up: what comes of other lanes is of no use. */
    settled: boolean;
}

/** Failures of a lane since it answered last. */
interface LaneFailures {
    readonly inARow: number;
    readonly newestAtMs: number;
}

/** What the desk needs. */
export interface AdviceDeskOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    /** Daemons that can call the advisor now, this one included. */
    readonly lanes: () => readonly string[];
    readonly call: (laneId: string, request: AdviceRequest) => Promise<AdviceAnswer>;
}

/** Queues calls and gives each to a free lane. */
export interface AdviceDesk {
    ask(order: AdviceOrder): void;
    /** Looks for free lanes again, after their number changed. */
    wake(): void;
    close(): void;
}

/** Calls that cost more may not take every lane; between the two sites' cheap (28 ms) and dear (530 ms) calls. */
const slowCostMs = 150;
/** Lanes kept for quick calls at the most, of the whole. */
const quickLaneShare = 0.25;
/** Quick calls of late that tell how many lanes they need, and how many times that is kept for them, as they come in bursts. */
const quickMemoryMs = 4_000;
const quickMargin = 2;
/**
 * A lane whose call failed rests, so that its daemon is not asked again while it is cut off: for twice as long after each
 * failure in a row, while another lane is sound. Where none is, the advisor itself may be away, and is asked as often as before.
 */
const failedLaneRestMs = 500;
const longestLaneRestMs = 4_000;
/** A lane that failed is asked like any other after this time, since the first lanes are the near ones. */
const forgetFailureMs = 30_000;
/** A call may take this many times its expected cost, and this much more, before it counts as failed. */
const patienceFactor = 2;
const patienceMs = 400;
/**
 * A call that takes this much longer than expected is given to another lane as well, and the first answer counts. A task may
 * stand for 3 s with room for it, and two lanes that hang one after the other would take longer than that to fail.
 */
const secondLaneAfterMs = 250;
/** An order is given to so many lanes at the most, two of them at a time; then its step may name other workers. */
const mostLanesAsked = 3;
const mostLanesOpen = 2;

/** A call that has waited for longer than this is also taken out of turn; most wait for some milliseconds. */
const longWaitMs = 2_000;
/** One call in this many may go to the one that has waited longest, so that urgent ones lose a quarter of the lanes at most. */
const outOfTurnEvery = 4;

/** Lanes to keep for quick calls, which have kept so many busy of late. */
const quickLanes = (lanes: number, busyOfLate: number): number => {
    const most = lanes < 2 ? 0 : Math.max(1, Math.floor(lanes * quickLaneShare));
    return Math.min(most, 1 + Math.ceil(quickMargin * busyOfLate));
};

const laneRestMs = (failuresInARow: number): number =>
    Math.min(longestLaneRestMs, failedLaneRestMs * 2 ** (failuresInARow - 1));

/**
 * Makes the desk.
 *
 * @example
 * const desk = createAdviceDesk({ clock, log, meter, lanes: () => ["entry-1"], call });
 */
export const createAdviceDesk = ({ clock, log, meter, lanes, call }: AdviceDeskOptions): AdviceDesk => {
    const queue: WaitingOrder[] = [];
    /** Calls that were given to a lane so far. */
    let taken = 0;
    const busy = new Map<string, boolean>();
    /** Time that quick calls have taken, of which the past counts less and less, as of a local time. */
    let quickWork = { tookMs: 0, atMs: clock.monotonicMs() };

    const noteQuick = (tookMs: number): void => {
        const nowMs = clock.monotonicMs();
        const left = quickWork.tookMs * Math.exp((quickWork.atMs - nowMs) / quickMemoryMs);
        quickWork = { tookMs: left + tookMs, atMs: nowMs };
    };

    const quickBusyOfLate = (): number => {
        noteQuick(0);
        return quickWork.tookMs / quickMemoryMs;
    };
    const failures = new Map<string, LaneFailures>();
    let closed = false;

    const failuresOf = (lane: string): LaneFailures | undefined => {
        const known = failures.get(lane);
        return known !== undefined && clock.monotonicMs() - known.newestAtMs < forgetFailureMs ? known : undefined;
    };

    /** Those that did not fail first, in the order given; then the one whose failure is longest ago. */
    const freeLane = (): string | undefined => {
        const nowMs = clock.monotonicMs();
        const all = lanes();
        const hasSound = all.some(lane => failuresOf(lane) === undefined);
        let best: string | undefined;
        let bestFailedAtMs = Infinity;
        for (const lane of all) {
            if (busy.has(lane)) {
                continue;
            }
            const failed = failuresOf(lane);
            if (failed === undefined) {
                return lane;
            }
            const restMs = hasSound ? laneRestMs(failed.inARow) : failedLaneRestMs;
            if (failed.newestAtMs + restMs <= nowMs && failed.newestAtMs < bestFailedAtMs) {
                best = lane;
                bestFailedAtMs = failed.newestAtMs;
            }
        }
        return best;
    };

    const takeOrder = (): WaitingOrder | undefined => {
        const slowBusy = [...busy.values()].filter(slow => slow).length;
        const all = lanes().length;
        const slowAllowed = slowBusy < all - quickLanes(all, quickBusyOfLate());
        const sinceMs = clock.monotonicMs() - longWaitMs;
        const outOfTurn = taken % outOfTurnEvery === 0;
        let best = -1;
        let again = -1;
        for (const [index, order] of queue.entries()) {
            if (order.costMs > slowCostMs && !slowAllowed) {
                continue;
            }
            if (order.lanesOpen > 0) {
                // Where the advisor is slow for all, second calls must not take the lanes of first ones.
                again = again < 0 ? index : again;
                continue;
            }
            if (outOfTurn && order.askedAtMs < sinceMs) {
                // The queue is in the order of asking, but for those that got no answer, so this one has waited longest.
                best = index;
                break;
            }
            if (best < 0 || order.priority < (queue[best]?.priority ?? 0)) {
                best = index;
            }
        }
        best = best < 0 ? again : best;
        if (best < 0) {
            return undefined;
        }
        taken += 1;
        return queue.splice(best, 1)[0];
    };

    const noteFailure = (lane: string): void => {
        const inARow = (failuresOf(lane)?.inARow ?? 0) + 1;
        failures.set(lane, { inARow, newestAtMs: clock.monotonicMs() });
        // Whether other lanes are sound, and so how long it rests, may change meanwhile.
        for (const restMs of new Set([failedLaneRestMs, laneRestMs(inARow)])) {
            clock.setTimer(restMs, wake);
        }
    };

    const settle = (order: WaitingOrder, tell: () => void): void => {
        if (order.settled) {
            return;
        }
        order.settled = true;
        const index = queue.indexOf(order);
        if (index >= 0) {
            queue.splice(index, 1);
        }
        if (!closed) {
            tell();
        }
    };

    /** Before all others of its priority: it has waited for longer. */
    const askAnother = (order: WaitingOrder): void => {
        const isEnough = order.lanesAsked >= mostLanesAsked || order.lanesOpen >= mostLanesOpen;
        if (closed || order.settled || isEnough || queue.includes(order)) {
            return;
        }
        queue.unshift(order);
        wake();
    };

    const serve = async (lane: string, order: WaitingOrder): Promise<void> => {
        const { stepName, workerIds, costMs, askedAtMs } = order;
        const startedAtMs = clock.monotonicMs();
        if (order.lanesAsked === 0) {
            meter.record("adviceQueueMs", startedAtMs - askedAtMs);
        }
        else {
            meter.count("adviceCallsAgain");
        }
        order.lanesAsked += 1;
        order.lanesOpen += 1;
        busy.set(lane, costMs > slowCostMs);
        clock.setTimer(costMs + secondLaneAfterMs, () => askAnother(order));
        try {
            const answer = await call(lane, {
                stepName,
                workerIds,
                timeoutMs: Math.ceil(patienceFactor * costMs + patienceMs),
            });
            meter.record("adviceMs", clock.monotonicMs() - startedAtMs);
            if (costMs <= slowCostMs) {
                noteQuick(clock.monotonicMs() - startedAtMs);
            }
            failures.delete(lane);
            settle(order, () => order.onAnswer(answer));
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
            noteFailure(lane);
            if (order.lanesOpen === 1 && !queue.includes(order)) {
                settle(order, order.onFailure);
            }
        }
        finally {
            order.lanesOpen -= 1;
            busy.delete(lane);
        }
        wake();
    };

    const wake = (): void => {
        while (!closed) {
            const lane = freeLane();
            if (lane === undefined) {
                return;
            }
            const order = takeOrder();
            if (order === undefined) {
                return;
            }
            if (order.wanted()) {
                void serve(lane, order);
            }
            else {
                settle(order, order.onFailure);
            }
        }
    };

    return {
        ask: order => {
            queue.push({
                ...order,
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
