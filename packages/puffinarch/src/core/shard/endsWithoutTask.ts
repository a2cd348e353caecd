/**
 * Reports ends that this owner acknowledges although it does not find their tasks. That is right for jobs that have ended; for any other
 * job the worker forgets the end, and an owner that finds the task would start it again.
 */

import type { EndedRun } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import { parseTaskName } from "../../types/work.js";
import { createBucket } from "../../utils/bucket.js";
import { incarnationOf } from "./incarnations.js";
import type { ShardJob } from "./jobModel.js";
import type { ShardWorker } from "./workerTable.js";

/** Dependencies of the report. */
export interface EndsWithoutTaskOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly jobOf: (jobId: string) => ShardJob | undefined;
}

/** Ends whose tasks were not found, until they are acknowledged. */
export interface EndsWithoutTask {
    /** Records an end whose task is not found. */
    record(worker: ShardWorker, end: EndedRun): void;
    /** Reports the recorded ends of a worker up to its acknowledged end, which has just been raised. */
    reportAcknowledged(worker: ShardWorker): void;
}

interface RecordedEnd extends EndedRun {
    readonly isJobKnown: boolean;
}

/** Most log lines a second; after a takeover many workers may list ends of jobs that have ended. The counters have all ends. */
const maxLinesPerS = 20;

/**
 * Creates the report of one owner.
 *
 * @example
 * const ends = createEndsWithoutTask({ clock, log, meter, jobOf: jobId => jobs.get(jobId) });
 * ends.record(worker, end);
 * worker.acknowledgedEnd = end.endNumber;
 * ends.reportAcknowledged(worker);
 */
export const createEndsWithoutTask = ({ clock, log, meter, jobOf }: EndsWithoutTaskOptions): EndsWithoutTask => {
    const recorded = new WeakMap<ShardWorker, readonly RecordedEnd[]>();
    const lines = createBucket(clock, () => maxLinesPerS);

    const isJobKnown = (taskName: string): boolean => jobOf(parseTaskName(taskName)?.jobId ?? "") !== undefined;

    return {
        record: (worker, end) => {
            const known = isJobKnown(end.taskName);
            meter.count(`endsWithoutTask.${known ? "jobKnown" : "jobUnknown"}`);
            recorded.set(worker, [...recorded.get(worker) ?? [], { ...end, isJobKnown: known }]);
        },
        reportAcknowledged: worker => {
            const all = recorded.get(worker) ?? [];
            const ends = all.filter(({ endNumber }) => endNumber <= worker.acknowledgedEnd);
            const [first] = ends;
            if (first === undefined) {
                return;
            }
            recorded.set(worker, all.filter(end => !ends.includes(end)));
            if (lines.take()) {
                log.write("info", "endsWithoutTask", {
                    ...incarnationOf(worker),
                    acknowledgedEnd: worker.acknowledgedEnd,
                    ends: ends.length,
                    done: ends.filter(({ how }) => how === "done").length,
                    jobKnown: ends.filter(end => end.isJobKnown).length,
                    first: `${first.taskName}#${first.run} ${first.how}`,
                });
            }
        },
    };
};
