/** Steps about runs of scripted workers that an owner stops, or whose stops get no answer. */

import { Given, Then, When } from "@cucumber/cucumber";
import { createFakeClock, type FakeClock, plainStep, workerEntry } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    defaultShardSettings,
    type FencedWorkerPort,
    holdCapacity,
    newRun,
    type OrderOutcome,
    type ShardJob,
    type ShardRun,
    type ShardTask,
    type ShardWorkers,
    sleep,
} from "puffinarch";
import { exampleJob, openShardWorkers, storedRunOf } from "./examples/shardFixtures.js";
import { cellOf, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    /** How long runs were up although their owner held them, or their room, no more. */
    unheldMs: number;
    unheldRoomMs: number;
    /** How long an owner held runs that were not there. */
    heldMs: number;
}

const part = (world: ScenarioWorld): Part =>
    partOf(world, "missingRuns", () => ({ unheldMs: 0, unheldRoomMs: 0, heldMs: 0 }));

const stopTakesMs = 900;
/** Looks wait no longer than this, as runs of other jobs end on the worker. */
const looksEndAfterMs = 100;

/** A worker whose runs begin 5 ms after their start was sent, and are not listed while they are being stopped. */
const createScriptedWorkers = (
    clock: FakeClock,
    {
        startAnswerMs = 5,
        refusesOn = "",
        answersStops = true,
        losesAfterMs = Infinity,
        bornAtMs,
        isUp = false,
        lookMs = 1,
    }: {
        readonly startAnswerMs?: number;
        readonly refusesOn?: string;
        readonly answersStops?: boolean;
        readonly losesAfterMs?: number;
        readonly bornAtMs?: number;
        readonly isUp?: boolean;
        readonly lookMs?: number;
    },
) => {
    let beganAtMs = isUp ? 0 : Infinity;
    let stoppedAtMs = Infinity;
    let name = "";
    const runIsUp = (): boolean => clock.monotonicMs() >= beganAtMs && clock.monotonicMs() < stoppedAtMs + stopTakesMs;
    const isListed = (): boolean =>
        runIsUp() && stoppedAtMs === Infinity && clock.monotonicMs() < beganAtMs + losesAfterMs;
    const beginStop = (): void => {
        stoppedAtMs = Math.min(stoppedAtMs, clock.monotonicMs());
    };
    const port: FencedWorkerPort = {
        start: async ({ workerId }, { taskName }) => {
            if (workerId === refusesOn) {
                await sleep(clock, 2);
                return "noRoom";
            }
            name = taskName;
            await sleep(clock, 5);
            beganAtMs = clock.monotonicMs();
            await sleep(clock, startAnswerMs);
            return "done";
        },
        stop: async ({ workerId }) => {
            if (!answersStops) {
                await sleep(clock, 150);
                return "unknown";
            }
            await sleep(clock, 10);
            if (workerId === "i-1") {
                beginStop();
            }
            return "done";
        },
        pace: async () => "done",
        look: async ({ workerId }, { waitMs }) => {
            const endsAtMs = stoppedAtMs + stopTakesMs;
            await sleep(
                clock,
                Math.max(lookMs, Math.min(waitMs, looksEndAfterMs, Math.max(1, endsAtMs - clock.monotonicMs()))),
            );
            const here = workerId === "i-1" && name !== "";
            const row = { taskName: name, run: 1, checkpoint: "", percent: 100, figure: 1_000 };
            return {
                outcome: "done",
                clockMs: clock.monotonicMs(),
                ...(bornAtMs === undefined ? {} : { bornAtMs }),
                running: here && isListed() ? [row] : [],
                ended: here && clock.monotonicMs() >= endsAtMs
                    ? [{ endNumber: 1, taskName: name, run: 1, how: "stopped", checkpoint: "" }]
                    : [],
            };
        },
    };
    return {
        port,
        runIsUp,
        beginStop,
        setName: (taskName: string) => {
            name = taskName;
        },
    };
};

