/**
 * Runs on workers that fell silent until their leases were over. Nobody knows then whether the worker crashed or was only
 * cut off: another life under its id or at its address shows a crash, an answer of the same life that there was none.
 */

import type { CrashedRun } from "./crashes.js";
import { isOtherLife, type WorkerLife } from "./lives.js";

/** A life of a worker, and where it was reached. */
export interface LostLife extends WorkerLife {
    readonly address: string;
}

/** Remembers what may have crashed silent workers. */
export interface LostRuns {
    /** The leases of a silent worker are over, with these runs. */
    lose(life: LostLife, runs: readonly CrashedRun[], nowMs: number): void;
    /** The worker has answered; gives the runs that were lost with another life of it, none where the same life answers. */
    answered(life: WorkerLife): readonly CrashedRun[];
    /** Another life is at the address; gives the runs that were lost with the one before. */
    replaced(address: string, nextId: string): readonly CrashedRun[];
}

/** Workers without an answer that are remembered; a data centre has some hundreds. */
const mostWorkers = 1_000;

interface LostWorker {
    readonly bornAtMs: number | undefined;
    readonly address: string;
    readonly runs: readonly CrashedRun[];
}

/**
 * Makes the memory of one owner.
 *
 * @example
 * const lost = createLostRuns();
 * const nowMs = clock.monotonicMs();
 * lost.lose({ workerId: "i-1", bornAtMs: undefined, address: "10.0.0.1:1" }, crashedRuns(worker, nowMs), nowMs);
 * lost.replaced("10.0.0.1:1", "i-2");
 */
export const createLostRuns = (): LostRuns => {
    const byWorker = new Map<string, LostWorker>();
    /** Forgets a worker; its runs are not unresolved any more. */
    const settle = (workerId: string): readonly CrashedRun[] => {
        const runs = byWorker.get(workerId)?.runs ?? [];
        byWorker.delete(workerId);
        for (const { task } of runs) {
            task.unresolvedAtMs.shift();
        }
        return runs;
    };
    return {
        lose: ({ workerId, bornAtMs, address }, runs, nowMs) => {
            if (runs.length === 0 || address === "") {
                return;
            }
            const [oldest] = byWorker.keys();
            if (oldest !== undefined && byWorker.size >= mostWorkers) {
                settle(oldest);
            }
            for (const { task } of runs) {
                task.unresolvedAtMs.push(nowMs);
            }
            byWorker.set(workerId, { bornAtMs, address, runs: [...byWorker.get(workerId)?.runs ?? [], ...runs] });
        },
        answered: ({ workerId, bornAtMs }) => {
            const isOther = isOtherLife(byWorker.get(workerId)?.bornAtMs, bornAtMs);
            const runs = settle(workerId);
            return isOther ? runs : [];
        },
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
