/** Hands a shard over to a peer: when the owner's process stops, or its VM has become slow or is weaker than a peer's. */

import type { HandOverReason } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { sleep } from "../../utils/time.js";
import { type Peers, pingTimeoutMs } from "./peers.js";
import type { ShardOwner } from "./shardOwner.js";
import type { ClosedGate } from "./startGate.js";

/** Dependencies of a hand-over. */
export interface HandOverOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly peers: Peers;
    readonly selfId: string;
    /** Returns true once the shard has another owner, so that no further peer is asked. */
    readonly isOver: () => boolean;
}

/**
 * Longest time until nothing of the owner is open. A start counts as unanswered after 150 ms, in a process that is late after up to 600 ms;
 * an owner that waited longer would keep its tasks from its successor.
 */
const maxQuietMs = 600;
/** Peers that answer nothing take 0.7 s each; after this time the owner places tasks for a while before it asks the next one. */
const maxAskMs = 1_500;
const placingPauseMs = 700;

/** Start time of a daemon, taken from its incarnation; 0 where it is unknown. */
const startedAtMs = (peers: Peers, peerId: string): number =>
    Number.parseInt(peers.all.get(peerId)?.incarnation ?? "0", 10);

/** Returns the ids of the peers that can be asked, in the order in which they are. */
const candidatesOf = (peers: Peers, selfId: string): readonly string[] => {
    const byPreference = (left: string, right: string): number =>
        Number(peers.isStrong(right)) - Number(peers.isStrong(left))
        || startedAtMs(peers, right) - startedAtMs(peers, left);
    return peers.live().filter(id => id !== selfId && !peers.isLeaving(id)).sort(byPreference);
};

/** Asks peers one after the other, and logs beside each answer what the owner has left open. */
const askInTurn = async (
    shard: ShardOwner,
    order: { readonly token: number; readonly why: HandOverReason; },
    { clock, log, peers, selfId, isOver }: HandOverOptions,
): Promise<boolean> => {
    let left: ClosedGate = await shard.quiesce(maxQuietMs);
    let quietSinceMs = clock.monotonicMs();
    // Read only now: an owner on a slow VM has read its peers' newest answers while its starts were settled.
    for (const peerId of candidatesOf(peers, selfId)) {
        // The shard may have been claimed while the owner's starts were settled.
        if (isOver()) {
            return true;
        }
        if (clock.monotonicMs() - quietSinceMs > maxAskMs) {
            shard.resume();
            await sleep(clock, placingPauseMs);
            left = await shard.quiesce(maxQuietMs);
            quietSinceMs = clock.monotonicMs();
        }
        const address = peers.all.get(peerId)?.address;
        if (address === undefined) {
            continue;
        }
        const answer = await peers.ask(address, "handOver", order, { timeoutMs: 2 * pingTimeoutMs });
        const claimed = answer?.claimed ?? false;
        log.write("info", "handOver", { to: peerId, claimed, why: order.why, ...left });
        if (claimed) {
            return true;
        }
    }
    // A claim may have taken effect although its answer came too late.
    return isOver();
};

/**
 * Settles the owner's starts, so that a successor has none to prove gone, and asks peers one after the other to claim the shard: strong VMs
 * first, and among equals the one that started last. No start is planned meanwhile, but for pauses between peers that do not answer. Returns
 * false where no peer claimed the shard, and the owner goes on.
 *
 * @example
 * const claimed = await handOver(shard, "leaving", { clock, log, peers, selfId, isOver: () => false });
 */
export const handOver = async (
    shard: ShardOwner,
    why: HandOverReason,
    options: HandOverOptions,
): Promise<boolean> => {
    let claimed = false;
    try {
        claimed = await askInTurn(shard, { token: shard.fencingToken, why }, options);
    }
    finally {
        if (!claimed) {
            shard.resume();
        }
    }
    return claimed;
};
