/**
 * Tasks that stand: accepted, their turn has come, they neither run nor have ended, and a worker with room for them answers.
 * It is judged from the store's rows and the workers' evidence alone, so that no owner's own view of its tasks counts.
 */

import {
    add,
    fits,
    formatTaskName,
    heldBy,
    noResources,
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
}

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

/**
 * Names the tasks that stand at this moment. The members of a gang stand where one worker has room for all of them.
 *
 * @example
 * standingTasks({ jobs, evidence, workers, heldOf, isGood: () => true });
 */
export const standingTasks = (view: StandingView): readonly string[] => {
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
            const together = step.gang ? step.count : 1;
            const need = Array.from({ length: together }, () => heldBy(step)).reduce(add, noResources);
            const hasRoom = view.workers.some(({ workerId, labels }) =>
                (step.requiredLabel === "" || labels.includes(step.requiredLabel))
                && fits(need, rooms.get(workerId) ?? noResources) && view.isGood(`${jobId}.0.${number}`, workerId)
            );
            if (hasRoom) {
                standing.push(...namesOf(number).filter(name => !running.has(name) && !done.has(name)));
            }
        }
    }
    return standing;
};

/**
 * Once nothing is wrong, the longest wait is for the leases that a former owner may have renewed, 7.6 s, or for the 5 s for
 * which a task keeps off a worker that failed it, after a takeover; all else takes less.
 */
export const calmWaitMs = 14_000;
const lookMs = 100;

/**
 * Lets a cell go on until no task of it stands, for `calmWaitMs` at the most; gives those that stood all the time.
 *
 * @example
 * assert.deepEqual(await findStanding(cell), []);
 */
export const findStanding = async (cell: ShardCell): Promise<readonly string[]> => {
    let standing = cell.standing();
    for (let passedMs = 0; passedMs < calmWaitMs && standing.length > 0; passedMs += lookMs) {
        await cell.clock.advance(lookMs);
        const now = new Set(cell.standing());
        standing = standing.filter(name => now.has(name));
    }
    return standing;
};
