/** Looks on while a scene goes on: jobs of which nothing runs though the cell is calm and has room for them twice over. */

import { parseTaskName, type RunEnd } from "puffinarch";
import type { StartEvidence } from "./fencedWorkers.js";
import type { ShardCell } from "./shardCell.js";
import { calmBeforeMs, standsMs } from "./standing.js";

/** What a watch has seen. */
export interface StandingWatch {
    /** Each task that stood for too long, once, with the moment and what ran of it before. */
    stood(): readonly string[];
}

const lookMs = 250;
const timesOver = 2;
/** A task that lasts, which has no last attempt, may stand until this long after its last run. */
const lastingRestMs = 6_000;

const jobOf = (taskName: string): string => parseTaskName(taskName)?.jobId ?? "";

const showRuns = (evidence: readonly StartEvidence[], taskName: string): string =>
    evidence.filter(start => start.taskName === taskName)
        .map(({ run, workerId, endedAtMs = NaN, how = "running" as RunEnd }) =>
            `run ${run} ${how} on ${workerId} at ${Math.round(endedAtMs)}`
        ).join(", ");

/**
 * Watches a cell from now on. A task is noted that stands for 3 s on end while nothing of its job is at work, each time with
 * room for it twice over, where no fault has been there in these 3 s and the 4 s before. Of tasks that last each is looked
 * at by itself, from 6 s after its last run on.
 *
 * @example
 * const watch = watchStanding(cell);
 * await cell.clock.advance(20_000);
 * assert.deepEqual(watch.stood(), []);
 */
export const watchStanding = (cell: ShardCell): StandingWatch => {
    const { clock, workers: { evidence } } = cell;
    const sinceMs = new Map<string, number>();
    const stood = new Map<string, string>();

    const mayStand = (taskName: string, busyJobs: ReadonlySet<string>, nowMs: number): boolean => {
        if (cell.stepOf(taskName)?.longRunning !== true) {
            return busyJobs.has(jobOf(taskName));
        }
        const lastEndMs = evidence.findLast(start => start.taskName === taskName)?.endedAtMs ?? -Infinity;
        return nowMs - lastEndMs < lastingRestMs;
    };

    /** A run may begin and end between two looks. */
    const lastEndOf = (taskName: string): number => {
        const isLasting = cell.stepOf(taskName)?.longRunning === true;
        const isOfSame = (other: string): boolean => isLasting ? other === taskName : jobOf(other) === jobOf(taskName);
        return Math.max(
            ...evidence.filter(start => isOfSame(start.taskName)).map(({ endedAtMs = -Infinity }) => endedAtMs),
        );
    };

    const look = (): void => {
        clock.setTimer(lookMs, look);
        const nowMs = clock.monotonicMs();
        const calmMs = nowMs - (cell.calmSinceMs() ?? nowMs);
        if (calmMs < calmBeforeMs) {
            sinceMs.clear();
            return;
        }
        const busyJobs = new Set(
            evidence.filter(({ endedAtMs }) => endedAtMs === undefined).map(({ taskName }) => jobOf(taskName)),
        );
        const standing = new Set(cell.standing(timesOver).filter(taskName => !mayStand(taskName, busyJobs, nowMs)));
        for (const taskName of sinceMs.keys()) {
            if (!standing.has(taskName)) {
                sinceMs.delete(taskName);
            }
        }
        for (const taskName of standing) {
            const since = sinceMs.get(taskName) ?? nowMs;
            sinceMs.set(taskName, since);
            if (nowMs - Math.max(since, lastEndOf(taskName)) >= standsMs && !stood.has(taskName)) {
                stood.set(taskName, `${taskName} stood for 3 s at ${nowMs}, ${showRuns(evidence, taskName)}`);
            }
        }
    };

    clock.setTimer(lookMs, look);
    return { stood: () => [...stood.values()] };
};
