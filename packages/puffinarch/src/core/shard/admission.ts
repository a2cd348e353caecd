/**
 * Decides for each new submission whether the owner accepts it: not where it would end too late to be of any value, and not where the
 * owner itself is too late to answer in time.
 */

import type { Shedding } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import type { Step } from "../../types/work.js";
import { createBucket } from "../../utils/bucket.js";
import { hash } from "../../utils/rendezvous.js";
import type { Backlog, BacklogTracker, BacklogWork } from "./backlog.js";
import { reservedResources, type ShardJob } from "./jobModel.js";
import { isShed } from "./shedding.js";
import { rankStep } from "./urgency.js";
import type { ShardWorker } from "./workerTable.js";

/** A submitted job, as the decision sees it. */
export interface AdmissionJob {
    readonly jobId: string;
    readonly priority: number;
    readonly organisation: string;
    readonly weight: number;
    /** Most cores that its organisation may use at a time; `Infinity` without a cap. */
    readonly capCores: number;
    readonly beyondShare: boolean;
    /** Estimated time of its longest chain of steps, in ms. */
    readonly criticalPathMs: number;
    /** Estimated work of all of its tasks, in core-milliseconds. */
    readonly coreMs: number;
    /** `Infinity` for a job without an objective, and for long-running and scheduled jobs. */
    readonly objectiveMs: number;
}

/** State of the owner itself. */
export interface OwnerLoad {
    /** How late its timers fire, in ms, on average over about the last second. */
    readonly lagMs: number;
    /** Submissions that have arrived and are not answered. */
    readonly inProgress: number;
    /** The submissions that it cannot answer in time; undefined while it is not late. */
    readonly shedding: Shedding | undefined;
}

/** Reasons of refusals. `backlog`: the job would end too late to be of value. `ownerLate`: the owner could not answer in time. */
export const admissionReasons = { backlog: "backlog", ownerLate: "ownerLate" } as const;
/** One of `admissionReasons`. */
export type AdmissionReason = (typeof admissionReasons)[keyof typeof admissionReasons];

/** Refusal of a job that certainly never runs. */
export interface AdmissionRefusal {
    readonly reason: AdmissionReason;
    readonly retryAfterMs: number;
}

/** Dependencies of the admission. */
export interface AdmissionOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly backlog: BacklogTracker;
    /** How late this process's timers fire, in ms, on average over about the last second. */
    readonly lagMs: () => number;
    /** The submissions to refuse because this process is late. */
    readonly shedding: () => Shedding | undefined;
}

/** Admission of the jobs of one owner. */
export interface Admission {
    /** Returns why a job is refused; undefined for one that is accepted. Only for IDs that are not known. */
    admit(job: ShardJob): AdmissionRefusal | undefined;
    /** Counts a submission as in progress until its promise settles. */
    track<T>(submission: Promise<T>): Promise<T>;
    /** Adds a job that was accepted to the backlog. */
    accepted(job: ShardJob): void;
    /** Submissions that have arrived and are not answered. */
    inProgress(): number;
}

/** A job has no value to its caller after this many times its objective. */
const valueFactor = 3;
/**
 * With more than this share of the cores free, tasks wait for something else than cores, such as advice or another resource, and the
 * backlog in core-milliseconds does not tell how long.
 */
const maxFreeShare = 0.25;
/** Bounds of the time to retry, before it is spread: callers wait 3 s in total, and jobs of long objectives return later. */
const minRetryMs = 1_000;
const maxRetryMs = 10_000;
/** Callers are spread over the range from 1 to this many times the time to retry, so that they do not return together. */
const retrySpread = 1.5;
/** Most refusals per second that are logged; the next line has the count of those left out. */
const maxLogLinesPerS = 20;
/** A refused ID is refused again within this time, since a delayed copy of the submission may arrive; callers return after 1 s. */
const refusedAgainMs = minRetryMs;
const hashRange = 2 ** 32;
const millisPerCore = 1_000;

/**
 * Bounds a time after which a caller may return, and spreads it by the hash of the job ID.
 *
 * @example
 * spreadRetryMs(2_000, "5c0e7a21d94b36f8"); // from 2_000 to 3_000
 */
export const spreadRetryMs = (retryMs: number, jobId: string): number => {
    const boundedMs = Math.min(maxRetryMs, Math.max(minRetryMs, retryMs));
    return Math.round(boundedMs * (1 + (retrySpread - 1) * hash(jobId) / hashRange));
};

const isAhead = (work: BacklogWork, job: AdmissionJob, { placesBeyondShareLast }: Backlog): boolean =>
    work.priority <= job.priority && !(placesBeyondShareLast && work.beyondShare && !job.beyondShare);

/**
 * Time in ms until capacity is free although each organisation uses as much of it as its cap allows: the longest time in which all of
 * them together can use the whole capacity.
 */
