import { Then, When } from "@cucumber/cucumber";
import { type BrokenPart, type Exploration, explore } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { partOf, type ScenarioWorld } from "./support.js";

interface ExplorationPart {
    readonly results: Exploration[];
    readonly search: { part: BrokenPart | undefined; first: number; };
}

const stepsInSchedule = 30;

const part = (world: ScenarioWorld): ExplorationPart =>
    partOf(world, "exploration", () => ({ results: [], search: { part: undefined, first: 1 } }));

const show = ({ seed, broken, steps }: Exploration): string =>
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
    assert.deepEqual(results.filter(result => result.broken.length > 0).map(show), []);
});

When(
    "schedules from {int} on are explored with the part {string} broken",
    function(this: ScenarioWorld, first: number, name: string) {
        Object.assign(part(this).search, { part: name as BrokenPart, first });
    },
);

Then("a broken promise is found within {int} schedules", async function(this: ScenarioWorld, most: number) {
    const { search: { part: broken, first } } = part(this);
    for (let seed = first; seed < first + most; seed += 1) {
        const result = await explore({ seed, steps: stepsInSchedule, part: broken });
        if (result.broken.length > 0) {
            return;
        }
    }
    assert.fail(`${broken} was not found within ${most} schedules from ${first} on`);
});
