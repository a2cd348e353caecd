/** Steps about the members of a cell and the owners of its shard: who claims, what each logs, when it is ready. */

import { Then, When } from "@cucumber/cucumber";
import type { PeerCalls, ShardCell } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { cellOf, part } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

Then(
    "the owner knows {int} workers within {int} ms",
    async function(this: ScenarioWorld, count: number, limitMs: number) {
        const cell = cellOf(this);
        const isKnown = (): boolean =>
            cell.log.slice(part(this).linesBefore).some(line =>
                line.event === "workersKnown" && line.fields["workers"] === count
            );
        assert.ok(await cell.until(isKnown, limitMs), "it does not");
    },
);

Then("all daemons that run are ready within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    const running = cell.memberIds().filter(memberId => memberId !== part(this).ownerBefore);
    const notReady = (): readonly string[] => running.filter(memberId => cell.member(memberId)?.ready() !== true);
    assert.ok(await cell.until(() => notReady().length === 0, limitMs), `not ready: ${notReady().join(", ")}`);
});

/** Lines of an event since the newest fault, for each daemon but the owner before it. */
const linesOfOthers = (
    world: ScenarioWorld,
    event: string,
): ReadonlyMap<string, readonly ShardCell["log"][number][]> => {
    const { linesBefore, ownerBefore } = part(world);
    const lines = cellOf(world).log.slice(linesBefore).filter(line => line.event === event);
    const others = cellOf(world).memberIds().filter(memberId => memberId !== ownerBefore);
    return new Map(others.map(memberId => [memberId, lines.filter(line => line.memberId === memberId)]));
};

Then(
    /^each other daemon has logged "(\w+)" (\d+) times?, at last with "(\w+)" "(\w*)"$/,
    function(this: ScenarioWorld, event: string, times: string, field: string, value: string) {
        for (const [memberId, lines] of linesOfOthers(this, event)) {
            assert.equal(lines.length, Number(times), memberId);
            assert.equal(lines.at(-1)?.fields[field] ?? "", value, memberId);
        }
    },
);

Then(
    "each other daemon has logged {string} {int} times at most",
    function(this: ScenarioWorld, event: string, most: number) {
        for (const [memberId, lines] of linesOfOthers(this, event)) {
            assert.ok(lines.length > 0 && lines.length <= most, `${memberId}: ${lines.length}`);
        }
    },
);

When("only the weak daemons are back", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    for (const memberId of cell.memberIds().filter(each => !isStrong(this, each))) {
        cell.restart(memberId);
    }
});

Then("{int} daemons at most began a claim", function(this: ScenarioWorld, most: number) {
    const lines = cellOf(this).log.slice(part(this).linesBefore).filter(line => line.event === "claimBegins");
    const claimants = new Set(lines.map(line => line.memberId));
    assert.ok(claimants.size <= most, [...claimants].join(", "));
});

Then("the shard was claimed {int} times at most", function(this: ScenarioWorld, most: number) {
    const known = cellOf(this).log.slice(part(this).linesBefore).filter(line => line.event === "ownerKnown");
    const tokens = new Set(known.map(line => Number(line.fields["fencingToken"])));
    // The lowest is the owner's before the fault.
    assert.ok(tokens.size - 1 <= most, `${tokens.size - 1} times`);
});

const isStrong = (world: ScenarioWorld, memberId: string | undefined): boolean =>
    memberId !== undefined && part(world).strengths[cellOf(world).memberIds().indexOf(memberId)] === 1;

Then("no weak daemon has owned the shard since", function(this: ScenarioWorld) {
    const lines = cellOf(this).log.slice(part(this).linesBefore);
    const owners = lines.filter(line => line.event === "claimed").map(line => line.memberId);
    assert.ok(owners.length > 0);
    assert.deepEqual(owners.filter(owner => !isStrong(this, owner)), []);
});

Then("the shard has had {int} owners at most since", function(this: ScenarioWorld, most: number) {
    const lines = cellOf(this).log.slice(part(this).linesBefore);
    const owners = lines.filter(line => line.event === "claimed").map(line => line.memberId);
    assert.ok(owners.length <= most, `it has had ${owners.length}: ${owners.join(", ")}`);
});

