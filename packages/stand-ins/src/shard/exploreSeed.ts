/** Runs a cell with one shard under several random faults at once, all chosen by a seed, and reports violated guarantees. */

import { createSeededRandom, type Organisation, runEnds, type Step } from "puffinarch";
import type { BrokenShardPart } from "./brokenShardParts.js";
import { type CancellingMode, createCancellingCallers } from "./cancellingCallers.js";
import {
    completableShapes,
    crashingShapes,
    cuttingShapes,
    failingShapes,
    firstLongRunningJobNumber,
    gangShapes,
    jobIdOf,
    longRunningShapes,
    randomShapes,
    readSteps,
    savingShapes,
    workerFillingJobNumber,
    workerFillingShape,
} from "./jobShapes.js";
import { watchCancels } from "./judgeCancels.js";
import { createShardCell, type ShardCell, testQueue } from "./shardCell.js";
import { shardFaults } from "./shardFaults.js";
import { findPersistentlyStalledTasks } from "./stalledTasks.js";
import { watchStalledTasks } from "./stalledTaskWatch.js";

/** Faults that stop all placement while they last, so that it has to resume after them. */
const placementStoppingFaults = [
    "workers not listed",
    "workers cut until their entries lapsed",
    "orders to a worker get lost",
];
/** Worker crashes that no task causes. */
const crashFaults = ["a worker crashes and is back", "half of the workers crash and are back"];
/** Faults that change the capacity of workers. */
const resizeFaults = ["half of the workers shrink to a quarter", "all workers shrink to half"];
/** Faults that suspend the VMs of daemons. */
const suspendFaults = [
    "owner suspended for 3 s",
    "owner suspended for 9 s",
    "all suspended for 4 s",
    "two others suspended for 6 s",
];
/** Faults that stop the processes of daemons, whose monotonic clocks go on. */
const stopFaults = [
    "owner's process stopped for 3 s, timers first",
    "owner's process stopped for 3 s, answers first",
    "owner's process stopped for 9 s, timers first",
    "owner's process stopped for 9 s, answers first",
    "all processes stopped for 4 s",
    "two other processes stopped for 6 s",
];
/** Faults in which several workers fail every run; they last 4 to 7 s. */
const workerFailureFaults = [
    "half of the workers fail everything",
    "all workers but one fail everything",
    "all workers but one, which has shrunk, fail everything",
];
/**
 * Faults after which an order can reach a restarted worker: late orders, worker crashes, and cuts and kills during which no
 * daemon can look at the workers.
 */
const delayedOrderFaults = [
    ...Array.from({ length: 2 }, () => ["worker carries out late", "half of the workers carry out late"]).flat(),
    ...Array.from({ length: 2 }, () => crashFaults).flat(),
    "all workers cut",
    "all killed",
    "owner killed",
    "owner cut from the workers",
];
/** Faults in which all members of a gang can be lost without an end, some before a successor has looked at them. */
const gangLossFaults = [
    ...crashFaults,
    "all workers crash and are back",
    "all workers cut",
    "all killed",
    "owner killed",
];
/** Time from one checkpoint to the next, shorter than the runs of `savingShapes` so that each run saves several. */
const checkpointIntervalMs = 500;
/** Faults that change the caps of organisations. */
const capFaults = ["caps lowered to a quarter", "caps raised to double"];
const shortestWorkerFailureMs = 4_000;
const workerFailureSpreadMs = 3_000;
/** Faults of a data centre, each in its place of `scheduleCut`. */
const dataCentreCuts = [
    "the owner's data centre cut off as a whole",
    "a data centre without the owner cut off as a whole",
];
const rollingRestarts = [
    "half of the daemons restart one after the other",
    "all daemons restart one after the other",
];
const outageWithLapse = "store away, and the list of workers lapses";
const outageWithDeadEntries = "store away, and the list of workers lapses but for dead ones";
const lateLooks = "looks carried out late";
/** Faults that are drawn beside those of `scheduleCut`. */
const faultsBesideCut = [
    ...crashFaults,
    "worker cut",
    "all workers cut",
    "worker carries out late",
    "owner killed",
    "owner cut from the workers",
    "store loses answers",
    "store answers late",
    "store slow",
    "history lost",
    "feeds go silent",
];
/** Faults that only options add. They are not among `randomFaults`, so the draws of seeds run without these options stay the same. */
const optionalFaults = [
    ...placementStoppingFaults,
    ...crashFaults,
    ...resizeFaults,
    ...suspendFaults,
    ...stopFaults,
    ...workerFailureFaults,
    ...capFaults,
    "all workers crash and are back",
    ...dataCentreCuts,
    ...rollingRestarts,
    outageWithLapse,
    outageWithDeadEntries,
    lateLooks,
];
/**
 * Faults that are never drawn by default: a worker that crashes without a restart stays away for good, and several others stop
 * nearly all placement.
 */
