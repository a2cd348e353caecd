/** The configuration that operators change: policies, workload classes and quotas. */

import type { PlacementName } from "../plugins/placements.js";
import type { WorkloadKind } from "./job.js";

/** A named way to place tasks. */
export interface Policy {
    readonly name: string;
    readonly placement: PlacementName;
    readonly sampleSize: number;
}

/** A named kind of work. */
export interface WorkloadClass {
    readonly name: string;
    readonly kind: WorkloadKind;
    readonly policy: string;
    /** 0 to 9; a higher one is placed first. */
    readonly priority: number;
}

/** What a team's running tasks may hold at once. */
export interface Quota {
    readonly team: string;
    readonly cpuMillis: number;
    readonly memoryMib: number;
}

/** What operators write. */
export interface ConfigurationDocument {
    readonly policies: readonly Policy[];
    readonly workloadClasses: readonly WorkloadClass[];
    readonly quotas: readonly Quota[];
}

/** An accepted version. */
export interface Configuration {
    readonly version: number;
    readonly document: ConfigurationDocument;
    readonly author: string;
    readonly reason: string;
    readonly acceptedAtMs: number;
}

/** Who changes what was seen, and why. */
export interface ChangeContext {
    readonly expectedVersion: number;
    readonly author: string;
    readonly reason: string;
}
