// Starts and stops the bundled daemon once, which compiles the code of a start, and writes V8's code cache of it beside the
// bundle for deploy/start.cjs. V8 rejects a cache that was written under other flags, so this script must run with the flags
// of deploy/system.toml. If the trial start fails, the build goes on without a cache, and a start of the daemon takes longer.
"use strict";
const { rmSync, writeFileSync } = require("node:fs");
const { cachePath, load } = require("../deploy/start.cjs");

rmSync(cachePath, { force: true });
const { script, daemon } = load();
daemon.rehearse().then(() => {
    writeFileSync(cachePath, script.createCachedData());
    process.exit(0);
}, error => {
    process.stderr.write(`the trial start failed, so no code cache is written: ${error}\n`);
    process.exit(0);
});
