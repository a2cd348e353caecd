/**
 * Runs on workers that fell silent until their leases were over. Nobody knows then whether the worker crashed or was only
 * cut off: another incarnation under its ID or at its address shows a crash, an answer of the same one that there was none. The
 * losses stand in the rows of their jobs, so that a successor counts what its predecessor could not settle.
 */

import type { CrashedRun } from "./crashes.js";
import { isOtherIncarnation, type WorkerIncarnation } from "./incarnations.js";
import type { ShardJob } from "./jobBook.js";

/** A worker by its ID, and where it was reached. */
export interface LostWorker {
    readonly workerId: string;
    readonly address: string;
}

/** Remembers what may have crashed silent workers. */
export interface LostRuns {
    /** The leases of a silent worker are over, with these runs. */
    lose(worker: LostWorker, runs: readonly CrashedRun[], nowMs: number): void;
    /** The worker has answered; gives the runs that were lost with another incarnation of it. */
    answered(incarnation: WorkerIncarnation): readonly CrashedRun[];
    /** Another worker is at the address; gives the runs that were lost with the one before. */
    replaced(address: string, nextId: string): readonly CrashedRun[];
}

/** Workers without an answer that are remembered; a data centre has some hundreds. */
const mostWorkers = 1_000;

interface Losses {
    readonly address: string;
    readonly runs: readonly CrashedRun[];
}

/**
 * Makes the memory of one owner. A job is told of once a loss of it is settled, so that its row lists that loss no more: a successor
 * might count it for a crash that came later.
 *
 * @example
 * const lost = createLostRuns(job => changed.add(job));
 * const nowMs = clock.monotonicMs();
 * lost.lose({ workerId: "i-1", address: "10.0.0.1:1" }, crashedRuns(worker, nowMs), nowMs);
 * lost.replaced("10.0.0.1:1", "i-2");
 */
export const createLostRuns = (onSettled: (job: ShardJob) => void): LostRuns => {
    const byWorker = new Map<string, Losses>();

    const resolve = ({ task, run }: CrashedRun): void => {
        const index = task.unresolvedLosses.findIndex(loss => loss.run === run);
        if (index >= 0) {
            task.unresolvedLosses.splice(index, 1);
            onSettled(task.step.occurrence.job);
        }
    };

    /** Forgets a worker; its runs are not unresolved any more. */
    const settle = (workerId: string): readonly CrashedRun[] => {
        const runs = byWorker.get(workerId)?.runs ?? [];
        byWorker.delete(workerId);
        for (const lost of runs) {
            resolve(lost);
        }
        return runs;
    };
    return {
        lose: ({ workerId, address }, runs, nowMs) => {
            if (runs.length === 0 || address === "") {
                return;
            }
            const [oldest] = byWorker.keys();
            if (oldest !== undefined && byWorker.size >= mostWorkers) {
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
