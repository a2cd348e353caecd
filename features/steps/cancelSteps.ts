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
    /** The answers to all calls. */
    readonly answers: Answer[];
    /** The newest batch of the owner before the newest cancels. */
    batchBefore: string;
    /** Organisation of the job that is cancelled before its submission; empty for none. */
    organisation: string;
}

const part = (world: ScenarioWorld): CancelPart =>
    partOf(world, "cancels", () => ({ answer: undefined, answers: [], batchBefore: "", organisation: "" }));

const callerTimeoutMs = 2_500;
const submittedJobId = jobIdOf(9_201);
const unknownJobId = jobIdOf(9_202);

const earlyJobId = jobIdOf(9_203);

/** What each call returns: whether the job is known. */
const calls: Readonly<
    Record<Call, (cell: ShardCell, memberId: string, jobId: string, organisation: string) => Promise<boolean>>
> = {
    cancel: async (cell, memberId, jobId, organisation) => {
        const reference = { queueKey: testQueue.key, jobId, organisation };
        return await cell.member(memberId)?.cancel(reference, callerTimeoutMs) === true;
    },
    read: async (cell, memberId, jobId, organisation) => {
        const reference = { queueKey: testQueue.key, jobId, organisation };
        return await cell.member(memberId)?.jobState(reference, callerTimeoutMs) !== undefined;
    },
};

/** Sends a call through a daemon, without waiting for its answer. */
const send = (world: ScenarioWorld, call: Call, memberId: string, jobId: string, organisation = ""): void => {
    const cell = cellOf(world);
    const sentAtMs = cell.clock.monotonicMs();
    const record = (outcome: Answer["outcome"]): void => {
        const answer = { outcome, afterMs: cell.clock.monotonicMs() - sentAtMs };
        part(world).answer = answer;
        part(world).answers.push(answer);
    };
    calls[call](cell, memberId, jobId, organisation).then(
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
    assert.equal(outcome.kind, "unavailable");
});

const cancelEarly = async (world: ScenarioWorld, organisation: string): Promise<void> => {
    send(world, "cancel", cellOf(world).owner() ?? "", earlyJobId, organisation);
    assert.equal((await answerWithin(world, 20))?.outcome, "unknown");
};

When("a job that was not submitted is cancelled", async function(this: ScenarioWorld) {
    await cancelEarly(this, "");
});

When(
    "a job of {string} that was not submitted is cancelled by a caller of {string}",
    async function(this: ScenarioWorld, organisation: string, caller: string) {
        part(this).organisation = organisation;
        await cancelEarly(this, caller);
    },
);

When("that job is submitted", function(this: ScenarioWorld) {
    const { organisation } = part(this);
    if (organisation === "") {
        cellOf(this).submit(earlyJobId, readSteps("2"));
    }
    else {
        cellOf(this).submitFor(organisation, earlyJobId, readSteps("2"));
    }
});

When("the owner is sent a read of that job", function(this: ScenarioWorld) {
    send(this, "read", cellOf(this).owner() ?? "", earlyJobId);
});

const startsOf = (cell: ShardCell, jobId: string): number =>
    cell.workers.evidence.filter(({ taskName }) => taskName.startsWith(`${jobId}.`)).length;

Then(
    "it is accepted within {int} ms, never starts, and is shown as cancelled",
    async function(this: ScenarioWorld, limitMs: number) {
        const cell = cellOf(this);
        assert.ok(await cell.until(() => cell.answers().get(earlyJobId) === "accepted", limitMs), "not accepted");
        await cell.clock.advance(3_000);
        assert.equal(startsOf(cell, earlyJobId), 0);
        assert.equal((await cell.statesOf([earlyJobId])).get(earlyJobId), "cancelled");
    },
);

Then("it is accepted within {int} ms, and its tasks run", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    assert.ok(await cell.until(() => cell.answers().get(earlyJobId) === "accepted", limitMs), "not accepted");
    assert.ok(await cell.until(() => startsOf(cell, earlyJobId) === 2, limitMs), "its tasks do not run");
});

