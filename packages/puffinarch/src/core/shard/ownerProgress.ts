/**
 * Tells when an owner that answers its peers gets nowhere: it started nothing for a while though work waits. Its own calls seem well
 * then, so that no other line says so.
 */

import type { Clock, Log, Meter } from "../../types/ports.js";

/** What watching the progress needs. */
export interface OwnerProgressOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    /** How old what is known of the list of workers, or of the configuration, may be. */
    readonly newsAgeMs: () => number;
    /** Since when the commit under way waits for the store; 0 at rest. */
    readonly stalledMs: () => number;
    /** Local time of the newest answer of any worker. */
    readonly lookedAtMs: () => number;
}

/** Watches the progress of one owner. */
export interface OwnerProgress {
    noteStart(): void;
    noteAcceptance(): void;
    /** Looks whether it gets on; `waitingSteps` steps wait to be placed. */
    review(waitingSteps: number): void;
}

/** A task may stand for this long beside room for it; each next line comes after twice the time. */
const firstLineMs = 3_000;

/**
 * Makes the watch of an owner that has just begun.
 *
 * @example
 * const progress = createOwnerProgress({ clock, log, meter, newsAgeMs, stalledMs, lookedAtMs });
 * progress.review(12);
 */
export const createOwnerProgress = (options: OwnerProgressOptions): OwnerProgress => {
    const { clock, log, meter, newsAgeMs, stalledMs, lookedAtMs } = options;
    let startedAtMs = clock.monotonicMs();
    let acceptedAtMs = clock.monotonicMs();
    let lineMs = firstLineMs;

    const sinceMs = (atMs: number): number => Math.round(clock.monotonicMs() - atMs);

    return {
        noteStart: () => {
            startedAtMs = clock.monotonicMs();
        },
        noteAcceptance: () => {
            acceptedAtMs = clock.monotonicMs();
        },
        review: waitingSteps => {
            if (Number.isFinite(newsAgeMs())) {
                meter.record("newsAgeMs", newsAgeMs());
            }
            if (waitingSteps === 0 || sinceMs(startedAtMs) < firstLineMs) {
                lineMs = firstLineMs;
                return;
            }
            if (sinceMs(startedAtMs) >= lineMs) {
                lineMs *= 2;
                log.write("warn", "nothingStarted", {
                    forMs: sinceMs(startedAtMs),
                    waitingSteps,
                    acceptedMsAgo: sinceMs(acceptedAtMs),
                    lookedMsAgo: sinceMs(lookedAtMs()),
                    newsAgeMs: Math.round(newsAgeMs()),
                    commitStalledMs: Math.round(stalledMs()),
                });
            }
        },
    };
};
