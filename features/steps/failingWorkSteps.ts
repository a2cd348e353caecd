/** Steps about exceptions in loops, watches and calls that nobody waits for, each with a fake clock of its own. */

import { Then, When } from "@cucumber/cucumber";
import { createFakeClock, createFakeRowStore, noopMeter, workerEntry } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    createCommitLog,
    createRowReader,
    decodeKnownOwner,
    journalTable,
    type Log,
    type RowStore,
    sleep,
    watchTable,
    watchWorkerList,
    type WorkerEntry,
} from "puffinarch";
import { readWorker } from "puffinarch-platform";
import { openShardWorkers } from "./examples/shardFixtures.js";
import { nestedText, partOf, type ScenarioWorld } from "./support.js";

interface Part {
    readonly lines: { readonly event: string; readonly fields: Readonly<Record<string, unknown>>; }[];
    handled: readonly string[];
    reads: number;
    listed: readonly (readonly WorkerEntry[])[];
    knownAfterMs: number;
    silentLooks: number;
    acknowledged: number;
    commits: { readonly durable: number; readonly aside: readonly string[]; readonly fenced: number; };
}

const part = (world: ScenarioWorld): Part =>
    partOf(world, "failingWork", () => ({
        lines: [],
        handled: [],
        reads: 0,
        listed: [],
        knownAfterMs: Infinity,
        silentLooks: 0,
        acknowledged: 0,
        commits: { durable: 0, aside: [], fenced: 0 },
    }));

const logOf = (world: ScenarioWorld): Log => ({
    write: (_level, event, fields) => part(world).lines.push({ event, fields }),
});

When(
    "a table is watched in which the handler of the row {string} throws",
    async function(this: ScenarioWorld, odd: string) {
        const clock = createFakeClock();
        const store = createFakeRowStore(clock);
        const connection = store.connect("entry-1");
        const handled = new Set<string>();
        for (const key of ["first", odd, "last"]) {
            store.put("t", key, {});
        }
        const watch = watchTable({
            clock,
            log: logOf(this),
            store: {
                ...connection,
                read: (...call) => {
                    part(this).reads += 1;
                    return connection.read(...call);
                },
            },
            table: "t",
            parts: [""],
            onRows: rows => {
                for (const { key } of rows) {
                    assert.notEqual(key, odd);
                    handled.add(key);
                }
            },
            onSnapshot: () => {},
        });
        await clock.advance(1_000);
        store.put("t", "later", {});
        await clock.advance(1_000);
        watch.stop();
        part(this).handled = [...handled].sort();
    },
);

Then(
    "the rows {string} have been handled and the table was read once",
    function(this: ScenarioWorld, keys: string) {
        assert.deepEqual(part(this).handled, keys.split(", ").sort());
        assert.equal(part(this).reads, 1);
    },
);

Then("{int} line names the row {string}", function(this: ScenarioWorld, count: number, key: string) {
    const named = part(this).lines.filter(({ fields }) => String(fields["work"]).includes(` ${key} `));
    assert.equal(named.length, count);
});

const executor = (address: string, more = ""): string =>
    `{"backend":"b","address":"${address}","zone":"z","state":"ready","capacity":{"cpu":1000}${more}}`;

/** Entries that another writer may leave, by the words of the feature. */
const oddEntries: Readonly<Record<string, string>> = {
    "a backend nested 5000 deep": executor("10.0.0.9:80").replace('"b"', nestedText(5_000)),
    "an address nested 5000 deep": executor("10.0.0.9:80").replace('"10.0.0.9:80"', nestedText(5_000)),
    "a capacity of 1e400": executor("10.0.0.9:80").replace("1000", "1e400"),
    "a start at 1e300": executor("10.0.0.9:80", ',"born":1e300'),
    "the address 999.999.999.999:80": executor("999.999.999.999:80"),
    "the address 10.0.0.9:70000": executor("10.0.0.9:70000"),
    "the address 010.0.0.9:80": executor("010.0.0.9:80"),
};

When(
    /^the list of executors is watched while another writer leaves an entry with (.+)$/,
    async function(this: ScenarioWorld, what: string) {
        const clock = createFakeClock();
        const store = createFakeRowStore(clock);
        const put = (key: string, value: string): void => store.putText({ table: "servers", part: "", key, value });
        const reader = createRowReader({ log: logOf(this), meter: noopMeter });
        const lists: (readonly WorkerEntry[])[] = [];
        const watch = watchWorkerList({
            clock,
            log: logOf(this),
            store: store.connect("entry-1"),
            table: "servers",
            readWorker: row => reader.entryOf(row, readWorker(row)),
            onWorkers: entries => lists.push(entries),
        });
        put("i-1", executor("10.0.0.1:80"));
        await clock.advance(1_000);
        put("i-0", executor("10.0.0.3:80"));
        put("i-9", oddEntries[what] ?? assert.fail(`no entry has ${what}`));
        put("i-2", executor("10.0.0.2:80"));
        await clock.advance(1_000);
        // The watch reads the whole list anew.
        store.forgetHistory();
        await clock.advance(2_000);
        put("i-3", executor("10.0.0.4:80"));
        put("i-1", executor("10.0.0.1:81"));
        await clock.advance(1_000);
        watch.stop();
        part(this).listed = lists;
    },
);

