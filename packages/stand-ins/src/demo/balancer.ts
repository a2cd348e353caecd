/** Simulated load balancer of the platform: polls `/readyz` of every daemon and assigns callers to the ready ones, round-robin. */

import { type Clock, type Loop, startLoop } from "puffinarch";
import { request } from "undici";

/** Selects a daemon for each call. */
export interface Balancer {
    /** Address of a ready daemon, one not yet tried where there is one; undefined where none is ready. */
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
 * Creates a balancer over the daemons at these addresses.
 *
 * @example
 * const address = balancer.next([]);
 */
export const createBalancer = (clock: Clock, addresses: readonly string[]): Balancer => {
    let ready: readonly string[] = [];
    let nextIndex = 0;
    const loops: Loop[] = addresses.map(address =>
        startLoop({
            clock,
            log: { write: () => {} },
            name: address,
            intervalMs: checkIntervalMs,
            run: async () => {
                const isReadyNow = await isReady(address);
                ready = isReadyNow ? [...new Set([...ready, address])] : ready.filter(each => each !== address);
            },
        })
    );
    return {
        next: tried => {
            const untried = ready.filter(address => !tried.includes(address));
            const candidates = untried.length > 0 ? untried : ready;
            nextIndex += 1;
            return candidates[nextIndex % Math.max(1, candidates.length)];
        },
        stop: async () => {
            await Promise.all(loops.map(loop => loop.stop()));
        },
    };
};
