/** Messages and services of the operators' and callers' schema; generated from `puffinarch/v1/*.proto`. */
export * from "./puffinarch/v1/cluster_pb.js";
export * from "./puffinarch/v1/common_pb.js";
export * from "./puffinarch/v1/configuration_pb.js";
export * from "./puffinarch/v1/job_pb.js";