Then("the entries before, beside and after it are followed", function(this: ScenarioWorld) {
    const addresses = part(this).listed.at(-1)?.map(({ address }) => address).sort();
    assert.deepEqual(addresses, ["10.0.0.1:81", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"]);
});

Then("the odd entry is left out and reported once", function(this: ScenarioWorld) {
    assert.ok(part(this).listed.flat().every(({ workerId }) => workerId !== "i-9"));
    const events = part(this).lines.map(({ event, fields }) => `${event} ${String(fields["key"])}`);
    assert.deepEqual(events.filter(event => event !== "historyLost undefined"), ["rowUnreadable i-9"]);
});

/** How the first worker differs from the others: its adapter fails, or it lists an end of a job that cannot be looked up. */
const oddWorkers: Readonly<Record<string, { readonly failsCall: boolean; }>> = {
    "the call of a look fails": { failsCall: true },
    "the ends cannot be read": { failsCall: false },
};

When(
    /^an owner of (\d+) workers looks at one at which (.+)$/,
    async function(this: ScenarioWorld, count: string, what: string) {
        const clock = createFakeClock();
        const { failsCall } = oddWorkers[what] ?? assert.fail(`no worker at which ${what}`);
        const end = { endNumber: 1, taskName: "5c0e7a21d94b36f8.0.0.0", run: 1, how: "done", checkpoint: "" } as const;
        const workers = openShardWorkers({
            clock,
            port: {
                start: async () => "done",
                stop: async () => "done",
                pace: async () => "done",
                look: async ({ workerId }, { acknowledgedEnd }) => {
                    await sleep(clock, 20);
                    const isOdd = workerId === "i-0";
                    assert.ok(!isOdd || !failsCall);
                    part(this).acknowledged = Math.max(part(this).acknowledged, isOdd ? acknowledgedEnd : 0);
                    return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: isOdd ? [end] : [] };
                },
            },
            jobOf: () => assert.fail("the job cannot be looked up"),
            onRunsKnown: () => {
                part(this).knownAfterMs = clock.monotonicMs();
            },
        });
        const startedAtMs = clock.monotonicMs();
        workers.update(Array.from({ length: Number(count) }, (_, index) => workerEntry(`i-${index}`, index)));
        for (let passedMs = 0; passedMs < 3_000; passedMs += 100) {
            await clock.advance(100);
            workers.checkLeases(clock.monotonicMs());
        }
        part(this).knownAfterMs -= startedAtMs;
        part(this).silentLooks = workers.all.get("i-0")?.silentLooks ?? 0;
        workers.close();
    },
);

Then("it knows the runs of the others within {int} ms", function(this: ScenarioWorld, limitMs: number) {
    assert.ok(part(this).knownAfterMs <= limitMs, `after ${part(this).knownAfterMs} ms`);
});

Then("the worker counts as silent, and none of its ends is acknowledged", function(this: ScenarioWorld) {
    assert.ok(part(this).silentLooks > 1);
    assert.equal(part(this).acknowledged, 0);
});

const commitJobs = async (
    world: ScenarioWorld,
    { odd, transact }: { readonly odd?: string; readonly transact?: RowStore["transact"]; },
): Promise<void> => {
    const clock = createFakeClock();
    const connection = createFakeRowStore(clock).connect("entry-1");
    const aside: string[] = [];
    let fenced = 0;
    let durable = 0;
    const commits = createCommitLog({
        clock,
        log: logOf(world),
        meter: noopMeter,
        store: { ...connection, ...transact === undefined ? {} : { transact } },
        part: "shard-0",
        ownerVersion: 0,
        sequenceVersion: 0,
        storeLatencyMs: 8,
        claimId: "1",
        encode: jobId => {
            assert.notEqual(jobId, odd);
            return { puts: [{ table: journalTable, key: jobId, value: "{}" }], removes: [] };
        },
        onSetAside: jobId => aside.push(jobId),
        onFenced: () => {
            fenced += 1;
        },
    });
    for (const jobId of ["1", "odd", "2", "3"].filter(each => each !== "odd" || odd !== undefined)) {
        void commits.commit(jobId).then(() => {
            durable += 1;
        });
    }
    await clock.advance(1_000);
    part(world).commits = { durable, aside, fenced };
};

const failingStore: RowStore["transact"] = async () => assert.fail("the answer cannot be read");

When(/^jobs are committed (of which "odd" cannot be encoded|to a store whose calls fail)$/, async function(
    this: ScenarioWorld,
    what: string,
) {
    await commitJobs(this, what.startsWith("of") ? { odd: "odd" } : { transact: failingStore });
});

Then(
    "{int} jobs are durable, {string} is set aside and the shard was given up {int} times",
    function(this: ScenarioWorld, durable: number, aside: string, fenced: number) {
        assert.deepEqual(part(this).commits, { durable, aside: aside === "" ? [] : [aside], fenced });
        assert.equal(part(this).lines.some(({ event }) => event === "workFailed"), fenced > 0);
    },
);

Then("a peer that names {string} as the owner names none", (text: string) => {
    assert.equal(decodeKnownOwner(JSON.parse(text)), undefined);
});
