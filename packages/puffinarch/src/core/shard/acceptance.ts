/** Accepting jobs: durable before the answer, the same id again is the same job, and a refusal is certain. */

import type { Clock, Log, Meter } from "../../types/ports.js";
import { scale } from "../../types/resources.js";
import type { JobSubmission, Queue } from "../../types/work.js";
import { die } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";
import { type Account, type Accounts, amountAboveCap, returnShare, takeShare } from "./accounts.js";
import type { CommitLog } from "./commitLog.js";
import { cancelJob, heldBy, newJob, type ShardJob } from "./jobBook.js";
import type { EndedJob } from "./jobRows.js";
import type { ShardSettings } from "./shardSettings.js";

/** What acceptance needs. */
export interface AcceptanceOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly settings: ShardSettings;
    /** Jobs of the shard, to which accepted ones are added. */
    readonly jobs: Map<string, ShardJob>;
    readonly queueOf: (queueKey: string) => Queue | undefined;
    readonly accounts: Pick<Accounts, "of">;
    /** Place of the next job in the order of acceptance. */
    readonly nextOrder: number;
    readonly commits: CommitLog;
    /** Resolves once the job as it is now is durable. */
    readonly commit: (job: ShardJob) => Promise<void>;
    /** Asks for advice and plans starts for the job. */
    readonly consider: (job: ShardJob) => void;
    /** Lets go of the starts that were planned for the job. */
    readonly takeBack: (job: ShardJob) => void;
    /** Jobs that ended under earlier owners. */
    readonly endedKnown: Promise<ReadonlyMap<string, EndedJob>>;
    /** Rejects once this daemon owns the shard no more. */
    readonly endOfOffice: Promise<never>;
}

/** The same ID is the same job only for callers of one organisation: the answer to another one's must tell nothing of it. */
const refuseOther = ({ jobId, organisation = "" }: JobSubmission, owner: string): void => {
    if (owner !== "" && organisation !== owner) {
        die("alreadyExists", `the id ${jobId} is taken`);
    }
};

/** A task, or a gang, that the organisation's cap never holds would wait for ever. */
const refuseAboveCap = ({ steps }: JobSubmission, { organisation, cap }: Account): void => {
    for (const [index, step] of steps.entries()) {
        const atOnce = step.gang ? scale(heldBy(step), step.count) : heldBy(step);
        const amount = amountAboveCap(cap, atOnce);
        if (amount !== undefined) {
            die(
                "overQuota",
                `steps[${index}] needs ${atOnce[amount]} ${amount} at once; the cap of ${organisation} is ${
                    cap[amount]
                }`,
            );
        }
    }
};

/** How often a job that waits for its acceptance looks whether the store stalls. */
const checkMs = 100;

/**
 * Makes the function that accepts jobs; it resolves once the job is durable.
 *
 * @example
 * const submit = createAcceptance({ clock, log, meter, settings, jobs, queueOf, accounts, nextOrder, commits, commit, consider, takeBack, endedKnown, endOfOffice });
 * await submit(submission);
 */
export const createAcceptance = (options: AcceptanceOptions): (submission: JobSubmission) => Promise<void> => {
    const { clock, log, meter, settings, jobs, queueOf, accounts, commits, commit, consider, endedKnown, endOfOffice } =
        options;
    let { nextOrder } = options;

    const refuse = (): never =>
        die("notAccepted", "the store does not answer", { retryAfterMs: settings.retryAfterMs });

    /** Forgets a job that no batch has held. */
    const forget = (job: ShardJob): void => {
        jobs.delete(job.submission.jobId);
        options.takeBack(job);
        if (!job.beyondShare) {
            returnShare(job.account);
        }
        // Nobody wants its advice any more.
        cancelJob(job, clock.monotonicMs());
    };

    /**
     * Waits for a job's acceptance. Where the store stalls and no batch has held the job yet, it is taken back: the
     * refusal is certain, and the caller hears it at once. A job that another submission of the same id has made durable is
     * accepted, whatever becomes of the batch that this one waits for: taken back, it was answered as unknown and ran twice.
     */
    const settle = async (job: ShardJob): Promise<void> => {
        const { jobId } = job.submission;
        const written = commit(job);
        while (!job.stored) {
            await Promise.race([written, endOfOffice, sleep(clock, checkMs)]);
            if (!job.stored && commits.stalledMs() > settings.refuseStalledMs && commits.withdraw(jobId)) {
                forget(job);
            }
            if (!job.stored && jobs.get(jobId) !== job) {
                refuse();
            }
        }
    };

    const enter = (submission: JobSubmission): ShardJob => {
        const queue = queueOf(submission.queueKey)
            ?? die("unavailable", `the queue ${submission.queueKey} is not in this daemon's configuration`);
        if (commits.stalledMs() > settings.refuseStalledMs) {
            refuse();
        }
        const account = accounts.of(submission.organisation ?? "");
        refuseAboveCap(submission, account);
        const acceptedAtMs = clock.nowMs();
        const beyondShare = !takeShare(account, acceptedAtMs);
        const job = newJob(submission, queue, { acceptedAtMs, order: nextOrder, account, beyondShare });
        nextOrder += 1;
        jobs.set(submission.jobId, job);
        return job;
    };

    const submit = async (submission: JobSubmission): Promise<void> => {
        const known = jobs.get(submission.jobId);
        if (known !== undefined) {
            refuseOther(submission, known.account.organisation);
            if (!known.stored) {
                await settle(known);
            }
            return;
        }
        const ended = (await endedKnown).get(submission.jobId);
        if (ended !== undefined || jobs.has(submission.jobId)) {
            refuseOther(submission, ended?.organisation ?? "");
            // It ended before, or the same id came through another daemon meanwhile.
            await (jobs.has(submission.jobId) ? submit(submission) : undefined);
            return;
        }
        const job = enter(submission);
        // Advice is asked for, and starts are planned, while the acceptance is written; they share its batch or a later one.
        consider(job);
        await settle(job);
        meter.count("jobsAccepted");
        log.write("info", "jobAccepted", {
            jobId: submission.jobId,
            queue: submission.queueKey,
            steps: submission.steps.length,
        });
    };

    return submit;
};
