/** Which less urgent runs to stop, with their checkpoint, so that urgent tasks find room. */

import { add, fits, type Resources } from "../../types/resources.js";
import { ticketFor } from "./chooseWorker.js";
import { heldBy, runPhases, type ShardRun, type ShardStep } from "./jobBook.js";
import { isOpen, roomOf, runKey, type ShardWorker } from "./workerTable.js";

/** A step that has waited for less than this may find room by itself; tasks end every few milliseconds under load. */
const patienceMs = 120;
/** Workers whose stops take longer free their room too late for urgent work. */
const longestStopMs = 500;

const isVictim = (run: ShardRun, priority: number): boolean => {
    const { spec, occurrence } = run.task.step;
    return run.phase === runPhases.running && !run.task.done && occurrence.job.queue.priority > priority
        && spec.checkpointing && !spec.gang && !spec.longRunning && !spec.fills;
};

/** The one run of a worker whose end gives room for the task, the smallest such; undefined where none does. */
const smallestVictim = (worker: ShardWorker, need: Resources, priority: number): ShardRun | undefined => {
    const room = roomOf(worker);
    let best: ShardRun | undefined;
    for (const run of worker.runs.values()) {
        if (!isVictim(run, priority) || !fits(need, add(room, run.held))) {
            continue;
        }
        if (best === undefined || run.held.cpuMillis < best.held.cpuMillis) {
            best = run;
        }
    }
    return best;
};

/** What a search for victims needs. */
export interface PreemptOptions {
    readonly step: ShardStep;
    /** Tasks that found no room. */
    readonly waiting: number;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly nowMs: number;
    /** How long a stop may take. */
    readonly stopMs: number;
}

/**
 * Chooses runs to stop for a step, at most one for each task that waits; those chosen before count until they are gone.
 *
 * @example
 * for (const run of victimsOf({ step, waiting, workers, nowMs, stopMs })) { stop(run); }
 */
export const victimsOf = ({ step, waiting, workers, nowMs, stopMs }: PreemptOptions): readonly ShardRun[] => {
    if (nowMs - step.readyAtMs < patienceMs || stopMs > longestStopMs) {
        return [];
    }
    const { priority } = step.occurrence.job.queue;
    const need = heldBy(step.spec);
    const leaving = step.victims.filter(run =>
        workers.get(run.workerId)?.runs.has(runKey(run.task.name, run.run)) === true
    );
    const chosen: ShardRun[] = [];
    for (const worker of workers.values()) {
        if (leaving.length + chosen.length >= waiting) {
            break;
        }
        if (!isOpen(worker, nowMs) || ticketFor(step, worker.workerId, nowMs) === undefined) {
            continue;
        }
        if (leaving.some(run => run.workerId === worker.workerId)) {
            continue;
        }
        const victim = smallestVictim(worker, need, priority);
        if (victim !== undefined) {
            chosen.push(victim);
        }
    }
    step.victims = [...leaving, ...chosen];
    return chosen;
};
