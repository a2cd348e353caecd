/** `npm run explore:shard -- --seeds 200 [--from 1] [--crowded]`: seeded runs with random faults, by hand. */

import { Command } from "commander";
import { crowdedShapes, exploreShardSeed } from "./shardFaults.js";

const program = new Command("explore-shard").option("--seeds <n>", "how many", "100").option(
    "--from <n>",
    "first seed",
    "1",
).option("--crowded", "jobs that mostly wait for room");
program.parse();
const { seeds, from, crowded } = program.opts<{ seeds: string; from: string; crowded?: true; }>();
let failed = 0;
for (let seed = Number(from); seed < Number(from) + Number(seeds); seed += 1) {
    const wrong = await exploreShardSeed(seed, crowded && crowdedShapes);
    if (wrong.length > 0) {
        failed += 1;
        process.stdout.write(`seed ${seed}\n  ${wrong.join("\n  ")}\n`);
    }
}
process.stdout.write(`${seeds} seeds, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);
