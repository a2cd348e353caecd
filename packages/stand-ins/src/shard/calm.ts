/** Since when nothing has been wrong with a cell: what a scene does to it is noted, and what lasts is asked for. */

import type { Clock } from "puffinarch";

/** Tells for how long a cell has been without any fault. */
export interface Calm {
    /** Something is being done to the cell, or has just come to its end. */
    note(): void;
    /** The same object, whose calls by these names are noted. */
    noting<T extends object>(target: T, names: readonly (keyof T & string)[]): T;
    /** When the last fault was over; undefined while one lasts. */
    sinceMs(): number | undefined;
}

/**
 * Makes the watch of a cell's faults.
 *
 * @example
 * const calm = createCalm(clock, () => cuts.size > 0);
 * const store = calm.noting(createFakeRowStore(clock), ["setFault"]);
 */
export const createCalm = (clock: Clock, isDisturbed: () => boolean): Calm => {
    let notedAtMs = clock.monotonicMs();
    const note = (): void => {
        notedAtMs = clock.monotonicMs();
    };
    return {
        note,
        noting: (target, names) => {
            const noted = new Set<string | symbol>(names);
            return new Proxy(target, {
                get: (from, name) => {
                    const value: unknown = Reflect.get(from, name);
                    return noted.has(name) && typeof value === "function"
                        ? (...input: readonly unknown[]): unknown => {
                            note();
                            return Reflect.apply(value, from, input);
                        }
                        : value;
                },
            });
        },
        sinceMs: () => isDisturbed() ? undefined : notedAtMs,
    };
};
