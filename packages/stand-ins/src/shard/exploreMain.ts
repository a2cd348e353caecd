/**
 * Runs seeds with random faults from the command line; exits with 1 where one failed:
 *
 * `npm run explore:shard -- --seeds 200 [--from 1] [--crowded | --lasting | --power-loss [--queues N]] [--crashing] [--resizing]
 * [--suspending] [--stopping] [--failing] [--capped] [--keeping-ids] [--down-ms N] [--delaying-orders] [--checking-tickets] [--beginning-late | --checking-once]
 * [--hiding-stops] [--saving] [--gangs] [--wide]
 * [--cancelling accepted|sent|mixed] [--cutting plain|looksLate|deadListed] [--draws N] [--broken PART]`
 */

import { Command, Option } from "commander";
import { type BrokenShardPart, brokenShardParts } from "./brokenShardParts.js";
import { type CancellingMode, cancellingModes } from "./cancellingCallers.js";
import { type CuttingMode, cuttingModes, exploreShardSeed } from "./exploreSeed.js";
import { crowdedShapes, wideShapes } from "./jobShapes.js";
import { explorePowerLoss } from "./powerLoss.js";

interface Options {
    readonly seeds: string;
    readonly from: string;
    readonly crowded?: true;
    readonly lasting?: true;
    readonly crashing?: true;
    readonly resizing?: true;
    readonly suspending?: true;
    readonly stopping?: true;
    readonly failing?: true;
    readonly capped?: true;
    readonly keepingIds?: true;
    readonly downMs?: string;
    readonly delayingOrders?: true;
    readonly checkingTickets?: true;
    readonly beginningLate?: true;
    readonly checkingOnce?: true;
    readonly hidingStops?: true;
    readonly cancelling?: CancellingMode;
    readonly cutting?: CuttingMode;
    readonly saving?: true;
    readonly gangs?: true;
    readonly wide?: true;
    readonly draws: string;
    readonly powerLoss?: true;
    readonly queues: string;
    readonly broken?: BrokenShardPart;
}

const program = new Command("explore-shard").option("--seeds <n>", "how many", "100").option(
    "--from <n>",
    "first seed",
    "1",
).option("--crowded", "jobs that mostly wait for room")
    // Long-running jobs leave no worker empty, but the tasks of crowded jobs need an empty one.
    .addOption(new Option("--lasting", "jobs that last as well").conflicts("crowded"))
    .option("--crashing", "jobs whose tasks crash the workers as well")
    .option("--resizing", "workers whose capacity shrinks and grows")
    .option("--suspending", "daemons whose VMs are suspended")
    .option("--stopping", "daemons whose processes are stopped while their clocks go on")
    .option("--failing", "several workers that fail everything, and jobs that fail by themselves")
    .option("--capped", "organisations with caps that are lowered and raised")
    .option("--keeping-ids", "workers that crash and start again under their IDs")
    .option("--down-ms <n>", "how long a worker that crashed is away")
    .option(
        "--delaying-orders",
        "more faults at once, of those that leave orders under way to workers that start again",
    )
    .option("--checking-tickets", "workers that refuse tickets of other incarnations")
    .option("--beginning-late", "workers that begin runs some milliseconds after they have accepted them")
    .addOption(
        new Option(
            "--checking-once",
            "workers that check starts once, and begin the runs later whatever comes meanwhile",
        ).conflicts("beginningLate"),
    )
    .option("--hiding-stops", "workers that list a run that is being stopped neither as running nor as ended")
    .addOption(new Option("--cancelling <when>", "callers that cancel and read jobs").choices(cancellingModes))
    .addOption(
        new Option(
            "--cutting <mode>",
            "a data centre that is cut off in an outage of the store, while daemons restart and the list of workers lapses",
        ).choices(cuttingModes).conflicts(["delayingOrders", "powerLoss"]),
    )
    // The other two name shapes of their own for the jobs.
    .addOption(
        new Option("--saving", "gangs that save checkpoints while they run").conflicts([
            "crowded",
            "failing",
            "powerLoss",
        ]),
    )
    .addOption(
        new Option("--gangs", "gangs, busy daemons, and workers that answer starts late").conflicts([
            "crowded",
            "failing",
            "saving",
            "wide",
            "powerLoss",
        ]),
    )
    .addOption(
        new Option("--wide", "jobs whose tasks take several rows of the store").conflicts([
            "crowded",
            "failing",
            "saving",
            "powerLoss",
        ]),
    )
    .option(
        "--draws <n>",
        "how often the jobs and faults of each seed are played, with all else drawn anew each time",
        "1",
    )
    .addOption(
        new Option("--power-loss", "all of 32 daemons lose power").conflicts([
            "crowded",
            "lasting",
            "crashing",
            "resizing",
            "suspending",
            "stopping",
            "failing",
            "capped",
            "keepingIds",
            "downMs",
            "delayingOrders",
            "checkingTickets",
            "beginningLate",
            "checkingOnce",
            "hidingStops",
            "cancelling",
            "broken",
        ]),
    )
    .option("--queues <n>", "queues that nobody uses in the configuration, for a power loss", "0")
    .addOption(new Option("--broken <part>", "a part that is broken on purpose").choices(brokenShardParts));
