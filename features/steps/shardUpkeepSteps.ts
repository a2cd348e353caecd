/** Steps about requests of operators to a shard: new configurations and upkeep waves of VMs. */

import { Then, When } from "@cucumber/cucumber";
import { createFakeClock, noopLog, noopMeter } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { sleep, startUpkeep } from "puffinarch";
import { cellOf, part } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

Then("no VM received an order from a former owner after one from its successor", function(this: ScenarioWorld) {
    assert.deepEqual(cellOf(this).vms.staleOrders, []);
});

When(
    "a wave is carried out while each of its records takes {int} ms to write",
    async function(this: ScenarioWorld, takesMs: number) {
        const clock = createFakeClock();
        const ordered: string[] = [];
        const upkeep = startUpkeep({
            clock,
            log: noopLog,
            meter: noopMeter,
            port: {
                list: async () => [{ vmId: "vm-1", state: "up", workerId: "i-1" }],
                upkeep: async ({ vmId }) => {
                    ordered.push(vmId);
                    return "done";
                },
            },
            holderId: "entry-1",
            fencingToken: 7,
            workers: new Map(),
            stop: () => {},
            onIncarnationEnded: () => {},
            staleOrderWindowMs: 0,
            rows: {
                read: async () => new Map(),
                record: async () => {
                    await sleep(clock, takesMs);
                    return true;
                },
                show: async () => true,
            },
        });
        upkeep.update([{ number: 1, vmIds: ["vm-1"], deadlineMs: 10_000, atOnce: 1 }]);
        await clock.advance(5_000);
        upkeep.close();
        part(this).orderedVms = ordered;
    },
);

Then("no VM received an order", function(this: ScenarioWorld) {
    assert.deepEqual(part(this).orderedVms, []);
});

When("the configuration {int} is published", function(this: ScenarioWorld, version: number) {
    cellOf(this).configure(version);
});

Then("the configuration {int} is in force on every daemon", function(this: ScenarioWorld, version: number) {
    const cell = cellOf(this);
    for (const memberId of cell.memberIds()) {
        assert.equal(cell.member(memberId)?.configuration()?.version, version, memberId);
    }
});

When(
    "the operator asks for upkeep of {int} VMs, {int} at once, within {int} ms",
    function(this: ScenarioWorld, count: number, atOnce: number, deadlineMs: number) {
        const vmIds = Array.from({ length: count }, (_, index) => `vm-${index}`);
        cellOf(this).requestUpkeep({ number: 1, vmIds, deadlineMs, atOnce });
    },
);

When("the operator withdraws the wave", function(this: ScenarioWorld) {
    cellOf(this).withdrawUpkeep(1);
});

Then(
    "the wave is shown as {string} within {int} ms",
    async function(this: ScenarioWorld, state: string, limitMs: number) {
        const cell = cellOf(this);
        assert.ok(
            await cell.until(() => cell.waveState(1) === state, limitMs),
            `the wave is shown as ${cell.waveState(1)}; upkeep of ${
                cell.vms.evidence.map(each => each.vmId).join(", ")
            }`,
        );
    },
);

Then(
    "each of the {int} VMs had its upkeep once, with at most {int} down at the same time",
    function(this: ScenarioWorld, count: number, atOnce: number) {
        const { evidence } = cellOf(this).vms;
        assert.equal(new Set(evidence.map(each => each.vmId)).size, count);
        assert.equal(evidence.length, count);
        assert.ok(evidence.every(each => each.othersDown < atOnce));
    },
);

Then("the upkeep interrupted no task", function(this: ScenarioWorld) {
    assert.deepEqual(cellOf(this).vms.evidence.filter(each => each.interruptedRuns > 0), []);
});
