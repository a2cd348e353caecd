/** Steps about the checkpoints that tasks save while they run, and from which they resume. */

import { Given, Then, When } from "@cucumber/cucumber";
import { createFakeClock, plainStep, type StartEvidence, testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    createAccounts,
    createRowReader,
    encodeJob,
    newJob,
    newRun,
    recordCheckpoint,
    restoreJobs,
    type Row,
    type ShardJob,
    type ShardRun,
    type ShardTask,
} from "puffinarch";
import { limits, log, meter, part, submission } from "./examples/shardFixtures.js";
import { cellOf, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

/** Checkpoints of a gang's tasks: as they were in the row that was restored, and as they are in the row that is stored after that. */
interface Part {
    before: readonly string[];
    after: readonly string[];
}

/** The tasks of a gang, and the runs of it that are planned. */
interface GangPart {
    tasks: readonly ShardTask[];
    planned: readonly ShardRun[];
}

const rowPart = (world: ScenarioWorld): Part => partOf(world, "checkpoints", () => ({ before: [], after: [] }));

const gangPart = (world: ScenarioWorld): GangPart => partOf(world, "gang", () => ({ tasks: [], planned: [] }));

/** The field of a stored task that holds its checkpoint. */
const checkpointField = 2;

Given(
    "a cell of {int} daemons and {int} workers whose checkpointing tasks save every {int} ms",
    async function(this: ScenarioWorld, members: number, workers: number, checkpointIntervalMs: number) {
        await startCell(this, {
            members,
            workers,
            seed: 1,
            durationMs: "estimated",
            runsGangsTogether: true,
            checkpointIntervalMs,
        });
    },
);

/** Second starts of the tasks whose step is in a gang, or in none. */
const secondStarts = (world: ScenarioWorld, inGang: boolean): readonly StartEvidence[] =>
    cellOf(world).workers.evidence.filter(({ taskName, run }) =>
        run === 2 && cellOf(world).stepOf(taskName)?.gang === inGang
    );

Then("every gang has resumed from one checkpoint", function(this: ScenarioWorld) {
    const starts = secondStarts(this, true);
    assert.equal(starts.length, 4);
    const carried = new Set(starts.map(({ checkpoint }) => checkpoint));
    assert.equal(carried.size, 1, `its members resumed from ${[...carried].join(", ")}`);
    assert.ok(!carried.has(""), "it began anew");
});

Then("every task has resumed from a checkpoint of its own", function(this: ScenarioWorld) {
    const starts = secondStarts(this, false);
    assert.equal(starts.length, 3);
    for (const { taskName, checkpoint } of starts) {
        assert.ok(checkpoint.startsWith(`${taskName}#1/`), `${taskName} resumed from "${checkpoint}"`);
    }
});

interface StateRow {
    readonly open: [number, [number, number, (string | number)[][]][]][];
}

const tasksIn = (job: ShardJob): readonly ShardTask[] => job.occurrences.get(0)?.steps[0]?.tasks ?? [];

const jobWithGang = (count: number): ShardJob => {
    const steps = [{ ...plainStep, count, gang: true, checkpointing: true }];
    return newJob({ ...submission, steps }, testQueue, { acceptedAtMs: 0, order: 1 });
};

const storedTasksOf = (state: StateRow): (string | number)[][] => state.open[0]?.[1][0]?.[2] ?? [];

When(
    "a gang of {int} tasks is restored from the checkpoints {string}",
    function(this: ScenarioWorld, count: number, checkpoints: string) {
        const clock = createFakeClock();
        const before = checkpoints.split(",").map(each => each.trim());
        const job = jobWithGang(count);
        for (const [index, task] of tasksIn(job).entries()) {
            task.lastRun = 1;
            task.runs.push(newRun(task, `i-${index}`, 1));
        }
        const rows: Row[] = encodeJob(job, clock, limits).puts.map(put => ({ ...put, part, version: 1 }));
        const formerRows = rows.map(row => {
            if (!row.key.startsWith("state/")) {
                return row;
            }
            const state = JSON.parse(row.value ?? "") as StateRow;
            for (const [index, stored] of storedTasksOf(state).entries()) {
                stored[checkpointField] = before[index] ?? "";
            }
            return { ...row, value: JSON.stringify(state) };
        });
        const { jobs } = restoreJobs(formerRows, {
            reader: createRowReader({ log, meter }),
            accounts: createAccounts(),
            clock,
        });
        const [restored] = jobs;
        assert.ok(restored !== undefined);
        for (const [index, task] of tasksIn(restored).entries()) {
            task.runs.push(newRun(task, `i-${index}`, 1));
        }
        const stateRow = encodeJob(restored, clock, limits).puts.find(({ key }) => key.startsWith("state/"));
        rowPart(this).before = before;
        rowPart(this).after = storedTasksOf(JSON.parse(stateRow?.value ?? "") as StateRow).map(stored =>
            String(stored[checkpointField])
        );
    },
);

Then("all of its tasks are stored with one of them", function(this: ScenarioWorld) {
    const { before, after } = rowPart(this);
    assert.equal(after.length, before.length);
    assert.equal(new Set(after).size, 1, `they are stored with ${after.join(", ")}`);
    const [checkpoint = ""] = after;
    assert.ok(checkpoint !== "" && before.includes(checkpoint), `they are stored with "${checkpoint}"`);
});

const planRun = (tasks: readonly ShardTask[], run: number): readonly ShardRun[] =>
    tasks.map((task, index) => {
        task.lastRun = run;
        return newRun(task, `i-${index}`, run);
    });

Given(
    "a gang whose run {int} is planned from the checkpoint {string}",
    function(this: ScenarioWorld, run: number, checkpoint: string) {
        const tasks = tasksIn(jobWithGang(3));
        const [first] = tasks;
        assert.ok(first !== undefined);
        recordCheckpoint(first, run - 1, checkpoint);
        gangPart(this).tasks = tasks;
        gangPart(this).planned = planRun(tasks, run);
    },
);

When("its run {int} shows the checkpoint {string}", function(this: ScenarioWorld, run: number, checkpoint: string) {
    const last = gangPart(this).tasks.at(-1);
    assert.ok(last !== undefined);
    recordCheckpoint(last, run, checkpoint);
});

Then(
    "all starts of its run {int} carry {string}, and those of its next run {string}",
    function(this: ScenarioWorld, run: number, carried: string, next: string) {
        const { tasks, planned } = gangPart(this);
        const nextRuns = planRun(tasks, run + 1);
        assert.deepEqual(planned.map(({ checkpoint }) => checkpoint), tasks.map(() => carried));
        assert.deepEqual(nextRuns.map(({ checkpoint }) => checkpoint), tasks.map(() => next));
    },
);
