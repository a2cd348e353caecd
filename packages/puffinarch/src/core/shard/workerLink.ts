/**
 * The link of a shard's owner to one worker: looks, which are long polls that renew leases and return run ends, and orders
 * about runs.
 */

import { type FencedWorkerPort, type LookResult, type OrderOutcome, orderOutcomes } from "../../types/cellPorts.js";
import type { CancelTimer, Clock, Log, Meter } from "../../types/ports.js";
import { createGuard } from "../../utils/guard.js";
import { sleep } from "../../utils/time.js";
import type { DelayedStart, DelayedStarts } from "./delayedStarts.js";
import type { FirstLooks } from "./firstLooks.js";
import { incarnationOf, isOtherIncarnation } from "./incarnations.js";
import { runPhases, type ShardRun } from "./jobModel.js";
import type { LookSlots } from "./lookSlots.js";
import { createRunOrders } from "./runOrders.js";
import { extendLease, recordAnswer, runKey, type ShardWorker } from "./workerTable.js";

/** Starts that time out within this time share one look. */
const lookBatchDelayMs = 2;
/** Timeout for the stop of a run that belongs to no known job. */
const stopUnknownTimeoutMs = 600;
/**
 * How much longer than its waiting time a look may take before it counts as unanswered. The time is doubled, up to the
 * maximum, while this daemon itself reads answers late; two looks at the maximum still fit into a lease of 5 s.
 */
const minAnswerTimeoutMs = 350;
const maxAnswerTimeoutMs = 1_400;
/** A look that times out later than this after its limit shows that this daemon's own processor is overloaded. */
const ownDelayThresholdMs = 50;
/** For this long after a worker's last answer, looks that time out by this daemon's own delay do not count against the worker. */
const ownDelayGraceMs = 5_000;
/** A run that is missing for this long after its worker was told to refuse it is gone, also where the order got no answer. */
const refusedWithinMs = 150;
/** A worker whose last answer is older than this may have restarted since. */
const maxLookGapMs = 50;

/** What `openWorkerLink` needs; the links of a shard share it. */
export interface WorkerLinkOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly workers: FencedWorkerPort;
    readonly fencingToken: number;
    /**
     * Highest token that surely belongs to this owner now; the tokens of all successors are higher. Each link begins with it.
     * Defaults to `fencingToken`.
     */
    readonly newestToken?: () => number;
    readonly leaseMs: number;
    /** How long the worker may take to stop a run. */
    readonly stopMs: number;
    /** The longest lease that a worker grants. */
    readonly leaseLimitMs: number;
    /** How long a look may wait for a run to end. */
    readonly lookWaitMs: number;
    /** Whether looks that this owner sent to an earlier incarnation may still be carried out by this one. */
    readonly mayGetFormerLooks: boolean;
    readonly firstLooks: FirstLooks;
    readonly delayedStarts: DelayedStarts;
    readonly lookSlots: LookSlots;
    /** Longest pause between looks while the worker does not answer; also the longest wait for the commit of ends before the next look. */
    readonly lookPauseMs: number;
    /** Pause before an order is sent, or sent again, to a worker that did not answer. */
    readonly orderPauseMs: number;
    /** How long after it was sent a start without an answer may still be carried out. */
    readonly unansweredStartMs: number;
    /** Whether workers refuse tickets that were issued for another incarnation. */
    readonly ticketsNameIncarnation: boolean;
    /** How late timers of this process fire now, in ms; never late where it is left out. */
    readonly lagMs?: (() => number) | undefined;
    /** Called with the answer to a look; resolves when the next look may be sent. */
    readonly onLook: (
        worker: ShardWorker,
        look: LookResult & { readonly outcome: "done"; },
        sentAtMs: number,
    ) => Promise<void>;
    /** Called when a worker stops answering. */
    readonly onSilent: (worker: ShardWorker) => void;
    readonly onIncarnationOver: (worker: ShardWorker) => void;
    /** Called when another incarnation answers under the worker's id; the callee closes the link. */
    readonly onRestarted: (worker: ShardWorker, bornAtMs: number | undefined) => void;
    readonly onFenced: (worker: ShardWorker) => void;
    /** Called when a run was surely not started and will not be. */
    readonly onNotStarted: (worker: ShardWorker, run: ShardRun, outcome: OrderOutcome) => void;
    readonly onStarted: (worker: ShardWorker, run: ShardRun) => void;
    /** Called when a start got no answer; resolves once a commit has brought this owner a newer token. */
    readonly onUnanswered: (run: ShardRun) => Promise<unknown>;
    /** Resolves once leases may be renewed and runs started; undefined if they may now. They always may where it is left out. */
    readonly held?: (() => Promise<void> | undefined) | undefined;
    /** Whether starts may be sent; they always may where it is left out. */
    readonly mayStart?: (() => boolean) | undefined;
    /** Called when an acknowledgement waits for a newer token; resolves once a commit has brought this owner one. */
    readonly onAcknowledgementHeld?: (() => Promise<unknown>) | undefined;
}

