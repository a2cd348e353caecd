/**
 * Turns for the first looks of a new owner: only so many are under way at once. Each answer costs the processor a new
 * connection and all that runs there; 350 at once kept a daemon from its peers' pings for a second or more, so that it was
 * taken for lost and replaced by one that began the same work anew.
 */

import type { Clock } from "../../types/ports.js";

/** Gives turns. */
export interface FirstLooks {
    /**
     * Resolves when the look may be sent, with what is to be called once it is answered or given up; never where it is not wanted any
     * more when its turn comes.
     */
    enter(isWanted: () => boolean): Promise<() => void>;
}

/** At 6 ms an answer on a VM of a third of a core, a ping waits 150 ms behind them; its limit is 350 ms. */
const atOnce = 24;
/** A look that has not been answered though this many later ones have is left to itself; its worker may be out of reach. */
const overtakenBy = 8;
/** So is one that takes this long while none is answered: 117 workers of a data centre that is cut off take 0.8 s. */
const turnMs = 150;
/** Answers that come at shorter intervals than this show that the others only wait for this daemon's processor. */
const quietMs = 50;

/** A look under way. */
interface Turn {
    readonly number: number;
    overtaken: number;
    readonly leave: () => void;
}

/**
 * Makes the turns of one owner.
 *
 * @example
 * const firstLooks = createFirstLooks(clock);
 * const answered = await firstLooks.enter(() => true);
 * answered();
 */
export const createFirstLooks = (clock: Clock): FirstLooks => {
    const turns = new Set<Turn>();
    const waiting: { readonly isWanted: () => boolean; readonly send: () => void; }[] = [];
    let numbers = 0;
    let answeredAtMs = -Infinity;

    const letIn = (): void => {
        while (turns.size < atOnce && waiting.length > 0) {
            const next = waiting.shift();
            if (next?.isWanted() === true) {
                next.send();
            }
        }
    };

    const noteAnswer = (number: number): void => {
        answeredAtMs = clock.monotonicMs();
        for (const turn of [...turns]) {
            if (turn.number < number) {
                turn.overtaken += 1;
                if (turn.overtaken >= overtakenBy) {
                    turn.leave();
                }
            }
        }
    };

    const begin = (): () => void => {
        numbers += 1;
        const number = numbers;
        const leave = (): void => {
            cancel();
            if (turns.delete(turn)) {
                letIn();
            }
        };
        const leaveIfQuiet = (): void => {
            if (clock.monotonicMs() - answeredAtMs >= quietMs) {
                leave();
                return;
            }
            cancel = clock.setTimer(quietMs, leaveIfQuiet);
        };
        const turn: Turn = { number, overtaken: 0, leave };
        let cancel = clock.setTimer(turnMs, leaveIfQuiet);
        turns.add(turn);
        return () => {
            leave();
            noteAnswer(number);
        };
    };

    return {
        enter: isWanted =>
            new Promise(resolve => {
                waiting.push({ isWanted, send: () => resolve(begin()) });
                letIn();
            }),
    };
};
