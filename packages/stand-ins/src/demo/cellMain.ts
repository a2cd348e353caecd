/** `npm run cell`: runs one deployment for a limited time, to try the command-line tool on, and prints the daemons' addresses. */

import { Command, Option } from "commander";
import { createSystemClock, sleep } from "puffinarch";
import { deployments } from "./deployments.js";
import { createProcesses } from "./processes.js";
import { startCell } from "./startCell.js";

const program = new Command("cell")
    .description("Starts one deployment with stand-ins, prints the daemons' addresses, and exits after a while.")
    .option("--seconds <n>", "how long the deployment runs, in seconds", "600")
    .addOption(
        new Option("--deployment <name>", "name of the deployment").choices(deployments.map(each => each.name)).default(
            "bajio",
        ),
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
    processes.killAll();
}
process.exit();
