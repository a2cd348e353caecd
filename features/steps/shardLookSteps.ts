/** Steps that test the looks of an owner at its workers without a cell, each with a fake clock of its own. */

import { Then, When } from "@cucumber/cucumber";
import { createFakeClock, type FakeClock, noopLog, noopMeter, workerEntry } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    adoptRun,
    createDelayedStarts,
    createFirstLooks,
    createLookSlots,
    createShardWorkers,
    defaultShardSettings,
    type FencedWorkerPort,
    newWorker,
    openWorkerLink,
    runPhases,
    type ShardWorker,
    sleep,
    type WorkerLink,
    type WorkerLinkOptions,
} from "puffinarch";
import { exampleJob, openWorker, runOf } from "./examples/shardFixtures.js";
import { part } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

When("the owner of {int} workers is replaced at once", async function(this: ScenarioWorld, count: number) {
    const clock = createFakeClock();
    const workers = createShardWorkers({
        clock,
        log: noopLog,
        meter: noopMeter,
        settings: defaultShardSettings,
        port: {
            start: async () => "done",
            stop: async () => "done",
            pace: async () => "done",
            look: async () => {
                part(this).looksSent += 1;
                await sleep(clock, 20);
                return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] };
            },
        },
        fencingToken: 7,
        jobOf: () => undefined,
        changed: async () => {},
        onNextIncarnation: () => {},
        onStarted: () => {},
        wake: () => {},
        onRunsKnown: () => {},
        onFenced: () => {},
    });
    workers.update(Array.from({ length: count }, (_, index) => workerEntry(`i-${index}`, index)));
    await clock.advance(1);
    workers.close();
    await clock.advance(5_000);
});

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
