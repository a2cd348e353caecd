import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type ChildProcessByStdio, spawn } from "node:child_process";
import type { Readable } from "node:stream";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    child: ChildProcessByStdio<null, Readable, Readable> | undefined;
    lines: readonly Readonly<Record<string, unknown>>[];
}

const part = (world: ScenarioWorld): Part => partOf(world, "log", () => ({ child: undefined, lines: [] }));

const patienceMs = 60_000;
/** Says on standard error when all lines are logged, and logs one more after a moment in which it is read. */
const scriptFor = (lines: number): string =>
    `import { createLog, openLogOutput, standardOutput } from "puffinarchd";
    import { createSystemClock } from "puffinarch";
    const output = openLogOutput(standardOutput);
    const log = createLog({ clock: createSystemClock(), level: "info", vmId: "entry-1", write: output.write });
    for (let number = 0; number < ${lines}; number += 1) {
        log.write("info", "line", { number, text: "x".repeat(100) });
        if (number % 100 === 0) { await new Promise(resolve => setImmediate(resolve)); }
    }
    process.stderr.write("logged");
    const wait = setInterval(() => {
        log.write("warn", "last", {});
        void output.flush();
    }, 200);
    process.on("SIGTERM", () => { clearInterval(wait); void output.flush().then(() => process.exit(0)); });`;

const start = (world: ScenarioWorld, lines: number): ChildProcessByStdio<null, Readable, Readable> => {
    const child = spawn(process.execPath, ["--input-type=module", "-e", scriptFor(lines)], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    part(world).child = child;
    return child;
};

const logged = (child: ChildProcessByStdio<null, Readable, Readable>): Promise<string> =>
    new Promise(resolve => {
        child.stderr.once("data", (data: Buffer) => resolve(data.toString("utf8")));
    });

/** Reads until a line says that it is the last. */
const readAll = async (child: ChildProcessByStdio<null, Readable, Readable>): Promise<Part["lines"]> => {
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
        start(this, lines);
    },
);

Then("it goes on to its end", { timeout: patienceMs }, async function(this: ScenarioWorld) {
    const { child } = part(this);
    assert.ok(child !== undefined);
    assert.equal(await logged(child), "logged");
});

Then(
    "its output, read then, tells how many lines were left out",
    { timeout: patienceMs },
    async function(this: ScenarioWorld) {
        const { child } = part(this);
        assert.ok(child !== undefined);
        const lines = await readAll(child);
        const dropped = lines.find(line => line["event"] === "logDropped");
        assert.ok(Number(dropped?.["lines"]) > 0, "no line tells what was left out");
    },
);

Given(
    "a process that logs {int} lines to a standard output that is read",
    { timeout: patienceMs },
    async function(this: ScenarioWorld, lines: number) {
        part(this).lines = await readAll(start(this, lines));
    },
);

Then("all {int} lines came, in order", function(this: ScenarioWorld, count: number) {
    const numbers = part(this).lines.filter(line => line["event"] === "line").map(line => line["number"]);
    assert.deepEqual(numbers, Array.from({ length: count }, (_, number) => number));
});
