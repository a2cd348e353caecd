/**
 * Refusals of submissions by a daemon that does not own the shard, while the owner says that it is too late to answer them. They take
 * milliseconds and cost the owner nothing.
 */

import type { Shedding } from "../../types/cellPorts.js";
import type { Clock, Meter } from "../../types/ports.js";
import type { JobSubmission } from "../../types/work.js";
import { die, type ErrorKind, kindOf } from "../../utils/errors.js";
import { retryAfterFor } from "./retryTimes.js";
import { decodeShedding, isShed } from "./shedding.js";

/** Dependencies of the local refusals. */
export interface LocalRefusalsOptions {
    readonly clock: Clock;
    readonly meter: Meter;
    /** Priority of a queue; undefined for a queue that is not configured, and while this daemon owns the shard. */
    readonly priorityOf: (queueKey: string) => number | undefined;
}

/** Local refusals of one daemon. */
export interface LocalRefusals {
    /** Applies the field `shedding` of the owner's newest ping answer. */
    onOwnerAnswer(shedding: unknown): void;
    /** Forgets what the former owner said. */
    reset(): void;
    /** Refuses a submission with `overloaded`, or submits it. */
    run(submission: JobSubmission, submit: () => Promise<void>): Promise<void>;
}

/** What an owner said is used for this long; its watchers ping it every 200 ms. */
const newsValidMs = 500;
/** Most IDs that are kept as possibly accepted; a daemon forwards fewer in the minutes in which a caller may repeat one. */
const maxKeptIds = 20_000;
/** Kinds of errors of submissions that are certain not to be accepted. */
const refusalKinds: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
    "notAccepted",
    "overloaded",
    "overQuota",
    "invalid",
    "neverFits",
    "unavailable",
]);

/**
 * Creates the local refusals of a daemon, which has not heard of an owner.
 *
 * @example
 * const refusals = createLocalRefusals({ clock, meter, priorityOf: () => 2 });
 * refusals.onOwnerAnswer(answer.shedding);
 * await refusals.run(submission, () => forward(submission));
 */
export const createLocalRefusals = ({ clock, meter, priorityOf }: LocalRefusalsOptions): LocalRefusals => {
    let news: { readonly shedding: Shedding; readonly atMs: number; } | undefined;
    /** IDs of submissions that may have been accepted, the oldest first. */
    const possiblyAccepted = new Set<string>();
    /** Number of submissions of each ID that are not answered. */
    const unanswered = new Map<string, number>();

    const sheddingFor = ({ jobId, queueKey }: JobSubmission): Shedding | undefined => {
        const mayBeAccepted = possiblyAccepted.has(jobId) || unanswered.has(jobId);
        if (news === undefined || clock.monotonicMs() - news.atMs >= newsValidMs || mayBeAccepted) {
            return undefined;
        }
        const priority = priorityOf(queueKey);
        return priority !== undefined && isShed(news.shedding, priority, jobId) ? news.shedding : undefined;
    };

    const countUnanswered = (jobId: string, change: number): void => {
        const count = (unanswered.get(jobId) ?? 0) + change;
        if (count === 0) {
            unanswered.delete(jobId);
        }
        else {
            unanswered.set(jobId, count);
        }
    };

    const keep = (jobId: string): void => {
        possiblyAccepted.add(jobId);
        for (const oldest of possiblyAccepted) {
            if (possiblyAccepted.size <= maxKeptIds) {
                return;
            }
            possiblyAccepted.delete(oldest);
        }
    };

    return {
        onOwnerAnswer: value => {
            const shedding = decodeShedding(value);
            news = shedding === undefined ? undefined : { shedding, atMs: clock.monotonicMs() };
        },
        reset: () => {
            news = undefined;
        },
        run: async (submission, submit) => {
            const { jobId } = submission;
            const shedding = sheddingFor(submission);
            if (shedding !== undefined) {
                meter.count("jobsRefused.ownerLateLocal");
                const retryAfterMs = retryAfterFor("ownerBusy", shedding.retryAfterMs, jobId);
                die("overloaded", "the owner of the shard is too busy to accept it in time", { retryAfterMs });
            }
            countUnanswered(jobId, 1);
            try {
                await submit();
                keep(jobId);
            }
            catch (error) {
                if (!refusalKinds.has(kindOf(error))) {
                    keep(jobId);
                }
                throw error;
            }
            finally {
                countUnanswered(jobId, -1);
            }
        },
    };
};