const waitForOthersMs = (ahead: readonly BacklogWork[], capacityCores: number): number => {
    const totals = new Map<string, { readonly coreMs: number; readonly capCores: number; }>();
    let coreMs = 0;
    for (const work of ahead) {
        const before = totals.get(work.organisation)?.coreMs ?? 0;
        totals.set(work.organisation, { coreMs: before + work.coreMs, capCores: work.capCores });
        coreMs += work.coreMs;
    }
    const lastToFinish = [...totals.values()]
        .map(each => ({ ...each, endsMs: each.coreMs / each.capCores }))
        .sort((left, right) => right.endsMs - left.endsMs);
    let freeCores = capacityCores;
    for (const each of lastToFinish) {
        const waitMs = coreMs / freeCores;
        if (waitMs >= each.endsMs) {
            return waitMs;
        }
        // Its cap leaves the rest of the capacity to the others for longer than that.
        coreMs -= each.coreMs;
        freeCores -= each.capCores;
    }
    return 0;
};

/**
 * Time in ms until work is done that waits for tasks which hold cores until they end. Their ends are taken as spread evenly over the time
 * in which all of them end.
 */
const waitBesideHeldMs = (coreMs: number, held: readonly BacklogWork[], capacityCores: number): number => {
    const heldCores = Math.min(capacityCores, held.reduce((sum, work) => sum + work.heldCores, 0));
    const heldCoreMs = held.reduce((sum, work) => sum + work.heldCoreMs, 0);
    if (coreMs === 0 || heldCores === 0 || heldCoreMs === 0) {
        return coreMs / capacityCores;
    }
    const allEndMs = 2 * heldCoreMs / heldCores;
    const afterAllMs = (coreMs + heldCoreMs) / capacityCores;
    if (afterAllMs >= allEndMs) {
        return afterAllMs;
    }
    // Solves otherCores * t + releasedPerMs * t^2 / 2 = coreMs, the capacity that the work gets within t.
    const otherCores = capacityCores - heldCores;
    const releasedPerMs = heldCores / allEndMs;
    return (Math.sqrt(otherCores ** 2 + 2 * releasedPerMs * coreMs) - otherCores) / releasedPerMs;
};

/**
 * Returns how long a job waits for the work that comes before it, in ms, by the estimates.
 *
 * @example
 * waitAheadMs(job, backlog); // 4_000 for 40,000 core-milliseconds on 10 cores
 */
export const waitAheadMs = (job: AdmissionJob, backlog: Backlog): number => {
    const { capacityCores, freeCores, sharesCapacity } = backlog;
    const ahead = backlog.work.filter(work => isAhead(work, job, backlog));
    const ownCoreMs = ahead.filter(({ organisation }) => organisation === job.organisation)
        .reduce((sum, { coreMs }) => sum + coreMs, 0);
    const weights = new Map(backlog.work.map(({ organisation, weight }) => [organisation, weight]));
    weights.set(job.organisation, job.weight);
    const sumOfWeights = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
    const shareCores = sharesCapacity && sumOfWeights > 0 ? capacityCores * job.weight / sumOfWeights : 0;
    const held = backlog.work.filter(({ priority }) => priority > job.priority);
    const waitMs = freeCores > maxFreeShare * capacityCores
        ? 0
        : waitBesideHeldMs(capacityCores * waitForOthersMs(ahead, capacityCores), held, capacityCores);
    // An organisation gets its share of the capacity however much work the others have.
    const sharedMs = shareCores > 0 ? Math.min(waitMs, ownCoreMs / shareCores) : waitMs;
    return Math.max(sharedMs, ownCoreMs / job.capCores);
};

/** How long after its objective, times `valueFactor`, a job would end, in ms; at most 0 for one that is of value. */
const excessMs = (job: AdmissionJob, backlog: Backlog): number => {
    if (!Number.isFinite(job.objectiveMs)) {
        return 0;
    }
    const ownMs = Math.max(job.criticalPathMs, job.coreMs / Math.min(backlog.capacityCores, job.capCores));
    return waitAheadMs(job, backlog) + ownMs - valueFactor * job.objectiveMs;
};

/**
 * Decides whether a job is accepted. Where the backlog is not known, only the lateness of the owner counts.
 *
 * @example
 * decideAdmission(job, backlog, { lagMs: 0, inProgress: 3, shedding: undefined })?.reason; // "backlog"
 */
export const decideAdmission = (
    job: AdmissionJob,
    backlog: Backlog | undefined,
    { shedding }: OwnerLoad,
): AdmissionRefusal | undefined => {
    if (shedding !== undefined && isShed(shedding, job.priority, job.jobId)) {
        const retryAfterMs = spreadRetryMs(shedding.retryAfterMs, job.jobId);
        return { reason: admissionReasons.ownerLate, retryAfterMs };
    }
    const lateByMs = backlog === undefined ? 0 : excessMs(job, backlog);
    // The work ahead shrinks by 1 ms each ms, where nothing is accepted meanwhile.
    return lateByMs > 0
        ? { reason: admissionReasons.backlog, retryAfterMs: spreadRetryMs(lateByMs, job.jobId) }
        : undefined;
};

