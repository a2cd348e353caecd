/** Promises checked against what the stand-ins saw; the daemons' word counts for nothing here. */

import { TaskState } from "@puffinarch/schema";
import type { PlatformEvidence } from "../platform.js";
import { groupBy, tasksRunTwice } from "../runTwice.js";
import type { RequestRun, UpstreamEvidence } from "../upstream.js";
import type { Execution } from "../worker.js";
import type { JobNote, RequestNote } from "./callers.js";

/** What was seen in one deployment. */
export interface Seen {
    readonly jobs: readonly JobNote[];
    readonly requests: readonly RequestNote[];
    readonly executions: readonly Execution[];
    readonly overcommits: number;
    readonly upstreams: readonly UpstreamEvidence[];
    readonly platform: PlatformEvidence;
}

/** The demo's figures; the ones that must be 0 are listed in `breachCounters`. */
export interface Verdict {
    readonly tasksAccepted: number;
    readonly tasksCompleted: number;
    readonly tasksMayHaveRun: number;
    readonly tasksUnanswered: number;
    readonly tasksRunTwice: number;
    readonly wrongResults: number;
    readonly overcommits: number;
    readonly requestsSent: number;
    readonly requestsAnswered: number;
    readonly requestsCompleted: number;
    readonly requestsMayHaveRun: number;
    readonly requestsNotRun: number;
    readonly requestsMisdelivered: number;
    readonly nonIdempotentRunTwice: number;
    readonly falseNotRun: number;
    readonly slotViolations: number;
    readonly connectionViolations: number;
    readonly lateWorkToLeaving: number;
    readonly tableWrites: number;
    readonly tableReads: number;
    readonly tableWritesPerTask: number;
    readonly waitP50Ms: number;
    readonly waitP99Ms: number;
    readonly requestP50Ms: number;
    readonly requestP99Ms: number;
}

/** Figures that must be 0. */
export const breachCounters = [
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
] as const satisfies readonly (keyof Verdict)[];

const leavingGraceMs = 3_000;

const percentile = (values: readonly number[], percent: number): number => {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percent / 100))] ?? 0;
};

const waits = (jobs: readonly JobNote[], byTask: ReadonlyMap<string, readonly Execution[]>): readonly number[] =>
    jobs.flatMap(job =>
        Array.from({ length: job.tasks }, (_none, index) => byTask.get(`${job.jobId}/${index}`)).flatMap(executions =>
            executions === undefined ? [] : [Math.min(...executions.map(each => each.startedAtMs)) - job.acceptedAtMs]
        )
    );

const isNotRun = (note: RequestNote): boolean => note.answer === "notRun" || note.answer === "overloaded";

const lateWork = (upstream: UpstreamEvidence): number =>
    upstream.leavingSinceMs === undefined
        ? 0
        : upstream.runs.filter(run => run.startedAtMs > (upstream.leavingSinceMs ?? 0) + leavingGraceMs).length;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/**
 * Counts what held and what broke.
 *
 * @example
 * const verdict = judge(seen);
 */
export const judge = ({ jobs, requests, executions, overcommits, upstreams, platform }: Seen): Verdict => {
    const byTask = groupBy(executions, execution => execution.taskId);
    const onceOnly = new Set(jobs.filter(job => job.atMostOnce).map(job => job.jobId));
    const runs = groupBy(upstreams.flatMap(upstream => upstream.runs), (run: RequestRun) => run.requestId);
    const runsOf = (note: RequestNote): number => runs.get(note.requestId)?.length ?? 0;
    const accepted = sum(jobs.map(job => job.tasks));
    const completedTasks = new Set(executions.filter(each => each.outcome === "completed").map(each => each.taskId));
    const states = jobs.flatMap(job => [...job.finalStates]);
    const mayHaveRun =
        states.filter(([taskId, state]) => state === TaskState.MAY_HAVE_RUN && !completedTasks.has(taskId)).length;
    const waited = waits(jobs, byTask);
    const answered = requests.filter(note => note.answer !== undefined);
    const latencies = answered.map(note => note.answeredAtMs - note.sentAtMs);
    return {
        tasksAccepted: accepted,
        tasksCompleted: completedTasks.size,
        tasksMayHaveRun: mayHaveRun,
        tasksUnanswered: accepted - states.length,
        tasksRunTwice: tasksRunTwice(executions, onceOnly).length,
        wrongResults: sum(jobs.map(job => job.wrongResults)),
        overcommits,
        requestsSent: requests.length,
        requestsAnswered: answered.length,
        requestsCompleted: answered.filter(note => note.answer === "completed").length,
        requestsMayHaveRun: answered.filter(note => note.answer === "mayHaveRun").length,
        requestsNotRun: answered.filter(isNotRun).length,
        requestsMisdelivered: requests.filter(note => note.misdelivered).length,
        nonIdempotentRunTwice: requests.filter(note => !note.idempotent && runsOf(note) > 1).length,
        falseNotRun: requests.filter(note => isNotRun(note) && runsOf(note) > 0).length,
        slotViolations: sum(upstreams.map(each => each.slotViolations)),
        connectionViolations: sum(upstreams.map(each => each.connectionViolations)),
        lateWorkToLeaving: sum(upstreams.map(lateWork)),
        tableWrites: platform.writes,
        tableReads: platform.reads,
        tableWritesPerTask: accepted === 0 ? 0 : platform.writes / accepted,
        waitP50Ms: percentile(waited, 50),
        waitP99Ms: percentile(waited, 99),
        requestP50Ms: percentile(latencies, 50),
        requestP99Ms: percentile(latencies, 99),
    };
};

/**
 * Lists the promises that broke; empty where all held.
 *
 * @example
 * breaches(verdict); // []
 */
export const breaches = (verdict: Verdict): readonly string[] => {
    const broken: string[] = breachCounters.filter(name => verdict[name] !== 0).map(name =>
        `${name} is ${verdict[name]}`
    );
    if (verdict.tasksCompleted + verdict.tasksMayHaveRun !== verdict.tasksAccepted) {
        broken.push("tasksCompleted + tasksMayHaveRun differs from tasksAccepted");
    }
    if (verdict.requestsAnswered !== verdict.requestsSent) {
        broken.push("requestsAnswered differs from requestsSent");
    }
    return broken;
};
