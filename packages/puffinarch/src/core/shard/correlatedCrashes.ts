/**
 * Records when workers fell silent. Workers that do so at one moment under tasks of different jobs have a common cause, such
 * as a rack's power: 12 workers may go down at once with hundreds of sound tasks on them, and the same task may be hit again.
 */

import type { CrashedRun } from "./crashes.js";
import { incarnationKey, type WorkerIncarnation } from "./incarnations.js";
import type { ShardJob } from "./jobModel.js";

/** Records which workers fell silent, when, and under which jobs. */
export interface CorrelatedCrashes {
    /** Records that an incarnation fell silent, and the runs that had just been started on it. */
    record(incarnation: WorkerIncarnation, atMs: number, runs: readonly CrashedRun[]): void;
    /**
     * Removes an incarnation that answers again, as it had not crashed. An answer of a later incarnation under the same
     * worker id leaves the record in place.
     */
    answered(incarnation: WorkerIncarnation): void;
    /** Counts the workers that fell silent at the same moment and had not just started a task of the job. */
    countOthersAt(atMs: number, job: ShardJob): number;
}

/** Workers that go down together lose their connections together; this daemon notices all of them within this time. */
const coincidenceWindowMs = 150;
/**
 * How long silences are kept. A crash is confirmed when the worker is back, some seconds later, so that older silences are
 * not needed.
 */
const retentionMs = 60_000;

interface SilentWorker {
    readonly atMs: number;
    readonly jobs: ReadonlySet<ShardJob>;
}

/**
 * Creates the records of one shard owner.
 *
 * @example
 * const correlatedCrashes = createCorrelatedCrashes();
 * correlatedCrashes.record({ workerId: "i-1", bornAtMs: undefined }, 1_000, []);
 * correlatedCrashes.countOthersAt(1_050, job); // 1
 */
export const createCorrelatedCrashes = (): CorrelatedCrashes => {
    const byIncarnation = new Map<string, SilentWorker>();
    return {
        record: (incarnation, atMs, runs) => {
            for (const [known, silent] of byIncarnation) {
                if (atMs - silent.atMs > retentionMs) {
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
        countOthersAt: (atMs, job) => {
            let others = 0;
            for (const silent of byIncarnation.values()) {
                others += Math.abs(silent.atMs - atMs) <= coincidenceWindowMs && !silent.jobs.has(job) ? 1 : 0;
            }
            return others;
        },
    };
};
