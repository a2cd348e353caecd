/** The work that a shard has accepted and not completed, by the service whose workers run it. */

import type { Clock } from "../../types/ports.js";
import { isPreemptible } from "./capacityView.js";
import {
    hasEnded,
    reservedResources,
    type ShardJob,
    type ShardRun,
    type ShardStep,
    type ShardTask,
    stepsOf,
} from "./jobModel.js";
import { rankStep, standings } from "./urgency.js";
import { isListed, type ShardWorker } from "./workerTable.js";

/** Accepted work of one organisation and priority. */
export interface BacklogWork {
    readonly priority: number;
    /** Empty for jobs of callers without an organisation. */
    readonly organisation: string;
    readonly weight: number;
    /** Most cores that the organisation may use at a time; `Infinity` without a cap. */
    readonly capCores: number;
    /** Whether the jobs were submitted beyond the organisation's share. */
    readonly beyondShare: boolean;
    /** Estimated work of waiting and running tasks, in core-milliseconds. */
    readonly coreMs: number;
    /** Cores that running tasks hold until they end, as they are not stopped for more urgent ones, and their part of `coreMs`. */
    readonly heldCores: number;
    readonly heldCoreMs: number;
}

/** Accepted work and capacity of the workers of one service. */
export interface Backlog {
    /** Cores of the open workers, less those that long-running tasks hold. */
    readonly capacityCores: number;
    readonly freeCores: number;
    readonly work: readonly BacklogWork[];
    /** Whether work beyond its organisation's share is placed after all other work of the same priority. */
    readonly placesBeyondShareLast: boolean;
    /** Whether an organisation that holds more than its share of the capacity comes after the others of the same priority. */
    readonly sharesCapacity: boolean;
}

/** Dependencies of the backlog. */
export interface BacklogOptions {
    readonly clock: Clock;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    /** Names of the policies that decide which work comes first. */
    readonly policies: { readonly order: string; readonly shares?: string; };
}

/** Keeps the backlog of a shard. */
export interface BacklogTracker {
    /** Adds a job that was accepted, or that a former owner accepted. Its end is noticed. */
    add(job: ShardJob): void;
    /** Returns the backlog of a service; undefined where too little is known, as just after a takeover. */
    of(service: string): Backlog | undefined;
}

/** The backlog is computed again after this time: in 100 ms, it changes by at most 100 ms of work. */
const validMs = 100;
/** The next computation waits for this many times the duration of the last one, so that they take at most 2 percent of the processor. */
const restFactor = 50;
/** With fewer than this share of the listed workers open, the others are expected back, and the wait of a job cannot be predicted. */
const minOpenShare = 0.5;
/** Orders that place worthless jobs after all others, so that no other job waits for them. */
const overdueLastOrders: ReadonlySet<string> = new Set(["value"]);
/** Orders that place jobs beyond their organisation's share after the others of the same priority. */
const beyondShareLastOrders: ReadonlySet<string> = new Set(["shares", "sharesWithinPriority"]);

const millisPerCore = 1_000;

/** Estimated time that a task still runs, in ms; 0 where the caller gave no estimate. */
const remainingMs = ({ step, runs }: ShardTask, nowMs: number): number => {
    const { estimateMs } = step.spec;
    const ranMs = Math.max(0, ...runs.map(({ startedAtMs }) => nowMs - (startedAtMs ?? nowMs)));
    return Math.max(0, estimateMs - ranMs);
};

type StepWork = Pick<BacklogWork, "coreMs" | "heldCores" | "heldCoreMs">;

const noWork: StepWork = { coreMs: 0, heldCores: 0, heldCoreMs: 0 };

const addWork = (left: StepWork, right: StepWork): StepWork => ({
    coreMs: left.coreMs + right.coreMs,
    heldCores: left.heldCores + right.heldCores,
    heldCoreMs: left.heldCoreMs + right.heldCoreMs,
});

const workOfStep = (step: ShardStep, nowMs: number): StepWork => {
    const { longRunning } = step.spec;
    const cores = reservedResources(step.spec).cpuMillis / millisPerCore;
    if (longRunning || step.open === 0 || cores === 0) {
        return noWork;
    }
    const isHeld = !isPreemptible(step);
    let sumMs = 0;
    let heldTasks = 0;
    let heldMs = 0;
    for (const task of step.tasks) {
        if (task.done) {
            continue;
        }
        const leftMs = remainingMs(task, nowMs);
        sumMs += leftMs;
        if (isHeld && task.runs.length > 0) {
            heldTasks += 1;
            heldMs += leftMs;
        }
    }
    return { coreMs: cores * sumMs, heldCores: cores * heldTasks, heldCoreMs: cores * heldMs };
};

