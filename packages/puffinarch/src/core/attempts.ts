/** The state that a rack owner keeps of its workers and their attempts. */

import type { AttemptReport } from "../types/job.js";
import type { AttemptState, TaskOffer } from "../types/peer.js";
import type { Clock, RunningAttempt, Vm, WorkerPoll } from "../types/ports.js";
import { noResources, type Resources } from "../types/resources.js";
import type { Loop } from "../utils/time.js";
import type { Ledger } from "./ledger.js";

/** States of a worker at its owner. */
export const workerStates = {
    recovering: "recovering",
    live: "live",
    unreachable: "unreachable",
    leaving: "leaving",
} as const;
/** One of `workerStates`. */
export type WorkerState = (typeof workerStates)[keyof typeof workerStates];

/** One attempt on one worker. */
export interface Attempt {
    readonly attemptId: string;
    readonly taskId: string;
    readonly homeId: string;
    readonly size: Resources;
    readonly payload: string;
    readonly checkpoint: string;
    readonly priority: number;
    readonly preemptible: boolean;
    readonly worker: OwnedWorker;
    state: AttemptState;
    readonly reservedAtMs: number;
    /** When the owner recorded the attempt or, if later, when the worker confirmed its start; monotonic clock. */
    confirmedAtMs: number;
    /** On the worker's clock. An attempt that the worker does not report after this time will never start. */
    startBeforeMs: number;
    stopRequested: boolean;
    throttled: boolean;
    /** Usage in the worker's last report. */
    used: Resources;
    /** Set once the attempt has ended. */
    report: AttemptReport | undefined;
}

/** One worker of a rack that this daemon owns. */
export interface OwnedWorker {
    vm: Vm;
    readonly rackKey: string;
    state: WorkerState;
    /** Consecutive polls that failed. */
    failures: number;
    /** The worker's own clock in its last report; a lower bound of that clock at `clockReadAtMs`, when the report arrived. */
    clockMs: number;
    clockReadAtMs: number;
    /** Ended attempts to acknowledge to the worker in the next poll. */
    readonly acknowledge: Set<string>;
    /** Attempts that the worker reports as running, by id. */
    readonly reportedAttempts: Map<string, RunningAttempt>;
    /** Boot id and version of the last report; undefined before the first one. */
    seen: WorkerPoll["seen"];
    readonly attempts: Set<Attempt>;
    loop: Loop | undefined;
}

/** Identity and needs of an attempt; the other fields of an offer only serve to choose a worker. */
export type AttemptSpec = Pick<
    TaskOffer,
    "attemptId" | "taskId" | "size" | "payload" | "checkpoint" | "priority" | "preemptible"
>;

/** All attempts of one rack owner. */
export interface Attempts {
    /** Adds an attempt in this state to the worker. */
    track(worker: OwnedWorker, parts: AttemptSpec, homeId: string, state: AttemptState): Attempt;
    /** Removes an attempt and releases the capacity that it holds. */
    forget(attempt: Attempt): void;
    find(attemptId: string): Attempt | undefined;
    all(): IterableIterator<Attempt>;
}

/**
 * Creates an empty table of attempts whose capacity the ledger records.
 *
 * @example
 * const attempts = createAttempts(clock, ledger);
 */
export const createAttempts = (clock: Clock, ledger: Ledger): Attempts => {
    const attemptsById = new Map<string, Attempt>();
    return {
        track: (worker, { attemptId, taskId, size, payload, checkpoint, priority, preemptible }, homeId, state) => {
            const attempt: Attempt = {
                attemptId,
                taskId,
                homeId,
                size,
                payload,
                checkpoint,
                priority,
                preemptible,
                worker,
                state,
                reservedAtMs: clock.monotonicMs(),
                confirmedAtMs: clock.monotonicMs(),
                startBeforeMs: Infinity,
                stopRequested: false,
                throttled: false,
                used: noResources,
                report: undefined,
            };
            attemptsById.set(attemptId, attempt);
            worker.attempts.add(attempt);
            return attempt;
        },
        forget: attempt => {
            ledger.release(attempt.attemptId);
            attemptsById.delete(attempt.attemptId);
            attempt.worker.attempts.delete(attempt);
        },
        find: attemptId => attemptsById.get(attemptId),
        all: () => attemptsById.values(),
    };
};

/**
 * Fills in the fields of an attempt that a worker reports and that this owner did not start: it cannot be preempted, and its
 * payload and checkpoint are left empty, since they serve only to start it.
 *
 * @example
 * attempts.track(worker, adoptedSpec(running), running.homeId, "running");
 */
export const adoptedSpec = (
    { attemptId, taskId, size }: Pick<AttemptSpec, "attemptId" | "taskId" | "size">,
): AttemptSpec => ({
    attemptId,
    taskId,
    size,
    payload: "",
    checkpoint: "",
    priority: Infinity,
    preemptible: false,
});
