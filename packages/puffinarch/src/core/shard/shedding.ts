/**
 * Decides which submissions an owner refuses because it is late itself, and reads what an owner says about this in its answers to pings.
 */

import type { Shedding } from "../../types/cellPorts.js";
import type { Clock } from "../../types/ports.js";
import { hash } from "../../utils/rendezvous.js";
import { retryAfterFor } from "./retryTimes.js";

/** Dependencies of the shedding. */
export interface OwnerSheddingOptions {
    readonly clock: Clock;
    /** Priorities of the configured queues. */
    readonly priorities: () => Iterable<number>;
    /** Submissions that have arrived and are not answered. */
    readonly inProgress: () => number;
    /**
     * Whether a new owner has yet to hear from workers for the first time, which makes it late for 1 to 2 s whatever arrives; nothing is
     * shed then. Never where it is left out.
     */
    readonly isSettling?: () => boolean;
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
/** Interval of the timer whose lateness is measured. A slower signal would reach peers only after they have replaced the owner. */
const sampleMs = 25;
/** Shedding is reduced only once the owner is at most this share as late as it was when it began. */
const recoveryShare = 0.5;
/**
 * Time in which the shedding of one priority ends. Refused callers return within 3 s: where it ended faster, they made the owner late again
 * before its peers had heard of it.
 */
const releaseMs = 3_000;
/** A single priority is shed as the more urgent one of two, at a much higher lateness than the first. */
const minPriorities = 2;
/** Longest retry time that is taken from a peer; beyond it the answer counts as malformed. */
const maxRetryAfterMs = 60_000;
const hashRange = 2 ** 32;

/** How many priorities, from the most urgent one on, an owner still accepts; a fraction stands for a share of the submissions. */
const acceptedPriorities = (answerMs: number, count: number): number => {
    const share = (answerMs - firstShedAnswerMs) / (lastShedAnswerMs - firstShedAnswerMs);
    return count * (1 - Math.min(1, Math.max(0, share)));
};

const inOrder = (priorities: Iterable<number>): readonly number[] =>
    [...new Set(priorities)].sort((left, right) => left - right);

/**
 * Returns whether a submission is shed: all of those with a larger priority number than `fromPriority`, and of those whose number is its
 * integer part, the share that its fraction leaves to 1, by a hash of the job ID.
 *
 * @example
 * isShed({ fromPriority: 2, retryAfterMs: 1_000 }, 2, "5c0e7a21d94b36f8"); // true
 */
export const isShed = ({ fromPriority }: Shedding, priority: number, jobId: string): boolean =>
    priority + hash(`shed|${jobId}`) / hashRange >= fromPriority;

/**
 * Creates the shedding of an owner that is not late.
 *
 * @example
 * const shedding = createOwnerShedding({ clock, priorities: () => [0, 1, 2], inProgress: () => 0, retryAfterMs: 1_000 });
 * shedding.recordTick(300);
 * shedding.recordTick(300);
 * shedding.current()?.fromPriority; // 0
 */
export const createOwnerShedding = (options: OwnerSheddingOptions): OwnerShedding => {
    const { clock, priorities, inProgress, isSettling = () => false, retryAfterMs } = options;
    let formerLateMs = 0;
    /** Result of `acceptedPriorities` that is in force, and when it was set; `Infinity` where nothing is shed. */
    let accepted = Infinity;
    let updatedAtMs = clock.monotonicMs();
    let closed = false;
    /** When the timer that measures the lateness is due; `Infinity` before `start`. */
    let sampleDueAtMs = Infinity;

    const answerMsAt = (lateMs: number): number =>
        lateMs < minLateMs ? 0 : turnsPerSubmission * lateMs + submissionCostMs * inProgress();

    const update = (answerMs: number): void => {
        const nowMs = clock.monotonicMs();
        const count = Math.max(minPriorities, inOrder(priorities()).length);
        const reached = acceptedPriorities(answerMs, count);
        if (reached < Math.min(count, accepted)) {
            accepted = reached;
        }
        else if (accepted < count && acceptedPriorities(answerMs / recoveryShare, count) > accepted) {
            accepted += (nowMs - updatedAtMs) / releaseMs;
        }
        accepted = accepted < count ? accepted : Infinity;
        updatedAtMs = nowMs;
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
            if (isSettling()) {
                return undefined;
            }
            const ordered = inOrder(priorities());
            const priority = ordered[Math.floor(accepted)];
            const retryMs = retryAfterFor("ownerBusy", retryAfterMs);
            return priority === undefined
                ? undefined
                : { fromPriority: priority + accepted % 1, retryAfterMs: retryMs };
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
