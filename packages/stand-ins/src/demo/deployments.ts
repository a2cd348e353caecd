/** The two deployments that the demo simulates, in their current sizes. */

import type { Resources, Vm } from "puffinarch";

/** Size of one user's cell. */
export interface Deployment {
    readonly name: string;
    readonly service: string;
    readonly dataCentres: readonly string[];
    readonly daemons: number;
    readonly workers: number;
    readonly upstreams: number;
    readonly workersPerRack: number;
    readonly capacity: Resources;
    readonly teams: readonly string[];
}

/** `bajio` is the consortium's cell, `accra` is Akuafo's. */
export const deployments: readonly Deployment[] = [
    {
        name: "bajio",
        service: "mesa-comun",
        dataCentres: ["leon-feria", "qro-arena", "gto-plaza"],
        daemons: 7,
        workers: 30,
        upstreams: 30,
        workersPerRack: 8,
        capacity: { cpuMillis: 16_000, memoryMib: 32_768, accelerators: 1 },
        teams: ["rigging", "barriers", "load-in"],
    },
    {
        name: "accra",
        service: "claims-core",
        dataCentres: ["accra-a", "accra-b", "accra-c"],
        daemons: 7,
        workers: 30,
        upstreams: 30,
        workersPerRack: 8,
        capacity: { cpuMillis: 32_000, memoryMib: 65_536, accelerators: 0 },
        teams: ["policies", "assessments"],
    },
];

const dataCentreOf = (deployment: Deployment, index: number): string =>
    deployment.dataCentres[index % deployment.dataCentres.length] ?? "";

/**
 * Lists the workers of a deployment, spread over its data centres and racks, with addresses below a base URL.
 *
 * @example
 * workerVms(deployments[0], "http://127.0.0.1:7001").length; // 30
 */
export const workerVms = (deployment: Deployment, address: string): readonly Vm[] =>
    Array.from({ length: deployment.workers }, (_none, index) => {
        const dataCentre = dataCentreOf(deployment, index);
        const indexInDataCentre = Math.floor(index / deployment.dataCentres.length);
        const vmId = `${dataCentre}-w${indexInDataCentre}`;
        return {
            vmId,
            role: "worker",
            dataCentre,
            address: `${address}/workers/${vmId}`,
            leaving: false,
            rack: `r${Math.floor(indexInDataCentre / deployment.workersPerRack)}`,
            capacity: deployment.capacity,
        };
    });

/**
 * Lists one upstream for each address, spread over the deployment's data centres.
 *
 * @example
 * upstreamVms(deployments[0], ["http://127.0.0.1:7002"]).length; // 1
 */
export const upstreamVms = (deployment: Deployment, addresses: readonly string[]): readonly Vm[] =>
    addresses.map((address, index) => {
        const dataCentre = dataCentreOf(deployment, index);
        return {
            vmId: `${dataCentre}-u${Math.floor(index / deployment.dataCentres.length)}`,
            role: "upstream",
            dataCentre,
            address,
            leaving: false,
            service: deployment.service,
        };
    });

/**
 * Lists the entry VMs of a deployment; their addresses are empty, as the daemons choose their ports.
 *
 * @example
 * entryVms(deployments[0]).length; // 7
 */
export const entryVms = (deployment: Deployment): readonly Vm[] =>
    Array.from({ length: deployment.daemons }, (_none, index) => {
        const dataCentre = dataCentreOf(deployment, index);
        return {
            vmId: `${dataCentre}-entry${Math.floor(index / deployment.dataCentres.length)}`,
            role: "entry",
            dataCentre,
            address: "",
            leaving: false,
        };
    });
