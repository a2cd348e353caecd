/** Rounds of offers: waiting tasks go to rack owners, and what they reserve is handed on to be committed and started. */

import type { Policy } from "../types/configuration.js";
import type { Placement, TaskOffer } from "../types/peer.js";
import type { Clock, Random } from "../types/ports.js";
import { add, noResources, type Resources } from "../types/resources.js";
import { pick } from "../utils/rendezvous.js";
import type { TaskEntry } from "./homeState.js";
import { urgentPriority } from "./rackOwner.js";
import { createRooms, type Room, type Rooms } from "./rooms.js";
import type { QueueItem, TaskQueue } from "./taskQueue.js";

/** A task with the reservation that an owner made for it. */
export interface Reserved {
    readonly task: TaskEntry;
    readonly placement: Placement;
}

/** Places what waits in a home's queue. */
export interface Placer {
    /** Offers what waits; answers how many tasks were placed. */
    round(): Promise<number>;
}

/** What a placer needs. */
export interface PlacerOptions {
    readonly queue: TaskQueue;
    readonly clock: Clock;
    readonly random: Random;
    readonly newAttemptId: (taskId: string) => string;
    readonly policyOf: (name: string) => Policy;
    /** Rack owners that can be offered tasks now. */
    readonly rooms: () => readonly Room[];
    /** True where the team's quota leaves room for this much more. */
    readonly withinQuota: (team: string, size: Resources) => boolean;
    /** What the team's tasks of this home hold, for fairness between teams. */
    readonly useOf: (team: string) => number;
    /** Counts a size into the team's use until the next round. */
    readonly addUse: (team: string, size: Resources) => void;
    /** Offers tasks to an owner; answers its reservations, none where it is out of reach. */
    readonly offer: (owner: string, offers: readonly TaskOffer[]) => Promise<readonly Placement[]>;
    readonly release: (owner: string, placements: readonly Placement[]) => Promise<void>;
    readonly commit: (reserved: readonly Reserved[], gang: boolean) => Promise<void>;
    readonly isWaiting: (task: TaskEntry) => boolean;
    /** From this wait on, a task is offered even where no room is known, so that room is made for it. */
    readonly starvationMs: number;
}

interface Offered {
    readonly item: QueueItem;
    readonly task: TaskEntry;
    readonly offer: TaskOffer;
}

const itemsPerRound = 256;
const baseRestMs = 100;
const maxRestMs = 5_000;
const quotaRestMs = 500;

/**
 * Makes a placer over a queue.
 *
 * @example
 * const placed = await placer.round();
 */
