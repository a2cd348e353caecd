/** Steps about a data centre that is cut off from the others, from the store or from both. */

import { Given, Then, When } from "@cucumber/cucumber";
import { plainStep, type ShardCell } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { type CellMember, kindOf } from "puffinarch";
import { cellOf, part, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

type Link = "peers" | "store" | "workers";

const dataCentres = ["leon-feria", "qro-arena", "puebla"];

const cutDataCentre = (world: ScenarioWorld): { name: string; } => partOf(world, "partition", () => ({ name: "" }));

const linksOf = (text: string): readonly Link[] => text.split(", ") as Link[];

Given(
    "a cell of {int} daemons in {int} data centres and {int} workers",
    async function(this: ScenarioWorld, members: number, count: number, workers: number) {
        const placed = Array.from({ length: members }, (_, index) => dataCentres[index % count] ?? "");
        await startCell(this, { members, workers, seed: 1, dataCentres: placed });
    },
);

Given(
    "a cell of {int} daemons in {int} data centres and {int} workers, {int} of them in {string}",
    async function(this: ScenarioWorld, members: number, count: number, workers: number, most: number, place: string) {
        const others = dataCentres.filter(name => name !== place);
        await startCell(this, {
            members,
            workers,
            seed: 1,
            dataCentres: Array.from({ length: members }, (_, index) => dataCentres[index % count] ?? ""),
            workerDataCentres: Array.from(
                { length: workers },
                (_, index) => index < most ? place : others[index % others.length] ?? "",
            ),
        });
    },
);

Given("the owner is in {string}", function(this: ScenarioWorld, place: string) {
    const cell = cellOf(this);
    assert.equal(cell.dataCentreOf(cell.owner() ?? ""), place);
});

const inside = (world: ScenarioWorld): readonly string[] => {
    const { name } = cutDataCentre(world);
    return cellOf(world).memberIds().filter(id => cellOf(world).dataCentreOf(id) === name);
};

When(
    /^the data centre of the owner (inside|outside) is cut off from "(.*)"$/,
    function(this: ScenarioWorld, place: string, links: string) {
        const cell = cellOf(this);
        const cut = cutDataCentre(this);
        const ofOwner = cell.dataCentreOf(cell.owner() ?? "");
        const other = dataCentres.find(name => name !== ofOwner) ?? "";
        cut.name = cut.name === "" ? place === "inside" ? ofOwner : other : cut.name;
        part(this).formerOwner = cell.owner();
        cell.cutDataCentre(cut.name, linksOf(links));
    },
);

When("the data centre is no longer cut off", function(this: ScenarioWorld) {
    cellOf(this).restoreDataCentre(cutDataCentre(this).name);
});

When("only the {string} of the data centre answers again", function(this: ScenarioWorld, link: string) {
    const { name } = cutDataCentre(this);
    cellOf(this).restoreDataCentre(name);
    cellOf(this).cutDataCentre(name, link === "store" ? ["peers"] : ["store"]);
});

const isReady = (cell: ShardCell, memberId: string): boolean => cell.member(memberId)?.ready() === true;

const wasNotReady = (cell: ShardCell, memberId: string, reason: string): boolean =>
    cell.log.some(line => line.memberId === memberId && line.event === "notReady" && line.fields["reason"] === reason);

Then(
    "its daemons are not ready within {int} ms, because of {string}",
    async function(this: ScenarioWorld, limitMs: number, reason: string) {
        const cell = cellOf(this);
        await cell.clock.advance(limitMs);
        assert.deepEqual(inside(this).filter(id => isReady(cell, id)), []);
        // The reason is logged at the next of the checks, which are 200 ms apart.
        await cell.clock.advance(200);
        assert.deepEqual(inside(this).filter(id => !wasNotReady(cell, id, reason)), []);
    },
);

Then("no daemon was not ready because of {string}", function(this: ScenarioWorld, reason: string) {
    const cell = cellOf(this);
    assert.deepEqual(cell.memberIds().filter(id => wasNotReady(cell, id, reason)), []);
});

const answerOf = (request: Promise<unknown>): Promise<string> => request.then(() => "answered", kindOf);

Then(
    "its daemons refuse a submission with {string}, and a read and a cancel with {string}, within {int} ms",
    async function(this: ScenarioWorld, submission: string, other: string, limitMs: number) {
        const cell = cellOf(this);
        const [jobId = ""] = part(this).jobs;
        const answers: string[] = [];
        const record = async (member: CellMember): Promise<void> => {
            const job = { queueKey: "stages.example/plans/", jobId };
            const submitted = cell.submissionFor("5c0e7a21d94b36f8", [plainStep], "");
            answers.push(await answerOf(member.submit(submitted, 2_000)));
            answers.push(await answerOf(member.jobState(job, 2_000)));
            answers.push(await answerOf(member.cancel({ ...job, jobId: "5c0e7a21d94b36f9" }, 2_000)));
        };
        for (const id of inside(this)) {
            const member = cell.member(id);
            assert.ok(member !== undefined);
            void record(member);
        }
        await cell.clock.advance(limitMs);
        assert.deepEqual(answers.filter(kind => kind === submission).length, inside(this).length);
        assert.deepEqual(answers.filter(kind => kind === other).length, 2 * inside(this).length);
    },
);

Then("its daemons are ready within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    assert.ok(await cell.until(() => inside(this).every(id => isReady(cell, id)), limitMs));
});

Then(
    "the daemons of the other data centres are ready within {int} ms",
    async function(this: ScenarioWorld, limitMs: number) {
        const cell = cellOf(this);
        const others = cell.memberIds().filter(id => !inside(this).includes(id));
        assert.ok(await cell.until(() => others.every(id => isReady(cell, id)), limitMs));
    },
);

Then("its daemons are no longer partitioned within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    await cell.clock.advance(limitMs);
    const healed = inside(this).filter(id =>
        cell.log.some(({ memberId, event }) => memberId === id && event === "partitionHealed")
    );
    assert.deepEqual(healed, inside(this));
});

Then(/^(all|its) daemons stay ready for (\d+) ms$/, async function(this: ScenarioWorld, which: string, forMs: number) {
    const cell = cellOf(this);
    const watched = which === "its" ? inside(this) : cell.memberIds();
    for (let passedMs = 0; passedMs < forMs; passedMs += 50) {
        await cell.clock.advance(50);
        assert.deepEqual(watched.filter(id => !isReady(cell, id)), [], `after ${passedMs + 50} ms`);
    }
});

Then("no run was started twice", function(this: ScenarioWorld) {
    const { evidence } = cellOf(this).workers;
    assert.equal(evidence.length, part(this).jobs.length);
    assert.ok(evidence.every(({ endedAtMs }) => endedAtMs === undefined));
});

When("the owner inside is suspended for {int} ms", function(this: ScenarioWorld, forMs: number) {
    cellOf(this).suspend(part(this).formerOwner ?? "", forMs);
});
