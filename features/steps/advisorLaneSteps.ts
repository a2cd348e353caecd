/** Steps about the advice desk, which spreads calls to the advisor over lanes: one lane for each daemon that can call it. */

import { Given, Then, When } from "@cucumber/cucumber";
import { createFakeClock, type FakeClock, noopLog, noopMeter } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { type AdviceDispatcher, createAdviceDispatcher, errorOf, sleep } from "puffinarch";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    readonly clock: FakeClock;
    readonly desk: AdviceDispatcher;
    readonly laneIds: readonly string[];
    readonly callMs: number;
    /** For each lane that may hang, whether a call that arrives now gets no answer. */
    readonly hangs: Map<string, () => boolean>;
    /** The lane of each call, in the order of the calls. */
    readonly asked: string[];
    outageEndsAtMs: number;
    /** The latest step that asked for advice. */
    newest: { readonly beganAtMs: number; readonly callsBefore: number; advisedAtMs: number | undefined; } | undefined;
    /** Time from each request to its answer in milliseconds, by the kind of call. */
    readonly waits: { readonly slow: number[]; readonly quick: number[]; };
}

const partName = "advisorLanes";
const part = (world: ScenarioWorld): Part =>
    partOf<Part>(world, partName, () => assert.fail("the scenario has no advice desk"));

/** Times after which the steps of a scenario were advised, in milliseconds. */
const advised = new WeakMap<ScenarioWorld, readonly number[]>();

/** Delay before a step asks again after a failed call, as in the scheduler. */
const retryMs = 150;
/** Time that the advisor takes to answer a quick call. */
const quickCallMs = 40;
/** Bound on each wait; every call has ended by then. */
const limitMs = 60_000;
const tickMs = 10;

/** Opens an advice desk on a daemon whose event loop takes `lateMs` for a turn; each call and its answer wait for one. */
const openDesk = (
    world: ScenarioWorld,
    { lanes, callMs, lateMs }: { readonly lanes: number; readonly callMs: number; readonly lateMs: number; },
): void => {
    const clock = createFakeClock();
    const laneIds = Array.from({ length: lanes }, (_, index) => `entry-${index}`);
    const hangs = new Map<string, () => boolean>();
    const asked: string[] = [];
    const desk = createAdviceDispatcher({
        clock,
        log: noopLog,
        meter: noopMeter,
        lanes: () => laneIds,
        call: async (lane, { stepName, timeoutMs }) => {
            asked.push(lane);
            if (hangs.get(lane)?.() === true) {
                await sleep(clock, timeoutMs);
                throw errorOf({ kind: "unavailable", message: "no answer" });
            }
            await sleep(clock, 2 * lateMs + (stepName === "quick" ? quickCallMs : callMs));
            return { good: [], validMs: 2_000 };
        },
        lagMs: () => lateMs,
    });
    partOf<Part>(world, partName, () => ({
        clock,
        desk,
        laneIds,
        callMs,
        hangs,
        asked,
        outageEndsAtMs: 0,
        newest: undefined,
        waits: { slow: [], quick: [] },
    }));
};

Given(
    "an advice desk with {int} lanes, whose calls take {int} ms",
    function(this: ScenarioWorld, lanes: number, callMs: number) {
        openDesk(this, { lanes, callMs, lateMs: 0 });
    },
);

Given(
    "an advice desk with {int} lanes, whose calls take {int} ms, of a daemon that is {int} ms late",
    function(this: ScenarioWorld, lanes: number, callMs: number, lateMs: number) {
        openDesk(this, { lanes, callMs, lateMs });
    },
);

/** Sets the condition under which calls through the first lanes hang. */
const setHangs = (world: ScenarioWorld, count: number, hangs: (lane: string) => boolean): void => {
    for (const lane of part(world).laneIds.slice(0, count)) {
        part(world).hangs.set(lane, () => hangs(lane));
    }
};

Given("{int} of its lanes hang for good", function(this: ScenarioWorld, count: number) {
    setHangs(this, count, () => true);
});

Given("{int} of its lanes hang once", function(this: ScenarioWorld, count: number) {
    const { asked } = part(this);
    setHangs(this, count, lane => asked.filter(each => each === lane).length === 1);
});

Given("{int} of its lanes hang for {int} ms", function(this: ScenarioWorld, count: number, forMs: number) {
    const { clock } = part(this);
    const endsAtMs = clock.monotonicMs() + forMs;
    part(this).outageEndsAtMs = endsAtMs;
    setHangs(this, count, () => clock.monotonicMs() < endsAtMs);
});

When("a step asks until it is advised", async function(this: ScenarioWorld) {
    const { clock, desk, callMs, asked } = part(this);
    const newest: Part["newest"] = {
        beganAtMs: clock.monotonicMs(),
        callsBefore: asked.length,
        advisedAtMs: undefined,
    };
    part(this).newest = newest;
    const isAdvised = (): boolean => newest.advisedAtMs !== undefined;
    const ask = (): void =>
        desk.enqueue({
            stepName: "1.0.0",
            workerIds: ["i-1"],
            costMs: callMs,
            priority: 1,
            isNeeded: () => !isAdvised(),
            onAnswer: () => {
                assert.ok(!isAdvised(), "the step got two answers");
                newest.advisedAtMs = clock.monotonicMs();
            },
            onFailure: () => clock.setTimer(retryMs, ask),
        });
    ask();
    while (!isAdvised() && clock.monotonicMs() - newest.beganAtMs < limitMs) {
        await clock.advance(tickMs);
    }
});

