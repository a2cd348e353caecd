/** Callers of the demo: they submit jobs and send requests, resend the ones without an answer, and record every answer. */

import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { JobService, TaskState } from "@puffinarch/schema";
import { type Clock, type Random, sleep } from "puffinarch";
import { Agent, request } from "undici";
import type { Balancer } from "./balancer.js";
import type { Deployment } from "./deployments.js";

/** Record of one accepted job, kept by its caller. */
export interface JobRecord {
    readonly jobId: string;
    readonly tasks: number;
    readonly atMostOnce: boolean;
    /** Wall time of the first submission, before any resend. */
    readonly acceptedAtMs: number;
    /** Final states by task id, as far as they were collected. */
    readonly finalStates: Map<string, TaskState>;
    /** Completed tasks whose result is not their own. */
    wrongResults: number;
}

/** Record of one request, kept by its caller; times are wall clock. */
export interface RequestRecord {
    readonly requestId: string;
    readonly idempotent: boolean;
    readonly sentAtMs: number;
    /** Last value of the header `x-puffinarch-answer`; undefined where no answer came. */
    answer: string | undefined;
    /** When the caller stopped resending. */
    answeredAtMs: number;
    /** True where the answer belongs to another request. */
    misdelivered: boolean;
    /** Number of sends after the first; -1 before the first. */
    resends: number;
}

/** Sends work and holds the records of it. */
export interface Callers {
    readonly jobs: readonly JobRecord[];
    readonly requests: readonly RequestRecord[];
    /** Submits the next job, with resends; a job that no daemon accepts is not recorded. */
    submitJob(): Promise<void>;
    /** Sends the next request, with resends where they are safe. */
    sendRequest(): Promise<void>;
    /** Reads the final states of all tasks, until every task has one or the monotonic deadline has passed. */
    collectFinalStates(deadlineMs: number): Promise<void>;
    close(): Promise<void>;
}

interface JobKind {
    readonly workloadClass: string;
    readonly tasks: number;
    readonly cpuMillis: number;
    readonly memoryMib: number;
    readonly atMostOnce: boolean;
    readonly runMs: number;
}

const jobKinds: readonly JobKind[] = [
    { workloadClass: "batch", tasks: 8, cpuMillis: 500, memoryMib: 512, atMostOnce: false, runMs: 800 },
    { workloadClass: "batch", tasks: 20, cpuMillis: 250, memoryMib: 256, atMostOnce: false, runMs: 400 },
    { workloadClass: "batch", tasks: 3, cpuMillis: 1_000, memoryMib: 1_024, atMostOnce: true, runMs: 600 },
    { workloadClass: "batch", tasks: 1, cpuMillis: 4_000, memoryMib: 8_192, atMostOnce: false, runMs: 1_500 },
    { workloadClass: "interactive", tasks: 2, cpuMillis: 500, memoryMib: 1_024, atMostOnce: false, runMs: 12_000 },
    { workloadClass: "gang", tasks: 6, cpuMillis: 2_000, memoryMib: 2_048, atMostOnce: false, runMs: 1_000 },
];

const requestTimeoutMs = 4_000;
const tryTimeoutMs = 5_000;
const maxTries = 12;
const retryPauseMs = 300;
const nonIdempotentShare = 0.3;

/**
 * Creates the callers of one deployment.
 *
 * @example
 * await callers.submitJob();
 */
