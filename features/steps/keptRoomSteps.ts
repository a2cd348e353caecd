/** Steps about room that is reserved for a gang, and about how long others wait for it. */

import { Given, Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    type FakeClock,
    jobIdOf,
    noopLog,
    noopMeter,
    plainStep,
    readSteps,
    type StartEvidence,
    testQueue,
    workerEntry,
    workerFaults,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    adoptRun,
    createAdviceDispatcher,
    createTaskPlacer,
    defaultShardSettings,
    newJob,
    newRun,
    newWorker,
    type ShardJob,
    type ShardTask,
    type ShardWorker,
    type Step,
} from "puffinarch";
import { cellOf, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    /** Jobs by their names in the scenario. */
    readonly jobs: Map<string, { readonly jobId: string; readonly submittedAtMs: number; }>;
    /** Workers that the advisor allows, by ID of a job; all workers for jobs without an entry. */
    readonly allowed: Map<string, readonly string[]>;
    /** Times at which the scenario crashed workers. */
    readonly crashedAtMs: number[];
    /** A step on trial: tasks under which workers crashed, placed without a cell. */
    onTrial: { readonly clock: FakeClock; readonly pass: () => void; readonly isPlaced: () => boolean; } | undefined;
}

const firstJobNumber = 6_001;
const tickMs = 50;
/** A run that has been at work for this long is not taken for the cause of a crash. */
const atWorkMs = 9_000;
/** Drain time of a worker that takes no work until the scenario lists all workers again. */
const drainMs = 60_000;
/** Bound on each wait for a start; far above the limits of the scenarios, so that a failure shows how late the start was. */
const longestWaitMs = 30_000;

const part = (world: ScenarioWorld): Part =>
    partOf(world, "keptRoom", () => ({ jobs: new Map(), allowed: new Map(), crashedAtMs: [], onTrial: undefined }));

const jobNamed = (world: ScenarioWorld, name: string): { readonly jobId: string; readonly submittedAtMs: number; } =>
    part(world).jobs.get(name) ?? assert.fail(`no job is named ${name}`);

const startsOf = (world: ScenarioWorld, name: string): readonly StartEvidence[] => {
    const { jobId } = jobNamed(world, name);
    return cellOf(world).workers.evidence.filter(({ taskName }) => taskName.startsWith(jobId));
};

Given(
    "a cell of {int} daemons and {int} workers whose tasks take {int} ms, with a stretch of {int}, seed {int}",
    async function(
        this: ScenarioWorld,
        members: number,
        workers: number,
        durationMs: number,
        stretch: number,
        seed: number,
    ) {
        const { allowed } = part(this);
        await startCell(this, {
            members,
            workers,
            seed,
            durationMs,
            queues: [{ ...testQueue, stretch }],
            isAllowed: (stepName, workerId) =>
                allowed.get(stepName.slice(0, stepName.indexOf(".")))?.includes(workerId) ?? true,
        });
    },
);

const submit = (world: ScenarioWorld, name: string, steps: string, allowed?: readonly string[]): void => {
    const { jobs, allowed: allowedOf } = part(world);
    const jobId = jobIdOf(firstJobNumber + jobs.size);
    jobs.set(name, { jobId, submittedAtMs: cellOf(world).clock.monotonicMs() });
    if (allowed !== undefined) {
        allowedOf.set(jobId, allowed);
    }
    cellOf(world).submit(jobId, readSteps(steps));
};

When(
    "job {string} of steps {string} is submitted, which the advisor allows on {string}",
    function(this: ScenarioWorld, name: string, steps: string, workers: string) {
        submit(this, name, steps, workers.split(", "));
    },
);

When("job {string} of steps {string} is submitted", function(this: ScenarioWorld, name: string, steps: string) {
    submit(this, name, steps);
});

/** The first start of a job under each of its run numbers. */
const firstStarts = (world: ScenarioWorld, name: string): readonly StartEvidence[] => {
    const byRun = new Map<number, StartEvidence>();
    for (const start of startsOf(world, name)) {
        byRun.set(start.run, byRun.get(start.run) ?? start);
    }
    return [...byRun.values()];
};

const waitForStart = async (world: ScenarioWorld, name: string, number: number): Promise<StartEvidence> => {
    const cell = cellOf(world);
    for (let passedMs = 0; passedMs < longestWaitMs && firstStarts(world, name).length < number; passedMs += tickMs) {
        await cell.clock.advance(tickMs);
    }
    return firstStarts(world, name)[number - 1]
        ?? assert.fail(`start ${number} of the job does not happen within ${longestWaitMs} ms`);
};

When(
    "job {string} has started, and its worker crashes, {int} times",
    async function(this: ScenarioWorld, name: string, times: number) {
        const { crashedAtMs } = part(this);
        for (let number = 1; number <= times; number += 1) {
            const { workerId } = await waitForStart(this, name, number);
            cellOf(this).crashWorkers([workerId]);
            crashedAtMs.push(cellOf(this).clock.monotonicMs());
        }
    },
);

Then(
    "job {string} starts again no more than {int} ms later after the last crash than after the first one",
    async function(this: ScenarioWorld, name: string, limitMs: number) {
        const waits: number[] = [];
        for (const [index, atMs] of part(this).crashedAtMs.entries()) {
            const { startedAtMs } = await waitForStart(this, name, index + 2);
            waits.push(Math.round(startedAtMs - atMs));
        }
        const [first = 0] = waits;
        assert.ok(
            (waits.at(-1) ?? Infinity) - first <= limitMs,
            `the job starts ${waits.join(", ")} ms after the crashes`,
        );
    },
);

