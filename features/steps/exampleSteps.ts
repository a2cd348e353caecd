/** Steps that run one example for each module of the library, and check that no module lacks one. */

import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readdirSync } from "node:fs";
import { basename } from "node:path";
import { coordinationExamples } from "./examples/coordination.js";
import { decisionExamples } from "./examples/decisions.js";
import { ownershipExamples } from "./examples/ownership.js";
import { shardExamples } from "./examples/shard.js";
import { utilityExamples } from "./examples/utilities.js";
import { partOf, type ScenarioWorld } from "./support.js";

const examples: Readonly<Record<string, () => string | Promise<string>>> = {
    ...decisionExamples,
    ...coordinationExamples,
    ...utilityExamples,
    ...ownershipExamples,
    ...shardExamples,
};

const libraryFolder = "packages/puffinarch/src";

Then("each module of core, plugins and utils has an example", () => {
    const files = ["core", "plugins", "utils"].flatMap(folder =>
        readdirSync(`${libraryFolder}/${folder}`, { recursive: true, encoding: "utf8" })
    ).filter(file => file.endsWith(".ts"));
    const missing = files.map(file => basename(file, ".ts")).filter(name => !(name in examples));
    assert.deepEqual(missing, []);
});

When("the example of {string} runs", async function(this: ScenarioWorld, name: string) {
    const run = examples[name] ?? assert.fail(`no example is named ${name}`);
    const result = await run();
    partOf(this, "example", () => result);
});

Then("it gives {string}", function(this: ScenarioWorld, expected: string) {
    assert.equal(partOf(this, "example", () => ""), expected);
});
