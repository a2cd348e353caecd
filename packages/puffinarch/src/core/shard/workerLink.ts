/** One worker's side of a shard: looks that renew leases and bring ends, and orders about its runs. */

import { type FencedWorkerPort, type LookResult, type OrderOutcome, orderOutcomes } from "../../types/cellPorts.js";
import type { CancelTimer, Clock, Log, Meter } from "../../types/ports.js";
import type { DelayedStart, DelayedStarts } from "./delayedStarts.js";
import type { FirstLooks } from "./firstLooks.js";
import { incarnationOf, isOtherIncarnation } from "./incarnations.js";
import { runPhases, type ShardRun } from "./jobBook.js";
import type { LookSlots } from "./lookSlots.js";
import { createRunOrders } from "./runOrders.js";
import { extendLease, type ShardWorker } from "./workerTable.js";

/** Starts that are given up within this time share a look. */
const gatherMs = 2;
/** How long a stop of a run that nobody knows may take. */
const stopUnknownTimeoutMs = 600;
/**
 * A look answers after the time that it may wait, and this. A daemon that reads answers later than that waits longer next
 * time, up to the last: two such looks still fit into a lease of 5 s.
 */
const shortestPatienceMs = 350;
const longestPatienceMs = 1_400;
/** A look that is given up this much after its limit shows that this daemon's own processor is late. */
const ownLateMs = 50;
/** Looks that this daemon may have read too late say nothing of the worker for this long after its last answer. */
const forgivenMs = 5_000;
/** Without a look there for longer than this, a worker may have been down and back. */
const unseenMs = 50;

/** What the links of a shard share. */
export interface WorkerLinkOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly workers: FencedWorkerPort;
    readonly fencingToken: number;
    /**
     * The highest token that is surely this owner's now, above which every successor's is; `fencingToken` where it is left out.
     * Each link begins with it.
     */
    readonly newestToken?: () => number;
    readonly leaseMs: number;
    /** How long a look may wait for an end. */
    readonly lookWaitMs: number;
    readonly firstLooks: FirstLooks;
    readonly delayedStarts: DelayedStarts;
    readonly lookSlots: LookSlots;
    /** Pause between looks while the ends that it shows cannot be made durable, or it does not answer. */
    readonly lookPauseMs: number;
    /** Pause before an order is sent, or sent again, to a worker that did not answer. */
    readonly orderPauseMs: number;
    /** How long a start without an answer may still be carried out. */
    readonly unansweredStartMs: number;
    /** Whether the worker refuses tickets that were given for another incarnation. */
    readonly ticketsNameIncarnation: boolean;
    /** Takes what a look brought; resolves when the next look may be sent. */
    readonly onLook: (
        worker: ShardWorker,
        look: LookResult & { readonly outcome: "done"; },
        sentAtMs: number,
    ) => Promise<void>;
    /** The worker answers no more. */
    readonly onSilent: (worker: ShardWorker) => void;
    readonly onIncarnationOver: (worker: ShardWorker) => void;
    /** Another incarnation answers under the worker's id; the link is to be closed. */
    readonly onRestarted: (worker: ShardWorker, bornAtMs: number | undefined) => void;
    readonly onFenced: (worker: ShardWorker) => void;
    /** The run surely does not and will not run there. */
    readonly onNotStarted: (worker: ShardWorker, run: ShardRun, outcome: OrderOutcome) => void;
    readonly onStarted: (worker: ShardWorker, run: ShardRun) => void;
    /** A start got no answer; resolves once a commit has brought this owner a newer token. */
    readonly onUnanswered: (run: ShardRun) => Promise<unknown>;
}

/** Talks to one worker until it is closed. */
export interface WorkerLink {
    /** Sends the start of a run whose intent is durable. */
    start(run: ShardRun, checkpoint: string, ticket: string): void;
    /** Stops a run; its room is free only when the worker lists the end. */
    stop(run: ShardRun): void;
    /** Stops a run that the book does not have. */
    stopUnknown(taskName: string, run: number): void;
    /** Lets the worker refuse an order that may be under way to it; sent until it is answered. */
    refuse(order: DelayedStart): void;
    /** Looks at the worker soon, without waiting for an end there. */
    look(): void;
    /** Finds out when a worker that left a start without an answer takes orders again. */
    probe(order: DelayedStart): void;
    pace(run: ShardRun, percent: number): void;
    close(): void;
}

