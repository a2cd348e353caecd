/** Seeded runs of a cell with one shard, with several faults at once, and what is wrong after them. */

import { createSeededRandom, type Organisation, runEnds } from "puffinarch";
import type { BrokenShardPart } from "./brokenShardParts.js";
import {
    crashingShapes,
    failingShapes,
    fillingIds,
    fillingShape,
    jobIdOf,
    lastingIds,
    lastingShapes,
    randomShapes,
    readSteps,
    soundShapes,
} from "./jobShapes.js";
import { createShardCell, type ShardCell, testQueue } from "./shardCell.js";
import { shardFaults } from "./shardFaults.js";
import { findStanding } from "./standing.js";
import { watchStanding } from "./standingWatch.js";

/** Faults that end placing while they last, for cells in which it has to begin again. */
const lastingFaults = ["workers not listed", "workers cut until their entries lapsed", "orders to a worker get lost"];
/** Faults for cells with jobs that crash the workers: workers that crash of themselves, beside those. */
const crashFaults = ["a worker crashes and is back", "half of the workers crash and are back"];
/** Faults for cells in which the capacity of workers changes. */
const resizeFaults = ["half of the workers shrink to a quarter", "all workers shrink to half"];
/** Faults for cells whose daemons' VMs are suspended. */
const suspendFaults = [
    "owner suspended for 3 s",
    "owner suspended for 9 s",
    "all suspended for 4 s",
    "two others suspended for 6 s",
];
/** Faults for cells in which several workers fail everything at once; these last 4 to 7 s. */
const failFaults = [
    "half of the workers fail everything",
    "all workers but one fail everything",
    "all workers but one, which has shrunk, fail everything",
];
/** Faults that leave orders under way to workers that start again, some of them while nobody can look at these. */
const delayedOrderFaults = [
    ...Array.from({ length: 2 }, () => ["worker carries out late", "half of the workers carry out late"]).flat(),
    ...Array.from({ length: 2 }, () => crashFaults).flat(),
    "all workers cut",
    "all killed",
    "owner killed",
    "owner cut from the workers",
];
/** Faults for cells whose organisations have caps. */
const capFaults = ["caps lowered to a quarter", "caps raised to double"];
const shortestFailMs = 4_000;
const failSpreadMs = 3_000;
/** Each of these is for a kind of cell only, and seeds of the others stay as they are. */
const faultsOfKinds = [
    ...lastingFaults,
    ...crashFaults,
    ...resizeFaults,
    ...suspendFaults,
    ...failFaults,
    ...capFaults,
];
/** A crashed worker stays gone and a list without workers ends all placing, so these stand in the table alone. */
const faultsAlone = [
    "worker crashes",
    "half of the workers carry out late",
    "upkeep orders get lost",
    "all workers cut but the first",
    "orders to all workers get lost",
    "another cut from its peers",
];
const randomFaults = Object.keys(shardFaults).filter(name => ![...faultsAlone, ...faultsOfKinds].includes(name));
const crashingShare = 0.2;
const failingShare = 0.2;
const workersOfSeed = 6;
/**
 * An advisor that allows so many workers in a row of six for each step, others for each. Tasks that last are allowed on each
 * second worker only, so that two others at the least are left to each step, in which any of the gangs finds room.
 */
const allowsSome = (allowed: number) => (stepName: string, workerId: string): boolean => {
    const [jobId = "", , step = ""] = stepName.split(".");
    const job = Number.parseInt(jobId, 16);
    const index = Number(/\d+/.exec(workerId)?.[0] ?? 0);
    return job >= lastingIds ? index % 2 === 0 : (index + job + Number(step)) % workersOfSeed < allowed;
};
/** One worker of three may be full of a task that lasts; where jobs that last are submitted, two of four. */
/**
 * Organisations with caps that the jobs of two thirds of the callers reach now and then; the largest gang of a job fits under
 * the lower one.
 */
