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

interface LoadPart {
    policies: ShardPolicies | undefined;
    outcomes: Readonly<Record<string, LoadOutcome>>;
    breaches: readonly string[];
    placed: StepPlacement | undefined;
    gangWaitedMs: number;
}

/** A step whose tasks are placed directly by the placing module, without a cell. */
interface StepPlacement {
    readonly clock: FakeClock;
    readonly placing: TaskPlacer;
    /** Indices of the tasks that were placed on the responsive worker. */
    readonly runs: () => number[];
}

/** State of a scenario that plays a load; the check of guarantees reads `breaches`. */
export const loadPart = (world: ScenarioWorld): LoadPart =>
    partOf(
        world,
        "load",
        () => ({
            policies: undefined,
            outcomes: {},
            breaches: ["no load was run"],
            placed: undefined,
            gangWaitedMs: Infinity,
        }),
    );

const parseName = <T extends string>(names: readonly T[], text: string): T =>
    names.find(name => name === text) ?? assert.fail(`"${text}" is not one of ${names.join(", ")}`);

Given(
    "workers of 8 accelerators with policies {string}, {string}, {string}",
    function(this: ScenarioWorld, order: string, packing: string, room: string) {
        loadPart(this).policies = {
            ...defaultShardSettings.policies,
            order: parseName(Object.keys(schedulingOrders) as (keyof typeof schedulingOrders)[], order),
            packing: parseName(Object.keys(packings) as (keyof typeof packings)[], packing),
            room: parseName(roomPolicies, room),
        };
    },
);

const runLoad = async (world: ScenarioWorld, kinds: readonly LoadKind[], forMs: number): Promise<void> => {
    const { policies } = loadPart(world);
    const cell = createLoadCell(kinds, { workers: 4, seed: 1, allowedPercent: 50, ...(policies && { policies }) });
    loadPart(world).outcomes = await playLoad(cell, kinds, { forMs, restMs: 10_000 });
    loadPart(world).breaches = cell.breaches();
};

When(
    "large and small jobs arrive at {float} times the nominal load for {int} ms",
    async function(this: ScenarioWorld, factor: number, forMs: number) {
        await runLoad(this, acceleratorLoad(factor), forMs);
    },
);

Then(
    /^(\d+) to (\d+) percent of the (\w+) jobs are in time$/,
    function(this: ScenarioWorld, least: string, most: string, kind: string) {
        const outcome = loadPart(this).outcomes[kind] ?? assert.fail(`the load has no ${kind} jobs`);
        const share = 100 * outcome.onTime / outcome.submitted;
        assert.ok(share >= Number(least) && share <= Number(most), `${share} percent: ${JSON.stringify(outcome)}`);
    },
);

Given(
    "a step of {int} tasks whose first task failed on the only responsive worker, while another worker is silent",
    function(this: ScenarioWorld, count: number) {
        const [responsiveWorker, silentWorker] = ["i-1", "i-2"].map((workerId, index) => {
            const worker = newWorker(workerEntry(workerId, index), 5_000);
            worker.runsKnown = true;
            worker.clock = { localMs: 0, clockMs: 0 };
            return worker;
        });
        assert.ok(responsiveWorker !== undefined && silentWorker !== undefined);
        silentWorker.silentLooks = 3;
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
        // A task avoids a worker for 2 s after it failed there: until 5 s here, when the silent worker's leases end too.
        step?.tasks[0]?.failedOn.set("i-1", 3_000);
        step?.advice.askedWorkerIds.add("i-1");
        step?.advice.good.set("i-1", { ticket: "t", validUntilMs: 60_000 });
        const clock = createFakeClock();
        const silentLog = { write: () => {} };
        const meter = { count: () => {}, record: () => {}, total: () => 0, percentile: () => 0 };
        const placing = createTaskPlacer({
            clock,
            log: silentLog,
            meter,
            settings: defaultShardSettings,
            workers: new Map([["i-1", responsiveWorker], ["i-2", silentWorker]]),
            dispatcher: createAdviceDispatcher({
                clock,
                log: silentLog,
                meter,
                lanes: () => [],
                call: () => assert.fail(),
            }),
            onPlanned: () => {},
            onPreempt: () => {},
            wake: () => {},
        });
        placing.updateJob(job);
        loadPart(this).placed = {
            clock,
            placing,
            runs: () => [...responsiveWorker.runs.values()].map(run => run.task.index),
        };
    },
);

const placed = (world: ScenarioWorld): StepPlacement =>
    loadPart(world).placed ?? assert.fail("the scenario has no step to place");

When("the step is placed", function(this: ScenarioWorld) {
    placed(this).placing.runPass();
});

When("the step is placed after the leases of the silent worker have expired", async function(this: ScenarioWorld) {
    await placed(this).clock.advance(6_000);
    placed(this).placing.runPass();
});

Then("tasks {string} run on the responsive worker", function(this: ScenarioWorld, indices: string) {
    assert.equal(placed(this).runs().sort().join(", "), indices);
});

Then("no capacity limit or execution guarantee was violated", function(this: ScenarioWorld) {
    assert.deepEqual(loadPart(this).breaches, []);
});

const lowerQueueKey = "stages.example/later/";
const gangId = jobIdOf(9_000);
const streamForMs = 40_000;

When(
    "tasks of {int} cores for {int} ms arrive at {int} workers every {int} ms, and after {int} ms a more urgent gang of {int} cores, seed {int}",
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
        const firstStartedAtMs = (): number | undefined =>
            cell.workers.evidence.find(({ taskName }) => taskName.startsWith(gangId))?.startedAtMs;
        await cell.until(() => firstStartedAtMs() !== undefined, streamForMs);
        loadPart(this).gangWaitedMs = (firstStartedAtMs() ?? Infinity) - submittedAtMs;
    },
);

Then("the gang starts within {int} ms", function(this: ScenarioWorld, limitMs: number) {
    const waitedMs = loadPart(this).gangWaitedMs;
    assert.ok(waitedMs <= limitMs, `the gang started after ${waitedMs} ms`);
});
