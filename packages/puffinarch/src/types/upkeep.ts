/** Upkeep, which is planned maintenance of the VMs that the workers run on: the operator's requests and the platform's calls. */

/** The operator's request for the upkeep of a set of VMs. */
export interface UpkeepWave {
    readonly number: number;
    readonly vmIds: readonly string[];
    /** Time from the request until the upkeep of every VM must have begun. */
    readonly deadlineMs: number;
    /** Maximum number of VMs of the wave that may be down for upkeep at the same time. */
    readonly atOnce: number;
}

/** States of a wave, as reported to the operator. */
export const waveStates = { running: "running", completed: "completed" } as const;
/** One of `waveStates`. */
export type WaveState = (typeof waveStates)[keyof typeof waveStates];

/** States of a VM; only one that is `up` accepts an upkeep order. */
export const vmStates = { up: "up", moving: "moving", upkeep: "upkeep", down: "down" } as const;
/** One of `vmStates`. */
export type VmState = (typeof vmStates)[keyof typeof vmStates];

/** A VM as the platform lists it. */
export interface VmEntry {
    readonly vmId: string;
    readonly state: VmState;
    /** Id of the worker that runs on it; empty for none. */
    readonly workerId: string;
}

/** Order to begin the upkeep of one VM, which ends all its running tasks. */
export interface UpkeepOrder {
    readonly vmId: string;
    /** Number of the wave. */
    readonly wave: number;
    /** Id of the daemon that owns the shard. */
    readonly holderId: string;
    readonly fencingToken: number;
}

/**
 * How the platform answered an upkeep order. `done`: the upkeep has begun, through this order or an earlier copy of it. `fenced`: the
 * platform has received a higher fencing token. `busy`: the VM is not up, or is about to leave. `invalid`: the order does not match
 * the wave or the VM. `refused`: the platform takes no order at present. `unknown`: the upkeep may have begun, or may still begin.
 */
export const upkeepOutcomes = {
    done: "done",
    fenced: "fenced",
    busy: "busy",
    invalid: "invalid",
    refused: "refused",
    unknown: "unknown",
} as const;
/** One of `upkeepOutcomes`. */
export type UpkeepOutcome = (typeof upkeepOutcomes)[keyof typeof upkeepOutcomes];

/** The platform's calls for the VMs that workers run on. */
export interface VmPort {
    /** Lists all VMs; fails with the kind `unavailable`. */
    list(): Promise<readonly VmEntry[]>;
    /** Never rejects: an order without an answer resolves with `unknown`. */
    upkeep(order: UpkeepOrder): Promise<UpkeepOutcome>;
}
