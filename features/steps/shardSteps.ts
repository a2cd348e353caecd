import { After, Given, Status, Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    createFakeRowStore,
    createShardCell,
    crowdedShapes,
    explorePowerLoss,
    type FakeClock,
    findStanding,
    jobIdOf,
    type PeerCalls,
    type PowerLossOutcome,
    quietLog,
    quietMeter,
    readSteps,
    runRandomFaults,
    type ShardCell,
    shardFaults,
    testQueue,
    workerEntry,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    createAcceptance,
    createAdviceDesk,
    createCommitLog,
    createFirstLooks,
    createForward,
    createLateOrders,
    createPeers,
    createRowReader,
    createShardWorkers,
    defaultShardSettings,
    endedTable,
    errorOf,
    type FencedWorkerPort,
    journalTable,
    kindOf,
    memberTable,
    newWorker,
    openWorkerLink,
    type ShardJob,
    type ShardWorker,
    sleep,
    startUpkeep,
    type WorkerLink,
} from "puffinarch";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    cell: ShardCell | undefined;
    jobs: string[];
    mend: (() => void)[];
    seed: number;
    faultAtMs: number;
    ownerBefore: string | undefined;
    drainingWorker: string;
    strengths: readonly number[];
    orderedVms: readonly string[] | undefined;
    forwarded: { readonly by: string; readonly afterMs: number; } | undefined;
    /** Lines that the log had when the newest fault came. */
    linesBefore: number;
    powerLoss: PowerLossOutcome | undefined;
    commitOutcome: { readonly durable: number; readonly fenced: number; } | undefined;
    /** When a call of a lower priority was answered. */
    adviceServedAtMs: number | undefined;
    looksSent: number;
    readonly acknowledged: number[];
    leasesOverAfterMs: number;
    silentPeer: boolean | undefined;
    /** Answers to a job and its resend, then whether it is known. */
    resendAnswers: string[];
}

/** The store takes 100 entries a call. */
const rowsPerWrite = 90;

/** A claim and half of the first page after it, where the store is well. */
const claimMs = 6;

const part = (world: ScenarioWorld): Part =>
    partOf(
        world,
        "shard",
        () => ({
            cell: undefined,
            jobs: [],
            mend: [],
            seed: 1,
            faultAtMs: 0,
            ownerBefore: undefined,
            drainingWorker: "",
            strengths: [],
            orderedVms: undefined,
            forwarded: undefined,
            linesBefore: 0,
            powerLoss: undefined,
            commitOutcome: undefined,
            adviceServedAtMs: undefined,
            looksSent: 0,
            acknowledged: [],
            leasesOverAfterMs: 0,
            silentPeer: undefined,
            resendAnswers: [],
        }),
    );

/** Whatever a scene was about: once nothing is wrong, each accepted task runs, has ended, or finds no worker with room. */
After(async function(this: ScenarioWorld, { result }) {
    const { cell, mend } = part(this);
    if (cell === undefined || result?.status !== Status.PASSED) {
        return;
    }
    for (const end of mend.splice(0)) {
        end();
    }
    assert.deepEqual(await findStanding(cell), [], "tasks stand although a worker with room for them answers");
});

/** The cell of a scenario. */
export const cellOf = (world: ScenarioWorld): ShardCell => {
    const { cell } = part(world);
    assert.ok(cell !== undefined);
    return cell;
};

/** Starts the cell of a scenario. */
export const startCell = async (
    world: ScenarioWorld,
    options: Parameters<typeof createShardCell>[0],
): Promise<void> => {
    part(world).cell = createShardCell(options);
    part(world).seed = options.seed;
    await cellOf(world).clock.advance(2_000);
};

Given(
    "a cell of {int} daemons and {int} workers",
    async function(this: ScenarioWorld, members: number, workers: number) {
        await startCell(this, { members, workers, seed: 1 });
    },
);

Given(
    "a cell of {int} daemons and {int} workers that start again under their IDs {int} ms after a crash",
    async function(this: ScenarioWorld, members: number, workers: number, crashedDownMs: number) {
        await startCell(this, { members, workers, seed: 1, keepsIds: true, crashedDownMs });
    },
);

Given(
    "a cell of {int} daemons and {int} workers that check tickets and start again under their IDs {int} ms after a crash",
    async function(this: ScenarioWorld, members: number, workers: number, crashedDownMs: number) {
        await startCell(this, { members, workers, seed: 1, keepsIds: true, crashedDownMs, checksTickets: true });
    },
);

Given(
    "a cell of {int} daemons and {int} workers that start again under their IDs {int} ms after a crash, with {int} cores",
    async function(this: ScenarioWorld, members: number, workers: number, crashedDownMs: number, cores: number) {
        const nextCapacity = { cpuMillis: 1_000 * cores, memoryMib: 16_000, accelerators: 0 };
        await startCell(this, { members, workers, seed: 1, keepsIds: true, crashedDownMs, nextCapacity });
    },
);

