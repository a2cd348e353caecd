/**
 * Applies one report of a worker to its owner's attempts: finds those that run, those that have ended, and those that never
 * started.
 */

import type { AttemptOutcome } from "../types/job.js";
import type { WorkerReport } from "../types/ports.js";
import { noResources } from "../types/resources.js";
import { adoptedSpec, type Attempt, type Attempts, type OwnedWorker } from "./attempts.js";
import type { Ledger } from "./ledger.js";

/** State and handlers that a report is applied to. */
export interface WorkerReportOptions {
    readonly ledger: Ledger;
    readonly attempts: Attempts;
    /** Called for an attempt whose start was not confirmed before and that the worker runs. */
    readonly onRunning: (attempt: Attempt) => void;
    /** Called for an attempt that has ended, is missing or never started. */
    readonly onEnded: (attempt: Attempt, outcome: AttemptOutcome, result: string, checkpoint: string) => void;
}

/** Updates the usage of running attempts, and records those that this owner did not know, such as an earlier owner's. */
const adoptRunning = ({ ledger, attempts }: WorkerReportOptions, worker: OwnedWorker): void => {
    for (const running of worker.reportedAttempts.values()) {
        const known = attempts.find(running.attemptId);
        if (known !== undefined) {
            known.used = running.used;
            continue;
        }
        ledger.adopt(worker.vm.vmId, running.attemptId, running.size);
        attempts.track(worker, adoptedSpec(running), running.homeId, "running").used = running.used;
    }
};

const processEnded = ({ attempts, onEnded }: WorkerReportOptions, worker: OwnedWorker, report: WorkerReport): void => {
    for (const { attemptId, taskId, homeId, outcome, result, checkpoint } of report.ended) {
        if (worker.acknowledge.has(attemptId)) {
            continue;
        }
        const attempt = attempts.find(attemptId)
            ?? attempts.track(worker, adoptedSpec({ attemptId, taskId, size: noResources }), homeId, "running");
        onEnded(attempt, outcome, result, checkpoint);
    }
};

/**
 * Confirms starts that the report shows. Ends attempts that it lacks: running ones that were confirmed before the poll was
 * sent, and starting ones whose order is no longer valid on the worker's clock.
 */
const endMissing = (
    options: WorkerReportOptions,
    worker: OwnedWorker,
    report: WorkerReport,
    sentAtMs: number,
): void => {
    for (const attempt of [...worker.attempts]) {
        if (worker.reportedAttempts.has(attempt.attemptId)) {
            if (attempt.state === "starting") {
                options.onRunning(attempt);
            }
            continue;
        }
        if (attempt.state === "running" && attempt.confirmedAtMs < sentAtMs) {
            options.onEnded(attempt, "absent", "", "");
        }
        if (attempt.state === "starting" && report.nowMs > attempt.startBeforeMs) {
            options.onEnded(attempt, "notStarted", "", "");
        }
    }
};

/** Applies the report's changes to the last known set of running attempts. */
const applyChanges = (worker: OwnedWorker, { complete, running, gone, bootId, version }: WorkerReport): void => {
    if (complete) {
        worker.reportedAttempts.clear();
    }
    for (const attempt of running) {
        worker.reportedAttempts.set(attempt.attemptId, attempt);
    }
    for (const attemptId of gone) {
        worker.reportedAttempts.delete(attemptId);
    }
    worker.seen = { bootId, version };
};

/**
 * Applies a report to the owner's state. `sentAtMs` is when the poll was sent on the monotonic clock; an attempt confirmed
 * after that may be absent from the report without having ended.
 *
 * @example
 * applyReport(options, worker, report, sentAtMs);
 */
export const applyReport = (
    options: WorkerReportOptions,
    worker: OwnedWorker,
    report: WorkerReport,
    sentAtMs: number,
): void => {
    applyChanges(worker, report);
    processEnded(options, worker, report);
    adoptRunning(options, worker);
    endMissing(options, worker, report, sentAtMs);
};
