/** Steps about the adapter to the users' platform: its HTTP calls, the rows that it decodes and the API for callers. */

import { Given, Then, When } from "@cucumber/cucumber";
import { testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingHttpHeaders } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout } from "node:timers/promises";
import {
    type CallerKeys,
    type CellConfiguration,
    type CellMember,
    createCallerKeys,
    type Decoded,
    digestKey,
    errorOf,
    failureOf,
    type JobStatus,
    noResources,
    type Row,
    type WorkerEntry,
} from "puffinarch";
import {
    createCallerServer,
    createPlatformAdvisor,
    createPlatformMachines,
    createPlatformStore,
    createPlatformWorkers,
    parsePlatformSettings,
    platformStoreLimits,
    readConfiguration,
    readWave,
    readWorker,
    waveStateRow,
} from "puffinarch-platform";
import { createHttpClient, createMeter } from "puffinarchd";
import { listen, nestedText, partOf, type ScenarioWorld } from "./support.js";

interface Part {
    address: string;
    /** Requests that the service received. */
    sent: {
        readonly method: string;
        readonly path: string;
        readonly body: string;
        readonly headers: IncomingHttpHeaders;
    }[];
    outcome: string;
    otherOutcome: string;
    look: string;
    status: number;
    text: string;
    /** Lines that the API for callers has logged. */
    readonly logged: string[];
    /** IDs of the jobs that were submitted to the member behind the API for callers. */
    readonly submitted: string[];
    configuration: CellConfiguration | undefined;
    worker: WorkerEntry | undefined;
}

const part = (world: ScenarioWorld): Part =>
    partOf(world, "usersPlatform", () => ({
        address: "",
        sent: [],
        outcome: "",
        otherOutcome: "",
        look: "",
        status: 0,
        text: "",
        logged: [],
        submitted: [],
        configuration: undefined,
        worker: undefined,
    }));

const serve = async (world: ScenarioWorld, status: number | "never" | undefined, body: string): Promise<void> => {
    const { sent } = part(world);
    const server = createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            sent.push({
                method: request.method ?? "",
                path: request.url ?? "",
                body: Buffer.concat(chunks).toString("utf8"),
                headers: request.headers,
            });
            if (status === undefined) {
                request.socket.destroy();
                return;
            }
            if (status === "never") {
                return;
            }
            response.writeHead(status, { "content-type": "application/json" }).end(body);
        });
    });
    part(world).address = await listen(world, server);
};

const httpCallerOf = (world: ScenarioWorld) => {
    const http = createHttpClient({ timeoutMs: 5_000, connectionsPerHost: 1, meter: createMeter() });
    world.closers.push(() => http.close());
    return http;
};

Given("a service that answers {int} with {string}", async function(this: ScenarioWorld, status: number, body: string) {
    await serve(this, status, body);
});

Given(
    "a service that answers {int} with a body nested {int} deep",
    async function(this: ScenarioWorld, status: number, depth: number) {
        await serve(this, status, nestedText(depth));
    },
);

Given(
    "a service that answers {int} with a reason nested {int} deep",
    async function(this: ScenarioWorld, status: number, depth: number) {
        await serve(this, status, `{"reason":${nestedText(depth)}}`);
    },
);

Given("a service that closes every connection", async function(this: ScenarioWorld) {
    await serve(this, undefined, "");
});

Given("a service that does not listen", async function(this: ScenarioWorld) {
    await serve(this, 200, "{}");
    await this.closers.pop()?.();
});

Given("a service that cannot be called at {string}", function(this: ScenarioWorld, address: string) {
    part(this).address = address;
});

Given("a service that answers no call", async function(this: ScenarioWorld) {
    await serve(this, "never", "");
});

const startOrder = {
    taskName: "5c0e7a21d94b36f8.0.1.17",
    run: 2,
    payload: "plan",
    deadlineMs: 9_000,
    fencingToken: 7,
    checkpoint: "",
    ticket: "t",
};

When("a run is started through the adapter", async function(this: ScenarioWorld) {
    const workers = createPlatformWorkers(httpCallerOf(this));
    part(this).outcome = await workers.start({ workerId: "i-1", address: part(this).address }, startOrder, 1_000);
});

When("a run is started through the adapter at worker {string}", async function(this: ScenarioWorld, workerId: string) {
    const workers = createPlatformWorkers(httpCallerOf(this));
    const target = { workerId: workerId.replace("\\n", "\n"), address: part(this).address };
    part(this).outcome = await workers.start(target, startOrder, 1_000);
});