Given(
    "a cell of {int} daemons and {int} workers whose tasks take their estimates, with a stretch of {int}",
    async function(this: ScenarioWorld, members: number, workers: number, stretch: number) {
        const queues = [{ ...testQueue, stretch }];
        await startCell(this, { members, workers, seed: 1, durationMs: "estimated", queues });
    },
);

Given(
    "a cell of {int} daemons and {int} workers whose tasks take their estimates, with {int} attempts",
    async function(this: ScenarioWorld, members: number, workers: number, attempts: number) {
        const queues = [{ ...testQueue, attempts }];
        await startCell(this, { members, workers, seed: 1, durationMs: "estimated", queues });
    },
);

Given(
    "a cell of {int} daemons and {int} workers whose VMs refuse no token",
    async function(this: ScenarioWorld, members: number, workers: number) {
        await startCell(this, { members, workers, seed: 1, checksVmTokens: false });
    },
);

Then("no VM had an order of a former owner after one of its successor", function(this: ScenarioWorld) {
    assert.deepEqual(cellOf(this).vms.outOfTurn, []);
});

When("a wave is acted on while each record takes {int} ms", async function(this: ScenarioWorld, takesMs: number) {
    const clock = createFakeClock();
    const ordered: string[] = [];
    const upkeep = startUpkeep({
        clock,
        log: quietLog,
        meter: quietMeter,
        port: {
            list: async () => [{ vmId: "vm-1", state: "up", workerId: "i-1" }],
            upkeep: async ({ vmId }) => {
                ordered.push(vmId);
                return "done";
            },
        },
        holderId: "entry-1",
        fencingToken: 7,
        workers: new Map(),
        stop: () => {},
        lose: () => {},
        settleMs: 0,
        rows: {
            read: async () => new Map(),
            record: async () => {
                await sleep(clock, takesMs);
                return true;
            },
            show: async () => true,
        },
    });
    upkeep.update([{ number: 1, vmIds: ["vm-1"], deadlineMs: 10_000, atOnce: 1 }]);
    await clock.advance(5_000);
    upkeep.close();
    part(this).orderedVms = ordered;
});

Then("no VM was ordered", function(this: ScenarioWorld) {
    assert.deepEqual(part(this).orderedVms, []);
});

Given(
    "a cell of {int} daemons and {int} workers whose first looks cost a daemon {float} ms, later ones {float} ms and pings {float} ms",
    async function(
        this: ScenarioWorld,
        members: number,
        workers: number,
        firstLookMs: number,
        lookMs: number,
        callMs: number,
    ) {
        await startCell(this, { members, workers, seed: 1, costs: { firstLookMs, lookMs, callMs } });
    },
);

Given(
    "a cell of daemons with strengths {string} and {int} workers",
    async function(this: ScenarioWorld, text: string, workers: number) {
        const strengths = text.split(",").map(Number);
        part(this).strengths = strengths;
        await startCell(this, { members: strengths.length, workers, seed: 1, strengths });
    },
);

Given(
    "a cell of {int} daemons, each fifth of them strong, and {int} workers",
    async function(this: ScenarioWorld, members: number, workers: number) {
        const strengths = Array.from({ length: members }, (_, index) => index % 5 === 0 ? 1 : 0.2);
        part(this).strengths = strengths;
        await startCell(this, { members, workers, seed: 1, strengths });
    },
);

/** Rows as an owner writes them, in as many transactions as the store asks for. */
const writeRows = async (
    cell: ShardCell,
    rows: readonly { readonly table: string; readonly key: string; readonly value: string; }[],
): Promise<void> => {
    const connection = cell.store.connect("writer");
    for (let index = 0; index < rows.length; index += rowsPerWrite) {
        const puts = rows.slice(index, index + rowsPerWrite).map(row => ({ ...row, part: "shard-0" }));
        void connection.transact({ expect: [], puts, removes: [] }, 1_000);
    }
    await cell.clock.advance(100);
};

When(
    "the journal holds {int} jobs that go on and {int} that have ended",
    async function(this: ScenarioWorld, jobs: number, ended: number) {
        const cell = cellOf(this);
        for (let number = 1; number <= jobs; number += 1) {
            cell.submit(jobIdOf(number), readSteps("1 long running"));
        }
        assert.ok(await cell.until(() => cell.answers().size === jobs, 20_000));
        const states = Array.from({ length: ended }, (_, index) => ({
            table: endedTable,
            key: jobIdOf(100_000 + index),
            value: JSON.stringify({ state: "completed" }),
        }));
        await writeRows(cell, states);
    },
);

When(
    "the owner is killed, and from the first page that its successor reads the store is down for {int} ms and then slow",
    async function(this: ScenarioWorld, downMs: number) {
        const cell = cellOf(this);
        const before = cell.log.length;
        cell.kill(cell.owner() ?? "");
        const isClaimed = (): boolean => cell.log.slice(before).some(line => line.event === "claimBegins");
        while (!isClaimed()) {
            await cell.clock.advance(1);
        }
        await cell.clock.advance(claimMs);
        cell.store.setFault("hang");
        await cell.clock.advance(downMs);
        cell.store.setFault("slow");
    },
);

