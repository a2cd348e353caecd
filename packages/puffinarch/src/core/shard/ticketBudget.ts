/**
 * Limits slow calls to the advisor, while capacity is short, to the most urgent steps that can use their tickets before these expire.
 * Without a limit every waiting step requests tickets for the little capacity that the first few take, and the calls of those wait
 * behind the others.
 */

import { estimatedEndMs, type ShardStep } from "./jobModel.js";
import { freeCapacityOf, isOpen, type ShardWorker } from "./workerTable.js";

/** Capacity that is still expected for steps that a pass has not visited yet. */
export interface TicketBudget {
    /**
     * Takes the processors of this many tasks of a step from the capacity that is expected while a ticket is valid. Returns whether
     * some was left for the step, so that it should request tickets.
     */
    take(step: ShardStep, waiting: number): boolean;
}

/** Steps get tickets for this multiple of the expected capacity, since estimates are off and each step may use only some workers. */
const oversubscription = 1.5;
/** Calls with a fixed cost below this are not limited; many of them fit into the time of one slow call. */
const quickCallMs = 50;
/**
 * A step that has been blocked beside free capacity for this long requests tickets in any case. Accepted work may wait for at most 3 s
 * there, and a slow call takes up to 1.5 s.
 */
const maxBlockedWithoutTicketsMs = 500;

/**
 * Gives the processors, in thousandths of a core, that are free on open workers now or when the runs that are expected to end within
 * a time have ended.
 *
 * @example
 * expectedCpuMillis(workers.values(), clock.monotonicMs(), 2_000);
 */
export const expectedCpuMillis = (workers: Iterable<ShardWorker>, nowMs: number, withinMs: number): number => {
    let sum = 0;
    for (const worker of workers) {
        if (!isOpen(worker, nowMs)) {
            continue;
        }
        sum += Math.max(0, freeCapacityOf(worker).cpuMillis);
        for (const run of worker.runs.values()) {
            sum += estimatedEndMs(run, nowMs) <= nowMs + withinMs ? run.held.cpuMillis : 0;
        }
    }
    return sum;
};

/**
 * Creates the budget of one pass.
 *
 * @example
 * const budget = createTicketBudget([...workers.values()], clock.monotonicMs());
 * if (budget.take(step, 5)) { requester.requestTickets(request); }
 */
export const createTicketBudget = (workers: readonly ShardWorker[], nowMs: number): TicketBudget => {
    const expectedByValidity = new Map<number, number>();
    let taken = 0;

    const expectedWithin = (validMs: number): number => {
        const known = expectedByValidity.get(validMs);
        const expected = known ?? expectedCpuMillis(workers, nowMs, validMs);
        expectedByValidity.set(validMs, expected);
        return expected;
    };

    const isBlockedLong = ({ blockedAtMs }: ShardStep): boolean =>
        blockedAtMs !== undefined && nowMs - blockedAtMs >= maxBlockedWithoutTicketsMs;

    return {
        take: (step, waiting) => {
            const takenBefore = taken;
            taken += waiting * step.spec.size.cpuMillis;
            const { advice } = step.occurrence.job.queue;
            return advice === undefined || advice.decideMs < quickCallMs || isBlockedLong(step)
                || takenBefore < oversubscription * expectedWithin(advice.validMs);
        },
    };
};
