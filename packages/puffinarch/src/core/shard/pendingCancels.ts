/**
 * Cancels of which no owner has answered while their callers waited. The daemon goes on delivering them: callers stop asking after
 * some seconds, the shard may lack an owner for longer, and the job would run on although its caller wants it gone. A cancel is
 * idempotent, so that a delivery besides the caller's own attempts does no harm.
 */

import type { Clock, Log, Meter } from "../../types/ports.js";
import type { JobReference } from "../../types/work.js";
import { die, type ErrorKind, failureOf } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";

/** Dependencies of the pending cancels of one daemon. */
export interface PendingCancelsOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    /** Delivers a cancel to the shard's owner within a time; false where the caller's organisation has no such job. */
    readonly deliver: (job: JobReference, totalTimeoutMs: number) => Promise<boolean>;
}

/** Delivers cancels to the owner, also after their callers have gone. */
export interface PendingCancels {
    /**
     * Delivers a cancel for a caller, who gets the owner's answer or the failure. After a failure with `unavailable`, `mayHaveRun` or
     * `overloaded` the cancel stays pending, and may still take effect.
     */
    cancel(job: JobReference, totalTimeoutMs: number): Promise<boolean>;
    /** Drops all pending cancels. */
    close(): void;
}

interface PendingCancel {
    readonly job: JobReference;
    readonly sinceMs: number;
    /** Moves on when a caller cancels the job again. */
    untilMs: number;
    attempts: number;
}

/**
 * How long a cancel stays pending. A claimant gives the shard up after reading its journal for 8 s and the next one after 16 s; with the
 * time until the loss is noticed, the shard may lack an owner for nearly this long.
 */
const keepMs = 30_000;
/**
 * Most cancels that are pending at a daemon. They are delivered one after the other in some 15 ms each, so that all are through within a
 * second of an owner's return, and a new owner gets at most one of these calls from each daemon at a time.
 */
const maxPending = 64;
/** Timeout of one delivery, enough for one attempt at the owner. A lost answer of one job must not delay the others. */
const deliveryTimeoutMs = 900;
/** Pause after a delivery that got no answer. */
const retryPauseMs = 200;

/** Kinds of failures after which the cancel is sent again; an owner that is overloaded with cancels takes it later. */
const unansweredKinds: ReadonlySet<ErrorKind> = new Set(["unavailable", "mayHaveRun", "overloaded"]);

/**
 * Creates the pending cancels of a daemon; there are none at first.
 *
 * @example
 * const cancels = createPendingCancels({ clock, log, meter, deliver });
 * const known = await cancels.cancel(job, 3_000);
 */
export const createPendingCancels = ({ clock, log, meter, deliver }: PendingCancelsOptions): PendingCancels => {
    /** In the order in which they are delivered. */
    const pending = new Map<string, PendingCancel>();
    let delivering = false;
    let closed = false;

    /** Another organisation may cancel a job of the same ID; its cancel has no effect and must not take the place of this one. */
    const keyOf = ({ jobId, organisation = "" }: JobReference): string => `${jobId} ${organisation}`;

    const recordEnd = ({ job, sinceMs, attempts }: PendingCancel, outcome: string): void => {
        const ageMs = Math.round(clock.monotonicMs() - sinceMs);
        meter.count(`pendingCancels.${outcome}`);
        log.write("info", "pendingCancelEnded", { jobId: job.jobId, outcome, ageMs, attempts });
    };

    /** Ends a cancel, unless another attempt has ended it meanwhile. */
    const end = (each: PendingCancel, outcome: string): void => {
        const key = keyOf(each.job);
        if (pending.get(key) === each) {
            pending.delete(key);
            recordEnd(each, outcome);
        }
    };

    const attempt = (job: JobReference): Promise<boolean> =>
        Promise.race([
            deliver(job, deliveryTimeoutMs),
            sleep(clock, deliveryTimeoutMs).then(() => die("mayHaveRun", "the owner of the shard did not answer")),
        ]);

    /** Delivers one cancel; returns false where no owner answered. */
    const deliverOnce = async (each: PendingCancel): Promise<boolean> => {
        each.attempts += 1;
        try {
            end(each, await attempt(each.job) ? "cancelled" : "jobUnknown");
            return true;
        }
        catch (error) {
            const { kind } = failureOf(error);
            if (!unansweredKinds.has(kind)) {
                end(each, kind);
                return true;
            }
            return false;
        }
    };

    const putLast = (each: PendingCancel): void => {
        const key = keyOf(each.job);
        if (pending.get(key) === each) {
            pending.delete(key);
            pending.set(key, each);
        }
    };

    const deliverAll = async (): Promise<void> => {
        for (;;) {
            const [each] = pending.values();
            if (each === undefined) {
                break;
            }
            if (clock.monotonicMs() >= each.untilMs) {
                end(each, "expired");
            }
            else if (!await deliverOnce(each)) {
                putLast(each);
                await sleep(clock, retryPauseMs);
            }
        }
        delivering = false;
    };

    const keep = (job: JobReference, sinceMs: number): void => {
        const key = keyOf(job);
        const untilMs = clock.monotonicMs() + keepMs;
        const each = pending.get(key) ?? { job, sinceMs, untilMs, attempts: 0 };
        if (closed || pending.size >= maxPending && !pending.has(key)) {
            recordEnd(each, closed ? "shutdown" : "notKept");
            return;
        }
        each.untilMs = untilMs;
        pending.set(key, each);
        if (!delivering) {
            delivering = true;
            void deliverAll();
        }
    };

    return {
        cancel: async (job, totalTimeoutMs) => {
            const sinceMs = clock.monotonicMs();
            try {
                const known = await deliver(job, totalTimeoutMs);
                const earlier = pending.get(keyOf(job));
                if (earlier !== undefined) {
                    end(earlier, known ? "cancelled" : "jobUnknown");
                }
                return known;
            }
            catch (error) {
                if (unansweredKinds.has(failureOf(error).kind)) {
                    keep(job, sinceMs);
                }
                throw error;
            }
        },
        close: () => {
            closed = true;
            for (const each of [...pending.values()]) {
                end(each, "shutdown");
            }
        },
    };
};
