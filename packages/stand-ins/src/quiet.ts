/** A log and a meter that keep nothing, for parts whose lines and figures a test does not look at. */

import type { Log, Meter } from "puffinarch";

/** Drops every line. */
export const quietLog: Log = { write: () => {} };

/** Drops every figure. */
export const quietMeter: Meter = { count: () => {}, record: () => {}, total: () => 0, percentile: () => 0 };
