/** Ended attempts on their way to the homes of their tasks: kept and sent again until the home has made them durable. */

import type { AttemptReport } from "../types/job.js";
import type { Log } from "../types/ports.js";
import { failureOf } from "../utils/errors.js";
import type { Attempt } from "./attempts.js";

/** Reports that wait to be settled. */
export interface ReportOutbox {
    add(attempt: Attempt): void;
    drop(attempt: Attempt): void;
    /** Sends everything that waits, one call a home. */
    flush(): Promise<void>;
}

/** What an outbox needs. */
export interface ReportOutboxOptions {
    readonly log: Log;
    /** Sends reports to the home's present holder; answers the attempts settled there. */
    readonly report: (homeId: string, reports: readonly AttemptReport[]) => Promise<readonly string[]>;
    readonly onSettled: (attempt: Attempt) => void;
}

const reportsPerCall = 512;

/**
 * Makes an empty outbox.
 *
 * @example
 * outbox.add(attempt);
 * await outbox.flush();
 */
export const createReportOutbox = ({ log, report, onSettled }: ReportOutboxOptions): ReportOutbox => {
    const waiting = new Set<Attempt>();
    const busy = new Set<string>();

    const send = async (homeId: string, batch: readonly Attempt[]): Promise<void> => {
        busy.add(homeId);
        try {
            const reports = batch.flatMap(attempt => attempt.report === undefined ? [] : [attempt.report]);
            const settled = new Set(await report(homeId, reports));
            for (const attempt of batch) {
                if (settled.has(attempt.attemptId) && waiting.delete(attempt)) {
                    onSettled(attempt);
                }
            }
        }
        catch (error) {
            log.write("debug", "reportWaits", { homeId, reports: batch.length, ...failureOf(error) });
        }
        finally {
            busy.delete(homeId);
        }
    };

    const byHome = (): ReadonlyMap<string, readonly Attempt[]> => {
        const batches = new Map<string, Attempt[]>();
        for (const attempt of waiting) {
            const batch = batches.get(attempt.homeId) ?? [];
            if (batch.length < reportsPerCall && !busy.has(attempt.homeId)) {
                batch.push(attempt);
                batches.set(attempt.homeId, batch);
            }
        }
        return batches;
    };

    const flush = async (): Promise<void> => {
        await Promise.resolve();
        await Promise.all([...byHome()].map(([homeId, batch]) => send(homeId, batch)));
    };

    return {
        add: attempt => {
            waiting.add(attempt);
            void flush();
        },
        drop: attempt => {
            waiting.delete(attempt);
        },
        flush,
    };
};
