/** Steps about stored rows that cannot be decoded. */

import { Then, When } from "@cucumber/cucumber";
import { jobIdOf, readSteps, type ShardCell } from "@puffinarch/stand-ins";
import fc from "fast-check";
import assert from "node:assert/strict";
import {
    type Decoded,
    decodeMember,
    decodeOwner,
    decodeRow,
    endedSchema,
    endedTable,
    journalTable,
    memberTable,
    ownerKey,
    ownerTable,
    type Row,
    type RowKey,
    stateSchema,
    submissionSchema,
    upkeepTable,
} from "puffinarch";
import { readConfiguration, readWave, readWorker } from "puffinarch-platform";
import { cellOf } from "./shardCellPart.js";
import { nestedText, type ScenarioWorld } from "./support.js";

const rowOf = (key: string, value: string): Row => ({ table: "", part: "", key, value, version: 1 });

const fieldOf = (decoded: Decoded<unknown>): string => decoded.kind === "unreadable" ? decoded.field : decoded.kind;

Then("an executor's entry {string} cannot be read at {string}", (value: string, field: string) => {
    assert.equal(fieldOf(readWorker(rowOf("i-1", value))), field);
});

Then(
    "the operator's row {string} with {string} cannot be read at {string}",
    (key: string, value: string, field: string) => {
        const row = rowOf(key, value);
        assert.equal(fieldOf(key === "config" ? readConfiguration(row) : readWave(row)), field);
    },
);

const part = "shard-0";
/** Job of the unreadable rows. */
const unreadableJobId = jobIdOf(0xab);

/** The stored submission of another job, with its id replaced by that of the unreadable job. */
const submissionText = (cell: ShardCell): string => {
    const row = cell.store.rows(journalTable).find(({ key }) => key.startsWith("job/"));
    assert.ok(row?.value !== undefined, "no job is stored");
    return row.value.replaceAll(row.key.slice("job/".length), unreadableJobId);
};

type UnreadableRow = RowKey & { readonly value: string; };

const unreadableRows: Readonly<Record<string, (cell: ShardCell) => readonly UnreadableRow[]>> = {
    "a worker": () =>
        ["{", "null", "7", "{}", "[]"].map((value, index) => ({
            table: "workers",
            part: "",
            key: `w-${index}`,
            value,
        })),
    "a row of the first worker": () => [{ table: "workers", part: "", key: "worker-0", value: '{"address":7}' }],
    "a configuration": () => [{ table: "operator", part: "", key: "configuration", value: '{"version":"9"}' }],
    "a wave": () => [{ table: "operator", part: "", key: "wave/9", value: '{"number":"9"}' }],
    "a daemon": () => [{ table: memberTable, part: "", key: "entry-9", value: '{"memberId":"entry-9"}' }],
    "an owner": () => [{ table: ownerTable, part, key: ownerKey, value: '{"claimId":4}' }],
    "a job": () => [
        { table: journalTable, part, key: `job/${unreadableJobId}`, value: '{"submission":{}}' },
        {
            table: journalTable,
            part,
            key: `state/${unreadableJobId}`,
            value: '{"state":"running","done":[],"open":[]}',
        },
    ],
    "a state of a job": cell => [
        { table: journalTable, part, key: `job/${unreadableJobId}`, value: submissionText(cell) },
        { table: journalTable, part, key: `state/${unreadableJobId}`, value: '{"state":"running","done":7}' },
    ],
    "an ended job": () => [{ table: endedTable, part, key: unreadableJobId, value: '{"state":"constructor"}' }],
    "the VMs of a wave": () => [
        { table: upkeepTable, part, key: "9", value: "[7]" },
        {
            table: "operator",
            part: "",
            key: "wave/9",
            value: '{"number":9,"vmIds":[],"deadlineMs":60000,"atOnce":1}',
        },
    ],
};

When(/^another writer leaves (.+) that cannot be read$/, async function(this: ScenarioWorld, what: string) {
    const cell = cellOf(this);
    cell.submit(jobIdOf(0xcd), readSteps("1 long running"));
    await cell.clock.advance(500);
    const rows = unreadableRows[what] ?? assert.fail(`no unreadable row is named ${what}`);
    for (const row of rows(cell)) {
        cell.store.putText(row);
    }
});

