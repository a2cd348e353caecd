import { Given, Then, When } from "@cucumber/cucumber";
import {
    acceleratorLoad,
    createFakeClock,
    createLoadCell,
    createShardCell,
    type FakeClock,
    jobIdOf,
    type LoadKind,
    type LoadOutcome,
    plainStep,
    playLoad,
    readSteps,
    testQueue,
    workerEntry,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    createAdviceDispatcher,
    createTaskPlacer,
    defaultShardSettings,
    newJob,
    newWorker,
    packings,
    roomPolicies,
    schedulingOrders,
    type ShardPolicies,
    type TaskPlacer,
} from "puffinarch";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    policies: ShardPolicies | undefined;
    outcomes: Readonly<Record<string, LoadOutcome>>;
    breaches: readonly string[];
    placed: Placed | undefined;
    gangWaitedMs: number;
}

/** A step that is placed without a cell around it. */
interface Placed {
    readonly clock: FakeClock;
    readonly placing: TaskPlacer;
    readonly runs: () => number[];
}

const part = (world: ScenarioWorld): Part =>
    partOf(
        world,
        "load",
        () => ({
            policies: undefined,
            outcomes: {},
            breaches: ["nothing was played"],
            placed: undefined,
            gangWaitedMs: Infinity,
        }),
    );

const nameIn = <T extends string>(names: readonly T[], text: string): T =>
    names.find(name => name === text) ?? assert.fail(`"${text}" is none of ${names.join(", ")}`);

Given(
    "workers of 8 accelerators with policies {string}, {string}, {string}",
    function(this: ScenarioWorld, order: string, packing: string, room: string) {
        part(this).policies = {
            order: nameIn(Object.keys(schedulingOrders) as (keyof typeof schedulingOrders)[], order),
            packing: nameIn(Object.keys(packings) as (keyof typeof packings)[], packing),
            room: nameIn(roomPolicies, room),
        };
    },
);

const play = async (world: ScenarioWorld, kinds: readonly LoadKind[], forMs: number): Promise<void> => {
    const { policies } = part(world);
    const cell = createLoadCell(kinds, { workers: 4, seed: 1, allowedPercent: 50, ...(policies && { policies }) });
    part(world).outcomes = await playLoad(cell, kinds, { forMs, restMs: 10_000 });
    part(world).breaches = cell.breaches();
};

When(
    "large and small jobs come at {float} times the load for {int} ms",
    async function(this: ScenarioWorld, factor: number, forMs: number) {
        await play(this, acceleratorLoad(factor), forMs);
    },
);

Then(
    /^(\d+) to (\d+) percent of the (\w+) jobs are in time$/,
    function(this: ScenarioWorld, least: string, most: string, kind: string) {
        const outcome = part(this).outcomes[kind] ?? assert.fail(`there are no ${kind} jobs`);
        const share = 100 * outcome.onTime / outcome.submitted;
        assert.ok(share >= Number(least) && share <= Number(most), `${share} percent: ${JSON.stringify(outcome)}`);
    },
);

Given(
    "a step of {int} tasks whose first one failed on the only worker that answers, while another is silent",
    function(this: ScenarioWorld, count: number) {
        const [only, silent] = ["i-1", "i-2"].map((workerId, index) => {
            const worker = newWorker(workerEntry(workerId, index), 5_000);
            worker.runsKnown = true;
            worker.clock = { localMs: 0, clockMs: 0 };
            return worker;
        });
        assert.ok(only !== undefined && silent !== undefined);
        silent.silentLooks = 3;
        const submission = {
            jobId: "00000000000000a1",
            queueKey: testQueue.key,
            dataCentre: "leon-feria",
            payload: "plan",
            steps: [{ ...plainStep, count }],
            schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
        };
        const job = newJob(submission, testQueue, { acceptedAtMs: 0, order: 1 });
        const step = job.occurrences.get(0)?.steps[0];
        // So late that after 6 s it is the end of the silent worker's leases that counts.
        step?.tasks[0]?.failedOn.set("i-1", 3_000);
        step?.advice.askedWorkerIds.add("i-1");
        step?.advice.good.set("i-1", { ticket: "t", validUntilMs: 60_000 });
        const clock = createFakeClock();
        const quiet = { write: () => {} };
        const meter = { count: () => {}, record: () => {}, total: () => 0, percentile: () => 0 };
        const placing = createTaskPlacer({
            clock,
            log: quiet,
            meter,
            settings: defaultShardSettings,
            workers: new Map([["i-1", only], ["i-2", silent]]),
            dispatcher: createAdviceDispatcher({
                clock,
                log: quiet,
                meter,
                lanes: () => [],
                call: () => assert.fail(),
            }),
            onPlanned: () => {},
            onPreempt: () => {},
            wake: () => {},
        });
        placing.updateJob(job);
        part(this).placed = { clock, placing, runs: () => [...only.runs.values()].map(run => run.task.index) };
    },
);

const placed = (world: ScenarioWorld): Placed => part(world).placed ?? assert.fail("no step is placed");

When("the step is placed", function(this: ScenarioWorld) {
    placed(this).placing.runPass();
});

When("the step is placed after the leases of the silent worker", async function(this: ScenarioWorld) {
    await placed(this).clock.advance(6_000);
    placed(this).placing.runPass();
});

Then("tasks {string} run on the worker that answers", function(this: ScenarioWorld, indices: string) {
    assert.equal(placed(this).runs().sort().join(", "), indices);
});

Then("no worker held more than it has", function(this: ScenarioWorld) {
    assert.deepEqual(part(this).breaches, []);
});

const lowerQueueKey = "stages.example/later/";
const gangId = jobIdOf(9_000);
const streamForMs = 40_000;

When(
    "tasks of {int} cores for {int} ms come to {int} workers each {int} ms, and after {int} ms a more urgent gang of {int} cores, seed {int}",
    async function(
        this: ScenarioWorld,
        cores: number,
        runMs: number,
        workers: number,
        everyMs: number,
        gangAfterMs: number,
        gangCores: number,
        seed: number,
    ) {
        const urgent = { ...testQueue, stretch: 30 };
        const lower = { ...urgent, key: lowerQueueKey, pathPrefix: "/later/", priority: 1 };
        const cell = createShardCell({
            members: 3,
            workers,
            seed,
            durationMs: "estimated",
            queues: [urgent, lower],
        });
        await cell.clock.advance(5_000);
        const steps = readSteps(`1 of ${cores} cores for ${runMs} ms`);
        for (let atMs = 0, number = 1; atMs < streamForMs; atMs += everyMs, number += 1) {
            cell.clock.setTimer(atMs, () => cell.submit(jobIdOf(number), steps, lowerQueueKey));
        }
        await cell.clock.advance(gangAfterMs);
        cell.submit(gangId, readSteps(`${workers} gang of ${gangCores} cores for 1000 ms`));
        const submittedAtMs = cell.clock.monotonicMs();
        const begins = (): number | undefined =>
            cell.workers.evidence.find(({ taskName }) => taskName.startsWith(gangId))?.startedAtMs;
        await cell.until(() => begins() !== undefined, streamForMs);
        part(this).gangWaitedMs = (begins() ?? Infinity) - submittedAtMs;
    },
);

Then("the gang begins within {int} ms", function(this: ScenarioWorld, limitMs: number) {
    const waitedMs = part(this).gangWaitedMs;
    assert.ok(waitedMs <= limitMs, `it begins after ${waitedMs} ms`);
});
