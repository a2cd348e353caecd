/**
 * Carries out upkeep waves, which are planned maintenance of VMs: each VM of a wave is cordoned, evacuated and then ordered to begin
 * its upkeep, with a limited number of VMs down at once and before the deadline of the wave. Orders are idempotent on the platform,
 * so an order without an answer is sent again. Begun VMs are stored durably, so that a successor does not evacuate them again.
 */

import type { Clock, Log, Meter } from "../../types/ports.js";
import {
    type UpkeepOutcome,
    upkeepOutcomes,
    type UpkeepWave,
    type VmEntry,
    type VmPort,
    vmStates,
    type WaveState,
    waveStates,
} from "../../types/upkeep.js";
import { failureOf } from "../../utils/errors.js";
import { sleep } from "../../utils/time.js";
import { mayGoDown, runsToMove } from "./evacuate.js";
import { isOtherIncarnation } from "./incarnations.js";
import type { ShardRun } from "./jobModel.js";
import type { WaveRecord, WaveRows } from "./waveRows.js";
import type { ShardWorker } from "./workerTable.js";

/** Dependencies of the upkeep waves. */
export interface UpkeepOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly port: VmPort;
    readonly holderId: string;
    readonly fencingToken: number;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly stop: (run: ShardRun) => void;
    /** Called when the worker's incarnation is over. */
    readonly onIncarnationEnded: (workerId: string) => void;
    /**
     * For this long after the claim, a VM that a former owner may have ordered is left alone, unless it is listed in upkeep, since
     * an order of the former owner may still arrive. 0 if the platform rejects lower fencing tokens.
     */
    readonly staleOrderWindowMs: number;
    readonly rows: Pick<WaveRows, "read" | "record" | "show">;
}

/** Carries out upkeep waves while this daemon owns the shard. */
export interface Upkeep {
    /** Sets the waves that the operator requests; waves that are no longer among them are withdrawn. */
    update(waves: readonly UpkeepWave[]): void;
    close(): void;
}

/**
 * Interval between listings of the VMs while orders are left to be sent. The platform allows 60 listings a second over all of its
 * clients.
 */
const listingIntervalMs = 300;
/**
 * Interval between listings while only the return of ordered VMs is awaited. Looks at their workers usually detect new incarnations
 * earlier.
 */
const returnListingIntervalMs = 1_500;
/**
 * Time for which an ordered VM counts as down when the deadline is divided among the remaining VMs; it takes about 2 s. The value is
 * rounded up, since interrupted work costs less than a late wave.
 */
const expectedDowntimeMs = 2_500;
/** Bounds of the time for which a VM is evacuated before tasks that still run there are interrupted. */
const minEvacuationMs = 1_200;
const maxEvacuationMs = 8_000;
/** A VM that has been missing from the listings for this long has left the platform. */
const absentGraceMs = 4_000;
/** Time after which an order is sent again if it may not have been carried out. */
const orderResendMs = 600;
/**
 * Maximum time between the start of the conditional write that proves the ownership and the order. A successor that claims the shard
 * after that write finds the VM recorded as possibly ordered, and a process that was suspended in between sends no order.
 */
const ownershipProofMs = 300;

/** Phases of a VM in a wave. */
const phases = {
    waiting: "waiting",
    /** Cordoned; the tasks that run there end or are moved. */
    evacuating: "evacuating",
    /** A former owner may have ordered it, and that order may still arrive. */
    possiblyOrdered: "possiblyOrdered",
    /** The order was sent and may have been carried out. */
    ordered: "ordered",
    /** The platform has confirmed that the upkeep began. */
    begun: "begun",
    /** The VM has left the platform and needs no upkeep. */
    gone: "gone",
} as const;

/** Progress of one VM of a wave. */
interface VmProgress {
    readonly vmId: string;
    phase: (typeof phases)[keyof typeof phases];
    /** Local time at which its present phase began. */
    sinceMs: number;
    /** The worker on the VM, whose incarnation the order ends, and when that incarnation began if known. */
    workerId: string;
    bornAtMs: number | undefined;
    /** Local time of the first listing that lacked the VM; undefined while it is listed. */
    absentSinceMs: number | undefined;
    /** Whether the VM is, or may be, down for this wave. */
    down: boolean;
}

