/** A clock that advances only on request, so that the results of tests do not depend on the speed of the machine. */

import type { Clock } from "puffinarch";

/** A clock that a test advances. */
export interface FakeClock extends Clock {
    /**
     * Advances the time and runs every timer that becomes due, in order of due time and then of creation. Pending promise
     * callbacks run before the first timer and after each one.
     */
    advance(byMs: number): Promise<void>;
}

interface Timer {
    /** Due time, monotonic. */
    readonly atMs: number;
    /** Number of the timer in order of creation; breaks ties of `atMs`. */
    readonly order: number;
    readonly run: () => void;
    cancelled: boolean;
}

const wallClockStartMs = 1_700_000_000_000;

/** Resolves after all pending promise callbacks have run. */
const flushPromises = (): Promise<void> =>
    new Promise(resolve => {
        setImmediate(resolve);
    });

const isEarlier = (left: Timer, right: Timer): boolean =>
    left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);

/** Creates a binary heap of timers, earliest first. */
const createTimerHeap = () => {
    const heap: Timer[] = [];
    const at = (index: number): Timer => heap[index] as Timer;
    const swap = (left: number, right: number): void => {
        [heap[left], heap[right]] = [at(right), at(left)];
    };
    const push = (timer: Timer): void => {
        let index = heap.push(timer) - 1;
        for (let parent = (index - 1) >> 1; index > 0 && isEarlier(at(index), at(parent)); parent = (index - 1) >> 1) {
            swap(index, parent);
            index = parent;
        }
    };
    const siftDown = (): void => {
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            let first = index;
            first = left < heap.length && isEarlier(at(left), at(first)) ? left : first;
            first = right < heap.length && isEarlier(at(right), at(first)) ? right : first;
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
            siftDown();
        }
        return top;
    };
    return { push, pop, peek: (): Timer | undefined => heap[0] };
};

/**
 * Creates a clock at monotonic time 0 and a fixed wall time.
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
        nowMs: () => wallClockStartMs + nowMs,
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
            await flushPromises();
            for (let next = timers.peek(); next !== undefined && next.atMs <= untilMs; next = timers.peek()) {
                timers.pop();
                if (next.cancelled) {
                    continue;
                }
                nowMs = Math.max(nowMs, next.atMs);
                next.run();
                await flushPromises();
            }
            nowMs = untilMs;
        },
    };
};
