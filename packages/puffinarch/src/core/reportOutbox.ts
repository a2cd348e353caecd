/** Delivery of reports on ended attempts to the homes of their tasks; a report is sent again until its home has made it durable. */

import type { AttemptReport } from "../types/job.js";
import type { Log } from "../types/ports.js";
import { failureOf } from "../utils/errors.js";
import type { Attempt } from "./attempts.js";

/** Reports that their home has not settled yet. */
export interface ReportOutbox {
    add(attempt: Attempt): void;
    /** Gives up the delivery of an attempt's report. */
    drop(attempt: Attempt): void;
    /** Sends pending reports in one call per home; a home whose previous call is still in flight is left out. */
    flush(): Promise<void>;
}

/** Options of `createReportOutbox`. */
export interface ReportOutboxOptions {
    readonly log: Log;
    /** Sends reports to the home's present holder; returns the ids of the attempts that are settled there. */
    readonly report: (homeId: string, reports: readonly AttemptReport[]) => Promise<readonly string[]>;
    readonly onSettled: (attempt: Attempt) => void;
}

const reportsPerCall = 512;

/**
 * Creates an empty outbox.
 *
 * @example
 * outbox.add(attempt);
 * await outbox.flush();
 */
export const createReportOutbox = ({ log, report, onSettled }: ReportOutboxOptions): ReportOutbox => {
    const pending = new Set<Attempt>();
    const homesInFlight = new Set<string>();

    const send = async (homeId: string, batch: readonly Attempt[]): Promise<void> => {
        homesInFlight.add(homeId);
        try {
            const reports = batch.flatMap(attempt => attempt.report === undefined ? [] : [attempt.report]);
            const settled = new Set(await report(homeId, reports));
            for (const attempt of batch) {
                if (settled.has(attempt.attemptId) && pending.delete(attempt)) {
                    onSettled(attempt);
                }
            }
        }
        catch (error) {
            log.write("debug", "reportWaits", { homeId, reports: batch.length, ...failureOf(error) });
        }
        finally {
            homesInFlight.delete(homeId);
        }
    };

    const batchesByHome = (): ReadonlyMap<string, readonly Attempt[]> => {
        const batches = new Map<string, Attempt[]>();
        for (const attempt of pending) {
            const batch = batches.get(attempt.homeId) ?? [];
            if (batch.length < reportsPerCall && !homesInFlight.has(attempt.homeId)) {
                batch.push(attempt);
                batches.set(attempt.homeId, batch);
            }
        }
        return batches;
    };

    const flush = async (): Promise<void> => {
        // Lets all reports of the current tick share a call.
        await Promise.resolve();
        await Promise.all([...batchesByHome()].map(([homeId, batch]) => send(homeId, batch)));
    };

    return {
        add: attempt => {
            pending.add(attempt);
            void flush();
        },
        drop: attempt => {
            pending.delete(attempt);
        },
        flush,
    };
};
