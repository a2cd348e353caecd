/** Stand-ins for the VMs under the workers: upkeep that ends an incarnation, fencing tokens for each VM, and the evidence of both. */

import { type Clock, die, type UpkeepOutcome, upkeepOutcomes, type VmPort, vmStates } from "puffinarch";
import type { FakeFencedWorkers } from "./fencedWorkers.js";

/**
 * What can be wrong with the calls. `late`, `veryLate`: an order gets no answer and is carried out 1 or 12 s after; `lost`:
 * it never is.
 */
export const vmFaults = ["none", "late", "veryLate", "lost", "silent"] as const;
/** One of `vmFaults`. */
export type VmFault = (typeof vmFaults)[number];

/** An upkeep that began, for the evidence. */
export interface UpkeepEvidence {
    readonly vmId: string;
    readonly wave: number;
    readonly atMs: number;
    /** Others that were down for the same wave. */
    readonly othersDown: number;
    /** Runs that it cut off. */
    readonly cutRuns: number;
}

/** The stand-ins. */
export interface FakeVms {
    readonly port: VmPort;
    readonly evidence: readonly UpkeepEvidence[];
    /** Orders that came with a lower token than the VM had seen, where none are refused. */
    readonly outOfTurn: readonly string[];
    setFault(fault: VmFault): void;
    /** Whether nothing is wrong with orders and lists. */
    isSound(): boolean;
}

const answerMs = 4;
const unansweredMs = 1_500;
const lateMs: Readonly<Partial<Record<VmFault, number>>> = { late: 1_000, veryLate: 12_000 };
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
 * Makes a VM under each worker; the VM of "worker-1" is "vm-1".
 *
 * @example
 * const vms = createFakeVms({ clock, workers, renew: vmId => newWorkerIdOn(vmId) });
 */
export const createFakeVms = ({ clock, workers, renew, checksTokens = true, keepsIds = false }: {
    readonly clock: Clock;
    readonly workers: FakeFencedWorkers;
    readonly checksTokens?: boolean;
    /** Whether the worker that starts after an upkeep has the ID of the one before. */
    readonly keepsIds?: boolean;
    /** The VM is up again; gives the id of its new worker. */
    readonly renew: (vmId: string, workerId: string) => string;
}): FakeVms => {
    const vms = new Map<string, FakeVm>();
    const evidence: UpkeepEvidence[] = [];
    const outOfTurn: string[] = [];
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
            outOfTurn.push(`${vmId}: ${token} after ${vm.token}`);
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
        const cutRuns = workers.evidence.filter(run => run.workerId === workerId && run.endedAtMs === undefined).length;
        evidence.push({ vmId, wave, atMs: clock.monotonicMs(), othersDown, cutRuns });
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
            vm.workerId = renew(vmId, workerId);
        });
        return upkeepOutcomes.done;
    };

    return {
        evidence,
        outOfTurn,
        isSound: () => fault === "none",
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
                const delayMs = lateMs[fault];
                if (delayMs !== undefined) {
                    clock.setTimer(delayMs, () => carryOut(vmId, wave, fencingToken));
                }
                await wait(unansweredMs);
                return upkeepOutcomes.unknown;
            },
        },
    };
};
