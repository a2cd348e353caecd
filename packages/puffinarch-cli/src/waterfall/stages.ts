/** Divides the time of each job into stages, from its first refusal until callers can see its end. */

import type { LogLine } from "./readLog.js";

/** Stages of a job, in order; those from `advice` to `run` are sums over its steps. */
export const stageNames = ["refused", "advice", "room", "repeat", "run", "end"] as const;
/** One of `stageNames`. */
export type StageName = (typeof stageNames)[number];

/** What each stage measures, for the legend. */
export const stageMeanings: Readonly<Record<StageName, string>> = {
    refused: "from the first refusal of the job to its acceptance",
    advice: "from the time at which a step may start to the advisor's first answer",
    room: "from there to the first start of the task that ended last: tickets, room, the commit and the order",
    repeat: "earlier runs of that task, which failed, were lost, preempted or stopped",
    run: "last run of that task",
    end: "from the end of the last task until callers see the state of the job, with the commit",
};

/** Times of one job that has ended. */
export interface JobTimes {
    readonly jobId: string;
    readonly queue: string;
    /** Number of steps, and number of tasks in the widest step, such as `3 x 8`. */
    readonly shape: string;
    readonly state: string;
    /** Time from the first refusal, or from the acceptance if there was none, to the end. */
    readonly tookMs: number;
    /** Undefined if the log has none. */
    readonly objectiveMs: number | undefined;
    readonly stagesMs: Readonly<Record<StageName, number>>;
    /** The longest stage other than `run`. */
    readonly worst: StageName;
}

interface TaskTimes {
    firstPlacedMs: number;
    lastPlacedMs: number;
    endedMs: number;
}

interface StepTimes {
    advisedMs: number | undefined;
    readonly tasks: Map<string, TaskTimes>;
}

interface JobTrace {
    acceptedMs: number | undefined;
    refusedMs: number | undefined;
    queue: string;
    readonly steps: Map<string, StepTimes>;
    endedMs: number | undefined;
    state: string;
    objectiveMs: number | undefined;
}

/** Adds one line of the log to the trace of its job. */
type LineHandler = (traceOf: (jobId: string) => JobTrace, line: LogLine) => void;

const textField = (fields: LogLine["fields"], name: string): string => {
    const value = fields[name];
    return typeof value === "string" ? value : "";
};

const numberField = (fields: LogLine["fields"], name: string): number | undefined => {
    const value = fields[name];
    return typeof value === "number" ? value : undefined;
};

const stepOf = (trace: JobTrace, name: string): StepTimes => {
    const known = trace.steps.get(name);
    if (known !== undefined) {
        return known;
    }
    const created: StepTimes = { advisedMs: undefined, tasks: new Map() };
    trace.steps.set(name, created);
    return created;
};

/** Splits a task's name, `JOB.OCCURRENCE.STEP.INDEX`, into its job and its step, `JOB.OCCURRENCE.STEP`. */
const splitTask = (task: string): { readonly jobId: string; readonly step: string; } => ({
    jobId: task.slice(0, task.indexOf(".")),
    step: task.slice(0, task.lastIndexOf(".")),
});

/** Records placed runs, which a line lists as `INDEX#RUN`. */
const recordPlaced: LineHandler = (traceOf, { atMs, fields }) => {
    const step = textField(fields, "step");
    const { tasks } = stepOf(traceOf(step.slice(0, step.indexOf("."))), step);
    for (const run of textField(fields, "runs").split(" ")) {
        const index = run.slice(0, run.indexOf("#"));
        const task = tasks.get(index);
        if (task === undefined) {
            tasks.set(index, { firstPlacedMs: atMs, lastPlacedMs: atMs, endedMs: atMs });
        }
        else {
            task.lastPlacedMs = atMs;
        }
    }
};

const lineHandlers: Readonly<Record<string, LineHandler>> = {
    refused: (traceOf, { atMs, fields }) => {
        const path = textField(fields, "path");
        if (fields["method"] === "POST") {
            traceOf(path.slice(path.lastIndexOf("/") + 1)).refusedMs ??= atMs;
        }
    },
    jobAccepted: (traceOf, { atMs, fields }) => {
        const job = traceOf(textField(fields, "jobId"));
        job.acceptedMs ??= atMs;
        job.queue = textField(fields, "queue");
    },
    advice: (traceOf, { atMs, fields }) => {
        const step = textField(fields, "step");
        stepOf(traceOf(step.slice(0, step.indexOf("."))), step).advisedMs ??= atMs;
    },
    placed: recordPlaced,
    copied: recordPlaced,
    runEnded: (traceOf, { atMs, fields }) => {
        const name = textField(fields, "task");
        const { jobId, step } = splitTask(name);
        const task = stepOf(traceOf(jobId), step).tasks.get(name.slice(step.length + 1));
        if (task !== undefined && fields["how"] === "done") {
            task.endedMs = atMs;
        }
    },
    jobState: (traceOf, { atMs, fields }) => {
        const job = traceOf(textField(fields, "jobId"));
        const to = textField(fields, "to");
        if ((to === "completed" || to === "failed") && job.endedMs === undefined) {
            job.endedMs = atMs;
            job.state = to;
            job.objectiveMs = numberField(fields, "objectiveMs");
        }
    },
};

