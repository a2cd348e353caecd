/** Submits a mixed load to a cell's shard and counts the outcomes by kind of job. */

import { hash, type Organisation, type Queue, runEnds, type ShardPolicies, type Step } from "puffinarch";
import { jobIdOf, readSteps } from "./jobShapes.js";
import { createShardCell, type ShardCell, testQueue } from "./shardCell.js";

/** Jobs of one kind, submitted at a fixed interval. */
export interface LoadKind {
    readonly name: string;
    readonly queue: Queue;
    readonly steps: readonly Step[];
    readonly everyMs: number;
    /** A job that takes longer than this from its submission counts as late. */
    readonly objectiveMs: number;
    /** Organisation of the callers; none where it is left out. */
    readonly organisation?: string;
    /** Time from the beginning of the load during which jobs arrive; the whole load where it is left out. */
    readonly arrivesMs?: { readonly from: number; readonly until: number; };
}

/** Outcome of the jobs of one kind. */
export interface LoadOutcome {
    /** Jobs submitted. */
    readonly submitted: number;
    /** Jobs done within the objective. */
    readonly onTime: number;
    /** Jobs done after the objective. */
    readonly late: number;
    /** Jobs neither done nor refused by the end. */
    readonly open: number;
    readonly refused: number;
    /** Median time of the done jobs from their submission to the end of their last task. */
    readonly medianMs: number;
}

interface LoadJob {
    readonly kind: LoadKind;
    readonly jobId: string;
    readonly sentAtMs: number;
}

const createQueue = (name: string, changes: Partial<Queue>): Queue => ({
    ...testQueue,
    key: `stages.example/${name}/`,
    pathPrefix: `/${name}/`,
    ...changes,
});

const objectiveOf = ({ stretch, targetRuntimeMs, advice }: Queue, chainMs: number, steps: number): number =>
    stretch * (chainMs + steps * ((advice?.decideMs ?? 0) + 30 * (advice?.eachMs ?? 0))) + targetRuntimeMs;

/**
 * Creates a kind of jobs with a queue of its own, from the text notation of its steps.
 *
 * @example
 * createKind("batch", "25 for 3400 ms", 500, { priority: 2, stretch: 4 });
 */
export const createKind = (name: string, text: string, everyMs: number, changes: Partial<Queue>): LoadKind => {
    const queue = createQueue(name, changes);
    const steps = readSteps(text);
    const chainMs = steps.reduce((sum, step) => sum + step.estimateMs, 0);
    return { name, queue, steps, everyMs, objectiveMs: objectiveOf(queue, chainMs, steps.length) };
};

/**
 * Returns two kinds of jobs for workers with 8 accelerators: large tasks that need a whole worker, and small ones with a looser
 * objective. With factor 1 they use nine tenths of four workers.
 *
 * @example
 * const [large, small] = acceleratorLoad(1);
 */
export const acceleratorLoad = (factor: number): readonly LoadKind[] => [
    createKind("large", "1 of 8 accelerators for 2000 ms", 2_000 / factor, {
        priority: 1,
        stretch: 2.2,
        targetRuntimeMs: 1_000,
    }),
    createKind("small", "4 of 1 accelerators checkpointing for 2000 ms", 420 / factor, {
        priority: 2,
        stretch: 4,
        targetRuntimeMs: 3_000,
    }),
];

/** Urgent jobs whose objective leaves no time for a slow worker, and wide batches, for workers of 8 cores. */
const urgentOnUnequal = "3 of 1 cores for 680 ms";
const batchOnUnequal = "10 of 1 cores for 2000 ms";
/** Processor time of each job of the two kinds, in core-milliseconds. */
const urgentWorkMs = 3 * 680;
const batchWorkMs = 10 * 2_000;
/** Share of the urgent jobs in the load. */
const urgentShare = 0.2;

/**
 * Returns urgent jobs that are late on a worker of speed 0.55, and batches with slack. Together they take `share` of the capacity of
 * as many workers of 8 cores at the usual speed.
 *
 * @example
 * const [urgent, batch] = unequalLoad(16, 0.8);
 */
export const unequalLoad = (workers: number, share: number): readonly LoadKind[] => {
    const cores = 8 * workers * share;
    return [
        createKind("urgent", urgentOnUnequal, urgentWorkMs / (cores * urgentShare), {
            priority: 0,
            stretch: 1.5,
            targetRuntimeMs: 175,
        }),
        createKind("batch", batchOnUnequal, batchWorkMs / (cores * (1 - urgentShare)), {
            priority: 2,
            stretch: 4,
            targetRuntimeMs: 3_000,
        }),
    ];
};

