/** A simulated process that can be paused, resumed and killed. While it is paused its code does not run, but the clock continues. */

import type { Clock } from "puffinarch";

/** Controls whether the code of one process runs. */
export interface SimulatedProcess {
    pause(): void;
    resume(): void;
    /** Ends the process for good; its pending callbacks never run. */
    kill(): void;
    paused(): boolean;
    dead(): boolean;
    /** Resolves at once while the process runs, on `resume` while it is paused, and never once it is dead. */
    untilRunning(): Promise<void>;
    /** The clock as the process sees it; timers that become due while the process is paused run on `resume`. */
    readonly clock: Clock;
}

/**
 * Creates a process that runs.
 *
 * @example
 * const daemonProcess = createSimulatedProcess(clock);
 * daemonProcess.pause();
 */
export const createSimulatedProcess = (clock: Clock): SimulatedProcess => {
    let paused = false;
    let dead = false;
    let pending: (() => void)[] = [];

    const runOrDefer = (run: () => void): void => {
        if (dead) {
            return;
        }
        if (paused) {
            pending.push(run);
            return;
        }
        run();
    };

    return {
        pause: () => {
            paused = true;
        },
        resume: () => {
            paused = false;
            const callbacks = pending;
            pending = [];
            for (const run of callbacks) {
                runOrDefer(run);
            }
        },
        kill: () => {
            dead = true;
            pending = [];
        },
        paused: () => paused,
        dead: () => dead,
        untilRunning: () => new Promise(resolve => runOrDefer(resolve)),
        clock: {
            nowMs: clock.nowMs,
            monotonicMs: clock.monotonicMs,
            setTimer: (delayMs, run) => clock.setTimer(delayMs, () => runOrDefer(run)),
        },
    };
};
