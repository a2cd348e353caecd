/** Steps about shares of organisations, overdue jobs and headroom for urgent work. */

import { Given, Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    createKind,
    createLoadCell,
    type FakeClock,
    jobIdOf,
    type LoadKind,
    type LoadOutcome,
    noopMeter,
    playLoad,
    readSteps,
    testQueue,
    workerEntry,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    type Accounts,
    createAccounts,
    createTaskPlacer,
    defaultShardSettings,
    holdCapacity,
    newJob,
    newRun,
    newWorker,
    type RankedStep,
    runPhases,
    type SchedulingOrder,
    schedulingOrders,
    type ShardJob,
    type ShardPolicies,
    type ShardRun,
    type ShardStep,
    type ShardWorker,
    type Standing,
    standings,
    type TaskPlacer,
} from "puffinarch";
import { submission, taskOf } from "./examples/shardFixtures.js";
import { loadPart } from "./loadSteps.js";
import { partOf, type ScenarioWorld } from "./support.js";

/** A placer whose passes a scenario runs by itself; its runs last until the scenario ends them. */
interface Placement {
    readonly clock: FakeClock;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly placer: TaskPlacer;
    readonly accounts: Accounts;
    readonly steps: Map<string, ShardStep>;
    readonly stopped: Set<ShardRun>;
    readonly logged: { readonly event: string; readonly fields: Readonly<Record<string, unknown>>; }[];
    order: number;
}

interface Part {
    outcomes: Readonly<Record<string, LoadOutcome>>;
    placement: Placement | undefined;
}

const part = (world: ScenarioWorld): Part =>
    partOf(world, "fairShares", () => ({ outcomes: {}, placement: undefined }));

const placementOf = (world: ScenarioWorld): Placement =>
    part(world).placement ?? assert.fail("the scenario has no placer");

const orderOf = (text: string): SchedulingOrder => {
    assert.ok(text in schedulingOrders, text);
    return text as SchedulingOrder;
};

/** Parses a step such as "2 onTime": a priority and a standing. */
const rankedOf = (text: string, index: number): RankedStep => {
    const [priority = "", standing = ""] = text.split(" ");
    assert.ok(standing in standings, standing);
    const job = newJob(submission, { ...testQueue, priority: Number(priority) }, { acceptedAtMs: 0, order: index });
    return { step: taskOf(job).step, standing: standing as Standing, dueAtMs: 0 };
};

Then("the order {string} puts the steps {string} as {string}", (order: string, steps: string, expected: string) => {
    const sorted = steps.split(", ").map(rankedOf).sort(schedulingOrders[orderOf(order)]);
    const names = sorted.map(({ step, standing }) => `${step.occurrence.job.queue.priority} ${standing}`);
    assert.equal(names.join(", "), expected);
});

const workers = 4;
const restMs = 25_000;

const play = async (
    world: ScenarioWorld,
    kinds: readonly LoadKind[],
    { forMs, policies }: { readonly forMs: number; readonly policies: Partial<ShardPolicies>; },
): Promise<void> => {
    const cell = createLoadCell(kinds, {
        workers,
        seed: 1,
        allowedPercent: 100,
        policies: { ...defaultShardSettings.policies, ...policies },
    });
    part(world).outcomes = await playLoad(cell, kinds, { forMs, restMs });
    loadPart(world).breaches = cell.breaches();
};

When(
    "urgent jobs at {float} times the capacity arrive for {int} ms beside batches, with the order {string}",
    async function(this: ScenarioWorld, factor: number, forMs: number, order: string) {
        // Capacity of 4 workers of 64 cores; an urgent job takes 38 core-seconds, a batch 51.
        const capacityCores = 64 * workers;
        const urgent = createKind("urgent", "3 of 16 cores for 800 ms", 38_400 / (factor * capacityCores), {
            priority: 0,
            stretch: 1.2,
            targetRuntimeMs: 200,
            advice: undefined,
        });
        const batch = createKind("batch", "4 of 8 cores for 1600 ms", 3 * 51_200 / capacityCores, {
            priority: 2,
            stretch: 5,
            targetRuntimeMs: 1_000,
            advice: undefined,
        });
        await play(this, [urgent, batch], { forMs, policies: { order: orderOf(order) } });
    },
);

Then(
    /^(\d+) to (\d+) percent of the "([^"]+)" jobs are in time$/,
    function(this: ScenarioWorld, least: string, most: string, kind: string) {
        const outcome = part(this).outcomes[kind] ?? assert.fail(`the load has no ${kind} jobs`);
        const share = 100 * outcome.onTime / outcome.submitted;
        assert.ok(share >= Number(least) && share <= Number(most), `${share} percent: ${JSON.stringify(outcome)}`);
    },
);

