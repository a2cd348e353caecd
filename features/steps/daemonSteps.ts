import { Given, Then, When } from "@cucumber/cucumber";
import {
    createPlatform,
    createUpstream,
    createWorker,
    defaultPlatformLimits,
    type Platform,
    type RunningServer,
    servePlatform,
    serveUpstream,
    serveWorkers,
    type UpstreamStandIn,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { createSystemClock, createSystemRandom, sleep, type Vm } from "puffinarch";
import { runCli } from "puffinarch-cli";
import { createLog, type Daemon, startDaemon } from "puffinarchd";
import { Agent, request } from "undici";
import { partOf, type ScenarioWorld } from "./support.js";

interface ServiceResponse {
    readonly requestId: string;
    /** The outcome in the header `x-puffinarch-answer`. */
    readonly outcome: string;
    /** The request id that the upstream wrote into the body. */
    readonly bodyId: string | undefined;
}

interface DaemonPart {
    readonly platform: Platform;
    readonly upstreams: UpstreamStandIn[];
    readonly daemon: Daemon;
    readonly lines: string[];
    readonly agent: Agent;
    /** Responses to the requests that were sent to the service. */
    answers: ServiceResponse[];
    /** Status and body of the last JSON call. */
    status: number;
    body: unknown;
    /** Exit code and output of the last run of the CLI. */
    exitCode: number;
    output: string;
    stopping: Promise<void> | undefined;
}

const clock = createSystemClock();
const dataCentre = "leon-feria";
const capacity = { cpuMillis: 4_000, memoryMib: 4_096, accelerators: 0 };
const shortTimings = {
    statusIntervalMs: 20,
    refreshIntervalMs: 20,
    gossipIntervalMs: 20,
    pollWaitMs: 20,
    reconcileIntervalMs: 20,
    drainTimeoutMs: 5_000,
    claimTimeoutMs: 500,
    balancerNoticeMs: 5,
};
const waitStepMs = 5;
const maxWaits = 4_000;

const part = (world: ScenarioWorld): DaemonPart =>
    partOf<DaemonPart>(world, "daemon", () => assert.fail("the scenario started no daemon"));

/**
 * Returns the base URL of the scenario's daemon.
 *
 * @example
 * const address = daemonAddress(world);
 */
export const daemonAddress = (world: ScenarioWorld): string => part(world).daemon.address;

const waitUntil = async (description: string, condition: () => boolean): Promise<void> => {
    for (let left = maxWaits; left > 0; left -= 1) {
        if (condition()) {
            return;
        }
        await sleep(clock, waitStepMs);
    }
    assert.fail(`timed out waiting for ${description}`);
};

const upstreamVm = (upstream: UpstreamStandIn, { address }: RunningServer): Vm => ({
    vmId: upstream.upstreamId,
    role: "upstream",
    dataCentre,
    address,
    leaving: false,
    service: "mesa-comun",
});

const addUpstream = async (world: ScenarioWorld, platform: Platform, upstreamId: string): Promise<UpstreamStandIn> => {
    const upstream = createUpstream(clock, upstreamId);
    const served = await serveUpstream(upstream, 0);
    world.closers.push(served.close);
    platform.setVms([upstreamVm(upstream, served)]);
    return upstream;
};

const addWorker = async (world: ScenarioWorld, platform: Platform): Promise<void> => {
    const served = await serveWorkers([createWorker(clock, "w1", capacity)], 0);
    world.closers.push(served.close);
    const address = `${served.address}/workers/w1`;
    platform.setVms([{ vmId: "w1", role: "worker", dataCentre, address, leaving: false, rack: "r1", capacity }]);
};

Given("a daemon with {int} upstreams over HTTP", async function(this: ScenarioWorld, count: number) {
    const platform = createPlatform(clock, createSystemRandom(), { ...defaultPlatformLimits, vmListLagMs: 0 });
    const served = await servePlatform(platform, 0);
    this.closers.push(served.close);
    platform.setVms([{ vmId: "entry-1", role: "entry", dataCentre, address: "", leaving: false }]);
    await addWorker(this, platform);
    const upstreams: UpstreamStandIn[] = [];
    for (let index = 0; index < count; index += 1) {
        upstreams.push(await addUpstream(this, platform, `u${index}`));
    }
    const lines: string[] = [];
    const settings = {
        vmId: "entry-1",
        dataCentre,
        listen: { host: "127.0.0.1", port: 0 },
        platformAddress: served.address,
        timings: shortTimings,
    };
    const log = createLog({ clock, level: "info", vmId: "entry-1", write: line => lines.push(line) });
    const daemon = await startDaemon({ settings, clock, random: createSystemRandom(), log });
    const agent = new Agent();
    this.closers.push(() => daemon.stop(), () => agent.close());
    partOf<DaemonPart>(this, "daemon", () => ({
        platform,
        upstreams,
        daemon,
        lines,
        agent,
        answers: [],
        status: 0,
        body: undefined,
        exitCode: -1,
        output: "",
        stopping: undefined,
    }));
    await daemon.started;
    await waitUntil("the slots of all upstreams", () => (daemon.node.slots.free()["mesa-comun"] ?? 0) === 8 * count);
    await waitUntil(
        "the worker to become live",
        () => lines.some(line => line.includes('"to":"live"') && line.includes('"w1"')),
    );
});

const send = async (
    world: ScenarioWorld,
    requestId: string,
    idempotent: boolean,
    workMs: number,
): Promise<ServiceResponse> => {
    const { daemon, agent } = part(world);
    const answer = await request(`${daemon.address}/services/mesa-comun/plan-check`, {
        method: "POST",
        dispatcher: agent,
        headers: {
            "content-type": "application/json",
            "x-request-id": requestId,
            "x-idempotent": String(idempotent),
            "x-timeout-ms": "2000",
        },
        body: JSON.stringify({ workMs, answerBytes: 10 }),
    });
    const body = await answer.body.json() as { readonly requestId?: string; };
    return { requestId, outcome: String(answer.headers["x-puffinarch-answer"]), bodyId: body.requestId };
};

When("{int} requests are sent at once, each with its own id", async function(this: ScenarioWorld, count: number) {
    const sent = Array.from({ length: count }, (_none, index) => send(this, `r${index}`, true, 5 + index % 7));
    part(this).answers = await Promise.all(sent);
});

Then("every answer has the id of its request and the outcome {string}", function(this: ScenarioWorld, outcome: string) {
    for (const answer of part(this).answers) {
        assert.equal(answer.bodyId, answer.requestId);
        assert.equal(answer.outcome, outcome);
    }
});

Then("the upstreams counted no slot or connection violation", function(this: ScenarioWorld) {
    for (const upstream of part(this).upstreams) {
        const { slotViolations, connectionViolations } = upstream.evidence();
        assert.equal(slotViolations + connectionViolations, 0);
    }
});

When(
    /^an? (idempotent|non-idempotent) request "([^"]*)" is sent$/,
    async function(this: ScenarioWorld, kind: string, requestId: string) {
        const state = part(this);
        state.answers.push(await send(this, requestId, kind === "idempotent", 5));
    },
);

