/**
 * A small cell in one process on a fake clock: real nodes over the stand-ins, joined by a network that can be cut.
 * It exists to cause failures in tests; it models no load and no timing of real machines.
 */

import {
    createNode,
    createSeededRandom,
    defaultNodeSettings,
    die,
    type Log,
    type Meter,
    type Node,
    type NodePorts,
    type NodeSettings,
    type PeerPort,
    type Random,
    type Resources,
    sleep,
    type TableStore,
    type UpstreamPort,
    type Vm,
    type VmList,
    type WorkerPort,
} from "puffinarch";
import { createPlatform, defaultPlatformLimits, type Platform, type PlatformLimits } from "../platform.js";
import { createUpstream, type UpstreamStandIn } from "../upstream.js";
import { createWorker, type Execution, type WorkerStandIn } from "../worker.js";
import { breakPart, type BrokenPart } from "./brokenParts.js";
import { createFakeClock, type FakeClock } from "./fakeClock.js";
import { createGate, type Gate } from "./gate.js";

/** Shape of a cell; everything is spread evenly over the data centres. */
export interface CellOptions {
    readonly seed: number;
    readonly dataCentres: readonly string[];
    readonly daemonsPerDataCentre: number;
    readonly workersPerDataCentre: number;
    readonly workersPerRack: number;
    readonly upstreamsPerDataCentre: number;
    readonly capacity: Resources;
    readonly settings: Partial<NodeSettings>;
    readonly limits: Partial<PlatformLimits>;
    /** One-way delay of a message is random up to this. */
    readonly maxDelayMs: number;
    /** A part that is broken on purpose, to show that a check finds it. */
    readonly broken: BrokenPart | undefined;
}

/** Two data centres with two daemons, two workers and one upstream each. */
export const defaultCellOptions: CellOptions = {
    seed: 1,
    dataCentres: ["leon-feria", "qro-arena"],
    daemonsPerDataCentre: 2,
    workersPerDataCentre: 2,
    workersPerRack: 1,
    upstreamsPerDataCentre: 1,
    capacity: { cpuMillis: 4_000, memoryMib: 8_192, accelerators: 1 },
    settings: {},
    limits: {},
    maxDelayMs: 2,
    broken: undefined,
};

/** A daemon of the cell. */
export interface CellDaemon {
    readonly vmId: string;
    readonly dataCentre: string;
    readonly node: Node;
    readonly gate: Gate;
}

/** One end of a link: a VM's id, or the platform. */
export type Place = string;
/** The platform's end of a link. */
export const platformPlace: Place = "platform";

/** Nodes, machines and the network between them, under a test's control. */
export interface Cell {
    readonly clock: FakeClock;
    readonly random: Random;
    readonly platform: Platform;
    daemons(): readonly CellDaemon[];
    daemon(vmId: string): CellDaemon;
    worker(workerId: string): WorkerStandIn;
    workers(): readonly WorkerStandIn[];
    upstream(upstreamId: string): UpstreamStandIn;
    /** Starts all daemons and waits until they are ready. */
    start(): Promise<void>;
    /** Cuts the link between two places, both ways. */
    cut(one: Place, other: Place): void;
    heal(one: Place, other: Place): void;
    /** Makes each message between two places late by this much; 0 heals it. */
    slow(one: Place, other: Place, delayMs: number): void;
    healAll(): void;
    pause(vmId: string): void;
    resume(vmId: string): void;
    /** Kills the process; its VM is gone from the list where `vmGone` says so. */
    kill(vmId: string, vmGone: boolean): void;
    /** A new process on the same VM, after a kill. */
    restart(vmId: string): void;
    /** A new VM in a data centre. */
    addDaemon(vmId: string, dataCentre: string): void;
    killWorker(workerId: string): void;
    advance(byMs: number): Promise<void>;
    /** Advances until the condition holds; fails after the limit. */
    until(what: string, limitMs: number, holds: () => boolean | Promise<boolean>): Promise<void>;
    executions(): readonly Execution[];
    overcommits(): number;
    /** Log lines of all daemons, newest last. */
    readonly lines: readonly string[];
    /** Sum of a counter over all daemons. */
    total(name: string): number;
}

const callTimeoutMs = 2_000;
const stepMs = 25;
const readyLimitMs = 30_000;

const countingMeter = (totals: Map<string, number>): Meter => ({
    count: (name, by = 1) => {
        totals.set(name, (totals.get(name) ?? 0) + by);
    },
    record: () => {},
    total: name => totals.get(name) ?? 0,
    percentile: () => 0,
});

/**
 * Makes a cell; nothing runs before `start`.
 *
 * @example
 * const cell = createCell(defaultCellOptions);
 * await cell.start();
 */
