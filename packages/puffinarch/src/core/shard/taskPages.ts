/**
 * Task pages: rows with the tasks of a job that is too wide for a single row. A page holds consecutive tasks of one occurrence, counted
 * over all of its steps, and is written only when it has changed. Tasks that were never started have no page.
 */

import type { Clock } from "../../types/ports.js";
import type { ShardJob, ShardOccurrence, ShardStep, ShardTask } from "./jobModel.js";
import type { StoredCrashedTask, StoredTaskPage } from "./jobRowSchemas.js";
import {
    encodeDetails,
    encodeTask,
    restoreDetails,
    type RestoredRuns,
    restoreTask,
    type RestoreTimes,
} from "./taskRows.js";

/** Key prefix of task pages. */
export const taskPagePrefix = "tasks/";

/** Most tasks of a page; a change of one task rewrites its page. */
const pageTasks = 128;
/** Largest stored checkpoint, as a share of a row; the page of a single task holds it beside the task's other state. */
const checkpointShare = 0.25;

/**
 * Returns the largest checkpoint that is stored of a task, in bytes.
 *
 * @example
 * maxCheckpointBytes(49_152); // 12_288
 */
export const maxCheckpointBytes = (rowBytes: number): number => Math.floor(checkpointShare * rowBytes);

/**
 * Returns the ID of the job that a page belongs to.
 *
 * @example
 * jobIdOfTaskPage("tasks/5c0e7a21d94b36f8/0/128"); // "5c0e7a21d94b36f8"
 */
export const jobIdOfTaskPage = (key: string): string =>
    key.slice(taskPagePrefix.length).split("/").slice(0, -2).join("/");

const tasksOf = ({ steps }: ShardOccurrence): readonly ShardTask[] => steps.flatMap(({ tasks }) => tasks);

const encodeGangs = (tasks: readonly ShardTask[]): StoredTaskPage["gangs"] =>
    tasks.flatMap(({ index, step: { number, gangFailures, gangFailedRun } }) =>
        index === 0 && gangFailures > 0 ? [[number, gangFailures, gangFailedRun]] : []
    );

/** Leaves out empty lists and records, which are the defaults. */
const withoutEmpty = (fields: Readonly<Record<string, object>>): Readonly<Record<string, object>> =>
    Object.fromEntries(Object.entries(fields).filter(([, value]) => Object.keys(value).length > 0));

const wasNeverStarted = ({ done, lastRun }: ShardTask): boolean => !done && lastRun === 0;

/**
 * Encodes the pages of a job, by key. A page whose text exceeds a row of the store is divided. The last tasks come first: if a page is
 * divided anew and only a part of the pages becomes durable, the rows that take over its tasks are written no later than the row
 * that has lost them.
 *
 * @example
 * encodeTaskPages(job, clock, 49_152).get("tasks/5c0e7a21d94b36f8/0/128");
 */
export const encodeTaskPages = (job: ShardJob, clock: Clock, rowBytes: number): ReadonlyMap<string, string> => {
    const pages = new Map<string, string>();
    const checkpointBytes = maxCheckpointBytes(rowBytes);

    const addPage = (occurrence: number, first: number, tasks: readonly ShardTask[]): void => {
        if (tasks.every(wasNeverStarted)) {
            return;
        }
        const text = JSON.stringify({
            occurrence,
            first,
            tasks: tasks.map(task => encodeTask(task, checkpointBytes)),
            ...withoutEmpty({ gangs: encodeGangs(tasks), ...encodeDetails(tasks, clock) }),
        });
        if (Buffer.byteLength(text) > rowBytes && tasks.length > 1) {
            const half = Math.ceil(tasks.length / 2);
            addPage(occurrence, first + half, tasks.slice(half));
            addPage(occurrence, first, tasks.slice(0, half));
            return;
        }
        pages.set(`${taskPagePrefix}${job.submission.jobId}/${occurrence}/${first}`, text);
    };

    for (const occurrence of job.occurrences.values()) {
        const tasks = tasksOf(occurrence);
        for (let first = pageTasks * (Math.ceil(tasks.length / pageTasks) - 1); first >= 0; first -= pageTasks) {
            addPage(occurrence.number, first, tasks.slice(first, first + pageTasks));
        }
    }
    return pages;
};

const restoreGangs = (steps: readonly ShardStep[], { gangs }: StoredTaskPage): void => {
    for (const [number, failures, failedRun] of gangs) {
        const step = steps[number];
        if (step !== undefined) {
            step.gangFailures = failures;
            step.gangFailedRun = failedRun;
        }
    }
};

/**
 * Leaves out of each page, given the oldest first, the tasks that a newer one holds: while the pages of a job are divided anew, two
 * rows may hold the same task. The occurrences of the pages are open.
 *
 * @example
 * const restored = withoutReplacedTasks(job, pages).map(page => restoreTaskPage(job, page, times));
 */
export const withoutReplacedTasks = (job: ShardJob, pages: readonly StoredTaskPage[]): readonly StoredTaskPage[] => {
    const replaced = new Set<string>();
    const isCurrent = ({ place: [occurrence, step, index] }: Pick<StoredCrashedTask, "place">): boolean =>
        !replaced.has(job.occurrences.get(occurrence)?.steps[step]?.tasks[index]?.name ?? "");
    const current: StoredTaskPage[] = [];
    for (const page of [...pages].reverse()) {
        const occurrence = job.occurrences.get(page.occurrence);
        const names = (occurrence === undefined ? [] : tasksOf(occurrence))
            .slice(page.first, page.first + page.tasks.length).map(({ name }) => name);
        current.unshift({
            ...page,
            tasks: page.tasks.map((task, index) => replaced.has(names[index] ?? "") ? 0 : task),
            crashed: page.crashed.filter(isCurrent),
            lost: page.lost.filter(isCurrent),
            failed: page.failed.filter(isCurrent),
            unanswered: page.unanswered.filter(isCurrent),
        });
        for (const name of names) {
            replaced.add(name);
        }
    }
    return current;
};

/**
 * Restores the tasks of a page, whose occurrence is open.
 *
 * @example
 * const { runs, losses } = restoreTaskPage(job, page, times);
 */
export const restoreTaskPage = (job: ShardJob, page: StoredTaskPage, times: RestoreTimes): RestoredRuns => {
    const occurrence = job.occurrences.get(page.occurrence);
    if (occurrence === undefined) {
        return { runs: [], losses: [] };
    }
    restoreGangs(occurrence.steps, page);
    const live = tasksOf(occurrence).slice(page.first, page.first + page.tasks.length).flatMap((task, index) =>
        restoreTask(task, page.tasks[index] ?? 0).map(([workerId, run]) => ({ task, workerId, run }))
    );
    return restoreDetails(job, page, live, times);
};
