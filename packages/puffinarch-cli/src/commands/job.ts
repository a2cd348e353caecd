/** `puffinarch job` and `puffinarch explain`. */

import {
    CancelJobResponseSchema,
    CancelTaskResponseSchema,
    ClusterService,
    ExplainTaskResponseSchema,
    GetJobResponseSchema,
    GetResultResponseSchema,
    type Job,
    JobService,
    ListJobsResponseSchema,
    ListTasksResponseSchema,
    SubmitJobResponseSchema,
    type Task,
    TaskState,
    WatchJobResponseSchema,
    WatchTaskResponseSchema,
} from "@puffinarch/schema";
import type { Command } from "commander";
import { type CliContext, numberFrom } from "../context.js";
import { amountOf, type Column, tableOf, timeOf } from "../output.js";

interface SubmitFlags {
    readonly class: string;
    readonly team: string;
    readonly tasks: string;
    readonly cpuMillis: string;
    readonly memoryMib: string;
    readonly accelerators: string;
    readonly atMostOnce?: boolean;
    readonly payload: string;
}

const countsOf = (job: Job): string =>
    Object.entries(job.taskCounts).map(([state, count]) => `${count} ${state}`).join(", ");

const jobColumns: readonly Column<Job>[] = [
    { title: "JOB", cell: job => job.spec?.jobId ?? "" },
    { title: "CLASS", cell: job => job.spec?.workloadClass ?? "" },
    { title: "TEAM", cell: job => job.spec?.team ?? "" },
    { title: "TASK SIZE", cell: job => amountOf(job.spec?.taskSize) },
    { title: "TASKS", cell: countsOf },
    { title: "ENDED", cell: job => job.ended ? "yes" : "no" },
    { title: "ACCEPTED", cell: job => timeOf(job.acceptedAtMs) },
];

const taskColumns: readonly Column<Task>[] = [
    { title: "TASK", cell: task => task.taskId },
    { title: "STATE", cell: task => TaskState[task.state] },
    { title: "ATTEMPTS", cell: task => task.attempts },
    { title: "WORKER", cell: task => task.workerId },
    { title: "STARTED", cell: task => timeOf(task.startedAtMs) },
    { title: "ENDED", cell: task => timeOf(task.endedAtMs) },
    { title: "DETAIL", cell: task => task.detail },
];

const showJobs = (jobs: readonly (Job | undefined)[]): string =>
    tableOf(jobColumns, jobs.filter(job => job !== undefined));

const showTasks = (tasks: readonly (Task | undefined)[]): string =>
    tableOf(taskColumns, tasks.filter(task => task !== undefined));

const addSubmit = (job: Command, context: CliContext): void => {
    job.command("submit <job-id>")
        .description("Submit a job. Submitting the same job again has no effect.")
        .requiredOption("--class <name>", "workload class")
        .requiredOption("--team <name>", "team whose quota the job counts against")
        .option("--tasks <n>", "number of equal tasks", "1")
        .option("--cpu-millis <n>", "thousandths of a core per task", "1000")
        .option("--memory-mib <n>", "mebibytes of memory per task", "1024")
        .option("--accelerators <n>", "accelerators per task", "0")
        .option("--at-most-once", "never start a task a second time")
        .option("--payload <text>", "text passed to the worker", "")
        .addHelpText("after", "\nExample:\n  puffinarch job submit load-in-7 --class batch --team rigging --tasks 4")
        .action(async (jobId: string, flags: SubmitFlags, command: Command) => {
            const spec = {
                jobId,
                workloadClass: flags.class,
                team: flags.team,
                tasks: numberFrom("tasks", flags.tasks),
                taskSize: {
                    cpuMillis: numberFrom("cpu-millis", flags.cpuMillis),
                    memoryMib: numberFrom("memory-mib", flags.memoryMib),
                    accelerators: numberFrom("accelerators", flags.accelerators),
                },
                atMostOnce: flags.atMostOnce === true,
                payload: flags.payload,
            };
            const response = await context.caller(command, JobService)(client => client.submitJob({ spec }));
            context.show(command, SubmitJobResponseSchema, response, () => showJobs([response.job]));
        });
};

