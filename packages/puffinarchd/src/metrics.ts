/** Counters and histograms of a daemon, and their text form for Prometheus. */

import * as hdr from "hdr-histogram-js";
import type { Meter } from "puffinarch";

/** A meter that can be scraped. */
export interface DaemonMeter extends Meter {
    /** Returns all metrics in the Prometheus text format. */
    text(): string;
}

const percents = [50, 90, 99, 99.9] as const;
const prefix = "puffinarch_";
/** Histograms hold whole numbers, so values are recorded in thousandths. */
const scaleToUnits = 1_000;

const metricName = (name: string): string =>
    prefix + name.replaceAll(/[^A-Za-z0-9]/g, "_").replaceAll(/([a-z0-9])([A-Z])/g, "$1_$2").toLowerCase();

/**
 * Creates an empty meter. Histograms keep thousandths with two significant digits, and are sized for an hour in milliseconds.
 *
 * @example
 * const meter = createMeter();
 * meter.record("taskWaitMs", 12);
 */
export const createMeter = (): DaemonMeter => {
    const counters = new Map<string, number>();
    const histograms = new Map<string, hdr.Histogram>();

    const histogramOf = (name: string): hdr.Histogram => {
        const known = histograms.get(name);
        if (known !== undefined) {
            return known;
        }
        const histogram = hdr.build({
            bitBucketSize: 64,
            autoResize: true,
            lowestDiscernibleValue: 1,
            highestTrackableValue: 3_600_000_000,
            numberOfSignificantValueDigits: 2,
        });
        histograms.set(name, histogram);
        return histogram;
    };

    const percentile = (name: string, percent: number): number => {
        const histogram = histograms.get(name);
        return histogram === undefined ? 0 : histogram.getValueAtPercentile(percent) / scaleToUnits;
    };

    const counterLines = (): readonly string[] =>
        [...counters].flatMap((
            [name, total],
        ) => [`# TYPE ${metricName(name)}_total counter`, `${metricName(name)}_total ${total}`]);

    const histogramLines = (): readonly string[] =>
        [...histograms].flatMap(([name, histogram]) => [
            `# TYPE ${metricName(name)} summary`,
            ...percents.map(percent => `${metricName(name)}{quantile="${percent / 100}"} ${percentile(name, percent)}`),
            `${metricName(name)}_count ${histogram.totalCount}`,
        ]);

    /** Processor time and memory of this process. */
    const processLines = (): readonly string[] => {
        const { user, system } = process.cpuUsage();
        const { rss, heapUsed } = process.memoryUsage();
        return [
            `${prefix}process_cpu_us_total ${user + system}`,
            `${prefix}process_resident_bytes ${rss}`,
            `${prefix}process_heap_bytes ${heapUsed}`,
        ];
    };

    return {
        count: (name, by = 1) => {
            counters.set(name, (counters.get(name) ?? 0) + by);
        },
        record: (name, value) => histogramOf(name).recordValue(Math.max(0, Math.round(value * scaleToUnits))),
        total: name => counters.get(name) ?? 0,
        percentile,
        text: () => [...counterLines(), ...histogramLines(), ...processLines(), ""].join("\n"),
    };
};
