/** Steps that test how run times are learned: by the module itself, and in a cell whose workers differ. */

import { Given, Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    createFakeFencedWorkers,
    createLoadCell,
    createSuspension,
    jobIdOf,
    type LoadOutcome,
    noopLog,
    noopMeter,
    plainStep,
    playLoad,
    testQueue,
    unequalLoad,
    watchStalledTasks,
    workerEntry,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    createAdviceDispatcher,
    createRunTimes,
    createSeededRandom,
    createTaskPlacer,
    decodeRunTimes,
    defaultShardSettings,
    encodeRunTimes,
    type EndedRunTime,
    holdCapacity,
    journalTable,
    newJob,
    newRun,
    newWorker,
    noResources,
    type Random,
    rankStep,
    type RunTimes,
    runTimesKey,
    type RunTimesPolicy,
    type ShardJob,
    type ShardWorker,
} from "puffinarch";
import { openShardWorkers } from "./examples/shardFixtures.js";
import { cellOf, part as cellPart } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface RunTimePart {
    runTimes: RunTimes;
    random: Random;
    /** Own speed of each worker; the index is that in its address. */
    speeds: number[];
    spread: number;
    /** Number of ends after which the speeds were spread. */
    timesSpread: number;
    /** Ends that the owner has learned from. */
    readonly learned: EndedRunTime[];
}

const part = (world: ScenarioWorld): RunTimePart =>
    partOf(world, "runTimes", () => ({
        runTimes: createRunTimes(),
        random: createSeededRandom(1),
        speeds: [],
        spread: 0,
        timesSpread: 0,
        learned: [],
    }));

const estimateMs = 700;
const bias = 1.3;
const longShare = 0.03;
const longFactor = 7;
const queueKey = "stages.example/plans/";
const addressOf = (index: number): string => `10.0.0.${index}:1`;

const normal = (random: Random): number =>
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

const endTask = (world: ScenarioWorld, index: number): void => {
    const { runTimes, random, speeds, spread } = part(world);
    const longer = random.next() < longShare ? longFactor : 1;
    const tookMs = estimateMs * bias * longer * Math.exp(spread * normal(random)) / (speeds[index] ?? 1);
    runTimes.recordEnd({ queueKey, address: addressOf(index), estimateMs, tookMs });
    part(world).timesSpread += runTimes.isSpread() ? 1 : 0;
};

const endTasks = (
    world: ScenarioWorld,
    { speeds, count, spread, seed }: {
        readonly speeds: readonly number[];
        readonly count: number;
        readonly spread: number;
        readonly seed: number;
    },
): void => {
    Object.assign(part(world), { speeds: [...speeds], spread, random: createSeededRandom(seed) });
    for (let round = 0; round < count; round += 1) {
        for (const index of speeds.keys()) {
            endTask(world, index);
        }
    }
};

When(
    "{int} workers, of which a quarter run at {float} and the others at {float}, end {int} tasks each, with estimates off by {float}, seed {int}",
    function(
        this: ScenarioWorld,
        workers: number,
        slow: number,
        fast: number,
        count: number,
        spread: number,
        seed: number,
    ) {
        const speeds = Array.from({ length: workers }, (_, index) => index % 4 === 0 ? slow : fast);
        endTasks(this, { speeds, count, spread, seed });
    },
);

Then(
    "the speeds are spread, and each is within {float} of the worker's own relative to the others",
    function(this: ScenarioWorld, within: number) {
        const { runTimes, speeds } = part(this);
        assert.ok(runTimes.isSpread());
        const meanLog = speeds.reduce((sum, speed) => sum + Math.log(speed), 0) / speeds.length;
        for (const [index, speed] of speeds.entries()) {
            const off = Math.abs(Math.log(runTimes.speedOf(addressOf(index))) - Math.log(speed) + meanLog);
            assert.ok(off <= within, `${addressOf(index)} of speed ${speed} is off by ${off}`);
        }
    },
);

