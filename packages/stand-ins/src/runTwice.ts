/** Finds tasks that ran in two places at once, or more often than once where once was promised, in the workers' evidence. */

import { jobIdOf } from "puffinarch";
import type { Execution } from "./worker.js";

/**
 * Groups items by a key, in their order.
 *
 * @example
 * groupBy(executions, execution => execution.taskId);
 */
export const groupBy = <T>(items: readonly T[], keyOf: (item: T) => string): ReadonlyMap<string, readonly T[]> => {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const group = groups.get(keyOf(item));
        if (group === undefined) {
            groups.set(keyOf(item), [item]);
        }
        else {
            group.push(item);
        }
    }
    return groups;
};

const overlap = (executions: readonly Execution[]): boolean => {
    const sorted = [...executions].sort((left, right) => left.startedAtMs - right.startedAtMs);
    return sorted.some((execution, index) =>
        index > 0 && execution.startedAtMs < (sorted[index - 1]?.endedAtMs ?? Infinity)
    );
};

/**
 * Lists the tasks that broke the promise to run once.
 *
 * @example
 * tasksRunTwice(cell.executions(), new Set(["payout-17"])); // []
 */
export const tasksRunTwice = (
    executions: readonly Execution[],
    onceOnlyJobs: ReadonlySet<string>,
): readonly string[] => {
    const twice: string[] = [];
    for (const [taskId, runs] of groupBy(executions, execution => execution.taskId)) {
        const tooOften = onceOnlyJobs.has(jobIdOf(taskId)) && runs.length > 1;
        if (tooOften || overlap(runs)) {
            twice.push(taskId);
        }
    }
    return twice;
};