const undrawnFaults = [
    "worker crashes",
    "half of the workers carry out late",
    "upkeep orders get lost",
    "all workers cut but the first",
    "orders to all workers get lost",
    "another cut from its peers",
];
const randomFaults = Object.keys(shardFaults).filter(name => ![...undrawnFaults, ...optionalFaults].includes(name));
const crashingShare = 0.2;
const failingShare = 0.2;
const workersPerCell = 6;
/**
 * Creates the rule by which the advisor allows workers. Each step may run on `allowed` consecutive workers of the six, starting
 * at another worker for each step. Tasks of long-running jobs may run on every second worker only, so that each step keeps at
 * least two workers without them, on which any of the gangs fits.
 */
const createAdviceRule = (allowed: number) => (stepName: string, workerId: string): boolean => {
    const [jobId = "", , step = ""] = stepName.split(".");
    const job = Number.parseInt(jobId, 16);
    const index = Number(/\d+/.exec(workerId)?.[0] ?? 0);
    return job >= firstLongRunningJobNumber ? index % 2 === 0 : (index + job + Number(step)) % workersPerCell < allowed;
};
/**
 * Creates three organisations that submit in turn. Two have caps that their jobs reach at times; the lower cap is as large as
 * the largest gang. The third has no cap.
 */
const createCappedOrganisations = (largestGangCores: number): readonly Organisation[] =>
    [["first", largestGangCores], ["second", 1.5 * largestGangCores], ["third", 0]].map(([name, cores]) => ({
        name: String(name),
        keyDigests: [],
        weight: 1,
        cap: { cpuMillis: 1_000 * Number(cores), memoryMib: 0, accelerators: 0 },
    }));
const largestGangCores = 4;
const largestFailingGangCores = 10;
/** A long-running task may fill one of the three allowed workers, or two of the four where long-running jobs are submitted. */
const allowedWorkers = 3;
const allowedWorkersWithLongRunning = 4;
/** Distance between the cell seeds of successive draws, larger than any range of seeds that is run so that none coincide. */
const drawSeedStride = 1_000_003;
const stepMs = 250;
const jobShare = 0.5;
/** `share` is the probability that a fault begins in a step, `atOnce` the most faults at a time. */
const usualDensity = { share: 0.15, atOnce: 2 };
const highDensity = { share: 0.3, atOnce: 3 };
/** Beside the faults of `scheduleCut`. */
const lowDensity = { share: 0.05, atOnce: 1 };
/** Data centres of a cell in which one is cut off; the daemons and workers are spread over them in turn. */
const cutDataCentres = ["serra", "vale", "costa"];
const cutMembers = 6;
const cutWorkers = 9;
/** The lowest rate of a worker's clock, at which its leases last longest. */
const slowestWorkerClock = 0.98;
const cutForMs = 24_000;
/** Share of the cells in which one data centre has most workers, and of the cuts that may outlast a takeover and all leases. */
const unevenShare = 0.5;
const longCutShare = 0.3;
/** How long before an outage workers crash: after `crashedDownMs` and before their entries are removed. */
const crashLeadMs = [3_400, 4_400] as const;
const shortestFaultMs = 500;
const faultSpreadMs = 4_000;
/** Long enough for leases of 5 s to expire. */
const longFaultSpreadMs = 10_000;

