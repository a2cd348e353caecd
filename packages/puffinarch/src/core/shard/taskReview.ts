/**
 * Reviews all accepted tasks: each runs, has ended, or waits for a named event for a bounded time. Events drive the placement
 * of tasks; the review finds steps for which an event was missed, and logs what tasks wait for beyond their bound.
 */

import type { Clock, Log, Meter } from "../../types/ports.js";
import {
    hasEnded,
    isReady,
    isWaiting,
    type ShardJob,
    type ShardStep,
    type ShardTask,
    stepNameOf,
    stepsOf,
} from "./jobModel.js";
import type { TaskPlacer } from "./taskPlacer.js";
import {
    type AvailabilityCounts,
    awaitsStart,
    countAvailabilities,
    describeAvoided,
    type TaskWait,
    taskWaitOf,
    waitBoundsMs,
    workerAvailabilities,
} from "./taskWait.js";
import type { ShardWorker } from "./workerTable.js";

/** What `createTaskReview` needs. */
export interface TaskReviewOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly jobs: ReadonlyMap<string, ShardJob>;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly taskPlacer: Pick<TaskPlacer, "updateJob" | "isQueued">;
}

/** Reviews the tasks of a shard. */
export interface TaskReview {
    /** Reviews every accepted task and hands steps that the task placer has lost back to it; returns their number. */
    run(): number;
    /** Does what `run` does, and logs how many tasks wait; called once all answering workers have reported their runs. */
    runAndReport(): void;
}

/** A task that waits, and the local time of the first review that found it waiting. */
interface Waiting {
    readonly task: ShardTask;
    readonly sinceMs: number;
}

/** Most steps of which the wait is explained in one review, longest first: each explanation checks every worker. */
const maxExplainedSteps = 12;
/** Most log lines in one review on steps that the task placer has lost. */
const maxForgottenLines = 10;
/** Most tasks that one log line names with their reason. */
const maxNamedTasks = 3;
/** The shortest bound of all reasons; tasks that have waited for less need no explanation. */
const shortestBoundMs = Math.min(...Object.values(waitBoundsMs));

interface ExplainedWait extends Waiting {
    readonly waitedMs: number;
    readonly wait: TaskWait;
    readonly counts: AvailabilityCounts;
}

const formatCounts = (counts: AvailabilityCounts): string =>
    workerAvailabilities.filter(stand => counts[stand] > 0).map(stand => `${stand} ${counts[stand]}`).join(" ");

const countBy = (waits: readonly TaskWait[]): string => {
    const counts = new Map<TaskWait, number>();
    for (const wait of waits) {
        counts.set(wait, (counts.get(wait) ?? 0) + 1);
    }
    return [...counts].map(([wait, count]) => `${wait} ${count}`).join(" ");
};

/**
 * Creates the review of a shard's tasks.
 *
 * @example
 * const review = createTaskReview({ clock, log, meter, jobs, workers, taskPlacer });
 * review.run();
 */
export const createTaskReview = (options: TaskReviewOptions): TaskReview => {
    const { clock, log, meter, jobs, workers, taskPlacer } = options;
    let waitingTasks = new Map<ShardTask, Waiting>();

    /**
     * Hands a ready step to the task placer again if tasks of it wait and its queue lacks it; returns 1 for such a
     * step, 0 otherwise.
     */
    const recover = (step: ShardStep, found: number): number => {
        if (taskPlacer.isQueued(step) || !step.tasks.some(isWaiting)) {
            return 0;
        }
        if (found < maxForgottenLines) {
            log.write("warn", "stepForgotten", {
                step: stepNameOf(step),
                waiting: step.tasks.filter(isWaiting).length,
            });
        }
        meter.count("stepsForgotten");
        taskPlacer.updateJob(step.occurrence.job);
        return 1;
    };

    const explain = (waiting: Waiting, nowMs: number): ExplainedWait => {
        const counts = countAvailabilities(waiting.task.step, { workers, nowMs });
        return {
            ...waiting,
            waitedMs: nowMs - waiting.sinceMs,
            wait: taskWaitOf(waiting.task, counts, { workers, nowMs }),
            counts,
        };
    };

    /** The task of each step that has waited longest, beyond the shortest bound; longest wait first. */
    const longestOfSteps = (nowMs: number): readonly Waiting[] => {
        const byStep = new Map<ShardStep, Waiting>();
        for (const waiting of waitingTasks.values()) {
            const { step } = waiting.task;
            const longer = waiting.sinceMs < (byStep.get(step)?.sinceMs ?? Infinity);
            if (longer && nowMs - waiting.sinceMs > shortestBoundMs) {
                byStep.set(step, waiting);
            }
        }
        return [...byStep.values()].sort((left, right) => left.sinceMs - right.sinceMs);
    };

    const formatWait = ({ task, wait, waitedMs, counts }: ExplainedWait, nowMs: number): string => {
        const avoided = describeAvoided(task, { workers, nowMs });
        const parts = [`${task.name}: ${wait} for ${Math.round(waitedMs)} ms`, formatCounts(counts), avoided];
        return parts.filter(part => part !== "").join("; ");
    };

    const logLateSteps = (nowMs: number): void => {
        const longest = longestOfSteps(nowMs).slice(0, maxExplainedSteps).map(waiting => explain(waiting, nowMs));
        const late = longest.filter(({ wait, waitedMs }) => waitedMs > waitBoundsMs[wait]);
        if (late.length === 0) {
            return;
        }
        log.write("warn", "taskWaits", {
            waiting: waitingTasks.size,
            lateSteps: countBy(late.map(({ wait }) => wait)),
            longest: late.slice(0, maxNamedTasks).map(each => formatWait(each, nowMs)).join(" | "),
        });
    };

    const run = (): number => {
        const nowMs = clock.monotonicMs();
        const next = new Map<ShardTask, Waiting>();
        let forgotten = 0;
        for (const job of jobs.values()) {
            if (hasEnded(job)) {
                continue;
            }
            for (const step of stepsOf(job)) {
                if (step.open === 0 || !isReady(step)) {
                    continue;
                }
                forgotten += recover(step, forgotten);
                for (const task of step.tasks) {
                    if (awaitsStart(task)) {
                        next.set(task, waitingTasks.get(task) ?? { task, sinceMs: nowMs });
                    }
                }
            }
        }
        waitingTasks = next;
        logLateSteps(nowMs);
        return forgotten;
    };

    return {
        run,
        runAndReport: () => {
            const forgotten = run();
            log.write("info", "tasksReviewed", { jobs: jobs.size, waiting: waitingTasks.size, forgotten });
        },
    };
};
