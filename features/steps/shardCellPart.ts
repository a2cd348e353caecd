/** State that the steps of one scenario share about its cell with one shard, and a check after each scenario. */

import { After, Status } from "@cucumber/cucumber";
import {
    createShardCell,
    type FakeClock,
    findPersistentlyStalledTasks,
    type PowerLossOutcome,
    type ShardCell,
    type StalledTaskWatch,
    watchStalledTasks,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { runEnds } from "puffinarch";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    /** Undefined until a step starts the cell. */
    cell: ShardCell | undefined;
    /** Records tasks that wait although workers have room for them. */
    watch: StalledTaskWatch | undefined;
    /** IDs of the jobs that steps have submitted. */
    jobs: string[];
    /** Functions that end the faults which are in effect. */
    endFaults: (() => void)[];
    seed: number;
    /** Monotonic time at which the newest fault or drain began. */
    faultAtMs: number;
    /** Owner when the newest fault began. */
    formerOwner: string | undefined;
    /** Local time up to which an owner counts as proven to own the shard. */
    provenAtMs: number | undefined;
    /** ID of the draining worker, empty if there is none. */
    drainingWorker: string;
    /** Strength of each daemon, in the order of their IDs. */
    strengths: readonly number[];
    /** VMs that received an upkeep order; undefined before the wave was carried out. */
    orderedVms: readonly string[] | undefined;
    /** Which owner answered a forwarded request, and how long after it was sent. */
    forwarded: { readonly by: string; readonly afterMs: number; } | undefined;
    /** Length of the log when the newest fault began. */
    logLengthBefore: number;
    powerLoss: PowerLossOutcome | undefined;
    commitOutcome: { readonly durable: number; readonly fenced: number; } | undefined;
    /** When the call of a lower priority was answered; undefined before. */
    adviceServedAtMs: number | undefined;
    /** Claims of the weak daemon of a watched owner, and how often that owner answers; undefined before. */
    watchedClaims: { readonly clock: FakeClock; claims: number; answersEveryMs: number; } | undefined;
    looksSent: number;
    /** Highest acknowledged end of each look, in order. */
    readonly acknowledged: number[];
    /** Time from the last answer of a worker until its leases have certainly expired. */
    leasesExpiredAfterMs: number;
    /** "unanswered", or the phase of the run of a start that was sent alone. */
    startOutcome: string;
    isPeerSilent: boolean | undefined;
    /** The answers to a job and to its resend, followed by `known` or `unknown` for the job. */
    resendAnswers: string[];
}

/**
 * Returns the shard state of a scenario, created on first use.
 *
 * @example
 * part(world).faultAtMs = cellOf(world).clock.monotonicMs();
 */
export const part = (world: ScenarioWorld): Part =>
    partOf(
        world,
        "shard",
        (): Part => ({
            cell: undefined,
            watch: undefined,
            jobs: [],
            endFaults: [],
            seed: 1,
            faultAtMs: 0,
            formerOwner: undefined,
            provenAtMs: undefined,
            drainingWorker: "",
            strengths: [],
            orderedVms: undefined,
            forwarded: undefined,
            logLengthBefore: 0,
            powerLoss: undefined,
            commitOutcome: undefined,
            adviceServedAtMs: undefined,
            watchedClaims: undefined,
            looksSent: 0,
            acknowledged: [],
            leasesExpiredAfterMs: 0,
            startOutcome: "",
            isPeerSilent: undefined,
            resendAnswers: [],
        }),
    );

/** After each passed scenario: without faults every accepted task runs, has ended, or no worker has room for it. */
After(async function(this: ScenarioWorld, { result }) {
    const { cell, endFaults, watch } = part(this);
    if (cell === undefined || result?.status !== Status.PASSED) {
        return;
    }
    assert.deepEqual(
        watch?.stalledTasks() ?? [],
        [],
        "tasks waited during the scenario although workers had room for them",
    );
    for (const endFault of endFaults.splice(0)) {
        endFault();
    }
    assert.deepEqual(
        await findPersistentlyStalledTasks(cell),
        [],
        "tasks wait although a worker with room for them answers",
    );
});

/**
 * Returns the cell of a scenario; fails if no step has started one.
 *
 * @example
 * await cellOf(world).clock.advance(500);
 */
export const cellOf = (world: ScenarioWorld): ShardCell => {
    const { cell } = part(world);
    assert.ok(cell !== undefined);
    return cell;
};

/**
 * Starts the cell of a scenario and runs it for 2 s, in which a daemon claims the shard.
 *
 * @example
 * await startCell(world, { members: 3, workers: 4, seed: 1 });
 */
export const startCell = async (
    world: ScenarioWorld,
    options: Parameters<typeof createShardCell>[0],
): Promise<void> => {
    part(world).cell = createShardCell(options);
    part(world).seed = options.seed;
    part(world).watch = watchStalledTasks(cellOf(world));
    await cellOf(world).clock.advance(2_000);
};

/** Returns when the last task of a job ended as done, by the number of its tasks; `Infinity` while fewer have ended so. */
export const completionTimes = (cell: ShardCell): (jobId: string, tasks: number) => number => {
    const endsMs = new Map<string, number[]>();
    for (const { taskName, how, endedAtMs } of cell.workers.evidence) {
        if (how === runEnds.done && endedAtMs !== undefined) {
            const jobId = taskName.slice(0, taskName.indexOf("."));
            const ends = endsMs.get(jobId) ?? [];
            endsMs.set(jobId, ends);
            ends.push(endedAtMs);
        }
    }
    return (jobId, tasks) => {
        const ends = endsMs.get(jobId) ?? [];
        return ends.length >= tasks ? Math.max(...ends) : Infinity;
    };
};