export const createPlacer = (options: PlacerOptions): Placer => {
    const { queue, clock, random } = options;

    const offerOf = (item: QueueItem, task: TaskEntry): TaskOffer => ({
        attemptId: options.newAttemptId(task.taskId),
        taskId: task.taskId,
        size: item.size,
        payload: task.job.spec.payload,
        checkpoint: task.checkpoint,
        policy: item.policy,
        priority: item.priority,
        preemptible: !task.job.spec.atMostOnce && !item.gang,
        waitedMs: Math.max(0, clock.nowMs() - task.queuedAtMs),
        keepKey: item.gang ? task.job.spec.jobId : task.taskId,
        gang: item.gang,
        avoid: [...task.failedOn],
    });

    const putBack = (item: QueueItem, restMs: number): void => {
        queue.putBack({ ...item, tries: item.tries + 1 }, clock.monotonicMs() + restMs);
    };

    const restFor = (item: QueueItem): number => {
        const ceilingMs = Math.min(maxRestMs, baseRestMs * 2 ** Math.min(10, item.tries));
        return item.gang ? ceilingMs * (0.5 + random.next() / 2) : baseRestMs;
    };

    /** Urgent and starved tasks go to one owner all the same, always the same one, which makes room for them. */
    const ownerFor = (item: QueueItem, task: TaskEntry, rooms: Rooms): string | undefined => {
        const owner = rooms.choose(item.size, options.policyOf(item.policy).placement);
        const starved = clock.nowMs() - task.queuedAtMs >= options.starvationMs;
        if (owner !== undefined || (item.priority < urgentPriority && !starved)) {
            return owner;
        }
        const key = item.gang ? task.job.spec.jobId : task.taskId;
        return pick(key, options.rooms().map(room => room.sessionId));
    };

    const placeSingles = async (items: readonly QueueItem[], rooms: Rooms): Promise<number> => {
        const byOwner = new Map<string, Offered[]>();
        const unplaced: QueueItem[] = [];
        for (const item of items) {
            const [task] = item.tasks;
            const owner = task === undefined ? undefined : ownerFor(item, task, rooms);
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
            const made = new Map(placements.map(placement => [placement.attemptId, placement]));
            const reserved: Reserved[] = [];
            for (const { item, task, offer } of offered) {
                const placement = made.get(offer.attemptId);
                if (placement === undefined) {
                    unplaced.push(item);
                    continue;
                }
                reserved.push({ task, placement });
            }
            await options.commit(reserved, false);
            return reserved.length;
        }));
        unplaced.sort((left, right) => right.queuedAtMs - left.queuedAtMs);
        for (const item of unplaced) {
            putBack(item, restFor(item));
        }
        return counts.reduce((sum, count) => sum + count, 0);
    };

    const groupGang = (item: QueueItem, rooms: Rooms): ReadonlyMap<string, readonly Offered[]> | undefined => {
        const byOwner = new Map<string, Offered[]>();
        for (const task of item.tasks) {
            const owner = ownerFor(item, task, rooms);
            if (owner === undefined) {
                return undefined;
            }
            const offered = byOwner.get(owner) ?? [];
            offered.push({ item, task, offer: offerOf(item, task) });
            byOwner.set(owner, offered);
        }
        return byOwner;
    };

    /** All or nothing: owners are asked in one fixed order, and the first refusal gives everything back. */
    const placeGang = async (item: QueueItem, rooms: Rooms): Promise<number> => {
        const byOwner = groupGang(item, rooms);
        const held: { readonly owner: string; readonly placements: readonly Placement[]; }[] = [];
        const tasks = new Map<string, TaskEntry>();
        let complete = byOwner !== undefined;
        for (const [owner, offered] of [...byOwner ?? []].sort(([left], [right]) => left < right ? -1 : 1)) {
            const placements = await options.offer(owner, offered.map(each => each.offer));
            held.push({ owner, placements });
            offered.forEach(each => tasks.set(each.offer.attemptId, each.task));
            if (placements.length < offered.length) {
                complete = false;
                break;
            }
        }
        if (!complete) {
            await Promise.all(held.map(({ owner, placements }) => options.release(owner, placements)));
            putBack(item, restFor(item));
            return 0;
        }
        const reserved = held.flatMap(({ placements }) => placements).flatMap(placement => {
            const task = tasks.get(placement.attemptId);
            return task === undefined ? [] : [{ task, placement }];
        });
        await options.commit(reserved, true);
        return reserved.length;
    };

    const waitingPart = (item: QueueItem): QueueItem | undefined => {
        const tasks = item.tasks.filter(options.isWaiting);
        return tasks.length === 0 ? undefined : { ...item, tasks };
    };

    const admitted = (items: readonly QueueItem[]): readonly QueueItem[] => {
        const open: QueueItem[] = [];
        for (const taken of items) {
            const item = waitingPart(taken);
            if (item === undefined) {
                continue;
            }
            const size = item.tasks.reduce(sum => add(sum, item.size), noResources);
            if (!options.withinQuota(item.team, size)) {
                putBack(item, quotaRestMs);
                continue;
            }
            options.addUse(item.team, size);
            open.push(item);
        }
        return open;
    };

    return {
        round: async () => {
            const items = admitted(queue.take(itemsPerRound, clock.monotonicMs(), options.useOf));
            const rooms = createRooms(options.rooms(), random);
            let placed = await placeSingles(items.filter(item => !item.gang), rooms);
            for (const item of items.filter(each => each.gang)) {
                placed += await placeGang(item, rooms);
            }
            return placed;
        },
    };
};
