/** Placement handlers: how a policy picks one worker among those with room. */

import type { Ledger, LedgerWorker } from "../core/ledger.js";
import type { Random } from "../types/ports.js";
import { fits, type Resources } from "../types/resources.js";

/** What a placement handler decides on. */
export interface PlacementInput {
    readonly ledger: Ledger;
    readonly size: Resources;
    readonly random: Random;
    /** Candidates that `randomOfK` looks at. */
    readonly sampleSize: number;
    /** Workers that are taken only where no other has room. */
    readonly avoid: ReadonlySet<string>;
}

/** A handler's choice, and among how many it chose. */
export interface PlacementChoice {
    readonly worker: LedgerWorker | undefined;
    readonly alternatives: number;
}

/** Picks one worker, or none. */
export type PlacementHandler = (input: PlacementInput) => PlacementChoice;

const maxLooks = 16;

const leftOver = (worker: LedgerWorker, size: Resources): number =>
    (worker.free.cpuMillis - size.cpuMillis) / Math.max(1, worker.capacity.cpuMillis)
    + (worker.free.memoryMib - size.memoryMib) / Math.max(1, worker.capacity.memoryMib)
    + (worker.free.accelerators - size.accelerators) / Math.max(1, worker.capacity.accelerators);

const avoidedScore = 1_000;

const bestOf = (
    workers: Iterable<LedgerWorker>,
    avoid: ReadonlySet<string>,
    score: (worker: LedgerWorker) => number,
): PlacementChoice => {
    let best: LedgerWorker | undefined;
    let bestScore = Infinity;
    let looks = 0;
    for (const worker of workers) {
        looks += 1;
        const workerScore = score(worker) + (avoid.has(worker.workerId) ? avoidedScore : 0);
        if (workerScore < bestScore) {
            best = worker;
            bestScore = workerScore;
        }
        if (looks === maxLooks) {
            break;
        }
    }
    return { worker: best, alternatives: looks };
};

const bestFit: PlacementHandler = ({ ledger, size, avoid }) =>
    bestOf(ledger.candidates(size), avoid, worker => leftOver(worker, size));

const worstFit: PlacementHandler = ({ ledger, size, avoid }) =>
    bestOf(ledger.emptiest(size), avoid, worker => -leftOver(worker, size));

const firstFit: PlacementHandler = ({ ledger, size }) => {
    let looks = 0;
    for (const worker of ledger.workers()) {
        looks += 1;
        if (worker.open && fits(size, worker.free)) {
            return { worker, alternatives: looks };
        }
    }
    return { worker: undefined, alternatives: 0 };
};

const randomOfK: PlacementHandler = input => {
    const { ledger, size, random, sampleSize, avoid } = input;
    const sample: LedgerWorker[] = [];
    for (let look = 0; look < sampleSize; look += 1) {
        const worker = ledger.openAt(Math.floor(random.next() * ledger.openCount()));
        if (worker !== undefined && fits(size, worker.free)) {
            sample.push(worker);
        }
    }
    const choice = bestOf(sample, avoid, worker => leftOver(worker, size));
    return choice.worker === undefined ? bestFit(input) : choice;
};

/**
 * Handlers by name; a policy of the configuration names one. `gang` packs tightly, so that whole gangs find room.
 *
 * @example
 * placements.bestFit({ ledger, size, random, sampleSize: 2, avoid: new Set() }).worker?.workerId;
 */
export const placements = { bestFit, worstFit, firstFit, randomOfK, gang: bestFit } as const;

/** Name of a placement handler. */
export type PlacementName = keyof typeof placements;
/** Names that a policy may give. */
export const placementNames = Object.keys(placements) as readonly PlacementName[];
