/**
 * Waves of upkeep: each VM of a wave is closed to new tasks, emptied, and given its upkeep, few at once and in time. The
 * platform takes the same order again without harm, so that an order whose answer is lost is sent again; what has begun is
 * made durable, so that a successor does not empty those VMs a second time.
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
import type { ShardRun } from "./jobBook.js";
import type { WaveRecord, WaveRows } from "./waveRows.js";
import type { ShardWorker } from "./workerTable.js";

/** What waves of upkeep need. */
export interface UpkeepOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly port: VmPort;
    readonly holderId: string;
    readonly fencingToken: number;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly stop: (run: ShardRun) => void;
    /** The worker's incarnation is over. */
    readonly lose: (workerId: string) => void;
    /**
     * For how long after the claim a VM that an earlier owner may have ordered is left alone, unless it is seen in its upkeep:
     * an order of the earlier owner may still arrive. 0 where the platform refuses lower fencing tokens.
     */
    readonly settleMs: number;
    readonly rows: Pick<WaveRows, "read" | "record" | "show">;
}

/** Waves of upkeep, as long as a daemon owns the shard. */
export interface Upkeep {
    /** All waves that the operator asks for. */
    update(waves: readonly UpkeepWave[]): void;
    close(): void;
}

/** Pause between two looks at the VMs while a wave is open; the platform takes 60 listings a second from all. */
const stepMs = 300;
/** The same while the last VMs are only waited for; a worker's own look finds most new incarnations before. */
const returnStepMs = 1_500;
/** A VM that was ordered is back after some 2 s; work that is cut off costs less than a wave that is late. */
const downMs = 2_500;
const shortestPatienceMs = 1_200;
const longestPatienceMs = 8_000;
/** A VM that no listing has had for this long has left. */
const goneMs = 4_000;
/** An order that may not have been carried out is sent again after this. */
const orderAgainMs = 600;
/**
 * An order leaves within this time of the record that proves the ownership: a successor that claims after it knows that the
 * VM may have been ordered, and a process that was frozen in between sends nothing.
 */
const proofMs = 300;

/** Phases of a VM in a wave. */
const phases = {
    waiting: "waiting",
    /** Closed to new tasks; those that run end or move. */
    emptying: "emptying",
    /** An earlier owner may have ordered it, and its order may still arrive. */
    doubtful: "doubtful",
    /** The order was sent and may have been carried out. */
    ordered: "ordered",
    /** The platform has said that it began. */
    begun: "begun",
    /** It has left, and needs none. */
    gone: "gone",
} as const;

/** Where a VM of a wave stands. */
interface Progress {
    readonly vmId: string;
    phase: (typeof phases)[keyof typeof phases];
    /** Local time at which its present phase began. */
    sinceMs: number;
    /** The worker whose incarnation the order ends, and when that incarnation began as far as it is known. */
    workerId: string;
    bornAtMs: number | undefined;
    absentSinceMs: number | undefined;
    /** It is down, or may be, for this wave. */
    down: boolean;
}

interface OpenWave {
    readonly wave: UpkeepWave;
    readonly seenAtMs: number;
    readonly vms: readonly Progress[];
    reported: WaveState | undefined;
    /** Number of VMs that were begun when it was saved last. */
    saved: number;
    readonly ordered: Map<string, number>;
}

const isSettled = ({ phase }: Progress): boolean => phase === phases.begun || phase === phases.gone;

/**
 * Starts to act on waves of upkeep.
 *
 * @example
 * const upkeep = startUpkeep({ clock, log, meter, port, holderId, fencingToken, workers, stop, lose, settleMs: 0, rows });
 * upkeep.update(waves);
 */
