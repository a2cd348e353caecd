/**
 * Logs a warning where an owner has started nothing for a while although tasks wait. Such an owner still answers its peers and
 * its calls succeed, so that no other log line shows the fault.
 */

import type { Clock, Log, Meter } from "../../types/ports.js";

/** Dependencies of the progress check. */
export interface OwnerProgressOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    /** Age in ms of the worker list or of the configuration, whichever is older; `Infinity` before both have been read. */
    readonly newsAgeMs: () => number;
    /** How long the commit in progress has waited for the store, in ms; 0 where there is none. */
    readonly stalledMs: () => number;
    /** Local time of the newest answer of any worker. */
    readonly newestAnswerAtMs: () => number;
}

/** Progress check of one owner. */
export interface OwnerProgress {
    /** Records that a run was started. */
    recordStart(): void;
    /** Records that a job was accepted. */
    recordAcceptance(): void;
    /** Logs a warning where nothing has started for too long; `waitingSteps` is the number of steps that wait to be placed. */
    review(waitingSteps: number): void;
}

/**
 * Time without a start before the first warning; a task may wait at most this long although capacity is free. Each further warning
 * comes after twice the time.
 */
const firstWarningAfterMs = 3_000;

/**
 * Creates the progress check of an owner that has just claimed its shard.
 *
 * @example
 * const progress = createOwnerProgress({ clock, log, meter, newsAgeMs, stalledMs, newestAnswerAtMs });
 * progress.review(12);
 */
export const createOwnerProgress = (options: OwnerProgressOptions): OwnerProgress => {
    const { clock, log, meter, newsAgeMs, stalledMs, newestAnswerAtMs } = options;
    let startedAtMs = clock.monotonicMs();
    let acceptedAtMs = clock.monotonicMs();
    let nextWarningAfterMs = firstWarningAfterMs;

    const sinceMs = (atMs: number): number => Math.round(clock.monotonicMs() - atMs);

    return {
        recordStart: () => {
            startedAtMs = clock.monotonicMs();
        },
        recordAcceptance: () => {
            acceptedAtMs = clock.monotonicMs();
        },
        review: waitingSteps => {
            if (Number.isFinite(newsAgeMs())) {
                meter.record("newsAgeMs", newsAgeMs());
            }
            if (waitingSteps === 0 || sinceMs(startedAtMs) < firstWarningAfterMs) {
                nextWarningAfterMs = firstWarningAfterMs;
                return;
            }
            if (sinceMs(startedAtMs) >= nextWarningAfterMs) {
                nextWarningAfterMs *= 2;
                log.write("warn", "nothingStarted", {
                    forMs: sinceMs(startedAtMs),
                    waitingSteps,
                    acceptedMsAgo: sinceMs(acceptedAtMs),
                    lookedMsAgo: sinceMs(newestAnswerAtMs()),
                    newsAgeMs: Math.round(newsAgeMs()),
                    commitStalledMs: Math.round(stalledMs()),
                });
            }
        },
    };
};