const emptyStages = (): Record<StageName, number> => ({ refused: 0, advice: 0, room: 0, repeat: 0, run: 0, end: 0 });

const lastEnded = (tasks: Iterable<TaskTimes>): TaskTimes | undefined => {
    let last: TaskTimes | undefined;
    for (const task of tasks) {
        if (last === undefined || task.endedMs > last.endedMs) {
            last = task;
        }
    }
    return last;
};

/**
 * Adds the stages of all steps and returns when the last step ended. Each step counts from the end of the step before it, so
 * that time in which steps run in parallel counts once.
 */
const addSteps = (trace: JobTrace, acceptedMs: number, stages: Record<StageName, number>): number => {
    let readyMs = acceptedMs;
    const steps = [...trace.steps.entries()].sort(([left], [right]) => left < right ? -1 : 1);
    for (const [, { advisedMs, tasks }] of steps) {
        const task = lastEnded(tasks.values());
        if (task === undefined || task.endedMs <= readyMs) {
            continue;
        }
        const advised = Math.min(Math.max(readyMs, advisedMs ?? readyMs), Math.max(readyMs, task.firstPlacedMs));
        const first = Math.max(advised, task.firstPlacedMs);
        const last = Math.max(first, task.lastPlacedMs);
        stages.advice += advised - readyMs;
        stages.room += first - advised;
        stages.repeat += last - first;
        stages.run += task.endedMs - last;
        readyMs = task.endedMs;
    }
    return readyMs;
};

const worstOf = (stages: Readonly<Record<StageName, number>>): StageName => {
    let worst: StageName = "room";
    for (const name of stageNames) {
        if (name !== "run" && stages[name] > stages[worst]) {
            worst = name;
        }
    }
    return worst;
};

const timesOf = (jobId: string, trace: JobTrace): JobTimes | undefined => {
    const { acceptedMs, endedMs } = trace;
    if (acceptedMs === undefined || endedMs === undefined) {
        return undefined;
    }
    const stages = emptyStages();
    stages.refused = trace.refusedMs === undefined ? 0 : Math.max(0, acceptedMs - trace.refusedMs);
    const lastEndMs = addSteps(trace, acceptedMs, stages);
    stages.end = Math.max(0, endedMs - lastEndMs);
    const widths = [...trace.steps.values()].map(step => step.tasks.size);
    return {
        jobId,
        queue: trace.queue,
        shape: `${widths.length} x ${Math.max(0, ...widths)}`,
        state: trace.state,
        tookMs: endedMs - Math.min(acceptedMs, trace.refusedMs ?? acceptedMs),
        objectiveMs: trace.objectiveMs,
        stagesMs: stages,
        worst: worstOf(stages),
    };
};

/**
 * Returns the times of all jobs whose acceptance and end are both in the log, slowest first.
 *
 * @example
 * const [slowest] = jobTimes(readLogs(["entry-1.log"]).lines);
 */
export const jobTimes = (lines: readonly LogLine[]): readonly JobTimes[] => {
    const traces = new Map<string, JobTrace>();
    const traceOf = (jobId: string): JobTrace => {
        const known = traces.get(jobId);
        if (known !== undefined) {
            return known;
        }
        const created: JobTrace = {
            acceptedMs: undefined,
            refusedMs: undefined,
            queue: "",
            steps: new Map(),
            endedMs: undefined,
            state: "",
            objectiveMs: undefined,
        };
        traces.set(jobId, created);
        return created;
    };
    for (const line of lines) {
        lineHandlers[line.event]?.(traceOf, line);
    }
    const jobs: JobTimes[] = [];
    for (const [jobId, each] of traces) {
        const times = timesOf(jobId, each);
        if (times !== undefined) {
            jobs.push(times);
        }
    }
    return jobs.sort((left, right) => right.tookMs - left.tookMs);
};
