// Starts the bundled daemon with V8's code cache that the build wrote beside the bundle. The cache halves the CPU time of a
// start; without a cache that V8 accepts, the daemon starts more slowly.
"use strict";
const { existsSync, readFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundlePath = join(__dirname, "..", "target", "puffinarchd.cjs");
const cachePath = join(__dirname, "..", "target", "puffinarchd.cache");

const load = () => {
    const cachedData = existsSync(cachePath) ? readFileSync(cachePath) : undefined;
    const script = new Script(wrap(readFileSync(bundlePath, "utf8")), { filename: bundlePath, cachedData });
    const bundleModule = { exports: {} };
    script.runInThisContext().call(bundleModule.exports, bundleModule.exports, require, bundleModule, bundlePath, join(bundlePath, ".."));
    return { script, daemon: bundleModule.exports, cacheRejected: script.cachedDataRejected === true };
};

module.exports = { load, cachePath };
if (require.main === module) {
    const { daemon, cacheRejected } = load();
    if (cacheRejected) {
        process.stderr.write(
            "puffinarchd: the code cache is for another bundle, Node.js version or set of flags, so the start takes longer\n",
        );
    }
    daemon.main();
}
