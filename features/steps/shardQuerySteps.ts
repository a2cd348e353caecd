/** Steps about operators' queries: through the metrics servers of a cell's daemons, with the command-line tool. */

import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { digestKey, type JobExplanation, type OrganisationUse, type StepExplanation } from "puffinarch";
import { runCli } from "puffinarch-cli";
import { createOperatorServer } from "puffinarch-platform";
import { cellOf, part } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Answer {
    code: number;
    text: string;
}

const answerOf = (world: ScenarioWorld): Answer => partOf(world, "shardQuery", () => ({ code: -1, text: "" }));

const jobAnswer = (world: ScenarioWorld): JobExplanation => JSON.parse(answerOf(world).text) as JobExplanation;

/** Serves the queries of one daemon on a free port. */
const serveQueries = async (world: ScenarioWorld, memberId: string): Promise<string> => {
    const member = {
        queries: () => cellOf(world).member(memberId)?.queries(),
        knownOwner: () => cellOf(world).member(memberId)?.knownOwner(),
    };
    const server = createOperatorServer({ member, metricsText: () => "" });
    world.closers.push(() => server.close());
    return server.listen({ host: "127.0.0.1", port: 0 });
};

/** Runs the tool while the cell's time goes on. */
const runTool = async (world: ScenarioWorld, args: readonly string[]): Promise<void> => {
    const answer = answerOf(world);
    answer.text = "";
    let isOver = false;
    const write = (text: string): void => {
        answer.text += text;
    };
    const run = runCli(args, { write, writeError: write }, {}).then(code => {
        answer.code = code;
        isOver = true;
    });
    while (!isOver) {
        await cellOf(world).clock.advance(5);
        await new Promise(resolve => setImmediate(resolve));
    }
    await run;
};

const ask = async (world: ScenarioWorld, query: string, memberIds: readonly string[]): Promise<void> => {
    const addresses: string[] = [];
    for (const memberId of memberIds) {
        addresses.push(await serveQueries(world, memberId));
    }
    const metrics = addresses.length === 0 ? [] : ["--metrics", addresses.join(",")];
    await runTool(world, [...query.split(" "), ...metrics]);
};

const allButOwnerFirst = (world: ScenarioWorld): readonly string[] => {
    const cell = cellOf(world);
    return [...cell.memberIds().filter(id => id !== cell.owner()), cell.owner() ?? ""];
};

When("the CLI asks the metrics servers {string}", async function(this: ScenarioWorld, query: string) {
    await ask(this, query, allButOwnerFirst(this));
});

When("the CLI asks the other metrics servers {string}", async function(this: ScenarioWorld, query: string) {
    await ask(this, query, allButOwnerFirst(this).slice(0, -1));
});

When("the CLI asks no metrics server {string}", async function(this: ScenarioWorld, query: string) {
    await ask(this, query, []);
});

When("the CLI asks a closed port {string}", async function(this: ScenarioWorld, query: string) {
    await runTool(this, [...query.split(" "), "--metrics", "http://127.0.0.1:9"]);
});

When(
    "the CLI asks the former owner's metrics server {string} while it still owns the shard",
    async function(this: ScenarioWorld, query: string) {
        const { jobs, formerOwner = "" } = part(this);
        const [first = "", second = ""] = jobs;
        assert.equal(cellOf(this).member(formerOwner)?.ownsShard(), true);
        await ask(this, query.replace("first", first).replace("second", second), [formerOwner]);
    },
);

When("the metrics servers are asked for the newest job", async function(this: ScenarioWorld) {
    await ask(this, `shard job ${part(this).jobs.at(-1) ?? ""} --json`, allButOwnerFirst(this));
});

Then("the CLI ends with {int} and says {string}", function(this: ScenarioWorld, code: number, text: string) {
    const answer = answerOf(this);
    assert.ok(answer.text.includes(text), answer.text);
    assert.equal(answer.code, code, answer.text);
});

const format = ({ step, after, waits, workers }: StepExplanation): string => {
    const counted = { ...waits, ...workers };
    const waiting = Object.entries(counted).map(([name, count]) => `${name} ${count}`).join(", ");
    return `${step}: ${after.length > 0 ? `after ${after.join()}` : waiting === "" ? "nothing" : waiting}`;
};

Then("the answer has {string} and {string}", function(this: ScenarioWorld, step: string, tasks: string) {
    const { steps } = jobAnswer(this);
    const { done, running, waiting } = steps.find(each => format(each) === step)?.tasks
        ?? assert.fail(steps.map(format).join(" | "));
    assert.equal(`done ${done} running ${running} waiting ${waiting}`, tasks);
});

Then("the expected times are in order", function(this: ScenarioWorld) {
    const { acceptedAtMs = NaN, dueAtMs = NaN, objectiveMs = NaN, expectedEndAtMs = NaN, steps } = jobAnswer(this);
    assert.equal(dueAtMs, acceptedAtMs + objectiveMs);
    assert.ok(expectedEndAtMs > acceptedAtMs && expectedEndAtMs < acceptedAtMs + 20_000);
    for (const step of steps) {
        assert.ok((step.expectedStartAtMs ?? acceptedAtMs) <= (step.expectedEndAtMs ?? NaN), answerOf(this).text);
    }
});

Then("no end is expected", function(this: ScenarioWorld) {
    const { expectedEndAtMs, steps } = jobAnswer(this);
    assert.deepEqual([expectedEndAtMs, ...steps.map(step => step.expectedEndAtMs)], [undefined, undefined]);
});

const keyDigest = digestKey("north-key-of-its-callers");

Then(
    "the organisation {string} holds {int} of {int} cores, a share of {float}, and waits for {int}",
    function(this: ScenarioWorld, name: string, held: number, cap: number, share: number, waiting: number) {
        const { organisations } = JSON.parse(answerOf(this).text) as { organisations: readonly OrganisationUse[]; };
        const use = organisations.find(each => each.organisation === name) ?? assert.fail(answerOf(this).text);
        assert.deepEqual(
            [use.held.cpuMillis, use.cap.cpuMillis, use.share, use.waiting, use.jobs],
            [1_000 * held, 1_000 * cap, share, { tasks: waiting, cores: waiting }, { running: 1, queued: 1 }],
        );
    },
);

Then("the answer holds no digest of an API key", async function(this: ScenarioWorld) {
    const cell = cellOf(this);
    cell.configure(cell.version() + 1, cell.organisations().map(each => ({ ...each, keyDigests: [keyDigest] })));
    await cell.clock.advance(500);
    await ask(this, "shard organisations --json", allButOwnerFirst(this));
    assert.ok(answerOf(this).text.includes("north") && !answerOf(this).text.includes(keyDigest));
});