Then("a job is accepted within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    const jobId = jobIdOf(9_002);
    cell.submit(jobId, readSteps("1"));
    assert.ok(await cell.until(() => cell.answers().get(jobId) === "accepted", limitMs), "it is not");
});

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

When("all daemons are back", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    for (const memberId of cell.memberIds()) {
        cell.restart(memberId);
    }
});

When("all daemons but the former owner are back", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    for (const memberId of cell.memberIds().filter(each => each !== part(this).ownerBefore)) {
        cell.restart(memberId);
    }
});

When(/^the table of members (cannot be read|can be read again)$/, function(this: ScenarioWorld, how: string) {
    cellOf(this).store.setUnreadable(memberTable, how === "cannot be read");
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

When("the power loss of seed {int} is explored", async function(this: ScenarioWorld, seed: number) {
    part(this).powerLoss = await explorePowerLoss(seed);
});

Then(
    "a job is accepted at most {int} ms after the last fault, and no promise was broken",
    function(this: ScenarioWorld, mostMs: number) {
        const { acceptedAfterMs = Infinity, breaches = [], faults = [] } = part(this).powerLoss ?? {};
        assert.ok(acceptedAfterMs <= mostMs, `after ${acceptedAfterMs} ms; ${faults.join("; ")}`);
        assert.deepEqual(breaches, []);
    },
);

When(/^the daemons ([\d, ]+) are gone for good$/, function(this: ScenarioWorld, text: string) {
    for (const index of text.split(",").map(Number)) {
        cellOf(this).kill(cellOf(this).memberIds()[index] ?? "");
    }
});

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

Then("no run has lapsed", function(this: ScenarioWorld) {
    const lapsed = cellOf(this).workers.evidence.filter(start => start.how === "lapsed");
    assert.equal(lapsed.length, 0);
});

Then(
    "in {int} ms each other daemon has {int} calls a second at most with its peers, and the owner {int}",
    async function(this: ScenarioWorld, forMs: number, most: number, mostOfOwner: number) {
        const cell = cellOf(this);
        const owner = cell.owner();
        const before = cell.peerCalls();
        await cell.clock.advance(forMs);
        const callsOf = (calls: ReadonlyMap<string, PeerCalls>, memberId: string): number => {
            const { sent, taken } = calls.get(memberId) ?? { sent: 0, taken: 0 };
            return sent + taken;
        };
        for (const memberId of cell.memberIds()) {
            const callsPerS = 1_000 * (callsOf(cell.peerCalls(), memberId) - callsOf(before, memberId)) / forMs;
            const allowed = memberId === owner ? mostOfOwner : most;
            assert.ok(callsPerS <= allowed, `${memberId} has ${callsPerS} calls a second`);
        }
    },
);

Then(
    "all daemons tell within {int} ms that {int} jobs wait",
    async function(this: ScenarioWorld, ms: number, jobs: number) {
        const cell = cellOf(this);
        const told = new Map<string, number | undefined>();
        for (const memberId of cell.memberIds()) {
            void cell.member(memberId)?.pending(testQueue.key).then(count => told.set(memberId, count));
        }
        await cell.clock.advance(ms);
        assert.deepEqual(told, new Map(cell.memberIds().map(memberId => [memberId, jobs])));
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

Then(
    "for {int} ms no daemon says that fewer than {int} jobs wait",
    async function(this: ScenarioWorld, forMs: number, least: number) {
        const cell = cellOf(this);
        const told: (number | undefined)[] = [];
        for (let passedMs = 0; passedMs < forMs; passedMs += 50) {
            await cell.clock.advance(50);
            for (const memberId of cell.memberIds()) {
                void cell.member(memberId)?.pending(testQueue.key).then(count => told.push(count));
            }
        }
        assert.deepEqual(told.filter(count => count !== undefined && count < least), []);
        assert.ok(told.some(count => count !== undefined), "nobody tells any");
    },
);

When("all links to the store carry {int} bytes a ms", function(this: ScenarioWorld, bytesPerMs: number) {
    const cell = cellOf(this);
    for (const memberId of cell.memberIds()) {
        cell.store.setLink(memberId, bytesPerMs);
    }
});

When(
    /^the link of the next claimant carries (\d+) bytes? a ms, and no other daemon can claim$/,
    function(this: ScenarioWorld, bytesPerMs: string) {
        const cell = cellOf(this);
        const [next, ...others] = cell.memberIds().filter(memberId => memberId !== cell.owner());
        cell.store.setLink(next ?? "", Number(bytesPerMs));
        for (const memberId of others) {
            cell.store.setFault("refuse", memberId);
        }
        part(this).mend.push(() => others.forEach(memberId => cell.store.setFault("none", memberId)));
    },
);

When("the other daemons can claim again", function(this: ScenarioWorld) {
    part(this).mend.shift()?.();
});

Then("a daemon owns the shard within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    assert.ok(await cell.until(() => cell.owner() !== undefined, limitMs), "nobody does");
});

Given(
    "a cell of {int} daemons and {int} workers, seed {int}",
    async function(this: ScenarioWorld, members: number, workers: number, seed: number) {
        await startCell(this, { members, workers, seed, failOften: 0.01 });
    },
);

Given(
    "a cell of {int} daemons and {int} workers where every run fails",
    async function(this: ScenarioWorld, members: number, workers: number) {
        await startCell(this, { members, workers, seed: 1, failOften: 1 });
    },
);

When("{int} jobs of steps {string} are submitted", function(this: ScenarioWorld, count: number, steps: string) {
    const { jobs } = part(this);
    for (let index = 0; index < count; index += 1) {
        const jobId = jobIdOf(cellOf(this).answers().size + jobs.length + 1);
        jobs.push(jobId);
        cellOf(this).submit(jobId, readSteps(steps));
    }
});

When(
    "the job {string} of steps {string} is submitted {int} times",
    function(this: ScenarioWorld, jobId: string, steps: string, times: number) {
        part(this).jobs.push(jobId);
        for (let index = 0; index < times; index += 1) {
            cellOf(this).submit(jobId, readSteps(steps));
        }
    },
);

When("the shard runs for {int} ms", async function(this: ScenarioWorld, forMs: number) {
    await cellOf(this).clock.advance(forMs);
});

const faultsNamed = (text: string): readonly string[] => {
    const known = Object.keys(shardFaults).sort((left, right) => right.length - left.length);
    const found: string[] = [];
    let rest = text;
    while (rest !== "") {
        const next = known.find(name => rest.startsWith(name));
        assert.ok(next !== undefined, `no fault begins "${rest}"`);
        found.push(next);
        rest = rest.slice(next.length).replace(/^, /, "");
    }
    return found;
};

When("the fault {string} comes", function(this: ScenarioWorld, text: string) {
    part(this).faultAtMs = cellOf(this).clock.monotonicMs();
    part(this).ownerBefore = cellOf(this).owner();
    part(this).linesBefore = cellOf(this).log.length;
    for (const name of faultsNamed(text)) {
        const mend = shardFaults[name]?.(cellOf(this));
        assert.ok(mend !== undefined);
        part(this).mend.push(mend);
    }
});

When("the fault goes", function(this: ScenarioWorld) {
    for (const mend of part(this).mend.splice(0)) {
        mend();
    }
});

When("all jobs are cancelled", async function(this: ScenarioWorld) {
    const owner = cellOf(this).member(cellOf(this).owner() ?? "");
    const cancels = part(this).jobs.map(jobId => owner?.cancel(testQueue.key, jobId, 1_000));
    await cellOf(this).clock.advance(500);
    await Promise.all(cancels);
});

When("all jobs are cancelled while the owner is killed", async function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const ownerId = cell.owner() ?? "";
    const owner = cell.member(ownerId);
    for (const jobId of part(this).jobs) {
        owner?.cancel(testQueue.key, jobId, 1_000).catch(() => {});
    }
    // Long enough for the commit and too short for the stops.
    await cell.clock.advance(6);
    cell.kill(ownerId);
    part(this).jobs = [];
});

When(
    "{int} jobs are submitted once, {int} ms apart",
    async function(this: ScenarioWorld, count: number, apartMs: number) {
        for (let index = 1; index <= count; index += 1) {
            cellOf(this).submitOnce(jobIdOf(index), readSteps("2"));
            await cellOf(this).clock.advance(apartMs);
        }
    },
);

Then("some were surely refused and none of those ran", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const refused = [...cell.answers()].filter(([, answer]) => answer === "notAccepted").map(([jobId]) => jobId);
    assert.ok(refused.length > 0, [...cell.answers().values()].join(", "));
    const ran = cell.workers.evidence.filter(({ taskName }) => refused.some(jobId => taskName.startsWith(jobId)));
    assert.deepEqual(ran, []);
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

When("the configuration {int} comes", function(this: ScenarioWorld, version: number) {
    cellOf(this).configure(version);
});

Then("the configuration {int} is in force on every daemon", function(this: ScenarioWorld, version: number) {
    const cell = cellOf(this);
    for (const memberId of cell.memberIds()) {
        assert.equal(cell.member(memberId)?.configuration()?.version, version, memberId);
    }
});

When(
    "the operator asks for upkeep of {int} VMs, {int} at once, within {int} ms",
    function(this: ScenarioWorld, count: number, atOnce: number, deadlineMs: number) {
        const vmIds = Array.from({ length: count }, (_, index) => `vm-${index}`);
        cellOf(this).askUpkeep({ number: 1, vmIds, deadlineMs, atOnce });
    },
);

When("a job is submitted once through the former owner", function(this: ScenarioWorld) {
    const { ownerBefore, jobs } = part(this);
    assert.ok(ownerBefore !== undefined);
    const jobId = jobIdOf(9_001);
    jobs.push(jobId);
    cellOf(this).submitOnce(jobId, readSteps("2"), ownerBefore);
});

Then("it is accepted within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    await cell.until(() => cell.answers().has(jobIdOf(9_001)), limitMs);
    assert.equal(cell.answers().get(jobIdOf(9_001)), "accepted");
});

When(
    "{int} jobs are committed, each again as soon as it is durable",
    async function(this: ScenarioWorld, count: number) {
        const clock = createFakeClock();
        const store = createFakeRowStore(clock);
        const fenced: string[] = [];
        const commits = createCommitLog({
            clock,
            log: quietLog,
            meter: quietMeter,
            store: store.connect("entry-1"),
            part: "shard-0",
            ownerVersion: 0,
            sequenceVersion: 0,
            storeMs: 8,
            claimId: "1",
            encode: jobId => ({ puts: [{ table: journalTable, key: jobId, value: "{}" }], removes: [] }),
            onFenced: () => fenced.push("fenced"),
        });
        let durable = 0;
        for (let number = 0; number < count; number += 1) {
            void commits.commit(String(number)).then(() => commits.commit(String(number))).then(() => {
                durable += 1;
            });
            await clock.advance(1);
        }
        await clock.advance(1_000);
        part(this).commitOutcome = { durable, fenced: fenced.length };
    },
);

Then(
    "{int} were made durable twice, and no batch was taken for another owner's",
    function(this: ScenarioWorld, count: number) {
        assert.deepEqual(part(this).commitOutcome, { durable: count, fenced: 0 });
    },
);

When(
    "the advice desk's lane is asked for urgent calls of {int} ms without end, and once for one of a lower priority",
    async function(this: ScenarioWorld, callMs: number) {
        const clock = createFakeClock();
        const desk = createAdviceDesk({
            clock,
            log: quietLog,
            meter: quietMeter,
            lanes: () => ["entry-1"],
            call: async () => {
                await sleep(clock, callMs);
                return { good: [], validMs: 1_000 };
            },
        });
        const order = (priority: number, onAnswer: () => void) => ({
            stepName: `of priority ${priority}`,
            workerIds: ["i-1"],
            costMs: callMs,
            priority,
            wanted: () => true,
            onAnswer,
            onFailure: () => {},
        });
        const askUrgent = (): void => desk.ask(order(0, askUrgent));
        askUrgent();
        askUrgent();
        desk.ask(order(2, () => {
            part(this).adviceServedAtMs = clock.monotonicMs();
        }));
        part(this).faultAtMs = clock.monotonicMs();
        await clock.advance(60_000);
        desk.close();
    },
);

Then(
    "the advisor has served the call of the lower priority within {int} ms",
    function(this: ScenarioWorld, limitMs: number) {
        const { adviceServedAtMs, faultAtMs } = part(this);
        assert.ok(adviceServedAtMs !== undefined, "it was not served within a minute");
        assert.ok(adviceServedAtMs - faultAtMs <= limitMs, `after ${adviceServedAtMs - faultAtMs} ms`);
    },
);

When(
    "a request hangs at its owner, and the shard has another owner after {int} ms",
    async function(this: ScenarioWorld, afterMs: number) {
        const clock = createFakeClock();
        let owner = "entry-1";
        const forward = createForward({
            clock,
            retryAfterMs: 1_000,
            shard: () => undefined,
            ownerAddress: () => owner,
            ownerLostMs: () => 0,
            onNoAnswer: () => {},
        });
        const never = new Promise<never>(() => {});
        const answer = forward.run({
            local: () => never,
            remote: address => address === "entry-1" ? never : Promise.resolve(address),
            patienceMs: 2_500,
        });
        const beganAtMs = clock.monotonicMs();
        void answer.then(by => {
            part(this).forwarded = { by, afterMs: clock.monotonicMs() - beganAtMs };
        });
        await clock.advance(afterMs);
        owner = "entry-2";
        forward.wake();
        await clock.advance(2_000);
    },
);

Then("it is answered by the next owner after {int} ms", function(this: ScenarioWorld, afterMs: number) {
    assert.equal(part(this).forwarded?.by, "entry-2");
    assert.ok((part(this).forwarded?.afterMs ?? Infinity) <= afterMs + 60, `after ${part(this).forwarded?.afterMs} ms`);
});

Then(
    "the log says that the tasks of {int} step(s) wait for {string}, with {string}",
    function(this: ScenarioWorld, count: number, wait: string, counts: string) {
        const { fields } = cellOf(this).log.findLast(line => line.event === "taskWaits")
            ?? assert.fail("it says nothing");
        assert.equal(fields["lateSteps"], `${wait} ${count}`);
        assert.match(String(fields["longest"]), new RegExp(`: ${wait} for \\d+ ms; ${counts}`));
    },
);

Then("the new owner has reviewed the tasks of {int} jobs", function(this: ScenarioWorld, jobs: number) {
    const cell = cellOf(this);
    const lines = cell.log.slice(part(this).linesBefore).filter(line => line.event === "tasksReviewed");
    assert.deepEqual(lines.map(line => [line.memberId, line.fields["jobs"]]), [[cell.owner(), jobs]]);
});

When("the operator withdraws the wave", function(this: ScenarioWorld) {
    cellOf(this).withdrawUpkeep(1);
});

Then(
    "the wave is shown as {string} within {int} ms",
    async function(this: ScenarioWorld, state: string, limitMs: number) {
        const cell = cellOf(this);
        assert.ok(
            await cell.until(() => cell.waveState(1) === state, limitMs),
            `it is shown as ${cell.waveState(1)}; upkeep of ${cell.vms.evidence.map(each => each.vmId).join(", ")}`,
        );
    },
);

Then(
    "each of the {int} VMs had its upkeep once, with {int} down at once at the most",
    function(this: ScenarioWorld, count: number, atOnce: number) {
        const { evidence } = cellOf(this).vms;
        assert.equal(new Set(evidence.map(each => each.vmId)).size, count);
        assert.equal(evidence.length, count);
        assert.ok(evidence.every(each => each.othersDown < atOnce));
    },
);

Then("the upkeep cut off no task", function(this: ScenarioWorld) {
    assert.deepEqual(cellOf(this).vms.evidence.filter(each => each.cutRuns > 0), []);
});

Then(
    "never were more than {int} of {int} tasks away at once",
    function(this: ScenarioWorld, most: number, all: number) {
        const { evidence } = cellOf(this).workers;
        const names = new Set(evidence.map(each => each.taskName));
        assert.equal(names.size, all);
        const firstEndMs = Math.min(...evidence.map(each => each.endedAtMs ?? Infinity));
        assert.ok(Number.isFinite(firstEndMs), "no task was moved");
        for (const { endedAtMs } of evidence) {
            const atMs = (endedAtMs ?? firstEndMs) + 1;
            const present = new Set(
                evidence.filter(each => each.startedAtMs <= atMs && (each.endedAtMs ?? Infinity) > atMs)
                    .map(each => each.taskName),
            );
            assert.ok(all - present.size <= most, `${all - present.size} away at ${atMs} ms`);
        }
    },
);

When("a worker with tasks drains", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const busy = cell.workers.evidence.find(start => start.endedAtMs === undefined);
    part(this).drainingWorker = busy?.workerId ?? "";
    part(this).faultAtMs = cell.clock.monotonicMs();
    cell.drain(part(this).drainingWorker, 5_000);
});

Then("nothing was started on the draining worker after {int} ms", function(this: ScenarioWorld, afterMs: number) {
    const { drainingWorker, faultAtMs } = part(this);
    const late = cellOf(this).workers.evidence.filter(start =>
        start.workerId === drainingWorker && start.startedAtMs > faultAtMs + afterMs
    );
    assert.deepEqual(late, []);
});

Then("nothing runs on the draining worker", function(this: ScenarioWorld) {
    const left = cellOf(this).workers.evidence.filter(start =>
        start.workerId === part(this).drainingWorker && start.endedAtMs === undefined
    );
    assert.deepEqual(left, []);
});

When("random faults come for {int} ms while jobs are submitted", async function(this: ScenarioWorld, forMs: number) {
    const cell = cellOf(this);
    const { seed, jobs } = part(this);
    await runRandomFaults(cell, { seed, forMs, onJob: jobId => jobs.push(jobId) });
});

When(
    "random faults come for {int} ms while jobs that mostly wait for room are submitted",
    async function(this: ScenarioWorld, forMs: number) {
        const cell = cellOf(this);
        const { seed, jobs } = part(this);
        await runRandomFaults(cell, { seed, forMs, onJob: jobId => jobs.push(jobId), shapes: crowdedShapes });
    },
);

Then("all jobs are {string} within {int} ms", async function(this: ScenarioWorld, state: string, limitMs: number) {
    const cell = cellOf(this);
    const { jobs } = part(this);
    const left = async (): Promise<readonly string[]> => {
        const states = await cell.statesOf(jobs);
        return [...states].filter(([, each]) => each !== state).map(([jobId, each]) => `${jobId} is ${each}`);
    };
    const reached = await cell.until(async () => (await left()).length === 0, limitMs);
    assert.ok(reached, `${(await left()).join("; ")}; owner ${cell.owner()}`);
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

Then("{int} jobs at least were refused", function(this: ScenarioWorld, count: number) {
    const refused = [...cellOf(this).answers().values()].filter(answer => answer === "refused");
    assert.ok(refused.length >= count, `${refused.length} were`);
});

Then("no promise was broken", function(this: ScenarioWorld) {
    assert.deepEqual(cellOf(this).breaches(), []);
});

Then(/^every task ran (\d+) times?$/, function(this: ScenarioWorld, times: string) {
    const runs = new Map<string, number>();
    for (const { taskName } of cellOf(this).workers.evidence) {
        runs.set(taskName, (runs.get(taskName) ?? 0) + 1);
    }
    assert.ok(runs.size > 0);
    assert.deepEqual([...runs].filter(([, count]) => count !== Number(times)), []);
});

Then("no end that was listed while the store was away is acknowledged", function(this: ScenarioWorld) {
    const late = cellOf(this).workers.evidence.filter(start =>
        start.endedAtMs !== undefined && start.endedAtMs > part(this).faultAtMs
    );
    assert.ok(late.length > 0);
    assert.deepEqual(late.filter(start => start.notedAtMs !== undefined), []);
});

const runningTasks = (cell: ShardCell): number =>
    cell.workers.evidence.filter(start => start.endedAtMs === undefined).length;

Then("nothing runs", function(this: ScenarioWorld) {
    assert.equal(runningTasks(cellOf(this)), 0);
});

Then("{int} tasks run", function(this: ScenarioWorld, count: number) {
    assert.equal(runningTasks(cellOf(this)), count);
});

Then("all members of a gang had the same run number", function(this: ScenarioWorld) {
    const runs = new Set(cellOf(this).workers.evidence.map(start => start.run));
    assert.equal(runs.size, 1);
});

When("three owners are cut off, each soon after its claim", async function(this: ScenarioWorld) {
    const cell = cellOf(this);
    for (let count = 0; count < 3; count += 1) {
        const mend = shardFaults["owner cut from its peers, the store, workers"]?.(cell);
        const before = cell.owner();
        const others = cell.memberIds().filter(memberId => memberId !== before);
        assert.ok(await cell.until(() => others.some(memberId => cell.member(memberId)?.ownsShard() === true), 8_000));
        mend?.();
        await cell.clock.advance(500);
    }
});

When("the store is slow and serves but the owner and one other daemon", function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const others = cell.memberIds().filter(memberId => memberId !== cell.owner());
    cell.store.setFault("slow");
    for (const memberId of others.slice(1)) {
        cell.store.setFault("refuse", memberId);
    }
    part(this).mend.push(() => {
        cell.store.setFault("none");
        for (const memberId of others) {
            cell.store.setFault("none", memberId);
        }
    });
});

When("the owner of {int} workers is replaced at once", async function(this: ScenarioWorld, count: number) {
    const clock = createFakeClock();
    const workers = createShardWorkers({
        clock,
        log: quietLog,
        meter: quietMeter,
        settings: defaultShardSettings,
        port: {
            start: async () => "done",
            stop: async () => "done",
            pace: async () => "done",
            look: async () => {
                part(this).looksSent += 1;
                await sleep(clock, 20);
                return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] };
            },
        },
        fencingToken: 7,
        jobOf: () => undefined,
        changed: async () => {},
        onNextLife: () => {},
        onStarted: () => {},
        wake: () => {},
        onKnown: () => {},
        onFenced: () => {},
    });
    workers.update(Array.from({ length: count }, (_, index) => workerEntry(`i-${index}`, index)));
    await clock.advance(1);
    workers.close();
    await clock.advance(5_000);
});

