/** A log and a meter that discard everything, for tests that do not check log lines or metrics. */

import type { Log, Meter } from "puffinarch";

/** Discards every log line. */
export const noopLog: Log = { write: () => {} };

/** Discards every metric; totals and percentiles are 0. */
export const noopMeter: Meter = { count: () => {}, record: () => {}, total: () => 0, percentile: () => 0 };
