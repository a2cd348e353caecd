/** Steps that check the members of a cell and the owner of its shard: claims, log lines, readiness and calls between members. */

import { Then, When } from "@cucumber/cucumber";
import { createFakeClock, noopLog, noopMeter, type PeerCalls, type ShardCell } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    type Clock,
    createPeers,
    createRowReader,
    die,
    type MemberPort,
    type MemberRow,
    type PingAnswer,
    type PingRequest,
    sleep,
    watchOwner,
} from "puffinarch";
import { cellOf, part } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

Then(
    "the owner knows {int} workers within {int} ms",
    async function(this: ScenarioWorld, count: number, limitMs: number) {
        const cell = cellOf(this);
        const isKnown = (): boolean =>
            cell.log.slice(part(this).logLengthBefore).some(line =>
                line.event === "workersKnown" && line.fields["workers"] === count
            );
        assert.ok(await cell.until(isKnown, limitMs), "the log has no line for that number of workers");
    },
);

Then("all daemons that run are ready within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    const running = cell.memberIds().filter(memberId => memberId !== part(this).formerOwner);
    const notReady = (): readonly string[] => running.filter(memberId => cell.member(memberId)?.ready() !== true);
    assert.ok(await cell.until(() => notReady().length === 0, limitMs), `not ready: ${notReady().join(", ")}`);
});

/** Log lines of an event since the newest fault, by daemon, without the owner from before that fault. */
const linesOfOthers = (
    world: ScenarioWorld,
    event: string,
): ReadonlyMap<string, readonly ShardCell["log"][number][]> => {
    const { logLengthBefore, formerOwner } = part(world);
    const lines = cellOf(world).log.slice(logLengthBefore).filter(line => line.event === event);
    const others = cellOf(world).memberIds().filter(memberId => memberId !== formerOwner);
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
    "each other daemon has logged {string} at most {int} times",
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

Then("at most {int} daemons began a claim", function(this: ScenarioWorld, most: number) {
    const lines = cellOf(this).log.slice(part(this).logLengthBefore).filter(line => line.event === "claimBegins");
    const claimants = new Set(lines.map(line => line.memberId));
    assert.ok(claimants.size <= most, [...claimants].join(", "));
});

Then("the shard was claimed at most {int} times", function(this: ScenarioWorld, most: number) {
    const known = cellOf(this).log.slice(part(this).logLengthBefore).filter(line => line.event === "ownerKnown");
    const tokens = new Set(known.map(line => Number(line.fields["fencingToken"])));
    // The lowest token belongs to the owner from before the fault.
    assert.ok(tokens.size - 1 <= most, `claimed ${tokens.size - 1} times`);
});

const isStrong = (world: ScenarioWorld, memberId: string | undefined): boolean =>
    memberId !== undefined && part(world).strengths[cellOf(world).memberIds().indexOf(memberId)] === 1;

Then("no weak daemon has owned the shard since", function(this: ScenarioWorld) {
    const lines = cellOf(this).log.slice(part(this).logLengthBefore);
    const owners = lines.filter(line => line.event === "claimed").map(line => line.memberId);
    assert.ok(owners.length > 0);
    assert.deepEqual(owners.filter(owner => !isStrong(this, owner)), []);
});

Then("the shard has had at most {int} owners since", function(this: ScenarioWorld, most: number) {
    const lines = cellOf(this).log.slice(part(this).logLengthBefore);
    const owners = lines.filter(line => line.event === "claimed").map(line => line.memberId);
    assert.ok(owners.length <= most, `it has had ${owners.length} owners: ${owners.join(", ")}`);
});

Then(
    "in {int} ms each other daemon has at most {int} calls per second with its peers, and the owner {int}",
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
            assert.ok(callsPerS <= allowed, `${memberId} has ${callsPerS} calls per second`);
        }
    },
);

/** The daemons that lose power, by their description in the steps. */
const poweredOff: Readonly<Record<string, (cell: ShardCell) => readonly string[]>> = {
    "all others": cell => othersOf(cell),
    "half of the others": cell => othersOf(cell).filter((_memberId, index) => index % 2 === 0),
};

const othersOf = (cell: ShardCell): readonly string[] => cell.memberIds().filter(memberId => memberId !== cell.owner());