Then(
    "in {int} ms each other daemon has {int} calls a second at most with its peers, and the owner {int}",
    async function(this: ScenarioWorld, forMs: number, most: number, mostOfOwner: number) {
        const cell = cellOf(this);
        const owner = cell.owner();
        const before = cell.peerCalls();
        await cell.clock.advance(forMs);
        const callsOf = (calls: ReadonlyMap<string, PeerCalls>, memberId: string): number => {
            const { sent, received: taken } = calls.get(memberId) ?? { sent: 0, received: 0 };
            return sent + taken;
        };
        for (const memberId of cell.memberIds()) {
            const callsPerS = 1_000 * (callsOf(cell.peerCalls(), memberId) - callsOf(before, memberId)) / forMs;
            const allowed = memberId === owner ? mostOfOwner : most;
            assert.ok(callsPerS <= allowed, `${memberId} has ${callsPerS} calls a second`);
        }
    },
);

/** Which daemons lose power, by words. */
const losers: Readonly<Record<string, (cell: ShardCell) => readonly string[]>> = {
    "all others": cell => othersOf(cell),
    "half of the others": cell => othersOf(cell).filter((_memberId, index) => index % 2 === 0),
};

const othersOf = (cell: ShardCell): readonly string[] => cell.memberIds().filter(memberId => memberId !== cell.owner());

When(
    /^(all others|half of the others|the owner and half of the others) lose power$/,
    function(this: ScenarioWorld, who: string) {
        const cell = cellOf(this);
        for (const memberId of losers[who]?.(cell) ?? []) {
            cell.kill(memberId);
        }
    },
);

Then(
    "no daemon sends more than {int} calls to its peers in any {int} ms of {int} ms",
    async function(this: ScenarioWorld, most: number, windowMs: number, forMs: number) {
        const cell = cellOf(this);
        for (let passedMs = 0; passedMs < forMs; passedMs += windowMs) {
            const before = cell.peerCalls();
            await cell.clock.advance(windowMs);
            for (const [memberId, { sent }] of cell.peerCalls()) {
                const calls = sent - (before.get(memberId)?.sent ?? 0);
                assert.ok(calls <= most, `${memberId} sent ${calls} calls after ${passedMs} ms`);
            }
        }
    },
);

Then("those that are cut off are not ready within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    await cell.clock.advance(limitMs);
    const stillReady = cell.memberIds().filter(memberId =>
        cell.isCut(memberId, "peers") && cell.member(memberId)?.ready() === true
    );
    assert.deepEqual(stillReady, []);
});

Then("no other daemon has logged {string}", function(this: ScenarioWorld, event: string) {
    const cell = cellOf(this);
    const { linesBefore } = part(this);
    const others = cell.log.slice(linesBefore).filter(line =>
        line.event === event && !cell.isCut(line.memberId, "peers")
    );
    assert.deepEqual(others.map(({ memberId }) => memberId), []);
});

Then("the shard's owner is strong", function(this: ScenarioWorld) {
    assert.ok(isStrong(this, cellOf(this).owner()), `it is ${cellOf(this).owner()}`);
});

Then("a daemon owns the shard within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    assert.ok(await cell.until(() => cell.owner() !== undefined, limitMs), "nobody does");
});

Then("the shard has had no other owner", function(this: ScenarioWorld) {
    const owners = cellOf(this).log.filter(line => line.event === "claimed").map(line => line.memberId);
    assert.equal(owners.length, 1, owners.join(", "));
});

Then("the shard's owner has written {int} batches at most", function(this: ScenarioWorld, most: number) {
    const row = cellOf(this).store.rows("puffinarch-journal").find(each => each.key === "sequence");
    const { batch } = JSON.parse(row?.value ?? "{}") as { readonly batch?: string; };
    const written = 1 + Number(batch?.split("/").at(-1));
    assert.ok(written <= most, `${written} batches`);
});

Then("the new owner has reviewed the tasks of {int} jobs", function(this: ScenarioWorld, jobs: number) {
    const cell = cellOf(this);
    const lines = cell.log.slice(part(this).linesBefore).filter(line => line.event === "tasksReviewed");
    assert.deepEqual(lines.map(line => [line.memberId, line.fields["jobs"]]), [[cell.owner(), jobs]]);
});

Then("another daemon owns the shard within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    const { ownerBefore } = part(this);
    const others = cell.memberIds().filter(memberId => memberId !== ownerBefore);
    const reached = await cell.until(
        () => others.some(memberId => cell.member(memberId)?.ownsShard() === true),
        limitMs,
    );
    assert.ok(reached, `still ${cell.owner()}`);
});
