/** Steps on the admission of jobs: its decisions, and what callers get from a shard with more load than it can serve. */

import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import { createFakeClock, jobIdOf, noopMeter, readSteps, testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    type AdmissionJob,
    type AdmissionRefusal,
    type Backlog,
    type BacklogWork,
    createLocalRefusals,
    createOwnerShedding,
    decideAdmission,
    die,
    type ErrorKind,
    type JobSubmission,
    kindOf,
} from "puffinarch";
import { partOf, type ScenarioWorld } from "./support.js";

interface AdmissionPart {
    backlog: Backlog | undefined;
    refusal: AdmissionRefusal | undefined;
    /** What was shed, and what the table of the scenario lists. */
    shed: { readonly seen: readonly string[]; readonly listed: readonly string[]; };
    outcome: string;
}

const part = (world: ScenarioWorld): AdmissionPart =>
    partOf(world, "admission", () => ({
        backlog: undefined,
        refusal: undefined,
        shed: { seen: [], listed: [] },
        outcome: "",
    }));

const decidedJobs: Readonly<Record<string, Partial<AdmissionJob>>> = {
    urgent: { priority: 0, criticalPathMs: 800, coreMs: 2_400, objectiveMs: 1_450 },
    "urgent, cap 10": { priority: 0, criticalPathMs: 800, coreMs: 2_400, objectiveMs: 1_450, capCores: 10 },
    batch: { priority: 2, criticalPathMs: 3_400, coreMs: 85_000, objectiveMs: 24_000 },
    "long-running": { priority: 2, criticalPathMs: 0, coreMs: 0, objectiveMs: Infinity },
};

/** Reads a text such as "2 south/10 90 held 20", where "south+" has jobs beyond its share. */
const readWork = (text: string): BacklogWork => {
    const [priority, organisation = "", cores, , heldCores = "0"] = text.trim().split(" ");
    const [name = "", cap] = organisation.split("/");
    return {
        priority: Number(priority),
        organisation: name.replace("+", ""),
        weight: 1,
        capCores: cap === undefined ? Infinity : Number(cap),
        beyondShare: name.endsWith("+"),
        coreMs: 1_000 * Number(cores),
        heldCores: Number(heldCores),
        heldCoreMs: Number(heldCores) === 0 ? 0 : 1_000 * Number(cores),
    };
};

Given(
    "accepted work {string} for {int} cores, of which {int} are free, with the order {string}",
    function(this: ScenarioWorld, work: string, capacityCores: number, freeCores: number, order: string) {
        part(this).backlog = work === "unknown" ? undefined : {
            capacityCores,
            freeCores,
            work: work.split(";").filter(each => each.trim() !== "").map(readWork),
            placesBeyondShareLast: order === "shares",
            sharesCapacity: order === "heldRoom",
        };
    },
);

When(
    /^the admission of a job that is "(.*)" is decided, while submissions (none|from \d) are shed$/,
    function(this: ScenarioWorld, kind: string, shed: string) {
        const job = {
            jobId: "5c0e7a21d94b36f8",
            priority: 0,
            organisation: "north",
            weight: 1,
            capCores: Infinity,
            beyondShare: false,
            criticalPathMs: 0,
            coreMs: 0,
            objectiveMs: Infinity,
            ...decidedJobs[kind],
        };
        const shedding = shed === "none"
            ? undefined
            : { fromPriority: Number(shed.split(" ")[1]), retryAfterMs: 1_000 };
        part(this).refusal = decideAdmission(job, part(this).backlog, { lagMs: 0, inProgress: 0, shedding });
    },
);

Then("the decision is {string}", function(this: ScenarioWorld, expected: string) {
    const { refusal } = part(this);
    const [reason, least, most] = expected.split(/, | to | ms/);
    assert.equal(refusal?.reason ?? "accepted", reason);
    if (refusal !== undefined) {
        assert.ok(refusal.retryAfterMs >= Number(least), `retry after ${refusal.retryAfterMs} ms`);
        assert.ok(refusal.retryAfterMs <= Number(most), `retry after ${refusal.retryAfterMs} ms`);
    }
});

When(
    "the ticks of an owner with queues of the priorities 0, 1 and 2 are late by these times, in ms:",
    async function(this: ScenarioWorld, table: DataTable) {
        const clock = createFakeClock();
        const shedding = createOwnerShedding({
            clock,
            priorities: () => [0, 1, 2],
            inProgress: () => 10,
            retryAfterMs: 1_000,
        });
        const rows = table.hashes();
        const seen: string[] = [];
        for (const { times, late } of rows) {
            for (let tick = 0; tick < Number(times); tick += 1) {
                await clock.advance(100);
                shedding.recordTick(Number(late));
            }
            seen.push(shedding.current()?.fromPriority.toFixed(1) ?? "none");
        }
        part(this).shed = { seen, listed: rows.map(row => row["shed from"] ?? "") };
    },
);

Then("the submissions were shed as listed", function(this: ScenarioWorld) {
    const { seen, listed } = part(this).shed;
    assert.deepEqual(seen, listed);
});

const submission: JobSubmission = {
    jobId: jobIdOf(1),
    queueKey: testQueue.key,
    dataCentre: "leon-feria",
    payload: "plan",
    steps: readSteps("1"),
    schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
};

When(
    /^a daemon hears from the owner that it sheds (.*), and gets a submission of priority 2 after (\d+) ms$/,
    async function(this: ScenarioWorld, field: string, afterMs: string) {
        const clock = createFakeClock();
        const refusals = createLocalRefusals({ clock, meter: noopMeter, priorityOf: () => 2 });
        refusals.onOwnerAnswer(JSON.parse(field));
        await clock.advance(Number(afterMs));
        part(this).outcome = await refusals.run(submission, async () => {}).then(() => "accepted", kindOf);
    },
);

Then("the submission is {string} there", function(this: ScenarioWorld, outcome: string) {
    assert.equal(part(this).outcome, outcome);
});

When(
    "a submission ends as {string} at a daemon that then hears that the owner sheds it",
    async function(this: ScenarioWorld, first: string) {
        const refusals = createLocalRefusals({ clock: createFakeClock(), meter: noopMeter, priorityOf: () => 2 });
        const ends: Readonly<Record<string, () => Promise<void>>> = {
            accepted: async () => {},
            unanswered: () => new Promise(() => {}),
        };
        const attempt = refusals.run(submission, ends[first] ?? (async () => die(first as ErrorKind, "no")));
        await (first === "unanswered" ? undefined : attempt.catch(() => {}));
        refusals.onOwnerAnswer({ fromPriority: 0, retryAfterMs: 1_000 });
        part(this).outcome = await refusals.run(submission, async () => {}).then(() => "accepted", kindOf);
    },
);

Then("a submission of the same ID is {string} there", function(this: ScenarioWorld, second: string) {
    assert.equal(part(this).outcome, second);
});
