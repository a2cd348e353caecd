/**
 * Request slots of the upstreams that this daemon owns. Only the owner of an upstream assigns its slots, so the owner's
 * count is complete. A new owner starts from the number of slots that the upstream itself reports as in use.
 */

import { type UpstreamChoiceName, upstreamChoices } from "../plugins/upstreamChoices.js";
import type { UpstreamView } from "../types/peer.js";
import type { Clock, Log, Meter, Random, UpstreamPort, Vm } from "../types/ports.js";
import { errorOf, failureOf } from "../utils/errors.js";
import { type Loop, sleep, startLoop } from "../utils/time.js";
import type { Membership, VersionedUnit } from "./membership.js";
import type { UnitHandler } from "./ownership.js";

/** States of an upstream at its owner. */
export const upstreamStates = {
    recovering: "recovering",
    live: "live",
    unreachable: "unreachable",
    leaving: "leaving",
} as const;
/** One of `upstreamStates`. */
export type UpstreamState = (typeof upstreamStates)[keyof typeof upstreamStates];

/** One slot of one upstream, held until `release`. */
export interface Slot {
    readonly upstreamId: string;
    readonly address: string;
    /** Number of upstreams that the choice was made from. */
    readonly alternatives: number;
    /** Frees the slot; further calls have no effect. */
    release(): void;
    /** Changes the upstream's state after it refused a connection or announced that it leaves; ignored unless it is live. */
    setUpstreamState(state: "unreachable" | "leaving"): void;
}

/** Slots of the upstreams that this daemon owns, and one queue per service for them. */
export interface Slots {
    /** Handles the upstreams as units. */
    readonly unitHandler: UnitHandler;
    /** Takes a slot of the service if one is free and this session may act. */
    tryTake(service: string): Slot | undefined;
    /**
     * Takes a slot, waiting in a bounded queue if none is free. Rejects with `notRun` at `giveUpAtMs` on the monotonic clock
     * and with `overloaded` if the queue is full.
     */
    take(service: string, giveUpAtMs: number): Promise<Slot>;
    /** Free slots by service. */
    free(): Readonly<Record<string, number>>;
    /** True if this daemon owns an upstream of the service that is not leaving. */
    serves(service: string): boolean;
    /** Applies changes of the VM list to the upstreams. */
    refresh(): void;
    /** Number of slots that this daemon's requests hold. */
    inUse(): number;
    views(daemonId: string): readonly UpstreamView[];
    /** Stops the status requests to the upstreams. */
    close(): Promise<void>;
}

/** Dependencies and settings of `createSlots`. */
export interface SlotsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly meter: Meter;
    readonly upstreams: UpstreamPort;
    readonly membership: Membership;
    /** Whether this session may act now; no slot is assigned otherwise. */
    readonly mayAct: () => boolean;
    /** How an upstream is chosen among those with free slots. */
    readonly choice: UpstreamChoiceName;
    readonly slotsPerUpstream: number;
    /** Limit of each service's queue. */
    readonly maxQueued: number;
    readonly statusIntervalMs: number;
    /** A hand-over waits at most this long for running requests; has to exceed the longest duration of a request. */
    readonly drainTimeoutMs: number;
}

interface UpstreamEntry {
    vm: Vm;
    readonly upstreamId: string;
    state: UpstreamState;
    /** Slots that requests of this owner hold. */
    slotsInUse: number;
    /** Upper bound of the slots that requests of earlier owners still hold. */
    inheritedSlots: number;
    loop: Loop | undefined;
}

interface QueuedRequest {
    readonly resolve: (slot: Slot) => void;
    readonly cancelTimer: () => void;
}

const drainCheckIntervalMs = 50;
const retryAfterMs = 500;

/**
 * Creates the slots of a daemon, without any upstream.
 *
 * @example
 * const slot = await slots.take("mesa-comun", clock.monotonicMs() + 1_000);
 * slot.release();
 */
