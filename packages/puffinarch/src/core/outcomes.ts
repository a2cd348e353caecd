/** Decides what the end of an attempt does to its task: it gets a final state or another attempt. */

import { type WorkloadClass } from "../types/configuration.js";
import { type AttemptOutcome, type AttemptReport, workloadKinds } from "../types/job.js";
import type { AttemptAbandonedRecord, JournalRecord, TaskEndedRecord } from "../types/records.js";
import { isCancelled, type TaskEntry } from "./homeState.js";

/** Inputs of the decision besides the task and the report. */
export interface OutcomeContext {
    readonly nowMs: number;
    readonly workloadClass: WorkloadClass;
    /** The result itself, or its key in the object store. */
    readonly result: Pick<TaskEndedRecord, "result" | "resultKey">;
}

type OutcomeHandler = (task: TaskEntry, report: AttemptReport, context: OutcomeContext) => JournalRecord;
type TaskEndFields = Pick<TaskEndedRecord, "state" | "detail" | "started"> & Partial<TaskEndedRecord>;

const maxBatchAttempts = 3;

const endTask = (task: TaskEntry, { nowMs }: OutcomeContext, fields: TaskEndFields): JournalRecord => ({
    kind: "taskEnded",
    taskId: task.taskId,
    startedAtMs: task.startedAtMs,
    endedAtMs: nowMs,
    ...fields,
});

const abandonAttempt = (
    task: TaskEntry,
    started: boolean,
    reason: string,
    checkpoint = "",
): AttemptAbandonedRecord => ({
    kind: "attemptAbandoned",
    taskId: task.taskId,
    attemptId: task.attemptId ?? "",
    started,
    reason,
    ...checkpoint === "" ? {} : { checkpoint },
});

const mayRetry = (task: TaskEntry, { kind }: WorkloadClass): boolean => {
    if (task.job.spec.atMostOnce || isCancelled(task)) {
        return false;
    }
    return kind === workloadKinds.service || task.attempts < maxBatchAttempts;
};

/** Record for an attempt that may have started, certainly does not run any more and gave no result. */
const recordLoss = (task: TaskEntry, context: OutcomeContext, reason: string): JournalRecord => {
    if (isCancelled(task)) {
        return endTask(task, context, { state: "cancelled", detail: reason, started: true });
    }
    return task.job.spec.atMostOnce
        ? endTask(task, context, { state: "mayHaveRun", detail: reason, started: true })
        : abandonAttempt(task, true, reason);
};

const handlers: Readonly<Record<AttemptOutcome, OutcomeHandler>> = {
    completed: (task, _report, context) =>
        endTask(task, context, { state: "completed", detail: "", started: true, ...context.result }),
    failed: (task, { result }, context) =>
        mayRetry(task, context.workloadClass)
            ? abandonAttempt(task, true, `failed on ${task.workerId}: ${result}`)
            : endTask(task, context, { state: "failed", detail: result, started: true }),
    stopped: (task, { checkpoint }, context) => {
        if (isCancelled(task)) {
            return endTask(task, context, { state: "cancelled", detail: "stopped", started: true });
        }
        const reason = `stopped on ${task.workerId}`;
        return checkpoint === "" ? recordLoss(task, context, reason) : abandonAttempt(task, true, reason, checkpoint);
    },
    lapsed: (task, _report, context) => recordLoss(task, context, `the lease expired on ${task.workerId}`),
    absent: (task, _report, context) => recordLoss(task, context, `the attempt was lost on ${task.workerId}`),
    notStarted: (task, _report, context) =>
        isCancelled(task)
            ? endTask(task, context, { state: "cancelled", detail: "cancelled before it started", started: false })
            : abandonAttempt(task, false, `did not start on ${task.workerId}`),
};

/**
 * Returns the journal record for an ended attempt.
 *
 * @example
 * const record = recordForOutcome(task, report, { nowMs, workloadClass, result: {} });
 */
export const recordForOutcome: OutcomeHandler = (task, report, context) =>
    handlers[report.outcome](task, report, context);
