/** Steps that test the looks of an owner at its workers without a cell, each with a fake clock of its own. */

import { Then, When } from "@cucumber/cucumber";
import { createFakeClock, type FakeClock, noopLog, noopMeter, workerEntry } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    adoptRun,
    cancelJob,
    createDelayedStarts,
    createFirstLooks,
    createLookSlots,
    dropRun,
    type FencedWorkerPort,
    newWorker,
    openWorkerLink,
    runPhases,
    type ShardRun,
    type ShardWorker,
    type ShardWorkers,
    sleep,
    type WorkerEntry,
    type WorkerLink,
    type WorkerLinkOptions,
} from "puffinarch";
import { exampleJob, openShardWorkers, openWorker, runOf } from "./examples/shardFixtures.js";
import { part } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

/** Starts the workers of an owner; each look is counted, and answered after 20 ms. */
const openWorkers = (world: ScenarioWorld, clock: FakeClock): ShardWorkers =>
    openShardWorkers({
        clock,
        port: {
            start: async () => "done",
            stop: async () => "done",
            pace: async () => "done",
            look: async () => {
                part(world).looksSent += 1;
                await sleep(clock, 20);
                return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] };
            },
        },
    });

const listOf = (count: number): readonly WorkerEntry[] =>
    Array.from({ length: count }, (_, index) => workerEntry(`i-${index}`, index));

When("the owner of {int} workers is replaced at once", async function(this: ScenarioWorld, count: number) {
    const clock = createFakeClock();
    const workers = openWorkers(this, clock);
    workers.update(listOf(count));
    await clock.advance(1);
    workers.close();
    await clock.advance(5_000);
});

When(
    "an owner is replaced, and the list of {int} workers that it was reading arrives",
    async function(this: ScenarioWorld, count: number) {
        const clock = createFakeClock();
        const workers = openWorkers(this, clock);
        workers.close();
        workers.update(listOf(count));
        await clock.advance(5_000);
    },
);

Then("it has looked at {int} workers", function(this: ScenarioWorld, count: number) {
    assert.equal(part(this).looksSent, count);
});

/** Opens a link to a worker that answers looks by `look` and leaves all orders unanswered, except for what `more` changes. */
const openLinkTo = (
    worker: ShardWorker,
    clock: FakeClock,
    look: FencedWorkerPort["look"],
    { start = async () => "unknown", ...more }: Partial<WorkerLinkOptions & Pick<FencedWorkerPort, "start">> = {},
): WorkerLink =>
    openWorkerLink(worker, {
        clock,
        log: noopLog,
        meter: noopMeter,
        workers: {
            start,
            stop: async () => "unknown",
            pace: async () => "unknown",
            look,
        },
        fencingToken: 7,
        leaseMs: 5_000,
        stopMs: 900,
        leaseLimitMs: 10_000,
        mayGetFormerLooks: false,
        lookWaitMs: 1_000,
        firstLooks: createFirstLooks(clock),
        lookSlots: createLookSlots(clock),
        lookPauseMs: 250,
        orderPauseMs: 100,
        unansweredStartMs: 6_500,
        ticketsNameIncarnation: false,
        onLook: async () => {},
        onSilent: () => {},
        onIncarnationOver: () => {},
        onRestarted: () => {},
        delayedStarts: createDelayedStarts(clock),
        onFenced: () => {},
        onNotStarted: () => {},
        onStarted: () => {},
        onUnanswered: async () => {},
        ...more,
    });

When(
    "an owner that is {int} ms late looks at a worker that never answers again",
    async function(this: ScenarioWorld, lateMs: number) {
        const clock = createFakeClock();
        const worker = newWorker(workerEntry("i-1", 1), 0);
        let looks = 0;
        const link = openLinkTo(worker, clock, async (_target, { waitMs, answerTimeoutMs }) => {
            looks += 1;
            if (looks === 1) {
                return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] };
            }
            await sleep(clock, waitMs + answerTimeoutMs + lateMs);
            return { outcome: "unknown" };
        });
        await clock.advance(60_000);
        link.close();
        part(this).leasesExpiredAfterMs = worker.leaseHorizonMs - worker.answeredAtMs;
    },
);

When(
    "an owner that is {int} ms late sends a start that is answered after {int} ms",
    async function(this: ScenarioWorld, lateMs: number, answerMs: number) {
        const clock = createFakeClock();
        const worker = openWorker();
        const run = { ...runOf(exampleJob()), phase: runPhases.starting };
        adoptRun(worker, run);
        const lines: string[] = [];
        const link = openLinkTo(
            worker,
            clock,
            async () => {
                await sleep(clock, 10);
                return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] };
            },
            {
                lagMs: () => lateMs,
                log: { write: (_level, event) => lines.push(event) },
                start: async (_target, _order, timeoutMs) => {
                    await sleep(clock, Math.min(answerMs, timeoutMs));
                    return answerMs <= timeoutMs ? "done" : "unknown";
                },
            },
        );
        void link.start(run, "t");
        await clock.advance(1_000);
        link.close();
        part(this).startOutcome = lines.includes("startUnanswered") ? "unanswered" : run.phase;
    },
);

