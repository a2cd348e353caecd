/** Giving a shard to a peer: when its owner's process stops, or its VM has turned slow. */

import type { HandOverReason } from "../../types/cellPorts.js";
import type { Clock, Log } from "../../types/ports.js";
import { sleep } from "../../utils/time.js";
import { type Peers, pingTimeoutMs } from "./peers.js";
import type { ShardOwner } from "./shardOwner.js";

/** What a hand-over needs. */
export interface HandOverOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly peers: Peers;
    readonly selfId: string;
    /** True once the shard has another owner, so that nobody else is asked. */
    readonly isOver: () => boolean;
}

/** When a daemon started, from its incarnation; 0 where it is unknown. */
const startedAt = (peers: Peers, peerId: string): number =>
    Number.parseInt(peers.all.get(peerId)?.incarnation ?? "0", 10);

/**
 * Lets a peer claim the shard: a strong one, and of these the one that started last, which is the least likely to stop soon.
 * False where none did.
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
    const strongFirst = (left: string, right: string): number =>
        Number(peers.isStrong(right)) - Number(peers.isStrong(left))
        || startedAt(peers, right) - startedAt(peers, left);
    for (const peerId of candidates.sort(strongFirst)) {
        const address = peers.all.get(peerId)?.address;
        if (address === undefined) {
            continue;
        }
        const order = { token: shard.fencingToken, why };
        const answer = await peers.ask(address, "handOver", order, { timeoutMs: 2 * pingTimeoutMs });
        const claimed = answer?.claimed ?? false;
        log.write("info", "handOver", { to: peerId, claimed, why });
        // A claim may take effect although its answer came too late.
        if (claimed || isOver()) {
            return true;
        }
    }
    return false;
};