const cappedOrganisations = (largestGangCores: number): readonly Organisation[] =>
    [["first", largestGangCores], ["second", 1.5 * largestGangCores], ["third", 0]].map(([name, cores]) => ({
        name: String(name),
        keyDigests: [],
        weight: 1,
        cap: { cpuMillis: 1_000 * Number(cores), memoryMib: 0, accelerators: 0 },
    }));
const largestGangCores = 4;
const largestGangCoresFailing = 10;
const allowedWorkers = 3;
const allowedBesideLasting = 4;
/** Seeds of cells that differ in their draws are so far apart that none is that of another plan. */
const seedsApart = 1_000_003;
const stepMs = 250;
const jobShare = 0.5;
/** How often a fault begins in a step, and how many there are at once. */
const usualFaults = { share: 0.15, atOnce: 2 };
const denseFaults = { share: 0.3, atOnce: 3 };
const shortestFaultMs = 500;
const faultSpreadMs = 4_000;
/** Long enough for leases of 5 s to end. */
const longFaultSpreadMs = 10_000;

/**
 * Submits jobs while faults come and go, all chosen by the seed; at its end every fault is mended.
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
        density = usualFaults,
        organisationOf,
    }: {
        readonly seed: number;
        readonly forMs: number;
        readonly onJob: (jobId: string) => void;
        /** Jobs whose tasks crash the workers are among those submitted where this is given; it is told of them. */
        readonly onCrashingJob?: (jobId: string) => void;
        /** The same for jobs whose tasks fail by themselves. */
        readonly onFailingJob?: (jobId: string) => void;
        readonly onFault?: (atMs: number, name: string) => void;
        /** Steps of the jobs that are submitted. */
        readonly shapes?: readonly string[];
        /** Faults that may come, by name. */
        readonly faults?: readonly string[];
        /** By how much more than the shortest one a fault may last. */
        readonly spreadMs?: number;
        /** How often a fault begins in a step, and how many there are at once. */
        readonly density?: { readonly share: number; readonly atOnce: number; };
        /** Organisation of the job with a number; jobs belong to none where it is left out. */
        readonly organisationOf?: (job: number) => string;
    },
): Promise<void> => {
    const random = createSeededRandom(1_000 + seed);
    const choose = <T>(all: readonly T[]): T => all[Math.floor(random.next() * all.length)] as T;
    const open: { readonly endsAtMs: number; readonly mend: () => void; }[] = [];
    const endsAtMs = cell.clock.monotonicMs() + forMs;
    let jobs = 0;
    while (cell.clock.monotonicMs() < endsAtMs) {
        await cell.clock.advance(stepMs);
        const nowMs = cell.clock.monotonicMs();
        if (random.next() < jobShare) {
            jobs += 1;
            const crashes = onCrashingJob !== undefined && random.next() < crashingShare;
            const fails = !crashes && onFailingJob !== undefined && random.next() < failingShare;
            const { onThis, shapesOfThis } = crashes
                ? { onThis: onCrashingJob, shapesOfThis: crashingShapes }
                : fails
                ? { onThis: onFailingJob, shapesOfThis: failingShapes }
                : { onThis: onJob, shapesOfThis: shapes };
            onThis(jobIdOf(jobs));
            const steps = readSteps(choose(shapesOfThis));
            if (organisationOf === undefined) {
                cell.submit(jobIdOf(jobs), steps);
            }
            else {
                cell.submitFor(organisationOf(jobs), jobIdOf(jobs), steps);
            }
        }
        for (const [index, fault] of [...open.entries()].reverse()) {
            if (fault.endsAtMs <= nowMs) {
                open.splice(index, 1);
                fault.mend();
            }
        }
        if (random.next() < density.share && open.length < density.atOnce) {
            const name = choose(faults);
            onFault?.(nowMs, name);
            const mend = shardFaults[name]?.(cell) ?? (() => {});
            const [shortest, spread] = failFaults.includes(name)
                ? [shortestFailMs, failSpreadMs]
                : [shortestFaultMs, spreadMs];
            open.push({ endsAtMs: nowMs + shortest + spread * random.next(), mend });
        }
    }
    for (const fault of open) {
        fault.mend();
    }
};

