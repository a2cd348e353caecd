/** Hands a shard over to a peer: when the owner's process stops, or its VM has become slow or is weaker than a peer's. */

import type { HandOverReason } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { sleep } from "../../utils/time.js";
import { type Peers, pingTimeoutMs } from "./peers.js";
import type { ShardOwner } from "./shardOwner.js";

/** Dependencies of a hand-over. */
export interface HandOverOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly peers: Peers;
    readonly selfId: string;
    /** Returns true once the shard has another owner, so that no further peer is asked. */
    readonly isOver: () => boolean;
}

/** Start time of a daemon, taken from its incarnation; 0 where it is unknown. */
const startedAtMs = (peers: Peers, peerId: string): number =>
    Number.parseInt(peers.all.get(peerId)?.incarnation ?? "0", 10);

/**
 * Asks peers one after the other to claim the shard: strong VMs first, and among equals the one that started last, which is the
 * least likely to stop soon. Returns false where none of them claimed it.
 *
 * @example
 * const claimed = await handOver(shard, "leaving", { clock, log, peers, selfId, isOver: () => false });
 */
export const handOver = async (
    shard: ShardOwner,
    why: HandOverReason,
    { clock, log, peers, selfId, isOver }: HandOverOptions,
): Promise<boolean> => {
    await Promise.race([shard.idle(), sleep(clock, pingTimeoutMs)]);
    const candidates = peers.live().filter(id => id !== selfId && !peers.isLeaving(id));
    const byPreference = (left: string, right: string): number =>
        Number(peers.isStrong(right)) - Number(peers.isStrong(left))
        || startedAtMs(peers, right) - startedAtMs(peers, left);
    for (const peerId of candidates.sort(byPreference)) {
        const address = peers.all.get(peerId)?.address;
        if (address === undefined) {
            continue;
        }
        const order = { token: shard.fencingToken, why };
        const answer = await peers.ask(address, "handOver", order, { timeoutMs: 2 * pingTimeoutMs });
        const claimed = answer?.claimed ?? false;
        log.write("info", "handOver", { to: peerId, claimed, why });
        // A claim may have taken effect although its answer came too late.
        if (claimed || isOver()) {
            return true;
        }
    }
    return false;
};