When(
    /^(all others|half of the others|the owner and half of the others) lose power$/,
    function(this: ScenarioWorld, who: string) {
        const cell = cellOf(this);
        for (const memberId of poweredOff[who]?.(cell) ?? []) {
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

Then(
    "the daemons that are cut off are no longer ready after {int} ms",
    async function(this: ScenarioWorld, limitMs: number) {
        const cell = cellOf(this);
        await cell.clock.advance(limitMs);
        const stillReady = cell.memberIds().filter(memberId =>
            cell.isCut(memberId, "peers") && cell.member(memberId)?.ready() === true
        );
        assert.deepEqual(stillReady, []);
    },
);

Then("no other daemon has logged {string}", function(this: ScenarioWorld, event: string) {
    const cell = cellOf(this);
    const { logLengthBefore } = part(this);
    const others = cell.log.slice(logLengthBefore).filter(line =>
        line.event === event && !cell.isCut(line.memberId, "peers")
    );
    assert.deepEqual(others.map(({ memberId }) => memberId), []);
});

Then("the shard's owner is strong", function(this: ScenarioWorld) {
    assert.ok(isStrong(this, cellOf(this).owner()), `the owner is ${cellOf(this).owner()}`);
});

Then("a daemon owns the shard within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    assert.ok(await cell.until(() => cell.owner() !== undefined, limitMs), "no daemon owns the shard");
});

Then("the shard has had no other owner", function(this: ScenarioWorld) {
    const owners = cellOf(this).log.filter(line => line.event === "claimed").map(line => line.memberId);
    assert.equal(owners.length, 1, owners.join(", "));
});

Then("the shard's owner has written at most {int} batches", function(this: ScenarioWorld, most: number) {
    const row = cellOf(this).store.rows("puffinarch-journal").find(each => each.key === "sequence");
    const { batch } = JSON.parse(row?.value ?? "{}") as { readonly batch?: string; };
    const written = 1 + Number(batch?.split("/").at(-1));
    assert.ok(written <= most, `${written} batches`);
});

Then("the new owner has reviewed the tasks of {int} jobs", function(this: ScenarioWorld, jobs: number) {
    const cell = cellOf(this);
    const lines = cell.log.slice(part(this).logLengthBefore).filter(line => line.event === "tasksReviewed");
    assert.deepEqual(lines.map(line => [line.memberId, line.fields["jobs"]]), [[cell.owner(), jobs]]);
});

Then("another daemon owns the shard within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    const { formerOwner } = part(this);
    const others = cell.memberIds().filter(memberId => memberId !== formerOwner);
    const reached = await cell.until(
        () => others.some(memberId => cell.member(memberId)?.ownsShard() === true),
        limitMs,
    );
    assert.ok(reached, `the owner is still ${cell.owner()}`);
});

/** A weak daemon, a strong one and their owner, on a clock of their own. */
const memberRow = (memberId: string, strength: number): MemberRow => ({
    memberId,
    address: memberId,
    dataCentre: "leon-feria",
    incarnation: "1",
    strength,
});
const watchedOwner = { row: { ...memberRow("owner", 1), claimId: "1" }, version: 7 };
const watchers = [memberRow("weak", 0.2), memberRow("strong", 1)];
const ownerAnswer: PingAnswer = {
    incarnation: "1",
    ownedToken: watchedOwner.version,
    storeStalledMs: 0,
    configurationVersion: 0,
    pending: {},
    seenOwnerToken: watchedOwner.version,
    leaving: false,
    lagMs: 0,
};

/** Starts the watch of one daemon over a member port. */
const startWatch = (clock: Clock, self: MemberRow, call: MemberPort["call"], claim: () => void) => {
    const peers = createPeers({
        clock,
        log: noopLog,
        self,
        members: { call },
        reader: createRowReader({ log: noopLog, meter: noopMeter }),
        ownerVersion: () => watchedOwner.version,
        onOwner: () => {},
    });
    peers.applyRows([watchedOwner.row, ...watchers].map(row => ({
        table: "member",
        part: "",
        key: row.memberId,
        value: JSON.stringify(row),
        version: 1,
    })));
    return watchOwner({
        clock,
        log: noopLog,
        self,
        peers,
        known: () => watchedOwner,
        owns: () => false,
        isSettled: () => true,
        isBackingOff: () => false,
        isLeaving: () => false,
        readOwner: async () => true,
        commitMonitor: { isQuiet: async () => true, reset: () => {} },
        claim: async () => claim(),
        onAnswer: () => {},
        onOwnerAnswer: () => {},
        onRound: () => {},
        onOwnRound: () => {},
        onPeersPinged: () => {},
    });
};

When(
    "the owner answers a peer every {int} ms, and a weak daemon never",
    async function(this: ScenarioWorld, everyMs: number) {
        const clock = createFakeClock();
        const watched = { clock, claims: 0, answersEveryMs: everyMs };
        part(this).watchedClaims = watched;
        let nextAnswerAtMs = 0;
        const silence = async (timeoutMs: number): Promise<never> => {
            await sleep(clock, timeoutMs);
            return die("mayHaveRun", "no answer");
        };
        const strong = startWatch(clock, watchers[1] as MemberRow, async (address, _name, _input, timeoutMs) => {
            if (address !== "owner" || clock.monotonicMs() < nextAnswerAtMs) {
                return silence(timeoutMs);
            }
            nextAnswerAtMs = clock.monotonicMs() + watched.answersEveryMs;
            return ownerAnswer as never;
        }, () => {});
        startWatch(clock, watchers[0] as MemberRow, async (address, _name, input, timeoutMs) => {
            const seenOwnerToken = strong.seenToken((input as PingRequest).ownerLostMs);
            return address === "strong"
                ? { ...ownerAnswer, ownedToken: 0, seenOwnerToken } as never
                : silence(timeoutMs);
        }, () => {
            watched.claims += 1;
        });
    },
);

When("the owner answers nobody any more", function(this: ScenarioWorld) {
    const { watchedClaims } = part(this);
    assert.ok(watchedClaims !== undefined);
    watchedClaims.answersEveryMs = Infinity;
});

Then(
    /^the weak daemon has (not claimed after|claimed within) (\d+) ms$/,
    async function(this: ScenarioWorld, what: string, limitMs: string) {
        const { watchedClaims } = part(this);
        assert.ok(watchedClaims !== undefined);
        await watchedClaims.clock.advance(Number(limitMs));
        assert.equal(watchedClaims.claims > 0, what === "claimed within");
    },
);