const open = (clock: FakeClock, job: ShardJob, port: FencedWorkerPort): ShardWorkers =>
    openShardWorkers({
        clock,
        port,
        newestToken: () => 7 + Math.floor(clock.monotonicMs() / 10),
        jobOf: () => job,
    });

const tasksOf = (job: ShardJob) => job.occurrences.get(0)?.steps[0]?.tasks ?? [];

/** Holds the first run of a task on a worker. */
const holdRun = (workers: ShardWorkers, task: ShardTask, workerId = "i-1"): ShardRun => {
    const run = newRun(task, workerId, 1);
    task.runs.push(run);
    holdCapacity(workers.all.get(workerId) ?? assert.fail("the worker was not added"), run);
    return run;
};

/** Starts each member of a job's gang of two on a worker of its own. */
const startGang = async (clock: FakeClock, job: ShardJob, port: FencedWorkerPort): Promise<ShardWorkers> => {
    const workers = open(clock, job, port);
    workers.update([workerEntry("i-1", 1), workerEntry("i-2", 2)]);
    await clock.advance(100);
    const runs = tasksOf(job).map((task, index) => holdRun(workers, task, `i-${index + 1}`));
    for (const run of runs) {
        void workers.start(run, "");
    }
    return workers;
};

When(
    /^a gang loses one member as another's start is under way, at a worker (that keeps its ID|with an ID for each incarnation)$/,
    async function(this: ScenarioWorld, kind: string) {
        const clock = createFakeClock();
        const job = exampleJob([{ ...plainStep, count: 2, gang: true }]);
        const scripted = createScriptedWorkers(clock, {
            startAnswerMs: 60,
            refusesOn: "i-2",
            ...(kind === "that keeps its ID" ? { bornAtMs: 500 } : {}),
        });
        const workers = await startGang(clock, job, scripted.port);
        for (let passedMs = 0; passedMs < 3_000; passedMs += 1) {
            await clock.advance(1);
            part(this).unheldMs += scripted.runIsUp() && (tasksOf(job)[0]?.runs.length ?? 0) === 0 ? 1 : 0;
        }
        workers.close();
    },
);

When(
    "a successor's first list shows that the worker of a checkpointing run drains, and the stop overtakes the first look",
    async function(this: ScenarioWorld) {
        const clock = createFakeClock();
        const job = exampleJob([{ ...plainStep, checkpointing: true, estimateMs: 60_000 }]);
        const [task = assert.fail("no task")] = tasksOf(job);
        await clock.advance(30_000);
        const scripted = createScriptedWorkers(clock, { isUp: true, lookMs: 20 });
        scripted.setName(task.name);
        const workers = open(clock, job, scripted.port);
        workers.restoreRuns([storedRunOf(task, { storedAtMs: 1_000 })]);
        await clock.advance(300);
        workers.update([{ ...workerEntry("i-1", 1), draining: true, drainRemainingMs: 5_000 }]);
        for (let passedMs = 0; passedMs < 3_000; passedMs += 1) {
            await clock.advance(1);
            part(this).unheldMs += scripted.runIsUp() && task.runs.length === 0 ? 1 : 0;
        }
        workers.close();
    },
);

When(
    "a run that a worker has listed is missing from then on, and stops of it get no answer, while looks do",
    async function(this: ScenarioWorld) {
        const clock = createFakeClock();
        const job = exampleJob([plainStep]);
        const [task = assert.fail("no task")] = tasksOf(job);
        const scripted = createScriptedWorkers(clock, { losesAfterMs: 2_000, answersStops: false });
        const workers = open(clock, job, scripted.port);
        workers.update([workerEntry("i-1", 1)]);
        await clock.advance(100);
        void workers.start(holdRun(workers, task), "");
        await clock.advance(2_005);
        for (let passedMs = 0; passedMs < 30_000 && task.runs.length > 0; passedMs += 100) {
            await clock.advance(100);
            part(this).heldMs += 100;
        }
        workers.close();
    },
);

