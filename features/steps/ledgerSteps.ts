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

/** Operations on a ledger; `takeover` replaces it by a new one that is rebuilt from the attempts that the workers hold. */
type Operation =
    | { readonly kind: "place"; readonly worker: number; readonly attempt: number; readonly size: Resources; }
    | { readonly kind: "finish" | "cancel"; readonly attempt: number; }
    | { readonly kind: "takeover"; };

/** The expected content of the ledger: the attempts that hold capacity, with their workers and sizes. */
interface Model {
    readonly held: Map<string, { readonly workerId: string; readonly size: Resources; }>;
}

const createOpenLedger = (): Ledger => {
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
    const heldAttempt = model.held.get(attemptId);
    const hasCapacity = fits(add(heldOn(model, workerId), operation.size), capacity);
    const expected = heldAttempt === undefined ? hasCapacity : heldAttempt.workerId === workerId;
    assert.equal(ledger.reserve(workerId, attemptId, operation.size), expected);
    if (heldAttempt === undefined && hasCapacity) {
        model.held.set(attemptId, { workerId, size: operation.size });
    }
};

const rebuildLedger = (model: Model): Ledger => {
    const ledger = createOpenLedger();
    for (const [attemptId, { workerId, size }] of model.held) {
        ledger.adopt(workerId, attemptId, size);
    }
    return ledger;
};

const assertConsistent = (ledger: Ledger, model: Model): void => {
    for (const workerId of workerIds) {
        const worker = ledger.worker(workerId);
        assert.ok(worker);
        assert.deepEqual(worker.reserved, heldOn(model, workerId));
        assert.ok(fits(worker.reserved, worker.capacity));
    }
};

const runOperations = (operations: readonly Operation[]): void => {
    const model: Model = { held: new Map() };
    let ledger = createOpenLedger();
    for (const operation of operations) {
        if (operation.kind === "place") {
            applyPlace(ledger, model, operation);
        }
        else if (operation.kind === "takeover") {
            ledger = rebuildLedger(model);
        }
        else {
            ledger.release(`a${operation.attempt}`);
            model.held.delete(`a${operation.attempt}`);
        }
        assertConsistent(ledger, model);
    }
};

const sizeArbitrary = fc.record({
    cpuMillis: fc.integer({ min: 1, max: 4_500 }),
    memoryMib: fc.integer({ min: 1, max: 4_500 }),
    accelerators: fc.integer({ min: 0, max: 3 }),
});
const attemptArbitrary = fc.integer({ min: 0, max: 12 });
const operations: fc.Arbitrary<Operation> = fc.oneof(
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constant("place" as const),
            worker: fc.integer({ min: 0, max: 2 }),
            attempt: attemptArbitrary,
            size: sizeArbitrary,
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constantFrom("finish" as const, "cancel" as const),
            attempt: attemptArbitrary,
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("takeover" as const) }) },
);

When("{int} random interleavings run against a ledger and a model", function(this: ScenarioWorld, runs: number) {
    fc.assert(fc.property(fc.array(operations, { maxLength: 60 }), runOperations), { seed: 20_261_202, numRuns: runs });
    partOf(this, "interleavings", () => runs);
});

// The next two steps only require that the interleavings ran: `assertConsistent` checks both after each operation.
Then("the ledger never reserves more than a worker's capacity", function(this: ScenarioWorld) {
    assert.ok(this.parts.has("interleavings"));
});

Then("the ledger and the model always agree", function(this: ScenarioWorld) {
    assert.ok(this.parts.has("interleavings"));
});

const ledgerOf = (world: ScenarioWorld): Ledger => partOf(world, "ledger", createLedger);

Given("open workers with this capacity", function(this: ScenarioWorld, table: DataTable) {
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

const chooseWorkerId = (
    ledger: Ledger,
    name: PlacementName,
    cpuMillis: number,
    memoryMib: number,
): string | undefined =>
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
        assert.equal(chooseWorkerId(ledgerOf(this), name as PlacementName, cpuMillis, memoryMib), workerId);
    },
);

Then(
    "no policy chooses a worker for a task of {int} cpuMillis and {int} memoryMib",
    function(this: ScenarioWorld, cpuMillis: number, memoryMib: number) {
        for (const name of Object.keys(placements)) {
            assert.equal(chooseWorkerId(ledgerOf(this), name as PlacementName, cpuMillis, memoryMib), undefined);
        }
    },
);
