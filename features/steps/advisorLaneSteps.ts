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
    /** Tells for each lane whether a call that comes now hangs. */
    readonly hangs: Map<string, () => boolean>;
    /** Lanes that were asked, in the order of asking. */
    readonly asked: string[];
    outageEndsAtMs: number;
    newest: { readonly beganAtMs: number; readonly callsBefore: number; advisedAtMs: number | undefined; } | undefined;
    /** How long calls waited for their answers, in milliseconds. */
    readonly waits: { readonly slow: number[]; readonly quick: number[]; };
}

const partName = "advisorLanes";
const part = (world: ScenarioWorld): Part => partOf<Part>(world, partName, () => assert.fail("there is no desk"));

/** A step asks again so long after a failure, as the product's steps do. */
const retryMs = 150;
/** How long the advisor takes for a quick call. */
const quickCallMs = 40;
const limitMs = 60_000;
const lookMs = 10;

Given(
    "an advice desk with {int} lanes, whose calls take {int} ms",
    function(this: ScenarioWorld, lanes: number, callMs: number) {
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
                await sleep(clock, stepName === "quick" ? quickCallMs : callMs);
                return { good: [], validMs: 2_000 };
            },
        });
        partOf<Part>(this, partName, () => ({
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
    },
);

/** Gives each of the first lanes a test of its own for whether a call hangs. */
const letHang = (world: ScenarioWorld, count: number, hangs: (lane: string) => boolean): void => {
    for (const lane of part(world).laneIds.slice(0, count)) {
        part(world).hangs.set(lane, () => hangs(lane));
    }
};

Given("{int} of its lanes hang for good", function(this: ScenarioWorld, count: number) {
    letHang(this, count, () => true);
});

Given("{int} of its lanes hang once", function(this: ScenarioWorld, count: number) {
    const { asked } = part(this);
    letHang(this, count, lane => asked.filter(each => each === lane).length === 1);
});

Given("{int} of its lanes hang for {int} ms", function(this: ScenarioWorld, count: number, forMs: number) {
    const { clock } = part(this);
    const endsAtMs = clock.monotonicMs() + forMs;
    part(this).outageEndsAtMs = endsAtMs;
    letHang(this, count, () => clock.monotonicMs() < endsAtMs);
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
                assert.ok(!isAdvised(), "the step is answered twice");
                newest.advisedAtMs = clock.monotonicMs();
            },
            onFailure: () => clock.setTimer(retryMs, ask),
        });
    ask();
    while (!isAdvised() && clock.monotonicMs() - newest.beganAtMs < limitMs) {
        await clock.advance(lookMs);
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
        for (let passedMs = 0; passedMs < forMs; passedMs += lookMs) {
            if (eachMs > 0 && passedMs % eachMs === 0) {
                ask(quickMs, "quick");
            }
            await clock.advance(lookMs);
        }
    },
);

Then(
    "all {int} are advised within {int} ms, and each quick call within {int} ms",
    function(this: ScenarioWorld, count: number, withinMs: number, quickWithinMs: number) {
        const { waits } = part(this);
        assert.equal(waits.slow.length, count);
        assert.ok(Math.max(...waits.slow) <= withinMs, `after ${Math.max(...waits.slow)} ms`);
        assert.ok(Math.max(0, ...waits.quick) <= quickWithinMs, `a quick one after ${Math.max(...waits.quick)} ms`);
    },
);

When("the desk is left alone for {int} ms", async function(this: ScenarioWorld, forMs: number) {
    await part(this).clock.advance(forMs);
});

const advisedAtMs = (world: ScenarioWorld): number => part(world).newest?.advisedAtMs ?? assert.fail("never advised");

Then(
    /^it is advised within (\d+) ms, after (\d+) calls? at the most$/,
    async function(this: ScenarioWorld, withinMs: string, mostCalls: string) {
        const { clock, asked, newest } = part(this);
        const tookMs = advisedAtMs(this) - (newest?.beganAtMs ?? 0);
        assert.ok(tookMs <= Number(withinMs), `after ${tookMs} ms, by ${asked.join(" ")}`);
        // Calls that are still under way count as well, and no answer may come of them.
        await clock.advance(limitMs);
        const calls = asked.length - (newest?.callsBefore ?? 0);
        assert.ok(calls <= Number(mostCalls), `${calls} calls, by ${asked.join(" ")}`);
    },
);

Then("it is advised within {int} ms after the outage", function(this: ScenarioWorld, withinMs: number) {
    const tookMs = advisedAtMs(this) - part(this).outageEndsAtMs;
    assert.ok(tookMs <= withinMs, `after ${tookMs} ms, by ${part(this).asked.join(" ")}`);
});
