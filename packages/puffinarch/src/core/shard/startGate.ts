/**
 * Gate of an owner's starts, closed while the owner hands its shard over. A start that is under way as the successor claims the shard is one
 * that the successor has to find at its worker, or to prove gone before it may start the task again.
 */

import type { Clock } from "../../types/ports.js";

/** Dependencies of a gate. */
export interface StartGateOptions {
    readonly clock: Clock;
    /** Frees all starts that were planned and not sent; returns how many there were. */
    readonly freePlanned: () => number;
    /** Resolves once all changes so far are durable. */
    readonly written: () => Promise<void>;
    /** Called when starts may be planned again. */
    readonly onOpened: () => void;
}

/** What was left open as a gate was closed; the fields are those of the log line `handOver`. */
export interface ClosedGate {
    /** Time until no start was under way and all changes were durable, or until the limit. */
    readonly quietAfterMs: number;
    /** Starts that were planned and not sent; their tasks wait again. */
    readonly startsFreed: number;
    /** Starts that were still under way at the limit. */
    readonly startsOpen: number;
    /** Whether all changes were durable before the limit. */
    readonly isDurable: boolean;
}

/** Lets starts be planned and sent, or holds them back. */
export interface StartGate {
    isOpen(): boolean;
    /** Counts a start that is sent now as under way until it is settled. */
    track(settled: Promise<void>): Promise<void>;
    /**
     * Closes the gate. Resolves once the starts under way are settled and all changes are durable, after `limitMs` at the latest. A gate that
     * was closed several times is opened by the last `open`.
     */
    close(limitMs: number): Promise<ClosedGate>;
    open(): void;
}

/**
 * Creates an open gate.
 *
 * @example
 * const gate = createStartGate({ clock, freePlanned: () => 0, written: commits.written, onOpened: wake });
 * await gate.close(600);
 * gate.open();
 */
export const createStartGate = ({ clock, freePlanned, written, onOpened }: StartGateOptions): StartGate => {
    let closings = 0;
    let underWay = 0;
    let settledResolvers: (() => void)[] = [];

    const settled = (): Promise<void> =>
        underWay === 0
            ? Promise.resolve()
            : new Promise(resolve => {
                settledResolvers.push(resolve);
            });

    const endOne = (): void => {
        underWay -= 1;
        if (underWay === 0) {
            settledResolvers.forEach(resolve => resolve());
            settledResolvers = [];
        }
    };

    return {
        isOpen: () => closings === 0,
        track: async start => {
            underWay += 1;
            try {
                await start;
            }
            finally {
                endOne();
            }
        },
        close: async limitMs => {
            const beganAtMs = clock.monotonicMs();
            closings += 1;
            const startsFreed = freePlanned();
            let isDurable = false;
            const settle = async (): Promise<void> => {
                await settled();
                // Only now, since a start that was not answered, or was given up, changes its job.
                await written();
                isDurable = true;
            };
            await new Promise<void>((resolve, reject) => {
                const cancel = clock.setTimer(limitMs, resolve);
                settle().then(resolve, reject).finally(cancel);
            });
            return {
                quietAfterMs: Math.round(clock.monotonicMs() - beganAtMs),
                startsFreed,
                startsOpen: underWay,
                isDurable,
            };
        },
        open: () => {
            closings -= 1;
            if (closings === 0) {
                onOpened();
            }
        },
    };
};
