/** Operations on jobs that any daemon can serve: it reads a job's home from the table and calls the home's holder. */

import type { Configuration } from "../types/configuration.js";
import { type Job, jobIdOf, type JobSpec, type Task } from "../types/job.js";
import type { CallSession, PeerCallName, PeerCalls } from "../types/peer.js";
import type { TableStore, Vm } from "../types/ports.js";
import { die, kindOf } from "../utils/errors.js";
import { type Home, jobKey } from "./home.js";
import { holderOf, type Homes } from "./homes.js";
import { checkJobSpec, sameSpec } from "./jobSpec.js";
import type { Membership } from "./membership.js";

/** A page of jobs, and the daemons whose jobs are missing from it. */
export interface JobPage {
    readonly jobs: readonly Job[];
    readonly unreachable: readonly string[];
}

/** Operations on jobs, whichever daemon holds their home. */
export interface Jobs {
    submit(input: unknown): Promise<Job>;
    cancel(jobId: string): Promise<Job>;
    cancelTask(taskId: string): Promise<Task>;
    get(jobId: string): Promise<Job>;
    list(team: string, afterJobId: string, limit: number): Promise<JobPage>;
    task(taskId: string): Promise<Task>;
    tasks(jobId: string, afterIndex: number, limit: number): Promise<readonly Task[]>;
}

/** Options of `createJobs`. */
export interface JobsOptions {
    readonly table: TableStore;
    readonly membership: Membership;
    readonly homes: Homes;
    readonly configuration: () => Configuration;
    readonly vms: () => readonly Vm[];
    /** Whether this daemon accepts new jobs; false while it is drained. */
    readonly acceptsJobs: () => boolean;
    /** Whether it is certain that no other session holds the homes of this daemon. */
    readonly mayAct: () => boolean;
    readonly call: CallSession;
    /** Calls every live daemon; returns the answers, and the ids of the sessions whose call failed. */
    readonly callAll: <K extends PeerCallName>(
        name: K,
        input: PeerCalls[K]["input"],
    ) => Promise<{ readonly answers: readonly PeerCalls[K]["output"][]; readonly unreachable: readonly string[]; }>;
}

const retryAfterMs = 1_000;

/**
 * Creates the job operations of a daemon.
 *
 * @example
 * const job = await jobs.submit(spec);
 * await jobs.get(job.spec.jobId);
 */
export const createJobs = (options: JobsOptions): Jobs => {
    const { table, membership, homes, call } = options;

    const localHomeOf = (jobId: string): Home | undefined => options.mayAct() ? homes.withJob(jobId) : undefined;

    const holderOfJob = async (jobId: string): Promise<string> => {
        const [row] = await table.read([jobKey(jobId)]);
        if (row === undefined) {
            return die("notFound", `there is no job ${jobId}`);
        }
        return holderOf(membership, (row.value as { readonly homeId: string; }).homeId);
    };

    const get = async (jobId: string): Promise<Job> => {
        const local = localHomeOf(jobId)?.job(jobId);
        return local ?? call(await holderOfJob(jobId), "job", { jobId });
    };

    const requireSameSpec = (existing: Job, spec: JobSpec): Job =>
        sameSpec(existing.spec, spec)
            ? existing
            : die("alreadyExists", `job ${spec.jobId} was accepted before with a different specification`, {
                violations: [{ field: "jobId", value: `"${spec.jobId}"`, allowed: "an id that was not used before" }],
            });

    const submit = async (input: unknown): Promise<Job> => {
        const spec = checkJobSpec(input, options.configuration(), options.vms());
        const own = homes.own();
        const local = localHomeOf(spec.jobId)?.job(spec.jobId);
        if (local !== undefined) {
            return requireSameSpec(local, spec);
        }
        if (own === undefined || !options.acceptsJobs()) {
            return die("notAccepted", "this daemon accepts no jobs at present", { retryAfterMs });
        }
        try {
            return await own.submit(spec);
        }
        catch (error) {
            if (kindOf(error) !== "alreadyExists") {
                throw error;
            }
            return requireSameSpec(await get(spec.jobId), spec);
        }
    };

    return {
        submit,
        get,
        cancel: async jobId => {
            const local = localHomeOf(jobId);
            return local === undefined
                ? call(await holderOfJob(jobId), "cancel", { jobId })
                : local.cancel(jobId);
        },
        cancelTask: async taskId => {
            const jobId = jobIdOf(taskId);
            const local = localHomeOf(jobId);
            return local === undefined
                ? call(await holderOfJob(jobId), "cancelTask", { taskId })
                : local.cancelTask(taskId);
        },
        list: async (team, afterJobId, limit) => {
            const { answers, unreachable } = await options.callAll("jobs", { team, afterJobId, limit });
            const jobs = answers.flat().sort((left, right) => left.spec.jobId < right.spec.jobId ? -1 : 1);
            return { jobs: jobs.slice(0, limit), unreachable };
        },
        task: async taskId => {
            const jobId = jobIdOf(taskId);
            const local = await localHomeOf(jobId)?.task(taskId);
            return local ?? call(await holderOfJob(jobId), "task", { taskId });
        },
        tasks: async (jobId, afterIndex, limit) => {
            const local = localHomeOf(jobId);
            return local?.tasks(jobId, afterIndex, limit)
                ?? call(await holderOfJob(jobId), "tasks", { jobId, afterIndex, limit });
        },
    };
};
