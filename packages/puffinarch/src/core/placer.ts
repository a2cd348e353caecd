/**
 * Places waiting tasks in rounds. Each round takes tasks from the queue, offers them to rack owners and commits the
 * reservations that the owners make.
 */

import type { Policy } from "../types/configuration.js";
import type { JobSpec } from "../types/job.js";
import type { Placement, TaskOffer } from "../types/peer.js";
import type { Clock, Random } from "../types/ports.js";
import { add, noResources, type Resources } from "../types/resources.js";
import { pickMember } from "../utils/rendezvous.js";
import type { TaskEntry } from "./homeState.js";
import { createOwnerCapacities, type OwnerCapacities, type OwnerCapacity } from "./ownerCapacities.js";
import { urgentPriority } from "./preemptor.js";
import { type QueueItem, shapeKey, type TaskQueue } from "./taskQueue.js";

/** A task with the reservation that a rack owner made for it. */
export interface ReservedTask {
    readonly task: TaskEntry;
    readonly placement: Placement;
}

/** Places the tasks in a home's queue. */
export interface Placer {
    /** Offers up to 256 queued items; resolves with the number of tasks placed. */
    round(): Promise<number>;
}

/** Dependencies and settings of a placer. */
export interface PlacerOptions {
    readonly queue: TaskQueue;
    readonly clock: Clock;
    readonly random: Random;
    readonly newAttemptId: (taskId: string) => string;
    readonly policyOf: (name: string) => Policy;
    /** Rack owners that tasks can be offered to now, with their estimated free capacity. */
    readonly ownerCapacities: () => readonly OwnerCapacity[];
    /** True if the team's quota allows this much more. */
    readonly withinQuota: (team: string, size: Resources) => boolean;
    /** Thousandths of a core that the team's active tasks of this home hold; teams that hold less come first. */
    readonly useOf: (team: string) => number;
    /** Adds a size to the team's usage until the next round. */
    readonly addUse: (team: string, size: Resources) => void;
    /** Offers tasks to an owner; resolves with its reservations, with none if it does not respond. */
    readonly offer: (owner: string, offers: readonly TaskOffer[]) => Promise<readonly Placement[]>;
    /** Returns reservations to an owner and removes the earmarks for these keys there. */
    readonly release: (owner: string, placements: readonly Placement[], keepKeys: readonly string[]) => Promise<void>;
    /** Commits the reservations to the journal and has the tasks started. */
    readonly commit: (reserved: readonly ReservedTask[], gang: boolean) => Promise<void>;
    /** False for a task that has been cancelled or placed since it was queued. */
    readonly isWaiting: (task: TaskEntry) => boolean;
    /** A task that has waited this long is offered even to an owner without free capacity, which then makes room for it. */
    readonly starvationMs: number;
}

interface Offered {
    readonly item: QueueItem;
    readonly task: TaskEntry;
    readonly offer: TaskOffer;
}

interface OwnedReservation extends ReservedTask {
    readonly owner: string;
}

const maxItemsPerRound = 256;
const baseBackoffMs = 100;
const maxGangBackoffMs = 500;
const quotaBackoffMs = 500;

/**
 * Creates a placer for a queue.
 *
 * @example
 * const placed = await placer.round();
 */