Then("the answers are {string} and {string}", function(this: ScenarioWorld, first: string, second: string) {
    assert.deepEqual(part(this).answers.map(answer => answer.outcome), [first, second]);
});

Then("the answer is {string}", function(this: ScenarioWorld, outcome: string) {
    assert.equal(part(this).answers.at(-1)?.outcome, outcome);
});

Then("{string} ran {int} times", function(this: ScenarioWorld, requestId: string, times: number) {
    const runs = part(this).upstreams.flatMap(upstream => upstream.evidence().runs).filter(run =>
        run.requestId === requestId
    );
    assert.equal(runs.length, times);
});

Given("the platform refuses every table call", function(this: ScenarioWorld) {
    const { faults } = part(this).platform;
    faults.set("table", [{ target: "table", kind: "refuse", probability: 1 }]);
    this.closers.push(async () => faults.set("table", []));
});

Given("every upstream is leaving", async function(this: ScenarioWorld) {
    const { upstreams, daemon } = part(this);
    upstreams.forEach(upstream => upstream.leave());
    await waitUntil("the daemon to stop using the upstreams", () => !daemon.node.slots.serves("mesa-comun"));
});

Given("the upstreams are replaced", async function(this: ScenarioWorld) {
    const { platform, upstreams, daemon } = part(this);
    upstreams.push(await addUpstream(this, platform, "u-new"));
    await waitUntil("slots of the new upstream", () => (daemon.node.slots.free()["mesa-comun"] ?? 0) > 0);
});

