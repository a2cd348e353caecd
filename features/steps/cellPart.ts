/** The simulated cell of a scenario, and helpers that call its nodes while the fake clock advances. */

import {
    type Cell,
    type CellDaemon,
    type CellOptions,
    createCell,
    defaultCellOptions,
    tasksRunTwice,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { type Configuration, isFinal, type Job, type JobSpec, type Task } from "puffinarch";
import { type CallOutcome, outcomeOf, partOf, type ScenarioWorld } from "./support.js";

/** State of a scenario that uses a cell. */
export interface CellPart {
    readonly cell: Cell;
    /** Accepted jobs whose tasks run at most once. */
    readonly atMostOnceJobIds: Set<string>;
    /** Accepted jobs whose tasks may run again after a failure. */
    readonly rerunnableJobIds: Set<string>;
    /** All accepted jobs. */
    readonly jobIds: Set<string>;
    /** Result of the last call that submitted or cancelled a job. */
    lastJobCall: CallOutcome<Job> | undefined;
    /** Results of submitting the same job again, one for each daemon. */
    resubmissions: readonly CallOutcome<Job>[];
    /** Results of configuration changes. */
    changes: readonly CallOutcome<Configuration>[];
    /** A configuration change that may still be in flight. */
    pendingChange: Promise<CallOutcome<Configuration>> | undefined;
}

const partName = "cell";

/**
 * Starts a cell for the scenario, with the default options except for those in `changed`.
 *
 * @example
 * await startCell(world, { seed: 7 });
 */
export const startCell = async (world: ScenarioWorld, changed: Partial<CellOptions>): Promise<void> => {
    const cell = createCell({ ...defaultCellOptions, ...changed });
    partOf<CellPart>(world, partName, () => ({
        cell,
        atMostOnceJobIds: new Set(),
        rerunnableJobIds: new Set(),
        jobIds: new Set(),
        lastJobCall: undefined,
        resubmissions: [],
        changes: [],
        pendingChange: undefined,
    }));
    await cell.start();
};

/**
 * Returns the state of the scenario's cell; fails if no cell was started.
 *
 * @example
 * const { cell } = cellPart(world);
 */
export const cellPart = (world: ScenarioWorld): CellPart =>
    partOf<CellPart>(world, partName, () => assert.fail("the scenario started no cell"));

/**
 * Returns the first daemon that is running and ready; fails if there is none.
 *
 * @example
 * const daemon = readyDaemon(cell);
 */
export const readyDaemon = (cell: Cell): CellDaemon => findReadyDaemon(cell) ?? assert.fail("no daemon is ready");

const findReadyDaemon = (cell: Cell): CellDaemon | undefined =>
    cell.daemons().find(each => !each.process.dead() && !each.process.paused() && each.node.ready());

const callLimitMs = 10_000;

/**
 * Advances the cell's clock until a call settles, and returns its result or failure; fails after 10 s of fake time.
 *
 * @example
 * const ending = await awaitWithClock(cell, daemon.node.jobs.get("j1"));
 */
export const awaitWithClock = async <T>(cell: Cell, call: Promise<T>): Promise<CallOutcome<T>> => {
    const result: { ending: CallOutcome<T> | undefined; } = { ending: undefined };
    void outcomeOf(call).then(ending => {
        result.ending = ending;
    });
    await cell.until("the call settles", callLimitMs, () => result.ending !== undefined);
    return result.ending ?? assert.fail("the call did not settle");
};

/**
 * Creates the specification of a batch job with four small tasks of 500 ms; `changed` replaces fields of it.
 *
 * @example
 * createJobSpec("j1", { tasks: 1, script: { runMs: 10 } });
 */
export const createJobSpec = (
    jobId: string,
    changed: Partial<JobSpec> & { readonly script?: object; } = {},
): JobSpec => {
    const { script, ...spec } = changed;
    return {
        jobId,
        workloadClass: "batch",
        team: "rigging",
        tasks: 4,
        taskSize: { cpuMillis: 1_000, memoryMib: 512, accelerators: 0 },
        atMostOnce: false,
        payload: JSON.stringify(script ?? { runMs: 500 }),
        ...spec,
    };
};

/**
 * Submits a job through a daemon, and records its id in the scenario's state if it was accepted.
 *
 * @example
 * await submit(world, daemon, createJobSpec("j1"));
 */
export const submit = async (world: ScenarioWorld, daemon: CellDaemon, spec: JobSpec): Promise<void> => {
    const state = cellPart(world);
    state.lastJobCall = await awaitWithClock(state.cell, daemon.node.jobs.submit(spec));
    if (state.lastJobCall.value !== undefined) {
        state.jobIds.add(spec.jobId);
        (spec.atMostOnce ? state.atMostOnceJobIds : state.rerunnableJobIds).add(spec.jobId);
    }
};

/**
 * Reads the tasks of a job through a ready daemon; empty if no daemon is ready or the call fails.
 *
 * @example
 * const tasks = await tasksOf(cell, "j1");
 */
export const tasksOf = async (cell: Cell, jobId: string): Promise<readonly Task[]> => {
    const daemon = findReadyDaemon(cell);
    return daemon === undefined
        ? []
        : (await awaitWithClock(cell, daemon.node.jobs.tasks(jobId, -1, 10_000))).value ?? [];
};

/**
 * Advances the clock until every task of a job is final; fails after `limitMs` of fake time.
 *
 * @example
 * await waitUntilFinal(cell, "j1", 10_000);
 */
export const waitUntilFinal = async (cell: Cell, jobId: string, limitMs: number): Promise<void> => {
    const giveUpAtMs = cell.clock.monotonicMs() + limitMs;
    let states = "";
    while (cell.clock.monotonicMs() < giveUpAtMs) {
        const tasks = await tasksOf(cell, jobId);
        states = tasks.map(task => task.state).join(", ");
        if (tasks.length > 0 && tasks.every(task => isFinal(task.state))) {
            return;
        }
        await cell.advance(100);
    }
    assert.fail(`job ${jobId} has tasks that are not final after ${limitMs} ms: ${states}`);
};

/**
 * Checks the workers' records: no task ran twice at the same time, no at-most-once task started twice, and no worker was
 * overcommitted.
 *
 * @example
 * assertExecutionGuarantees(world);
 */
export const assertExecutionGuarantees = (world: ScenarioWorld): void => {
    const { cell, atMostOnceJobIds } = cellPart(world);
    assert.deepEqual(tasksRunTwice(cell.executions(), atMostOnceJobIds), []);
    assert.equal(cell.overcommits(), 0);
};