/**
 * Whether so many workers crashed under one task of a job. Where two went down by the task beside it and the third, on which
 * it ran by itself, by chance, nothing tells the task from one that is the cause, and the job may be given up. Users allow it
 * after two already.
 */
const wasHit = ({ workers }: ShardCell, jobId: string, times: number): boolean => {
    const crashes = new Map<string, number>();
    for (const { taskName, how } of workers.evidence) {
        if (how === "crashed" && taskName.startsWith(`${jobId}.`)) {
            crashes.set(taskName, 1 + (crashes.get(taskName) ?? 0));
        }
    }
    return [...crashes.values()].some(count => count >= times);
};

/** Whether so many runs of one task of a job, or of one gang, have failed as its queue allows. */
const hasFailed = ({ workers, stepOf }: ShardCell, jobId: string): boolean => {
    const failures = new Map<string, Set<number>>();
    for (const { taskName, run, how } of workers.evidence) {
        if (how === runEnds.failed && taskName.startsWith(`${jobId}.`)) {
            const name = stepOf(taskName)?.gang === true ? taskName.slice(0, taskName.lastIndexOf(".")) : taskName;
            failures.set(name, (failures.get(name) ?? new Set()).add(run));
        }
    }
    return [...failures.values()].some(runs => runs.size >= testQueue.attempts);
};

/** What a seed is run with. */
export interface ExploreShardOptions {
    /** Steps of the jobs that are submitted while faults come. */
    readonly shapes?: readonly string[] | undefined;
    /** Adds jobs that last, on whose tasks nothing but the scheduler brings an end, and lets the list of workers lapse. */
    readonly lasting?: boolean | undefined;
    /** How long workers that crashed are away. */
    readonly crashedDownMs?: number | undefined;
    /** Workers crash now and then, and start again under their IDs. */
    readonly keepsIds?: boolean | undefined;
    /** Lets the capacity of workers shrink and grow. */
    readonly resizing?: boolean | undefined;
    /** Suspends the VMs of daemons. */
    readonly suspending?: boolean | undefined;
    /** Adds jobs whose tasks crash the workers; these are to be given up, and no other job under which fewer than three crash. */
    readonly crashing?: boolean | undefined;
    /**
     * Several workers fail everything for 4 to 7 s, others are full for good or shrunk; jobs fail by themselves among those
     * that can be done, and the advisor allows three workers for each step.
     */
    readonly failing?: boolean | undefined;
    /** The jobs belong to three organisations, of which two have caps that are lowered and raised. */
    readonly capped?: boolean | undefined;
    /** Nothing but faults that leave orders under way to workers that start again, and more of them at once. */
    readonly delayingOrders?: boolean | undefined;
    /** Whether workers refuse tickets of other incarnations, as daemons are told. */
    readonly checksTickets?: boolean | undefined;
    /** Another number has task times, heartbeats and the daemons' own choices drawn anew, with the same jobs and faults. */
    readonly draw?: number | undefined;
    readonly broken?: BrokenShardPart | undefined;
}

/**
 * Runs one seed on a cell of its own; gives what went wrong, nothing where all is well.
 *
 * @example
 * const wrong = await exploreShardSeed(7, { lasting: true });
 */
