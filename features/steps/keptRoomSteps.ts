import { Given, Then, When } from "@cucumber/cucumber";
import { jobIdOf, readSteps, type StartEvidence, testQueue, workerFaults } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { cellOf, startCell } from "./shardSteps.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    /** Jobs by the name that the scene gives them, and when each was submitted. */
    readonly jobs: Map<string, { readonly jobId: string; readonly submittedAtMs: number; }>;
    /** Workers that the advisor allows, by ID of a job; it allows all where a job is not among these. */
    readonly allowed: Map<string, readonly string[]>;
}

const firstJobNumber = 6_001;
const lookMs = 50;
/** Of a worker that takes no work for the time being. */
const leavingMs = 60_000;
/** The longest that is waited for a start, so that a failure tells how late it was. */
const mostLateMs = 30_000;

const part = (world: ScenarioWorld): Part => partOf(world, "keptRoom", () => ({ jobs: new Map(), allowed: new Map() }));

const jobNamed = (world: ScenarioWorld, name: string): { readonly jobId: string; readonly submittedAtMs: number; } =>
    part(world).jobs.get(name) ?? assert.fail(`no job ${name}`);

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
            isGood: (stepName, workerId) =>
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

const setFault = (world: ScenarioWorld, workerId: string, fault: string): void => {
    const known = workerFaults.find(each => each === fault) ?? assert.fail(`no fault ${fault}`);
    cellOf(world).workers.setFault(workerId, known);
};

Given(
    "worker {string} takes no work, and {string} is {string}",
    async function(this: ScenarioWorld, leaving: string, workerId: string, fault: string) {
        cellOf(this).drain(leaving, leavingMs);
        setFault(this, workerId, fault);
        await cellOf(this).clock.advance(lookMs);
    },
);

When("job {string} has {int} runs", async function(this: ScenarioWorld, name: string, count: number) {
    const cell = cellOf(this);
    for (let passedMs = 0; passedMs < mostLateMs && startsOf(this, name).length < count; passedMs += 1) {
        await cell.clock.advance(1);
    }
    assert.equal(startsOf(this, name).length, count);
});

When(
    "worker {string} is {string}, and all workers take work",
    function(this: ScenarioWorld, workerId: string, fault: string) {
        setFault(this, workerId, fault);
        cellOf(this).listWorkers();
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
        while (startsOf(this, name).length === 0 && cell.clock.monotonicMs() - submittedAtMs < mostLateMs) {
            await cell.clock.advance(lookMs);
        }
        const waitedMs = Math.round((startsOf(this, name)[0]?.startedAtMs ?? Infinity) - submittedAtMs);
        assert.ok(waitedMs <= limitMs, `it starts ${waitedMs} ms after its submission`);
    },
);

Then(
    "job {string} starts within {int} ms from now",
    async function(this: ScenarioWorld, name: string, limitMs: number) {
        const cell = cellOf(this);
        const fromMs = cell.clock.monotonicMs();
        const startOf = (): StartEvidence | undefined =>
            startsOf(this, name).find(({ startedAtMs }) => startedAtMs >= fromMs);
        assert.ok(await cell.until(() => startOf() !== undefined, limitMs), "it does not");
    },
);
