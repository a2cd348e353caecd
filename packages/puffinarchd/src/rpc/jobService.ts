/** Jobs and tasks for callers. */

import type { ServiceImpl } from "@connectrpc/connect";
import type { JobService } from "@puffinarch/schema";
import { check, type Clock, die, isFinal, type Node, sleep, wholeNumber } from "puffinarch";
import { z } from "zod";
import { readJobSpec, showJob, showTask } from "./convert.js";

const defaultPageSize = 100;
const watchIntervalMs = 200;

const pageSchema = z.object({ pageSize: wholeNumber(0, 1_000) });

/**
 * Gives the size of a page; 0 stands for the default.
 *
 * @example
 * pageSizeOf(0); // 100
 */
export const pageSizeOf = (pageSize: number): number =>
    check(pageSchema, { pageSize }, "request").pageSize || defaultPageSize;

const indexToken = z.object({ pageToken: z.string().regex(/^\d*$/, "a token from an earlier page") });

/**
 * Makes the job service of a node.
 *
 * @example
 * router.service(JobService, createJobService(node, clock));
 */
export const createJobService = (node: Node, clock: Clock): ServiceImpl<typeof JobService> => ({
    submitJob: async ({ spec }) => ({ job: showJob(await node.jobs.submit(readJobSpec(spec))) }),
    cancelJob: async ({ jobId }) => ({ job: showJob(await node.jobs.cancel(jobId)) }),
    getJob: async ({ jobId }) => ({ job: showJob(await node.jobs.get(jobId)) }),
    listJobs: async ({ team, pageSize, pageToken }) => {
        const limit = pageSizeOf(pageSize);
        const { jobs, unreachable } = await node.jobs.list(team, pageToken, limit);
        const last = jobs.length === limit ? jobs.at(-1)?.spec.jobId ?? "" : "";
        return { jobs: jobs.map(showJob), nextPageToken: last, unreachableHomes: [...unreachable] };
    },
    watchJob: async function*({ jobId }, { signal }) {
        let shown = "";
        while (!signal.aborted) {
            const job = await node.jobs.get(jobId);
            const text = JSON.stringify(job.taskCounts);
            if (text !== shown) {
                shown = text;
                yield { job: showJob(job) };
            }
            if (job.ended) {
                return;
            }
            await sleep(clock, watchIntervalMs);
        }
    },
    getResult: async ({ taskId }) => {
        const task = await node.jobs.task(taskId);
        if (!isFinal(task.state)) {
            die("unavailable", `task ${taskId} has not ended; it is ${task.state}`, { retryAfterMs: 1_000 });
        }
        return { task: showTask(task), result: task.result ?? "" };
    },
    cancelTask: async ({ taskId }) => ({ task: showTask(await node.jobs.cancelTask(taskId)) }),
    watchTask: async function*({ taskId }, { signal }) {
        let shown = "";
        while (!signal.aborted) {
            const task = await node.jobs.task(taskId);
            const text = `${task.state} ${task.attempts}`;
            if (text !== shown) {
                shown = text;
                yield { task: showTask(task) };
            }
            if (isFinal(task.state)) {
                return;
            }
            await sleep(clock, watchIntervalMs);
        }
    },
    getTask: async ({ taskId }) => ({ task: showTask(await node.jobs.task(taskId)) }),
    listTasks: async ({ jobId, pageSize, pageToken }) => {
        const limit = pageSizeOf(pageSize);
        const { pageToken: token } = check(indexToken, { pageToken }, "request");
        const after = token === "" ? -1 : Number(token);
        const tasks = await node.jobs.tasks(jobId, after, limit);
        return { tasks: tasks.map(showTask), nextPageToken: tasks.length === limit ? String(after + limit) : "" };
    },
});
