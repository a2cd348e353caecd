// Rehearses a start and keeps the compiled code beside the bundle. Runs under the flags of deploy/system.toml, which the
// kept code is bound to.
"use strict";
const { rmSync, writeFileSync } = require("node:fs");
const { cache, load } = require("../deploy/start.cjs");

rmSync(cache, { force: true });
const { script, daemon } = load();
daemon.rehearse().then(() => {
    writeFileSync(cache, script.createCachedData());
    process.exit(0);
}, error => {
    process.stderr.write(`the rehearsal failed, so no code is kept: ${error}\n`);
    process.exit(0);
});
