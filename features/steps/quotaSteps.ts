/** Steps about organisations that share a shard, each with a cap on what it may have running. */

import { Given, Then, When } from "@cucumber/cucumber";
import { jobIdOf, readSteps, testQueue } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { defaultShardSettings, type Organisation, type SchedulingOrder, schedulingOrders } from "puffinarch";
import { cellOf, part, startCell } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Quotas {
    /** Ids of the jobs of each organisation. */
    readonly jobsOf: Map<string, string[]>;
    gangId: string;
    gangAtMs: number;
    /** Ids of the jobs that were submitted together last. */
    newestJobs: readonly string[];
    readonly submittedAtMs: Map<string, number>;
}

const quotas = (world: ScenarioWorld): Quotas =>
    partOf(
        world,
        "quotas",
        () => ({ jobsOf: new Map(), gangId: "", gangAtMs: 0, newestJobs: [], submittedAtMs: new Map() }),
    );

/** Parses organisations with their caps in cores, such as "north 6, south 0"; 0 stands for no cap. */
const parseOrganisations = (text: string): readonly Organisation[] =>
    text.split(", ").map(each => {
        const [name = "", cores] = each.split(" ");
        const cap = { cpuMillis: 1_000 * Number(cores), memoryMib: 0, accelerators: 0 };
        return { name, keyDigests: [], weight: 1, cap };
    });

const laterQueue = { ...testQueue, key: "stages.example/later/", pathPrefix: "/later/", priority: 2 };

const nextJobId = (world: ScenarioWorld): string => {
    const { jobsOf } = quotas(world);
    return jobIdOf(1 + [...jobsOf.values()].reduce((sum, jobs) => sum + jobs.length, 0));
};

const submitFor = (world: ScenarioWorld, organisation: string, steps: string, queueKey?: string): string => {
    const { jobsOf } = quotas(world);
    const jobId = nextJobId(world);
    jobsOf.set(organisation, [...jobsOf.get(organisation) ?? [], jobId]);
    part(world).jobs.push(jobId);
    cellOf(world).submitFor(organisation, jobId, readSteps(steps), queueKey);
    return jobId;
};

const submitAll = (
    world: ScenarioWorld,
    count: number,
    { organisation, steps, queueKey }: {
        readonly organisation: string;
        readonly steps: string;
        readonly queueKey?: string;
    },
): void => {
    quotas(world).newestJobs = Array.from(
        { length: count },
        () => submitFor(world, organisation, steps, queueKey),
    );
};

Given(
    "a cell of {int} daemons and {int} workers for the organisations {string}",
    async function(this: ScenarioWorld, members: number, workers: number, organisations: string) {
        await startCell(this, { members, workers, seed: 1, organisations: parseOrganisations(organisations) });
    },
);

Given(
    "a cell of {int} daemons and {int} worker(s) with two queues for the organisations {string}",
    async function(this: ScenarioWorld, members: number, workers: number, organisations: string) {
        await startCell(this, {
            members,
            workers,
            seed: 1,
            durationMs: "estimated",
            queues: [testQueue, laterQueue],
            organisations: parseOrganisations(organisations),
        });
    },
);

Given(
    "a cell of {int} daemons and {int} workers for the organisations {string} with the weights {string} and the order {string}",
    async function(
        this: ScenarioWorld,
        members: number,
        workers: number,
        text: string,
        weights: string,
        order: string,
    ) {
        const organisations = parseOrganisations(text).map((organisation, index) => ({
            ...organisation,
            weight: Number(weights.split(", ")[index]),
        }));
        assert.ok(order in schedulingOrders, order);
        const policies = { ...defaultShardSettings.policies, order: order as SchedulingOrder };
        await startCell(this, { members, workers, seed: 1, durationMs: "estimated", organisations, policies });
    },
);

When(
    "jobs of steps {string} come for {int} ms, each {int} ms for {string} and each {int} ms for {string}",
    async function(
        this: ScenarioWorld,
        steps: string,
        forMs: number,
        burstEachMs: number,
        burst: string,
        eachMs: number,
        other: string,
    ) {
        const { clock } = cellOf(this);
        const submittedAtMs = quotas(this).submittedAtMs;
        const tickMs = 10;
        for (let passedMs = 0; passedMs < forMs; passedMs += tickMs) {
            if (passedMs % burstEachMs === 0) {
                submitFor(this, burst, steps);
            }
            if (passedMs % eachMs === 0) {
                submittedAtMs.set(submitFor(this, other, steps), clock.monotonicMs());
            }
            await clock.advance(tickMs);
        }
    },
);

Then(
    "at least {int} of {int} jobs of {string} ended within {int} ms of their submission",
    function(this: ScenarioWorld, least: number, all: number, organisation: string, withinMs: number) {
        const jobs = quotas(this).jobsOf.get(organisation) ?? [];
        assert.equal(jobs.length, all);
        const { evidence } = cellOf(this).workers;
        const inTime = jobs.filter(jobId => {
            const ends = evidence.filter(({ taskName }) => taskName.startsWith(jobId)).map(({ endedAtMs = Infinity }) =>
                endedAtMs
            );
            const submittedAtMs = quotas(this).submittedAtMs.get(jobId) ?? 0;
            return ends.length > 0 && Math.max(...ends) - submittedAtMs <= withinMs;
        });
        assert.ok(inTime.length >= least, `${inTime.length} jobs did`);
    },
);

