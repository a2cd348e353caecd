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

interface Answered {
    readonly requestId: string;
    readonly said: string;
    readonly bodyId: string | undefined;
}

interface DaemonPart {
    readonly platform: Platform;
    readonly upstreams: UpstreamStandIn[];
    readonly daemon: Daemon;
    readonly lines: string[];
    readonly agent: Agent;
    answers: Answered[];
    status: number;
    body: unknown;
    exitCode: number;
    written: string;
    stopping: Promise<void> | undefined;
}

const clock = createSystemClock();
const dataCentre = "leon-feria";
const capacity = { cpuMillis: 4_000, memoryMib: 4_096, accelerators: 0 };
const quick = {
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
    partOf<DaemonPart>(world, "daemon", () => assert.fail("there is no daemon"));

/**
 * Gives the address of the scenario's daemon.
 *
 * @example
 * const address = daemonAddress(world);
 */
export const daemonAddress = (world: ScenarioWorld): string => part(world).daemon.address;

const waitUntil = async (what: string, holds: () => boolean): Promise<void> => {
    for (let left = maxWaits; left > 0; left -= 1) {
        if (holds()) {
            return;
        }
        await sleep(clock, waitStepMs);
    }
    assert.fail(`${what} did not come`);
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
        timings: quick,
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
        written: "",
        stopping: undefined,
    }));
    await daemon.started;
    await waitUntil("the upstreams' slots", () => (daemon.node.slots.free()["mesa-comun"] ?? 0) === 8 * count);
    await waitUntil("the worker", () => lines.some(line => line.includes('"to":"live"') && line.includes('"w1"')));
});

const send = async (
    world: ScenarioWorld,
    requestId: string,
    idempotent: boolean,
    workMs: number,
): Promise<Answered> => {
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
    return { requestId, said: String(answer.headers["x-puffinarch-answer"]), bodyId: body.requestId };
};

When("{int} requests are sent at once, each with its own id", async function(this: ScenarioWorld, count: number) {
    const sent = Array.from({ length: count }, (_none, index) => send(this, `r${index}`, true, 5 + index % 7));
    part(this).answers = await Promise.all(sent);
});

Then("every answer carries its own id and says {string}", function(this: ScenarioWorld, said: string) {
    for (const answer of part(this).answers) {
        assert.equal(answer.bodyId, answer.requestId);
        assert.equal(answer.said, said);
    }
});

Then("the upstreams counted no violation", function(this: ScenarioWorld) {
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
    assert.deepEqual(part(this).answers.map(answer => answer.said), [first, second]);
});

Then("the answer is {string}", function(this: ScenarioWorld, said: string) {
    assert.equal(part(this).answers.at(-1)?.said, said);
});

Then("{string} ran {int} times", function(this: ScenarioWorld, requestId: string, times: number) {
    const runs = part(this).upstreams.flatMap(upstream => upstream.evidence().runs).filter(run =>
        run.requestId === requestId
    );
    assert.equal(runs.length, times);
});

Given("the platform refuses everything", function(this: ScenarioWorld) {
    const { faults } = part(this).platform;
    faults.set("table", [{ target: "table", kind: "refuse", probability: 1 }]);
    this.closers.push(async () => faults.set("table", []));
});

Given("every upstream is leaving", async function(this: ScenarioWorld) {
    const { upstreams, daemon } = part(this);
    upstreams.forEach(upstream => upstream.leave());
    await waitUntil("the leaving of the upstreams", () => !daemon.node.slots.serves("mesa-comun"));
});

Given("the upstreams are replaced", async function(this: ScenarioWorld) {
    const { platform, upstreams, daemon } = part(this);
    upstreams.push(await addUpstream(this, platform, "u-new"));
    await waitUntil("the new upstream", () => (daemon.node.slots.free()["mesa-comun"] ?? 0) > 0);
});

When(
    "{int} requests of {int} ms are sent and the daemon is stopped",
    async function(this: ScenarioWorld, count: number, workMs: number) {
        const state = part(this);
        const sent = Array.from({ length: count }, (_none, index) => send(this, `r${index}`, true, workMs));
        await waitUntil(
            "the requests in flight",
            () => state.upstreams.reduce((sum, each) => sum + each.status().slotsInUse, 0) === count,
        );
        state.stopping = state.daemon.stop();
        state.answers = await Promise.all(sent);
        await state.stopping;
    },
);

Then("every one of them says {string}", function(this: ScenarioWorld, said: string) {
    for (const answer of part(this).answers) {
        assert.equal(answer.said, said);
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

const runTool = async (args: string, endpoint: string | undefined): Promise<{ exitCode: number; written: string; }> => {
    let written = "";
    const write = (text: string): void => {
        written += text;
    };
    const last = endpoint === undefined ? [] : ["--endpoint", endpoint];
    const exitCode = await runCli([...args.split(" "), ...last], { write, writeError: write }, { USER: "tester" });
    return { exitCode, written };
};

When("the tool runs {string}", async function(this: ScenarioWorld, args: string) {
    const state = part(this);
    Object.assign(state, await runTool(args, state.daemon.address));
});

When("the tool runs {string} without a daemon", async function(this: ScenarioWorld, args: string) {
    const result = await runTool(args, undefined);
    partOf(this, "daemon", () => result);
});

Then("its exit code is {int}", function(this: ScenarioWorld, code: number) {
    assert.equal(part(this).exitCode, code, part(this).written);
});

Then("it writes {string}", function(this: ScenarioWorld, text: string) {
    assert.ok(part(this).written.includes(text), part(this).written);
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
    "the log has a decision on {string} with who, what, chosen, why, how long and the alternatives' number",
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
