/**
 * Remedies for attempts that use more resources than they declared. Reports of usage lag, so each call chooses few remedies
 * and leaves the rest to the next report.
 */

import { add, largest, noResources, type Resources, subtract } from "../types/resources.js";

/** An attempt with its declared and its last reported usage. */
export interface UsedAttempt {
    readonly attemptId: string;
    /** Declared need. */
    readonly size: Resources;
    /** Usage in the worker's last report. */
    readonly used: Resources;
    readonly throttled: boolean;
}

/** Action on one attempt; `cpuMillis` is the limit that it is throttled to, in thousandths of a core. */
export type Remedy =
    | { readonly kind: "throttle"; readonly attemptId: string; readonly cpuMillis: number; }
    | { readonly kind: "stop"; readonly attemptId: string; };

const worstBy = (
    attempts: readonly UsedAttempt[],
    excess: (attempt: UsedAttempt) => number,
): UsedAttempt | undefined => {
    let worst: UsedAttempt | undefined;
    for (const attempt of attempts) {
        if (excess(attempt) > 0 && (worst === undefined || excess(attempt) > excess(worst))) {
            worst = attempt;
        }
    }
    return worst;
};

/**
 * Chooses remedies for one worker. If its processors are over capacity, the attempt that exceeds its declared need most is
 * throttled to that need. If its memory is over capacity, the attempt that exceeds its declared need most is stopped with a
 * checkpoint. Each call returns at most one remedy of each kind, since reports of usage lag.
 *
 * @example
 * remediesFor(capacity, attempts); // [] while the worker is within its capacity
 */
export const remediesFor = (capacity: Resources, attempts: readonly UsedAttempt[]): readonly Remedy[] => {
    const used = attempts.reduce((sum, attempt) => add(sum, attempt.used), noResources);
    const over = subtract(used, capacity);
    const remedies: Remedy[] = [];
    if (over.cpuMillis > 0) {
        const unthrottled = attempts.filter(attempt => !attempt.throttled);
        const worst = worstBy(unthrottled, attempt => attempt.used.cpuMillis - attempt.size.cpuMillis);
        if (worst !== undefined) {
            remedies.push({ kind: "throttle", attemptId: worst.attemptId, cpuMillis: worst.size.cpuMillis });
        }
    }
    if (over.memoryMib > 0) {
        const worst = worstBy(attempts, attempt => attempt.used.memoryMib - attempt.size.memoryMib);
        if (worst !== undefined) {
            remedies.push({ kind: "stop", attemptId: worst.attemptId });
        }
    }
    return remedies;
};

/**
 * Returns the size to reserve for an attempt: the larger of its declared need and its reported usage in each dimension.
 *
 * @example
 * correctedSize(size, noResources); // size
 */
export const correctedSize = (size: Resources, used: Resources): Resources => largest(size, used);
