/** Steps about starts that a worker does not answer and carries out late. */

import { Given, Then, When } from "@cucumber/cucumber";
import { type DelayedStartOutcome, type DelayedStartPlan, playDelayedStart } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    plan: DelayedStartPlan;
    outcomes: readonly DelayedStartOutcome[];
}

const part = (world: ScenarioWorld): Part =>
    partOf(world, "delayedStart", () => ({
        plan: { steps: "1", downMs: 50, lateForMs: 200, crashesAtMs: [], faults: [] },
        outcomes: [],
    }));

const extendPlan = (world: ScenarioWorld, more: Partial<DelayedStartPlan>): void => {
    part(world).plan = { ...part(world).plan, ...more };
};

Given(
    "the start of a job of steps {string} is sent to a worker that carries orders out late for {int} ms",
    function(this: ScenarioWorld, steps: string, lateForMs: number) {
        extendPlan(this, { steps, lateForMs });
    },
);

Given(
    "that worker crashes after {string} ms, for {int} ms each time",
    function(this: ScenarioWorld, text: string, downMs: number) {
        extendPlan(this, { crashesAtMs: text === "" ? [] : text.split(",").map(Number), downMs });
    },
);

Given(
    "the fault {string} comes after {int} ms, for {int} ms",
    function(this: ScenarioWorld, name: string, atMs: number, forMs: number) {
        extendPlan(this, { faults: [{ name, atMs, forMs }] });
    },
);

Given("workers refuse tickets of other incarnations", function(this: ScenarioWorld) {
    extendPlan(this, { checksTickets: true });
});

Given(
    "{int} jobs of steps {string} follow, {int} ms apart",
    function(this: ScenarioWorld, count: number, steps: string, apartMs: number) {
        extendPlan(this, { others: { count, steps, apartMs } });
    },
);

When("this is simulated with {int} seeds", async function(this: ScenarioWorld, count: number) {
    const outcomes: DelayedStartOutcome[] = [];
    for (let seed = 1; seed <= count; seed += 1) {
        outcomes.push(await playDelayedStart(seed, part(this).plan));
    }
    part(this).outcomes = outcomes;
});

Then("every simulation ends without a violation", function(this: ScenarioWorld) {
    assert.deepEqual(
        part(this).outcomes.flatMap(({ problems }, index) => problems.map(each => `${index + 1}: ${each}`)),
        [],
    );
});

Then(
    "the task first runs after {int} to {int} ms",
    function(this: ScenarioWorld, leastMs: number, mostMs: number) {
        for (const { firstRunAfterMs } of part(this).outcomes) {
            assert.ok(firstRunAfterMs >= leastMs && firstRunAfterMs <= mostMs, `first run after ${firstRunAfterMs} ms`);
        }
    },
);

Then("every other start got an answer", function(this: ScenarioWorld) {
    assert.deepEqual(part(this).outcomes.map(({ unanswered }) => unanswered), part(this).outcomes.map(() => 1));
});
