/** A clock that stands still until it is moved, for tests whose verdict must not depend on the machine. */

import type { Clock } from "puffinarch";

/** Time that a test moves. */
export interface FakeClock extends Clock {
    /** Moves the time, running every timer that falls due in order, with all that follows from it. */
    advance(byMs: number): Promise<void>;
}

interface Timer {
    readonly atMs: number;
    readonly order: number;
    readonly run: () => void;
    cancelled: boolean;
}

const startOfTimeMs = 1_700_000_000_000;

/** Lets everything that waits on promises alone go as far as it can. */
const settle = (): Promise<void> =>
    new Promise(resolve => {
        setImmediate(resolve);
    });

const before = (left: Timer, right: Timer): boolean =>
    left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);

/** A binary heap of timers, earliest first. */
const createTimerHeap = () => {
    const heap: Timer[] = [];
    const at = (index: number): Timer => heap[index] as Timer;
    const swap = (left: number, right: number): void => {
        [heap[left], heap[right]] = [at(right), at(left)];
    };
    const push = (timer: Timer): void => {
        let index = heap.push(timer) - 1;
        for (let parent = (index - 1) >> 1; index > 0 && before(at(index), at(parent)); parent = (index - 1) >> 1) {
            swap(index, parent);
            index = parent;
        }
    };
    const sink = (): void => {
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            let first = index;
            first = left < heap.length && before(at(left), at(first)) ? left : first;
            first = right < heap.length && before(at(right), at(first)) ? right : first;
            if (first === index) {
                return;
            }
            swap(index, first);
            index = first;
        }
    };
    const pop = (): Timer | undefined => {
        const [top] = heap;
        const last = heap.pop();
        if (heap.length > 0 && last !== undefined) {
            heap[0] = last;
            sink();
        }
        return top;
    };
    return { push, pop, peek: (): Timer | undefined => heap[0] };
};

/**
 * Makes a clock at a fixed time.
 *
 * @example
 * const clock = createFakeClock();
 * await clock.advance(1_000);
 */
export const createFakeClock = (): FakeClock => {
    const timers = createTimerHeap();
    let nowMs = 0;
    let order = 0;
    return {
        nowMs: () => startOfTimeMs + nowMs,
        monotonicMs: () => nowMs,
        setTimer: (delayMs, run) => {
            order += 1;
            const timer: Timer = { atMs: nowMs + Math.max(0, delayMs), order, run, cancelled: false };
            timers.push(timer);
            return () => {
                timer.cancelled = true;
            };
        },
        advance: async byMs => {
            const untilMs = nowMs + byMs;
            await settle();
            for (let next = timers.peek(); next !== undefined && next.atMs <= untilMs; next = timers.peek()) {
                timers.pop();
                if (next.cancelled) {
                    continue;
                }
                nowMs = Math.max(nowMs, next.atMs);
                next.run();
                await settle();
            }
            nowMs = untilMs;
        },
    };
};
