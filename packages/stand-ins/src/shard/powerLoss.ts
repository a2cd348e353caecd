/** Seeded runs in which all daemons of a large cell lose power, and the store and single daemons fail while they come back. */

import { createSeededRandom } from "puffinarch";
import { jobIdOf, readSteps } from "./jobShapes.js";
import type { StoreFault } from "./rowStore.js";
import { createShardCell, otherQueues, type ShardCell, testQueue } from "./shardCell.js";
import { shardFaults } from "./shardFaults.js";

/** What a run showed. */
export interface PowerLossOutcome {
    /** From the last fault to the first owner, and to the first acceptance; undefined where none came. */
    readonly ownerAfterMs: number | undefined;
    readonly acceptedAfterMs: number | undefined;
    /** From the last fault until every daemon took callers; undefined where some did not. */
    readonly readyAfterMs: number | undefined;
    /** Broken promises. */
    readonly breaches: readonly string[];
    /** What failed, and when after the VMs were back. */
    readonly faults: readonly string[];
}

const daemons = 32;
const workers = 350;
/** Each fifth VM is strong; links in bytes a ms. */
const strongEvery = 5;
const strongLink = 25_000;
const weakLink = 1_250;
const weakStrength = 0.2;
const powerlessMs = 2_700;
const faultsForMs = 5_000;
const stepMs = 50;
const restartMs = 700;
const watchedMs = 30_000;
const storeFaultsUsed: readonly StoreFault[] = ["none", "slow", "refuse", "hang", "loseReply", "late"];

interface Comeback {
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
        queues: [testQueue, ...otherQueues(queues)],
    });
    await cell.clock.advance(2_000);
    for (let number = 1; number <= workers; number += 1) {
        cell.submit(jobIdOf(number), readSteps("1 long running"));
    }
    await cell.clock.advance(3_000);
    for (const [index, memberId] of cell.memberIds().entries()) {
        cell.store.setLink(memberId, isStrong(index) ? strongLink : weakLink);
    }
    return cell;
};

/** The time until something holds, in steps; undefined where it never does. */
const timeUntil = async (cell: ShardCell, fromMs: number, holds: () => boolean): Promise<number | undefined> => {
    while (!holds()) {
        if (cell.clock.monotonicMs() - fromMs > watchedMs) {
            return undefined;
        }
        await cell.clock.advance(stepMs);
    }
    return cell.clock.monotonicMs() - fromMs;
};

/**
 * Plays one seed on a cell of its own, whose configuration has so many queues that nobody uses.
 *
 * @example
 * const { acceptedAfterMs } = await explorePowerLoss(7);
 */
export const explorePowerLoss = async (seed: number, queues = 0): Promise<PowerLossOutcome> => {
    const random = createSeededRandom(seed);
    const cell = await createLargeCell(seed, queues);
    const faults: string[] = [];
    shardFaults["all killed"]?.(cell);
    await cell.clock.advance(powerlessMs);
    const comebacks: Comeback[] = cell.memberIds().map(memberId => ({
        memberId,
        atMs: random.next() < 0.1 ? 500 + 4_000 * random.next() : 300 * random.next(),
        done: false,
    }));
    let hit: string | undefined;
    let faultEndsMs = 0;

    const mendHit = (): void => {
        if (hit !== undefined) {
            cell.store.setFault("none", hit);
        }
        hit = undefined;
    };

    const nextFault = (atMs: number): void => {
        const fault = storeFaultsUsed[Math.floor(random.next() * storeFaultsUsed.length)] ?? "none";
        faultEndsMs = atMs + 300 + 2_000 * random.next();
        mendHit();
        if (random.next() < 0.3) {
            hit = cell.owner() ?? `entry-${Math.floor(random.next() * daemons)}`;
            cell.store.setFault(fault, hit);
            cell.store.setFault("none");
        }
        else {
            cell.store.setFault(fault);
        }
        faults.push(`${atMs} ${fault} for ${hit ?? "all"}`);
    };

    const killOwner = (atMs: number): void => {
        const owner = cell.owner();
        const comeback = comebacks.find(each => each.memberId === owner);
        if (owner !== undefined && comeback !== undefined) {
            cell.kill(owner);
            Object.assign(comeback, { done: false, atMs: atMs + restartMs });
            faults.push(`${atMs} killed ${owner}`);
        }
    };

    for (let atMs = 0; atMs < faultsForMs; atMs += stepMs) {
        for (const comeback of comebacks.filter(each => !each.done && each.atMs <= atMs)) {
            cell.restart(comeback.memberId);
            comeback.done = true;
        }
        if (atMs >= faultEndsMs) {
            nextFault(atMs);
        }
        if (random.next() < 0.01) {
            killOwner(atMs);
        }
        await cell.clock.advance(stepMs);
    }
    for (const { memberId } of comebacks) {
        cell.restart(memberId);
    }
    mendHit();
    const last: StoreFault = random.next() < 0.5 ? "none" : "slow";
    cell.store.setFault(last);
    faults.push(`${faultsForMs} ${last} from then on`);
    const endedAtMs = cell.clock.monotonicMs();
    const jobId = jobIdOf(9_999);
    cell.submit(jobId, readSteps("1"));
    const ownerAfterMs = await timeUntil(cell, endedAtMs, () => cell.owner() !== undefined);
    const acceptedAfterMs = await timeUntil(cell, endedAtMs, () => cell.answers().get(jobId) === "accepted");
    const readyAfterMs = await timeUntil(
        cell,
        endedAtMs,
        () => cell.memberIds().every(memberId => cell.member(memberId)?.ready() === true),
    );
    return { ownerAfterMs, acceptedAfterMs, readyAfterMs, breaches: cell.breaches(), faults };
};
