/**
 * Slots of the upstreams that this daemon owns. An upstream has one owner, so the owner's count is the whole count;
 * after a change of owner it starts from what the upstream itself says is still in use.
 */

import { type UpstreamChoiceName, upstreamChoices } from "../plugins/upstreamChoices.js";
import type { UpstreamView } from "../types/peer.js";
import type { Clock, Log, Meter, Random, UpstreamPort, Vm } from "../types/ports.js";
import { errorOf, failureOf } from "../utils/errors.js";
import { type Loop, sleep, startLoop } from "../utils/time.js";
import type { Membership, OwnedUnit } from "./membership.js";
import type { UnitKeeper } from "./ownership.js";

/** States of an upstream at its owner. */
export const upstreamStates = {
    recovering: "recovering",
    live: "live",
    unreachable: "unreachable",
    leaving: "leaving",
} as const;
/** One of `upstreamStates`. */
export type UpstreamState = (typeof upstreamStates)[keyof typeof upstreamStates];

/** One slot of one upstream, held until it is given back. */
export interface Slot {
    readonly upstreamId: string;
    readonly address: string;
    readonly alternatives: number;
    giveBack(): void;
    /** Tells that the upstream refused the connection or said that it leaves. */
    mark(state: "unreachable" | "leaving"): void;
}

/** Slots of the upstreams owned here, and the queue for them. */
export interface Slots {
    readonly keeper: UnitKeeper;
    /** A free slot of this service at once, or undefined. */
    tryTake(service: string): Slot | undefined;
    /** Waits for a slot in a bounded queue; rejects with `notRun` at the deadline and `overloaded` when full. */
    take(service: string, giveUpAtMs: number): Promise<Slot>;
    /** Free slots by service. */
    free(): Readonly<Record<string, number>>;
    /** True where this daemon owns an upstream of the service that is not leaving. */
    serves(service: string): boolean;
    refresh(): void;
    inUse(): number;
    views(daemonId: string): readonly UpstreamView[];
    close(): Promise<void>;
}

/** What slots need. */
export interface SlotsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly meter: Meter;
    readonly upstreams: UpstreamPort;
    readonly membership: Membership;
    /** Whether this session may act now; without it no slot is given. */
    readonly mayAct: () => boolean;
    readonly choice: UpstreamChoiceName;
    readonly slotsPerUpstream: number;
    readonly maxQueued: number;
    readonly statusIntervalMs: number;
    /** Resolves a hand-over even when requests still run; longer than any request may take. */
    readonly drainTimeoutMs: number;
}

interface UpstreamEntry {
    vm: Vm;
    readonly upstreamId: string;
    state: UpstreamState;
    /** Held by this owner's requests. */
    slotsInUse: number;
    /** Still held by requests of an earlier owner. */
    foreignSlots: number;
    loop: Loop | undefined;
}

interface Waiter {
    readonly resolve: (slot: Slot) => void;
    readonly cancelTimer: () => void;
}

const drainPollMs = 50;
const retryAfterMs = 500;

/**
 * Makes the slots of a daemon that owns no upstream yet.
 *
 * @example
 * const slot = await slots.take("mesa-comun", clock.monotonicMs() + 1_000);
 * slot.giveBack();
 */
