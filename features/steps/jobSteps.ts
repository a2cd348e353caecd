import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { initialDocument, type JobSpec, type TaskState } from "puffinarch";
import {
    assertExecutionGuarantees,
    awaitWithClock,
    cellPart,
    createJobSpec,
    readyDaemon,
    startCell,
    submit,
    tasksOf,
    waitUntilFinal,
} from "./cellPart.js";
import type { ScenarioWorld } from "./support.js";

Given("a cell", function(this: ScenarioWorld) {
    return startCell(this, {});
});

When("{int} ms pass in the cell", async function(this: ScenarioWorld, ms: number) {
    await cellPart(this).cell.advance(ms);
});

When(
    "a job {string} of the class {string} with {int} tasks of {int} ms is submitted",
    function(this: ScenarioWorld, jobId: string, workloadClass: string, tasks: number, runMs: number) {
        return submit(
            this,
            readyDaemon(cellPart(this).cell),
            createJobSpec(jobId, { workloadClass, tasks, script: { runMs } }),
        );
    },
);

When(
    "an at-most-once job {string} with {int} tasks of {int} ms is submitted",
    function(this: ScenarioWorld, jobId: string, tasks: number, runMs: number) {
        return submit(
            this,
            readyDaemon(cellPart(this).cell),
            createJobSpec(jobId, { tasks, atMostOnce: true, script: { runMs } }),
        );
    },
);

When(
    "a job {string} of the class {string} with {int} failing tasks is submitted",
    function(this: ScenarioWorld, jobId: string, workloadClass: string, tasks: number) {
        return submit(
            this,
            readyDaemon(cellPart(this).cell),
            createJobSpec(jobId, { workloadClass, tasks, script: { runMs: 10, fails: true } }),
        );
    },
);

When(
    "a job {string} of the class {string} with {int} task of {int} bytes is submitted",
    function(this: ScenarioWorld, jobId: string, workloadClass: string, tasks: number, resultBytes: number) {
        return submit(
            this,
            readyDaemon(cellPart(this).cell),
            createJobSpec(jobId, { workloadClass, tasks, script: { runMs: 10, resultBytes } }),
        );
    },
);

When("the same job is submitted through every daemon", async function(this: ScenarioWorld) {
    const state = cellPart(this);
    const spec = state.lastJobCall?.value?.spec ?? assert.fail("no job was accepted");
    const answers = [];
    for (const daemon of state.cell.daemons()) {
        answers.push(await awaitWithClock(state.cell, daemon.node.jobs.submit(spec)));
    }
    state.resubmissions = answers;
});

Then("every answer has the same home", function(this: ScenarioWorld) {
    const { resubmissions, lastJobCall } = cellPart(this);
    assert.deepEqual(new Set(resubmissions.map(answer => answer.value?.homeId)), new Set([lastJobCall?.value?.homeId]));
});

/** Fields of specifications that are refused, by their names in the features; some do not fit the type `JobSpec`. */
const rejectedSpecs: Readonly<Record<string, object>> = {
    "5000 cpuMillis a task": { taskSize: { cpuMillis: 5_000, memoryMib: 1, accelerators: 0 } },
    "9000 memoryMib a task": { taskSize: { cpuMillis: 1, memoryMib: 9_000, accelerators: 0 } },
    "2 accelerators a task": { taskSize: { cpuMillis: 1, memoryMib: 1, accelerators: 2 } },
    "a gang of 100 whole cores": { workloadClass: "gang", tasks: 100 },
    "an empty id": { jobId: "" },
    'an id of "../x"': { jobId: "../x" },
    "no tasks": { tasks: 0 },
    "10001 tasks": { tasks: 10_001 },
    "1.5 tasks": { tasks: 1.5 },
    "0 cpuMillis a task": { taskSize: { cpuMillis: 0, memoryMib: 1, accelerators: 0 } },
    "-1 memoryMib a task": { taskSize: { cpuMillis: 1, memoryMib: -1, accelerators: 0 } },
    "an unknown class": { workloadClass: "nightly" },
    "a payload of 20000 bytes": { payload: "x".repeat(20_000) },
    "an unknown field": { colour: "red" },
};

When(/^a job is submitted with (.+)$/, function(this: ScenarioWorld, name: string) {
    const changed = rejectedSpecs[name] ?? assert.fail(`unknown specification "${name}"`);
    return submit(this, readyDaemon(cellPart(this).cell), { ...createJobSpec("j1"), ...changed } as JobSpec);
});

