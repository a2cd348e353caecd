/** Orders about the runs of one worker: starts, each sent once, and stops, which are repeated until they are settled. */

import { type OrderOutcome, orderOutcomes, type WorkerTarget } from "../../types/cellPorts.js";
import { sleep } from "../../utils/time.js";
import type { DelayedStart } from "./delayedStarts.js";
import { incarnationOf } from "./incarnations.js";
import { runPhases, type ShardRun } from "./jobBook.js";
import { noteStartAnswered, noteStartUnanswered } from "./startBreaker.js";
import { holdsForOneIncarnation } from "./unansweredStart.js";
import type { WorkerLinkOptions } from "./workerLink.js";
import { extendLease, runKey, type ShardWorker, stillFits } from "./workerTable.js";

/** A start takes a round trip of some milliseconds; a look settles sooner than a longer wait what became of it. */
const startTimeoutMs = 150;
const shortestStopTimeoutMs = 150;
const longestStopTimeoutMs = 600;

/** What the orders share with the looks of their worker's link. */
export interface RunOrdersOptions extends
    Pick<
        WorkerLinkOptions,
        | "clock"
        | "log"
        | "meter"
        | "workers"
        | "leaseMs"
        | "orderPauseMs"
        | "unansweredStartMs"
        | "ticketsNameIncarnation"
        | "delayedStarts"
    >
{
    readonly worker: ShardWorker;
    readonly target: () => WorkerTarget;
    readonly isClosed: () => boolean;
    /** The fencing token of what is sent now. */
    readonly token: () => number;
    /** Makes the newest token of this owner the one of what is sent next. */
    readonly renewToken: () => void;
    /** Nothing was done, as an order or a look of this owner with a higher token came first. */
    readonly isOvertaken: (outcome: OrderOutcome, sentToken: number) => boolean;
    /** Whether nothing more may be said to the worker. */
    readonly endsLink: (outcome: OrderOutcome, sentToken: number) => boolean;
    /** Looks at the worker without waiting for an end. */
    readonly lookSoon: () => void;
    readonly onStarted: (run: ShardRun) => void;
    /** The run surely does not and will not run there. */
    readonly onNotStarted: (run: ShardRun, outcome: OrderOutcome) => void;
    /** Resolves once a commit has brought this owner a newer token. */
    readonly onUnanswered: (run: ShardRun) => Promise<unknown>;
}

/** Sends orders. */
export interface RunOrders {
    start(run: ShardRun, checkpoint: string, ticket: string): Promise<void>;
    /** Stops without an answer may still be under way, so they are sent until the run is gone. */
    stop(run: ShardRun): Promise<void>;
    /** Lets the worker refuse an order that may be under way to it. */
    refuse(order: DelayedStart): Promise<void>;
    /** Sends an order that changes nothing until the worker answers it, which closes its breaker. */
    probe(order: DelayedStart): Promise<void>;
}

/**
 * Makes the orders of one worker's link.
 *
 * @example
 * const orders = createRunOrders(options);
 * await orders.start(run, run.task.checkpoint, ticket);
 */
