/**
 * Orders about the runs of one worker: starts, never repeated once they may have been carried out, and stops, repeated until
 * answered.
 */

import { type OrderOutcome, orderOutcomes, type WorkerTarget } from "../../types/cellPorts.js";
import { sleep } from "../../utils/time.js";
import { endedByMs } from "./absence.js";
import type { DelayedStart } from "./delayedStarts.js";
import { ticketFor } from "./eligible.js";
import { hasEnded, jobOf, runPhases, type ShardRun } from "./jobModel.js";
import { ownDelayMs } from "./ownDelay.js";
import { recordStartAnswered, recordStartUnanswered } from "./startBreaker.js";
import { startTurnMs } from "./startQueue.js";
import { holdsForOneIncarnation } from "./unansweredStart.js";
import type { WorkerLinkOptions } from "./workerLink.js";
import {
    extendLease,
    extendToLongestLease,
    isLeaving,
    logFieldsOf,
    runKey,
    type ShardWorker,
    stillFits,
} from "./workerTable.js";

/** Timeout of a start, whose round trip takes some milliseconds; beyond it, a look shows sooner whether the start was carried out. */
const startTimeoutMs = 150;
/** Most that this process's own lateness adds to the timeout of a start; a worker that has lost it is noticed after that in any case. */
const maxStartDelayMs = 450;
/**
 * Longest time for which a start that was not sent is sent again; its task is planned anew after that, since a queue that is longer than
 * this, or a connection that does not open, would keep the task from free workers. The watch over gangs limits it for their members.
 */
const maxUnsentMs = 1_000;
/** Time between the commit of a start and its order from which the log tells of it. */
const loggedStartDelayMs = 1_000;
const minStopTimeoutMs = 150;
const maxStopTimeoutMs = 600;

/** What `createRunOrders` needs; orders share most of it with the looks of the worker's link. */
export interface RunOrdersOptions extends
    Pick<
        WorkerLinkOptions,
        | "clock"
        | "log"
        | "meter"
        | "workers"
        | "leaseMs"
        | "stopMs"
        | "leaseLimitMs"
        | "orderPauseMs"
        | "unansweredStartMs"
        | "ticketsNameIncarnation"
        | "mayGetFormerLooks"
        | "delayedStarts"
        | "lagMs"
        | "held"
        | "mayStart"
    >
{
    readonly worker: ShardWorker;
    readonly target: () => WorkerTarget;
    readonly isClosed: () => boolean;
    /** Fencing token of the orders that are sent next. */
    readonly token: () => number;
    /** Sets the token of the next orders to this owner's newest. */
    readonly renewToken: () => void;
    /** Whether an order had no effect because an order or look of this owner with a higher token reached the worker first. */
    readonly isOvertaken: (outcome: OrderOutcome, sentToken: number) => boolean;
    /** Reports an outcome by which this owner or the worker's incarnation is over; returns true where no more orders may be sent. */
    readonly endsLink: (outcome: OrderOutcome, sentToken: number) => boolean;
    /** Sends a look soon that does not wait for a run to end. */
    readonly lookSoon: () => void;
    readonly onStarted: (run: ShardRun) => void;
    /** Called when a run was surely not started and will not be. */
    readonly onNotStarted: (run: ShardRun, outcome: OrderOutcome) => void;
    /** Called when a start got no answer; resolves once a commit has brought this owner a newer token. */
    readonly onUnanswered: (run: ShardRun) => Promise<unknown>;
}

/** Sends orders to one worker. */
export interface RunOrders {
    start(run: ShardRun, ticket: string): Promise<void>;
    /** Sends a stop until it is answered or the run is gone; a stop without an answer may never have arrived. */
    stop(run: ShardRun): Promise<void>;
    /** Makes the worker reject a start that may be in flight to it; repeated until it is answered. */
    refuse(order: DelayedStart): Promise<void>;
    /** Sends an order without effect until the worker answers it, which closes the worker's circuit breaker. */
    probe(order: DelayedStart): Promise<void>;
}

/**
 * Creates the sender of one worker's orders.
 *
 * @example
 * const orders = createRunOrders(options);
 * await orders.start(run, ticket);
 */