export const createSlots = (options: SlotsOptions): Slots => {
    const { clock, random, log, meter, upstreams, membership, slotsPerUpstream } = options;
    const entries = new Map<string, UpstreamEntry>();
    const queues = new Map<string, Waiter[]>();
    let sequence = 0;

    const freeOf = (entry: UpstreamEntry): number =>
        entry.state === "live" ? Math.max(0, slotsPerUpstream - entry.slotsInUse - entry.foreignSlots) : 0;

    const setState = (entry: UpstreamEntry, state: UpstreamState): void => {
        if (entry.state !== state) {
            log.write("info", "upstreamState", { upstreamId: entry.upstreamId, from: entry.state, to: state });
            entry.state = state;
        }
        serveWaiters(entry.vm.service ?? "");
    };

    const hold = (entry: UpstreamEntry, alternatives: number): Slot => {
        let held = true;
        entry.slotsInUse += 1;
        sequence += 1;
        return {
            upstreamId: entry.upstreamId,
            address: entry.vm.address,
            alternatives,
            giveBack: () => {
                if (held) {
                    held = false;
                    entry.slotsInUse -= 1;
                    serveWaiters(entry.vm.service ?? "");
                }
            },
            mark: state => {
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
            if (entry.vm.service === service && freeOf(entry) > 0) {
                candidates.push(entry);
            }
        }
        const chosen = upstreamChoices[options.choice]({ candidates, random, sequence });
        return chosen === undefined ? undefined : hold(chosen, candidates.length);
    };

    const serveWaiters = (service: string): void => {
        const queue = queues.get(service);
        while (queue !== undefined && queue.length > 0) {
            const slot = tryTake(service);
            if (slot === undefined) {
                return;
            }
            const waiter = queue.shift();
            waiter?.cancelTimer();
            waiter?.resolve(slot);
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
                errorOf({ kind: "overloaded", message: `too many requests wait for ${service}`, retryAfterMs }),
            );
        }
        return new Promise((resolve, reject) => {
            const cancelTimer = clock.setTimer(Math.max(0, giveUpAtMs - clock.monotonicMs()), () => {
                queue.splice(queue.indexOf(waiter), 1);
                reject(errorOf({ kind: "notRun", message: `no slot of ${service} came free in time`, retryAfterMs }));
            });
            const waiter: Waiter = { resolve, cancelTimer };
            queue.push(waiter);
            meter.count("requestsQueued");
        });
    };

    const checkStatus = async (entry: UpstreamEntry): Promise<void> => {
        try {
            const status = await upstreams.status(entry.vm.address);
            // Own requests may not have arrived yet, so none of what is in use can be taken for them.
            entry.foreignSlots = Math.min(entry.foreignSlots, status.slotsInUse);
            const leaving = status.leaving || entry.vm.leaving;
            setState(entry, leaving ? "leaving" : "live");
        }
        catch (error) {
            log.write("debug", "statusFailed", { upstreamId: entry.upstreamId, ...failureOf(error) });
            setState(entry, entry.state === "recovering" ? "recovering" : "unreachable");
        }
    };

    const startStatus = (entry: UpstreamEntry): void => {
        const run = (): Promise<void> => checkStatus(entry);
        entry.loop = startLoop({
            clock,
            log,
            name: `status ${entry.upstreamId}`,
            intervalMs: options.statusIntervalMs,
            run,
        });
    };

    const gain = async (unit: OwnedUnit): Promise<void> => {
        const vm = membership.vm(unit.name);
        if (vm === undefined || entries.has(unit.name)) {
            return;
        }
        const entry: UpstreamEntry = {
            vm,
            upstreamId: unit.name,
            state: "recovering",
            slotsInUse: 0,
            foreignSlots: slotsPerUpstream,
            loop: undefined,
        };
        entries.set(unit.name, entry);
        startStatus(entry);
    };

    const drop = (entry: UpstreamEntry): void => {
        entries.delete(entry.upstreamId);
        void entry.loop?.stop();
    };

    const yieldUpstream = async (unit: OwnedUnit): Promise<void> => {
        const entry = entries.get(unit.name);
        if (entry === undefined) {
            return;
        }
        setState(entry, "leaving");
        drop(entry);
        const giveUpAtMs = clock.monotonicMs() + options.drainTimeoutMs;
        while (entry.slotsInUse > 0 && clock.monotonicMs() < giveUpAtMs) {
            await sleep(clock, drainPollMs);
        }
    };

    const refresh = (): void => {
        for (const entry of [...entries.values()]) {
            const vm = membership.vm(entry.upstreamId);
            if (vm === undefined) {
                drop(entry);
                continue;
            }
            entry.vm = vm;
            if (vm.leaving && entry.state !== "leaving") {
                setState(entry, "leaving");
            }
        }
    };

    return {
        keeper: { gain, yield: yieldUpstream },
        tryTake,
        take,
        free: () => {
            const free: Record<string, number> = {};
            for (const entry of entries.values()) {
                const service = entry.vm.service ?? "";
                free[service] = (free[service] ?? 0) + freeOf(entry);
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
                slotsInUse: entry.slotsInUse + entry.foreignSlots,
                slots: slotsPerUpstream,
                ownerDaemonId: daemonId,
            })),
        close: async () => {
            await Promise.all([...entries.values()].map(entry => entry.loop?.stop()));
        },
    };
};