export const createRunOrders = (options: RunOrdersOptions): RunOrders => {
    const { clock, log, meter, workers, worker, target, leaseMs, delayedStarts, orderPauseMs, isClosed, endsLink } =
        options;

    const isWanted = (run: ShardRun): boolean =>
        !isClosed() && run.phase === runPhases.starting && worker.runs.has(runKey(run.task.name, run.run));

    /** The run was answered to be there, or to have ended there already, which the next look brings. */
    const settle = (run: ShardRun): void => {
        run.phase = runPhases.running;
        run.settledAtMs = clock.monotonicMs();
    };

    /**
     * A worker that has answered a look under a higher token refuses the order when it comes, so that a look which does not list the
     * run proves it gone. Sending the order again would leave two of them to be carried out by whoever has the worker's ID then.
     */
    const giveUpStart = async (run: ShardRun, sentToken: number): Promise<void> => {
        log.write("warn", "startUnanswered", { task: run.task.name, run: run.run, ...incarnationOf(worker) });
        const nowMs = clock.monotonicMs();
        noteStartUnanswered(worker, run.sentAtMs ?? nowMs, nowMs);
        // Without a newer token the order is refused only once its lease would be over.
        run.settledAtMs = worker.horizonMs;
        options.renewToken();
        // Its row tells a successor that the order may still come.
        const committed = options.onUnanswered(run);
        if (options.token() <= sentToken) {
            await committed;
            options.renewToken();
        }
        if (isWanted(run) && options.token() > sentToken) {
            run.settledAtMs = clock.monotonicMs();
            options.lookSoon();
        }
    };

    const takeOutcome = async (run: ShardRun, outcome: OrderOutcome, sentToken: number): Promise<void> => {
        if (outcome === orderOutcomes.done) {
            settle(run);
            options.onStarted(run);
            return;
        }
        if (outcome === orderOutcomes.stale) {
            settle(run);
            return;
        }
        if (outcome === orderOutcomes.unknown) {
            await giveUpStart(run, sentToken);
            return;
        }
        log.write("warn", "startRefused", { task: run.task.name, run: run.run, ...incarnationOf(worker), outcome });
        options.onNotStarted(run, outcome);
    };

    /** Sends the start; undefined where the worker is silent, as a start to it would be lost. */
    const send = async (run: ShardRun, checkpoint: string, ticket: string): Promise<OrderOutcome | undefined> => {
        const deadlineMs = worker.silentLooks > 0 ? undefined : extendLease(worker, clock.monotonicMs(), leaseMs);
        if (deadlineMs === undefined) {
            return undefined;
        }
        run.mayArriveUntilMs = worker.bornAtMs === undefined || holdsForOneIncarnation(run, options)
            ? undefined
            : clock.monotonicMs() + options.unansweredStartMs;
        const outcome = await workers.start(target(), {
            taskName: run.task.name,
            run: run.run,
            payload: run.task.step.occurrence.job.submission.payload,
            deadlineMs,
            fencingToken: options.token(),
            checkpoint,
            ticket,
        }, startTimeoutMs);
        meter.count(`starts.${outcome}`);
        if (outcome === orderOutcomes.unknown) {
            delayedStarts.note(worker.workerId, { taskName: run.task.name, run: run.run });
        }
        else {
            run.mayArriveUntilMs = undefined;
            noteStartAnswered(worker);
        }
        return outcome;
    };

    const start = async (run: ShardRun, checkpoint: string, ticket: string): Promise<void> => {
        while (isWanted(run)) {
            if (!stillFits(worker, run)) {
                options.onNotStarted(run, orderOutcomes.noRoom);
                return;
            }
            const sentToken = options.token();
            const outcome = await send(run, checkpoint, ticket);
            if (!isWanted(run)) {
                return;
            }
            if (outcome === undefined) {
                await sleep(clock, orderPauseMs);
                continue;
            }
            if (endsLink(outcome, sentToken)) {
                return;
            }
            if (!options.isOvertaken(outcome, sentToken)) {
                await takeOutcome(run, outcome, sentToken);
                return;
            }
        }
    };

    const stop = async (run: ShardRun): Promise<void> => {
        let timeoutMs = shortestStopTimeoutMs;
        while (!isClosed() && worker.runs.has(runKey(run.task.name, run.run))) {
            const order = { taskName: run.task.name, run: run.run, fencingToken: options.token() };
            const outcome = await workers.stop(target(), order, timeoutMs);
            timeoutMs = Math.min(longestStopTimeoutMs, 2 * timeoutMs);
            meter.count(`stops.${outcome}`);
            if (outcome === orderOutcomes.done || outcome === orderOutcomes.stale) {
                run.settledAtMs = clock.monotonicMs();
                return;
            }
            if (endsLink(outcome, order.fencingToken)) {
                return;
            }
            await sleep(clock, orderPauseMs);
        }
    };

    /** A stop of a run that is not there makes the worker refuse it when it comes. */
    const refuse = async ({ taskName, run }: DelayedStart): Promise<void> => {
        while (!isClosed() && delayedStarts.has(worker.workerId, { taskName, run })) {
            const order = { taskName, run, fencingToken: options.token() };
            const outcome = await workers.stop(target(), order, longestStopTimeoutMs);
            if (
                outcome === orderOutcomes.done || outcome === orderOutcomes.stale
                || endsLink(outcome, order.fencingToken)
            ) {
                return;
            }
            await sleep(clock, orderPauseMs);
        }
    };

    /** A stop of a run that its worker refuses; no other start is risked to find out whether orders arrive again. */
    const probe = async ({ taskName, run }: DelayedStart): Promise<void> => {
        while (!isClosed() && worker.unansweredOrder !== undefined) {
            const order = { taskName, run, fencingToken: options.token() };
            const outcome = await workers.stop(target(), order, shortestStopTimeoutMs);
            if (endsLink(outcome, order.fencingToken)) {
                return;
            }
            if (outcome !== orderOutcomes.unknown) {
                noteStartAnswered(worker);
                return;
            }
            await sleep(clock, orderPauseMs);
        }
    };

    return { start, stop, refuse, probe };
};
