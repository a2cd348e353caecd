/**
 * Measures how long a decision of each placement policy takes on ledgers of several sizes that are about 90% full, and how
 * tightly each policy packs.
 */

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
/** Share of the CPU that tasks request before the decisions are measured. */
const filledShare = 0.9;
const sampleSize = 4;
const noAvoidedWorkers: ReadonlySet<string> = new Set();
/** Decisions made before the measured ones, so that V8 has compiled the policy by then. */
const warmUpDecisions = 2_000;

const pickShape = (random: Random): Resources => shapes[Math.floor(random.next() * shapes.length)] ?? capacity;

/** A ledger and the attempts that were placed on it. */
interface PlacedTasks {
    readonly ledger: Ledger;
    readonly attemptIds: string[];
    /** Sizes of the attempts by id. */
    readonly sizes: Map<string, Resources>;
    /** Number of decisions, including those that placed no task. */
    attempts: number;
}

const createPlacedTasks = (workers: number): PlacedTasks => {
    const ledger = createLedger();
    for (let index = 0; index < workers; index += 1) {
        ledger.addWorker(`w${index}`, `r${Math.floor(index / 40)}`, capacity);
        ledger.setOpen(`w${index}`, true);
    }
    return { ledger, attemptIds: [], sizes: new Map(), attempts: 0 };
};

/** Decides on one task and reserves its size; returns false if no worker has room for it. */
const placeTask = (placed: PlacedTasks, policy: PlacementName, size: Resources, random: Random): boolean => {
    const { worker } = placements[policy]({ ledger: placed.ledger, size, random, sampleSize, avoid: noAvoidedWorkers });
    placed.attempts += 1;
    const attemptId = `a${placed.attempts}`;
    if (worker === undefined || !placed.ledger.reserve(worker.workerId, attemptId, size)) {
        return false;
    }
    placed.attemptIds.push(attemptId);
    placed.sizes.set(attemptId, size);
    return true;
};

/** Ends one attempt at random, in constant time: the last attempt of the list takes its position. */
const endRandomAttempt = (placed: PlacedTasks, random: Random): void => {
    const index = Math.floor(random.next() * placed.attemptIds.length);
    const attemptId = placed.attemptIds[index];
    const last = placed.attemptIds.pop();
    if (attemptId === undefined || last === undefined) {
        return;
    }
    if (index < placed.attemptIds.length) {
        placed.attemptIds[index] = last;
    }
    placed.ledger.release(attemptId);
    placed.sizes.delete(attemptId);
};

/**
 * Fills the ledger with `randomOfK` whichever policy is measured, since filling a large ledger with a slow policy takes
 * minutes.
 */
const fill = (placed: PlacedTasks, workers: number, random: Random): void => {
    let cpuMillis = 0;
    while (cpuMillis < workers * capacity.cpuMillis * filledShare) {
        const size = pickShape(random);
        cpuMillis += size.cpuMillis;
        placeTask(placed, "randomOfK", size, random);
    }
};

/**
 * Lower bound on the number of workers that tasks of these sizes need: their total divided by the capacity of one worker, for
 * the resource where this is largest.
 */
const minWorkers = (sizes: Iterable<Resources>): number => {
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

/** Places tasks for two thirds of the CPU on an empty ledger, and returns the workers in use divided by `minWorkers`. */
const measurePacking = (policy: PlacementName, seed: number): number => {
    const workers = 300;
    const random = createSeededRandom(seed);
    const placed = createPlacedTasks(workers);
    for (let cpuMillis = 0; cpuMillis < workers * capacity.cpuMillis * 2 / 3;) {
        const size = pickShape(random);
        cpuMillis += size.cpuMillis;
        placeTask(placed, policy, size, random);
    }
    const used = placed.ledger.workers().filter(worker => worker.reserved.cpuMillis > 0).length;
    return used / minWorkers(placed.sizes.values());
};

const measure = (workers: number, policy: PlacementName, decisions: number, seed: number): Row => {
    const random = createSeededRandom(seed);
    const placed = createPlacedTasks(workers);
    fill(placed, workers, random);
    const sample = createSample();
    let spentMs = 0;
    for (let count = -warmUpDecisions; count < decisions; count += 1) {
        const size = pickShape(random);
        const startedAtMs = performance.now();
        const isPlaced = placeTask(placed, policy, size, random);
        const tookMs = performance.now() - startedAtMs;
        if (count >= 0) {
            spentMs += tookMs;
            sample.add(tookMs * 1_000);
        }
        if (isPlaced) {
            endRandomAttempt(placed, random);
        }
    }
    return {
        workers,
        policy,
        decisionsPerSecond: Math.round(decisions * 1_000 / spentMs),
        decisionP50Us: round(sample.percentile(50), 2),
        decisionP99Us: round(sample.percentile(99), 2),
        overcommits: countOvercommits(placed.ledger),
        packingRatio: round(measurePacking(policy, seed)),
    };
};

/** Measures decisions per second and their latency at 30, 500 and 17,000 workers. */
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
