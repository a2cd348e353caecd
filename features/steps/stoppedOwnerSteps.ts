/** Steps about an owner whose process is stopped while its monotonic clock goes on, and workers that only it reaches. */

import { Given, Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    createFakeRowStore,
    jobIdOf,
    noopLog,
    noopMeter,
    readSteps,
    type ShardCell,
    testQueue,
    type WakingOrder,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { createCommitLog, type Queue, sleep } from "puffinarch";
import { cellOf, part, startCell } from "./shardCellPart.js";
import type { ScenarioWorld } from "./support.js";

const jobCount = 8;
/** Time for all jobs to be planned. */
const planningMs = 1_000;

/** What the owner still reaches besides the workers that only it reaches; it is cut off from the rest as it is stopped. */
const cutFromRest: Readonly<Record<string, (cell: ShardCell, owner: string, others: readonly string[]) => void>> = {
    everything: () => {},
    "all but its peers": (cell, owner) => cell.cut(owner, ["peers"]),
    "only the store": (cell, owner, others) => {
        cell.cut(owner, ["peers"]);
        cell.cutFromWorkers(owner, others);
    },
    "the other workers": (cell, owner) => cell.cut(owner, ["peers", "store"]),
    "nothing else": (cell, owner, others) => {
        cell.cut(owner, ["peers", "store"]);
        cell.cutFromWorkers(owner, others);
    },
};

/** Grace of a daemon that is told to stop, and for how long its process is away. */
const graceMs = 6_000;
const awayMs = 300;

const ownerOf = (cell: ShardCell): string => cell.owner() ?? assert.fail("no daemon owns the shard");

/** Cuts all daemons but the owner off from the first workers, until the faults end. */
const keepWorkers = (world: ScenarioWorld, count: number): { owner: string; kept: readonly string[]; } => {
    const cell = cellOf(world);
    const owner = ownerOf(cell);
    const kept = cell.workers.workerIds().slice(0, count);
    for (const memberId of cell.memberIds().filter(each => each !== owner)) {
        cell.cutFromWorkers(memberId, kept);
    }
    part(world).formerOwner = owner;
    part(world).endFaults.push(() => cell.memberIds().forEach(cell.restoreLinks));
    return { owner, kept };
};

const cutOwner = (cell: ShardCell, owner: string, kept: readonly string[], reached: string): void => {
    const others = cell.workers.workerIds().filter(workerId => !kept.includes(workerId));
    const cut = cutFromRest[reached] ?? assert.fail(`"${reached}" is not known`);
    cut(cell, owner, others);
};

Given(
    /^a cell of (\d+) daemons and (\d+) workers whose tasks need (no|valid) advice$/,
    async function(this: ScenarioWorld, members: string, workers: string, advice: string) {
        const queue = Object.fromEntries(
            Object.entries(testQueue).filter(([name]) => name !== "advice"),
        ) as unknown as Queue;
        await startCell(this, {
            members: Number(members),
            workers: Number(workers),
            seed: 1,
            queues: [advice === "no" ? queue : testQueue],
        });
    },
);

When(
    /^(\d+) workers are reached by the owner only, which then reaches (.*)$/,
    function(this: ScenarioWorld, count: string, reached: string) {
        const { owner, kept } = keepWorkers(this, Number(count));
        cutOwner(cellOf(this), owner, kept, reached);
    },
);

When(
    /^the owner's process is stopped for (\d+) ms, after which it handles (timers|answers) first$/,
    function(this: ScenarioWorld, forMs: string, first: WakingOrder) {
        const cell = cellOf(this);
        cell.stopProcess(part(this).formerOwner ?? ownerOf(cell), Number(forMs), first);
    },
);

Given(
    /^a cell of (\d+) daemons and (\d+) workers whose tasks last about (\d+) ms, seed (\d+)$/,
    async function(this: ScenarioWorld, members: string, workers: string, durationMs: string, seed: string) {
        await startCell(this, {
            members: Number(members),
            workers: Number(workers),
            seed: Number(seed),
            durationMs: Number(durationMs),
            queues: [testQueue],
        });
    },
);

/** How long before the owner goes on its links to the other workers are cut, so that it still reads the answers of before. */
const cutBeforeWakingMs = 5;

When(
    /^(\d+) workers are reached by the owner only, which loses the others as it wakes from a stop of (\d+) ms, handling (timers|answers) first$/,
    async function(this: ScenarioWorld, count: string, forMs: string, first: WakingOrder) {
        const cell = cellOf(this);
        const { owner, kept } = keepWorkers(this, Number(count));
        cutOwner(cell, owner, kept, "the other workers");
        cell.stopProcess(owner, Number(forMs), first);
        await cell.clock.advance(Number(forMs) - cutBeforeWakingMs);
        cutOwner(cell, owner, kept, "nothing else");
    },
);

When(
    /^the owner's process is stopped (\d+) times for (\d+) ms, (\d+) ms apart, after which it handles (timers|answers) first$/,
    async function(this: ScenarioWorld, times: string, forMs: string, apartMs: string, first: WakingOrder) {
        const cell = cellOf(this);
        const owner = part(this).formerOwner ?? ownerOf(cell);
        for (let done = 0; done < Number(times); done += 1) {
            cell.stopProcess(owner, Number(forMs), first);
            await cell.clock.advance(Number(forMs) + Number(apartMs));
        }
    },
);

When(/^the VM of the former owner is suspended for (\d+) ms$/, function(this: ScenarioWorld, forMs: string) {
    const cell = cellOf(this);
    cell.suspend(part(this).formerOwner ?? ownerOf(cell), Number(forMs));
});

/** When the owner is stopped, from the moment at which the store has carried out a commit of planned starts and answers it. */
const stopAfterMs: Readonly<Record<string, number>> = {
    "before it reads that their commit is durable": -1,
    "as their orders leave": 0,
    "between two turns of its queue": 1.5,
};

When(
    /^jobs of steps "(.*)" are planned, and the owner is stopped for (\d+) ms (.*), which then reaches (.*) and handles (timers|answers) first$/,
    async function(
        this: ScenarioWorld,
        steps: string,
        forMs: string,
        when: string,
        reached: string,
        first: WakingOrder,
    ) {
        const cell = cellOf(this);
        const [owner, kept] = [ownerOf(cell), cell.workers.workerIds().slice(0, 2)];
        const afterMs = stopAfterMs[when] ?? assert.fail(`"${when}" is not known`);
        let isPlanned = false;
        const stop = (): void => {
            keepWorkers(this, kept.length);
            cell.stopProcess(owner, Number(forMs), first);
            cutOwner(cell, owner, kept, reached);
        };
        cell.store.onCommitted(({ puts }) => {
            if (!isPlanned && puts.some(({ value }) => kept.some(workerId => value.includes(`"${workerId}"`)))) {
                isPlanned = true;
                if (afterMs < 0) {
                    stop();
                    return;
                }
                cell.clock.setTimer(afterMs, stop);
            }
        });
        for (let number = 1; number <= jobCount; number += 1) {
            cell.submit(jobIdOf(number), readSteps(steps));
        }
        await cell.clock.advance(planningMs);
        assert.ok(isPlanned, "no start was planned on these workers");
    },
);

/** Time in which a daemon begins to claim the shard of an owner that was killed. */
const claimWithinMs = 4_000;

/** Kills the owner, until the faults end, and returns the daemon that begins to claim its shard. */
const killOwnerUntilClaim = async (world: ScenarioWorld): Promise<string> => {
    const cell = cellOf(world);
    const logLengthBefore = cell.log.length;
    const claimant = (): string | undefined =>
        cell.log.slice(logLengthBefore).find(({ event }) => event === "claimBegins")?.memberId;
    const former = ownerOf(cell);
    cell.kill(former);
    for (let passedMs = 0; claimant() === undefined && passedMs < claimWithinMs; passedMs += 1) {
        await cell.clock.advance(1);
    }
    part(world).endFaults.push(() => {
        cell.memberIds().forEach(cell.restoreLinks);
        cell.restart(former);
    });
    return claimant() ?? assert.fail("no daemon claimed the shard");
};

When(
    /^the owner is killed, and (\d+) ms into its claim the successor, which alone reaches (\d+) workers, is stopped for (\d+) ms, then reaches (.*) and handles (timers|answers) first$/,
    async function(
        this: ScenarioWorld,
        intoMs: string,
        count: string,
        forMs: string,
        reached: string,
        first: WakingOrder,
    ) {
        const cell = cellOf(this);
        const successor = await killOwnerUntilClaim(this);
        const kept = cell.workers.workerIds().slice(0, Number(count));
        for (const memberId of cell.memberIds().filter(each => each !== successor)) {
            cell.cutFromWorkers(memberId, kept);
        }
        await cell.clock.advance(Number(intoMs));
        cell.stopProcess(successor, Number(forMs), first);
        cutOwner(cell, successor, kept, reached);
    },
);

const restoreWithinMs = 8_000;
/** From a claim until the store has carried it out and the first page of rows is under way. */
const claimMs = 30;
const wideLink = 1e6;

When(
    /^the owner is killed, and its successor alone reaches (\d+) workers and else only the store, at (\d+) bytes per ms$/,
    async function(this: ScenarioWorld, count: string, rate: string) {
        const cell = cellOf(this);
        cell.memberIds().forEach(memberId => cell.store.setLink(memberId, Number(rate)));
        const successor = await killOwnerUntilClaim(this);
        await cell.clock.advance(claimMs);
        const kept = cell.workers.workerIds().slice(0, Number(count));
        for (const memberId of cell.memberIds().filter(each => each !== successor)) {
            cell.cutFromWorkers(memberId, kept);
            cell.store.setLink(memberId, wideLink);
        }
        cutOwner(cell, successor, kept, "only the store");
        part(this).formerOwner = successor;
    },
);

When("the store answers the successor no more once it has read the rows", async function(this: ScenarioWorld) {
    const cell = cellOf(this);
    const { formerOwner: successor = "" } = part(this);
    const hasRead = (): boolean =>
        cell.log.some(({ event, memberId }) => event === "claimed" && memberId === successor);
    for (let passedMs = 0; !hasRead() && passedMs < restoreWithinMs; passedMs += 1) {
        cell.store.silenceFeeds(successor);
        await cell.clock.advance(1);
    }
    assert.ok(hasRead(), "the successor has not read the rows");
    cell.store.setFault("hang", successor);
});

const tellToStop = (cell: ShardCell, memberId: string): void => {
    void cell.stop(memberId, graceMs).then(() => cell.clock.setTimer(awayMs, () => cell.restart(memberId)));
};

When(
    "the owner is told to stop, and its successor {int} ms later",
    async function(this: ScenarioWorld, laterMs: number) {
        const cell = cellOf(this);
        const former = ownerOf(cell);
        tellToStop(cell, former);
        await cell.clock.advance(laterMs);
        const successor = ownerOf(cell);
        assert.notEqual(successor, former);
        tellToStop(cell, successor);
        await cell.clock.advance(laterMs);
        assert.notEqual(ownerOf(cell), successor);
    },
);

Given(
    /^a cell of (\d+) daemons and (\d+) workers that check tickets and take up to (\d+) ms to begin a run, seed (\d+)$/,
    async function(this: ScenarioWorld, members: string, workers: string, takesMs: string, seed: string) {
        await startCell(this, {
            members: Number(members),
            workers: Number(workers),
            seed: Number(seed),
            checksTickets: true,
            startTakesMs: Number(takesMs),
        });
    },
);

const jobIntervalMs = 120;

When(
    "the owner is told to stop {int} times, {int} ms after each other, while jobs of steps {string} arrive",
    async function(this: ScenarioWorld, times: number, apartMs: number, steps: string) {
        const cell = cellOf(this);
        const { jobs } = part(this);
        for (let done = 0; done < times; done += 1) {
            for (let passedMs = 0; passedMs < apartMs; passedMs += jobIntervalMs) {
                const jobId = jobIdOf(jobs.length + 1);
                jobs.push(jobId);
                cell.submit(jobId, readSteps(steps));
                await cell.clock.advance(jobIntervalMs);
            }
            tellToStop(cell, ownerOf(cell));
            await cell.clock.advance(apartMs);
        }
    },
);

When(
    /^the owner is told to stop, and (\d+) ms later its process is stopped for (\d+) ms, after which it handles (timers|answers) first$/,
    async function(this: ScenarioWorld, afterMs: string, forMs: string, first: WakingOrder) {
        const cell = cellOf(this);
        const former = ownerOf(cell);
        tellToStop(cell, former);
        await cell.clock.advance(Number(afterMs));
        cell.stopProcess(former, Number(forMs), first);
    },
);

When(
    "the store answers a confirmation of ownership that the owner reads {int} ms after its call",
    async function(this: ScenarioWorld, lateMs: number) {
        const clock = createFakeClock();
        const connection = createFakeRowStore(clock).connect("entry-1");
        const commits = createCommitLog({
            clock,
            log: noopLog,
            meter: noopMeter,
            store: {
                ...connection,
                transact: async (transaction, timeoutMs) => {
                    const answer = await connection.transact(transaction, timeoutMs);
                    await sleep(clock, lateMs);
                    return answer;
                },
            },
            part: "shard-0",
            ownerVersion: 0,
            sequenceVersion: 0,
            storeLatencyMs: lateMs,
            claimId: "1",
            encode: () => ({ puts: [], removes: [] }),
            onFenced: () => {},
        });
        const confirmed = commits.confirm();
        await clock.advance(2 * lateMs);
        await confirmed;
        part(this).provenAtMs = commits.answeredAtMs();
    },
);

Then("its ownership counts as proven for the first {int} ms only", function(this: ScenarioWorld, mostMs: number) {
    const { provenAtMs } = part(this);
    assert.ok(provenAtMs !== undefined && provenAtMs <= mostMs, `it counts as proven at ${provenAtMs} ms`);
});
