/**
 * A review of all accepted tasks: each runs, has ended, or waits for a named event for a bounded time. Most of what brings
 * a task on is told by events; the review finds those that an event has missed, and tells from the log what others wait for.
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
} from "./jobBook.js";
import type { Placing } from "./placing.js";
import {
    countStands,
    describeAvoided,
    isDue,
    type StandCounts,
    type TaskWait,
    taskWaitOf,
    waitBoundsMs,
    workerStands,
} from "./taskWait.js";
import type { ShardWorker } from "./workerTable.js";

/** What a review needs. */
export interface TaskReviewOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly jobs: ReadonlyMap<string, ShardJob>;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly placing: Pick<Placing, "consider" | "holds">;
}

/** Reviews the tasks of a shard. */
export interface TaskReview {
    /** Looks at every accepted task; gives the number of steps that the placing had lost. */
    run(): number;
    /** The same, with a line on how all tasks stand: for a new owner that has just learnt what its workers run. */
    runFirst(): void;
}

/** A task that waits, and the local time at which a review first found it so. */
interface Waiting {
    readonly task: ShardTask;
    readonly sinceMs: number;
}

/** Only the steps whose tasks have waited longest are looked into: each costs a look at every worker. */
const mostExplained = 12;
/** Lines on lost steps in one review. */
const mostForgotten = 10;
/** Tasks that are named with their reason in a line. */
const mostNamed = 3;
/** No reason has a shorter bound, so that what has waited for less is not looked into. */
const shortestBoundMs = Math.min(...Object.values(waitBoundsMs));

interface Explained extends Waiting {
    readonly waitedMs: number;
    readonly wait: TaskWait;
    readonly counts: StandCounts;
}

const showCounts = (counts: StandCounts): string =>
    workerStands.filter(stand => counts[stand] > 0).map(stand => `${stand} ${counts[stand]}`).join(" ");

const countBy = (waits: readonly TaskWait[]): string => {
    const counts = new Map<TaskWait, number>();
    for (const wait of waits) {
        counts.set(wait, (counts.get(wait) ?? 0) + 1);
    }
    return [...counts].map(([wait, count]) => `${wait} ${count}`).join(" ");
};

/**
 * Makes the review of a shard's tasks.
 *
 * @example
 * const review = createTaskReview({ clock, log, meter, jobs, workers, placing });
 * review.run();
 */
export const createTaskReview = (options: TaskReviewOptions): TaskReview => {
    const { clock, log, meter, jobs, workers, placing } = options;
    let known = new Map<ShardTask, Waiting>();

    /** Puts a ready step whose waiting tasks the placing does not hold back into it. */
    const recover = (step: ShardStep, found: number): number => {
        if (placing.holds(step) || !step.tasks.some(isWaiting)) {
            return 0;
        }
        if (found < mostForgotten) {
            log.write("warn", "stepForgotten", {
                step: stepNameOf(step),
                waiting: step.tasks.filter(isWaiting).length,
            });
        }
        meter.count("stepsForgotten");
        placing.consider(step.occurrence.job);
        return 1;
    };

    const explain = (waiting: Waiting, nowMs: number): Explained => {
        const counts = countStands(waiting.task.step, { workers, nowMs });
        return {
            ...waiting,
            waitedMs: nowMs - waiting.sinceMs,
            wait: taskWaitOf(waiting.task, counts, { workers, nowMs }),
            counts,
        };
    };

    /** The task that has waited longest, of each step. */
    const longestOfSteps = (nowMs: number): readonly Waiting[] => {
        const byStep = new Map<ShardStep, Waiting>();
        for (const waiting of known.values()) {
            const { step } = waiting.task;
            const longer = waiting.sinceMs < (byStep.get(step)?.sinceMs ?? Infinity);
            if (longer && nowMs - waiting.sinceMs > shortestBoundMs) {
                byStep.set(step, waiting);
            }
        }
        return [...byStep.values()].sort((left, right) => left.sinceMs - right.sinceMs);
    };

    const showWait = ({ task, wait, waitedMs, counts }: Explained, nowMs: number): string => {
        const avoided = describeAvoided(task, { workers, nowMs });
        const parts = [`${task.name}: ${wait} for ${Math.round(waitedMs)} ms`, showCounts(counts), avoided];
        return parts.filter(part => part !== "").join("; ");
    };

    const tellLongest = (nowMs: number): void => {
        const longest = longestOfSteps(nowMs).slice(0, mostExplained).map(waiting => explain(waiting, nowMs));
        const late = longest.filter(({ wait, waitedMs }) => waitedMs > waitBoundsMs[wait]);
        if (late.length === 0) {
            return;
        }
        log.write("warn", "taskWaits", {
            waiting: known.size,
            lateSteps: countBy(late.map(({ wait }) => wait)),
            longest: late.slice(0, mostNamed).map(each => showWait(each, nowMs)).join(" | "),
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
                    if (isDue(task)) {
                        next.set(task, known.get(task) ?? { task, sinceMs: nowMs });
                    }
                }
            }
        }
        known = next;
        tellLongest(nowMs);
        return forgotten;
    };

    return {
        run,
        runFirst: () => {
            const forgotten = run();
            log.write("info", "tasksReviewed", { jobs: jobs.size, waiting: known.size, forgotten });
        },
    };
};