/** Far above the time that a call on a free connection takes, and far below that for which the other call holds the connection. */
const shortLimitMs = 200;
const heldMs = 1_000;

When(
    "a run is started through the adapter while another start holds the only connection",
    async function(this: ScenarioWorld) {
        const workers = createPlatformWorkers(httpCallerOf(this));
        const target = { workerId: "i-1", address: part(this).address };
        const first = workers.start(target, startOrder, heldMs);
        part(this).outcome = await workers.start(target, { ...startOrder, run: 3 }, shortLimitMs);
        part(this).otherOutcome = await first;
        // It would follow the start that was not sent if that were sent after all.
        await workers.start(target, { ...startOrder, run: 4 }, shortLimitMs);
    },
);

When(
    "a run is stopped through the adapter while another call holds the only connection",
    async function(this: ScenarioWorld) {
        const workers = createPlatformWorkers(httpCallerOf(this));
        const target = { workerId: "i-1", address: part(this).address };
        void workers.start(target, startOrder, heldMs);
        const { taskName, run, fencingToken } = startOrder;
        part(this).outcome = await workers.stop(target, { taskName, run, fencingToken }, shortLimitMs);
    },
);

When("a worker is looked at through the adapter", async function(this: ScenarioWorld) {
    const workers = createPlatformWorkers(httpCallerOf(this));
    const look = await workers.look({ workerId: "i-1", address: part(this).address }, {
        fencingToken: 7,
        acknowledgedEnd: 57,
        deadlineMs: 9_000,
        waitMs: 100,
        answerTimeoutMs: 350,
    });
    part(this).look = JSON.stringify(look);
});

When("the advisor is asked through the adapter", async function(this: ScenarioWorld) {
    const advisor = createPlatformAdvisor(httpCallerOf(this), `http://${part(this).address}`);
    const answer = advisor.advise({ stepName: "a.0.0", workerIds: ["i-1"], timeoutMs: 1_000 });
    part(this).outcome = await answer.then(
        ({ good }) => good.map(({ workerId }) => workerId).join(", "),
        error => failureOf(error).kind,
    );
});

const row = { table: "t", part: "p", key: "k" };

const storeOf = (world: ScenarioWorld) =>
    createPlatformStore(httpCallerOf(world), `http://${part(world).address}`, platformStoreLimits(65_536));

When("a row is written through the adapter", async function(this: ScenarioWorld) {
    const store = storeOf(this);
    const result = await store.transact({
        expect: [{ ...row, version: 3 }],
        puts: [{ ...row, value: '{"a":1}' }],
        removes: [],
    }, 1_000);
    part(this).outcome = result.outcome;
});

When("the rows of a table are read through the adapter", async function(this: ScenarioWorld) {
    const page = storeOf(this).read("t", "");
    part(this).outcome = await page.then(({ rows }) => `${rows.length} rows`, error => failureOf(error).kind);
});

When("the changes of a table are read through the adapter", async function(this: ScenarioWorld) {
    const store = storeOf(this);
    part(this).outcome = (await store.changes("t", 1, 100)).kind;
});

const entryOf = <T>(decoded: Decoded<T>): T | undefined => decoded.kind === "entry" ? decoded.entry : undefined;

const machinesOf = (world: ScenarioWorld) =>
    createPlatformMachines(httpCallerOf(world), `http://${part(world).address}`);

When("the upkeep of a VM is ordered through the adapter", async function(this: ScenarioWorld) {
    part(this).outcome = await machinesOf(this).upkeep({
        vmId: "m-1",
        wave: 3,
        holderId: "entry-1/5",
        fencingToken: 7,
    });
});

When("the VMs are listed through the adapter", async function(this: ScenarioWorld) {
    const vms = machinesOf(this).list();
    part(this).outcome = await vms.then(listed => JSON.stringify(listed), error => failureOf(error).kind);
});

Then(
    "the wave in the operator's row {string} with {string} is {string}",
    (key: string, value: string, wave: string) => {
        assert.deepEqual(entryOf(readWave(rowOf(key, value))), wave === "none" ? undefined : JSON.parse(wave));
    },
);

Then("the operator reads the state of wave {int} in {string}", (wave: number, row: string) => {
    assert.deepEqual(waveStateRow(wave, "completed"), JSON.parse(row));
});

Then("the adapter returns {string}", function(this: ScenarioWorld, outcome: string) {
    assert.equal(part(this).outcome, outcome);
});

