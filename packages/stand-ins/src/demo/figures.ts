/** Checks the scheduler's guarantees against the records of the stand-ins and callers; the daemons' own metrics are not used. */

import { TaskState } from "@puffinarch/schema";
import type { PlatformEvidence } from "../platform.js";
import { groupBy, tasksRunTwice } from "../runTwice.js";
import type { RequestRun, UpstreamEvidence } from "../upstream.js";
import type { Execution } from "../worker.js";
import type { JobRecord, RequestRecord } from "./callers.js";

/** Records of one deployment. */
export interface Observations {
    readonly jobs: readonly JobRecord[];
    readonly requests: readonly RequestRecord[];
    readonly executions: readonly Execution[];
    readonly overcommits: number;
    readonly upstreams: readonly UpstreamEvidence[];
    readonly platform: PlatformEvidence;
}

/** Figures that the demo prints; those in `violationCounters` must be 0. */
export interface DemoFigures {
    readonly tasksAccepted: number;
    /** Tasks that completed on a worker, whatever state was reported. */
    readonly tasksCompleted: number;
    /** Tasks reported as `MAY_HAVE_RUN` that completed on no worker. */
    readonly tasksMayHaveRun: number;
    /** Tasks of accepted jobs for which no daemon returned a final state. */
    readonly tasksUnanswered: number;
    /** Tasks that ran twice at a time, and at-most-once tasks that ran more than once. */
    readonly tasksRunTwice: number;
    /** Completed tasks whose result is not their own. */
    readonly wrongResults: number;
    /** Starts that exceeded the capacity of a worker. */
    readonly overcommits: number;
    readonly requestsSent: number;
    readonly requestsAnswered: number;
    readonly requestsCompleted: number;
    readonly requestsMayHaveRun: number;
    readonly requestsNotRun: number;
    /** Requests that received the answer of another request. */
    readonly requestsMisdelivered: number;
    readonly nonIdempotentRunTwice: number;
    /** Requests that an upstream ran although they were answered as not run. */
    readonly falseNotRun: number;
    readonly slotViolations: number;
    readonly connectionViolations: number;
    /** Requests that started on an upstream more than `leavingGraceMs` after it began to leave. */
    readonly lateWorkToLeaving: number;
    readonly tableWrites: number;
    readonly tableReads: number;
    readonly tableWritesPerTask: number;
    /** Wait of a task, from the first submission of its job to its first start. */
    readonly waitP50Ms: number;
    readonly waitP99Ms: number;
    readonly requestP50Ms: number;
    readonly requestP99Ms: number;
}

/** Figures that must be 0. */
export const violationCounters = [
    "tasksUnanswered",
    "tasksRunTwice",
    "wrongResults",
    "overcommits",
    "requestsMisdelivered",
    "nonIdempotentRunTwice",
    "falseNotRun",
    "slotViolations",
    "connectionViolations",
    "lateWorkToLeaving",
] as const satisfies readonly (keyof DemoFigures)[];

/** Daemons must stop sending requests to an upstream within this time after it begins to leave. */
const leavingGraceMs = 3_000;

const percentile = (values: readonly number[], percent: number): number => {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percent / 100))] ?? 0;
};

const taskWaitsMs = (
    jobs: readonly JobRecord[],
    byTask: ReadonlyMap<string, readonly Execution[]>,
): readonly number[] =>
    jobs.flatMap(job =>
        Array.from({ length: job.tasks }, (_none, index) => byTask.get(`${job.jobId}/${index}`)).flatMap(executions =>
            executions === undefined ? [] : [Math.min(...executions.map(each => each.startedAtMs)) - job.acceptedAtMs]
        )
    );

const isNotRun = (record: RequestRecord): boolean => record.answer === "notRun" || record.answer === "overloaded";

const countLateRuns = (upstream: UpstreamEvidence): number =>
    upstream.leavingSinceMs === undefined
        ? 0
        : upstream.runs.filter(run => run.startedAtMs > (upstream.leavingSinceMs ?? 0) + leavingGraceMs).length;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/**
 * Computes the demo's figures from the records of one deployment.
 *
 * @example
 * const figures = computeFigures(observations);
 */
export const computeFigures = (
    { jobs, requests, executions, overcommits, upstreams, platform }: Observations,
): DemoFigures => {
    const byTask = groupBy(executions, execution => execution.taskId);
    const atMostOnceJobs = new Set(jobs.filter(job => job.atMostOnce).map(job => job.jobId));
    const runs = groupBy(upstreams.flatMap(upstream => upstream.runs), (run: RequestRun) => run.requestId);
    const runsOf = (record: RequestRecord): number => runs.get(record.requestId)?.length ?? 0;
    const accepted = sum(jobs.map(job => job.tasks));
    const completedTasks = new Set(executions.filter(each => each.outcome === "completed").map(each => each.taskId));
    const states = jobs.flatMap(job => [...job.finalStates]);
    const mayHaveRun =
        states.filter(([taskId, state]) => state === TaskState.MAY_HAVE_RUN && !completedTasks.has(taskId)).length;
    const waitsMs = taskWaitsMs(jobs, byTask);
    const answered = requests.filter(record => record.answer !== undefined);
    const latenciesMs = answered.map(record => record.answeredAtMs - record.sentAtMs);
    return {
        tasksAccepted: accepted,
        tasksCompleted: completedTasks.size,
        tasksMayHaveRun: mayHaveRun,
        tasksUnanswered: accepted - states.length,
        tasksRunTwice: tasksRunTwice(executions, atMostOnceJobs).length,
        wrongResults: sum(jobs.map(job => job.wrongResults)),
        overcommits,
        requestsSent: requests.length,
        requestsAnswered: answered.length,
        requestsCompleted: answered.filter(record => record.answer === "completed").length,
        requestsMayHaveRun: answered.filter(record => record.answer === "mayHaveRun").length,
        requestsNotRun: answered.filter(isNotRun).length,
        requestsMisdelivered: requests.filter(record => record.misdelivered).length,
        nonIdempotentRunTwice: requests.filter(record => !record.idempotent && runsOf(record) > 1).length,
        falseNotRun: requests.filter(record => isNotRun(record) && runsOf(record) > 0).length,
        slotViolations: sum(upstreams.map(each => each.slotViolations)),
        connectionViolations: sum(upstreams.map(each => each.connectionViolations)),
        lateWorkToLeaving: sum(upstreams.map(countLateRuns)),
        tableWrites: platform.writes,
        tableReads: platform.reads,
        tableWritesPerTask: accepted === 0 ? 0 : platform.writes / accepted,
        waitP50Ms: percentile(waitsMs, 50),
        waitP99Ms: percentile(waitsMs, 99),
        requestP50Ms: percentile(latenciesMs, 50),
        requestP99Ms: percentile(latenciesMs, 99),
    };
};

/**
 * Lists the violated guarantees; empty where all held.
 *
 * @example
 * listViolations(figures); // []
 */
export const listViolations = (figures: DemoFigures): readonly string[] => {
    const violations: string[] = violationCounters.filter(name => figures[name] !== 0).map(name =>
        `${name} is ${figures[name]}`
    );
    if (figures.tasksCompleted + figures.tasksMayHaveRun !== figures.tasksAccepted) {
        violations.push("tasksCompleted + tasksMayHaveRun differs from tasksAccepted");
    }
    if (figures.requestsAnswered !== figures.requestsSent) {
        violations.push("requestsAnswered differs from requestsSent");
    }
    return violations;
};
