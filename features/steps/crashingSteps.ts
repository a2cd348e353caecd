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
    readonly jobs: string[];
    /** Jobs that were shown as failed and then as something else. */
    readonly revived: Set<string>;
    isGivenUp: boolean;
    isAllowed: boolean;
    /** The worker that left a start unanswered. */
    lateWorker: string;
}

/** Ids of jobs whose tasks crash their workers, so that they are told from those of all others. */
const firstCrashingId = 5_001;
const stepMs = 50;
const longestWaitMs = 20_000;

const part = (world: ScenarioWorld): Part =>
    partOf(
        world,
        "crashing",
        () => ({ jobs: [], revived: new Set(), isGivenUp: false, isAllowed: false, lateWorker: "" }),
    );

const submissionOfOne: JobSubmission = {
    jobId: jobIdOf(1),
    queueKey: testQueue.key,
    dataCentre: "leon-feria",
    payload: "plan",
    steps: [plainStep],
    schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
};

const oneTask = (): ShardTask => {
    const [task] = newJob(submissionOfOne, testQueue, { acceptedAtMs: 0, order: 1 }).occurrences.get(0)?.steps[0]?.tasks
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

/** Workers that a task crashed. */
const workersTakenDown = (cell: ShardCell): number =>
    new Set(
        cell.workers.evidence.filter(({ crashesWorkers, how }) => crashesWorkers && how === "crashed")
            .map(({ workerId }) => workerId),
    ).size;

When(
    "the fault {string} comes at each crash for {int} ms, in the first {int} ms",
    async function(this: ScenarioWorld, names: string, faultMs: number, forMs: number) {
        const cell = cellOf(this);
        const { jobs, revived } = part(this);
        const failed = new Set<string>();
        let seen = 0;
        let mends: (() => void)[] = [];
        let mendsAtMs = 0;
        const endsAtMs = cell.clock.monotonicMs() + forMs;
        while (cell.clock.monotonicMs() < endsAtMs) {
            const down = workersTakenDown(cell);
            if (mends.length > 0 && cell.clock.monotonicMs() >= mendsAtMs) {
                mends.forEach(mend => mend());
                mends = [];
            }
            if (down > seen && mends.length === 0) {
                mends = names.split(", ").map(name => shardFaults[name]?.(cell) ?? assert.fail(`no fault ${name}`));
                mendsAtMs = cell.clock.monotonicMs() + faultMs;
            }
            seen = down;
            await cell.clock.advance(stepMs);
            for (const [jobId, state] of await cell.statesOf(jobs)) {
                if (state === "failed") {
                    failed.add(jobId);
                }
                else if (failed.has(jobId) && state !== undefined && state !== "unknown") {
                    revived.add(jobId);
                }
            }
        }
        mends.forEach(mend => mend());
    },
);

When(
    "{int} workers crash of themselves {int} times, {int} ms apart",
    async function(this: ScenarioWorld, count: number, rounds: number, apartMs: number) {
        const cell = cellOf(this);
        for (let round = 0; round < rounds; round += 1) {
            const alive = cell.workers.workerIds().filter(workerId => cell.workers.entryOf(workerId) !== undefined);
            // Those that took up most lately are hit again, so that the same task is hit twice.
            const busy = (workerId: string): number =>
                cell.workers.evidence.filter(run => run.workerId === workerId && run.endedAtMs === undefined).length;
            cell.crashWorkers(alive.sort((left, right) => busy(right) - busy(left)).slice(0, count));
            await cell.clock.advance(apartMs);
        }
    },
);

/** Moves time in steps of 1 ms, so that what follows comes before anything that the condition leads to. */
const advanceUntil = async (cell: ShardCell, holds: () => boolean, what: string): Promise<void> => {
    for (let passedMs = 0; passedMs < longestWaitMs; passedMs += 1) {
        if (holds()) {
            return;
        }
        await cell.clock.advance(1);
    }
    assert.fail(`${what} within ${longestWaitMs} ms`);
};

When("the first start is lost with its worker as the owner is killed", async function(this: ScenarioWorld) {
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

/** Lets the next start go unanswered; gives its worker. Its order is carried out three seconds after it was sent. */
const loseAnswer = async (cell: ShardCell): Promise<string> => {
    const linesBefore = cell.log.length;
    const given = () => cell.log.slice(linesBefore).find(({ event }) => event === "startUnanswered");
    for (const workerId of cell.workers.workerIds()) {
        cell.workers.setFault(workerId, "late");
    }
    await advanceUntil(cell, () => given() !== undefined, "no start was given up");
    for (const workerId of cell.workers.workerIds()) {
        cell.workers.setFault(workerId, "none");
    }
    return String(given()?.fields["workerId"]);
};

When("its start gets no answer", async function(this: ScenarioWorld) {
    part(this).lateWorker = await loseAnswer(cellOf(this));
});

When(
    "orders to that worker are late until it crashes after {int} ms behind a cut of {int} ms",
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

/** Lines of the log after which a run that got no answer is let go of, by the words of the scenes. */
const letGoLines: Readonly<Record<string, { readonly event: string; readonly reason: string | undefined; }>> = {
    "a look": { event: "runGone", reason: undefined },
    "the end of its lease": { event: "runLost", reason: "leaseOver" },
};

/** Times from when a start was given up, 150 ms after it was sent, around the moment at which it is carried out late. */
const cutBeforeCarriedOutMs = 2_750;
const crashAfterCarriedOutMs = 150;
const reachedAgainAfterMs = 150;

When(
    "a start is carried out late by an incarnation that crashes unseen, {int} times, and let go of by {}",
    async function(this: ScenarioWorld, times: number, by: string) {
        const cell = cellOf(this);
        const letGo = letGoLines[by] ?? assert.fail(`nothing is let go of by ${by}`);
        const { workers, clock } = cell;
        for (let round = 0; round < times; round += 1) {
            const late = await loseAnswer(cell);
            const linesBefore = cell.log.length;
            const lineOf = (wanted: string) => cell.log.slice(linesBefore).find(({ event }) => event === wanted);
            await clock.advance(cutBeforeCarriedOutMs);
            const startsBefore = workers.evidence.length;
            workers.setFault(late, "cut");
            cell.crashWorkers([late]);
            await clock.advance(crashAfterCarriedOutMs);
            assert.equal(workers.evidence.length, startsBefore + 1, "it was not carried out");
            cell.crashWorkers([late]);
            await clock.advance(reachedAgainAfterMs);
            const isLetGo = (): boolean => {
                const line = lineOf(letGo.event);
                return line !== undefined && line.fields["reason"] === letGo.reason;
            };
            if (letGo.reason === undefined) {
                workers.setFault(late, "none");
            }
            await advanceUntil(cell, isLetGo, "it was not let go of");
            workers.setFault(late, "none");
        }
    },
);

When(
    "the fault {string} comes and goes {int} times, for {int} ms each",
    async function(this: ScenarioWorld, name: string, times: number, faultMs: number) {
        const cell = cellOf(this);
        for (let index = 0; index < times; index += 1) {
            const mend = shardFaults[name]?.(cell) ?? assert.fail(`no fault ${name}`);
            await cell.clock.advance(faultMs);
            mend();
            await cell.clock.advance(1_500);
        }
    },
);

When(
    "orders get lost until a start is given up, {int} ms at the most",
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

/** Crashes of a worker by words: confirmed or not, with nothing else to blame; possible ones of which nobody knows. */
const crashOf = (task: ShardTask, run: number, words: string): CrashedRun => ({
    task,
    run,
    bornAtMs: undefined,
    goneAtMs: 1_000 * run,
    confirmed: !words.includes("unconfirmed"),
    alone: words.includes("alone"),
});

When("workers crash under a task, {string}", function(this: ScenarioWorld, text: string) {
    const task = oneTask();
    for (const [index, words] of text.split(", ").entries()) {
        if (words.includes("possible")) {
            countPossibleCrash(newRun(task, "i-1", index + 1), 0);
            continue;
        }
        countCrash(crashOf(task, index + 1, words), { others: 0, nowMs: 0 });
    }
    part(this).isGivenUp = hasEnded(task.step.occurrence.job);
});

Then("its job {word} given up", function(this: ScenarioWorld, what: string) {
    assert.equal(part(this).isGivenUp ? "is" : "isn't", what);
});

When(
    "{int} workers have crashed under a task, and a worker lost its order {int} ms ago",
    function(this: ScenarioWorld, crashes: number, agoMs: number) {
        const task = oneTask();
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
    assert.ok(await until(() => done() >= count, limitMs), `${done()} are`);
});

Then(
    /^the crashing jobs? (?:is|are) "([^"]*)" within (\d+) ms$/,
    async function(this: ScenarioWorld, state: string, limitMs: string) {
        const cell = cellOf(this);
        const left = async (): Promise<readonly string[]> => {
            const states = await cell.statesOf(part(this).jobs);
            return [...states].filter(([, each]) => each !== state).map(([jobId, each]) => `${jobId} is ${each}`);
        };
        const reached = await cell.until(async () => (await left()).length === 0, Number(limitMs));
        assert.ok(reached, `${(await left()).join("; ")}; ${workersTakenDown(cell)} workers went down`);
    },
);

Then(/^(?:it has|they have) taken (\d+) workers down at most$/, function(this: ScenarioWorld, most: string) {
    assert.ok(workersTakenDown(cellOf(this)) <= Number(most), `${workersTakenDown(cellOf(this))} went down`);
});

Then("no job was shown as failed and then as anything else", function(this: ScenarioWorld) {
    assert.deepEqual([...part(this).revived], []);
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
