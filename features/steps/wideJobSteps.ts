/** Steps for jobs whose state takes more than one row of the store. */

import { Given, Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    createFakeRowStore,
    type FakeClock,
    jobIdOf,
    plainStep,
    testQueue,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import {
    applyRunEnd,
    type CommitLog,
    createAccounts,
    createCommitLog,
    createRowReader,
    encodeJob,
    hasEnded,
    journalTable,
    newJob,
    newRun,
    recordWritten,
    restoreJobs,
    type Row,
    type RowChange,
    type ShardJob,
    type ShardTask,
    type Step,
} from "puffinarch";
import { limits, log, meter, part as shardPart, submission } from "./examples/shardFixtures.js";
import { cellOf, part, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

/** A step whose tasks all fit on four workers at once. */
const smallTasks = (count: number, more: Partial<Step> = {}): Step => ({
    ...plainStep,
    count,
    size: { cpuMillis: 5, memoryMib: 2, accelerators: 0 },
    ...more,
});

Given(
    "a cell of {int} daemons and {int} workers whose tasks save checkpoints of {int} bytes every {int} ms",
    async function(
        this: ScenarioWorld,
        members: number,
        workers: number,
        checkpointLength: number,
        checkpointIntervalMs: number,
    ) {
        await startCell(this, { members, workers, seed: 1, durationMs: 3_000, checkpointIntervalMs, checkpointLength });
    },
);

Given(
    "a cell of {int} daemons and {int} workers where each start costs a daemon {float} ms",
    async function(this: ScenarioWorld, members: number, workers: number, startMs: number) {
        await startCell(this, {
            members,
            workers,
            seed: 1,
            costs: { firstLookMs: 1, lookMs: 0.5, callMs: 0.5, startMs },
        });
    },
);

Then("every start was the first of its task", function(this: ScenarioWorld) {
    const { evidence } = cellOf(this).workers;
    assert.ok(evidence.length > 0);
    assert.deepEqual(evidence.filter(({ run }) => run > 1).map(({ taskName, run }) => `${taskName}#${run}`), []);
});

When(
    /^a (job|gang) of (\d+) small tasks( with checkpoints)? is submitted$/,
    function(this: ScenarioWorld, kind: string, count: string, checkpoints: string | null) {
        const { jobs } = part(this);
        const jobId = jobIdOf(jobs.length + 1);
        jobs.push(jobId);
        const step = smallTasks(Number(count), { gang: kind === "gang", checkpointing: checkpoints !== null });
        cellOf(this).submit(jobId, [step]);
    },
);

/** A job with the rows that are durable before its newest change. */
interface ChangedJob {
    job: ShardJob | undefined;
    readonly durable: Map<string, string>;
}

const changedJob = (world: ScenarioWorld): ChangedJob =>
    partOf(world, "wideJob", () => ({ job: undefined, durable: new Map() }));

const jobOf = (world: ScenarioWorld): ShardJob => changedJob(world).job ?? assert.fail("there is no job");

/** A page of tasks with checkpoints of this length takes several rows. */
const longCheckpointBytes = 4_000;

const tasksOf = (job: ShardJob): readonly ShardTask[] => job.occurrences.get(0)?.steps[0]?.tasks ?? [];

const startAll = (tasks: readonly ShardTask[], run: number): void => {
    for (const task of tasks) {
        task.lastRun = run;
        task.runs.splice(0, 1, newRun(task, `i-${task.index % 30}`, run, { address: `10.0.0.${task.index % 30}:1` }));
    }
};

const endRuns = (tasks: readonly ShardTask[]): void => {
    for (const task of tasks) {
        applyRunEnd(task, task.lastRun, "done", "", 0);
        task.runs.length = 0;
    }
};

const applyRows = (durable: Map<string, string>, { puts, removes }: RowChange): void => {
    for (const { table, key, value } of puts) {
        durable.set(`${table}|${key}`, value);
    }
    for (const { table, key } of removes) {
        durable.delete(`${table}|${key}`);
    }
};

Given(/^a (job|gang) of (\d+) tasks of which all run$/, function(this: ScenarioWorld, kind: string, count: string) {
    const steps = [smallTasks(Number(count), { gang: kind === "gang" })];
    const job = newJob({ ...submission, steps }, testQueue, { acceptedAtMs: 0, order: 1 });
    startAll(tasksOf(job), 1);
    const change = encodeJob(job, createFakeClock(), limits);
    applyRows(changedJob(this).durable, change);
    recordWritten(job, change);
    job.stored = true;
    changedJob(this).job = job;
});

When("all of its tasks end", function(this: ScenarioWorld) {
    endRuns(tasksOf(jobOf(this)));
});

When("half of its tasks end", function(this: ScenarioWorld) {
    endRuns(tasksOf(jobOf(this)).filter(({ index }) => index % 2 === 0));
});

When("all of its tasks are started anew", function(this: ScenarioWorld) {
    startAll(tasksOf(jobOf(this)), 2);
});

/** The tasks that are done and the runs that are live after a job was restored from rows. */
interface RestoredTasks {
    readonly done: ReadonlySet<string>;
    readonly live: ReadonlySet<string>;
}

const restoredTasksOf = (rows: readonly Row[]): RestoredTasks => {
    const { jobs, runs } = restoreJobs(rows.filter(({ table }) => table === journalTable), {
        reader: createRowReader({ log, meter }),
        accounts: createAccounts(),
        clock: createFakeClock(),
    });
    return {
        done: new Set(jobs.flatMap(tasksOf).filter(({ done }) => done).map(({ name }) => name)),
        live: new Set(runs.map(({ taskName, run, workerId }) => `${taskName}#${run}@${workerId}`)),
    };
};

When(
    /^the checkpoints of its tasks become (longer|shorter), while some of them end$/,
    function(this: ScenarioWorld, how: string) {
        const job = jobOf(this);
        const { durable } = changedJob(this);
        const store = (checkpointBytes: number): void => {
            for (const task of tasksOf(job)) {
                task.saved.checkpoint = "x".repeat(checkpointBytes);
            }
        };
        if (how === "shorter") {
            store(longCheckpointBytes);
            const change = encodeJob(job, createFakeClock(), limits);
            applyRows(durable, change);
            recordWritten(job, change);
        }
        endRuns(tasksOf(job).filter(({ index }) => index % 3 === 0));
        const change = encodeJob(job, createFakeClock(), limits);
        applyRows(durable, change);
        recordWritten(job, change);
        store(how === "longer" ? longCheckpointBytes : 0);
        endRuns(tasksOf(job).filter(({ index }) => index % 3 === 1));
    },
);

Then("each first part of that change keeps what was durable of its tasks", function(this: ScenarioWorld) {
    const { durable } = changedJob(this);
    const job = jobOf(this);
    const ended = new Set(tasksOf(job).filter(({ done }) => done).map(({ name }) => name));
    const rowsOf = (values: ReadonlyMap<string, string>): readonly Row[] =>
        [...values].map(([id, value]) => {
            const [table = "", key = ""] = id.split("|");
            return { table, key, value, part: shardPart, version: durable.get(id) === value ? 1 : 2 };
        });
    const before = restoredTasksOf(rowsOf(durable));
    assert.ok(before.done.size > 0 && before.live.size > 0);
    const { puts, removes } = encodeJob(job, createFakeClock(), limits);
    for (let rows = 0; rows <= puts.length + removes.length; rows += 1) {
        const rest = new Map(durable);
        applyRows(rest, { puts: puts.slice(0, rows), removes: removes.slice(0, Math.max(0, rows - puts.length)) });
        const after = restoredTasksOf(rowsOf(rest));
        const lost = [
            ...[...before.done].filter(name => !after.done.has(name)),
            ...[...before.live].filter(live =>
                !after.live.has(live)
                && !(after.done.has(live.split("#")[0] ?? "") && ended.has(live.split("#")[0] ?? ""))
            ),
        ];
        assert.deepEqual(lost, [], `after ${rows} of ${puts.length} rows, and ${removes.length} that are removed`);
    }
});

/** Restores a job from its durable rows; undefined where it has ended. */
const restoredFrom = (durable: ReadonlyMap<string, string>): ShardJob | undefined => {
    const rows: Row[] = [...durable].map(([id, value]) => {
        const [table = "", key = ""] = id.split("|");
        return { table, key, value, part: shardPart, version: 1 };
    });
    const reader = createRowReader({ log, meter });
    const { jobs, runs } = restoreJobs(rows.filter(({ table }) => table === journalTable), {
        reader,
        accounts: createAccounts(),
        clock: createFakeClock(),
    });
    const [job] = jobs;
    if (job === undefined) {
        return undefined;
    }
    const live = new Set(runs.map(({ taskName }) => taskName));
    for (const task of tasksOf(job).filter(({ name }) => live.has(name))) {
        task.runs.push(newRun(task, "i-1", task.lastRun));
    }
    return job;
};

Then("each first part of that change is restored to a job that can be completed", function(this: ScenarioWorld) {
    const { durable } = changedJob(this);
    const { puts, removes } = encodeJob(jobOf(this), createFakeClock(), limits);
    assert.ok(puts.length + removes.length > 2, "the change takes a few rows only");
    for (let rows = 0; rows <= puts.length + removes.length; rows += 1) {
        const rest = new Map(durable);
        applyRows(rest, { puts: puts.slice(0, rows), removes: removes.slice(0, Math.max(0, rows - puts.length)) });
        const restored = restoredFrom(rest);
        if (restored === undefined) {
            assert.ok([...rest.keys()].some(key => key.startsWith("puffinarch-ended|")), `${rows} rows lose the job`);
            continue;
        }
        endRuns(tasksOf(restored).filter(({ done }) => !done));
        assert.ok(hasEnded(restored), `after ${rows} rows the job is ${restored.state}`);
    }
});

When(
    "a job of {int} steps with labels of {int} characters is submitted once",
    function(this: ScenarioWorld, count: number, length: number) {
        const label = "x".repeat(length);
        const step = { ...plainStep, requiredLabel: label, dataRack: label, image: label };
        cellOf(this).submitOnce(jobIdOf(1), Array.from({ length: count }, () => step));
    },
);

Then("its answer is {string}", function(this: ScenarioWorld, answer: string) {
    assert.equal(cellOf(this).answers().get(jobIdOf(1)), answer);
});

/** A commit log of which one job has a row that is too large. */
interface CommitPart {
    clock: FakeClock;
    commits: CommitLog;
    largeBytes: number;
    readonly durable: string[];
    readonly setAside: string[];
}

const commitPart = (world: ScenarioWorld): Partial<CommitPart> & Pick<CommitPart, "durable" | "setAside"> =>
    partOf(world, "commits", () => ({ durable: [], setAside: [] }));

const largeJobId = "c";

When(
    /^(\d+) jobs are committed, one of them with a row that is too large, to a store whose limits are (known|unknown)$/,
    async function(this: ScenarioWorld, count: string, known: string) {
        const state = commitPart(this);
        const clock = createFakeClock();
        const connection = createFakeRowStore(clock).connect("entry-1");
        state.clock = clock;
        state.largeBytes = 2 * limits.rowBytes;
        state.commits = createCommitLog({
            clock,
            log: { write: (_level, event, { jobId }) => event === "jobSetAside" && state.setAside.push(String(jobId)) },
            meter,
            store: known === "known"
                ? connection
                : { ...connection, limits: { ...limits, rowBytes: limits.callBytes / 4 } },
            part: shardPart,
            ownerVersion: 0,
            sequenceVersion: 0,
            storeLatencyMs: 8,
            claimId: "1",
            encode: jobId => ({
                puts: [{
                    table: journalTable,
                    key: `state/${jobId}`,
                    value: "x".repeat(jobId === largeJobId ? state.largeBytes ?? 0 : 10),
                }],
                removes: [],
            }),
            onFenced: () => assert.fail("no other daemon has the shard"),
        });
        for (const jobId of "abcdefghij".slice(0, Number(count))) {
            void state.commits.commit(jobId).then(() => state.durable.push(jobId));
        }
    },
);

Then(
    "the other {int} are durable within {int} ms, and one job was set aside",
    async function(this: ScenarioWorld, others: number, withinMs: number) {
        const { clock, durable, setAside } = commitPart(this);
        await clock?.advance(withinMs);
        assert.equal(durable.length, others, durable.join(", "));
        assert.ok(!durable.includes(largeJobId));
        assert.deepEqual(setAside, [largeJobId]);
    },
);

When("that job has a small row again and is committed", function(this: ScenarioWorld) {
    const state = commitPart(this);
    state.largeBytes = 10;
    void state.commits?.commit(largeJobId);
});

Then("it is durable within {int} ms", async function(this: ScenarioWorld, withinMs: number) {
    const { clock, durable } = commitPart(this);
    await clock?.advance(withinMs);
    assert.ok(durable.includes(largeJobId));
});

Given(
    "a cell of {int} daemons and {int} workers that hold at most {int} tasks",
    async function(this: ScenarioWorld, members: number, workers: number, maxHeldTasks: number) {
        await startCell(this, { members, workers, seed: 1, maxHeldTasks });
    },
);

/** Answers to the jobs that were submitted last, in the order of their submission. */
const lastAnswers = (world: ScenarioWorld): { answers: string[]; submitted: number; } =>
    partOf(world, "answers", () => ({ answers: [], submitted: 0 }));

When(
    "jobs of {string} small tasks are submitted once, one after the other",
    async function(this: ScenarioWorld, counts: string) {
        const cell = cellOf(this);
        const last = lastAnswers(this);
        last.answers = [];
        for (const count of counts.split(",").map(Number)) {
            last.submitted += 1;
            const jobId = jobIdOf(last.submitted);
            cell.submitOnce(jobId, [smallTasks(count)]);
            await cell.clock.advance(100);
            last.answers.push(cell.answers().get(jobId) ?? "none");
        }
    },
);

Then("they were answered {string}", function(this: ScenarioWorld, answers: string) {
    assert.equal(lastAnswers(this).answers.join(", "), answers);
});

When("a job of two steps of {int} small tasks is submitted", function(this: ScenarioWorld, count: number) {
    const jobId = jobIdOf(1);
    part(this).jobs.push(jobId);
    cellOf(this).submit(jobId, [smallTasks(count), smallTasks(count, { after: [0] })]);
});

When("the store rejects the rows of that job", function(this: ScenarioWorld) {
    cellOf(this).store.rejectRowsOf(part(this).jobs[0]);
});

When("the store accepts its rows again", function(this: ScenarioWorld) {
    cellOf(this).store.rejectRowsOf(undefined);
});

Then("the job was set aside", function(this: ScenarioWorld) {
    assert.ok(cellOf(this).log.some(({ event, fields }) => event === "jobSetAside" && fields["jobId"] === jobIdOf(1)));
});

Then(
    "the last {int} jobs are {string} within {int} ms",
    async function(this: ScenarioWorld, count: number, state: string, withinMs: number) {
        const jobs = part(this).jobs.slice(-count);
        const reached = await cellOf(this).until(
            async () => [...(await cellOf(this).statesOf(jobs)).values()].every(each => each === state),
            withinMs,
        );
        assert.ok(reached, [...(await cellOf(this).statesOf(jobs))].join("; "));
    },
);