Then(
    "estimates are known to be off by {float} within {float}",
    function(this: ScenarioWorld, factor: number, within: number) {
        const { runTimes, speeds } = part(this);
        const meanLog = speeds.reduce((sum, speed) => sum + Math.log(speed), 0) / speeds.length;
        const learned = runTimes.remainingFactorOf(queueKey) * Math.exp(meanLog);
        assert.ok(Math.abs(learned - factor) <= within, `learned ${learned}`);
    },
);

When(
    "{int} equal workers end {int} tasks each, with estimates off by {float}, seed {int}",
    function(this: ScenarioWorld, workers: number, count: number, spread: number, seed: number) {
        endTasks(this, { speeds: Array.from({ length: workers }, () => 1), count, spread, seed });
    },
);

Then("the speeds were spread after none of the ends", function(this: ScenarioWorld) {
    assert.equal(part(this).timesSpread, 0);
});

Given(
    "{int} equal workers that have ended {int} tasks each, with estimates off by {float}, seed {int}",
    function(this: ScenarioWorld, workers: number, count: number, spread: number, seed: number) {
        endTasks(this, { speeds: Array.from({ length: workers }, () => 1), count, spread, seed });
    },
);

When(
    "the first worker runs at {float} and ends {int} tasks",
    function(this: ScenarioWorld, speed: number, count: number) {
        part(this).speeds[0] = speed;
        for (let end = 0; end < count; end += 1) {
            endTask(this, 0);
        }
    },
);

Then("its speed is below {float}", function(this: ScenarioWorld, most: number) {
    const speed = part(this).runTimes.speedOf(addressOf(0));
    assert.ok(speed < most, `its speed is ${speed}`);
});

When(
    "{int} addresses and {int} queues end a task each",
    function(this: ScenarioWorld, addresses: number, queues: number) {
        const { runTimes } = part(this);
        for (let index = 0; index < addresses; index += 1) {
            runTimes.recordEnd({
                queueKey: `q${index % queues}`,
                address: addressOf(index),
                estimateMs,
                tookMs: estimateMs,
            });
        }
    },
);

Then("at most {int} entries are kept, the newest among them", function(this: ScenarioWorld, most: number) {
    const { speeds, biases } = part(this).runTimes.entries();
    assert.ok(speeds.length + biases.length <= most, `${speeds.length} and ${biases.length} entries`);
    assert.deepEqual([speeds[0]?.address, biases[0]?.queueKey], [addressOf(2_999), "q499"]);
});

const workerId = "i-1";
const ownerToken = 7;
const runForMs = 1_000;

/** An owner of one worker, with its process's suspension, and the link between the two. */
const createOwner = (learned: EndedRunTime[]) => {
    const clock = createFakeClock();
    const suspension = createSuspension(clock);
    const link = { open: true, commits: true };
    const fakes = createFakeFencedWorkers({
        clock,
        model: () => ({ durationMs: runForMs, fails: false }),
        heldOf: () => noResources,
        leaseLimitMs: 10_000,
        onCrash: () => {},
    });
    const entry = workerEntry(workerId, 1);
    fakes.add(entry);
    const jobId = jobIdOf(1);
    const steps = [{ ...plainStep, count: 2, estimateMs: 800 }];
    const schedule = { startAtMs: 0, intervalMs: 0, repeatCount: 0 };
    const submission = { jobId, queueKey, dataCentre: "", payload: "", steps, schedule };
    const job: ShardJob = newJob(submission, testQueue, { acceptedAtMs: 0, order: 1 });
    const port = fakes.connect(() => link.open);
    const workers = openShardWorkers({
        clock: suspension.clock,
        port: {
            ...port,
            look: async (target, order) => {
                const look = await port.look(target, order);
                await suspension.whenRunning();
                return look;
            },
        },
        fencingToken: ownerToken,
        jobOf: () => job,
        changed: () => link.commits ? Promise.resolve() : new Promise(() => {}),
        runTimes: { recordEnd: end => learned.push(end) },
    });
    workers.update([entry]);
    const start = (index: number, checkpoint = ""): void => {
        const task = job.occurrences.get(0)?.steps[0]?.tasks[index] ?? assert.fail();
        const run = newRun(task, workerId, 1, { checkpoint, address: entry.address });
        assert.ok(holdCapacity(workers.all.get(workerId) ?? assert.fail(), run));
        task.runs.push(run);
        void workers.start(run, "");
    };
    const startAsFormer = (index: number): void => {
        const task = job.occurrences.get(0)?.steps[0]?.tasks[index] ?? assert.fail();
        const order = { ticket: "", payload: "", checkpoint: "", deadlineMs: 20_000, fencingToken: ownerToken };
        void port.start(entry, { ...order, taskName: task.name, run: 1 }, runForMs);
    };
    return { clock, suspension, link, workers, start, startAsFormer, evidence: fakes.evidence };
};

