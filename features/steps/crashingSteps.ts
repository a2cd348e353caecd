/** Steps about tasks that crash their workers, and about workers that crash on their own. */

import { Then, When } from "@cucumber/cucumber";
import {
    jobIdOf,
    plainStep,
    readSteps,
    type ShardCell,
    shardFaults,
    testQueue,
    workerEntry,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    allowsTrial,
    countCrash,
    countPossibleCrash,
    type CrashedRun,
    hasEnded,
    type JobSubmission,
    newJob,
    newRun,
    newWorker,
    recordStartUnanswered,
    type ShardTask,
} from "puffinarch";
import { cellOf } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    /** IDs of the jobs with tasks that crash their workers. */
    readonly jobs: string[];
    /** Jobs that were shown as failed and later in another state. */
    readonly revivedJobs: Set<string>;
    /** Whether the job whose task crashed workers was given up. */
    isGivenUp: boolean;
    /** Whether the task may run on the worker that left its order unanswered. */
    isAllowed: boolean;
    /** The worker that left a start unanswered. */
    lateWorker: string;
}

/** First ID of the jobs whose tasks crash their workers, apart from the IDs of all other jobs. */
const firstCrashingId = 5_001;
const stepMs = 50;
const longestWaitMs = 20_000;

const part = (world: ScenarioWorld): Part =>
    partOf(
        world,
        "crashing",
        () => ({ jobs: [], revivedJobs: new Set(), isGivenUp: false, isAllowed: false, lateWorker: "" }),
    );

const singleTaskSubmission: JobSubmission = {
    jobId: jobIdOf(1),
    queueKey: testQueue.key,
    dataCentre: "leon-feria",
    payload: "plan",
    steps: [plainStep],
    schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
};

const createTask = (): ShardTask => {
    const [task] =
        newJob(singleTaskSubmission, testQueue, { acceptedAtMs: 0, order: 1 }).occurrences.get(0)?.steps[0]?.tasks
            ?? [];
    assert.ok(task !== undefined);
    return task;
};

const submitCrashing = (world: ScenarioWorld, steps: string): void => {
    const { jobs } = part(world);
    const jobId = jobIdOf(firstCrashingId + jobs.length);
    jobs.push(jobId);
    cellOf(world).submit(jobId, readSteps(steps));
};

const submitAll = (world: ScenarioWorld, count: number, steps: string): void => {
    for (let index = 0; index < count; index += 1) {
        submitCrashing(world, steps);
    }
};

When(
    /^(\d+) crashing jobs? of steps "([^"]*)" (?:is|are) submitted$/,
    function(this: ScenarioWorld, count: string, steps: string) {
        submitAll(this, Number(count), steps);
    },
);

When(
    "{int} crashing jobs of steps {string} are submitted, {int} ms apart",
    async function(this: ScenarioWorld, count: number, steps: string, apartMs: number) {
        for (let index = 0; index < count; index += 1) {
            submitCrashing(this, steps);
            await cellOf(this).clock.advance(apartMs);
        }
    },
);

/** Counts the workers that a task has crashed. */
const countCrashedWorkers = (cell: ShardCell): number =>
    new Set(
        cell.workers.evidence.filter(({ crashesWorkers, how }) => crashesWorkers && how === "crashed")
            .map(({ workerId }) => workerId),
    ).size;

When(
    "the fault {string} comes at each crash for {int} ms, in the first {int} ms",
    async function(this: ScenarioWorld, names: string, faultMs: number, forMs: number) {
        const cell = cellOf(this);
        const { jobs, revivedJobs } = part(this);
        const failed = new Set<string>();
        let crashedBefore = 0;
        let endFaults: (() => void)[] = [];
        let faultEndsAtMs = 0;
        const endsAtMs = cell.clock.monotonicMs() + forMs;
        while (cell.clock.monotonicMs() < endsAtMs) {
            const crashed = countCrashedWorkers(cell);
            if (endFaults.length > 0 && cell.clock.monotonicMs() >= faultEndsAtMs) {
                endFaults.forEach(endFault => endFault());
                endFaults = [];
            }
            if (crashed > crashedBefore && endFaults.length === 0) {
                endFaults = names.split(", ").map(name => shardFaults[name]?.(cell) ?? assert.fail(`no fault ${name}`));
                faultEndsAtMs = cell.clock.monotonicMs() + faultMs;
            }
            crashedBefore = crashed;
            await cell.clock.advance(stepMs);
            for (const [jobId, state] of await cell.statesOf(jobs)) {
                if (state === "failed") {
                    failed.add(jobId);
                }
                else if (failed.has(jobId) && state !== undefined && state !== "unknown") {
                    revivedJobs.add(jobId);
                }
            }
        }
        endFaults.forEach(endFault => endFault());
    },
);