Then("it has looked at {int} workers", function(this: ScenarioWorld, count: number) {
    assert.equal(part(this).looksSent, count);
});

/** A link to a worker that answers looks as it is told, and nothing else. */
const openLinkTo = (worker: ShardWorker, clock: FakeClock, look: FencedWorkerPort["look"]): WorkerLink =>
    openWorkerLink(worker, {
        clock,
        log: quietLog,
        meter: quietMeter,
        workers: {
            start: async () => "unknown",
            stop: async () => "unknown",
            pace: async () => "unknown",
            look,
        },
        fencingToken: 7,
        leaseMs: 5_000,
        lookWaitMs: 1_000,
        firstLooks: createFirstLooks(clock),
        lookPauseMs: 250,
        orderPauseMs: 100,
        onLook: async () => {},
        onSilent: () => {},
        onLifeOver: () => {},
        onRestarted: () => {},
        lateOrders: createLateOrders(clock),
        onFenced: () => {},
        onNotStarted: () => {},
        onStarted: () => {},
    });

When(
    "an owner that is {int} ms late looks at a worker that never answers again",
    async function(this: ScenarioWorld, lateMs: number) {
        const clock = createFakeClock();
        const worker = newWorker(workerEntry("i-1", 1), 0);
        let looks = 0;
        const link = openLinkTo(worker, clock, async (_target, { waitMs, patienceMs }) => {
            looks += 1;
            if (looks === 1) {
                return { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] };
            }
            await sleep(clock, waitMs + patienceMs + lateMs);
            return { outcome: "unknown" };
        });
        await clock.advance(60_000);
        link.close();
        part(this).leasesOverAfterMs = worker.horizonMs - worker.answeredAtMs;
    },
);

