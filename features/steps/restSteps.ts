/** Steps about rests: the time during which a worker gets no starts because its runs fail. */

import { Given, Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    type FakeClock,
    jobIdOf,
    plainStep,
    readSteps,
    type ShardCell,
    testQueue,
    workerEntry,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    holdCapacity,
    isOpen,
    newJob,
    newRun,
    type ShardJob,
    type ShardTask,
    type ShardWorker,
    sleep,
} from "puffinarch";
import { openShardWorkers } from "./examples/shardFixtures.js";
import { cellOf, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    readonly clock: FakeClock;
    readonly worker: () => ShardWorker;
    readonly start: () => void;
    /** When a look first listed the failures. */
    failedAtMs: number | undefined;
    /** Whether the worker has refused the start. */
    refused: boolean;
}

const part = (world: ScenarioWorld): Part =>
    partOf<Part>(world, "rests", () => assert.fail("the scenario has no worker"));

const sampleMs = 100;
/** Number of the job whose wait is measured, and of the first of the jobs that run before it. */
const waitingNumber = 1;
const firstOtherNumber = 2;

Given(
    "a cell of {int} daemons and {int} workers where every run fails, with calls to the advisor of {int} ms that allow {int}, seed {int}",
    async function(
        this: ScenarioWorld,
        members: number,
        workers: number,
        decideMs: number,
        allowed: number,
        seed: number,
    ) {
        const good = new Set(Array.from({ length: allowed }, (_, index) => `worker-${index}`));
        await startCell(this, {
            members,
            workers,
            seed,
            failureRate: 1,
            durationMs: 300,
            isAllowed: (_step, workerId) => good.has(workerId),
            queues: [{ ...testQueue, stretch: 10, attempts: 3, advice: { decideMs, eachMs: 1, validMs: 2_500 } }],
        });
    },
);

/** The task that was stalled for longest without a break, sampled every `sampleMs`, and for how long. */
const longestStall = async (
    cell: ShardCell,
    forMs: number,
): Promise<{ readonly name: string; readonly ms: number; }> => {
    const since = new Map<string, number>();
    let longest = { name: "", ms: 0 };
    for (let passedMs = 0; passedMs < forMs; passedMs += sampleMs) {
        await cell.clock.advance(sampleMs);
        const nowMs = cell.clock.monotonicMs();
        const stalled = new Set(cell.standing());
        for (const name of [...since.keys()].filter(each => !stalled.has(each))) {
            since.delete(name);
        }
        for (const name of stalled) {
            const sinceMs = since.get(name) ?? nowMs;
            since.set(name, sinceMs);
            if (nowMs - sinceMs > longest.ms) {
                longest = { name, ms: nowMs - sinceMs };
            }
        }
    }
    return longest;
};

When(
    "{int} jobs of steps {string} are submitted, {int} ms apart, a job of steps {string} and {int} more such jobs, {int} ms apart",
    async function(
        this: ScenarioWorld,
        before: number,
        steps: string,
        apartMs: number,
        waitingSteps: string,
        after: number,
        laterApartMs: number,
    ) {
        const cell = cellOf(this);
        for (let index = 0; index < before; index += 1) {
            cell.submit(jobIdOf(firstOtherNumber + index), readSteps(steps));
            await cell.clock.advance(apartMs);
        }
        cell.submit(jobIdOf(waitingNumber), readSteps(waitingSteps));
        for (let index = before; index < before + after; index += 1) {
            cell.clock.setTimer((1 + index - before) * laterApartMs, () => {
                cell.submit(jobIdOf(firstOtherNumber + index), readSteps(steps));
            });
        }
    },
);

Then(
    "the job of steps {string} is at work within {int} ms",
    async function(this: ScenarioWorld, _steps: string, limitMs: number) {
        const { workers, until } = cellOf(this);
        const isAtWork = (): boolean =>
            workers.evidence.some(({ taskName }) => taskName.startsWith(`${jobIdOf(waitingNumber)}.`));
        assert.ok(await until(isAtWork, limitMs), "the job is not at work");
    },
);