export const createCell = (options: CellOptions): Cell => {
    const clock = createFakeClock();
    const random = createSeededRandom(options.seed);
    const platform = createPlatform(clock, random, { ...defaultPlatformLimits, ...options.limits });
    const cuts = new Set<string>();
    const daemons = new Map<string, CellDaemon>();
    const workers = new Map<string, WorkerStandIn>();
    const deadWorkers = new Set<string>();
    const upstreams = new Map<string, UpstreamStandIn>();
    const vms = new Map<string, Vm>();
    const lines: string[] = [];
    const totals = new Map<string, number>();

    const linkOf = (one: Place, other: Place): string => [one, other].sort().join("|");
    const isCut = (one: Place, other: Place): boolean => cuts.has(linkOf(one, other));
    const slowed = new Map<string, number>();
    const delay = (one: Place, other: Place): Promise<void> =>
        sleep(clock, random.next() * options.maxDelayMs + (slowed.get(linkOf(one, other)) ?? 0));

    /** One call over the network: either way may take a while, or be cut; silence ends at the caller's limit. */
    const send = async <T>(
        from: Gate,
        fromId: string,
        toId: Place,
        effect: () => Promise<T>,
        timeoutMs = callTimeoutMs,
    ): Promise<T | "silence"> => {
        await from.pass();
        const answer = async (): Promise<T | "silence"> => {
            await delay(fromId, toId);
            if (isCut(fromId, toId)) {
                return new Promise(() => {});
            }
            const result = await effect();
            await delay(fromId, toId);
            return isCut(fromId, toId) ? new Promise(() => {}) : result;
        };
        const result = await Promise.race([answer(), sleep(clock, timeoutMs).then(() => "silence" as const)]);
        await from.pass();
        return result;
    };

    const reachable = async <T>(
        from: Gate,
        fromId: string,
        toId: Place,
        effect: () => Promise<T>,
        timeoutMs = callTimeoutMs,
    ): Promise<T> => {
        const result = await send(from, fromId, toId, effect, timeoutMs);
        return result === "silence" ? die("unavailable", `${toId} does not answer`) : result;
    };

    const tableFor = (gate: Gate, vmId: string): TableStore => ({
        read: keys => reachable(gate, vmId, platformPlace, () => platform.table.read(keys)),
        scan: prefix => reachable(gate, vmId, platformPlace, () => platform.table.scan(prefix)),
        transact: async transaction => {
            const result = await send(gate, vmId, platformPlace, () => platform.table.transact(transaction));
            return result === "silence" ? { outcome: "unknown" } : result;
        },
    });

    const vmListFor = (gate: Gate, vmId: string): VmList => ({
        list: () => reachable(gate, vmId, platformPlace, () => platform.vmList.list()),
    });

    const workerAt = (workerId: string): WorkerStandIn => {
        const worker = workers.get(workerId);
        return worker === undefined || deadWorkers.has(workerId) || worker.faults().unreachable
            ? die("unavailable", `worker ${workerId} does not answer`)
            : worker;
    };

    const workersFor = (gate: Gate, vmId: string): WorkerPort => ({
        start: async (address, order) => {
            try {
                const result = await send(gate, vmId, address, async () => {
                    const worker = workerAt(address);
                    const outcome = worker.start(order);
                    return worker.faults().losesStartReply ? "unknown" as const : outcome;
                });
                return result === "silence" ? "unknown" : result;
            }
            catch {
                return "refused";
            }
        },
        poll: (address, poll) =>
            reachable(gate, vmId, address, () => workerAt(address).poll(poll), poll.waitMs + callTimeoutMs),
        stop: (address, orders) => reachable(gate, vmId, address, async () => workerAt(address).stop(orders)),
        throttle: (address, attemptId, cpuMillis) =>
            reachable(gate, vmId, address, async () => workerAt(address).throttle(attemptId, cpuMillis)),
    });

    const upstreamsFor = (gate: Gate, vmId: string): UpstreamPort => ({
        status: address =>
            reachable(
                gate,
                vmId,
                address,
                async () =>
                    upstreams.get(address)?.status() ?? die("unavailable", `upstream ${address} does not answer`),
            ),
    });

    const peersFor = (gate: Gate, vmId: string): PeerPort => ({
        call: async (address, name, input) => {
            const result = await send(gate, vmId, address, async () => {
                const peer = daemons.get(address);
                if (peer === undefined || peer.gate.dead()) {
                    return die("unavailable", `peer ${address} is out of reach`);
                }
                await peer.gate.pass();
                const output = await peer.node.handlers[name](structuredClone(input) as never) as never;
                await peer.gate.pass();
                return structuredClone(output);
            });
            return result === "silence" ? die("mayHaveRun", `peer ${address} did not answer`) : result;
        },
    });

    const logFor = (vmId: string): Log => ({
        write: (level, event, fields) => {
            lines.push(`${clock.monotonicMs().toFixed(1)} ${vmId} ${level} ${event} ${JSON.stringify(fields)}`);
        },
    });

    const launch = (vmId: string, dataCentre: string): void => {
        const gate = createGate(clock);
        const ports: NodePorts = {
            table: tableFor(gate, vmId),
            objects: platform.objects,
            vmList: vmListFor(gate, vmId),
            workers: workersFor(gate, vmId),
            upstreams: upstreamsFor(gate, vmId),
            peers: peersFor(gate, vmId),
            clock: gate.clock,
            random,
            log: logFor(vmId),
            meter: countingMeter(totals),
        };
        const broken = breakPart(options.broken, ports);
        const settings = { ...defaultNodeSettings, ...options.settings, ...broken.settings, vmId, dataCentre };
        const node = createNode(settings, broken.ports);
        daemons.set(vmId, { vmId, dataCentre, node, gate });
        void node.start(vmId);
    };

    const addVm = (vm: Vm): void => {
        vms.set(vm.vmId, vm);
    };

    const addMachines = (dataCentre: string): void => {
        for (let index = 0; index < options.workersPerDataCentre; index += 1) {
            const vmId = `${dataCentre}-w${index}`;
            const rack = `r${Math.floor(index / options.workersPerRack)}`;
            workers.set(vmId, createWorker(clock, vmId, options.capacity));
            addVm({
                vmId,
                role: "worker",
                dataCentre,
                address: vmId,
                leaving: false,
                rack,
                capacity: options.capacity,
            });
        }
        for (let index = 0; index < options.upstreamsPerDataCentre; index += 1) {
            const vmId = `${dataCentre}-u${index}`;
            upstreams.set(vmId, createUpstream(clock, vmId));
            addVm({ vmId, role: "upstream", dataCentre, address: vmId, leaving: false, service: "mesa-comun" });
        }
    };

    const entryVm = (vmId: string, dataCentre: string): Vm => ({
        vmId,
        role: "entry",
        dataCentre,
        address: vmId,
        leaving: false,
    });

    const find = (vmId: string): CellDaemon => daemons.get(vmId) ?? die("notFound", `there is no daemon ${vmId}`);

    const until = async (what: string, limitMs: number, holds: () => boolean | Promise<boolean>): Promise<void> => {
        for (let passedMs = 0; passedMs < limitMs; passedMs += stepMs) {
            // Asked outside of the clock's own steps, a condition that calls a node needs time to pass for its answer.
            const answer = Promise.resolve(holds());
            await clock.advance(stepMs);
            if (await Promise.race([answer, Promise.resolve(false)])) {
                return;
            }
        }
        die("internal", `${what}: not within ${limitMs} ms`);
    };

    return {
        clock,
        random,
        platform,
        lines,
        daemons: () => [...daemons.values()],
        daemon: find,
        worker: workerId => workers.get(workerId) ?? die("notFound", `there is no worker ${workerId}`),
        workers: () => [...workers.values()],
        upstream: upstreamId => upstreams.get(upstreamId) ?? die("notFound", `there is no upstream ${upstreamId}`),
        start: async () => {
            const entries: Vm[] = [];
            for (const dataCentre of options.dataCentres) {
                addMachines(dataCentre);
                for (let index = 0; index < options.daemonsPerDataCentre; index += 1) {
                    entries.push(entryVm(`${dataCentre}-e${index}`, dataCentre));
                }
            }
            platform.setVms([...vms.values(), ...entries]);
            for (const vm of entries) {
                launch(vm.vmId, vm.dataCentre);
            }
            const workerTotal = options.workersPerDataCentre * options.dataCentres.length;
            await until("the cell is ready", readyLimitMs, () => {
                const live = [...daemons.values()].flatMap(each => each.node.ready() ? [each] : []);
                const views = totals.get("workerPolls") ?? 0;
                return live.length === entries.length && views >= workerTotal;
            });
            await clock.advance(1_000);
        },
        cut: (one, other) => {
            cuts.add(linkOf(one, other));
        },
        heal: (one, other) => {
            cuts.delete(linkOf(one, other));
        },
        slow: (one, other, delayMs) => {
            slowed.set(linkOf(one, other), delayMs);
        },
        healAll: () => {
            cuts.clear();
            slowed.clear();
        },
        pause: vmId => find(vmId).gate.pause(),
        resume: vmId => find(vmId).gate.resume(),
        kill: (vmId, vmGone) => {
            find(vmId).gate.kill();
            if (vmGone) {
                platform.removeVms([vmId]);
            }
        },
        restart: vmId => launch(vmId, find(vmId).dataCentre),
        addDaemon: (vmId, dataCentre) => {
            platform.setVms([entryVm(vmId, dataCentre)]);
            launch(vmId, dataCentre);
        },
        killWorker: workerId => {
            deadWorkers.add(workerId);
            workers.get(workerId)?.kill();
            platform.removeVms([workerId]);
        },
        advance: clock.advance,
        until,
        executions: () => [...workers.values()].flatMap(worker => worker.executions()),
        overcommits: () => [...workers.values()].reduce((sum, worker) => sum + worker.overcommits(), 0),
        total: name => totals.get(name) ?? 0,
    };
};
