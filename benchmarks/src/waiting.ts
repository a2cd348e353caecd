/**
 * Measures how long jobs of each workload class wait for their first task to start under a mix of classes, by load and
 * placement policy. The baseline places every class with `firstFit` and gives all the same priority. The cell runs on a
 * simulated clock, and starts are those that the simulated workers recorded.
 */

import { createCell, defaultCellOptions } from "@puffinarch/stand-ins";
import {
    type ConfigurationDocument,
    createSeededRandom,
    type JobSpec,
    type PlacementName,
    type Random,
    type Resources,
} from "puffinarch";
import { type Benchmark, createSample, round, type Row } from "./benchmark.js";

/** Placement policies and priorities to measure. */
interface Setting {
    readonly name: string;
    readonly batch: PlacementName;
    readonly interactive: PlacementName;
    /** Whether every class has the same priority, so that their tasks share one queue. */
    readonly oneQueue: boolean;
}

const settings: readonly Setting[] = [
    { name: "firstFit in one queue", batch: "firstFit", interactive: "firstFit", oneQueue: true },
    { name: "bestFit", batch: "bestFit", interactive: "bestFit", oneQueue: false },
    { name: "worstFit", batch: "worstFit", interactive: "worstFit", oneQueue: false },
    { name: "randomOfK", batch: "randomOfK", interactive: "randomOfK", oneQueue: false },
    { name: "a policy a class", batch: "bestFit", interactive: "worstFit", oneQueue: false },
];

const capacity: Resources = { cpuMillis: 16_000, memoryMib: 32_768, accelerators: 0 };
const workers = 8;
/** Jobs accepted in this first share of the run are not counted. */
const warmUpShare = 0.2;

const createDocument = ({ batch, interactive, oneQueue }: Setting): ConfigurationDocument => ({
    policies: [
        { name: "batch", placement: batch, sampleSize: 3 },
        { name: "interactive", placement: interactive, sampleSize: 3 },
        { name: "gang", placement: "gang", sampleSize: 3 },
    ],
    workloadClasses: [
        { name: "urgent", kind: "batch", policy: "interactive", priority: oneQueue ? 3 : 9 },
        { name: "interactive", kind: "service", policy: "interactive", priority: oneQueue ? 3 : 7 },
        { name: "gang", kind: "gang", policy: "gang", priority: oneQueue ? 3 : 5 },
        { name: "batch", kind: "batch", policy: "batch", priority: 3 },
    ],
    quotas: [],
});

/** Jobs of one workload class and size. */
interface JobKind {
    readonly workloadClass: string;
    /** Share of all jobs; the shares of all kinds add up to 1. */
    readonly share: number;
    readonly tasks: number;
    readonly cpuMillis: number;
    readonly meanRunMs: number;
}

const kinds: readonly JobKind[] = [
    { workloadClass: "urgent", share: 0.1, tasks: 1, cpuMillis: 1_000, meanRunMs: 800 },
    { workloadClass: "interactive", share: 0.2, tasks: 1, cpuMillis: 500, meanRunMs: 4_000 },
    { workloadClass: "gang", share: 0.1, tasks: 6, cpuMillis: 2_000, meanRunMs: 1_500 },
    { workloadClass: "batch", share: 0.55, tasks: 2, cpuMillis: 1_000, meanRunMs: 2_000 },
    { workloadClass: "batch", share: 0.05, tasks: 1, cpuMillis: 8_000, meanRunMs: 3_000 },
];

/** Mean CPU use of a job, in milli-CPUs times milliseconds. */
const meanCpuMillisMs = kinds.reduce((sum, kind) => sum + kind.share * kind.tasks * kind.cpuMillis * kind.meanRunMs, 0);

const pickKind = (random: Random): JobKind => {
    let remaining = random.next();
    for (const kind of kinds) {
        remaining -= kind.share;
        if (remaining < 0) {
            return kind;
        }
    }
    return kinds[0] as JobKind;
};

