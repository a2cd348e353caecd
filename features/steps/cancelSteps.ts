/** Steps that cancel and read jobs which the asked owner does not know, and check its answers. */

import { Then, When } from "@cucumber/cucumber";
import { jobIdOf, readSteps, type ShardCell, testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { type Failure, failureOf } from "puffinarch";
import { cellOf, part as shardPart } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

type Call = "cancel" | "read";

interface Answer {
    /** Whether the job was known, or the failure of the call. */
    readonly outcome: "known" | "unknown" | Failure;
    readonly afterMs: number;
}

interface CancelPart {
    /** The answer to the newest call; undefined before. */
    answer: Answer | undefined;
}

const part = (world: ScenarioWorld): CancelPart => partOf(world, "cancels", () => ({ answer: undefined }));

const callerTimeoutMs = 2_500;
const submittedJobId = jobIdOf(9_201);
const unknownJobId = jobIdOf(9_202);

/** What each call returns: whether the job is known. */
const calls: Readonly<Record<Call, (cell: ShardCell, memberId: string, jobId: string) => Promise<boolean>>> = {
    cancel: async (cell, memberId, jobId) =>
        await cell.member(memberId)?.cancel({ queueKey: testQueue.key, jobId }, callerTimeoutMs) === true,
    read: async (cell, memberId, jobId) =>
        await cell.member(memberId)?.jobState({ queueKey: testQueue.key, jobId }, callerTimeoutMs) !== undefined,
};

/** Sends a call through a daemon, without waiting for its answer. */
const send = (world: ScenarioWorld, call: Call, memberId: string, jobId: string): void => {
    const cell = cellOf(world);
    const sentAtMs = cell.clock.monotonicMs();
    const record = (outcome: Answer["outcome"]): void => {
        part(world).answer = { outcome, afterMs: cell.clock.monotonicMs() - sentAtMs };
    };
    calls[call](cell, memberId, jobId).then(
        known => record(known ? "known" : "unknown"),
        (error: unknown) => record(failureOf(error)),
    );
};

const answerWithin = async (world: ScenarioWorld, limitMs: number): Promise<Answer | undefined> => {
    await cellOf(world).clock.advance(limitMs);
    return part(world).answer;
};

When(
    "the next owner has accepted a job, and the former one is sent a {word} of it",
    async function(this: ScenarioWorld, call: Call) {
        const cell = cellOf(this);
        const formerOwner = shardPart(this).formerOwner ?? "";
        const successor = (): string | undefined =>
            cell.memberIds().find(memberId => memberId !== formerOwner && cell.member(memberId)?.ownsShard() === true);
        assert.ok(await cell.until(() => successor() !== undefined, 2_000), "nobody has claimed the shard");
        cell.submitOnce(submittedJobId, readSteps("1 long running"), successor());
        assert.ok(await cell.until(() => cell.answers().get(submittedJobId) === "accepted", 200), "not accepted");
        assert.ok(cell.member(formerOwner)?.ownsShard(), "the former owner has noticed that it was replaced");
        send(this, call, formerOwner, submittedJobId);
    },
);

Then("no answer within {int} ms says that the job is unknown", async function(this: ScenarioWorld, limitMs: number) {
    const answer = await answerWithin(this, limitMs);
    assert.notEqual(answer?.outcome, "unknown", `answered after ${answer?.afterMs} ms`);
});

When("the owner is sent a {word} of an unknown job", function(this: ScenarioWorld, call: Call) {
    send(this, call, cellOf(this).owner() ?? "", unknownJobId);
});

Then("it answers within {int} ms that the job is unknown", async function(this: ScenarioWorld, limitMs: number) {
    assert.equal((await answerWithin(this, limitMs))?.outcome, "unknown");
});

Then("it refuses within {int} ms, with a time to try again", async function(this: ScenarioWorld, limitMs: number) {
    const outcome = (await answerWithin(this, limitMs))?.outcome;
    assert.ok(typeof outcome === "object" && (outcome.retryAfterMs ?? 0) > 0, JSON.stringify(outcome));
});
