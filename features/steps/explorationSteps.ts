/** Steps that run random, seeded orders of faults on cells and on shards, and check that every promise holds. */

import { Then, When } from "@cucumber/cucumber";
import {
    type BrokenPart,
    type BrokenShardPart,
    type CancellingMode,
    crowdedShapes,
    type CuttingMode,
    type Exploration,
    explore,
    exploreShardSeed,
    type Scene,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { lookUp } from "puffinarch";
import { partOf, type ScenarioWorld } from "./support.js";

interface ExplorationPart {
    readonly results: Exploration[];
    /** What went wrong for the seeds that were run on a shard, and which part is broken on purpose, from which seed on. */
    readonly shard: { wrong: readonly string[] | undefined; broken: BrokenShardPart | undefined; first: number; };
    /** The schedules in which a broken promise is searched: the part that is broken, the scene and the first seed. */
    readonly search: { part: BrokenPart | undefined; scene: Scene | undefined; first: number; };
}

/** Modes of cuts in an outage, by how scenarios name them. */
const cuttingModes: Readonly<Record<string, CuttingMode>> = {
    "looks that are lost": "plain",
    "looks that are carried out late": "looksLate",
    "former workers listed": "deadListed",
};

const stepsInSchedule = 30;
const stepsInScene = 12;

const part = (world: ScenarioWorld): ExplorationPart =>
    partOf(
        world,
        "exploration",
        () => ({
            results: [],
            shard: { wrong: undefined, broken: undefined, first: 1 },
            search: { part: undefined, scene: undefined, first: 1 },
        }),
    );

const formatResult = ({ seed, broken, steps }: Exploration): string =>
    `seed ${seed}: ${broken.join("; ")}\n${steps.join("\n")}`;

When("the schedules {int} to {int} are explored", async function(this: ScenarioWorld, first: number, last: number) {
    const { results } = part(this);
    for (let seed = first; seed <= last; seed += 1) {
        results.push(await explore({ seed, steps: stepsInSchedule }));
    }
});

Then("every promise holds in each of them", function(this: ScenarioWorld) {
    const { results } = part(this);
    assert.ok(results.some(result => result.tasksAccepted > 0));
    assert.deepEqual(results.filter(result => result.broken.length > 0).map(formatResult), []);
});

When(
    "the schedules {int} to {int} of {int} steps are explored with the scene {string}",
    async function(this: ScenarioWorld, first: number, last: number, steps: number, scene: string) {
        const { results } = part(this);
        for (let seed = first; seed <= last; seed += 1) {
            results.push(await explore({ seed, steps, scene: scene as Scene }));
        }
    },
);

When(
    "schedules from {int} on are explored with the scene {string} and the part {string} broken",
    function(this: ScenarioWorld, first: number, scene: string, name: string) {
        Object.assign(part(this).search, { part: name as BrokenPart, scene: scene as Scene, first });
    },
);

Then("a broken promise is found within {int} schedules", async function(this: ScenarioWorld, most: number) {
    const { search: { part: broken, scene, first } } = part(this);
    for (let seed = first; seed < first + most; seed += 1) {
        const result = await explore({ seed, steps: stepsInScene, scene, part: broken });
        if (result.broken.some(each => !each.includes("not answered"))) {
            return;
        }
    }
    assert.fail(`no promise broke within ${most} schedules from ${first} on, with the part ${broken} broken`);
});

/** Faults that are combined with caps of organisations, by their names in the table of examples. */
const faultsWithCaps: Readonly<Record<string, Parameters<typeof exploreShardSeed>[1]>> = {
    serve: {},
    "start again under their IDs": { keepsIds: true, crashedDownMs: 600 },
    fail: { failing: true },
    "shrink and grow": { resizing: true },
    "crash under their tasks": { crashing: true },
};

When(
    "the seed {int} is explored on a shard with organisations, among workers that {}",
    async function(this: ScenarioWorld, seed: number, what: string) {
        assert.ok(what in faultsWithCaps, what);
        part(this).shard.wrong = await exploreShardSeed(seed, { capped: true, ...faultsWithCaps[what] });
    },
);

When(
    "the seed {int} is explored on a shard with long-running jobs",
    async function(this: ScenarioWorld, seed: number) {
        part(this).shard.wrong = await exploreShardSeed(seed, { lasting: true });
    },
);

When(
    "the seed {int} is explored on a shard with jobs that crash their workers, among jobs that {word}",
    async function(this: ScenarioWorld, seed: number, others: string) {
        part(this).shard.wrong = await exploreShardSeed(seed, { crashing: true, lasting: others === "last" });
    },
);

When(
    "the seed {int} is explored on a shard whose workers shrink, with tasks that are {word}",
    async function(this: ScenarioWorld, seed: number, size: string) {
        const shapes = size === "large" ? crowdedShapes : undefined;
        part(this).shard.wrong = await exploreShardSeed(seed, { resizing: true, shapes });
    },
);

When(
    "the seed {int} is explored on a shard whose daemons' VMs are suspended",
    async function(this: ScenarioWorld, seed: number) {
        part(this).shard.wrong = await exploreShardSeed(seed, { suspending: true, crashing: true });
    },
);

When(
    "the seed {int} is explored with long-running and crashing jobs, workers that shrink and VMs that are suspended",
    async function(this: ScenarioWorld, seed: number) {
        part(this).shard.wrong = await exploreShardSeed(seed, {
            lasting: true,
            crashing: true,
            resizing: true,
            suspending: true,
        });
    },
);

When(
    /^the seed (\d+) is explored on a shard with gangs that save checkpoints, with crashed workers that (change|keep) their IDs$/,
    async function(this: ScenarioWorld, seed: string, ids: string) {
        part(this).shard.wrong = await exploreShardSeed(Number(seed), { saving: true, keepsIds: ids === "keep" });
    },
);

When(
    "the seed {int} is explored on a shard with jobs that crash their workers for {int} ms",
    async function(this: ScenarioWorld, seed: number, crashedDownMs: number) {
        part(this).shard.wrong = await exploreShardSeed(seed, { crashing: true, crashedDownMs });
    },
);

When(
    "the seed {int} is explored on a shard whose workers start again under their IDs after {int} ms, with jobs that {word}",
    async function(this: ScenarioWorld, seed: number, crashedDownMs: number, others: string) {
        part(this).shard.wrong = await exploreShardSeed(seed, {
            keepsIds: true,
            crashedDownMs,
            crashing: others === "end" || others === "last",
            lasting: others === "last" || others === "quiet",
            shapes: others === "crowd" ? crowdedShapes : undefined,
        });
    },
);

When(
    "the seeds {int} to {int} are explored on a shard with orders under way to workers that start again after {int} ms, with jobs that {word}",
    async function(this: ScenarioWorld, first: number, last: number, crashedDownMs: number, others: string) {
        const wrong: string[] = [];
        for (let seed = first; seed <= last; seed += 1) {
            const found = await exploreShardSeed(seed, {
                delayingOrders: true,
                keepsIds: true,
                crashing: true,
                crashedDownMs,
                lasting: others === "last",
            });
            wrong.push(...found.map(each => `${seed}: ${each}`));
        }
        part(this).shard.wrong = wrong;
    },
);

When(
    "the seed {int} is explored on a shard with orders under way to workers that start again after {int} ms, with suspended daemons and workers that fail everything",
    async function(this: ScenarioWorld, seed: number, crashedDownMs: number) {
        part(this).shard.wrong = await exploreShardSeed(seed, {
            delayingOrders: true,
            keepsIds: true,
            suspending: true,
            failing: true,
            crashedDownMs,
        });
    },
);

When(
    "the seed {int} is explored on a shard whose workers fail everything at times, among jobs that {word}",
    async function(this: ScenarioWorld, seed: number, others: string) {
        part(this).shard.wrong = await exploreShardSeed(seed, { failing: true, lasting: others === "last" });
    },
);

/** Kinds of workers by how scenarios name them, with what is explored beside them. */
const workerKinds: Readonly<Record<string, Parameters<typeof exploreShardSeed>[1]>> = {
    "hide runs that are being stopped": { hidingStops: true, lasting: true },
    "hide runs that are being stopped and keep their IDs": {
        hidingStops: true,
        lasting: true,
        keepsIds: true,
        checksTickets: true,
    },
    "check starts once and begin runs later": { checkingOnce: true, checksTickets: true },
    "check starts once and begin runs later, with daemons that are stopped": { checkingOnce: true, stopping: true },
};

When(
    /^the seed (\d+) is explored on a shard whose workers ((?:hide|check) .+)$/,
    async function(this: ScenarioWorld, seed: string, kind: string) {
        assert.ok(kind in workerKinds, kind);
        part(this).shard.wrong = await exploreShardSeed(Number(seed), workerKinds[kind]);
    },
);

/** Faults that are combined with cancels, by their names in the table of examples. */
const faultsWithCancels: Readonly<Record<string, Parameters<typeof exploreShardSeed>[1]>> = {
    "the usual faults": {},
    "VMs that are suspended": { suspending: true },
    "delayed orders and workers that restart": { delayingOrders: true, keepsIds: true, crashedDownMs: 600 },
};

When(
    "the seed {int} is explored on a shard whose callers cancel jobs that are {word}, among {}",
    async function(this: ScenarioWorld, seed: number, when: string, what: string) {
        assert.ok(what in faultsWithCancels, what);
        const options = { cancelling: when as CancellingMode, ...faultsWithCancels[what] };
        part(this).shard.wrong = await exploreShardSeed(seed, options);
    },
);

When(
    /^the seeds (\d+) to (\d+) are explored on a shard whose data centre is cut off in an outage, with (looks that are lost|looks that are carried out late|former workers listed)$/,
    async function(this: ScenarioWorld, first: string, last: string, what: string) {
        const cutting = lookUp(cuttingModes, what) ?? assert.fail(`nothing is explored with ${what}`);
        const wrong: string[] = [];
        for (let seed = Number(first); seed <= Number(last); seed += 1) {
            const found = await exploreShardSeed(seed, { cutting });
            wrong.push(...found.map(each => `${seed}: ${each}`));
        }
        part(this).shard.wrong = wrong;
    },
);

Then("nothing went wrong on the shard", function(this: ScenarioWorld) {
    assert.deepEqual(part(this).shard.wrong, []);
});

When(
    "seeds from {int} on are explored on a shard with the part {string} broken",
    function(this: ScenarioWorld, first: number, name: string) {
        Object.assign(part(this).shard, { broken: name as BrokenShardPart, first });
    },
);

/** Explores the seeds with the broken part until one has a problem with this text. */
const requireProblem = async (
    { broken, first }: ExplorationPart["shard"],
    most: number,
    text: string,
    options: Parameters<typeof exploreShardSeed>[1] = {},
): Promise<void> => {
    for (let seed = first; seed < first + most; seed += 1) {
        const wrong = await exploreShardSeed(seed, { lasting: true, broken, ...options });
        if (wrong.some(each => each.includes(text))) {
            return;
        }
    }
    assert.fail(`no "${text}" within ${most} seeds from ${first} on, with the part ${broken} broken`);
};

Then("a stalled task is found within {int} seeds", async function(this: ScenarioWorld, most: number) {
    await requireProblem(part(this).shard, most, "stands with room");
});

Then(
    "a task that runs on after its cancel is found within {int} seeds",
    async function(this: ScenarioWorld, most: number) {
        await requireProblem(part(this).shard, most, "ran on after its cancel", { cancelling: "accepted" });
    },
);