/** With these, the starts of `gangShapes` and the looks take a third of an owner's processor on average, and all of it at times. */
const busyCosts = { firstLookMs: 5, lookMs: 2, callMs: 0.5, startMs: 1 };
/** Just below the timeout of starts. */
const longestStartAnswerMs = 140;
const longestStartMs = 50;
const longestAcceptedStartMs = 100;

/**
 * Schedules faults that overlap: daemons restart one after the other, the store is away for 4 to 7 s while the entries of the
 * workers lapse, and one data centre is cut off as a whole from a moment of the outage until after its end. Returns a function
 * that tells whether all of them are over.
 */
const scheduleCut = (
    cell: ShardCell,
    seed: number,
    { mode, onFault }: { readonly mode: CuttingMode; readonly onFault: (atMs: number, name: string) => void; },
): () => boolean => {
    const random = createSeededRandom(2_000 + seed);
    const between = (least: number, most: number): number => least + (most - least) * random.next();
    const choose = <T>(all: readonly T[]): T => all[Math.floor(random.next() * all.length)] as T;
    let open = 0;
    const schedule = (name: string, fromMs: number, forMs: number): void => {
        open += 1;
        cell.clock.setTimer(fromMs, () => {
            onFault(Math.round(cell.clock.monotonicMs()), `${name} for ${Math.round(forMs)} ms`);
            const undo = shardFaults[name]?.(cell) ?? (() => {});
            cell.clock.setTimer(forMs, () => {
                undo();
                open -= 1;
            });
        });
    };
    const restartsAtMs = between(1_000, 7_000);
    const outageAtMs = restartsAtMs + between(0, 5_000);
    const outageForMs = between(4_000, 7_000);
    const cutAtMs = outageAtMs + outageForMs * random.next();
    const cutEndsAtMs = outageAtMs + outageForMs + between(500, random.next() < longCutShare ? 14_000 : 6_000);
    // The last of the restarted daemons is back before that.
    schedule(choose(rollingRestarts), restartsAtMs, 15_000);
    schedule(mode === "deadListed" ? outageWithDeadEntries : outageWithLapse, outageAtMs, outageForMs);
    schedule(choose(dataCentreCuts), cutAtMs, cutEndsAtMs - cutAtMs);
    if (mode === "looksLate") {
        schedule(lateLooks, outageAtMs - between(0, 1_000), outageForMs + between(0, 6_000));
    }
    if (mode === "deadListed") {
        // The next workers at their addresses are listed before the outage, while the entries of the crashed ones still stand.
        const [least, most] = crashLeadMs;
        schedule("half of the workers crash and are back", Math.max(0, outageAtMs - between(least, most)), 0);
    }
    return () => open === 0;
};

/** Returns the places of `count` things that are spread over data centres in turn. */
const spreadOver = (dataCentres: readonly string[], count: number): readonly string[] =>
    Array.from({ length: count }, (_, index) => dataCentres[index % dataCentres.length] ?? "");

/** Returns the data centres of the workers: the same number in each, or five of the nine in one, which has no more daemons for that. */
const placeWorkers = (seed: number): readonly string[] => {
    const random = createSeededRandom(3_000 + seed);
    const isUneven = random.next() < unevenShare;
    const largest = cutDataCentres[Math.floor(random.next() * cutDataCentres.length)] ?? "";
    return spreadOver(isUneven ? [...cutDataCentres, largest, largest] : cutDataCentres, cutWorkers);
};

type SubmitJob = (jobId: string, steps: readonly Step[], organisation?: string) => void;

/**
 * Submits jobs while faults come and go, all chosen by the seed, and undoes the remaining faults at the end.
 *
 * @example
 * await runRandomFaults(cell, { seed: 7, forMs: 20_000, onJob: jobId => jobs.push(jobId) });
 */
