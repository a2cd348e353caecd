/** Placement handlers: each selects one worker among those with enough free resources. */

import type { Ledger, LedgerWorker } from "../core/ledger.js";
import type { Random } from "../types/ports.js";
import { fits, type Resources } from "../types/resources.js";

/** Input of a placement handler. */
export interface PlacementInput {
    readonly ledger: Ledger;
    /** Resources that the task needs. */
    readonly size: Resources;
    readonly random: Random;
    /** Number of workers that `randomOfK` draws. */
    readonly sampleSize: number;
    /** Ids of workers that are chosen only where no other candidate has enough free resources; `firstFit` ignores them. */
    readonly avoid: ReadonlySet<string>;
}

/** Result of a placement handler. */
export interface PlacementChoice {
    readonly worker: LedgerWorker | undefined;
    /** Number of workers that were examined. */
    readonly alternatives: number;
}

/** Selects one worker, or none where no worker has enough free resources. */
export type PlacementHandler = (input: PlacementInput) => PlacementChoice;

/** Maximum number of candidates to compare, which bounds the cost of a placement in a large cluster. */
const maxCandidates = 16;

/** Sum over the resources of the fraction of the worker's capacity that stays free once the task is placed. */
const leftoverShare = (worker: LedgerWorker, size: Resources): number =>
    (worker.free.cpuMillis - size.cpuMillis) / Math.max(1, worker.capacity.cpuMillis)
    + (worker.free.memoryMib - size.memoryMib) / Math.max(1, worker.capacity.memoryMib)
    + (worker.free.accelerators - size.accelerators) / Math.max(1, worker.capacity.accelerators);

/** Exceeds every difference in `leftoverShare`, so that a worker to avoid ranks behind all others. */
const avoidedPenalty = 1_000;

const bestOf = (
    workers: Iterable<LedgerWorker>,
    avoid: ReadonlySet<string>,
    score: (worker: LedgerWorker) => number,
): PlacementChoice => {
    let best: LedgerWorker | undefined;
    let bestScore = Infinity;
    let examined = 0;
    for (const worker of workers) {
        examined += 1;
        const workerScore = score(worker) + (avoid.has(worker.workerId) ? avoidedPenalty : 0);
        if (workerScore < bestScore) {
            best = worker;
            bestScore = workerScore;
        }
        if (examined === maxCandidates) {
            break;
        }
    }
    return { worker: best, alternatives: examined };
};

const bestFit: PlacementHandler = ({ ledger, size, avoid }) =>
    bestOf(ledger.candidates(size), avoid, worker => leftoverShare(worker, size));

const worstFit: PlacementHandler = ({ ledger, size, avoid }) =>
    bestOf(ledger.emptiest(size), avoid, worker => -leftoverShare(worker, size));

const firstFit: PlacementHandler = ({ ledger, size }) => {
    let examined = 0;
    for (const worker of ledger.workers()) {
        examined += 1;
        if (worker.open && fits(size, worker.free)) {
            return { worker, alternatives: examined };
        }
    }
    return { worker: undefined, alternatives: 0 };
};

const randomOfK: PlacementHandler = input => {
    const { ledger, size, random, sampleSize, avoid } = input;
    const sample: LedgerWorker[] = [];
    for (let draw = 0; draw < sampleSize; draw += 1) {
        const worker = ledger.openAt(Math.floor(random.next() * ledger.openCount()));
        if (worker !== undefined && fits(size, worker.free)) {
            sample.push(worker);
        }
    }
    const choice = bestOf(sample, avoid, worker => leftoverShare(worker, size));
    return choice.worker === undefined ? bestFit(input) : choice;
};

/**
 * Placement handlers by the name that a policy of the configuration gives:
 * - `bestFit`: the worker that keeps the least free resources, which packs tasks tightly.
 * - `worstFit`: the worker that keeps the most free resources, which spreads tasks.
 * - `firstFit`: the first worker in the order of the ledger.
 * - `randomOfK`: the best fit among `sampleSize` random workers; `bestFit` where the task fits none of them.
 * - `gang`: the same as `bestFit`; tight packing keeps workers free for whole gangs.
 *
 * @example
 * placements.bestFit({ ledger, size, random, sampleSize: 2, avoid: new Set() }).worker?.workerId;
 */
export const placements = { bestFit, worstFit, firstFit, randomOfK, gang: bestFit } as const;

/** Name of a placement handler. */
export type PlacementName = keyof typeof placements;
/** All names of placement handlers. */
export const placementNames = Object.keys(placements) as readonly PlacementName[];
