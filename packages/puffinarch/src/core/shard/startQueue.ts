/**
 * Queue of start orders. An order counts as unanswered after a fixed time; if the starts of a wide job were all sent at once, most of
 * them would time out and be repeated. The queue therefore sends a limited number in each turn of the event loop, so that its pace
 * follows the load of this process. How many may be without an answer grows with each answer and shrinks with each start that gets none, so
 * that neither slow answers nor overloaded workers set the pace for good.
 */

import type { Clock } from "../../types/ports.js";
import type { ShardRun } from "./jobModel.js";
import { createStartPace } from "./startPace.js";

/** Dependencies of the queue. */
export interface StartQueueOptions {
    readonly clock: Clock;
    /** Most starts that are sent in one turn of the event loop. */
    readonly startsPerTurn: () => number;
    /**
     * Sends the orders for runs that leave the queue together, or drops the runs; `queuedMs` is how long they have waited. Returns what
     * becomes of each order that was sent.
     */
    readonly send: (runs: readonly ShardRun[], queuedMs: number) => readonly Promise<StartAnswer>[];
}

/** What became of a start order: `open` where it is not known yet whether the worker answers it in time. */
export type StartAnswer = "answered" | "unanswered" | "open";

/** What a queue holds and how much it may send. */
export interface StartQueueLoad {
    /** Starts that wait to be sent. */
    readonly queued: number;
    /** Starts that were sent and have no answer yet, and how many there may be. */
    readonly inFlight: number;
    readonly inFlightLimit: number;
}

/** Sends start orders, those of different jobs in turn. */
export interface StartQueue {
    /** Adds runs of one job, in the order in which they are to be sent. Members of a gang are sent without other starts between them. */
    add(runs: readonly ShardRun[]): void;
    /** Returns what the queue holds now. */
    load(): StartQueueLoad;
    /** Starts sent per ms while more were waiting; undefined where none have waited for a while, so that the pace is not known. */
    pacePerMs(): number | undefined;
}

/** Pause between two turns; while the process is busy, the next turn comes later than this. */
export const startTurnMs = 2;
/** Time after which a turn ends although it may send more; answers, pings and commits wait meanwhile. */
const longestTurnMs = 25;

/** Fewest and most starts without an answer, and how many there may be at first; gangs leave as a whole in any case. */
const minInFlight = 32;
const maxInFlight = 512;
const firstInFlight = 128;
/** The limit is reduced once in this time: starts that were sent together are lost together. */
const reducePauseMs = 200;

/** Runs of one job that wait to be sent, and when they were added. */
interface Waiting {
    readonly runs: ShardRun[];
    readonly sinceMs: number;
}

/**
 * Creates an empty queue.
 *
 * @example
 * const starts = createStartQueue({ clock, startsPerTurn: () => 64, send: runs => runs.map(run => link.start(run)) });
 * starts.add(runs);
 */
export const createStartQueue = ({ clock, startsPerTurn, send }: StartQueueOptions): StartQueue => {
    /** Waiting runs by job; the job whose turn is next comes first. */
    const waiting = new Map<string, Waiting[]>();
    let leftInTurn = startsPerTurn();
    let turnBeganAtMs = clock.monotonicMs();
    let isTurnScheduled = false;
    let inFlight = 0;
    let inFlightLimit = firstInFlight;
    let reducedAtMs = -Infinity;
    const pace = createStartPace(clock);

    /** Takes one start: a run, or as many members of a gang as a turn sends. */
    const takeNext = (): Waiting | undefined => {
        for (const [jobId, batches] of waiting) {
            const [batch] = batches;
            if (batch === undefined) {
                waiting.delete(jobId);
                continue;
            }
            const { runs, sinceMs } = batch;
            const isGang = runs[0]?.task.step.spec.gang === true;
            const taken = runs.splice(0, isGang ? startsPerTurn() : 1);
            if (runs.length === 0) {
                batches.shift();
            }
            // The rest of a gang stays first.
            if (!isGang || runs.length === 0) {
                waiting.delete(jobId);
                if (batches.length > 0) {
                    waiting.set(jobId, batches);
                }
            }
            return { runs: taken, sinceMs };
        }
        return undefined;
    };

    const beginTurn = (): void => {
        leftInTurn = startsPerTurn();
        turnBeganAtMs = clock.monotonicMs();
    };

    const isOpen = (): boolean =>
        leftInTurn > 0 && inFlight < inFlightLimit && clock.monotonicMs() - turnBeganAtMs < longestTurnMs;

    /** How each outcome changes the limit. */
    const adjustLimit: Readonly<Record<StartAnswer, () => void>> = {
        answered: () => {
            inFlightLimit = Math.min(maxInFlight, inFlightLimit + 1);
        },
        unanswered: () => {
            const nowMs = clock.monotonicMs();
            if (nowMs - reducedAtMs >= reducePauseMs) {
                reducedAtMs = nowMs;
                inFlightLimit = Math.max(minInFlight, inFlightLimit / 2);
            }
        },
        open: () => {},
    };

    /** Counts a start that was sent until it is known what became of it, and adjusts the limit by that. */
    const settle = async (answer: Promise<StartAnswer>): Promise<void> => {
        inFlight += 1;
        adjustLimit[await answer]();
        inFlight -= 1;
        if (!isTurnScheduled) {
            beginTurn();
        }
        sendWaiting();
    };

    const sendWaiting = (): void => {
        while (isOpen()) {
            const next = takeNext();
            if (next === undefined) {
                break;
            }
            leftInTurn -= next.runs.length;
            scheduleTurn();
            const answers = send(next.runs, clock.monotonicMs() - next.sinceMs);
            pace.recordSent(answers.length);
            for (const answer of answers) {
                void settle(answer);
            }
        }
        pace.endTurn(waiting.size > 0);
    };

    const scheduleTurn = (): void => {
        if (isTurnScheduled) {
            return;
        }
        isTurnScheduled = true;
        clock.setTimer(startTurnMs, () => {
            isTurnScheduled = false;
            beginTurn();
            sendWaiting();
        });
    };

    return {
        add: runs => {
            const [first] = runs;
            if (first === undefined) {
                return;
            }
            const { jobId } = first.task.step.occurrence.job.submission;
            const batches = waiting.get(jobId) ?? [];
            waiting.set(jobId, [...batches, { runs: [...runs], sinceMs: clock.monotonicMs() }]);
            if (!isTurnScheduled) {
                beginTurn();
            }
            sendWaiting();
        },
        load: () => {
            const queued = [...waiting.values()].flat().reduce((sum, { runs }) => sum + runs.length, 0);
            return { queued, inFlight, inFlightLimit };
        },
        pacePerMs: pace.perMs,
    };
};
