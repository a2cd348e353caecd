/**
 * Tasks that stand: accepted, their turn has come, they neither run nor have ended, and workers with room for them answer.
 * It is judged from the store's rows and the workers' evidence alone, so that no owner's own view of its tasks counts.
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

/** What is seen of a cell from outside at one moment. */
export interface StandingView {
    /** Jobs that are accepted and have not ended. */
    readonly jobs: readonly { readonly jobId: string; readonly steps: readonly Step[]; }[];
    readonly evidence: readonly StartEvidence[];
    /** Workers that are listed, take new work and answer. */
    readonly workers: readonly WorkerEntry[];
    readonly heldOf: (taskName: string) => Resources;
    /** Whether the advisor allows a step on a worker. */
    readonly isGood: (stepName: string, workerId: string) => boolean;
    /** For how many times a task or gang there has to be room; once where it is left out. */
    readonly times?: number;
}

/** For how long a task may stand while nothing is wrong. */
export const standsMs = 3_000;
/** How long before that time nothing may have been wrong either. */
export const calmBeforeMs = 4_000;
/** Runs that a former owner may have begun are over by then, as are its leases. */
const formerLeasesMs = 7_600;
/**
 * The longest wait of all: for cells in which something is wrong still, tasks that are tried by themselves after crashes, and
 * tasks of jobs of which others are at work meanwhile, which lets their callers wait for less.
 */
const longestCalmWaitMs = 14_000;

const roomByWorker = ({ workers, evidence, heldOf }: StandingView): ReadonlyMap<string, Resources> => {
    const rooms = new Map(workers.map(({ workerId, capacity }) => [workerId, capacity]));
    for (const { workerId, taskName, endedAtMs } of evidence) {
        const room = rooms.get(workerId);
        if (endedAtMs === undefined && room !== undefined) {
            rooms.set(workerId, subtract(room, heldOf(taskName)));
        }
    }
    return rooms;
};

/** How many tasks of a step fit on a worker beside what is there; no more are asked after than `most`. */
const countFitting = (step: Step, room: Resources, runsHere: number, most: number): number => {
    const need = reservedResources(step);
    const allowed = step.maxPerWorker === 0 ? most : Math.min(most, step.maxPerWorker - runsHere);
    let left = room;
    let count = 0;
    while (count < allowed && fits(need, left)) {
        left = subtract(left, need);
        count += 1;
    }
    return count;
};

/** Live runs of each step on each worker. */
const countRuns = ({ evidence }: StandingView): ReadonlyMap<string, number> => {
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
 * Names the tasks that stand at this moment. The members of a gang stand where there is room for all of them at once, on
 * one worker or several; racks that a step would rather stay on do not matter.
 *
 * @example
 * standingTasks({ jobs, evidence, workers, heldOf, isGood: () => true });
 */
export const standingTasks = (view: StandingView): readonly string[] => {
    const { times = 1 } = view;
    const running = new Set<string>();
    const done = new Set<string>();
    for (const { taskName, endedAtMs, how } of view.evidence) {
        if (endedAtMs === undefined) {
            running.add(taskName);
        }
        else if (how === runEnds.done) {
            done.add(taskName);
        }
    }
    const rooms = roomByWorker(view);
    const runs = countRuns(view);
    const standing: string[] = [];
    for (const { jobId, steps } of view.jobs) {
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
            const most = times * (step.gang ? step.count : 1);
            let fitting = 0;
            for (const { workerId, labels } of view.workers) {
                const room = rooms.get(workerId);
                const isAllowed = (step.requiredLabel === "" || labels.includes(step.requiredLabel))
                    && view.isGood(`${jobId}.0.${number}`, workerId);
                if (room !== undefined && isAllowed) {
                    fitting += countFitting(
                        step,
                        room,
                        runs.get(`${jobId}.${number}@${workerId}`) ?? 0,
                        most - fitting,
                    );
                }
            }
            if (fitting >= most) {
                standing.push(...namesOf(number).filter(name => !running.has(name) && !done.has(name)));
            }
        }
    }
    return standing;
};

/**
 * Until when a task may go on to stand: for 3 s where the cell has been calm for 4 s, and by so much longer as it has to be
 * calm still, has no owner, or leases of a former owner may last.
 */
const standsUntilMs = (cell: ShardCell, sinceMs: number): number => {
    const nowMs = cell.clock.monotonicMs();
    const claimedAtMs = cell.owner() === undefined ? nowMs : cell.claimedAtMs();
    return standsMs + Math.max(sinceMs, (cell.calmSinceMs() ?? nowMs) + calmBeforeMs, claimedAtMs + formerLeasesMs);
};
const lookMs = 100;

/** Whether a worker has crashed under the task, so that it may have to be tried by itself, after others. */
const mayBeOnTrial = ({ workers }: ShardCell, taskName: string): boolean =>
    workers.evidence.some(start => start.taskName === taskName && start.how === "crashed");

/** Whether others of its job are at work; each task that lasts counts by itself. */
const isAccompanied = ({ workers, stepOf }: ShardCell, taskName: string): boolean => {
    const jobId = parseTaskName(taskName)?.jobId ?? "";
    return stepOf(taskName)?.longRunning !== true
        && workers.evidence.some(start => start.endedAtMs === undefined && start.taskName.startsWith(`${jobId}.`));
};

/**
 * Lets a cell go on until no task of it stands, for as long as one may at the most; gives those that stood all the time.
 *
 * @example
 * assert.deepEqual(await findStanding(cell), []);
 */
export const findStanding = async (cell: ShardCell): Promise<readonly string[]> => {
    const sinceMs = cell.clock.monotonicMs();
    let standing = cell.standing();
    for (let passedMs = 0; passedMs < longestCalmWaitMs && standing.length > 0; passedMs += lookMs) {
        if (sinceMs + passedMs >= standsUntilMs(cell, sinceMs)) {
            const late = standing.filter(name => !mayBeOnTrial(cell, name) && !isAccompanied(cell, name));
            if (late.length > 0) {
                return late;
            }
        }
        await cell.clock.advance(lookMs);
        const now = new Set(cell.standing());
        standing = standing.filter(name => now.has(name));
    }
    return standing;
};
