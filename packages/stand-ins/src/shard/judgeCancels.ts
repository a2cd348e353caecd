/**
 * Judges what happens to jobs whose callers cancel or read them. It uses what the callers were told and the records of the fake
 * workers, not the owner's view of its jobs. The bounds are the terms that users set.
 */

import { errorResponses, formatTaskName, type JobState, jobStates, parseTaskName, runEnds } from "puffinarch";
import type { CallerRecord } from "./cancellingCallers.js";
import { lateOrderDelayMs, type StartEvidence, stopDurationMs } from "./fencedWorkers.js";
import type { ShardCell } from "./shardCell.js";
import { faultFreeBeforeMs } from "./stalledTasks.js";

/** Result of watching the cancelled jobs of a cell. */
export interface CancelWatch {
    /** Jobs whose cancel was sent. */
    cancelledJobs(): readonly string[];
    isCancelled(jobId: string): boolean;
    /** Whether a cancelled job may be shown in a state once no fault lasts; undefined for the answer that there is no such job. */
    mayShow(jobId: string, state: string | undefined): boolean;
    /** What the caller of a cancelled job was told; empty for other jobs. */
    describe(jobId: string): string;
    /**
     * Restarts the daemons that do not run, and advances time until the cell has been free of faults for long enough that
     * everything overdue has been found.
     */
    awaitCalm(): Promise<void>;
    /** One line for each broken promise so far. */
    problems(): readonly string[];
}

/** How long after the answer to a cancel a task of the job may still be started. */
const cancelMs = 3_000;
/** How long a cancel may wait for its answer while there is no fault. */
const answerLimitMs = 4_000;
const pollIntervalMs = 250;
const longestCalmWaitMs = 60_000;
/** Answers with these statuses promise that a submission never runs. */
const rejectingStatuses: ReadonlySet<number> = new Set([429, 503]);

const jobOf = (taskName: string): string => parseTaskName(taskName)?.jobId ?? "";

/** When a job was complete by the records of the workers; Infinity where a task or gang has not ended as done. */
const completedAtMs = ({ jobId, steps }: CallerRecord, evidence: readonly StartEvidence[]): number => {
    const doneAtMs = (taskName: string): number =>
        Math.min(
            ...evidence.filter(run => run.taskName === taskName && run.how === runEnds.done)
                .map(({ endedAtMs = Infinity }) => endedAtMs),
        );
    const endsOfSteps = steps.map(({ count, gang }, step) => {
        const ends = Array.from(
            { length: count },
            (_, index) => doneAtMs(formatTaskName({ jobId, occurrence: 0, step, index })),
        );
        return gang ? Math.min(...ends) : Math.max(...ends);
    });
    return Math.max(...endsOfSteps);
};

const describeAnswer = ({ atMs, memberId, known }: NonNullable<CallerRecord["cancelAnswer"]>): string =>
    `"${known ? "cancelled" : "no such job"}" by ${memberId} at ${Math.round(atMs)}`;

/** Starts that were ordered although the answer to the cancel, or to the only submission, ruled them out. */
const findWrongStarts = (record: CallerRecord, evidence: readonly StartEvidence[]): readonly string[] => {
    const { jobId, submitError, cancelAnswer } = record;
    const runs = evidence.filter(({ taskName }) => jobOf(taskName) === jobId);
    const isRejected = submitError !== undefined && rejectingStatuses.has(errorResponses[submitError].httpStatus);
    return [
        ...isRejected && runs.length > 0 ? [`${jobId} ran although its only submission was rejected`] : [],
        ...cancelAnswer === undefined
            ? []
            : runs.filter(run => run.orderedAtMs > cancelAnswer.atMs + cancelMs).map(run =>
                `${run.taskName} was started at ${Math.round(run.startedAtMs)} after its cancel was answered ${
                    describeAnswer(cancelAnswer)
                }`
            ),
    ];
};

/** Answers that contradict what the caller had been told before or what the workers have run. */
const findWrongAnswers = (
    record: CallerRecord,
    evidence: readonly StartEvidence[],
    mayFail: (jobId: string) => boolean,
): readonly string[] => {
    const { jobId, acceptedAtMs = Infinity, cancelSentAtMs = Infinity, cancelAnswer, reads } = record;
    const completeAtMs = completedAtMs(record, evidence);
    const isWrong: Readonly<Record<JobState | "unknown", (atMs: number) => boolean>> = {
        unknown: () => true,
        queued: () => false,
        running: () => false,
        completed: atMs => completeAtMs > atMs,
        failed: () => !mayFail(jobId),
        cancelled: () => true,
    };
    return [
        ...cancelAnswer?.known === false && acceptedAtMs < cancelSentAtMs
            ? [
                `${jobId} was accepted at ${Math.round(acceptedAtMs)}, but its cancel was answered ${
                    describeAnswer(cancelAnswer)
                }`,
            ]
            : [],
        ...reads.filter(({ atMs, state }) => isWrong[state ?? "unknown"](atMs)).map(({ atMs, memberId, state }) =>
            `${jobId} was accepted at ${Math.round(acceptedAtMs)}, but shown as ${
                state ?? "unknown"
            } by ${memberId} at ${Math.round(atMs)}`
        ),
    ];
};

