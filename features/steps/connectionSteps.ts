/** Steps about the HTTP caller: connections that stop answering, slow answers and calls that time out. */

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
    /** Connections over which the service answers nothing any more. */
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

/** Sends a JSON object in pieces: white space at first, the object in the last piece. */
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

/** Keeps this process from handling any event. */
const blockFor = (forMs: number): void => {
    const endsAtMs = performance.now() + forMs;
    while (performance.now() < endsAtMs) {
        // Nothing is read meanwhile.
    }
};

/** Time that the service takes to answer "/slow", so that concurrent calls need a connection each. */
const slowAnswerMs = 50;
/** Timeout of calls that are expected to be answered. */
const longTimeoutMs = 20_000;

Given("a service with {int} open connections", async function(this: ScenarioWorld, count: number) {
    const { silent, open, meter } = part(this);
    const server = createServer((request, response) => {
        if (silent.has(request.socket) || request.url === "/never") {
            return;
        }
        const busy = /^\/(busy|reset)\/(\d+)$/.exec(request.url ?? "");
        if (busy !== null) {
            // The block begins after the sockets were handled, so that the time limit is over before they are handled again.
            setImmediate(() => {
                if (busy[1] === "busy") {
                    response.end("{}");
                }
                else {
                    request.socket.resetAndDestroy();
                }
                blockFor(Number(busy[2]));
            });
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
    part(this).http = createHttpClient({ timeoutMs: longTimeoutMs, connectionsPerHost: count, meter });
    await Promise.all(Array.from({ length: count }, () => call(this, "/slow", longTimeoutMs)));
    assert.equal(open.size, count);
});

/** Listens with the shortest backlog, prints its port, and blocks its event loop so that it never accepts a connection. */
const blockedServerScript = `const server = require("node:net").createServer();
server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
    require("node:fs").writeSync(1, String(server.address().port));
    for (const endsAtMs = Date.now() + 60_000; Date.now() < endsAtMs;) {}
});`;
/** More connections than the backlog holds; the kernel drops the packets of all further ones. */
const backlogConnections = 8;

Given("a service that accepts no connection", async function(this: ScenarioWorld) {
    const child = spawn(process.execPath, ["-e", blockedServerScript], { stdio: ["ignore", "pipe", "ignore"] });
    const port = await new Promise<number>(resolve => {
        child.stdout.once("data", (data: Buffer) => resolve(Number(data.toString("utf8"))));
    });
    for (let count = 0; count < backlogConnections; count += 1) {
        const socket = connect({ port, host: "127.0.0.1" });
        socket.on("error", () => {});
        part(this).open.add(socket);
    }
    part(this).child = child;
    part(this).address = `http://127.0.0.1:${port}`;
    part(this).http = createHttpClient({
        timeoutMs: longTimeoutMs,
        connectTimeoutMs: longTimeoutMs,
        connectionsPerHost: 1,
        meter: part(this).meter,
    });
});

/**
 * Listens, prints its port, and blocks its event loop for a time, so that the kernel queues the connections. Then it answers all calls;
 * the answer to "/accepted" is the number of connections that it has accepted, and after the answer to "/busy/MS" it blocks again.
 */
const busyServerScript = `let accepted = 0;
const blockFor = ms => { for (const endsAtMs = Date.now() + ms; Date.now() < endsAtMs;) {} };
const server = require("node:http").createServer((request, response) => {
    response.end(JSON.stringify(request.url === "/accepted" ? accepted : {}));
    const [, busyMs] = /^\\/busy\\/(\\d+)$/.exec(request.url) ?? [];
    if (busyMs !== undefined) {
        setTimeout(blockFor, 20, Number(busyMs));
    }
});
server.on("connection", () => { accepted += 1; });
server.listen(0, "127.0.0.1", () => {
    require("node:fs").writeSync(1, String(server.address().port));
    blockFor(Number(process.argv[1]));
});`;

Given("a service that accepts connections after {int} ms", async function(this: ScenarioWorld, afterMs: number) {
    const child = spawn(process.execPath, ["-e", busyServerScript, String(afterMs)], {
        stdio: ["ignore", "pipe", "ignore"],
    });
    const port = await new Promise<number>(resolve => {
        child.stdout.once("data", (data: Buffer) => resolve(Number(data.toString("utf8"))));
    });
    part(this).child = child;
    part(this).address = `http://127.0.0.1:${port}`;
    part(this).http = createHttpClient({
        timeoutMs: longTimeoutMs,
        connectionsPerHost: 2,
        lateAnswerMs: longTimeoutMs,
        meter: part(this).meter,
    });
});

Given(
    "a service that answers nothing over its first {int} connections, to a client that waits {int} ms for late answers",
    async function(this: ScenarioWorld, count: number, lateAnswerMs: number) {
        const { silent, open, meter } = part(this);
        const server = createServer((request, response) => {
            if (!silent.has(request.socket)) {
                response.end("{}");
            }
        });
        server.on("connection", socket => {
            open.add(socket);
            if (open.size <= count) {
                silent.add(socket);
            }
        });
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
        part(this).server = server;
        part(this).address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        part(this).http = createHttpClient({
            timeoutMs: longTimeoutMs,
            connectionsPerHost: count,
            lateAnswerMs,
            meter,
        });
    },
);

When(
    "calls that may take {int} ms are made one after the other for {int} ms",
    async function(this: ScenarioWorld, timeoutMs: number, forMs: number) {
        const endsAtMs = performance.now() + forMs;
        while (performance.now() < endsAtMs) {
            part(this).result = await call(this, "/", timeoutMs);
        }
    },
);

When("the service is busy for {int} ms", async function(this: ScenarioWorld, forMs: number) {
    assert.equal((await call(this, `/busy/${forMs}`, longTimeoutMs)).kind, "answered");
    // The block begins 20 ms after the answer.
    await sleep(slowAnswerMs);
});

Then("at most {int} connections were accepted", async function(this: ScenarioWorld, most: number) {
    const result = await call(this, "/accepted", longTimeoutMs);
    assert.ok(result.kind === "answered" && Number(result.body) <= most, JSON.stringify(result));
});

Then("{int} connections were accepted", async function(this: ScenarioWorld, count: number) {
    const result = await call(this, "/accepted", longTimeoutMs);
    assert.equal(result.kind === "answered" ? result.body : undefined, count);
});

When(
    "a call is made that may take {int} ms, and this process is busy for {int} ms once the answer is sent",
    async function(this: ScenarioWorld, timeoutMs: number, busyMs: number) {
        part(this).result = await call(this, `/busy/${busyMs}`, timeoutMs);
    },
);

When(
    "a call is made that may take {int} ms, and this process is busy for {int} ms once the connection is reset",
    async function(this: ScenarioWorld, timeoutMs: number, busyMs: number) {
        part(this).result = await call(this, `/reset/${busyMs}`, timeoutMs);
    },
);

When("all open connections go silent", function(this: ScenarioWorld) {
    const { silent, open } = part(this);
    for (const socket of open) {
        silent.add(socket);
    }
});

Given(
    "a service with {int} connection to a client that keeps connections for late answers",
    async function(this: ScenarioWorld, count: number) {
        const { open, meter } = part(this);
        const server = createServer((request, response) => {
            const delayMs = Number(/^\/after\/(\d+)$/.exec(request.url ?? "")?.[1] ?? 0);
            setTimeout(() => response.end("{}"), delayMs);
        });
        server.on("connection", socket => open.add(socket));
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
        part(this).server = server;
        part(this).address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        part(this).http = createHttpClient({
            timeoutMs: longTimeoutMs,
            connectionsPerHost: count,
            lateAnswerMs: longTimeoutMs,
            meter,
        });
        await call(this, "/", longTimeoutMs);
    },
);

When(
    "a call that is answered after {int} ms may take {int} ms, and another is answered meanwhile",
    async function(this: ScenarioWorld, afterMs: number, timeoutMs: number) {
        const late = call(this, `/after/${afterMs}`, timeoutMs);
        await call(this, "/", longTimeoutMs);
        part(this).result = await late;
    },
);

When(
    "a call that is answered after {int} ms takes the only connection, and another call may take {int} ms",
    async function(this: ScenarioWorld, afterMs: number, timeoutMs: number) {
        void call(this, `/after/${afterMs}`, longTimeoutMs);
        part(this).result = await call(this, "/", timeoutMs);
    },
);

When("the late answer has had {int} ms to arrive", async (forMs: number) => {
    await sleep(forMs);
});

Then("{int} connections were opened", function(this: ScenarioWorld, count: number) {
    assert.equal(part(this).open.size, count);
});

const stopService = (world: ScenarioWorld): void => {
    part(world).server?.close();
    part(world).server?.closeAllConnections();
};

When("the service ends", async function(this: ScenarioWorld) {
    stopService(this);
    await sleep(slowAnswerMs);
});

When(
    "the service ends {int} ms after a call that gets no answer",
    async function(this: ScenarioWorld, afterMs: number) {
        const unanswered = call(this, "/never", longTimeoutMs);
        await sleep(afterMs);
        stopService(this);
        part(this).result = await unanswered;
    },
);

Then(/^its connection (was|was not) lost$/, function(this: ScenarioWorld, what: string) {
    const { result } = part(this);
    assert.ok(result !== undefined && result.kind !== "answered", "the call was answered");
    assert.equal(result.connectionLost, what === "was");
});

When(
    "a call is made that may take {int} ms",
    // Well below the timeout for connecting, so that a call that waits for a connection until that timeout fails the step.
    { timeout: longTimeoutMs / 2 },
    async function(this: ScenarioWorld, timeoutMs: number) {
        part(this).result = await call(this, "/", timeoutMs);
    },
);

When(
    "a call is made that may take {int} ms and gets no answer, while others are answered",
    async function(this: ScenarioWorld, timeoutMs: number) {
        const unanswered = call(this, "/never", timeoutMs);
        await call(this, "/", longTimeoutMs);
        await call(this, "/", longTimeoutMs);
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
        void call(this, "/", longTimeoutMs, suspectAfterMs);
        await new Promise(resolve => setTimeout(resolve, waitMs));
    },
);

Then("it got no answer", function(this: ScenarioWorld) {
    assert.equal(part(this).result?.kind, "unknown");
});

Then("it was not delivered", function(this: ScenarioWorld) {
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
