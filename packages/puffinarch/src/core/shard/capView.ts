/** Limits the starts of each step in one pass by the cap of its organisation, less what is reserved for more urgent steps. */

import { add, noResources, type Resources, scale } from "../../types/resources.js";
import { type Account, tasksUnderCap, usesHalfOfCap } from "./accounts.js";
import { maxBlockedMs } from "./blockedSteps.js";
import { reservedResources, type ShardStep, type ShardTask } from "./jobModel.js";

/** Gangs for which part of a cap is reserved although less than half of it is used, and the local time since which this is so. */
export type CapWaits = WeakMap<ShardStep, number>;

/** Caps and what is reserved of them during one pass. */
export interface CapView {
    /**
     * Gives the waiting tasks that the cap of their organisation allows to start, of a gang all or none. For a gang that does not
     * fit, its part of the cap is reserved, since later steps of the organisation would otherwise take each piece that becomes free.
     */
    allowed(step: ShardStep, waiting: readonly ShardTask[]): readonly ShardTask[];
    /** Reserves the cap for a number of a step's tasks that wait for capacity, so that later steps of the pass cannot use it. */
    reserve(step: ShardStep, count: number): void;
}

/**
 * Whether the cap may be reserved for a gang now. Jobs that do not run for 3 s while their organisation uses less than half of
 * its cap count as lost, so that below half other steps wait for less than that.
 */
const mayReserve = (step: ShardStep, waits: CapWaits, nowMs: number): boolean => {
    if (usesHalfOfCap(step.occurrence.job.account)) {
        waits.delete(step);
        return true;
    }
    const sinceMs = waits.get(step) ?? nowMs;
    waits.set(step, sinceMs);
    return nowMs - sinceMs < maxBlockedMs;
};

/**
 * Creates the view of one pass; `waits` is kept from pass to pass.
 *
 * @example
 * const caps = createCapView(clock.monotonicMs(), waits);
 * const startable = caps.allowed(step, step.tasks.filter(isWaiting));
 */
export const createCapView = (nowMs: number, waits: CapWaits): CapView => {
    const reserved = new Map<Account, Resources>();

    const reserve: CapView["reserve"] = ({ spec, occurrence }, count) => {
        const { account } = occurrence.job;
        reserved.set(account, add(reserved.get(account) ?? noResources, scale(reservedResources(spec), count)));
    };

    return {
        reserve,
        allowed: (step, waiting) => {
            const { account } = step.occurrence.job;
            const count = tasksUnderCap(account, reservedResources(step.spec), reserved.get(account));
            if (!step.spec.gang || count >= waiting.length) {
                return waiting.slice(0, count);
            }
            if (mayReserve(step, waits, nowMs)) {
                reserve(step, waiting.length);
            }
            return [];
        },
    };
};
