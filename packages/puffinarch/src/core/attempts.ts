/** Attempts and workers as their rack's owner keeps them. */

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
    confirmedAtMs: number;
    /** On the worker's clock; after it, an attempt that the worker does not show never started. */
    startBeforeMs: number;
    stopWanted: boolean;
    throttled: boolean;
    used: Resources;
    report: AttemptReport | undefined;
}

/** One worker of a rack that is owned here. */
export interface OwnedWorker {
    vm: Vm;
    readonly rackKey: string;
    state: WorkerState;
    failures: number;
    /** Lower bound of the worker's own clock, read at `clockReadAtMs`. */
    clockMs: number;
    clockReadAtMs: number;
    readonly acknowledge: Set<string>;
    /** What the worker said that it runs, kept up to date by changes. */
    readonly shown: Map<string, RunningAttempt>;
    seen: WorkerPoll["seen"];
    readonly attempts: Set<Attempt>;
    loop: Loop | undefined;
}

/** What identifies an attempt and says what it needs; the rest of an offer is for choosing a worker. */
export type AttemptParts = Pick<
    TaskOffer,
    "attemptId" | "taskId" | "size" | "payload" | "checkpoint" | "priority" | "preemptible"
>;

/** All attempts of one rack owner. */
export interface Attempts {
    track(worker: OwnedWorker, parts: AttemptParts, homeId: string, state: AttemptState): Attempt;
    /** Gives back what it holds. */
    forget(attempt: Attempt): void;
    find(attemptId: string): Attempt | undefined;
    all(): IterableIterator<Attempt>;
}

/**
 * Makes an empty table of attempts over a ledger.
 *
 * @example
 * const attempts = createAttempts(clock, ledger);
 */
export const createAttempts = (clock: Clock, ledger: Ledger): Attempts => {
    const byId = new Map<string, Attempt>();
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
                stopWanted: false,
                throttled: false,
                used: noResources,
                report: undefined,
            };
            byId.set(attemptId, attempt);
            worker.attempts.add(attempt);
            return attempt;
        },
        forget: attempt => {
            ledger.release(attempt.attemptId);
            byId.delete(attempt.attemptId);
            attempt.worker.attempts.delete(attempt);
        },
        find: attemptId => byId.get(attemptId),
        all: () => byId.values(),
    };
};

/**
 * The parts of an attempt that was found running, about which only the worker knows.
 *
 * @example
 * attempts.track(worker, foundParts(running), running.homeId, "running");
 */
export const foundParts = (
    { attemptId, taskId, size }: Pick<AttemptParts, "attemptId" | "taskId" | "size">,
): AttemptParts => ({
    attemptId,
    taskId,
    size,
    payload: "",
    checkpoint: "",
    priority: Infinity,
    preemptible: false,
});
