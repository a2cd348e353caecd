/** The type of a benchmark, and helpers that summarise and round what it measured. */

import * as hdr from "hdr-histogram-js";

/** Results of one setting as a row of a table; column names carry their unit. */
export type Row = Readonly<Record<string, number | string>>;

/** Options of one run of a benchmark. */
export interface BenchmarkOptions {
    /** Measures more settings or runs each for longer; the run may take more than a minute. */
    readonly long: boolean;
    /** Seed of the generated inputs. */
    readonly seed: number;
}

/** Measures every setting and resolves to a row for each. */
export type Benchmark = (options: BenchmarkOptions) => Promise<readonly Row[]>;

/** Collects values and computes their percentiles. */
export interface Sample {
    add(value: number): void;
    /** Value at a percentile from 0 to 100; 0 if there are no values. */
    percentile(percent: number): number;
    count(): number;
}

/** The histogram counts whole numbers only, so values are recorded in thousandths. */
const unitsPerValue = 1_000;

/**
 * Creates an empty sample. Negative values count as 0; percentiles have three significant digits and a resolution of 0.001.
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
        add: value => histogram.recordValue(Math.max(0, Math.round(value * unitsPerValue))),
        percentile: percent => histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percent) / unitsPerValue,
        count: () => histogram.totalCount,
    };
};

/**
 * Rounds a value to a number of decimal places.
 *
 * @example
 * round(1.23456, 2); // 1.23
 */
export const round = (value: number, digits = 3): number => Number(value.toFixed(digits));
