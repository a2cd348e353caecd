/** Steps on what callers get from an owner whose processor time is charged, by the share of it that they ask for. */

import { Then, When } from "@cucumber/cucumber";
import { jobIdOf, readSteps, testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { createProcessorShare, failureOf } from "puffinarch";
import { cellOf, completionTimes } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

/** A job of a caller that submits it once. */
interface OfferedJob {
    readonly sentAtMs: number;
    /** Kind of the error where it was not accepted; undefined before the answer. */
    answer: { readonly kind: string; readonly afterMs: number; } | undefined;
}

interface OwnerLoadPart {
    readonly offered: Map<string, OfferedJob>;
    /** When the newest phase of the load began. */
    phaseAtMs: number;
}

const part = (world: ScenarioWorld): OwnerLoadPart =>
    partOf(world, "ownerLoad", () => ({ offered: new Map(), phaseAtMs: 0 }));

const tasksPerJob = 5;
const steps = readSteps(`${tasksPerJob}`);
const objectiveMs = testQueue.stretch * (steps[0]?.estimateMs ?? 0) + testQueue.targetRuntimeMs;
/** How long a caller waits for the answer to its submission. */
const callerTimeoutMs = 3_000;
const stepMs = 10;

const offerJob = async (world: ScenarioWorld): Promise<void> => {
    const cell = cellOf(world);
    const { offered } = part(world);
    const jobId = jobIdOf(offered.size + 1);
    const sentAtMs = cell.clock.monotonicMs();
    const job: OfferedJob = { sentAtMs, answer: undefined };
    const ids = cell.memberIds();
    const memberId = ids[offered.size % ids.length] ?? "";
    offered.set(jobId, job);
    const submission = cell.submissionFor(jobId, steps, "");
    const kind = await cell.ask(memberId, member => member.submit(submission, callerTimeoutMs))
        .then(() => "accepted", (error: unknown) => failureOf(error).kind);
    job.answer = { kind, afterMs: cell.clock.monotonicMs() - sentAtMs };
};

When(
    "callers ask for {float} of the owner's processor time, at {float} ms a task, for {int} ms",
    async function(this: ScenarioWorld, share: number, taskMs: number, forMs: number) {
        const cell = cellOf(this);
        part(this).phaseAtMs = cell.clock.monotonicMs();
        let due = 0;
        for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
            for (due += share * stepMs / taskMs; due >= tasksPerJob; due -= tasksPerJob) {
                void offerJob(this);
            }
            await cell.clock.advance(stepMs);
        }
    },
);

When("the callers wait for their jobs", async function(this: ScenarioWorld) {
    await cellOf(this).clock.advance(callerTimeoutMs + objectiveMs);
});

/** The IDs of the jobs whose tasks have all ended within the objective of the job. */
const inTime = (world: ScenarioWorld): ReadonlySet<string> => {
    const { offered } = part(world);
    const completedAtMs = completionTimes(cellOf(world));
    const served = [...offered].filter(([jobId, { sentAtMs }]) =>
        completedAtMs(jobId, tasksPerJob) - sentAtMs <= objectiveMs
    );
    return new Set(served.map(([jobId]) => jobId));
};

Then(
    "at least {int} percent of the jobs that were sent from {int} ms after the burst on are in time",
    function(this: ScenarioWorld, least: number, afterMs: number) {
        const { offered, phaseAtMs } = part(this);
        const late = [...offered].filter(([, { sentAtMs }]) => sentAtMs >= phaseAtMs + afterMs);
        assert.ok(late.length > 0, "none was sent");
        const served = inTime(this);
        const percent = Math.floor(100 * late.filter(([jobId]) => served.has(jobId)).length / late.length);
        assert.ok(percent >= least, `${percent} percent are in time`);
    },
);

const accepted = (world: ScenarioWorld): readonly string[] =>
    [...part(world).offered].filter(([, { answer }]) => answer?.kind === "accepted").map(([jobId]) => jobId);

Then("at least {int} percent of the accepted jobs are in time", function(this: ScenarioWorld, least: number) {
    const served = inTime(this);
    const jobIds = accepted(this);
    assert.ok(jobIds.length > 0, "none was accepted");
    const percent = Math.floor(100 * jobIds.filter(jobId => served.has(jobId)).length / jobIds.length);
    assert.ok(percent >= least, `${percent} percent are in time`);
});

Then("at least {int} percent of the jobs are accepted", function(this: ScenarioWorld, least: number) {
    const percent = Math.floor(100 * accepted(this).length / part(this).offered.size);
    assert.ok(percent >= least, `${percent} percent are accepted`);
});

Then("the other jobs are refused within {int} ms", function(this: ScenarioWorld, limitMs: number) {
    const others = [...part(this).offered.values()].filter(({ answer }) => answer?.kind !== "accepted");
    const late = others.filter(({ answer }) => answer?.kind !== "overloaded" || answer.afterMs > limitMs);
    const kinds = new Map<string, number>();
    for (const { answer } of late) {
        const kind = answer?.kind ?? "no answer";
        kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
    }
    assert.deepEqual([...kinds], [], `${late.length} of ${others.length} are not refused in time`);
});

const sampledActiveMs = 100;

When(
    "a process on a VM with {float} of a core gets these shares of the processor while it has work: {string}",
    function(this: ScenarioWorld, configuredShare: number, shares: string) {
        const times = { usedMs: 0, activeMs: 0 };
        const share = createProcessorShare(() => ({ ...times }), configuredShare);
        for (const phase of shares.split(", ")) {
            const [value, samples] = phase.split(" x ").map(Number);
            for (let sample = 0; sample < (samples ?? 0); sample += 1) {
                times.activeMs += sampledActiveMs;
                times.usedMs += (value ?? 0) * sampledActiveMs;
                share.sample();
            }
        }
        partOf(this, "processorShare", () => ({ isSlow: share.isSlow() }));
    },
);

Then(/^its VM counts as (slow|sound)$/, function(this: ScenarioWorld, expected: string) {
    const { isSlow } = partOf(this, "processorShare", () => assert.fail("no share was sampled"));
    assert.equal(isSlow ? "slow" : "sound", expected);
});
