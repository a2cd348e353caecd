/** Steps that test which ends of runs an owner acknowledges and when. Those without a cell have a clock of their own. */

import { Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    createFakeFencedWorkers,
    type FakeClock,
    jobIdOf,
    plainStep,
    readSteps,
    type StartEvidence,
    testQueue,
    workerEntry,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    applyRunEnd,
    encodeJob,
    type EndedRun,
    type FencedWorkerPort,
    holdCapacity,
    journalTable,
    newJob,
    newRun,
    type Row,
    type ShardJob,
    type ShardTask,
    type ShardWorkers,
    sleep,
} from "puffinarch";
import { exampleJob, limits, openShardWorkers, submission, taskOf } from "./examples/shardFixtures.js";
import { cellOf, part } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

/** Time until a crashed worker of a cell is back at its address, and until its task is at work there. */
const replacedMs = 3_400;
const atWorkMs = 500;

When("a worker crashes, and another one at its address is at work", async function(this: ScenarioWorld) {
    const cell = cellOf(this);
    cell.crashWorkers(["worker-0"]);
    await cell.clock.advance(replacedMs);
    part(this).jobs.push(jobIdOf(1));
    // The task there ends soon, so that there is room for another run.
    cell.workers.setSpeed("worker-3", 5);
    cell.submit(jobIdOf(1), readSteps("4 of 8 cores for 5000 ms"));
    await cell.clock.advance(atWorkMs);
    assert.ok(cell.workers.evidence.some(({ workerId }) => workerId === "worker-0*"), "nothing runs at its address");
});

When(
    "the owner is killed while the list holds the former worker instead of the present one",
    function(this: ScenarioWorld) {
        const cell = cellOf(this);
        const entry = cell.workers.entryOf("worker-0*") ?? assert.fail("the worker is not up");
        const owner = cell.owner() ?? "";
        cell.kill(owner);
        part(this).endFaults.push(() => cell.restart(owner));
        cell.removeWorkerEntry("worker-0*");
        // The platform removes the entry of the former worker later than this.
        for (const afterMs of [0, 1_000]) {
            cell.clock.setTimer(
                afterMs,
                () => cell.store.put("workers", "worker-0", { ...entry, workerId: "worker-0" }),
            );
        }
        cell.clock.setTimer(4_000, () => cell.store.put("workers", "worker-0*", entry));
    },
);

/** The state rows that steps have made unreadable. */
const hiddenRows = (world: ScenarioWorld): Row[] => partOf(world, "hiddenRows", () => []);

When(/^the state row of that job (cannot be read|can be read again)$/, function(this: ScenarioWorld, how: string) {
    const { store } = cellOf(this);
    if (how === "can be read again") {
        for (const { table, part: tablePart, key, value = "" } of hiddenRows(this).splice(0)) {
            store.putText({ table, part: tablePart, key, value });
        }
        return;
    }
    const row = store.rows(journalTable).find(({ key }) => key === `state/${jobIdOf(1)}`)
        ?? assert.fail("the job has no state row");
    hiddenRows(this).push(row);
    store.putText({ table: row.table, part: row.part, key: row.key, value: "{}" });
});

/** Workers under one owner whose commits the scenario controls. */
interface EndsPart {
    clock: FakeClock;
    evidence: readonly StartEvidence[];
    /** When the ends of each task became durable. */
    readonly durableAtMs: Map<string, number>;
}

const endsPart = (world: ScenarioWorld): EndsPart =>
    partOf(world, "ends", (): EndsPart => ({ clock: createFakeClock(), evidence: [], durableAtMs: new Map() }));

const runMs = 300;

