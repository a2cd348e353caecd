import { Given, Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    createPlatform,
    defaultPlatformLimits,
    type FakeClock,
    type Platform,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { createJournal, createSeededRandom, type Journal, type JournalRecord, type Meter, replay } from "puffinarch";
import { createTableFaults } from "./platformSteps.js";
import { type CallOutcome, outcomeKind, outcomeOf, partOf, type ScenarioWorld } from "./support.js";

interface JournalPart {
    readonly clock: FakeClock;
    readonly platform: Platform;
    readonly journal: Journal;
    /** Results of the appends, in their order; undefined while one is pending. */
    readonly endings: (CallOutcome<void> | undefined)[];
    /** Writes of the table before the first append. */
    readonly writesBefore: number;
    ownershipLost: boolean;
}

const fenceKey = "unit/home/leon-feria/h1";
const meter: Meter = { count: () => {}, record: () => {}, total: () => 0, percentile: () => 0 };

const createScenarioJournal = async (world: ScenarioWorld, batchesPerSecond: number): Promise<void> => {
    const clock = createFakeClock();
    const platform = createPlatform(clock, createSeededRandom(1), defaultPlatformLimits);
    const claimed = await platform.table.transact({
        conditions: [],
        puts: [{ key: fenceKey, value: {} }],
        deletes: [],
    });
    assert.ok(claimed.outcome === "committed");
    let batches = 0;
    const state: JournalPart = {
        clock,
        platform,
        endings: [],
        writesBefore: platform.evidence().writes,
        ownershipLost: false,
        journal: createJournal({
            table: platform.table,
            clock,
            log: { write: () => {} },
            meter,
            journalId: "h1",
            nextSequence: 0,
            fence: { key: fenceKey, version: claimed.version },
            newBatchId: () => {
                batches += 1;
                return `b${batches}`;
            },
            onFenced: () => {
                state.ownershipLost = true;
            },
            batchesPerSecond: () => batchesPerSecond,
            urgentBatchesPerSecond: () => 0,
            maxPendingEntries: 10_000,
        }),
    };
    partOf(world, "journal", () => state);
};

const part = (world: ScenarioWorld): JournalPart =>
    partOf<JournalPart>(world, "journal", () => assert.fail("the scenario created no journal"));

const createRecord = (jobId: string): JournalRecord => ({ kind: "jobCancelled", jobId, cancelledAtMs: 0 });

const trackEnding = (state: JournalPart, call: Promise<void>): void => {
    const index = state.endings.push(undefined) - 1;
    void outcomeOf(call).then(ending => {
        state.endings[index] = ending;
    });
};

Given("a journal", function(this: ScenarioWorld) {
    return createScenarioJournal(this, 1_000);
});

Given("a journal of {int} batches a second", function(this: ScenarioWorld, rate: number) {
    return createScenarioJournal(this, rate);
});

Given("the table has the fault {string} for {int} ms", function(this: ScenarioWorld, fault: string, forMs: number) {
    const { platform, clock } = part(this);
    platform.faults.set("table", createTableFaults(fault, 1));
    clock.setTimer(forMs, () => platform.faults.set("table", []));
});

Given("the row {string} is taken", async function(this: ScenarioWorld, key: string) {
    await part(this).platform.table.transact({ conditions: [], puts: [{ key, value: {} }], deletes: [] });
});

Given("the ownership row has changed", async function(this: ScenarioWorld) {
    await part(this).platform.table.transact({ conditions: [], puts: [{ key: fenceKey, value: {} }], deletes: [] });
});

When(/^(?:a|another) record is appended$/, function(this: ScenarioWorld) {
    const state = part(this);
    trackEnding(state, state.journal.append([createRecord("j1")], false));
});

When("a record is appended that claims the row {string}", function(this: ScenarioWorld, key: string) {
    const state = part(this);
    trackEnding(state, state.journal.claim([createRecord("j1")], { key, value: { homeId: "h1" } }, false));
});

When("{int} records are appended at once", function(this: ScenarioWorld, count: number) {
    const state = part(this);
    for (let index = 0; index < count; index += 1) {
        trackEnding(state, state.journal.append([createRecord(`j${index}`)], false));
    }
});

When(
    "a record is appended every {int} ms for {int} ms",
    async function(this: ScenarioWorld, everyMs: number, forMs: number) {
        const state = part(this);
        for (let passedMs = 0; passedMs < forMs; passedMs += everyMs) {
            trackEnding(state, state.journal.append([createRecord(`j${passedMs}`)], false));
            await state.clock.advance(everyMs);
        }
    },
);

Then("the append is {string}", function(this: ScenarioWorld, outcome: string) {
    assert.equal(outcomeKind(part(this).endings[0], "durable"), outcome);
});

Then("the other append is {string}", function(this: ScenarioWorld, outcome: string) {
    assert.equal(outcomeKind(part(this).endings[1], "durable"), outcome);
});

Then(/^the journal holds the record (\d+) times?$/, async function(this: ScenarioWorld, times: string) {
    const { records } = await replay(part(this).platform.table, "h1", 0);
    assert.equal(records.length, Number(times));
});

Then("the journal reports that it lost ownership", function(this: ScenarioWorld) {
    assert.equal(part(this).ownershipLost, true);
});

Then("all of them are durable in at most {int} writes", function(this: ScenarioWorld, writes: number) {
    const { endings, platform, writesBefore } = part(this);
    assert.ok(endings.every(ending => outcomeKind(ending, "durable") === "durable"));
    assert.ok(platform.evidence().writes - writesBefore <= writes);
});
