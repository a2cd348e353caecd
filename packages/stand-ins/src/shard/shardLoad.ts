/** A mixed load on a cell's shard, and what its callers get by kind of job. */

import { hash, type Queue, runEnds, type ShardPolicies, type Step } from "puffinarch";
import { jobIdOf, readSteps } from "./jobShapes.js";
import { createShardCell, type ShardCell, testQueue } from "./shardCell.js";

/** Jobs of one kind, submitted one after the other. */
export interface LoadKind {
    readonly name: string;
    readonly queue: Queue;
    readonly steps: readonly Step[];
    readonly everyMs: number;
    /** A job that takes longer from its submission on is late. */
    readonly objectiveMs: number;
}

/** What callers of one kind got. */
export interface LoadOutcome {
    readonly asked: number;
    readonly inTime: number;
    readonly late: number;
    /** Neither done nor refused by the end. */
    readonly open: number;
    readonly refused: number;
    /** Of those that are done, from submission to the last end. */
    readonly medianMs: number;
}

interface LoadJob {
    readonly kind: LoadKind;
    readonly jobId: string;
    readonly sentAtMs: number;
}

const queueOf = (name: string, changes: Partial<Queue>): Queue => ({
    ...testQueue,
    key: `stages.example/${name}/`,
    pathPrefix: `/${name}/`,
    ...changes,
});

const objectiveOf = ({ stretch, targetRuntimeMs, advice }: Queue, chainMs: number, steps: number): number =>
    stretch * (chainMs + steps * ((advice?.decideMs ?? 0) + 30 * (advice?.eachMs ?? 0))) + targetRuntimeMs;

const kindOf = (name: string, text: string, everyMs: number, changes: Partial<Queue>): LoadKind => {
    const queue = queueOf(name, changes);
    const steps = readSteps(text);
    const chainMs = steps.reduce((sum, step) => sum + step.estimateMs, 0);
    return { name, queue, steps, everyMs, objectiveMs: objectiveOf(queue, chainMs, steps.length) };
};

/**
 * Two kinds on workers with 8 accelerators: large tasks that need a whole worker, and small ones with time to spare. At
 * factor 1 they use nine tenths of four workers.
 */
export const acceleratorLoad = (factor: number): readonly LoadKind[] => [
    kindOf("large", "1 of 8 accelerators for 2000 ms", 2_000 / factor, {
        priority: 1,
        stretch: 2.2,
        targetRuntimeMs: 1_000,
    }),
    kindOf("small", "4 of 1 accelerators checkpointing for 2000 ms", 420 / factor, {
        priority: 2,
        stretch: 4,
        targetRuntimeMs: 3_000,
    }),
];

/** A cell for a load, whose advisor allows each step on some of the workers only, and on one at least. */
export const createLoadCell = (
    kinds: readonly LoadKind[],
    { workers, seed, goodPercent, policies }: {
        readonly workers: number;
        readonly seed: number;
        readonly goodPercent: number;
        readonly policies?: ShardPolicies;
    },
): ShardCell =>
    createShardCell({
        members: 3,
        workers,
        seed,
        durationMs: "estimated",
        capacity: { cpuMillis: 64_000, memoryMib: 128_000, accelerators: 8 },
        queues: kinds.map(kind => kind.queue),
        ...(policies === undefined ? {} : { policies }),
        isGood: (stepName, workerId) =>
            hash(`${seed}|${stepName}|${workerId}`) % 100 < goodPercent
            || workerId === `worker-${hash(stepName) % workers}`,
    });

const outcomeOf = (kind: LoadKind, jobs: readonly LoadJob[], cell: ShardCell): LoadOutcome => {
    const doneAtMs = new Map<string, number>();
    const doneTasks = new Map<string, number>();
    for (const { taskName, how, endedAtMs } of cell.workers.evidence) {
        if (how === runEnds.done && endedAtMs !== undefined) {
            const jobId = taskName.slice(0, taskName.indexOf("."));
            doneAtMs.set(jobId, Math.max(doneAtMs.get(jobId) ?? 0, endedAtMs));
            doneTasks.set(jobId, 1 + (doneTasks.get(jobId) ?? 0));
        }
    }
    const tasks = kind.steps.reduce((sum, step) => sum + step.count, 0);
    const answers = cell.answers();
    const mine = jobs.filter(job => job.kind === kind);
    const tookMs = mine.filter(job => doneTasks.get(job.jobId) === tasks)
        .map(job => (doneAtMs.get(job.jobId) ?? 0) - job.sentAtMs)
        .sort((left, right) => left - right);
    const inTime = tookMs.filter(each => each <= kind.objectiveMs).length;
    const refused = mine.filter(job => answers.get(job.jobId) === "refused").length;
    return {
        asked: mine.length,
        inTime,
        late: tookMs.length - inTime,
        refused,
        open: mine.length - tookMs.length - refused,
        medianMs: Math.round(tookMs[Math.floor(tookMs.length / 2)] ?? 0),
    };
};

const stepMs = 10;

/**
 * Submits jobs of all kinds for a while, lets those that wait go on for `restMs`, and tells what callers got.
 *
 * @example
 * const kinds = acceleratorLoad(1);
 * const outcomes = await playLoad(createLoadCell(kinds, { workers: 4, seed: 1, goodPercent: 50 }), kinds, { forMs: 20_000, restMs: 5_000 });
 */
export const playLoad = async (
    cell: ShardCell,
    kinds: readonly LoadKind[],
    { forMs, restMs }: { readonly forMs: number; readonly restMs: number; },
): Promise<Readonly<Record<string, LoadOutcome>>> => {
    const jobs: LoadJob[] = [];
    const sent = new Map<LoadKind, number>();
    await cell.clock.advance(2_000);
    const beginMs = cell.clock.monotonicMs();
    for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
        for (const kind of kinds) {
            const count = sent.get(kind) ?? 0;
            if (count * kind.everyMs <= passedMs) {
                sent.set(kind, count + 1);
                const jobId = jobIdOf(jobs.length + 1);
                jobs.push({ kind, jobId, sentAtMs: beginMs + passedMs });
                cell.submit(jobId, kind.steps, kind.queue.key);
            }
        }
        await cell.clock.advance(stepMs);
    }
    await cell.clock.advance(restMs);
    return Object.fromEntries(kinds.map(kind => [kind.name, outcomeOf(kind, jobs, cell)]));
};
