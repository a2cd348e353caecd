/**
 * Tasks that wait at their home: first by priority, then by how little their team holds, then oldest first, kept by shape so that one shape without room
 * holds up no other and costs one look instead of one for each task.
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
    /** Failed tries so far. */
    readonly tries: number;
}

/** Waiting tasks in the order of placing. */
export interface TaskQueue {
    push(item: QueueItem): void;
    /** Puts an item back at the head of its shape, and rests the shape until then on the monotonic clock. */
    putBack(item: QueueItem, notBeforeMs: number): void;
    /**
     * Takes up to `most` items whose shape does not rest. `useOf` says what a team holds; what is taken counts into it,
     * so that teams take turns within one call.
     */
    take(most: number, nowMs: number, useOf: (team: string) => number): readonly QueueItem[];
    /** Number of tasks, cancelled ones included until they are taken. */
    size(): number;
}

interface Shape {
    readonly key: string;
    readonly priority: number;
    readonly team: string;
    items: QueueItem[];
    head: number;
    notBeforeMs: number;
}

/**
 * Names the shape of an item; items of one shape are placed or refused alike.
 *
 * @example
 * shapeKey(item) === shapeKey(likeItem); // true
 */
export const shapeKey = (item: QueueItem): string => {
    const { cpuMillis, memoryMib, accelerators } = item.size;
    const gang = item.gang ? item.tasks[0]?.job.spec.jobId ?? "" : "";
    return [item.priority, item.team, item.policy, cpuMillis, memoryMib, accelerators, gang].join("|");
};

const compactFrom = 1_024;

/**
 * Makes an empty queue.
 *
 * @example
 * const queue = createTaskQueue();
 * queue.take(256, clock.monotonicMs(), () => 0); // []
 */
export const createTaskQueue = (): TaskQueue => {
    const shapes = new Map<string, Shape>();
    let size = 0;

    const shapeOf = (item: QueueItem): Shape => {
        const key = shapeKey(item);
        const known = shapes.get(key);
        if (known !== undefined) {
            return known;
        }
        const shape: Shape = { key, priority: item.priority, team: item.team, items: [], head: 0, notBeforeMs: 0 };
        shapes.set(key, shape);
        return shape;
    };

    const comesFirst = (left: Shape, right: Shape | undefined, useOf: (team: string) => number): boolean => {
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
            if (shape.notBeforeMs <= nowMs && comesFirst(shape, next, useOf)) {
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
        else if (shape.head >= compactFrom) {
            shape.items = shape.items.slice(shape.head);
            shape.head = 0;
        }
        size -= item?.tasks.length ?? 0;
        return item;
    };

    return {
        push: item => {
            shapeOf(item).items.push(item);
            size += item.tasks.length;
        },
        putBack: (item, notBeforeMs) => {
            const shape = shapeOf(item);
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
        take: (most, nowMs, useOf) => {
            const taken: QueueItem[] = [];
            const takenUse = new Map<string, number>();
            const useWithTaken = (team: string): number => useOf(team) + (takenUse.get(team) ?? 0);
            while (taken.length < most) {
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
