/**
 * Forwards callers' requests to the shard's owner, in this daemon or another one, and retries until the owner answers or the request
 * times out.
 */

import type { Clock } from "../../types/ports.js";
import { die, type ErrorKind, errorOf, failureOf } from "../../utils/errors.js";
import { retryAfterFor, type RetryCause } from "./retryTimes.js";
import type { ShardOwner } from "./shardOwner.js";

/** Dependencies of request forwarding. */
export interface ForwarderOptions {
    readonly clock: Clock;
    /** `ShardSettings.retryAfterMs`, on which the time depends after which a refused caller is told to retry. */
    readonly retryAfterMs: number;
    /** The shard, if this daemon owns it. */
    readonly shard: () => ShardOwner | undefined;
    /** Address of the owner, if it is another daemon and known. */
    readonly ownerAddress: () => string | undefined;
    /** Time since an owner was last known to be healthy. */
    readonly ownerLostMs: () => number;
    /** Whether this daemon's data centre is cut off, so that requests are refused at once; never where it is left out. */
    readonly isPartitioned?: () => boolean;
    /** Called when an attempt failed without a definite answer from the owner. */
    readonly onNoAnswer: () => void;
}

/**
 * Kind of the error of a request that certainly had no effect: `notAccepted` for a submission. It would be untrue of a job that is only
 * read or cancelled, which may have been accepted before; those fail with `unavailable`.
 */
export type Refusal = Extract<ErrorKind, "notAccepted" | "unavailable">;

/** One request: how to run it on the local owner and how to send it to another daemon. `totalTimeoutMs` limits all attempts together. */
export interface ForwardRequest<T> {
    readonly refusal: Refusal;
    /** The job that the request is about; spreads the retry times of refused callers. */
    readonly jobId?: string;
    readonly local: (shard: ShardOwner) => Promise<T>;
    readonly remote: (address: string, timeoutMs: number) => Promise<T>;
    readonly totalTimeoutMs: number;
    /** Returns true once the caller has closed its connection; no further attempt is made then. */
    readonly isAbandoned?: (() => boolean) | undefined;
}

/** Forwards requests. */
export interface Forwarder {
    /** Fails with the request's `refusal` if it certainly had no effect, and with `mayHaveRun` if that is unknown. */
    run<T>(request: ForwardRequest<T>): Promise<T>;
    /** Must be called when the owner changes; waiting requests are retried at once. */
    wake(): void;
}

/** A request waits for a new owner for up to this long after the last one was lost; then it is refused with a retry time. */
const ownerLossGraceMs = 1_500;
/** Pause between attempts that reached no owner. */
const retryPauseMs = 50;
/**
 * Further pause after an attempt that the owner refused where an earlier one went unanswered. The earlier one may still be accepted, and
 * the owner is probably busy.
 */
const refusedPauseMs = 250;
/** An attempt takes about 15 ms including a commit; with less time than this left, its outcome could come too late for the caller. */
const minAttemptMs = 40;
/** Timeout of one attempt. A commit takes about 10 ms, and sending the same ID again is idempotent. */
const attemptTimeoutMs = 900;

/**
 * Creates the forwarding of requests.
 *
 * @example
 * const forwarder = createForwarder({ clock, retryAfterMs: 1_000, shard, ownerAddress, ownerLostMs, onNoAnswer });
 * await forwarder.run({ refusal: "notAccepted", local: shard => shard.submit(job), remote: (address, timeoutMs) => send(address, timeoutMs), totalTimeoutMs: 2_000 });
 */
