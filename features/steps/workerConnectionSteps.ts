/** Steps about the connections over which the adapter to the users' platform calls the workers. */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { createPlatformWorkers, openWorkerConnections } from "puffinarch-platform";
import { createMeter } from "puffinarchd";
import { listen, partOf, type ScenarioWorld } from "./support.js";

const part = (world: ScenarioWorld) => partOf(world, "workerConnections", () => ({ address: "", opened: 0 }));

Given("a service that answers each call after {int} ms", async function(this: ScenarioWorld, afterMs: number) {
    const server = createServer((request, response) => {
        request.resume();
        setTimeout(() => response.end("{}"), afterMs);
    });
    server.on("connection", () => {
        part(this).opened += 1;
    });
    part(this).address = await listen(this, server);
});

When(
    "{int} stops that may take {int} ms are sent through the adapter, one after the other",
    async function(this: ScenarioWorld, count: number, timeoutMs: number) {
        const meter = createMeter();
        const http = openWorkerConnections({ timeoutMs: 30_000, keepAliveMs: 60_000, connectTimeoutMs: 400, meter });
        this.closers.push(() => http.close());
        const workers = createPlatformWorkers(http, meter);
        const target = { workerId: "i-1", address: part(this).address };
        for (let run = 1; run <= count; run += 1) {
            await workers.stop(target, { taskName: "5c0e7a21d94b36f8.0.1.17", run, fencingToken: 7 }, timeoutMs);
        }
    },
);

Then("at most {int} connections were opened to it", function(this: ScenarioWorld, most: number) {
    assert.ok(part(this).opened <= most, `${part(this).opened} connections were opened`);
});
