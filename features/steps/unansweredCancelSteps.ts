/** Steps about reads and cancels of jobs while the shard has no owner. */

import { Then } from "@cucumber/cucumber";
import { type ShardCell, testQueue } from "@puffinarch/stand-ins";
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
