/** `npm run explore:shard -- --seeds 200 [--from 1] [--crowded | --power-loss]`: seeded runs with random faults, by hand. */

import { Command } from "commander";
import { explorePowerLoss } from "./powerLoss.js";
import { crowdedShapes, exploreShardSeed } from "./shardFaults.js";

const program = new Command("explore-shard").option("--seeds <n>", "how many", "100").option(
    "--from <n>",
    "first seed",
    "1",
).option("--crowded", "jobs that mostly wait for room").option("--power-loss", "all of 32 daemons lose power");
program.parse();
const { seeds, from, crowded, powerLoss } = program.opts<
    { seeds: string; from: string; crowded?: true; powerLoss?: true; }
>();
/** A slow store and the largest cell still accept by then. */
const acceptedWithinMs = 4_000;

const exploreLoss = async (seed: number): Promise<readonly string[]> => {
    const { acceptedAfterMs = Infinity, breaches, faults } = await explorePowerLoss(seed);
    const late = acceptedAfterMs > acceptedWithinMs ? [`accepted after ${acceptedAfterMs} ms`] : [];
    return late.length + breaches.length === 0 ? [] : [...late, ...breaches, ...faults];
};

let failed = 0;
for (let seed = Number(from); seed < Number(from) + Number(seeds); seed += 1) {
    const wrong = await (powerLoss ? exploreLoss(seed) : exploreShardSeed(seed, crowded && crowdedShapes));
    if (wrong.length > 0) {
        failed += 1;
        process.stdout.write(`seed ${seed}\n  ${wrong.join("\n  ")}\n`);
    }
}
process.stdout.write(`${seeds} seeds, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);
