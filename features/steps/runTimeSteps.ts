/** Steps that test how run times are learned: by the module itself, and in a cell whose workers differ. */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createRunTimes, createSeededRandom, type Random, type RunTimes } from "puffinarch";
import { partOf, type ScenarioWorld } from "./support.js";

interface RunTimePart {
    runTimes: RunTimes;
    random: Random;
    /** Own speed of each worker; the index is that in its address. */
    speeds: number[];
    spread: number;
    /** Number of ends after which the speeds were spread. */
    timesSpread: number;
}

const part = (world: ScenarioWorld): RunTimePart =>
    partOf(world, "runTimes", () => ({
        runTimes: createRunTimes(),
        random: createSeededRandom(1),
        speeds: [],
        spread: 0,
        timesSpread: 0,
    }));

const estimateMs = 700;
const bias = 1.3;
const longShare = 0.03;
const longFactor = 7;
const queueKey = "stages.example/plans/";
const addressOf = (index: number): string => `10.0.0.${index}:1`;

const normal = (random: Random): number =>
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

const endTask = (world: ScenarioWorld, index: number): void => {
    const { runTimes, random, speeds, spread } = part(world);
    const longer = random.next() < longShare ? longFactor : 1;
    const tookMs = estimateMs * bias * longer * Math.exp(spread * normal(random)) / (speeds[index] ?? 1);
    runTimes.recordEnd({ queueKey, address: addressOf(index), estimateMs, tookMs });
    part(world).timesSpread += runTimes.isSpread() ? 1 : 0;
};

const endTasks = (
    world: ScenarioWorld,
    { speeds, count, spread, seed }: {
        readonly speeds: readonly number[];
        readonly count: number;
        readonly spread: number;
        readonly seed: number;
    },
): void => {
    Object.assign(part(world), { speeds: [...speeds], spread, random: createSeededRandom(seed) });
    for (let round = 0; round < count; round += 1) {
        for (const index of speeds.keys()) {
            endTask(world, index);
        }
    }
};

When(
    "{int} workers, of which a quarter run at {float} and the others at {float}, end {int} tasks each, with estimates off by {float}, seed {int}",
    function(
        this: ScenarioWorld,
        workers: number,
        slow: number,
        fast: number,
        count: number,
        spread: number,
        seed: number,
    ) {
        const speeds = Array.from({ length: workers }, (_, index) => index % 4 === 0 ? slow : fast);
        endTasks(this, { speeds, count, spread, seed });
    },
);

Then(
    "the speeds are spread, and each is within {float} of the worker's own relative to the others",
    function(this: ScenarioWorld, within: number) {
        const { runTimes, speeds } = part(this);
        assert.ok(runTimes.isSpread());
        const meanLog = speeds.reduce((sum, speed) => sum + Math.log(speed), 0) / speeds.length;
        for (const [index, speed] of speeds.entries()) {
            const off = Math.abs(Math.log(runTimes.speedOf(addressOf(index))) - Math.log(speed) + meanLog);
            assert.ok(off <= within, `${addressOf(index)} of speed ${speed} is off by ${off}`);
        }
    },
);

Then(
    "estimates are known to be off by {float} within {float}",
    function(this: ScenarioWorld, factor: number, within: number) {
        const { runTimes, speeds } = part(this);
        const meanLog = speeds.reduce((sum, speed) => sum + Math.log(speed), 0) / speeds.length;
        const learned = runTimes.remainingFactorOf(queueKey) * Math.exp(meanLog);
        assert.ok(Math.abs(learned - factor) <= within, `learned ${learned}`);
    },
);

When(
    "{int} equal workers end {int} tasks each, with estimates off by {float}, seed {int}",
    function(this: ScenarioWorld, workers: number, count: number, spread: number, seed: number) {
        endTasks(this, { speeds: Array.from({ length: workers }, () => 1), count, spread, seed });
    },
);

Then("the speeds were spread after none of the ends", function(this: ScenarioWorld) {
    assert.equal(part(this).timesSpread, 0);
});

Given(
    "{int} equal workers that have ended {int} tasks each, with estimates off by {float}, seed {int}",
    function(this: ScenarioWorld, workers: number, count: number, spread: number, seed: number) {
        endTasks(this, { speeds: Array.from({ length: workers }, () => 1), count, spread, seed });
    },
);

When(
    "the first worker runs at {float} and ends {int} tasks",
    function(this: ScenarioWorld, speed: number, count: number) {
        part(this).speeds[0] = speed;
        for (let end = 0; end < count; end += 1) {
            endTask(this, 0);
        }
    },
);

Then("its speed is below {float}", function(this: ScenarioWorld, most: number) {
    const speed = part(this).runTimes.speedOf(addressOf(0));
    assert.ok(speed < most, `its speed is ${speed}`);
});

When(
    "{int} addresses and {int} queues end a task each",
    function(this: ScenarioWorld, addresses: number, queues: number) {
        const { runTimes } = part(this);
        for (let index = 0; index < addresses; index += 1) {
            runTimes.recordEnd({
                queueKey: `q${index % queues}`,
                address: addressOf(index),
                estimateMs,
                tookMs: estimateMs,
            });
        }
    },
);

Then("at most {int} entries are kept, the newest among them", function(this: ScenarioWorld, most: number) {
    const { speeds, biases } = part(this).runTimes.entries();
    assert.ok(speeds.length + biases.length <= most, `${speeds.length} and ${biases.length} entries`);
    assert.deepEqual([speeds[0]?.address, biases[0]?.queueKey], [addressOf(2_999), "q499"]);
});
