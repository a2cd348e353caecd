/** Steps on the admission of jobs: its decisions, and what callers get from a shard with more load than it can serve. */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type AdmissionJob, type AdmissionRefusal, type Backlog, type BacklogWork, decideAdmission } from "puffinarch";
import { partOf, type ScenarioWorld } from "./support.js";

interface AdmissionPart {
    backlog: Backlog | undefined;
    refusal: AdmissionRefusal | undefined;
}

const part = (world: ScenarioWorld): AdmissionPart =>
    partOf(world, "admission", () => ({ backlog: undefined, refusal: undefined }));

const decidedJobs: Readonly<Record<string, Partial<AdmissionJob>>> = {
    urgent: { priority: 0, criticalPathMs: 800, coreMs: 2_400, objectiveMs: 1_450 },
    "urgent, cap 10": { priority: 0, criticalPathMs: 800, coreMs: 2_400, objectiveMs: 1_450, capCores: 10 },
    batch: { priority: 2, criticalPathMs: 3_400, coreMs: 85_000, objectiveMs: 24_000 },
    "long-running": { priority: 2, criticalPathMs: 0, coreMs: 0, objectiveMs: Infinity },
};

/** Reads a text such as "2 south/10 90", where "south+" has jobs beyond its share. */
const readWork = (text: string): BacklogWork => {
    const [priority, organisation = "", cores] = text.trim().split(" ");
    const [name = "", cap] = organisation.split("/");
    return {
        priority: Number(priority),
        organisation: name.replace("+", ""),
        weight: 1,
        capCores: cap === undefined ? Infinity : Number(cap),
        beyondShare: name.endsWith("+"),
        coreMs: 1_000 * Number(cores),
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
