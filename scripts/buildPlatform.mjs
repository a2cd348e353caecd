// Builds what runs on the users' platform from any checkout, whatever an earlier build or another machine has left in it: installs
// the dependencies where they are missing or do not work, bundles the daemon and keeps V8's code of a start. Needs Node.js and npm
// alone.
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { findDependencyFault } from "./build/dependencies.mjs";
import { readDeployFile } from "./build/deployFile.mjs";
import { installDependencies } from "./build/installDependencies.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));

const runNode = args =>
    spawnSync(process.execPath, args, { cwd: root, stdio: ["ignore", "inherit", "inherit"] }).status;

const failWith = message => {
    process.stderr.write(`build: ${message}\n`);
    process.exit(1);
};

const fault = findDependencyFault(root);
if (fault !== undefined) {
    process.stderr.write(`build: installing the dependencies, as ${fault}\n`);
    installDependencies(root);
    const remaining = findDependencyFault(root);
    if (remaining !== undefined) {
        failWith(`the dependencies cannot be installed: ${remaining}`);
    }
}
if (runNode(["scripts/bundlePlatform.mjs"]) !== 0) {
    failWith("the daemon cannot be bundled");
}
// V8 accepts its cache only under the flags that it was written under.
const { nodeFlags } = readDeployFile(root);
if (runNode([...nodeFlags, "scripts/keepCode.cjs"]) !== 0) {
    failWith("the bundle cannot be loaded");
}
