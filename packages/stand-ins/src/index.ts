/** Stand-ins for everything outside of puffinarch: platform, workers, upstreams. */

export * from "./cell/brokenParts.js";
export * from "./cell/cell.js";
export * from "./cell/fakeClock.js";
export * from "./cell/gate.js";
export * from "./demo/deployments.js";
export * from "./demo/processes.js";
export { get, post, startCell } from "./demo/startCell.js";
export * from "./explore/explore.js";
export * from "./faults.js";
export * from "./platform.js";
export * from "./quiet.js";
export * from "./runTwice.js";
export * from "./serve.js";
export * from "./shard/brokenShardParts.js";
export * from "./shard/exploreSeed.js";
export * from "./shard/fakeVms.js";
export * from "./shard/fencedWorkers.js";
export { crowdedShapes, jobIdOf, readSteps } from "./shard/jobShapes.js";
export * from "./shard/powerLoss.js";
export * from "./shard/rowStore.js";
export * from "./shard/shardCell.js";
export * from "./shard/shardFaults.js";
export * from "./shard/shardLoad.js";
export * from "./shard/standing.js";
export * from "./shard/standingWatch.js";
export * from "./upstream.js";
export * from "./worker.js";
