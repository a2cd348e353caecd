/**
 * A small cell simulated in one process on a fake clock: real nodes, simulated workers, upstreams and platform, and a
 * network whose links can be cut or slowed. Tests use it to inject failures; it does not model the load or timing of
 * real machines.
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
import { createSimulatedProcess, type SimulatedProcess } from "./simulatedProcess.js";

/** Size and settings of a cell; every data centre gets the same number of machines. */
export interface CellOptions {
    readonly seed: number;
    readonly dataCentres: readonly string[];
    readonly daemonsPerDataCentre: number;
    readonly workersPerDataCentre: number;
    readonly workersPerRack: number;
    readonly upstreamsPerDataCentre: number;
    /** Capacity of each worker. */
    readonly capacity: Resources;
    /** Overrides of `defaultNodeSettings`, for every daemon. */
    readonly settings: Partial<NodeSettings>;
    /** Overrides of `defaultPlatformLimits`. */
    readonly limits: Partial<PlatformLimits>;
    /** Upper bound of the random one-way delay of a message. */
    readonly maxDelayMs: number;
    /** Part of every node's environment that is broken on purpose; `undefined` for none. */
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

/** A daemon of the cell: its node and the process that it runs in. */
export interface CellDaemon {
    readonly vmId: string;
    readonly dataCentre: string;
    readonly node: Node;
    readonly process: SimulatedProcess;
}

/** One end of a network link: the id of a VM, or `platformEndpoint`. */
export type Endpoint = string;
/** The platform as the end of a link. */
export const platformEndpoint: Endpoint = "platform";

/** Nodes, machines and the network between them, controlled by a test. */
export interface Cell {
    readonly clock: FakeClock;
    readonly random: Random;
    readonly platform: Platform;
    daemons(): readonly CellDaemon[];
    /** The daemon last started on a VM; fails with the kind `notFound`. */
    daemon(vmId: string): CellDaemon;
    /** Fails with the kind `notFound`. */
    worker(workerId: string): WorkerStandIn;
    /** All workers, including those that `killWorker` ended. */
    workers(): readonly WorkerStandIn[];
    /** Fails with the kind `notFound`. */
    upstream(upstreamId: string): UpstreamStandIn;
    /** Starts all daemons; resolves once they are ready and poll the workers, and fails with the kind `internal` after 30 s. */
    start(): Promise<void>;
    /** Drops every message between two endpoints, in both directions. */
    cut(one: Endpoint, other: Endpoint): void;
    /** Undoes `cut` for one link. */
    heal(one: Endpoint, other: Endpoint): void;
    /** Adds a delay to each message between two endpoints; 0 removes it. */
    slow(one: Endpoint, other: Endpoint, delayMs: number): void;
    /** Undoes every `cut` and `slow`. */
    healAll(): void;
    /** Pauses a daemon's process, as SIGSTOP does. */
    pause(vmId: string): void;
    resume(vmId: string): void;
    /** Kills a daemon's process; with `vmGone` its VM also leaves the platform's list. */
    kill(vmId: string, vmGone: boolean): void;
    /** Starts a new process on the same VM, after `kill`. */
    restart(vmId: string): void;
    /** Adds an entry VM to a data centre and starts its daemon. */
    addDaemon(vmId: string, dataCentre: string): void;
    /** Ends a worker with everything that it runs, and removes its VM from the platform's list. */
    killWorker(workerId: string): void;
    /** Advances the fake clock. */
    advance(byMs: number): Promise<void>;
    /** Advances the clock until the condition is true; fails with the kind `internal`, which names `what`, after the limit. */
    until(what: string, limitMs: number, condition: () => boolean | Promise<boolean>): Promise<void>;
    /** Runs of attempts as recorded by all workers. */
    executions(): readonly Execution[];
    /** Number of starts, over all workers, that exceeded a worker's capacity. */
    overcommits(): number;
    /** Log lines of all daemons, newest last. */
    readonly logLines: readonly string[];
    /** Sum of a counter over all daemons, since the cell was created. */
    counterTotal(name: string): number;
}

const callTimeoutMs = 2_000;
const stepMs = 25;
const readyTimeoutMs = 30_000;

const createCountingMeter = (totals: Map<string, number>): Meter => ({
    count: (name, by = 1) => {
        totals.set(name, (totals.get(name) ?? 0) + by);
    },
    record: () => {},
    total: name => totals.get(name) ?? 0,
    percentile: () => 0,
});

/**
 * Creates a cell; nothing runs before `start`.
 *
 * @example
 * const cell = createCell(defaultCellOptions);
 * await cell.start();
 */
export const createCell = (options: CellOptions): Cell => {
    const clock = createFakeClock();
    const random = createSeededRandom(options.seed);
    const platform = createPlatform(clock, random, { ...defaultPlatformLimits, ...options.limits });
    const cutLinks = new Set<string>();
    const daemons = new Map<string, CellDaemon>();
    const workers = new Map<string, WorkerStandIn>();
    const deadWorkers = new Set<string>();
    const upstreams = new Map<string, UpstreamStandIn>();
    const vms = new Map<string, Vm>();
    const logLines: string[] = [];
    const counterTotals = new Map<string, number>();

    const linkKey = (one: Endpoint, other: Endpoint): string => [one, other].sort().join("|");
    const isCut = (one: Endpoint, other: Endpoint): boolean => cutLinks.has(linkKey(one, other));
    const linkDelaysMs = new Map<string, number>();
    const delay = (one: Endpoint, other: Endpoint): Promise<void> =>
        sleep(clock, random.next() * options.maxDelayMs + (linkDelaysMs.get(linkKey(one, other)) ?? 0));

    /**
     * Sends one call over the network. The request and the answer are each delayed, and dropped while the link is cut;
     * a call without an answer ends as `timeout`, and its effect may have happened or may still happen.
     */
    const send = async <T>(
        caller: SimulatedProcess,
        callerId: string,
        toId: Endpoint,
        effect: () => Promise<T>,
        timeoutMs = callTimeoutMs,
    ): Promise<T | "timeout"> => {
        await caller.untilRunning();
        const answer = async (): Promise<T | "timeout"> => {
            await delay(callerId, toId);
            if (isCut(callerId, toId)) {
                return new Promise(() => {});
            }
            const result = await effect();
            await delay(callerId, toId);
            return isCut(callerId, toId) ? new Promise(() => {}) : result;
        };
        const result = await Promise.race([answer(), sleep(clock, timeoutMs).then(() => "timeout" as const)]);
        await caller.untilRunning();
        return result;
    };

    const callOrFail = async <T>(
        caller: SimulatedProcess,
        callerId: string,
        toId: Endpoint,
        effect: () => Promise<T>,
        timeoutMs = callTimeoutMs,
    ): Promise<T> => {
        const result = await send(caller, callerId, toId, effect, timeoutMs);
        return result === "timeout" ? die("unavailable", `${toId} does not answer`) : result;
    };

    const tableFor = (daemonProcess: SimulatedProcess, vmId: string): TableStore => ({
        read: keys => callOrFail(daemonProcess, vmId, platformEndpoint, () => platform.table.read(keys)),
        scan: prefix => callOrFail(daemonProcess, vmId, platformEndpoint, () => platform.table.scan(prefix)),
        transact: async transaction => {
            const result = await send(
                daemonProcess,
                vmId,
                platformEndpoint,
                () => platform.table.transact(transaction),
            );
            return result === "timeout" ? { outcome: "unknown" } : result;
        },
    });

    const vmListFor = (daemonProcess: SimulatedProcess, vmId: string): VmList => ({
        list: () => callOrFail(daemonProcess, vmId, platformEndpoint, () => platform.vmList.list()),
    });

    const workerAt = (workerId: string): WorkerStandIn => {
        const worker = workers.get(workerId);
        return worker === undefined || deadWorkers.has(workerId) || worker.faults().unreachable
            ? die("unavailable", `worker ${workerId} does not answer`)
            : worker;
    };

    const workersFor = (daemonProcess: SimulatedProcess, vmId: string): WorkerPort => ({
        start: async (address, order) => {
            try {
                const result = await send(daemonProcess, vmId, address, async () => {
                    const worker = workerAt(address);
                    const outcome = worker.start(order);
                    return worker.faults().losesStartReply ? "unknown" as const : outcome;
                });
                return result === "timeout" ? "unknown" : result;
            }
            catch {
                return "refused";
            }
        },
        poll: (address, poll) =>
            callOrFail(daemonProcess, vmId, address, () => workerAt(address).poll(poll), poll.waitMs + callTimeoutMs),
        stop: (address, orders) => callOrFail(daemonProcess, vmId, address, async () => workerAt(address).stop(orders)),
        throttle: (address, attemptId, cpuMillis) =>
            callOrFail(daemonProcess, vmId, address, async () => workerAt(address).throttle(attemptId, cpuMillis)),
    });

    const upstreamsFor = (daemonProcess: SimulatedProcess, vmId: string): UpstreamPort => ({
        status: address =>
            callOrFail(
                daemonProcess,
                vmId,
                address,
                async () =>
                    upstreams.get(address)?.status() ?? die("unavailable", `upstream ${address} does not answer`),
            ),
    });

    const peersFor = (daemonProcess: SimulatedProcess, vmId: string): PeerPort => ({
        call: async (address, name, input) => {
            const result = await send(daemonProcess, vmId, address, async () => {
                const peer = daemons.get(address);
                if (peer === undefined || peer.process.dead()) {
                    return die("unavailable", `peer ${address} is not running`);
                }
                await peer.process.untilRunning();
                const output = await peer.node.handlers[name](structuredClone(input) as never) as never;
                await peer.process.untilRunning();
                return structuredClone(output);
            });
            return result === "timeout" ? die("mayHaveRun", `peer ${address} did not answer`) : result;
        },
    });

    const logFor = (vmId: string): Log => ({
        write: (level, event, fields) => {
            logLines.push(`${clock.monotonicMs().toFixed(1)} ${vmId} ${level} ${event} ${JSON.stringify(fields)}`);
        },
    });

    const launchDaemon = (vmId: string, dataCentre: string): void => {
        const daemonProcess = createSimulatedProcess(clock);
        const ports: NodePorts = {
            table: tableFor(daemonProcess, vmId),
            objects: platform.objects,
            vmList: vmListFor(daemonProcess, vmId),
            workers: workersFor(daemonProcess, vmId),
            upstreams: upstreamsFor(daemonProcess, vmId),
            peers: peersFor(daemonProcess, vmId),
            clock: daemonProcess.clock,
            random,
            log: logFor(vmId),
            meter: createCountingMeter(counterTotals),
        };
        const broken = breakPart(options.broken, ports);
        const settings = { ...defaultNodeSettings, ...options.settings, ...broken.settings, vmId, dataCentre };
        const node = createNode(settings, broken.ports);
        daemons.set(vmId, { vmId, dataCentre, node, process: daemonProcess });
        void node.start(vmId);
    };

    const addVm = (vm: Vm): void => {
        vms.set(vm.vmId, vm);
    };

    const addWorkersAndUpstreams = (dataCentre: string): void => {
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

    const findDaemon = (vmId: string): CellDaemon => daemons.get(vmId) ?? die("notFound", `there is no daemon ${vmId}`);

    const until = async (what: string, limitMs: number, condition: () => boolean | Promise<boolean>): Promise<void> => {
        for (let passedMs = 0; passedMs < limitMs; passedMs += stepMs) {
            // A condition that calls a node is answered only while the clock advances.
            const holds = Promise.resolve(condition());
            await clock.advance(stepMs);
            if (await Promise.race([holds, Promise.resolve(false)])) {
                return;
            }
        }
        die("internal", `${what}: condition not met within ${limitMs} ms`);
    };

    return {
        clock,
        random,
        platform,
        logLines,
        daemons: () => [...daemons.values()],
        daemon: findDaemon,
        worker: workerId => workers.get(workerId) ?? die("notFound", `there is no worker ${workerId}`),
        workers: () => [...workers.values()],
        upstream: upstreamId => upstreams.get(upstreamId) ?? die("notFound", `there is no upstream ${upstreamId}`),
        start: async () => {
            const entries: Vm[] = [];
            for (const dataCentre of options.dataCentres) {
                addWorkersAndUpstreams(dataCentre);
                for (let index = 0; index < options.daemonsPerDataCentre; index += 1) {
                    entries.push(entryVm(`${dataCentre}-e${index}`, dataCentre));
                }
            }
            platform.setVms([...vms.values(), ...entries]);
            for (const vm of entries) {
                launchDaemon(vm.vmId, vm.dataCentre);
            }
            const workerTotal = options.workersPerDataCentre * options.dataCentres.length;
            await until("the cell is ready", readyTimeoutMs, () => {
                const readyDaemons = [...daemons.values()].flatMap(each => each.node.ready() ? [each] : []);
                const polls = counterTotals.get("workerPolls") ?? 0;
                return readyDaemons.length === entries.length && polls >= workerTotal;
            });
            await clock.advance(1_000);
        },
        cut: (one, other) => {
            cutLinks.add(linkKey(one, other));
        },
        heal: (one, other) => {
            cutLinks.delete(linkKey(one, other));
        },
        slow: (one, other, delayMs) => {
            linkDelaysMs.set(linkKey(one, other), delayMs);
        },
        healAll: () => {
            cutLinks.clear();
            linkDelaysMs.clear();
        },
        pause: vmId => findDaemon(vmId).process.pause(),
        resume: vmId => findDaemon(vmId).process.resume(),
        kill: (vmId, vmGone) => {
            findDaemon(vmId).process.kill();
            if (vmGone) {
                platform.removeVms([vmId]);
            }
        },
        restart: vmId => launchDaemon(vmId, findDaemon(vmId).dataCentre),
        addDaemon: (vmId, dataCentre) => {
            platform.setVms([entryVm(vmId, dataCentre)]);
            launchDaemon(vmId, dataCentre);
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
        counterTotal: name => counterTotals.get(name) ?? 0,
    };
};
