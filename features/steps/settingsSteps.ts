import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { failureOf, type Violation } from "puffinarch";
import { parseSettings } from "puffinarchd";
import { partOf, type ScenarioWorld } from "./support.js";

/** The lines of a valid settings file. */
const validLines: readonly string[] = [
    "vmId: entry-1",
    "dataCentre: leon-feria",
    "listen: { host: 127.0.0.1, port: 0 }",
    "platformAddress: http://127.0.0.1:7000",
];

const replaceLine = (index: number, line: string): string =>
    [...validLines.slice(0, index), line, ...validLines.slice(index + 1)].join("\n");
const appendLines = (...lines: readonly string[]): string => [...validLines, ...lines].join("\n");

/** Invalid settings files, by their names in the features. */
const settingsTexts: Readonly<Record<string, string>> = {
    "no vmId": validLines.slice(1).join("\n"),
    'a vmId of "a b"': replaceLine(0, "vmId: a b"),
    "a port of 70000": replaceLine(2, "listen: { host: 127.0.0.1, port: 70000 }"),
    "a host name instead of an IP": replaceLine(2, "listen: { host: localhost, port: 0 }"),
    'a platform address of "x"': replaceLine(3, "platformAddress: x"),
    'an unknown field "colour"': appendLines("colour: red"),
    'a log level of "loud"': appendLines("logLevel: loud"),
    "a lease of -1 ms": appendLines("timings: { leaseMs: -1 }"),
    "a lease shorter than polls": appendLines("timings: { leaseMs: 100 }"),
    "a grace below the validity": appendLines("timings: { deathGraceMs: 1000 }"),
    "text that is not YAML": "vmId: [",
};

When(/^a daemon is given settings with (.+)$/, function(this: ScenarioWorld, name: string) {
    const text = settingsTexts[name] ?? assert.fail(`unknown settings "${name}"`);
    let violations: readonly Violation[] = [];
    try {
        parseSettings(text);
    }
    catch (error) {
        const failure = failureOf(error);
        assert.equal(failure.kind, "invalid");
        violations = failure.violations ?? [];
    }
    partOf(this, "violations", () => violations);
});

Then(
    "the error names line {int}, field {string} and {string}",
    function(this: ScenarioWorld, line: number, field: string, allowed: string) {
        const violations = partOf<readonly Violation[]>(this, "violations", () => []);
        const found = violations.find(violation => violation.field === field && violation.line === line);
        assert.ok(found?.allowed.includes(allowed), JSON.stringify(violations));
    },
);
