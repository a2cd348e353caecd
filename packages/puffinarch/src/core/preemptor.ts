/**
 * What a rack owner does about an offer that no worker has room for: it preempts less urgent attempts for an urgent task,
 * and earmarks a worker for a starved one.
 */

import type { TaskOffer } from "../types/peer.js";
import type { Clock, Meter } from "../types/ports.js";
import { fits, noResources } from "../types/resources.js";
import type { Attempts, OwnedWorker } from "./attempts.js";
import { type Earmarks, type Victim, victimsFor } from "./earmarks.js";
import type { Ledger } from "./ledger.js";

/** Tasks of this priority or a higher one may preempt less urgent ones. */
export const urgentPriority = 9;

/** Makes room for an offer that was refused; returns what it did as a reason for the decision, undefined if nothing. */
export type Preemptor = (offer: TaskOffer) => string | undefined;

/** Dependencies and settings of a preemptor. */
export interface PreemptorOptions {
    readonly clock: Clock;
    readonly meter: Meter;
    readonly ledger: Ledger;
    readonly earmarks: Earmarks;
    readonly attempts: Attempts;
    readonly workers: ReadonlyMap<string, OwnedWorker>;
    /** A task that has waited this long is starved. */
    readonly starvationMs: number;
    /** Called after a worker was earmarked, to close it for other tasks and open any worker whose earmark it replaced. */
    readonly onEarmarked: () => void;
    /** Saves a checkpoint of each attempt on the worker and stops it. */
    readonly stop: (worker: OwnedWorker, attemptIds: readonly string[]) => void;
}

interface Preemption {
    readonly worker: OwnedWorker;
    readonly victims: readonly Victim[];
}

const maxPreemptionCandidates = 64;

const preemptibleOn = (worker: OwnedWorker): readonly Victim[] =>
    [...worker.attempts].filter(attempt =>
        attempt.preemptible && attempt.state === "running" && !attempt.stopRequested
    );

/**
 * Creates the preemptor of a rack owner.
 *
 * @example
 * const reason = preemptOrEarmark(offer) ?? "no worker of these racks has room";
 */
export const createPreemptor = (options: PreemptorOptions): Preemptor => {
    const { clock, meter, ledger, earmarks, attempts, workers } = options;

    const earmarkFor = (offer: TaskOffer, worker: OwnedWorker): boolean => {
        const sinceMs = clock.monotonicMs() - offer.waitedMs;
        const earmarked = earmarks.add(offer.keepKey, worker.vm.vmId, workers.size, sinceMs);
        if (earmarked) {
            options.onEarmarked();
        }
        return earmarked;
    };

    /** The worker on which the fewest attempts have to be stopped, among the first 64 open ones. */
    const choosePreemption = (offer: TaskOffer): Preemption | undefined => {
        let fewestVictims: Preemption | undefined;
        let examined = 0;
        for (const worker of workers.values()) {
            const view = ledger.worker(worker.vm.vmId);
            if (examined === maxPreemptionCandidates) {
                break;
            }
            if (view?.open !== true) {
                continue;
            }
            examined += 1;
            const victims = victimsFor(offer.size, view.free, preemptibleOn(worker), offer.priority);
            if (victims !== undefined && victims.length < (fewestVictims?.victims.length ?? Infinity)) {
                fewestVictims = { worker, victims };
            }
        }
        return fewestVictims;
    };

    const preempt = (offer: TaskOffer): string | undefined => {
        const chosen = choosePreemption(offer);
        if (chosen === undefined || !earmarkFor(offer, chosen.worker)) {
            return undefined;
        }
        const attemptIds = chosen.victims.map(victim => victim.attemptId);
        for (const attemptId of attemptIds) {
            const attempt = attempts.find(attemptId);
            if (attempt !== undefined) {
                attempt.stopRequested = true;
            }
        }
        options.stop(chosen.worker, attemptIds);
        meter.count("preemptions", attemptIds.length);
        return `${attemptIds.length} less urgent tasks of ${chosen.worker.vm.vmId} are stopped for it`;
    };

    /**
     * Earmarks the open worker with the most free processors whose capacity is large enough, until enough of its attempts
     * have ended; otherwise smaller tasks would take the capacity that they free.
     */
    const earmarkForStarved = (offer: TaskOffer): string | undefined => {
        for (const view of ledger.emptiest(noResources)) {
            const worker = workers.get(view.workerId);
            if (worker !== undefined && fits(offer.size, view.capacity) && earmarkFor(offer, worker)) {
                meter.count("earmarks");
                return `${view.workerId} is earmarked for this task`;
            }
        }
        return undefined;
    };

    return offer => {
        const earmarked = earmarks.workersFor(offer.keepKey);
        if (earmarked.length > 0 && !offer.gang) {
            return `${earmarked.join(", ")} is earmarked for this task`;
        }
        const urgent = offer.priority >= urgentPriority ? preempt(offer) : undefined;
        return urgent ?? (offer.waitedMs >= options.starvationMs ? earmarkForStarved(offer) : undefined);
    };
};