type Owner = ReturnType<typeof createOwner>;

Given("an owner of one worker that learns run times", function(this: ScenarioWorld) {
    partOf(this, "runTimeOwner", () => createOwner(part(this).learned));
});

/** What happens 300 ms after the start of the first run, by its name. */
const disturbances: Readonly<Record<string, (owner: Owner) => void>> = {
    "nothing is wrong": () => {},
    "their ends are listed repeatedly": ({ link }) => {
        link.commits = false;
    },
    "the owner is suspended for 500 ms": ({ suspension }) => suspension.suspend(500),
    "the worker is silent for 600 ms": ({ clock, link }) => {
        clock.setTimer(400, () => {
            link.open = false;
        });
        clock.setTimer(1_000, () => {
            link.open = true;
        });
    },
};

When(
    "two runs of 1000 ms, the second 100 ms after the first, end while {}",
    async function(this: ScenarioWorld, what: string) {
        const owner = partOf(this, "runTimeOwner", () => createOwner(part(this).learned));
        const start = (index: number): void =>
            what === "a former owner had started them"
                ? owner.startAsFormer(index)
                : owner.start(index, what === "they started from a checkpoint" ? "saved" : "");
        if (what !== "a former owner had started them") {
            await owner.clock.advance(100);
        }
        start(0);
        await owner.clock.advance(100);
        start(1);
        await owner.clock.advance(200);
        disturbances[what]?.(owner);
        await owner.clock.advance(6_000);
        owner.workers.close();
        assert.deepEqual(owner.evidence.map(({ how }) => how), ["done", "done"]);
    },
);

Then(
    "{int} ends were learned, each within 100 ms of 1000 ms",
    function(this: ScenarioWorld, count: number) {
        const { learned } = part(this);
        assert.equal(learned.length, count);
        for (const { tookMs } of learned) {
            assert.ok(Math.abs(tookMs - runForMs) <= 100, `a run took ${tookMs} ms`);
        }
    },
);

/** Queue of which each job is due `stretch` times its estimate plus `targetRuntimeMs` after its submission, without advice. */
const placedQueue = (stretch: number, targetRuntimeMs: number) => ({
    ...testQueue,
    key: queueKey,
    advice: undefined,
    stretch,
    targetRuntimeMs,
});

const acceptedJob = (nowMs: number, stretch: number, targetRuntimeMs: number): ShardJob =>
    newJob(
        {
            jobId: jobIdOf(1),
            queueKey,
            dataCentre: "",
            payload: "",
            steps: [{ ...plainStep, count: 2, estimateMs: 800 }],
            schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
        },
        placedQueue(stretch, targetRuntimeMs),
        { acceptedAtMs: nowMs, order: 1 },
    );

const openWorkers = (count: number): ReadonlyMap<string, ShardWorker> =>
    new Map(
        Array.from({ length: count }, (_, index) => {
            const worker = newWorker(workerEntry(`i-${index}`, index), 0);
            worker.runsKnown = true;
            worker.clock = { localMs: 0, clockMs: 0 };
            return [worker.workerId, worker];
        }),
    );

