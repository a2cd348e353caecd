import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { initialDocument, type JobSpec, type TaskState } from "puffinarch";
import {
    answering,
    assertPromises,
    cellPart,
    during,
    specOf,
    startCell,
    submit,
    tasksOf,
    untilEnded,
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
        return submit(this, answering(cellPart(this).cell), specOf(jobId, { workloadClass, tasks, script: { runMs } }));
    },
);

When(
    "an at-most-once job {string} with {int} tasks of {int} ms is submitted",
    function(this: ScenarioWorld, jobId: string, tasks: number, runMs: number) {
        return submit(
            this,
            answering(cellPart(this).cell),
            specOf(jobId, { tasks, atMostOnce: true, script: { runMs } }),
        );
    },
);

When(
    "a job {string} of the class {string} with {int} failing tasks is submitted",
    function(this: ScenarioWorld, jobId: string, workloadClass: string, tasks: number) {
        return submit(
            this,
            answering(cellPart(this).cell),
            specOf(jobId, { workloadClass, tasks, script: { runMs: 10, fails: true } }),
        );
    },
);

When(
    "a job {string} of the class {string} with {int} task of {int} bytes is submitted",
    function(this: ScenarioWorld, jobId: string, workloadClass: string, tasks: number, resultBytes: number) {
        return submit(
            this,
            answering(cellPart(this).cell),
            specOf(jobId, { workloadClass, tasks, script: { runMs: 10, resultBytes } }),
        );
    },
);

When("the same job is submitted through every daemon", async function(this: ScenarioWorld) {
    const state = cellPart(this);
    const spec = state.last?.value?.spec ?? assert.fail("no job was accepted");
    const answers = [];
    for (const daemon of state.cell.daemons()) {
        answers.push(await during(state.cell, daemon.node.jobs.submit(spec)));
    }
    state.answers = answers;
});

Then("every answer names the same home", function(this: ScenarioWorld) {
    const { answers, last } = cellPart(this);
    assert.deepEqual(new Set(answers.map(answer => answer.value?.homeId)), new Set([last?.value?.homeId]));
});

/** Inputs by the words of the features; some have fields that no typed caller could send. */
const inputs: Readonly<Record<string, object>> = {
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
    const changed = inputs[name] ?? assert.fail(`no input is named ${name}`);
    return submit(this, answering(cellPart(this).cell), { ...specOf("j1"), ...changed } as JobSpec);
});

Then("the last answer is {string}", function(this: ScenarioWorld, kind: string) {
    assert.equal(cellPart(this).last?.failure?.kind ?? "accepted", kind);
});

Then("the last answer names the field {string}", function(this: ScenarioWorld, field: string) {
    const violations = cellPart(this).last?.failure?.violations ?? [];
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
    state.last = await during(state.cell, answering(state.cell).node.jobs.cancel(jobId));
    assert.equal(state.last.failure, undefined);
});

Then("the job {string} ends within {int} ms", function(this: ScenarioWorld, jobId: string, limitMs: number) {
    return untilEnded(cellPart(this).cell, jobId, limitMs);
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
        const ending = await during(cell, answering(cell).node.jobs.task(taskId));
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

Then("the workers have nothing left to run", function(this: ScenarioWorld) {
    assert.ok(cellPart(this).cell.executions().every(execution => execution.endedAtMs !== undefined));
});

/** The most of a job's tasks that ran at one moment. */
const mostAtOnce = (world: ScenarioWorld, jobId: string): number => {
    const runs = cellPart(world).cell.executions().filter(each => each.taskId.startsWith(`${jobId}/`));
    const runningAt = (atMs: number): number =>
        runs.filter(run => run.startedAtMs <= atMs && (run.endedAtMs ?? Infinity) > atMs).length;
    return Math.max(0, ...runs.map(run => runningAt(run.startedAtMs)));
};

Then("the tasks of {string} ran at the same time", function(this: ScenarioWorld, jobId: string) {
    const runs = cellPart(this).cell.executions().filter(each => each.taskId.startsWith(`${jobId}/`));
    assert.equal(mostAtOnce(this, jobId), runs.length);
});

Then(
    "at most {int} tasks of {string} ran at the same time",
    function(this: ScenarioWorld, most: number, jobId: string) {
        assert.ok(mostAtOnce(this, jobId) <= most, `${mostAtOnce(this, jobId)} ran at once`);
    },
);

Given(
    "the team {string} may hold {int} cpuMillis",
    async function(this: ScenarioWorld, team: string, cpuMillis: number) {
        const { cell } = cellPart(this);
        const document = { ...initialDocument, quotas: [{ team, cpuMillis, memoryMib: 100_000 }] };
        const change = answering(cell).node.configuration.apply(document, {
            expectedVersion: 0,
            author: "ana",
            reason: "a quota",
        });
        assert.equal((await during(cell, change)).failure, undefined);
        await cell.advance(2_000);
    },
);

Then("the stand-ins saw no promise broken", function(this: ScenarioWorld) {
    assertPromises(this);
});