Then("the other start is {string}", function(this: ScenarioWorld, outcome: string) {
    assert.equal(part(this).otherOutcome, outcome);
});

Then("the service was sent the starts of runs {string}", function(this: ScenarioWorld, runs: string) {
    const sentRuns = part(this).sent.map(({ body }) => (JSON.parse(body) as { readonly run: number; }).run);
    assert.equal(sentRuns.join(", "), runs);
});

Then("the decoded look is {string}", function(this: ScenarioWorld, look: string) {
    assert.deepEqual(JSON.parse(part(this).look), JSON.parse(look));
});

Then(
    "the service was sent a {string} to {string} with {string}",
    function(this: ScenarioWorld, method: string, path: string, body: string) {
        const [first] = part(this).sent;
        assert.equal(`${first?.method} ${first?.path}`, `${method} ${path}`);
        assert.deepEqual(JSON.parse(first?.body ?? ""), JSON.parse(body));
    },
);

Then("the header {string} was {string}", function(this: ScenarioWorld, name: string, value: string) {
    assert.equal(part(this).sent[0]?.headers[name], value);
});

const rowOf = (key: string, value: string): Row => ({ table: "", part: "", key, value, version: 1 });

When("the operator's row is {string}", function(this: ScenarioWorld, value: string) {
    part(this).configuration = entryOf(readConfiguration(rowOf("config", value)));
});

When("an executor's row is {string}", function(this: ScenarioWorld, value: string) {
    part(this).worker = entryOf(readWorker(rowOf("i-1", value)));
});

Then(
    "the configuration has version {int} and the queue {string} of service {string}, priority {int}, {int} attempts",
    function(this: ScenarioWorld, version: number, key: string, service: string, priority: number, attempts: number) {
        const { configuration } = part(this);
        const [queue] = configuration?.queues ?? [];
        assert.equal(configuration?.version, version);
        assert.deepEqual(
            [queue?.key, queue?.service, queue?.priority, queue?.attempts],
            [key, service, priority, attempts],
        );
    },
);

Then(
    "the worker has {int} cpuMillis, rack {string}, and drains with {int} ms left",
    function(this: ScenarioWorld, cpuMillis: number, rack: string, remainingMs: number) {
        const { worker } = part(this);
        assert.equal(worker?.capacity.cpuMillis, cpuMillis);
        assert.equal(worker?.rack, rack);
        assert.equal(worker?.draining, true);
        assert.equal(worker?.drainRemainingMs, remainingMs);
    },
);

Then("the worker's incarnation began at {int}", function(this: ScenarioWorld, bornAtMs: number) {
    assert.equal(part(this).worker?.bornAtMs, bornAtMs);
});

/** The server has carried a request out within this time if it ever does. */
const closedCallerWaitMs = 200;
const knownJob = "5c0e7a21d94b36f8";
const failedJob = "5c0e7a21d94b36f9";
const statuses: Readonly<Record<string, JobStatus>> = {
    [knownJob]: { state: "running" },
    [failedJob]: { state: "failed", failure: { cause: "crashes", taskName: `${failedJob}.0.0.1`, count: 3 } },
};

/** A queue that accepts calls without a key, and an organisation whose callers have a key. */
/** A queue whose requests may take longer than a scenario. */
const patientQueue = { ...testQueue, key: "stages.example/patient/", pathPrefix: "/patient/", timeoutMs: 60_000 };
const publicQueue = { ...testQueue, key: "stages.example/open/", pathPrefix: "/open/", isPublic: true };
const northKey = "north-key-of-its-callers";
const organisations = [{ name: "north", keyDigests: [digestKey(northKey)], weight: 1, cap: noResources }];

/** A member that accepts the submission of one job only, and knows the states of that job and of a failed one. */
const fakeMember = (keys: CallerKeys, onSubmit: (jobId: string) => void): CellMember => ({
    dataCentre: "leon-feria",
    configuration: () => ({
        version: 1,
        queues: [testQueue, publicQueue, patientQueue],
        maxHeaderBytes: 16_384,
        // Above the usual limit, so that what a large job is told depends on its fields.
        maxBodyBytes: 1_048_576,
    }),
    ready: () => true,
    submit: async ({ jobId }, _totalTimeoutMs, isAbandoned = () => false) => {
        if (isAbandoned()) {
            throw errorOf({ kind: "notAccepted", message: "the caller has closed its connection" });
        }
        onSubmit(jobId);
        if (jobId !== knownJob) {
            throw errorOf({ kind: "notAccepted", message: "the store does not answer", retryAfterMs: 1_000 });
        }
    },
    authenticate: (queue, key) => keys.organisationOf(queue, key),
    jobState: async ({ jobId }) => statuses[jobId],
    cancel: async ({ jobId }) => jobId === knownJob,
    pending: async () => 3,
    handlers: {} as CellMember["handlers"],
    ownsShard: () => false,
    queries: () => undefined,
    knownOwner: () => undefined,
    leave: async () => {},
    close: () => {},
});

