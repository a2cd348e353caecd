/** Rounds of offers: waiting tasks go to rack owners, and what they reserve is handed on to be committed and started. */

import type { Policy } from "../types/configuration.js";
import type { JobSpec } from "../types/job.js";
import type { Placement, TaskOffer } from "../types/peer.js";
import type { Clock, Random } from "../types/ports.js";
import { add, noResources, type Resources } from "../types/resources.js";
import { pickMember } from "../utils/rendezvous.js";
import type { TaskEntry } from "./homeState.js";
import { urgentPriority } from "./roomMaker.js";
import { createRooms, type Room, type Rooms } from "./rooms.js";
import { type QueueItem, shapeKey, type TaskQueue } from "./taskQueue.js";

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
    readonly release: (owner: string, placements: readonly Placement[], keepKeys: readonly string[]) => Promise<void>;
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

interface Held extends Reserved {
    readonly owner: string;
}

const itemsPerRound = 256;
const baseRestMs = 100;
const maxGangRestMs = 500;
const quotaRestMs = 500;

/**
 * Makes a placer over a queue.
 *
 * @example
 * const placed = await placer.round();
 */
export const createPlacer = (options: PlacerOptions): Placer => {
    const { queue, clock, random } = options;

    /** When a task of each shape was last placed; a shape that goes forward does not starve, however long its queue. */
    const progressAtMs = new Map<string, number>();

    const noteProgress = (item: QueueItem): void => {
        progressAtMs.delete(shapeKey(item));
        progressAtMs.set(shapeKey(item), clock.nowMs());
        for (const [key, atMs] of progressAtMs) {
            if (clock.nowMs() - atMs < options.starvationMs) {
                break;
            }
            progressAtMs.delete(key);
        }
    };

    const waitOf = (item: QueueItem, task: TaskEntry): number =>
        Math.max(0, clock.nowMs() - Math.max(task.queuedAtMs, progressAtMs.get(shapeKey(item)) ?? 0));

    /** Any member that fails ends its whole gang, so what one member met all of them avoid. */
    const avoidedBy = (item: QueueItem, task: TaskEntry): readonly string[] => [
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
        waitedMs: waitOf(item, task),
        keepKey: item.gang ? task.job.spec.jobId : task.taskId,
        gang: item.gang,
        avoid: avoidedBy(item, task),
    });

    const putBack = (item: QueueItem, restMs: number): void => {
        queue.putBack({ ...item, tries: item.tries + 1 }, clock.monotonicMs() + restMs);
    };

    const restFor = (item: QueueItem): number => {
        const ceilingMs = Math.min(maxGangRestMs, baseRestMs * 2 ** Math.min(10, item.tries));
        return item.gang ? ceilingMs * (0.5 + random.next() / 2) : baseRestMs;
    };

    /** Urgent and starved tasks go to one owner all the same, always the same one, which makes room for them. */
    const ownerFor = (item: QueueItem, task: TaskEntry, rooms: Rooms): string | undefined => {
        const owner = rooms.choose(item.size, options.policyOf(item.policy).placement);
        const starved = waitOf(item, task) >= options.starvationMs;
        if (owner !== undefined || (item.priority < urgentPriority && !starved)) {
            return owner;
        }
        const key = item.gang ? task.job.spec.jobId : task.taskId;
        return pickMember(key, rooms.owners());
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
                noteProgress(item);
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

    /** Undefined where nobody is left to ask for one of the tasks. */
    const groupByOwner = (
        item: QueueItem,
        tasks: readonly TaskEntry[],
        rooms: Rooms,
    ): readonly (readonly [string, readonly Offered[]])[] | undefined => {
        const byOwner = new Map<string, Offered[]>();
        for (const task of tasks) {
            const owner = ownerFor(item, task, rooms);
            if (owner === undefined) {
                return undefined;
            }
            const offered = byOwner.get(owner) ?? [];
            offered.push({ item, task, offer: offerOf(item, task) });
            byOwner.set(owner, offered);
        }
        return [...byOwner].sort(([left], [right]) => left < right ? -1 : 1);
    };

    /** Offers tasks of a gang to one owner; answers those that it refused. */
    const offerGang = async (
        owner: string,
        offered: readonly Offered[],
        held: Held[],
        rooms: Rooms,
    ): Promise<readonly TaskEntry[]> => {
        const placements = await options.offer(owner, offered.map(each => each.offer));
        const made = new Map(placements.map(placement => [placement.attemptId, placement]));
        const refused: TaskEntry[] = [];
        for (const { task, offer } of offered) {
            const placement = made.get(offer.attemptId);
            if (placement === undefined) {
                refused.push(task);
                continue;
            }
            held.push({ owner, task, placement });
        }
        if (refused.length > 0) {
            rooms.refuse(owner);
        }
        return refused;
    };

    /** All or nothing: what one owner refuses is offered to the others, and where nobody is left all is given back. */
    const placeGang = async (item: QueueItem, rooms: Rooms): Promise<number> => {
        const held: Held[] = [];
        const asked = new Set<string>();
        let left = item.tasks;
        while (left.length > 0) {
            const groups = groupByOwner(item, left, rooms);
            if (groups === undefined) {
                break;
            }
            const refused: TaskEntry[] = [];
            for (const [owner, offered] of groups) {
                asked.add(owner);
                refused.push(...await offerGang(owner, offered, held, rooms));
            }
            left = refused;
        }
        if (left.length > 0) {
            await giveBack(held);
            putBack(item, restFor(item));
            return 0;
        }
        const [{ jobId }] = item.tasks.map(task => task.job.spec) as [JobSpec];
        await Promise.all([...asked].map(owner => options.release(owner, [], [jobId])));
        await options.commit(held, true);
        return held.length;
    };

    const giveBack = async (held: readonly Held[]): Promise<void> => {
        const owners = new Set(held.map(each => each.owner));
        await Promise.all(
            [...owners].map(owner =>
                options.release(owner, held.filter(each => each.owner === owner).map(each => each.placement), [])
            ),
        );
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
                placed += await placeGang(item, createRooms(options.rooms(), random));
            }
            return placed;
        },
    };
};
