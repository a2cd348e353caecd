/** Reports learned speeds and biases to the operator, so that placement by them can be understood. */

import type { Clock, Log, Meter } from "../../types/ports.js";
import type { RunTimes } from "./runTimes.js";

/** Least time between two reports. */
const reportIntervalMs = 10_000;
/** Most workers, and most queues, that one log line names. */
const maxNamed = 5;

/** Reports what was learned. */
export interface SpeedsReport {
    /** Writes the log line `speedsLearned` and the metrics if speeds are spread and the newest report is old enough. */
    review(): void;
}

const format = (value: number): string => value.toFixed(2);

/**
 * Creates the report of one owner.
 *
 * @example
 * const report = createSpeedsReport({ clock, log, meter, runTimes });
 * report.review();
 */
export const createSpeedsReport = ({ clock, log, meter, runTimes }: {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly runTimes: Pick<RunTimes, "entries" | "isSpread">;
}): SpeedsReport => {
    let reportedAtMs = -Infinity;
    return {
        review: () => {
            const nowMs = clock.monotonicMs();
            if (nowMs - reportedAtMs < reportIntervalMs || !runTimes.isSpread()) {
                return;
            }
            reportedAtMs = nowMs;
            const { speeds, biases } = runTimes.entries();
            const sorted = [...speeds].sort((left, right) => left.speed - right.speed);
            for (const { speed } of sorted) {
                meter.record("workerSpeedPercent", 100 * speed);
            }
            for (const { bias } of biases) {
                meter.record("queueBiasPercent", 100 * bias);
            }
            const median = sorted[Math.floor(sorted.length / 2)]?.speed ?? 1;
            log.write("info", "speedsLearned", {
                workers: sorted.length,
                slowest: sorted.slice(0, maxNamed).map(each => `${each.address} ${format(each.speed)}`).join(", "),
                median: format(median),
                fastest: format(sorted.at(-1)?.speed ?? 1),
                biases: biases.slice(0, maxNamed).map(each =>
                    `${each.queueKey} ${format(each.bias)} spread ${format(each.spread)}`
                ).join(", "),
            });
        },
    };
};
