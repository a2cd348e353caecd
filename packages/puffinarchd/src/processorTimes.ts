/** Reads the processor time of this process and how long its event loop had work. */

import { performance } from "node:perf_hooks";
import type { ProcessorTimes } from "puffinarch";

const usPerMs = 1_000;

/**
 * Returns the times since the process started.
 *
 * @example
 * const { usedMs, activeMs } = readProcessorTimes();
 */
export const readProcessorTimes = (): ProcessorTimes => {
    const { user, system } = process.cpuUsage();
    return { usedMs: (user + system) / usPerMs, activeMs: performance.eventLoopUtilization().active };
};