/** Starts workers under their IDs, and an owner of them whose commits take `commitMs()`. */
const startOwner = (
    world: ScenarioWorld,
    { jobs, count, commitMs, keepsIds = true, isLeftOut = () => false, wrap = port => port }: {
        readonly jobs: readonly ShardJob[];
        readonly count: number;
        readonly commitMs: () => number;
        /** Whether the workers tell when their incarnations began, as those that start again under their IDs do. */
        readonly keepsIds?: boolean;
        readonly isLeftOut?: (jobId: string) => boolean;
        readonly wrap?: (port: FencedWorkerPort) => FencedWorkerPort;
    },
) => {
    const { clock } = endsPart(world);
    const fakes = createFakeFencedWorkers({
        clock,
        model: () => ({ durationMs: runMs, fails: false }),
        heldOf: () => plainStep.size,
        leaseLimitMs: 10_000,
        onCrash: () => {},
    });
    endsPart(world).evidence = fakes.evidence;
    const entries = Array.from({ length: count }, (_, index) => ({
        ...workerEntry(`i-${index}`, index),
        ...(keepsIds ? { bornAtMs: Math.floor(clock.nowMs()) } : {}),
    }));
    entries.forEach(fakes.add);
    let newestToken = 7;
    const commit = async (): Promise<void> => {
        await sleep(clock, commitMs());
        newestToken += 1;
    };
    const workers: ShardWorkers = openShardWorkers({
        clock,
        port: wrap(fakes.connect(() => true)),
        newestToken: () => newestToken,
        confirm: commit,
        jobOf: jobId => jobs.find(({ submission }) => submission.jobId === jobId),
        isLeftOut,
        changed: async job => {
            const tasks = [...job.occurrences.values()].flatMap(({ steps }) => steps.flatMap(step => step.tasks));
            const ended = tasks.filter(({ done }) => done).map(({ name }) => name);
            encodeJob(job, clock, limits);
            await commit();
            for (const name of ended) {
                endsPart(world).durableAtMs.set(name, clock.monotonicMs());
            }
        },
    });
    workers.update(entries.slice(0, 1));
    world.closers.push(async () => workers.close());
    /** Commits the intent of a run and starts it. */
    const start = async (task: ShardTask, workerId: string): Promise<void> => {
        const worker = workers.all.get(workerId) ?? assert.fail(`the owner has no worker ${workerId}`);
        const planned = newRun(task, workerId, 1, { bornAtMs: worker.bornAtMs, address: worker.entry.address });
        assert.ok(holdCapacity(worker, planned));
        task.lastRun = 1;
        task.runs.push(planned);
        newestToken += 1;
        void workers.start(planned, "");
        await clock.advance(10);
    };
    return { fakes, workers, entries, start };
};

/** Long enough for the next look to be sent with the token of this commit. */
const slowCommitMs = 120;
/** From the look that is late until its worker's incarnation ends. */
const crashAfterMs = 100;

When(
    "a look that acknowledges an end is carried out {int} ms late, by the worker's next incarnation",
    async function(this: ScenarioWorld, lateMs: number) {
        const { clock } = endsPart(this);
        const job = exampleJob();
        let isDelayed = false;
        let commitMs = slowCommitMs;
        const { fakes, start } = startOwner(this, {
            jobs: [job],
            count: 1,
            commitMs: () => commitMs,
            wrap: port => ({
                ...port,
                look: async (target, order) => {
                    if (isDelayed || order.acknowledgedEnd === 0) {
                        return port.look(target, order);
                    }
                    isDelayed = true;
                    clock.setTimer(lateMs, () => void port.look(target, order));
                    clock.setTimer(crashAfterMs, () => {
                        fakes.goDown("i-0");
                        fakes.restart("i-0", workerEntry("i-0", 0).capacity);
                    });
                    await sleep(clock, order.waitMs + order.answerTimeoutMs);
                    return { outcome: "unknown" };
                },
            }),
        });
        await clock.advance(100);
        await start(taskOf(job), "i-0");
        for (let passedMs = 0; passedMs < 5_000 && !isDelayed; passedMs += 10) {
            await clock.advance(10);
        }
        assert.ok(isDelayed, "no look acknowledged the end");
        // The next run ends just before the late look arrives, and the store no longer answers by then.
        await clock.advance(lateMs - runMs - 100);
        commitMs = 60_000;
        await start(taskOf(job, 1), "i-0");
        await clock.advance(lateMs);
    },
);

Then("no end of that incarnation is acknowledged before it is durable", function(this: ScenarioWorld) {
    const [, next] = endsPart(this).evidence;
    assert.equal(next?.how, "done");
    assert.equal(next.acknowledgedAtMs, undefined);
});

When(
    /^two runs of a task end as done on two workers(, which start again under other IDs|), and the store takes (\d+) ms to commit$/,
    async function(this: ScenarioWorld, otherIds: string, commitText: string) {
        const commitMs = Number(commitText);
        const { clock } = endsPart(this);
        const job = newJob({ ...submission, steps: [plainStep] }, testQueue, { acceptedAtMs: 0, order: 1 });
        let port: FencedWorkerPort | undefined;
        const { entries, workers, start } = startOwner(this, {
            jobs: [job],
            count: 2,
            commitMs: () => commitMs,
            keepsIds: otherIds === "",
            wrap: wrapped => {
                port = wrapped;
                return wrapped;
            },
        });
        // A run of a former owner, on a worker that is listed only later.
        const order = { taskName: taskOf(job).name, run: 2, payload: "plan", checkpoint: "", ticket: "" };
        void port?.start({ workerId: "i-1", address: "" }, { ...order, deadlineMs: 60_000, fencingToken: 6 }, 100);
        await clock.advance(100);
        await start(taskOf(job), "i-0");
        await clock.advance(2 * runMs);
        assert.equal(job.occurrences.size, 0);
        workers.update(entries);
        await clock.advance(2 * commitMs);
    },
);

