/** Paces tasks that fill, so that the tasks that serve beside them keep their latency objective. */

import type { Clock, Log } from "../../types/ports.js";
import { runPhases, type ShardRun } from "./jobBook.js";
import type { ShardWorker } from "./workerTable.js";

/** Shares of the objective: at the first, tasks that fill are halved; over the second, halted; below the last, raised. */
const slowAt = 0.75;
const haltAt = 0.95;
const raiseBelow = 0.55;
const fullPercent = 100;
const raiseStepPercent = 20;
const leastPercent = 10;
/** The figure covers half a second and a pace takes effect after 100 ms. */
const settleMs = 700;

/** Decides on paces after each look. */
export interface Pacer {
    review(worker: ShardWorker, pace: (run: ShardRun, percent: number) => void): void;
}

const nextPercent = (current: number, worstShare: number): number => {
    if (worstShare >= haltAt) {
        return 0;
    }
    if (worstShare >= slowAt) {
        return current / 2 < leastPercent ? 0 : Math.round(current / 2);
    }
    return worstShare < raiseBelow ? Math.min(fullPercent, current + raiseStepPercent) : current;
};

/**
 * Makes the pacer of a shard.
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
            const filling = running.filter(run => run.task.step.spec.fills);
            if (filling.length === 0) {
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
            const settled = nowMs - (changedAtMs.get(worker.workerId) ?? -settleMs) >= settleMs;
            for (const run of filling) {
                const percent = nextPercent(run.percent, worstShare);
                const raise = percent > run.percent;
                if (percent === run.percent || (raise && !settled)) {
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