const longestPathMs = (steps: readonly Step[]): number => {
    const pathsMs: number[] = [];
    for (const { estimateMs, after } of steps) {
        pathsMs.push(estimateMs + Math.max(0, ...after.map(predecessor => pathsMs[predecessor] ?? 0)));
    }
    return Math.max(0, ...pathsMs);
};

/** Objective without the times for advice and waves, which only make it longer. */
const leastObjectiveMs = ({ submission: { steps, schedule }, queue }: ShardJob, pathMs: number): number => {
    const hasObjective = queue.stretch > 0 && schedule.repeatCount === 0 && !steps.some(step => step.longRunning);
    return hasObjective ? queue.stretch * pathMs + queue.targetRuntimeMs : Infinity;
};

const admissionJobOf = (job: ShardJob): AdmissionJob => {
    const { submission: { jobId, steps }, queue, account: { organisation, weight, cap }, beyondShare } = job;
    const criticalPathMs = longestPathMs(steps);
    return {
        jobId,
        priority: queue.priority,
        organisation,
        weight,
        capCores: cap.cpuMillis > 0 ? cap.cpuMillis / millisPerCore : Infinity,
        beyondShare,
        criticalPathMs,
        coreMs: steps.reduce(
            (sum, step) => sum + step.count * step.estimateMs * reservedResources(step).cpuMillis / millisPerCore,
            0,
        ),
        objectiveMs: leastObjectiveMs(job, criticalPathMs),
    };
};

/**
 * Creates the admission of an owner.
 *
 * @example
 * const admission = createAdmission({ clock, log, meter, workers, backlog, lagMs, shedding });
 * admission.admit(job)?.retryAfterMs;
 */
export const createAdmission = (options: AdmissionOptions): Admission => {
    const { clock, log, meter, workers, backlog } = options;
    const lines = createBucket(clock, () => maxLogLinesPerS);
    /** Refusals by job ID, in the order of the refusals. */
    const refused = new Map<string, AdmissionRefusal & { readonly untilMs: number; }>();
    let inProgress = 0;
    let linesLeftOut = 0;

    const refusedBefore = (jobId: string): AdmissionRefusal | undefined => {
        const nowMs = clock.monotonicMs();
        for (const [each, { untilMs }] of refused) {
            if (nowMs < untilMs) {
                break;
            }
            refused.delete(each);
        }
        return refused.get(jobId);
    };

    /** Objective that the scheduling uses, which includes advice and waves; `leastMs` where it is not known. */
    const objectiveOf = (job: ShardJob, leastMs: number): number => {
        const occurrence = job.occurrences.get(0);
        const [first] = occurrence?.steps ?? [];
        if (first !== undefined) {
            rankStep(first, workers, clock.nowMs());
        }
        return occurrence?.timing?.objectiveMs ?? leastMs;
    };

    const decide = (job: ShardJob, known: Backlog | undefined): AdmissionRefusal | undefined => {
        const load = { lagMs: options.lagMs(), inProgress, shedding: options.shedding() };
        const candidate = admissionJobOf(job);
        const refusal = decideAdmission(candidate, known, load);
        if (refusal?.reason !== admissionReasons.backlog) {
            return refusal;
        }
        const objectiveMs = objectiveOf(job, candidate.objectiveMs);
        return decideAdmission({ ...candidate, objectiveMs }, known, load);
    };

    const record = (job: ShardJob, { reason, retryAfterMs }: AdmissionRefusal, known: Backlog | undefined): void => {
        meter.count(`jobsRefused.${reason}`);
        if (!lines.take()) {
            linesLeftOut += 1;
            return;
        }
        const { submission: { jobId, queueKey }, queue: { priority } } = job;
        const waitMs = known === undefined ? undefined : Math.round(waitAheadMs(admissionJobOf(job), known));
        log.write("info", "admissionRefused", {
            jobId,
            queue: queueKey,
            priority,
            reason,
            backlogMs: waitMs,
            capacityCores: known === undefined ? undefined : Math.round(known.capacityCores),
            lagMs: Math.round(options.lagMs()),
            inProgress,
            retryAfterMs,
            linesLeftOut,
        });
        linesLeftOut = 0;
    };

    return {
        admit: job => {
            const { jobId } = job.submission;
            const before = refusedBefore(jobId);
            if (before !== undefined) {
                return before;
            }
            const known = backlog.of(job.queue.service);
            const refusal = decide(job, known);
            if (refusal !== undefined) {
                refused.set(jobId, { ...refusal, untilMs: clock.monotonicMs() + refusedAgainMs });
                record(job, refusal, known);
            }
            return refusal;
        },
        track: async submission => {
            inProgress += 1;
            try {
                return await submission;
            }
            finally {
                inProgress -= 1;
            }
        },
        accepted: backlog.add,
        inProgress: () => inProgress,
    };
};
