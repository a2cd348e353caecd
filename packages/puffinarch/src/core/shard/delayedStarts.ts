/**
 * Starts that got no answer, by worker. Such an order names the worker's ID alone and may be carried out seconds later, by an
 * incarnation that knows neither that it was stopped nor under which token it was sent. Each next one is therefore told to refuse it.
 */

import type { Clock } from "../../types/ports.js";
import { runKey } from "./workerTable.js";

/** A start by its task and run. */
export interface DelayedStart {
    readonly taskName: string;
    readonly run: number;
}

/** Remembers starts that may still be carried out. */
export interface DelayedStarts {
    /** The start got no answer from this worker. */
    note(workerId: string, order: DelayedStart): void;
    /** Whether it may still be under way. */
    has(workerId: string, order: DelayedStart): boolean;
    /** All that may still be under way to a worker. */
    of(workerId: string): readonly DelayedStart[];
}

/** Whatever delays an order on its way to a worker, or in one that is busy, is over by then: more than two leases. */
const longestDelayMs = 12_000;

interface Expected extends DelayedStart {
    readonly untilMs: number;
}

/**
 * Makes the memory of one owner.
 *
 * @example
 * const delayed = createDelayedStarts(clock);
 * delayed.note("i-1", { taskName: "5c0e7a21d94b36f8.0.1.17", run: 2 });
 * delayed.of("i-1").length; // 1
 */
export const createDelayedStarts = (clock: Clock): DelayedStarts => {
    const byWorker = new Map<string, Map<string, Expected>>();

    const openOf = (workerId: string): ReadonlyMap<string, Expected> => {
        const open = byWorker.get(workerId) ?? new Map<string, Expected>();
        for (const [key, { untilMs }] of open) {
            if (untilMs < clock.monotonicMs()) {
                open.delete(key);
            }
        }
        if (open.size === 0) {
            byWorker.delete(workerId);
        }
        return open;
    };

    return {
        note: (workerId, { taskName, run }) => {
            const open = byWorker.get(workerId) ?? new Map<string, Expected>();
            byWorker.set(workerId, open);
            open.set(runKey(taskName, run), { taskName, run, untilMs: clock.monotonicMs() + longestDelayMs });
        },
        has: (workerId, { taskName, run }) => openOf(workerId).has(runKey(taskName, run)),
        of: workerId => [...openOf(workerId).values()],
    };
};
