/** Steps that test the fencing tokens of an owner's orders and looks on one link to a worker, without a cell. */

import { Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    type FakeClock,
    noopLog,
    noopMeter,
    plainStep,
    testQueue,
    workerEntry,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    allowsStart,
    createDelayedStarts,
    createFirstLooks,
    createLookSlots,
    createWorkerWatch,
    type DelayedStarts,
    type FencedWorkerPort,
    holdCapacity,
    newJob,
    newRun,
    newWorker,
    openWorkerLink,
    recordStartUnanswered,
    runPhases,
    type ShardRun,
    type ShardWorker,
    sleep,
    type WorkerLink,
} from "puffinarch";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    /** Fencing tokens of the looks or starts that were sent, in order. */
    readonly tokens: number[];
    /** Whether the link reported that the owner has been replaced. */
    fenced: boolean;
    /** Starts and looks from the first start on, each with its token. */
    readonly sent: string[];
    /** Time from the return of a worker to the first look that reached it. */
    reachedAfterMs: number | undefined;
    /** Whether the worker may get further starts. */
    mayStart: boolean;
}

const part = (world: ScenarioWorld): Part =>
    partOf(world, "tokens", () => ({
        tokens: [],
        sent: [],
        fenced: false,
        reachedAfterMs: undefined,
        mayStart: false,
    }));

const fencingToken = 7;

const openLink = (
    world: ScenarioWorld,
    {
        clock,
        worker,
        port,
        newestToken,
        delayedStarts = createDelayedStarts(clock),
        onLook = async () => {},
        onUnanswered = async () => {},
    }: {
        readonly clock: FakeClock;
        readonly worker: ShardWorker;
        readonly port: Pick<FencedWorkerPort, "start" | "look">;
        readonly newestToken: () => number;
        readonly delayedStarts?: DelayedStarts;
        readonly onLook?: () => Promise<void>;
        readonly onUnanswered?: () => Promise<void>;
    },
): WorkerLink =>
    openWorkerLink(worker, {
        clock,
        log: noopLog,
        meter: noopMeter,
        workers: { stop: async () => "unknown", pace: async () => "unknown", ...port },
        fencingToken,
        newestToken,
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
        onLook,
        onSilent: () => {},
        onIncarnationOver: () => {},
        onRestarted: () => {},
        delayedStarts,
        onFenced: () => {
            part(world).fenced = true;
        },
        onNotStarted: () => {},
        onStarted: () => {},
        onUnanswered,
    });

const runOn = (worker: ShardWorker): ShardRun => {
    const submission = {
        jobId: "00000000000000a1",
        queueKey: testQueue.key,
        dataCentre: "leon-feria",
        payload: "plan",
        steps: [plainStep],
        schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
    };
    const task = newJob(submission, testQueue, { acceptedAtMs: 0, order: 1 }).occurrences.get(0)?.steps[0]?.tasks[0];
    assert.ok(task !== undefined);
    const run = newRun(task, worker.workerId, 1);
    holdCapacity(worker, run);
    return run;
};

When(
    "looks are {string} and the owner commits before each",
    async function(this: ScenarioWorld, text: string) {
        const clock = createFakeClock();
        const { tokens } = part(this);
        const answers = text.split(", ");
        const link = openLink(this, {
            clock,
            worker: newWorker(workerEntry("i-1", 1), 0),
            newestToken: () => fencingToken + tokens.length,
            port: {
                start: async () => "unknown",
                look: async (_target, order) => {
                    tokens.push(order.fencingToken);
                    await sleep(clock, 10);
                    return answers[tokens.length - 1] === "answered"
                        ? { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] }
                        : { outcome: "unknown" };
                },
            },
        });
        await clock.advance(2_000);
        link.close();
        tokens.splice(answers.length);
    },
);

When(
    "the ends of a look take {int} ms to be durable and the owner commits meanwhile",
    async function(this: ScenarioWorld, durableMs: number) {
        const clock = createFakeClock();
        const { tokens } = part(this);
        const link = openLink(this, {
            clock,
            worker: newWorker(workerEntry("i-1", 1), 0),
            newestToken: () => fencingToken + tokens.length,
            onLook: () => sleep(clock, durableMs),
            port: {
                start: async () => "unknown",
                look: async (_target, order) => {
                    tokens.push(order.fencingToken);
                    await sleep(clock, 10);
                    return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] };
                },
            },
        });
        await clock.advance(1_000);
        link.close();
        tokens.splice(3);
    },
);

/** Makes the looks of a worker that answers none for `downMs` and all of them afterwards. */
const answerLooksOnceBack =
    (world: ScenarioWorld, clock: FakeClock, downMs: number): FencedWorkerPort["look"] =>
    async (
        _target,
        { waitMs },
    ) => {
        if (clock.monotonicMs() < downMs) {
            return { outcome: "unknown" };
        }
        part(world).reachedAfterMs ??= clock.monotonicMs() - downMs;
        await sleep(clock, Math.max(1, waitMs));
        return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] };
    };

