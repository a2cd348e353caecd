/** Seeded runs in which all daemons of a large cell lose power, and the store and single daemons fail during the restart. */

import { createSeededRandom } from "puffinarch";
import { jobIdOf, readSteps } from "./jobShapes.js";
import type { StoreFault } from "./rowStore.js";
import { createShardCell, type ShardCell, testQueue, unusedQueues } from "./shardCell.js";
import { shardFaults } from "./shardFaults.js";

/** Result of a run. */
export interface PowerLossOutcome {
    /** From the last fault until the shard had an owner; undefined where it got none within the limit. */
    readonly ownerAfterMs: number | undefined;
    /** From the last fault until a job submitted then was accepted; undefined where it was not within the limit. */
    readonly acceptedAfterMs: number | undefined;
    /** From the last fault until every daemon was ready for callers; undefined where some were not within the limit. */
    readonly readyAfterMs: number | undefined;
    /** Violations of the scheduler's guarantees. */
    readonly breaches: readonly string[];
    /** The faults, each with its time in milliseconds after the power was back. */
    readonly faults: readonly string[];
}

const daemons = 32;
const workers = 350;
/** Every fifth VM is strong: it has the full strength and a faster link. */
const strongEvery = 5;
const strongLinkBytesPerMs = 25_000;
const weakLinkBytesPerMs = 1_250;
const weakStrength = 0.2;
const outageMs = 2_700;
const faultsForMs = 5_000;
const stepMs = 50;
const restartMs = 700;
const recoveryLimitMs = 30_000;
const drawnStoreFaults: readonly StoreFault[] = ["none", "slow", "refuse", "hang", "loseReply", "late"];

interface PlannedRestart {
    readonly memberId: string;
    atMs: number;
    done: boolean;
}

const createLargeCell = async (seed: number, queues: number): Promise<ShardCell> => {
    const isStrong = (index: number): boolean => index % strongEvery === 0;
    const strengths = Array.from({ length: daemons }, (_, index) => isStrong(index) ? 1 : weakStrength);
    const cell = createShardCell({
        members: daemons,
        workers,
        seed,
        strengths,
        queues: [testQueue, ...unusedQueues(queues)],
    });
    await cell.clock.advance(2_000);
    for (let number = 1; number <= workers; number += 1) {
        cell.submit(jobIdOf(number), readSteps("1 long running"));
    }
    await cell.clock.advance(3_000);
    for (const [index, memberId] of cell.memberIds().entries()) {
        cell.store.setLink(memberId, isStrong(index) ? strongLinkBytesPerMs : weakLinkBytesPerMs);
    }
    return cell;
};

/** Advances time until a condition holds and returns the time since `fromMs`; undefined where it does not within the limit. */
const timeUntil = async (cell: ShardCell, fromMs: number, condition: () => boolean): Promise<number | undefined> => {
    while (!condition()) {
        if (cell.clock.monotonicMs() - fromMs > recoveryLimitMs) {
            return undefined;
        }
        await cell.clock.advance(stepMs);
    }
    return cell.clock.monotonicMs() - fromMs;
};

/**
 * Runs one seed on a new cell whose configuration has the given number of unused queues.
 *
 * @example
 * const { acceptedAfterMs } = await explorePowerLoss(7);
 */
export const explorePowerLoss = async (seed: number, queues = 0): Promise<PowerLossOutcome> => {
    const random = createSeededRandom(seed);
    const cell = await createLargeCell(seed, queues);
    const faults: string[] = [];
    shardFaults["all killed"]?.(cell);
    await cell.clock.advance(outageMs);
    const plannedRestarts: PlannedRestart[] = cell.memberIds().map(memberId => ({
        memberId,
        atMs: random.next() < 0.1 ? 500 + 4_000 * random.next() : 300 * random.next(),
        done: false,
    }));
    let faultyMemberId: string | undefined;
    let faultEndsMs = 0;

    const clearMemberFault = (): void => {
        if (faultyMemberId !== undefined) {
            cell.store.setFault("none", faultyMemberId);
        }
        faultyMemberId = undefined;
    };

    const drawFault = (atMs: number): void => {
        const fault = drawnStoreFaults[Math.floor(random.next() * drawnStoreFaults.length)] ?? "none";
        faultEndsMs = atMs + 300 + 2_000 * random.next();
        clearMemberFault();
        if (random.next() < 0.3) {
            faultyMemberId = cell.owner() ?? `entry-${Math.floor(random.next() * daemons)}`;
            cell.store.setFault(fault, faultyMemberId);
            cell.store.setFault("none");
        }
        else {
            cell.store.setFault(fault);
        }
        faults.push(`${atMs} ${fault} for ${faultyMemberId ?? "all"}`);
    };

    const killOwner = (atMs: number): void => {
        const owner = cell.owner();
        const planned = plannedRestarts.find(each => each.memberId === owner);
        if (owner !== undefined && planned !== undefined) {
            cell.kill(owner);
            Object.assign(planned, { done: false, atMs: atMs + restartMs });
            faults.push(`${atMs} killed ${owner}`);
        }
    };

    for (let atMs = 0; atMs < faultsForMs; atMs += stepMs) {
        for (const planned of plannedRestarts.filter(each => !each.done && each.atMs <= atMs)) {
            cell.restart(planned.memberId);
            planned.done = true;
        }
        if (atMs >= faultEndsMs) {
            drawFault(atMs);
        }
        if (random.next() < 0.01) {
            killOwner(atMs);
        }
        await cell.clock.advance(stepMs);
    }
    for (const { memberId } of plannedRestarts) {
        cell.restart(memberId);
    }
    clearMemberFault();
    const lastingFault: StoreFault = random.next() < 0.5 ? "none" : "slow";
    cell.store.setFault(lastingFault);
    faults.push(`${faultsForMs} ${lastingFault} from then on`);
    const faultsEndedAtMs = cell.clock.monotonicMs();
    const jobId = jobIdOf(9_999);
    cell.submit(jobId, readSteps("1"));
    const ownerAfterMs = await timeUntil(cell, faultsEndedAtMs, () => cell.owner() !== undefined);
    const acceptedAfterMs = await timeUntil(cell, faultsEndedAtMs, () => cell.answers().get(jobId) === "accepted");
    const readyAfterMs = await timeUntil(
        cell,
        faultsEndedAtMs,
        () => cell.memberIds().every(memberId => cell.member(memberId)?.ready() === true),
    );
    return { ownerAfterMs, acceptedAfterMs, readyAfterMs, breaches: cell.breaches(), faults };
};