export const exploreShardSeed = async (
    seed: number,
    {
        shapes,
        lasting = false,
        resizing = false,
        suspending = false,
        crashing = false,
        keepsIds = false,
        failing = false,
        capped = false,
        delayingOrders = false,
        checksTickets = false,
        draw = 0,
        crashedDownMs,
        broken,
    }: ExploreShardOptions = {},
): Promise<readonly string[]> => {
    const organisations = cappedOrganisations(
        failing || shapes !== undefined ? largestGangCoresFailing : largestGangCores,
    );
    const cell = createShardCell({
        members: 4,
        workers: workersOfSeed,
        seed: seed + draw * seedsApart,
        failOften: 0.01,
        crashedDownMs,
        keepsIds,
        checksTickets,
        broken,
        ...(capped ? { organisations } : {}),
        ...(failing ? { breaksGangs: true, isGood: allowsSome(lasting ? allowedBesideLasting : allowedWorkers) } : {}),
    });
    const watch = watchStanding(cell);
    const jobs: string[] = [];
    const crashingJobs: string[] = [];
    const failingJobs: string[] = [];
    const faults: string[] = [];
    await cell.clock.advance(2_000);
    for (const [index, steps] of (lasting ? lastingShapes : []).entries()) {
        cell.submit(jobIdOf(lastingIds + index), readSteps(steps));
    }
    if (failing && !lasting) {
        cell.submit(jobIdOf(fillingIds), readSteps(fillingShape));
    }
    await runRandomFaults(cell, {
        seed,
        forMs: 20_000,
        onJob: jobId => jobs.push(jobId),
        onFault: (atMs, name) => faults.push(`${atMs} ${name}`),
        ...(crashing ? { onCrashingJob: jobId => crashingJobs.push(jobId) } : {}),
        ...(failing ? { shapes: soundShapes, onFailingJob: jobId => failingJobs.push(jobId) } : {}),
        ...(shapes === undefined ? {} : { shapes }),
        ...(capped ? { organisationOf: job => organisations[job % organisations.length]?.name ?? "" } : {}),
        faults: delayingOrders ? delayedOrderFaults : [
            ...randomFaults,
            ...lasting ? lastingFaults : [],
            ...crashing ? crashFaults : [],
            // So often that about a quarter of the faults is of them.
            ...keepsIds ? Array.from({ length: 4 }, () => crashFaults).flat() : [],
            ...suspending ? Array.from({ length: 4 }, () => suspendFaults).flat() : [],
            // So often that about a third of the faults is of them.
            ...failing ? Array.from({ length: 4 }, () => failFaults).flat() : [],
            ...capped ? Array.from({ length: 4 }, () => capFaults).flat() : [],
            ...resizing ? Array.from({ length: 6 }, () => resizeFaults).flat() : [],
        ],
        ...(lasting ? { spreadMs: longFaultSpreadMs } : {}),
        ...(delayingOrders ? { density: denseFaults } : {}),
    });
    // Jobs that crash the workers are still there, and are tried by themselves one after the other.
    const standing = crashing
        ? []
        : (await findStanding(cell)).map(taskName => `${taskName} stands with room once nothing is wrong`);
    // A worker that crashes under its ID between two owners says nothing of a run that had ended there, or never begun.
    const hitsToGiveUp = keepsIds ? 2 : 3;
    const left = async (): Promise<readonly string[]> => {
        const states = await cell.statesOf([...jobs, ...crashingJobs, ...failingJobs]);
        const mayFail = (jobId: string): boolean =>
            wasHit(cell, jobId, hitsToGiveUp) || failing && hasFailed(cell, jobId);
        const isWrong = (jobId: string, state: string | undefined): boolean =>
            crashingJobs.includes(jobId) || failingJobs.includes(jobId)
                ? state !== "failed"
                : state !== "completed" && !(state === "failed" && mayFail(jobId));
        return [...states].filter(([jobId, state]) => isWrong(jobId, state)).map(([jobId, state]) =>
            `${jobId} is ${state}`
        );
    };
    await cell.until(async () => (await left()).length === 0, 60_000);
    const standingLast = (await findStanding(cell)).map(taskName => `${taskName} stands with room for it`);
    const wrong = [...await left(), ...standing, ...standingLast, ...watch.stood(), ...cell.breaches()];
    return wrong.length === 0 ? [] : [...wrong, ...faults];
};