When(
    "a worker is down for {int} ms, and {int} starts there got no answer",
    async function(this: ScenarioWorld, downMs: number, starts: number) {
        const clock = createFakeClock();
        const delayedStarts = createDelayedStarts(clock);
        for (let run = 1; run <= starts; run += 1) {
            delayedStarts.record("i-1", { taskName: "00000000000000a1.0.0.0", run });
        }
        const link = openLink(this, {
            clock,
            worker: newWorker(workerEntry("i-1", 1), 0),
            newestToken: () => fencingToken,
            delayedStarts,
            port: {
                start: async () => "unknown",
                look: answerLooksOnceBack(this, clock, downMs),
            },
        });
        await clock.advance(downMs + 1_000);
        link.close();
    },
);

Then("a look reaches its next incarnation within {int} ms", function(this: ScenarioWorld, limitMs: number) {
    const { reachedAfterMs } = part(this);
    assert.ok(reachedAfterMs !== undefined && reachedAfterMs <= limitMs, `reached after ${reachedAfterMs} ms`);
});

When(
    "a start is refused as fenced after a look was lost, and the owner's newest token is {int}",
    async function(this: ScenarioWorld, newest: number) {
        const clock = createFakeClock();
        const { tokens } = part(this);
        const worker = newWorker(workerEntry("i-1", 1), 0);
        let looks = 0;
        const link = openLink(this, {
            clock,
            worker,
            newestToken: () => looks < 2 ? fencingToken : newest,
            port: {
                start: async (_target, order) => {
                    tokens.push(order.fencingToken);
                    // Meanwhile the second look is lost, and the third one arrives before the start.
                    await sleep(clock, 60);
                    return tokens.length === 1 ? "fenced" : "done";
                },
                look: async () => {
                    looks += 1;
                    const lost = looks === 2;
                    await sleep(clock, 20);
                    return lost
                        ? { outcome: "unknown" }
                        : { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] };
                },
            },
        });
        await clock.advance(25);
        void link.start(runOn(worker), "");
        await clock.advance(1_000);
        link.close();
    },
);

When(
    "a start gets no answer from a worker that answers looks, and the owner commits then",
    async function(this: ScenarioWorld) {
        const clock = createFakeClock();
        const { sent } = part(this);
        const worker = newWorker(workerEntry("i-1", 1), 0);
        let newest = fencingToken;
        const link = openLink(this, {
            clock,
            worker,
            newestToken: () => newest,
            onUnanswered: async () => {
                await sleep(clock, 10);
                newest += 1;
            },
            port: {
                start: async (_target, order, timeoutMs) => {
                    sent.push(`start ${order.fencingToken}`);
                    await sleep(clock, timeoutMs);
                    return "unknown";
                },
                look: async (_target, { fencingToken: token, waitMs }) => {
                    sent.push(`look ${token}`);
                    await sleep(clock, Math.max(1, waitMs));
                    return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] };
                },
            },
        });
        await clock.advance(5);
        sent.splice(0);
        void link.start(runOn(worker), "");
        await clock.advance(900);
        link.close();
    },
);

When("a start got no answer, and the next look lists its run", function(this: ScenarioWorld) {
    const clock = createFakeClock();
    const worker = newWorker(workerEntry("i-1", 1), 0);
    const run = runOn(worker);
    run.phase = runPhases.starting;
    recordStartUnanswered(worker, 0, clock.monotonicMs());
    const watch = createWorkerWatch({
        clock,
        log: noopLog,
        meter: noopMeter,
        jobOf: () => undefined,
        onChange: () => {},
        countOthersAt: () => 0,
        stop: () => {},
        onStuck: () => {},
        stopUnknown: () => {},
        onFormerGone: () => {},
        onMemberLost: () => {},
        onAbsent: () => {},
        fencingToken: 7,
        lookAgain: () => {},
        refuse: () => {},
        stopMs: 900,
        claimedAtMs: 0,
    });
    const listed = { taskName: run.task.name, run: run.run, checkpoint: "", percent: 100, figure: 1_000 };
    watch.applyLook(worker, { outcome: "done", clockMs: 0, running: [listed], ended: [] }, clock.monotonicMs());
    run.phase = runPhases.starting;
    part(this).mayStart = allowsStart(worker);
});

Then("the worker takes any number of starts again", function(this: ScenarioWorld) {
    assert.equal(part(this).mayStart, true);
});

Then("the calls sent are {string}", function(this: ScenarioWorld, text: string) {
    assert.equal(part(this).sent.join(", "), text);
});

When(
    "a worker that has a former owner's run which no look has listed is down for {int} ms",
    async function(this: ScenarioWorld, downMs: number) {
        const clock = createFakeClock();
        const worker = newWorker(workerEntry("i-1", 1), 0);
        Object.assign(runOn(worker), { phase: runPhases.running, absenceProvenAfterMs: 0 });
        const link = openLink(this, {
            clock,
            worker,
            newestToken: () => fencingToken,
            port: { start: async () => "unknown", look: answerLooksOnceBack(this, clock, downMs) },
        });
        await clock.advance(downMs + 1_000);
        link.close();
    },
);

Then("the tokens sent are {string}", function(this: ScenarioWorld, text: string) {
    assert.equal(part(this).tokens.join(", "), text);
});

Then("the owner {word} the shard", function(this: ScenarioWorld, what: string) {
    assert.equal(part(this).fenced ? "loses" : "keeps", what);
});
