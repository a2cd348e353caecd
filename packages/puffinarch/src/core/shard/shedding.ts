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
    /** Returns the submissions to refuse; undefined while the owner answers in time. */
    current(): Shedding | undefined;
}

/** Turns of the event loop that a submission waits for: its request, the delay of its commit batch, the store's answer and the response. */
const turnsPerSubmission = 4;
/** Processor time of one submission in progress. */
const submissionCostMs = 0.3;
/** Below this, the timers of a healthy owner may be late: a scheduling pass takes 25 ms, and a collection of garbage about as long. */
const minLateMs = 50;
/** The submissions with the most time are refused from this on: half of the 900 ms after which an attempt times out. */
const firstShedAnswerMs = 450;
/** The most urgent ones are refused from this on: callers wait 3 s in all, and this leaves them time to hear of the refusal. */
const lastShedAnswerMs = 2_400;
/** Shedding ends at this share of the time at which it began, once the owner has been below it for `recoveryMs`. */
const recoveryShare = 0.5;
const recoveryMs = 500;
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

    const answerMsAt = (lateMs: number): number =>
        lateMs < minLateMs ? 0 : turnsPerSubmission * lateMs + submissionCostMs * inProgress();

    const update = (answerMs: number): void => {
        const nowMs = clock.monotonicMs();
        const reached = shedFromPriority(answerMs, priorities());
        const remaining = shedFromPriority(answerMs / recoveryShare, priorities());
        if (reached !== undefined && (fromPriority === undefined || reached < fromPriority)) {
            fromPriority = reached;
        }
        if (fromPriority !== undefined && remaining !== undefined && remaining <= fromPriority) {
            lateUntilMs = nowMs + recoveryMs;
        }
        else if (nowMs >= lateUntilMs) {
            fromPriority = remaining === undefined || fromPriority === undefined ? undefined : remaining;
        }
    };

    return {
        recordTick: lateMs => {
            // A single late timer may be due to one long pause of the process, which is over by then.
            update(answerMsAt(Math.min(lateMs, formerLateMs)));
            formerLateMs = lateMs;
        },
        current: () =>
            fromPriority === undefined
                ? undefined
                : { fromPriority, retryAfterMs: retryAfterFor("ownerBusy", retryAfterMs) },
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
