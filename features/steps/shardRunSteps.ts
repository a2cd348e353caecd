/** Steps that check runs of tasks against the record that the fake workers keep: what ran, how often, where, and what waits. */

import { Then, When } from "@cucumber/cucumber";
import type { ShardCell } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { cellOf, part } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

Then("no run was ended by an expired lease", function(this: ScenarioWorld) {
    const lapsed = cellOf(this).workers.evidence.filter(start => start.how === "lapsed");
    assert.equal(lapsed.length, 0);
});

Then(
    "the log says that the tasks of {int} step(s) wait for {string}, with {string}",
    function(this: ScenarioWorld, count: number, wait: string, counts: string) {
        const { fields } = cellOf(this).log.findLast(line => line.event === "taskWaits")
            ?? assert.fail('the log has no line "taskWaits"');
        assert.equal(fields["lateSteps"], `${wait} ${count}`);
        assert.match(String(fields["longest"]), new RegExp(`: ${wait} for \\d+ ms; ${counts}`));
    },
);

Then(
    "at most {int} of {int} tasks were missing at the same time",
    function(this: ScenarioWorld, mostMissing: number, taskCount: number) {
        const { evidence } = cellOf(this).workers;
        const names = new Set(evidence.map(each => each.taskName));
        assert.equal(names.size, taskCount);
        const firstEndMs = Math.min(...evidence.map(each => each.endedAtMs ?? Infinity));
        assert.ok(Number.isFinite(firstEndMs), "no run has ended");
        for (const { endedAtMs } of evidence) {
            const atMs = (endedAtMs ?? firstEndMs) + 1;
            const present = new Set(
                evidence.filter(each => each.startedAtMs <= atMs && (each.endedAtMs ?? Infinity) > atMs)
                    .map(each => each.taskName),
            );
            assert.ok(
                taskCount - present.size <= mostMissing,
                `${taskCount - present.size} tasks missing at ${atMs} ms`,
            );
        }
    },
);

When("a worker with tasks drains", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const busy = cell.workers.evidence.find(start => start.endedAtMs === undefined);
    part(this).drainingWorker = busy?.workerId ?? "";
    part(this).faultAtMs = cell.clock.monotonicMs();
    cell.drain(part(this).drainingWorker, 5_000);
});

Then("nothing was started on the draining worker after {int} ms", function(this: ScenarioWorld, afterMs: number) {
    const { drainingWorker, faultAtMs } = part(this);
    const late = cellOf(this).workers.evidence.filter(start =>
        start.workerId === drainingWorker && start.startedAtMs > faultAtMs + afterMs
    );
    assert.deepEqual(late, []);
});

Then("nothing runs on the draining worker", function(this: ScenarioWorld) {
    const left = cellOf(this).workers.evidence.filter(start =>
        start.workerId === part(this).drainingWorker && start.endedAtMs === undefined
    );
    assert.deepEqual(left, []);
});

Then("no promise was broken", function(this: ScenarioWorld) {
    assert.deepEqual(cellOf(this).breaches(), []);
});

Then(/^every task ran (\d+) times?$/, function(this: ScenarioWorld, times: string) {
    const runs = new Map<string, number>();
    for (const { taskName } of cellOf(this).workers.evidence) {
        runs.set(taskName, (runs.get(taskName) ?? 0) + 1);
    }
    assert.ok(runs.size > 0);
    assert.deepEqual([...runs].filter(([, count]) => count !== Number(times)), []);
});

Then("no end that was listed while the store was unavailable is acknowledged", function(this: ScenarioWorld) {
    const late = cellOf(this).workers.evidence.filter(start =>
        start.endedAtMs !== undefined && start.endedAtMs > part(this).faultAtMs
    );
    assert.ok(late.length > 0);
    assert.deepEqual(late.filter(start => start.acknowledgedAtMs !== undefined), []);
});

const runningTasks = (cell: ShardCell): number =>
    cell.workers.evidence.filter(start => start.endedAtMs === undefined).length;

Then("nothing runs", function(this: ScenarioWorld) {
    assert.equal(runningTasks(cellOf(this)), 0);
});

Then("{int} tasks run", function(this: ScenarioWorld, count: number) {
    assert.equal(runningTasks(cellOf(this)), count);
});

Then("all members of a gang had the same run number", function(this: ScenarioWorld) {
    const runs = new Set(cellOf(this).workers.evidence.map(start => start.run));
    assert.equal(runs.size, 1);
});
