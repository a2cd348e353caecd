/**
 * Calls to the advisor, spread over all daemons: it serves one call at a time for each calling VM, so each daemon is a
 * lane. Quick calls always find lanes that slow ones may not take, and a call that has waited long is not passed for ever:
 * its step asks nobody else meanwhile, so that its tasks would stand with room for them.
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
/** Lanes kept for quick calls, of the whole. */
const quickLaneShare = 0.25;
/** A lane whose call failed rests, so that its daemon is not asked again while it is cut off. */
const failedLaneRestMs = 500;
/** A call may take this many times its expected cost, and this much more, before another lane is asked. */
const patienceFactor = 2;
const patienceMs = 400;

/** A call that has waited for longer than this is also taken out of turn; most wait for some milliseconds. */
const longWaitMs = 2_000;
/** One call in this many may go to the one that has waited longest, so that urgent ones lose a quarter of the lanes at most. */
const outOfTurnEvery = 4;

const quickLanes = (lanes: number): number => lanes < 2 ? 0 : Math.max(1, Math.floor(lanes * quickLaneShare));

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
    const restsUntil = new Map<string, number>();
    let closed = false;

    const freeLane = (): string | undefined => {
        const nowMs = clock.monotonicMs();
        return lanes().find(lane => !busy.has(lane) && (restsUntil.get(lane) ?? 0) <= nowMs);
    };

    const takeOrder = (): WaitingOrder | undefined => {
        const slowBusy = [...busy.values()].filter(slow => slow).length;
        const all = lanes().length;
        const slowAllowed = slowBusy < all - quickLanes(all);
        const sinceMs = clock.monotonicMs() - longWaitMs;
        const outOfTurn = taken % outOfTurnEvery === 0;
        let best = -1;
        for (const [index, order] of queue.entries()) {
            if (order.costMs > slowCostMs && !slowAllowed) {
                continue;
            }
            if (outOfTurn && order.askedAtMs < sinceMs) {
                // The queue is in the order of asking, so this one has waited longest.
                best = index;
                break;
            }
            if (best < 0 || order.priority < (queue[best]?.priority ?? 0)) {
                best = index;
            }
        }
        if (best < 0) {
            return undefined;
        }
        taken += 1;
        return queue.splice(best, 1)[0];
    };

    const serve = async (lane: string, order: WaitingOrder): Promise<void> => {
        const { stepName, workerIds, costMs, askedAtMs } = order;
        const startedAtMs = clock.monotonicMs();
        meter.record("adviceQueueMs", startedAtMs - askedAtMs);
        busy.set(lane, costMs > slowCostMs);
        try {
            const answer = await call(lane, {
                stepName,
                workerIds,
                timeoutMs: Math.ceil(patienceFactor * costMs + patienceMs),
            });
            meter.record("adviceMs", clock.monotonicMs() - startedAtMs);
            if (!closed) {
                order.onAnswer(answer);
            }
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
            restsUntil.set(lane, clock.monotonicMs() + failedLaneRestMs);
            clock.setTimer(failedLaneRestMs, wake);
            if (!closed) {
                order.onFailure();
            }
        }
        finally {
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
                order.onFailure();
            }
        }
    };

    return {
        ask: order => {
            queue.push({ ...order, askedAtMs: clock.monotonicMs() });
            wake();
        },
        wake,
        close: () => {
            closed = true;
            queue.length = 0;
        },
    };
};