Then("an unreadable row was logged once by each owner or daemon that read it", function(this: ScenarioWorld) {
    const lines = cellOf(this).log.filter(({ event }) => event === "rowUnreadable");
    assert.ok(lines.length > 0, "no unreadable row was logged");
    const names = lines.map(({ memberId, fields }) => `${memberId} ${fields["key"]} ${fields["version"]}`);
    assert.deepEqual(names, [...new Set(names)]);
});

Then("the first worker has started nothing", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const [first] = cell.workers.workerIds();
    const earlierJob = jobIdOf(0xcd);
    const started = cell.workers.evidence.filter(({ workerId, taskName }) =>
        workerId === first && !taskName.startsWith(earlierJob)
    );
    assert.deepEqual(started, []);
});

/** A readable row of one kind, and the function that decodes it. */
interface RowKind {
    readonly key: string;
    /** The row's value before it is written as JSON. */
    readonly valid: unknown;
    readonly decode: (row: Row) => Decoded<unknown>;
}

const executor = {
    backend: "b",
    address: "10.0.0.9:80",
    zone: "z",
    state: "ready",
    capacity: { cpu: 16_000, mem_mb: 32_768, gpu: 0 },
    labels: ["a", "r1-3"],
    drain_remaining_ms: 900,
};
const route = {
    host: "h",
    path_prefix: "/a/",
    backend: "b",
    timeout_ms: 3_000,
    priority: 1,
    attempts: 2,
    stretch: 2.2,
    advice: { decide_ms: 20, each_ms: 0.5, valid_ms: 2_500 },
};
const member = { memberId: "entry-1", address: "http://10.0.0.1:7720", dataCentre: "d", incarnation: "9", strength: 1 };
const submission = {
    submission: {
        jobId: unreadableJobId,
        queueKey: "h/a/",
        dataCentre: "d",
        payload: "plan",
        steps: [
            { count: 2, size: { cpuMillis: 1, memoryMib: 1, accelerators: 0 }, after: [] },
            { count: 1, size: { cpuMillis: 1, memoryMib: 1, accelerators: 0 }, after: [0], gang: true },
        ],
        schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
    },
    queue: { key: "h/a/", host: "h", pathPrefix: "/a/", service: "b", priority: 0, attempts: 1, timeoutMs: 1 },
    acceptedAtMs: 1,
    order: 1,
};

const failure = { cause: "crashes", taskName: `${unreadableJobId}.1.0.2`, count: 3 };

const kinds: Readonly<Record<string, RowKind>> = {
    worker: { key: "i-1", valid: executor, decode: readWorker },
    configuration: {
        key: "config",
        valid: { version: 7, routes: [route], limits: { max_body_bytes: 1 } },
        decode: readConfiguration,
    },
    wave: { key: "wave/3", valid: { wave: 3, machines: ["m-1"], deadline_s: 20, cap: 1 }, decode: readWave },
    member: { key: "entry-1", valid: member, decode: decodeMember },
    owner: { key: ownerKey, valid: { ...member, claimId: "c", shortOffices: 1 }, decode: decodeOwner },
    submission: { key: `job/${unreadableJobId}`, valid: submission, decode: row => decodeRow(row, submissionSchema) },
    state: {
        key: `state/${unreadableJobId}`,
        valid: {
            state: "running",
            done: [0],
            open: [[1, [[0, 0, [1, 0, [2, 1, "saved", [["i-1", 2]]]]]]]],
            crashed: [{ place: [1, 0, 2], crashes: 2, excused: 1 }],
            failed: [{ place: [1, 0, 2], workerIds: ["i-2"] }],
            addresses: { "i-1": "10.0.0.9:80" },
            failure,
        },
        decode: row => decodeRow(row, stateSchema),
    },
    ended: { key: unreadableJobId, valid: { state: "failed", failure }, decode: row => decodeRow(row, endedSchema) },
};

/** Length of a reason with the text of one value in it. */
const maxReasonLength = 200;

