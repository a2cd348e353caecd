/** A cell to try the tool on: one deployment that stays up for a while and prints its endpoints. */

import { Command, Option } from "commander";
import { createSystemClock, sleep } from "puffinarch";
import { deployments } from "./deployments.js";
import { createProcesses } from "./processes.js";
import { startCell } from "./startCell.js";

const program = new Command("cell")
    .description("Starts one deployment with stand-ins, prints the daemons' addresses, and ends by itself.")
    .option("--seconds <n>", "how long it stays up", "600")
    .addOption(
        new Option("--deployment <name>", "which one").choices(deployments.map(each => each.name)).default("bajio"),
    );

program.parse();
const { seconds, deployment: name } = program.opts<{ readonly seconds: string; readonly deployment: string; }>();
const deployment = deployments.find(each => each.name === name);
if (deployment !== undefined) {
    const processes = createProcesses("reports/cell");
    const cell = await startCell(processes, deployment);
    for (const daemon of cell.daemons) {
        process.stdout.write(`${daemon.vmId} ${daemon.address}\n`);
    }
    await sleep(createSystemClock(), Number(seconds) * 1_000);
    processes.endAll();
}
process.exit();
