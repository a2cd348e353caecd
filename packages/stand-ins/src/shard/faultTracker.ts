/**
 * Tracks since when a cell has been free of faults. Faults that a test injects are recorded when they begin and end; whether
 * one still lasts is asked of the cell.
 */

import type { Clock } from "puffinarch";

/** Tracks the faults of a cell. */
export interface FaultTracker {
    /** Records that a fault begins or ends now. */
    recordFault(): void;
    /** Wraps an object so that each call of the named methods records a fault. */
    recordingCalls<T extends object>(target: T, names: readonly (keyof T & string)[]): T;
    /** Time on the cell's monotonic clock at which the last fault was recorded; undefined while one lasts. */
    faultFreeSinceMs(): number | undefined;
}

/**
 * Creates the fault tracker of a cell; `isFaulty` returns whether a fault lasts now.
 *
 * @example
 * const faultTracker = createFaultTracker(clock, () => cuts.size > 0);
 * const store = faultTracker.recordingCalls(createFakeRowStore(clock), ["setFault"]);
 */
export const createFaultTracker = (clock: Clock, isFaulty: () => boolean): FaultTracker => {
    let lastFaultAtMs = clock.monotonicMs();
    const recordFault = (): void => {
        lastFaultAtMs = clock.monotonicMs();
    };
    return {
        recordFault,
        recordingCalls: (target, names) => {
            const recordedNames = new Set<string | symbol>(names);
            return new Proxy(target, {
                get: (from, name) => {
                    const value: unknown = Reflect.get(from, name);
                    return recordedNames.has(name) && typeof value === "function"
                        ? (...input: readonly unknown[]): unknown => {
                            recordFault();
                            return Reflect.apply(value, from, input);
                        }
                        : value;
                },
            });
        },
        faultFreeSinceMs: () => isFaulty() ? undefined : lastFaultAtMs,
    };
};
