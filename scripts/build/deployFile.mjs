// Reads the commands of deploy/system.toml, with Node.js alone, so that it works before anything is installed.
import { readFileSync } from "node:fs";
import { join } from "node:path";

const readText = (source, key) => {
    const matches = [...source.matchAll(new RegExp(`^${key} = "([^"\\\\]*)"$`, "gm"))];
    if (matches.length !== 1) {
        throw new Error(`deploy/system.toml: needs one line ${key} = "..." without escapes, and has ${matches.length}`);
    }
    return matches[0][1];
};

/**
 * Returns the `build` command, which a shell runs, the words of the `run` command, which are run without one, and the flags that
 * `run` gives to Node.js. Throws where a command is missing.
 */
export const readDeployFile = root => {
    const source = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const run = readText(source, "run").split(" ");
    const [program, ...parameters] = run;
    if (program !== "node") {
        throw new Error(`deploy/system.toml: run starts "${program}"; only "node" is supported`);
    }
    return {
        build: readText(source, "build"),
        run,
        nodeFlags: parameters.slice(0, parameters.findIndex(word => !word.startsWith("-"))),
    };
};