/** Sends looks and orders to one worker until it is closed. */
export interface WorkerLink {
    /** Sends the start of a run whose intent is durable; resolves once it is settled whether the run was started. */
    start(run: ShardRun, ticket: string): Promise<void>;
    /** Stops a run; its capacity is free only once the worker lists the end. */
    stop(run: ShardRun): void;
    /** Stops a run that belongs to no known job. */
    stopUnknown(taskName: string, run: number): void;
    /** Makes the worker reject a start that may be in flight to it; repeated until it is answered. */
    refuse(order: DelayedStart): void;
    /** Sends a look after `absenceProvenAfterMs` of a run, unless one has listed the run by then. */
    lookWhileMissing(run: ShardRun): void;
    /**
     * Makes the worker refuse a run that no look has listed. A look proves that the run is gone once the worker has answered the order, or
     * has had time to begin the run.
     */
    refuseRun(run: ShardRun): void;
    /** Sends a look soon that does not wait for a run to end. */
    look(): void;
    /** Tests with a harmless order, until it is answered, whether a worker that left a start unanswered takes orders again. */
    probe(order: DelayedStart): void;
    pace(run: ShardRun, percent: number): void;
    close(): void;
}

/**
 * Opens the link to a worker; the first look is sent as soon as `firstLooks` allows it.
 *
 * @example
 * const link = openWorkerLink(worker, options);
 */
