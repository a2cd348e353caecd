/** Steps that test the looks of an owner at its workers without a cell, each with a fake clock of its own. */

import { Then, When } from "@cucumber/cucumber";
import { createFakeClock, type FakeClock, noopLog, noopMeter, workerEntry } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    createDelayedStarts,
    createFirstLooks,
    createLookSlots,
    createShardWorkers,
    defaultShardSettings,
    type FencedWorkerPort,
    newWorker,
    openWorkerLink,
    type ShardWorker,
    sleep,
    type WorkerLink,
} from "puffinarch";
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

/** Opens a link to a worker that answers looks by `look` and leaves all orders unanswered. */
const openLinkTo = (worker: ShardWorker, clock: FakeClock, look: FencedWorkerPort["look"]): WorkerLink =>
    openWorkerLink(worker, {
        clock,
        log: noopLog,
        meter: noopMeter,
        workers: {
            start: async () => "unknown",
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
