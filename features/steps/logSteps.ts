import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type ChildProcessByStdio, spawn } from "node:child_process";
import type { Readable } from "node:stream";
import { createSystemClock } from "puffinarch";
import { createLog } from "puffinarchd";
import { nestedText, partOf, type ScenarioWorld } from "./support.js";

interface LogPart {
    child: ChildProcessByStdio<null, Readable, Readable> | undefined;
    lines: readonly Readonly<Record<string, unknown>>[];
}

const part = (world: ScenarioWorld): LogPart => partOf(world, "log", () => ({ child: undefined, lines: [] }));

const stepTimeoutMs = 60_000;
/**
 * Returns the source of a process that logs the lines, writes to standard error when it is done, and then logs a line "last"
 * every 200 ms, so that a reader that starts late gets the buffered lines and the end of the output.
 */
const createLoggingScript = (lines: number, level: "info" | "warn"): string =>
    `import { createLog, openLogOutput, standardOutput } from "puffinarchd";
    import { createSystemClock } from "puffinarch";
    const output = openLogOutput(standardOutput);
    const log = createLog({ clock: createSystemClock(), level: "info", vmId: "entry-1", write: output.write });
    for (let number = 0; number < ${lines}; number += 1) {
        log.write("${level}", "line", { number, text: "x".repeat(100) });
        if (number % 100 === 0) { await new Promise(resolve => setImmediate(resolve)); }
    }
    log.write("warn", "shardLost", { reason: "commit" });
    process.stderr.write("logged");
    const wait = setInterval(() => {
        log.write("warn", "last", {});
        void output.flush();
    }, 200);
    process.on("SIGTERM", () => { clearInterval(wait); void output.flush().then(() => process.exit(0)); });`;

const startLoggingProcess = (
    world: ScenarioWorld,
    lines: number,
    level: "info" | "warn" = "info",
): ChildProcessByStdio<null, Readable, Readable> => {
    const child = spawn(process.execPath, ["--input-type=module", "-e", createLoggingScript(lines, level)], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    part(world).child = child;
    return child;
};

const readStandardError = (child: ChildProcessByStdio<null, Readable, Readable>): Promise<string> =>
    new Promise(resolve => {
        child.stderr.once("data", (data: Buffer) => resolve(data.toString("utf8")));
    });

/** Reads the log up to a line "last", and kills the process. */
const readToLastLine = async (child: ChildProcessByStdio<null, Readable, Readable>): Promise<LogPart["lines"]> => {
    let text = "";
    for await (const data of child.stdout) {
        text += String(data);
        if (text.includes('"last"') && text.endsWith("\n")) {
            break;
        }
    }
    child.kill("SIGKILL");
    return text.trim().split("\n").map(line => JSON.parse(line) as Readonly<Record<string, unknown>>);
};

Given(
    "a process that logs {int} lines to a standard output that nobody reads",
    function(this: ScenarioWorld, lines: number) {
        startLoggingProcess(this, lines);
    },
);

Given(
    "a process that logs {int} warnings and then the loss of its shard to a standard output that nobody reads",
    function(this: ScenarioWorld, lines: number) {
        startLoggingProcess(this, lines, "warn");
    },
);

Then(
    "its output, when read afterwards, holds the loss of the shard",
    { timeout: stepTimeoutMs },
    async function(this: ScenarioWorld) {
        const { child } = part(this);
        assert.ok(child !== undefined);
        const lines = await readToLastLine(child);
        assert.ok(lines.some(line => line["event"] === "logDropped"), "the buffer was never full");
        assert.ok(lines.some(line => line["event"] === "shardLost"), "the line was dropped");
    },
);

Then("it logs all lines without blocking", { timeout: stepTimeoutMs }, async function(this: ScenarioWorld) {
    const { child } = part(this);
    assert.ok(child !== undefined);
    assert.equal(await readStandardError(child), "logged");
});

Then(
    "its output, when read afterwards, reports how many lines were dropped",
    { timeout: stepTimeoutMs },
    async function(this: ScenarioWorld) {
        const { child } = part(this);
        assert.ok(child !== undefined);
        const lines = await readToLastLine(child);
        const dropped = lines.find(line => line["event"] === "logDropped");
        assert.ok(Number(dropped?.["lines"]) > 0, "no log line reports dropped lines");
    },
);

Given(
    "a process that logs {int} lines to a standard output that is read",
    { timeout: stepTimeoutMs },
    async function(this: ScenarioWorld, lines: number) {
        part(this).lines = await readToLastLine(startLoggingProcess(this, lines));
    },
);

When("a value nested {int} deep is logged", function(this: ScenarioWorld, depth: number) {
    const lines: string[] = [];
    const log = createLog({
        clock: createSystemClock(),
        level: "info",
        vmId: "entry-1",
        write: line => lines.push(line),
    });
    log.write("warn", "refused", { reason: JSON.parse(nestedText(depth)) as unknown });
    part(this).lines = lines.map(line => JSON.parse(line) as Readonly<Record<string, unknown>>);
});

Then("a line names the event and has fewer than {int} characters", function(this: ScenarioWorld, limit: number) {
    const [line] = part(this).lines;
    assert.equal(line?.["event"], "refused");
    assert.ok(JSON.stringify(line).length < limit);
});

Then("all {int} lines are read in order", function(this: ScenarioWorld, count: number) {
    const numbers = part(this).lines.filter(line => line["event"] === "line").map(line => line["number"]);
    assert.deepEqual(numbers, Array.from({ length: count }, (_, number) => number));
});
