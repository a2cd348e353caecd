/** What the caps of organisations leave to each step during one pass, beside what is meant for the steps before it. */

import { add, noResources, type Resources, scale } from "../../types/resources.js";
import { type Account, tasksUnderCap, usesHalfOfCap } from "./accounts.js";
import { holdPatienceMs } from "./blockedSteps.js";
import { heldBy, type ShardStep, type ShardTask } from "./jobBook.js";

/** Gangs for which a cap is kept although under half of it is used, and the local time since which that is so. */
export type CapWaits = WeakMap<ShardStep, number>;

/** Caps as one pass sees them. */
export interface CapView {
    /**
     * The waiting tasks that the cap of their organisation lets start, of a gang all or none. The cap is kept for a gang that does not fit,
     * since the organisation's later steps would else take each piece of it that falls free.
     */
    allowed(step: ShardStep, waiting: readonly ShardTask[]): readonly ShardTask[];
    /** Keeps the cap for so many tasks of a step that wait for room, from the steps that follow. */
    keep(step: ShardStep, count: number): void;
}

/** A job counts as lost that stands for 3 s while its organisation uses less than half of its cap, so that others wait for less. */
const mayKeep = (step: ShardStep, waits: CapWaits, nowMs: number): boolean => {
    if (usesHalfOfCap(step.occurrence.job.account)) {
        waits.delete(step);
        return true;
    }
    const sinceMs = waits.get(step) ?? nowMs;
    waits.set(step, sinceMs);
    return nowMs - sinceMs < holdPatienceMs;
};

/**
 * Makes the view of one pass; the waits outlast it.
 *
 * @example
 * const caps = createCapView(clock.monotonicMs(), waits);
 * const startable = caps.allowed(step, step.tasks.filter(isWaiting));
 */
export const createCapView = (nowMs: number, waits: CapWaits): CapView => {
    const kept = new Map<Account, Resources>();

    const keep: CapView["keep"] = ({ spec, occurrence }, count) => {
        const { account } = occurrence.job;
        kept.set(account, add(kept.get(account) ?? noResources, scale(heldBy(spec), count)));
    };

    return {
        keep,
        allowed: (step, waiting) => {
            const { account } = step.occurrence.job;
            const count = tasksUnderCap(account, heldBy(step.spec), kept.get(account));
            if (!step.spec.gang || count >= waiting.length) {
                return waiting.slice(0, count);
            }
            if (mayKeep(step, waits, nowMs)) {
                keep(step, waiting.length);
            }
            return [];
        },
    };
};
