/** Steps about the simulated workers and upstreams, and about the adapters through which workers are called. */

import { Given, Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    createUpstream,
    createWorker,
    type FakeClock,
    serveWorkers,
    type UpstreamStandIn,
    type WorkerStandIn,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import type { StartOrder, StartOutcome, WorkerPort } from "puffinarch";
import { createHttpClient, createHttpWorkers, createMeter } from "puffinarchd";
import { partOf, type ScenarioWorld } from "./support.js";

interface MachinePart {
    readonly clock: FakeClock;
    readonly worker: WorkerStandIn;
    port: WorkerPort;
    address: string;
    /** Time from which a start order is too old. */
    startBeforeMs: number;
    outcome: StartOutcome | undefined;
    upstream: UpstreamStandIn;
    /** Answers of the upstream; undefined for each refused request. */
    answers: readonly (string | undefined)[];
}

const capacity = { cpuMillis: 4_000, memoryMib: 4_096, accelerators: 0 };

const directPort = (worker: WorkerStandIn): WorkerPort => ({
    start: async (_address, order) => worker.start(order),
    poll: (_address, poll) => worker.poll(poll),
    stop: async (_address, orders) => worker.stop(orders),
    throttle: async (_address, attemptId, cpuMillis) => worker.throttle(attemptId, cpuMillis),
});

const part = (world: ScenarioWorld): MachinePart =>
    partOf(world, "machines", () => {
        const clock = createFakeClock();
        const worker = createWorker(clock, "w1", capacity);
        const upstream = createUpstream(clock, "u1");
        return {
            clock,
            worker,
            port: directPort(worker),
            address: "",
            startBeforeMs: 1_000,
            outcome: undefined,
            upstream,
            answers: [],
        };
    });

const orderOf = (state: MachinePart, runMs: number, leaseMs: number): StartOrder => ({
    attemptId: "a1",
    taskId: "j1/0",
    homeId: "h1",
    size: { cpuMillis: 1_000, memoryMib: 256, accelerators: 0 },
    payload: JSON.stringify({ runMs }),
    checkpoint: "",
    leaseMs,
    startBeforeMs: state.startBeforeMs,
});

const poll = (state: MachinePart, leaseMs: number, acknowledge: readonly string[]) =>
    state.worker.poll({ seen: undefined, leaseMs, acknowledge, waitMs: 0 });

Given("a worker behind the {string} adapter", async function(this: ScenarioWorld, adapter: string) {
    const state = part(this);
    if (adapter === "direct") {
        return;
    }
    const served = await serveWorkers([state.worker], 0);
    const http = createHttpClient({ timeoutMs: 5_000, connectionsPerHost: 4, meter: createMeter() });
    this.closers.push(served.close, http.close);
    state.port = createHttpWorkers(http);
    state.address = `${served.address}/workers/w1`;
});

const workerCases: Readonly<Record<string, (state: MachinePart) => void>> = {
    healthy: () => {},
    "order is too old": state => {
        state.startBeforeMs = -1;
    },
    "reply is lost": state => state.worker.setFaults({ losesStartReply: true }),
    unreachable: state => state.worker.setFaults({ unreachable: true }),
    "not listening": state => {
        state.address = "http://127.0.0.1:1/workers/w1";
    },
};

Given("the worker's case is {string}", function(this: ScenarioWorld, name: string) {
    workerCases[name]?.(part(this));
});

When("an attempt is started", async function(this: ScenarioWorld) {
    const state = part(this);
    state.outcome = await state.port.start(state.address, orderOf(state, 100, 5_000));
});

When("the same attempt is started twice", function(this: ScenarioWorld) {
    const state = part(this);
    state.worker.start(orderOf(state, 100, 5_000));
    state.worker.start(orderOf(state, 100, 5_000));
});

When("an attempt larger than the worker is started", function(this: ScenarioWorld) {
    const state = part(this);
    state.worker.start({ ...orderOf(state, 100, 5_000), attemptId: "a2", size: { ...capacity, cpuMillis: 5_000 } });
});

When(
    "an attempt of {int} ms is started with a lease of {int} ms",
    function(this: ScenarioWorld, runMs: number, leaseMs: number) {
        const state = part(this);
        state.worker.start(orderOf(state, runMs, leaseMs));
    },
);

When("the attempt's lease is renewed for {int} ms", async function(this: ScenarioWorld, leaseMs: number) {
    await poll(part(this), leaseMs, []);
});

When("the attempt's end is acknowledged", async function(this: ScenarioWorld) {
    await poll(part(this), 0, ["a1"]);
});

Then("the start is {string}", function(this: ScenarioWorld, outcome: string) {
    assert.equal(part(this).outcome, outcome);
});

Then("the worker ran the attempt {int} times", function(this: ScenarioWorld, times: number) {
    assert.equal(part(this).worker.executions().length, times);
});

Then("the worker counts {int} overcommit", function(this: ScenarioWorld, count: number) {
    assert.equal(part(this).worker.overcommits(), count);
});

Then("the worker runs the attempt", async function(this: ScenarioWorld) {
    assert.equal((await poll(part(this), 0, [])).running.length, 1);
});

Then("the worker has ended the attempt as {string}", async function(this: ScenarioWorld, outcome: string) {
    const report = await poll(part(this), 0, []);
    assert.deepEqual(report.ended.map(each => each.outcome), [outcome]);
});

Then("the worker reports no attempt", async function(this: ScenarioWorld) {
    const report = await poll(part(this), 0, []);
    assert.equal(report.ended.length + report.running.length, 0);
});

Then("a poll from the seen version on reports only what changed since", async function(this: ScenarioWorld) {
    const state = part(this);
    const first = await poll(state, 0, []);
    const seen = { bootId: first.bootId, version: first.version };
    const unchanged = await state.worker.poll({ seen, leaseMs: 0, acknowledge: [], waitMs: 0 });
    assert.deepEqual([first.complete, first.running.length, unchanged.complete, unchanged.running.length], [
        true,
        1,
        false,
        0,
    ]);
    state.worker.stop([{ attemptId: "a1", checkpoint: false }]);
    const changed = await state.worker.poll({ seen, leaseMs: 0, acknowledge: [], waitMs: 0 });
    assert.deepEqual(changed.gone, ["a1"]);
    const otherBoot = await state.worker.poll({
        seen: { bootId: "earlier", version: 99 },
        leaseMs: 0,
        acknowledge: [],
        waitMs: 0,
    });
    assert.equal(otherBoot.complete, true);
});

Given("an upstream", function(this: ScenarioWorld) {
    part(this);
});

When("{int} requests are sent at once", async function(this: ScenarioWorld, count: number) {
    const state = part(this);
    const runs = Array.from(
        { length: count },
        (_none, index) => state.upstream.run(`r${index}`, true, { workMs: 10, answerBytes: 1 }),
    );
    await state.clock.advance(100);
    state.answers = await Promise.all(runs);
});

Then(
    "{int} requests are answered and {int} are refused",
    function(this: ScenarioWorld, answered: number, refused: number) {
        const { answers } = part(this);
        assert.equal(answers.filter(answer => answer !== undefined).length, answered);
        assert.equal(answers.filter(answer => answer === undefined).length, refused);
    },
);

Then("the upstream counts {int} slot violations", function(this: ScenarioWorld, count: number) {
    assert.equal(part(this).upstream.evidence().slotViolations, count);
});
