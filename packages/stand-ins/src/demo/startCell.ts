/** Starts one deployment: its stand-ins and daemons as separate processes. */

import type { Vm } from "puffinarch";
import { request } from "undici";
import { type Deployment, entryVms, upstreamVms, workerVms } from "./deployments.js";
import type { DemoDaemon, Processes } from "./processes.js";

/** A running deployment. */
export interface DemoCell {
    readonly deployment: Deployment;
    readonly platformAddress: string;
    readonly workersAddress: string;
    readonly upstreams: readonly Vm[];
    readonly daemons: readonly DemoDaemon[];
}

/**
 * Sends JSON to a stand-in by POST and ignores the answer.
 *
 * @example
 * await postJson(`${address}/control/leave`, {});
 */
export const postJson = async (url: string, body: unknown): Promise<void> => {
    const answer = await request(url, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    await answer.body.dump();
};

/**
 * Reads JSON from a stand-in by GET.
 *
 * @example
 * const evidence = await getJson<PlatformEvidence>(`${address}/control/evidence`);
 */
export const getJson = async <T>(url: string): Promise<T> => (await request(url)).body.json() as Promise<T>;

/**
 * Starts the stand-ins and the daemons of a deployment; resolves once the daemons are listening.
 *
 * @example
 * const cell = await startCell(processes, deployments[0]);
 */
export const startCell = async (processes: Processes, deployment: Deployment): Promise<DemoCell> => {
    const [platformAddress = ""] = await processes.startStandIns("platform", []);
    const [workersAddress = ""] = await processes.startStandIns("workers", workerVms(deployment, ""));
    const unaddressed = upstreamVms(deployment, Array.from({ length: deployment.upstreams }, () => ""));
    const upstreams = upstreamVms(deployment, await processes.startStandIns("upstreams", unaddressed));
    const entries = entryVms(deployment);
    await postJson(`${platformAddress}/control/vms`, {
        set: [...entries, ...workerVms(deployment, workersAddress), ...upstreams],
    });
    const daemons = await Promise.all(entries.map(vm => processes.startDaemon(vm, platformAddress)));
    return { deployment, platformAddress, workersAddress, upstreams, daemons };
};
