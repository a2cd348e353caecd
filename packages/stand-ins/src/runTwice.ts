/** Finds tasks whose executions overlapped, and at-most-once tasks that ran more than once, in the records of the workers. */

import { jobIdOf } from "puffinarch";
import type { Execution } from "./worker.js";

/**
 * Groups items by a key; groups and their items keep the order of the input.
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

/** True where an execution started before the previous one had ended; one without an end has not ended. */
const runsOverlap = (executions: readonly Execution[]): boolean => {
    const sorted = [...executions].sort((left, right) => left.startedAtMs - right.startedAtMs);
    return sorted.some((execution, index) =>
        index > 0 && execution.startedAtMs < (sorted[index - 1]?.endedAtMs ?? Infinity)
    );
};

/**
 * Lists the tasks that ran twice at a time, and the tasks of at-most-once jobs that ran more than once.
 *
 * @example
 * tasksRunTwice(cell.executions(), new Set(["payout-17"])); // []
 */
export const tasksRunTwice = (
    executions: readonly Execution[],
    atMostOnceJobs: ReadonlySet<string>,
): readonly string[] => {
    const twice: string[] = [];
    for (const [taskId, runs] of groupBy(executions, execution => execution.taskId)) {
        const brokeAtMostOnce = atMostOnceJobs.has(jobIdOf(taskId)) && runs.length > 1;
        if (brokeAtMostOnce || runsOverlap(runs)) {
            twice.push(taskId);
        }
    }
    return twice;
};