export const createForwarder = (options: ForwarderOptions): Forwarder => {
    const { clock, retryAfterMs, shard, ownerAddress, ownerLostMs, onNoAnswer } = options;
    const ownerChangeListeners = new Set<() => void>();

    const waitForOwnerChange = (waitMs: number): Promise<void> =>
        new Promise(resolve => {
            const end = (): void => {
                cancel();
                ownerChangeListeners.delete(end);
                resolve();
            };
            const cancel = clock.setTimer(waitMs, end);
            ownerChangeListeners.add(end);
        });

    /** Rejects with `mayHaveRun` once the shard has another owner. Otherwise a lost owner would block the request until it times out. */
    const watchOwnerChange = (address: string): { readonly changed: Promise<never>; readonly end: () => void; } => {
        let end = (): void => {};
        const changed = new Promise<never>((_resolve, reject) => {
            const check = (): void => {
                if (shard() !== undefined || ownerAddress() !== address) {
                    reject(
                        errorOf({ kind: "mayHaveRun", message: "the owner of the shard changed during the request" }),
                    );
                }
            };
            ownerChangeListeners.add(check);
            end = () => {
                ownerChangeListeners.delete(check);
            };
        });
        return { changed, end };
    };

    const attempt = async <T>(
        { local, remote }: ForwardRequest<T>,
        leftMs: number,
    ): Promise<{ readonly value: T; } | undefined> => {
        const owned = shard();
        if (owned !== undefined) {
            return { value: await local(owned) };
        }
        const address = ownerAddress();
        if (address === undefined) {
            return undefined;
        }
        const answer = remote(address, Math.max(1, Math.min(attemptTimeoutMs, leftMs))).then(value => ({ value }));
        const ownerWatch = watchOwnerChange(address);
        try {
            return await Promise.race([answer, ownerWatch.changed]);
        }
        finally {
            ownerWatch.end();
            // If the owner changed, a late rejection from the former owner is ignored; the request is sent to the new owner.
            answer.catch(() => {});
        }
    };

    return {
        run: async request => {
            const startedAtMs = clock.monotonicMs();
            const { refusal, totalTimeoutMs, jobId = "", isAbandoned = () => false } = request;
            const retryAfter = (cause: RetryCause) => ({ retryAfterMs: retryAfterFor(cause, retryAfterMs, jobId) });
            let mayHaveRun = false;
            for (;;) {
                if (isAbandoned()) {
                    // The caller may have been refused by another daemon since, which promised that the job never runs.
                    return die(mayHaveRun ? "mayHaveRun" : refusal, "the caller has closed its connection");
                }
                const leftMs = startedAtMs + totalTimeoutMs - clock.monotonicMs();
                if (!mayHaveRun && leftMs < minAttemptMs) {
                    // The outcome would come after the caller has given up. Without another attempt, the request certainly had no effect.
                    const message = "too little time is left to complete the request";
                    return die(refusal, message, retryAfter("ownerBusy"));
                }
                if (!mayHaveRun && options.isPartitioned?.() === true) {
                    const message = "this data centre is cut off from the others and from the store";
                    return die(refusal, message, retryAfter("noOwner"));
                }
                try {
                    const answer = await attempt(request, leftMs);
                    if (answer !== undefined) {
                        return answer.value;
                    }
                }
                catch (error) {
                    const failure = failureOf(error);
                    mayHaveRun ||= failure.kind === "mayHaveRun";
                    // An owner that names a time to try again has answered the request.
                    const namesTime = failure.retryAfterMs !== undefined;
                    const hasAnswered = failure.kind !== "unavailable" || namesTime;
                    const isUncertain = failure.kind === "mayHaveRun" && namesTime;
                    if (isUncertain || !mayHaveRun && hasAnswered) {
                        throw error;
                    }
                    if (hasAnswered && failure.kind !== "mayHaveRun") {
                        await waitForOwnerChange(refusedPauseMs);
                    }
                    else {
                        onNoAnswer();
                    }
                }
                // An owner that was lost some time ago is not expected back soon, and other daemons may be able to reach one.
                const allowedMs = mayHaveRun
                    ? totalTimeoutMs
                    : Math.min(totalTimeoutMs, ownerLossGraceMs - ownerLostMs());
                if (clock.monotonicMs() - startedAtMs + retryPauseMs >= allowedMs) {
                    return mayHaveRun
                        ? die("mayHaveRun", "the owner of the shard did not answer")
                        : die(refusal, "no owner of the shard can be reached", retryAfter("noOwner"));
                }
                await waitForOwnerChange(retryPauseMs);
            }
        },
        wake: () => {
            for (const notify of [...ownerChangeListeners]) {
                notify();
            }
        },
    };
};
