/** Steps about calls that were sent to a worker before it started again under its ID, and that its next incarnation carries out. */

import { Given, When } from "@cucumber/cucumber";
import { jobIdOf, lateOrderDelayMs, readSteps, type ShardCell, testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { cellOf, startCell } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

/** By then the owner has given the lost look up and has found the next incarnation. */
const foundAfterMs = 700;
/** Later than the end of any scenario. */
const neverMs = 600_000;
const stopGraceMs = 3_000;

const ownerOf = (cell: ShardCell): string => cell.owner() ?? assert.fail("no daemon owns the shard");

const firstWorkerOf = (cell: ShardCell): string => cell.workers.workerIds()[0] ?? assert.fail("there is no worker");

const until = async (cell: ShardCell, holds: () => boolean): Promise<void> => {
    for (let waitedMs = 0; waitedMs < 3_000 && !holds(); waitedMs += 1) {
        await cell.clock.advance(1);
    }
    assert.ok(holds(), "it did not come to that");
};

const cutFrom = (cell: ShardCell, members: readonly string[], workerId: string): void =>
    members.forEach(memberId => cell.cutFromWorkers(memberId, [workerId]));

/** Changes of the daemons that reach a worker. */
const changes: Readonly<Record<string, (cell: ShardCell, workerId: string) => void>> = {
    "no daemon reaches it": (cell, workerId) => cutFrom(cell, cell.memberIds(), workerId),
    "only the owner reaches it, which is told to stop": (cell, workerId) => {
        const owner = ownerOf(cell);
        cutFrom(cell, cell.memberIds().filter(memberId => memberId !== owner), workerId);
        void cell.stop(owner, stopGraceMs);
    },
    "only the owner reaches it, which is killed": (cell, workerId) => {
        const owner = ownerOf(cell);
        cutFrom(cell, cell.memberIds().filter(memberId => memberId !== owner), workerId);
        cell.kill(owner);
    },
};

const change = (cell: ShardCell, what: string, workerId: string): void =>
    (changes[what] ?? assert.fail(`"${what}" is not known`))(cell, workerId);

/** Loses the next look at a worker, and crashes the worker then; the late look reaches the next incarnation. */
const crashAfterLostLook = async (cell: ShardCell, workerId: string, lateMs: number): Promise<void> => {
    let isLost = false;
    cell.workers.setLateLooks({
        isLost: target => {
            const losesThis = target === workerId && !isLost;
            isLost ||= losesThis;
            return losesThis;
        },
        lateMs: () => lateMs,
    });
    await until(cell, () => isLost);
    cell.workers.setLateLooks(undefined);
    cell.crashWorkers([workerId]);
};

When(
    "a worker starts again, and its next incarnation carries out a look that is {int} ms late",
    async function(this: ScenarioWorld, lateMs: number) {
        const cell = cellOf(this);
        await crashAfterLostLook(cell, firstWorkerOf(cell), lateMs);
        await cell.clock.advance(foundAfterMs);
        cell.writeWorkerEntries();
    },
);

When(
    "a worker starts again, and starts of {string} reach it before the owner finds out",
    async function(this: ScenarioWorld, steps: string) {
        const cell = cellOf(this);
        const workerId = firstWorkerOf(cell);
        await crashAfterLostLook(cell, workerId, neverMs);
        await until(cell, () => cell.workers.entryOf(workerId) !== undefined);
        cell.submit(jobIdOf(1), readSteps(steps));
        await until(cell, () => cell.workers.heldOn(workerId).cpuMillis > 0);
        assert.ok(cell.log.every(({ event }) => event !== "workerRestarted"), "the owner has found out");
    },
);

When("{int} ms later {string}", async function(this: ScenarioWorld, afterMs: number, what: string) {
    const cell = cellOf(this);
    const workerId = firstWorkerOf(cell);
    await cell.clock.advance(afterMs);
    assert.ok(cell.workers.heldOn(workerId).cpuMillis > 0, "nothing runs there");
    change(cell, what, workerId);
});

Given(
    "a cell of {int} daemons and {int} workers that start again under their IDs {int} ms after a crash, with no advice",
    async function(this: ScenarioWorld, members: number, workers: number, crashedDownMs: number) {
        const queues = [{ ...testQueue, advice: undefined }];
        await startCell(this, { members, workers, seed: 1, keepsIds: true, crashedDownMs, queues });
    },
);

When(
    "a worker starts again before it has carried out its start of {string}, and {string}",
    async function(this: ScenarioWorld, steps: string, what: string) {
        const cell = cellOf(this);
        const workerId = firstWorkerOf(cell);
        cell.workers.setFault(workerId, "late");
        cell.submit(jobIdOf(1), readSteps(steps));
        await until(cell, () => cell.workers.evidence.length > 0);
        cell.crashWorkers([workerId]);
        change(cell, what, workerId);
        await until(cell, () => cell.workers.entryOf(workerId) !== undefined);
        cell.workers.setFault(workerId, "none");
        await cell.clock.advance(lateOrderDelayMs);
        assert.ok(cell.workers.heldOn(workerId).cpuMillis > 0, "nothing runs there");
    },
);