const drawExponential = (random: Random, mean: number): number => -Math.log(1 - random.next()) * mean;

const createJobSpec = (count: number, kind: JobKind, random: Random): JobSpec => ({
    jobId: `${kind.workloadClass}-${count}`,
    workloadClass: kind.workloadClass,
    team: count % 2 === 0 ? "rigging" : "barriers",
    tasks: kind.tasks,
    taskSize: { cpuMillis: kind.cpuMillis, memoryMib: 512, accelerators: 0 },
    atMostOnce: false,
    payload: JSON.stringify({ runMs: Math.ceil(Math.min(20_000, drawExponential(random, kind.meanRunMs))) }),
});

const measureSetting = async (
    setting: Setting,
    load: number,
    seconds: number,
    seed: number,
): Promise<readonly Row[]> => {
    const cell = createCell({
        ...defaultCellOptions,
        seed,
        capacity,
        daemonsPerDataCentre: 2,
        workersPerDataCentre: workers / 2,
        workersPerRack: 2,
    });
    await cell.start();
    const daemons = cell.daemons();
    const context = { expectedVersion: 0, author: "benchmark", reason: setting.name };
    const applied = daemons[0]?.node.configuration.apply(createDocument(setting), context);
    await cell.advance(2_000);
    await applied;
    const random = createSeededRandom(seed);
    const accepted = new Map<string, number>();
    const meanIntervalMs = meanCpuMillisMs / (workers * capacity.cpuMillis * load);
    const loadStartedAtMs = cell.clock.nowMs();
    for (let count = 0; cell.clock.nowMs() - loadStartedAtMs < seconds * 1_000; count += 1) {
        const spec = createJobSpec(count, pickKind(random), random);
        accepted.set(spec.jobId, cell.clock.nowMs());
        void daemons[count % daemons.length]?.node.jobs.submit(spec);
        await cell.advance(drawExponential(random, meanIntervalMs));
    }
    const measuredFromMs = loadStartedAtMs + seconds * 1_000 * warmUpShare;
    const measuredUntilMs = cell.clock.nowMs();
    await cell.advance(20_000);
    const firstStarts = new Map<string, number>();
    for (const { taskId, startedAtMs } of cell.executions()) {
        firstStarts.set(taskId, Math.min(startedAtMs, firstStarts.get(taskId) ?? Infinity));
    }
    const samples = new Map(["urgent", "interactive", "gang", "batch"].map(name => [name, createSample()]));
    let neverStarted = 0;
    for (const [jobId, acceptedAtMs] of accepted) {
        if (acceptedAtMs < measuredFromMs || acceptedAtMs > measuredUntilMs) {
            continue;
        }
        const startedAtMs = firstStarts.get(`${jobId}/0`);
        const sample = samples.get(jobId.slice(0, jobId.indexOf("-")));
        // A job that never started counts as waiting until the end of the run.
        neverStarted += startedAtMs === undefined ? 1 : 0;
        sample?.add(startedAtMs === undefined ? measuredUntilMs + 20_000 - acceptedAtMs : startedAtMs - acceptedAtMs);
    }
    return [...samples].map(([workloadClass, sample]) => ({
        policy: setting.name,
        loadPercent: load * 100,
        workloadClass,
        jobs: sample.count(),
        waitP50Ms: round(sample.percentile(50), 1),
        waitP99Ms: round(sample.percentile(99), 1),
        neverStarted,
        overcommits: cell.overcommits(),
    }));
};

/** Measures each setting at loads of 50, 80, 95 and 110% of the cell's CPU. */
export const waiting: Benchmark = async ({ long, seed }) => {
    const rows: Row[] = [];
    for (const load of [0.5, 0.8, 0.95, 1.1]) {
        for (const setting of settings) {
            rows.push(...await measureSetting(setting, load, long ? 300 : 60, seed));
        }
    }
    return rows;
};
