import { Given, Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    createPlatform,
    defaultPlatformLimits,
    type FakeClock,
    type Fault,
    type Platform,
    type PlatformLimits,
    servePlatform,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { createSeededRandom, type ObjectStore, type TableStore, type TransactResult, type VmList } from "puffinarch";
import { createHttpClient, createHttpObjects, createHttpTable, createHttpVmList, createMeter } from "puffinarchd";
import { outcomeOf, partOf, type ScenarioWorld } from "./support.js";

interface PlatformPart {
    clock: FakeClock;
    platform: Platform;
    table: TableStore;
    objects: ObjectStore;
    vmList: VmList;
    result: TransactResult | undefined;
    results: readonly TransactResult[];
    answered: number;
}

const part = (world: ScenarioWorld, limits: Partial<PlatformLimits> = {}): PlatformPart =>
    partOf(world, "platform", () => {
        const clock = createFakeClock();
        const platform = createPlatform(clock, createSeededRandom(1), { ...defaultPlatformLimits, ...limits });
        const { table, objects, vmList } = platform;
        return { clock, platform, table, objects, vmList, result: undefined, results: [], answered: 0 };
    });

/**
 * Creates the faults of the table for a fault name in a feature; "none" gives an empty list.
 *
 * @example
 * createTableFaults("refuse", 1);
 */
export const createTableFaults = (kind: string, probability: number): readonly Fault[] =>
    kind === "none" ? [] : [{ target: "table", kind: kind as Fault["kind"], probability, delayMs: 500 }];

Given("a platform behind the {string} adapter", async function(this: ScenarioWorld, adapter: string) {
    const state = part(this);
    if (adapter === "direct") {
        return;
    }
    const served = await servePlatform(state.platform, 0);
    const http = createHttpClient({ timeoutMs: 5_000, connectionsPerHost: 4, meter: createMeter() });
    this.closers.push(served.close, http.close);
    state.table = createHttpTable(http, served.address);
    state.objects = createHttpObjects(http, served.address);
    state.vmList = createHttpVmList(http, served.address);
});

Given(
    "a platform that allows {int} writes and {int} reads a second",
    function(this: ScenarioWorld, writes: number, reads: number) {
        part(this, { writesPerSecond: writes, readsPerSecond: reads });
    },
);

Given("the table has the fault {string}", function(this: ScenarioWorld, fault: string) {
    part(this).platform.faults.set("table", createTableFaults(fault, 1));
});

/** Advances the fake clock by 1 s during a call: the platform delays slow answers by this clock. */
const awaitWithClock = async <T>(clock: FakeClock, call: Promise<T>): Promise<T> => {
    await clock.advance(1_000);
    return call;
};

When("a row {string} is put on condition that it is absent", async function(this: ScenarioWorld, key: string) {
    const state = part(this);
    const call = state.table.transact({
        conditions: [{ key, version: "absent" }],
        puts: [{ key, value: { a: 1 } }],
        deletes: [],
    });
    state.result = await awaitWithClock(state.clock, call);
});

When("a row {string} is put on condition of its version", async function(this: ScenarioWorld, key: string) {
    const state = part(this);
    const [row] = await state.table.read([key]);
    assert.ok(row);
    state.result = await state.table.transact({
        conditions: [{ key, version: row.version }],
        puts: [{ key, value: 2 }],
        deletes: [],
    });
});

Then("the outcome is {string}", function(this: ScenarioWorld, outcome: string) {
    assert.equal(part(this).result?.outcome, outcome);
});

Then("the row {string} is then {string}", async function(this: ScenarioWorld, key: string, expected: string) {
    const state = part(this);
    state.platform.faults.set("table", []);
    const rows = await state.table.read([key]);
    assert.equal(rows.length === 1 ? "present" : "absent", expected);
});

Then("a scan of {string} finds {int} row", async function(this: ScenarioWorld, prefix: string, count: number) {
    assert.equal((await part(this).table.scan(prefix)).length, count);
});

When(
    "the object {string} is put with the body {string}",
    async function(this: ScenarioWorld, key: string, body: string) {
        await part(this).objects.put(key, body);
    },
);

When("the object {string} is deleted", async function(this: ScenarioWorld, key: string) {
    await part(this).objects.delete(key);
});

Then("the object {string} reads {string}", async function(this: ScenarioWorld, key: string, body: string) {
    assert.equal(await part(this).objects.get(key), body);
});

Then("the object {string} is not there", async function(this: ScenarioWorld, key: string) {
    assert.equal(await part(this).objects.get(key), undefined);
});

When("{int} rows are written at once", async function(this: ScenarioWorld, count: number) {
    const state = part(this);
    state.results = await Promise.all(
        Array.from(
            { length: count },
            (_none, index) =>
                state.table.transact({ conditions: [], puts: [{ key: `k${index}`, value: 1 }], deletes: [] }),
        ),
    );
});

Then(
    "{int} writes are committed and {int} are refused",
    function(this: ScenarioWorld, committed: number, refused: number) {
        const { results } = part(this);
        assert.equal(results.filter(each => each.outcome === "committed").length, committed);
        assert.equal(results.filter(each => each.outcome === "refused").length, refused);
    },
);

When("{int} rows are read at once", async function(this: ScenarioWorld, count: number) {
    const state = part(this);
    const endings = await Promise.all(Array.from({ length: count }, () => outcomeOf(state.table.read(["k0"]))));
    state.answered = endings.filter(ending => ending.failure === undefined).length;
});

Then(
    "{int} reads are answered and {int} are unavailable",
    function(this: ScenarioWorld, answered: number, _unavailable: number) {
        assert.equal(part(this).answered, answered);
    },
);

When("the VM {string} is added", function(this: ScenarioWorld, vmId: string) {
    part(this).platform.setVms([{ vmId, role: "entry", dataCentre: "leon-feria", address: "", leaving: false }]);
});

When("the VM {string} is removed", function(this: ScenarioWorld, vmId: string) {
    part(this).platform.removeVms([vmId]);
});

When("{int} ms pass", async function(this: ScenarioWorld, ms: number) {
    for (const state of this.parts.values()) {
        await (state as { readonly clock?: FakeClock; }).clock?.advance(ms);
    }
});

const isListed = async (world: ScenarioWorld, vmId: string): Promise<boolean> =>
    (await part(world).vmList.list()).vms.some(vm => vm.vmId === vmId);

Then("the list shows {string}", async function(this: ScenarioWorld, vmId: string) {
    assert.equal(await isListed(this, vmId), true);
});

Then(/^the list does not show "([^"]*)" (?:yet|any more)$/, async function(this: ScenarioWorld, vmId: string) {
    assert.equal(await isListed(this, vmId), false);
});
