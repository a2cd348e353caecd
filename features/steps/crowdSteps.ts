/** Steps on callers that exhaust the memory or the descriptors of one daemon. */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { once } from "node:events";
import { setTimeout } from "node:timers/promises";
import {
    bodyRequest,
    type Crowd,
    type CrowdRequest,
    halfRequestLine,
    sizes,
    startCrowd,
    unreadRequests,
} from "./crowd.js";
import { type CrowdedDaemon, graceS, type ProcessLimits, startCrowdedDaemon } from "./crowdDaemon.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    daemon: CrowdedDaemon | undefined;
    limits: ProcessLimits | undefined;
    crowd: Crowd | undefined;
    /** Job that was accepted before the crowd came. */
    jobId: string;
    ownerVersion: number;
}

const part = (world: ScenarioWorld): Part =>
    partOf(world, "crowd", () => ({
        daemon: undefined,
        limits: undefined,
        crowd: undefined,
        jobId: "",
        ownerVersion: 0,
    }));

const daemonOf = (world: ScenarioWorld): CrowdedDaemon => part(world).daemon ?? assert.fail("there is no daemon");
const crowdOf = (world: ScenarioWorld): Crowd => part(world).crowd ?? assert.fail("there is no crowd");

const stepTimeoutMs = 60_000;
/** So many tries of at most 3 s and their pauses fit into the time limit of a step. */
const maxTries = 14;
const retryPauseMs = 1_000;
const statePolls = 80;
const statePollMs = 250;
/** Slack for a busy machine, beyond the time between SIGTERM and SIGKILL. */
const endSlackMs = 10_000;
const acceptedStatus = 200;
/** A caller sends its request again after these, and after no answer or a broken connection. */
const retriedStatuses: readonly number[] = [0, 429, 502, 503, 504];
const refusals: readonly number[] = [400, 408, 413, 429, 503];
const absentStatuses: readonly number[] = [404, 410];

const newJobId = (): string => randomBytes(8).toString("hex");
const jobOf = (workMs: number): object => ({
    spec: JSON.stringify({ workMs }),
    steps: [{ count: 1, cpu: 500, mem_mb: 256, estimate_ms: workMs }],
});

const describe = (daemon: CrowdedDaemon): string => {
    const peaks = daemon.peaks();
    const memory = peaks === undefined ? "unknown" : `${Math.round(peaks.residentBytes / 1e6)} MB`;
    return `process: ${
        daemon.ended() ?? "lives"
    }, most memory seen: ${memory}, most descriptors: ${peaks?.descriptors}`;
};

const assertLives = (daemon: CrowdedDaemon): void =>
    assert.equal(daemon.ended(), undefined, `the process ended by itself; ${describe(daemon)}`);

/** Makes calls as ordinary callers do, which all together may take a limited number of tries. */
const createCaller = (daemon: CrowdedDaemon) => {
    const failures: string[] = [];
    return async (method: string, jobId: string, body?: object) => {
        while (failures.length < maxTries) {
            assertLives(daemon);
            const answer = await daemon.call(method, jobId, body);
            if (!retriedStatuses.includes(answer.status)) {
                return answer;
            }
            failures.push(`${method} ${answer.status === 0 ? answer.reason : answer.status}`);
            await setTimeout(retryPauseMs);
        }
        assertLives(daemon);
        return assert.fail(`no answer in ${maxTries} tries (${failures.join(", ")}); ${describe(daemon)}`);
    };
};

const submit = async (daemon: CrowdedDaemon, jobId: string, workMs: number): Promise<void> => {
    const call = createCaller(daemon);
    const accepted = await call("POST", jobId, jobOf(workMs));
    assert.equal(accepted.status, acceptedStatus, `the job was answered with ${accepted.status}`);
    const read = await call("GET", jobId);
    assert.equal(read.status, acceptedStatus, `the state of the job was answered with ${read.status}`);
    assert.ok(["queued", "running", "completed"].includes(String(read.body?.["state"])), JSON.stringify(read.body));
};

const startCrowdOf = async (world: ScenarioWorld, connections: number, request: CrowdRequest): Promise<void> => {
    const { host, callersPort } = daemonOf(world);
    const crowd = startCrowd({ host, port: callersPort, connections, request });
    part(world).crowd = crowd;
    world.closers.push(async () => crowd.leave());
    await crowd.written();
};

const requestOf = (size: string, content: string, framing: string, end: string): CrowdRequest => {
    const bytes = sizes[size] ?? assert.fail(`unknown size ${size}`);
    return bodyRequest(content, bytes, framing, end === "whole");
};

Given(
    "a daemon of the users' platform with {int} MB of memory and {int} descriptors",
    { timeout: stepTimeoutMs },
    async function(this: ScenarioWorld, memoryMb: number, maxFds: number) {
        const limits = { memoryMb, maxFds };
        const daemon = await startCrowdedDaemon(limits);
        this.closers.push(daemon.stop);
        Object.assign(part(this), { daemon, limits, ownerVersion: await daemon.ownerVersion() });
    },
);

