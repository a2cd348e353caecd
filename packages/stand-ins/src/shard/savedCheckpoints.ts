/** Checkpoints that the tasks of the fake workers save while they run, and the check of those that starts carry. */

import { type Clock, parseTaskName } from "puffinarch";
import type { StartEvidence } from "./fencedWorkers.js";

/** Which tasks save checkpoints while they run, and how often. */
export interface Saving {
    /** Working time from one checkpoint to the next. */
    readonly intervalMs: number;
    readonly saves: (taskName: string) => boolean;
    /** Least length of a checkpoint; no padding where it is left out. */
    readonly length?: number | undefined;
}

/** A checkpoint that a run has saved. */
export interface SavedCheckpoint {
    readonly taskName: string;
    readonly savedAtMs: number;
}

/** The checkpoints that runs have saved so far, by value; each value is unique. */
export interface SavedCheckpoints {
    readonly all: ReadonlyMap<string, SavedCheckpoint>;
    /** Saves the progress of a run and returns the checkpoint's value. */
    save(run: Pick<StartEvidence, "taskName" | "run">): string;
    /** Saves repeatedly from now on, passing each value to `onSaved`; returns the function that ends it. */
    saveRepeatedly(run: Pick<StartEvidence, "taskName" | "run">, onSaved: (checkpoint: string) => void): () => void;
}

/** How much later than the member before it each member of a gang saves. */
const memberDelayMs = 40;

/**
 * Creates the record of saved checkpoints.
 *
 * @example
 * const saved = createSavedCheckpoints(clock, { intervalMs: 500, saves: () => true });
 * saved.save({ taskName: "5c0e7a21d94b36f8.0.0.1", run: 2 }); // "5c0e7a21d94b36f8.0.0.1#2/1"
 */
export const createSavedCheckpoints = (clock: Clock, { intervalMs, saves, length = 0 }: Saving): SavedCheckpoints => {
    const all = new Map<string, SavedCheckpoint>();
    const save: SavedCheckpoints["save"] = ({ taskName, run }) => {
        const checkpoint = `${taskName}#${run}/${all.size + 1}`.padEnd(length, ".");
        all.set(checkpoint, { taskName, savedAtMs: clock.monotonicMs() });
        return checkpoint;
    };
    return {
        all,
        save: run => saves(run.taskName) ? save(run) : "",
        saveRepeatedly: (run, onSaved) => {
            if (!saves(run.taskName)) {
                return () => {};
            }
            let cancel = (): void => {};
            const scheduleSave = (delayMs: number): void => {
                cancel = clock.setTimer(delayMs, () => {
                    onSaved(save(run));
                    scheduleSave(intervalMs);
                });
            };
            scheduleSave(intervalMs + memberDelayMs * (parseTaskName(run.taskName)?.index ?? 0));
            return () => cancel();
        },
    };
};

const shown = (checkpoint: string): string => checkpoint === "" ? "none" : checkpoint;

/**
 * Violations in the checkpoints that starts carried: a value that neither the task nor a member of its gang had saved before, or different
 * values for members of one gang under one run number. `gangOf` returns the name of a task's gang; undefined for a task in no gang.
 *
 * @example
 * findCheckpointBreaches(workers.evidence, { saved: workers.savedCheckpoints, gangOf: () => undefined });
 */
export const findCheckpointBreaches = (
    evidence: readonly StartEvidence[],
    { saved, gangOf }: {
        readonly saved: ReadonlyMap<string, SavedCheckpoint>;
        readonly gangOf: (taskName: string) => string | undefined;
    },
): readonly string[] => {
    const breaches: string[] = [];
    const firstOfRun = new Map<string, StartEvidence>();
    for (const start of evidence) {
        const { taskName, run, checkpoint, startedAtMs } = start;
        const gang = gangOf(taskName);
        const source = saved.get(checkpoint);
        const isOwn = source !== undefined && source.savedAtMs <= startedAtMs
            && (source.taskName === taskName || gang !== undefined && gangOf(source.taskName) === gang);
        if (checkpoint !== "" && !isOwn) {
            breaches.push(`${taskName}, run ${run}, started from ${checkpoint}, which is not a checkpoint of it`);
        }
        if (gang === undefined) {
            continue;
        }
        const first = firstOfRun.get(`${gang}#${run}`);
        if (first === undefined) {
            firstOfRun.set(`${gang}#${run}`, start);
        }
        else if (first.checkpoint !== checkpoint) {
            breaches.push(
                `run ${run} of the gang ${gang} started from different checkpoints: ${first.taskName} from ${
                    shown(first.checkpoint)
                }, ${taskName} from ${shown(checkpoint)}`,
            );
        }
    }
    return breaches;
};
