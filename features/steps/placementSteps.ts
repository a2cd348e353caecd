import { Given, Then, When } from "@cucumber/cucumber";
import { groupBy } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { defaultNodeSettings, initialDocument } from "puffinarch";
import {
    awaitWithClock,
    cellPart,
    createJobSpec,
    readyDaemon,
    startCell,
    submit,
    tasksOf,
    waitUntilFinal,
} from "./cellPart.js";
import { type ScenarioWorld } from "./support.js";

const homeVmId = "leon-feria-e0";

Given("a cell whose homes take a snapshot every {int} batches", function(this: ScenarioWorld, snapshotBatches: number) {
    return startCell(this, { settings: { ...defaultNodeSettings, snapshotBatches, maintainIntervalMs: 500 } });
});

Given("a cell whose homes delete ended jobs after {int} ms", function(this: ScenarioWorld, retentionMs: number) {
    return startCell(this, {
        settings: { ...defaultNodeSettings, retentionMs, snapshotBatches: 3, maintainIntervalMs: 500 },
    });
});

Given(
    "a job with {int} tasks of {int} ms is submitted through {string}",
    function(this: ScenarioWorld, tasks: number, runMs: number, vmId: string) {
        return submit(this, cellPart(this).cell.daemon(vmId), createJobSpec("load-1", { tasks, script: { runMs } }));
    },
);

When(
    /^a job with (\d+) tasks of (\d+) ms is submitted for the team "([^"]*)"$/,
    function(this: ScenarioWorld, tasks: string, runMs: string, team: string) {
        const spec = createJobSpec(`job-of-${team}`, { tasks: Number(tasks), team, script: { runMs: Number(runMs) } });
        return submit(this, cellPart(this).cell.daemon(homeVmId), spec);
    },
);

When(
    "a job with {int} tasks of {int} ms that use {float} of their size is submitted",
    function(this: ScenarioWorld, tasks: number, runMs: number, usedShare: number) {
        return submit(
            this,
            cellPart(this).cell.daemon(homeVmId),
            createJobSpec("load-1", { tasks, script: { runMs, usedShare } }),
        );
    },
);

let waveCount = 0;

When(
    "{int} jobs of {int} tasks of {int} ms are submitted, one every {int} ms",
    async function(this: ScenarioWorld, jobs: number, tasks: number, runMs: number, everyMs: number) {
        const { cell } = cellPart(this);
        waveCount += 1;
        for (let index = 0; index < jobs; index += 1) {
            await submit(
                this,
                cell.daemon(homeVmId),
                createJobSpec(`wave-${waveCount}-${index}`, { tasks, script: { runMs } }),
            );
            await cell.advance(everyMs);
        }
    },
);

Given("the worker {string} fails every task", function(this: ScenarioWorld, workerId: string) {
    cellPart(this).cell.worker(workerId).setFaults({ failsEverything: true });
});

Given("the class {string} has priority {int}", async function(this: ScenarioWorld, name: string, priority: number) {
    const { cell } = cellPart(this);
    const workloadClasses = [...initialDocument.workloadClasses, {
        name,
        kind: "batch" as const,
        policy: "pack",
        priority,
    }];
    const context = { expectedVersion: 0, author: "ana", reason: "urgent work" };
    const change = readyDaemon(cell).node.configuration.apply({ ...initialDocument, workloadClasses }, context);
    assert.equal((await awaitWithClock(cell, change)).failure, undefined);
    await cell.advance(2_000);
});

const readWorkerStates = async (world: ScenarioWorld): Promise<ReadonlyMap<string, string>> => {
    const { cell } = cellPart(world);
    const { answers } =
        (await awaitWithClock(cell, readyDaemon(cell).node.callAll("workers", { dataCentre: "" }))).value
            ?? assert.fail("no daemon returned its workers");
    return new Map(answers.flat().map(view => [view.workerId, view.state]));
};

Then("at most {int} attempts were made on {string}", function(this: ScenarioWorld, most: number, workerId: string) {
    const made = cellPart(this).cell.executions().filter(each => each.workerId === workerId).length;
    assert.ok(made <= most, `${made} attempts`);
});

Then("the worker {string} is live again", async function(this: ScenarioWorld, workerId: string) {
    assert.equal((await readWorkerStates(this)).get(workerId), "live");
});

Then("every worker is live", async function(this: ScenarioWorld) {
    assert.deepEqual(new Set((await readWorkerStates(this)).values()), new Set(["live"]));
});

