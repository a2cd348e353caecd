/** Chooses the workers to name in calls to the advisor for a step: at first many, later those that may run it and have capacity. */

import type { AdviceAnswer } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import { fits } from "../../types/resources.js";
import { createAdviceCallSizer } from "./adviceCallSize.js";
import type { AdviceDispatcher } from "./adviceDispatcher.js";
import { avoidedByAll, failedRecently } from "./avoidance.js";
import { mayUseRestingWorkers } from "./blockedSteps.js";
import type { CapacityView, Reservation } from "./capacityView.js";
import { allowsAnotherRun, countRuns, isEligible, ticketFor } from "./eligible.js";
import { hasEnded, isWaiting, reservedResources, type ShardStep, stepNameOf } from "./jobModel.js";
import type { ShardSettings } from "./shardSettings.js";
import { freeCapacityOf, isOpen, type ShardWorker } from "./workerTable.js";

/** Dependencies of a requester of advice. */
export interface AdviceRequesterOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly settings: ShardSettings;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly dispatcher: AdviceDispatcher;
    /** Called after an answer of the advisor was recorded. */
    readonly onAnswer: () => void;
}

/** A step that may need tickets, and where its waiting tasks are expected to run. */
export interface TicketRequest {
    readonly step: ShardStep;
    /** Number of tasks that found no worker with both capacity and a valid ticket. */
    readonly waiting: number;
    readonly reservations: readonly Reservation[];
    readonly view: CapacityView;
    readonly nowMs: number;
    /** Priority of the call; that of the step's queue where it is left out. */
    readonly priority?: number;
}

/** Requests advice and tickets for steps. */
export interface AdviceRequester {
    /** Requests missing tickets for workers that have capacity or are about to have some. */
    requestTickets(request: TicketRequest): void;
    /** Reserves capacity on the workers named in a call under way, so that less urgent steps do not request tickets for it too. */
    reserveRequested(request: TicketRequest): void;
    /** Requests advice for a step that is not ready yet. */
    requestAhead(step: ShardStep, view: CapacityView, nowMs: number): void;
}

/** Pause before the next call for a step after a failed one. */
const retryMs = 150;
/** Pause after a search found no worker to name; examining all workers in every pass would cost more than this delay. */
const emptyPauseMs = 40;
/** A call after the first names this many more workers than there are waiting tasks, since some workers fill up meanwhile. */
const spareNames = 4;
/** Time allowed, beside the cost of a call, for its wait in the queue and for its answer to arrive. */
const queueAllowanceMs = 250;

/**
 * Creates the requester of advice for a shard.
 *
 * @example
 * const requester = createAdviceRequester({ clock, log, meter, settings, workers, dispatcher, onAnswer: () => placer.runPass() });
 * requester.requestTickets({ step, waiting: 2, reservations: [], view, nowMs });
 */
