/**
 * The workers with enough free capacity for at least the smallest waiting task. While a shard is full these are few, and a pass that
 * examines only them costs little however many steps wait.
 */

import { fits, type Resources, smallest } from "../../types/resources.js";
import { reservedResources, type ShardStep } from "./jobModel.js";
import { freeCapacityOf, type ShardWorker } from "./workerTable.js";

/** The smallest amount of each resource that a task of any of the steps reserves; undefined without steps. */
const smallestNeed = (steps: Iterable<ShardStep>): Resources | undefined => {
    let need: Resources | undefined;
    for (const { spec } of steps) {
        const held = reservedResources(spec);
        need = need === undefined ? held : smallest(need, held);
    }
    return need;
};

/**
 * Lists the workers on which a task of at least one of the steps might fit now. Capacity that is reserved is not considered.
 *
 * @example
 * const roomy = roomyWorkers(workers.values(), readySteps);
 */
export const roomyWorkers = (workers: Iterable<ShardWorker>, steps: Iterable<ShardStep>): readonly ShardWorker[] => {
    const need = smallestNeed(steps);
    if (need === undefined) {
        return [];
    }
    const roomy: ShardWorker[] = [];
    for (const worker of workers) {
        if (fits(need, freeCapacityOf(worker))) {
            roomy.push(worker);
        }
    }
    return roomy;
};
