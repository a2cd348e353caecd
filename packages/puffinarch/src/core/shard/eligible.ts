/** Which workers could run a step, and how many of its tasks: service, label, capacity, tickets and runs on one worker. */

import { fits, type Resources, subtract } from "../../types/resources.js";
import type { Step } from "../../types/work.js";
import { tasksUnderCap } from "./accounts.js";
import { heldBy, type ShardStep } from "./jobBook.js";
import type { ShardWorker } from "./workerTable.js";

/** A ticket that is about to end might be refused on arrival. */
const ticketMarginMs = 120;

/**
 * Counts a step's live runs on each worker that has some.
 *
 * @example
 * countRuns(step).get("i-7f3a91c2"); // undefined
 */
export const countRuns = (step: ShardStep): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    for (const task of step.tasks) {
        for (const { workerId } of task.runs) {
            counts.set(workerId, (counts.get(workerId) ?? 0) + 1);
        }
    }
    return counts;
};

/**
 * Tells whether a worker that has so many live runs of a step may have another one.
 *
 * @example
 * allowsAnother(step.spec, countRuns(step).get("i-7f3a91c2") ?? 0);
 */
export const allowsAnother = ({ maxPerWorker }: Step, runsHere: number): boolean =>
    maxPerWorker === 0 || runsHere < maxPerWorker;

/**
 * Counts the tasks of a step that find room, one beside the other, in this room of a worker.
 *
 * @example
 * placesIn(roomOf(worker), step, countRuns(step).get(worker.workerId) ?? 0);
 */
export const placesIn = (room: Resources, { spec }: ShardStep, runsHere: number): number => {
    const held = heldBy(spec);
    let left = room;
    let places = 0;
    while (places < spec.count && allowsAnother(spec, runsHere + places) && fits(held, left)) {
        left = subtract(left, held);
        places += 1;
    }
    return places;
};

/**
 * Tells how many tasks of a step have to find room before any of them starts.
 *
 * @example
 * placesNeeded(step); // all members of a gang, else 1
 */
export const placesNeeded = ({ spec, tasks }: ShardStep): number => spec.gang ? tasks.length : 1;

/**
 * Tells whether the cap of its organisation lets none of a step's tasks start, or not the whole of a gang.
 *
 * @example
 * if (isAtCap(step)) { return; }
 */
export const isAtCap = (step: ShardStep): boolean =>
    tasksUnderCap(step.occurrence.job.account, heldBy(step.spec)) < placesNeeded(step);

/**
 * Gives the ticket that a start of the step must show: empty where none is needed, undefined where there is none.
 *
 * @example
 * ticketFor(step, "i-7f3a91c2", clock.monotonicMs());
 */
export const ticketFor = (step: ShardStep, workerId: string, nowMs: number): string | undefined => {
    if (step.occurrence.job.queue.advice === undefined) {
        return "";
    }
    const good = step.advice.good.get(workerId);
    return good !== undefined && good.validUntilMs - ticketMarginMs > nowMs ? good.ticket : undefined;
};

/**
 * Tells whether a worker could ever run the step: service, label and capacity.
 *
 * @example
 * suits(worker, step);
 */
export const suits = (worker: ShardWorker, step: ShardStep): boolean =>
    isOfKind(worker, step) && fits(heldBy(step.spec), worker.entry.capacity);

/**
 * Tells whether a worker is of the service and of the kind that a step needs, whatever its size.
 *
 * @example
 * isOfKind(worker, step);
 */
export const isOfKind = ({ entry }: ShardWorker, { spec, occurrence }: ShardStep): boolean =>
    entry.service === occurrence.job.queue.service
    && (spec.requiredLabel === "" || entry.labels.includes(spec.requiredLabel));

/**
 * Tells whether a worker might run the step at some time: one that has shrunk may grow again.
 *
 * @example
 * mightSuit(worker, step);
 */
export const mightSuit = (worker: ShardWorker, step: ShardStep): boolean =>
    isOfKind(worker, step) && fits(heldBy(step.spec), worker.mostCapacity);
