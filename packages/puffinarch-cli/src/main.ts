#!/usr/bin/env node
/** Command line entry point of `puffinarch`. */

import { runCli } from "./program.js";

const output = {
    write: (text: string): void => {
        process.stdout.write(text);
    },
    writeError: (text: string): void => {
        process.stderr.write(text);
    },
};

process.exitCode = await runCli(process.argv.slice(2), output, process.env);
