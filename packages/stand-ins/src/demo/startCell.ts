/** Starts one deployment as separate processes. */

import type { Vm } from "puffinarch";
import { request } from "undici";
import { type Deployment, entryVms, upstreamVms, workerVms } from "./deployments.js";
import type { DemoDaemon, Processes } from "./processes.js";

/** A deployment that runs. */
export interface DemoCell {
    readonly deployment: Deployment;
    readonly platformAddress: string;
    readonly workersAddress: string;
    readonly upstreams: readonly Vm[];
    readonly daemons: readonly DemoDaemon[];
}

/**
 * Posts JSON to a stand-in.
 *
 * @example
 * await post(`${address}/control/leave`, {});
 */
export const post = async (url: string, body: unknown): Promise<void> => {
    const answer = await request(url, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    await answer.body.dump();
};

/**
 * Reads JSON from a stand-in.
 *
 * @example
 * const evidence = await get<PlatformEvidence>(`${address}/control/evidence`);
 */
export const get = async <T>(url: string): Promise<T> => (await request(url)).body.json() as Promise<T>;

/**
 * Starts the stand-ins and the daemons of a deployment.
 *
 * @example
 * const cell = await startCell(processes, deployments[0]);
 */
export const startCell = async (processes: Processes, deployment: Deployment): Promise<DemoCell> => {
    const [platformAddress = ""] = await processes.startRole("platform", []);
    const [workersAddress = ""] = await processes.startRole("workers", workerVms(deployment, ""));
    const plain = upstreamVms(deployment, Array.from({ length: deployment.upstreams }, () => ""));
    const upstreams = upstreamVms(deployment, await processes.startRole("upstreams", plain));
    const entries = entryVms(deployment);
    await post(`${platformAddress}/control/vms`, {
        set: [...entries, ...workerVms(deployment, workersAddress), ...upstreams],
    });
    const daemons = await Promise.all(entries.map(vm => processes.startDaemon(vm, platformAddress)));
    return { deployment, platformAddress, workersAddress, upstreams, daemons };
};