export const openWorkerLink = (worker: ShardWorker, options: WorkerLinkOptions): WorkerLink => {
    const { clock, log, meter, workers, leaseMs, lookWaitMs, lookPauseMs } = options;
    const guard = createGuard({ clock, log, meter });
    const newestToken = (): number => Math.max(options.fencingToken, options.newestToken?.() ?? 0);
    /**
     * Fencing token of the looks and orders that are sent next. It is raised where another incarnation may answer from now
     * on: once a look with the raised token has reached that incarnation, it rejects all orders sent before. Orders to stop the
     * runs would not suffice, since they may be delayed as long as the start orders.
     */
    let token = newestToken();
    let closed = false;
    /** Whether the newest look was answered, so that the same incarnation most likely answers the next. */
    let lastLookAnswered = false;
    /** Highest end number that was acknowledged in a look that the worker answered. */
    let deliveredAcknowledgedEnd = 0;
    /** Local time of the newest answer, or of the first look before any answer. */
    let lastAnswerAtMs = clock.monotonicMs();
    let answerTimeoutMs = minAnswerTimeoutMs;
    let endPause: (() => void) | undefined;
    /** Whether the next look must not wait. A look under way is abandoned then if it waits. */
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

    /**
     * Whether the worker rejected a call because a look or order of this owner with a higher token reached it first; the call
     * had no effect.
     */
    const isOvertaken = (outcome: OrderOutcome, sentToken: number): boolean =>
        outcome === orderOutcomes.fenced && sentToken < token;

    /** Whether the listed address may be that of another worker, since runs were sent to this one at a different address. */
    const mayBeStranger = (): boolean =>
        [...worker.runs.values()].some(({ address }) => address !== "" && address !== worker.entry.address);

    /**
     * Reports an outcome by which this owner or the worker's incarnation is over; returns true where nothing more may be sent
     * on this link.
     */
    const endsLink = (outcome: OrderOutcome, sentToken: number): boolean => {
        if (closed) {
            // The link of the next incarnation may have raised the token.
            return true;
        }
        if (isOvertaken(outcome, sentToken)) {
            return false;
        }
        if (outcome === orderOutcomes.fenced) {
            options.onFenced(worker);
            return true;
        }
        if (outcome === orderOutcomes.otherIncarnation && !mayBeStranger()) {
            options.onIncarnationOver(worker);
            return true;
        }
        return false;
    };

    /**
     * Whether a look is late because this daemon itself reads answers late; such a delay also doubles the answer timeout of later
     * looks. A healthy worker must not count as silent for it: its leases would not be renewed, so that all its runs would end,
     * and it would get no new work.
     */
    const isOwnDelay = (sentAtMs: number, waitMs: number): boolean => {
        const overdueMs = clock.monotonicMs() - sentAtMs - waitMs - answerTimeoutMs;
        if (overdueMs <= ownDelayThresholdMs) {
            return false;
        }
        answerTimeoutMs = Math.min(maxAnswerTimeoutMs, 2 * answerTimeoutMs);
        return clock.monotonicMs() - lastAnswerAtMs <= ownDelayGraceMs;
    };

    const hasUnacknowledgedEnds = (): boolean => worker.acknowledgedEnd > deliveredAcknowledgedEnd;

    /**
     * Whether a look with the present token must not acknowledge ends. It may be carried out seconds late, by the next incarnation under
     * the worker's ID, which would discard ends that are not durable. The first look at that incarnation has this owner's newest token, so
     * that a look with a lower one is rejected from then on.
     */
    const isAcknowledgementHeld = (): boolean => worker.bornAtMs !== undefined && token >= newestToken();

    /**
     * The end number that a look acknowledges; 0 for none. Numbers begin anew with each incarnation, and the next one would
     * discard unread ends if it got a number of this one. A number is therefore sent only right after an answered look, and
     * not again once a look that carried it was answered.
     */
    const acknowledgedNow = (): number =>
        lastLookAnswered && hasUnacknowledgedEnds() && !isAcknowledgementHeld() ? worker.acknowledgedEnd : 0;

    /** Returns the token of a look at a worker that may have restarted; one below the newest where the look is to acknowledge ends. */
    const tokenAfterGap = (): number =>
        hasUnacknowledgedEnds() && (newestToken() - 1 > token || !hasUnansweredOrders())
            ? Math.max(token, newestToken() - 1)
            : newestToken();

    /**
     * Returns the answer, or undefined where another look is requested before it comes. The answer is then dropped, since it
     * may be older than that of the next look, in which the worker lists the same ends again.
     */
    const answerUnlessAbandoned = async (
        answer: Promise<LookResult>,
        waitMs: number,
    ): Promise<LookResult | undefined> => {
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

    /**
     * Whether orders may be in flight to the worker: starts without an answer, or orders of a former owner for runs that no
     * look has listed.
     */
    const mayHaveOrdersInFlight = (): boolean =>
        options.delayedStarts.of(worker.workerId).length > 0
        || [...worker.runs.values()].some(({ wasListed }) => !wasListed);

    /** As `mayHaveOrdersInFlight`, without runs whose start this owner has not sent yet, or whose start was answered. */
    const hasUnansweredOrders = (): boolean =>
        options.delayedStarts.of(worker.workerId).length > 0
        || [...worker.runs.values()].some(({ wasListed, phase, sentAtMs }) =>
            !wasListed && (phase === runPhases.starting || phase !== runPhases.planned && sentAtMs === undefined)
        );

    /** Counts a look without an answer, and pauses before the next one where it was not the first. */
    const countUnanswered = async (outcome: OrderOutcome, connectionLost: boolean): Promise<void> => {
        worker.silentLooks += 1;
        worker.silentSinceMs ??= clock.monotonicMs();
        if (worker.silentLooks === 1) {
            worker.connectionLost = connectionLost;
            log.write("warn", "workerSilent", { ...incarnationOf(worker), outcome, connectionLost });
            options.onSilent(worker);
        }
        if (worker.silentLooks > 1) {
            await pause(mayHaveOrdersInFlight() ? options.lookSlots.pauseMs(lookPauseMs) : lookPauseMs);
        }
    };

    const lookOnce = async (answered: () => void): Promise<void> => {
        if (lastLookAnswered && hasUnacknowledgedEnds() && isAcknowledgementHeld()) {
            const longest = sleep(clock, lookPauseMs);
            await Promise.race([longest, options.onAcknowledgementHeld?.() ?? longest]);
            if (closed) {
                return;
            }
        }
        const held = options.held?.();
        if (held !== undefined) {
            await Promise.race([held, sleep(clock, lookPauseMs)]);
            if (closed) {
                return;
            }
        }
        const sentAtMs = clock.monotonicMs();
        if (sentAtMs - lastAnswerAtMs > maxLookGapMs) {
            token = tokenAfterGap();
        }
        // Looks to a silent worker renew no lease: each may arrive late, and would postpone the time by which its leases are
        // surely over. Neither do looks of an owner that may have been replaced during a pause; a worker that its successor has
        // reached rejects them.
        const mayRenew = worker.silentLooks === 0 && options.held?.() === undefined;
        const deadlineMs = mayRenew ? extendLease(worker, sentAtMs, leaseMs) : undefined;
        const ready = deadlineMs !== undefined;
        const waitMs = ready && !lookWanted ? lookWaitMs : 0;
        lookWanted = false;
        meter.count("looks");
        const acknowledgedEnd = acknowledgedNow();
        lastLookAnswered = false;
        const sentToken = token;
        const order = { fencingToken: sentToken, acknowledgedEnd, deadlineMs, waitMs, answerTimeoutMs };
        const look = await answerUnlessAbandoned(workers.look(target(), order), waitMs);
        answered();
        if (closed || look === undefined) {
            return;
        }
        if (look.outcome === "done") {
            // Where another incarnation has answered, neither its clock nor its runs apply to this one.
            if (isOtherIncarnation(worker.bornAtMs, look.bornAtMs)) {
                options.onRestarted(worker, look.bornAtMs);
                return;
            }
            worker.bornAtMs ??= look.bornAtMs;
            lastLookAnswered = true;
            deliveredAcknowledgedEnd = Math.max(deliveredAcknowledgedEnd, acknowledgedEnd);
            const nowMs = clock.monotonicMs();
            recordAnswer(worker, { nowMs, clockMs: look.clockMs, sentAtMs, lastAnswerAtMs });
            lastAnswerAtMs = nowMs;
            answerTimeoutMs = nowMs - sentAtMs < waitMs + minAnswerTimeoutMs ? minAnswerTimeoutMs : answerTimeoutMs;
            await options.onLook(worker, look, sentAtMs);
            return;
        }
        if (endsLink(look.outcome, sentToken) || isOvertaken(look.outcome, sentToken)) {
            // Either the link has ended, or a call with a higher token reached the worker first. The latter shows that the worker
            // answers; the next look carries the higher token.
            return;
        }
        // The next answer may come from another incarnation.
        token = newestToken();
        if (look.outcome === orderOutcomes.unknown && isOwnDelay(sentAtMs, waitMs)) {
            meter.count("looks.ownDelay");
            return;
        }
        await countUnanswered(look.outcome, look.connectionLost ?? false);
    };

    /**
     * Looks once more. A look that fails counts as unanswered although its answer may have come: what it lists has not been applied, so
     * that the worker must not get work, and its leases must not be renewed for ever.
     */
    const lookGuarded = async (answered: () => void): Promise<void> => {
        const { silentLooks, silentSinceMs } = worker;
        if (await guard.run("look", () => lookOnce(answered)) || closed) {
            return;
        }
        worker.silentLooks = silentLooks;
        worker.silentSinceMs = silentSinceMs;
        lastLookAnswered = false;
        token = newestToken();
        await guard.run("unansweredLook", () => countUnanswered(orderOutcomes.unknown, false));
    };

    const lookRepeatedly = async (): Promise<void> => {
        const answered = await options.firstLooks.enter(() => !closed);
        lastAnswerAtMs = clock.monotonicMs();
        let isFirstOpen = true;
        const leaveFirst = (): void => {
            if (isFirstOpen) {
                isFirstOpen = false;
                answered();
            }
        };
        await lookGuarded(leaveFirst);
        leaveFirst();
        while (!closed) {
            await lookGuarded(() => {});
        }
    };

    const lookSoon = (): void => {
        clock.setTimer(lookBatchDelayMs, () => {
            lookWanted = true;
            abandonLook?.();
        });
    };

    const lookWhileMissing = (run: ShardRun): void => {
        const delayMs = Math.max(0, (run.absenceProvenAfterMs ?? 0) - clock.monotonicMs());
        clock.setTimer(delayMs, () => {
            if (run.missingSinceMs !== undefined && worker.runs.has(runKey(run.task.name, run.run))) {
                lookSoon();
            }
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

    void guard.run("looks", lookRepeatedly);
    return {
        start: (run, ticket) => {
            run.phase = runPhases.starting;
            run.sentAtMs = clock.monotonicMs();
            return orders.start(run, ticket);
        },
        stop: run => {
            if (run.phase !== runPhases.stopping) {
                run.phase = runPhases.stopping;
                run.absenceProvenAfterMs = undefined;
                void guard.run("stop", () => orders.stop(run).then(() => lookWhileMissing(run)));
            }
        },
        stopUnknown: (taskName, run) => {
            const order = { taskName, run, fencingToken: token };
            void guard.run("stopUnknown", () => workers.stop(target(), order, stopUnknownTimeoutMs));
        },
        refuse: order => void guard.run("refuse", () => orders.refuse(order)),
        lookWhileMissing,
        refuseRun: run => {
            // A worker may answer looks and no orders.
            run.absenceProvenAfterMs = clock.monotonicMs() + refusedWithinMs;
            lookWhileMissing(run);
            void guard.run("refuseRun", () => orders.stop(run).then(() => lookWhileMissing(run)));
        },
        look: lookSoon,
        probe: order => void guard.run("probe", () => orders.probe(order)),
        pace: (run, percent) => {
            const order = { taskName: run.task.name, run: run.run, fencingToken: token, percent };
            void guard.run("pace", () => workers.pace(target(), order));
        },
        close: () => {
            closed = true;
            endPause?.();
        },
    };
};
