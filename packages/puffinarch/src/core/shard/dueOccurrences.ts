/**
 * Opens the occurrences of scheduled jobs once they are due, the oldest first. A schedule may have any number of occurrences that are due
 * already, so only as many are open as keep the workers busy; the others follow as these are placed.
 */

import type { Clock } from "../../types/ports.js";
import type { Schedule } from "../../types/work.js";
import {
    hasEnded,
    isWaiting,
    openOccurrence,
    type ShardJob,
    type ShardOccurrence,
    stepsOf,
    taskCount,
} from "./jobModel.js";

/** Dependencies and limits of the due occurrences. */
export interface DueOccurrencesOptions {
    readonly clock: Clock;
    readonly jobs: ReadonlyMap<string, ShardJob>;
    /** Most tasks of open occurrences that this process holds, over all jobs. */
    readonly maxHeldTasks: number;
    /** Whether this process is late, so that further occurrences of a job would delay others. */
    readonly isLate: () => boolean;
    /** Called when an occurrence of a job was opened. */
    readonly onOpened: (job: ShardJob) => void;
}

/** Opens due occurrences. */
export interface DueOccurrences {
    /** Opens those that are due now, within the limits. */
    open(): void;
}

/**
 * Most waiting tasks of scheduled jobs for which further occurrences of a job are opened beside its open ones. Checked every 100 ms, so
 * that up to ten times as many tasks start in a second while workers have room for them.
 */
const maxWaitingTasks = 100;
/** Memory of an occurrence and its job beside its tasks, in tasks. */
const occurrenceOverheadTasks = 3;

/**
 * Returns how many occurrences of a schedule are due.
 *
 * @example
 * countDue({ startAtMs: 1_000, intervalMs: 500, repeatCount: 10 }, 2_000); // 3
 */
export const countDue = ({ startAtMs, intervalMs, repeatCount }: Schedule, wallMs: number): number => {
    if (wallMs < startAtMs) {
        return 0;
    }
    return intervalMs === 0 ? repeatCount : Math.min(repeatCount, 1 + Math.floor((wallMs - startAtMs) / intervalMs));
};

/**
 * Returns the tasks that an occurrence of a job takes in memory, with the overhead of the occurrence.
 *
 * @example
 * heldTasksOf(job.submission.steps); // 43 for one step of 40 tasks
 */
export const heldTasksOf = (steps: readonly { readonly count: number; }[]): number =>
    occurrenceOverheadTasks + taskCount(steps);

/**
 * Returns the tasks that open occurrences of jobs take in memory.
 *
 * @example
 * countHeldTasks(jobs.values());
 */
export const countHeldTasks = (jobs: Iterable<ShardJob>): number => {
    let held = 0;
    for (const { occurrences, submission } of jobs) {
        held += occurrences.size === 0 ? 0 : occurrences.size * heldTasksOf(submission.steps);
    }
    return held;
};

const countWaitingTasks = (jobs: readonly ShardJob[]): number => {
    let waiting = 0;
    for (const job of jobs) {
        for (const { tasks } of stepsOf(job)) {
            waiting += tasks.filter(isWaiting).length;
        }
    }
    return waiting;
};

const hasOpen = ({ occurrences, doneOccurrences }: ShardJob): boolean =>
    [...occurrences.keys()].some(number => !doneOccurrences.has(number));

/** Returns the number of the oldest occurrence that is neither done nor open. */
const nextNumber = ({ occurrences, doneOccurrences }: ShardJob): number => {
    let number = doneOccurrences.firstMissing(0);
    while (occurrences.has(number)) {
        number = doneOccurrences.firstMissing(number + 1);
    }
    return number;
};

/**
 * Creates the opener of due occurrences.
 *
 * @example
 * const due = createDueOccurrences({ clock, jobs, maxHeldTasks: 50_000, isLate: () => false, onOpened: placer.updateJob });
 * due.open();
 */
export const createDueOccurrences = (options: DueOccurrencesOptions): DueOccurrences => {
    const { clock, jobs, maxHeldTasks, isLate, onOpened } = options;

    /** Opens the next due occurrence of a job; undefined where none is due. */
    const openNext = (job: ShardJob, wallMs: number): ShardOccurrence | undefined => {
        const number = nextNumber(job);
        if (number >= countDue(job.submission.schedule, wallMs)) {
            return undefined;
        }
        const occurrence = openOccurrence(job, number);
        onOpened(job);
        return occurrence;
    };

    return {
        open: () => {
            const wallMs = clock.nowMs();
            const scheduled = [...jobs.values()].filter(job =>
                job.submission.schedule.repeatCount > 0 && job.stored && !hasEnded(job)
            );
            if (scheduled.length === 0) {
                return;
            }
            let held = countHeldTasks(jobs.values());
            let waiting = countWaitingTasks(scheduled);
            /** One occurrence of each job in turn, so that a long backlog of one does not keep out the others. */
            let round = scheduled;
            while (round.length > 0) {
                round = round.filter(job => {
                    const { steps } = job.submission;
                    const tasks = taskCount(steps);
                    const isBesideOthers = hasOpen(job);
                    const isBusy = waiting > 0 && waiting + tasks > maxWaitingTasks || isLate();
                    if (held + heldTasksOf(steps) > maxHeldTasks || isBesideOthers && isBusy) {
                        return false;
                    }
                    if (openNext(job, wallMs) === undefined) {
                        return false;
                    }
                    held += heldTasksOf(steps);
                    waiting += tasks;
                    return true;
                });
            }
        },
    };
};
