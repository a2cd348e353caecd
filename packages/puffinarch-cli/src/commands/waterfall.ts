/** `puffinarch waterfall`: how long jobs took in each stage, from the logs of any number of daemons. */

import type { Command } from "commander";
import { writeFileSync } from "node:fs";
import { type CliContext, numberFrom } from "../context.js";
import { type Column, tableOf } from "../output.js";
import { drawWaterfall } from "../waterfall/drawing.js";
import { readLogs } from "../waterfall/readLog.js";
import { type JobTimes, jobTimes, stageMeanings, type StageName, stageNames } from "../waterfall/stages.js";
import { type GroupSummary, isLate, summarize } from "../waterfall/summary.js";

interface WaterfallFlags {
    readonly svg?: string;
    readonly slowest: string;
    readonly byShape?: boolean;
}

const stageColumn = (stage: StageName): Column<GroupSummary> => ({
    title: stage.toUpperCase(),
    cell: ({ stages }) => `${stages[stage].p50Ms}/${stages[stage].p90Ms}/${stages[stage].p99Ms}`,
});

const groupColumns: readonly Column<GroupSummary>[] = [
    { title: "GROUP", cell: group => group.name },
    { title: "JOBS", cell: group => group.jobs },
    { title: "LATE", cell: group => group.late },
    { title: "TOOK", cell: ({ tookMs }) => `${tookMs.p50Ms}/${tookMs.p90Ms}/${tookMs.p99Ms}` },
    ...stageNames.map(stageColumn),
    {
        title: "LATE BY",
        cell: ({ lateBy }) => Object.entries(lateBy).map(([name, jobs]) => `${name} ${jobs}`).join(", "),
    },
];

const jobColumns: readonly Column<JobTimes>[] = [
    { title: "JOB", cell: job => job.jobId },
    { title: "QUEUE", cell: job => job.queue },
    { title: "SHAPE", cell: job => job.shape },
    { title: "STATE", cell: job => job.state },
    { title: "TOOK", cell: job => job.tookMs },
    { title: "OBJECTIVE", cell: job => job.objectiveMs ?? "-" },
    { title: "WORST STAGE", cell: job => `${job.worst} ${job.stagesMs[job.worst]}` },
];

const legend = (): string => stageNames.map(name => `  ${name.padEnd(8)} ${stageMeanings[name]}\n`).join("");

const format = (groups: readonly GroupSummary[], slowest: readonly JobTimes[], skipped: number): string =>
    `Milliseconds at p50/p90/p99.\n${legend()}\n${tableOf(groupColumns, groups)}\n${tableOf(jobColumns, slowest)}`
    + `${skipped} lines were not structured ones.\n`;

/**
 * Adds the command `waterfall`.
 *
 * @example
 * addWaterfallCommand(program, context);
 */
export const addWaterfallCommand = (program: Command, context: CliContext): void => {
    program.command("waterfall <logs...>")
        .description("Show for each queue how long jobs took in each stage, from the logs of any number of daemons.")
        .option("--by-shape", "group by the number of steps and the tasks of the widest step as well")
        .option("--slowest <n>", "number of late jobs to list, or of the slowest jobs if none is late", "10")
        .option("--svg <file>", "also draw the groups into this file")
        .action((paths: readonly string[], flags: WaterfallFlags, command: Command) => {
            const { lines, skipped } = readLogs(paths);
            const jobs = jobTimes(lines);
            const groups = summarize(jobs, job => flags.byShape ? `${job.queue} ${job.shape}` : job.queue);
            const late = jobs.filter(isLate);
            const slowest = (late.length > 0 ? late : jobs).slice(0, numberFrom("slowest", flags.slowest));
            if (flags.svg !== undefined) {
                writeFileSync(flags.svg, drawWaterfall(groups));
            }
            if (context.wantsJson(command)) {
                context.output.write(`${JSON.stringify({ groups, slowest, skipped }, undefined, 2)}\n`);
                return;
            }
            context.output.write(format(groups, slowest, skipped));
        });
};
