/** A VM's network link on a fake clock: all that comes over it at once shares its rate, and small messages wait behind what is queued. */

import type { Clock } from "puffinarch";

/** Bytes on their way. */
export interface Transfer {
    /** Resolves once the last byte has come. */
    readonly done: Promise<void>;
    /** Nothing more of it is sent. */
    cancel(): void;
}

/** A link. */
export interface Link {
    carry(bytes: number): Transfer;
    /** How long a message of a few bytes waits behind the others' packets. */
    queueMs(): number;
}

/** What each transfer has in the queue of a link that is full. */
const windowBytes = 64_000;

interface Share {
    leftBytes: number;
    readonly finish: () => void;
}

/**
 * Makes a link that carries so many bytes in a millisecond.
 *
 * @example
 * const link = createLink(clock, 1_250);
 * await link.carry(5_000).done; // after 4 ms
 */
export const createLink = (clock: Clock, bytesPerMs: number): Link => {
    const shares = new Set<Share>();
    let countedAtMs = clock.monotonicMs();
    let cancelTimer = (): void => {};

    /** Takes off what was carried since the last change. */
    const count = (): void => {
        const nowMs = clock.monotonicMs();
        const each = (nowMs - countedAtMs) * bytesPerMs / Math.max(1, shares.size);
        for (const share of shares) {
            share.leftBytes -= each;
        }
        countedAtMs = nowMs;
    };

    const plan = (): void => {
        cancelTimer();
        if (shares.size === 0) {
            return;
        }
        const least = Math.min(...[...shares].map(({ leftBytes }) => leftBytes));
        cancelTimer = clock.setTimer(Math.max(0, least) * shares.size / bytesPerMs, () => {
            count();
            for (const share of [...shares]) {
                // Fractions of a byte are left by the division.
                if (share.leftBytes < 1) {
                    shares.delete(share);
                    share.finish();
                }
            }
            plan();
        });
    };

    return {
        carry: bytes => {
            count();
            let finish = (): void => {};
            const done = new Promise<void>(resolve => {
                finish = resolve;
            });
            const share = { leftBytes: bytes, finish };
            shares.add(share);
            plan();
            return {
                done,
                cancel: () => {
                    count();
                    shares.delete(share);
                    plan();
                },
            };
        },
        queueMs: () => {
            count();
            const queued = [...shares].reduce((sum, { leftBytes }) => sum + Math.min(windowBytes, leftBytes), 0);
            return queued / bytesPerMs;
        },
    };
};