export const runRandomFaults = async (
    cell: ShardCell,
    {
        seed,
        forMs,
        onJob,
        onCrashingJob,
        onFailingJob,
        onFault,
        shapes = randomShapes,
        faults = randomFaults,
        spreadMs = faultSpreadMs,
        density = usualDensity,
        organisationOf,
        submit = (jobId, steps, organisation) =>
            organisation === undefined ? cell.submit(jobId, steps) : cell.submitFor(organisation, jobId, steps),
    }: {
        readonly seed: number;
        readonly forMs: number;
        readonly onJob: (jobId: string) => void;
        /** Receives the ID of each job whose tasks crash their workers; no such jobs are submitted where this is left out. */
        readonly onCrashingJob?: (jobId: string) => void;
        /** Receives the ID of each job whose tasks fail by themselves; no such jobs are submitted where this is left out. */
        readonly onFailingJob?: (jobId: string) => void;
        readonly onFault?: (atMs: number, name: string) => void;
        /** Steps of the other jobs, in the notation of `readSteps`. */
        readonly shapes?: readonly string[];
        /** Names of the faults to draw from; a name that occurs several times is drawn more often. */
        readonly faults?: readonly string[];
        /** How much longer than the shortest duration a fault may last. */
        readonly spreadMs?: number;
        /** Probability that a fault begins in a step, and the most faults at a time. */
        readonly density?: { readonly share: number; readonly atOnce: number; };
        /** Organisation of the job with the given number; jobs belong to none where this is left out. */
        readonly organisationOf?: (job: number) => string;
        /** How the jobs are submitted; until they are accepted where this is left out. */
        readonly submit?: SubmitJob;
    },
): Promise<void> => {
    const random = createSeededRandom(1_000 + seed);
    const choose = <T>(all: readonly T[]): T => all[Math.floor(random.next() * all.length)] as T;
    const activeFaults: { readonly endsAtMs: number; readonly undo: () => void; }[] = [];
    const endsAtMs = cell.clock.monotonicMs() + forMs;
    let jobs = 0;
    while (cell.clock.monotonicMs() < endsAtMs) {
        await cell.clock.advance(stepMs);
        const nowMs = cell.clock.monotonicMs();
        if (random.next() < jobShare) {
            jobs += 1;
            const crashes = onCrashingJob !== undefined && random.next() < crashingShare;
            const fails = !crashes && onFailingJob !== undefined && random.next() < failingShare;
            const { onSubmit, shapesOfKind } = crashes
                ? { onSubmit: onCrashingJob, shapesOfKind: crashingShapes }
                : fails
                ? { onSubmit: onFailingJob, shapesOfKind: failingShapes }
                : { onSubmit: onJob, shapesOfKind: shapes };
            onSubmit(jobIdOf(jobs));
            submit(jobIdOf(jobs), readSteps(choose(shapesOfKind)), organisationOf?.(jobs));
        }
        for (const [index, fault] of [...activeFaults.entries()].reverse()) {
            if (fault.endsAtMs <= nowMs) {
                activeFaults.splice(index, 1);
                fault.undo();
            }
        }
        if (random.next() < density.share && activeFaults.length < density.atOnce) {
            const name = choose(faults);
            onFault?.(nowMs, name);
            const undo = shardFaults[name]?.(cell) ?? (() => {});
            const [shortest, spread] = workerFailureFaults.includes(name)
                ? [shortestWorkerFailureMs, workerFailureSpreadMs]
                : [shortestFaultMs, spreadMs];
            activeFaults.push({ endsAtMs: nowMs + shortest + spread * random.next(), undo });
        }
    }
    for (const fault of activeFaults) {
        fault.undo();
    }
};

/**
 * Whether at least `minimumCrashes` workers crashed while they ran one task of a job, after which the job may be given up. A task that is
 * not the cause can reach three: two workers crash because of a task beside it, and the third by chance while the task runs
 * there alone. The scheduler cannot distinguish it from a task that causes the crashes. Users allow giving up after two.
 */
const hasCrashedWorkers = ({ workers }: ShardCell, jobId: string, minimumCrashes: number): boolean => {
    const crashes = new Map<string, number>();
    for (const { taskName, how } of workers.evidence) {
        if (how === "crashed" && taskName.startsWith(`${jobId}.`)) {
            crashes.set(taskName, 1 + (crashes.get(taskName) ?? 0));
        }
    }
    return [...crashes.values()].some(count => count >= minimumCrashes);
};

