import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import {
    add,
    createLedger,
    createSeededRandom,
    fits,
    type Ledger,
    noResources,
    type PlacementName,
    placements,
    type Resources,
} from "puffinarch";
import { partOf, type ScenarioWorld } from "./support.js";

const workerIds = ["w0", "w1", "w2"] as const;
const capacity: Resources = { cpuMillis: 4_000, memoryMib: 4_096, accelerators: 2 };

/** Operations on one ledger; `takeover` throws the ledger away and rebuilds it from what the workers run. */
type Operation =
    | { readonly kind: "place"; readonly worker: number; readonly attempt: number; readonly size: Resources; }
    | { readonly kind: "finish" | "cancel"; readonly attempt: number; }
    | { readonly kind: "takeover"; };

interface Model {
    readonly held: Map<string, { readonly workerId: string; readonly size: Resources; }>;
}

const freshLedger = (): Ledger => {
    const ledger = createLedger();
    for (const workerId of workerIds) {
        ledger.addWorker(workerId, "r0", capacity);
        ledger.setOpen(workerId, true);
    }
    return ledger;
};

const heldOn = (model: Model, workerId: string): Resources =>
    [...model.held.values()].filter(each => each.workerId === workerId).reduce(
        (sum, each) => add(sum, each.size),
        noResources,
    );

const applyPlace = (ledger: Ledger, model: Model, operation: Extract<Operation, { kind: "place"; }>): void => {
    const workerId = workerIds[operation.worker] ?? "";
    const attemptId = `a${operation.attempt}`;
    const known = model.held.get(attemptId);
    const room = fits(add(heldOn(model, workerId), operation.size), capacity);
    const expected = known === undefined ? room : known.workerId === workerId;
    assert.equal(ledger.reserve(workerId, attemptId, operation.size), expected);
    if (known === undefined && room) {
        model.held.set(attemptId, { workerId, size: operation.size });
    }
};

const rebuild = (model: Model): Ledger => {
    const ledger = freshLedger();
    for (const [attemptId, { workerId, size }] of model.held) {
        ledger.adopt(workerId, attemptId, size);
    }
    return ledger;
};

const agree = (ledger: Ledger, model: Model): void => {
    for (const workerId of workerIds) {
        const worker = ledger.worker(workerId);
        assert.ok(worker);
        assert.deepEqual(worker.reserved, heldOn(model, workerId));
        assert.ok(fits(worker.reserved, worker.capacity));
    }
};

const runAll = (operations: readonly Operation[]): void => {
    const model: Model = { held: new Map() };
    let ledger = freshLedger();
    for (const operation of operations) {
        if (operation.kind === "place") {
            applyPlace(ledger, model, operation);
        }
        else if (operation.kind === "takeover") {
            ledger = rebuild(model);
        }
        else {
            ledger.release(`a${operation.attempt}`);
            model.held.delete(`a${operation.attempt}`);
        }
        agree(ledger, model);
    }
};

const sizes = fc.record({
    cpuMillis: fc.integer({ min: 1, max: 4_500 }),
    memoryMib: fc.integer({ min: 1, max: 4_500 }),
    accelerators: fc.integer({ min: 0, max: 3 }),
});
const attempts = fc.integer({ min: 0, max: 12 });
const operations: fc.Arbitrary<Operation> = fc.oneof(
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constant("place" as const),
            worker: fc.integer({ min: 0, max: 2 }),
            attempt: attempts,
            size: sizes,
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({ kind: fc.constantFrom("finish" as const, "cancel" as const), attempt: attempts }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("takeover" as const) }) },
);

When("{int} random interleavings run against a ledger and a model", function(this: ScenarioWorld, runs: number) {
    fc.assert(fc.property(fc.array(operations, { maxLength: 60 }), runAll), { seed: 20_261_202, numRuns: runs });
    partOf(this, "interleavings", () => runs);
});

Then("the ledger never holds more than a worker has", function(this: ScenarioWorld) {
    assert.ok(this.parts.has("interleavings"));
});

Then("the ledger and the model always agree", function(this: ScenarioWorld) {
    assert.ok(this.parts.has("interleavings"));
});

const ledgerOf = (world: ScenarioWorld): Ledger => partOf(world, "ledger", createLedger);

Given("open workers with this room", function(this: ScenarioWorld, table: DataTable) {
    const ledger = ledgerOf(this);
    for (const row of table.hashes()) {
        const workerId = row["worker"] ?? "";
        ledger.addWorker(workerId, "r0", {
            cpuMillis: Number(row["cpuMillis"]),
            memoryMib: Number(row["memoryMib"]),
            accelerators: 0,
        });
        ledger.setOpen(workerId, true);
    }
});

When("the worker {string} is closed", function(this: ScenarioWorld, workerId: string) {
    ledgerOf(this).setOpen(workerId, false);
});

const choose = (ledger: Ledger, name: PlacementName, cpuMillis: number, memoryMib: number): string | undefined =>
    placements[name]({
        ledger,
        size: { cpuMillis, memoryMib, accelerators: 0 },
        random: createSeededRandom(1),
        avoid: new Set(),
        sampleSize: 2,
    }).worker?.workerId;

Then(
    "the policy {string} chooses {string} for a task of {int} cpuMillis and {int} memoryMib",
    function(this: ScenarioWorld, name: string, workerId: string, cpuMillis: number, memoryMib: number) {
        assert.equal(choose(ledgerOf(this), name as PlacementName, cpuMillis, memoryMib), workerId);
    },
);

Then(
    "no policy chooses a worker for a task of {int} cpuMillis and {int} memoryMib",
    function(this: ScenarioWorld, cpuMillis: number, memoryMib: number) {
        for (const name of Object.keys(placements)) {
            assert.equal(choose(ledgerOf(this), name as PlacementName, cpuMillis, memoryMib), undefined);
        }
    },
);
