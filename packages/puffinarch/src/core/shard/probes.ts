/**
 * Selects the daemons that a daemon pings, and the order in which daemons claim the shard. Each daemon pings only a few others,
 * chosen by a hash over the table of members, so that the load on a VM stays constant as the cell grows: a cell of 97 daemons
 * makes 599 calls a second, and would make 5,280 if every daemon pinged every other.
 */

import type { MemberRow } from "../../types/cellPorts.js";
import { hash } from "../../utils/rendezvous.js";

/**
 * Number of watchers, the first daemons in the claim order, which ping the owner in every round. Eight daemons in several data
 * centres fail together only with the whole cell, and all daemons of a small cell are watchers.
 */
export const watcherCount = 8;
/** Peers that each daemon pings for newer owner rows and configurations; a change reaches 300 daemons in three hops. */
export const neighbourCount = 8;
/**
 * Number of lanes, the daemons through which an owner calls the advisor and which it therefore pings. The advisor serves one
 * call per VM at a time, and a cell with 440 starts a second has 9 calls in flight on average.
 */
export const laneCount = 32;
/** Daemons asked whether the owner answers them: the watchers and a few more, by which a daemon detects that it is in a minority. */
export const observerCount = 12;

/** Interval between the pings that the owner receives from all followers together, the daemons that are not watchers. */
const followerSpacingMs = 20;
/** Number of first ranks in the claim order that each add the full delay per rank. */
const earlyRanks = 8;
/** Additional delay of each later rank, for when all early ones have failed; a conflicting claim only costs a write. */
const laterRankDelayMs = 10;

/** A daemon in the claim order. */
export interface ClaimCandidate {
    readonly memberId: string;
    /** Whether its VM has at least half the processor time and network of the strongest. */
    readonly strong: boolean;
}

/** Compares daemons by their rendezvous hash for a key, highest first. */
const byRendezvousScore = (key: string) => {
    const scores = new Map<string, number>();
    const scoreOf = (memberId: string): number => {
        const known = scores.get(memberId);
        if (known !== undefined) {
            return known;
        }
        const score = hash(`${key}|${memberId}`);
        scores.set(memberId, score);
        return score;
    };
    return (left: { readonly memberId: string; }, right: { readonly memberId: string; }): number =>
        scoreOf(right.memberId) - scoreOf(left.memberId);
};

/**
 * Returns the order in which daemons claim the shard after the owner of this version, strong VMs first; the same on all daemons.
 *
 * @example
 * claimOrder([{ memberId: "a", strong: false }, { memberId: "b", strong: true }], 7)[0]?.memberId; // "b"
 */
export const claimOrder = <T extends ClaimCandidate>(candidates: readonly T[], version: number): readonly T[] => {
    const score = byRendezvousScore(String(version));
    return [...candidates].sort((left, right) => Number(right.strong) - Number(left.strong) || score(left, right));
};

/**
 * Returns the peers of a daemon in the order of its rendezvous hash, which differs from daemon to daemon. The first are its
 * neighbours, which stay the same so that their connections stay open.
 *
 * @example
 * neighbourOrder("entry-1", members).slice(0, neighbourCount);
 */
export const neighbourOrder = (memberId: string, members: readonly MemberRow[]): readonly MemberRow[] =>
    [...members].sort(byRendezvousScore(memberId));

/**
 * Returns the neighbours of a daemon. At least half of them are in other data centres, where there are as many: a daemon whose
 * neighbours are all in its own would notice late that it is cut off.
 *
 * @example
 * chooseNeighbours({ memberId: "entry-1", dataCentre: "leon-feria" }, members).length; // 8
 */
export const chooseNeighbours = (
    { memberId, dataCentre }: Pick<MemberRow, "memberId" | "dataCentre">,
    members: readonly MemberRow[],
): readonly MemberRow[] => {
    const order = neighbourOrder(memberId, members);
    const first = order.slice(0, neighbourCount);
    const isElsewhere = (member: MemberRow): boolean => member.dataCentre !== dataCentre;
    const elsewhere = order.filter(isElsewhere).slice(0, neighbourCount / 2);
    const missing = elsewhere.filter(member => !first.includes(member));
    const near = first.filter(member => !isElsewhere(member));
    const replaced = new Set(near.slice(near.length - Math.min(near.length, missing.length)));
    return [...first.filter(member => !replaced.has(member)), ...missing];
};

/**
 * Assigns each neighbour the turn in which it is pinged. Those of other data centres are spread evenly over the turns, and the others
 * take the turns between them; without other data centres, the turns follow the order of the neighbours.
 *
 * @example
 * neighbourTurns(neighbours, { dataCentre: "leon-feria", turns: 9 }).get(neighbours[0]); // 0
 */
export const neighbourTurns = (
    neighbours: readonly MemberRow[],
    { dataCentre, turns }: { readonly dataCentre: string; readonly turns: number; },
): ReadonlyMap<MemberRow, number> => {
    const elsewhere = neighbours.filter(member => member.dataCentre !== dataCentre);
    const near = neighbours.filter(member => member.dataCentre === dataCentre);
    const assigned = new Map(elsewhere.map((member, index) => [member, Math.floor(index * turns / elsewhere.length)]));
    const taken = new Set(assigned.values());
    const free = Array.from({ length: turns }, (_, turn) => turn).filter(turn => !taken.has(turn));
    for (const [index, member] of near.entries()) {
        assigned.set(member, free[index % Math.max(1, free.length)] ?? 0);
    }
    return assigned;
};

/**
 * Returns the interval, in ms, at which a daemon that is not a watcher pings the owner.
 *
 * @example
 * followerPauseMs(97, 200); // 1940
 */
export const followerPauseMs = (members: number, shortestMs: number): number =>
    Math.max(shortestMs, members * followerSpacingMs);

/**
 * Returns the delay of a claim, in ms, on a daemon with `rank` candidates ahead of it.
 *
 * @example
 * delayForRankMs(2, 120); // 240
 */
export const delayForRankMs = (rank: number, eachMs: number): number =>
    Math.min(rank, earlyRanks) * eachMs + Math.max(0, rank - earlyRanks) * laterRankDelayMs;
