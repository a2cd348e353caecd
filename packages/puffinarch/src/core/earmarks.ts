/**
 * Earmarks: workers that accept no task but one, or the tasks of one gang. They serve a large task that smaller ones would
 * starve, and an urgent one for which attempts were preempted. Earmarks are limited in number and expire, so that a task
 * which is never offered again does not block a worker for long.
 */

import type { Clock } from "../types/ports.js";
import { add, fits, type Resources } from "../types/resources.js";

/** The earmarked workers. A `keepKey` is the id of the task, or the job id of the gang, that a worker is earmarked for. */
export interface Earmarks {
    workersFor(keepKey: string): readonly string[];
    isEarmarked(workerId: string): boolean;
    /**
     * Earmarks a worker for work that has waited since `sinceMs` on the monotonic clock, given the owner's number of
     * workers. At the limit it replaces the earmark of the work that has waited least, if that has waited at least 500 ms less;
     * otherwise it returns false. All owners prefer the oldest work, so that two gangs do not hold half of the workers each.
     */
    add(keepKey: string, workerId: string, workers: number, sinceMs: number): boolean;
    /** Removes the earmarks for this key; returns their workers. */
    release(keepKey: string): readonly string[];
    /** Removes the earmarks that have expired. */
    expire(): void;
}

/** Dependencies and settings of `createEarmarks`. */
export interface EarmarksOptions {
    readonly clock: Clock;
    /** Lifetime of an earmark. */
    readonly earmarkMs: number;
    /** One worker in this many may be earmarked, but always at least one. */
    readonly workersPerEarmark: number;
}

interface Earmark {
    readonly keepKey: string;
    readonly sinceMs: number;
    readonly untilMs: number;
}

const minAgeAdvantageMs = 500;

/**
 * Creates the earmarks of one rack owner.
 *
 * @example
 * earmarks.add("barrier-plan/0", "w1", 8, 0); // true
 */
export const createEarmarks = ({ clock, earmarkMs, workersPerEarmark }: EarmarksOptions): Earmarks => {
    const earmarksByWorker = new Map<string, Earmark>();

    const workersFor = (keepKey: string): readonly string[] =>
        [...earmarksByWorker].filter(([, earmark]) => earmark.keepKey === keepKey).map(([workerId]) => workerId);

    /** Removes the earmark of the work that has waited least; false if that has waited nearly as long or longer. */
    const evictYoungest = (keepKey: string, sinceMs: number): boolean => {
        const others = [...earmarksByWorker].filter(([, earmark]) => earmark.keepKey !== keepKey);
        const [youngest] = others.sort(([, left], [, right]) => right.sinceMs - left.sinceMs);
        if (youngest === undefined || youngest[1].sinceMs <= sinceMs + minAgeAdvantageMs) {
            return false;
        }
        return earmarksByWorker.delete(youngest[0]);
    };

    return {
        workersFor,
        isEarmarked: workerId => earmarksByWorker.has(workerId),
        add: (keepKey, workerId, workers, sinceMs) => {
            const maxEarmarks = Math.max(1, Math.floor(workers / workersPerEarmark));
            if (
                earmarksByWorker.has(workerId)
                || (earmarksByWorker.size >= maxEarmarks && !evictYoungest(keepKey, sinceMs))
            ) {
                return false;
            }
            earmarksByWorker.set(workerId, { keepKey, sinceMs, untilMs: clock.monotonicMs() + earmarkMs });
            return true;
        },
        release: keepKey => {
            const released = workersFor(keepKey);
            released.forEach(workerId => earmarksByWorker.delete(workerId));
            return released;
        },
        expire: () => {
            for (const [workerId, earmark] of earmarksByWorker) {
                if (clock.monotonicMs() >= earmark.untilMs) {
                    earmarksByWorker.delete(workerId);
                }
            }
        },
    };
};

/** An attempt that may be preempted. */
export interface Victim {
    readonly attemptId: string;
    readonly size: Resources;
    readonly priority: number;
}

/**
 * Chooses attempts of lower priority to stop until `size` fits on a worker with `free` left: the least urgent first, and
 * the largest first within a priority. Undefined if it does not fit even without all of them.
 *
 * @example
 * victimsFor(size, free, attempts, 9)?.map(victim => victim.attemptId);
 */
export const victimsFor = (
    size: Resources,
    free: Resources,
    attempts: readonly Victim[],
    priority: number,
): readonly Victim[] | undefined => {
    const lessUrgent = attempts.filter(attempt => attempt.priority < priority)
        .sort((left, right) => left.priority - right.priority || right.size.cpuMillis - left.size.cpuMillis);
    const chosen: Victim[] = [];
    let room = free;
    for (const victim of lessUrgent) {
        if (fits(size, room)) {
            break;
        }
        chosen.push(victim);
        room = add(room, victim.size);
    }
    return fits(size, room) ? chosen : undefined;
};