/** A requested wave and the progress of its VMs. */
interface OpenWave {
    readonly wave: UpkeepWave;
    /** Local time at which this owner received the request. */
    readonly receivedAtMs: number;
    readonly vms: readonly VmProgress[];
    /** State that was last reported to the operator; undefined before the first report. */
    reportedState: WaveState | undefined;
    /** Number of begun VMs in the record that was stored last. */
    savedBegunCount: number;
    /** VMs that may have been ordered, as in `WaveRecord`. */
    readonly ordered: Map<string, number>;
}

const isSettled = ({ phase }: VmProgress): boolean => phase === phases.begun || phase === phases.gone;

/**
 * Starts to carry out upkeep waves.
 *
 * @example
 * const upkeep = startUpkeep({ clock, log, meter, port, holderId, fencingToken, workers, stop, onIncarnationEnded, staleOrderWindowMs: 0, rows });
 * upkeep.update(waves);
 */
export const startUpkeep = (options: UpkeepOptions): Upkeep => {
    const { clock, log, meter, port, holderId, fencingToken, workers } = options;
    const open = new Map<number, OpenWave>();
    let running = false;
    let closed = false;
    /** Records of former owners, read when the first wave is requested; most owners never receive one. */
    let storedRecords: Promise<ReadonlyMap<number, WaveRecord>> | undefined;
    const claimedAtMs = clock.monotonicMs();

    const setPhase = (progress: VmProgress, phase: VmProgress["phase"]): void => {
        progress.phase = phase;
        progress.sinceMs = clock.monotonicMs();
    };

    /** Cordons or uncordons a worker. */
    const cordon = (workerId: string, cordoned: boolean): void => {
        const worker = workers.get(workerId);
        if (worker !== undefined) {
            worker.cordoned = cordoned;
        }
    };

    const begunOf = ({ vms }: OpenWave): ReadonlySet<string> =>
        new Set(vms.filter(vm => vm.phase === phases.begun).map(vm => vm.vmId));

    /** Records durably that the VM may be ordered from now on; false if the order must not be sent. */
    const recordOrderIntent = async (openWave: OpenWave, { vmId }: VmProgress): Promise<boolean> => {
        const askedAtMs = clock.monotonicMs();
        openWave.ordered.set(vmId, fencingToken);
        const record = { begun: begunOf(openWave), ordered: openWave.ordered };
        const recorded = await options.rows.record(openWave.wave.number, record);
        return recorded && !closed && clock.monotonicMs() - askedAtMs <= ownershipProofMs;
    };

    const sendOrder = async (progress: VmProgress, wave: number): Promise<UpkeepOutcome> => {
        if (progress.phase !== phases.ordered) {
            // Not updated when an order is sent again, since the VM may already be back with its next incarnation.
            progress.bornAtMs = workers.get(progress.workerId)?.bornAtMs;
        }
        setPhase(progress, phases.ordered);
        progress.down = true;
        meter.count("upkeepOrders");
        const outcome = await port.upkeep({ vmId: progress.vmId, wave, holderId, fencingToken });
        log.write(outcome === upkeepOutcomes.done ? "info" : "warn", "upkeepOrdered", {
            wave,
            target: progress.vmId,
            workerId: progress.workerId,
            outcome,
        });
        return outcome;
    };

    /** Phase changes for each outcome of an order. */
    const outcomeHandlers: Readonly<Record<UpkeepOutcome, (progress: VmProgress) => void>> = {
        done: progress => setPhase(progress, phases.begun),
        busy: progress => {
            progress.down = false;
            setPhase(progress, phases.evacuating);
        },
        invalid: progress => {
            progress.down = false;
            cordon(progress.workerId, false);
            setPhase(progress, phases.gone);
        },
        fenced: () => {
            closed = true;
        },
        // The upkeep may begin or have begun: the VM counts as down, and the order is sent again.
        refused: () => {},
        unknown: () => {},
    };

    /** Whether the VM has another worker, or a later incarnation of the same one. */
    const hasNextIncarnation = ({ workerId, bornAtMs }: VmProgress, vm: VmEntry): boolean =>
        workerId !== "" && vm.workerId !== ""
        && (vm.workerId !== workerId || isOtherIncarnation(bornAtMs, workers.get(workerId)?.bornAtMs));

    /** Applies a listing of the VMs, requested at `askedAtMs`, to the progress of one VM. */
    const applyListing = (progress: VmProgress, vm: VmEntry | undefined, askedAtMs: number): void => {
        const nowMs = clock.monotonicMs();
        if (vm === undefined) {
            progress.absentSinceMs ??= nowMs;
            if (!isSettled(progress) && nowMs - progress.absentSinceMs > absentGraceMs) {
                progress.down = false;
                setPhase(progress, phases.gone);
            }
            return;
        }
        progress.absentSinceMs = undefined;
        if (progress.phase === phases.possiblyOrdered) {
            if (vm.state === vmStates.upkeep) {
                setPhase(progress, phases.begun);
            }
            else if (nowMs - claimedAtMs > options.staleOrderWindowMs) {
                setPhase(progress, phases.waiting);
            }
        }
        if (
            progress.down && askedAtMs > progress.sinceMs && vm.state === vmStates.up
            && hasNextIncarnation(progress, vm)
        ) {
            if (vm.workerId !== progress.workerId) {
                options.onIncarnationEnded(progress.workerId);
            }
            progress.down = false;
        }
        if (progress.phase === phases.waiting || progress.phase === phases.evacuating) {
            progress.workerId = vm.workerId;
        }
    };

    /** Time for the evacuation of each VM, so that all of the wave's remaining VMs begin before its deadline. */
    const evacuationLimitMs = ({ wave, receivedAtMs, vms }: OpenWave): number => {
        const left = vms.filter(vm => !isSettled(vm)).length;
        const rounds = Math.max(1, Math.ceil(left / wave.atOnce));
        const leftMs = receivedAtMs + wave.deadlineMs - clock.monotonicMs();
        return Math.min(maxEvacuationMs, Math.max(minEvacuationMs, leftMs / (rounds + 1) - expectedDowntimeMs));
    };

    /**
     * Stops the runs that can be moved off the VM; true once it may be ordered: nothing runs there, or the time for the evacuation is over
     * and the runs that are left may be interrupted.
     */
    const evacuate = (progress: VmProgress, evacuationMs: number): boolean => {
        // The worker may have restarted and lost its cordon.
        cordon(progress.workerId, true);
        const worker = workers.get(progress.workerId);
        if (worker === undefined || worker.runs.size === 0) {
            return true;
        }
        const nowMs = clock.monotonicMs();
        for (const run of runsToMove(worker, nowMs)) {
            log.write("info", "evacuated", {
                task: run.task.name,
                run: run.run,
                workerId: worker.workerId,
                for: "upkeep",
            });
            options.stop(run);
        }
        return nowMs - progress.sinceMs > evacuationMs && mayGoDown(worker);
    };

    /** Includes VMs that are down because of a former owner's order. */
    const isDown = ({ vmId, down }: VmProgress, vms: ReadonlyMap<string, VmEntry>): boolean =>
        down || vms.get(vmId)?.state === vmStates.upkeep;

    const advance = async (openWave: OpenWave, vms: ReadonlyMap<string, VmEntry>): Promise<void> => {
        const { wave } = openWave;
        const evacuationMs = evacuationLimitMs(openWave);
        // The next VMs are evacuated while the current ones are down.
        const ahead = openWave.vms.filter(vm => vm.phase === phases.evacuating).length;
        const next = openWave.vms.filter(vm => vm.phase === phases.waiting).slice(0, Math.max(0, wave.atOnce - ahead));
        for (const progress of next) {
            setPhase(progress, phases.evacuating);
            cordon(progress.workerId, true);
        }
        for (const progress of openWave.vms) {
            if (open.get(wave.number) !== openWave) {
                // The wave was withdrawn while an order was in flight.
                return;
            }
            const nowMs = clock.monotonicMs();
            const resend = progress.phase === phases.ordered && nowMs - progress.sinceMs > orderResendMs;
            const isUp = vms.get(progress.vmId)?.state === vmStates.up;
            const ready = progress.phase === phases.evacuating && isUp && evacuate(progress, evacuationMs);
            const down = openWave.vms.filter(vm => vm !== progress && isDown(vm, vms)).length;
            if (closed || !resend && !ready || down >= wave.atOnce || !await recordOrderIntent(openWave, progress)) {
                continue;
            }
            outcomeHandlers[await sendOrder(progress, wave.number)](progress);
        }
    };

    const report = async (openWave: OpenWave): Promise<void> => {
        const { wave, vms } = openWave;
        const state = vms.every(isSettled) ? waveStates.completed : waveStates.running;
        const begun = begunOf(openWave);
        if (openWave.reportedState === state && openWave.savedBegunCount === begun.size) {
            return;
        }
        const { rows } = options;
        const recorded = begun.size === 0 || await rows.record(wave.number, { begun, ordered: openWave.ordered });
        if (recorded && await rows.show(wave.number, state)) {
            openWave.savedBegunCount = begun.size;
            openWave.reportedState = state;
            log.write("info", "waveReported", { wave: wave.number, state, begun: begun.size, of: vms.length });
        }
    };

    const runCycle = async (): Promise<void> => {
        const askedAtMs = clock.monotonicMs();
        const vms = new Map((await port.list()).map(vm => [vm.vmId, vm]));
        for (const openWave of open.values()) {
            for (const progress of openWave.vms) {
                applyListing(progress, vms.get(progress.vmId), askedAtMs);
            }
            await advance(openWave, vms);
            await report(openWave);
        }
    };

    const isOver = ({ reportedState, vms }: OpenWave): boolean =>
        reportedState === waveStates.completed && vms.every(vm => !vm.down);

    const runLoop = async (): Promise<void> => {
        while (!closed && [...open.values()].some(openWave => !isOver(openWave))) {
            try {
                await runCycle();
            }
            catch (error) {
                log.write("warn", "upkeepDelayed", { reason: failureOf(error).message });
            }
            const ordersLeft = [...open.values()].some(({ vms }) => !vms.every(isSettled));
            await sleep(clock, ordersLeft ? listingIntervalMs : returnListingIntervalMs);
        }
        running = false;
    };

    const withdraw = (number: number): void => {
        log.write("info", "waveWithdrawn", { wave: number });
        for (const progress of open.get(number)?.vms ?? []) {
            // An unanswered order may never have arrived, so the VM may stay up and must be uncordoned.
            if (!isSettled(progress)) {
                cordon(progress.workerId, false);
            }
        }
        open.delete(number);
    };

    const applyWaves = async (waves: readonly UpkeepWave[]): Promise<void> => {
        storedRecords ??= options.rows.read();
        const records = await storedRecords;
        const requested = new Set(waves.map(wave => wave.number));
        for (const number of [...open.keys()].filter(known => !requested.has(known))) {
            withdraw(number);
        }
        for (const wave of waves) {
            if (open.has(wave.number)) {
                continue;
            }
            const { begun, ordered } = records.get(wave.number) ?? { begun: new Set(), ordered: new Map() };
            const nowMs = clock.monotonicMs();
            const mayArrive = options.staleOrderWindowMs > 0 && nowMs - claimedAtMs <= options.staleOrderWindowMs;
            const phaseOf = (vmId: string): VmProgress["phase"] =>
                begun.has(vmId)
                    ? phases.begun
                    : mayArrive && ordered.has(vmId)
                    ? phases.possiblyOrdered
                    : phases.waiting;
            log.write("info", "waveSeen", { ...wave, begun: begun.size, ordered: ordered.size });
            open.set(wave.number, {
                wave,
                receivedAtMs: nowMs,
                vms: wave.vmIds.map(vmId => ({
                    vmId,
                    phase: phaseOf(vmId),
                    sinceMs: nowMs,
                    workerId: "",
                    bornAtMs: undefined,
                    absentSinceMs: undefined,
                    down: false,
                })),
                reportedState: undefined,
                savedBegunCount: begun.size,
                ordered: new Map(ordered),
            });
        }
        if (!running && !closed) {
            running = true;
            await runLoop();
        }
    };

    return {
        update: waves => {
            if (waves.length === 0 && open.size === 0) {
                return;
            }
            applyWaves(waves).catch((error: unknown) => {
                log.write("error", "upkeepFailed", { reason: failureOf(error).message });
            });
        },
        close: () => {
            closed = true;
        },
    };
};
