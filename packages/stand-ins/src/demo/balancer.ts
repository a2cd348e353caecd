/** Stand-in for the platform's balancer: it sends callers to the daemons that say they are ready, in turn. */

import { type Clock, type Loop, startLoop } from "puffinarch";
import { request } from "undici";

/** Chooses a daemon for a caller. */
export interface Balancer {
    /** A ready daemon's address, other than the ones tried already where there is one. */
    next(tried: readonly string[]): string | undefined;
    stop(): Promise<void>;
}

const checkIntervalMs = 250;
const checkTimeoutMs = 400;

const isReady = async (address: string): Promise<boolean> => {
    try {
        const answer = await request(`${address}/readyz`, { signal: AbortSignal.timeout(checkTimeoutMs) });
        await answer.body.dump();
        return answer.statusCode === 200;
    }
    catch {
        return false;
    }
};

/**
 * Makes a balancer over daemons.
 *
 * @example
 * const address = balancer.next([]);
 */
export const createBalancer = (clock: Clock, addresses: readonly string[]): Balancer => {
    let ready: readonly string[] = [];
    let turn = 0;
    const loops: Loop[] = addresses.map(address =>
        startLoop({
            clock,
            log: { write: () => {} },
            name: address,
            intervalMs: checkIntervalMs,
            run: async () => {
                const now = await isReady(address);
                ready = now ? [...new Set([...ready, address])] : ready.filter(each => each !== address);
            },
        })
    );
    return {
        next: tried => {
            const fresh = ready.filter(address => !tried.includes(address));
            const choices = fresh.length > 0 ? fresh : ready;
            turn += 1;
            return choices[turn % Math.max(1, choices.length)];
        },
        stop: async () => {
            await Promise.all(loops.map(loop => loop.stop()));
        },
    };
};
