/**
 * Starts that got no answer, by worker. Such an order names the worker's id alone and may be carried out later, by a life that
 * knows neither that it was stopped nor under which token it was sent. Each next life is therefore told to refuse it.
 */

import type { Clock } from "../../types/ports.js";
import { runKey } from "./workerTable.js";

/** An order by its task and run. */
export interface LateOrder {
    readonly taskName: string;
    readonly run: number;
}

/** Remembers orders that may still be carried out. */
export interface LateOrders {
    /** A copy of the order to this worker got no answer. */
    note(workerId: string, order: LateOrder): void;
    /** Whether a copy may still be under way. */
    has(workerId: string, order: LateOrder): boolean;
    /** All that may still be under way to a worker. */
    of(workerId: string): readonly LateOrder[];
}

/** Whatever delays an order on its way to a worker, or in one that is busy, is over by then: more than two leases. */
const lateOrderMs = 12_000;

interface Expected extends LateOrder {
    readonly untilMs: number;
}

/**
 * Makes the memory of one owner.
 *
 * @example
 * const late = createLateOrders(clock);
 * late.note("i-1", { taskName: "5c0e7a21d94b36f8.0.1.17", run: 2 });
 * late.of("i-1").length; // 1
 */
export const createLateOrders = (clock: Clock): LateOrders => {
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
            open.set(runKey(taskName, run), { taskName, run, untilMs: clock.monotonicMs() + lateOrderMs });
        },
        has: (workerId, { taskName, run }) => openOf(workerId).has(runKey(taskName, run)),
        of: workerId => [...openOf(workerId).values()],
    };
};
