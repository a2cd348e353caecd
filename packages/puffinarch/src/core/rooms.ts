/** A home's estimate of the room at each rack owner, from gossip, lowered by what it has just offered there. */

import type { PlacementName } from "../plugins/placements.js";
import type { Random } from "../types/ports.js";
import { fits, type Resources, subtract } from "../types/resources.js";

/** Estimated room of one rack owner. */
export interface Room {
    readonly sessionId: string;
    readonly near: boolean;
    readonly free: Resources;
    readonly mostFree: Resources;
}

/** Estimated room of all known rack owners. */
export interface Rooms {
    /** Picks an owner for a task and lowers its room; undefined where nobody seems to have room. */
    choose(size: Resources, placement: PlacementName): string | undefined;
    /** Leaves an owner out from now on, since it refused. */
    refuse(sessionId: string): void;
    /** Owners that have not refused. */
    owners(): readonly string[];
}

type Order = (left: Room, right: Room) => number;

const emptiestFirst: Order = (left, right) => right.free.cpuMillis - left.free.cpuMillis;
const fullestFirst: Order = (left, right) => left.free.cpuMillis - right.free.cpuMillis;
const anyOrder: Order = () => 0;

const orders: Readonly<Record<PlacementName, Order>> = {
    bestFit: fullestFirst,
    gang: fullestFirst,
    worstFit: emptiestFirst,
    firstFit: anyOrder,
    randomOfK: anyOrder,
};

/**
 * Makes the estimate for one round of offers.
 *
 * @example
 * createRooms([], random).choose(noResources, "bestFit"); // undefined
 */
export const createRooms = (known: readonly Room[], random: Random): Rooms => {
    const rooms = new Map(known.map(room => [room.sessionId, room]));

    const candidates = (size: Resources): readonly Room[] => {
        const open = [...rooms.values()].filter(room => fits(size, room.mostFree) && fits(size, room.free));
        const near = open.filter(room => room.near);
        return near.length > 0 ? near : open;
    };

    return {
        choose: (size, placement) => {
            const open = candidates(size);
            const order = orders[placement];
            const ordered = order === anyOrder ? open : [...open].sort(order);
            const chosen = order === anyOrder ? ordered[Math.floor(random.next() * ordered.length)] : ordered[0];
            if (chosen === undefined) {
                return undefined;
            }
            rooms.set(chosen.sessionId, { ...chosen, free: subtract(chosen.free, size) });
            return chosen.sessionId;
        },
        refuse: sessionId => {
            rooms.delete(sessionId);
        },
        owners: () => [...rooms.keys()],
    };
};