/**
 * Opens the link to a worker; it begins to look at once.
 *
 * @example
 * const link = openWorkerLink(worker, options);
 */
export const openWorkerLink = (worker: ShardWorker, options: WorkerLinkOptions): WorkerLink => {
    const { clock, log, meter, workers, leaseMs, lookWaitMs, lookPauseMs } = options;
    const newestToken = (): number => Math.max(options.fencingToken, options.newestToken?.() ?? 0);
    /**
     * What is said to the worker carries it. It rises where another incarnation may answer from now on: that incarnation refuses what was sent
     * before as soon as a look has reached it. A stop that makes it refuse a run may come as late as the start itself.
     */
    let token = newestToken();
    let closed = false;
    /** Whether the newest look was answered, so that the same incarnation most likely answers the next. */
    let answeredLast = false;
    /** Highest number that the worker was told, and has answered to know, that the end is durable. */
    let forgottenEnd = 0;
    /** Local time of the newest answer, or of the first look. */
    let heardAtMs = clock.monotonicMs();
    let patienceMs = shortestPatienceMs;
    let endPause: (() => void) | undefined;
    /** A look that does not wait is wanted; the one under way is abandoned for it where it waits. */
    let lookWanted = false;
    let abandonLook: (() => void) | undefined;

    const target = () => ({ workerId: worker.workerId, address: worker.entry.address });

    const pause = (delayMs: number): Promise<void> =>
        new Promise(resolve => {
            const end = (): void => {
                cancel();
                endPause = undefined;
                resolve();
            };
            const cancel: CancelTimer = clock.setTimer(delayMs, end);
            endPause = end;
        });

    /** The worker refused it since a look or an order of this owner with a higher token overtook it; nothing was done. */
    const isOvertaken = (outcome: OrderOutcome, sentToken: number): boolean =>
        outcome === orderOutcomes.fenced && sentToken < token;

    /** Tells the shard where this owner, or this incarnation of the worker, is over; nothing more is said to it then. */
    const endsLink = (outcome: OrderOutcome, sentToken: number): boolean => {
        if (closed) {
            // The next incarnation's link may have raised the token.
            return true;
        }
        if (isOvertaken(outcome, sentToken)) {
            return false;
        }
        if (outcome === orderOutcomes.fenced) {
            options.onFenced(worker);
            return true;
        }
        if (outcome === orderOutcomes.otherIncarnation) {
            options.onIncarnationOver(worker);
            return true;
        }
        return false;
    };

    /**
     * A daemon that reads answers too late must not take sound workers for silent: it would renew no lease there and place
     * nothing, while all that runs there ends.
     */
    const isOwnDelay = (sentAtMs: number, waitMs: number): boolean => {
        const overdueMs = clock.monotonicMs() - sentAtMs - waitMs - patienceMs;
        if (overdueMs <= ownLateMs) {
            return false;
        }
        patienceMs = Math.min(longestPatienceMs, 2 * patienceMs);
        return clock.monotonicMs() - heardAtMs <= forgivenMs;
    };

    /**
     * The next incarnation would forget ends that nobody has read, if it were told a number of this one. A look tells one only right
     * after an answer, and none that it has told already; a look without it is harmless to any incarnation.
     */
    const acknowledgedNow = (): number =>
        answeredLast && worker.acknowledgedEnd > forgottenEnd ? worker.acknowledgedEnd : 0;

    /**
     * Gives undefined where another look is wanted before this one is answered. Its answer is dropped then, since it may be older than
     * that of the next look; what it lists stays listed.
     */
    const untilAbandoned = async (answer: Promise<LookResult>, waitMs: number): Promise<LookResult | undefined> => {
        if (waitMs === 0) {
            return answer;
        }
        const abandoned = new Promise<undefined>(resolve => {
            abandonLook = () => resolve(undefined);
        });
        const look = await Promise.race([answer, abandoned]);
        abandonLook = undefined;
        return look;
    };

    /** An order of a former owner may be under way for any run that no look has shown. */
    const isOrdered = (): boolean =>
        options.delayedStarts.of(worker.workerId).length > 0 || [...worker.runs.values()].some(({ shown }) => !shown);

    const lookOnce = async (answered: () => void): Promise<void> => {
        const sentAtMs = clock.monotonicMs();
        if (sentAtMs - heardAtMs > unseenMs) {
            token = newestToken();
        }
        // A worker that is silent may get each of these orders late; renewing its lease would put off its end for ever.
        const deadlineMs = worker.silentLooks > 0 ? undefined : extendLease(worker, sentAtMs, leaseMs);
        const ready = deadlineMs !== undefined;
        const waitMs = ready && !lookWanted ? lookWaitMs : 0;
        lookWanted = false;
        meter.count("looks");
        const acknowledgedEnd = acknowledgedNow();
        answeredLast = false;
        const sentToken = token;
        const order = { fencingToken: sentToken, acknowledgedEnd, deadlineMs, waitMs, patienceMs };
        const look = await untilAbandoned(workers.look(target(), order), waitMs);
        answered();
        if (closed || look === undefined) {
            return;
        }
        if (look.outcome === "done") {
            // Neither its clock nor what it lists has anything to do with the incarnation before.
            if (isOtherIncarnation(worker.bornAtMs, look.bornAtMs)) {
                options.onRestarted(worker, look.bornAtMs);
                return;
            }
            worker.bornAtMs ??= look.bornAtMs;
            answeredLast = true;
            forgottenEnd = Math.max(forgottenEnd, acknowledgedEnd);
            const nowMs = clock.monotonicMs();
            worker.clock = { localMs: nowMs, clockMs: look.clockMs };
            worker.answeredAtMs = nowMs;
            worker.silentLooks = 0;
            worker.silentSinceMs = undefined;
            heardAtMs = nowMs;
            patienceMs = nowMs - sentAtMs < waitMs + shortestPatienceMs ? shortestPatienceMs : patienceMs;
            await options.onLook(worker, look, sentAtMs);
            return;
        }
        if (endsLink(look.outcome, sentToken) || isOvertaken(look.outcome, sentToken)) {
            // An order with a higher token that came first shows that the worker answers; the next look carries that token.
            return;
        }
        // Whatever answers next may be another incarnation.
        token = newestToken();
        if (look.outcome === orderOutcomes.unknown && isOwnDelay(sentAtMs, waitMs)) {
            meter.count("looks.ownDelay");
            return;
        }
        worker.silentLooks += 1;
        worker.silentSinceMs ??= clock.monotonicMs();
        if (worker.silentLooks === 1) {
            const { outcome, connectionLost = false } = look;
            worker.connectionLost = connectionLost;
            log.write("warn", "workerSilent", { ...incarnationOf(worker), outcome, connectionLost });
            options.onSilent(worker);
        }
        if (worker.silentLooks > 1) {
            await pause(isOrdered() ? options.lookSlots.pauseMs(lookPauseMs) : lookPauseMs);
        }
    };

    const lookAlways = async (): Promise<void> => {
        const answered = await options.firstLooks.enter(() => !closed);
        heardAtMs = clock.monotonicMs();
        await lookOnce(answered);
        while (!closed) {
            await lookOnce(() => {});
        }
    };

    const lookSoon = (): void => {
        clock.setTimer(gatherMs, () => {
            lookWanted = true;
            abandonLook?.();
        });
    };

    const orders = createRunOrders({
        ...options,
        worker,
        target,
        isClosed: () => closed,
        token: () => token,
        renewToken: () => {
            token = newestToken();
        },
        isOvertaken,
        endsLink,
        lookSoon,
        onStarted: run => options.onStarted(worker, run),
        onNotStarted: (run, outcome) => options.onNotStarted(worker, run, outcome),
    });

    void lookAlways();
    return {
        start: (run, checkpoint, ticket) => {
            run.phase = runPhases.starting;
            run.sentAtMs = clock.monotonicMs();
            void orders.start(run, checkpoint, ticket);
        },
        stop: run => {
            if (run.phase !== runPhases.stopping) {
                run.phase = runPhases.stopping;
                run.settledAtMs = undefined;
                void orders.stop(run);
            }
        },
        stopUnknown: (taskName, run) => {
            void workers.stop(target(), { taskName, run, fencingToken: token }, stopUnknownTimeoutMs);
        },
        refuse: order => void orders.refuse(order),
        look: lookSoon,
        probe: order => void orders.probe(order),
        pace: (run, percent) => {
            void workers.pace(target(), { taskName: run.task.name, run: run.run, fencingToken: token, percent });
        },
        close: () => {
            closed = true;
            endPause?.();
        },
    };
};
