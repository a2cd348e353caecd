// Loads the bundled daemon with the compiled code that the build kept, which halves the processor time of a start.
"use strict";
const { existsSync, readFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundle = join(__dirname, "..", "target", "puffinarchd.cjs");
const cache = join(__dirname, "..", "target", "puffinarchd.cache");

const load = () => {
    const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
    const script = new Script(wrap(readFileSync(bundle, "utf8")), { filename: bundle, cachedData });
    const loaded = { exports: {} };
    script.runInThisContext().call(loaded.exports, loaded.exports, require, loaded, bundle, join(bundle, ".."));
    return { script, daemon: loaded.exports, cacheRefused: script.cachedDataRejected === true };
};

module.exports = { load, cache };
if (require.main === module) {
    const { daemon, cacheRefused } = load();
    if (cacheRefused) {
        process.stderr.write("puffinarchd: the kept code is of another version or other flags, so the start takes longer\n");
    }
    daemon.main();
}
