/**
 * Fetches the configuration from peers, for daemons that cannot reach the store. A configuration of thousands of queues fills a
 * slow link for a second. Only one copy at a time is therefore fetched, and only after the store had time to deliver it: copies
 * fetched at every ping would starve each other, the store's answer and the pings.
 */

import type { Clock, Log } from "../../types/ports.js";
import type { CellConfiguration } from "../../types/work.js";
import { createGuard } from "../../utils/guard.js";
import type { Peers } from "./peers.js";

/** Dependencies of the configuration fetch. */
export interface ConfigurationFetchOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly selfId: string;
    readonly peers: Pick<Peers, "ask">;
    /** Version of the newest configuration that is known; 0 for none. */
    readonly version: () => number;
    /** Age in ms of the configuration that the store delivered; `Infinity` before the first. */
    readonly storeAgeMs: () => number;
    readonly onConfiguration: (configuration: CellConfiguration) => void;
}

/** Fetches newer configurations. */
export interface ConfigurationFetch {
    /** Reports the version that a peer has; it is fetched where it is newer and the store has not delivered it in time. */
    offer(address: string, version: number): void;
}

/** Time that the store has to deliver a change, which takes some milliseconds except over a slow link, before a peer is asked. */
const storeHeadStartMs = 400;
/** The store counts as unreachable where its data is this old; with a healthy store it never is. */
const storeLostMs = 2_000;
/** A fetch is abandoned where the peer sends no data for this long; the next peer that reports the version is asked instead. */
const silenceTimeoutMs = 800;
/** Longest time for a fetch of which data keeps arriving. */
const longestMs = 20_000;
const retryPauseMs = 300;

/**
 * Creates the configuration fetch of a daemon.
 *
 * @example
 * const fetch = createConfigurationFetch({ clock, log, selfId, peers, version, storeAgeMs, onConfiguration });
 * fetch.offer("http://10.1.0.14:7720", 8);
 */
export const createConfigurationFetch = (options: ConfigurationFetchOptions): ConfigurationFetch => {
    const { clock, log, selfId, peers, version: known, storeAgeMs, onConfiguration } = options;
    const guard = createGuard({ clock, log });
    let behindSinceMs: number | undefined;
    let fetching = false;
    let nextFetchAtMs = -Infinity;

    const shouldWaitForStore = (sinceMs: number): boolean => {
        const ageMs = storeAgeMs();
        const isLost = ageMs !== Infinity && ageMs >= storeLostMs;
        return !isLost && clock.monotonicMs() - sinceMs < storeHeadStartMs;
    };

    const askPeer = async (address: string, version: number): Promise<void> => {
        const startedAtMs = clock.monotonicMs();
        fetching = true;
        const next = await peers.ask(address, "configuration", { from: selfId }, {
            timeoutMs: silenceTimeoutMs,
            longestMs,
        });
        fetching = false;
        const tookMs = Math.round(clock.monotonicMs() - startedAtMs);
        if (next === undefined) {
            log.write("warn", "configurationFetchFailed", { address, version, known: known(), tookMs });
            nextFetchAtMs = clock.monotonicMs() + retryPauseMs;
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
            if (!fetching && clock.monotonicMs() >= nextFetchAtMs && !shouldWaitForStore(behindSinceMs)) {
                void guard.run("configurationFetch", () => askPeer(address, version), () => {
                    fetching = false;
                    nextFetchAtMs = clock.monotonicMs() + retryPauseMs;
                });
            }
        },
    };
};