When(
    "ends up to {int} are durable and looks are {string}",
    async function(this: ScenarioWorld, acknowledgedEnd: number, text: string) {
        const clock = createFakeClock();
        const worker = newWorker(workerEntry("i-1", 1), 0);
        worker.acknowledgedEnd = acknowledgedEnd;
        const { acknowledged } = part(this);
        const answers = text.split(", ");
        const link = openLinkTo(worker, clock, async (_target, order) => {
            acknowledged.push(order.acknowledgedEnd);
            await sleep(clock, 10);
            return answers[acknowledged.length - 1] === "answered"
                ? { outcome: "done", clockMs: clock.monotonicMs(), running: [], ended: [] }
                : { outcome: "unknown" };
        });
        await clock.advance(1_000);
        link.close();
        acknowledged.splice(answers.length);
    },
);

Then("they acknowledge {string}", function(this: ScenarioWorld, text: string) {
    assert.equal(part(this).acknowledged.join(", "), text);
});

Then(
    "the leases there are surely over {int} ms after its last answer",
    function(this: ScenarioWorld, limitMs: number) {
        const { leasesOverAfterMs } = part(this);
        assert.ok(leasesOverAfterMs <= limitMs, `only ${leasesOverAfterMs} ms after it`);
    },
);

Then("all jobs but those that last are completed", async function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const { jobs } = part(this);
    const states = await cell.statesOf(jobs);
    const running = cell.workers.evidence.filter(start => start.endedAtMs === undefined);
    const lasting = new Set(running.map(({ taskName }) => taskName.split(".")[0]));
    const open = [...states].filter(([jobId, state]) => state !== "completed" && !lasting.has(jobId));
    assert.deepEqual(open, []);
});

