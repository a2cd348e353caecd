import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { failureOf, type Violation } from "puffinarch";
import { parseSettings } from "puffinarchd";
import { partOf, type ScenarioWorld } from "./support.js";

const good: readonly string[] = [
    "vmId: entry-1",
    "dataCentre: leon-feria",
    "listen: { host: 127.0.0.1, port: 0 }",
    "platformAddress: http://127.0.0.1:7000",
];

const withLine = (index: number, line: string): string =>
    [...good.slice(0, index), line, ...good.slice(index + 1)].join("\n");
const withMore = (...lines: readonly string[]): string => [...good, ...lines].join("\n");

const cases: Readonly<Record<string, string>> = {
    "no vmId": good.slice(1).join("\n"),
    'a vmId of "a b"': withLine(0, "vmId: a b"),
    "a port of 70000": withLine(2, "listen: { host: 127.0.0.1, port: 70000 }"),
    "a host name instead of an IP": withLine(2, "listen: { host: localhost, port: 0 }"),
    'a platform address of "x"': withLine(3, "platformAddress: x"),
    'an unknown field "colour"': withMore("colour: red"),
    'a log level of "loud"': withMore("logLevel: loud"),
    "a lease of -1 ms": withMore("timings: { leaseMs: -1 }"),
    "a lease shorter than polls": withMore("timings: { leaseMs: 100 }"),
    "a grace below the validity": withMore("timings: { deathGraceMs: 1000 }"),
    "text that is not YAML": "vmId: [",
};

When(/^a daemon is given settings with (.+)$/, function(this: ScenarioWorld, name: string) {
    const text = cases[name] ?? assert.fail(`no settings are named ${name}`);
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
