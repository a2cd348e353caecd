/** Steps about the `waterfall` command, which reads from a log how much time each stage of a job took. */

import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { runCli } from "puffinarch-cli";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    folder: string;
    text: string;
    errors: string;
    exitCode: number;
}

/** The command's output with `--json`. */
interface WaterfallOutput {
    readonly slowest: readonly {
        readonly jobId: string;
        readonly tookMs: number;
        readonly worst: string;
        readonly stagesMs: Readonly<Record<string, number>>;
    }[];
}

const part = (world: ScenarioWorld): Part =>
    partOf(world, "waterfall", () => ({ folder: "", text: "", errors: "", exitCode: -1 }));

const runCommand = async (world: ScenarioWorld, args: readonly string[]): Promise<void> => {
    const state = part(world);
    const output = {
        write: (text: string) => void (state.text += text),
        writeError: (text: string) => void (state.errors += text),
    };
    state.exitCode = await runCli(args, output, {});
};

const logPath = (world: ScenarioWorld): string => join(part(world).folder, "entry.log");

Given("a log with these lines", function(this: ScenarioWorld, table: DataTable) {
    part(this).folder = mkdtempSync(join(tmpdir(), "waterfall-"));
    this.closers.push(async () => rmSync(part(this).folder, { recursive: true }));
    const lines = table.hashes().map(({ atMs, event, fields }) =>
        JSON.stringify({ atMs: Number(atMs), event, ...JSON.parse(fields ?? "{}") as object })
    );
    writeFileSync(logPath(this), `a line of another program\n${lines.join("\n")}\n`);
});

When("the waterfall of the log is asked for as JSON", async function(this: ScenarioWorld) {
    await runCommand(this, ["--json", "waterfall", logPath(this)]);
});

When("the waterfall of the log is asked for with a drawing", async function(this: ScenarioWorld) {
    await runCommand(this, ["waterfall", logPath(this), "--svg", join(part(this).folder, "drawing.svg")]);
});

When("the waterfall of a log that does not exist is asked for", async function(this: ScenarioWorld) {
    await runCommand(this, ["waterfall", join(part(this).folder, "none.log")]);
});

const firstJob = (world: ScenarioWorld) => {
    const { slowest: [job] } = JSON.parse(part(world).text) as WaterfallOutput;
    return job ?? assert.fail(part(world).text);
};

Then(
    "the job {string} took {int} ms, most of it in {string}",
    function(this: ScenarioWorld, jobId: string, tookMs: number, stage: string) {
        const job = firstJob(this);
        assert.deepEqual([job.jobId, job.tookMs, job.worst], [jobId, tookMs, stage]);
    },
);

Then(/^its stages took (.*)$/, function(this: ScenarioWorld, text: string) {
    const expected = Object.fromEntries(
        text.split(", ").map(each => {
            const [stage, ms] = each.split(" ");
            return [stage, Number(ms)];
        }),
    );
    assert.deepEqual(firstJob(this).stagesMs, expected);
});

Then("the table names the queue {string}", function(this: ScenarioWorld, queue: string) {
    assert.ok(part(this).text.includes(queue), part(this).text);
    assert.ok(part(this).text.includes("1 lines were not structured ones"));
});

Then("the drawing has a bar of each stage", function(this: ScenarioWorld) {
    const drawing = readFileSync(join(part(this).folder, "drawing.svg"), "utf8");
    for (const stage of ["refused", "advice", "room", "repeat", "run", "end"]) {
        assert.ok(drawing.includes(`<title>${stage}: `), drawing);
    }
});

Then(
    "it ends with exit code {int} and names the field {string}",
    function(this: ScenarioWorld, exitCode: number, field: string) {
        assert.equal(part(this).exitCode, exitCode);
        assert.ok(part(this).errors.includes(`${field}: `), part(this).errors);
    },
);
