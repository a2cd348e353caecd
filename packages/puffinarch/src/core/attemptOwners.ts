/** Calls of a home to the owners of the racks that its attempts run in. */

import type { AttemptsRequest, AttemptsResponse, CallSession } from "../types/peer.js";
import type { Log } from "../types/ports.js";
import { failureOf } from "../utils/errors.js";
import type { TaskEntry } from "./homeState.js";
import type { Membership } from "./membership.js";

/** Handles an owner's answer; `tenures` holds the tenure of each task's rack, by task id, from before the call. */
export type OwnerAnswer = (
    tasks: readonly TaskEntry[],
    answer: AttemptsResponse,
    tenures: ReadonlyMap<string, string | undefined>,
) => Promise<void>;

/** Calls to the owners of a home's attempts. */
export interface AttemptOwners {
    /**
     * Identifies one period of ownership of a rack by the owner's session id and the version of the rack's unit row;
     * undefined while the rack has no owner that may be alive.
     */
    tenureOf(rackKey: string | undefined): string | undefined;
    /** Makes one call to each owner; skips tasks whose rack has no owner, and logs calls that fail. */
    call(name: "start" | "stop" | "attemptStates", tasks: Iterable<TaskEntry>, onAnswer: OwnerAnswer): Promise<void>;
}

/** Dependencies and settings of `createAttemptOwners`. */
export interface AttemptOwnersOptions {
    readonly homeId: string;
    readonly homeVersion: number;
    readonly membership: Membership;
    readonly log: Log;
    readonly call: CallSession;
    /** Called with the attempts of a start call that may have reached the owner although it failed. */
    readonly onStartUnknown: (attemptIds: readonly string[]) => void;
}

/**
 * Creates the calls of one home.
 *
 * @example
 * await owners.call("stop", tasks, async () => {});
 */
export const createAttemptOwners = (options: AttemptOwnersOptions): AttemptOwners => {
    const { homeId, homeVersion, membership, log } = options;

    const tenureOf = (rackKey: string | undefined): string | undefined => {
        const owner = rackKey === undefined ? undefined : membership.ownerOf(rackKey);
        return owner === undefined ? undefined : `${owner.sessionId}@${membership.unit(rackKey ?? "")?.version}`;
    };

    const requestOf = (tasks: readonly TaskEntry[]): AttemptsRequest => ({
        homeId,
        homeVersion,
        attempts: tasks.flatMap(({ attemptId, workerId, rackKey, listedGeneration }) =>
            attemptId === undefined || workerId === undefined || rackKey === undefined
                ? []
                : [{ attemptId, workerId, rackKey, listedGeneration }]
        ),
    });

    const groupByOwner = (tasks: Iterable<TaskEntry>): ReadonlyMap<string, readonly TaskEntry[]> => {
        const groups = new Map<string, TaskEntry[]>();
        for (const task of tasks) {
            const owner = task.rackKey === undefined ? undefined : membership.ownerOf(task.rackKey);
            if (owner === undefined) {
                continue;
            }
            const group = groups.get(owner.sessionId) ?? [];
            group.push(task);
            groups.set(owner.sessionId, group);
        }
        return groups;
    };

    const callOwner = async (
        name: "start" | "stop" | "attemptStates",
        owner: string,
        tasks: readonly TaskEntry[],
        onAnswer: OwnerAnswer,
    ): Promise<void> => {
        const request = requestOf(tasks);
        const tenures = new Map(tasks.map(task => [task.taskId, tenureOf(task.rackKey)]));
        try {
            await onAnswer(tasks, await options.call(owner, name, request), tenures);
        }
        catch (error) {
            const failure = failureOf(error);
            log.write("debug", "ownerSilent", { call: name, owner, tasks: tasks.length, ...failure });
            if (name === "start" && failure.kind !== "unavailable") {
                options.onStartUnknown(request.attempts.map(({ attemptId }) => attemptId));
            }
        }
    };

    return {
        tenureOf,
        call: async (name, tasks, onAnswer) => {
            await Promise.all(
                [...groupByOwner(tasks)].map(([owner, group]) => callOwner(name, owner, group, onAnswer)),
            );
        },
    };
};
