/** What a benchmark is, and how it shows what it measured. */

import * as hdr from "hdr-histogram-js";

/** One row a setting; names carry their unit. */
export type Row = Readonly<Record<string, number | string>>;

/** How a benchmark is run. */
export interface BenchmarkOptions {
    /** More settings and longer runs, for more than a minute. */
    readonly long: boolean;
    readonly seed: number;
}

/** Measures and answers its rows. */
export type Benchmark = (options: BenchmarkOptions) => Promise<readonly Row[]>;

/** Collects values and answers percentiles. */
export interface Sample {
    add(value: number): void;
    percentile(percent: number): number;
    count(): number;
}

const thousandths = 1_000;

/**
 * Makes an empty sample; values are kept in thousandths, to three digits.
 *
 * @example
 * const sample = createSample();
 * sample.add(1.5);
 */
export const createSample = (): Sample => {
    const histogram = hdr.build({
        numberOfSignificantValueDigits: 3,
        highestTrackableValue: 10 ** 12,
        autoResize: true,
    });
    return {
        add: value => histogram.recordValue(Math.max(0, Math.round(value * thousandths))),
        percentile: percent => histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percent) / thousandths,
        count: () => histogram.totalCount,
    };
};

/**
 * Rounds for showing.
 *
 * @example
 * round(1.23456, 2); // 1.23
 */
export const round = (value: number, digits = 3): number => Number(value.toFixed(digits));
