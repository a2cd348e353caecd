import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:net";
import type { PeerCallName } from "puffinarch";
import { createMeter, createTrpcPeers } from "puffinarchd";
import { daemonAddress } from "./daemonSteps.js";
import { type CallOutcome, outcomeKind, outcomeOf, partOf, type ScenarioWorld } from "./support.js";

/** Input of each call between daemons that the features use. */
const inputs: Readonly<Record<string, unknown>> = {
    daemon: { detail: false },
    job: { jobId: "missing" },
    report: { homeId: "nobody~1", reports: [] },
};

/** Starts a peer that accepts connections and never answers; `closeOnData` makes it close a connection once it receives data. */
const startUnresponsivePeer = (world: ScenarioWorld, closeOnData: boolean): Promise<string> =>
    new Promise(resolve => {
        const server: Server = createServer(socket => {
            socket.on("data", () => closeOnData && socket.destroy());
            socket.on("error", () => undefined);
            world.closers.push(async () => void socket.destroy());
        });
        world.closers.push(async () => void server.close());
        server.listen(0, "127.0.0.1", () => {
            const address = server.address();
            resolve(`http://127.0.0.1:${typeof address === "object" ? address?.port : 0}`);
        });
    });

/** Returns an address on which nothing listens, by closing a server that listened on it. */
const findClosedAddress = (): Promise<string> =>
    new Promise(resolve => {
        const server = createServer();
        server.listen(0, "127.0.0.1", () => {
            const address = server.address();
            server.close(() => resolve(`http://127.0.0.1:${typeof address === "object" ? address?.port : 0}`));
        });
    });

const addressFactories: Readonly<Record<string, (world: ScenarioWorld) => Promise<string>>> = {
    "all is well": async world => daemonAddress(world),
    "the home is not held there": async world => daemonAddress(world),
    "nobody listens": findClosedAddress,
    "the peer accepts and is silent": world => startUnresponsivePeer(world, false),
    "the peer hangs up": world => startUnresponsivePeer(world, true),
};

When(/^a peer calls "([^"]*)" and (.+)$/, async function(this: ScenarioWorld, name: string, situation: string) {
    const address = await addressFactories[situation]?.(this) ?? assert.fail(`unknown situation "${situation}"`);
    const peers = createTrpcPeers({ timeoutMs: 300, meter: createMeter() });
    this.closers.push(peers.close);
    const ending = await outcomeOf<unknown>(peers.call(address, name as PeerCallName, inputs[name] as never));
    partOf<{ ending: CallOutcome<unknown>; }>(this, "peerCall", () => ({ ending }));
});

Then("the call ends as {string}", function(this: ScenarioWorld, expected: string) {
    const { ending } = partOf<{ ending: CallOutcome<unknown>; }>(
        this,
        "peerCall",
        () => assert.fail("the scenario made no call"),
    );
    assert.equal(outcomeKind(ending, "answered"), expected, JSON.stringify(ending));
});