When(
    "a successor looks at a worker that stops a lasting run, whose row says for {int} ms more that its start may be late",
    async function(this: ScenarioWorld, leftMs: number) {
        const clock = createFakeClock();
        const job = exampleJob([{ ...plainStep, longRunning: true }]);
        const [task = assert.fail("no task")] = tasksOf(job);
        await clock.advance(30_000);
        const scripted = createScriptedWorkers(clock, { isUp: true, bornAtMs: 500 });
        scripted.setName(task.name);
        // The former owner's stop, right before the claim.
        await clock.advance(10);
        scripted.beginStop();
        const workers = open(clock, job, scripted.port);
        const storedAtMs = clock.monotonicMs() - defaultShardSettings.unansweredStartMs + leftMs;
        workers.restoreRuns([storedRunOf(task, { bornAtMs: 500, storedAtMs })]);
        workers.update([{ ...workerEntry("i-1", 1), bornAtMs: 500 }]);
        for (let passedMs = 0; passedMs < 3_000; passedMs += 1) {
            await clock.advance(1);
            part(this).unheldMs += scripted.runIsUp() && task.runs.length === 0 ? 1 : 0;
            const { cpuMillis = 0 } = workers.all.get("i-1")?.held ?? {};
            part(this).unheldRoomMs += scripted.runIsUp() && cpuMillis === 0 ? 1 : 0;
        }
        workers.close();
    },
);

When("a gang's member is sent to a worker that answers looks and no orders", async function(this: ScenarioWorld) {
    const clock = createFakeClock();
    const job = exampleJob([{ ...plainStep, count: 2, gang: true }]);
    const scripted = createScriptedWorkers(clock, {});
    const never = async (): Promise<OrderOutcome> => {
        await sleep(clock, 150);
        return "unknown";
    };
    const port: FencedWorkerPort = {
        ...scripted.port,
        start: (target, order, timeoutMs) =>
            target.workerId === "i-2" ? never() : scripted.port.start(target, order, timeoutMs),
        stop: (target, order, timeoutMs) =>
            target.workerId === "i-2" ? never() : scripted.port.stop(target, order, timeoutMs),
    };
    const workers = await startGang(clock, job, port);
    for (let passedMs = 0; passedMs < 30_000 && tasksOf(job).some(({ runs }) => runs.length > 0); passedMs += 100) {
        await clock.advance(100);
        workers.checkLeases(clock.monotonicMs());
        part(this).heldMs += 100;
    }
    workers.close();
});

Then("its owner held the room of each run for as long as it was up", function(this: ScenarioWorld) {
    assert.equal(part(this).unheldRoomMs, 0, `a run was up for ${part(this).unheldRoomMs} ms without its room`);
});

Then("its owner held each run for as long as it was up", function(this: ScenarioWorld) {
    assert.equal(part(this).unheldMs, 0, `a run was up for ${part(this).unheldMs} ms without its owner`);
});

Then("its task waits for {int} ms at most", function(this: ScenarioWorld, mostMs: number) {
    assert.ok(part(this).heldMs <= mostMs, `held for ${part(this).heldMs} ms`);
});

Given(
    "{int} daemons and {int} workers that check starts once, begin late and keep their IDs, seed {int}",
    async function(this: ScenarioWorld, members: number, workers: number, seed: number) {
        await startCell(this, { members, workers, seed, checksStartsOnce: true, startTakesMs: 100, keepsIds: true });
    },
);

Then("no {int} ms passed without a start", function(this: ScenarioWorld, mostMs: number) {
    const atMs = cellOf(this).workers.evidence.map(({ orderedAtMs }) => orderedAtMs).sort((left, right) =>
        left - right
    );
    const gaps = atMs.slice(1).map((each, index) => each - (atMs[index] ?? 0));
    assert.ok(Math.max(...gaps) <= mostMs, `the longest time without a start was ${Math.max(...gaps)} ms`);
});