Given("a job of {int} ms that runs", { timeout: stepTimeoutMs }, async function(this: ScenarioWorld, workMs: number) {
    const daemon = daemonOf(this);
    const jobId = newJobId();
    part(this).jobId = jobId;
    await submit(daemon, jobId, workMs);
    for (let polls = 0; polls < statePolls && !daemon.tasks.some(({ what }) => what === "start"); polls += 1) {
        await setTimeout(statePollMs);
    }
    assert.equal(daemon.tasks.filter(({ what }) => what === "start").length, 1);
});

When(
    "{int} callers each send {string} of {string} {string}, {string}, and stay",
    { timeout: stepTimeoutMs },
    async function(this: ScenarioWorld, callers: number, size: string, content: string, framing: string, end: string) {
        await startCrowdOf(this, callers, requestOf(size, content, framing, end));
    },
);

When(
    "{int} callers each send {int} requests in a row, read no answers and stay",
    { timeout: stepTimeoutMs },
    async function(this: ScenarioWorld, callers: number, requests: number) {
        await startCrowdOf(this, callers, unreadRequests(requests));
    },
);

When(
    "{int} callers each send half a request line and stay",
    { timeout: stepTimeoutMs },
    async function(this: ScenarioWorld, callers: number) {
        await startCrowdOf(this, callers, halfRequestLine);
    },
);

When("the crowd leaves", function(this: ScenarioWorld) {
    crowdOf(this).leave();
});

Then("an ordinary caller is answered", { timeout: stepTimeoutMs }, async function(this: ScenarioWorld) {
    await submit(daemonOf(this), newJobId(), 50);
});

Then("the crowd got no answers but refusals", function(this: ScenarioWorld) {
    const others = crowdOf(this).statuses().filter(status => !refusals.includes(status));
    assert.deepEqual(others, [], `${others.length} callers of the crowd got another answer`);
});

Then("no job of the crowd exists", { timeout: stepTimeoutMs }, async function(this: ScenarioWorld) {
    const call = createCaller(daemonOf(this));
    for (const jobId of crowdOf(this).jobIds) {
        const { status } = await call("GET", jobId);
        assert.ok(absentStatuses.includes(status), `a refused job exists: status ${status}`);
    }
});

Then("the process has lived and stayed within its limits", function(this: ScenarioWorld) {
    const daemon = daemonOf(this);
    assertLives(daemon);
    const peaks = daemon.peaks();
    const { limits } = part(this);
    if (peaks !== undefined && limits !== undefined) {
        const { residentBytes, descriptors } = peaks;
        assert.ok(residentBytes < limits.memoryMb * 1e6 && descriptors < limits.maxFds, describe(daemon));
    }
});

Then("the daemon has claimed the shard once", async function(this: ScenarioWorld) {
    assert.equal(await daemonOf(this).ownerVersion(), part(this).ownerVersion);
});

Then("the job is completed by its only run", { timeout: stepTimeoutMs }, async function(this: ScenarioWorld) {
    const daemon = daemonOf(this);
    const { jobId } = part(this);
    const call = createCaller(daemon);
    let state: unknown = "";
    for (let polls = 0; polls < statePolls && state !== "completed"; polls += 1) {
        state = (await call("GET", jobId)).body?.["state"];
        await setTimeout(statePollMs);
    }
    assert.equal(state, "completed");
    const events = daemon.tasks.filter(({ task }) => task.startsWith(jobId));
    assert.deepEqual(events.map(({ what, how }) => how ?? what), ["start", "done"]);
});

Then(
    "a single body of {int} bytes, {string}, is answered with {int}",
    { timeout: stepTimeoutMs },
    async function(this: ScenarioWorld, bytes: number, framing: string, status: number) {
        const daemon = daemonOf(this);
        const { host, callersPort } = daemon;
        const request = bodyRequest("a job and spaces", bytes, framing, true);
        const crowd = startCrowd({ host, port: callersPort, connections: 1, request });
        this.closers.push(async () => crowd.leave());
        for (let polls = 0; polls < statePolls && crowd.statuses().length === 0; polls += 1) {
            await setTimeout(statePollMs);
        }
        assert.deepEqual(crowd.statuses(), [status], describe(daemon));
        assert.equal((await createCaller(daemon)("GET", crowd.jobIds[0] ?? "")).status, status);
    },
);

Then("the process ends by itself after SIGTERM", { timeout: stepTimeoutMs }, async function(this: ScenarioWorld) {
    const daemon = daemonOf(this);
    const exit = once(daemon.process, "exit");
    daemon.process.kill("SIGTERM");
    await Promise.race([exit, setTimeout(graceS * 1_000 + endSlackMs)]);
    assert.equal(daemon.ended(), "code 0, signal null", describe(daemon));
});