const serveCallersApi = async (world: ScenarioWorld, keys: CallerKeys): Promise<void> => {
    const callers = createCallerServer({
        member: fakeMember(keys, jobId => part(world).submitted.push(jobId)),
        log: { write: (...line) => part(world).logged.push(JSON.stringify(line)) },
        meter: createMeter(),
        stopping: () => false,
    });
    await callers.listen({ host: "127.0.0.1", port: 0 });
    part(world).address = `127.0.0.1:${(callers.server.address() as AddressInfo).port}`;
    world.closers.push(() => callers.close());
};

Given("the API for callers of a daemon", async function(this: ScenarioWorld) {
    await serveCallersApi(this, createCallerKeys({}));
});

Given("the API for callers of a daemon with organisations", async function(this: ScenarioWorld) {
    await serveCallersApi(this, createCallerKeys({ organisations }));
});

When(
    /^a caller with (the key of north|the key "[^"]*"|no key) sends "([^"]*)" to "([^"]*)" with '([^']*)'$/,
    async function(this: ScenarioWorld, key: string, method: string, path: string, body: string) {
        const sent = key === "no key" ? undefined : key === "the key of north" ? northKey : key.slice(9, -1);
        const answer = await sendRequest(part(this).address, method, path, body, sent);
        part(this).status = answer.status;
        part(this).text = answer.text;
    },
);

Then("neither the answer nor the log has a part of the key {string}", function(this: ScenarioWorld, key: string) {
    const disclosed = [part(this).text, ...part(this).logged].join("\n");
    assert.ok(part(this).logged.length > 0);
    assert.ok(!disclosed.includes(key.slice(0, 6)), disclosed);
});

When(
    /^a caller submits a job and (closes its connection at once|waits for the answer)$/,
    async function(this: ScenarioWorld, then: string) {
        const [host, port] = part(this).address.split(":");
        const body = JSON.stringify({ spec: "x", steps: [{ count: 1, cpu: 500 }] });
        const request = [
            `POST /plans/${knownJob} HTTP/1.1`,
            `Host: ${testQueue.host}`,
            "Content-Type: application/json",
            `Content-Length: ${body.length}`,
            "",
            body,
        ].join("\r\n");
        const socket = connect(Number(port), host);
        await once(socket, "connect");
        if (then === "waits for the answer") {
            socket.write(request);
            await once(socket, "data");
            socket.destroy();
            return;
        }
        // The server reads the request only after this call has returned, when the connection is closed already.
        socket.end(request);
        await setTimeout(closedCallerWaitMs);
        socket.destroy();
    },
);

Then("{int} jobs have been submitted", function(this: ScenarioWorld, count: number) {
    assert.equal(part(this).submitted.length, count);
});

/** Sends a request without its body, to show that the server answers before it reads one. */
When(
    "a caller without a known key sends the head of a request and no body",
    async function(this: ScenarioWorld) {
        const [host, port] = part(this).address.split(":");
        const head = [
            `POST ${patientQueue.pathPrefix}${knownJob} HTTP/1.1`,
            `Host: ${testQueue.host}`,
            "Api-Key: stolen",
            "Content-Type: application/json",
            "Content-Length: 4000",
        ];
        part(this).text = await new Promise<string>((resolve, reject) => {
            const socket = connect(Number(port), host ?? "");
            socket.on("error", reject);
            socket.once("data", data => {
                socket.destroy();
                resolve(data.toString("utf8"));
            });
            socket.write(`${head.join("\r\n")}\r\n\r\n`);
        });
    },
);

Then("the answer begins with {string}", function(this: ScenarioWorld, words: string) {
    assert.ok(part(this).text.startsWith(words), part(this).text);
});

