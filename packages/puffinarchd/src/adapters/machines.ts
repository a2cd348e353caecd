/** HTTP adapters for workers and upstreams. */

import type { StartOutcome, UpstreamPort, UpstreamStatus, WorkerPort, WorkerReport } from "puffinarch";
import { bodyOf, type HttpClient } from "./http.js";

const okStatus = 200;

/**
 * Creates the adapter for workers.
 *
 * @example
 * const workers = createHttpWorkers(http);
 */
export const createHttpWorkers = (http: HttpClient): WorkerPort => ({
    start: async (address, order) => {
        const result = await http.call<{ readonly outcome: StartOutcome; }>("POST", `${address}/start`, order);
        if (result.kind === "answered" && result.status === okStatus) {
            return result.body.outcome;
        }
        return result.kind === "notDelivered" ? "refused" : "unknown";
    },
    poll: async (address, poll) => bodyOf(await http.call<WorkerReport>("POST", `${address}/poll`, poll), "worker"),
    stop: async (address, orders) => {
        bodyOf(await http.call("POST", `${address}/stop`, { orders }), "worker");
    },
    throttle: async (address, attemptId, cpuMillis) => {
        bodyOf(await http.call("POST", `${address}/throttle`, { attemptId, cpuMillis }), "worker");
    },
});

/**
 * Creates the adapter for the upstreams' status pages.
 *
 * @example
 * const upstreams = createHttpUpstreams(http);
 */
export const createHttpUpstreams = (http: HttpClient): UpstreamPort => ({
    status: async address => bodyOf(await http.call<UpstreamStatus>("GET", `${address}/status`), "upstream"),
});