When(
    "a ping of a peer is lost, and one that was sent {int} ms later is answered at once",
    async function(this: ScenarioWorld, afterMs: number) {
        const clock = createFakeClock();
        const self = { memberId: "entry-1", address: "http://a:1", dataCentre: "leon-feria", incarnation: "1" };
        const peer = { ...self, memberId: "entry-2", address: "http://b:1" };
        let calls = 0;
        const peers = createPeers({
            clock,
            log: quietLog,
            self,
            members: {
                call: async (_address, _name, _input, timeoutMs) => {
                    calls += 1;
                    if (calls === 1) {
                        await sleep(clock, timeoutMs);
                        throw errorOf({ kind: "mayHaveRun", message: "no answer" });
                    }
                    return { incarnation: "1", leaving: false, ownedToken: 0 } as never;
                },
            },
            reader: createRowReader({ log: quietLog, meter: quietMeter }),
            ownerVersion: () => 0,
            onOwner: () => {},
        });
        peers.take([{ table: memberTable, part: "", key: peer.memberId, value: JSON.stringify(peer), version: 1 }]);
        void peers.ping(peer);
        await clock.advance(afterMs);
        void peers.ping(peer);
        await clock.advance(1_000);
        part(this).silentPeer = peers.isSilent(peer.memberId);
    },
);

