/**
 * Fetches the configuration from peers, for daemons that the store turns away. A configuration of thousands of queues fills a thin link
 * for a second, so that one copy at a time is asked for, and the store goes first: copies that are asked for at every ping
 * starve each other, the store's own answer and the pings.
 */

import type { Clock, Log } from "../../types/ports.js";
import type { CellConfiguration } from "../../types/work.js";
import type { Peers } from "./peers.js";

/** What fetching needs. */
export interface ConfigurationFetchOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly selfId: string;
    readonly peers: Pick<Peers, "ask">;
    /** Version of the newest configuration that is known; 0 for none. */
    readonly version: () => number;
    /** How old what the store told of the configuration may be; `Infinity` before it told anything. */
    readonly storeAgeMs: () => number;
    readonly onConfiguration: (configuration: CellConfiguration) => void;
}

/** Fetches newer configurations. */
export interface ConfigurationFetch {
    /** A peer has this version. */
    offer(address: string, version: number): void;
}

/** A change takes the store some milliseconds, over a link that is not thin; what it told is at most this old where it is well. */
const headStartMs = 400;
const storeLostMs = 2_000;
/** A peer that sends nothing for this long is left for the next one that has the version. */
const silentMs = 800;
const longestMs = 20_000;
const retryPauseMs = 300;

/**
 * Makes the fetching of one daemon.
 *
 * @example
 * const fetch = createConfigurationFetch({ clock, log, selfId, peers, version, storeAgeMs, onConfiguration });
 * fetch.offer("http://10.1.0.14:7720", 8);
 */
export const createConfigurationFetch = (options: ConfigurationFetchOptions): ConfigurationFetch => {
    const { clock, log, selfId, peers, version: known, storeAgeMs, onConfiguration } = options;
    let behindSinceMs: number | undefined;
    let underWay = false;
    let againAtMs = -Infinity;

    const storeMayTell = (sinceMs: number): boolean => {
        const ageMs = storeAgeMs();
        const isLost = ageMs !== Infinity && ageMs >= storeLostMs;
        return !isLost && clock.monotonicMs() - sinceMs < headStartMs;
    };

    const askPeer = async (address: string, version: number): Promise<void> => {
        const startedAtMs = clock.monotonicMs();
        underWay = true;
        const next = await peers.ask(address, "configuration", { from: selfId }, { timeoutMs: silentMs, longestMs });
        underWay = false;
        const tookMs = Math.round(clock.monotonicMs() - startedAtMs);
        if (next === undefined) {
            log.write("warn", "configurationFetchFailed", { address, version, known: known(), tookMs });
            againAtMs = clock.monotonicMs() + retryPauseMs;
            return;
        }
        onConfiguration(next);
    };

    return {
        offer: (address, version) => {
            if (version <= known()) {
                behindSinceMs = undefined;
                return;
            }
            behindSinceMs ??= clock.monotonicMs();
            if (!underWay && clock.monotonicMs() >= againAtMs && !storeMayTell(behindSinceMs)) {
                void askPeer(address, version);
            }
        },
    };
};
