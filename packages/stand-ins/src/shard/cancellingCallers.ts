/** Callers that cancel or read the jobs they have submitted, through random daemons of a cell, with a record of what they were told. */

import {
    type CellMember,
    createSeededRandom,
    die,
    type ErrorKind,
    type JobReference,
    type JobState,
    type JobSubmission,
    kindOf,
    sleep,
    type Step,
} from "puffinarch";
import type { ShardCell } from "./shardCell.js";

/**
 * When callers cancel. `accepted`: half of the jobs some seconds after their acceptance; the others are read. `sent`: every job
 * while its only submission is under way. `mixed`: each job in one of these two ways.
 */
export const cancellingModes = ["accepted", "sent", "mixed"] as const;
/** One of `cancellingModes`. */
export type CancellingMode = (typeof cancellingModes)[number];

/** A caller's read of its job. */
export interface JobRead {
    readonly atMs: number;
    readonly memberId: string;
    /** Undefined for the answer that there is no such job. */
    readonly state: JobState | undefined;
}

/** What the caller of a job has sent and was told, on the cell's monotonic clock. */
export interface CallerRecord {
    readonly jobId: string;
    readonly steps: readonly Step[];
    /** When the caller was told that the job is accepted. */
    acceptedAtMs?: number;
    /** Error of the only submission of a job that is submitted once. */
    submitError?: ErrorKind;
    cancelSentAtMs?: number;
    /** The first answer to the cancel. */
    cancelAnswer?: { readonly atMs: number; readonly memberId: string; readonly known: boolean; };
    /** Answered reads of an accepted job that is not cancelled. */
    readonly reads: JobRead[];
}

/** Callers that cancel or read their jobs. */
export interface CancellingCallers {
    submit(jobId: string, steps: readonly Step[], organisation?: string): void;
    readonly records: readonly CallerRecord[];
}

/** Separates the draws of the callers from those of the cell and of the faults. */
const seedOffset = 400_000_007;
const attemptTimeoutMs = 2_000;
const retryPauseMs = 300;
const readIntervalMs = 500;
const cancelledShare = 0.5;
const submittedOnceShare = 0.5;
/** When an accepted job is cancelled, counted from its acceptance. */
const shortestAcceptedMs = 400;
const acceptedSpreadMs = 6_000;
/** When a job that is submitted once is cancelled, counted from its submission. */
const sentSpreadMs = 60;

const referenceOf = ({ queueKey, jobId, organisation = "" }: JobSubmission): JobReference => ({
    queueKey,
    jobId,
    organisation,
});

/**
 * Creates the callers of a cell; they draw from a generator of their own.
 *
 * @example
 * const callers = createCancellingCallers(cell, { seed: 1, when: "mixed" });
 * callers.submit(jobIdOf(1), readSteps("2"));
 */
export const createCancellingCallers = (
    cell: ShardCell,
    { seed, when }: { readonly seed: number; readonly when: CancellingMode; },
): CancellingCallers => {
    const { clock } = cell;
    const random = createSeededRandom(seedOffset + seed);
    const records: CallerRecord[] = [];

    /** Sends a request to a random daemon that runs; the caller waits for the answer for `attemptTimeoutMs`. */
    const attempt = async <T>(
        request: (member: CellMember) => Promise<T>,
    ): Promise<{ readonly memberId: string; readonly answer: T; }> => {
        const running = cell.memberIds().filter(memberId => cell.isRunning(memberId));
        const memberId = running[Math.floor(random.next() * running.length)] ?? die("unavailable", "no daemon runs");
        const answer = await Promise.race([
            cell.ask(memberId, request),
            sleep(clock, attemptTimeoutMs).then(() => die("mayHaveRun", "no answer")),
        ]);
        return { memberId, answer };
    };

    const repeatUntilAnswered = async <T>(
        request: (member: CellMember) => Promise<T>,
    ): Promise<{ readonly memberId: string; readonly answer: T; }> => {
        for (;;) {
            try {
                return await attempt(request);
            }
            catch {
                await sleep(clock, retryPauseMs);
            }
        }
    };

    const cancel = async (record: CallerRecord, reference: JobReference): Promise<void> => {
        record.cancelSentAtMs = clock.monotonicMs();
        const { memberId, answer } = await repeatUntilAnswered(member => member.cancel(reference, attemptTimeoutMs));
        record.cancelAnswer = { atMs: clock.monotonicMs(), memberId, known: answer };
    };

    const read = async (record: CallerRecord, reference: JobReference): Promise<void> => {
        try {
            const { memberId, answer } = await attempt(member => member.jobState(reference, attemptTimeoutMs));
            record.reads.push({ atMs: clock.monotonicMs(), memberId, state: answer?.state });
        }
        catch {
            // A read without an answer tells the caller nothing.
        }
    };

    const submitOnceAndCancel = async (record: CallerRecord, submission: JobSubmission): Promise<void> => {
        void attempt(member => member.submit(submission, attemptTimeoutMs)).then(
            () => {
                record.acceptedAtMs = clock.monotonicMs();
            },
            (error: unknown) => {
                record.submitError = kindOf(error);
            },
        );
        await sleep(clock, sentSpreadMs * random.next());
        await cancel(record, referenceOf(submission));
    };

    const submitAndCancelOrRead = async (record: CallerRecord, submission: JobSubmission): Promise<void> => {
        await repeatUntilAnswered(member => member.submit(submission, attemptTimeoutMs));
        record.acceptedAtMs = clock.monotonicMs();
        if (random.next() < cancelledShare) {
            await sleep(clock, shortestAcceptedMs + acceptedSpreadMs * random.next());
            await cancel(record, referenceOf(submission));
            return;
        }
        for (;;) {
            await sleep(clock, readIntervalMs);
            void read(record, referenceOf(submission));
        }
    };

    /** Long-running jobs are cancelled only once they are accepted, as they would hardly run otherwise. */
    const isSubmittedOnce = (steps: readonly Step[]): boolean =>
        when !== "accepted" && !steps.some(({ longRunning }) => longRunning)
        && (when === "sent" || random.next() < submittedOnceShare);

    return {
        submit: (jobId, steps, organisation = "") => {
            const submission = cell.submissionFor(jobId, steps, organisation);
            const record: CallerRecord = { jobId, steps, reads: [] };
            records.push(record);
            void (isSubmittedOnce(steps) ? submitOnceAndCancel : submitAndCancelOrRead)(record, submission);
        },
        records,
    };
};
