import { Given, Then, When } from "@cucumber/cucumber";
import { platformEndpoint } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { type Configuration, type ConfigurationDocument, initialDocument } from "puffinarch";
import { cellPart, during } from "./cellPart.js";
import { faultsOf } from "./platformSteps.js";
import { type Ending, endingOf, type ScenarioWorld } from "./support.js";

const pausedVm = "qro-arena-e1";

const documentOf = (operator: number): ConfigurationDocument => ({
    ...initialDocument,
    policies: [...initialDocument.policies, { name: `operator-${operator}`, placement: "randomOfK", sampleSize: 2 }],
});

const applyThrough = (world: ScenarioWorld, operator: number, document: unknown): Promise<Ending<Configuration>> => {
    const daemons = cellPart(world).cell.daemons();
    const daemon = daemons[operator % daemons.length] ?? assert.fail("there is no daemon");
    const context = { expectedVersion: 0, author: `operator-${operator}`, reason: "a change" };
    return endingOf(daemon.node.configuration.apply(document, context));
};

Given("the cell's table has the fault {string}", function(this: ScenarioWorld, fault: string) {
    cellPart(this).cell.platform.faults.set("tableWrites", faultsOf(fault, 1));
});

When(
    "{int} operators apply different documents against version 0 at once",
    async function(this: ScenarioWorld, operators: number) {
        const state = cellPart(this);
        const changes = Promise.all(
            Array.from({ length: operators }, (_none, index) => applyThrough(this, index, documentOf(index))),
        );
        state.changes = (await during(state.cell, changes)).value ?? [];
    },
);

When("an operator applies a document against version 0", function(this: ScenarioWorld) {
    cellPart(this).openChange = applyThrough(this, 0, documentOf(0));
});

When("an operator applies a document with a repeated policy and a class without policy", function(this: ScenarioWorld) {
    const [policy] = initialDocument.policies;
    cellPart(this).openChange = applyThrough(this, 0, {
        policies: [policy, policy],
        workloadClasses: [{ name: "batch", kind: "batch", policy: "missing", priority: 3 }],
        quotas: [],
    });
});

When("a daemon is paused", function(this: ScenarioWorld) {
    cellPart(this).cell.pause(pausedVm);
});

When("the daemon goes on", function(this: ScenarioWorld) {
    cellPart(this).cell.resume(pausedVm);
});

When("a daemon is cut off from the platform", function(this: ScenarioWorld) {
    cellPart(this).cell.cut(pausedVm, platformEndpoint);
});

Then(
    "one change is accepted and the others meet {string} with version {int}",
    function(this: ScenarioWorld, kind: string, version: number) {
        const { changes } = cellPart(this);
        const losers = changes.filter(change => change.failure !== undefined);
        assert.equal(changes.length - losers.length, 1);
        for (const loser of losers) {
            assert.equal(loser.failure?.kind, kind);
            assert.equal(loser.failure?.winningVersion, version);
        }
    },
);

Then("every loser is shown the difference", function(this: ScenarioWorld) {
    for (const { failure } of cellPart(this).changes) {
        assert.ok(failure === undefined || failure.difference?.includes("+ policy operator-"));
    }
});

Then("the change is {string}", async function(this: ScenarioWorld, answer: string) {
    const state = cellPart(this);
    const ending = (await during(state.cell, state.openChange ?? assert.fail("nothing was applied"))).value;
    state.changes = ending === undefined ? [] : [ending];
    assert.equal(ending?.failure?.kind ?? "accepted", answer);
});

Then("{int} fields are named", function(this: ScenarioWorld, count: number) {
    assert.equal(cellPart(this).changes[0]?.failure?.violations?.length, count);
});

Then("version {int} is in force on every daemon", function(this: ScenarioWorld, version: number) {
    for (const daemon of cellPart(this).cell.daemons()) {
        assert.equal(daemon.node.configuration.inForce().version, version, daemon.vmId);
    }
});

Then("the history has {int} versions", async function(this: ScenarioWorld, count: number) {
    assert.equal((await cellPart(this).cell.platform.table.scan("configuration/history/")).length, count);
});
