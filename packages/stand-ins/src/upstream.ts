/** Simulated upstream that enforces 8 slots and 64 connections, counts violations of both and records every request that ran. */

import { type Clock, sleep } from "puffinarch";

/** One run of a request; times are wall clock. */
export interface RequestRun {
    readonly requestId: string;
    readonly idempotent: boolean;
    readonly upstreamId: string;
    readonly startedAtMs: number;
    /** Undefined while the request runs. */
    readonly endedAtMs?: number;
}

/** Behaviour of a simulated request: the request's body, as JSON. */
export interface RequestScript {
    readonly workMs: number;
    /** Length of the padding in the answer. */
    readonly answerBytes: number;
}

/** Records that the upstream keeps, independent of the daemons' own metrics. */
export interface UpstreamEvidence {
    readonly upstreamId: string;
    readonly runs: readonly RequestRun[];
    /** Requests that arrived while all slots were in use. */
    readonly slotViolations: number;
    /** Connections that were opened over the limit. */
    readonly connectionViolations: number;
    /** Most slots in use at once. */
    readonly peakSlots: number;
    /** Wall time at which the upstream began to leave; undefined before. */
    readonly leavingSinceMs?: number;
}

/** A simulated upstream and its records. */
export interface UpstreamStandIn {
    readonly upstreamId: string;
    /** Runs a request and returns its answer as JSON; undefined, without a run, where all slots are in use. */
    run(requestId: string, idempotent: boolean, script: RequestScript): Promise<string | undefined>;
    /** Counts a new connection; false where it exceeds the limit. Each one counts until its `disconnect`. */
    connect(): boolean;
    disconnect(): void;
    /** Marks the upstream as leaving; it continues to run requests. */
    leave(): void;
    status(): { readonly leaving: boolean; readonly slotsInUse: number; };
    evidence(): UpstreamEvidence;
}

/** Most requests that an upstream runs at once. */
export const slotsPerUpstream = 8;
/** Most connections that an upstream accepts at once. */
export const connectionsPerUpstream = 64;

/**
 * Creates an upstream.
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
