import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type CallResult, createHttpClient, createMeter, type HttpClient } from "puffinarchd";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    server: Server | undefined;
    child: ChildProcess | undefined;
    http: HttpClient | undefined;
    readonly meter: ReturnType<typeof createMeter>;
    readonly silent: Set<Socket>;
    readonly open: Set<Socket>;
    address: string;
    result: CallResult<unknown> | undefined;
}

const part = (world: ScenarioWorld): Part =>
    partOf(world, "connections", () => ({
        server: undefined,
        child: undefined,
        http: undefined,
        meter: createMeter(),
        silent: new Set(),
        open: new Set(),
        address: "",
        result: undefined,
    }));

const call = async (
    world: ScenarioWorld,
    path: string,
    timeoutMs: number,
    suspectAfterMs?: number,
): Promise<CallResult<unknown>> => {
    const { http, address } = part(world);
    assert.ok(http !== undefined);
    return http.call("GET", `${address}${path}`, undefined, { timeoutMs, suspectAfterMs });
};

/** Sends white space piece by piece, and an object at the end. */
const sendPieces = (response: ServerResponse, count: number, eachMs: number): void => {
    let sent = 0;
    const timer = setInterval(() => {
        sent += 1;
        if (sent < count) {
            response.write(" ");
            return;
        }
        clearInterval(timer);
        response.end("{}");
    }, eachMs);
    response.on("close", () => clearInterval(timer));
};

/** How long the service takes for "/slow", so that calls under way at once need a connection each. */
const slowAnswerMs = 50;
const answeredInTimeMs = 20_000;

Given("a service with {int} open connections", async function(this: ScenarioWorld, count: number) {
    const { silent, open, meter } = part(this);
    const server = createServer((request, response) => {
        if (silent.has(request.socket) || request.url === "/never") {
            return;
        }
        const pieces = /^\/pieces\/(\d+)\/(\d+)$/.exec(request.url ?? "");
        if (pieces !== null) {
            sendPieces(response, Number(pieces[1]), Number(pieces[2]));
            return;
        }
        setTimeout(() => response.end("{}"), request.url === "/slow" ? slowAnswerMs : 0);
    });
    server.on("connection", socket => open.add(socket));
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    part(this).server = server;
    part(this).address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    part(this).http = createHttpClient({ timeoutMs: answeredInTimeMs, connectionsPerHost: count, meter });
    await Promise.all(Array.from({ length: count }, () => call(this, "/slow", answeredInTimeMs)));
    assert.equal(open.size, count);
});

/** Listens with the shortest queue of new connections, says its port, and never accepts one. */
const deafScript = `const server = require("node:net").createServer();
server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
    require("node:fs").writeSync(1, String(server.address().port));
    for (const endsAtMs = Date.now() + 60_000; Date.now() < endsAtMs;) {}
});`;
/** More than the queue holds; the kernel drops what comes after. */
const queuedConnections = 8;

Given("a service that accepts no connection", async function(this: ScenarioWorld) {
    const child = spawn(process.execPath, ["-e", deafScript], { stdio: ["ignore", "pipe", "ignore"] });
    const port = await new Promise<number>(resolve => {
        child.stdout.once("data", (data: Buffer) => resolve(Number(data.toString("utf8"))));
    });
    for (let count = 0; count < queuedConnections; count += 1) {
        const socket = connect({ port, host: "127.0.0.1" });
        socket.on("error", () => {});
        part(this).open.add(socket);
    }
    part(this).child = child;
    part(this).address = `http://127.0.0.1:${port}`;
    part(this).http = createHttpClient({
        timeoutMs: answeredInTimeMs,
        connectTimeoutMs: answeredInTimeMs,
        connectionsPerHost: 1,
        meter: part(this).meter,
    });
});

When("all open connections go silent", function(this: ScenarioWorld) {
    const { silent, open } = part(this);
    for (const socket of open) {
        silent.add(socket);
    }
});

const endService = (world: ScenarioWorld): void => {
    part(world).server?.close();
    part(world).server?.closeAllConnections();
};

When("the service ends", async function(this: ScenarioWorld) {
    endService(this);
    await sleep(slowAnswerMs);
});

When(
    "the service ends {int} ms after a call that gets no answer",
    async function(this: ScenarioWorld, afterMs: number) {
        const unanswered = call(this, "/never", answeredInTimeMs);
        await sleep(afterMs);
        endService(this);
        part(this).result = await unanswered;
    },
);

Then(/^its connection (was|was not) lost$/, function(this: ScenarioWorld, what: string) {
    const { result } = part(this);
    assert.ok(result !== undefined && result.kind !== "answered", "it was answered");
    assert.equal(result.connectionLost, what === "was");
});

When(
    "a call is made that may take {int} ms",
    // Well below the limit of a connection, so that a call which waits for that fails.
    { timeout: answeredInTimeMs / 2 },
    async function(this: ScenarioWorld, timeoutMs: number) {
        part(this).result = await call(this, "/", timeoutMs);
    },
);

When(
    "a call is made that may take {int} ms and gets no answer, while others are answered",
    async function(this: ScenarioWorld, timeoutMs: number) {
        const unanswered = call(this, "/never", timeoutMs);
        await call(this, "/", answeredInTimeMs);
        await call(this, "/", answeredInTimeMs);
        assert.equal((await unanswered).kind, "unknown");
    },
);

When(
    /^a call is made that may be silent for (\d+) ms and take (\d+) ms, and its answer comes in (\d+) pieces, each after (\d+) ms$/,
    async function(this: ScenarioWorld, timeoutMs: string, longestMs: string, count: string, eachMs: string) {
        const { http, address } = part(this);
        part(this).result = await http?.call("GET", `${address}/pieces/${count}/${eachMs}`, undefined, {
            timeoutMs: Number(timeoutMs),
            longestMs: Number(longestMs),
        });
    },
);

When(
    "a call is under way for {int} ms that makes its connections suspect after {int} ms",
    async function(this: ScenarioWorld, waitMs: number, suspectAfterMs: number) {
        void call(this, "/", answeredInTimeMs, suspectAfterMs);
        await new Promise(resolve => setTimeout(resolve, waitMs));
    },
);

Then("it got no answer", function(this: ScenarioWorld) {
    assert.equal(part(this).result?.kind, "unknown");
});

Then("it surely was not delivered", function(this: ScenarioWorld) {
    assert.equal(part(this).result?.kind, "notDelivered");
});

Then("it was answered", function(this: ScenarioWorld) {
    assert.equal(part(this).result?.kind, "answered");
});

Then("no connection was replaced", function(this: ScenarioWorld) {
    assert.equal(part(this).meter.total("connectionsReplaced"), 0);
});

After(async function(this: ScenarioWorld) {
    const { server, child, http } = part(this);
    child?.kill("SIGKILL");
    for (const socket of part(this).open) {
        socket.destroy();
    }
    server?.close();
    server?.closeAllConnections();
    await http?.close();
});
