/** Passes callers' requests on to the shard's owner, wherever it is, until it answers or the caller's time is over. */

import type { Clock } from "../../types/ports.js";
import { die, errorOf, failureOf } from "../../utils/errors.js";
import type { ShardOwner } from "./shardOwner.js";

/** What passing on needs. */
export interface ForwardOptions {
    readonly clock: Clock;
    /** What a refused caller is told to wait. */
    readonly retryAfterMs: number;
    /** The shard, where this daemon owns it. */
    readonly shard: () => ShardOwner | undefined;
    /** Where the owner is, where it is another daemon. */
    readonly ownerAddress: () => string | undefined;
    /** How long ago an owner was last known to be well. */
    readonly ownerLostMs: () => number;
    /** A try at the owner found no answer. */
    readonly onNoAnswer: () => void;
}

/** One request: what to do with it here, and at another daemon. */
export interface ForwardRequest<T> {
    readonly local: (shard: ShardOwner) => Promise<T>;
    readonly remote: (address: string, timeoutMs: number) => Promise<T>;
    readonly patienceMs: number;
}

/** Passes requests on. */
export interface Forward {
    /** Fails with `notAccepted` where the request surely had no effect, and with `mayHaveRun` where that is not known. */
    run<T>(request: ForwardRequest<T>): Promise<T>;
    /** The owner changed; requests that wait try again at once. */
    wake(): void;
}

/** How long after an owner was lost a request waits for the next one before it is refused with a time to come back. */
const ownerPatienceMs = 1_500;
/** Pause between tries where no owner answers. */
const pauseMs = 50;
/** A try takes some 15 ms, a commit included; below this it could not be settled in time. */
const shortestTryMs = 40;
/** One try at the owner; a commit takes some 10 ms, and a resend of the same id is harmless. */
const tryTimeoutMs = 900;

/**
 * Makes the passing on of requests.
 *
 * @example
 * const forward = createForward({ clock, retryAfterMs: 1_000, shard, ownerAddress, ownerLostMs, onNoAnswer });
 * await forward.run({ local: shard => shard.submit(job), remote: (address, timeoutMs) => send(address, timeoutMs), patienceMs: 2_000 });
 */
export const createForward = (options: ForwardOptions): Forward => {
    const { clock, retryAfterMs, shard, ownerAddress, ownerLostMs, onNoAnswer } = options;
    const waiting = new Set<() => void>();

    const ownerChange = (waitMs: number): Promise<void> =>
        new Promise(resolve => {
            const end = (): void => {
                cancel();
                waiting.delete(end);
                resolve();
            };
            const cancel = clock.setTimer(waitMs, end);
            waiting.add(end);
        });

    /** Rejects with `mayHaveRun` once the owner is another one; a lost owner would else hold the request for its whole time. */
    const ownerMove = (address: string): { readonly happened: Promise<never>; readonly end: () => void; } => {
        let end = (): void => {};
        const happened = new Promise<never>((_resolve, reject) => {
            const check = (): void => {
                if (shard() !== undefined || ownerAddress() !== address) {
                    reject(errorOf({ kind: "mayHaveRun", message: "the shard has another owner by now" }));
                }
            };
            waiting.add(check);
            end = () => {
                waiting.delete(check);
            };
        });
        return { happened, end };
    };

    const tryOnce = async <T>(
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
        const answer = remote(address, Math.max(1, Math.min(tryTimeoutMs, leftMs))).then(value => ({ value }));
        const moved = ownerMove(address);
        try {
            return await Promise.race([answer, moved.happened]);
        }
        finally {
            moved.end();
            // Where the owner changed, what its predecessor says adds nothing: the request goes to the new one.
            answer.catch(() => {});
        }
    };

    return {
        run: async request => {
            const startedAtMs = clock.monotonicMs();
            const { patienceMs } = request;
            let unknown = false;
            for (;;) {
                const leftMs = startedAtMs + patienceMs - clock.monotonicMs();
                if (!unknown && leftMs < shortestTryMs) {
                    // Sent now, it would be settled after its caller has gone; not sent, the refusal is certain.
                    return die("notAccepted", "too little time is left", { retryAfterMs });
                }
                try {
                    const answer = await tryOnce(request, leftMs);
                    if (answer !== undefined) {
                        return answer.value;
                    }
                }
                catch (error) {
                    const { kind } = failureOf(error);
                    unknown ||= kind === "mayHaveRun";
                    if (!unknown && kind !== "unavailable") {
                        throw error;
                    }
                    onNoAnswer();
                }
                // An owner that was lost a while ago is not expected back at once, and other daemons may reach one.
                const allowedMs = unknown ? patienceMs : Math.min(patienceMs, ownerPatienceMs - ownerLostMs());
                if (clock.monotonicMs() - startedAtMs + pauseMs >= allowedMs) {
                    return unknown
                        ? die("mayHaveRun", "the owner of the shard gave no answer")
                        : die("notAccepted", "no owner of the shard can be reached", { retryAfterMs });
                }
                await ownerChange(pauseMs);
            }
        },
        wake: () => {
            for (const notify of [...waiting]) {
                notify();
            }
        },
    };
};
