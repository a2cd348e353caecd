/**
 * Limits how many first looks of a new owner are under way at once. Each answer costs processor time for a new connection and
 * for the list of all that runs there: 350 looks at once keep a daemon from answering its peers' pings for a second or more,
 * so that it is replaced as lost by a daemon that begins the same work anew.
 */

import type { Clock } from "../../types/ports.js";

/** Admits first looks. */
export interface FirstLooks {
    /**
     * Resolves when the look may be sent, with a function to call once it is answered or given up; never resolves if the look
     * is no longer needed when its turn comes.
     */
    enter(isNeeded: () => boolean): Promise<() => void>;
}

/**
 * Looks that may be under way at once. An answer takes 6 ms on a VM with a third of a core, so that a ping waits about 150 ms
 * behind this many; its limit is 350 ms.
 */
const maxConcurrentLooks = 24;
/** A look stops counting towards the limit once this many later ones have been answered before it; its worker may be unreachable. */
const maxOvertakes = 8;
/**
 * A look also stops counting after this time, unless answers to others keep coming; the looks to 117 unreachable workers of a
 * data centre take 0.8 s in all.
 */
const minTurnMs = 150;
/** While answers come at shorter intervals than this, the other looks only wait for this daemon's processor. */
const quietIntervalMs = 50;

/** A look that counts towards the limit. */
interface Turn {
    readonly number: number;
    overtaken: number;
    readonly leave: () => void;
}

/**
 * Creates the limiter of one owner.
 *
 * @example
 * const firstLooks = createFirstLooks(clock);
 * const answered = await firstLooks.enter(() => true);
 * answered();
 */
export const createFirstLooks = (clock: Clock): FirstLooks => {
    const turns = new Set<Turn>();
    const waiting: { readonly isNeeded: () => boolean; readonly send: () => void; }[] = [];
    let lastNumber = 0;
    let lastAnswerAtMs = -Infinity;

    const admitWaiting = (): void => {
        while (turns.size < maxConcurrentLooks && waiting.length > 0) {
            const next = waiting.shift();
            if (next?.isNeeded() === true) {
                next.send();
            }
        }
    };

    const recordAnswer = (number: number): void => {
        lastAnswerAtMs = clock.monotonicMs();
        for (const turn of [...turns]) {
            if (turn.number < number) {
                turn.overtaken += 1;
                if (turn.overtaken >= maxOvertakes) {
                    turn.leave();
                }
            }
        }
    };

    const beginTurn = (): () => void => {
        lastNumber += 1;
        const number = lastNumber;
        const leave = (): void => {
            cancel();
            if (turns.delete(turn)) {
                admitWaiting();
            }
        };
        const leaveIfQuiet = (): void => {
            if (clock.monotonicMs() - lastAnswerAtMs >= quietIntervalMs) {
                leave();
                return;
            }
            cancel = clock.setTimer(quietIntervalMs, leaveIfQuiet);
        };
        const turn: Turn = { number, overtaken: 0, leave };
        let cancel = clock.setTimer(minTurnMs, leaveIfQuiet);
        turns.add(turn);
        return () => {
            leave();
            recordAnswer(number);
        };
    };

    return {
        enter: isNeeded =>
            new Promise(resolve => {
                waiting.push({ isNeeded, send: () => resolve(beginTurn()) });
                admitWaiting();
            }),
    };
};
