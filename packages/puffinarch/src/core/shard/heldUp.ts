/** Whether a step that waits has room that is kept for others, so that its wait for it can be bounded. */

import { countRuns, placesIn, placesNeeded, suits } from "./eligible.js";
import type { ShardStep } from "./jobBook.js";
import type { RoomView } from "./roomView.js";
import { isKeptFrom } from "./trials.js";
import { isOpen, roomOf, type ShardWorker } from "./workerTable.js";

/** What is seen in a pass. */
interface Sight {
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly view: RoomView;
    readonly nowMs: number;
}

const mayRunOn = (worker: ShardWorker, step: ShardStep, { workers, nowMs }: Sight): boolean => {
    const { job } = step.occurrence;
    return (job.queue.advice === undefined || step.advice.good.has(worker.workerId)) && isOpen(worker, nowMs)
        && suits(worker, step) && !isKeptFrom(worker, job, { workers, nowMs });
};

/**
 * Tells whether a step that found no room would have some if none were kept for others: for all members of a gang, else for
 * one task. Each pass asks for each step that waits, so that what most workers fail is looked at first.
 *
 * @example
 * step.keptOutAtMs = isKeptOut(step, { workers, view, nowMs }) ? step.keptOutAtMs ?? nowMs : undefined;
 */
export const isKeptOut = (step: ShardStep, sight: Sight): boolean => {
    const { gang } = step.spec;
    const runsOf = countRuns(step);
    let needed = placesNeeded(step);
    let isKept = false;
    for (const worker of sight.workers.values()) {
        const isKeptHere = sight.view.isKept(worker, step);
        // On the others a single task has just found no room; the members of a gang may be spread over both.
        if (!gang && !isKeptHere) {
            continue;
        }
        const places = placesIn(roomOf(worker), step, runsOf.get(worker.workerId) ?? 0);
        if (places > 0 && mayRunOn(worker, step, sight)) {
            needed -= places;
            isKept ||= isKeptHere;
        }
        if (needed <= 0 && isKept) {
            return true;
        }
    }
    return false;
};
