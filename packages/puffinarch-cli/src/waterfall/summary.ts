/** What many jobs have in common: percentiles of each stage, and which stage cost those that were late most. */

import { type JobTimes, type StageName, stageNames } from "./stages.js";

/** Percentiles of one stage in milliseconds. */
export interface StageSummary {
    readonly p50Ms: number;
    readonly p90Ms: number;
    readonly p99Ms: number;
}

/** Jobs of one queue, or of one shape in it. */
export interface GroupSummary {
    readonly name: string;
    readonly jobs: number;
    readonly late: number;
    readonly tookMs: StageSummary;
    readonly stages: Readonly<Record<StageName, StageSummary>>;
    /** Late jobs by the stage that cost most. */
    readonly lateBy: Readonly<Partial<Record<StageName, number>>>;
}

const at = (sorted: readonly number[], share: number): number =>
    Math.round(sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0);

const summaryOf = (values: readonly number[]): StageSummary => {
    const sorted = [...values].sort((left, right) => left - right);
    return { p50Ms: at(sorted, 0.5), p90Ms: at(sorted, 0.9), p99Ms: at(sorted, 0.99) };
};

/**
 * Tells whether a job took longer than its objective; false where the log names none.
 *
 * @example
 * jobs.filter(isLate).length;
 */
export const isLate = ({ tookMs, objectiveMs }: JobTimes): boolean => objectiveMs !== undefined && tookMs > objectiveMs;

const groupOf = (name: string, jobs: readonly JobTimes[]): GroupSummary => {
    const late = jobs.filter(isLate);
    const lateBy: Partial<Record<StageName, number>> = {};
    for (const { worst } of late) {
        lateBy[worst] = (lateBy[worst] ?? 0) + 1;
    }
    const stages = Object.fromEntries(
        stageNames.map(stage => [stage, summaryOf(jobs.map(job => job.stagesMs[stage]))]),
    ) as Record<StageName, StageSummary>;
    return {
        name,
        jobs: jobs.length,
        late: late.length,
        tookMs: summaryOf(jobs.map(job => job.tookMs)),
        stages,
        lateBy,
    };
};

/**
 * Sums jobs up by a key, the largest group first.
 *
 * @example
 * summarize(jobs, job => job.queue);
 */
export const summarize = (
    jobs: readonly JobTimes[],
    keyOf: (job: JobTimes) => string,
): readonly GroupSummary[] => {
    const groups = new Map<string, JobTimes[]>();
    for (const job of jobs) {
        const key = keyOf(job);
        const known = groups.get(key);
        if (known === undefined) {
            groups.set(key, [job]);
        }
        else {
            known.push(job);
        }
    }
    return [...groups].map(([name, all]) => groupOf(name, all)).sort((left, right) => right.jobs - left.jobs);
};