/**
 * Watches the jobs of callers from now on. Reports tasks that start or run on after a cancel was answered, cancels that are not
 * answered, and answers that contradict earlier answers or what the workers have run. `mayFail` returns whether a job has a
 * cause to fail.
 *
 * @example
 * const cancels = watchCancels(cell, { records: callers.records, mayFail: () => false });
 * await cell.clock.advance(20_000);
 * assert.deepEqual(cancels.problems(), []);
 */
export const watchCancels = (
    cell: ShardCell,
    { records, mayFail }: {
        readonly records: readonly CallerRecord[];
        readonly mayFail: (jobId: string) => boolean;
    },
): CancelWatch => {
    const { clock, workers: { evidence } } = cell;
    /** Overdue cancels and tasks, each with its report. */
    const overdue = new Map<string, string>();

    const recordOf = (jobId: string): CallerRecord | undefined => records.find(record => record.jobId === jobId);

    const report = (key: string, text: string): void => {
        if (!overdue.has(key)) {
            overdue.set(key, `${text} at ${Math.round(clock.monotonicMs())}`);
        }
    };

    const findUnanswered = (calmSinceMs: number): void => {
        for (const { jobId, cancelSentAtMs, cancelAnswer } of records) {
            const isOverdue = cancelSentAtMs !== undefined && cancelAnswer === undefined
                && clock.monotonicMs() - Math.max(cancelSentAtMs, calmSinceMs) > answerLimitMs;
            if (isOverdue) {
                report(jobId, `the cancel of ${jobId}, sent at ${Math.round(cancelSentAtMs)}, was not answered`);
            }
        }
    };

    const findRunningOn = (calmSinceMs: number): void => {
        for (const { taskName, run, orderedAtMs, startedAtMs, endedAtMs } of evidence) {
            const cancelAnswer = endedAtMs === undefined ? recordOf(jobOf(taskName))?.cancelAnswer : undefined;
            if (cancelAnswer === undefined) {
                continue;
            }
            const isLate = startedAtMs - orderedAtMs >= lateOrderDelayMs;
            const sinceMs = Math.max(cancelAnswer.atMs, calmSinceMs, isLate ? startedAtMs : 0);
            if (clock.monotonicMs() - sinceMs > cancelMs + stopDurationMs) {
                report(
                    `${taskName}#${run}`,
                    `${taskName}, started at ${Math.round(startedAtMs)}, ran on after its cancel was answered ${
                        describeAnswer(cancelAnswer)
                    },`,
                );
            }
        }
    };

    const poll = (): void => {
        clock.setTimer(pollIntervalMs, poll);
        const faultFreeSinceMs = cell.faultFreeSinceMs();
        const calmSinceMs = faultFreeSinceMs === undefined ? Infinity : faultFreeSinceMs + faultFreeBeforeMs;
        findUnanswered(calmSinceMs);
        findRunningOn(calmSinceMs);
    };
    clock.setTimer(pollIntervalMs, poll);

    const isCalm = (): boolean => {
        const faultFreeMs = clock.monotonicMs() - (cell.faultFreeSinceMs() ?? Infinity);
        const areAnswered = records.every(({ cancelSentAtMs, cancelAnswer }) =>
            cancelSentAtMs === undefined || cancelAnswer !== undefined
        );
        return areAnswered
            && faultFreeMs > faultFreeBeforeMs + answerLimitMs + cancelMs + stopDurationMs + pollIntervalMs;
    };

    return {
        cancelledJobs: () =>
            records.filter(({ cancelSentAtMs }) => cancelSentAtMs !== undefined).map(({ jobId }) => jobId),
        isCancelled: jobId => recordOf(jobId)?.cancelSentAtMs !== undefined,
        mayShow: (jobId, state) => {
            const record = recordOf(jobId);
            const { acceptedAtMs, cancelAnswer } = record ?? {};
            if (record === undefined || cancelAnswer === undefined) {
                return false;
            }
            const isAllowed: Readonly<Record<string, () => boolean>> = {
                [jobStates.cancelled]: () => true,
                [jobStates.completed]: () => completedAtMs(record, evidence) <= cancelAnswer.atMs,
                [jobStates.failed]: () => mayFail(jobId),
            };
            return state === undefined
                ? acceptedAtMs === undefined || !cancelAnswer.known
                : isAllowed[state]?.() ?? false;
        },
        describe: jobId => {
            const { cancelSentAtMs, cancelAnswer } = recordOf(jobId) ?? {};
            return cancelSentAtMs === undefined
                ? ""
                : `, its cancel was sent at ${Math.round(cancelSentAtMs)} and ${
                    cancelAnswer === undefined ? "not answered" : `answered ${describeAnswer(cancelAnswer)}`
                }`;
        },
        awaitCalm: async () => {
            // A daemon that was shutting down when its fault ended stops later.
            const restartAll = (): void => {
                for (const memberId of cell.memberIds().filter(each => !cell.isRunning(each))) {
                    cell.restart(memberId);
                }
            };
            const holds = (): boolean => {
                restartAll();
                return isCalm();
            };
            if (!await cell.until(holds, longestCalmWaitMs)) {
                overdue.set("calm", "a fault lasts at the end, or a cancel is not answered");
            }
        },
        problems: () => [
            ...overdue.values(),
            ...records.flatMap(record => [
                ...findWrongStarts(record, evidence),
                ...findWrongAnswers(record, evidence, mayFail),
            ]),
        ],
    };
};
