/** Steps on callers that exhaust the memory or the descriptors of one daemon. */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { setTimeout } from "node:timers/promises";
import { startCrowd } from "./crowd.js";
import { callersPort, type CrowdedDaemon, graceS, startCrowdedDaemon, until } from "./crowdDaemon.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    readonly daemon: CrowdedDaemon;
    readonly owner: unknown;
    crowd: ReturnType<typeof startCrowd> | undefined;
    /** Job that was accepted before the crowd came. */
    jobId: string;
}

const part = (world: ScenarioWorld) => partOf<Part>(world, "crowd", () => assert.fail("there is no daemon"));
const crowdOf = (world: ScenarioWorld) => part(world).crowd ?? assert.fail("there is no crowd");

/** So many tries of at most 3 s and their pauses take less than a minute. */
const maxTries = 14;
const retryPauseMs = 1_000;
/** Slack for a busy machine, beyond the time between SIGTERM and SIGKILL. */
const endSlackMs = 10_000;
/** A caller sends its request again after these, and after no answer or a broken connection. */
const retried: readonly number[] = [0, 429, 502, 503, 504];
const refusals: readonly number[] = [400, 408, 413, 429, 503];

const describe = ({ daemon }: Part): string => {
    const { residentBytes, descriptors } = daemon.usage();
    return `process ${daemon.ended() ?? "lives"}, most memory ${residentBytes / 1e6} MB, ${descriptors} descriptors`;
};

const assertLives = ({ daemon }: Part): void => assert.equal(daemon.ended(), undefined, "the process ended by itself");

const assertWithinLimits = (state: Part): void => {
    const { usage, limits: { memoryMb, maxFds } } = state.daemon;
    assertLives(state);
    assert.ok(usage().residentBytes < memoryMb * 1e6 && usage().descriptors < maxFds, describe(state));
};

/** Makes calls as ordinary callers do, which all together may take a limited number of tries. */
const createCaller = (state: Part) => {
    const failures: string[] = [];
    return async (method: string, jobId: string, body?: Readonly<Record<string, unknown>>) => {
        while (failures.length < maxTries) {
            assertLives(state);
            const answer = await state.daemon.call(method, jobId, body);
            if (!retried.includes(answer.status)) {
                return answer;
            }
            failures.push(`${method} ${answer.reason ?? answer.status}`);
            await setTimeout(retryPauseMs);
        }
        assertLives(state);
        return assert.fail(`no answer in ${maxTries} tries (${failures.join(", ")}), ${describe(state)}`);
    };
};

const submit = async (state: Part, workMs: number): Promise<string> => {
    const jobId = randomBytes(8).toString("hex");
    const call = createCaller(state);
    const steps = [{ count: 1, cpu: 500, mem_mb: 256, estimate_ms: workMs }];
    const accepted = await call("POST", jobId, { spec: JSON.stringify({ workMs }), steps });
    const read = await call("GET", jobId);
    assert.deepEqual([accepted.status, read.status], [200, 200]);
    assert.ok(["queued", "running", "completed"].includes(String(read.body?.["state"])), JSON.stringify(read.body));
    return jobId;
};

Given("a daemon of {int} MB and {int} descriptors", async function(this: ScenarioWorld, mb: number, fds: number) {
    const daemon = await startCrowdedDaemon(mb, fds);
    this.closers.push(daemon.stop);
    const owner = await daemon.readOwner() as readonly unknown[];
    assert.equal(owner.length, 1);
    partOf<Part>(this, "crowd", () => ({ daemon, owner, crowd: undefined, jobId: "" }));
});

Given("a job of {int} ms that runs", async function(this: ScenarioWorld, workMs: number) {
    const { daemon } = part(this);
    part(this).jobId = await submit(part(this), workMs);
    await until(() => daemon.events.length > 0);
    assert.deepEqual(daemon.events.map(({ what }) => what), ["start"]);
});

When("{int} callers send {string}", async function(this: ScenarioWorld, callers: number, what: string) {
    const crowd = startCrowd(part(this).daemon.host, callersPort, callers, what);
    part(this).crowd = crowd;
    this.closers.push(crowd.leave);
    await crowd.written;
});

Then("ordinary callers are answered before and after the crowd leaves", async function(this: ScenarioWorld) {
    await submit(part(this), 50);
    assertWithinLimits(part(this));
    await crowdOf(this).leave();
    await submit(part(this), 50);
});

Then("the crowd was only refused, and none of its jobs exists", async function(this: ScenarioWorld) {
    const crowd = crowdOf(this);
    const call = createCaller(part(this));
    assert.deepEqual(crowd.statuses.filter(status => !refusals.includes(status)), []);
    for (const jobId of crowd.jobIds) {
        assert.ok([404, 410].includes((await call("GET", jobId)).status), `the refused job ${jobId} exists`);
    }
});

Then("the process lives, within its limits, and has claimed the shard once", async function(this: ScenarioWorld) {
    assertWithinLimits(part(this));
    assert.deepEqual(await part(this).daemon.readOwner(), part(this).owner);
});

Then("the job is completed by its only run", async function(this: ScenarioWorld) {
    const { daemon, jobId } = part(this);
    const call = createCaller(part(this));
    await until(async () => (await call("GET", jobId)).body?.["state"] === "completed");
    assert.equal((await call("GET", jobId)).body?.["state"], "completed");
    const events = daemon.events.filter(({ task }) => task.startsWith(jobId));
    assert.deepEqual(events.map(({ what, how }) => how ?? what), ["start", "done"]);
});

Then("its caller is answered with 200, and the job exists", async function(this: ScenarioWorld) {
    const crowd = crowdOf(this);
    await until(() => crowd.statuses.length > 0 || part(this).daemon.ended() !== undefined);
    assert.deepEqual(crowd.statuses, [200], describe(part(this)));
    assert.equal((await createCaller(part(this))("GET", crowd.jobIds[0] ?? "")).status, 200);
});

Then("the process ends by itself after SIGTERM", async function(this: ScenarioWorld) {
    const { daemon } = part(this);
    daemon.process.kill("SIGTERM");
    const killedAtMs = performance.now() + graceS * 1_000 + endSlackMs;
    await until(() => daemon.ended() !== undefined || performance.now() > killedAtMs);
    assert.equal(daemon.ended(), "code 0, signal null", describe(part(this)));
});