export const createPlacer = (options: PlacerOptions): Placer => {
    const { queue, clock, random } = options;

    /** When a task of each shape was last placed (wall clock); while a shape makes progress, its waiting tasks are not starved. */
    const lastPlacedAtMs = new Map<string, number>();

    const recordProgress = (item: QueueItem): void => {
        lastPlacedAtMs.delete(shapeKey(item));
        lastPlacedAtMs.set(shapeKey(item), clock.nowMs());
        for (const [key, atMs] of lastPlacedAtMs) {
            if (clock.nowMs() - atMs < options.starvationMs) {
                break;
            }
            lastPlacedAtMs.delete(key);
        }
    };

    /** Time since the task was queued or a task of its shape was placed, whichever is shorter. */
    const waitedMsOf = (item: QueueItem, task: TaskEntry): number =>
        Math.max(0, clock.nowMs() - Math.max(task.queuedAtMs, lastPlacedAtMs.get(shapeKey(item)) ?? 0));

    /** A failure of one member ends the whole gang, so all members avoid the workers on which any of them failed. */
    const workersToAvoid = (item: QueueItem, task: TaskEntry): readonly string[] => [
        ...new Set((item.gang ? item.tasks : [task]).flatMap(each => [...each.failedOn])),
    ];

    const offerOf = (item: QueueItem, task: TaskEntry): TaskOffer => ({
        attemptId: options.newAttemptId(task.taskId),
        taskId: task.taskId,
        size: item.size,
        payload: task.job.spec.payload,
        checkpoint: task.checkpoint,
        policy: item.policy,
        priority: item.priority,
        preemptible: !task.job.spec.atMostOnce && !item.gang,
        waitedMs: waitedMsOf(item, task),
        keepKey: item.gang ? task.job.spec.jobId : task.taskId,
        gang: item.gang,
        avoid: workersToAvoid(item, task),
    });

    const requeue = (item: QueueItem, backoffMs: number): void => {
        queue.requeue({ ...item, tries: item.tries + 1 }, clock.monotonicMs() + backoffMs);
    };

    const backoffMsFor = (item: QueueItem): number => {
        const ceilingMs = Math.min(maxGangBackoffMs, baseBackoffMs * 2 ** Math.min(10, item.tries));
        return item.gang ? ceilingMs * (0.5 + random.next() / 2) : baseBackoffMs;
    };

    /**
     * An owner with enough free capacity. Without one, urgent and starved tasks go to an owner picked by hashing, always the
     * same one, so that it can make room for them.
     */
    const ownerFor = (item: QueueItem, task: TaskEntry, capacities: OwnerCapacities): string | undefined => {
        const owner = capacities.choose(item.size, options.policyOf(item.policy).placement);
        const starved = waitedMsOf(item, task) >= options.starvationMs;
        if (owner !== undefined || (item.priority < urgentPriority && !starved)) {
            return owner;
        }
        const key = item.gang ? task.job.spec.jobId : task.taskId;
        return pickMember(key, capacities.owners());
    };

    const placeSingles = async (items: readonly QueueItem[], capacities: OwnerCapacities): Promise<number> => {
        const byOwner = new Map<string, Offered[]>();
        const unplaced: QueueItem[] = [];
        for (const item of items) {
            const [task] = item.tasks;
            const owner = task === undefined ? undefined : ownerFor(item, task, capacities);
            if (owner === undefined || task === undefined) {
                unplaced.push(item);
                continue;
            }
            const offered = byOwner.get(owner) ?? [];
            offered.push({ item, task, offer: offerOf(item, task) });
            byOwner.set(owner, offered);
        }
        const counts = await Promise.all([...byOwner].map(async ([owner, offered]) => {
            const placements = await options.offer(owner, offered.map(each => each.offer));
            const placementsById = new Map(placements.map(placement => [placement.attemptId, placement]));
            const reserved: ReservedTask[] = [];
            for (const { item, task, offer } of offered) {
                const placement = placementsById.get(offer.attemptId);
                if (placement === undefined) {
                    unplaced.push(item);
                    continue;
                }
                reserved.push({ task, placement });
                recordProgress(item);
            }
            await options.commit(reserved, false);
            return reserved.length;
        }));
        // Newest first: each item goes to the head of its shape, so the oldest one is at the head in the end.
        unplaced.sort((left, right) => right.queuedAtMs - left.queuedAtMs);
        for (const item of unplaced) {
            requeue(item, backoffMsFor(item));
        }
        return counts.reduce((sum, count) => sum + count, 0);
    };

    /** Offers grouped by owner; undefined if no owner is left for one of the tasks. */
    const groupByOwner = (
        item: QueueItem,
        tasks: readonly TaskEntry[],
        capacities: OwnerCapacities,
    ): readonly (readonly [string, readonly Offered[]])[] | undefined => {
        const byOwner = new Map<string, Offered[]>();
        for (const task of tasks) {
            const owner = ownerFor(item, task, capacities);
            if (owner === undefined) {
                return undefined;
            }
            const offered = byOwner.get(owner) ?? [];
            offered.push({ item, task, offer: offerOf(item, task) });
            byOwner.set(owner, offered);
        }
        return [...byOwner].sort(([left], [right]) => left < right ? -1 : 1);
    };

    /** Offers tasks of a gang to one owner, adds its reservations to `held` and resolves with the tasks that it refused. */
    const offerGang = async (
        owner: string,
        offered: readonly Offered[],
        held: OwnedReservation[],
        capacities: OwnerCapacities,
    ): Promise<readonly TaskEntry[]> => {
        const placements = await options.offer(owner, offered.map(each => each.offer));
        const placementsById = new Map(placements.map(placement => [placement.attemptId, placement]));
        const refused: TaskEntry[] = [];
        for (const { task, offer } of offered) {
            const placement = placementsById.get(offer.attemptId);
            if (placement === undefined) {
                refused.push(task);
                continue;
            }
            held.push({ owner, task, placement });
        }
        if (refused.length > 0) {
            capacities.refuse(owner);
        }
        return refused;
    };

    /**
     * Places all tasks of a gang or none. Tasks that one owner refuses are offered to other owners; if none is left, all
     * reservations are released.
     */
    const placeGang = async (item: QueueItem, capacities: OwnerCapacities): Promise<number> => {
        const held: OwnedReservation[] = [];
        const askedOwners = new Set<string>();
        let remaining = item.tasks;
        while (remaining.length > 0) {
            const groups = groupByOwner(item, remaining, capacities);
            if (groups === undefined) {
                break;
            }
            const refused: TaskEntry[] = [];
            for (const [owner, offered] of groups) {
                askedOwners.add(owner);
                refused.push(...await offerGang(owner, offered, held, capacities));
            }
            remaining = refused;
        }
        if (remaining.length > 0) {
            await releaseReservations(held);
            requeue(item, backoffMsFor(item));
            return 0;
        }
        const [{ jobId }] = item.tasks.map(task => task.job.spec) as [JobSpec];
        await Promise.all([...askedOwners].map(owner => options.release(owner, [], [jobId])));
        await options.commit(held, true);
        return held.length;
    };

    const releaseReservations = async (held: readonly OwnedReservation[]): Promise<void> => {
        const owners = new Set(held.map(each => each.owner));
        await Promise.all(
            [...owners].map(owner =>
                options.release(owner, held.filter(each => each.owner === owner).map(each => each.placement), [])
            ),
        );
    };

    const withWaitingTasks = (item: QueueItem): QueueItem | undefined => {
        const tasks = item.tasks.filter(options.isWaiting);
        return tasks.length === 0 ? undefined : { ...item, tasks };
    };

    const admitWithinQuota = (items: readonly QueueItem[]): readonly QueueItem[] => {
        const admitted: QueueItem[] = [];
        for (const queued of items) {
            const item = withWaitingTasks(queued);
            if (item === undefined) {
                continue;
            }
            const size = item.tasks.reduce(sum => add(sum, item.size), noResources);
            if (!options.withinQuota(item.team, size)) {
                requeue(item, quotaBackoffMs);
                continue;
            }
            options.addUse(item.team, size);
            admitted.push(item);
        }
        return admitted;
    };

    return {
        round: async () => {
            const items = admitWithinQuota(queue.take(maxItemsPerRound, clock.monotonicMs(), options.useOf));
            const capacities = createOwnerCapacities(options.ownerCapacities(), random);
            let placed = await placeSingles(items.filter(item => !item.gang), capacities);
            for (const item of items.filter(each => each.gang)) {
                placed += await placeGang(item, createOwnerCapacities(options.ownerCapacities(), random));
            }
            return placed;
        },
    };
};
