/**
 * Check for stalled tasks. A task is stalled if its job is accepted and the steps it depends on are done, it neither runs nor is
 * done, and workers that answer have room for it. The check uses only the store's rows and the records of the fake workers, not
 * the owner's view of its tasks.
 */

import {
    fits,
    formatTaskName,
    parseTaskName,
    reservedResources,
    type Resources,
    runEnds,
    type Step,
    subtract,
    type WorkerEntry,
} from "puffinarch";
import type { StartEvidence } from "./fencedWorkers.js";
import type { ShardCell } from "./shardCell.js";

/** State of a cell at one moment, as seen from outside the daemons. */
export interface SchedulingSnapshot {
    /** Jobs that are accepted and have not ended. */
    readonly jobs: readonly { readonly jobId: string; readonly steps: readonly Step[]; }[];
    readonly evidence: readonly StartEvidence[];
    /** Workers that are listed, not draining and free of faults. */
    readonly workers: readonly WorkerEntry[];
    /** Resources that a task holds while it runs. */
    readonly heldOf: (taskName: string) => Resources;
    /** Whether the advisor allows a step on a worker. */
    readonly isAllowed: (stepName: string, workerId: string) => boolean;
    /** Counts a task or gang as stalled only where this many of it fit; 1 where it is left out. */
    readonly roomFactor?: number;
}

/** How long a task may be stalled while there is no fault. */
export const stallLimitMs = 3_000;
/** How long the cell must have been free of faults before that time begins. */
export const faultFreeBeforeMs = 4_000;
/** Time after a claim in which runs that the former owner may have started end, and its leases expire. */
const formerOwnerRunsMs = 7_600;
/**
 * How long a task may be stalled in any case. It applies to cells in which a fault lasts, to tasks that are tried one at a time
 * after worker crashes, and to tasks of jobs that have other tasks running, which shortens the wait of the caller.
 */
const longestWaitMs = 14_000;

const freeResourcesByWorker = ({ workers, evidence, heldOf }: SchedulingSnapshot): ReadonlyMap<string, Resources> => {
    const freeByWorker = new Map(workers.map(({ workerId, capacity }) => [workerId, capacity]));
    for (const { workerId, taskName, endedAtMs } of evidence) {
        const room = freeByWorker.get(workerId);
        if (endedAtMs === undefined && room !== undefined) {
            freeByWorker.set(workerId, subtract(room, heldOf(taskName)));
        }
    }
    return freeByWorker;
};

/** Returns how many tasks of a step fit into the free resources of a worker, up to `limit`. */
const countFitting = (step: Step, room: Resources, runsOnWorker: number, limit: number): number => {
    const need = reservedResources(step);
    const allowed = step.maxPerWorker === 0 ? limit : Math.min(limit, step.maxPerWorker - runsOnWorker);
    let remaining = room;
    let count = 0;
    while (count < allowed && fits(need, remaining)) {
        remaining = subtract(remaining, need);
        count += 1;
    }
    return count;
};

/** Counts the live runs of each step on each worker; keys are `job.step@worker`. */
const countRuns = ({ evidence }: SchedulingSnapshot): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    for (const { taskName, workerId, endedAtMs } of evidence) {
        const name = parseTaskName(taskName);
        if (endedAtMs === undefined && name !== undefined) {
            const key = `${name.jobId}.${name.step}@${workerId}`;
            counts.set(key, (counts.get(key) ?? 0) + 1);
        }
    }
    return counts;
};

/**
 * Returns the names of the tasks that are stalled at this moment. The members of a gang are stalled where all of them fit at
 * once, on one worker or several. Preferred racks of a step are ignored.
 *
 * @example
 * findStalledTasks({ jobs, evidence, workers, heldOf, isAllowed: () => true });
 */
