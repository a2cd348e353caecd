/**
 * Workers that are kept free for one task: a large one that small ones would starve, or an urgent one that others were
 * stopped for. Bounded in number and time, so that a task which never comes back holds nothing for long.
 */

import type { Clock } from "../types/ports.js";
import { add, fits, type Resources } from "../types/resources.js";

/** The workers that are kept, by what they are kept for: a task, or a whole gang. */
export interface Earmarks {
    workersFor(keepKey: string): readonly string[];
    isKept(workerId: string): boolean;
    /**
     * Keeps a worker for work that waits since then. False where too many workers are kept already for work that waits
     * as long: the oldest work wins everywhere, so that two gangs do not hold half of the workers each.
     */
    keep(keepKey: string, workerId: string, workers: number, sinceMs: number): boolean;
    /** Answers the workers that are free again. */
    release(keepKey: string): readonly string[];
    /** Releases what was kept too long. */
    expire(): void;
}

/** What earmarks need. */
export interface EarmarksOptions {
    readonly clock: Clock;
    readonly keptMs: number;
    /** One worker in this many may be kept; at least one. */
    readonly oneInWorkers: number;
}

interface Kept {
    readonly keepKey: string;
    readonly sinceMs: number;
    readonly untilMs: number;
}

const clearlyOlderMs = 500;

/**
 * Makes the earmarks of one rack owner.
 *
 * @example
 * earmarks.keep("barrier-plan/0", "w1", 8, 0); // true
 */
export const createEarmarks = ({ clock, keptMs, oneInWorkers }: EarmarksOptions): Earmarks => {
    const byWorker = new Map<string, Kept>();

    const workersFor = (keepKey: string): readonly string[] =>
        [...byWorker].filter(([, kept]) => kept.keepKey === keepKey).map(([workerId]) => workerId);

    /** Lets go of the worker that is kept for the youngest work, where that is younger. */
    const makePlace = (keepKey: string, sinceMs: number): boolean => {
        const others = [...byWorker].filter(([, kept]) => kept.keepKey !== keepKey);
        const [youngest] = others.sort(([, left], [, right]) => right.sinceMs - left.sinceMs);
        if (youngest === undefined || youngest[1].sinceMs <= sinceMs + clearlyOlderMs) {
            return false;
        }
        return byWorker.delete(youngest[0]);
    };

    return {
        workersFor,
        isKept: workerId => byWorker.has(workerId),
        keep: (keepKey, workerId, workers, sinceMs) => {
            const most = Math.max(1, Math.floor(workers / oneInWorkers));
            if (byWorker.has(workerId) || (byWorker.size >= most && !makePlace(keepKey, sinceMs))) {
                return false;
            }
            byWorker.set(workerId, { keepKey, sinceMs, untilMs: clock.monotonicMs() + keptMs });
            return true;
        },
        release: keepKey => {
            const released = workersFor(keepKey);
            released.forEach(workerId => byWorker.delete(workerId));
            return released;
        },
        expire: () => {
            for (const [workerId, kept] of byWorker) {
                if (clock.monotonicMs() >= kept.untilMs) {
                    byWorker.delete(workerId);
                }
            }
        },
    };
};

/** An attempt that could be stopped. */
export interface Victim {
    readonly attemptId: string;
    readonly size: Resources;
    readonly priority: number;
}

/**
 * Chooses the fewest and least urgent attempts whose end makes room on a worker; undefined where that is not enough.
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
    const lower = attempts.filter(attempt => attempt.priority < priority)
        .sort((left, right) => left.priority - right.priority || right.size.cpuMillis - left.size.cpuMillis);
    const chosen: Victim[] = [];
    let room = free;
    for (const victim of lower) {
        if (fits(size, room)) {
            break;
        }
        chosen.push(victim);
        room = add(room, victim.size);
    }
    return fits(size, room) ? chosen : undefined;
};