Then("no end is acknowledged before the task's end is durable", function(this: ScenarioWorld) {
    const { evidence, durableAtMs } = endsPart(this);
    for (const { taskName, how, acknowledgedAtMs = Infinity } of evidence) {
        assert.equal(how, "done");
        assert.ok(acknowledgedAtMs >= (durableAtMs.get(taskName) ?? Infinity), `acknowledged at ${acknowledgedAtMs}`);
    }
});

Then("both ends are acknowledged in time", function(this: ScenarioWorld) {
    assert.deepEqual(endsPart(this).evidence.map(({ acknowledgedAtMs }) => acknowledgedAtMs !== undefined), [
        true,
        true,
    ]);
});

/** What became of a start that waited for a silent worker. */
const silentStart = (world: ScenarioWorld): { starts: number; runsHeld: number; } =>
    partOf(world, "silentStart", () => ({ starts: 0, runsHeld: 0 }));

const endedTasks = (world: ScenarioWorld): ShardTask[] => partOf(world, "endedTasks", () => []);

interface ListedEnds {
    looks: number;
    acknowledged: number;
}

const listedEnds = (world: ScenarioWorld): ListedEnds =>
    partOf(world, "listedEnds", (): ListedEnds => ({ looks: 0, acknowledged: 0 }));

When(
    "a worker lists {int} ends for {int} ms, of which the job of number {int} cannot be read",
    async function(this: ScenarioWorld, count: number, forMs: number, unread: number) {
        const { clock } = endsPart(this);
        const listed = listedEnds(this);
        const ended: readonly EndedRun[] = Array.from({ length: count }, (_, index) => ({
            endNumber: index + 1,
            taskName: `${jobIdOf(index + 1)}.0.0.0`,
            run: 1,
            how: "done",
            checkpoint: "",
        }));
        const { workers } = startOwner(this, {
            jobs: [],
            count: 1,
            commitMs: () => 8,
            isLeftOut: jobId => jobId === jobIdOf(unread),
            wrap: port => ({
                ...port,
                look: async (_target, { acknowledgedEnd, waitMs }) => {
                    listed.looks += 1;
                    listed.acknowledged = Math.max(listed.acknowledged, acknowledgedEnd);
                    const left = ended.filter(({ endNumber }) => endNumber > listed.acknowledged);
                    await sleep(clock, left.length > 0 ? 2 : waitMs);
                    return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: left };
                },
            }),
        });
        await clock.advance(forMs);
        workers.close();
    },
);

Then(
    "the owner has acknowledged {int} of them, with at most {int} looks",
    function(this: ScenarioWorld, acknowledged: number, mostLooks: number) {
        const listed = listedEnds(this);
        assert.equal(listed.acknowledged, acknowledged);
        assert.ok(listed.looks <= mostLooks, `${listed.looks} looks`);
    },
);

When(
    "the start of a member waits for a silent worker, which answers again after a former run of the gang was listed as done",
    async function(this: ScenarioWorld) {
        const { clock } = endsPart(this);
        const steps = [{ ...plainStep, count: 2, gang: true }];
        const job = newJob({ ...submission, steps }, testQueue, { acceptedAtMs: 0, order: 1 });
        const state = silentStart(this);
        let isSilent = false;
        const { workers, start } = startOwner(this, {
            jobs: [job],
            count: 1,
            commitMs: () => 8,
            wrap: port => ({
                ...port,
                look: async (target, order) => {
                    if (!isSilent) {
                        return port.look(target, order);
                    }
                    await sleep(clock, order.waitMs + order.answerTimeoutMs);
                    return { outcome: "unknown" };
                },
                start: (target, order, timeoutMs) => {
                    state.starts += 1;
                    return port.start(target, order, timeoutMs);
                },
            }),
        });
        await clock.advance(100);
        isSilent = true;
        await clock.advance(2_500);
        await start(taskOf(job), "i-0");
        applyRunEnd(taskOf(job), 0, "done", "", clock.monotonicMs());
        isSilent = false;
        await clock.advance(1_000);
        state.runsHeld = workers.all.get("i-0")?.runs.size ?? 0;
    },
);

