/**
 * Decides which submissions an owner refuses because it is late itself, and reads what an owner says about this in its answers to pings.
 */

import type { Shedding } from "../../types/cellPorts.js";
import type { Clock } from "../../types/ports.js";
import { retryAfterFor } from "./retryTimes.js";

/** Dependencies of the shedding. */
export interface OwnerSheddingOptions {
    readonly clock: Clock;
    /** Priorities of the configured queues. */
    readonly priorities: () => Iterable<number>;
    /** Submissions that have arrived and are not answered. */
    readonly inProgress: () => number;
    /** `ShardSettings.retryAfterMs`. */
    readonly retryAfterMs: number;
}

/** Shedding of one owner. */
export interface OwnerShedding {
    /** Records by how many ms a periodic timer fired late. */
    recordTick(lateMs: number): void;
    /** Measures the lateness of a timer from now on, until `close` is called. */
    start(): void;
    close(): void;
    /** Returns the submissions to refuse; undefined while the owner answers in time. */
    current(): Shedding | undefined;
}

/** Turns of the event loop that a submission waits for: its request, the delay of its commit batch, the store's answer and the response. */
const turnsPerSubmission = 4;
/** Processor time of one submission in progress. */
const submissionCostMs = 0.3;
/** Below this, the timers of a healthy owner may be late: a scheduling pass takes 25 ms, and a collection of garbage about as long. */
const minLateMs = 50;
/**
 * The submissions with the most time are refused from this on: a third of the 900 ms after which an attempt times out. Its peers hear of
 * it by the pings that are answered before the owner is 350 ms late.
 */
const firstShedAnswerMs = 300;
/** The most urgent ones are refused from this on: with timers 350 ms late, pings go unanswered and the owner is replaced. */
const lastShedAnswerMs = 1_200;
/** Interval of the timer whose lateness is measured; with that of 100 ms, an owner was replaced before its peers had heard of it. */
const sampleMs = 25;
/**
 * Shedding ends at this share of the time at which it began, once the owner has been below it for a recovery time. The recovery time
 * doubles where shedding begins again soon after its end, since all callers that were refused return at once then.
 */
const recoveryShare = 0.5;
const minRecoveryMs = 500;
const maxRecoveryMs = 2_000;
/** Shedding that begins within this time of its last end is part of the same overload; callers return within 3 s. */
const sameOverloadMs = 3_000;
/** Longest retry time that is taken from a peer; beyond it the answer counts as malformed. */
const maxRetryAfterMs = 60_000;

/**
 * Returns the smallest priority number whose submissions cannot be answered in time; undefined where all can. The time at which each
 * priority is shed is spread evenly between those of the largest and the smallest number.
 *
 * @example
 * shedFromPriority(500, [0, 1, 2]); // 2
 */
export const shedFromPriority = (answerMs: number, priorities: Iterable<number>): number | undefined => {
    const ascending = [...new Set(priorities)].sort((left, right) => left - right);
    const last = ascending.length - 1;
    return ascending.find((_priority, index) => {
        const share = last === 0 ? 0 : index / last;
        return answerMs >= lastShedAnswerMs - share * (lastShedAnswerMs - firstShedAnswerMs);
    });
};

/**
 * Creates the shedding of an owner that is not late.
 *
 * @example
 * const shedding = createOwnerShedding({ clock, priorities: () => [0, 1, 2], inProgress: () => 0, retryAfterMs: 1_000 });
 * shedding.recordTick(300);
 * shedding.recordTick(300);
 * shedding.current()?.fromPriority; // 2
 */
export const createOwnerShedding = (options: OwnerSheddingOptions): OwnerShedding => {
    const { clock, priorities, inProgress, retryAfterMs } = options;
    let formerLateMs = 0;
    let fromPriority: number | undefined;
    let lateUntilMs = -Infinity;
    let recoveryMs = minRecoveryMs;
    let endedAtMs = -Infinity;
    let closed = false;
    /** When the timer that measures the lateness is due; `Infinity` before `start`. */
    let sampleDueAtMs = Infinity;

    const answerMsAt = (lateMs: number): number =>
        lateMs < minLateMs ? 0 : turnsPerSubmission * lateMs + submissionCostMs * inProgress();

    const update = (answerMs: number): void => {
        const nowMs = clock.monotonicMs();
        const reached = shedFromPriority(answerMs, priorities());
        const remaining = shedFromPriority(answerMs / recoveryShare, priorities());
        if (reached !== undefined && (fromPriority === undefined || reached < fromPriority)) {
            if (fromPriority === undefined) {
                const isSame = nowMs - endedAtMs < sameOverloadMs;
                recoveryMs = isSame ? Math.min(maxRecoveryMs, 2 * recoveryMs) : minRecoveryMs;
            }
            fromPriority = reached;
        }
        if (fromPriority !== undefined && remaining !== undefined && remaining <= fromPriority) {
            lateUntilMs = nowMs + recoveryMs;
        }
        else if (nowMs >= lateUntilMs) {
            endedAtMs = remaining === undefined && fromPriority !== undefined ? nowMs : endedAtMs;
            fromPriority = remaining === undefined || fromPriority === undefined ? undefined : remaining;
        }
    };

    const recordTick = (lateMs: number): void => {
        // A single late timer may be due to one long pause of the process, which is over by then.
        update(answerMsAt(Math.min(lateMs, formerLateMs)));
        formerLateMs = lateMs;
    };

    /** Counts a timer that is overdue now as the next one that fired late; an owner that gets later has no other sign of it. */
    const reviewPending = (): void => {
        const pendingMs = clock.monotonicMs() - sampleDueAtMs;
        if (pendingMs >= minLateMs) {
            update(answerMsAt(Math.min(pendingMs, formerLateMs)));
        }
    };

    const sample = (): void => {
        sampleDueAtMs = clock.monotonicMs() + sampleMs;
        clock.setTimer(sampleMs, () => {
            if (!closed) {
                recordTick(clock.monotonicMs() - sampleDueAtMs);
                sample();
            }
        });
    };

    return {
        recordTick,
        start: sample,
        close: () => {
            closed = true;
        },
        current: () => {
            reviewPending();
            return fromPriority === undefined
                ? undefined
                : { fromPriority, retryAfterMs: retryAfterFor("ownerBusy", retryAfterMs) };
        },
    };
};

/**
 * Reads the field `shedding` of a ping answer; undefined where it is missing or malformed.
 *
 * @example
 * decodeShedding({ fromPriority: 2, retryAfterMs: 1_000 })?.fromPriority; // 2
 */
export const decodeShedding = (value: unknown): Shedding | undefined => {
    if (typeof value !== "object" || value === null) {
        return undefined;
    }
    const { fromPriority, retryAfterMs } = value as Readonly<Record<string, unknown>>;
    const isValid = typeof fromPriority === "number" && Number.isFinite(fromPriority)
        && typeof retryAfterMs === "number" && retryAfterMs > 0 && retryAfterMs <= maxRetryAfterMs;
    return isValid ? { fromPriority, retryAfterMs } : undefined;
};
