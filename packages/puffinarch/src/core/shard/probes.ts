/**
 * Which daemons a daemon pings. Each pings a few, chosen alike by all from the table of members, so that what membership
 * costs a VM stays level while the cell grows: 599 calls a second in a cell of 97 on the fakes, 5,280 where everyone pings
 * everyone.
 */

import type { MemberRow } from "../../types/cellPorts.js";
import { hash } from "../../utils/rendezvous.js";

/**
 * The first daemons in the order of claims ping the owner at every round. Eight in several data centres are not lost all at
 * once but with their whole cell, and a daemon of a small cell is always among them.
 */
export const watcherCount = 8;
/** Peers that each daemon pings for news of the owner and the configuration: a change reaches 300 daemons in three steps. */
export const neighbourCount = 8;
/** Daemons that an owner keeps at hand as lanes to the advisor; a cell of 440 starts a second asks 9 at once on average. */
export const laneCount = 32;
/** Daemons asked whether they see the owner: the watchers, and a few more that tell a minority. */
export const opinionCount = 12;

/** The other daemons that ping the owner send it one ping each so many milliseconds together. */
const followerShareMs = 20;
/** Each of the first places in the order of claims waits this much longer than the one before. */
const firstPlaces = 8;
/** Where all of the first are lost, each place after them waits this much longer; a claim that meets another costs a write. */
const laterPlaceMs = 10;

/** What the order of claims needs to know of a daemon. */
export interface ClaimCandidate {
    readonly memberId: string;
    /** Whether its VM has about as much as the best of all. */
    readonly strong: boolean;
}

const byScore = (key: string) => {
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
 * The order in which daemons claim the shard after the owner of this version, strong VMs first; all compute it alike.
 *
 * @example
 * claimOrder([{ memberId: "a", strong: false }, { memberId: "b", strong: true }], 7)[0]?.memberId; // "b"
 */
export const claimOrder = <T extends ClaimCandidate>(candidates: readonly T[], version: number): readonly T[] => {
    const score = byScore(String(version));
    return [...candidates].sort((left, right) => Number(right.strong) - Number(left.strong) || score(left, right));
};

/**
 * The order in which a daemon pings its peers for news, which differs from daemon to daemon. The first are its neighbours: the
 * same ones each time, so that their connections stay open.
 *
 * @example
 * newsOrder("entry-1", members).slice(0, neighbourCount);
 */
export const newsOrder = (memberId: string, members: readonly MemberRow[]): readonly MemberRow[] =>
    [...members].sort(byScore(memberId));

/**
 * How long a daemon that is not among the watchers waits between two pings of the owner.
 *
 * @example
 * followerPauseMs(97, 200); // 1940
 */
export const followerPauseMs = (members: number, shortestMs: number): number =>
    Math.max(shortestMs, members * followerShareMs);

/**
 * How long a daemon leaves a claim to those before it.
 *
 * @example
 * placeDelayMs(2, 120); // 240
 */
export const placeDelayMs = (place: number, eachMs: number): number =>
    Math.min(place, firstPlaces) * eachMs + Math.max(0, place - firstPlaces) * laterPlaceMs;