When(
    "2 jobs are submitted, and the second is cancelled {int} ms later",
    async function(this: ScenarioWorld, afterMs: number) {
        const cell = cellOf(this);
        const owner = cell.owner();
        // The batch that holds the first job is in flight, so that no batch holds the second one yet.
        cell.submitOnce(submittedJobId, readSteps("1"), owner);
        await cell.clock.advance(10);
        cell.submitOnce(earlyJobId, readSteps("1"), owner);
        await cell.clock.advance(afterMs);
        send(this, "cancel", owner ?? "", earlyJobId);
    },
);

Then(
    "the cancel is answered within {int} ms, and the job never starts",
    async function(this: ScenarioWorld, limitMs: number) {
        assert.equal((await answerWithin(this, limitMs))?.outcome, "known");
        await cellOf(this).clock.advance(3_000);
        assert.equal(startsOf(cellOf(this), earlyJobId), 0);
    },
);

When("{int} jobs that were not submitted are cancelled at once", function(this: ScenarioWorld, count: number) {
    for (let number = 1; number <= count; number += 1) {
        send(this, "cancel", cellOf(this).owner() ?? "", jobIdOf(20_000 + number));
    }
});

Then(
    "at least {int} cancels are answered within {int} ms, and the others are refused with a time to try again",
    async function(this: ScenarioWorld, least: number, limitMs: number) {
        await cellOf(this).clock.advance(limitMs);
        const { answers } = part(this);
        const refusals = answers.map(({ outcome }) => outcome).filter(outcome => typeof outcome === "object");
        assert.equal(answers.length, 200);
        assert.ok(answers.length - refusals.length >= least, `${refusals.length} were refused`);
        assert.ok(refusals.length > 0);
        assert.deepEqual(
            refusals.filter(({ kind, retryAfterMs = 0 }) => kind !== "overloaded" || retryAfterMs <= 0),
            [],
        );
    },
);

When("a job that was not submitted is cancelled, submitted and cancelled again", async function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const owner = cell.owner() ?? "";
    send(this, "cancel", owner, earlyJobId);
    await cell.clock.advance(20);
    cell.submitOnce(earlyJobId, readSteps("1"), owner);
    await cell.clock.advance(20);
    send(this, "cancel", owner, earlyJobId);
});

Then("no cancel is answered within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    await cellOf(this).clock.advance(limitMs);
    assert.deepEqual(part(this).answers, []);
});

/** The sequence row names the newest batch that the owner has written. */
const newestBatch = (cell: ShardCell): string =>
    cell.store.rows("puffinarch-journal").find(({ key }) => key === "sequence")?.value ?? "";

When(
    "the owner is sent {int} cancels of that job, {int} ms apart",
    async function(this: ScenarioWorld, count: number, apartMs: number) {
        const cell = cellOf(this);
        part(this).batchBefore = newestBatch(cell);
        for (let sent = 0; sent < count; sent += 1) {
            send(this, "cancel", cell.owner() ?? "", shardPart(this).jobs[0] ?? "");
            await cell.clock.advance(apartMs);
        }
    },
);

const requireAnswered = async (world: ScenarioWorld, count: number, limitMs: number): Promise<void> => {
    await cellOf(world).clock.advance(limitMs);
    assert.deepEqual(part(world).answers.map(({ outcome }) => outcome), Array.from({ length: count }, () => "known"));
};

Then(
    "{int} cancels were answered within {int} ms",
    async function(this: ScenarioWorld, count: number, limitMs: number) {
        await requireAnswered(this, count, limitMs);
    },
);

Then(
    "{int} cancels were answered within {int} ms, and the last 20 caused no commit",
    async function(this: ScenarioWorld, count: number, limitMs: number) {
        await requireAnswered(this, count, limitMs);
        assert.equal(newestBatch(cellOf(this)), part(this).batchBefore);
    },
);

Then("the owner has cancelled the job once", function(this: ScenarioWorld) {
    assert.equal(cellOf(this).log.filter(({ event }) => event === "jobCancelled").length, 1);
});
