/** Steps for jobs with a schedule, whose occurrences are opened as they become due. */

import { Given, Then, When } from "@cucumber/cucumber";
import { createFakeClock, jobIdOf, plainStep, testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    createDueOccurrences,
    journalTable,
    newJob,
    parseTaskName,
    type Schedule,
    type ShardJob,
    type Step,
} from "puffinarch";
import { submission } from "./examples/shardFixtures.js";
import { cellOf, part } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

const msPerHour = 3_600_000;
const scheduledJobId = jobIdOf(0x5c);

/** Tasks of half a second, of which the workers of a cell run some thousand at a time. */
const smallTasks = (count: number): Step => ({
    ...plainStep,
    count,
    estimateMs: 500,
    size: { cpuMillis: 5, memoryMib: 2, accelerators: 0 },
});

interface Part {
    schedule: Schedule;
    count: number;
    jobs: Map<string, ShardJob>;
    openOrDone: number[];
}

const schedulePart = (world: ScenarioWorld): Part =>
    partOf(world, "schedule", () => ({
        schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
        count: 0,
        jobs: new Map(),
        openOrDone: [],
    }));

When(
    "a job of {int} small tasks is submitted that is due every {int} ms, {int} times, since {int} hours",
    function(this: ScenarioWorld, count: number, intervalMs: number, repeatCount: number, hours: number) {
        const cell = cellOf(this);
        const startAtMs = cell.clock.nowMs() - hours * msPerHour;
        schedulePart(this).schedule = { startAtMs, intervalMs, repeatCount };
        schedulePart(this).count = count;
        cell.submitScheduled(scheduledJobId, [smallTasks(count)], schedulePart(this).schedule);
    },
);

/** Ends of the scheduled job's tasks by occurrence; fails for a task that ran twice. */
const doneByOccurrence = (world: ScenarioWorld): ReadonlyMap<number, number> => {
    const done = new Map<number, number>();
    const started = new Set<string>();
    for (const { taskName, how } of cellOf(world).workers.evidence) {
        const name = parseTaskName(taskName);
        if (name?.jobId !== scheduledJobId) {
            continue;
        }
        assert.ok(!started.has(taskName), `${taskName} ran twice`);
        started.add(taskName);
        done.set(name.occurrence, (done.get(name.occurrence) ?? 0) + (how === "done" ? 1 : 0));
    }
    return done;
};

const doneOccurrences = (world: ScenarioWorld): readonly number[] =>
    [...doneByOccurrence(world)].filter(([, tasks]) => tasks === schedulePart(world).count).map(([number]) => number);

Then(
    "at least {int} of its occurrences are done, in order, and no task ran twice",
    function(this: ScenarioWorld, least: number) {
        const done = doneOccurrences(this);
        assert.ok(done.length >= least, `${done.length} are done`);
        const begun = [...doneByOccurrence(this).keys()];
        assert.equal(Math.max(...begun), begun.length - 1, "an occurrence was passed over");
    },
);

Then(
    "its {int} occurrences are done within {int} ms, and no task ran twice",
    async function(this: ScenarioWorld, count: number, withinMs: number) {
        const isDone = (): boolean => doneOccurrences(this).length === count;
        const reached = await cellOf(this).until(isDone, withinMs);
        assert.ok(reached, `${doneOccurrences(this).length} are done`);
        assert.ok(
            await cellOf(this).until(
                async () => (await cellOf(this).statesOf([scheduledJobId])).get(scheduledJobId) === "completed",
                3_000,
            ),
        );
    },
);

Then("no row of the shard takes more than {int} bytes", function(this: ScenarioWorld, most: number) {
    for (const { key, value } of cellOf(this).store.rows(journalTable)) {
        const bytes = Buffer.byteLength(value ?? "");
        assert.ok(bytes <= most, `${key} takes ${bytes} bytes`);
    }
});

When("it is cancelled", async function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const cancelled = cell.member(cell.owner() ?? "")?.cancel(
        { queueKey: testQueue.key, jobId: scheduledJobId },
        1_000,
    );
    await cell.clock.advance(500);
    assert.equal(await cancelled, true);
});

Then("none of its tasks runs, and it is {string}", async function(this: ScenarioWorld, state: string) {
    const cell = cellOf(this);
    const running = cell.workers.evidence.filter(({ endedAtMs }) => endedAtMs === undefined);
    assert.deepEqual(running, []);
    assert.equal((await cell.statesOf([scheduledJobId])).get(scheduledJobId), state);
    assert.equal(part(this).jobs.length, 0);
});

Then(
    "each occurrence has started at most {int} ms after its time, and none before",
    function(this: ScenarioWorld, mostMs: number) {
        const { clock, workers } = cellOf(this);
        const { startAtMs, intervalMs } = schedulePart(this).schedule;
        const epochAtMs = clock.nowMs() - clock.monotonicMs();
        for (const { taskName, startedAtMs } of workers.evidence) {
            const dueAtMs = startAtMs + (parseTaskName(taskName)?.occurrence ?? 0) * intervalMs;
            const lateMs = epochAtMs + startedAtMs - dueAtMs;
            assert.ok(lateMs >= 0 && lateMs <= mostMs, `${taskName} started ${lateMs} ms after its time`);
        }
    },
);

Given(
    "a job that is due every {int} ms, {int} times",
    function(this: ScenarioWorld, intervalMs: number, count: number) {
        const schedule = { startAtMs: 0, intervalMs, repeatCount: count };
        const job = newJob({ ...submission, schedule }, testQueue, { acceptedAtMs: 0, order: 1 });
        job.stored = true;
        schedulePart(this).jobs = new Map([[submission.jobId, job]]);
    },
);

const numbersIn = (text: string): readonly number[] => text.match(/\d+/g)?.map(Number) ?? [];

When(/^the wall clock reads (.*) ms$/, function(this: ScenarioWorld, readings: string) {
    const { jobs, openOrDone } = schedulePart(this);
    let wallMs = 0;
    const due = createDueOccurrences({
        clock: { ...createFakeClock(), nowMs: () => wallMs },
        jobs,
        maxHeldTasks: 1_000,
        isLate: () => false,
        onOpened: () => {},
    });
    for (const reading of numbersIn(readings)) {
        wallMs = reading;
        due.open();
        for (const job of jobs.values()) {
            // The oldest one ends at once.
            const [oldest] = job.occurrences.keys();
            openOrDone.push(job.occurrences.size + job.doneOccurrences.size());
            if (oldest !== undefined) {
                job.occurrences.delete(oldest);
                job.doneOccurrences.add(oldest);
            }
        }
    }
});

Then(/^(.*) occurrences are open or done$/, function(this: ScenarioWorld, counts: string) {
    assert.deepEqual(schedulePart(this).openOrDone, numbersIn(counts));
});
