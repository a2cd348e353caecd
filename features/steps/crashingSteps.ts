import { Then, When } from "@cucumber/cucumber";
import { jobIdOf, readSteps, type ShardCell, shardFaults } from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { cellOf } from "./shardCellPart.js";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    readonly jobs: string[];
    /** Jobs that were shown as failed and then as something else. */
    readonly revived: Set<string>;
}

/** Ids of jobs whose tasks crash their workers, so that they are told from those of all others. */
const firstCrashingId = 5_001;
const stepMs = 50;

const part = (world: ScenarioWorld): Part => partOf(world, "crashing", () => ({ jobs: [], revived: new Set() }));

const submitCrashing = (world: ScenarioWorld, steps: string): void => {
    const { jobs } = part(world);
    const jobId = jobIdOf(firstCrashingId + jobs.length);
    jobs.push(jobId);
    cellOf(world).submit(jobId, readSteps(steps));
};

const submitAll = (world: ScenarioWorld, count: number, steps: string): void => {
    for (let index = 0; index < count; index += 1) {
        submitCrashing(world, steps);
    }
};

When(
    /^(\d+) crashing jobs? of steps "([^"]*)" (?:is|are) submitted$/,
    function(this: ScenarioWorld, count: string, steps: string) {
        submitAll(this, Number(count), steps);
    },
);

When(
    "{int} crashing jobs of steps {string} are submitted, {int} ms apart",
    async function(this: ScenarioWorld, count: number, steps: string, apartMs: number) {
        for (let index = 0; index < count; index += 1) {
            submitCrashing(this, steps);
            await cellOf(this).clock.advance(apartMs);
        }
    },
);

/** Workers that a task crashed. */
const workersTakenDown = (cell: ShardCell): number =>
    new Set(
        cell.workers.evidence.filter(({ crashesWorkers, how }) => crashesWorkers && how === "crashed")
            .map(({ workerId }) => workerId),
    ).size;

When(
    "the fault {string} comes at each crash for {int} ms, in the first {int} ms",
    async function(this: ScenarioWorld, names: string, faultMs: number, forMs: number) {
        const cell = cellOf(this);
        const { jobs, revived } = part(this);
        const failed = new Set<string>();
        let seen = 0;
        let mends: (() => void)[] = [];
        let mendsAtMs = 0;
        const endsAtMs = cell.clock.monotonicMs() + forMs;
        while (cell.clock.monotonicMs() < endsAtMs) {
            const down = workersTakenDown(cell);
            if (mends.length > 0 && cell.clock.monotonicMs() >= mendsAtMs) {
                mends.forEach(mend => mend());
                mends = [];
            }
            if (down > seen && mends.length === 0) {
                mends = names.split(", ").map(name => shardFaults[name]?.(cell) ?? assert.fail(`no fault ${name}`));
                mendsAtMs = cell.clock.monotonicMs() + faultMs;
            }
            seen = down;
            await cell.clock.advance(stepMs);
            for (const [jobId, state] of await cell.statesOf(jobs)) {
                if (state === "failed") {
                    failed.add(jobId);
                }
                else if (failed.has(jobId) && state !== undefined && state !== "unknown") {
                    revived.add(jobId);
                }
            }
        }
        mends.forEach(mend => mend());
    },
);

When(
    "{int} workers crash of themselves {int} times, {int} ms apart",
    async function(this: ScenarioWorld, count: number, rounds: number, apartMs: number) {
        const cell = cellOf(this);
        for (let round = 0; round < rounds; round += 1) {
            const alive = cell.workers.workerIds().filter(workerId => cell.workers.entryOf(workerId) !== undefined);
            // Those that took up most lately are hit again, so that the same task is hit twice.
            const busy = (workerId: string): number =>
                cell.workers.evidence.filter(run => run.workerId === workerId && run.endedAtMs === undefined).length;
            cell.crashWorkers(alive.sort((left, right) => busy(right) - busy(left)).slice(0, count));
            await cell.clock.advance(apartMs);
        }
    },
);

When(
    "the fault {string} comes and goes {int} times, for {int} ms each",
    async function(this: ScenarioWorld, name: string, times: number, faultMs: number) {
        const cell = cellOf(this);
        for (let index = 0; index < times; index += 1) {
            const mend = shardFaults[name]?.(cell) ?? assert.fail(`no fault ${name}`);
            await cell.clock.advance(faultMs);
            mend();
            await cell.clock.advance(1_500);
        }
    },
);

When(
    "orders get lost until a start is given up, {int} ms at the most",
    async function(this: ScenarioWorld, limitMs: number) {
        const cell = cellOf(this);
        for (const workerId of cell.workers.workerIds()) {
            cell.workers.setFault(workerId, "deaf");
        }
        const isGivenUp = (): boolean => cell.log.some(({ event }) => event === "startUnanswered");
        assert.ok(await cell.until(isGivenUp, limitMs), "no start was given up");
        for (const workerId of cell.workers.workerIds()) {
            cell.workers.setFault(workerId, "none");
        }
    },
);

Then("a task is started within {int} ms", async function(this: ScenarioWorld, limitMs: number) {
    const cell = cellOf(this);
    const before = cell.workers.evidence.length;
    assert.ok(await cell.until(() => cell.workers.evidence.length > before, limitMs), "no task was started");
});

Then(
    /^the crashing jobs? (?:is|are) "([^"]*)" within (\d+) ms$/,
    async function(this: ScenarioWorld, state: string, limitMs: string) {
        const cell = cellOf(this);
        const left = async (): Promise<readonly string[]> => {
            const states = await cell.statesOf(part(this).jobs);
            return [...states].filter(([, each]) => each !== state).map(([jobId, each]) => `${jobId} is ${each}`);
        };
        const reached = await cell.until(async () => (await left()).length === 0, Number(limitMs));
        assert.ok(reached, `${(await left()).join("; ")}; ${workersTakenDown(cell)} workers went down`);
    },
);

Then(/^(?:it has|they have) taken (\d+) workers down at most$/, function(this: ScenarioWorld, most: string) {
    assert.ok(workersTakenDown(cellOf(this)) <= Number(most), `${workersTakenDown(cellOf(this))} went down`);
});

Then("no job was shown as failed and then as anything else", function(this: ScenarioWorld) {
    assert.deepEqual([...part(this).revived], []);
});

Then("no job was given up", function(this: ScenarioWorld) {
    const failed = cellOf(this).log.filter(({ event, fields }) => event === "jobState" && fields["to"] === "failed");
    assert.deepEqual(failed.map(({ fields }) => fields), []);
});

Then("no start was refused for its ticket", function(this: ScenarioWorld) {
    const refused = cellOf(this).log.filter(({ event, fields }) =>
        event === "startRefused" && fields["outcome"] === "badTicket"
    );
    assert.deepEqual(refused.map(({ fields }) => fields), []);
});
