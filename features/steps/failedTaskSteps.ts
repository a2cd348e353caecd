/** Steps about tasks whose runs have failed, and about which workers they avoid afterwards. */

import { Given, Then, When } from "@cucumber/cucumber";
import { jobIdOf, plainStep, readSteps, type ShardCell, testQueue, workerEntry } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    adoptRun,
    avoidedBy,
    newJob,
    newRun,
    newWorker,
    runEnds,
    runPhases,
    type ShardJob,
    type ShardTask,
} from "puffinarch";
import { cellOf, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    /** The worker without room for the job; empty if all have room. */
    third: string;
    /** Number of workers that the task avoids. */
    avoided: number;
}

/** Ids of the job under test and of the job that fills a worker; no other job has such a number. */
const jobId = jobIdOf(6_001);
const fillingId = jobIdOf(6_002);
const tickMs = 50;
/** Bound on each wait; all runs and calls to the advisor of a scenario are over by then. */
const limitMs = 60_000;
/** A run that has lasted for longer than this has not failed at its start. */
const atWorkMs = 300;
const capacity = { cpuMillis: 8_000, memoryMib: 16_000, accelerators: 0 };
const shrunkShare = 0.2;

const part = (world: ScenarioWorld): Part => partOf(world, "failedTasks", () => ({ third: "", avoided: -1 }));

const runsOf = (cell: ShardCell) => cell.workers.evidence.filter(({ taskName }) => taskName.startsWith(`${jobId}.`));

/** Advances the clock in small steps until a condition holds; false if it does not hold within `limitMs`. */
const waitFor = async (cell: ShardCell, holds: () => boolean | Promise<boolean>): Promise<boolean> => {
    const endsAtMs = cell.clock.monotonicMs() + limitMs;
    while (cell.clock.monotonicMs() < endsAtMs) {
        if (await holds()) {
            return true;
        }
        await cell.clock.advance(tickMs);
    }
    return false;
};

const indexOf = (workerId: string): number => Number(/\d+/.exec(workerId)?.[0] ?? 0);

Given(
    "a cell of {int} daemons and {int} workers, of which an advisor that takes {int} ms allows the first {int}",
    async function(this: ScenarioWorld, members: number, workers: number, decideMs: number, allowed: number) {
        await startCell(this, {
            members,
            workers,
            seed: 1,
            runsGangsTogether: true,
            queues: [{ ...testQueue, advice: { decideMs, eachMs: 1, validMs: 2_000 } }],
            isAllowed: (_stepName, workerId) => indexOf(workerId) < allowed,
        });
    },
);

/** Ways to leave one worker without room for the whole scenario; each returns the worker's id, "" if all stay free. */
const thirdWorkerSetups: Readonly<Record<string, (cell: ShardCell) => Promise<string>>> = {
    free: async () => "",
    full: async cell => {
        cell.submit(fillingId, readSteps("1 long running of 8 cores"));
        assert.ok(await waitFor(cell, () => cell.workers.evidence.length > 0));
        return cell.workers.evidence[0]?.workerId ?? "";
    },
    shrunk: async cell => {
        const [workerId = ""] = cell.workers.workerIds();
        cell.resize([workerId], shrunkShare);
        return workerId;
    },
};

Given(
    /^a cell of (\d+) daemons and 3 workers, one of which is (free|full|shrunk)$/,
    async function(this: ScenarioWorld, members: string, how: string) {
        await startCell(this, { members: Number(members), workers: 3, seed: 1, capacity, runsGangsTogether: true });
        const cell = cellOf(this);
        part(this).third = await thirdWorkerSetups[how]?.(cell) ?? assert.fail(`no such worker: ${how}`);
        await cell.clock.advance(2_000);
    },
);

When("the job of steps {string} is submitted", function(this: ScenarioWorld, steps: string) {
    cellOf(this).submit(jobId, readSteps(steps));
});

When(
    /^the job of steps "([^"]*)" is submitted, and 2 workers fail everything until it has failed (\d+) times?$/,
    async function(this: ScenarioWorld, steps: string, times: string) {
        const cell = cellOf(this);
        const failingWorkers = cell.workers.workerIds().filter(workerId => workerId !== part(this).third).slice(0, 2);
        for (const workerId of failingWorkers) {
            cell.workers.setFault(workerId, "failing");
        }
        cell.submit(jobId, readSteps(steps));
        const failures = (): number =>
            new Set(runsOf(cell).filter(({ how }) => how === runEnds.failed).map(({ run }) => run)).size;
        assert.ok(await waitFor(cell, () => failures() === Number(times)), `it has failed ${failures()} times`);
        for (const workerId of failingWorkers) {
            cell.workers.setFault(workerId, "none");
        }
    },
);

