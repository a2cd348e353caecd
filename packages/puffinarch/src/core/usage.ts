/** What is done about attempts that use more than they declared; usage lags, so each step is small. */

import { add, largest, noResources, type Resources, subtract } from "../types/resources.js";

/** An attempt with what it declared and what it was last seen to use. */
export interface UsedAttempt {
    readonly attemptId: string;
    readonly size: Resources;
    readonly used: Resources;
    readonly throttled: boolean;
}

/** What to do about one attempt. */
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
 * Chooses remedies for one worker: processors over its capacity are throttled back to what was declared, memory over
 * its capacity stops the worst offender with a checkpoint. One remedy of each kind at a time, since usage lags.
 *
 * @example
 * remediesFor(capacity, attempts); // [] while the worker is within its capacity
 */
export const remediesFor = (capacity: Resources, attempts: readonly UsedAttempt[]): readonly Remedy[] => {
    const used = attempts.reduce((sum, attempt) => add(sum, attempt.used), noResources);
    const over = subtract(used, capacity);
    const remedies: Remedy[] = [];
    if (over.cpuMillis > 0) {
        const open = attempts.filter(attempt => !attempt.throttled);
        const worst = worstBy(open, attempt => attempt.used.cpuMillis - attempt.size.cpuMillis);
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
 * What an attempt is taken to need from now on: never less than it declared.
 *
 * @example
 * correctedSize(size, noResources); // size
 */
export const correctedSize = (size: Resources, used: Resources): Resources => largest(size, used);
