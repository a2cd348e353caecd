/** Where a caller's request goes: a free slot here, a peer with free slots (own data centre first), or the queue. */

import type { SessionRow } from "../types/ownership.js";
import type { Clock, Random } from "../types/ports.js";
import { die } from "../utils/errors.js";
import type { Membership } from "./membership.js";
import type { Slot, Slots } from "./slots.js";

/** A slot of an upstream owned here, or a peer that owns one. */
export type Route =
    | { readonly kind: "slot"; readonly slot: Slot; }
    | {
        readonly kind: "peer";
        readonly sessionId: string;
        readonly address: string;
        readonly alternatives: number;
        done(): void;
    };

/** Decides where requests go. */
export interface Router {
    /** Fails with `notRun` or `overloaded`; a forwarded request is never forwarded again. */
    route(service: string, forwarded: boolean, giveUpAtMs: number): Promise<Route>;
}

/** What a router needs. */
export interface RouterOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly slots: Slots;
    readonly membership: Membership;
    readonly dataCentre: string;
}

interface PeerRoom {
    readonly session: SessionRow;
    readonly free: number;
}

/**
 * Makes a router.
 *
 * @example
 * const route = await router.route("mesa-comun", false, clock.monotonicMs() + 1_000);
 */
export const createRouter = ({ clock, random, slots, membership, dataCentre }: RouterOptions): Router => {
    const underWay = new Map<string, number>();

    const serving = (service: string): readonly PeerRoom[] => {
        const rooms: PeerRoom[] = [];
        for (const session of membership.peers()) {
            const gossip = membership.gossipOf(session.sessionId);
            const free = gossip?.freeSlots[service];
            if (free !== undefined && gossip?.draining === false) {
                rooms.push({ session, free: free - (underWay.get(session.sessionId) ?? 0) });
            }
        }
        return rooms;
    };

    const forward = (rooms: readonly PeerRoom[], chosen: PeerRoom): Route => {
        const { sessionId, address } = chosen.session;
        underWay.set(sessionId, (underWay.get(sessionId) ?? 0) + 1);
        let open = true;
        return {
            kind: "peer",
            sessionId,
            address,
            alternatives: rooms.length,
            done: () => {
                if (open) {
                    open = false;
                    underWay.set(sessionId, (underWay.get(sessionId) ?? 1) - 1);
                }
            },
        };
    };

    const leastLoadedOfTwo = (rooms: readonly PeerRoom[]): PeerRoom | undefined => {
        const first = rooms[Math.floor(random.next() * rooms.length)];
        const second = rooms[Math.floor(random.next() * rooms.length)];
        return (second?.free ?? 0) > (first?.free ?? 0) ? second : first;
    };

    return {
        route: async (service, forwarded, giveUpAtMs) => {
            const slot = slots.tryTake(service);
            if (slot !== undefined) {
                return { kind: "slot", slot };
            }
            const rooms = forwarded ? [] : serving(service);
            const open = rooms.filter(room => room.free > 0);
            const near = open.filter(room => room.session.dataCentre === dataCentre);
            const chosen = leastLoadedOfTwo(near.length > 0 ? near : open);
            if (chosen !== undefined) {
                return forward(rooms, chosen);
            }
            if (slots.serves(service)) {
                return { kind: "slot", slot: await slots.take(service, giveUpAtMs) };
            }
            const any = leastLoadedOfTwo(rooms);
            if (any !== undefined) {
                return forward(rooms, any);
            }
            const retryAfterMs = 1_000;
            return die("notRun", `no upstream of ${service} is known at ${clock.nowMs()}`, { retryAfterMs });
        },
    };
};
