/**
 * Logs once a second how late an owner is, how many starts it holds back and how many cores are free meanwhile. Together they tell
 * whether tasks wait for capacity, for the store or for the owner itself.
 */

import type { Clock, Log, Meter } from "../../types/ports.js";
import { readTraffic, type TrafficPurpose, trafficPurposes } from "../../utils/traffic.js";
import type { StartQueueLoad } from "./startQueue.js";
import { freeCapacityOf, isOpen, type ShardWorker } from "./workerTable.js";

/** Dependencies of the report. */
export interface LoadReportOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    /** How late timers fire, in ms, on average over about a second. */
    readonly lagMs: () => number;
    /** Starts that are planned and not sent, and how many more may be planned; those of gangs are not counted. */
    readonly planned: () => { readonly starts: number; readonly free: number; };
    readonly queue: () => StartQueueLoad;
    /** How long the commit in progress has waited for the store, in ms; 0 where there is none. */
    readonly stalledMs: () => number;
    readonly workers: ReadonlyMap<string, ShardWorker>;
}

/** Report of one owner's load. */
export interface LoadReport {
    /** Records a scheduling pass. */
    recordPass(tookMs: number): void;
    /** Logs the load since the last call where steps wait to be placed. */
    write(waitingSteps: number): void;
}

const millisPerCore = 1_000;
const bytesPerKilobyte = 1_000;

const inKilobytes = (bytes: number): string => (bytes / bytesPerKilobyte).toFixed(1);

/** Returns a function that describes the traffic of a purpose since its last call: the calls, and kilobytes sent and received. */
const followTraffic = (meter: Meter, purpose: TrafficPurpose): () => string => {
    let last = readTraffic(meter, purpose);
    return () => {
        const before = last;
        last = readTraffic(meter, purpose);
        const sentKb = inKilobytes(last.sentBytes - before.sentBytes);
        const receivedKb = inKilobytes(last.receivedBytes - before.receivedBytes);
        return `${last.calls - before.calls} calls ${sentKb}/${receivedKb} kB`;
    };
};

/**
 * Creates the report of an owner that has done nothing yet.
 *
 * @example
 * const report = createLoadReport({ clock, log, meter, lagMs, planned, queue, stalledMs, workers });
 * report.recordPass(3);
 * report.write(12);
 */
export const createLoadReport = (options: LoadReportOptions): LoadReport => {
    const { clock, log, meter, workers } = options;
    let passes = 0;
    let passesMs = 0;
    const trafficFields = trafficPurposes.map(purpose => [`${purpose}Traffic`, followTraffic(meter, purpose)] as const);

    const openCapacity = (): { readonly openWorkers: number; readonly freeCores: number; } => {
        const nowMs = clock.monotonicMs();
        let openWorkers = 0;
        let freeMillis = 0;
        for (const worker of workers.values()) {
            if (isOpen(worker, nowMs)) {
                openWorkers += 1;
                freeMillis += Math.max(0, freeCapacityOf(worker).cpuMillis);
            }
        }
        return { openWorkers, freeCores: Math.round(freeMillis / millisPerCore) };
    };

    return {
        recordPass: tookMs => {
            passes += 1;
            passesMs += tookMs;
            meter.record("passMs", tookMs);
        },
        write: waitingSteps => {
            const traffic = Object.fromEntries(trafficFields.map(([field, sinceLast]) => [field, sinceLast()]));
            if (waitingSteps > 0) {
                const { starts: plannedStarts, free: freeStarts } = options.planned();
                const { queued, inFlight, inFlightLimit } = options.queue();
                log.write("info", "ownerLoad", {
                    waitingSteps,
                    lagMs: Math.round(options.lagMs()),
                    passes,
                    passesMs: Math.round(passesMs),
                    plannedStarts,
                    freeStarts,
                    queuedStarts: queued,
                    startsInFlight: inFlight,
                    startsInFlightLimit: Math.floor(inFlightLimit),
                    commitStalledMs: Math.round(options.stalledMs()),
                    ...openCapacity(),
                    ...traffic,
                });
            }
            passes = 0;
            passesMs = 0;
        },
    };
};
