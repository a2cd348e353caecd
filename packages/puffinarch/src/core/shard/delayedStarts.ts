/**
 * Tracks unanswered starts by worker. Such an order names only the worker's id and may be carried out seconds later, by an
 * incarnation that knows neither that the run was stopped nor a newer fencing token. Each new incarnation is therefore told
 * to reject it.
 */

import type { Clock } from "../../types/ports.js";
import { runKey } from "./workerTable.js";

/** Identifies a start by its task and run. */
export interface DelayedStart {
    readonly taskName: string;
    readonly run: number;
}

/** Keeps starts that may still be carried out. */
export interface DelayedStarts {
    /** Records a start that got no answer from this worker, or that a former owner sent and that may still be in flight. */
    record(workerId: string, order: DelayedStart): void;
    /** Whether a recorded start may still be in flight. */
    has(workerId: string, order: DelayedStart): boolean;
    /** All recorded starts that may still be in flight to a worker. */
    of(workerId: string): readonly DelayedStart[];
}

/** Longest time for which an order may be delayed, on its way or in a busy worker: more than two leases. */
const maxDelayMs = 12_000;

interface TrackedStart extends DelayedStart {
    readonly untilMs: number;
}

/**
 * Creates the records of one owner.
 *
 * @example
 * const delayed = createDelayedStarts(clock);
 * delayed.record("i-1", { taskName: "5c0e7a21d94b36f8.0.1.17", run: 2 });
 * delayed.of("i-1").length; // 1
 */
export const createDelayedStarts = (clock: Clock): DelayedStarts => {
    const byWorker = new Map<string, Map<string, TrackedStart>>();

    const openOf = (workerId: string): ReadonlyMap<string, TrackedStart> => {
        const open = byWorker.get(workerId) ?? new Map<string, TrackedStart>();
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
        record: (workerId, { taskName, run }) => {
            const open = byWorker.get(workerId) ?? new Map<string, TrackedStart>();
            byWorker.set(workerId, open);
            open.set(runKey(taskName, run), { taskName, run, untilMs: clock.monotonicMs() + maxDelayMs });
        },
        has: (workerId, { taskName, run }) => openOf(workerId).has(runKey(taskName, run)),
        of: workerId => [...openOf(workerId).values()],
    };
};
