/**
 * Tracks runs on workers that stayed silent until their leases were over. Such a worker may have crashed or only been
 * unreachable: another incarnation under its id or at its address shows that it crashed, an answer of the same incarnation
 * that it did not. The losses are stored with their jobs, so that a successor can settle those that this owner did not.
 */

import type { CrashedRun } from "./crashes.js";
import { isOtherIncarnation, type WorkerIncarnation } from "./incarnations.js";
import type { ShardJob } from "./jobModel.js";

/** A worker's id, and the address at which it was reached. */
export interface LostWorker {
    readonly workerId: string;
    readonly address: string;
}

/** Keeps the runs that may have crashed silent workers, until that is known. */
export interface LostRuns {
    /** Records runs whose leases on a silent worker are over. */
    add(worker: LostWorker, runs: readonly CrashedRun[], nowMs: number): void;
    /** Settles the losses of a worker that answers; returns the runs that were lost with another incarnation of it. */
    answered(incarnation: WorkerIncarnation): readonly CrashedRun[];
    /** Settles the losses of other workers at an address where a new worker is; returns their runs. */
    replaced(address: string, nextId: string): readonly CrashedRun[];
}

/** Most silent workers whose losses are kept; a data centre has some hundreds of workers. */
const maxWorkers = 1_000;

interface WorkerLosses {
    readonly address: string;
    readonly runs: readonly CrashedRun[];
}

/**
 * Creates the table of lost runs of one owner. `onSettled` is called for a job once one of its losses is settled, so that its row is
 * written without that loss: a successor might count it for a later crash.
 *
 * @example
 * const lost = createLostRuns(job => changed.add(job));
 * const nowMs = clock.monotonicMs();
 * lost.add({ workerId: "i-1", address: "10.0.0.1:1" }, crashedRuns(worker, nowMs), nowMs);
 * lost.replaced("10.0.0.1:1", "i-2");
 */
export const createLostRuns = (onSettled: (job: ShardJob) => void): LostRuns => {
    const byWorker = new Map<string, WorkerLosses>();

    const removeLoss = ({ task, run }: CrashedRun): void => {
        const index = task.unresolvedLosses.findIndex(loss => loss.run === run);
        if (index >= 0) {
            task.unresolvedLosses.splice(index, 1);
            onSettled(task.step.occurrence.job);
        }
    };

    /** Removes the losses of a worker, also from their tasks; returns its runs. */
    const settle = (workerId: string): readonly CrashedRun[] => {
        const runs = byWorker.get(workerId)?.runs ?? [];
        byWorker.delete(workerId);
        for (const lost of runs) {
            removeLoss(lost);
        }
        return runs;
    };
    return {
        add: ({ workerId, address }, runs, nowMs) => {
            if (runs.length === 0 || address === "") {
                return;
            }
            const [oldest] = byWorker.keys();
            if (oldest !== undefined && byWorker.size >= maxWorkers) {
                settle(oldest);
            }
            for (const { task, run, bornAtMs, alone, confirmed } of runs) {
                task.unresolvedLosses.push({ run, workerId, bornAtMs, address, lostAtMs: nowMs, alone, confirmed });
            }
            byWorker.set(workerId, { address, runs: [...byWorker.get(workerId)?.runs ?? [], ...runs] });
        },
        answered: ({ workerId, bornAtMs }) =>
            settle(workerId).filter(lost => isOtherIncarnation(lost.bornAtMs, bornAtMs)),
        replaced: (address, nextId) => {
            const found: CrashedRun[] = [];
            for (const [workerId, lost] of byWorker) {
                if (lost.address === address && workerId !== nextId) {
                    found.push(...settle(workerId));
                }
            }
            return found;
        },
    };
};
