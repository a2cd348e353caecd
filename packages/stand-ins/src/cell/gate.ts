/** A process that can be paused, resumed and killed: while it is paused, nothing of it moves, and time goes on. */

import type { Clock } from "puffinarch";

/** Pauses, resumes and kills one process. */
export interface Gate {
    pause(): void;
    resume(): void;
    kill(): void;
    paused(): boolean;
    dead(): boolean;
    /** Resolves at once, on resumption, or never. */
    pass(): Promise<void>;
    /** The process's view of the clock: its timers wait while it is paused. */
    readonly clock: Clock;
}

/**
 * Makes a gate that is open.
 *
 * @example
 * const gate = createGate(clock);
 * gate.pause();
 */
export const createGate = (clock: Clock): Gate => {
    let paused = false;
    let dead = false;
    let waiting: (() => void)[] = [];

    const whenOpen = (run: () => void): void => {
        if (dead) {
            return;
        }
        if (paused) {
            waiting.push(run);
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
            const runs = waiting;
            waiting = [];
            for (const run of runs) {
                whenOpen(run);
            }
        },
        kill: () => {
            dead = true;
            waiting = [];
        },
        paused: () => paused,
        dead: () => dead,
        pass: () => new Promise(resolve => whenOpen(resolve)),
        clock: {
            nowMs: clock.nowMs,
            monotonicMs: clock.monotonicMs,
            setTimer: (delayMs, run) => clock.setTimer(delayMs, () => whenOpen(run)),
        },
    };
};
