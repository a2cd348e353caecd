#!/usr/bin/env node
/** The command `puffinarch`. */

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
