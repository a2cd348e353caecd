/** Summarises groups of jobs: percentiles of each stage, and the worst stages of the jobs that were late. */

import { type JobTimes, type StageName, stageNames } from "./stages.js";

/** Percentiles of one stage in milliseconds. */
export interface StageSummary {
    readonly p50Ms: number;
    readonly p90Ms: number;
    readonly p99Ms: number;
}

/** Summary of the jobs of one queue, or of one shape in a queue. */
export interface GroupSummary {
    readonly name: string;
    /** Number of jobs. */
    readonly jobs: number;
    /** Number of jobs that took longer than their objective. */
    readonly late: number;
    readonly tookMs: StageSummary;
    readonly stages: Readonly<Record<StageName, StageSummary>>;
    /** Number of late jobs by their worst stage. */
    readonly lateBy: Readonly<Partial<Record<StageName, number>>>;
}

const percentileOf = (sorted: readonly number[], share: number): number =>
    Math.round(sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0);

const summaryOf = (values: readonly number[]): StageSummary => {
    const sorted = [...values].sort((left, right) => left - right);
    return { p50Ms: percentileOf(sorted, 0.5), p90Ms: percentileOf(sorted, 0.9), p99Ms: percentileOf(sorted, 0.99) };
};

/**
 * Returns whether a job took longer than its objective; false if the log names none.
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
 * Groups jobs by a key and summarises each group, the largest first.
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
