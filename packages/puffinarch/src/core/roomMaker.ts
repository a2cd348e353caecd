/** Room for work that finds none: less urgent attempts are stopped for urgent work, and workers kept free for starved work. */

import type { TaskOffer } from "../types/peer.js";
import type { Clock, Meter } from "../types/ports.js";
import { fits, noResources } from "../types/resources.js";
import type { Attempts, OwnedWorker } from "./attempts.js";
import { type Earmarks, type Victim, victimsFor } from "./earmarks.js";
import type { Ledger } from "./ledger.js";

/** Priority from which a class's tasks may have others stopped. */
export const urgentPriority = 9;

/** Makes room for an offer that was refused; answers what was done, or undefined. */
export type RoomMaker = (offer: TaskOffer) => string | undefined;

/** What a room maker needs. */
export interface RoomMakerOptions {
    readonly clock: Clock;
    readonly meter: Meter;
    readonly ledger: Ledger;
    readonly earmarks: Earmarks;
    readonly attempts: Attempts;
    readonly workers: ReadonlyMap<string, OwnedWorker>;
    readonly starvationMs: number;
    /** Runs after a worker was kept, so that others are closed or opened. */
    readonly onKept: () => void;
    /** Stops attempts of a worker with a checkpoint. */
    readonly stop: (worker: OwnedWorker, attemptIds: readonly string[]) => void;
}

interface Preemption {
    readonly worker: OwnedWorker;
    readonly victims: readonly Victim[];
}

const preemptionLooks = 64;

const victimsOn = (worker: OwnedWorker): readonly Victim[] =>
    [...worker.attempts].filter(attempt => attempt.preemptible && attempt.state === "running" && !attempt.stopWanted);

/**
 * Makes the room maker of a rack owner.
 *
 * @example
 * const reason = makeRoom(offer) ?? "no worker of these racks has room";
 */
export const createRoomMaker = (options: RoomMakerOptions): RoomMaker => {
    const { clock, meter, ledger, earmarks, attempts, workers } = options;

    const keepFree = (offer: TaskOffer, worker: OwnedWorker): boolean => {
        const sinceMs = clock.monotonicMs() - offer.waitedMs;
        const kept = earmarks.keep(offer.keepKey, worker.vm.vmId, workers.size, sinceMs);
        if (kept) {
            options.onKept();
        }
        return kept;
    };

    /** The worker where the fewest attempts have to give way. */
    const choosePreemption = (offer: TaskOffer): Preemption | undefined => {
        let best: Preemption | undefined;
        let looks = 0;
        for (const worker of workers.values()) {
            const view = ledger.worker(worker.vm.vmId);
            if (looks === preemptionLooks) {
                break;
            }
            if (view?.open !== true) {
                continue;
            }
            looks += 1;
            const victims = victimsFor(offer.size, view.free, victimsOn(worker), offer.priority);
            if (victims !== undefined && victims.length < (best?.victims.length ?? Infinity)) {
                best = { worker, victims };
            }
        }
        return best;
    };

    const preempt = (offer: TaskOffer): string | undefined => {
        const chosen = choosePreemption(offer);
        if (chosen === undefined || !keepFree(offer, chosen.worker)) {
            return undefined;
        }
        const attemptIds = chosen.victims.map(victim => victim.attemptId);
        for (const attemptId of attemptIds) {
            const attempt = attempts.find(attemptId);
            if (attempt !== undefined) {
                attempt.stopWanted = true;
            }
        }
        options.stop(chosen.worker, attemptIds);
        meter.count("preemptions", attemptIds.length);
        return `${attemptIds.length} less urgent tasks of ${chosen.worker.vm.vmId} are stopped for it`;
    };

    /** Keeps the worker with most room free until what runs there has ended, so that small tasks cannot take it all. */
    const keepForStarved = (offer: TaskOffer): string | undefined => {
        for (const view of ledger.emptiest(noResources)) {
            const worker = workers.get(view.workerId);
            if (worker !== undefined && fits(offer.size, view.capacity) && keepFree(offer, worker)) {
                meter.count("earmarks");
                return `${view.workerId} is kept free for it`;
            }
        }
        return undefined;
    };

    return offer => {
        const kept = earmarks.workersFor(offer.keepKey);
        if (kept.length > 0 && !offer.gang) {
            return `${kept.join(", ")} is kept free for it`;
        }
        const urgent = offer.priority >= urgentPriority ? preempt(offer) : undefined;
        return urgent ?? (offer.waitedMs >= options.starvationMs ? keepForStarved(offer) : undefined);
    };
};
