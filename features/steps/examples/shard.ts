/** Examples of the modules of a shard; each example uses one module by itself. */

import { shardIncarnationExamples } from "./shardIncarnations.js";
import { shardJobExamples } from "./shardJobs.js";
import { shardOwnerExamples } from "./shardOwners.js";
import { shardPlacementExamples } from "./shardPlacement.js";
import { shardRowExamples } from "./shardRows.js";
import { shardWorkerExamples } from "./shardWorkers.js";

/** One example for each module of `core/shard`, by the module's name. */
export const shardExamples: Readonly<Record<string, () => string | Promise<string>>> = {
    ...shardJobExamples,
    ...shardIncarnationExamples,
    ...shardWorkerExamples,
    ...shardOwnerExamples,
    ...shardPlacementExamples,
    ...shardRowExamples,
};
