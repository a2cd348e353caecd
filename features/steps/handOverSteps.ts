/** Steps about what an owner that hands its shard over leaves to its successor. */

import { Given, Then, When } from "@cucumber/cucumber";
import { jobIdOf, readSteps } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { ownerTable } from "puffinarch";
import { cellOf, part, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

const handOverPart = (world: ScenarioWorld): { toldAtMs: number; claimedAtMs: number; } =>
    partOf(world, "handOver", () => ({ toldAtMs: Infinity, claimedAtMs: Infinity }));

const graceMs = 6_000;
const jobIntervalMs = 10;
const loadMs = 400;

Given(
    "a cell of {int} daemons and {int} workers that answer a start after up to {int} ms",
    async function(this: ScenarioWorld, members: number, workers: number, startAnswerMs: number) {
        await startCell(this, { members, workers, seed: 1, startAnswerMs });
    },
);

When(
    "the owner is told to stop as planned starts become durable, while jobs of steps {string} arrive for {int} ms more",
    async function(this: ScenarioWorld, steps: string, moreMs: number) {
        const cell = cellOf(this);
        const state = handOverPart(this);
        const workerIds = cell.workers.workerIds();
        const stopFromMs = cell.clock.monotonicMs() + loadMs;
        cell.store.onCommitted(({ puts }) => {
            const nowMs = cell.clock.monotonicMs();
            const isPlan = puts.some(({ value }) => workerIds.some(workerId => value.includes(`"${workerId}"`)));
            if (state.toldAtMs === Infinity && nowMs >= stopFromMs && isPlan) {
                state.toldAtMs = nowMs;
                void cell.stop(cell.owner() ?? "", graceMs);
            }
            if (puts.some(({ table }) => table === ownerTable)) {
                state.claimedAtMs = Math.min(state.claimedAtMs, nowMs);
            }
        });
        for (let passedMs = 0; passedMs < loadMs + moreMs; passedMs += jobIntervalMs) {
            cell.submit(jobIdOf(1 + passedMs / jobIntervalMs), readSteps(steps));
            await cell.clock.advance(jobIntervalMs);
        }
    },
);

When("{int} daemons other than the owner do not reach the store", function(this: ScenarioWorld, count: number) {
    const cell = cellOf(this);
    for (const memberId of cell.memberIds().filter(each => each !== cell.owner()).slice(0, count)) {
        cell.store.setFault("hang", memberId);
        part(this).endFaults.push(() => cell.store.setFault("none", memberId));
    }
});

When(
    "no worker has a free connection from {int} ms to {int} ms, and the owner reaches the store at {int} bytes per ms",
    function(this: ScenarioWorld, fromMs: number, toMs: number, rate: number) {
        const { clock, owner, store, workers } = cellOf(this);
        store.setLink(owner() ?? "", rate);
        clock.setTimer(fromMs, () => workers.workerIds().forEach(id => workers.setFault(id, "unconnected")));
        clock.setTimer(toMs, () => workers.workerIds().forEach(id => workers.setFault(id, "none")));
    },
);

Then(
    "the successor claimed the shard within {int} ms, no start was sent after the stop, and none in the {int} ms before the claim",
    function(this: ScenarioWorld, withinMs: number, answerMs: number) {
        const { toldAtMs, claimedAtMs } = handOverPart(this);
        assert.ok(claimedAtMs - toldAtMs <= withinMs, `claimed ${claimedAtMs - toldAtMs} ms after the stop`);
        const fromMs = Math.min(toldAtMs, claimedAtMs - answerMs);
        const sent = cellOf(this).workers.evidence.filter(({ orderedAtMs }) =>
            orderedAtMs > fromMs && orderedAtMs <= claimedAtMs
        );
        assert.deepEqual(sent.map(each => `${each.taskName} ${claimedAtMs - each.orderedAtMs} ms before`), []);
    },
);

Then("the successor found no start of its predecessor open", function(this: ScenarioWorld) {
    const lines = cellOf(this).log.filter(({ event }) => event === "runRefused" || event === "runGone");
    assert.deepEqual(lines.map(({ event, fields }) => `${event} ${String(fields["task"])}`), []);
});

Then("the owner has placed tasks for {int} ms after the stop", function(this: ScenarioWorld, forMs: number) {
    const { toldAtMs, claimedAtMs } = handOverPart(this);
    assert.equal(claimedAtMs, Infinity);
    const newestMs = Math.max(...cellOf(this).workers.evidence.map(({ orderedAtMs }) => orderedAtMs));
    assert.ok(newestMs >= toldAtMs + forMs, `the last start was sent ${newestMs - toldAtMs} ms after the stop`);
});
