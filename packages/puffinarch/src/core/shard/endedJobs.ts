/**
 * Jobs of a shard of which only the outcome is kept: those that ended under former owners, and cancels that arrived before their jobs. A
 * submission may be delayed on its way, so that its cancel overtakes it; the job must not start then.
 */

import type { Clock } from "../../types/ports.js";
import { type JobReference, jobStates, type JobSubmission } from "../../types/work.js";
import { createBucket } from "../../utils/bucket.js";
import { die } from "../../utils/errors.js";
import type { RowChange } from "./commitLog.js";
import type { EndedJob } from "./jobRows.js";
import { endedTable } from "./shardTables.js";

/** Dependencies of the ended jobs. */
export interface EndedJobsOptions {
    readonly clock: Clock;
    /** An entry is forgotten after this time. */
    readonly retentionMs: number;
    /** Resolves once the entry with this job ID is durable. */
    readonly write: (jobId: string) => Promise<void>;
}

/** The outcome of a job, and when it is durable. */
export interface Outcome {
    readonly job: EndedJob;
    readonly written: Promise<void>;
}

/** The ended jobs of one owner. */
export interface EndedJobs {
    /** Adds an entry that a former owner stored. */
    restore(jobId: string, job: EndedJob): void;
    /** Returns the outcome of a submitted job; undefined where none is kept, also for a cancel whose job has not been submitted. */
    find(jobId: string): Outcome | undefined;
    /** Returns the outcome of a job that is submitted after its cancel; undefined where it was not cancelled. */
    applyCancel(submission: JobSubmission): Outcome | undefined;
    /** Records the cancel of a job that is not known; resolves once it is durable. Fails with `overloaded` above a limited rate. */
    recordCancel(reference: JobReference): Promise<void>;
    /** Encodes the entry with this job ID as a row, or the removal of the row where there is none. */
    encode(jobId: string): RowChange;
    /** Removes the entries whose retention is over. */
    forgetExpired(): void;
}

interface Entry extends Outcome {
    readonly expiresAtMs: number;
}

/**
 * Most recorded cancels per second. Callers choose the IDs, so that without a limit they could fill the store and this process; with the
 * usual retention it keeps 9,000 cancels.
 */
const maxCancelsPerS = 50;

/**
 * Creates the ended jobs of an owner.
 *
 * @example
 * const endedJobs = createEndedJobs({ clock, retentionMs: 180_000, write: commits.commit });
 * await endedJobs.recordCancel({ jobId: "5c0e7a21d94b36f8", queueKey });
 * endedJobs.applyCancel(submission)?.job.state; // "cancelled" for the submission of that ID
 */
export const createEndedJobs = ({ clock, retentionMs, write }: EndedJobsOptions): EndedJobs => {
    const entries = new Map<string, Entry>();
    const cancelRate = createBucket(clock, () => maxCancelsPerS);

    const keep = (jobId: string, job: EndedJob, written: Promise<void>): Outcome => {
        const entry = { job, written, expiresAtMs: clock.monotonicMs() + retentionMs };
        entries.set(jobId, entry);
        return entry;
    };

    const cancelledFor = (jobId: string): readonly string[] => entries.get(jobId)?.job.cancelledFor ?? [];

    return {
        restore: (jobId, job) => {
            keep(jobId, job, Promise.resolve());
        },
        find: jobId => {
            const entry = entries.get(jobId);
            return entry?.job.cancelledFor === undefined ? entry : undefined;
        },
        applyCancel: ({ jobId, organisation = "" }) => {
            const organisations = cancelledFor(jobId);
            // Callers of one organisation cannot cancel a job of another one; a job without an organisation belongs to all callers.
            const applies = organisation === "" ? organisations.length > 0 : organisations.includes(organisation);
            return applies
                ? keep(jobId, { state: jobStates.cancelled, organisation }, write(jobId))
                : undefined;
        },
        recordCancel: async ({ jobId, organisation = "" }) => {
            const organisations = cancelledFor(jobId);
            if (!organisations.includes(organisation) && !cancelRate.take()) {
                die("overloaded", "too many cancels of unknown jobs", { retryAfterMs: cancelRate.waitMs() });
            }
            const all = [...new Set([...organisations, organisation])];
            const job = { state: jobStates.cancelled, organisation: "", cancelledFor: all };
            await keep(jobId, job, write(jobId)).written;
        },
        encode: jobId => {
            const row = { table: endedTable, key: jobId };
            const entry = entries.get(jobId);
            return entry === undefined
                ? { puts: [], removes: [row] }
                : { puts: [{ ...row, value: JSON.stringify(entry.job) }], removes: [] };
        },
        forgetExpired: () => {
            for (const [jobId, { expiresAtMs }] of entries) {
                if (clock.monotonicMs() > expiresAtMs) {
                    entries.delete(jobId);
                    void write(jobId);
                }
            }
        },
    };
};
