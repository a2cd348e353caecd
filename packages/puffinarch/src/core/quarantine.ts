/**
 * Quarantine of workers on which every task fails. Consecutive failures of more than one job quarantine a worker. It is
 * then probed with one attempt at a time, at growing intervals, until one succeeds. If no task arrives to probe it with
 * within another interval, it leaves quarantine, and one more failure returns it there. Otherwise a gang that needs the
 * worker would wait for ever.
 */

import type { Clock } from "../types/ports.js";

/** `trusted` accepts any attempt, `quarantined` none, and `probing` one at a time. */
export type QuarantineState = "trusted" | "quarantined" | "probing";

/** Quarantine state of the workers of one rack owner. */
export interface Quarantine {
    /** Ends the quarantine and resets the count of failures. */
    recordSuccess(workerId: string): void;
    /** Counts a failure; quarantines the worker, for twice as long each time, once the limits are reached. */
    recordFailure(workerId: string, jobId: string): void;
    /** State of the worker now: `probing` once the delay since the last failure has passed, `trusted` after twice that. */
    stateOf(workerId: string): QuarantineState;
    /** Drops what is recorded about a worker that is no longer owned. */
    forget(workerId: string): void;
}

/** Dependencies and settings of `createQuarantine`. */
export interface QuarantineOptions {
    readonly clock: Clock;
    /** Consecutive failures after which a worker is quarantined. */
    readonly failures: number;
    /** Number of different jobs that have to fail, so that one faulty job quarantines no worker. */
    readonly jobs: number;
    /** Delay before the first probe. */
    readonly firstProbeMs: number;
    /** Longest delay before a probe. */
    readonly maxProbeMs: number;
}

interface FailureRecord {
    failures: number;
    readonly jobs: Set<string>;
    probeAtMs: number;
    probeDelayMs: number;
}

/**
 * Creates the quarantine of one rack owner.
 *
 * @example
 * quarantine.recordFailure("w1", "load-in-7");
 * quarantine.stateOf("w1"); // "trusted", because one failure is below the limit
 */
export const createQuarantine = (options: QuarantineOptions): Quarantine => {
    const { clock } = options;
    const records = new Map<string, FailureRecord>();

    const isQuarantined = (record: FailureRecord): boolean =>
        record.failures >= options.failures && record.jobs.size >= options.jobs;

    const newRecord = (): FailureRecord => ({
        failures: 0,
        jobs: new Set(),
        probeAtMs: 0,
        probeDelayMs: options.firstProbeMs / 2,
    });

    return {
        recordSuccess: workerId => {
            records.delete(workerId);
        },
        recordFailure: (workerId, jobId) => {
            const record = records.get(workerId) ?? newRecord();
            records.set(workerId, record);
            record.failures += 1;
            record.jobs.add(jobId);
            if (isQuarantined(record)) {
                record.probeDelayMs = Math.min(options.maxProbeMs, record.probeDelayMs * 2);
                record.probeAtMs = clock.monotonicMs() + record.probeDelayMs;
            }
        },
        stateOf: workerId => {
            const record = records.get(workerId);
            if (record === undefined || !isQuarantined(record)) {
                return "trusted";
            }
            const sinceProbeMs = clock.monotonicMs() - record.probeAtMs;
            if (sinceProbeMs >= record.probeDelayMs) {
                record.failures = options.failures - 1;
                return "trusted";
            }
            return sinceProbeMs >= 0 ? "probing" : "quarantined";
        },
        forget: workerId => {
            records.delete(workerId);
        },
    };
};
