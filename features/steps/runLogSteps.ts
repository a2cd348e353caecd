/** Steps that test what the log says of ended and dropped runs, each with the workers of one owner and a fake clock. */

import { Then, When } from "@cucumber/cucumber";
import { createFakeClock, type FakeClock, workerEntry } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    adoptRun,
    defaultShardSettings,
    type FencedWorkerPort,
    formatTaskName,
    type LookResult,
    newRun,
    type ShardJob,
    type ShardWorkers,
    type ShardWorkersOptions,
    sleep,
} from "puffinarch";
import { createMeter } from "puffinarchd";
import { exampleJob, openShardWorkers, storedRunOf, taskOf } from "./examples/shardFixtures.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Line {
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

interface Part {
    readonly lines: Line[];
    readonly meter: ReturnType<typeof createMeter>;
}

const part = (world: ScenarioWorld): Part => partOf(world, "runLog", () => ({ lines: [], meter: createMeter() }));

const linesOf = (world: ScenarioWorld, event: string): readonly Line[] =>
    part(world).lines.filter(line => line.event === event);

const openWorkers = (
    world: ScenarioWorld,
    clock: FakeClock,
    look: FencedWorkerPort["look"],
    more: Partial<ShardWorkersOptions>,
): ShardWorkers => {
    const { lines, meter } = part(world);
    return openShardWorkers({
        clock,
        log: {
            write: (_level, event, fields) => {
                lines.push({ event, fields });
            },
        },
        meter,
        port: { start: async () => "done", stop: async () => "done", pace: async () => "done", look },
        ...more,
    });
};

/** Answers looks with the end of run 1 of a task until it is acknowledged; each answer takes 20 ms. */
const listEnd = (clock: FakeClock, taskName: string): FencedWorkerPort["look"] => async (_target, order) => {
    await sleep(clock, 20);
    const answer: LookResult = {
        outcome: "done",
        clockMs: clock.monotonicMs(),
        running: [],
        ended: order.acknowledgedEnd >= 1 ? [] : [{ endNumber: 1, taskName, run: 1, how: "done", checkpoint: "" }],
    };
    return answer;
};

When(
    "{int} workers list the end of a run of an unknown job",
    async function(this: ScenarioWorld, count: number) {
        const clock = createFakeClock();
        const taskName = formatTaskName({ jobId: "0da5e8fb5ce960ca", occurrence: 0, step: 0, index: 0 });
        const workers = openWorkers(this, clock, listEnd(clock, taskName), {});
        workers.update(Array.from({ length: count }, (_, index) => workerEntry(`i-${index}`, index)));
        await clock.advance(500);
        workers.close();
    },
);

When("a worker lists the end of run 1 of a task whose run 2 is live", async function(this: ScenarioWorld) {
    const clock = createFakeClock();
    const job: ShardJob = exampleJob();
    const task = taskOf(job);
    const workers = openWorkers(this, clock, listEnd(clock, task.name), { jobOf: () => job });
    workers.update([workerEntry("i-1", 1)]);
    const worker = workers.all.get("i-1") ?? assert.fail("the worker was not added");
    const run = newRun(task, "i-1", 2, { phase: "running" });
    task.lastRun = 2;
    task.runs.push(run);
    adoptRun(worker, run);
    await clock.advance(30);
    workers.close();
});

When(
    "the worker of a restored run never answers, and its list is {int} ms old",
    async function(this: ScenarioWorld, listAgeMs: number) {
        const clock = createFakeClock();
        const job: ShardJob = exampleJob();
        const look: FencedWorkerPort["look"] = async (_target, { waitMs, answerTimeoutMs }) => {
            await sleep(clock, waitMs + answerTimeoutMs);
            return { outcome: "unknown" };
        };
        const workers = openWorkers(this, clock, look, { jobOf: () => job, listAgeMs: () => listAgeMs });
        workers.restoreRuns([storedRunOf(taskOf(job))]);
        workers.update([workerEntry("i-1", 1)]);
        await clock.advance(defaultShardSettings.formerOwnerMs + 2 * defaultShardSettings.leaseMs);
        workers.checkLeases(clock.monotonicMs());
        workers.close();
    },
);

Then(
    "the log has {int} lines {string}, with {string}",
    function(this: ScenarioWorld, count: number, event: string, text: string) {
        const found = linesOf(this, event);
        assert.equal(found.length, count);
        for (const { fields } of found) {
            for (const pair of text.split(", ")) {
                const [name = "", ...value] = pair.split(" ");
                assert.equal(String(fields[name]), value.join(" "), `${event} has another ${name}`);
            }
        }
    },
);

Then("the line {string} says that no lease is left", function(this: ScenarioWorld, event: string) {
    const [line] = linesOf(this, event);
    assert.ok(Number(line?.fields["leaseLeftMs"]) <= 0, `leaseLeftMs is ${String(line?.fields["leaseLeftMs"])}`);
});

Then("the counter {string} is {int}", function(this: ScenarioWorld, name: string, total: number) {
    assert.equal(part(this).meter.total(name), total);
});
