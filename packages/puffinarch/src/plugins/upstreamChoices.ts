/** Handlers that select one upstream among those with a free slot. */

import type { Random } from "../types/ports.js";

/** An upstream with at least one free slot. */
export interface UpstreamCandidate {
    readonly upstreamId: string;
    readonly slotsInUse: number;
}

/** Input of a handler. */
export interface UpstreamChoiceInput<T extends UpstreamCandidate> {
    readonly candidates: readonly T[];
    readonly random: Random;
    /** Number of selections made so far. */
    readonly sequence: number;
}

const leastOfTwo = <T extends UpstreamCandidate>({ candidates, random }: UpstreamChoiceInput<T>): T | undefined => {
    const first = candidates[Math.floor(random.next() * candidates.length)];
    const second = candidates[Math.floor(random.next() * candidates.length)];
    if (first === undefined || second === undefined) {
        return first ?? second;
    }
    return second.slotsInUse < first.slotsInUse ? second : first;
};

const roundRobin = <T extends UpstreamCandidate>({ candidates, sequence }: UpstreamChoiceInput<T>): T | undefined =>
    candidates[sequence % Math.max(1, candidates.length)];

/**
 * Handlers by the name that the settings give; each returns undefined where there are no candidates.
 * - `leastOfTwo`: of two random upstreams, the one with fewer slots in use.
 * - `roundRobin`: each upstream in turn.
 *
 * @example
 * upstreamChoices.roundRobin({ candidates: [{ upstreamId: "u1", slotsInUse: 0 }], random, sequence: 0 })?.upstreamId; // "u1"
 */
export const upstreamChoices = { leastOfTwo, roundRobin } as const;

/** Name of a handler that chooses upstreams. */
export type UpstreamChoiceName = keyof typeof upstreamChoices;
/** All names of handlers. */
export const upstreamChoiceNames = Object.keys(upstreamChoices) as readonly UpstreamChoiceName[];