export const createAdviceRequester = (options: AdviceRequesterOptions): AdviceRequester => {
    const { clock, log, meter, settings, workers, dispatcher, onAnswer } = options;

    const callSize = createAdviceCallSizer(settings);

    const recordAnswer = (step: ShardStep, named: readonly string[], answer: AdviceAnswer): void => {
        const { advice } = step;
        advice.inFlight = false;
        callSize.recordAnswer(step, named.filter(workerId => !advice.askedWorkerIds.has(workerId)), answer);
        for (const workerId of named) {
            advice.askedWorkerIds.add(workerId);
        }
        const validUntilMs = clock.monotonicMs() + answer.validMs;
        for (const { workerId, ticket } of answer.good) {
            advice.good.set(workerId, { ticket, validUntilMs });
        }
        log.write("info", "advice", {
            step: stepNameOf(step),
            named: named.length,
            good: answer.good.length,
            validMs: answer.validMs,
        });
    };

    const costOf = (step: ShardStep, names: number): number => {
        const terms = step.occurrence.job.queue.advice;
        return terms === undefined ? 0 : terms.decideMs + terms.eachMs * names;
    };

    /** Workers named in the newest call for a step, and the local time at which it was queued. */
    const newestCalls = new WeakMap<ShardStep, { readonly named: readonly string[]; readonly sinceMs: number; }>();

    const requestAdvice = (
        step: ShardStep,
        named: readonly string[],
        priority = step.occurrence.job.queue.priority,
    ): void => {
        if (step.occurrence.job.queue.advice === undefined || named.length === 0) {
            return;
        }
        step.advice.inFlight = true;
        newestCalls.set(step, { named, sinceMs: clock.monotonicMs() });
        meter.count("adviceCalls");
        meter.count("adviceNames", named.length);
        dispatcher.enqueue({
            stepName: stepNameOf(step),
            workerIds: named,
            costMs: costOf(step, named.length),
            priority,
            isNeeded: () => !hasEnded(step.occurrence.job),
            onAnswer: answer => {
                recordAnswer(step, named, answer);
                onAnswer();
            },
            onFailure: () => {
                step.advice.inFlight = false;
                step.advice.notBeforeMs = clock.monotonicMs() + retryMs;
            },
        });
    };

    /**
     * Orders workers: those that accept work now first, then by free accelerators where the step needs some, then by free
     * processors.
     */
    const byFreeCapacity = ({ spec }: ShardStep, nowMs: number) => (left: ShardWorker, right: ShardWorker): number =>
        Number(isOpen(right, nowMs)) - Number(isOpen(left, nowMs))
        || (spec.size.accelerators > 0 ? freeCapacityOf(right).accelerators - freeCapacityOf(left).accelerators : 0)
        || freeCapacityOf(right).cpuMillis - freeCapacityOf(left).cpuMillis;

    /** Workers with reserved capacity that is free by the end of a call made now, and whose tickets expire too soon to use it. */
    const reservedSoon = ({ step, reservations, nowMs }: TicketRequest): readonly string[] => {
        const leadMs = costOf(step, 1) + queueAllowanceMs;
        const names = new Set<string>();
        for (const { workerId, freeAtMs } of reservations) {
            const validUntilMs = step.advice.good.get(workerId)?.validUntilMs ?? 0;
            if (freeAtMs - nowMs <= leadMs && validUntilMs - leadMs < Math.max(freeAtMs, nowMs)) {
                names.add(workerId);
            }
        }
        return [...names];
    };

    /**
     * Workers to name. As long as the advisor was asked about none for the step, these are any eligible ones. Later they are
     * approved ones with capacity whose tickets are missing, and workers not asked about yet where the approved ones are too few
     * or have all failed a waiting task recently.
     */
    const namesFor = (request: TicketRequest): readonly string[] => {
        const { step, waiting, view, nowMs } = request;
        const { advice, spec } = step;
        const held = reservedResources(spec);
        const isFirstCall = advice.askedWorkerIds.size === 0;
        const examined = isFirstCall ? workers.values() : view.roomy ?? workers.values();
        const usable = [...examined].filter(worker => isOpen(worker, nowMs, Infinity) && isEligible(worker, step));
        // Resting workers are included, since a task that avoids the workers on which it failed may wait for one of them.
        const unasked = usable.filter(worker => !advice.askedWorkerIds.has(worker.workerId));
        const maxNames = callSize.namesFor(step, waiting);
        if (isFirstCall) {
            return unasked.sort(byFreeCapacity(step, nowMs)).slice(0, maxNames).map(worker => worker.workerId);
        }
        const runs = countRuns(step);
        // The time that a call takes. A call made only at the end of a wait for reserved capacity, for resting workers or for
        // workers other than those that failed the task would prolong that wait.
        const leadMs = costOf(step, 1) + queueAllowanceMs;
        const hasCapacity = (worker: ShardWorker): boolean =>
            fits(held, view.capacityFor(worker, step, leadMs))
            && allowsAnotherRun(spec, runs.get(worker.workerId) ?? 0);
        const mayUseResting = step.tasks.some(task => isWaiting(task) && mayUseRestingWorkers(task, nowMs + leadMs));
        const withCapacity = usable.filter(worker =>
            isOpen(worker, nowMs, mayUseResting ? Infinity : leadMs) && advice.good.has(worker.workerId)
            && hasCapacity(worker)
        );
        const avoided = withCapacity.length === 0
            ? undefined
            : avoidedByAll(step, { workers, nowMs: nowMs + leadMs });
        const approved = withCapacity.filter(({ workerId }) => avoided?.has(workerId) !== true)
            .sort(byFreeCapacity(step, nowMs));
        const named = approved.slice(0, waiting + spareNames);
        const tasks = step.tasks.filter(isWaiting);
        const hasFailed = (workerId: string): boolean => tasks.some(task => failedRecently(task, workerId, nowMs));
        if (named.length < waiting || named.every(worker => hasFailed(worker.workerId))) {
            const others = unasked.filter(hasCapacity).sort(byFreeCapacity(step, nowMs));
            named.push(...others.slice(0, maxNames - named.length));
        }
        const lacksTicket = ({ workerId }: ShardWorker, atMs: number): boolean =>
            ticketFor(step, workerId, atMs) === undefined;
        const missing = named.filter(worker => lacksTicket(worker, isOpen(worker, nowMs) ? nowMs : nowMs + leadMs));
        // Members of a gang need valid tickets at the same time, so tickets that expire during the call are renewed with it;
        // otherwise calls for different members would alternate without end.
        const renewed = spec.gang && missing.length > 0
            ? named.filter(worker => lacksTicket(worker, nowMs + leadMs))
            : missing;
        return [...new Set([...renewed.map(worker => worker.workerId), ...reservedSoon(request)])];
    };

    return {
        requestTickets: request => {
            const { step, nowMs } = request;
            const { advice, occurrence } = step;
            if (occurrence.job.queue.advice === undefined || advice.inFlight || advice.notBeforeMs > nowMs) {
                return;
            }
            const names = namesFor(request);
            if (names.length > 0) {
                requestAdvice(step, names, request.priority);
                return;
            }
            advice.notBeforeMs = nowMs + emptyPauseMs;
        },
        reserveRequested: ({ step, waiting, view, nowMs }) => {
            const call = newestCalls.get(step);
            if (
                !step.advice.inFlight || call === undefined
                || nowMs - call.sinceMs > costOf(step, call.named.length) + queueAllowanceMs
            ) {
                return;
            }
            const held = reservedResources(step.spec);
            const approved = call.named.filter(workerId => step.advice.good.has(workerId));
            for (const workerId of approved.slice(0, waiting)) {
                view.reserve({ step, workerId, held, freeAtMs: nowMs, victims: [] });
            }
        },
        requestAhead: (step, view, nowMs) =>
            requestAdvice(step, namesFor({ step, waiting: step.open, reservations: [], view, nowMs })),
    };
};
