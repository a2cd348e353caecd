/**
 * Simulation of a VM's network link on a fake clock. Concurrent transfers share its rate equally, and small messages wait behind
 * the queued bytes of the transfers.
 */

import type { Clock } from "puffinarch";

/** Bytes that are being sent over a link. */
export interface Transfer {
    /** Resolves when the last byte has arrived; never after `cancel`. */
    readonly done: Promise<void>;
    /** Stops sending. */
    cancel(): void;
}

/** A simulated link. */
export interface Link {
    send(bytes: number): Transfer;
    /** How long a message of a few bytes waits behind the packets of the transfers. */
    queueDelayMs(): number;
}

/** Bytes that one transfer has in the queue of a saturated link, like a TCP window. */
const windowBytes = 64_000;

interface ActiveTransfer {
    remainingBytes: number;
    readonly finish: () => void;
}

/**
 * Creates a link with the given rate.
 *
 * @example
 * const link = createLink(clock, 1_250);
 * await link.send(5_000).done; // after 4 ms
 */
export const createLink = (clock: Clock, bytesPerMs: number): Link => {
    const activeTransfers = new Set<ActiveTransfer>();
    let updatedAtMs = clock.monotonicMs();
    let cancelTimer = (): void => {};

    /** Subtracts the bytes that were sent since the last update. */
    const updateRemaining = (): void => {
        const nowMs = clock.monotonicMs();
        const bytesEach = (nowMs - updatedAtMs) * bytesPerMs / Math.max(1, activeTransfers.size);
        for (const transfer of activeTransfers) {
            transfer.remainingBytes -= bytesEach;
        }
        updatedAtMs = nowMs;
    };

    const scheduleCompletion = (): void => {
        cancelTimer();
        if (activeTransfers.size === 0) {
            return;
        }
        const smallestBytes = Math.min(...[...activeTransfers].map(({ remainingBytes }) => remainingBytes));
        cancelTimer = clock.setTimer(Math.max(0, smallestBytes) * activeTransfers.size / bytesPerMs, () => {
            updateRemaining();
            for (const transfer of [...activeTransfers]) {
                // The division leaves fractions of a byte.
                if (transfer.remainingBytes < 1) {
                    activeTransfers.delete(transfer);
                    transfer.finish();
                }
            }
            scheduleCompletion();
        });
    };

    return {
        send: bytes => {
            updateRemaining();
            let finish = (): void => {};
            const done = new Promise<void>(resolve => {
                finish = resolve;
            });
            const transfer = { remainingBytes: bytes, finish };
            activeTransfers.add(transfer);
            scheduleCompletion();
            return {
                done,
                cancel: () => {
                    updateRemaining();
                    activeTransfers.delete(transfer);
                    scheduleCompletion();
                },
            };
        },
        queueDelayMs: () => {
            updateRemaining();
            const queued = [...activeTransfers].reduce(
                (sum, { remainingBytes }) => sum + Math.min(windowBytes, remainingBytes),
                0,
            );
            return queued / bytesPerMs;
        },
    };
};
