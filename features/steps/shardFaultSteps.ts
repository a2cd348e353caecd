/** Steps that inject faults into a cell with one shard, and end them. */

import { Then, When } from "@cucumber/cucumber";
import { crowdedShapes, explorePowerLoss, runRandomFaults, shardFaults } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { memberTable } from "puffinarch";
import { cellOf, part } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

/** Time for a claim and half of the first page read after it, from a healthy store. */
const claimMs = 6;

When(
    "the owner is killed, and from the first page that its successor reads the store is down for {int} ms and then slow",
    async function(this: ScenarioWorld, downMs: number) {
        const cell = cellOf(this);
        const before = cell.log.length;
        cell.kill(cell.owner() ?? "");
        const isClaimed = (): boolean => cell.log.slice(before).some(line => line.event === "claimBegins");
        while (!isClaimed()) {
            await cell.clock.advance(1);
        }
        await cell.clock.advance(claimMs);
        cell.store.setFault("hang");
        await cell.clock.advance(downMs);
        cell.store.setFault("slow");
    },
);

When("all daemons but one are killed", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const survivor = cell.memberIds().find(memberId => memberId !== cell.owner());
    for (const memberId of cell.memberIds().filter(each => each !== survivor)) {
        cell.kill(memberId);
    }
});

When("all daemons are back", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    for (const memberId of cell.memberIds()) {
        cell.restart(memberId);
    }
});

When("the store refuses {int} of the daemons on slow links", function(this: ScenarioWorld, refused: number) {
    const cell = cellOf(this);
    const { strengths } = part(this);
    const weak = cell.memberIds().filter((_, index) => strengths[index] !== 1);
    for (const memberId of weak.slice(0, refused)) {
        cell.store.setFault("refuse", memberId);
    }
});

When("the configuration changes", function(this: ScenarioWorld) {
    cellOf(this).configure(cellOf(this).version() + 1);
});

When("all daemons but the former owner are back", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    for (const memberId of cell.memberIds().filter(each => each !== part(this).formerOwner)) {
        cell.restart(memberId);
    }
});

When(/^the table of members (cannot be read|can be read again)$/, function(this: ScenarioWorld, how: string) {
    cellOf(this).store.setUnreadable(memberTable, how === "cannot be read");
});

When("the power loss of seed {int} is simulated", async function(this: ScenarioWorld, seed: number) {
    part(this).powerLoss = await explorePowerLoss(seed);
});

Then(
    "a job is accepted at most {int} ms after the last fault, and no promise was broken",
    function(this: ScenarioWorld, mostMs: number) {
        const { acceptedAfterMs = Infinity, breaches = [], faults = [] } = part(this).powerLoss ?? {};
        assert.ok(acceptedAfterMs <= mostMs, `after ${acceptedAfterMs} ms; ${faults.join("; ")}`);
        assert.deepEqual(breaches, []);
    },
);

/** A slow store takes 110 ms for each write; at this rate its queue fills up and it refuses further writes. */
const writeEveryMs = 10;
const longestWaitMs = 10_000;

When(
    "the owner is killed while the store is slow and another writer keeps its queue full until {int} ms after the first claim",
    async function(this: ScenarioWorld, untilMs: number) {
        const cell = cellOf(this);
        const logLengthBefore = cell.log.length;
        const hasClaimed = (): boolean => cell.log.slice(logLengthBefore).some(({ event }) => event === "claimBegins");
        const connection = cell.store.connect("writer");
        const write = async (forMs: number, isOver: () => boolean): Promise<void> => {
            for (let passedMs = 0; passedMs < forMs && !isOver(); passedMs += writeEveryMs) {
                const put = { table: "others", part: "", key: "row", value: String(passedMs) };
                void connection.transact({ expect: [], puts: [put], removes: [] }, longestWaitMs);
                await cell.clock.advance(writeEveryMs);
            }
        };
        const restart = shardFaults["owner killed"]?.(cell);
        cell.store.setFault("slow");
        part(this).endFaults.push(() => {
            cell.store.setFault("none");
            restart?.();
        });
        await write(longestWaitMs, hasClaimed);
        assert.ok(hasClaimed(), "no daemon began a claim");
        await write(untilMs, () => false);
    },
);

When(/^the daemons ([\d, ]+) are gone for good$/, function(this: ScenarioWorld, text: string) {
    for (const index of text.split(",").map(Number)) {
        cellOf(this).kill(cellOf(this).memberIds()[index] ?? "");
    }
});

When("all links to the store carry {int} bytes a ms", function(this: ScenarioWorld, bytesPerMs: number) {
    const cell = cellOf(this);
    for (const memberId of cell.memberIds()) {
        cell.store.setLink(memberId, bytesPerMs);
    }
});

