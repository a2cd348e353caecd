/** Which runs to stop, with their checkpoint, so that a worker can be taken down for a while without harm. */

import { runPhases, type ShardRun, type ShardStep, type ShardTask } from "./jobBook.js";
import type { ShardWorker } from "./workerTable.js";

/** A long-running task that was started less than this ago may not be at work yet; its start takes up to 1 s. */
const settleMs = 1_500;
const fullPercent = 100;

const isAtWork = (task: ShardTask, nowMs: number): boolean =>
    task.runs.some(run =>
        run.phase === runPhases.running && run.percent === fullPercent
        && run.startedAtMs !== undefined && nowMs - run.startedAtMs >= settleMs
    );

/** Whether one more task of a long-running step may be away through the scheduler's own actions. */
const maySpare = ({ spec, tasks }: ShardStep, task: ShardTask, nowMs: number): boolean => {
    if (spec.mayMiss === 0) {
        return true;
    }
    const away = tasks.filter(other => other !== task && !isAtWork(other, nowMs)).length;
    return away < spec.mayMiss;
};

/** Whether a run holds its worker until it could be moved: the step's budget of absent tasks is kept at any price. */
const isProtected = ({ task }: ShardRun): boolean => task.step.spec.longRunning && task.step.spec.mayMiss > 0;

/**
 * Chooses the runs of a worker to stop now: those that save their progress, and long-running ones as far as their step's
 * budget of absent tasks allows. The others end by themselves.
 *
 * @example
 * for (const run of runsToMove(worker, clock.monotonicMs())) { stop(run); }
 */
export const runsToMove = (worker: ShardWorker, nowMs: number): readonly ShardRun[] => {
    const chosen: ShardRun[] = [];
    const touched = new Set<ShardStep>();
    for (const run of worker.runs.values()) {
        const { spec } = run.task.step;
        if (run.phase !== runPhases.running || spec.gang) {
            continue;
        }
        if (!spec.longRunning) {
            if (spec.checkpointing) {
                chosen.push(run);
            }
            continue;
        }
        // One of a step at a time: the next once this one is at work elsewhere.
        if (!touched.has(run.task.step) && maySpare(run.task.step, run.task, nowMs)) {
            touched.add(run.task.step);
            chosen.push(run);
        }
    }
    return chosen;
};

/**
 * Tells whether a worker may go down now at the price of work that starts again elsewhere.
 *
 * @example
 * mayGoDown(worker); // false while a task of a step with a budget runs there
 */
export const mayGoDown = (worker: ShardWorker): boolean => ![...worker.runs.values()].some(isProtected);
