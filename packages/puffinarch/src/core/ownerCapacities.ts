/**
 * A home's estimate of the free capacity at each rack owner: the last gossip, less the sizes of the tasks that the home has
 * assigned to that owner since.
 */

import type { PlacementName } from "../plugins/placements.js";
import type { Random } from "../types/ports.js";
import { fits, type Resources, subtract } from "../types/resources.js";

/** Estimated free capacity of one rack owner. */
export interface OwnerCapacity {
    readonly sessionId: string;
    /** True if the owner is in the data centre of this daemon; such owners are preferred. */
    readonly inSameDataCentre: boolean;
    /** Sum over the owner's workers that accept any task. */
    readonly free: Resources;
    /** Free capacity of the worker with the most free processors. */
    readonly mostFree: Resources;
}

/** Estimated free capacity of all known rack owners. */
export interface OwnerCapacities {
    /**
     * Picks an owner for a task and subtracts the task's size from its free capacity; undefined if no owner seems to have
     * enough.
     */
    choose(size: Resources, placement: PlacementName): string | undefined;
    /** Excludes an owner that refused a task. */
    refuse(sessionId: string): void;
    /** Session ids of the owners that are not excluded. */
    owners(): readonly string[];
}

type Comparator = (left: OwnerCapacity, right: OwnerCapacity) => number;

const mostFreeCpuFirst: Comparator = (left, right) => right.free.cpuMillis - left.free.cpuMillis;
const leastFreeCpuFirst: Comparator = (left, right) => left.free.cpuMillis - right.free.cpuMillis;
const unordered: Comparator = () => 0;

const comparators: Readonly<Record<PlacementName, Comparator>> = {
    bestFit: leastFreeCpuFirst,
    gang: leastFreeCpuFirst,
    worstFit: mostFreeCpuFirst,
    firstFit: unordered,
    randomOfK: unordered,
};

/**
 * Creates the estimates for one round of offers.
 *
 * @example
 * createOwnerCapacities([], random).choose(noResources, "bestFit"); // undefined
 */
export const createOwnerCapacities = (known: readonly OwnerCapacity[], random: Random): OwnerCapacities => {
    const ownersById = new Map(known.map(room => [room.sessionId, room]));

    const candidates = (size: Resources): readonly OwnerCapacity[] => {
        const fitting = [...ownersById.values()].filter(room => fits(size, room.mostFree) && fits(size, room.free));
        const local = fitting.filter(room => room.inSameDataCentre);
        return local.length > 0 ? local : fitting;
    };

    return {
        choose: (size, placement) => {
            const fitting = candidates(size);
            const order = comparators[placement];
            const ordered = order === unordered ? fitting : [...fitting].sort(order);
            const chosen = order === unordered ? ordered[Math.floor(random.next() * ordered.length)] : ordered[0];
            if (chosen === undefined) {
                return undefined;
            }
            ownersById.set(chosen.sessionId, { ...chosen, free: subtract(chosen.free, size) });
            return chosen.sessionId;
        },
        refuse: sessionId => {
            ownersById.delete(sessionId);
        },
        owners: () => [...ownersById.keys()],
    };
};
