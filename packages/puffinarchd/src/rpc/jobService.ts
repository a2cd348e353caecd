/** Connect service for callers: jobs and tasks. */

import type { ServiceImpl } from "@connectrpc/connect";
import type { JobService } from "@puffinarch/schema";
import { check, type Clock, die, isFinal, type Node, sleep, wholeNumber } from "puffinarch";
import { z } from "zod";
import { readJobSpec, toJobMessage, toTaskMessage } from "./convert.js";

const defaultPageSize = 100;
/** How often a watched job or task is checked for changes. */
const watchIntervalMs = 200;

const pageSchema = z.object({ pageSize: wholeNumber(0, 1_000) });

/**
 * Returns the size of a page; 0 stands for the default. Fails with the kind `invalid` above 1000.
 *
 * @example
 * pageSizeOf(0); // 100
 */
export const pageSizeOf = (pageSize: number): number =>
    check(pageSchema, { pageSize }, "request").pageSize || defaultPageSize;

/** A page token of tasks is the index of the last task of the page; empty for the first page. */
const pageTokenSchema = z.object({ pageToken: z.string().regex(/^\d*$/, "a page token from an earlier answer") });

/**
 * Creates the job service of a node.
 *
 * @example
 * router.service(JobService, createJobService(node, clock));
 */
export const createJobService = (node: Node, clock: Clock): ServiceImpl<typeof JobService> => ({
    submitJob: async ({ spec }) => ({ job: toJobMessage(await node.jobs.submit(readJobSpec(spec))) }),
    cancelJob: async ({ jobId }) => ({ job: toJobMessage(await node.jobs.cancel(jobId)) }),
    getJob: async ({ jobId }) => ({ job: toJobMessage(await node.jobs.get(jobId)) }),
    listJobs: async ({ team, pageSize, pageToken }) => {
        const limit = pageSizeOf(pageSize);
        const { jobs, unreachable } = await node.jobs.list(team, pageToken, limit);
        const last = jobs.length === limit ? jobs.at(-1)?.spec.jobId ?? "" : "";
        return { jobs: jobs.map(toJobMessage), nextPageToken: last, unreachableHomes: [...unreachable] };
    },
    watchJob: async function*({ jobId }, { signal }) {
        let shown = "";
        while (!signal.aborted) {
            const job = await node.jobs.get(jobId);
            const text = JSON.stringify(job.taskCounts);
            if (text !== shown) {
                shown = text;
                yield { job: toJobMessage(job) };
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
        return { task: toTaskMessage(task), result: task.result ?? "" };
    },
    cancelTask: async ({ taskId }) => ({ task: toTaskMessage(await node.jobs.cancelTask(taskId)) }),
    watchTask: async function*({ taskId }, { signal }) {
        let shown = "";
        while (!signal.aborted) {
            const task = await node.jobs.task(taskId);
            const text = `${task.state} ${task.attempts}`;
            if (text !== shown) {
                shown = text;
                yield { task: toTaskMessage(task) };
            }
            if (isFinal(task.state)) {
                return;
            }
            await sleep(clock, watchIntervalMs);
        }
    },
    getTask: async ({ taskId }) => ({ task: toTaskMessage(await node.jobs.task(taskId)) }),
    listTasks: async ({ jobId, pageSize, pageToken }) => {
        const limit = pageSizeOf(pageSize);
        const { pageToken: token } = check(pageTokenSchema, { pageToken }, "request");
        const after = token === "" ? -1 : Number(token);
        const tasks = await node.jobs.tasks(jobId, after, limit);
        return { tasks: tasks.map(toTaskMessage), nextPageToken: tasks.length === limit ? String(after + limit) : "" };
    },
});
