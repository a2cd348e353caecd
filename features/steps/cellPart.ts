/** The cell of a scenario and how steps call its nodes while the fake clock moves. */

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
import { type Ending, endingOf, partOf, type ScenarioWorld } from "./support.js";

/** What a scenario knows of its cell. */
export interface CellPart {
    readonly cell: Cell;
    readonly onceOnly: Set<string>;
    readonly reRunnable: Set<string>;
    readonly jobIds: Set<string>;
    last: Ending<Job> | undefined;
    answers: readonly Ending<Job>[];
    changes: readonly Ending<Configuration>[];
    openChange: Promise<Ending<Configuration>> | undefined;
}

const partName = "cell";

/**
 * Starts the scenario's cell.
 *
 * @example
 * await startCell(world, { seed: 7 });
 */
export const startCell = async (world: ScenarioWorld, changed: Partial<CellOptions>): Promise<void> => {
    const cell = createCell({ ...defaultCellOptions, ...changed });
    partOf<CellPart>(world, partName, () => ({
        cell,
        onceOnly: new Set(),
        reRunnable: new Set(),
        jobIds: new Set(),
        last: undefined,
        answers: [],
        changes: [],
        openChange: undefined,
    }));
    await cell.start();
};

/**
 * Gives the scenario's cell.
 *
 * @example
 * const { cell } = cellPart(world);
 */
export const cellPart = (world: ScenarioWorld): CellPart =>
    partOf<CellPart>(world, partName, () => assert.fail("there is no cell"));

/**
 * Gives a daemon that answers, the first one by default.
 *
 * @example
 * const daemon = answering(cell);
 */
export const answering = (cell: Cell): CellDaemon => findAnswering(cell) ?? assert.fail("no daemon answers");

const findAnswering = (cell: Cell): CellDaemon | undefined =>
    cell.daemons().find(each => !each.process.dead() && !each.process.paused() && each.node.ready());

const callLimitMs = 10_000;

/**
 * Calls a node while the clock moves, and waits for the ending.
 *
 * @example
 * const ending = await during(cell, daemon.node.jobs.get("j1"));
 */
export const during = async <T>(cell: Cell, call: Promise<T>): Promise<Ending<T>> => {
    const boxed: { ending: Ending<T> | undefined; } = { ending: undefined };
    void endingOf(call).then(ending => {
        boxed.ending = ending;
    });
    await cell.until("a call ends", callLimitMs, () => boxed.ending !== undefined);
    return boxed.ending ?? assert.fail("the call has no ending");
};

/** A job of small tasks. */
export const specOf = (jobId: string, changed: Partial<JobSpec> & { readonly script?: object; } = {}): JobSpec => {
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
 * Submits a job through a daemon and notes what was accepted.
 *
 * @example
 * await submit(world, daemon, specOf("j1"));
 */
export const submit = async (world: ScenarioWorld, daemon: CellDaemon, spec: JobSpec): Promise<void> => {
    const state = cellPart(world);
    state.last = await during(state.cell, daemon.node.jobs.submit(spec));
    if (state.last.value !== undefined) {
        state.jobIds.add(spec.jobId);
        (spec.atMostOnce ? state.onceOnly : state.reRunnable).add(spec.jobId);
    }
};

/**
 * Reads the tasks of a job through any daemon that answers; empty while nobody can tell.
 *
 * @example
 * const tasks = await tasksOf(cell, "j1");
 */
export const tasksOf = async (cell: Cell, jobId: string): Promise<readonly Task[]> => {
    const daemon = findAnswering(cell);
    return daemon === undefined ? [] : (await during(cell, daemon.node.jobs.tasks(jobId, -1, 10_000))).value ?? [];
};

/**
 * Waits until every task of a job is final.
 *
 * @example
 * await untilEnded(cell, "j1", 10_000);
 */
export const untilEnded = async (cell: Cell, jobId: string, limitMs: number): Promise<void> => {
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
    assert.fail(`job ${jobId} did not end within ${limitMs} ms; its tasks are ${states}`);
};

/**
 * Checks the promises against the workers' evidence.
 *
 * @example
 * assertPromises(world);
 */
export const assertPromises = (world: ScenarioWorld): void => {
    const { cell, onceOnly } = cellPart(world);
    assert.deepEqual(tasksRunTwice(cell.executions(), onceOnly), []);
    assert.equal(cell.overcommits(), 0);
};