export const createCallers = (deployment: Deployment, balancer: Balancer, clock: Clock, random: Random): Callers => {
    const jobs: JobRecord[] = [];
    const requests: RequestRecord[] = [];
    const agent = new Agent({ connections: 32 });
    let jobCount = 0;
    let requestCount = 0;

    const clientOf = (address: string) =>
        createClient(
            JobService,
            createConnectTransport({ baseUrl: address, httpVersion: "1.1", defaultTimeoutMs: tryTimeoutMs }),
        );

    const submitJob = async (): Promise<void> => {
        jobCount += 1;
        const kind = jobKinds[jobCount % jobKinds.length];
        const team = deployment.teams[jobCount % deployment.teams.length] ?? "";
        if (kind === undefined) {
            return;
        }
        const { workloadClass, tasks, cpuMillis, memoryMib, atMostOnce, runMs } = kind;
        const spec = {
            jobId: `${deployment.name}-job${jobCount}`,
            workloadClass,
            team,
            tasks,
            taskSize: { cpuMillis, memoryMib, accelerators: 0 },
            atMostOnce,
            payload: JSON.stringify({ runMs }),
        };
        const tried: string[] = [];
        const firstSentAtMs = clock.nowMs();
        for (let triesLeft = maxTries; triesLeft > 0; triesLeft -= 1) {
            const address = balancer.next(tried);
            if (address === undefined) {
                await sleep(clock, retryPauseMs);
                continue;
            }
            tried.push(address);
            try {
                await clientOf(address).submitJob({ spec });
                const record = {
                    jobId: spec.jobId,
                    tasks,
                    atMostOnce,
                    acceptedAtMs: firstSentAtMs,
                    finalStates: new Map(),
                    wrongResults: 0,
                };
                jobs.push(record);
                return;
            }
            catch (error) {
                if (error instanceof ConnectError && error.code === Code.InvalidArgument) {
                    throw error;
                }
                await sleep(clock, retryPauseMs);
            }
        }
    };

    /** Sends a request once; undefined where no answer came. */
    const tryRequest = async (address: string, record: RequestRecord): Promise<string | undefined> => {
        try {
            const answer = await request(`${address}/services/${deployment.service}/plan-check`, {
                method: "POST",
                dispatcher: agent,
                headers: {
                    "content-type": "application/json",
                    "x-request-id": record.requestId,
                    "x-idempotent": String(record.idempotent),
                    "x-timeout-ms": String(requestTimeoutMs),
                },
                body: JSON.stringify({ workMs: 5 + Math.floor(random.next() * 40), answerBytes: 200 }),
                signal: AbortSignal.timeout(tryTimeoutMs),
            });
            const body = await answer.body.json() as { readonly requestId?: string; };
            const outcome = String(answer.headers["x-puffinarch-answer"]);
            record.misdelivered ||= outcome === "completed" && body.requestId !== record.requestId;
            return outcome;
        }
        catch {
            return undefined;
        }
    };

    const sendRequest = async (): Promise<void> => {
        requestCount += 1;
        const record: RequestRecord = {
            requestId: `${deployment.name}-r${requestCount}`,
            idempotent: random.next() >= nonIdempotentShare,
            sentAtMs: clock.nowMs(),
            answer: undefined,
            answeredAtMs: 0,
            misdelivered: false,
            resends: -1,
        };
        requests.push(record);
        const tried: string[] = [];
        for (let triesLeft = maxTries; triesLeft > 0; triesLeft -= 1) {
            const address = balancer.next(tried);
            if (address !== undefined) {
                tried.push(address);
                record.resends += 1;
                const outcome = await tryRequest(address, record);
                record.answer = outcome ?? record.answer;
                const mayResend = outcome === undefined || outcome === "notRun" || outcome === "overloaded"
                    || (outcome === "mayHaveRun" && record.idempotent);
                if (!mayResend) {
                    break;
                }
            }
            await sleep(clock, retryPauseMs);
        }
        record.answeredAtMs = clock.nowMs();
    };

    const collectJobStates = async (record: JobRecord): Promise<void> => {
        const address = balancer.next([]);
        if (address === undefined) {
            return;
        }
        const client = clientOf(address);
        const { job } = await client.getJob({ jobId: record.jobId });
        if (job?.ended !== true) {
            return;
        }
        const { tasks } = await client.listTasks({ jobId: record.jobId, pageSize: 1_000 });
        for (const task of tasks) {
            record.finalStates.set(task.taskId, task.state);
            if (task.state === TaskState.COMPLETED) {
                const { result } = await client.getResult({ taskId: task.taskId });
                record.wrongResults += result.startsWith(`${task.taskId} done`) ? 0 : 1;
            }
        }
    };

    const collectFinalStates = async (deadlineMs: number): Promise<void> => {
        for (;;) {
            const unfinished = jobs.filter(record => record.finalStates.size < record.tasks);
            if (unfinished.length === 0 || clock.monotonicMs() > deadlineMs) {
                return;
            }
            await Promise.all(unfinished.map(record => collectJobStates(record).catch(() => undefined)));
            await sleep(clock, retryPauseMs);
        }
    };

    return { jobs, requests, submitJob, sendRequest, collectFinalStates, close: () => agent.close() };
};
