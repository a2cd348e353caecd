/** Counts of a daemon's own calls by what they are for: how many, and the bytes of their bodies each way. */

import type { Meter } from "../types/ports.js";

/** What calls are for whose traffic is counted. */
export const trafficPurposes = ["store", "workers", "members"] as const;
/** One of `trafficPurposes`. */
export type TrafficPurpose = (typeof trafficPurposes)[number];

/** Traffic of one purpose since the process started. Bytes are those of bodies; heads and connections come on top. */
export interface Traffic {
    readonly calls: number;
    readonly sentBytes: number;
    readonly receivedBytes: number;
}

const countersOf = (purpose: TrafficPurpose) => ({
    calls: `calls.${purpose}`,
    sentBytes: `sentBytes.${purpose}`,
    receivedBytes: `receivedBytes.${purpose}`,
});

/**
 * Adds traffic to a meter.
 *
 * @example
 * countTraffic(meter, "workers", { calls: 1, sentBytes: 96 });
 */
export const countTraffic = (meter: Meter, purpose: TrafficPurpose, added: Partial<Traffic>): void => {
    const counters = countersOf(purpose);
    for (const [field, by] of Object.entries(added)) {
        meter.count(counters[field as keyof Traffic], by);
    }
};

/**
 * Returns the traffic of a purpose that a meter has counted.
 *
 * @example
 * readTraffic(meter, "workers").sentBytes; // 96
 */
export const readTraffic = (meter: Meter, purpose: TrafficPurpose): Traffic => {
    const counters = countersOf(purpose);
    return {
        calls: meter.total(counters.calls),
        sentBytes: meter.total(counters.sentBytes),
        receivedBytes: meter.total(counters.receivedBytes),
    };
};
