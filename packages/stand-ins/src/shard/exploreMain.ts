/** `npm run explore:shard -- --seeds 200 [--from 1] [--crowded] [--lasting] [--broken PART]`: seeded runs with random faults, by hand. */

import { Command, Option } from "commander";
import { type BrokenShardPart, brokenShardParts } from "./brokenShardParts.js";
import { crowdedShapes, exploreShardSeed } from "./shardFaults.js";

interface Options {
    readonly seeds: string;
    readonly from: string;
    readonly crowded?: true;
    readonly lasting?: true;
    readonly broken?: BrokenShardPart;
}

const program = new Command("explore-shard").option("--seeds <n>", "how many", "100").option(
    "--from <n>",
    "first seed",
    "1",
).option("--crowded", "jobs that mostly wait for room")
    // Jobs that last leave no worker empty, which the crowded ones need.
    .addOption(new Option("--lasting", "jobs that last as well").conflicts("crowded"))
    .addOption(new Option("--broken <part>", "a part that is broken on purpose").choices(brokenShardParts));
program.parse();
const { seeds, from, crowded, lasting, broken } = program.opts<Options>();
let failed = 0;
for (let seed = Number(from); seed < Number(from) + Number(seeds); seed += 1) {
    const wrong = await exploreShardSeed(seed, { shapes: crowded && crowdedShapes, lasting, broken });
    if (wrong.length > 0) {
        failed += 1;
        process.stdout.write(`seed ${seed}\n  ${wrong.join("\n  ")}\n`);
    }
}
process.stdout.write(`${seeds} seeds, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);
