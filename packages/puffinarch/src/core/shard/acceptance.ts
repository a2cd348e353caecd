/**
 * Accepts jobs: a job is durable before its caller is answered, resubmitting the same ID is idempotent, and a refused job is certain not
 * to run.
 */

import type { Clock, Log, Meter } from "../../types/ports.js";
import { scale } from "../../types/resources.js";
import type { JobSubmission, Queue } from "../../types/work.js";
import { die } from "../../utils/errors.js";
import { type Account, type Accounts, amountAboveCap, returnShare, takeShare } from "./accounts.js";
import { type Admission, type AdmissionReason, spreadRetryMs } from "./admission.js";
import type { CommitLog } from "./commitLog.js";
import type { CommitWait } from "./commitWait.js";
import { countHeldTasks, heldTasksOf } from "./dueOccurrences.js";
import type { EndedJobs, Outcome } from "./endedJobs.js";
import { cancelJob, hasEnded, newJob, reservedResources, type ShardJob, taskCount } from "./jobModel.js";

/** Dependencies of the acceptance of jobs. */
export interface AcceptanceOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    /** Jobs of the shard by ID; accepted ones are added. */
    readonly jobs: Map<string, ShardJob>;
    readonly queueOf: (queueKey: string) => Queue | undefined;
    readonly accounts: Pick<Accounts, "of">;
    /** Decides which jobs are refused because of the load. */
    readonly admission: Admission;
    /** Position of the next job in the order of acceptance. */
    readonly nextOrder: number;
    readonly commits: CommitLog;
    readonly commitWait: CommitWait;
    /** Most tasks that this process holds in memory. */
    readonly maxHeldTasks: number;
    /** Time in which a service's workers can do the accepted work, in ms; 0 if it is not known. */
    readonly backlogMs: (service: string) => number;
    /** Explains why the store cannot take a job that is not stored yet; undefined if it can. */
    readonly explainOversized: (job: ShardJob) => string | undefined;
    /** Resolves once the job's present state is durable. */
    readonly commit: (job: ShardJob) => Promise<void>;
    /** Requests advice and plans starts for the job. */
    readonly scheduleJob: (job: ShardJob) => void;
    /** Drops the starts that were planned for the job. */
    readonly dropPlannedStarts: (job: ShardJob) => void;
    /** Resolves once the jobs that ended under former owners were read. */
    readonly endedJobs: Promise<Pick<EndedJobs, "find" | "applyCancel">>;
}

/**
 * Resubmitting an ID is idempotent only for callers of the organisation that owns the job. The refusal of other callers must disclose
 * nothing about the job.
 */
const requireSameOrganisation = ({ jobId, organisation = "" }: JobSubmission, owner: string): void => {
    if (owner !== "" && organisation !== owner) {
        die("alreadyExists", `the job ID ${jobId} is already in use`);
    }
};

const refusalMessages: Readonly<Record<AdmissionReason, string>> = {
    backlog: "not accepted: the accepted work leaves it no time to end within three times its objective",
    ownerLate: "not accepted: the owner of the shard is too busy to accept it in time",
};

/** Refuses jobs with a task or gang that exceeds the organisation's cap by itself, since it would wait forever. */
const requireWithinCap = ({ steps }: JobSubmission, { organisation, cap }: Account): void => {
    for (const [index, step] of steps.entries()) {
        const atOnce = step.gang ? scale(reservedResources(step), step.count) : reservedResources(step);
        const amount = amountAboveCap(cap, atOnce);
        if (amount !== undefined) {
            die(
                "overQuota",
                `steps[${index}] needs ${atOnce[amount]} ${amount} at once, but the cap of ${organisation} is ${
                    cap[amount]
                }`,
            );
        }
    }
};

/**
 * Creates the function that accepts jobs; it resolves once the job is durable.
 *
 * @example
 * const submit = createAcceptance({ clock, log, meter, jobs, queueOf, accounts, nextOrder, commits, commitWait, commit, scheduleJob, dropPlannedStarts, endedJobs });
 * await submit(submission);
 */