Then("every job ends in the end", function(this: ScenarioWorld) {
    for (const [kind, { submitted, open, refused }] of Object.entries(part(this).outcomes)) {
        assert.ok(submitted > 0 && open + refused === 0, `${kind}: ${open} of ${submitted} open, ${refused} refused`);
    }
});

const policiesOf = (order: string, _shares: string, _headroom: string): ShardPolicies => ({
    ...defaultShardSettings.policies,
    order: orderOf(order),
});

const createPlacement = (count: number, cores: number, policies: ShardPolicies): Placement => {
    const clock = createFakeClock();
    const capacity = { cpuMillis: 1_000 * cores, memoryMib: 65_536, accelerators: 0 };
    const open = Array.from({ length: count }, (_, index) => {
        const worker = newWorker({ ...workerEntry(`worker-${index}`, index), capacity }, 0);
        worker.runsKnown = true;
        worker.clock = { localMs: 0, clockMs: 0 };
        return worker;
    });
    const workersById = new Map(open.map(worker => [worker.workerId, worker]));
    const stopped = new Set<ShardRun>();
    const logged: { readonly event: string; readonly fields: Readonly<Record<string, unknown>>; }[] = [];
    const accounts = createAccounts();
    const placer = createTaskPlacer({
        clock,
        log: { write: (_level, event, fields) => logged.push({ event, fields }) },
        meter: noopMeter,
        settings: { ...defaultShardSettings, policies },
        workers: workersById,
        dispatcher: { enqueue: () => assert.fail("no queue uses advice"), wake: () => {}, close: () => {} },
        onPlanned: (_job, runs) => {
            for (const run of runs) {
                run.phase = runPhases.running;
                run.startedAtMs = clock.monotonicMs();
            }
        },
        onPreempt: run => stopped.add(run),
        wake: () => {},
    });
    return { clock, workers: workersById, placer, accounts, steps: new Map(), stopped, logged, order: 1 };
};

/** Creates the job of a step; an overdue one was accepted so long ago that it can be of no value. */
const jobOf = (
    placement: Placement,
    text: string,
    { priority, overdue = false, organisation = "" }: {
        readonly priority: number;
        readonly overdue?: boolean;
        readonly organisation?: string;
    },
): ShardJob => {
    placement.order += 1;
    const queue = {
        ...testQueue,
        key: `p${priority}`,
        priority,
        stretch: 10,
        targetRuntimeMs: 1_000,
        advice: undefined,
    };
    const acceptedAtMs = placement.clock.nowMs() - (overdue ? 1_000_000 : 0);
    return newJob(
        { ...submission, jobId: jobIdOf(placement.order), queueKey: queue.key, organisation, steps: readSteps(text) },
        queue,
        { acceptedAtMs, order: placement.order, account: placement.accounts.of(organisation) },
    );
};

const tickMs = 20;
const advance = async ({ clock, placer }: Placement, forMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < forMs; passedMs += tickMs) {
        placer.runPass();
        await clock.advance(tickMs);
    }
};

Given(
    "{int} worker(s) of {int} cores with the policies {string}, {string}, {string}",
    function(this: ScenarioWorld, count: number, cores: number, order: string, shares: string, headroom: string) {
        part(this).placement = createPlacement(count, cores, policiesOf(order, shares, headroom));
    },
);

Given(
    "a step {string} of priority {int} that runs on {string}",
    function(this: ScenarioWorld, text: string, priority: number, workerId: string) {
        const placement = placementOf(this);
        const worker = placement.workers.get(workerId) ?? assert.fail(workerId);
        for (const task of taskOf(jobOf(placement, text, { priority })).step.tasks) {
            const startedAtMs = placement.clock.monotonicMs();
            const run = newRun(task, workerId, 1, { phase: runPhases.running, startedAtMs });
            assert.ok(holdCapacity(worker, run));
            task.runs.push(run);
        }
    },
);

Given(
    /^a waiting step "([^"]+)" of priority (\d+) called "([^"]+)"(, which is overdue)?$/,
    function(this: ScenarioWorld, text: string, priority: string, name: string, overdue: string | null) {
        const placement = placementOf(this);
        const job = jobOf(placement, text, { priority: Number(priority), overdue: overdue !== null });
        placement.steps.set(name, taskOf(job).step);
        placement.placer.updateJob(job);
    },
);

When("the placer runs for {int} ms", async function(this: ScenarioWorld, forMs: number) {
    await advance(placementOf(this), forMs);
});

Then("the step {string} has {int} run(s)", function(this: ScenarioWorld, name: string, count: number) {
    const step = placementOf(this).steps.get(name) ?? assert.fail(name);
    assert.equal(step.tasks.filter(task => task.runs.length > 0).length, count);
});

Then(/^(no|\d+) runs? (?:was|were) stopped$/, function(this: ScenarioWorld, count: string) {
    assert.equal(placementOf(this).stopped.size, count === "no" ? 0 : Number(count));
});
