/** `npm run explore -- --seeds N`: runs many schedules of `explore.ts`; prints every step of each one that violates a guarantee. */

import { Command, Option } from "commander";
import { type BrokenPart, brokenParts } from "../cell/brokenParts.js";
import { explore, type Scene } from "./explore.js";

const program = new Command("explore")
    .description("Runs seeded schedules of faults against a small cell and checks every guarantee.")
    .option("--seeds <n>", "number of schedules", "200")
    .option("--first <n>", "the first seed", "1")
    .option("--steps <n>", "number of steps in a schedule", "30")
    .addOption(
        new Option("--scene <name>", "fault sequence to choose for most steps").choices([
            "endMidStart",
            "cutWithBacklog",
            "endInOutage",
        ]),
    )
    .addOption(new Option("--broken <part>", "part of the environment to break on purpose").choices([...brokenParts]));

program.parse();
const flags = program.opts<
    {
        readonly seeds: string;
        readonly first: string;
        readonly steps: string;
        readonly broken?: BrokenPart;
        readonly scene?: Scene;
    }
>();
const first = Number(flags.first);
let failed = 0;
let tasks = 0;
for (let seed = first; seed < first + Number(flags.seeds); seed += 1) {
    const result = await explore({ seed, steps: Number(flags.steps), part: flags.broken, scene: flags.scene });
    tasks += result.tasksAccepted;
    if (result.broken.length > 0) {
        failed += 1;
        process.stdout.write(
            `seed ${seed}: ${result.broken.join("; ")}\n${result.steps.map(step => `  ${step}\n`).join("")}`,
        );
    }
}
process.stdout.write(`${JSON.stringify({ seeds: Number(flags.seeds), failed, tasksAccepted: tasks })}\n`);
process.exit(failed === 0 ? 0 : 1);