export const createAcceptance = (options: AcceptanceOptions): (submission: JobSubmission) => Promise<void> => {
    const {
        clock,
        log,
        meter,
        jobs,
        queueOf,
        accounts,
        admission,
        commits,
        commitWait,
        commit,
        scheduleJob,
        endedJobs,
    } = options;
    let { nextOrder } = options;

    /** Removes a job that was part of no commit batch. */
    const discard = (job: ShardJob): void => {
        jobs.delete(job.submission.jobId);
        options.dropPlannedStarts(job);
        if (!job.beyondShare) {
            returnShare(job.account);
        }
        // Ends its pending advice requests.
        cancelJob(job, clock.monotonicMs());
    };

    /**
     * Waits until a job is durable. If the store stops answering while no commit batch contains the job, the job is withdrawn: the
     * refusal is certain and the caller gets it at once. A job that was cancelled meanwhile is kept, as its cancel would get no answer.
     * A job that another submission of the same ID has made durable counts as accepted, whatever the outcome of the batch awaited
     * here: if it were withdrawn, it would be reported as unknown and run twice.
     */
    const awaitAcceptance = async (job: ShardJob): Promise<void> => {
        const { jobId } = job.submission;
        const written = commit(job);
        while (!job.stored) {
            await commitWait.pause(written);
            if (!job.stored && !hasEnded(job) && commitWait.isStalled() && commits.withdraw(jobId)) {
                discard(job);
            }
            const rejected = commits.setAsideReason(jobId);
            if (!job.stored && rejected !== undefined && commits.withdraw(jobId)) {
                discard(job);
                dieOversized(job, rejected);
            }
            if (!job.stored && jobs.get(jobId) !== job) {
                commitWait.refuse("notAccepted", jobId);
            }
        }
    };

    /** Refuses a job whose rows the store cannot take. */
    const requireStorable = (job: ShardJob): void => {
        const oversized = options.explainOversized(job);
        if (oversized !== undefined) {
            if (!job.beyondShare) {
                returnShare(job.account);
            }
            dieOversized(job, oversized);
        }
    };

    /** Refuses a job whose tasks this process cannot hold: for good if they exceed the limit alone, and otherwise until others have ended. */
    const requireHoldable = ({ jobId, steps, schedule }: JobSubmission, { service }: Queue): void => {
        const { maxHeldTasks } = options;
        const own = heldTasksOf(steps);
        if (own > maxHeldTasks) {
            meter.count("jobsRefused.tooManyTasks");
            die(
                "neverFits",
                `not accepted: it has ${taskCount(steps)} tasks, and fewer than ${maxHeldTasks} can be held`,
            );
        }
        const held = schedule.repeatCount === 0 ? countHeldTasks(jobs.values()) : 0;
        if (held + own <= maxHeldTasks) {
            return;
        }
        meter.count("jobsRefused.tasksHeld");
        // The accepted work is taken to end at an even pace.
        const leftMs = options.backlogMs(service) * (held + own - maxHeldTasks) / held;
        const retryAfterMs = spreadRetryMs(leftMs, jobId);
        log.write("info", "tasksHeld", { jobId, own, held, maxHeldTasks, retryAfterMs });
        die("overloaded", `not accepted: of at most ${maxHeldTasks} tasks, ${held} are accepted already`, {
            retryAfterMs,
        });
    };

    const dieOversized = ({ submission: { jobId } }: ShardJob, reason: string): never => {
        meter.count("jobsRefused.oversized");
        log.write("warn", "jobOversized", { jobId, reason });
        return die("neverFits", `not accepted: ${reason}`);
    };

    /** Refuses a job that the load leaves no time for. Its ID must be unknown, since the refusal states that the job never runs. */
    const requireAdmission = (job: ShardJob): void => {
        const refusal = admission.admit(job);
        if (refusal === undefined) {
            return;
        }
        if (!job.beyondShare) {
            returnShare(job.account);
        }
        const { reason, retryAfterMs } = refusal;
        die("overloaded", refusalMessages[reason], { retryAfterMs });
    };

    const register = (submission: JobSubmission): ShardJob => {
        const queue = queueOf(submission.queueKey)
            ?? die("unavailable", `the queue ${submission.queueKey} is not in this daemon's configuration`);
        if (commitWait.isStalled()) {
            commitWait.refuse("notAccepted", submission.jobId);
        }
        requireHoldable(submission, queue);
        const account = accounts.of(submission.organisation ?? "");
        requireWithinCap(submission, account);
        const acceptedAtMs = clock.nowMs();
        const beyondShare = !takeShare(account, acceptedAtMs);
        const job = newJob(submission, queue, { acceptedAtMs, order: nextOrder, account, beyondShare });
        requireStorable(job);
        requireAdmission(job);
        nextOrder += 1;
        jobs.set(submission.jobId, job);
        admission.accepted(job);
        return job;
    };

    /** Returns the outcome of a job that was cancelled before it was submitted; undefined for other jobs. */
    const applyCancel = (ended: Pick<EndedJobs, "applyCancel">, submission: JobSubmission): Outcome | undefined => {
        const outcome = ended.applyCancel(submission);
        if (outcome !== undefined) {
            log.write("info", "submittedAfterCancel", { jobId: submission.jobId });
        }
        return outcome;
    };

    const submit = async (submission: JobSubmission): Promise<void> => {
        if (commitWait.isStalled()) {
            await commitWait.afterReading();
        }
        const known = jobs.get(submission.jobId);
        if (known !== undefined) {
            requireSameOrganisation(submission, known.account.organisation);
            if (!known.stored) {
                await awaitAcceptance(known);
            }
            return;
        }
        const ended = await endedJobs;
        if (jobs.has(submission.jobId)) {
            // Another request with the same ID was accepted meanwhile.
            await submit(submission);
            return;
        }
        const outcome = ended.find(submission.jobId) ?? applyCancel(ended, submission);
        if (outcome !== undefined) {
            requireSameOrganisation(submission, outcome.job.organisation);
            // The job was accepted before, or its outcome may be durable and is then shown later.
            await commitWait.until(outcome.written, "mayHaveRun", submission.jobId);
            return;
        }
        const job = register(submission);
        // Requests advice and plans starts while the acceptance is being written, so that they share its commit batch or a later one.
        scheduleJob(job);
        await awaitAcceptance(job);
        meter.count("jobsAccepted");
        log.write("info", "jobAccepted", {
            jobId: submission.jobId,
            queue: submission.queueKey,
            steps: submission.steps.length,
        });
    };

    return submission => admission.track(submit(submission));
};