/** What became of a start that was not sent at first: its attempts, and what they caused. */
interface UnsentStart {
    readonly run: ShardRun;
    readonly worker: ShardWorker;
    readonly attemptsAtMs: number[];
    readonly events: string[];
}

/** Longer than any start may be sent again. */
const afterUnsentMs = 5_000;

const unsentStart = (world: ScenarioWorld): UnsentStart => partOf(world, "unsentStart", () => assert.fail("no start"));

When(
    /^a start is not sent (\d+) times and then answered "(done|unknown)"(?:, and its (ticket expires|worker drains|job ends) after (\d+) ms)?$/,
    async function(this: ScenarioWorld, times: string, answer: "done" | "unknown", change?: string, afterMs?: string) {
        const clock = createFakeClock();
        const worker = openWorker();
        worker.bornAtMs = 0;
        const job = exampleJob();
        const run = { ...runOf(job), phase: runPhases.starting };
        run.task.runs.push(run);
        adoptRun(worker, run);
        const { step } = run.task;
        step.advice.good.set(worker.workerId, { ticket: "t", validUntilMs: Infinity });
        const attemptsAtMs: number[] = [];
        const events: string[] = [];
        const delayedStarts = createDelayedStarts(clock);
        const link = openLinkTo(
            worker,
            clock,
            async (_target, { waitMs }) => {
                await sleep(clock, Math.max(1, waitMs));
                return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] };
            },
            {
                delayedStarts,
                onUnanswered: async () => {
                    events.push("committed");
                },
                onNotStarted: (_worker, lost, outcome) => {
                    events.push(`notStarted ${outcome}`);
                    dropRun(worker, lost);
                },
                start: async (_target, _order, timeoutMs) => {
                    attemptsAtMs.push(clock.monotonicMs());
                    const isSent = attemptsAtMs.length > Number(times);
                    await sleep(clock, isSent ? 10 : timeoutMs);
                    return isSent ? answer : "notSent";
                },
            },
        );
        await clock.advance(5);
        const changes: Readonly<Record<string, () => void>> = {
            "ticket expires": () => step.advice.good.clear(),
            "worker drains": () => Object.assign(worker, { entry: { ...worker.entry, draining: true } }),
            "job ends": () => cancelJob(job, clock.monotonicMs()),
        };
        if (change !== undefined) {
            clock.setTimer(Number(afterMs), () => changes[change]?.());
        }
        void link.start(run, "t");
        await clock.advance(afterUnsentMs);
        link.close();
        if (delayedStarts.of(worker.workerId).length > 0) {
            events.push("recorded as delayed");
        }
        if (worker.unansweredStarts > 0) {
            events.push("breaker opened");
        }
        partOf(this, "unsentStart", (): UnsentStart => ({ run, worker, attemptsAtMs, events }));
    },
);

Then(
    "the start was sent {int} times, and caused {string}",
    function(this: ScenarioWorld, times: number, events: string) {
        const start = unsentStart(this);
        assert.equal(start.attemptsAtMs.length, times);
        assert.equal(start.events.join(", "), events);
    },
);

Then(/^the run is (running|gone|waited for)$/, function(this: ScenarioWorld, state: "running" | "gone" | "waited for") {
    const { run, worker } = unsentStart(this);
    const isHeld = [...worker.runs.values()].includes(run);
    const isExpected = {
        running: () => isHeld && run.phase === runPhases.running && run.mayArriveUntilMs === undefined,
        gone: () => !isHeld && run.mayArriveUntilMs === undefined,
        "waited for": () => isHeld && run.mayArriveUntilMs !== undefined,
    };
    assert.ok(isExpected[state](), `the run is ${run.phase}, held: ${isHeld}, until ${run.mayArriveUntilMs}`);
});

Then("the sent start is {string}", function(this: ScenarioWorld, outcome: string) {
    assert.equal(part(this).startOutcome, outcome);
});

When(
    "ends up to {int} are durable and looks are {string}",
    async function(this: ScenarioWorld, acknowledgedEnd: number, text: string) {
        const clock = createFakeClock();
        const worker = newWorker(workerEntry("i-1", 1), 0);
        worker.acknowledgedEnd = acknowledgedEnd;
        const { acknowledged } = part(this);
        const answers = text.split(", ");
        const link = openLinkTo(worker, clock, async (_target, order) => {
            acknowledged.push(order.acknowledgedEnd);
            await sleep(clock, 10);
            return answers[acknowledged.length - 1] === "answered"
                ? { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] }
                : { outcome: "unknown" };
        });
        await clock.advance(1_000);
        link.close();
        acknowledged.splice(answers.length);
    },
);

Then("they acknowledge {string}", function(this: ScenarioWorld, text: string) {
    assert.equal(part(this).acknowledged.join(", "), text);
});

Then(
    "its leases have certainly expired {int} ms after its last answer",
    function(this: ScenarioWorld, limitMs: number) {
        const { leasesExpiredAfterMs } = part(this);
        assert.ok(leasesExpiredAfterMs <= limitMs, `they expire only ${leasesExpiredAfterMs} ms after it`);
    },
);
