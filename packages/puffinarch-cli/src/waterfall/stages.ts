/** Where the time of each job went, from its first refusal to the moment at which callers see its end. */

import type { LogLine } from "./readLog.js";

/** Stages of a job, in their order; each step adds to those from advice to repeat. */
export const stageNames = ["refused", "advice", "room", "repeat", "run", "end"] as const;
/** One of `stageNames`. */
export type StageName = (typeof stageNames)[number];

/** What each stage counts. */
export const stageMeanings: Readonly<Record<StageName, string>> = {
    refused: "from the first refusal to the acceptance",
    advice: "a step's turn had come, and the advisor had not answered for the first time",
    room: "from there to the start of the task that ended last; tickets, room, the commit and the order are in it",
    repeat: "that task's runs before its last one: failed, lost, preempted or stopped",
    run: "that task's last run",
    end: "from the last end to the state that callers see; the commit is in it",
};

/** One job that has ended. */
export interface JobTimes {
    readonly jobId: string;
    readonly queue: string;
    /** Steps, and tasks of the widest one. */
    readonly shape: string;
    readonly state: string;
    readonly tookMs: number;
    /** Undefined where the log has none. */
    readonly objectiveMs: number | undefined;
    readonly stagesMs: Readonly<Record<StageName, number>>;
    /** The stage that cost most beside the runs. */
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

type Take = (trace: (jobId: string) => JobTrace, line: LogLine) => void;

const text = (fields: LogLine["fields"], name: string): string => {
    const value = fields[name];
    return typeof value === "string" ? value : "";
};

const number = (fields: LogLine["fields"], name: string): number | undefined => {
    const value = fields[name];
    return typeof value === "number" ? value : undefined;
};

const stepOf = (trace: JobTrace, name: string): StepTimes => {
    const known = trace.steps.get(name);
    if (known !== undefined) {
        return known;
    }
    const made: StepTimes = { advisedMs: undefined, tasks: new Map() };
    trace.steps.set(name, made);
    return made;
};

/** "ID.K.STEP.INDEX" in its step, "ID.K.STEP", and its job. */
const splitTask = (task: string): { readonly jobId: string; readonly step: string; } => ({
    jobId: task.slice(0, task.indexOf(".")),
    step: task.slice(0, task.lastIndexOf(".")),
});

const takePlaced: Take = (trace, { atMs, fields }) => {
    const step = text(fields, "step");
    const { tasks } = stepOf(trace(step.slice(0, step.indexOf("."))), step);
    for (const run of text(fields, "runs").split(" ")) {
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

const takers: Readonly<Record<string, Take>> = {
    refused: (trace, { atMs, fields }) => {
        const path = text(fields, "path");
        if (fields["method"] === "POST") {
            trace(path.slice(path.lastIndexOf("/") + 1)).refusedMs ??= atMs;
        }
    },
    jobAccepted: (trace, { atMs, fields }) => {
        const job = trace(text(fields, "jobId"));
        job.acceptedMs ??= atMs;
        job.queue = text(fields, "queue");
    },
    advice: (trace, { atMs, fields }) => {
        const step = text(fields, "step");
        stepOf(trace(step.slice(0, step.indexOf("."))), step).advisedMs ??= atMs;
    },
    placed: takePlaced,
    copied: takePlaced,
    runEnded: (trace, { atMs, fields }) => {
        const name = text(fields, "task");
        const { jobId, step } = splitTask(name);
        const task = stepOf(trace(jobId), step).tasks.get(name.slice(step.length + 1));
        if (task !== undefined && fields["how"] === "done") {
            task.endedMs = atMs;
        }
    },
    jobState: (trace, { atMs, fields }) => {
        const job = trace(text(fields, "jobId"));
        const to = text(fields, "to");
        if ((to === "completed" || to === "failed") && job.endedMs === undefined) {
            job.endedMs = atMs;
            job.state = to;
            job.objectiveMs = number(fields, "objectiveMs");
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

/** Walks the steps one after the other; steps that run side by side count up to the end of the later one. */
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
 * Gives the times of all jobs that a log shows from their acceptance to their end, the slowest first.
 *
 * @example
 * const [slowest] = jobTimes(readLogs(["entry-1.log"]).lines);
 */
export const jobTimes = (lines: readonly LogLine[]): readonly JobTimes[] => {
    const traces = new Map<string, JobTrace>();
    const trace = (jobId: string): JobTrace => {
        const known = traces.get(jobId);
        if (known !== undefined) {
            return known;
        }
        const made: JobTrace = {
            acceptedMs: undefined,
            refusedMs: undefined,
            queue: "",
            steps: new Map(),
            endedMs: undefined,
            state: "",
            objectiveMs: undefined,
        };
        traces.set(jobId, made);
        return made;
    };
    for (const line of lines) {
        takers[line.event]?.(trace, line);
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