Then(
    "the configuration has the organisations {string} and left out {string}",
    function(this: ScenarioWorld, names: string, fields: string) {
        const { organisations: read = [], unreadable = [] } = part(this).configuration ?? {};
        assert.equal(read.map(({ name }) => name).join(", "), names);
        assert.equal(unreadable.join(", "), fields);
    },
);

Then("the configuration holds no key as it was sent", function(this: ScenarioWorld) {
    assert.ok(!JSON.stringify(part(this).configuration).includes("secret"));
});

When(
    "a caller sends {string} to {string} with {string}",
    async function(this: ScenarioWorld, method: string, path: string, body: string) {
        const answer = await sendRequest(part(this).address, method, path, body);
        part(this).status = answer.status;
        part(this).text = answer.text;
    },
);

const sendSubmission = async (world: ScenarioWorld, body: string): Promise<void> => {
    const { status, text } = await sendRequest(part(world).address, "POST", `/plans/${knownJob}`, body);
    part(world).status = status;
    part(world).text = text;
};

When(
    "a caller submits a job whose {string} is nested {int} deep",
    async function(this: ScenarioWorld, field: string, depth: number) {
        const body = JSON.stringify({ spec: "x", steps: [{ count: 1 }], [field]: "nested" });
        await sendSubmission(this, body.replace('"nested"', nestedText(depth)));
    },
);

When(
    "a caller submits a job whose step comes after {int} wrong ones",
    async function(this: ScenarioWorld, count: number) {
        await sendSubmission(this, JSON.stringify({ steps: [{ count: 1, after: Array(count).fill("x") }] }));
    },
);

Then("the answer has fewer than {int} characters", function(this: ScenarioWorld, limit: number) {
    assert.ok(part(this).text.length < limit, `it has ${part(this).text.length}`);
});

/** Sends a request with the test queue's `Host` header, which selects the queue and which Node's fetch does not let callers set. */
const sendRequest = async (
    address: string,
    method: string,
    path: string,
    body: string,
    key?: string,
): Promise<{ readonly status: number; readonly text: string; }> => {
    const { request } = await import("node:http");
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
        const sent = request({
            host,
            port,
            method,
            path,
            headers: {
                host: testQueue.host,
                ...(key === undefined ? {} : { "api-key": key }),
                ...(body === "" ? {} : { "content-type": "application/json" }),
            },
        }, answer => {
            const chunks: Buffer[] = [];
            answer.on("data", (chunk: Buffer) => chunks.push(chunk));
            answer.on(
                "end",
                () => resolve({ status: answer.statusCode ?? 0, text: Buffer.concat(chunks).toString("utf8") }),
            );
        });
        sent.on("error", reject);
        sent.end(body);
    });
};

Then("the answer is {int} and names {string}", function(this: ScenarioWorld, status: number, words: string) {
    const { status: answered, text } = part(this);
    assert.equal(answered, status, text);
    assert.ok(text.includes(words.replaceAll("\\", "")), text);
});

When("the settings {string} are read", function(this: ScenarioWorld, text: string) {
    try {
        parsePlatformSettings(text.replaceAll("\\n", "\n"));
        part(this).text = "accepted";
    }
    catch (error) {
        part(this).text = (failureOf(error).violations ?? []).map(violation => violation.field).join(", ");
    }
});

Then("the refusal names {string}", function(this: ScenarioWorld, fields: string) {
    assert.equal(part(this).text, fields);
});

/** Requests that do not end. */
const unfinishedRequests: Readonly<Record<string, string>> = {
    "half a request line": "POST /plans/00",
    "half a body": [
        `POST ${patientQueue.pathPrefix}${knownJob} HTTP/1.1`,
        `Host: ${testQueue.host}`,
        "Content-Type: application/json",
        "Content-Length: 100",
        "",
        "{",
    ].join("\r\n"),
};

When(
    /^a caller sends (half a .*) and keeps its connection open$/,
    async function(this: ScenarioWorld, what: string) {
        const [host, port] = part(this).address.split(":");
        const socket = connect({ host: host ?? "", port: Number(port) });
        this.closers.unshift(async () => void socket.destroy());
        socket.on("error", () => {}).resume();
        await once(socket, "connect");
        await new Promise(resolve => {
            socket.write(unfinishedRequests[what] ?? assert.fail(`unknown request "${what}"`), resolve);
        });
        // The server reads what was written in one of the next turns of its event loop, which is that of this process.
        await setTimeout(50);
    },
);

Then("the server closes", async function(this: ScenarioWorld) {
    await this.closers.pop()?.();
});
