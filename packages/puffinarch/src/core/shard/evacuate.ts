/** Chooses which runs to stop, with a checkpoint, on a worker that is about to be taken down. */

import { runPhases, type ShardRun, type ShardStep, type ShardTask } from "./jobModel.js";
import type { ShardWorker } from "./workerTable.js";

/** Time after its start within which a long-running task may not serve yet; a start takes up to 1 s. */
const startupMs = 1_500;
const fullPercent = 100;

const isAtWork = (task: ShardTask, nowMs: number): boolean =>
    task.runs.some(run =>
        run.phase === runPhases.running && run.percent === fullPercent
        && run.startedAtMs !== undefined && nowMs - run.startedAtMs >= startupMs
    );

/**
 * Whether the step's budget of absent tasks (`mayMiss`) allows the scheduler to take one more task of a long-running step down; 0 sets no
 * limit.
 */
const isWithinAbsenceBudget = ({ spec, tasks }: ShardStep, task: ShardTask, nowMs: number): boolean => {
    if (spec.mayMiss === 0) {
        return true;
    }
    const absentCount = tasks.filter(other => other !== task && !isAtWork(other, nowMs)).length;
    return absentCount < spec.mayMiss;
};

/** Whether a run must be moved before its worker goes down: the step's budget of absent tasks is never exceeded. */
const isProtected = ({ task }: ShardRun): boolean => task.step.spec.longRunning && task.step.spec.mayMiss > 0;

/**
 * Returns the runs of a worker to stop now: those that save checkpoints, and long-running ones as far as their step's budget of absent
 * tasks allows. Gang members, and runs that neither save checkpoints nor are long-running, are left running.
 *
 * @example
 * for (const run of runsToMove(worker, clock.monotonicMs())) { stop(run); }
 */
export const runsToMove = (worker: ShardWorker, nowMs: number): readonly ShardRun[] => {
    const chosen: ShardRun[] = [];
    const stepsChosen = new Set<ShardStep>();
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
        // At most one task per step in each call, since the budget does not count tasks chosen in this call as absent. Later calls choose
        // further ones as far as the budget allows.
        if (!stepsChosen.has(run.task.step) && isWithinAbsenceBudget(run.task.step, run.task, nowMs)) {
            stepsChosen.add(run.task.step);
            chosen.push(run);
        }
    }
    return chosen;
};

/**
 * Tells whether a worker may be taken down now although work on it would have to be started again elsewhere.
 *
 * @example
 * mayGoDown(worker); // false while a task of a step with a budget runs there
 */
export const mayGoDown = (worker: ShardWorker): boolean => ![...worker.runs.values()].some(isProtected);
