/** A set of occurrence numbers, kept as ranges: a long schedule is worked off in order, so that few ranges hold all of its done numbers. */

/** A range of occurrence numbers: the first one, and the one after the last. */
export type OccurrenceRange = readonly [from: number, to: number];

/** A set of occurrence numbers. */
export interface OccurrenceSet {
    /** How many numbers it holds. */
    size(): number;
    has(number: number): boolean;
    add(number: number): void;
    addRange(range: OccurrenceRange): void;
    /** Returns the lowest number, from this one on, that it does not hold. */
    firstMissing(from: number): number;
    /** Its ranges, in ascending order and not adjacent. */
    ranges(): readonly OccurrenceRange[];
}

/**
 * Creates a set with the numbers of some ranges.
 *
 * @example
 * const done = createOccurrenceSet([[0, 3]]);
 * done.add(3);
 * done.ranges(); // [[0, 4]]
 */
export const createOccurrenceSet = (initial: readonly OccurrenceRange[] = []): OccurrenceSet => {
    let ranges: OccurrenceRange[] = [];

    /** The range that holds a number; undefined if there is none. */
    const rangeOf = (number: number): OccurrenceRange | undefined =>
        ranges.find(([from, to]) => from <= number && number < to);

    const addRange = ([from, to]: OccurrenceRange): void => {
        if (from >= to) {
            return;
        }
        const touching = ranges.filter(range => range[0] <= to && from <= range[1]);
        const merged: OccurrenceRange = [
            Math.min(from, ...touching.map(range => range[0])),
            Math.max(to, ...touching.map(range => range[1])),
        ];
        ranges = [...ranges.filter(range => !touching.includes(range)), merged].sort(([left], [right]) => left - right);
    };

    initial.forEach(addRange);
    return {
        size: () => ranges.reduce((sum, [from, to]) => sum + to - from, 0),
        has: number => rangeOf(number) !== undefined,
        add: number => addRange([number, number + 1]),
        addRange,
        firstMissing: from => rangeOf(from)?.[1] ?? from,
        ranges: () => ranges,
    };
};
