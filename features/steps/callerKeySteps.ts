/** Steps about who may call a shard, and whose jobs a caller sees. */

import { Given, Then, When } from "@cucumber/cucumber";
import { jobIdOf, plainStep, shardFaults, testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { digestKey, kindOf, noResources, type Organisation } from "puffinarch";
import { cellOf, part, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Keys {
    /** Versions that each incarnation of a daemon had, in their order. */
    readonly seen: Map<unknown, number[]>;
    startedAgain: string;
}

const keysOf = (world: ScenarioWorld): Keys =>
    partOf(world, "callerKeys", () => ({ seen: new Map(), startedAgain: "" }));

/** Reads organisations with a key each, such as "north a, south b". */
const readOrganisations = (text: string): readonly Organisation[] =>
    text.split(", ").map(each => {
        const [name = "", key = ""] = each.split(" ");
        return { name, keyDigests: [digestKey(key)], weight: 1, cap: noResources };
    });

Given(
    "a cell of {int} daemons and {int} workers whose callers have the keys {string}",
    async function(this: ScenarioWorld, members: number, workers: number, organisations: string) {
        await startCell(this, { members, workers, seed: 1, organisations: readOrganisations(organisations) });
    },
);

When("the callers have the keys {string} from now on", function(this: ScenarioWorld, organisations: string) {
    const cell = cellOf(this);
    cell.configure(cell.version() + 1, readOrganisations(organisations));
});

When("the store is down and a daemon starts again", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const memberId = cell.memberIds().find(each => each !== cell.owner()) ?? "";
    cell.store.setFault("hang");
    part(this).mend.push(() => cell.store.setFault("none"));
    cell.kill(memberId);
    cell.restart(memberId);
    keysOf(this).startedAgain = memberId;
});

Then("that daemon answers the key {string} with {string}", function(this: ScenarioWorld, key: string, kind: string) {
    const member = cellOf(this).member(keysOf(this).startedAgain);
    assert.throws(() => member?.authenticate(testQueue, key), error => kindOf(error) === kind);
});

const running = (world: ScenarioWorld) =>
    cellOf(world).memberIds().flatMap(memberId => {
        const member = cellOf(world).member(memberId);
        return member === undefined || !cellOf(world).isRunning(memberId) ? [] : [{ memberId, member }];
    });

Then(
    "the keys {string} are known to all daemons that run, and {string} is to none",
    function(this: ScenarioWorld, known: string, unknown: string) {
        for (const { memberId, member } of running(this)) {
            for (const key of known.split(", ")) {
                assert.doesNotThrow(() => member.authenticate(testQueue, key), `${memberId} does not know ${key}`);
            }
            assert.throws(
                () => member.authenticate(testQueue, unknown),
                error => kindOf(error) === "unauthenticated",
                `${memberId} knows ${unknown}`,
            );
        }
    },
);

const noteVersions = (world: ScenarioWorld): void => {
    const { seen } = keysOf(world);
    for (const { member } of running(world)) {
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
            noteVersions(this);
        }
        mend?.();
    },
);

Then("every daemon that runs has the newest version", function(this: ScenarioWorld) {
    const versions = running(this).map(({ member }) => member.configuration()?.version);
    assert.ok(versions.length > 0);
    assert.deepEqual(new Set(versions), new Set([cellOf(this).version()]));
});

Then("no daemon went back to an older one", function(this: ScenarioWorld) {
    for (const versions of keysOf(this).seen.values()) {
        assert.deepEqual(versions, [...versions].sort((left, right) => left - right));
    }
});

const job = (organisation: string) => ({ queueKey: testQueue.key, jobId: jobIdOf(1), organisation });
const patienceMs = 1_000;

const answerOf = async <T>(world: ScenarioWorld, call: Promise<T>): Promise<T> => {
    call.catch(() => {});
    await cellOf(world).clock.advance(patienceMs);
    return call;
};

/** Through a daemon that does not own the shard, so that the answer comes from its owner. */
const entry = (world: ScenarioWorld) =>
    running(world).find(({ memberId }) => memberId !== cellOf(world).owner())?.member ?? assert.fail("none runs");

Then(
    "the job is {string} for a caller of {string}",
    async function(this: ScenarioWorld, state: string, organisation: string) {
        const status = await answerOf(this, entry(this).jobState(job(organisation), patienceMs));
        assert.equal(status?.state ?? "unknown", state);
    },
);

Then("a caller of {string} cancels it in vain", async function(this: ScenarioWorld, organisation: string) {
    assert.equal(await answerOf(this, entry(this).cancel(job(organisation), patienceMs)), false);
});

Then(
    "a caller of {string} that submits the same id hears {string}",
    async function(this: ScenarioWorld, organisation: string, kind: string) {
        const submission = {
            ...job(organisation),
            dataCentre: "leon-feria",
            payload: "",
            steps: [plainStep],
            schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
        };
        const answer = await answerOf(
            this,
            entry(this).submit(submission, patienceMs).then(() => "accepted", (error: unknown) => kindOf(error)),
        );
        assert.equal(answer, kind);
    },
);