program.parse();
const {
    seeds,
    from,
    crowded,
    lasting,
    crashing,
    resizing,
    suspending,
    stopping,
    failing,
    capped,
    keepingIds,
    downMs,
    delayingOrders,
    checkingTickets,
    beginningLate,
    checkingOnce,
    hidingStops,
    cancelling,
    cutting,
    saving,
    gangs,
    wide,
    draws,
    powerLoss,
    queues,
    broken,
} = program.opts<Options>();
/** Limit for the acceptance of a job after the last fault; a slow store in the largest cell still allows it. */
const acceptedWithinMs = 4_000;
/** Limit until every daemon is ready: the shortest recovery time that any of the users' sites demands. */
const readyWithinMs = 12_000;

const exploreLoss = async (seed: number): Promise<readonly string[]> => {
    const { acceptedAfterMs = Infinity, readyAfterMs = Infinity, breaches, faults } = await explorePowerLoss(
        seed,
        Number(queues),
    );
    const missedLimits = [
        ...acceptedAfterMs > acceptedWithinMs ? [`accepted after ${acceptedAfterMs} ms`] : [],
        ...readyAfterMs > readyWithinMs ? [`all ready after ${readyAfterMs} ms`] : [],
    ];
    return missedLimits.length + breaches.length === 0 ? [] : [...missedLimits, ...breaches, ...faults];
};

const explore = (seed: number, draw: number): Promise<readonly string[]> =>
    powerLoss ? exploreLoss(seed) : exploreShardSeed(seed, {
        shapes: wide ? wideShapes : crowded && crowdedShapes,
        lasting,
        crashing,
        resizing,
        suspending,
        stopping,
        failing,
        capped,
        delayingOrders,
        checksTickets: checkingTickets,
        beginningLate,
        checkingOnce,
        hidingStops,
        cancelling,
        cutting,
        saving,
        gangs,
        draw,
        keepsIds: keepingIds,
        crashedDownMs: downMs === undefined ? undefined : Number(downMs),
        broken,
    });

let runs = 0;
let failed = 0;
for (let seed = Number(from); seed < Number(from) + Number(seeds); seed += 1) {
    for (let draw = 0; draw < Number(draws); draw += 1) {
        const problems = await explore(seed, draw);
        runs += 1;
        if (problems.length > 0) {
            failed += 1;
            process.stdout.write(`seed ${seed}${draw === 0 ? "" : `, draw ${draw}`}\n  ${problems.join("\n  ")}\n`);
        }
    }
}
process.stdout.write(`${runs} seeds, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);
