/** Stand-in for an upstream: 8 slots and 64 connections, both enforced and counted, and a record of what ran. */

import { type Clock, sleep } from "puffinarch";

/** One run of a request. */
export interface RequestRun {
    readonly requestId: string;
    readonly idempotent: boolean;
    readonly upstreamId: string;
    readonly startedAtMs: number;
    readonly endedAtMs?: number;
}

/** What a request asks the stand-in to do; the request's body, as JSON. */
export interface RequestScript {
    readonly workMs: number;
    readonly answerBytes: number;
}

/** Counts kept by the upstream itself. */
export interface UpstreamEvidence {
    readonly upstreamId: string;
    readonly runs: readonly RequestRun[];
    readonly slotViolations: number;
    readonly connectionViolations: number;
    readonly peakSlots: number;
    /** When it began to leave, on the wall clock. */
    readonly leavingSinceMs?: number;
}

/** One upstream. */
export interface UpstreamStandIn {
    readonly upstreamId: string;
    /** Undefined where every slot is taken; nothing ran then. */
    run(requestId: string, idempotent: boolean, script: RequestScript): Promise<string | undefined>;
    /** False where the connection is one too many. */
    connect(): boolean;
    disconnect(): void;
    leave(): void;
    status(): { readonly leaving: boolean; readonly slotsInUse: number; };
    evidence(): UpstreamEvidence;
}

/** Requests that an upstream runs at once. */
export const slotsPerUpstream = 8;
/** Connections that an upstream accepts. */
export const connectionsPerUpstream = 64;

/**
 * Makes an upstream.
 *
 * @example
 * const answer = await upstream.run("r-1", true, { workMs: 5, answerBytes: 100 });
 */
export const createUpstream = (clock: Clock, upstreamId: string): UpstreamStandIn => {
    const runs: RequestRun[] = [];
    let slotsInUse = 0;
    let connections = 0;
    let slotViolations = 0;
    let connectionViolations = 0;
    let peakSlots = 0;
    let leavingSinceMs: number | undefined;

    return {
        upstreamId,
        run: async (requestId, idempotent, { workMs, answerBytes }) => {
            if (slotsInUse >= slotsPerUpstream) {
                slotViolations += 1;
                return undefined;
            }
            slotsInUse += 1;
            peakSlots = Math.max(peakSlots, slotsInUse);
            const index = runs.push({ requestId, idempotent, upstreamId, startedAtMs: clock.nowMs() }) - 1;
            await sleep(clock, workMs);
            slotsInUse -= 1;
            const run = runs[index];
            if (run !== undefined) {
                runs[index] = { ...run, endedAtMs: clock.nowMs() };
            }
            return JSON.stringify({ requestId, upstreamId, filler: "x".repeat(answerBytes) });
        },
        connect: () => {
            connections += 1;
            if (connections > connectionsPerUpstream) {
                connectionViolations += 1;
                return false;
            }
            return true;
        },
        disconnect: () => {
            connections -= 1;
        },
        leave: () => {
            leavingSinceMs ??= clock.nowMs();
        },
        status: () => ({ leaving: leavingSinceMs !== undefined, slotsInUse }),
        evidence: () => ({ upstreamId, runs, slotViolations, connectionViolations, peakSlots, leavingSinceMs }),
    };
};
