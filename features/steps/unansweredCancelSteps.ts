/** Steps about reads and cancels of jobs while the shard has no owner. */

import { Then, When } from "@cucumber/cucumber";
import { jobIdOf, type ShardCell, testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { type CellMember, kindOf } from "puffinarch";
import { cellOf, part } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

/** Longest time that a call may take, as callers of the users' platform allow. */
const patienceMs = 2_900;

const runningDaemons = (cell: ShardCell): readonly CellMember[] =>
    cell.memberIds().filter(memberId => cell.isRunning(memberId)).flatMap(memberId => cell.member(memberId) ?? []);

Then(
    "every daemon answers a read and a cancel of the job with {string}",
    async function(this: ScenarioWorld, kind: string) {
        const cell = cellOf(this);
        const job = { queueKey: testQueue.key, jobId: part(this).jobs[0] ?? "" };
        const answers = runningDaemons(cell).flatMap(daemon => [
            daemon.jobState(job, patienceMs).then(status => String(status?.state), kindOf),
            daemon.cancel(job, patienceMs).then(String, kindOf),
        ]);
        await cell.clock.advance(patienceMs);
        assert.ok(answers.length > 0);
        assert.deepEqual(new Set(await Promise.all(answers)), new Set([kind]));
    },
);

When(
    "each job is cancelled once, {int} ms apart, through one daemon after another",
    async function(this: ScenarioWorld, apartMs: number) {
        const cell = cellOf(this);
        const daemons = runningDaemons(cell);
        for (const [index, jobId] of part(this).jobs.entries()) {
            void daemons[index % daemons.length]?.cancel({ queueKey: testQueue.key, jobId }, patienceMs).catch(
                () => {},
            );
            await cell.clock.advance(apartMs);
        }
    },
);

When(
    "one daemon gets cancels of {int} jobs that nobody has submitted",
    function(this: ScenarioWorld, count: number) {
        const [daemon] = runningDaemons(cellOf(this));
        for (let number = 1; number <= count; number += 1) {
            daemon?.cancel({ queueKey: testQueue.key, jobId: jobIdOf(number) }, patienceMs).catch(() => {});
        }
    },
);

const pendingCancelEnds = (cell: ShardCell): readonly unknown[] =>
    cell.log.filter(({ event }) => event === "pendingCancelEnded").map(({ fields }) => fields["outcome"]);

Then("the log has pending cancels, all of which ended with {string}", function(this: ScenarioWorld, outcome: string) {
    assert.deepEqual(new Set(pendingCancelEnds(cellOf(this))), new Set([outcome]));
});

Then(
    "the log has {int} pending cancels that ended with {string}",
    function(this: ScenarioWorld, count: number, outcome: string) {
        assert.equal(pendingCancelEnds(cellOf(this)).filter(each => each === outcome).length, count);
    },
);