When(
    "{int} workers crash on their own {int} times, {int} ms apart",
    async function(this: ScenarioWorld, count: number, rounds: number, apartMs: number) {
        const cell = cellOf(this);
        for (let round = 0; round < rounds; round += 1) {
            const alive = cell.workers.workerIds().filter(workerId => cell.workers.entryOf(workerId) !== undefined);
            // The workers with the most runs crash first, so that the same task is hit repeatedly.
            const busy = (workerId: string): number =>
                cell.workers.evidence.filter(run => run.workerId === workerId && run.endedAtMs === undefined).length;
            cell.crashWorkers(alive.sort((left, right) => busy(right) - busy(left)).slice(0, count));
            await cell.clock.advance(apartMs);
        }
    },
);

/** Advances time in steps of 1 ms until the condition holds, so that the next action precedes any consequence of it. */
const advanceUntil = async (cell: ShardCell, holds: () => boolean, what: string): Promise<void> => {
    for (let passedMs = 0; passedMs < longestWaitMs; passedMs += 1) {
        if (holds()) {
            return;
        }
        await cell.clock.advance(1);
    }
    assert.fail(`${what} within ${longestWaitMs} ms`);
};

When("the first start is lost because its worker crashes as the owner is killed", async function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const placed = (): string | undefined => {
        const line = cell.log.find(({ event }) => event === "placed");
        return /@(\S+)/.exec(String(line?.fields["runs"]))?.[1];
    };
    await advanceUntil(cell, () => placed() !== undefined, "nothing was placed");
    const workerId = placed() ?? "";
    cell.workers.setFault(workerId, "cut");
    await cell.clock.advance(2 * stepMs);
    const restart = shardFaults["owner killed"]?.(cell);
    cell.crashWorkers([workerId]);
    cell.workers.setFault(workerId, "none");
    await cell.clock.advance(1_000);
    restart?.();
    assert.deepEqual(cell.workers.evidence, []);
});

When(
    "the worker of the newest start crashes soon after it, {int} times",
    async function(this: ScenarioWorld, times: number) {
        const cell = cellOf(this);
        for (let crashes = 0; crashes < times; crashes += 1) {
            const newest = () => cell.workers.evidence.at(-1);
            await advanceUntil(
                cell,
                () => newest() !== undefined && newest()?.endedAtMs === undefined,
                "nothing was started",
            );
            await cell.clock.advance(stepMs);
            cell.crashWorkers([newest()?.workerId ?? ""]);
        }
    },
);

When(
    "the worker of the newest start is cut off {int} ms after it, until it has crashed {int} ms after it, {int} times",
    async function(this: ScenarioWorld, cutAfterMs: number, crashAfterMs: number, times: number) {
        const cell = cellOf(this);
        for (let round = 1; round <= times; round += 1) {
            await advanceUntil(cell, () => cell.workers.evidence.length >= round, "nothing was started");
            const workerId = cell.workers.evidence.at(-1)?.workerId ?? "";
            await cell.clock.advance(cutAfterMs);
            cell.workers.setFault(workerId, "cut");
            await cell.clock.advance(crashAfterMs - cutAfterMs);
            cell.crashWorkers([workerId]);
            cell.workers.setFault(workerId, "none");
        }
        assert.ok(cell.workers.evidence.every(({ how }) => how === "done"), "a run had not ended before the crash");
    },
);

