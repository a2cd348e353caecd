// Installs what a build needs with npm, whatever the environment says about the packages to leave out or where npm may write.
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, rmSync } from "node:fs";
import { dirname, join } from "node:path";

/** Two attempts and the rest of a build fit into the 15 minutes that the platform allows. */
const attemptLimitMs = 300_000;
const packagesOfABuild = [
    "--include=prod",
    "--omit=dev",
    "--ignore-scripts",
    "--no-audit",
    "--no-fund",
    "--loglevel=error",
];

const canCreateIn = path => {
    if (!existsSync(path)) {
        return canCreateIn(dirname(path));
    }
    try {
        rmSync(mkdtempSync(join(path, "puffinarch-")), { recursive: true });
        return true;
    }
    catch {
        return false;
    }
};

/** npm does not end if its cache is below a folder that cannot be created. */
const canUseDefaultCache = () => {
    const { HOME, npm_config_cache: cache } = process.env;
    return canCreateIn(cache ?? HOME ?? "/");
};

/** Replaces `node_modules`. Tries a cache of its own below `target/` if npm cannot use its default cache, or fails with it. */
export const installDependencies = root => {
    const ownCache = join(root, "target/npm-cache");
    const attempts = [...canUseDefaultCache() ? [[]] : [], ["--cache", ownCache]];
    for (const cacheArguments of attempts) {
        const { status } = spawnSync("npm", ["ci", ...packagesOfABuild, ...cacheArguments], {
            cwd: root,
            stdio: ["ignore", "inherit", "inherit"],
            timeout: attemptLimitMs,
            killSignal: "SIGKILL",
        });
        if (status === 0) {
            break;
        }
    }
    rmSync(ownCache, { recursive: true, force: true });
};
