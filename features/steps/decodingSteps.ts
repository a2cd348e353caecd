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
import type { ScenarioWorld } from "./support.js";

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
const strangeId = jobIdOf(0xab);

/** Another job's submission, under an id of its own. */
const submissionText = (cell: ShardCell): string => {
    const row = cell.store.rows(journalTable).find(({ key }) => key.startsWith("job/"));
    assert.ok(row?.value !== undefined, "no job is stored");
    return row.value.replaceAll(row.key.slice("job/".length), strangeId);
};

type StrangeRow = RowKey & { readonly value: string; };

const strangeRows: Readonly<Record<string, (cell: ShardCell) => readonly StrangeRow[]>> = {
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
        { table: journalTable, part, key: `job/${strangeId}`, value: '{"submission":{}}' },
        { table: journalTable, part, key: `state/${strangeId}`, value: '{"state":"running","done":[],"open":[]}' },
    ],
    "a state of a job": cell => [
        { table: journalTable, part, key: `job/${strangeId}`, value: submissionText(cell) },
        { table: journalTable, part, key: `state/${strangeId}`, value: '{"state":"running","done":7}' },
    ],
    "an ended job": () => [{ table: endedTable, part, key: strangeId, value: '{"state":"constructor"}' }],
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
    const rows = strangeRows[what] ?? assert.fail(`no row is named ${what}`);
    for (const row of rows(cell)) {
        cell.store.putText(row);
    }
});

Then("an unreadable row was logged once by each owner or daemon that met it", function(this: ScenarioWorld) {
    const lines = cellOf(this).log.filter(({ event }) => event === "rowUnreadable");
    assert.ok(lines.length > 0, "nobody has logged any");
    const names = lines.map(({ memberId, fields }) => `${memberId} ${fields["key"]} ${fields["version"]}`);
    assert.deepEqual(names, [...new Set(names)]);
});

Then("the first worker has started nothing", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const [first] = cell.workers.workerIds();
    const standing = jobIdOf(0xcd);
    const started = cell.workers.evidence.filter(({ workerId, taskName }) =>
        workerId === first && !taskName.startsWith(standing)
    );
    assert.deepEqual(started, []);
});

/** A row of each kind that can be read, and how it is. */
interface Kind {
    readonly key: string;
    readonly whole: unknown;
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
        jobId: strangeId,
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

const failure = { cause: "crashes", taskName: `${strangeId}.1.0.2`, count: 3 };

const kinds: Readonly<Record<string, Kind>> = {
    worker: { key: "i-1", whole: executor, decode: readWorker },
    configuration: {
        key: "config",
        whole: { version: 7, routes: [route], limits: { max_body_bytes: 1 } },
        decode: readConfiguration,
    },
    wave: { key: "wave/3", whole: { wave: 3, machines: ["m-1"], deadline_s: 20, cap: 1 }, decode: readWave },
    member: { key: "entry-1", whole: member, decode: decodeMember },
    owner: { key: ownerKey, whole: { ...member, claimId: "c", shortOffices: 1 }, decode: decodeOwner },
    submission: { key: `job/${strangeId}`, whole: submission, decode: row => decodeRow(row, submissionSchema) },
    state: {
        key: `state/${strangeId}`,
        whole: {
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
    ended: { key: strangeId, whole: { state: "failed", failure }, decode: row => decodeRow(row, endedSchema) },
};

/** Puts a value in place of one part of a JSON value, or leaves the part out. */
const mutate = (value: unknown, path: readonly number[], put: unknown, leaveOut: boolean): unknown => {
    const [place, ...rest] = path;
    if (place === undefined || typeof value !== "object" || value === null || Object.keys(value).length === 0) {
        return put;
    }
    const keys = Object.keys(value);
    const key = keys[place % keys.length] ?? "";
    const copy = structuredClone(value) as Record<string, unknown>;
    // JSON leaves out what is undefined.
    copy[key] = leaveOut && rest.length === 0 ? undefined : mutate(copy[key], rest, put, leaveOut);
    return copy;
};

/** Types that no field of an entry may have, at any depth; a field that is left out is well. */
const isWhole = (entry: unknown): boolean => {
    if (entry === null || typeof entry === "number" && !Number.isFinite(entry)) {
        return false;
    }
    return typeof entry !== "object"
        || Object.values(entry as object).every(each => each === undefined || isWhole(each));
};

/** The type of each field of an entry, by its path. */
const typesOf = (entry: unknown, path = ""): ReadonlyMap<string, string> => {
    if (typeof entry !== "object" || entry === null) {
        return new Map([[path, typeof entry]]);
    }
    const inner = Object.entries(entry).flatMap(([key, value]) => [...typesOf(value, `${path}.${key}`)]);
    return new Map([[path, Array.isArray(entry) ? "list" : "object"], ...inner]);
};

Then(
    "{int} mutations of a {string} row with seed {int} throw nothing and give whole entries only",
    (runs: number, name: string, seed: number) => {
        const { key, whole, decode } = kinds[name] ?? assert.fail(`no kind is named ${name}`);
        const first = decode(rowOf(key, JSON.stringify(whole)));
        assert.equal(first.kind, "entry");
        const expected = typesOf(first.kind === "entry" ? first.entry : undefined);
        const texts = fc.oneof(
            fc.tuple(fc.array(fc.nat(9), { maxLength: 6 }), fc.jsonValue(), fc.boolean()).map(([path, put, leaveOut]) =>
                JSON.stringify(mutate(whole, path, put, leaveOut))
            ),
            fc.nat(400).map(length => JSON.stringify(whole).slice(0, length)),
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
                assert.ok(isWhole(decoded.entry), JSON.stringify(decoded.entry));
                // Lists of unions may change a part's type within what is allowed; everything else keeps it.
                if (name !== "state") {
                    for (const [path, type] of typesOf(decoded.entry)) {
                        const known = expected.get(path);
                        assert.ok(known === undefined || type === "undefined" || known === type, `${path} is ${type}`);
                    }
                }
            }),
            { seed, numRuns: runs },
        );
        assert.ok(entries > 0, "no mutation left an entry");
    },
);