Then("the start was not sent, and the member holds no room", function(this: ScenarioWorld) {
    assert.deepEqual(silentStart(this), { starts: 0, runsHeld: 0 });
});

When("two runs end on a worker that lists the newest end first", async function(this: ScenarioWorld) {
    const { clock } = endsPart(this);
    const job = newJob({ ...submission, steps: [{ ...plainStep, count: 2 }] }, testQueue, {
        acceptedAtMs: 0,
        order: 1,
    });
    const tasks = job.occurrences.get(0)?.steps[0]?.tasks ?? [];
    endedTasks(this).push(...tasks);
    let isSilent = false;
    const { start } = startOwner(this, {
        jobs: [job],
        count: 1,
        commitMs: () => 8,
        wrap: port => ({
            ...port,
            look: async (target, order) => {
                const look = await port.look(target, { ...order, waitMs: 0 });
                await sleep(clock, 10);
                // Both ends are listed for the first time in the same answer.
                return isSilent || look.outcome !== "done"
                    ? { outcome: "unknown" }
                    : { ...look, ended: [...look.ended].reverse() };
            },
        }),
    });
    await clock.advance(100);
    for (const task of tasks) {
        await start(task, "i-0");
    }
    isSilent = true;
    await clock.advance(2 * runMs);
    isSilent = false;
    await clock.advance(1_000);
});

Then("both tasks are done", function(this: ScenarioWorld) {
    assert.deepEqual(endedTasks(this).map(({ done }) => done), [true, true]);
});

/** Most ends that were unacknowledged at a time. */
const mostUnacknowledged = (world: ScenarioWorld): { ends: number; } =>
    partOf(world, "mostUnacknowledged", () => ({ ends: 0 }));

When(
    "a task starts each {int} ms for {int} ms on a worker that keeps its ID, and each commit takes {int} ms",
    async function(this: ScenarioWorld, everyMs: number, forMs: number, commitMs: number) {
        const { clock } = endsPart(this);
        const count = Math.floor(forMs / everyMs);
        const job = newJob({ ...submission, steps: [{ ...plainStep, count }] }, testQueue, {
            acceptedAtMs: 0,
            order: 1,
        });
        const { start } = startOwner(this, { jobs: [job], count: 1, commitMs: () => commitMs });
        await clock.advance(1_000);
        const tasks = job.occurrences.get(0)?.steps[0]?.tasks ?? [];
        for (const task of tasks) {
            await start(task, "i-0");
            await clock.advance(everyMs - 10);
            const ended = endsPart(this).evidence.filter(({ how }) => how !== undefined);
            const left = ended.filter(({ acknowledgedAtMs }) => acknowledgedAtMs === undefined).length;
            mostUnacknowledged(this).ends = Math.max(mostUnacknowledged(this).ends, left);
        }
    },
);

Then("at no time were more than {int} ends unacknowledged", function(this: ScenarioWorld, most: number) {
    const { ends } = mostUnacknowledged(this);
    assert.ok(endsPart(this).evidence.every(({ how }) => how === "done" || how === undefined), "a run was lost");
    assert.ok(ends <= most, `${ends} ends`);
});

When("that job is submitted anew", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    cell.submitOnce(jobIdOf(1), readSteps("2 for 500 ms, 1 after 0 for 9000 ms"), cell.owner());
});

Then("no task was started again after its end was acknowledged", function(this: ScenarioWorld) {
    const { evidence } = cellOf(this).workers;
    const ended = evidence.filter(({ how, acknowledgedAtMs }) => how === "done" && acknowledgedAtMs !== undefined);
    assert.ok(ended.length > 0, "no end was acknowledged");
    const again = evidence.filter(({ taskName, startedAtMs }) =>
        ended.some(first => first.taskName === taskName && (first.acknowledgedAtMs ?? 0) < startedAtMs)
    ).map(({ taskName, run, startedAtMs }) => `${taskName}#${run} at ${startedAtMs}`);
    assert.deepEqual(again, [], [...cellOf(this).answers().values()].join(", "));
});

Then("at most {int} ends of that cell are unacknowledged", function(this: ScenarioWorld, most: number) {
    const ended = cellOf(this).workers.evidence.filter(({ how }) => how !== undefined);
    const left = ended.filter(({ acknowledgedAtMs }) => acknowledgedAtMs === undefined).length;
    assert.ok(left <= most, `${left} of ${ended.length} ends`);
});
