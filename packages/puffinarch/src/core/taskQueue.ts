/**
 * Queue of a home's waiting tasks, ordered by priority, then by the usage of their team, lowest first, then by age, oldest
 * first. Items are grouped by shape. A shape for which there is no free capacity does not delay other shapes, and is
 * skipped as a whole instead of task by task.
 */

import type { Resources } from "../types/resources.js";
import type { TaskEntry } from "./homeState.js";

/** One task, or all waiting tasks of a gang. */
export interface QueueItem {
    readonly tasks: readonly TaskEntry[];
    readonly gang: boolean;
    readonly priority: number;
    readonly policy: string;
    readonly team: string;
    readonly size: Resources;
    readonly queuedAtMs: number;
    /** Rounds in which the item could not be placed. */
    readonly tries: number;
}

/** Waiting tasks in the order in which they are to be placed. */
export interface TaskQueue {
    /** Adds an item at the end of its shape. */
    push(item: QueueItem): void;
    /** Returns an item to the head of its shape; the shape is skipped until `notBeforeMs` on the monotonic clock. */
    requeue(item: QueueItem, notBeforeMs: number): void;
    /**
     * Takes up to `limit` items of shapes that are not skipped at `nowMs`. `useOf` returns the thousandths of a core that a
     * team holds; items taken are added to it, so that teams take turns within one call.
     */
    take(limit: number, nowMs: number, useOf: (team: string) => number): readonly QueueItem[];
    /** Number of tasks; cancelled ones count until they are taken. */
    size(): number;
}

interface Shape {
    readonly key: string;
    readonly priority: number;
    readonly team: string;
    items: QueueItem[];
    /** Index of the first item that was not taken yet. */
    head: number;
    notBeforeMs: number;
}

/**
 * Returns the key of an item's shape. Items of one shape have the same priority, team, policy and size, so the same workers
 * fit them; each gang has a shape of its own.
 *
 * @example
 * shapeKey(item) === shapeKey({ ...item, tries: item.tries + 1 }); // true
 */
export const shapeKey = (item: QueueItem): string => {
    const { cpuMillis, memoryMib, accelerators } = item.size;
    const gang = item.gang ? item.tasks[0]?.job.spec.jobId ?? "" : "";
    return [item.priority, item.team, item.policy, cpuMillis, memoryMib, accelerators, gang].join("|");
};

const compactionThreshold = 1_024;

/**
 * Creates an empty queue.
 *
 * @example
 * const queue = createTaskQueue();
 * queue.take(256, clock.monotonicMs(), () => 0); // []
 */
export const createTaskQueue = (): TaskQueue => {
    const shapes = new Map<string, Shape>();
    let size = 0;

    const findOrAddShape = (item: QueueItem): Shape => {
        const key = shapeKey(item);
        const known = shapes.get(key);
        if (known !== undefined) {
            return known;
        }
        const shape: Shape = { key, priority: item.priority, team: item.team, items: [], head: 0, notBeforeMs: 0 };
        shapes.set(key, shape);
        return shape;
    };

    const precedes = (left: Shape, right: Shape | undefined, useOf: (team: string) => number): boolean => {
        if (right === undefined || left.priority !== right.priority) {
            return right === undefined || left.priority > right.priority;
        }
        const [leftUse, rightUse] = [useOf(left.team), useOf(right.team)];
        if (leftUse !== rightUse) {
            return leftUse < rightUse;
        }
        return (left.items[left.head]?.queuedAtMs ?? 0) < (right.items[right.head]?.queuedAtMs ?? 0);
    };

    const nextShape = (nowMs: number, useOf: (team: string) => number): Shape | undefined => {
        let next: Shape | undefined;
        for (const shape of shapes.values()) {
            if (shape.notBeforeMs <= nowMs && precedes(shape, next, useOf)) {
                next = shape;
            }
        }
        return next;
    };

    const takeHead = (shape: Shape): QueueItem | undefined => {
        const item = shape.items[shape.head];
        shape.head += 1;
        if (shape.head === shape.items.length) {
            shapes.delete(shape.key);
        }
        else if (shape.head >= compactionThreshold) {
            shape.items = shape.items.slice(shape.head);
            shape.head = 0;
        }
        size -= item?.tasks.length ?? 0;
        return item;
    };

    return {
        push: item => {
            findOrAddShape(item).items.push(item);
            size += item.tasks.length;
        },
        requeue: (item, notBeforeMs) => {
            const shape = findOrAddShape(item);
            if (shape.head > 0) {
                shape.head -= 1;
                shape.items[shape.head] = item;
            }
            else {
                shape.items.unshift(item);
            }
            shape.notBeforeMs = Math.max(shape.notBeforeMs, notBeforeMs);
            size += item.tasks.length;
        },
        take: (limit, nowMs, useOf) => {
            const taken: QueueItem[] = [];
            const takenUse = new Map<string, number>();
            const useWithTaken = (team: string): number => useOf(team) + (takenUse.get(team) ?? 0);
            while (taken.length < limit) {
                const shape = nextShape(nowMs, useWithTaken);
                const item = shape === undefined ? undefined : takeHead(shape);
                if (item === undefined) {
                    break;
                }
                taken.push(item);
                takenUse.set(item.team, (takenUse.get(item.team) ?? 0) + item.size.cpuMillis * item.tasks.length);
            }
            return taken;
        },
        size: () => size,
    };
};
