import { Then, When } from "@cucumber/cucumber";
import { type BrokenPart, type Exploration, explore, type Scene } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { partOf, type ScenarioWorld } from "./support.js";

interface ExplorationPart {
    readonly results: Exploration[];
    readonly search: { part: BrokenPart | undefined; scene: Scene | undefined; first: number; };
}

const stepsInSchedule = 30;
const stepsInScene = 12;

const part = (world: ScenarioWorld): ExplorationPart =>
    partOf(world, "exploration", () => ({ results: [], search: { part: undefined, scene: undefined, first: 1 } }));

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
    assert.fail(`${broken} was not found within ${most} schedules from ${first} on`);
});
