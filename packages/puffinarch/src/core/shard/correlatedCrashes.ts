/**
 * Workers that fell silent, and when. Many that fall at one moment under tasks of different jobs have a common cause, such as
 * the power of a rack: 12 workers may go at once with hundreds of sound tasks on them, and the same task may be hit again.
 */

import type { CrashedRun } from "./crashes.js";
import { incarnationKey, type WorkerIncarnation } from "./incarnations.js";
import type { ShardJob } from "./jobBook.js";

/** Remembers how workers fell silent. */
export interface CorrelatedCrashes {
    /** An incarnation of a worker has fallen silent, with these runs that had just been started. */
    note(incarnation: WorkerIncarnation, atMs: number, runs: readonly CrashedRun[]): void;
    /** This incarnation answers: it had not crashed. One that answers under its id later says nothing of it. */
    answered(incarnation: WorkerIncarnation): void;
    /** Workers that fell at the same moment and had no task of the job that had just been started. */
    othersAt(atMs: number, job: ShardJob): number;
}

/** Connections to workers that go down together are lost together; this daemon reads it within this time. */
const sameMomentMs = 150;
/** A crash is known for sure once the worker is back, some seconds after; silent ones longer ago say nothing of it. */
const keptMs = 60_000;

interface Fall {
    readonly atMs: number;
    readonly jobs: ReadonlySet<ShardJob>;
}

/**
 * Makes the memory of one owner.
 *
 * @example
 * const correlatedCrashes = createCorrelatedCrashes();
 * correlatedCrashes.note({ workerId: "i-1", bornAtMs: undefined }, 1_000, []);
 * correlatedCrashes.othersAt(1_050, job); // 1
 */
export const createCorrelatedCrashes = (): CorrelatedCrashes => {
    const byIncarnation = new Map<string, Fall>();
    return {
        note: (incarnation, atMs, runs) => {
            for (const [known, fall] of byIncarnation) {
                if (atMs - fall.atMs > keptMs) {
                    byIncarnation.delete(known);
                }
            }
            byIncarnation.set(incarnationKey(incarnation), {
                atMs,
                jobs: new Set(runs.map(({ task }) => task.step.occurrence.job)),
            });
        },
        answered: incarnation => {
            byIncarnation.delete(incarnationKey(incarnation));
        },
        othersAt: (atMs, job) => {
            let others = 0;
            for (const fall of byIncarnation.values()) {
                others += Math.abs(fall.atMs - atMs) <= sameMomentMs && !fall.jobs.has(job) ? 1 : 0;
            }
            return others;
        },
    };
};