When(
    "{int} requests of {int} ms are sent and the daemon is stopped",
    async function(this: ScenarioWorld, count: number, workMs: number) {
        const state = part(this);
        const sent = Array.from({ length: count }, (_none, index) => send(this, `r${index}`, true, workMs));
        await waitUntil(
            "all requests to be in flight",
            () => state.upstreams.reduce((sum, each) => sum + each.status().slotsInUse, 0) === count,
        );
        state.stopping = state.daemon.stop();
        state.answers = await Promise.all(sent);
        await state.stopping;
    },
);

Then("every answer has the outcome {string}", function(this: ScenarioWorld, outcome: string) {
    for (const answer of part(this).answers) {
        assert.equal(answer.outcome, outcome);
    }
});

Then("the daemon's socket is closed", async function(this: ScenarioWorld) {
    const { daemon } = part(this);
    await assert.rejects(request(`${daemon.address}/healthz`));
});

When("JSON {string} is posted to {string}", async function(this: ScenarioWorld, body: string, path: string) {
    const state = part(this);
    const headers = { "content-type": "application/json" };
    const answer = await request(`${state.daemon.address}${path}`, {
        method: "POST",
        headers,
        body: body.replaceAll("'", '"'),
    });
    state.status = answer.statusCode;
    state.body = await answer.body.json();
});

Then("the status is {int}", function(this: ScenarioWorld, status: number) {
    assert.equal(part(this).status, status, JSON.stringify(part(this).body));
});

Then("the answer has {string}", function(this: ScenarioWorld, path: string) {
    let value = part(this).body;
    for (const name of path.split(".")) {
        value = (value as Record<string, unknown> | undefined)?.[name];
    }
    assert.notEqual(value, undefined, JSON.stringify(part(this).body));
});

const runCommandLine = async (
    args: string,
    endpoint: string | undefined,
): Promise<{ exitCode: number; output: string; }> => {
    let output = "";
    const write = (text: string): void => {
        output += text;
    };
    const endpointArgs = endpoint === undefined ? [] : ["--endpoint", endpoint];
    const exitCode = await runCli([...args.split(" "), ...endpointArgs], { write, writeError: write }, {
        USER: "tester",
    });
    return { exitCode, output };
};

When("the CLI runs {string}", async function(this: ScenarioWorld, args: string) {
    const state = part(this);
    Object.assign(state, await runCommandLine(args, state.daemon.address));
});

When("the CLI runs {string} without a daemon", async function(this: ScenarioWorld, args: string) {
    const result = await runCommandLine(args, undefined);
    partOf(this, "daemon", () => result);
});

Then("its exit code is {int}", function(this: ScenarioWorld, code: number) {
    assert.equal(part(this).exitCode, code, part(this).output);
});

Then("its output contains {string}", function(this: ScenarioWorld, text: string) {
    assert.ok(part(this).output.includes(text), part(this).output);
});

Then("{string} answers {int}", async function(this: ScenarioWorld, path: string, status: number) {
    const answer = await request(`${part(this).daemon.address}${path}`);
    await answer.body.dump();
    assert.equal(answer.statusCode, status);
});

Then(
    "{string} answers {int} with {string}",
    async function(this: ScenarioWorld, path: string, status: number, text: string) {
        const answer = await request(`${part(this).daemon.address}${path}`);
        assert.equal(answer.statusCode, status);
        assert.ok((await answer.body.text()).includes(text));
    },
);

Then(
    "the log has a decision on {string} with its requester, kind, choice, reason, duration and number of alternatives",
    function(this: ScenarioWorld, subject: string) {
        const decisions = part(this).lines.map(line => JSON.parse(line) as Record<string, unknown>);
        const found = decisions.find(each => each["event"] === "decision" && each["subject"] === subject);
        assert.ok(found);
        for (
            const field of [
                "requester",
                "kind",
                "chosen",
                "reason",
                "durationUs",
                "alternatives",
                "policy",
                "daemonId",
                "atMs",
            ]
        ) {
            assert.notEqual(found[field], undefined, field);
        }
    },
);
