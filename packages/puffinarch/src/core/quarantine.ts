/**
 * Workers that fail every task they start. A worker is closed after failures in a row from more than one job, and
 * opened for one attempt at a time, at growing intervals, until one succeeds. Where nothing came to try it with, it is
 * opened whole, and one more failure closes it: a gang that needs the worker would wait for ever otherwise.
 */

import type { Clock } from "../types/ports.js";

/** Whether a worker is trusted, shut out, or being tried. */
export type Trust = "trusted" | "quarantined" | "probing";

/** Trust in the workers of one rack owner. */
export interface Quarantine {
    noteSuccess(workerId: string): void;
    noteFailure(workerId: string, jobId: string): void;
    /** `probing` once the time for the next try has come. */
    trust(workerId: string): Trust;
    forget(workerId: string): void;
}

/** What quarantine needs. */
export interface QuarantineOptions {
    readonly clock: Clock;
    /** Failures in a row until a worker is closed. */
    readonly failures: number;
    /** Jobs that the failures must come from, so that one bad job closes no worker. */
    readonly jobs: number;
    readonly firstProbeMs: number;
    readonly maxProbeMs: number;
}

interface TrustRecord {
    failures: number;
    readonly jobs: Set<string>;
    probeAtMs: number;
    probeDelayMs: number;
}

/**
 * Makes the quarantine of one rack owner.
 *
 * @example
 * quarantine.noteFailure("w1", "load-in-7");
 * quarantine.trust("w1"); // "trusted": one failure is not enough
 */
export const createQuarantine = (options: QuarantineOptions): Quarantine => {
    const { clock } = options;
    const records = new Map<string, TrustRecord>();

    const isClosed = (record: TrustRecord): boolean =>
        record.failures >= options.failures && record.jobs.size >= options.jobs;

    const fresh = (): TrustRecord => ({
        failures: 0,
        jobs: new Set(),
        probeAtMs: 0,
        probeDelayMs: options.firstProbeMs / 2,
    });

    return {
        noteSuccess: workerId => {
            records.delete(workerId);
        },
        noteFailure: (workerId, jobId) => {
            const record = records.get(workerId) ?? fresh();
            records.set(workerId, record);
            record.failures += 1;
            record.jobs.add(jobId);
            if (isClosed(record)) {
                record.probeDelayMs = Math.min(options.maxProbeMs, record.probeDelayMs * 2);
                record.probeAtMs = clock.monotonicMs() + record.probeDelayMs;
            }
        },
        trust: workerId => {
            const record = records.get(workerId);
            if (record === undefined || !isClosed(record)) {
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
