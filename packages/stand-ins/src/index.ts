/** Stand-ins for everything outside of puffinarch: platform, workers, upstreams. */

export * from "./faults.js";
export * from "./platform.js";
export * from "./serve.js";
export * from "./upstream.js";
export * from "./worker.js";
