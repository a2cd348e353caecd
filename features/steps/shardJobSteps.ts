/** Steps that submit and cancel jobs of a shard, and check the answers and the states of the jobs. */

import { Then, When } from "@cucumber/cucumber";
import { jobIdOf, readSteps, type ShardCell, testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { endedTable } from "puffinarch";
import { cellOf, part } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

/** The store accepts at most 100 entries in a call. */
const rowsPerWrite = 90;

/** Writes rows of the shard in transactions of a size that the store accepts. */
const writeRows = async (
    cell: ShardCell,
    rows: readonly { readonly table: string; readonly key: string; readonly value: string; }[],
): Promise<void> => {
    const connection = cell.store.connect("writer");
    for (let index = 0; index < rows.length; index += rowsPerWrite) {
        const puts = rows.slice(index, index + rowsPerWrite).map(row => ({ ...row, part: "shard-0" }));
        void connection.transact({ expect: [], puts, removes: [] }, 1_000);
    }
    await cell.clock.advance(100);
};

When(
    "the journal holds {int} unfinished jobs and {int} that have ended",
    async function(this: ScenarioWorld, jobs: number, ended: number) {
        const cell = cellOf(this);
        for (let number = 1; number <= jobs; number += 1) {
            cell.submit(jobIdOf(number), readSteps("1 long running"));
        }
        assert.ok(await cell.until(() => cell.answers().size === jobs, 20_000));
        const states = Array.from({ length: ended }, (_, index) => ({
            table: endedTable,
            key: jobIdOf(100_000 + index),
            value: JSON.stringify({ state: "completed" }),
        }));
        await writeRows(cell, states);
    },
);

Then("a job is accepted within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    const jobId = jobIdOf(9_002);
    cell.submit(jobId, readSteps("1"));
    assert.ok(
        await cell.until(() => cell.answers().get(jobId) === "accepted", limitMs),
        "the job is not accepted in time",
    );
});

Then(
    "all daemons report within {int} ms that {int} jobs wait",
    async function(this: ScenarioWorld, ms: number, jobs: number) {
        const cell = cellOf(this);
        const reported = new Map<string, number | undefined>();
        for (const memberId of cell.memberIds()) {
            void cell.member(memberId)?.pending(testQueue.key).then(count => reported.set(memberId, count));
        }
        await cell.clock.advance(ms);
        assert.deepEqual(reported, new Map(cell.memberIds().map(memberId => [memberId, jobs])));
    },
);

Then(
    "for {int} ms no daemon reports that fewer than {int} jobs wait",
    async function(this: ScenarioWorld, forMs: number, leastJobs: number) {
        const cell = cellOf(this);
        const reported: (number | undefined)[] = [];
        for (let passedMs = 0; passedMs < forMs; passedMs += 50) {
            await cell.clock.advance(50);
            for (const memberId of cell.memberIds()) {
                void cell.member(memberId)?.pending(testQueue.key).then(count => reported.push(count));
            }
        }
        assert.deepEqual(reported.filter(count => count !== undefined && count < leastJobs), []);
        assert.ok(reported.some(count => count !== undefined), "no daemon reported a count");
    },
);

When("{int} jobs of steps {string} are submitted", function(this: ScenarioWorld, count: number, steps: string) {
    const { jobs } = part(this);
    for (let index = 0; index < count; index += 1) {
        const jobId = jobIdOf(cellOf(this).answers().size + jobs.length + 1);
        jobs.push(jobId);
        cellOf(this).submit(jobId, readSteps(steps));
    }
});

When(
    "the job {string} of steps {string} is submitted {int} times",
    function(this: ScenarioWorld, jobId: string, steps: string, times: number) {
        part(this).jobs.push(jobId);
        for (let index = 0; index < times; index += 1) {
            cellOf(this).submit(jobId, readSteps(steps));
        }
    },
);

When("all jobs are cancelled", async function(this: ScenarioWorld) {
    const owner = cellOf(this).member(cellOf(this).owner() ?? "");
    const cancels = part(this).jobs.map(jobId => owner?.cancel({ queueKey: testQueue.key, jobId }, 1_000));
    await cellOf(this).clock.advance(500);
    await Promise.all(cancels);
});

When("all jobs are cancelled while the owner is killed", async function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const ownerId = cell.owner() ?? "";
    const owner = cell.member(ownerId);
    for (const jobId of part(this).jobs) {
        owner?.cancel({ queueKey: testQueue.key, jobId }, 1_000).catch(() => {});
    }
    // Long enough for the commits of the cancels, too short for the stops of the tasks.
    await cell.clock.advance(6);
    cell.kill(ownerId);
    part(this).jobs = [];
});

When(
    "{int} jobs are submitted once, {int} ms apart",
    async function(this: ScenarioWorld, count: number, apartMs: number) {
        for (let index = 1; index <= count; index += 1) {
            cellOf(this).submitOnce(jobIdOf(index), readSteps("2"));
            await cellOf(this).clock.advance(apartMs);
        }
    },
);

Then("some jobs were definitely refused and none of them ran", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const refused = [...cell.answers()].filter(([, answer]) => answer === "notAccepted").map(([jobId]) => jobId);
    assert.ok(refused.length > 0, [...cell.answers().values()].join(", "));
    const ran = cell.workers.evidence.filter(({ taskName }) => refused.some(jobId => taskName.startsWith(jobId)));
    assert.deepEqual(ran, []);
});

When("a job is submitted once through the former owner", function(this: ScenarioWorld) {
    const { formerOwner, jobs } = part(this);
    assert.ok(formerOwner !== undefined);
    const jobId = jobIdOf(9_001);
    jobs.push(jobId);
    cellOf(this).submitOnce(jobId, readSteps("2"), formerOwner);
});

Then("it is accepted within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    await cell.until(() => cell.answers().has(jobIdOf(9_001)), limitMs);
    assert.equal(cell.answers().get(jobIdOf(9_001)), "accepted");
});

Then("all jobs are {string} within {int} ms", async function(this: ScenarioWorld, state: string, limitMs: number) {
    const cell = cellOf(this);
    const { jobs } = part(this);
    const unfinished = async (): Promise<readonly string[]> => {
        const states = await cell.statesOf(jobs);
        return [...states].filter(([, each]) => each !== state).map(([jobId, each]) => `${jobId} is ${each}`);
    };
    const reached = await cell.until(async () => (await unfinished()).length === 0, limitMs);
    assert.ok(reached, `${(await unfinished()).join("; ")}; owner ${cell.owner()}`);
});

Then("at least {int} jobs were refused", function(this: ScenarioWorld, count: number) {
    const refused = [...cellOf(this).answers().values()].filter(answer => answer === "refused");
    assert.ok(refused.length >= count, `${refused.length} jobs were refused`);
});

Then("all jobs but those that last are completed", async function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const { jobs } = part(this);
    const states = await cell.statesOf(jobs);
    const running = cell.workers.evidence.filter(start => start.endedAtMs === undefined);
    const lasting = new Set(running.map(({ taskName }) => taskName.split(".")[0]));
    const open = [...states].filter(([jobId, state]) => state !== "completed" && !lasting.has(jobId));
    assert.deepEqual(open, []);
});
