// Installs what a build needs with npm, whatever the environment says about the packages to leave out.
import { spawnSync } from "node:child_process";

const packagesOfABuild = ["--include=prod", "--omit=dev", "--ignore-scripts"];

/** Replaces `node_modules`. */
export const installDependencies = root => {
    spawnSync("npm", ["ci", ...packagesOfABuild, "--no-audit", "--no-fund", "--loglevel=error"], {
        cwd: root,
        stdio: ["ignore", "inherit", "inherit"],
    });
};
