/**
 * Routes callers' requests: to a free slot of an upstream that this daemon owns, else to a peer with free slots, preferably
 * in the same data centre, else to the queue for this daemon's own slots, else to a peer without free slots.
 */

import type { SessionRow } from "../types/ownership.js";
import type { Clock, Random } from "../types/ports.js";
import { die } from "../utils/errors.js";
import type { Membership } from "./membership.js";
import type { Slot, Slots } from "./slots.js";

/** A slot of an upstream that this daemon owns, or a peer that owns upstreams of the service. */
export type Route =
    | { readonly kind: "slot"; readonly slot: Slot; }
    | {
        readonly kind: "peer";
        readonly sessionId: string;
        readonly address: string;
        /** Number of peers that own upstreams of the service. */
        readonly alternatives: number;
        /** Has to be called once the peer has answered or failed. */
        done(): void;
    };

/** Chooses a route for each request. */
export interface Router {
    /**
     * Chooses a route; waits for one of this daemon's own slots until `giveUpAtMs` on the monotonic clock. Rejects with
     * `notRun` or `overloaded`. A request that a peer forwarded is not forwarded again.
     */
    route(service: string, forwarded: boolean, giveUpAtMs: number): Promise<Route>;
}

/** Dependencies and settings of a router. */
export interface RouterOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly slots: Slots;
    readonly membership: Membership;
    readonly dataCentre: string;
}

interface PeerSlots {
    readonly session: SessionRow;
    /** Free slots according to its gossip, less the requests that this daemon has in flight to it. */
    readonly free: number;
}

/**
 * Creates a router.
 *
 * @example
 * const route = await router.route("mesa-comun", false, clock.monotonicMs() + 1_000);
 */
export const createRouter = ({ clock, random, slots, membership, dataCentre }: RouterOptions): Router => {
    const inFlight = new Map<string, number>();

    const peersServing = (service: string): readonly PeerSlots[] => {
        const peers: PeerSlots[] = [];
        for (const session of membership.peers()) {
            const gossip = membership.gossipOf(session.sessionId);
            const free = gossip?.freeSlots[service];
            if (free !== undefined && gossip?.draining === false) {
                peers.push({ session, free: free - (inFlight.get(session.sessionId) ?? 0) });
            }
        }
        return peers;
    };

    const forward = (peers: readonly PeerSlots[], chosen: PeerSlots): Route => {
        const { sessionId, address } = chosen.session;
        inFlight.set(sessionId, (inFlight.get(sessionId) ?? 0) + 1);
        let open = true;
        return {
            kind: "peer",
            sessionId,
            address,
            alternatives: peers.length,
            done: () => {
                if (open) {
                    open = false;
                    inFlight.set(sessionId, (inFlight.get(sessionId) ?? 1) - 1);
                }
            },
        };
    };

    const leastLoadedOfTwo = (peers: readonly PeerSlots[]): PeerSlots | undefined => {
        const first = peers[Math.floor(random.next() * peers.length)];
        const second = peers[Math.floor(random.next() * peers.length)];
        return (second?.free ?? 0) > (first?.free ?? 0) ? second : first;
    };

    return {
        route: async (service, forwarded, giveUpAtMs) => {
            const slot = slots.tryTake(service);
            if (slot !== undefined) {
                return { kind: "slot", slot };
            }
            const peers = forwarded ? [] : peersServing(service);
            const withFreeSlots = peers.filter(peer => peer.free > 0);
            const local = withFreeSlots.filter(peer => peer.session.dataCentre === dataCentre);
            const chosen = leastLoadedOfTwo(local.length > 0 ? local : withFreeSlots);
            if (chosen !== undefined) {
                return forward(peers, chosen);
            }
            if (slots.serves(service)) {
                return { kind: "slot", slot: await slots.take(service, giveUpAtMs) };
            }
            const busyPeer = leastLoadedOfTwo(peers);
            if (busyPeer !== undefined) {
                return forward(peers, busyPeer);
            }
            const retryAfterMs = 1_000;
            return die("notRun", `no upstream of ${service} is known at ${clock.nowMs()}`, { retryAfterMs });
        },
    };
};
