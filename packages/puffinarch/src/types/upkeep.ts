/** Upkeep of the VMs under the workers: what the operator asks for, and the platform's calls. */

/** A request that each of these VMs has its upkeep in time, with few of them down at once. */
export interface UpkeepWave {
    readonly number: number;
    readonly vmIds: readonly string[];
    /** Milliseconds from the request to the time by which all must have begun. */
    readonly deadlineMs: number;
    /** Most VMs of the wave that may be down for it at once. */
    readonly atOnce: number;
}

/** States of a wave as the operator is shown them. */
export const waveStates = { running: "running", completed: "completed" } as const;
/** One of `waveStates`. */
export type WaveState = (typeof waveStates)[keyof typeof waveStates];

/** States of a VM. */
export const vmStates = { up: "up", moving: "moving", upkeep: "upkeep", down: "down" } as const;
/** One of `vmStates`. */
export type VmState = (typeof vmStates)[keyof typeof vmStates];

/** A VM as the platform lists it. */
export interface VmEntry {
    readonly vmId: string;
    readonly state: VmState;
    /** The worker that is its present incarnation; empty for none. */
    readonly workerId: string;
}

/** Orders the upkeep of one VM, which ends all that runs there. */
export interface UpkeepOrder {
    readonly vmId: string;
    readonly wave: number;
    readonly holderId: string;
    readonly fencingToken: number;
}

/**
 * How the platform answered. `done`: it has begun, now or earlier. `busy`: the VM is not up, or leaves. `unknown`: it may
 * begin, now or later.
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

/** The platform's calls for VMs. */
export interface VmPort {
    /** All VMs; fails with `unavailable`. */
    list(): Promise<readonly VmEntry[]>;
    /** Never rejects: what is not known is `unknown`. */
    upkeep(order: UpkeepOrder): Promise<UpkeepOutcome>;
}
