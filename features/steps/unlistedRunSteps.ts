/** Steps about runs that a look lists neither as running nor as ended. */

import { Given, Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    jobIdOf,
    readSteps,
    type ShardCellOptions,
    testQueue,
    workerEntry,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { createSeededRandom, holdCapacity, type LookResult, newRun, runEnds, sleep } from "puffinarch";
import { exampleJob, openShardWorkers, taskOf } from "./examples/shardFixtures.js";
import { cellOf, part as shardPart, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    drainingWorkers: readonly string[];
    /** Numbers of runs that an owner held, at each moment at which it was asked. */
    heldRuns: string[];
}

const part = (world: ScenarioWorld): Part =>
    partOf(world, "unlistedRuns", () => ({ drainingWorkers: [], heldRuns: [] }));

/** How workers list runs and begin them, by how scenarios name it. */
const workerKinds: Readonly<Record<string, Partial<ShardCellOptions>>> = {
    "hide runs that are being stopped": { hidesStopping: true },
    "hide runs that are being stopped and begin others up to 20 ms late": { hidesStopping: true, startTakesMs: 20 },
    "check starts once and begin runs up to 100 ms later": { checksStartsOnce: true, startTakesMs: 100 },
};

Given(
    /^a cell of (\d+) daemons and (\d+) workers that ((?:hide runs|check starts) [^,]+), seed (\d+)$/,
    async function(this: ScenarioWorld, members: string, workers: string, kind: string, seed: string) {
        await startCell(this, {
            members: Number(members),
            workers: Number(workers),
            seed: Number(seed),
            ...workerKinds[kind] ?? assert.fail(`workers that ${kind} are not known`),
        });
    },
);

/** Keeps the IDs of less urgent jobs apart from those of the others. */
const laterJobOffset = 900;

/** A queue whose runs may be stopped for more urgent ones, and a queue of these with an objective that allows for the stops. */
const laterQueue = { ...testQueue, key: "stages.example/later/", pathPrefix: "/later/", priority: 2, stretch: 20 };
const urgentQueue = { ...testQueue, stretch: 4, targetRuntimeMs: 1_500 };

Given(
    "a cell of {int} daemons and {int} workers that hide runs that are being stopped, with less urgent jobs, seed {int}",
    async function(this: ScenarioWorld, members: number, workers: number, seed: number) {
        await startCell(this, {
            members,
            workers,
            seed,
            durationMs: "estimated",
            hidesStopping: true,
            queues: [urgentQueue, laterQueue],
        });
    },
);

When(
    "{int} less urgent jobs of steps {string} are submitted",
    function(this: ScenarioWorld, count: number, steps: string) {
        for (let number = 1; number <= count; number += 1) {
            cellOf(this).submit(jobIdOf(laterJobOffset + number), readSteps(steps), laterQueue.key);
        }
    },
);

const drainMs = 5_000;

When("{int} workers with tasks drain", function(this: ScenarioWorld, count: number) {
    const cell = cellOf(this);
    const busy = cell.workers.evidence.filter(({ endedAtMs }) => endedAtMs === undefined);
    part(this).drainingWorkers = [...new Set(busy.map(({ workerId }) => workerId))].slice(0, count);
    assert.equal(part(this).drainingWorkers.length, count);
    part(this).drainingWorkers.forEach(workerId => cell.drain(workerId, drainMs));
    shardPart(this).endFaults.push(cell.writeWorkerEntries);
});

When(
    "one call in {int} takes up to {int} ms to its worker",
    function(this: ScenarioWorld, oneIn: number, longestMs: number) {
        const random = createSeededRandom(shardPart(this).seed);
        const toMs = (): number => random.next() * oneIn < 1 ? longestMs * random.next() : 0;
        cellOf(this).workers.setTransit({ toMs, backMs: () => 0 });
        shardPart(this).endFaults.push(() => cellOf(this).workers.setTransit(undefined));
    },
);

Then("runs were stopped for more urgent ones", function(this: ScenarioWorld) {
    assert.ok(cellOf(this).log.some(({ event }) => event === "preempted"));
});

Then("runs were stopped on a draining worker", function(this: ScenarioWorld) {
    const { drainingWorkers } = part(this);
    assert.ok(
        cellOf(this).workers.evidence.some(({ workerId, how }) =>
            how === runEnds.stopped && drainingWorkers.includes(workerId)
        ),
    );
});

const watchedMs = 5_000;

When("a run that was started is missing in the first look after that only", async function(this: ScenarioWorld) {
    const clock = createFakeClock();
    const job = exampleJob();
    const task = taskOf(job);
    const run = newRun(task, "i-1", 1);
    let isStarted = false;
    let looksSinceStart = 0;
    const workers = openShardWorkers({
        clock,
        port: {
            start: async () => {
                isStarted = true;
                return "done";
            },
            stop: async () => "done",
            pace: async () => "done",
            look: async (_target, { waitMs }): Promise<LookResult> => {
                const isListed = looksSinceStart > 0;
                looksSinceStart += isStarted ? 1 : 0;
                await sleep(clock, Math.max(1, waitMs));
                const row = { taskName: task.name, run: 1, checkpoint: "", percent: 100, figure: 1_000 };
                const running = isListed ? [row] : [];
                return { outcome: "done", clockMs: clock.monotonicMs(), running, ended: [] };
            },
        },
        jobOf: () => job,
    });
    workers.update([workerEntry("i-1", 1)]);
    await clock.advance(100);
    task.runs.push(run);
    holdCapacity(workers.all.get("i-1") ?? assert.fail("the worker was not added"), run);
    void workers.start(run, "");
    for (let passedMs = 0; passedMs < watchedMs; passedMs += 100) {
        await clock.advance(100);
        part(this).heldRuns.push(task.runs.map(each => each.run).join());
    }
    assert.ok(looksSinceStart > 1);
    workers.close();
});

Then("its owner holds it all the time", function(this: ScenarioWorld) {
    assert.deepEqual(new Set(part(this).heldRuns), new Set(["1"]));
});