/** Creates a cell for a load. Its advisor allows each step on about `allowedPercent` percent of the workers, and on one at least. */
export const createLoadCell = (
    kinds: readonly LoadKind[],
    { workers, seed, allowedPercent, policies, organisations, cpuMillis = 64_000, speedOf = () => 1 }: {
        readonly workers: number;
        readonly seed: number;
        readonly allowedPercent: number;
        readonly policies?: ShardPolicies;
        readonly organisations?: readonly Organisation[];
        /** Processors of each worker. */
        readonly cpuMillis?: number;
        /** Speed of the worker with an index. */
        readonly speedOf?: (index: number) => number;
    },
): ShardCell => {
    const cell = createShardCell({
        members: 3,
        workers,
        seed,
        durationMs: "estimated",
        capacity: { cpuMillis, memoryMib: 128_000, accelerators: 8 },
        queues: [...new Map(kinds.map(({ queue }) => [queue.key, queue])).values()],
        ...(policies === undefined ? {} : { policies }),
        ...(organisations === undefined ? {} : { organisations }),
        isAllowed: (stepName, workerId) =>
            hash(`${seed}|${stepName}|${workerId}`) % 100 < allowedPercent
            || workerId === `worker-${hash(stepName) % workers}`,
    });
    for (const [index, workerId] of cell.workers.workerIds().entries()) {
        cell.workers.setSpeed(workerId, speedOf(index));
    }
    return cell;
};

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
    const jobsOfKind = jobs.filter(job => job.kind === kind);
    const durationsMs = jobsOfKind.filter(job => doneTasks.get(job.jobId) === tasks)
        .map(job => (doneAtMs.get(job.jobId) ?? 0) - job.sentAtMs)
        .sort((left, right) => left - right);
    const onTime = durationsMs.filter(each => each <= kind.objectiveMs).length;
    const refused = jobsOfKind.filter(job => answers.get(job.jobId) === "refused").length;
    return {
        submitted: jobsOfKind.length,
        onTime,
        late: durationsMs.length - onTime,
        refused,
        open: jobsOfKind.length - durationsMs.length - refused,
        medianMs: Math.round(durationsMs[Math.floor(durationsMs.length / 2)] ?? 0),
    };
};

const stepMs = 10;

/**
 * Submits jobs of all kinds for `forMs`, lets the remaining ones run for another `restMs`, and returns the outcome by kind.
 *
 * @example
 * const kinds = acceleratorLoad(1);
 * const cell = createLoadCell(kinds, { workers: 4, seed: 1, allowedPercent: 50 });
 * const outcomes = await playLoad(cell, kinds, { forMs: 20_000, restMs: 5_000 });
 */
export const playLoad = async (
    cell: ShardCell,
    kinds: readonly LoadKind[],
    { forMs, restMs, actions = [] }: {
        readonly forMs: number;
        readonly restMs: number;
        /** What else happens, by the time from the beginning of the load; a multiple of 10 ms. */
        readonly actions?: readonly { readonly atMs: number; readonly act: (cell: ShardCell) => void; }[];
    },
): Promise<Readonly<Record<string, LoadOutcome>>> => {
    const jobs: LoadJob[] = [];
    const sent = new Map<LoadKind, number>();
    await cell.clock.advance(2_000);
    const beginMs = cell.clock.monotonicMs();
    for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
        for (const kind of kinds) {
            const count = sent.get(kind) ?? 0;
            const { from, until } = kind.arrivesMs ?? { from: 0, until: forMs };
            if (from + count * kind.everyMs <= passedMs && passedMs < until) {
                sent.set(kind, count + 1);
                const jobId = jobIdOf(jobs.length + 1);
                jobs.push({ kind, jobId, sentAtMs: beginMs + passedMs });
                cell.submitFor(kind.organisation ?? "", jobId, kind.steps, kind.queue.key);
            }
        }
        for (const { act } of actions.filter(({ atMs }) => atMs === passedMs)) {
            act(cell);
        }
        await cell.clock.advance(stepMs);
    }
    await cell.clock.advance(restMs);
    return Object.fromEntries(kinds.map(kind => [kind.name, outcomeOf(kind, jobs, cell)]));
};