export const createRunOrders = (options: RunOrdersOptions): RunOrders => {
    const { clock, log, meter, workers, worker, target, leaseMs, delayedStarts, orderPauseMs, isClosed, endsLink } =
        options;
    /** Whether a start has left on this link. */
    let hasSentStart = false;

    /**
     * Prepares the first start on this link: it carries this owner's newest token, so that the worker rejects looks for the incarnation
     * before from then on. One that came first may have granted the longest lease, as its deadline is on a clock that had counted further.
     */
    const rejectFormerLooks = (nowMs: number): void => {
        if (!hasSentStart && options.mayGetFormerLooks) {
            options.renewToken();
            extendToLongestLease(worker, nowMs, options.leaseLimitMs);
        }
    };

    /**
     * A start must not count as unanswered because this process was late to send it or to read its answer. One that was not sent shows
     * that the process is later than its timers; with the same limit, most of a long queue would be sent again for nothing.
     */
    const startTimeout = ({ sentLate }: ShardRun): number =>
        startTimeoutMs + (sentLate ? maxStartDelayMs : ownDelayMs(options.lagMs?.() ?? 0, maxStartDelayMs));

    const isStarting = (run: ShardRun): boolean =>
        !isClosed() && run.phase === runPhases.starting && worker.runs.has(runKey(run.task.name, run.run));

    /** Marks a run as running: its worker answered that it is there, or that it has ended there already, which the next look lists. */
    const markRunning = (run: ShardRun): void => {
        run.phase = runPhases.running;
        run.absenceProvenAfterMs = clock.monotonicMs();
    };

    /**
     * Handles a start without an answer. Once the worker has answered a look with a higher token, it rejects the order, and a
     * look that does not list the run proves that it is gone. A second start could be carried out besides the first, by
     * whichever incarnation has the id then.
     */
    const handleUnansweredStart = async (run: ShardRun, sentToken: number): Promise<void> => {
        log.write("warn", "startUnanswered", logFieldsOf(worker, run));
        const nowMs = clock.monotonicMs();
        recordStartUnanswered(worker, run.sentAtMs ?? nowMs, nowMs);
        // Without a newer token, the worker rejects the order only once its lease deadline has passed.
        run.absenceProvenAfterMs = worker.leaseHorizonMs;
        options.renewToken();
        // The job's row records that the order may still arrive, for a successor.
        const committed = options.onUnanswered(run);
        if (options.token() <= sentToken) {
            await committed;
            options.renewToken();
        }
        if (isStarting(run) && options.token() > sentToken) {
            run.absenceProvenAfterMs = clock.monotonicMs();
            options.lookSoon();
        }
    };

    const applyOutcome = async (run: ShardRun, outcome: OrderOutcome, sentToken: number): Promise<void> => {
        if (outcome === orderOutcomes.done) {
            markRunning(run);
            options.onStarted(run);
            return;
        }
        if (outcome === orderOutcomes.stale) {
            markRunning(run);
            return;
        }
        if (outcome === orderOutcomes.unknown) {
            await handleUnansweredStart(run, sentToken);
            return;
        }
        log.write("warn", "startRefused", { ...logFieldsOf(worker, run), outcome });
        options.onNotStarted(run, outcome);
    };

    /** Sends a start that was due at `beganAtMs`; returns undefined where the worker is silent, since the order would most likely be lost. */
    const send = async (run: ShardRun, ticket: string, beganAtMs: number): Promise<OrderOutcome | undefined> => {
        const deadlineMs = worker.silentLooks > 0 ? undefined : extendLease(worker, beganAtMs, leaseMs);
        if (deadlineMs === undefined) {
            return undefined;
        }
        run.mayArriveUntilMs = worker.bornAtMs === undefined || holdsForOneIncarnation(run, options)
            ? undefined
            : clock.monotonicMs() + options.unansweredStartMs;
        const fencingToken = options.token();
        const outcome = await workers.start(target(), {
            taskName: run.task.name,
            run: run.run,
            payload: run.task.step.occurrence.job.submission.payload,
            deadlineMs,
            fencingToken,
            checkpoint: run.checkpoint,
            ticket,
        }, startTimeout(run));
        meter.count(`starts.${outcome}`);
        const sinceDurableMs = beganAtMs - (run.durableAtMs ?? beganAtMs);
        if (sinceDurableMs > loggedStartDelayMs) {
            log.write("info", "startSentLate", {
                ...logFieldsOf(worker, run),
                outcome,
                fencingToken,
                sinceDurableMs: Math.round(sinceDurableMs),
            });
        }
        if (outcome === orderOutcomes.unknown) {
            delayedStarts.record(worker.workerId, { taskName: run.task.name, run: run.run });
            return outcome;
        }
        run.mayArriveUntilMs = undefined;
        if (outcome !== orderOutcomes.notSent) {
            recordStartAnswered(worker);
        }
        return outcome;
    };

    /**
     * Why a start may not be sent, or not again where it was not sent in time since `unsentSinceMs`; undefined where it may. Its task may
     * have ended while it waited for a silent worker.
     */
    const problemOf = (run: ShardRun, unsentSinceMs: number | undefined): OrderOutcome | undefined => {
        const nowMs = clock.monotonicMs();
        const { step, done } = run.task;
        if (unsentSinceMs !== undefined && ticketFor(step, worker.workerId, nowMs) === undefined) {
            return orderOutcomes.badTicket;
        }
        // A start that is sent while the shard is handed over would be open at the successor's claim.
        const isUseless = done || hasEnded(jobOf(run)) || isLeaving(worker) || options.mayStart?.() === false;
        // The watch over gangs stops the members if they are not all sent in time; to give one up earlier would stop the others as well.
        const isLate = unsentSinceMs !== undefined && !step.spec.gang && nowMs - unsentSinceMs > maxUnsentMs;
        return isUseless || isLate ? orderOutcomes.notSent : undefined;
    };

    const start = async (run: ShardRun, ticket: string): Promise<void> => {
        let unsentSinceMs: number | undefined;
        while (isStarting(run)) {
            if (!stillFits(worker, run)) {
                options.onNotStarted(run, orderOutcomes.noRoom);
                return;
            }
            const problem = problemOf(run, unsentSinceMs);
            if (problem !== undefined) {
                log.write("warn", "startNotSent", {
                    ...logFieldsOf(worker, run),
                    problem,
                });
                options.onNotStarted(run, problem);
                return;
            }
            // Read before `held`, so that a pause between the two shortens the lease that the start grants.
            const beganAtMs = clock.monotonicMs();
            const held = options.held?.();
            if (held !== undefined) {
                unsentSinceMs ??= beganAtMs;
                await held;
                continue;
            }
            rejectFormerLooks(beganAtMs);
            const sentToken = options.token();
            const newest = run.sentLate ? ticketFor(run.task.step, worker.workerId, beganAtMs) : ticket;
            const outcome = await send(run, newest ?? ticket, beganAtMs);
            hasSentStart ||= outcome !== undefined && outcome !== orderOutcomes.notSent;
            if (!isStarting(run)) {
                return;
            }
            if (outcome === undefined) {
                await sleep(clock, orderPauseMs);
                continue;
            }
            if (endsLink(outcome, sentToken)) {
                return;
            }
            if (outcome === orderOutcomes.notSent) {
                unsentSinceMs ??= beganAtMs;
                run.sentAtMs = clock.monotonicMs();
                run.sentLate = true;
                // Other work of a busy process comes first: pings that wait behind starts would make peers take the shard over.
                await sleep(clock, startTurnMs);
                continue;
            }
            if (!options.isOvertaken(outcome, sentToken)) {
                await applyOutcome(run, outcome, sentToken);
                return;
            }
        }
    };

    const stop = async (run: ShardRun): Promise<void> => {
        let timeoutMs = minStopTimeoutMs;
        while (!isClosed() && worker.runs.has(runKey(run.task.name, run.run))) {
            const order = { taskName: run.task.name, run: run.run, fencingToken: options.token() };
            const outcome = await workers.stop(target(), order, timeoutMs);
            timeoutMs = Math.min(maxStopTimeoutMs, 2 * timeoutMs);
            meter.count(`stops.${outcome}`);
            if (outcome === orderOutcomes.done || outcome === orderOutcomes.stale) {
                run.stopAnsweredAtMs = clock.monotonicMs();
                run.absenceProvenAfterMs = endedByMs(run, run.stopAnsweredAtMs, options);
                return;
            }
            if (endsLink(outcome, order.fencingToken)) {
                return;
            }
            await sleep(clock, orderPauseMs);
        }
    };

    /** Sends a stop for a run that the worker does not have, which makes the worker reject the run's start when it arrives. */
    const refuse = async ({ taskName, run }: DelayedStart): Promise<void> => {
        while (!isClosed() && delayedStarts.has(worker.workerId, { taskName, run })) {
            const order = { taskName, run, fencingToken: options.token() };
            const outcome = await workers.stop(target(), order, maxStopTimeoutMs);
            if (
                outcome === orderOutcomes.done || outcome === orderOutcomes.stale
                || endsLink(outcome, order.fencingToken)
            ) {
                return;
            }
            await sleep(clock, orderPauseMs);
        }
    };

    /** Repeats the stop of a run that the worker rejects anyway, until it is answered: another start might get lost as well. */
    const probe = async ({ taskName, run }: DelayedStart): Promise<void> => {
        while (!isClosed() && worker.unansweredOrder !== undefined) {
            const order = { taskName, run, fencingToken: options.token() };
            const outcome = await workers.stop(target(), order, minStopTimeoutMs);
            if (endsLink(outcome, order.fencingToken)) {
                return;
            }
            if (outcome !== orderOutcomes.unknown) {
                recordStartAnswered(worker);
                return;
            }
            await sleep(clock, orderPauseMs);
        }
    };

    return { start, stop, refuse, probe };
};
