/** Giving a shard to a peer: when its owner's process stops, or its VM has turned slow. */

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
}

/** When a daemon started, from its incarnation; 0 where it is unknown. */
const startedAt = (peers: Peers, peerId: string): number =>
    Number.parseInt(peers.all.get(peerId)?.incarnation ?? "0", 10);

/**
 * Lets a peer claim the shard; the one that started last is the least likely to stop soon. False where none did.
 *
 * @example
 * const claimed = await handOver(shard, "leaving", { clock, log, peers, selfId });
 */
export const handOver = async (
    shard: ShardOwner,
    why: string,
    { clock, log, peers, selfId }: HandOverOptions,
): Promise<boolean> => {
    await Promise.race([shard.idle(), sleep(clock, pingTimeoutMs)]);
    const candidates = peers.live().filter(id => id !== selfId && !peers.isLeaving(id));
    for (const peerId of candidates.sort((left, right) => startedAt(peers, right) - startedAt(peers, left))) {
        const address = peers.all.get(peerId)?.address;
        if (address === undefined) {
            continue;
        }
        const answer = await peers.ask(address, "handOver", { token: shard.fencingToken }, 2 * pingTimeoutMs);
        const claimed = answer?.claimed ?? false;
        log.write("info", "handOver", { to: peerId, claimed, why });
        if (claimed) {
            return true;
        }
    }
    return false;
};
