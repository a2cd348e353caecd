/** Whether a step that waits has room that is kept for others, so that its wait for it can be bounded. */

import { fits, subtract } from "../../types/resources.js";
import { allowsAnother, countRuns, openFor } from "./chooseWorker.js";
import { heldBy, type ShardStep } from "./jobBook.js";
import type { RoomView } from "./roomView.js";
import { isKeptFrom } from "./trials.js";
import { roomOf, type ShardWorker } from "./workerTable.js";

/** What is seen in a pass. */
interface Sight {
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly view: RoomView;
    readonly nowMs: number;
}

/** Whether what is free holds what has to start at once, were no room kept: all members of a gang, else one task. */
const fitsOnFree = (step: ShardStep, { workers, nowMs }: Sight, among: (workerId: string) => boolean): boolean => {
    const held = heldBy(step.spec);
    const runs = countRuns(step);
    let needed = step.spec.gang ? step.tasks.length : 1;
    for (const worker of openFor(step, workers, nowMs)) {
        if (!among(worker.workerId) || isKeptFrom(worker, step.occurrence.job, { workers, nowMs })) {
            continue;
        }
        let here = runs.get(worker.workerId) ?? 0;
        let room = roomOf(worker);
        while (allowsAnother(step.spec, here) && fits(held, room)) {
            needed -= 1;
            if (needed === 0) {
                return true;
            }
            here += 1;
            room = subtract(room, held);
        }
    }
    return false;
};

/**
 * Tells whether a step that found no room would have some if none were kept for others.
 *
 * @example
 * step.keptOutAtMs = isKeptOut(step, { workers, view, nowMs }) ? step.keptOutAtMs ?? nowMs : undefined;
 */
export const isKeptOut = (step: ShardStep, sight: Sight): boolean => {
    const kept = new Set(sight.view.keptFrom(step));
    // On the others it has just found no room; the members of a gang may be spread over both.
    return kept.size > 0 && fitsOnFree(step, sight, workerId => step.spec.gang || kept.has(workerId));
};
