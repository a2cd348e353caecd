import { Given, Then, When } from "@cucumber/cucumber";
import { platformEndpoint } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { type Configuration, type ConfigurationDocument, initialDocument } from "puffinarch";
import { awaitWithClock, cellPart } from "./cellPart.js";
import { createTableFaults } from "./platformSteps.js";
import { type CallOutcome, outcomeOf, type ScenarioWorld } from "./support.js";

const faultyVmId = "qro-arena-e1";

const createDocument = (operator: number): ConfigurationDocument => ({
    ...initialDocument,
    policies: [...initialDocument.policies, { name: `operator-${operator}`, placement: "randomOfK", sampleSize: 2 }],
});

const applyVia = (world: ScenarioWorld, operator: number, document: unknown): Promise<CallOutcome<Configuration>> => {
    const daemons = cellPart(world).cell.daemons();
    const daemon = daemons[operator % daemons.length] ?? assert.fail("the cell has no daemons");
    const context = { expectedVersion: 0, author: `operator-${operator}`, reason: "a change" };
    return outcomeOf(daemon.node.configuration.apply(document, context));
};

Given("the cell's table has the fault {string}", function(this: ScenarioWorld, fault: string) {
    cellPart(this).cell.platform.faults.set("tableWrites", createTableFaults(fault, 1));
});

When(
    "{int} operators apply different documents against version 0 at once",
    async function(this: ScenarioWorld, operators: number) {
        const state = cellPart(this);
        const changes = Promise.all(
            Array.from({ length: operators }, (_none, index) => applyVia(this, index, createDocument(index))),
        );
        state.changes = (await awaitWithClock(state.cell, changes)).value ?? [];
    },
);

When("an operator applies a document against version 0", function(this: ScenarioWorld) {
    cellPart(this).pendingChange = applyVia(this, 0, createDocument(0));
});

When("an operator applies a document with a repeated policy and a class without policy", function(this: ScenarioWorld) {
    const [policy] = initialDocument.policies;
    cellPart(this).pendingChange = applyVia(this, 0, {
        policies: [policy, policy],
        workloadClasses: [{ name: "batch", kind: "batch", policy: "missing", priority: 3 }],
        quotas: [],
    });
});

When("a daemon is paused", function(this: ScenarioWorld) {
    cellPart(this).cell.pause(faultyVmId);
});

When("the paused daemon resumes", function(this: ScenarioWorld) {
    cellPart(this).cell.resume(faultyVmId);
});

When("a daemon is cut off from the platform", function(this: ScenarioWorld) {
    cellPart(this).cell.cut(faultyVmId, platformEndpoint);
});

Then(
    "one change is accepted and the others fail with {string} and the winning version {int}",
    function(this: ScenarioWorld, kind: string, version: number) {
        const { changes } = cellPart(this);
        const rejected = changes.filter(change => change.failure !== undefined);
        assert.equal(changes.length - rejected.length, 1);
        for (const change of rejected) {
            assert.equal(change.failure?.kind, kind);
            assert.equal(change.failure?.winningVersion, version);
        }
    },
);

Then("every failure contains the difference between the documents", function(this: ScenarioWorld) {
    for (const { failure } of cellPart(this).changes) {
        assert.ok(failure === undefined || failure.difference?.includes("+ policy operator-"));
    }
});

Then("the change is {string}", async function(this: ScenarioWorld, answer: string) {
    const state = cellPart(this);
    const ending =
        (await awaitWithClock(state.cell, state.pendingChange ?? assert.fail("no document was applied"))).value;
    state.changes = ending === undefined ? [] : [ending];
    assert.equal(ending?.failure?.kind ?? "accepted", answer);
});

Then("the failure lists {int} fields", function(this: ScenarioWorld, count: number) {
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
