/**
 * Detects that this daemon's data centre is cut off from the others: no peer of another data centre answers, and neither does the
 * store. The owner of the shard may be in the same data centre and still answer, so that its answers say nothing about this.
 */

import type { MemberRow } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import { createGuard } from "../../utils/guard.js";
import { sleep } from "../../utils/time.js";
import type { Peers } from "./peers.js";

/** Local times that decide whether a data centre is cut off; `-Infinity` for an answer that never came. */
export interface PartitionSigns {
    /** Since when peers of other data centres and the store have been asked; undefined before they were asked long enough. */
    readonly askedAtMs: number | undefined;
    /** Newest answer of a peer of another data centre. */
    readonly elsewhereAnsweredAtMs: number;
    readonly storeAnsweredAtMs: number;
}

/** Dependencies of the detection. */
export interface PartitionWatchOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly dataCentre: string;
    readonly peers: Pick<Peers, "elsewhere" | "elsewhereAnsweredAtMs" | "ping">;
    /** Reads from the store; false where it did not answer within the time. */
    readonly readStore: (withinMs: number) => Promise<boolean>;
    /** Local time of a sign from the store besides these reads, such as an answered call for changes. */
    readonly storeAnsweredAtMs: () => number;
}

/** The detection of a partition on one daemon. */
export interface PartitionWatch {
    /** True from the detection until the store or a peer of another data centre answers. */
    isPartitioned(): boolean;
    /** Asks peers of other data centres and the store, unless this is being done: a peer of another data centre does not answer. */
    suspect(): void;
    /** Reports for how long a commit has waited for the store, here or at an owner that answers; suspects a partition if it is long. */
    reportStall(stalledMs: number): void;
    close(): void;
}

/**
 * An answer takes about 10 ms, from the store and from peers. All of the asked ones must be silent for this many periods of `tickMs`.
 * Only periods count of which the timer fired in time, since a daemon that gets no processor time hears nobody.
 */
const minSilentTicks = 3;
const tickMs = 50;
const maxTickDelayMs = 25;
/** After such a delay the VM was suspended, and what was asked before says nothing any more. */
const suspendedMs = 300;
/** The store must be silent for this many times as long as its newest answer took. */
const storeLatencyFactor = 2;
/** A store that is 60 times slower than usual answers a read within half a second. */
const readTimeoutMs = 1_000;
/** Pause between checks during a partition, and while only the peers of other data centres are silent. */
const cutPauseMs = 150;
const silentPauseMs = 500;
/** Daemons asked in each other data centre, since a single VM may be down. */
const askedPerDataCentre = 2;
/** Most daemons that are asked in one check. */
const maxAsked = 8;
/** A commit usually takes 10 ms. One that takes this long may be the first sign of a partition on a daemon that pings only the owner. */
const stalledCommitMs = 150;
/** In an outage of the store, stalled commits cause a check at most once in this time. */
const stallCheckPauseMs = 1_000;

/**
 * Whether a data centre is cut off by what its daemon has heard since it asked.
 *
 * @example
 * isCutOff({ askedAtMs: 900, elsewhereAnsweredAtMs: 850, storeAnsweredAtMs: 700 }); // true
 */
export const isCutOff = ({ askedAtMs, elsewhereAnsweredAtMs, storeAnsweredAtMs }: PartitionSigns): boolean =>
    askedAtMs !== undefined && elsewhereAnsweredAtMs < askedAtMs && storeAnsweredAtMs < askedAtMs;

/**
 * Selects the daemons to ask: some of each data centre, in the given order.
 *
 * @example
 * chooseAsked(peers.elsewhere()).length; // 6 with three other data centres
 */
export const chooseAsked = (elsewhere: readonly MemberRow[]): readonly MemberRow[] => {
    const counts = new Map<string, number>();
    return elsewhere.filter(({ dataCentre }) => {
        const count = (counts.get(dataCentre) ?? 0) + 1;
        counts.set(dataCentre, count);
        return count <= askedPerDataCentre;
    }).slice(0, maxAsked);
};

/**
 * Creates the detection of a partition. It asks nobody before a partition is suspected, and it never applies where no peer of another
 * data centre has answered this process.
 *
 * @example
 * const partition = createPartitionWatch({ clock, log, meter, dataCentre, peers, readStore, storeAnsweredAtMs });
 * partition.isPartitioned(); // false
 */
