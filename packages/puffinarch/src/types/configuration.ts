/** The configuration that operators edit: policies, workload classes and quotas. */

import type { PlacementName } from "../plugins/placements.js";
import type { WorkloadKind } from "./job.js";

/** A named placement policy. */
export interface Policy {
    readonly name: string;
    readonly placement: PlacementName;
    /** Number of workers that the placement `randomOfK` samples; the others ignore it. */
    readonly sampleSize: number;
}

/** A named class of jobs, with its placement policy and priority. */
export interface WorkloadClass {
    readonly name: string;
    readonly kind: WorkloadKind;
    /** Name of the placement policy. */
    readonly policy: string;
    /** 0 to 9; tasks of a higher priority are placed first. */
    readonly priority: number;
}

/** Limit on the resources of a team's running tasks. */
export interface Quota {
    readonly team: string;
    readonly cpuMillis: number;
    readonly memoryMib: number;
}

/** The content of a configuration, as operators write it. */
export interface ConfigurationDocument {
    readonly policies: readonly Policy[];
    readonly workloadClasses: readonly WorkloadClass[];
    readonly quotas: readonly Quota[];
}

/** An accepted version of the configuration. */
export interface Configuration {
    readonly version: number;
    readonly document: ConfigurationDocument;
    readonly author: string;
    readonly reason: string;
    readonly acceptedAtMs: number;
}

/** Author and reason of a change of the configuration, and the version that it is based on. */
export interface ChangeContext {
    /** The change is refused with the kind `conflict` where this is not the current version. */
    readonly expectedVersion: number;
    readonly author: string;
    readonly reason: string;
}
