/** Jobs as every daemon can answer for them: it finds the home of a job through the table and asks its holder. */

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

/** Calls on jobs, wherever their home is. */
export interface Jobs {
    submit(input: unknown): Promise<Job>;
    cancel(jobId: string): Promise<Job>;
    cancelTask(taskId: string): Promise<Task>;
    get(jobId: string): Promise<Job>;
    list(team: string, afterJobId: string, limit: number): Promise<JobPage>;
    task(taskId: string): Promise<Task>;
    tasks(jobId: string, afterIndex: number, limit: number): Promise<readonly Task[]>;
}

/** What jobs need. */
export interface JobsOptions {
    readonly table: TableStore;
    readonly membership: Membership;
    readonly homes: Homes;
    readonly configuration: () => Configuration;
    readonly vms: () => readonly Vm[];
    readonly accepts: () => boolean;
    /** Whether what is held here is surely held by nobody else. */
    readonly mayAct: () => boolean;
    readonly call: CallSession;
    /** Asks every live daemon; answers by session, and the sessions that did not answer. */
    readonly callAll: <K extends PeerCallName>(
        name: K,
        input: PeerCalls[K]["input"],
    ) => Promise<{ readonly answers: readonly PeerCalls[K]["output"][]; readonly unreachable: readonly string[]; }>;
}

const retryAfterMs = 1_000;

/**
 * Makes the jobs of a daemon.
 *
 * @example
 * const job = await jobs.submit(spec);
 * await jobs.get(job.spec.jobId);
 */
export const createJobs = (options: JobsOptions): Jobs => {
    const { table, membership, homes, call } = options;

    const homeHere = (jobId: string): Home | undefined => options.mayAct() ? homes.withJob(jobId) : undefined;

    const holderOfJob = async (jobId: string): Promise<string> => {
        const [row] = await table.read([jobKey(jobId)]);
        if (row === undefined) {
            return die("notFound", `there is no job ${jobId}`);
        }
        return holderOf(membership, (row.value as { readonly homeId: string; }).homeId);
    };

    const get = async (jobId: string): Promise<Job> => {
        const here = homeHere(jobId)?.job(jobId);
        return here ?? call(await holderOfJob(jobId), "job", { jobId });
    };

    const sameOrRefuse = (known: Job, spec: JobSpec): Job =>
        sameSpec(known.spec, spec)
            ? known
            : die("alreadyExists", `job ${spec.jobId} was accepted before with other contents`, {
                violations: [{ field: "jobId", value: `"${spec.jobId}"`, allowed: "an id that was not used before" }],
            });

    const submit = async (input: unknown): Promise<Job> => {
        const spec = checkJobSpec(input, options.configuration(), options.vms());
        const own = homes.own();
        const here = homeHere(spec.jobId)?.job(spec.jobId);
        if (here !== undefined) {
            return sameOrRefuse(here, spec);
        }
        if (own === undefined || !options.accepts()) {
            return die("notAccepted", "this daemon accepts no jobs at present", { retryAfterMs });
        }
        try {
            return await own.submit(spec);
        }
        catch (error) {
            if (kindOf(error) !== "alreadyExists") {
                throw error;
            }
            return sameOrRefuse(await get(spec.jobId), spec);
        }
    };

    return {
        submit,
        get,
        cancel: async jobId => {
            const here = homeHere(jobId);
            return here === undefined ? call(await holderOfJob(jobId), "cancel", { jobId }) : here.cancel(jobId);
        },
        cancelTask: async taskId => {
            const jobId = jobIdOf(taskId);
            const here = homeHere(jobId);
            return here === undefined
                ? call(await holderOfJob(jobId), "cancelTask", { taskId })
                : here.cancelTask(taskId);
        },
        list: async (team, afterJobId, limit) => {
            const { answers, unreachable } = await options.callAll("jobs", { team, afterJobId, limit });
            const jobs = answers.flat().sort((left, right) => left.spec.jobId < right.spec.jobId ? -1 : 1);
            return { jobs: jobs.slice(0, limit), unreachable };
        },
        task: async taskId => {
            const jobId = jobIdOf(taskId);
            const here = await homeHere(jobId)?.task(taskId);
            return here ?? call(await holderOfJob(jobId), "task", { taskId });
        },
        tasks: async (jobId, afterIndex, limit) => {
            const here = homeHere(jobId);
            return here?.tasks(jobId, afterIndex, limit)
                ?? call(await holderOfJob(jobId), "tasks", { jobId, afterIndex, limit });
        },
    };
};