export const createPartitionWatch = (options: PartitionWatchOptions): PartitionWatch => {
    const { clock, log, meter, dataCentre, peers, readStore } = options;
    const guard = createGuard({ clock, log, meter });
    let closed = false;
    let checking = false;
    let readAnsweredAtMs = -Infinity;
    let readLatencyMs = 0;
    let stallCheckedAtMs = -Infinity;
    /** When the check that found the partition began; undefined while there is none. */
    let cutAskedAtMs: number | undefined;

    const signs = (askedAtMs: number | undefined): PartitionSigns => ({
        askedAtMs,
        elsewhereAnsweredAtMs: peers.elsewhereAnsweredAtMs(),
        storeAnsweredAtMs: Math.max(readAnsweredAtMs, options.storeAnsweredAtMs()),
    });

    const isPartitioned = (): boolean => isCutOff(signs(cutAskedAtMs));

    const readOnce = async (): Promise<void> => {
        const sentAtMs = clock.monotonicMs();
        if (await readStore(readTimeoutMs)) {
            readAnsweredAtMs = clock.monotonicMs();
            readLatencyMs = readAnsweredAtMs - sentAtMs;
        }
    };

    /** Waits until an answer has come since `askedAtMs`, or long enough for the silence to count; returns whether none came. */
    const staysSilent = async (askedAtMs: number): Promise<boolean> => {
        const requiredTicks = Math.max(minSilentTicks, Math.ceil(storeLatencyFactor * readLatencyMs / tickMs));
        for (let ticks = 0; ticks < requiredTicks;) {
            const dueAtMs = clock.monotonicMs() + tickMs;
            await sleep(clock, tickMs);
            const delayMs = clock.monotonicMs() - dueAtMs;
            if (closed || delayMs > suspendedMs || !isCutOff(signs(askedAtMs))) {
                return false;
            }
            ticks += delayMs <= maxTickDelayMs ? 1 : 0;
        }
        return true;
    };

    const recordCut = (askedAtMs: number, asked: number): void => {
        const { elsewhereAnsweredAtMs, storeAnsweredAtMs } = signs(askedAtMs);
        const nowMs = clock.monotonicMs();
        cutAskedAtMs = askedAtMs;
        meter.count("partitions");
        log.write("warn", "partitioned", {
            dataCentre,
            asked,
            peersSilentMs: Math.round(nowMs - elsewhereAnsweredAtMs),
            storeSilentMs: Math.round(nowMs - storeAnsweredAtMs),
        });
    };

    const recordHeal = (): void => {
        if (cutAskedAtMs !== undefined && !isPartitioned()) {
            const by = peers.elsewhereAnsweredAtMs() >= cutAskedAtMs ? "peer" : "store";
            const forMs = Math.round(clock.monotonicMs() - cutAskedAtMs);
            cutAskedAtMs = undefined;
            log.write("info", "partitionHealed", { dataCentre, by, forMs });
        }
    };

    /** Asks once; returns whether to ask again soon, because the peers of all other data centres are silent. */
    const check = async (): Promise<boolean> => {
        const asked = chooseAsked(peers.elsewhere());
        if (asked.length === 0 && cutAskedAtMs === undefined) {
            return false;
        }
        const askedAtMs = clock.monotonicMs();
        for (const peer of asked) {
            void guard.run("ping", () => peers.ping(peer));
        }
        void guard.run("storeRead", readOnce);
        if (await staysSilent(askedAtMs) && cutAskedAtMs === undefined) {
            recordCut(askedAtMs, asked.length);
        }
        recordHeal();
        if (peers.elsewhereAnsweredAtMs() >= askedAtMs) {
            return false;
        }
        await sleep(clock, cutAskedAtMs === undefined ? silentPauseMs : cutPauseMs);
        recordHeal();
        return peers.elsewhereAnsweredAtMs() < askedAtMs;
    };

    const run = async (): Promise<void> => {
        checking = true;
        try {
            while (!closed && await check()) {
                // The pause is in the check.
            }
        }
        finally {
            checking = false;
        }
    };

    const suspect = (): void => {
        if (!checking && !closed) {
            void guard.run("partition", run);
        }
    };

    return {
        isPartitioned,
        suspect,
        reportStall: stalledMs => {
            const nowMs = clock.monotonicMs();
            if (stalledMs >= stalledCommitMs && nowMs - stallCheckedAtMs >= stallCheckPauseMs) {
                stallCheckedAtMs = nowMs;
                suspect();
            }
        },
        close: () => {
            closed = true;
        },
    };
};