const isOpenWorker = (worker: ShardWorker, nowMs: number): boolean =>
    worker.runsKnown && worker.silentLooks === 0 && !worker.entry.draining && !worker.cordoned
    && isListed(worker, nowMs);

const heldForever = (runs: Iterable<ShardRun>): number => {
    let cpuMillis = 0;
    for (const { task, held } of runs) {
        cpuMillis += task.step.spec.longRunning ? held.cpuMillis : 0;
    }
    return cpuMillis;
};

/**
 * Creates the backlog of a shard without jobs.
 *
 * @example
 * const backlog = createBacklog({ clock, workers, policies });
 * backlog.add(job);
 * backlog.of("planning")?.work;
 */
export const createBacklog = ({ clock, workers, policies }: BacklogOptions): BacklogTracker => {
    const open = new Set<ShardJob>();
    const overdueLast = overdueLastOrders.has(policies.order);
    let workByService: ReadonlyMap<string, readonly BacklogWork[]> = new Map();
    let capacityByService: ReadonlyMap<string, Pick<Backlog, "capacityCores" | "freeCores"> | undefined> = new Map();
    let validUntilMs = -Infinity;

    const isAhead = (step: ShardStep, wallMs: number): boolean =>
        !overdueLast || rankStep(step, workers, wallMs).standing !== standings.overdue;

    const workOfJob = (job: ShardJob, nowMs: number, wallMs: number): StepWork => {
        let sum = noWork;
        for (const step of stepsOf(job)) {
            const work = workOfStep(step, nowMs);
            sum = work.coreMs > 0 && isAhead(step, wallMs) ? addWork(sum, work) : sum;
        }
        return sum;
    };

    const sumWork = (nowMs: number): ReadonlyMap<string, readonly BacklogWork[]> => {
        const wallMs = clock.nowMs();
        const sums = new Map<string, Map<string, BacklogWork>>();
        for (const job of open) {
            if (hasEnded(job)) {
                open.delete(job);
                continue;
            }
            const { queue: { service, priority }, account: { organisation, cap, weight }, beyondShare } = job;
            const ofService = sums.get(service) ?? new Map<string, BacklogWork>();
            sums.set(service, ofService);
            const key = `${priority}|${beyondShare}|${organisation}`;
            const capCores = cap.cpuMillis > 0 ? cap.cpuMillis / millisPerCore : Infinity;
            const work = addWork(ofService.get(key) ?? noWork, workOfJob(job, nowMs, wallMs));
            ofService.set(key, { priority, organisation, weight, capCores, beyondShare, ...work });
        }
        return new Map([...sums].map(([service, work]) => [service, [...work.values()]]));
    };

    const sumCapacity = (nowMs: number): typeof capacityByService => {
        const sums = new Map<string, { listed: number; open: number; capacityCores: number; freeCores: number; }>();
        for (const worker of workers.values()) {
            const { service, capacity } = worker.entry;
            const sum = sums.get(service) ?? { listed: 0, open: 0, capacityCores: 0, freeCores: 0 };
            sums.set(service, sum);
            sum.listed += isListed(worker, nowMs) ? 1 : 0;
            if (isOpenWorker(worker, nowMs)) {
                sum.open += 1;
                sum.capacityCores += (capacity.cpuMillis - heldForever(worker.runs.values())) / millisPerCore;
                sum.freeCores += Math.max(0, capacity.cpuMillis - worker.held.cpuMillis) / millisPerCore;
            }
        }
        return new Map([...sums].map(([service, { listed, open: opened, capacityCores, freeCores }]) => [
            service,
            opened < minOpenShare * listed || capacityCores <= 0 ? undefined : { capacityCores, freeCores },
        ]));
    };

    const refresh = (): void => {
        const beganAtMs = clock.monotonicMs();
        workByService = sumWork(beganAtMs);
        capacityByService = sumCapacity(beganAtMs);
        const endedAtMs = clock.monotonicMs();
        validUntilMs = endedAtMs + Math.max(validMs, restFactor * (endedAtMs - beganAtMs));
    };

    return {
        add: job => {
            open.add(job);
        },
        of: service => {
            if (clock.monotonicMs() >= validUntilMs) {
                refresh();
            }
            const capacity = capacityByService.get(service);
            return capacity === undefined ? undefined : {
                ...capacity,
                work: workByService.get(service) ?? [],
                placesBeyondShareLast: beyondShareLastOrders.has(policies.order),
                sharesCapacity: policies.shares === "heldRoom",
            };
        },
    };
};
