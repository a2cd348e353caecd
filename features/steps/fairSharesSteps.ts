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
    noopLog,
    noopMeter,
    playLoad,
    readSteps,
    testQueue,
    workerEntry,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    type Accounts,
    add,
    createAccounts,
    createFairShares,
    createTaskPlacer,
    defaultShardSettings,
    dropRun,
    failureOf,
    freeCapacityOf,
    headroomPolicies,
    holdCapacity,
    isOverShare,
    newJob,
    newRun,
    newWorker,
    noResources,
    type Organisation,
    planHeadroom,
    type RankedStep,
    runPhases,
    type SchedulingOrder,
    schedulingOrders,
    type ShardJob,
    type ShardPolicies,
    type ShardRun,
    type ShardStep,
    type ShardWorker,
    type ShareHolder,
    sharesPolicies,
    type Standing,
    standings,
    type TaskPlacer,
    type Violation,
} from "puffinarch";
import { parsePlatformSettings, shardPoliciesFor } from "puffinarch-platform";
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
    /** Sums of counters and largest values of histograms, by name. */
    readonly measured: Map<string, number>;
    readonly logged: { readonly event: string; readonly fields: Readonly<Record<string, unknown>>; }[];
    /** Runs that a scenario ends. */
    readonly toEnd: ShardRun[];
    order: number;
}

interface Part {
    outcomes: Readonly<Record<string, LoadOutcome>>;
    placement: Placement | undefined;
    /** Order, shares and headroom by the settings that were read. */
    policies: string;
}

