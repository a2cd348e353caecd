/**
 * In-memory fake of the platform's VM calls: upkeep that ends the incarnation of a VM's worker, a fencing token for each VM, and
 * records of both for checks.
 */

import { type Clock, die, type UpkeepOutcome, upkeepOutcomes, type VmPort, vmStates } from "puffinarch";
import type { FakeFencedWorkers } from "./fencedWorkers.js";

/**
 * Faults of the calls. `late`, `veryLate`: an order gets no answer and is carried out after 1 or 12 s. `lost`: an order gets no
 * answer and is never carried out. `silent`: as `lost`, and the list of VMs is not answered either.
 */
export const vmFaults = ["none", "late", "veryLate", "lost", "silent"] as const;
/** One of `vmFaults`. */
export type VmFault = (typeof vmFaults)[number];

/** Record of an upkeep that began. */
export interface UpkeepEvidence {
    readonly vmId: string;
    readonly wave: number;
    readonly atMs: number;
    /** Other VMs that were in upkeep at that time. */
    readonly othersDown: number;
    /** Number of runs on the VM's worker that the upkeep ended. */
    readonly interruptedRuns: number;
}

/** The fake VMs with their call port, records and fault injection. */
export interface FakeVms {
    readonly port: VmPort;
    /** Every upkeep that began, in that order. */
    readonly evidence: readonly UpkeepEvidence[];
    /** Orders that were carried out with a lower fencing token than an earlier one; filled where tokens are not checked. */
    readonly staleOrders: readonly string[];
    setFault(fault: VmFault): void;
    /** Whether no fault is set. */
    isFaultFree(): boolean;
}

const answerMs = 4;
const unansweredMs = 1_500;
const lateDelaysMs: Readonly<Partial<Record<VmFault, number>>> = { late: 1_000, veryLate: 12_000 };
/** How long a VM is down for its upkeep. */
export const upkeepMs = 2_000;

interface FakeVm {
    readonly vmId: string;
    state: "up" | "upkeep";
    workerId: string;
    token: number;
    readonly waves: Set<number>;
}

/**
 * Creates a VM for each worker; the VM of "worker-1" is "vm-1".
 *
 * @example
 * const vms = createFakeVms({ clock, workers, startNextWorker: vmId => newWorkerIdOn(vmId) });
 */
export const createFakeVms = ({ clock, workers, startNextWorker, checksTokens = true, keepsIds = false }: {
    readonly clock: Clock;
    readonly workers: FakeFencedWorkers;
    /** Whether orders with a lower fencing token than the VM has seen are refused. */
    readonly checksTokens?: boolean;
    /** Whether the worker that starts after an upkeep keeps the ID of the previous one. */
    readonly keepsIds?: boolean;
    /** Starts the worker of a VM whose upkeep is over; receives the previous worker's ID and returns the new one's. */
    readonly startNextWorker: (vmId: string, workerId: string) => string;
}): FakeVms => {
    const vms = new Map<string, FakeVm>();
    const evidence: UpkeepEvidence[] = [];
    const staleOrders: string[] = [];
    let fault: VmFault = "none";
    for (const workerId of workers.workerIds()) {
        const vmId = workerId.replace("worker", "vm");
        vms.set(vmId, { vmId, state: vmStates.up, workerId, token: 0, waves: new Set() });
    }

    const wait = (delayMs: number): Promise<void> =>
        new Promise(resolve => {
            clock.setTimer(delayMs, resolve);
        });

    const carryOut = (vmId: string, wave: number, token: number): UpkeepOutcome => {
        const vm = vms.get(vmId);
        if (vm === undefined) {
            return upkeepOutcomes.invalid;
        }
        if (token < vm.token) {
            if (checksTokens) {
                return upkeepOutcomes.fenced;
            }
            staleOrders.push(`${vmId}: ${token} after ${vm.token}`);
        }
        vm.token = Math.max(token, vm.token);
        if (vm.waves.has(wave)) {
            return upkeepOutcomes.done;
        }
        if (vm.state !== vmStates.up) {
            return upkeepOutcomes.busy;
        }
        const othersDown = [...vms.values()].filter(other => other.state !== vmStates.up).length;
        const { workerId } = vm;
        const interruptedRuns =
            workers.evidence.filter(run => run.workerId === workerId && run.endedAtMs === undefined).length;
        evidence.push({ vmId, wave, atMs: clock.monotonicMs(), othersDown, interruptedRuns });
        vm.waves.add(wave);
        vm.state = vmStates.upkeep;
        if (keepsIds) {
            workers.goDown(workerId);
        }
        else {
            workers.crash(workerId);
        }
        clock.setTimer(upkeepMs, () => {
            vm.state = vmStates.up;
            vm.workerId = startNextWorker(vmId, workerId);
        });
        return upkeepOutcomes.done;
    };

    return {
        evidence,
        staleOrders,
        isFaultFree: () => fault === "none",
        setFault: next => {
            fault = next;
        },
        port: {
            list: async () => {
                await wait(answerMs);
                return fault === "silent"
                    ? die("unavailable", "the list was not answered")
                    : [...vms.values()].map(({ vmId, state, workerId }) => ({ vmId, state, workerId }));
            },
            upkeep: async ({ vmId, wave, fencingToken }) => {
                if (fault === "none") {
                    await wait(answerMs);
                    return carryOut(vmId, wave, fencingToken);
                }
                const delayMs = lateDelaysMs[fault];
                if (delayMs !== undefined) {
                    clock.setTimer(delayMs, () => carryOut(vmId, wave, fencingToken));
                }
                await wait(unansweredMs);
                return upkeepOutcomes.unknown;
            },
        },
    };
};
