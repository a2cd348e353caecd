/** The command-line tool as a function, so that tests can run it in their own process. */

import { Command, CommanderError } from "commander";
import { errorResponses, type Failure, failureOf } from "puffinarch";
import { addClusterCommands } from "./commands/cluster.js";
import { addConfigurationCommands } from "./commands/configuration.js";
import { addJobCommands } from "./commands/job.js";
import { addShardCommands } from "./commands/shard.js";
import { addWaterfallCommand } from "./commands/waterfall.js";
import { createContext } from "./context.js";
import type { Output } from "./output.js";
import type { CliEnvironment } from "./settings.js";

export type { Output } from "./output.js";
export type { CliEnvironment } from "./settings.js";

const collect = (value: string, earlier: readonly string[] | undefined): readonly string[] => [...earlier ?? [], value];

const exitCodesHelp = `
Exit codes:
  0 done   1 fault of the system   2 bad input   3 not found   4 conflict or exists already
  5 never fits   6 over quota or overloaded   7 unavailable, not accepted, not run   8 may have run`;

const buildProgram = (output: Output, environment: CliEnvironment): Command => {
    const program = new Command("puffinarch")
        .description("Manage a puffinarch cell: policies, classes, configurations, jobs, workers, upstreams, daemons.")
        .option(
            "--endpoint <url>",
            "address of a daemon; if given several times, the addresses are tried in turn",
            collect,
        )
        .option("--timeout-ms <n>", "time limit of one call in milliseconds")
        .option("--json", "write JSON instead of tables")
        .option("--settings <file>", "YAML file with endpoints, timeoutMs and author")
        .option("--author <name>", "author of a change")
        .addHelpText("after", exitCodesHelp);
    const context = createContext(output, environment);
    addJobCommands(program, context);
    addConfigurationCommands(program, context);
    addClusterCommands(program, context);
    addShardCommands(program, context);
    addWaterfallCommand(program, context);
    return program;
};

/** Makes a command and its subcommands throw instead of exiting, and write to the given output. */
const configureCommand = (command: Command, output: Output): void => {
    command.exitOverride();
    command.configureOutput({ writeOut: text => output.write(text), writeErr: text => output.writeError(text) });
    for (const child of command.commands) {
        configureCommand(child, output);
    }
};

const showFailure = (output: Output, failure: Failure): void => {
    output.writeError(`puffinarch: ${failure.kind}: ${failure.message}\n`);
    for (const { field, value, allowed } of failure.violations ?? []) {
        output.writeError(`  ${field}: ${value}; allowed: ${allowed}\n`);
    }
    if (failure.difference !== undefined && failure.difference !== "") {
        output.writeError(`difference to version ${failure.winningVersion}:\n${failure.difference}\n`);
    }
    if (failure.retryAfterMs !== undefined && failure.retryAfterMs > 0) {
        output.writeError(`  try again after ${failure.retryAfterMs} ms\n`);
    }
};

/**
 * Runs the tool and resolves to its exit code.
 *
 * @example
 * await runCli(["job", "list"], output, process.env);
 */
export const runCli = async (args: readonly string[], output: Output, environment: CliEnvironment): Promise<number> => {
    const program = buildProgram(output, environment);
    configureCommand(program, output);
    try {
        await program.parseAsync(args, { from: "user" });
        return 0;
    }
    catch (error) {
        if (error instanceof CommanderError) {
            return error.exitCode === 0 ? 0 : errorResponses.invalid.exitCode;
        }
        const failure = failureOf(error);
        showFailure(output, failure);
        return errorResponses[failure.kind].exitCode;
    }
};
