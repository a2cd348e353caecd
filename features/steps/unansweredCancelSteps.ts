/** Steps about reads and cancels of jobs while the shard has no owner, or an overloaded one. */

import { Given, Then, When } from "@cucumber/cucumber";
import { createShardCell, jobIdOf, readSteps, type ShardCell, testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { type CellMember, kindOf, sleep } from "puffinarch";
import { cellOf, part } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

/** Longest time that a call may take, as callers of the users' platform allow. */
const patienceMs = 2_900;

/** Time in which a daemon claims the shard. */
const claimMs = 2_000;

/** Pause of a caller before it sends a cancel again. */
const retryPauseMs = 300;

/** A cancel that a caller repeats until it is answered. */
interface RepeatedCancel {
    readonly sentAtMs: number;
    answeredAtMs?: number;
}

const repeatedCancels = (world: ScenarioWorld): RepeatedCancel[] =>
    partOf(world, "repeatedCancels", (): RepeatedCancel[] => []);

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

Given(
    "a cell of {int} daemons and {int} workers, where each call of a peer costs a daemon {float} ms",
    async function(this: ScenarioWorld, members: number, workers: number, callMs: number) {
        const costs = { firstLookMs: 1, lookMs: 0.2, callMs, startMs: 0.2 };
        part(this).cell = createShardCell({ members, workers, seed: 1, costs });
        await cellOf(this).clock.advance(claimMs);
    },
);

/** Cancels a job once it is accepted, through one daemon after another until one answers. */
const cancelOnceAccepted = async (world: ScenarioWorld, jobId: string): Promise<void> => {
    const cell = cellOf(world);
    while (cell.answers().get(jobId) !== "accepted") {
        await sleep(cell.clock, retryPauseMs);
    }
    const cancel: RepeatedCancel = { sentAtMs: cell.clock.monotonicMs() };
    const earlierCancels = repeatedCancels(world).length;
    repeatedCancels(world).push(cancel);
    for (let attempt = earlierCancels; cancel.answeredAtMs === undefined; attempt += 1) {
        const daemons = runningDaemons(cell);
        try {
            await daemons[attempt % daemons.length]?.cancel({ queueKey: testQueue.key, jobId }, patienceMs);
            cancel.answeredAtMs = cell.clock.monotonicMs();
        }
        catch {
            await sleep(cell.clock, retryPauseMs);
        }
    }
};

When(
    "{int} jobs of steps {string} are submitted every {int} ms for {int} ms, and every second one is cancelled once it is accepted",
    async function(this: ScenarioWorld, count: number, steps: string, everyMs: number, forMs: number) {
        const cell = cellOf(this);
        const { jobs } = part(this);
        for (let passedMs = 0; passedMs < forMs; passedMs += everyMs) {
            for (let submitted = 0; submitted < count; submitted += 1) {
                const jobId = jobIdOf(jobs.length + 1);
                jobs.push(jobId);
                cell.submit(jobId, readSteps(steps));
                if (jobs.length % 2 === 0) {
                    void cancelOnceAccepted(this, jobId);
                }
            }
            await cell.clock.advance(everyMs);
        }
    },
);

Then(
    "at least {int} percent of the cancels were answered within {int} ms",
    function(this: ScenarioWorld, percent: number, limitMs: number) {
        const nowMs = cellOf(this).clock.monotonicMs();
        const waits = repeatedCancels(this).map(({ sentAtMs, answeredAtMs = nowMs }) => answeredAtMs - sentAtMs);
        const late = waits.filter(waitMs => waitMs > limitMs).length;
        assert.ok(waits.length > 0, "no job was cancelled");
        assert.ok(
            100 * (waits.length - late) >= percent * waits.length,
            `${late} of ${waits.length} cancels waited for more than ${limitMs} ms, the longest for ${
                Math.round(Math.max(...waits))
            } ms`,
        );
    },
);