const addReads = (job: Command, context: CliContext): void => {
    job.command("get <job-id>")
        .description("Show a job.")
        .option("--tasks", "show its tasks instead")
        .action(async (jobId: string, flags: { readonly tasks?: boolean; }, command: Command) => {
            const call = context.caller(command, JobService);
            if (flags.tasks === true) {
                const response = await call(client => client.listTasks({ jobId, pageSize: 1_000 }));
                context.show(command, ListTasksResponseSchema, response, () => tableOf(taskColumns, response.tasks));
                return;
            }
            const response = await call(client => client.getJob({ jobId }));
            context.show(command, GetJobResponseSchema, response, () => showJobs([response.job]));
        });
    job.command("list")
        .description("List jobs.")
        .option("--team <name>", "only jobs of this team", "")
        .option("--page-size <n>", "1 to 1000", "100")
        .option("--page-token <token>", "token of the page, from the answer with the page before it", "")
        .action(
            async (
                flags: { readonly team: string; readonly pageSize: string; readonly pageToken: string; },
                command: Command,
            ) => {
                const request = {
                    team: flags.team,
                    pageSize: numberFrom("page-size", flags.pageSize),
                    pageToken: flags.pageToken,
                };
                const response = await context.caller(command, JobService)(client => client.listJobs(request));
                context.show(command, ListJobsResponseSchema, response, () => showJobs(response.jobs));
            },
        );
    job.command("result <task-id>")
        .description("Fetch the result of an ended task.")
        .addHelpText("after", "\nExample:\n  puffinarch job result load-in-7/0")
        .action(async (taskId: string, _flags: unknown, command: Command) => {
            const response = await context.caller(command, JobService)(client => client.getResult({ taskId }));
            context.show(command, GetResultResponseSchema, response, () => `${response.result}\n`);
        });
};

const addChanges = (job: Command, context: CliContext): void => {
    job.command("cancel <job-id>")
        .description("Cancel a job; queued tasks end at once, running ones are stopped.")
        .action(async (jobId: string, _flags: unknown, command: Command) => {
            const response = await context.caller(command, JobService)(client => client.cancelJob({ jobId }));
            context.show(command, CancelJobResponseSchema, response, () => showJobs([response.job]));
        });
    job.command("cancel-task <task-id>")
        .description("Cancel one task; the other tasks of its job go on.")
        .action(async (taskId: string, _flags: unknown, command: Command) => {
            const response = await context.caller(command, JobService)(client => client.cancelTask({ taskId }));
            context.show(command, CancelTaskResponseSchema, response, () => showTasks([response.task]));
        });
    job.command("watch-task <task-id>")
        .description("Follow one task until it ends.")
        .action(async (taskId: string, _flags: unknown, command: Command) => {
            await context.caller(command, JobService)(async client => {
                for await (const response of client.watchTask({ taskId }, { timeoutMs: 0 })) {
                    context.show(command, WatchTaskResponseSchema, response, () => showTasks([response.task]));
                }
            });
        });
    job.command("watch <job-id>")
        .description("Follow a job until it ends.")
        .action(async (jobId: string, _flags: unknown, command: Command) => {
            await context.caller(command, JobService)(async client => {
                for await (const response of client.watchJob({ jobId }, { timeoutMs: 0 })) {
                    const line = (): string =>
                        `${response.job?.spec?.jobId ?? ""}: ${
                            response.job === undefined ? "" : countsOf(response.job)
                        }\n`;
                    context.show(command, WatchJobResponseSchema, response, line);
                }
            });
        });
};

/**
 * Adds the commands on jobs.
 *
 * @example
 * addJobCommands(program, context);
 */
export const addJobCommands = (program: Command, context: CliContext): void => {
    const job = program.command("job").description("Submit, follow and cancel work.");
    addSubmit(job, context);
    addReads(job, context);
    addChanges(job, context);
    program.command("explain <task-id>")
        .description("Explain why a task runs where it does, or why it waits.")
        .addHelpText("after", "\nExample:\n  puffinarch explain load-in-7/0")
        .action(async (taskId: string, _flags: unknown, command: Command) => {
            const response = await context.caller(command, ClusterService)(client => client.explainTask({ taskId }));
            context.show(command, ExplainTaskResponseSchema, response, () => {
                const lines = response.decisions.map(each =>
                    `  ${timeOf(each.atMs)} ${each.daemonId}: ${
                        each.chosen === "" ? "nothing chosen" : each.chosen
                    }; ${each.reason}`
                    + ` (policy ${each.policy}, ${each.alternatives} alternatives, ${each.durationUs.toFixed(0)} us)`
                );
                return `${[response.explanation, ...lines].join("\n")}\n`;
            });
        });
};