/**
 * Time in milliseconds without any task of the job running, after each of its runs until the next one. The members of a gang
 * count as one run. The time since the last run counts too unless the awaited state was reached.
 */
const gapsOf = (cell: ShardCell, isReached: boolean): readonly number[] => {
    const spans = new Map<number, { startMs: number; endMs: number; }>();
    for (const { run, startedAtMs, endedAtMs = Infinity } of runsOf(cell)) {
        const { startMs = Infinity, endMs = 0 } = spans.get(run) ?? {};
        spans.set(run, { startMs: Math.min(startMs, startedAtMs), endMs: Math.max(endMs, endedAtMs) });
    }
    const inOrder = [...spans.values()].sort((left, right) => left.startMs - right.startMs);
    const starts = [...inOrder.slice(1).map(({ startMs }) => startMs), ...isReached ? [] : [cell.clock.monotonicMs()]];
    return starts.map((startMs, index) => Math.max(0, Math.round(startMs - (inOrder[index]?.endMs ?? 0))));
};

const assertGaps = (world: ScenarioWorld, isReached: boolean, mostMs: number): void => {
    const gaps = gapsOf(cellOf(world), isReached);
    assert.deepEqual(
        gaps.filter(gapMs => gapMs > mostMs),
        [],
        `the job was idle for ${gaps.join(", ")} ms after its runs`,
    );
    assert.deepEqual(cellOf(world).breaches(), []);
};

Then(
    "the job is idle for at most {int} ms after each of its runs, until it is {string}",
    async function(this: ScenarioWorld, mostMs: number, state: string) {
        const cell = cellOf(this);
        const stateNow = async (): Promise<string | undefined> => (await cell.statesOf([jobId])).get(jobId);
        const reached = await waitFor(cell, async () => await stateNow() === state);
        assertGaps(this, reached, mostMs);
        assert.ok(reached, `the job is ${await stateNow()}`);
    },
);

Then(
    "the job is idle for at most {int} ms after each of its runs, until it is at work",
    async function(this: ScenarioWorld, mostMs: number) {
        const cell = cellOf(this);
        const isAtWork = (): boolean =>
            runsOf(cell).some(({ startedAtMs, endedAtMs }) =>
                endedAtMs === undefined && cell.clock.monotonicMs() - startedAtMs > atWorkMs
            );
        const reached = await waitFor(cell, isAtWork);
        assertGaps(this, reached, mostMs);
        assert.ok(reached, "no run of the job is at work");
    },
);

const jobOfOneTask = (id: string, estimateMs: number): ShardJob =>
    newJob(
        {
            jobId: id,
            queueKey: testQueue.key,
            dataCentre: "leon-feria",
            payload: "plan",
            steps: [{ ...plainStep, estimateMs, size: capacity }],
            schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
        },
        testQueue,
        { acceptedAtMs: 0, order: 1 },
    );

const taskOf = (job: ShardJob): ShardTask =>
    job.occurrences.get(0)?.steps[0]?.tasks[0] ?? assert.fail("the job has no task");

Given(
    "a task with {int} attempt(s) left that {int} of {int} workers failed {int} ms ago, while the others are busy for {int} ms",
    function(this: ScenarioWorld, left: number, failed: number, count: number, agoMs: number, busyMs: number) {
        const nowMs = 10_000;
        const task = taskOf(jobOfOneTask(jobId, 1_000));
        task.failures = testQueue.attempts - left;
        const workers = Array.from({ length: count }, (_, index) => {
            const worker = newWorker(workerEntry(`i-${index}`, index, capacity), nowMs);
            worker.runsKnown = true;
            worker.clock = { localMs: 0, clockMs: 0 };
            if (index < failed) {
                task.failedOn.set(worker.workerId, nowMs - agoMs);
            }
            else {
                const busy = taskOf(jobOfOneTask(jobIdOf(7_000 + index), busyMs));
                adoptRun(
                    worker,
                    newRun(busy, worker.workerId, 1, { phase: runPhases.running, startedAtMs: nowMs }),
                );
            }
            return worker;
        });
        const byId = new Map(workers.map(worker => [worker.workerId, worker]));
        part(this).avoided = avoidedBy(task, { workers: byId, nowMs }).size;
    },
);

Then("it avoids {int} worker(s)", function(this: ScenarioWorld, count: number) {
    assert.equal(part(this).avoided, count);
});

Then("the job has completed within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    const isDone = async (): Promise<boolean> => (await cell.statesOf([jobId])).get(jobId) === "completed";
    assert.ok(await cell.until(isDone, limitMs), "the job has not completed");
});

Then("no run ended as {string}", function(this: ScenarioWorld, how: string) {
    assert.deepEqual(cellOf(this).workers.evidence.filter(run => run.how === how), []);
});