/** Leaves the next start unanswered and returns the ID of its worker, which carries the order out 3 s after it was sent. */
const delayNextStart = async (cell: ShardCell): Promise<string> => {
    const logLengthBefore = cell.log.length;
    const unansweredStart = () => cell.log.slice(logLengthBefore).find(({ event }) => event === "startUnanswered");
    for (const workerId of cell.workers.workerIds()) {
        cell.workers.setFault(workerId, "late");
    }
    await advanceUntil(cell, () => unansweredStart() !== undefined, "no start was given up");
    for (const workerId of cell.workers.workerIds()) {
        cell.workers.setFault(workerId, "none");
    }
    return String(unansweredStart()?.fields["workerId"]);
};

When("its start gets no answer", async function(this: ScenarioWorld) {
    part(this).lateWorker = await delayNextStart(cellOf(this));
});

When(
    "orders to that worker are late for {int} ms, and then it crashes and is cut off for {int} ms",
    async function(this: ScenarioWorld, crashAfterMs: number, cutMs: number) {
        const { workers, clock } = cellOf(this);
        const { lateWorker } = part(this);
        workers.setFault(lateWorker, "late");
        await clock.advance(crashAfterMs);
        workers.setFault(lateWorker, "cut");
        cellOf(this).crashWorkers([lateWorker]);
        await clock.advance(cutMs);
        workers.setFault(lateWorker, "none");
    },
);

/** Log events with which the owner releases a run whose start got no answer, by the cause that the scenarios name. */
const releaseEvents: Readonly<Record<string, { readonly event: string; readonly reason: string | undefined; }>> = {
    "a look": { event: "runGone", reason: undefined },
    "the end of its lease": { event: "runLost", reason: "leaseOver" },
};

/** The owner gives a start up 150 ms after it was sent; the worker is cut off 100 ms before it carries the start out. */
const cutAfterGivenUpMs = 2_750;
/** Time from the cut to the crash of the incarnation that has carried the start out meanwhile. */
const crashAfterCutMs = 150;
/** Time from that crash to the end of the cut, where a look releases the run. */
const reachableAfterCrashMs = 150;

When(
    "a start is carried out late by an incarnation that crashes between looks, {int} times, and its run is released after {}",
    async function(this: ScenarioWorld, times: number, by: string) {
        const cell = cellOf(this);
        const release = releaseEvents[by] ?? assert.fail(`no run is released after ${by}`);
        const { workers, clock } = cell;
        for (let round = 0; round < times; round += 1) {
            const late = await delayNextStart(cell);
            const logLengthBefore = cell.log.length;
            const lineOf = (wanted: string) => cell.log.slice(logLengthBefore).find(({ event }) => event === wanted);
            await clock.advance(cutAfterGivenUpMs);
            const startsBefore = workers.evidence.length;
            workers.setFault(late, "cut");
            cell.crashWorkers([late]);
            await clock.advance(crashAfterCutMs);
            assert.equal(workers.evidence.length, startsBefore + 1, "the start was not carried out");
            cell.crashWorkers([late]);
            await clock.advance(reachableAfterCrashMs);
            const isReleased = (): boolean => {
                const line = lineOf(release.event);
                return line !== undefined && line.fields["reason"] === release.reason;
            };
            if (release.reason === undefined) {
                workers.setFault(late, "none");
            }
            await advanceUntil(cell, isReleased, "the run was not released");
            workers.setFault(late, "none");
        }
    },
);

When(
    "the fault {string} comes and goes {int} times, for {int} ms each",
    async function(this: ScenarioWorld, name: string, times: number, faultMs: number) {
        const cell = cellOf(this);
        for (let index = 0; index < times; index += 1) {
            const endFault = shardFaults[name]?.(cell) ?? assert.fail(`no fault ${name}`);
            await cell.clock.advance(faultMs);
            endFault();
            await cell.clock.advance(1_500);
        }
    },
);

When(
    "orders are lost until a start is given up, for at most {int} ms",
    async function(this: ScenarioWorld, limitMs: number) {
        const cell = cellOf(this);
        for (const workerId of cell.workers.workerIds()) {
            cell.workers.setFault(workerId, "deaf");
        }
        const isGivenUp = (): boolean => cell.log.some(({ event }) => event === "startUnanswered");
        assert.ok(await cell.until(isGivenUp, limitMs), "no start was given up");
        for (const workerId of cell.workers.workerIds()) {
            cell.workers.setFault(workerId, "none");
        }
    },
);

