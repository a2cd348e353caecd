/** Throttles best-effort tasks (`fills`), so that tasks with a latency objective on the same worker meet it. */

import type { Clock, Log } from "../../types/ports.js";
import { runPhases, type ShardRun } from "./jobModel.js";
import type { ShardWorker } from "./workerTable.js";

/**
 * Thresholds on the worst ratio of latency to its objective on a worker: from `slowAt` on, the processor shares of best-effort
 * tasks are halved; from `haltAt` on, they are set to 0; below `raiseBelow` they are raised.
 */
const slowAt = 0.75;
const haltAt = 0.95;
const raiseBelow = 0.55;
const fullPercent = 100;
const raiseStepPercent = 20;
/** A share that halving would bring below this is set to 0. */
const minPercent = 10;
/** Wait after a change before a share is raised: the reported latency covers 500 ms and a change takes effect after 100 ms. */
const raiseDelayMs = 700;

/** Adjusts the processor shares of best-effort tasks. */
export interface Pacer {
    /** Reviews a worker's runs after a look was answered; calls `pace` for each run whose share, in percent, changes. */
    review(worker: ShardWorker, pace: (run: ShardRun, percent: number) => void): void;
}

const nextPercent = (current: number, worstShare: number): number => {
    if (worstShare >= haltAt) {
        return 0;
    }
    if (worstShare >= slowAt) {
        return current / 2 < minPercent ? 0 : Math.round(current / 2);
    }
    return worstShare < raiseBelow ? Math.min(fullPercent, current + raiseStepPercent) : current;
};

/**
 * Creates the pacer of a shard.
 *
 * @example
 * const pacer = createPacer({ clock, log });
 * pacer.review(worker, (run, percent) => link.pace(run, percent));
 */
export const createPacer = ({ clock, log }: { readonly clock: Clock; readonly log: Log; }): Pacer => {
    const changedAtMs = new Map<string, number>();
    return {
        review: (worker, pace) => {
            const running = [...worker.runs.values()].filter(run => run.phase === runPhases.running);
            const bestEffort = running.filter(run => run.task.step.spec.fills);
            if (bestEffort.length === 0) {
                return;
            }
            let worstShare = 0;
            for (const run of running) {
                const { latencyObjectiveMs } = run.task.step.spec;
                if (latencyObjectiveMs > 0) {
                    worstShare = Math.max(worstShare, run.figure / latencyObjectiveMs);
                }
            }
            const nowMs = clock.monotonicMs();
            const settled = nowMs - (changedAtMs.get(worker.workerId) ?? -raiseDelayMs) >= raiseDelayMs;
            for (const run of bestEffort) {
                const percent = nextPercent(run.percent, worstShare);
                const isRaise = percent > run.percent;
                if (percent === run.percent || (isRaise && !settled)) {
                    continue;
                }
                changedAtMs.set(worker.workerId, nowMs);
                log.write("info", "paced", {
                    task: run.task.name,
                    workerId: worker.workerId,
                    from: run.percent,
                    percent,
                    worstShare,
                });
                pace(run, percent);
            }
        },
    };
};