export const startUpkeep = (options: UpkeepOptions): Upkeep => {
    const { clock, log, meter, port, holderId, fencingToken, workers } = options;
    const open = new Map<number, OpenWave>();
    let running = false;
    let closed = false;
    /** Read when the first wave comes; most owners never see one. */
    let recordsBefore: Promise<ReadonlyMap<number, WaveRecord>> | undefined;
    const claimedAtMs = clock.monotonicMs();

    const enter = (progress: Progress, phase: Progress["phase"]): void => {
        progress.phase = phase;
        progress.sinceMs = clock.monotonicMs();
    };

    /** Closes its worker to new tasks, or opens it again. */
    const cordon = (workerId: string, cordoned: boolean): void => {
        const worker = workers.get(workerId);
        if (worker !== undefined) {
            worker.cordoned = cordoned;
        }
    };

    const begunOf = ({ vms }: OpenWave): ReadonlySet<string> =>
        new Set(vms.filter(vm => vm.phase === phases.begun).map(vm => vm.vmId));

    /** Makes durable that the VM may be ordered from now on; false where the order must not be sent. */
    const announce = async (openWave: OpenWave, { vmId }: Progress): Promise<boolean> => {
        const askedAtMs = clock.monotonicMs();
        openWave.ordered.set(vmId, fencingToken);
        const record = { begun: begunOf(openWave), ordered: openWave.ordered };
        const taken = await options.rows.record(openWave.wave.number, record);
        return taken && !closed && clock.monotonicMs() - askedAtMs <= proofMs;
    };

    const order = async (progress: Progress, wave: number): Promise<UpkeepOutcome> => {
        if (progress.phase !== phases.ordered) {
            // A copy may be sent when the VM is back already.
            progress.bornAtMs = workers.get(progress.workerId)?.bornAtMs;
        }
        enter(progress, phases.ordered);
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

    /** What follows from each answer to an order. */
    const answers: Readonly<Record<UpkeepOutcome, (progress: Progress) => void>> = {
        done: progress => enter(progress, phases.begun),
        busy: progress => {
            progress.down = false;
            enter(progress, phases.emptying);
        },
        invalid: progress => {
            progress.down = false;
            cordon(progress.workerId, false);
            enter(progress, phases.gone);
        },
        fenced: () => {
            closed = true;
        },
        // It may begin, or have begun: it counts as down and is ordered again.
        refused: () => {},
        unknown: () => {},
    };

    /** Whether another worker is on the VM, or the same one has started again under its id. */
    const hasNextIncarnation = ({ workerId, bornAtMs }: Progress, vm: VmEntry): boolean =>
        workerId !== "" && vm.workerId !== ""
        && (vm.workerId !== workerId || isOtherIncarnation(bornAtMs, workers.get(workerId)?.bornAtMs));

    /** Takes in what a listing says of a VM. */
    const observe = (progress: Progress, vm: VmEntry | undefined, askedAtMs: number): void => {
        const nowMs = clock.monotonicMs();
        if (vm === undefined) {
            progress.absentSinceMs ??= nowMs;
            if (!isSettled(progress) && nowMs - progress.absentSinceMs > goneMs) {
                progress.down = false;
                enter(progress, phases.gone);
            }
            return;
        }
        progress.absentSinceMs = undefined;
        if (progress.phase === phases.doubtful) {
            if (vm.state === vmStates.upkeep) {
                enter(progress, phases.begun);
            }
            else if (nowMs - claimedAtMs > options.settleMs) {
                enter(progress, phases.waiting);
            }
        }
        if (
            progress.down && askedAtMs > progress.sinceMs && vm.state === vmStates.up
            && hasNextIncarnation(progress, vm)
        ) {
            if (vm.workerId !== progress.workerId) {
                options.lose(progress.workerId);
            }
            progress.down = false;
        }
        if (progress.phase === phases.waiting || progress.phase === phases.emptying) {
            progress.workerId = vm.workerId;
        }
    };

    const patienceOf = ({ wave, seenAtMs, vms }: OpenWave): number => {
        const left = vms.filter(vm => !isSettled(vm)).length;
        const rounds = Math.max(1, Math.ceil(left / wave.atOnce));
        const leftMs = seenAtMs + wave.deadlineMs - clock.monotonicMs();
        return Math.min(longestPatienceMs, Math.max(shortestPatienceMs, leftMs / (rounds + 1) - downMs));
    };

    const empty = (progress: Progress, patienceMs: number): boolean => {
        // It may have started again since it was closed to new tasks.
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
        return nowMs - progress.sinceMs > patienceMs && mayGoDown(worker);
    };

    /** What an earlier owner ordered may still be down. */
    const isDown = ({ vmId, down }: Progress, vms: ReadonlyMap<string, VmEntry>): boolean =>
        down || vms.get(vmId)?.state === vmStates.upkeep;

    const advance = async (openWave: OpenWave, vms: ReadonlyMap<string, VmEntry>): Promise<void> => {
        const { wave } = openWave;
        const patienceMs = patienceOf(openWave);
        // While the first ones are down, the next ones are emptied already.
        const ahead = openWave.vms.filter(vm => vm.phase === phases.emptying).length;
        const next = openWave.vms.filter(vm => vm.phase === phases.waiting).slice(0, Math.max(0, wave.atOnce - ahead));
        for (const progress of next) {
            enter(progress, phases.emptying);
            cordon(progress.workerId, true);
        }
        for (const progress of openWave.vms) {
            if (open.get(wave.number) !== openWave) {
                // It was withdrawn while an order was under way.
                return;
            }
            const nowMs = clock.monotonicMs();
            const again = progress.phase === phases.ordered && nowMs - progress.sinceMs > orderAgainMs;
            const isUp = vms.get(progress.vmId)?.state === vmStates.up;
            const ready = progress.phase === phases.emptying && isUp && empty(progress, patienceMs);
            const down = openWave.vms.filter(vm => vm !== progress && isDown(vm, vms)).length;
            if (closed || !again && !ready || down >= wave.atOnce || !await announce(openWave, progress)) {
                continue;
            }
            answers[await order(progress, wave.number)](progress);
        }
    };

    const report = async (openWave: OpenWave): Promise<void> => {
        const { wave, vms } = openWave;
        const state = vms.every(isSettled) ? waveStates.completed : waveStates.running;
        const begun = begunOf(openWave);
        if (openWave.reported === state && openWave.saved === begun.size) {
            return;
        }
        const { rows } = options;
        const recorded = begun.size === 0 || await rows.record(wave.number, { begun, ordered: openWave.ordered });
        if (recorded && await rows.show(wave.number, state)) {
            openWave.saved = begun.size;
            openWave.reported = state;
            log.write("info", "waveReported", { wave: wave.number, state, begun: begun.size, of: vms.length });
        }
    };

    const step = async (): Promise<void> => {
        const askedAtMs = clock.monotonicMs();
        const vms = new Map((await port.list()).map(vm => [vm.vmId, vm]));
        for (const openWave of open.values()) {
            for (const progress of openWave.vms) {
                observe(progress, vms.get(progress.vmId), askedAtMs);
            }
            await advance(openWave, vms);
            await report(openWave);
        }
    };

    const isOver = ({ reported, vms }: OpenWave): boolean =>
        reported === waveStates.completed && vms.every(vm => !vm.down);

    const run = async (): Promise<void> => {
        while (!closed && [...open.values()].some(openWave => !isOver(openWave))) {
            try {
                await step();
            }
            catch (error) {
                log.write("warn", "upkeepDelayed", { reason: failureOf(error).message });
            }
            const ordersLeft = [...open.values()].some(({ vms }) => !vms.every(isSettled));
            await sleep(clock, ordersLeft ? stepMs : returnStepMs);
        }
        running = false;
    };

    const withdraw = (number: number): void => {
        log.write("info", "waveWithdrawn", { wave: number });
        for (const progress of open.get(number)?.vms ?? []) {
            // An order without an answer may never have arrived.
            if (!isSettled(progress)) {
                cordon(progress.workerId, false);
            }
        }
        open.delete(number);
    };

    const begin = async (waves: readonly UpkeepWave[]): Promise<void> => {
        recordsBefore ??= options.rows.read();
        const earlier = await recordsBefore;
        const wanted = new Set(waves.map(wave => wave.number));
        for (const number of [...open.keys()].filter(known => !wanted.has(known))) {
            withdraw(number);
        }
        for (const wave of waves) {
            if (open.has(wave.number)) {
                continue;
            }
            const { begun, ordered } = earlier.get(wave.number) ?? { begun: new Set(), ordered: new Map() };
            const nowMs = clock.monotonicMs();
            const mayArrive = options.settleMs > 0 && nowMs - claimedAtMs <= options.settleMs;
            const phaseOf = (vmId: string): Progress["phase"] =>
                begun.has(vmId) ? phases.begun : mayArrive && ordered.has(vmId) ? phases.doubtful : phases.waiting;
            log.write("info", "waveSeen", { ...wave, begun: begun.size, ordered: ordered.size });
            open.set(wave.number, {
                wave,
                seenAtMs: nowMs,
                vms: wave.vmIds.map(vmId => ({
                    vmId,
                    phase: phaseOf(vmId),
                    sinceMs: nowMs,
                    workerId: "",
                    bornAtMs: undefined,
                    absentSinceMs: undefined,
                    down: false,
                })),
                reported: undefined,
                saved: begun.size,
                ordered: new Map(ordered),
            });
        }
        if (!running && !closed) {
            running = true;
            await run();
        }
    };

    return {
        update: waves => {
            if (waves.length === 0 && open.size === 0) {
                return;
            }
            begin(waves).catch((error: unknown) => {
                log.write("error", "upkeepFailed", { reason: failureOf(error).message });
            });
        },
        close: () => {
            closed = true;
        },
    };
};