When(
    /^the link of the next claimant carries (\d+) bytes? a ms, and no other daemon can claim$/,
    function(this: ScenarioWorld, bytesPerMs: string) {
        const cell = cellOf(this);
        const [next, ...others] = cell.memberIds().filter(memberId => memberId !== cell.owner());
        cell.store.setLink(next ?? "", Number(bytesPerMs));
        for (const memberId of others) {
            cell.store.setFault("refuse", memberId);
        }
        part(this).endFaults.push(() => others.forEach(memberId => cell.store.setFault("none", memberId)));
    },
);

When("the other daemons can claim again", function(this: ScenarioWorld) {
    part(this).endFaults.shift()?.();
});

/** Names of faults contain commas themselves, so the longest known name that matches is split off first. */
const parseFaultNames = (text: string): readonly string[] => {
    const known = Object.keys(shardFaults).sort((left, right) => right.length - left.length);
    const found: string[] = [];
    let remaining = text;
    while (remaining !== "") {
        const next = known.find(name => remaining.startsWith(name));
        assert.ok(next !== undefined, `no known fault at the start of "${remaining}"`);
        found.push(next);
        remaining = remaining.slice(next.length).replace(/^, /, "");
    }
    return found;
};

When("the fault {string} comes", function(this: ScenarioWorld, text: string) {
    part(this).faultAtMs = cellOf(this).clock.monotonicMs();
    part(this).formerOwner = cellOf(this).owner();
    part(this).logLengthBefore = cellOf(this).log.length;
    for (const name of parseFaultNames(text)) {
        const endFault = shardFaults[name]?.(cellOf(this));
        assert.ok(endFault !== undefined);
        part(this).endFaults.push(endFault);
    }
});

When(
    "the capacity of a worker shrinks to an eighth, and its entry expires after {int} ms",
    function(this: ScenarioWorld, lapsesMs: number) {
        const cell = cellOf(this);
        const [workerId = ""] = cell.workers.workerIds();
        cell.resize([workerId], 1 / 8);
        cell.clock.setTimer(lapsesMs, () => cell.removeWorkerEntry(workerId));
    },
);

When("the workers are listed again", function(this: ScenarioWorld) {
    cellOf(this).writeWorkerEntries();
});

When(
    "the owner and {int} workers are cut off from all others, and its VM is suspended for {int} ms",
    function(this: ScenarioWorld, count: number, suspendedMs: number) {
        const cell = cellOf(this);
        const owner = cell.owner() ?? assert.fail("no daemon owns the shard");
        const workerIds = cell.workers.workerIds();
        for (const memberId of cell.memberIds()) {
            cell.cutFromWorkers(memberId, memberId === owner ? workerIds.slice(count) : workerIds.slice(0, count));
        }
        cell.cut(owner, ["peers", "store"]);
        if (suspendedMs > 0) {
            cell.suspend(owner, suspendedMs);
        }
        part(this).endFaults.push(() => cell.memberIds().forEach(cell.restoreLinks));
    },
);

When("the fault goes", function(this: ScenarioWorld) {
    for (const endFault of part(this).endFaults.splice(0)) {
        endFault();
    }
});

When("random faults come for {int} ms while jobs are submitted", async function(this: ScenarioWorld, forMs: number) {
    const cell = cellOf(this);
    const { seed, jobs } = part(this);
    await runRandomFaults(cell, { seed, forMs, onJob: jobId => jobs.push(jobId) });
});

When(
    "random faults come for {int} ms while jobs that mostly wait for room are submitted",
    async function(this: ScenarioWorld, forMs: number) {
        const cell = cellOf(this);
        const { seed, jobs } = part(this);
        await runRandomFaults(cell, { seed, forMs, onJob: jobId => jobs.push(jobId), shapes: crowdedShapes });
    },
);

When("three owners are cut off, each soon after its claim", async function(this: ScenarioWorld) {
    const cell = cellOf(this);
    for (let count = 0; count < 3; count += 1) {
        const endFault = shardFaults["owner cut from its peers, the store, workers"]?.(cell);
        const before = cell.owner();
        const others = cell.memberIds().filter(memberId => memberId !== before);
        assert.ok(await cell.until(() => others.some(memberId => cell.member(memberId)?.ownsShard() === true), 8_000));
        endFault?.();
        await cell.clock.advance(500);
    }
});

When("the store is slow and serves only the owner and one other daemon", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const others = cell.memberIds().filter(memberId => memberId !== cell.owner());
    cell.store.setFault("slow");
    for (const memberId of others.slice(1)) {
        cell.store.setFault("refuse", memberId);
    }
    part(this).endFaults.push(() => {
        cell.store.setFault("none");
        for (const memberId of others) {
            cell.store.setFault("none", memberId);
        }
    });
});
