// Installs the dependencies of the lock file with npm.
import { spawnSync } from "node:child_process";

/** Replaces `node_modules`. */
export const installDependencies = root => {
    spawnSync("npm", ["ci", "--no-audit", "--no-fund", "--loglevel=error"], {
        cwd: root,
        stdio: ["ignore", "inherit", "inherit"],
    });
};
