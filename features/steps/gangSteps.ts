/** Steps about gangs, whose members have to start together. */

import { Given, Then, When } from "@cucumber/cucumber";
import {
    createFakeClock,
    createShardCell,
    jobIdOf,
    noopLog,
    noopMeter,
    readSteps,
    type ShardCell,
    testQueue,
    type WorkerFault,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { createGangWatch, defaultShardSettings, newJob, newRun, runEnds, type ShardRun } from "puffinarch";
import { cellOf, completionTimes, part, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

/** A job of a load: when it was submitted, and its number of tasks. */
interface LoadedJob {
    readonly sentAtMs: number;
    readonly tasks: number;
}

/** The jobs of the newest load, by ID. */
const newestLoad = (world: ScenarioWorld): Map<string, LoadedJob> =>
    partOf(world, "gangs", () => new Map<string, LoadedJob>());

/** How long the placement of a gang may take. */
const placementLimitMs = 2_000;
/** Time in which a daemon claims the shard. */
const claimMs = 2_000;

/** Starts a cell for a load of thousands of tasks, on which the search for stalled tasks in each step would take minutes. */
const startLoadCell = async (
    world: ScenarioWorld,
    options: Omit<Parameters<typeof createShardCell>[0], "seed">,
): Promise<void> => {
    part(world).cell = createShardCell({ ...options, seed: 1, runsGangsTogether: true });
    await cellOf(world).clock.advance(claimMs);
};

Given(
    "a cell of {int} daemons and {int} workers that answer starts within {int} ms",
    async function(this: ScenarioWorld, members: number, workers: number, startAnswerMs: number) {
        await startLoadCell(this, { members, workers, startAnswerMs });
    },
);

Given(
    "a cell of {int} daemons and {int} workers that answer starts within {int} ms, with tickets that expire",
    async function(this: ScenarioWorld, members: number, workers: number, startAnswerMs: number) {
        await startLoadCell(this, { members, workers, startAnswerMs, ticketsExpire: true });
    },
);

Given(
    "a cell of {int} daemons and {int} workers that answer starts within {int} ms, where each start costs a daemon {float} ms",
    async function(this: ScenarioWorld, members: number, workers: number, startAnswerMs: number, startMs: number) {
        await startLoadCell(this, {
            members,
            workers,
            startAnswerMs,
            costs: { firstLookMs: 1, lookMs: 0.2, callMs: 0.2, startMs },
        });
    },
);

Given(
    "a cell of {int} daemons on one thread each and {int} workers, where a start and its answer cost a daemon {float} ms each",
    async function(this: ScenarioWorld, members: number, workers: number, costMs: number) {
        await startLoadCell(this, {
            members,
            workers,
            startAnswerMs: 20,
            ticketsExpire: true,
            costs: {
                firstLookMs: 1,
                lookMs: 0.2,
                callMs: 0.2,
                startMs: costMs,
                startAnswerMs: costMs,
                countsOwnWork: true,
            },
        });
    },
);

Given(
    "a cell of {int} daemons and {int} workers on which gangs run together",
    async function(this: ScenarioWorld, members: number, workers: number) {
        await startCell(this, { members, workers, seed: 1, runsGangsTogether: true });
    },
);

/** Submits the same jobs again and again, each given by its steps. */
const submitRepeatedly = async (
    world: ScenarioWorld,
    shapes: readonly string[],
    { everyMs, forMs }: { readonly everyMs: number; readonly forMs: number; },
): Promise<void> => {
    const cell = cellOf(world);
    const { jobs } = part(world);
    const sent = newestLoad(world);
    sent.clear();
    for (let passedMs = 0; passedMs < forMs; passedMs += everyMs) {
        for (const steps of shapes) {
            const jobId = jobIdOf(jobs.length + 1);
            jobs.push(jobId);
            sent.set(jobId, { sentAtMs: cell.clock.monotonicMs(), tasks: Number.parseInt(steps, 10) });
            cell.submit(jobId, readSteps(steps));
        }
        await cell.clock.advance(everyMs);
    }
};

/** As `submitRepeatedly`, and then waits for as long again. */
const submitLoad = async (
    world: ScenarioWorld,
    shapes: readonly string[],
    times: { readonly everyMs: number; readonly forMs: number; },
): Promise<void> => {
    await submitRepeatedly(world, shapes, times);
    await cellOf(world).clock.advance(times.forMs);
};

const repeat = (count: number, steps: string): readonly string[] => Array.from({ length: count }, () => steps);

When(
    "{int} gangs of {int} tasks and {int} jobs of {int} tasks are submitted every {int} ms for {int} ms",
    async function(
        this: ScenarioWorld,
        gangs: number,
        gangTasks: number,
        others: number,
        otherTasks: number,
        everyMs: number,
        forMs: number,
    ) {
        const shapes = [...repeat(others, `${otherTasks}`), ...repeat(gangs, `${gangTasks} gang`)];
        await submitLoad(this, shapes, { everyMs, forMs });
    },
);

When(
    "{int} jobs of steps {string} are submitted every {int} ms for {int} ms",
    async function(this: ScenarioWorld, count: number, steps: string, everyMs: number, forMs: number) {
        await submitLoad(this, repeat(count, steps), { everyMs, forMs });
    },
);

/** Interval at which long-running jobs are submitted beside a load. */
const longRunningEveryMs = 500;
/** Interval at which the answers to long-running jobs are read, which is the most by which their waits are measured too short. */
const answerPollMs = 100;
/** Time after the load in which the accepted long-running jobs have to start. */
const afterLoadMs = 10_000;

When(
    "{int} jobs of steps {string} are submitted every {int} ms for {int} ms, and long-running ones of 2 tasks beside them",
    async function(this: ScenarioWorld, count: number, steps: string, everyMs: number, forMs: number) {
        const cell = cellOf(this);
        const { jobs } = part(this);
        const acceptedAtMs = partOf(this, "longRunning", () => new Map<string, number>());
        const longRunningJobs: string[] = [];
        const submit = (text: string): string => {
            const jobId = jobIdOf(jobs.length + 1);
            jobs.push(jobId);
            cell.submit(jobId, readSteps(text));
            return jobId;
        };
        for (let passedMs = 0; passedMs < forMs + afterLoadMs; passedMs += answerPollMs) {
            if (passedMs < forMs && passedMs % everyMs === 0) {
                repeat(count, steps).forEach(submit);
            }
            if (passedMs < forMs && passedMs % longRunningEveryMs === 0) {
                longRunningJobs.push(submit("2 long running"));
            }
            await cell.clock.advance(answerPollMs);
            for (const jobId of longRunningJobs) {
                if (cell.answers().get(jobId) === "accepted" && !acceptedAtMs.has(jobId)) {
                    acceptedAtMs.set(jobId, cell.clock.monotonicMs());
                }
            }
        }
    },
);

Then(
    "each accepted long-running job ran within {int} ms of its acceptance",
    function(this: ScenarioWorld, withinMs: number) {
        const { evidence } = cellOf(this).workers;
        const acceptedAtMs = partOf(this, "longRunning", () => new Map<string, number>());
        assert.ok(acceptedAtMs.size > 0, "no long-running job was accepted");
        const waits = [...acceptedAtMs].map(([jobId, acceptedMs]) => {
            const starts = evidence.filter(({ taskName }) => taskName.startsWith(`${jobId}.`));
            return { jobId, waitedMs: Math.min(...starts.map(({ startedAtMs }) => startedAtMs)) - acceptedMs };
        });
        const late = waits.filter(({ waitedMs }) => waitedMs > withinMs);
        assert.deepEqual(late.map(({ jobId, waitedMs }) => `${jobId} waited for ${Math.round(waitedMs)} ms`), []);
    },
);

const msPerS = 1_000;

When(
    "jobs of {int} tasks arrive for {int} ms, {int} tasks a second",
    async function(this: ScenarioWorld, tasks: number, forMs: number, tasksPerS: number) {
        await submitRepeatedly(this, [`${tasks}`], { everyMs: msPerS * tasks / tasksPerS, forMs });
    },
);

/** Workers of the newest placement, in the order of the tasks. */
const placedWorkers = (cell: ShardCell): readonly string[] => {
    const line = cell.log.filter(({ event }) => event === "placed").at(-1);
    return [...String(line?.fields["runs"] ?? "").matchAll(/@([^ ]+)/g)].map(([, workerId = ""]) => workerId);
};

When("a gang of {int} tasks, one to a worker, is placed", async function(this: ScenarioWorld, tasks: number) {
    const cell = cellOf(this);
    const jobId = jobIdOf(part(this).jobs.length + 1);
    part(this).jobs.push(jobId);
    cell.submit(jobId, readSteps(`${tasks} gang of 5 cores`));
    for (let waitedMs = 0; placedWorkers(cell).length === 0; waitedMs += 1) {
        assert.ok(waitedMs < placementLimitMs, "the gang was not placed");
        await cell.clock.advance(1);
    }
});

When(
    /^(\d+) of its workers are (cut|deaf|late)$/,
    function(this: ScenarioWorld, count: string, fault: WorkerFault) {
        const cell = cellOf(this);
        const workerIds = placedWorkers(cell).slice(0, Number(count));
        for (const workerId of workerIds) {
            cell.workers.setFault(workerId, fault);
        }
        part(this).endFaults.push(() => workerIds.forEach(workerId => cell.workers.setFault(workerId, "none")));
    },
);

/** When a member that waits for its gang ends: alone, or by the stop that its owner sends. */
interface StoppedGang {
    readonly endsAloneAtMs: number;
    endedByStopAtMs: number;
}

/** Log lines about stopped gangs, and the tasks whose runs were stopped, by index. */
interface GangStops {
    lines: number;
    readonly stops: number[];
}

/** Time between two reviews of an owner that is not late. */
const reviewMs = 100;

/** The runs of a gang that was just sent to one worker; their tasks do not list them yet. */
const startingGang = (members: number): readonly ShardRun[] => {
    const job = newJob(
        {
            jobId: jobIdOf(1),
            queueKey: testQueue.key,
            dataCentre: "leon-feria",
            payload: "plan",
            steps: readSteps(`${members} gang`),
            schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
        },
        testQueue,
        { acceptedAtMs: 0, order: 1 },
    );
    const tasks = job.occurrences.get(0)?.steps[0]?.tasks ?? [];
    return tasks.map(task => newRun(task, "i-1", 1, { phase: "starting", sentAtMs: 0 }));
};

When(
    "an owner that is {int} ms late watches a gang of which one member never starts",
    async function(this: ScenarioWorld, lateMs: number) {
        const { gangWaitMs, stopMs } = defaultShardSettings;
        const clock = createFakeClock();
        const runs = startingGang(2);
        runs.forEach(run => run.task.runs.push(run));
        const [present, missing] = runs;
        assert.ok(present !== undefined && missing !== undefined);
        const stopped = partOf(this, "stoppedGang", (): StoppedGang => ({
            endsAloneAtMs: gangWaitMs,
            endedByStopAtMs: Infinity,
        }));
        const gangs = createGangWatch({
            clock,
            log: noopLog,
            meter: noopMeter,
            gangWaitMs,
            stopMs,
            lagMs: () => lateMs,
            stop: run => {
                if (run === present) {
                    stopped.endedByStopAtMs = Math.min(stopped.endedByStopAtMs, clock.monotonicMs() + stopMs);
                }
            },
        });
        gangs.watch(present);
        gangs.watch(missing);
        present.startedAtMs = clock.monotonicMs();
        while (clock.monotonicMs() < gangWaitMs) {
            await clock.advance(reviewMs + lateMs);
            gangs.review();
        }
    },
);

Then("the worker has stopped the other member before it ends alone", function(this: ScenarioWorld) {
    const { endsAloneAtMs, endedByStopAtMs } = partOf(
        this,
        "stoppedGang",
        (): StoppedGang => assert.fail("no gang was watched"),
    );
    assert.ok(endedByStopAtMs < endsAloneAtMs, `stopped after ${endedByStopAtMs} ms, alone after ${endsAloneAtMs} ms`);
});

When(
    "{int} members of a gang of {int} are lost one after the other, and then another review comes",
    async function(this: ScenarioWorld, lost: number, count: number) {
        const clock = createFakeClock();
        const runs = startingGang(count);
        const gangStops = partOf(this, "gangStops", (): GangStops => ({ lines: 0, stops: [] }));
        const gangs = createGangWatch({
            clock,
            log: {
                write: () => {
                    gangStops.lines += 1;
                },
            },
            meter: noopMeter,
            gangWaitMs: defaultShardSettings.gangWaitMs,
            stop: run => {
                run.phase = "stopping";
                gangStops.stops.push(run.task.index);
            },
        });
        for (const run of runs) {
            run.task.runs.push(run);
            gangs.watch(run);
        }
        for (const run of runs.slice(0, lost)) {
            run.task.runs.splice(0);
            gangs.memberLost(run, "refused");
            // The rest of its gang leaves the queue in a later turn.
            runs.slice(lost).forEach(gangs.watch);
            await clock.advance(reviewMs);
            gangs.review();
        }
    },
);

Then("each of the other {int} was stopped once, as one gang", function(this: ScenarioWorld, others: number) {
    const { lines, stops } = partOf(this, "gangStops", (): GangStops => assert.fail("no gang was watched"));
    assert.equal(lines, 1);
    assert.equal(new Set(stops).size, others);
    assert.equal(stops.length, others);
});

Then("no run ended alone", function(this: ScenarioWorld) {
    const { evidence } = cellOf(this).workers;
    assert.ok(evidence.length > 0, "nothing was started");
    const alone = evidence.filter(({ how }) => how === runEnds.alone);
    assert.deepEqual(alone.map(({ taskName, run, workerId }) => `${taskName}#${run}@${workerId}`), []);
});

Then(
    "at least {int} percent of the newest jobs were completed within {int} ms",
    function(this: ScenarioWorld, percent: number, withinMs: number) {
        const load = newestLoad(this);
        const completedAtMs = completionTimes(cellOf(this));
        const inTime = [...load].filter(([jobId, { sentAtMs, tasks }]) =>
            completedAtMs(jobId, tasks) - sentAtMs <= withinMs
        );
        const share = Math.round(100 * inTime.length / load.size);
        assert.ok(share >= percent, `${share} percent were completed in time`);
    },
);

Then("the shard was not handed over", function(this: ScenarioWorld) {
    const lines = cellOf(this).log.filter(({ event }) => event === "handOver");
    assert.deepEqual(lines.map(({ memberId, fields }) => `${memberId}: ${String(fields["why"])}`), []);
});

Then("the shard was handed over because its owner was {string}", function(this: ScenarioWorld, why: string) {
    const lines = cellOf(this).log.filter(({ event, fields }) => event === "handOver" && fields["claimed"] === true);
    assert.deepEqual([...new Set(lines.map(({ fields }) => fields["why"]))], [why]);
});

Then("no gang had members more than {int} ms apart", function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    const startsMs = new Map<string, number[]>();
    for (const { taskName, run, startedAtMs } of cell.workers.evidence) {
        if (cell.stepOf(taskName)?.gang === true) {
            const key = `${taskName.slice(0, taskName.lastIndexOf("."))}#${run}`;
            startsMs.set(key, [...startsMs.get(key) ?? [], startedAtMs]);
        }
    }
    assert.ok(startsMs.size > 0, "no gang was started");
    const spansMs = [...startsMs.values()].map(times => Math.max(...times) - Math.min(...times));
    assert.ok(Math.max(...spansMs) <= limitMs, `the members of a gang started ${Math.max(...spansMs)} ms apart`);
});
