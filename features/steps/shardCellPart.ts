/** The cell with one shard that a scenario is about, what its steps note of it, and what holds at the end of each. */

import { After, Status } from "@cucumber/cucumber";
import {
    createShardCell,
    findPersistentlyStalledTasks,
    type PowerLossOutcome,
    type ShardCell,
    type StalledTaskWatch,
    watchStalledTasks,
} from "@puffinarch/stand-ins";
import assert from "node:assert/strict";
import { partOf, type ScenarioWorld } from "./support.js";

interface Part {
    cell: ShardCell | undefined;
    watch: StalledTaskWatch | undefined;
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

/**
 * Gives what a scenario knows of its shard.
 *
 * @example
 * part(world).faultAtMs = cellOf(world).clock.monotonicMs();
 */
export const part = (world: ScenarioWorld): Part =>
    partOf(
        world,
        "shard",
        () => ({
            cell: undefined,
            watch: undefined,
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

/** Whatever a scene was about: where nothing is wrong, each accepted task runs, has ended, or finds no worker with room. */
After(async function(this: ScenarioWorld, { result }) {
    const { cell, mend, watch } = part(this);
    if (cell === undefined || result?.status !== Status.PASSED) {
        return;
    }
    assert.deepEqual(
        watch?.stalledTasks(),
        [],
        "tasks stood in the midst of the scene although there was room for them",
    );
    for (const end of mend.splice(0)) {
        end();
    }
    assert.deepEqual(
        await findPersistentlyStalledTasks(cell),
        [],
        "tasks stand although a worker with room for them answers",
    );
});

/** The cell of a scenario. */
export const cellOf = (world: ScenarioWorld): ShardCell => {
    const { cell } = part(world);
    assert.ok(cell !== undefined);
    return cell;
};

/** Starts the cell of a scenario and lets it get an owner. */
export const startCell = async (
    world: ScenarioWorld,
    options: Parameters<typeof createShardCell>[0],
): Promise<void> => {
    part(world).cell = createShardCell(options);
    part(world).seed = options.seed;
    part(world).watch = watchStalledTasks(cellOf(world));
    await cellOf(world).clock.advance(2_000);
};
