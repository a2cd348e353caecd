/** Callers of the demo: they submit jobs and send requests, resend what was not answered, and note every answer. */

import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { JobService, TaskState } from "@puffinarch/schema";
import { type Clock, type Random, sleep } from "puffinarch";
import { Agent, request } from "undici";
import type { Balancer } from "./balancer.js";
import type { Deployment } from "./deployments.js";

/** What a caller knows of one job. */
export interface JobNote {
    readonly jobId: string;
    readonly tasks: number;
    readonly atMostOnce: boolean;
    readonly acceptedAtMs: number;
    readonly finalStates: Map<string, TaskState>;
    wrongResults: number;
}

/** What a caller knows of one request. */
export interface RequestNote {
    readonly requestId: string;
    readonly idempotent: boolean;
    readonly sentAtMs: number;
    answer: string | undefined;
    answeredAtMs: number;
    misdelivered: boolean;
    resends: number;
}

/** What callers did and were told. */
export interface Callers {
    readonly jobs: readonly JobNote[];
    readonly requests: readonly RequestNote[];
    submitOne(): Promise<void>;
    sendOne(): Promise<void>;
    /** Asks for every task's final state until all have one or the time is up. */
    collect(giveUpAtMs: number): Promise<void>;
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
 * Makes the callers of one deployment.
 *
 * @example
 * await callers.submitOne();
 */
export const createCallers = (deployment: Deployment, balancer: Balancer, clock: Clock, random: Random): Callers => {
    const jobs: JobNote[] = [];
    const requests: RequestNote[] = [];
    const agent = new Agent({ connections: 32 });
    let jobCount = 0;
    let requestCount = 0;

    const clientOf = (address: string) =>
        createClient(
            JobService,
            createConnectTransport({ baseUrl: address, httpVersion: "1.1", defaultTimeoutMs: tryTimeoutMs }),
        );

    const submitOne = async (): Promise<void> => {
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
        for (let left = maxTries; left > 0; left -= 1) {
            const address = balancer.next(tried);
            if (address === undefined) {
                await sleep(clock, retryPauseMs);
                continue;
            }
            tried.push(address);
            try {
                await clientOf(address).submitJob({ spec });
                const note = {
                    jobId: spec.jobId,
                    tasks,
                    atMostOnce,
                    acceptedAtMs: firstSentAtMs,
                    finalStates: new Map(),
                    wrongResults: 0,
                };
                jobs.push(note);
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

    /** One try; undefined where no answer came. */
    const tryRequest = async (address: string, note: RequestNote): Promise<string | undefined> => {
        try {
            const answer = await request(`${address}/services/${deployment.service}/plan-check`, {
                method: "POST",
                dispatcher: agent,
                headers: {
                    "content-type": "application/json",
                    "x-request-id": note.requestId,
                    "x-idempotent": String(note.idempotent),
                    "x-timeout-ms": String(requestTimeoutMs),
                },
                body: JSON.stringify({ workMs: 5 + Math.floor(random.next() * 40), answerBytes: 200 }),
                signal: AbortSignal.timeout(tryTimeoutMs),
            });
            const body = await answer.body.json() as { readonly requestId?: string; };
            const said = String(answer.headers["x-puffinarch-answer"]);
            note.misdelivered ||= said === "completed" && body.requestId !== note.requestId;
            return said;
        }
        catch {
            return undefined;
        }
    };

    const sendOne = async (): Promise<void> => {
        requestCount += 1;
        const note: RequestNote = {
            requestId: `${deployment.name}-r${requestCount}`,
            idempotent: random.next() >= nonIdempotentShare,
            sentAtMs: clock.nowMs(),
            answer: undefined,
            answeredAtMs: 0,
            misdelivered: false,
            resends: -1,
        };
        requests.push(note);
        const tried: string[] = [];
        for (let left = maxTries; left > 0; left -= 1) {
            const address = balancer.next(tried);
            if (address !== undefined) {
                tried.push(address);
                note.resends += 1;
                const said = await tryRequest(address, note);
                note.answer = said ?? note.answer;
                const mayResend = said === undefined || said === "notRun" || said === "overloaded"
                    || (said === "mayHaveRun" && note.idempotent);
                if (!mayResend) {
                    break;
                }
            }
            await sleep(clock, retryPauseMs);
        }
        note.answeredAtMs = clock.nowMs();
    };

    const collectJob = async (note: JobNote): Promise<void> => {
        const address = balancer.next([]);
        if (address === undefined) {
            return;
        }
        const client = clientOf(address);
        const { job } = await client.getJob({ jobId: note.jobId });
        if (job?.ended !== true) {
            return;
        }
        const { tasks } = await client.listTasks({ jobId: note.jobId, pageSize: 1_000 });
        for (const task of tasks) {
            note.finalStates.set(task.taskId, task.state);
            if (task.state === TaskState.COMPLETED) {
                const { result } = await client.getResult({ taskId: task.taskId });
                note.wrongResults += result.startsWith(`${task.taskId} done`) ? 0 : 1;
            }
        }
    };

    const collect = async (giveUpAtMs: number): Promise<void> => {
        for (;;) {
            const open = jobs.filter(note => note.finalStates.size < note.tasks);
            if (open.length === 0 || clock.monotonicMs() > giveUpAtMs) {
                return;
            }
            await Promise.all(open.map(note => collectJob(note).catch(() => undefined)));
            await sleep(clock, retryPauseMs);
        }
    };

    return { jobs, requests, submitOne, sendOne, collect, close: () => agent.close() };
};