export const findStalledTasks = (snapshot: SchedulingSnapshot): readonly string[] => {
    const { roomFactor = 1 } = snapshot;
    const running = new Set<string>();
    const done = new Set<string>();
    for (const { taskName, endedAtMs, how } of snapshot.evidence) {
        if (endedAtMs === undefined) {
            running.add(taskName);
        }
        else if (how === runEnds.done) {
            done.add(taskName);
        }
    }
    const freeByWorker = freeResourcesByWorker(snapshot);
    const runs = countRuns(snapshot);
    const stalled: string[] = [];
    for (const { jobId, steps } of snapshot.jobs) {
        const namesOf = (step: number): readonly string[] =>
            Array.from(
                { length: steps[step]?.count ?? 0 },
                (_, index) => formatTaskName({ jobId, occurrence: 0, step, index }),
            );
        const isDone = (step: number): boolean =>
            steps[step]?.gang === true
                ? namesOf(step).some(name => done.has(name))
                : namesOf(step).every(name => done.has(name));
        for (const [number, step] of steps.entries()) {
            if (isDone(number) || !step.after.every(isDone)) {
                continue;
            }
            const limit = roomFactor * (step.gang ? step.count : 1);
            let fitting = 0;
            for (const { workerId, labels } of snapshot.workers) {
                const room = freeByWorker.get(workerId);
                const isAllowed = (step.requiredLabel === "" || labels.includes(step.requiredLabel))
                    && snapshot.isAllowed(`${jobId}.0.${number}`, workerId);
                if (room !== undefined && isAllowed) {
                    fitting += countFitting(
                        step,
                        room,
                        runs.get(`${jobId}.${number}@${workerId}`) ?? 0,
                        limit - fitting,
                    );
                }
            }
            if (fitting >= limit) {
                stalled.push(...namesOf(number).filter(name => !running.has(name) && !done.has(name)));
            }
        }
    }
    return stalled;
};

/**
 * Time until which tasks that are stalled since `sinceMs` may stay so. It is 3 s after the latest of three moments: `sinceMs`,
 * 4 s after the last fault, and 7.6 s after the owner's claim. A fault that lasts, or a missing owner, counts as of now.
 */
const stallDeadlineMs = (cell: ShardCell, sinceMs: number): number => {
    const nowMs = cell.clock.monotonicMs();
    const claimedAtMs = cell.owner() === undefined ? nowMs : cell.claimedAtMs();
    return stallLimitMs
        + Math.max(sinceMs, (cell.faultFreeSinceMs() ?? nowMs) + faultFreeBeforeMs, claimedAtMs + formerOwnerRunsMs);
};
const pollIntervalMs = 100;

/** Whether a worker has crashed while it ran the task, which may then have to wait to be tried alone, after others. */
const mayBeOnTrial = ({ workers }: ShardCell, taskName: string): boolean =>
    workers.evidence.some(start => start.taskName === taskName && start.how === "crashed");

/** Whether other tasks of its job are running; false for a long-running task, which counts by itself. */
const hasRunningSiblings = ({ workers, stepOf }: ShardCell, taskName: string): boolean => {
    const jobId = parseTaskName(taskName)?.jobId ?? "";
    return stepOf(taskName)?.longRunning !== true
        && workers.evidence.some(start => start.endedAtMs === undefined && start.taskName.startsWith(`${jobId}.`));
};

/**
 * Advances time until no task of the cell is stalled, or until stalled tasks have exceeded their time limit; returns those that
 * were stalled from the call on.
 *
 * @example
 * assert.deepEqual(await findPersistentlyStalledTasks(cell), []);
 */
export const findPersistentlyStalledTasks = async (cell: ShardCell): Promise<readonly string[]> => {
    const sinceMs = cell.clock.monotonicMs();
    let stalled = cell.standing();
    for (let passedMs = 0; passedMs < longestWaitMs && stalled.length > 0; passedMs += pollIntervalMs) {
        if (sinceMs + passedMs >= stallDeadlineMs(cell, sinceMs)) {
            const overdue = stalled.filter(name => !mayBeOnTrial(cell, name) && !hasRunningSiblings(cell, name));
            if (overdue.length > 0) {
                return overdue;
            }
        }
        await cell.clock.advance(pollIntervalMs);
        const stalledNow = new Set(cell.standing());
        stalled = stalled.filter(name => stalledNow.has(name));
    }
    return stalled;
};