/** Returns the time in ms from queueing to the first start for each task of a job. */
const readStartDelays = async (world: ScenarioWorld, jobId: string): Promise<readonly number[]> => {
    const { cell } = cellPart(world);
    const tasks = await tasksOf(cell, jobId);
    const executionsByTask = groupBy(cell.executions(), each => each.taskId);
    return tasks.map(task =>
        Math.min(...(executionsByTask.get(task.taskId) ?? []).map(each => each.startedAtMs)) - task.queuedAtMs
    );
};

Then(
    "the tasks of {string} waited at most {int} ms",
    async function(this: ScenarioWorld, jobId: string, mostMs: number) {
        const waits = await readStartDelays(this, jobId);
        assert.ok(waits.length > 0 && waits.every(wait => wait <= mostMs), waits.join(", "));
    },
);

Then("no task ran for more than {int} ms in all", function(this: ScenarioWorld, mostMs: number) {
    for (const [taskId, runs] of groupBy(cellPart(this).cell.executions(), each => each.taskId)) {
        const ranMs = runs.reduce((sum, run) => sum + (run.endedAtMs ?? Infinity) - run.startedAtMs, 0);
        assert.ok(ranMs <= mostMs, `${taskId} ran for ${ranMs} ms`);
    }
});

const wholeWorkerJob = "whole-worker";

When(
    "small tasks fill the cell for {int} ms and a task that needs a whole worker is submitted",
    async function(this: ScenarioWorld, forMs: number) {
        const { cell } = cellPart(this);
        const everyMs = 400;
        for (let passedMs = 0; passedMs < forMs; passedMs += everyMs) {
            await submit(
                this,
                cell.daemon(homeVmId),
                createJobSpec(`small-${passedMs}`, { tasks: 6, script: { runMs: 1_500 } }),
            );
            if (passedMs === 10 * everyMs) {
                const taskSize = { cpuMillis: 4_000, memoryMib: 512, accelerators: 0 };
                await submit(
                    this,
                    cell.daemon(homeVmId),
                    createJobSpec(wholeWorkerJob, { tasks: 1, taskSize, script: { runMs: 500 } }),
                );
            }
            await cell.advance(everyMs);
        }
    },
);

Then("the task that needs a whole worker waited at most {int} ms", async function(this: ScenarioWorld, mostMs: number) {
    const [waitedMs = Infinity] = await readStartDelays(this, wholeWorkerJob);
    assert.ok(waitedMs <= mostMs, `${waitedMs} ms`);
});

Then("the job of the team {string} ends within {int} ms", function(this: ScenarioWorld, team: string, limitMs: number) {
    return waitUntilFinal(cellPart(this).cell, `job-of-${team}`, limitMs);
});

Then(
    "the remedy {string} was applied at least {int} times",
    function(this: ScenarioWorld, remedy: string, times: number) {
        const { cell } = cellPart(this);
        const applied = cell.counterTotal("remedies.throttle") + cell.counterTotal("remedies.stop");
        assert.ok(
            remedy === "none" ? applied === 0 : cell.counterTotal(`remedies.${remedy}`) >= times,
            `${applied} remedies`,
        );
    },
);

When("{int} jobs wait for capacity", async function(this: ScenarioWorld, count: number) {
    const state = cellPart(this);
    const daemon = state.cell.daemon(homeVmId);
    const blocked = { taskSize: { cpuMillis: 4_000, memoryMib: 512, accelerators: 1 }, script: { runMs: 600_000 } };
    await submit(this, daemon, createJobSpec("blocker", { ...blocked, tasks: 4 }));
    await state.cell.advance(2_000);
    for (let start = 0; start < count; start += 2_500) {
        const wave = Array.from(
            { length: 2_500 },
            (_none, index) => daemon.node.jobs.submit(createJobSpec(`wait-${start + index}`, { ...blocked, tasks: 1 })),
        );
        const ending = await awaitWithClock(state.cell, Promise.all(wave));
        assert.equal(ending.failure, undefined);
        ending.value?.forEach(job => state.jobIds.add(job.spec.jobId));
    }
});

