/** Steps about callers' keys: who may call a shard, and which jobs a caller can read or cancel. */

import { Given, Then, When } from "@cucumber/cucumber";
import { jobIdOf, plainStep, shardFaults, testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { digestKey, kindOf, noResources, type Organisation } from "puffinarch";
import { cellOf, part, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Keys {
    /** Configuration versions that each running daemon has had, in order; a restarted daemon has an entry of its own. */
    readonly seen: Map<unknown, number[]>;
    /** The daemon that was restarted during an outage of the store. */
    restarted: string;
}

const keysOf = (world: ScenarioWorld): Keys => partOf(world, "callerKeys", () => ({ seen: new Map(), restarted: "" }));

/** Parses organisations with one key each, such as "north a, south b". */
const parseOrganisations = (text: string): readonly Organisation[] =>
    text.split(", ").map(each => {
        const [name = "", key = ""] = each.split(" ");
        return { name, keyDigests: [digestKey(key)], weight: 1, cap: noResources };
    });

Given(
    "a cell of {int} daemons and {int} workers whose callers have the keys {string}",
    async function(this: ScenarioWorld, members: number, workers: number, organisations: string) {
        await startCell(this, { members, workers, seed: 1, organisations: parseOrganisations(organisations) });
    },
);

When("the callers have the keys {string} from now on", function(this: ScenarioWorld, organisations: string) {
    const cell = cellOf(this);
    cell.configure(cell.version() + 1, parseOrganisations(organisations));
});

When("the store is down and a daemon starts again", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const memberId = cell.memberIds().find(each => each !== cell.owner()) ?? "";
    cell.store.setFault("hang");
    part(this).endFaults.push(() => cell.store.setFault("none"));
    cell.kill(memberId);
    cell.restart(memberId);
    keysOf(this).restarted = memberId;
});

Then("that daemon answers the key {string} with {string}", function(this: ScenarioWorld, key: string, kind: string) {
    const member = cellOf(this).member(keysOf(this).restarted);
    assert.throws(() => member?.authenticate(testQueue, key), error => kindOf(error) === kind);
});

const runningDaemons = (world: ScenarioWorld) =>
    cellOf(world).memberIds().flatMap(memberId => {
        const member = cellOf(world).member(memberId);
        return member === undefined || !cellOf(world).isRunning(memberId) ? [] : [{ memberId, member }];
    });

Then(
    "all running daemons accept the keys {string}, and none accepts {string}",
    function(this: ScenarioWorld, accepted: string, rejected: string) {
        for (const { memberId, member } of runningDaemons(this)) {
            for (const key of accepted.split(", ")) {
                assert.doesNotThrow(() => member.authenticate(testQueue, key), `${memberId} rejects ${key}`);
            }
            assert.throws(
                () => member.authenticate(testQueue, rejected),
                error => kindOf(error) === "unauthenticated",
                `${memberId} accepts ${rejected}`,
            );
        }
    },
);

const recordVersions = (world: ScenarioWorld): void => {
    const { seen } = keysOf(world);
    for (const { member } of runningDaemons(world)) {
        const version = member.configuration()?.version;
        const before = seen.get(member) ?? [];
        if (version !== undefined && before.at(-1) !== version) {
            seen.set(member, [...before, version]);
        }
    }
};

When(
    "{int} versions come within {int} ms, and the fault {string} for {int} ms of them",
    async function(this: ScenarioWorld, count: number, withinMs: number, fault: string, faultMs: number) {
        const cell = cellOf(this);
        const organisations = cell.organisations();
        const beganAtMs = cell.clock.monotonicMs();
        let mend: (() => void) | undefined = () => {};
        for (let number = 0; number < count; number += 1) {
            cell.configure(cell.version() + 1, organisations);
            if (number === Math.floor(count / 4)) {
                mend = shardFaults[fault]?.(cell);
                assert.ok(mend !== undefined, fault);
            }
            if (cell.clock.monotonicMs() - beganAtMs > withinMs / 4 + faultMs) {
                mend?.();
                mend = () => {};
            }
            await cell.clock.advance(withinMs / count);
            recordVersions(this);
        }
        mend?.();
    },
);

Then("every daemon that runs has the newest version", function(this: ScenarioWorld) {
    const versions = runningDaemons(this).map(({ member }) => member.configuration()?.version);
    assert.ok(versions.length > 0);
    assert.deepEqual(new Set(versions), new Set([cellOf(this).version()]));
});

Then("no daemon went back to an older version", function(this: ScenarioWorld) {
    for (const versions of keysOf(this).seen.values()) {
        assert.deepEqual(versions, [...versions].sort((left, right) => left - right));
    }
});

const jobOf = (organisation: string) => ({ queueKey: testQueue.key, jobId: jobIdOf(1), organisation });
/** Longest time that a call may take. */
const patienceMs = 1_000;

const answerOf = async <T>(world: ScenarioWorld, call: Promise<T>): Promise<T> => {
    call.catch(() => {});
    await cellOf(world).clock.advance(patienceMs);
    return call;
};

/** A running daemon that does not own the shard, so that it forwards calls to the owner. */
const forwardingDaemon = (world: ScenarioWorld) =>
    runningDaemons(world).find(({ memberId }) => memberId !== cellOf(world).owner())?.member
        ?? assert.fail("no daemon but the owner runs");

Then(
    "the job is {string} for a caller of {string}",
    async function(this: ScenarioWorld, state: string, organisation: string) {
        const status = await answerOf(this, forwardingDaemon(this).jobState(jobOf(organisation), patienceMs));
        assert.equal(status?.state ?? "unknown", state);
    },
);

Then("a caller of {string} cannot cancel it", async function(this: ScenarioWorld, organisation: string) {
    assert.equal(await answerOf(this, forwardingDaemon(this).cancel(jobOf(organisation), patienceMs)), false);
});

Then(
    "a caller of {string} that submits the same id is answered with {string}",
    async function(this: ScenarioWorld, organisation: string, kind: string) {
        const submission = {
            ...jobOf(organisation),
            dataCentre: "leon-feria",
            payload: "",
            steps: [plainStep],
            schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
        };
        const answer = await answerOf(
            this,
            forwardingDaemon(this).submit(submission, patienceMs).then(
                () => "accepted",
                (error: unknown) => kindOf(error),
            ),
        );
        assert.equal(answer, kind);
    },
);