When(
    "{int} steps ask at once, and quick calls of {int} ms come each {int} ms for {int} ms",
    async function(this: ScenarioWorld, count: number, quickMs: number, eachMs: number, forMs: number) {
        const { clock, desk, callMs, waits } = part(this);
        const ask = (costMs: number, kind: "slow" | "quick"): void => {
            const askedAtMs = clock.monotonicMs();
            desk.enqueue({
                stepName: kind,
                workerIds: ["i-1"],
                costMs,
                priority: kind === "quick" ? 0 : 2,
                isNeeded: () => true,
                onAnswer: () => waits[kind].push(clock.monotonicMs() - askedAtMs),
                onFailure: () => assert.fail("a call failed"),
            });
        };
        for (let number = 0; number < count; number += 1) {
            ask(callMs, "slow");
        }
        for (let passedMs = 0; passedMs < forMs; passedMs += tickMs) {
            if (eachMs > 0 && passedMs % eachMs === 0) {
                ask(quickMs, "quick");
            }
            await clock.advance(tickMs);
        }
    },
);

Then(
    "all {int} are advised within {int} ms, and each quick call within {int} ms",
    function(this: ScenarioWorld, count: number, withinMs: number, quickWithinMs: number) {
        const { waits } = part(this);
        assert.equal(waits.slow.length, count);
        assert.ok(Math.max(...waits.slow) <= withinMs, `the slowest answer came after ${Math.max(...waits.slow)} ms`);
        assert.ok(
            Math.max(0, ...waits.quick) <= quickWithinMs,
            `the slowest quick answer came after ${Math.max(...waits.quick)} ms`,
        );
    },
);

When("nobody asks for {int} ms", async function(this: ScenarioWorld, forMs: number) {
    await part(this).clock.advance(forMs);
});

const advisedAtMs = (world: ScenarioWorld): number =>
    part(world).newest?.advisedAtMs ?? assert.fail("the step got no answer");

Then(
    /^it is advised within (\d+) ms, after (\d+) calls? at the most$/,
    async function(this: ScenarioWorld, withinMs: string, mostCalls: string) {
        const { clock, asked, newest } = part(this);
        const tookMs = advisedAtMs(this) - (newest?.beganAtMs ?? 0);
        assert.ok(tookMs <= Number(withinMs), `answered after ${tookMs} ms; lanes called: ${asked.join(" ")}`);
        // Lets the calls still in flight end: they count too, and must not answer the step again.
        await clock.advance(limitMs);
        const calls = asked.length - (newest?.callsBefore ?? 0);
        assert.ok(calls <= Number(mostCalls), `${calls} calls; lanes called: ${asked.join(" ")}`);
    },
);

Then("it is advised within {int} ms after the outage", function(this: ScenarioWorld, withinMs: number) {
    const tookMs = advisedAtMs(this) - part(this).outageEndsAtMs;
    assert.ok(tookMs <= withinMs, `answered after ${tookMs} ms; lanes called: ${part(this).asked.join(" ")}`);
});

When(
    "{int} steps ask at once through {int} lanes, whose calls take {int} ms and are read {int} ms late",
    async function(this: ScenarioWorld, count: number, lanes: number, costMs: number, lateMs: number) {
        const clock = createFakeClock();
        const laneIds = Array.from({ length: lanes }, (_, index) => `entry-${index}`);
        const idleAtMs = new Map<string, number>();
        const advisedAtMs: number[] = [];
        const desk = createAdviceDispatcher({
            clock,
            log: noopLog,
            meter: noopMeter,
            lanes: () => laneIds,
            call: async lane => {
                const endsAtMs = Math.max(clock.monotonicMs(), idleAtMs.get(lane) ?? 0) + costMs;
                idleAtMs.set(lane, endsAtMs);
                await sleep(clock, endsAtMs + lateMs - clock.monotonicMs());
                return { good: [], validMs: 2_000 };
            },
        });
        for (let number = 0; number < count; number += 1) {
            desk.enqueue({
                stepName: `${number}.0.0`,
                workerIds: ["i-1"],
                costMs,
                priority: 0,
                isNeeded: () => true,
                onAnswer: () => advisedAtMs.push(clock.monotonicMs()),
                onFailure: () => {},
            });
        }
        const beganAtMs = clock.monotonicMs();
        for (let ticks = 0; ticks < limitMs / tickMs && advisedAtMs.length < count; ticks += 1) {
            desk.wake();
            await clock.advance(tickMs);
        }
        advised.set(this, advisedAtMs.map(atMs => atMs - beganAtMs));
    },
);

Then("{int} of them are advised within {int} ms", function(this: ScenarioWorld, count: number, withinMs: number) {
    assert.equal(advised.get(this)?.filter(afterMs => afterMs <= withinMs).length, count);
});
