/** A ring buffer: a list of fixed capacity in which new entries overwrite the oldest. */

/** A ring buffer. */
export interface Ring<T> {
    push(entry: T): void;
    /** All entries, newest first. */
    newest(): readonly T[];
}

/**
 * Creates an empty ring buffer.
 *
 * @example
 * const ring = createRing<number>(2);
 * ring.push(1); ring.push(2); ring.push(3);
 * ring.newest(); // [3, 2]
 */
export const createRing = <T>(capacity: number): Ring<T> => {
    const entries: T[] = [];
    let next = 0;
    return {
        push: entry => {
            entries[next] = entry;
            next = (next + 1) % capacity;
        },
        newest: () => [...entries.slice(0, next).reverse(), ...entries.slice(next).reverse()],
    };
};
