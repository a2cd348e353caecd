/** Steps about a change of owner while both owners are alive and nothing is paused. */

import { Given, Then, When } from "@cucumber/cucumber";
import { type ShardCell, type StoreFault, testQueue, type WorkerFault } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { createSeededRandom } from "puffinarch";
import { cellOf, part, startCell } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

/** How long the advisor's answers hold, longer than the shard takes to change its owner. */
const adviceValidMs = 8_000;
/** Rate of a daemon's link on which the rows of 60 jobs take several pages, in bytes per ms. */
const thinLink = 40;

const ownerOf = (cell: ShardCell): string => cell.owner() ?? assert.fail("no daemon owns the shard");

/** The first worker on which something runs. */
const busyWorkerOf = (cell: ShardCell): string =>
    cell.workers.evidence.find(({ endedAtMs }) => endedAtMs === undefined)?.workerId ?? assert.fail("nothing runs");

/** Where the entry of a worker says that it is. */
const wrongAddresses: Readonly<Record<string, (cell: ShardCell, workerId: string) => string>> = {
    "the address of another": (cell, workerId) => {
        const other = cell.workers.workerIds().find(each => each !== workerId) ?? "";
        return cell.workers.entryOf(other)?.address ?? assert.fail("no other worker is up");
    },
    "an address where nobody listens": () => "10.0.9.9:1",
};

const showWrongAddress = (cell: ShardCell, what: string): void => {
    const workerId = busyWorkerOf(cell);
    const addressFor = wrongAddresses[what] ?? assert.fail(`"${what}" is not known`);
    cell.store.put("workers", workerId, { ...cell.workers.entryOf(workerId), address: addressFor(cell, workerId) });
};

Given(
    /^a cell of (\d+) daemons and (\d+) workers whose advisor takes (\d+) ms for a step$/,
    async function(this: ScenarioWorld, members: string, workers: string, decideMs: string) {
        await startCell(this, {
            members: Number(members),
            workers: Number(workers),
            seed: 1,
            ticketsExpire: true,
            queues: [{ ...testQueue, advice: { decideMs: Number(decideMs), eachMs: 0, validMs: adviceValidMs } }],
        });
    },
);

When(
    "the store answers the owner {string} for {int} ms, and then {string}",
    function(this: ScenarioWorld, first: StoreFault, forMs: number, then: StoreFault) {
        const cell = cellOf(this);
        const owner = part(this).formerOwner ?? ownerOf(cell);
        part(this).formerOwner = owner;
        cell.store.setFault(first, owner);
        cell.clock.setTimer(forMs, () => cell.store.setFault(then, owner));
        part(this).endFaults.push(() => cell.store.setFault("none", owner));
    },
);

When("the store answers the other daemons {string}", function(this: ScenarioWorld, fault: StoreFault) {
    const cell = cellOf(this);
    const others = cell.memberIds().filter(memberId => memberId !== (part(this).formerOwner ?? ownerOf(cell)));
    others.forEach(memberId => cell.store.setFault(fault, memberId));
    part(this).endFaults.push(() => others.forEach(memberId => cell.store.setFault("none", memberId)));
});

When("the other daemons are on thin links", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const owner = part(this).formerOwner ?? ownerOf(cell);
    cell.memberIds().filter(memberId => memberId !== owner).forEach(memberId => cell.store.setLink(memberId, thinLink));
});

When("the feeds of the owner go silent", function(this: ScenarioWorld) {
    cellOf(this).store.silenceFeeds(part(this).formerOwner ?? ownerOf(cellOf(this)));
});

When(
    "calls to workers take up to {int} ms, and their answers as long",
    function(this: ScenarioWorld, longestMs: number) {
        const random = createSeededRandom(part(this).seed);
        const draw = (): number => longestMs * random.next();
        cellOf(this).workers.setTransit({ toMs: draw, backMs: draw });
        part(this).endFaults.push(() => cellOf(this).workers.setTransit(undefined));
    },
);

When(
    "orders to {int} workers find no free connection for {int} ms",
    function(this: ScenarioWorld, count: number, forMs: number) {
        const { clock, workers } = cellOf(this);
        const targets = workers.workerIds().slice(0, count);
        const setFault = (fault: WorkerFault): void => targets.forEach(workerId => workers.setFault(workerId, fault));
        setFault("unconnected");
        clock.setTimer(forMs, () => setFault("none"));
    },
);

When("no worker is listed for {int} ms", function(this: ScenarioWorld, forMs: number) {
    const cell = cellOf(this);
    cell.workers.workerIds().forEach(cell.removeWorkerEntry);
    cell.clock.setTimer(forMs, cell.writeWorkerEntries);
});

When("the entry of a busy worker shows {string}", function(this: ScenarioWorld, what: string) {
    const cell = cellOf(this);
    showWrongAddress(cell, what);
    part(this).endFaults.push(cell.writeWorkerEntries);
});

Then("the shard has had another owner", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const { formerOwner = "" } = part(this);
    assert.ok(cell.isRunning(formerOwner));
    assert.ok(cell.log.some(({ event, memberId }) => event === "claimed" && memberId !== formerOwner));
});