When("all waiting jobs are cancelled at once", async function(this: ScenarioWorld) {
    const state = cellPart(this);
    const { node } = state.cell.daemon(homeVmId);
    const before = state.cell.counterTotal("journalBatches");
    const ending = await awaitWithClock(
        state.cell,
        Promise.all([...state.jobIds].filter(jobId => jobId !== "blocker").map(jobId => node.jobs.cancel(jobId))),
    );
    assert.equal(ending.failure, undefined);
    this.parts.set("waveWrites", state.cell.counterTotal("journalBatches") - before);
});

Then("the cancellations took at most {int} journal writes", function(this: ScenarioWorld, most: number) {
    const writes = Number(this.parts.get("waveWrites"));
    assert.ok(writes > 0 && writes <= most, `${writes} writes`);
});

Then("all waiting jobs are cancelled and none of their tasks ran", async function(this: ScenarioWorld) {
    const { cell, jobIds } = cellPart(this);
    for (const jobId of jobIds) {
        const job = cell.daemon(homeVmId).node.jobs.get(jobId);
        assert.equal((await job).cancelled, jobId !== "blocker");
    }
    assert.equal(cell.executions().length, 4);
});

Then(
    "the journal of {string} has at most {int} rows",
    async function(this: ScenarioWorld, homeId: string, most: number) {
        const rows = await cellPart(this).cell.platform.table.scan(`journal/${homeId}/`);
        assert.ok(rows.length <= most, `${rows.length} rows`);
    },
);

Then("the table holds fewer than {int} jobs", async function(this: ScenarioWorld, most: number) {
    const rows = await cellPart(this).cell.platform.table.scan("job/");
    assert.ok(rows.length > 0 && rows.length < most, `${rows.length} jobs`);
});

interface OwnedRow {
    readonly owner: string;
    readonly dataCentre: string;
    readonly kind: string;
}

const unitRows = async (world: ScenarioWorld): Promise<readonly OwnedRow[]> =>
    (await cellPart(world).cell.platform.table.scan("unit/")).map(row => row.value as OwnedRow);

Then("the daemon {string} owns nothing in the table", async function(this: ScenarioWorld, vmId: string) {
    const owned = (await unitRows(this)).filter(row => row.owner === `${vmId}~1`);
    assert.deepEqual(owned, []);
});

Then("the daemon {string} has a later session", function(this: ScenarioWorld, vmId: string) {
    assert.notEqual(cellPart(this).cell.daemon(vmId).node.sessionId(), `${vmId}~1`);
});

Then("no session was fenced", function(this: ScenarioWorld) {
    assert.equal(cellPart(this).cell.counterTotal("sessionsFenced"), 0);
});

Then(
    "at least {int} tasks were started in the last {int} ms",
    function(this: ScenarioWorld, least: number, lastMs: number) {
        const { cell } = cellPart(this);
        const started = cell.executions().filter(each => each.startedAtMs >= cell.clock.nowMs() - lastMs).length;
        assert.ok(started >= least, `${started} tasks were started`);
    },
);

When("the daemon {string} is added in {string}", function(this: ScenarioWorld, vmId: string, dataCentre: string) {
    cellPart(this).cell.addDaemon(vmId, dataCentre);
});

Then("every unit has a live owner in its data centre", async function(this: ScenarioWorld) {
    const { cell } = cellPart(this);
    const dataCentres = new Map(cell.daemons().map(daemon => [daemon.node.sessionId(), daemon.dataCentre]));
    for (const row of await unitRows(this)) {
        assert.equal(dataCentres.get(row.owner), row.dataCentre);
    }
});

Given(
    "{int} racks of other data centres are owned by other daemons",
    async function(this: ScenarioWorld, racks: number) {
        const { cell } = cellPart(this);
        for (let index = 0; index < racks; index += 1) {
            const key = `unit/rack/dc-${index % 30}/r${index}`;
            const value = {
                key,
                kind: "rack",
                dataCentre: `dc-${index % 30}`,
                name: `r${index}`,
                owner: `far-${index % 30}~1`,
            };
            await cell.platform.table.transact({ conditions: [], puts: [{ key, value }], deletes: [] });
            if (index % 200 === 0) {
                await cell.advance(1_000);
            }
        }
        await cell.advance(2_000);
        this.parts.set("readsBefore", cell.platform.evidence().reads);
    },
);

Then("the platform answered at most {int} reads meanwhile", function(this: ScenarioWorld, most: number) {
    const reads = cellPart(this).cell.platform.evidence().reads - Number(this.parts.get("readsBefore") ?? 0);
    assert.ok(reads > 0 && reads <= most, `${reads} reads`);
});