Then("the peer is not silent", function(this: ScenarioWorld) {
    assert.equal(part(this).silentPeer, false);
});

When("a job is accepted while a resend of it waits for a batch that stalls", async function(this: ScenarioWorld) {
    const clock = createFakeClock();
    const jobs = new Map<string, ShardJob>();
    const stallsFromMs = 300;
    let commitsBegun = 0;
    const submit = createAcceptance({
        clock,
        log: quietLog,
        meter: quietMeter,
        settings: defaultShardSettings,
        jobs,
        queueOf: () => testQueue,
        nextOrder: 1,
        commits: {
            commit: async () => {},
            withdraw: () => true,
            stalledMs: () => clock.monotonicMs() > stallsFromMs ? 5_000 : 0,
            answeredAtMs: () => 0,
            idle: async () => {},
            probe: () => {},
            stop: () => {},
        },
        commit: async job => {
            commitsBegun += 1;
            await sleep(clock, commitsBegun === 1 ? 100 : 10_000);
            job.stored = true;
        },
        consider: () => {},
        takeBack: () => {},
        endedKnown: Promise.resolve(new Map()),
        endOfOffice: new Promise<never>(() => {}),
    });
    const submission = {
        jobId: jobIdOf(1),
        queueKey: testQueue.key,
        dataCentre: "leon-feria",
        payload: "plan",
        steps: readSteps("1"),
        schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
    };
    const { resendAnswers } = part(this);
    const send = async (): Promise<void> => {
        resendAnswers.push(await submit(submission).then(() => "accepted", (error: unknown) => kindOf(error)));
    };
    void send();
    await clock.advance(50);
    void send();
    await clock.advance(2_000);
    resendAnswers.push(jobs.has(submission.jobId) ? "known" : "unknown");
});

Then("both are answered as accepted, and the job is known", function(this: ScenarioWorld) {
    assert.deepEqual(part(this).resendAnswers, ["accepted", "accepted", "known"]);
});