Then(
    "no task stalls for {int} ms beside free room, over {int} ms",
    async function(this: ScenarioWorld, limitMs: number, forMs: number) {
        const { name, ms } = await longestStall(cellOf(this), forMs);
        assert.ok(ms < limitMs, `${name} stalled for ${ms} ms`);
    },
);

Then("workers have rested at least {int} times", function(this: ScenarioWorld, least: number) {
    const rests = cellOf(this).log.filter(line => line.event === "workerRests").length;
    assert.ok(rests >= least, `workers have rested ${rests} times`);
});

const workerId = "i-1";
const tasksPerJob = 4;

Given(
    "a worker whose runs of 2 jobs fail while it is sent a start that it refuses after {int} ms",
    function(this: ScenarioWorld, refusesAfterMs: number) {
        const clock = createFakeClock();
        const jobs = new Map<string, ShardJob>();
        for (const number of [1, 2]) {
            const jobId = jobIdOf(number);
            const submission = {
                jobId,
                queueKey: testQueue.key,
                dataCentre: "leon-feria",
                payload: "plan",
                steps: [{ ...plainStep, count: tasksPerJob }],
                schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
            };
            jobs.set(jobId, newJob(submission, testQueue, { acceptedAtMs: 0, order: number }));
        }
        const tasksOf = (number: number): readonly ShardTask[] =>
            jobs.get(jobIdOf(number))?.occurrences.get(0)?.steps[0]?.tasks ?? [];
        let sent = false;
        let looks = 0;
        const ends = [...tasksOf(1).slice(0, 2), ...tasksOf(2).slice(0, 2)].map((task, index) => ({
            endNumber: index + 1,
            taskName: task.name,
            run: 1,
            how: "failed" as const,
            checkpoint: "",
        }));
        const workers = openShardWorkers({
            clock,
            port: {
                start: async () => {
                    sent = true;
                    await sleep(clock, refusesAfterMs);
                    part(this).refused = true;
                    return "noRoom";
                },
                stop: async () => "done",
                pace: async () => "done",
                look: async () => {
                    looks += 1;
                    await sleep(clock, sampleMs);
                    const ended = sent ? ends : [];
                    if (sent) {
                        part(this).failedAtMs ??= clock.monotonicMs();
                    }
                    return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended, bornAtMs: 1 };
                },
            },
            jobOf: jobId => jobs.get(jobId),
        });
        workers.update([workerEntry(workerId, 1)]);
        const worker = (): ShardWorker => workers.all.get(workerId) ?? assert.fail("the worker is gone");
        const start = (): void => {
            assert.ok(looks > 0 && worker().runsKnown);
            const task = tasksOf(1).at(-1) ?? assert.fail("no task");
            const run = newRun(task, workerId, 1, { address: worker().entry.address, bornAtMs: worker().bornAtMs });
            task.runs.push(run);
            assert.ok(holdCapacity(worker(), run));
            void workers.start(run, "");
        };
        partOf<Part>(this, "rests", () => ({ clock, worker, start, failedAtMs: undefined, refused: false }));
    },
);

When(
    "the worker's looks have shown the failures, and the start is refused",
    async function(this: ScenarioWorld) {
        const { clock, start } = part(this);
        await clock.advance(10 * sampleMs);
        start();
        while (!part(this).refused || part(this).failedAtMs === undefined) {
            await clock.advance(sampleMs);
        }
    },
);

Then(
    "the worker takes no work for {int} ms from the failures on",
    async function(this: ScenarioWorld, forMs: number) {
        const { clock, worker, failedAtMs } = part(this);
        const endsAtMs = (failedAtMs ?? 0) + forMs;
        while (clock.monotonicMs() < endsAtMs) {
            assert.ok(
                !isOpen(worker(), clock.monotonicMs()),
                `the worker takes work ${clock.monotonicMs() - (failedAtMs ?? 0)} ms after the failures`,
            );
            await clock.advance(sampleMs);
        }
    },
);