Then("the last answer is {string}", function(this: ScenarioWorld, kind: string) {
    assert.equal(cellPart(this).lastJobCall?.failure?.kind ?? "accepted", kind);
});

Then("the last answer names the field {string}", function(this: ScenarioWorld, field: string) {
    const violations = cellPart(this).lastJobCall?.failure?.violations ?? [];
    assert.ok(
        violations.some(violation => violation.field === field && violation.allowed !== ""),
        JSON.stringify(violations),
    );
});

Then("the table holds no job", async function(this: ScenarioWorld) {
    const { cell } = cellPart(this);
    assert.deepEqual(await cell.platform.table.scan("job/"), []);
    assert.deepEqual(await cell.platform.table.scan("journal/"), []);
});

When("the job {string} is cancelled", async function(this: ScenarioWorld, jobId: string) {
    const state = cellPart(this);
    state.lastJobCall = await awaitWithClock(state.cell, readyDaemon(state.cell).node.jobs.cancel(jobId));
    assert.equal(state.lastJobCall.failure, undefined);
});

Then("the job {string} ends within {int} ms", function(this: ScenarioWorld, jobId: string, limitMs: number) {
    return waitUntilFinal(cellPart(this).cell, jobId, limitMs);
});

Then(
    "the job {string} has {int} tasks in the state {string}",
    async function(this: ScenarioWorld, jobId: string, count: number, state: TaskState) {
        const tasks = await tasksOf(cellPart(this).cell, jobId);
        assert.equal(
            tasks.filter(task => task.state === state).length,
            count,
            tasks.map(task => task.state).join(", "),
        );
    },
);

Then("every task of {string} has its own result", async function(this: ScenarioWorld, jobId: string) {
    for (const task of await tasksOf(cellPart(this).cell, jobId)) {
        assert.equal(task.result, `${task.taskId} done`);
    }
});

Then(
    "the result of {string} has at least {int} bytes",
    async function(this: ScenarioWorld, taskId: string, bytes: number) {
        const { cell } = cellPart(this);
        const ending = await awaitWithClock(cell, readyDaemon(cell).node.jobs.task(taskId));
        assert.ok((ending.value?.result?.length ?? 0) >= bytes);
    },
);

Then("the workers ran {int} attempts", function(this: ScenarioWorld, count: number) {
    assert.equal(cellPart(this).cell.executions().length, count);
});

Then("the workers ran at most {int} attempts", function(this: ScenarioWorld, most: number) {
    const { length } = cellPart(this).cell.executions();
    assert.ok(length <= most, `${length} attempts`);
});

Then("no task is still running on a worker", function(this: ScenarioWorld) {
    assert.ok(cellPart(this).cell.executions().every(execution => execution.endedAtMs !== undefined));
});

/** Returns the largest number of a job's tasks that ran at the same time. */
const peakConcurrency = (world: ScenarioWorld, jobId: string): number => {
    const runs = cellPart(world).cell.executions().filter(each => each.taskId.startsWith(`${jobId}/`));
    const runningAt = (atMs: number): number =>
        runs.filter(run => run.startedAtMs <= atMs && (run.endedAtMs ?? Infinity) > atMs).length;
    return Math.max(0, ...runs.map(run => runningAt(run.startedAtMs)));
};

Then("the tasks of {string} ran at the same time", function(this: ScenarioWorld, jobId: string) {
    const runs = cellPart(this).cell.executions().filter(each => each.taskId.startsWith(`${jobId}/`));
    assert.equal(peakConcurrency(this, jobId), runs.length);
});

Then(
    "at most {int} tasks of {string} ran at the same time",
    function(this: ScenarioWorld, most: number, jobId: string) {
        assert.ok(peakConcurrency(this, jobId) <= most, `${peakConcurrency(this, jobId)} ran at once`);
    },
);

Given(
    "the team {string} has a quota of {int} cpuMillis",
    async function(this: ScenarioWorld, team: string, cpuMillis: number) {
        const { cell } = cellPart(this);
        const document = { ...initialDocument, quotas: [{ team, cpuMillis, memoryMib: 100_000 }] };
        const change = readyDaemon(cell).node.configuration.apply(document, {
            expectedVersion: 0,
            author: "ana",
            reason: "a quota",
        });
        assert.equal((await awaitWithClock(cell, change)).failure, undefined);
        await cell.advance(2_000);
    },
);

Then("no execution guarantee was violated", function(this: ScenarioWorld) {
    assertExecutionGuarantees(this);
});
