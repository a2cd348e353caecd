/** Selects the less urgent runs of a worker to be stopped, with their checkpoint, to free capacity for a more urgent task. */

import { add, fits, type Resources } from "../../types/resources.js";
import { isPreemptible } from "./capacityView.js";
import { runPhases, type ShardRun } from "./jobModel.js";
import type { ShardWorker } from "./workerTable.js";

/**
 * Tells whether a run may be stopped for steps of a priority: it is running, less urgent, and can resume from its checkpoint.
 *
 * @example
 * if (isPreemptibleBy(run, 0)) { stop(run); }
 */
export const isPreemptibleBy = (run: ShardRun, priority: number): boolean => {
    const { step, done } = run.task;
    return run.phase === runPhases.running && !done && step.occurrence.job.queue.priority > priority
        && isPreemptible(step);
};

const priorityOf = ({ task }: ShardRun): number => task.step.occurrence.job.queue.priority;

/** Least urgent first, then largest first, so that few runs are stopped. */
const byCost = (left: ShardRun, right: ShardRun): number =>
    priorityOf(right) - priorityOf(left) || right.held.accelerators - left.held.accelerators
    || right.held.cpuMillis - left.held.cpuMillis;

const smallestSufficient = (runs: readonly ShardRun[], need: Resources, room: Resources): ShardRun | undefined => {
    let best: ShardRun | undefined;
    for (const run of runs) {
        const smaller = best === undefined || run.held.cpuMillis < best.held.cpuMillis;
        if (smaller && fits(need, add(room, run.held))) {
            best = run;
        }
    }
    return best;
};

const capacityAfterStops = (room: Resources, runs: readonly ShardRun[]): Resources =>
    runs.reduce((sum, run) => add(sum, run.held), room);

/**
 * Chooses the runs of a worker to be stopped for a task that needs `need`, where the capacity `room` is free. Returns the smallest
 * single run that suffices, or else several by urgency and size, none of them superfluous. Returns undefined where stopping every
 * preemptible run would not suffice.
 *
 * @example
 * const victims = chooseVictims(worker, { need, room, priority: 0 });
 */
export const chooseVictims = (
    worker: ShardWorker,
    { need, room, priority }: { readonly need: Resources; readonly room: Resources; readonly priority: number; },
): readonly ShardRun[] | undefined => {
    const preemptible = [...worker.runs.values()].filter(run => isPreemptibleBy(run, priority));
    const single = smallestSufficient(preemptible, need, room);
    if (single !== undefined) {
        return [single];
    }
    const chosen: ShardRun[] = [];
    for (const run of preemptible.sort(byCost)) {
        if (fits(need, capacityAfterStops(room, chosen))) {
            break;
        }
        chosen.push(run);
    }
    if (!fits(need, capacityAfterStops(room, chosen))) {
        return undefined;
    }
    // A less urgent run that was chosen early may be superfluous once a larger one was added.
    for (const run of [...chosen].reverse()) {
        const others = chosen.filter(other => other !== run);
        if (fits(need, capacityAfterStops(room, others))) {
            chosen.splice(chosen.indexOf(run), 1);
        }
    }
    return chosen;
};