/** Places a job on as many workers as have speeds; returns the IDs of the workers of its tasks. */
const placeJob = (world: ScenarioWorld, kind: string, runTimes: RunTimes | undefined): readonly string[] => {
    const clock = createFakeClock();
    const placed: string[] = [];
    const dispatcher = createAdviceDispatcher({
        clock,
        log: noopLog,
        meter: noopMeter,
        lanes: () => [],
        call: () => assert.fail(),
    });
    const placer = createTaskPlacer({
        clock,
        log: noopLog,
        meter: noopMeter,
        settings: defaultShardSettings,
        workers: openWorkers(part(world).speeds.length),
        dispatcher,
        onPlanned: (_job, runs) => placed.push(...runs.map(run => run.workerId)),
        onPreempt: () => {},
        wake: () => {},
        runTimes,
    });
    placer.updateJob(acceptedJob(clock.nowMs(), kind === "urgent" ? 1.3 : 10, 0));
    placer.runPass();
    return placed;
};

/** Index of the fast and of the slow worker; all others are usual ones. */
const indexOf: Readonly<Record<string, number>> = { fast: 3, slow: 4 };

Given(
    "a fast and a slow worker, known from {int} tasks each, beside {int} usual ones",
    function(this: ScenarioWorld, count: number, usual: number) {
        const speeds = Array.from({ length: usual + 2 }, () => 0.75);
        speeds[indexOf["fast"] ?? 0] = 1.5;
        speeds[indexOf["slow"] ?? 0] = 0.45;
        endTasks(this, { speeds, count, spread: 0.2, seed: 1 });
    },
);

Given(
    "{int} workers, known as equal from {int} tasks each",
    function(this: ScenarioWorld, workers: number, count: number) {
        endTasks(this, { speeds: Array.from({ length: workers }, () => 1 / bias), count, spread: 0.2, seed: 1 });
    },
);

When("a job of {word} tasks is placed", function(this: ScenarioWorld, kind: string) {
    const { runTimes } = part(this);
    partOf(this, "placed", () => ({
        withLearning: placeJob(this, kind, runTimes),
        without: placeJob(this, kind, undefined),
    }));
});

const placedOf = (world: ScenarioWorld): { withLearning: readonly string[]; without: readonly string[]; } =>
    partOf(world, "placed", () => assert.fail("no job was placed"));

Then("it runs on the {word} worker", function(this: ScenarioWorld, choice: string) {
    const workerIdOf = `i-${indexOf[choice]}`;
    assert.deepEqual(placedOf(this).withLearning, [workerIdOf, workerIdOf]);
});

Then("it runs where it would run without learning", function(this: ScenarioWorld) {
    assert.deepEqual(placedOf(this).withLearning, placedOf(this).without);
});

Given(
    "estimates of {int} ms of which the queue is known to take {float}",
    function(this: ScenarioWorld, estimate: number, factor: number) {
        const { runTimes } = part(this);
        for (let end = 0; end < 40; end += 1) {
            const tookMs = factor * estimate;
            runTimes.recordEnd({ queueKey, address: addressOf(end % 4), estimateMs: estimate, tookMs });
        }
    },
);

When("a job is submitted that is due {int} ms later", function(this: ScenarioWorld, dueMs: number) {
    const { runTimes } = part(this);
    const step = acceptedJob(1_000, 0.001, dueMs).occurrences.get(0)?.steps[0] ?? assert.fail();
    partOf(this, "standing", () => rankStep(step, openWorkers(1), 1_000, runTimes.remainingFactorOf).standing);
});

Then("it counts as {word}", function(this: ScenarioWorld, standing: string) {
    assert.equal(partOf(this, "standing", () => ""), standing);
});

const loadForMs = 30_000;

