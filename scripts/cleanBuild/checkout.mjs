// A checkout in a folder of its own, in which the commands of its deploy file run as on the users' platform: in an environment that
// nothing has prepared. Uses Node.js, npm and git alone, as it runs before anything is installed.
import { execFileSync, spawnSync } from "node:child_process";
import { cpSync, mkdirSync, mkdtempSync, rmSync, symlinkSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { readDeployFile } from "../build/deployFile.mjs";

/** The platform's limit of a build. */
const buildLimitMs = 15 * 60_000;
/** All that a build may use of the system. */
const tools = ["sh", "env", "node", "npm"];

const findTool = name => execFileSync("sh", ["-c", `command -v ${name}`], { encoding: "utf8" }).trim();

const git = (root, ...parameters) => execFileSync("git", ["-C", root, ...parameters], { encoding: "utf8" });

/** Ways to fill the folder of a checkout: the commit, or the files that git tracks as they are in the working tree. */
const sources = {
    commit: (root, folder) => git(root, "clone", "--quiet", "--depth=1", `file://${root}`, folder),
    workingTree: (root, folder) => {
        const paths = git(root, "ls-files", "--cached", "--others", "--exclude-standard", "--", ":!journal").split(
            "\n",
        );
        for (const path of paths.filter(line => line !== "")) {
            cpSync(join(root, path), join(folder, path));
        }
    },
};

/**
 * Fills a new folder with the `commit` or the `workingTree` of the repository at `root`. `build` runs the build command with
 * the given variables beside PATH and HOME, and returns its exit code and output; `remove` deletes the folder.
 */
export const openCheckout = (root, source) => {
    const folder = mkdtempSync(join(tmpdir(), "puffinarch-clean-"));
    const [checkout, home, bin] = ["checkout", "home", "bin"].map(name => join(folder, name));
    for (const made of [checkout, home, bin]) {
        mkdirSync(made);
    }
    for (const tool of tools) {
        symlinkSync(findTool(tool), join(bin, tool));
    }
    sources[source](root, checkout);
    const environment = { PATH: bin, HOME: home };
    return {
        folder: checkout,
        environment,
        build: (variables = {}) => {
            const { status, stdout, stderr } = spawnSync("sh", ["-c", readDeployFile(checkout).build], {
                cwd: checkout,
                env: { ...environment, ...variables },
                encoding: "utf8",
                timeout: buildLimitMs,
                killSignal: "SIGKILL",
            });
            return { status, output: `${stdout}${stderr}` };
        },
        /** Copies the installed dependencies of the repository, with the links to its workspaces. */
        copyDependencies: () => {
            execFileSync("cp", ["-a", join(root, "node_modules"), checkout]);
            // As after an installation, whose files are newer than the lock file.
            execFileSync("touch", [join(checkout, "node_modules/.package-lock.json")]);
        },
        remove: () => rmSync(folder, { recursive: true, force: true }),
    };
};
