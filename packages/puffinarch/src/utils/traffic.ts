/** Counts of a daemon's own calls by what they are for: how many, and the bytes of their bodies each way. */

import type { Meter } from "../types/ports.js";

/** What calls are for whose traffic is counted; those to the platform are for its store, its advisor and its VMs. */
export const trafficPurposes = ["platform", "workers", "members"] as const;
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

/** Names of the counters. They are not put together for each call, since an owner makes thousands a second. */
const counters = {
    platform: countersOf("platform"),
    workers: countersOf("workers"),
    members: countersOf("members"),
} as const satisfies Record<TrafficPurpose, Record<keyof Traffic, string>>;

/**
 * Counts a call that is sent with a body of this many bytes.
 *
 * @example
 * countCall(meter, "workers", 96);
 */
export const countCall = (meter: Meter, purpose: TrafficPurpose, sentBytes: number): void => {
    meter.count(counters[purpose].calls);
    meter.count(counters[purpose].sentBytes, sentBytes);
};

/**
 * Counts a part of an answer.
 *
 * @example
 * countReceived(meter, "workers", 210);
 */
export const countReceived = (meter: Meter, purpose: TrafficPurpose, receivedBytes: number): void =>
    meter.count(counters[purpose].receivedBytes, receivedBytes);

/**
 * Returns the traffic of a purpose that a meter has counted.
 *
 * @example
 * readTraffic(meter, "workers").sentBytes; // 96
 */
export const readTraffic = (meter: Meter, purpose: TrafficPurpose): Traffic => ({
    calls: meter.total(counters[purpose].calls),
    sentBytes: meter.total(counters[purpose].sentBytes),
    receivedBytes: meter.total(counters[purpose].receivedBytes),
});
