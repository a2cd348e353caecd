/**
 * Watches a cell during a test for stalled tasks: tasks that do not run although there is no fault and the workers have room for
 * them twice over.
 */

import { parseTaskName, type RunEnd } from "puffinarch";
import type { StartEvidence } from "./fencedWorkers.js";
import type { ShardCell } from "./shardCell.js";
import { faultFreeBeforeMs, stallLimitMs } from "./stalledTasks.js";

/** Result of watching a cell. */
export interface StalledTaskWatch {
    /** One line for each task that was stalled for too long, with the time and the earlier runs of the task. */
    stalledTasks(): readonly string[];
}

const pollIntervalMs = 250;
const roomFactor = 2;
/** A long-running task, whose attempts are not limited, may wait this long after its last run. */
const longRunningWaitMs = 6_000;

const jobOf = (taskName: string): string => parseTaskName(taskName)?.jobId ?? "";

const describeRuns = (evidence: readonly StartEvidence[], taskName: string): string =>
    evidence.filter(start => start.taskName === taskName)
        .map(({ run, workerId, endedAtMs = NaN, how = "running" as RunEnd }) =>
            `run ${run} ${how} on ${workerId} at ${Math.round(endedAtMs)}`
        ).join(", ");

/**
 * Watches a cell from now on. Reports a task that is stalled for 3 s without interruption, with room for it twice over, while no
 * task of its job runs and no fault has occurred in these 3 s and the 4 s before. A long-running task is judged on its own,
 * from 6 s after its last run on.
 *
 * @example
 * const watch = watchStalledTasks(cell);
 * await cell.clock.advance(20_000);
 * assert.deepEqual(watch.stalledTasks(), []);
 */
export const watchStalledTasks = (cell: ShardCell): StalledTaskWatch => {
    const { clock, workers: { evidence } } = cell;
    const stalledSinceMs = new Map<string, number>();
    const reports = new Map<string, string>();

    const mayWait = (taskName: string, busyJobs: ReadonlySet<string>, nowMs: number): boolean => {
        if (cell.stepOf(taskName)?.longRunning !== true) {
            return busyJobs.has(jobOf(taskName));
        }
        const lastEndMs = evidence.findLast(start => start.taskName === taskName)?.endedAtMs ?? -Infinity;
        return nowMs - lastEndMs < longRunningWaitMs;
    };

    /** When the last run ended that counts for the task, as a run may begin and end between two polls. */
    const lastRelevantEndMs = (taskName: string): number => {
        const isLongRunning = cell.stepOf(taskName)?.longRunning === true;
        const isRelevant = (other: string): boolean =>
            isLongRunning ? other === taskName : jobOf(other) === jobOf(taskName);
        return Math.max(
            ...evidence.filter(start => isRelevant(start.taskName)).map(({ endedAtMs = -Infinity }) => endedAtMs),
        );
    };

    const poll = (): void => {
        clock.setTimer(pollIntervalMs, poll);
        const nowMs = clock.monotonicMs();
        const faultFreeMs = nowMs - (cell.faultFreeSinceMs() ?? nowMs);
        if (faultFreeMs < faultFreeBeforeMs) {
            stalledSinceMs.clear();
            return;
        }
        const busyJobs = new Set(
            evidence.filter(({ endedAtMs }) => endedAtMs === undefined).map(({ taskName }) => jobOf(taskName)),
        );
        const stalledTasks = new Set(cell.standing(roomFactor).filter(taskName => !mayWait(taskName, busyJobs, nowMs)));
        for (const taskName of stalledSinceMs.keys()) {
            if (!stalledTasks.has(taskName)) {
                stalledSinceMs.delete(taskName);
            }
        }
        for (const taskName of stalledTasks) {
            const since = stalledSinceMs.get(taskName) ?? nowMs;
            stalledSinceMs.set(taskName, since);
            if (nowMs - Math.max(since, lastRelevantEndMs(taskName)) >= stallLimitMs && !reports.has(taskName)) {
                reports.set(
                    taskName,
                    `${taskName} was stalled for 3 s at ${nowMs}, ${describeRuns(evidence, taskName)}`,
                );
            }
        }
    };

    clock.setTimer(pollIntervalMs, poll);
    return { stalledTasks: () => [...reports.values()] };
};