Then(
    "a {string} row whose {string} is nested {int} deep cannot be read at {string}",
    (name: string, field: string, depth: number, at: string) => {
        const { key, valid, decode } = kinds[name] ?? assert.fail(`no kind of row is named ${name}`);
        const text = JSON.stringify({ ...valid as object, [field]: "nested" });
        const decoded = decode(rowOf(key, text.replace('"nested"', nestedText(depth))));
        assert.equal(fieldOf(decoded), at);
        assert.ok(decoded.kind === "unreadable" && decoded.reason.length < maxReasonLength);
    },
);

/** Replaces one part of a JSON value by another value, or removes the part. */
const mutate = (value: unknown, path: readonly number[], replacement: unknown, remove: boolean): unknown => {
    const [position, ...rest] = path;
    if (position === undefined || typeof value !== "object" || value === null || Object.keys(value).length === 0) {
        return replacement;
    }
    const keys = Object.keys(value);
    const key = keys[position % keys.length] ?? "";
    const copy = structuredClone(value) as Record<string, unknown>;
    // JSON.stringify leaves out properties that are undefined.
    copy[key] = remove && rest.length === 0 ? undefined : mutate(copy[key], rest, replacement, remove);
    return copy;
};

/** Values that `JSON.stringify` does not write, by the placeholder that stands for each in a mutated value. */
const oddTexts: Readonly<Record<string, string>> = {
    "@nested": nestedText(5_000),
    "@overflow": "1e400",
    "@huge": "-1e308",
    "@tiny": "1e-320",
    "@exponent": "8E1",
    "@unsafe": "9007199254740993",
    "@minusZero": "-0",
};

const withOddTexts = (text: string): string =>
    text.replaceAll(/"(@\w+)"/g, (all, name: string) => oddTexts[name] ?? all);

/** Whether no field of an entry, at any depth, is null or a number that is not finite; fields may be missing. */
const isWellFormed = (entry: unknown): boolean => {
    if (entry === null || typeof entry === "number" && !Number.isFinite(entry)) {
        return false;
    }
    return typeof entry !== "object"
        || Object.values(entry as object).every(each => each === undefined || isWellFormed(each));
};

/** Type of each field of an entry, by the field's path. */
const typesOf = (entry: unknown, path = ""): ReadonlyMap<string, string> => {
    if (typeof entry !== "object" || entry === null) {
        return new Map([[path, typeof entry]]);
    }
    const inner = Object.entries(entry).flatMap(([key, value]) => [...typesOf(value, `${path}.${key}`)]);
    return new Map([[path, Array.isArray(entry) ? "list" : "object"], ...inner]);
};

Then(
    "{int} mutations of a {string} row with seed {int} throw nothing and give well-formed entries only",
    (runs: number, name: string, seed: number) => {
        const { key, valid, decode } = kinds[name] ?? assert.fail(`no kind of row is named ${name}`);
        const first = decode(rowOf(key, JSON.stringify(valid)));
        assert.equal(first.kind, "entry");
        const expected = typesOf(first.kind === "entry" ? first.entry : undefined);
        const texts = fc.oneof(
            fc.tuple(
                fc.array(fc.nat(9), { maxLength: 6 }),
                fc.oneof(fc.jsonValue(), fc.constantFrom(...Object.keys(oddTexts))),
                fc.boolean(),
            ).map((
                [path, replacement, remove],
            ) => withOddTexts(JSON.stringify(mutate(valid, path, replacement, remove)))),
            fc.nat(400).map(length => JSON.stringify(valid).slice(0, length)),
            fc.string(),
        );
        let entries = 0;
        fc.assert(
            fc.property(texts, text => {
                const decoded = decode(rowOf(key, text));
                if (decoded.kind !== "entry") {
                    assert.equal(decoded.kind, "unreadable");
                    return;
                }
                entries += 1;
                assert.ok(isWellFormed(decoded.entry), JSON.stringify(decoded.entry));
                // The lists in a job's state allow several types for one element; all other fields must keep their type.
                if (name !== "state") {
                    for (const [path, type] of typesOf(decoded.entry)) {
                        const known = expected.get(path);
                        assert.ok(known === undefined || type === "undefined" || known === type, `${path} is ${type}`);
                    }
                }
            }),
            { seed, numRuns: runs },
        );
        assert.ok(entries > 0, "no mutated row could be decoded");
    },
);
