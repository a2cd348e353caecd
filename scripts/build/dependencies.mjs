// Checks whether the installed dependencies are those that a build needs: the versions of the lock file, and a bundler that runs
// on this machine.
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { join } from "node:path";

const readJson = path => {
    try {
        return JSON.parse(readFileSync(path, "utf8"));
    }
    catch {
        return undefined;
    }
};

/** Packages that a build needs: neither for development nor for one kind of machine alone, and no links to workspaces. */
const isNeeded = ([path, { dev, devOptional, optional, link }]) =>
    path.startsWith("node_modules/") && !dev && !devOptional && !optional && !link;

const tryBundler = "require('esbuild').transformSync('')";

/** Returns what is wrong with the installed dependencies as a clause, undefined if a build can use them. */
export const findDependencyFault = root => {
    const { packages } = JSON.parse(readFileSync(join(root, "package-lock.json"), "utf8"));
    for (const [path, { version }] of Object.entries(packages).filter(isNeeded)) {
        const installed = readJson(join(root, path, "package.json"))?.version;
        if (installed !== version) {
            return `${path} is ${installed ?? "missing"} and should be ${version}`;
        }
    }
    const { status, stderr } = spawnSync(process.execPath, ["-e", tryBundler], { cwd: root, encoding: "utf8" });
    return status === 0 ? undefined : `the bundler does not run: ${/^\s*\S.*Error:?.*$/m.exec(stderr)?.[0].trim()}`;
};
