#!/usr/bin/env node
/** Command line entry point of the daemon: `puffinarchd --config FILE`. */

import { Command } from "commander";
import { createSystemClock, createSystemRandom, errorResponses, failureOf } from "puffinarch";
import { startDaemon } from "./daemon.js";
import { createLog } from "./logging.js";
import { openLogOutput, standardOutput } from "./logOutput.js";
import { readSettings } from "./settings.js";

const run = async (configPath: string): Promise<void> => {
    const settings = readSettings(configPath);
    const clock = createSystemClock();
    const output = openLogOutput(standardOutput);
    const log = createLog({
        clock,
        level: settings.logLevel ?? "info",
        vmId: settings.vmId,
        write: output.write,
    });
    const daemon = await startDaemon({ settings, clock, random: createSystemRandom(), log });
    log.write("info", "listening", { address: daemon.address, dataCentre: settings.dataCentre });
    let stopping = false;
    const stop = (signal: string): void => {
        if (stopping) {
            return;
        }
        stopping = true;
        log.write("info", "stopping", { signal });
        const exit = (code: number): void => void output.flush().then(() => process.exit(code));
        daemon.stop().then(() => exit(0), () => exit(errorResponses.internal.exitCode));
    };
    process.on("SIGTERM", () => stop("SIGTERM"));
    process.on("SIGINT", () => stop("SIGINT"));
    void daemon.node.drainRequested.then(() => stop("drain"));
    await daemon.started;
    log.write("info", "ready", { daemonId: daemon.node.sessionId() });
};

const program = new Command("puffinarchd")
    .description("Schedules work on the workers of one cell and routes callers' requests to its upstreams.")
    .requiredOption("--config <file>", "settings file in YAML; see docs/operators/settings.md")
    .addHelpText("after", "\nExample:\n  puffinarchd --config /etc/puffinarch/entry-1.yaml");

program.parse();
run(program.opts<{ config: string; }>().config).catch((error: unknown) => {
    const failure = failureOf(error);
    process.stderr.write(`puffinarchd: ${failure.message}\n`);
    for (const violation of failure.violations ?? []) {
        const place = violation.line === undefined ? "" : `line ${violation.line}, `;
        process.stderr.write(`  ${place}${violation.field}: ${violation.value}; allowed: ${violation.allowed}\n`);
    }
    process.exit(errorResponses[failure.kind].exitCode);
});