When(
    "urgent jobs and batches take {float} of {int} workers, a quarter of them slow, with and without learning, seed {int}",
    { timeout: 60_000 },
    async function(this: ScenarioWorld, share: number, workers: number, seed: number) {
        const kinds = unequalLoad(workers, share);
        const play = async (runTimes: RunTimesPolicy): Promise<Readonly<Record<string, LoadOutcome>>> => {
            const cell = createLoadCell(kinds, {
                workers,
                seed,
                allowedPercent: 60,
                cpuMillis: 8_000,
                policies: { ...defaultShardSettings.policies, runTimes },
                speedOf: index => index % 4 === 0 ? 0.55 : 1.2,
            });
            const outcomes = await playLoad(cell, kinds, { forMs: loadForMs, restMs: 10_000 });
            assert.deepEqual(cell.breaches(), []);
            return outcomes;
        };
        const outcomes = { withLearning: await play("learned"), without: await play("ignored") };
        partOf(this, "loads", () => outcomes);
    },
);

const shareInTime = (world: ScenarioWorld, load: "withLearning" | "without", kind: string): number => {
    const loads = partOf(world, "loads", (): Readonly<Record<string, Readonly<Record<string, LoadOutcome>>>> => ({}));
    const { onTime, submitted } = loads[load]?.[kind] ?? assert.fail(`no ${kind} jobs were played`);
    return 100 * onTime / submitted;
};

Then(
    "at least {float} percent of the urgent jobs are in time with learning, and {float} percent more than without",
    function(this: ScenarioWorld, least: number, more: number) {
        const [learned, ignored] = (["withLearning", "without"] as const).map(load =>
            shareInTime(this, load, "urgent")
        );
        const shares = `${learned} percent with learning, ${ignored} without`;
        assert.ok((learned ?? 0) >= least && (learned ?? 0) >= (ignored ?? 100) + more, shares);
    },
);

Then("no fewer batches are in time with learning", function(this: ScenarioWorld) {
    assert.ok(shareInTime(this, "withLearning", "batch") >= shareInTime(this, "without", "batch"));
});

/** Speed of the cell's worker with an index. */
const cellSpeedOf = (index: number): number => index % 4 === 0 ? 0.55 : 1.2;

Given(
    "a cell of {int} workers, a quarter of them slow, whose owner has learned their speeds and stored them",
    async function(this: ScenarioWorld, workers: number) {
        const kinds = unequalLoad(workers, 0.6);
        const cell = createLoadCell(kinds, {
            workers,
            seed: 1,
            allowedPercent: 100,
            cpuMillis: 8_000,
            speedOf: cellSpeedOf,
        });
        cellPart(this).cell = cell;
        cellPart(this).watch = watchStalledTasks(cell);
        await playLoad(cell, kinds, { forMs: 20_000, restMs: 0 });
    },
);

const killOwner = async (world: ScenarioWorld): Promise<void> => {
    const cell = cellOf(world);
    const former = cell.owner() ?? assert.fail("the shard has no owner");
    cellPart(world).logLengthBefore = cell.log.length;
    cell.kill(former);
    assert.ok(await cell.until(() => cell.log.slice(-50).some(({ event }) => event === "shardRestored"), 10_000));
};

When("the owner is killed", async function(this: ScenarioWorld) {
    await killOwner(this);
});

When("the row holds {} and the owner is killed", async function(this: ScenarioWorld, value: string) {
    const { store, clock } = cellOf(this);
    // Without jobs no commit is made that would replace the row.
    await clock.advance(20_000);
    const [row] = store.rows(journalTable).filter(({ key }) => key === runTimesKey);
    assert.ok(row !== undefined, "no row was written");
    const key = { table: journalTable, part: row.part, key: runTimesKey };
    store.putText({ ...key, value });
    await killOwner(this);
});

const linesSinceKill = (world: ScenarioWorld, event: string): readonly Readonly<Record<string, unknown>>[] =>
    cellOf(world).log.slice(cellPart(world).logLengthBefore).filter(line => line.event === event)
        .map(({ fields }) => fields);