export const createSlots = (options: SlotsOptions): Slots => {
    const { clock, random, log, meter, upstreams, membership, slotsPerUpstream } = options;
    const entries = new Map<string, UpstreamEntry>();
    const queues = new Map<string, QueuedRequest[]>();
    let sequence = 0;

    const freeSlotsOf = (entry: UpstreamEntry): number =>
        entry.state === "live" ? Math.max(0, slotsPerUpstream - entry.slotsInUse - entry.inheritedSlots) : 0;

    const setState = (entry: UpstreamEntry, state: UpstreamState): void => {
        if (entry.state !== state) {
            log.write("info", "upstreamState", { upstreamId: entry.upstreamId, from: entry.state, to: state });
            entry.state = state;
        }
        serveQueue(entry.vm.service ?? "");
    };

    const holdSlot = (entry: UpstreamEntry, alternatives: number): Slot => {
        let held = true;
        entry.slotsInUse += 1;
        sequence += 1;
        return {
            upstreamId: entry.upstreamId,
            address: entry.vm.address,
            alternatives,
            release: () => {
                if (held) {
                    held = false;
                    entry.slotsInUse -= 1;
                    serveQueue(entry.vm.service ?? "");
                }
            },
            setUpstreamState: state => {
                if (entry.state === "live") {
                    setState(entry, state);
                }
            },
        };
    };

    const tryTake = (service: string): Slot | undefined => {
        if (!options.mayAct()) {
            return undefined;
        }
        const candidates: UpstreamEntry[] = [];
        for (const entry of entries.values()) {
            if (entry.vm.service === service && freeSlotsOf(entry) > 0) {
                candidates.push(entry);
            }
        }
        const chosen = upstreamChoices[options.choice]({ candidates, random, sequence });
        return chosen === undefined ? undefined : holdSlot(chosen, candidates.length);
    };

    const serveQueue = (service: string): void => {
        const queue = queues.get(service);
        while (queue !== undefined && queue.length > 0) {
            const slot = tryTake(service);
            if (slot === undefined) {
                return;
            }
            const queuedRequest = queue.shift();
            queuedRequest?.cancelTimer();
            queuedRequest?.resolve(slot);
        }
    };

    const take = (service: string, giveUpAtMs: number): Promise<Slot> => {
        const slot = tryTake(service);
        if (slot !== undefined) {
            return Promise.resolve(slot);
        }
        const queue = queues.get(service) ?? [];
        queues.set(service, queue);
        if (queue.length >= options.maxQueued) {
            return Promise.reject(
                errorOf({ kind: "overloaded", message: `the queue for slots of ${service} is full`, retryAfterMs }),
            );
        }
        return new Promise((resolve, reject) => {
            const cancelTimer = clock.setTimer(Math.max(0, giveUpAtMs - clock.monotonicMs()), () => {
                queue.splice(queue.indexOf(queuedRequest), 1);
                reject(
                    errorOf({
                        kind: "notRun",
                        message: `no slot of ${service} was free before the deadline`,
                        retryAfterMs,
                    }),
                );
            });
            const queuedRequest: QueuedRequest = { resolve, cancelTimer };
            queue.push(queuedRequest);
            meter.count("requestsQueued");
        });
    };

    const checkStatus = async (entry: UpstreamEntry): Promise<void> => {
        try {
            const status = await upstreams.status(entry.vm.address);
            // Requests of this owner may not have reached the upstream yet, so its own slots are not subtracted from the
            // reported number.
            entry.inheritedSlots = Math.min(entry.inheritedSlots, status.slotsInUse);
            const leaving = status.leaving || entry.vm.leaving;
            setState(entry, leaving ? "leaving" : "live");
        }
        catch (error) {
            log.write("debug", "statusFailed", { upstreamId: entry.upstreamId, ...failureOf(error) });
            setState(entry, entry.state === "recovering" ? "recovering" : "unreachable");
        }
    };

    const startStatusLoop = (entry: UpstreamEntry): void => {
        const run = (): Promise<void> => checkStatus(entry);
        entry.loop = startLoop({
            clock,
            log,
            name: `status ${entry.upstreamId}`,
            intervalMs: options.statusIntervalMs,
            run,
        });
    };

    const acquireUpstream = async (unit: VersionedUnit): Promise<void> => {
        const vm = membership.vm(unit.name);
        if (vm === undefined || entries.has(unit.name)) {
            return;
        }
        const entry: UpstreamEntry = {
            vm,
            upstreamId: unit.name,
            state: "recovering",
            slotsInUse: 0,
            inheritedSlots: slotsPerUpstream,
            loop: undefined,
        };
        entries.set(unit.name, entry);
        startStatusLoop(entry);
    };

    const removeEntry = (entry: UpstreamEntry): void => {
        entries.delete(entry.upstreamId);
        void entry.loop?.stop();
    };

    const releaseUpstream = async (unit: VersionedUnit): Promise<void> => {
        const entry = entries.get(unit.name);
        if (entry === undefined) {
            return;
        }
        setState(entry, "leaving");
        removeEntry(entry);
        const giveUpAtMs = clock.monotonicMs() + options.drainTimeoutMs;
        while (entry.slotsInUse > 0 && clock.monotonicMs() < giveUpAtMs) {
            await sleep(clock, drainCheckIntervalMs);
        }
    };

    const refresh = (): void => {
        for (const entry of [...entries.values()]) {
            const vm = membership.vm(entry.upstreamId);
            if (vm === undefined) {
                removeEntry(entry);
                continue;
            }
            entry.vm = vm;
            if (vm.leaving && entry.state !== "leaving") {
                setState(entry, "leaving");
            }
        }
    };

    return {
        unitHandler: { acquire: acquireUpstream, release: releaseUpstream },
        tryTake,
        take,
        free: () => {
            const free: Record<string, number> = {};
            for (const entry of entries.values()) {
                const service = entry.vm.service ?? "";
                free[service] = (free[service] ?? 0) + freeSlotsOf(entry);
            }
            return free;
        },
        serves: service =>
            [...entries.values()].some(entry => entry.vm.service === service && entry.state !== "leaving"),
        refresh,
        inUse: () => [...entries.values()].reduce((sum, entry) => sum + entry.slotsInUse, 0),
        views: daemonId =>
            [...entries.values()].map(entry => ({
                upstreamId: entry.upstreamId,
                service: entry.vm.service ?? "",
                dataCentre: entry.vm.dataCentre,
                state: entry.state,
                slotsInUse: entry.slotsInUse + entry.inheritedSlots,
                slots: slotsPerUpstream,
                ownerDaemonId: daemonId,
            })),
        close: async () => {
            await Promise.all([...entries.values()].map(entry => entry.loop?.stop()));
        },
    };
};