const part = (world: ScenarioWorld): Part =>
    partOf(world, "fairShares", () => ({ outcomes: {}, placement: undefined, policies: "refused" }));

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
    { forMs, policies, organisations, actions }: {
        readonly forMs: number;
        readonly policies: Partial<ShardPolicies>;
        readonly organisations?: readonly Organisation[];
        readonly actions?: Parameters<typeof playLoad>[2]["actions"];
    },
): Promise<void> => {
    const cell = createLoadCell(kinds, {
        workers,
        seed: 1,
        allowedPercent: 100,
        policies: { ...defaultShardSettings.policies, ...policies },
        organisations,
    });
    part(world).outcomes = await playLoad(cell, kinds, { forMs, restMs, actions });
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

const policiesOf = (order: string, shares: string, headroom: string): ShardPolicies => ({
    ...defaultShardSettings.policies,
    order: orderOf(order),
    shares: sharesPolicies.find(each => each === shares) ?? assert.fail(shares),
    headroom: headroomPolicies.find(each => each === headroom) ?? assert.fail(headroom),
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
    const measured = new Map<string, number>();
    const accounts = createAccounts();
    const placer = createTaskPlacer({
        clock,
        log: { write: (_level, event, fields) => logged.push({ event, fields }) },
        meter: {
            ...noopMeter,
            count: (name, by = 1) => measured.set(name, (measured.get(name) ?? 0) + by),
            record: (name, value) => measured.set(name, Math.max(measured.get(name) ?? 0, value)),
        },
        settings: { ...defaultShardSettings, policies },
        workers: workersById,
        accounts,
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
    return {
        clock,
        workers: workersById,
        placer,
        accounts,
        steps: new Map(),
        stopped,
        measured,
        logged,
        toEnd: [],
        order: 1,
    };
};

/** How long before the step of the scenario a job was accepted. */
const agesMs: Readonly<Record<string, number>> = {
    ", which is overdue": 1_000_000,
    ", accepted by another owner": 100,
};

/** Creates the job of a step. */
const jobOf = (
    placement: Placement,
    text: string,
    { priority, ageMs = 0, organisation = "" }: {
        readonly priority: number;
        readonly ageMs?: number;
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
    const acceptedAtMs = placement.clock.nowMs() - ageMs;
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
    /^a step "([^"]+)" of priority (\d+) that runs on "([^"]+)"( until it is ended)?$/,
    function(this: ScenarioWorld, text: string, priority: string, workerId: string, ended: string | null) {
        const placement = placementOf(this);
        const worker = placement.workers.get(workerId) ?? assert.fail(workerId);
        for (const task of taskOf(jobOf(placement, text, { priority: Number(priority) })).step.tasks) {
            const startedAtMs = placement.clock.monotonicMs();
            const run = newRun(task, workerId, 1, { phase: runPhases.running, startedAtMs });
            assert.ok(holdCapacity(worker, run));
            task.runs.push(run);
            if (ended !== null) {
                placement.toEnd.push(run);
            }
        }
    },
);

Given(
    /^a waiting step "([^"]+)" of priority (\d+) called "([^"]+)"(, which is overdue|, accepted by another owner)?$/,
    function(this: ScenarioWorld, text: string, priority: string, name: string, accepted: string | null) {
        const placement = placementOf(this);
        const job = jobOf(placement, text, { priority: Number(priority), ageMs: agesMs[accepted ?? ""] ?? 0 });
        placement.steps.set(name, taskOf(job).step);
        placement.placer.updateJob(job);
    },
);

When("the placer runs for {int} ms", async function(this: ScenarioWorld, forMs: number) {
    await advance(placementOf(this), forMs);
});

When(
    "the placer runs for {int} ms, the runs are ended, and it runs for {int} ms",
    async function(this: ScenarioWorld, beforeMs: number, afterMs: number) {
        const placement = placementOf(this);
        await advance(placement, beforeMs);
        for (const run of placement.toEnd) {
            dropRun(placement.workers.get(run.workerId) ?? assert.fail(run.workerId), run);
        }
        await advance(placement, afterMs);
    },
);

Then("{int} cores are free", function(this: ScenarioWorld, cores: number) {
    const free = [...placementOf(this).workers.values()].map(worker => freeCapacityOf(worker).cpuMillis);
    assert.equal(free.reduce((sum, each) => sum + each, 0), 1_000 * cores);
});

Then(
    "the headroom is {int} cores with {int} of {int} cores used, urgent work of {int} cores that holds {int}, and capacity {string}",
    (cores: number, usedCores: number, capacityCores: number, urgentCores: number, held: number, room: string) => {
        const inputs = { capacityCores, usedCores, urgentCores, urgentHeldCores: held, isShort: room === "short" };
        assert.equal(planHeadroom(inputs), cores);
    },
);

When(
    "urgent jobs arrive for {int} ms beside wide batches for {int} ms, with the headroom {string}",
    async function(this: ScenarioWorld, urgentMs: number, forMs: number, headroom: string) {
        // Of 256 cores; an urgent job takes 29 core-seconds, a batch 425.
        const urgent = createKind("urgent", "3 of 12 cores for 800 ms", 28_800 / (0.15 * 64 * workers), {
            priority: 0,
            stretch: 1.5,
            targetRuntimeMs: 250,
            advice: undefined,
        });
        const batch = createKind("batch", "25 of 5 cores for 3400 ms", 425_000 / (1.1 * 64 * workers), {
            priority: 2,
            stretch: 4,
            targetRuntimeMs: 10_000,
            advice: undefined,
        });
        await play(this, [{ ...urgent, arrivesMs: { from: 0, until: urgentMs } }, batch], {
            forMs,
            policies: policiesOf("value", "none", headroom),
        });
    },
);

Then("the step {string} has {int} run(s)", function(this: ScenarioWorld, name: string, count: number) {
    const step = placementOf(this).steps.get(name) ?? assert.fail(name);
    assert.equal(step.tasks.filter(task => task.runs.length > 0).length, count);
});

Then(/^(no|\d+) runs? (?:was|were) stopped$/, function(this: ScenarioWorld, count: string) {
    assert.equal(placementOf(this).stopped.size, count === "no" ? 0 : Number(count));
});

/** Parses holders such as "north 51 0 1": name, cores, memory in MiB and weight. */
const holderOf = (text: string): ShareHolder => {
    const [organisation = "", cores, memoryMib, weight] = text.split(" ");
    const held = { cpuMillis: 1_000 * Number(cores), memoryMib: Number(memoryMib), accelerators: 0 };
    return { organisation, held, weight: Number(weight) };
};

Then(
    "of the organisations {string} with {int} cores and {int} MiB, {string} are over their share",
    (text: string, cores: number, memoryMib: number, expected: string) => {
        const holders = text.split(", ").map(holderOf);
        const room = { cpuMillis: 1_000 * cores, memoryMib, accelerators: 0 };
        const over = holders.filter(holder => isOverShare(holder, holders, room)).map(each => each.organisation);
        assert.equal(over.join(", ") || "none", expected);
    },
);

Then(
    "with the policy {string} and capacity {string} the steps {string} are placed as {string}",
    (shares: string, room: string, text: string, expected: string) => {
        const placement = createPlacement(2, 8, policiesOf("due", shares, "none"));
        for (const [name, cores] of [["north", 9], ["south", 1], ["east", 0]] as const) {
            placement.accounts.of(name).held = { ...noResources, cpuMillis: 1_000 * cores };
        }
        const texts = text.split(", ");
        const ranked: readonly RankedStep[] = texts.map(each => {
            const [priority, organisation = "", cores] = each.split(" ");
            const job = jobOf(placement, `1 of ${cores} cores`, { priority: Number(priority), organisation });
            return { step: taskOf(job).step, standing: standings.onTime, dueAtMs: Infinity };
        });
        const { workers: byId, accounts } = placement;
        const policies = policiesOf("due", shares, "none");
        const shortage = { isShort: () => room === "short" };
        const fairShares = createFairShares({
            log: noopLog,
            meter: noopMeter,
            policies,
            workers: byId,
            accounts,
            shortage,
        });
        const placed: string[] = [];
        for (const each of fairShares.arrange(ranked, 0)) {
            placed.push(texts[ranked.indexOf(each)] ?? "");
            const { account } = each.step.occurrence.job;
            account.held = add(account.held, each.step.spec.size);
        }
        assert.equal(placed.join(", "), expected);
    },
);

When(
    "{string} holds all of {int} workers, and {string} and {string} have waiting steps for {int} ms",
    async function(this: ScenarioWorld, holder: string, count: number, first: string, second: string, forMs: number) {
        const placement = createPlacement(count, 8, policiesOf("due", "heldRoom", "none"));
        part(this).placement = placement;
        for (const worker of placement.workers.values()) {
            const { step } = taskOf(jobOf(placement, "1 of 8 cores", { priority: 1, organisation: holder }));
            for (const task of step.tasks) {
                assert.ok(holdCapacity(worker, newRun(task, worker.workerId, 1, { phase: runPhases.running })));
            }
        }
        for (const organisation of [first, second]) {
            placement.placer.updateJob(jobOf(placement, "1", { priority: 1, organisation }));
        }
        await advance(placement, forMs);
    },
);

Then(
    "{string} was logged {int} times, as {string}",
    function(this: ScenarioWorld, event: string, times: number, fields: string) {
        const lines = placementOf(this).logged.filter(line => line.event === event);
        assert.deepEqual(lines.map(line => line.fields), Array.from({ length: times }, () => JSON.parse(fields)));
    },
);

Then("the counter {string} is at least {int}", function(this: ScenarioWorld, name: string, least: number) {
    assert.ok((placementOf(this).measured.get(name) ?? 0) >= least, JSON.stringify([...placementOf(this).measured]));
});

Then("the largest headroom was {float} cores", function(this: ScenarioWorld, cores: number) {
    assert.equal(Number((placementOf(this).measured.get("headroomCores") ?? 0).toFixed(1)), cores);
});

const organisationsOf = (names: readonly string[], firstCap = noResources): readonly Organisation[] =>
    names.map((name, index) => ({ name, keyDigests: [], weight: 1, cap: index === 0 ? firstCap : noResources }));

/** What happens besides the load, by name; the burst lasts from 3 to 10 s. */
const events: Readonly<
    Record<string, (names: readonly string[]) => NonNullable<Parameters<typeof playLoad>[2]["actions"]>>
> = {
    "nothing else happens": () => [],
    "its cap is lowered": names => {
        const cap = { ...noResources, cpuMillis: 48_000 };
        return [{ atMs: 5_000, act: cell => cell.configure(2, organisationsOf(names, cap)) }];
    },
    "it is removed and returns": names => [
        { atMs: 5_000, act: cell => cell.configure(2, organisationsOf(names).slice(1)) },
        { atMs: 8_000, act: cell => cell.configure(3, organisationsOf(names)) },
    ],
    "the owner is lost": () => [{ atMs: 5_000, act: cell => cell.kill(cell.owner() ?? "") }],
};

When(
    "one of {int} organisations sends at {int} times its rate for {int} ms with the policy {string} while {string}",
    async function(
        this: ScenarioWorld,
        count: number,
        factor: number,
        burstMs: number,
        shares: string,
        event: string,
    ) {
        const names = Array.from({ length: count }, (_, index) => `organisation-${index}`);
        // Each job takes 26 core-seconds of 256 cores.
        const everyMs = 25_600 * count / (0.9 * 64 * workers);
        const queue = { priority: 1, stretch: 2, targetRuntimeMs: 700, advice: undefined };
        const kind = createKind("all", "4 of 8 cores for 800 ms", everyMs, queue);
        const burst: LoadKind = {
            ...kind,
            name: "burst",
            organisation: names[0] ?? "",
            everyMs: everyMs / (factor - 1),
            arrivesMs: { from: 3_000, until: 3_000 + burstMs },
        };
        await play(this, [...names.map(name => ({ ...kind, name, organisation: name })), burst], {
            forMs: 14_000,
            policies: policiesOf("value", shares, "none"),
            organisations: organisationsOf(names),
            actions: (events[event] ?? assert.fail(event))(names),
        });
    },
);

Then(
    /^(\d+) to (\d+) percent of the jobs of the worst-served other organisation are in time$/,
    function(this: ScenarioWorld, least: string, most: string) {
        const outcomes = Object.entries(part(this).outcomes).filter(([name]) =>
            name !== "burst" && name !== "organisation-0"
        );
        const worst = Math.min(...outcomes.map(([, { onTime, submitted }]) => 100 * onTime / submitted));
        assert.ok(worst >= Number(least) && worst <= Number(most), `${worst} percent: ${JSON.stringify(outcomes)}`);
    },
);

/** A valid settings file of the platform's daemon, up to line 11. */
const validSettings = [
    "vmId: entry-1",
    "dataCentre: leon-feria",
    "host: 10.0.0.1",
    "callersAddress: 10.0.0.1:1",
    "readinessAddress: 10.0.0.1:2",
    "peerPorts: [1, 2]",
    "storeAddress: 10.0.0.2:1",
    "metricsPort: 9464",
    "bounds:",
    "  { graceS: 6, leaseLimitMs: 9000,",
    "  stopMs: 900, statusS: 60 }",
];

When("the platform's settings with {string} are read", function(this: ScenarioWorld, line: string) {
    let violations: readonly Violation[] = [];
    try {
        const settings = parsePlatformSettings([...validSettings, ...line.split("\\n")].join("\n"));
        const { order, shares, headroom } = shardPoliciesFor(settings);
        part(this).policies = `${order}, ${shares}, ${headroom}`;
    }
    catch (error) {
        violations = failureOf(error).violations ?? [];
    }
    partOf(this, "violations", () => violations);
});

Then("the shard's policies are {string}", function(this: ScenarioWorld, policies: string) {
    assert.equal(part(this).policies, policies);
});
