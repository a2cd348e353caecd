export * from "./internal.js";
