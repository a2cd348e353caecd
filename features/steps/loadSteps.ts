import { Given, Then, When } from "@cucumber/cucumber";
import { acceleratorLoad, createLoadCell, type LoadKind, type LoadOutcome, playLoad } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { packings, roomPolicies, type ShardPolicies, turnOrders } from "puffinarch";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    policies: ShardPolicies | undefined;
    outcomes: Readonly<Record<string, LoadOutcome>>;
    breaches: readonly string[];
}

const part = (world: ScenarioWorld): Part =>
    partOf(world, "load", () => ({ policies: undefined, outcomes: {}, breaches: ["nothing was played"] }));

const nameIn = <T extends string>(names: readonly T[], text: string): T =>
    names.find(name => name === text) ?? assert.fail(`"${text}" is none of ${names.join(", ")}`);

Given(
    "workers of 8 accelerators with policies {string}, {string}, {string}",
    function(this: ScenarioWorld, order: string, packing: string, room: string) {
        part(this).policies = {
            order: nameIn(Object.keys(turnOrders) as (keyof typeof turnOrders)[], order),
            packing: nameIn(Object.keys(packings) as (keyof typeof packings)[], packing),
            room: nameIn(roomPolicies, room),
        };
    },
);

const play = async (world: ScenarioWorld, kinds: readonly LoadKind[], forMs: number): Promise<void> => {
    const { policies } = part(world);
    const cell = createLoadCell(kinds, { workers: 4, seed: 1, goodPercent: 50, ...(policies && { policies }) });
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
        const share = 100 * outcome.inTime / outcome.asked;
        assert.ok(share >= Number(least) && share <= Number(most), `${share} percent: ${JSON.stringify(outcome)}`);
    },
);

Then("no worker held more than it has", function(this: ScenarioWorld) {
    assert.deepEqual(part(this).breaches, []);
});
