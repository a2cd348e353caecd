/** Steps that start a cell with one shard and let its time pass. */

import { Given, When } from "@cucumber/cucumber";
import { testQueue, unusedQueues } from "@puffinarch/stand-ins";
import { cellOf, part, startCell } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

Given(
    "a cell of {int} daemons and {int} workers",
    async function(this: ScenarioWorld, members: number, workers: number) {
        await startCell(this, { members, workers, seed: 1 });
    },
);

Given(
    "a cell of {int} daemons and {int} workers that start again under their IDs {int} ms after a crash",
    async function(this: ScenarioWorld, members: number, workers: number, crashedDownMs: number) {
        await startCell(this, { members, workers, seed: 1, keepsIds: true, crashedDownMs });
    },
);

Given(
    "a cell of {int} daemons and {int} workers that check tickets and start again under their IDs {int} ms after a crash",
    async function(this: ScenarioWorld, members: number, workers: number, crashedDownMs: number) {
        await startCell(this, { members, workers, seed: 1, keepsIds: true, crashedDownMs, checksTickets: true });
    },
);

Given(
    "a cell of {int} daemons and {int} workers that start again under their IDs {int} ms after a crash, with {int} cores",
    async function(this: ScenarioWorld, members: number, workers: number, crashedDownMs: number, cores: number) {
        const nextCapacity = { cpuMillis: 1_000 * cores, memoryMib: 16_000, accelerators: 0 };
        await startCell(this, {
            members,
            workers,
            seed: 1,
            keepsIds: true,
            crashedDownMs,
            restartCapacity: nextCapacity,
        });
    },
);

Given(
    "a cell of {int} daemons and {int} workers whose tasks take their estimates, with a stretch of {int}",
    async function(this: ScenarioWorld, members: number, workers: number, stretch: number) {
        const queues = [{ ...testQueue, stretch }];
        await startCell(this, { members, workers, seed: 1, durationMs: "estimated", queues });
    },
);

Given(
    "a cell of {int} daemons and {int} workers whose tasks take their estimates, with {int} attempts",
    async function(this: ScenarioWorld, members: number, workers: number, attempts: number) {
        const queues = [{ ...testQueue, attempts }];
        await startCell(this, { members, workers, seed: 1, durationMs: "estimated", queues });
    },
);

Given(
    "a cell of {int} daemons and {int} workers whose VMs do not check tokens",
    async function(this: ScenarioWorld, members: number, workers: number) {
        await startCell(this, { members, workers, seed: 1, checksVmTokens: false });
    },
);

Given(
    "a cell of {int} daemons and {int} workers whose first looks cost a daemon {float} ms, later ones {float} ms and pings {float} ms",
    async function(
        this: ScenarioWorld,
        members: number,
        workers: number,
        firstLookMs: number,
        lookMs: number,
        callMs: number,
    ) {
        await startCell(this, { members, workers, seed: 1, costs: { firstLookMs, lookMs, callMs } });
    },
);

Given(
    "a cell of daemons with strengths {string} and {int} workers",
    async function(this: ScenarioWorld, text: string, workers: number) {
        const strengths = text.split(",").map(Number);
        part(this).strengths = strengths;
        await startCell(this, { members: strengths.length, workers, seed: 1, strengths });
    },
);

Given(
    "a cell of {int} daemons, every fifth of them strong, and {int} workers",
    async function(this: ScenarioWorld, members: number, workers: number) {
        const strengths = Array.from({ length: members }, (_, index) => index % 5 === 0 ? 1 : 0.2);
        part(this).strengths = strengths;
        await startCell(this, { members, workers, seed: 1, strengths });
    },
);

/** Capacity of the links of strong and of weak daemons. */
const strongBytesPerMs = 25_000;
const weakBytesPerMs = 1_250;

Given(
    "a cell of {int} daemons, every fifth of them strong, the others on slow links, {int} workers and a configuration of {int} queues",
    async function(this: ScenarioWorld, members: number, workers: number, queues: number) {
        const strengths = Array.from({ length: members }, (_, index) => index % 5 === 0 ? 1 : 0.2);
        part(this).strengths = strengths;
        await startCell(this, {
            members,
            workers,
            seed: 1,
            strengths,
            queues: [testQueue, ...unusedQueues(queues)],
        });
        for (const [index, memberId] of cellOf(this).memberIds().entries()) {
            cellOf(this).store.setLink(memberId, strengths[index] === 1 ? strongBytesPerMs : weakBytesPerMs);
        }
    },
);

Given(
    "a cell of {int} daemons and {int} workers, seed {int}",
    async function(this: ScenarioWorld, members: number, workers: number, seed: number) {
        await startCell(this, { members, workers, seed, failureRate: 0.01 });
    },
);

Given(
    "a cell of {int} daemons and {int} workers where every run fails",
    async function(this: ScenarioWorld, members: number, workers: number) {
        await startCell(this, { members, workers, seed: 1, failureRate: 1 });
    },
);

When("the shard runs for {int} ms", async function(this: ScenarioWorld, forMs: number) {
    await cellOf(this).clock.advance(forMs);
});