/** Whether a task or gang of a job has failed in as many runs as its queue allows attempts. */
const hasExhaustedAttempts = ({ workers, stepOf }: ShardCell, jobId: string): boolean => {
    const failures = new Map<string, Set<number>>();
    for (const { taskName, run, how } of workers.evidence) {
        if (how === runEnds.failed && taskName.startsWith(`${jobId}.`)) {
            const name = stepOf(taskName)?.gang === true ? taskName.slice(0, taskName.lastIndexOf(".")) : taskName;
            failures.set(name, (failures.get(name) ?? new Set()).add(run));
        }
    }
    return [...failures.values()].some(runs => runs.size >= testQueue.attempts);
};

/** Modes of the option `cutting`. */
export const cuttingModes = ["plain", "looksLate", "deadListed"] as const;
/** One of `cuttingModes`. */
export type CuttingMode = (typeof cuttingModes)[number];

/** Options for the run of a seed. */
export interface ExploreShardOptions {
    /** Steps of the jobs that are submitted during the faults, in the notation of `readSteps`. */
    readonly shapes?: readonly string[] | undefined;
    /** Adds long-running jobs, whose tasks only the scheduler ends, and faults that remove the workers' entries. */
    readonly lasting?: boolean | undefined;
    /** How long crashed workers are down. */
    readonly crashedDownMs?: number | undefined;
    /** Adds worker crashes, after which the workers restart under the same IDs. */
    readonly keepsIds?: boolean | undefined;
    /** Adds faults that shrink and restore the capacity of workers. */
    readonly resizing?: boolean | undefined;
    /** Adds faults that suspend the VMs of daemons. */
    readonly suspending?: boolean | undefined;
    /** Adds faults that stop the processes of daemons, whose monotonic clocks go on. */
    readonly stopping?: boolean | undefined;
    /**
     * Adds jobs whose tasks crash their workers. The scheduler has to give these up; it may give up another job only after three
     * workers crashed while they ran the same task of it, or two with `keepsIds`.
     */
    readonly crashing?: boolean | undefined;
    /**
     * Adds faults in which several workers fail every run for 4 to 7 s while another is full or shrunk, and jobs that fail by
     * themselves. The advisor allows three workers for each step, or four with `lasting`.
     */
    readonly failing?: boolean | undefined;
    /** Assigns the jobs to three organisations, two of which have caps that are lowered and raised. */
    readonly capped?: boolean | undefined;
    /** Draws only faults after which orders can reach restarted workers, up to three at a time. */
    readonly delayingOrders?: boolean | undefined;
    /** Submits gangs whose runs save checkpoints for several seconds, and adds faults in which all members of a gang are lost. */
    readonly saving?: boolean | undefined;
    /** Submits gangs, among jobs with many starts, to daemons for which calls cost time, on workers that answer starts late. */
    readonly gangs?: boolean | undefined;
    /** Whether workers refuse tickets of other incarnations and the daemons are configured for it. */
    readonly checksTickets?: boolean | undefined;
    /** Whether workers take up to `longestStartMs` from the check of a start's token until its run begins. */
    readonly beginningLate?: boolean | undefined;
    /** Whether workers check starts as a whole as the orders come, and begin the runs up to `longestAcceptedStartMs` later. */
    readonly checkingOnce?: boolean | undefined;
    /** Whether workers list a run that is being stopped neither as running nor as ended until its end. */
    readonly hidingStops?: boolean | undefined;
    /** Lets callers cancel jobs at these moments, and read the accepted jobs that they do not cancel. */
    readonly cancelling?: CancellingMode | undefined;
    /**
     * Spreads more daemons, and the workers, over three data centres, and adds the faults of `scheduleCut`; the others are drawn
     * less often. "looksLate" also carries out late the looks that get no answer. With "deadListed", workers crash before the
     * outage, and their entries are listed at its end while those of their successors are not.
     */
    readonly cutting?: CuttingMode | undefined;
    /** Another number draws new task durations, heartbeats and daemon choices for the same jobs and faults. */
    readonly draw?: number | undefined;
    /** A deliberate defect in every daemon's dependencies. */
    readonly broken?: BrokenShardPart | undefined;
}