/**
 * Parses a crash under a run: `confirmed` if the worker had reported the run and was seen to crash, `unconfirmed` if not; `alone` if
 * nothing else on the worker can be the cause.
 */
const parseCrash = (task: ShardTask, run: number, words: string): CrashedRun => ({
    task,
    run,
    bornAtMs: undefined,
    goneAtMs: 1_000 * run,
    confirmed: !words.includes("unconfirmed"),
    alone: words.includes("alone"),
});

When("workers crash while they run a task, {string}", function(this: ScenarioWorld, text: string) {
    const task = createTask();
    for (const [index, words] of text.split(", ").entries()) {
        // No look noticed such a crash, so that it may not have happened at all.
        if (words.includes("possible")) {
            countPossibleCrash(newRun(task, "i-1", index + 1), 0);
            continue;
        }
        countCrash(parseCrash(task, index + 1, words), { others: 0, nowMs: 0 });
    }
    part(this).isGivenUp = hasEnded(task.step.occurrence.job);
});

Then("its job {word} given up", function(this: ScenarioWorld, what: string) {
    assert.equal(part(this).isGivenUp ? "is" : "isn't", what);
});

When(
    "{int} workers have crashed while they ran a task, and a worker left an order unanswered {int} ms ago",
    function(this: ScenarioWorld, crashes: number, agoMs: number) {
        const task = createTask();
        task.crashes = crashes;
        const worker = newWorker(workerEntry("i-1", 1), 0);
        const nowMs = 10_000;
        recordStartUnanswered(worker, nowMs - agoMs, nowMs - agoMs);
        part(this).isAllowed = allowsTrial(worker, task, nowMs);
    },
);

Then("the task {word} run there", function(this: ScenarioWorld, what: string) {
    assert.equal(part(this).isAllowed ? "may" : "can't", what);
});

Then("a task is started within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    const before = cell.workers.evidence.length;
    assert.ok(await cell.until(() => cell.workers.evidence.length > before, limitMs), "no task was started");
});

Then("{int} tasks are done within {int} ms", async function(this: ScenarioWorld, count: number, limitMs: number) {
    const { workers, until } = cellOf(this);
    const done = () => workers.evidence.filter(({ how }) => how === "done").length;
    assert.ok(await until(() => done() >= count, limitMs), `${done()} tasks are done`);
});

Then(
    /^the crashing jobs? (?:is|are) "([^"]*)" within (\d+) ms$/,
    async function(this: ScenarioWorld, state: string, limitMs: string) {
        const cell = cellOf(this);
        const unfinished = async (): Promise<readonly string[]> => {
            const states = await cell.statesOf(part(this).jobs);
            return [...states].filter(([, each]) => each !== state).map(([jobId, each]) => `${jobId} is ${each}`);
        };
        const reached = await cell.until(async () => (await unfinished()).length === 0, Number(limitMs));
        assert.ok(reached, `${(await unfinished()).join("; ")}; ${countCrashedWorkers(cell)} workers crashed`);
    },
);

Then(/^(?:it has|they have) taken (\d+) workers down at most$/, function(this: ScenarioWorld, most: string) {
    assert.ok(
        countCrashedWorkers(cellOf(this)) <= Number(most),
        `${countCrashedWorkers(cellOf(this))} workers crashed`,
    );
});

Then("no job was shown as failed and then as anything else", function(this: ScenarioWorld) {
    assert.deepEqual([...part(this).revivedJobs], []);
});

Then("no job was given up", function(this: ScenarioWorld) {
    const failed = cellOf(this).log.filter(({ event, fields }) => event === "jobState" && fields["to"] === "failed");
    assert.deepEqual(failed.map(({ fields }) => fields), []);
});

Then("no start was refused for its ticket", function(this: ScenarioWorld) {
    const refused = cellOf(this).log.filter(({ event, fields }) =>
        event === "startRefused" && fields["outcome"] === "badTicket"
    );
    assert.deepEqual(refused.map(({ fields }) => fields), []);
});
