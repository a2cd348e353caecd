/**
 * Queue of start orders. A daemon sends a few thousand orders a second, and an order counts as unanswered after a fixed time; if the
 * starts of a wide job were all sent at once, most of them would time out in this process and be repeated.
 */

import type { ShardRun } from "./jobModel.js";

/** Dependencies of the queue. */
export interface StartQueueOptions {
    /** Most orders that wait for their answers at the same time. */
    readonly maxInFlight: number;
    /** Sends the order for a run; resolves once it is answered or no longer expected to be. */
    readonly send: (run: ShardRun) => Promise<void>;
    /** Called when a run has left the queue and its order is no longer in flight. */
    readonly onSettled: (run: ShardRun) => void;
}

/** Sends start orders, those of different jobs in turn. */
export interface StartQueue {
    /** Adds the runs of one job, in the order in which they are to be sent. */
    add(runs: readonly ShardRun[]): void;
}

/**
 * Creates an empty queue.
 *
 * @example
 * const starts = createStartQueue({ maxInFlight: 32, send: run => link.start(run), onSettled: () => {} });
 * starts.add(runs);
 */
export const createStartQueue = ({ maxInFlight, send, onSettled }: StartQueueOptions): StartQueue => {
    /** Waiting runs by job; the job whose turn is next comes first. */
    const waiting = new Map<string, ShardRun[]>();
    let inFlight = 0;

    const takeNext = (): ShardRun | undefined => {
        for (const [jobId, runs] of waiting) {
            const run = runs.shift();
            waiting.delete(jobId);
            if (runs.length > 0) {
                waiting.set(jobId, runs);
            }
            return run;
        }
        return undefined;
    };

    const settle = (run: ShardRun): void => {
        inFlight -= 1;
        onSettled(run);
        sendWaiting();
    };

    const sendWaiting = (): void => {
        while (inFlight < maxInFlight) {
            const run = takeNext();
            if (run === undefined) {
                return;
            }
            inFlight += 1;
            void send(run).finally(() => settle(run));
        }
    };

    return {
        add: runs => {
            const [first] = runs;
            if (first === undefined) {
                return;
            }
            const { jobId } = first.task.step.occurrence.job.submission;
            waiting.set(jobId, [...waiting.get(jobId) ?? [], ...runs]);
            sendWaiting();
        },
    };
};