/**
 * Runs one seed on a new cell. Returns the violations and stalled tasks, followed by the faults that were injected; empty where
 * no violation was found.
 *
 * @example
 * const problems = await exploreShardSeed(7, { lasting: true });
 */
export const exploreShardSeed = async (
    seed: number,
    {
        shapes,
        lasting = false,
        resizing = false,
        suspending = false,
        stopping = false,
        crashing = false,
        keepsIds = false,
        failing = false,
        capped = false,
        delayingOrders = false,
        saving = false,
        gangs = false,
        checksTickets = false,
        beginningLate = false,
        checkingOnce = false,
        hidingStops = false,
        cancelling,
        cutting,
        draw = 0,
        crashedDownMs,
        broken,
    }: ExploreShardOptions = {},
): Promise<readonly string[]> => {
    const organisations = createCappedOrganisations(
        failing || shapes !== undefined ? largestFailingGangCores : largestGangCores,
    );
    const cell = createShardCell({
        members: cutting === undefined ? 4 : cutMembers,
        workers: cutting === undefined ? workersPerCell : cutWorkers,
        seed: seed + draw * drawSeedStride,
        failureRate: 0.01,
        crashedDownMs,
        keepsIds,
        checksTickets,
        ...(beginningLate ? { startTakesMs: longestStartMs } : {}),
        ...(checkingOnce ? { startTakesMs: longestAcceptedStartMs, checksStartsOnce: true } : {}),
        hidesStopping: hidingStops,
        broken,
        ...(capped ? { organisations } : {}),
        ...(cutting === undefined ? {} : {
            durationMs: "estimated",
            dataCentres: spreadOver(cutDataCentres, cutMembers),
            workerDataCentres: placeWorkers(seed),
            workerClockRate: slowestWorkerClock,
        }),
        ...(gangs ? { runsGangsTogether: true, startAnswerMs: longestStartAnswerMs, costs: busyCosts } : {}),
        ...(saving ? { runsGangsTogether: true, durationMs: "estimated", checkpointIntervalMs } : {}),
        ...(failing
            ? {
                runsGangsTogether: true,
                isAllowed: createAdviceRule(lasting ? allowedWorkersWithLongRunning : allowedWorkers),
            }
            : {}),
    });
    const watch = watchStalledTasks(cell);
    const jobs: string[] = [];
    const crashingJobs: string[] = [];
    const failingJobs: string[] = [];
    const faults: string[] = [];
    // If a worker restarts under its ID during a change of owner, the new owner cannot see that a run had ended there or had
    // never begun. It counts such a crash against the task, so that two more are enough to give the job up.
    const crashesToGiveUp = keepsIds ? 2 : 3;
    const cannotComplete = (jobId: string): boolean => crashingJobs.includes(jobId) || failingJobs.includes(jobId);
    const mayFail = (jobId: string): boolean =>
        hasCrashedWorkers(cell, jobId, crashesToGiveUp) || failing && hasExhaustedAttempts(cell, jobId);
    const callers = cancelling === undefined
        ? undefined
        : createCancellingCallers(cell, { seed: seed + draw * drawSeedStride, when: cancelling });
    const cancels = callers === undefined ? undefined : watchCancels(cell, {
        records: callers.records,
        mayFail: jobId => cannotComplete(jobId) || mayFail(jobId),
    });
    await cell.clock.advance(2_000);
    for (const [index, steps] of (lasting ? longRunningShapes : []).entries()) {
        (callers ?? cell).submit(jobIdOf(firstLongRunningJobNumber + index), readSteps(steps));
    }
    if (failing && !lasting) {
        cell.submit(jobIdOf(workerFillingJobNumber), readSteps(workerFillingShape));
    }
    const onFault = (atMs: number, name: string): void => {
        faults.push(`${atMs} ${name}`);
    };
    const isCutOver = cutting === undefined
        ? undefined
        : scheduleCut(cell, seed, { mode: cutting, onFault });
    await runRandomFaults(cell, {
        seed,
        forMs: cutting === undefined ? 20_000 : cutForMs,
        onJob: jobId => jobs.push(jobId),
        onFault,
        ...(crashing ? { onCrashingJob: jobId => crashingJobs.push(jobId) } : {}),
        ...(failing ? { shapes: completableShapes, onFailingJob: jobId => failingJobs.push(jobId) } : {}),
        ...(saving ? { shapes: savingShapes } : {}),
        ...(gangs ? { shapes: gangShapes } : {}),
        ...(cutting === undefined || saving || gangs || failing ? {} : { shapes: cuttingShapes }),
        ...(shapes === undefined ? {} : { shapes }),
        ...(callers === undefined ? {} : { submit: callers.submit }),
        ...(capped ? { organisationOf: job => organisations[job % organisations.length]?.name ?? "" } : {}),
        faults: delayingOrders ? delayedOrderFaults : [
            ...cutting === undefined ? randomFaults : faultsBesideCut,
            ...lasting ? placementStoppingFaults : [],
            ...crashing ? crashFaults : [],
            // Repeated so that they are about a quarter of the faults.
            ...keepsIds ? Array.from({ length: 4 }, () => crashFaults).flat() : [],
            ...suspending ? Array.from({ length: 4 }, () => suspendFaults).flat() : [],
            ...stopping ? Array.from({ length: 4 }, () => stopFaults).flat() : [],
            // Repeated so that they are about a third of the faults.
            ...failing ? Array.from({ length: 4 }, () => workerFailureFaults).flat() : [],
            ...capped ? Array.from({ length: 4 }, () => capFaults).flat() : [],
            ...resizing ? Array.from({ length: 6 }, () => resizeFaults).flat() : [],
            // Repeated so that they are about half of the faults.
            ...saving ? Array.from({ length: 6 }, () => gangLossFaults).flat() : [],
        ],
        ...(lasting ? { spreadMs: longFaultSpreadMs } : {}),
        ...(delayingOrders ? { density: highDensity } : {}),
        ...(cutting === undefined ? {} : { density: lowDensity }),
    });
    await cell.until(() => isCutOver?.() ?? true, cutForMs);
    // Tasks that may crash workers are tried one at a time, so tasks may still wait while those jobs are open.
    const stalledTasks = crashing
        ? []
        : (await findPersistentlyStalledTasks(cell)).map(taskName =>
            `${taskName} stands with room once nothing is wrong`
        );
    const findUnexpectedStates = async (): Promise<readonly string[]> => {
        const states = await cell.statesOf([
            ...new Set([...jobs, ...crashingJobs, ...failingJobs, ...cancels?.cancelledJobs() ?? []]),
        ]);
        const isUnexpected = (jobId: string, state: string | undefined): boolean =>
            cancels?.isCancelled(jobId) === true
                ? !cancels.mayShow(jobId, state)
                : cannotComplete(jobId)
                ? state !== "failed"
                : state !== "completed" && !(state === "failed" && mayFail(jobId));
        return [...states].filter(([jobId, state]) => isUnexpected(jobId, state)).map(([jobId, state]) =>
            `${jobId} is ${state}${cancels?.describe(jobId) ?? ""}`
        );
    };
    await cell.until(async () => (await findUnexpectedStates()).length === 0, 60_000);
    await cancels?.awaitCalm();
    const stalledAtEnd = (await findPersistentlyStalledTasks(cell)).map(taskName =>
        `${taskName} stands with room for it`
    );
    const problems = [
        ...await findUnexpectedStates(),
        ...stalledTasks,
        ...stalledAtEnd,
        ...watch.stalledTasks(),
        ...cancels?.problems() ?? [],
        ...cell.breaches(),
    ];
    return problems.length === 0 ? [] : [...problems, ...faults];
};