Then(
    "the next owner restores {int} speeds, none of which is further than {float} from the worker's own relative to the others",
    function(this: ScenarioWorld, count: number, most: number) {
        assert.deepEqual(linesSinceKill(this, "runTimesRestored").map(({ speeds }) => speeds), [count]);
        const row = cellOf(this).store.rows(journalTable).find(({ key }) => key === runTimesKey);
        const decoded = decodeRunTimes({ value: row?.value });
        assert.ok(decoded.kind === "entry");
        const own = Array.from({ length: count }, (_, index) => Math.log(cellSpeedOf(index)));
        const meanLog = own.reduce((sum, each) => sum + each, 0) / count;
        for (const { address, speed } of decoded.entry.speeds) {
            const index = Number(/^10\.0\.0\.(\d+):/.exec(address)?.[1]);
            const off = Math.abs(Math.log(speed) - (own[index] ?? Infinity) + meanLog);
            assert.ok(off <= most, `${address} has the speed ${speed}, which is off by ${off}`);
        }
    },
);

Then(
    "the next owner reports the row as unreadable, restores no speeds, and completes a job",
    async function(this: ScenarioWorld) {
        const cell = cellOf(this);
        assert.deepEqual(linesSinceKill(this, "rowUnreadable").map(({ key }) => key), [runTimesKey]);
        assert.deepEqual(linesSinceKill(this, "runTimesRestored"), []);
        const [kind] = unequalLoad(1, 1);
        const jobId = jobIdOf(90_000);
        cell.submit(jobId, kind?.steps ?? [], kind?.queue.key);
        assert.ok(await cell.until(async () => (await cell.statesOf([jobId])).get(jobId) === "completed", 10_000));
    },
);

When(
    "{int} addresses and {int} queues with long names end a task each",
    function(this: ScenarioWorld, addresses: number, queues: number) {
        const { runTimes } = part(this);
        for (let index = 0; index < addresses; index += 1) {
            runTimes.recordEnd({
                queueKey: `${"q".repeat(200)}${index % queues}`,
                address: `http://worker-${index}.data-centre.example:17000`,
                estimateMs,
                tookMs: estimateMs,
            });
        }
    },
);

Then(
    "the row has less than {int} bytes, and is read back with the newest of both",
    function(this: ScenarioWorld, limit: number) {
        const value = encodeRunTimes(part(this).runTimes.entries());
        assert.ok(Buffer.byteLength(value) < limit, `${Buffer.byteLength(value)} bytes`);
        const decoded = decodeRunTimes({ value });
        assert.ok(decoded.kind === "entry");
        const { speeds, biases } = decoded.entry;
        assert.match(speeds[0]?.address ?? "", /worker-2999/);
        assert.match(biases[0]?.queueKey ?? "", /499$/);
    },
);

When(
    "urgent jobs and batches take {float} of {int} workers for {int} s, a quarter of them at {float}",
    async function(this: ScenarioWorld, share: number, workers: number, forS: number, slowSpeed: number) {
        const kinds = unequalLoad(workers, share);
        const cell = createLoadCell(kinds, {
            workers,
            seed: 1,
            allowedPercent: 100,
            cpuMillis: 8_000,
            speedOf: index => index % 4 === 0 ? slowSpeed : 1.2,
        });
        cellPart(this).cell = cell;
        cellPart(this).watch = watchStalledTasks(cell);
        await playLoad(cell, kinds, { forMs: 1_000 * forS, restMs: 0 });
    },
);

Then(
    "{int} log lines show the speeds, the newest of them those of {int} workers",
    function(this: ScenarioWorld, lines: number, workers: number) {
        const shown = cellOf(this).log.filter(({ event }) => event === "speedsLearned");
        assert.equal(shown.length, lines);
        assert.ok(lines === 0 || shown.at(-1)?.fields["workers"] === workers, JSON.stringify(shown));
    },
);
