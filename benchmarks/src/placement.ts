/** Decisions of each policy on a ledger that is 90% full, by its size; and how tightly each policy packs. */

import { performance } from "node:perf_hooks";
import {
    createLedger,
    createSeededRandom,
    fits,
    type Ledger,
    type PlacementName,
    placementNames,
    placements,
    type Random,
    type Resources,
} from "puffinarch";
import { type Benchmark, createSample, round, type Row } from "./benchmark.js";

const capacity: Resources = { cpuMillis: 16_000, memoryMib: 32_768, accelerators: 2 };
const shapes: readonly Resources[] = [
    { cpuMillis: 250, memoryMib: 512, accelerators: 0 },
    { cpuMillis: 500, memoryMib: 2_048, accelerators: 0 },
    { cpuMillis: 1_000, memoryMib: 1_024, accelerators: 0 },
    { cpuMillis: 2_000, memoryMib: 8_192, accelerators: 0 },
    { cpuMillis: 4_000, memoryMib: 4_096, accelerators: 1 },
    { cpuMillis: 8_000, memoryMib: 12_288, accelerators: 0 },
];
const fullShare = 0.9;
const sampleSize = 4;
const noAvoid: ReadonlySet<string> = new Set();
const warmUpDecisions = 2_000;

const anyShape = (random: Random): Resources => shapes[Math.floor(random.next() * shapes.length)] ?? capacity;

interface Cell {
    readonly ledger: Ledger;
    readonly held: string[];
    readonly sizes: Map<string, Resources>;
    attempts: number;
}

const newCell = (workers: number): Cell => {
    const ledger = createLedger();
    for (let index = 0; index < workers; index += 1) {
        ledger.addWorker(`w${index}`, `r${Math.floor(index / 40)}`, capacity);
        ledger.setOpen(`w${index}`, true);
    }
    return { ledger, held: [], sizes: new Map(), attempts: 0 };
};

const decide = (cell: Cell, policy: PlacementName, size: Resources, random: Random): boolean => {
    const { worker } = placements[policy]({ ledger: cell.ledger, size, random, sampleSize, avoid: noAvoid });
    cell.attempts += 1;
    const attemptId = `a${cell.attempts}`;
    if (worker === undefined || !cell.ledger.reserve(worker.workerId, attemptId, size)) {
        return false;
    }
    cell.held.push(attemptId);
    cell.sizes.set(attemptId, size);
    return true;
};

const endAny = (cell: Cell, random: Random): void => {
    const place = Math.floor(random.next() * cell.held.length);
    const attemptId = cell.held[place];
    const last = cell.held.pop();
    if (attemptId === undefined || last === undefined) {
        return;
    }
    if (place < cell.held.length) {
        cell.held[place] = last;
    }
    cell.ledger.release(attemptId);
    cell.sizes.delete(attemptId);
};

/** Fills by a quick policy, so that the large sizes do not take minutes; the decisions that follow are the policy's. */
const fill = (cell: Cell, workers: number, random: Random): void => {
    let cpuMillis = 0;
    while (cpuMillis < workers * capacity.cpuMillis * fullShare) {
        const size = anyShape(random);
        cpuMillis += size.cpuMillis;
        decide(cell, "randomOfK", size, random);
    }
};

const lowerBound = (sizes: Iterable<Resources>): number => {
    let [cpuMillis, memoryMib, accelerators] = [0, 0, 0];
    for (const size of sizes) {
        cpuMillis += size.cpuMillis;
        memoryMib += size.memoryMib;
        accelerators += size.accelerators;
    }
    return Math.ceil(
        Math.max(cpuMillis / capacity.cpuMillis, memoryMib / capacity.memoryMib, accelerators / capacity.accelerators),
    );
};

const countOvercommits = (ledger: Ledger): number =>
    ledger.workers().filter(worker => !fits(worker.reserved, worker.capacity)).length;

/** Workers in use over the fewest that could hold the same tasks, when a cell is filled to two thirds from empty. */
const packingOf = (policy: PlacementName, seed: number): number => {
    const workers = 300;
    const random = createSeededRandom(seed);
    const cell = newCell(workers);
    for (let cpuMillis = 0; cpuMillis < workers * capacity.cpuMillis * 2 / 3;) {
        const size = anyShape(random);
        cpuMillis += size.cpuMillis;
        decide(cell, policy, size, random);
    }
    const used = cell.ledger.workers().filter(worker => worker.reserved.cpuMillis > 0).length;
    return used / lowerBound(cell.sizes.values());
};

const measure = (workers: number, policy: PlacementName, decisions: number, seed: number): Row => {
    const random = createSeededRandom(seed);
    const cell = newCell(workers);
    fill(cell, workers, random);
    const sample = createSample();
    let spentMs = 0;
    for (let count = -warmUpDecisions; count < decisions; count += 1) {
        const size = anyShape(random);
        const startedAtMs = performance.now();
        const placed = decide(cell, policy, size, random);
        const tookMs = performance.now() - startedAtMs;
        if (count >= 0) {
            spentMs += tookMs;
            sample.add(tookMs * 1_000);
        }
        if (placed) {
            endAny(cell, random);
        }
    }
    return {
        workers,
        policy,
        decisionsPerSecond: Math.round(decisions * 1_000 / spentMs),
        decisionP50Us: round(sample.percentile(50), 2),
        decisionP99Us: round(sample.percentile(99), 2),
        overcommits: countOvercommits(cell.ledger),
        packingRatio: round(packingOf(policy, seed)),
    };
};

/** Decisions a second and their spread at 30, 500 and 17,000 workers. */
export const placement: Benchmark = async ({ long, seed }) => {
    const rows: Row[] = [];
    for (const workers of [30, 500, 17_000]) {
        for (const policy of placementNames) {
            const slow = policy === "firstFit" && workers > 1_000;
            rows.push(measure(workers, policy, (slow ? 500 : 20_000) * (long ? 5 : 1), seed));
        }
    }
    return rows;
};
