/** Which less urgent runs of a worker to stop, with their checkpoint, so that an urgent task finds room there. */

import { add, fits, type Resources } from "../../types/resources.js";
import { runPhases, type ShardRun } from "./jobBook.js";
import { isPreemptible } from "./roomView.js";
import type { ShardWorker } from "./workerTable.js";

/**
 * Tells whether a run gives way to steps of a priority: it is less urgent, and resumes from where it was stopped.
 *
 * @example
 * if (givesWay(run, 0)) { stop(run); }
 */
export const givesWay = (run: ShardRun, priority: number): boolean => {
    const { step, done } = run.task;
    return run.phase === runPhases.running && !done && step.occurrence.job.queue.priority > priority
        && isPreemptible(step);
};

const priorityOf = ({ task }: ShardRun): number => task.step.occurrence.job.queue.priority;

/** The least urgent first, and the largest first among equals, so that few are stopped. */
const byCost = (left: ShardRun, right: ShardRun): number =>
    priorityOf(right) - priorityOf(left) || right.held.accelerators - left.held.accelerators
    || right.held.cpuMillis - left.held.cpuMillis;

const smallestAlone = (runs: readonly ShardRun[], need: Resources, room: Resources): ShardRun | undefined => {
    let best: ShardRun | undefined;
    for (const run of runs) {
        const smaller = best === undefined || run.held.cpuMillis < best.held.cpuMillis;
        if (smaller && fits(need, add(room, run.held))) {
            best = run;
        }
    }
    return best;
};

const sumOf = (room: Resources, runs: readonly ShardRun[]): Resources =>
    runs.reduce((sum, run) => add(sum, run.held), room);

/**
 * Chooses the runs of a worker whose stop gives room for a task: one alone where one suffices, else as few as possible;
 * undefined where stopping all that give way would not suffice.
 *
 * @example
 * const victims = chooseVictims(worker, { need, room, priority: 0 });
 */
export const chooseVictims = (
    worker: ShardWorker,
    { need, room, priority }: { readonly need: Resources; readonly room: Resources; readonly priority: number; },
): readonly ShardRun[] | undefined => {
    const able = [...worker.runs.values()].filter(run => givesWay(run, priority));
    const alone = smallestAlone(able, need, room);
    if (alone !== undefined) {
        return [alone];
    }
    const chosen: ShardRun[] = [];
    for (const run of able.sort(byCost)) {
        if (fits(need, sumOf(room, chosen))) {
            break;
        }
        chosen.push(run);
    }
    if (!fits(need, sumOf(room, chosen))) {
        return undefined;
    }
    // What was taken first may not be needed once larger ones are gone.
    for (const run of [...chosen].reverse()) {
        const others = chosen.filter(other => other !== run);
        if (fits(need, sumOf(room, others))) {
            chosen.splice(chosen.indexOf(run), 1);
        }
    }
    return chosen;
};