When(
    "{int} jobs of steps {string} are submitted for {string}",
    function(this: ScenarioWorld, count: number, steps: string, organisation: string) {
        submitAll(this, count, { organisation, steps });
    },
);

When(
    "{int} jobs of steps {string} are submitted for {string} to the later queue",
    function(this: ScenarioWorld, count: number, steps: string, organisation: string) {
        submitAll(this, count, { organisation, steps, queueKey: laterQueue.key });
    },
);

When(
    "jobs of steps {string} for {string} come each {int} ms for {int} ms, and one of steps {string} after {int} ms",
    async function(
        this: ScenarioWorld,
        steps: string,
        organisation: string,
        eachMs: number,
        forMs: number,
        gangSteps: string,
        gangAtMs: number,
    ) {
        const state = quotas(this);
        for (let passedMs = 0; passedMs < forMs; passedMs += eachMs) {
            submitFor(this, organisation, steps);
            if (passedMs === gangAtMs) {
                state.gangId = submitFor(this, organisation, gangSteps);
                state.gangAtMs = cellOf(this).clock.monotonicMs();
            }
            await cellOf(this).clock.advance(eachMs);
        }
    },
);

Then("the gang ran within {int} ms", function(this: ScenarioWorld, limitMs: number) {
    const { gangId, gangAtMs } = quotas(this);
    const starts = cellOf(this).workers.evidence.filter(({ taskName }) => taskName.startsWith(gangId));
    const firstMs = Math.min(...starts.map(({ startedAtMs }) => startedAtMs)) - gangAtMs;
    assert.ok(firstMs <= limitMs, `the gang started after ${firstMs} ms`);
});

Then(
    "the jobs of {string} are completed within {int} ms",
    async function(this: ScenarioWorld, organisation: string, limitMs: number) {
        const cell = cellOf(this);
        const jobs = quotas(this).jobsOf.get(organisation) ?? [];
        const areDone = async (): Promise<boolean> =>
            [...(await cell.statesOf(jobs)).values()].every(state => state === "completed");
        assert.ok(await cell.until(areDone, limitMs), JSON.stringify([...await cell.statesOf(jobs)]));
    },
);

/** The most tasks of an organisation that ran at the same time. */
const mostAtOnce = (world: ScenarioWorld, organisation: string): number => {
    const jobs = new Set(quotas(world).jobsOf.get(organisation));
    const all = cellOf(world).workers.evidence.filter(({ taskName }) => jobs.has(taskName.split(".")[0] ?? ""));
    return Math.max(
        0,
        ...all.map(({ startedAtMs }) =>
            all.filter(each => each.startedAtMs <= startedAtMs && (each.endedAtMs ?? Infinity) > startedAtMs).length
        ),
    );
};

Then(
    "at most {int} tasks of {string} ran at once, and {int} did",
    function(this: ScenarioWorld, most: number, organisation: string, did: number) {
        assert.ok(mostAtOnce(this, organisation) <= most, `${mostAtOnce(this, organisation)} tasks ran at once`);
        assert.equal(mostAtOnce(this, organisation), did);
    },
);

Then("{int} tasks of {string} run", function(this: ScenarioWorld, count: number, organisation: string) {
    const jobs = new Set(quotas(this).jobsOf.get(organisation));
    const running = cellOf(this).workers.evidence.filter(({ taskName, endedAtMs }) =>
        endedAtMs === undefined && jobs.has(taskName.split(".")[0] ?? "")
    );
    assert.equal(running.length, count);
});

Then("the advisor was asked about no task of the last {int} jobs", function(this: ScenarioWorld, count: number) {
    const { newestJobs } = quotas(this);
    assert.equal(newestJobs.length, count);
    const asked = cellOf(this).log.filter(({ event, fields }) =>
        event === "advice" && newestJobs.includes(String(fields["step"]).split(".")[0] ?? "")
    );
    assert.deepEqual(asked, []);
});

Then("no run was stopped for them", function(this: ScenarioWorld) {
    const { newestJobs } = quotas(this);
    const stopped = cellOf(this).log.filter(({ event, fields }) =>
        event === "preempted" && newestJobs.includes(String(fields["for"]).split(".")[0] ?? "")
    );
    assert.deepEqual(stopped, []);
});

Then("the log names {string} as the reason why tasks wait", function(this: ScenarioWorld, reason: string) {
    const lines = cellOf(this).log.filter(({ event }) => event === "taskWaits").map(({ fields }) =>
        String(fields["lateSteps"])
    );
    assert.ok(lines.some(line => line.includes(`${reason} `)), lines.join("; "));
});

When(
    "a job of steps {string} is submitted once for {string}",
    function(this: ScenarioWorld, steps: string, organisation: string) {
        quotas(this).newestJobs = [jobIdOf(9_001)];
        cellOf(this).submitOnce(jobIdOf(9_001), readSteps(steps), undefined, organisation);
    },
);

Then(
    "it is answered with {string} within {int} ms",
    async function(this: ScenarioWorld, answer: string, limitMs: number) {
        await cellOf(this).clock.advance(limitMs);
        assert.equal(cellOf(this).answers().get(jobIdOf(9_001)), answer);
    },
);

Then("no task ran", function(this: ScenarioWorld) {
    assert.deepEqual(cellOf(this).workers.evidence, []);
});
