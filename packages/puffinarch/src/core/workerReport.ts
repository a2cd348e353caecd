/** What a rack owner concludes from one report of a worker: which attempts run, which ended, and which never started. */

import type { AttemptOutcome } from "../types/job.js";
import type { WorkerReport } from "../types/ports.js";
import { noResources } from "../types/resources.js";
import { type Attempt, type Attempts, foundParts, type OwnedWorker } from "./attempts.js";
import type { Ledger } from "./ledger.js";

/** What reading a report changes. */
export interface WorkerReportOptions {
    readonly ledger: Ledger;
    readonly attempts: Attempts;
    readonly onRunning: (attempt: Attempt) => void;
    readonly onEnded: (attempt: Attempt, outcome: AttemptOutcome, result: string, checkpoint: string) => void;
}

const adoptRunning = ({ ledger, attempts }: WorkerReportOptions, worker: OwnedWorker): void => {
    for (const running of worker.shown.values()) {
        const known = attempts.find(running.attemptId);
        if (known !== undefined) {
            known.used = running.used;
            continue;
        }
        ledger.adopt(worker.vm.vmId, running.attemptId, running.size);
        attempts.track(worker, foundParts(running), running.homeId, "running").used = running.used;
    }
};

const takeEnded = ({ attempts, onEnded }: WorkerReportOptions, worker: OwnedWorker, report: WorkerReport): void => {
    for (const { attemptId, taskId, homeId, outcome, result, checkpoint } of report.ended) {
        if (worker.acknowledge.has(attemptId)) {
            continue;
        }
        const attempt = attempts.find(attemptId)
            ?? attempts.track(worker, foundParts({ attemptId, taskId, size: noResources }), homeId, "running");
        onEnded(attempt, outcome, result, checkpoint);
    }
};

/** Attempts that the worker should show and does not. */
const endMissing = (
    options: WorkerReportOptions,
    worker: OwnedWorker,
    report: WorkerReport,
    sentAtMs: number,
): void => {
    for (const attempt of [...worker.attempts]) {
        if (worker.shown.has(attempt.attemptId)) {
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

/** Brings what a worker is known to run up to date with what its report says has changed. */
const applyChanges = (worker: OwnedWorker, { complete, running, gone, bootId, version }: WorkerReport): void => {
    if (complete) {
        worker.shown.clear();
    }
    for (const attempt of running) {
        worker.shown.set(attempt.attemptId, attempt);
    }
    for (const attemptId of gone) {
        worker.shown.delete(attemptId);
    }
    worker.seen = { bootId, version };
};

/**
 * Reads a report; `sentAtMs` is when the poll was sent, so that an attempt confirmed later is not missed in it.
 *
 * @example
 * readReport(options, worker, report, sentAtMs);
 */
export const readReport = (
    options: WorkerReportOptions,
    worker: OwnedWorker,
    report: WorkerReport,
    sentAtMs: number,
): void => {
    applyChanges(worker, report);
    takeEnded(options, worker, report);
    adoptRunning(options, worker);
    endMissing(options, worker, report, sentAtMs);
};
