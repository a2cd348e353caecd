/** Exports of the package, for tests and benchmarks. */

export * from "./adapters/http.js";
export * from "./adapters/machines.js";
export * from "./adapters/peers.js";
export * from "./adapters/platform.js";
export * from "./daemon.js";
export * from "./logging.js";
export * from "./logOutput.js";
export * from "./metrics.js";
export * from "./proxy.js";
export * from "./settings.js";