Given(
    "{int} workers with a long-running task on each, and a step of {int} tasks under which {int} workers crashed each",
    function(this: ScenarioWorld, count: number, members: number, crashes: number) {
        const jobOf = (number: number, step: Step): ShardJob =>
            newJob(
                {
                    jobId: jobIdOf(firstJobNumber + number),
                    queueKey: testQueue.key,
                    dataCentre: "leon-feria",
                    payload: "plan",
                    steps: [step],
                    schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
                },
                testQueue,
                { acceptedAtMs: 0, order: number },
            );
        const tasksOf = (job: ShardJob): readonly ShardTask[] => job.occurrences.get(0)?.steps[0]?.tasks ?? [];
        const clock = createFakeClock();
        const workers = new Map<string, ShardWorker>();
        for (const [index, task] of tasksOf(jobOf(1, { ...plainStep, count, longRunning: true })).entries()) {
            const worker = newWorker(workerEntry(`i-${index}`, index), 0);
            worker.runsKnown = true;
            worker.clock = { localMs: 0, clockMs: 0 };
            const run = newRun(task, worker.workerId, 1, {
                address: worker.entry.address,
                phase: "running",
                sentAtMs: -atWorkMs,
                absenceProvenAfterMs: -atWorkMs,
                wasListed: true,
                startedAtMs: -atWorkMs,
                figure: 1,
            });
            adoptRun(worker, run);
            workers.set(worker.workerId, worker);
        }
        const job = jobOf(2, { ...plainStep, count: members, gang: members > 1 });
        for (const task of tasksOf(job)) {
            task.crashes = crashes;
            for (const workerId of workers.keys()) {
                task.step.advice.good.set(workerId, { ticket: "t", validUntilMs: 2 * longestWaitMs });
            }
        }
        const placing = createTaskPlacer({
            clock,
            log: noopLog,
            meter: noopMeter,
            settings: defaultShardSettings,
            workers,
            dispatcher: createAdviceDispatcher({
                clock,
                log: noopLog,
                meter: noopMeter,
                lanes: () => [],
                call: () => assert.fail(),
            }),
            onPlanned: () => {},
            onPreempt: () => {},
            wake: () => {},
        });
        placing.updateJob(job);
        part(this).onTrial = {
            clock,
            pass: placing.runPass,
            isPlaced: () => tasksOf(job).every(task => task.runs.length > 0),
        };
    },
);

Then("the step is placed within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const { clock, pass, isPlaced } = part(this).onTrial ?? assert.fail("the scenario has no step on trial");
    let waitedMs = 0;
    for (pass(); !isPlaced() && waitedMs < longestWaitMs; pass()) {
        await clock.advance(tickMs);
        waitedMs += tickMs;
    }
    assert.ok(
        isPlaced() && waitedMs <= limitMs,
        `placing the step takes ${isPlaced() ? "" : "more than "}${waitedMs} ms`,
    );
});

const setFault = (world: ScenarioWorld, workerId: string, fault: string): void => {
    const known = workerFaults.find(each => each === fault) ?? assert.fail(`no fault is named ${fault}`);
    cellOf(world).workers.setFault(workerId, known);
};

Given(
    "worker {string} takes no work, and {string} is {string}",
    async function(this: ScenarioWorld, draining: string, workerId: string, fault: string) {
        cellOf(this).drain(draining, drainMs);
        setFault(this, workerId, fault);
        await cellOf(this).clock.advance(tickMs);
    },
);

When("job {string} has {int} runs", async function(this: ScenarioWorld, name: string, count: number) {
    const cell = cellOf(this);
    for (let passedMs = 0; passedMs < longestWaitMs && startsOf(this, name).length < count; passedMs += 1) {
        await cell.clock.advance(1);
    }
    assert.equal(startsOf(this, name).length, count);
});

When(
    "worker {string} is {string}, and all workers take work",
    function(this: ScenarioWorld, workerId: string, fault: string) {
        setFault(this, workerId, fault);
        cellOf(this).writeWorkerEntries();
    },
);

Then("{int} tasks of job {string} have started", function(this: ScenarioWorld, count: number, name: string) {
    assert.equal(startsOf(this, name).length, count);
});

Then(
    "job {string} starts within {int} ms of its submission",
    async function(this: ScenarioWorld, name: string, limitMs: number) {
        const cell = cellOf(this);
        const { submittedAtMs } = jobNamed(this, name);
        while (startsOf(this, name).length === 0 && cell.clock.monotonicMs() - submittedAtMs < longestWaitMs) {
            await cell.clock.advance(tickMs);
        }
        const waitedMs = Math.round((startsOf(this, name)[0]?.startedAtMs ?? Infinity) - submittedAtMs);
        assert.ok(waitedMs <= limitMs, `the job starts ${waitedMs} ms after its submission`);
    },
);

Then(
    "job {string} starts within {int} ms from now",
    async function(this: ScenarioWorld, name: string, limitMs: number) {
        const cell = cellOf(this);
        const fromMs = cell.clock.monotonicMs();
        const startOf = (): StartEvidence | undefined =>
            startsOf(this, name).find(({ startedAtMs }) => startedAtMs >= fromMs);
        assert.ok(await cell.until(() => startOf() !== undefined, limitMs), "the job does not start");
    },
);
