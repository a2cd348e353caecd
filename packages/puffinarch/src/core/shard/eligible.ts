/** Eligibility of workers for a step, and how many of its tasks they can run: service, label, capacity, tickets and limits. */

import { fits, type Resources, timesThatFit } from "../../types/resources.js";
import type { Step } from "../../types/work.js";
import { tasksUnderCap } from "./accounts.js";
import { reservedResources, type ShardStep } from "./jobModel.js";
import type { ShardWorker } from "./workerTable.js";

/** A ticket that is valid for less than this might have expired when the worker receives it. */
const ticketMarginMs = 120;

/** Counts of a step without live runs, as most steps of a pass are. */
const noRuns: ReadonlyMap<string, number> = new Map();

/**
 * Counts a step's live runs by worker id.
 *
 * @example
 * countRuns(step).get("i-7f3a91c2"); // undefined
 */
export const countRuns = (step: ShardStep): ReadonlyMap<string, number> => {
    let counts: Map<string, number> | undefined;
    for (const task of step.tasks) {
        for (const { workerId } of task.runs) {
            counts ??= new Map();
            counts.set(workerId, (counts.get(workerId) ?? 0) + 1);
        }
    }
    return counts ?? noRuns;
};

/**
 * Tells whether a worker with this number of live runs of a step may have another one.
 *
 * @example
 * allowsAnotherRun(step.spec, countRuns(step).get("i-7f3a91c2") ?? 0);
 */
export const allowsAnotherRun = ({ maxPerWorker }: Step, runsHere: number): boolean =>
    maxPerWorker === 0 || runsHere < maxPerWorker;

/**
 * Counts the tasks of a step that fit together into the given capacity of a worker.
 *
 * @example
 * countTasksThatFit(freeCapacityOf(worker), step, countRuns(step).get(worker.workerId) ?? 0);
 */
export const countTasksThatFit = (free: Resources, { spec }: ShardStep, runsHere: number): number => {
    const allowed = spec.maxPerWorker === 0 ? spec.count : Math.max(0, spec.maxPerWorker - runsHere);
    return Math.min(spec.count, allowed, timesThatFit(reservedResources(spec), free));
};

/**
 * Gives the number of tasks of a step for which capacity must be available before any of them starts.
 *
 * @example
 * minTasksToStart(step); // all members of a gang, else 1
 */
export const minTasksToStart = ({ spec, tasks }: ShardStep): number => spec.gang ? tasks.length : 1;

/**
 * Tells whether the cap of the organisation prevents the start of any task of a step, or of a whole gang.
 *
 * @example
 * if (isAtCap(step)) { return; }
 */
export const isAtCap = (step: ShardStep): boolean =>
    tasksUnderCap(step.occurrence.job.account, reservedResources(step.spec)) < minTasksToStart(step);

/**
 * Gives the ticket to send with a start of the step: empty where the queue needs none, undefined where no valid one is known.
 *
 * @example
 * ticketFor(step, "i-7f3a91c2", clock.monotonicMs());
 */
export const ticketFor = (step: ShardStep, workerId: string, nowMs: number): string | undefined => {
    if (step.occurrence.job.queue.advice === undefined) {
        return "";
    }
    const approval = step.advice.good.get(workerId);
    return approval !== undefined && approval.validUntilMs - ticketMarginMs > nowMs ? approval.ticket : undefined;
};

/**
 * Tells whether the advisor has approved a worker for a step; always true where the queue of the step does not use the advisor.
 *
 * @example
 * isApproved(worker, step);
 */
export const isApproved = ({ workerId }: ShardWorker, { occurrence, advice }: ShardStep): boolean =>
    occurrence.job.queue.advice === undefined || advice.good.has(workerId);

/**
 * Tells whether a worker fulfils the step's requirements: service, label and total capacity.
 *
 * @example
 * isEligible(worker, step);
 */
export const isEligible = (worker: ShardWorker, step: ShardStep): boolean =>
    hasServiceAndLabel(worker, step) && fits(reservedResources(step.spec), worker.entry.capacity);

/**
 * Tells whether a worker has the service and the label that a step requires, whatever its capacity.
 *
 * @example
 * hasServiceAndLabel(worker, step);
 */
export const hasServiceAndLabel = ({ entry }: ShardWorker, { spec, occurrence }: ShardStep): boolean =>
    entry.service === occurrence.job.queue.service
    && (spec.requiredLabel === "" || entry.labels.includes(spec.requiredLabel));

/**
 * Tells whether a worker might become eligible for the step: its capacity may return to the most that it was listed with.
 *
 * @example
 * mightBecomeEligible(worker, step);
 */
export const mightBecomeEligible = (worker: ShardWorker, step: ShardStep): boolean =>
    hasServiceAndLabel(worker, step) && fits(reservedResources(step.spec), worker.maxCapacity);
