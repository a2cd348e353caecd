/**
 * A cell with one shard in a single process on a fake clock: several daemons, whose links can be cut and whose processes can be
 * killed, with fakes of the workers, the row store, the advisor and the VM calls.
 */

import {
    add,
    type AdviceTerms,
    type AdvisorPort,
    amountAboveCap,
    type CellConfiguration,
    type CellMember,
    createSeededRandom,
    type Decoded,
    decodeRow,
    defaultShardSettings,
    die,
    jobStates,
    type JobSubmission,
    journalTable,
    kindOf,
    type Log,
    type MemberHandlers,
    type MemberPort,
    noEntry,
    noResources,
    orderOutcomes,
    type Organisation,
    parseTaskName,
    type Queue,
    reservedResources,
    type Resources,
    type Row,
    scale,
    type Schedule,
    type ShardPolicies,
    startCellMember,
    type Step,
    type UpkeepWave,
    waveStates,
    type WorkerEntry,
} from "puffinarch";
import { z } from "zod";
import { createFakeClock, type FakeClock } from "../cell/fakeClock.js";
import { noopMeter } from "../noopLog.js";
import { breakShardPart, type BrokenShardPart } from "./brokenShardParts.js";
import { capBreaches, type CapVersion, isUnderHalf } from "./capCheck.js";
import { createFakeVms, type FakeVms } from "./fakeVms.js";
import { createFaultTracker } from "./faultTracker.js";
import { createFakeFencedWorkers, type FakeFencedWorkers, findBreaches, ticketFor } from "./fencedWorkers.js";
import type { Transfer } from "./link.js";
import { createProcessor, type Processor, type ProcessorCosts, withProcessor, withQueuedTimers } from "./processor.js";
import { createFakeRowStore, type FakeRowStore } from "./rowStore.js";
import { findCheckpointBreaches } from "./savedCheckpoints.js";
import { findStalledTasks } from "./stalledTasks.js";
import { createSuspension, type Suspension, type WakingOrder } from "./suspension.js";

/** The queue of the cell's configuration, unless the options name others. */
export const testQueue: Queue = {
    key: "stages.example/plans/",
    host: "stages.example",
    pathPrefix: "/plans/",
    service: "planning",
    priority: 0,
    attempts: 3,
    timeoutMs: 3_000,
    stretch: 2,
    targetRuntimeMs: 500,
    advice: { decideMs: 20, eachMs: 1, validMs: 2_500 },
};

/** Returns `count` queues that no job uses; each takes about 240 bytes in the configuration. */
export const unusedQueues = (count: number): readonly Queue[] =>
    Array.from({ length: count }, (_, index) => ({
        ...testQueue,
        key: `stages.example/others/${index}/`,
        pathPrefix: `/others/${index}/`,
    }));

/** A step with one task and no special demands, as a base for other steps. */
export const plainStep: Step = {
    count: 1,
    size: { cpuMillis: 1_000, memoryMib: 100, accelerators: 0 },
    estimateMs: 800,
    after: [],
    checkpointing: false,
    gang: false,
    colocated: false,
    requiredLabel: "",
    dataRack: "",
    maxPerWorker: 0,
    speculative: false,
    longRunning: false,
    image: "",
    latencyObjectiveMs: 0,
    fills: false,
    mayMiss: 0,
};

/** The cell with its fakes, fault injection and checks. */
export interface ShardCell {
    readonly clock: FakeClock;
    readonly store: FakeRowStore;
    readonly workers: FakeFencedWorkers;
    readonly vms: FakeVms;
    /** The log lines of all daemons. */
    readonly log: readonly {
        readonly memberId: string;
        readonly event: string;
        readonly fields: Readonly<Record<string, unknown>>;
    }[];
    memberIds(): readonly string[];
    member(memberId: string): CellMember | undefined;
    /** The daemon that owns the shard; undefined where none does. */
    owner(): string | undefined;
    /** Submits a job through one daemon after another until it is accepted. */
    submit(jobId: string, steps: readonly Step[], queueKey?: string): void;
    /** As `submit`, for a job with a schedule. The checks for stalled tasks leave it out. */
    submitScheduled(jobId: string, steps: readonly Step[], schedule: Schedule): void;
    /** As `submit`, for a caller of an organisation. */
    submitFor(organisation: string, jobId: string, steps: readonly Step[], queueKey?: string): void;
    /** Submits a job once through one daemon; `answers` then has "accepted" or the kind of the error. */
    submitOnce(jobId: string, steps: readonly Step[], memberId?: string, organisation?: string): void;
    /** Notes the steps of a job that a caller is about to submit, and returns its submission. */
    submissionFor(jobId: string, steps: readonly Step[], organisation: string): JobSubmission;
    /** Sends a caller's request to a daemon; fails where its process does not run or ends before the answer. */
    ask<T>(memberId: string, request: (member: CellMember) => Promise<T>): Promise<T>;
    /** The latest answer to each submission by job: "accepted", "refused" or the kind of an error. */
    answers(): ReadonlyMap<string, string>;
    /** Ends a daemon's process without a shutdown. */
    kill(memberId: string): void;
    /** Starts a daemon's process where it does not run. */
    restart(memberId: string): void;
    /** Shuts a daemon down gracefully; its process ends after the grace at the latest. */
    stop(memberId: string, graceMs?: number): Promise<void>;
    /** Suspends a daemon's VM; its monotonic clock does not count the time. */
    suspend(memberId: string, forMs: number): void;
    /** Stops a daemon's process, as a signal does; its monotonic clock goes on, and calls that have not left it are sent afterwards. */
    stopProcess(memberId: string, forMs: number, first: WakingOrder): void;
    /** Makes the work of a daemon take this many times as long, until its process ends; its calls must cost processor time. */
    slowDown(memberId: string, factor: number): void;
    /** Cuts a daemon off from its peers, the store or the workers. */
    cut(memberId: string, what: readonly ("peers" | "store" | "workers")[]): void;
    /** Cuts a daemon off from some workers, until its links are restored. */
    cutFromWorkers(memberId: string, workerIds: readonly string[]): void;
    /** Restores all links of a daemon. */
    restoreLinks(memberId: string): void;
    /**
     * Cuts a data centre off from the daemons of the other data centres, from the store or, with "workers", as a whole: its
     * daemons and workers reach only each other then, and the entries of its workers lapse.
     */
    cutDataCentre(dataCentre: string, what: readonly ("peers" | "store" | "workers")[]): void;
    /** Restores all links of a data centre. */
    restoreDataCentre(dataCentre: string): void;
    /** The data centre of a daemon. */
    dataCentreOf(memberId: string): string;
    /**
     * Lets the store answer nobody, and calls to it take effect late at times, until the returned function is called. All entries
     * of workers are gone then. Those of workers that reach the store are back within 2 s. With `keepsDead`, entries of crashed
     * workers that are due to be removed meanwhile stay until some seconds after the end.
     */
    loseStoreAndEntries(options?: { readonly keepsDead?: boolean; }): () => void;
    /** Whether the daemon's process runs, cut off or not. */
    isRunning(memberId: string): boolean;
    isCut(memberId: string, what: "peers" | "store" | "workers"): boolean;
    /** Writes a new version of the configuration; the organisations stay as they are where they are left out. */
    configure(version: number, organisations?: readonly Organisation[]): void;
    /** The organisations of the newest version of the configuration. */
    organisations(): readonly Organisation[];
    /** The newest version of the configuration. */
    version(): number;
    /** Writes the operator's request for a wave of upkeep. */
    requestUpkeep(wave: UpkeepWave): void;
    /** Removes the request for a wave of upkeep. */
    withdrawUpkeep(wave: number): void;
    /** State of a wave as written for the operator; undefined where none was written. */
    waveState(wave: number): string | undefined;
    /** Writes the entries of all workers to the platform's table. */
    writeWorkerEntries(): void;
    /** Removes a worker's entry from the platform's table. */
    removeWorkerEntry(workerId: string): void;
    /** Crashes workers for a reason that is not one of their tasks; they come back at their addresses as new incarnations. */
    crashWorkers(workerIds: readonly string[]): void;
    /** Sets the capacity of workers to a share of the usual one; their entries change with the next heartbeats. */
    resize(workerIds: readonly string[], share: number): void;
    /** Marks a worker's entry as draining; it leaves after `remainingMs` at the earliest. */
    drain(workerId: string, remainingMs: number): void;
    /** Calls that each daemon has sent to its peers and received from them so far. */
    peerCalls(): ReadonlyMap<string, PeerCalls>;
    /** Advances time until a condition holds; resolves with false if it does not within the limit. */
    until(holds: () => boolean | Promise<boolean>, limitMs: number): Promise<boolean>;
    /** State of each job as the owner reports it; advances time by some milliseconds. */
    statesOf(jobIds: readonly string[]): Promise<ReadonlyMap<string, string | undefined>>;
    /** Violations of the scheduler's guarantees so far, one line each. */
    breaches(): readonly string[];
    /**
     * Names of the stalled tasks: accepted, with the steps they depend on done, neither running nor done although workers have
     * room for them. With `roomFactor`, only those of which that many would fit.
     */
    standing(roomFactor?: number): readonly string[];
    /** Monotonic time at which the last fault ended, whether a test or a crashing task caused it; undefined while one lasts. */
    faultFreeSinceMs(): number | undefined;
    /** The step of a submitted task. */
    stepOf(taskName: string): Step | undefined;
    /** Monotonic time of the latest claim of the shard. */
    claimedAtMs(): number;
}

/** Calls between a daemon and its peers. */
export interface PeerCalls {
    readonly sent: number;
    readonly received: number;
}

/** Options of a cell. */
export interface ShardCellOptions {
    readonly members: number;
    readonly workers: number;
    readonly seed: number;
    /** Probability that the first run of a task fails; 1 lets every run fail. */
    readonly failureRate?: number;
    /** Mean duration of a run; "estimated" takes the estimates of the steps, with a deviation of at most a fifth. */
    readonly durationMs?: number | "estimated";
    /** Capacity of each worker. */
    readonly capacity?: Resources;
    readonly queues?: readonly Queue[];
    /** Callers are not distinguished where this is left out. */
    readonly organisations?: readonly Organisation[];
    readonly policies?: ShardPolicies;
    /** Strengths of the daemons' VMs in the order of the daemons; 1 where one is left out. */
    readonly strengths?: readonly number[];
    /** Data centres of the daemons in the order of the daemons; one for all where this is left out. */
    readonly dataCentres?: readonly string[];
    /** Data centres of the workers in the order of the workers; one for all where this is left out. */
    readonly workerDataCentres?: readonly string[];
    /** Rate of the workers' own clocks; 1 where this is left out. */
    readonly workerClockRate?: number;
    /** Whether VM calls with a lower fencing token than the VM has seen are refused. */
    readonly checksVmTokens?: boolean;
    /** Whether the members of a gang start work and end together, as on the users' workers; independent where this is left out. */
    readonly runsGangsTogether?: boolean;
    /** Whether the advisor allows a step on a worker. */
    readonly isAllowed?: (stepName: string, workerId: string) => boolean;
    /** How long a crashed worker is down; as observed by users where this is left out. */
    readonly crashedDownMs?: number | undefined;
    /** Whether a worker restarts under the same ID after a crash or upkeep; under a new one where this is left out. */
    readonly keepsIds?: boolean | undefined;
    /** Whether workers refuse tickets of other incarnations; otherwise a later incarnation can carry out orders for an earlier one. */
    readonly checksTickets?: boolean;
    /** Whether workers refuse tickets that have expired. */
    readonly ticketsExpire?: boolean;
    /** Capacity of restarted workers that keep their IDs; the usual one where this is left out. */
    readonly restartCapacity?: Resources;
    /** Working time from one checkpoint of a checkpointing task to the next; tasks save only at stops where this is left out. */
    readonly checkpointIntervalMs?: number | undefined;
    /** Least length of a checkpoint. */
    readonly checkpointLength?: number;
    /** Most tasks that a daemon holds; the default where it is left out. */
    readonly maxHeldTasks?: number;
    /** Processor time that the daemons' work takes; none where this is left out. */
    readonly costs?: ProcessorCosts;
    /** Longest time for which the answer to a start is under way, below the timeout of starts; each takes a random part of its upper half. */
    readonly startAnswerMs?: number;
    /** Longest time that a worker takes to carry out a start whose token it has checked; each takes a random part of it. */
    readonly startTakesMs?: number;
    /** Whether workers check starts as a whole as the orders come, so that a stop before the run begins has no effect on it. */
    readonly checksStartsOnce?: boolean;
    /** Whether workers list a run that is being stopped neither as running nor as ended until its end. */
    readonly hidesStopping?: boolean;
    /** A deliberate defect in every daemon's dependencies. */
    readonly broken?: BrokenShardPart | undefined;
}

/** One incarnation of a daemon's process; `alive` becomes false when it ends. */
interface Incarnation {
    alive: boolean;
}

/** A daemon's newest process. */
interface MemberProcess {
    readonly member: CellMember;
    readonly handlers: MemberHandlers;
    readonly incarnation: Incarnation;
    readonly processor: Processor;
    readonly suspension: Suspension;
}

/** Images whose tasks crash each worker that starts them: all tasks of a step, or its first one. */
export const crashingImages = { all: "crashes", first: "crashes-first" } as const;
/** Images whose tasks fail by themselves, in every run or in the first two: all tasks of a step, or its first one. */
export const failingImages = {
    all: "fails",
    first: "fails-first",
    allTwice: "fails-twice",
    firstTwice: "fails-first-twice",
} as const;
/** Number of runs that fail with the images `allTwice` and `firstTwice`. */
const temporaryFailureRuns = 2;
/** When a run with one of `failingImages` fails, as a share of its duration; no other member of its gang has ended by then. */
const failureAtShare = 0.3;
/** From the start of a task with one of `crashingImages` until it crashes its worker. */
const taskCrashDelayMs = 10;
/** How long after a fault the start of a gang may still fail because of it. */
const faultInfluenceMs = 4_000;
/** How long a crashed worker is down by default. */
const usualDownMs = 3_300;
/** From a worker's crash until the platform removes its entry. */
const entryRemovalMs = 4_500;
/** The longest time from a change of a worker to its next heartbeat. */
const heartbeatMs = 1_500;

/** Key prefix of the rows with the jobs' states, and the states of jobs that have not ended. */
const stateKeyPrefix = "state/";
const openStates: ReadonlySet<string> = new Set([jobStates.queued, jobStates.running]);
const isObjectWith = (value: unknown, field: string, type: string): boolean =>
    typeof value === "object" && value !== null && typeof (value as Record<string, unknown>)[field] === type;

const linkDelayMs = 1;
const unansweredMs = 3_000;
const leaveTimeoutMs = 4_000;
/** From the return of a link to the store until the entries of live workers that had lapsed are back, at most. */
const relistingMs = 2_000;
/** Share of the outages in which the channels of waiting feed calls deliver nothing further. */
const silentFeedShare = 0.5;
/** Share of the transactions sent during an outage that take effect all the same, and how long after they were sent at most. */
const lateTransactionShare = 0.25;
const longestLateTransactionMs = 8_000;
/** Timeout of a caller that submits once. */
const singleSubmitTimeoutMs = 2_500;
const stateWaitMs = 10;
const faultSeedOffset = 500_009;
const noCosts: ProcessorCosts = { firstLookMs: 0, lookMs: 0, callMs: 0 };
const workerCapacity: Resources = { cpuMillis: 8_000, memoryMib: 16_000, accelerators: 0 };

/** Rows of the fake operator and workers hold puffinarch's own types as JSON, so the schemas check only one field of each. */
const workerSchema = z.custom<WorkerEntry>(value => isObjectWith(value, "address", "string"), "a worker");
const configurationSchema = z.custom<CellConfiguration>(
    value => isObjectWith(value, "version", "number"),
    "a configuration",
);
const waveSchema = z.custom<UpkeepWave>(value => isObjectWith(value, "number", "number"), "a wave");

const submissionOf = (
    jobId: string,
    steps: readonly Step[],
    { queueKey = testQueue.key, organisation = "" }: Partial<Pick<JobSubmission, "queueKey" | "organisation">> = {},
): JobSubmission => ({
    jobId,
    queueKey,
    organisation,
    dataCentre: "leon-feria",
    payload: "plan",
    steps,
    schedule: { startAtMs: 0, intervalMs: 0, repeatCount: 0 },
});

/** Creates the platform's table entry for a worker of the cell. */
export const workerEntry = (workerId: string, index: number, capacity = workerCapacity): WorkerEntry => ({
    workerId,
    service: testQueue.service,
    address: `10.0.0.${index}:1`,
    dataCentre: "leon-feria",
    draining: false,
    capacity,
    labels: ["a", `rack-${index % 2}`],
    rack: `rack-${index % 2}`,
});

/**
 * Starts a cell with the given numbers of daemons and workers.
 *
 * @example
 * const cell = createShardCell({ members: 3, workers: 4, seed: 1 });
 * await cell.clock.advance(2_000);
 */
export const createShardCell = (
    {
        members: memberCount,
        workers: workerCount,
        seed,
        failureRate = 0,
        durationMs = 800,
        capacity,
        queues = [testQueue],
        organisations: firstOrganisations,
        policies,
        strengths = [],
        dataCentres = [],
        workerDataCentres = [],
        workerClockRate = 1,
        checksVmTokens = true,
        runsGangsTogether = false,
        isAllowed = () => true,
        crashedDownMs = usualDownMs,
        keepsIds = false,
        checksTickets = false,
        ticketsExpire = false,
        restartCapacity,
        checkpointIntervalMs,
        checkpointLength,
        maxHeldTasks = defaultShardSettings.maxHeldTasks,
        costs = noCosts,
        startAnswerMs = 0,
        startTakesMs = 0,
        checksStartsOnce = false,
        hidesStopping = false,
        broken,
    }: ShardCellOptions,
): ShardCell => {
    const clock = createFakeClock();
    const random = createSeededRandom(seed);
    const faultTracker = createFaultTracker(clock, () => isFaulty());
    const store = faultTracker.recordingCalls(createFakeRowStore(clock), [
        "setFault",
        "setUnreadable",
        "rejectRowsOf",
        "setLink",
        "forgetHistory",
        "silenceFeeds",
    ]);
    let claimedAtMs = 0;
    const log: { memberId: string; event: string; fields: Readonly<Record<string, unknown>>; }[] = [];
    const steps = new Map<string, readonly Step[]>();
    const scheduledJobs = new Set<string>();
    /** Descriptions of the runs that ended alone without a fault or a cancel as the cause. */
    const aloneRuns: string[] = [];
    /** Queue key of each job that was submitted with one. */
    const queueOf = new Map<string, string>();
    /** Organisation of each job that was submitted for one. */
    const organisationOf = new Map<string, string>();
    const stepOf = (taskName: string): Step | undefined => {
        const name = parseTaskName(taskName);
        return name === undefined ? undefined : steps.get(name.jobId)?.[name.step];
    };
    const runMs = (taskName: string): number =>
        durationMs === "estimated"
            ? (stepOf(taskName)?.estimateMs ?? 0) * (0.8 + 0.4 * random.next())
            : durationMs * (0.5 + random.next());
    const heldOf = (taskName: string): Resources => {
        const step = stepOf(taskName);
        return step === undefined ? noResources : reservedResources(step);
    };
    const crashesWorker = (taskName: string): boolean => {
        const image = stepOf(taskName)?.image;
        return image === crashingImages.all
            || image === crashingImages.first && parseTaskName(taskName)?.index === 0;
    };
    const failsByItself = (taskName: string, run: number): boolean => {
        const image = stepOf(taskName)?.image ?? "";
        const { all, first, allTwice, firstTwice } = failingImages;
        const isAffected = image === all || image === allTwice
            || (image === first || image === firstTwice) && parseTaskName(taskName)?.index === 0;
        return isAffected && (image === all || image === first || run <= temporaryFailureRuns);
    };
    /** Workers that were replaced under another ID after a crash, and are not listed again. */
    const replacedWorkerIds = new Set<string>();
    const isListed = (workerId: string): boolean => store.rows("workers").some(({ key }) => key === workerId);
    /** Draws for faults that not every cell has, so that the other draws of such a cell stay the same. */
    const faultRandom = createSeededRandom(seed + faultSeedOffset);
    /** Data centres whose workers are cut off from all daemons outside and from the store. */
    const isolated = new Set<string>();
    let outages = 0;
    /** Whether the present outage keeps entries of crashed workers, and of which ones it does. */
    let keepsDeadEntries = false;
    const deadEntries = new Set<string>();
    const reachesStore = (workerId: string): boolean =>
        outages === 0 && !isolated.has(workers.entryOf(workerId)?.dataCentre ?? "");
    /** Writes the entry of a worker that is up and reaches the store; others are listed again after the fault. */
    const listWorker = (workerId: string): void => {
        const newest = workers.entryOf(workerId);
        if (newest !== undefined && reachesStore(workerId)) {
            store.put("workers", workerId, newest);
        }
    };
    /** Lists the workers that are up and whose entries lapsed, each after a random time. */
    const relistWorkers = (): void => {
        for (const workerId of workers.workerIds()) {
            clock.setTimer(relistingMs * faultRandom.next(), () => {
                if (!isListed(workerId)) {
                    faultTracker.recordFault();
                    listWorker(workerId);
                }
            });
        }
    };

    /** Restarts a worker under its ID; its first heartbeat writes its entry after a random delay. */
    const restartUnderId = (workerId: string): void => {
        const entry = workers.restart(workerId, restartCapacity ?? capacity ?? workerCapacity);
        if (entry !== undefined) {
            clock.setTimer(heartbeatMs * random.next(), () => listWorker(workerId));
        }
    };

    /** Restarts a crashed worker under its ID after its downtime; the earlier entry is removed if the worker is still down then. */
    const scheduleReturnUnderId = ({ workerId }: WorkerEntry): void => {
        clock.setTimer(crashedDownMs, () => restartUnderId(workerId));
        clock.setTimer(entryRemovalMs, () => {
            if (workers.entryOf(workerId) === undefined) {
                store.remove("workers", workerId);
            }
        });
    };

    /** Replaces a crashed worker under a new ID at its address after its downtime; the earlier entry is removed. */
    const scheduleReplacement = (entry: WorkerEntry): void => {
        replacedWorkerIds.add(entry.workerId);
        clock.setTimer(crashedDownMs, () => {
            const next = { ...entry, workerId: `${entry.workerId}*`, capacity: capacity ?? workerCapacity };
            workers.replace(entry.workerId, next);
            listWorker(next.workerId);
        });
        clock.setTimer(entryRemovalMs, () => {
            if (outages > 0 && keepsDeadEntries) {
                deadEntries.add(entry.workerId);
                return;
            }
            store.remove("workers", entry.workerId);
        });
    };
    const scheduleReturn = keepsIds ? scheduleReturnUnderId : scheduleReplacement;
    const fakeWorkers = createFakeFencedWorkers({
        clock,
        leaseLimitMs: 10_000,
        clockRate: workerClockRate,
        checksTickets,
        checksStartsOnce,
        hidesStopping,
        saving: checkpointIntervalMs === undefined ? undefined : {
            intervalMs: checkpointIntervalMs,
            saves: taskName => stepOf(taskName)?.checkpointing === true,
            length: checkpointLength,
        },
        heldOf,
        gangSize: taskName => {
            const { gang = false, count = 0 } = stepOf(taskName) ?? {};
            return runsGangsTogether && gang ? count : 0;
        },
        ...(startAnswerMs === 0 ? {} : { startAnswerMs: () => startAnswerMs * (1 + random.next()) / 2 }),
        ...(startTakesMs === 0 ? {} : { startTakesMs: () => startTakesMs * random.next() }),
        onCrash: entry => {
            faultTracker.recordFault();
            scheduleReturn(entry);
        },
        onAlone: ({ taskName, run, workerId, startedAtMs }) => {
            const faultFreeMs = startedAtMs - (faultTracker.faultFreeSinceMs() ?? Infinity);
            const jobId = parseTaskName(taskName)?.jobId;
            const isCancelled = log.some(({ event, fields }) => event === "jobCancelled" && fields["jobId"] === jobId);
            if (faultFreeMs > faultInfluenceMs && !isCancelled) {
                aloneRuns.push(`${taskName}#${run} ran alone on ${workerId}`);
            }
        },
        model: (taskName, run) => ({
            crashesAfterMs: crashesWorker(taskName) ? taskCrashDelayMs : undefined,
            durationMs: stepOf(taskName)?.longRunning === true
                ? 3_600_000
                : runMs(taskName) * (failsByItself(taskName, run) ? failureAtShare : 1),
            // Only first runs fail by chance: a job that exhausted its attempts by chance would prove nothing about the scheduler.
            fails: (run === 1 || failureRate === 1) && random.next() < failureRate || failsByItself(taskName, run),
        }),
    });
    const workers = faultTracker.recordingCalls(fakeWorkers, [
        "setFault",
        "setLateLooks",
        "crash",
        "goDown",
        "replace",
        "restart",
        "resize",
        "add",
    ]);
    const memberProcesses = new Map<string, MemberProcess>();
    const cuts = new Map<string, ReadonlySet<string>>();
    const answers = new Map<string, string>();
    const ids = Array.from({ length: memberCount }, (_, index) => `entry-${index}`);
    /** Workers from which a daemon is cut off, by daemon. */
    const cutWorkers = new Map<string, ReadonlySet<string>>();
    const isCut = (memberId: string, what: string): boolean => cuts.get(memberId)?.has(what) === true;
    /** Data centres whose daemons and the others do not reach each other. */
    const separated = new Set<string>();
    /** By data centre that is cut off: what restores its links to the store, and what keeps its workers' entries from lapsing. */
    const storeBlocks = new Map<string, () => void>();
    const entryLapses = new Map<string, () => void>();
    const dataCentreOf = (memberId: string): string => dataCentres[ids.indexOf(memberId)] ?? "leon-feria";
    /** Whether a daemon and a worker are on different sides of a data centre that is cut off as a whole. */
    const isWorkerSeparated = (memberId: string, workerId: string): boolean => {
        const [left, right] = [dataCentreOf(memberId), workers.dataCentreOf(workerId) ?? ""];
        return left !== right && (isolated.has(left) || isolated.has(right));
    };
    const isUnreachable = (from: string, to: string): boolean => {
        const [left, right] = [dataCentreOf(from), dataCentreOf(to)];
        return isCut(from, "peers") || isCut(to, "peers")
            || left !== right && (separated.has(left) || separated.has(right));
    };

    const wait = (delayMs: number): Promise<void> =>
        new Promise(resolve => {
            clock.setTimer(delayMs, resolve);
        });

    const peerCalls = new Map<string, PeerCalls>();
    const countCall = (memberId: string, { sent, received }: PeerCalls): void => {
        const before = peerCalls.get(memberId) ?? { sent: 0, received: 0 };
        peerCalls.set(memberId, { sent: before.sent + sent, received: before.received + received });
    };

    /** Delays an answer that arrives during a suspension until the process continues. */
    const afterResume = async <T>(suspension: Suspension, answer: Promise<T>): Promise<T> => {
        try {
            return await answer;
        }
        finally {
            await suspension.whenRunning();
        }
    };

    /** As `afterResume`; where the process handles the end of the call's time limit first, `expired` is its outcome. */
    const unlessExpired = async <T>(
        suspension: Suspension,
        answer: Promise<T>,
        { timeoutMs, expired }: { readonly timeoutMs: number; readonly expired: () => T; },
    ): Promise<T> => {
        const dueAtMs = suspension.clock.monotonicMs() + timeoutMs;
        const settled = answer.then(value => () => value, (error: unknown) => (): T => {
            throw error;
        });
        const outcome = await settled;
        if (suspension.expires(dueAtMs)) {
            await suspension.whenRunning("timers");
            return expired();
        }
        await suspension.whenRunning();
        return outcome();
    };

    const queueDelayBetweenMs = (from: string, to: string): number =>
        (store.link(from)?.queueDelayMs() ?? 0) + (store.link(to)?.queueDelayMs() ?? 0);

    /** Sends the configuration over the links of both daemons. */
    const transferConfiguration = (from: string, to: string): readonly Transfer[] => {
        const bytes = store.rows("operator").reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
        return [from, to].flatMap(memberId => store.link(memberId)?.send(bytes) ?? []);
    };

    const peersOf = (from: string, incarnation: Incarnation): MemberPort => ({
        call: async (address, name, input, timeoutMs, longestMs = timeoutMs) => {
            countCall(from, { sent: 1, received: 0 });
            countCall(address, { sent: 0, received: 1 });
            const memberProcess = memberProcesses.get(address);
            if (!incarnation.alive) {
                return new Promise<never>(() => {});
            }
            await wait(linkDelayMs);
            if (memberProcess?.incarnation.alive !== true) {
                return die("unavailable", "no process listens at this address");
            }
            if (isUnreachable(from, address)) {
                await wait(Math.min(timeoutMs, unansweredMs));
                return die("mayHaveRun", "no answer");
            }
            let transfers: readonly Transfer[] = [];
            const handle = async (): Promise<unknown> => {
                await wait(queueDelayBetweenMs(from, address));
                await memberProcess.suspension.whenRunning();
                if (costs.callMs > 0) {
                    await memberProcess.processor.use(costs.callMs);
                }
                const answer = await memberProcess.handlers[name](input as never);
                transfers = name === "configuration" ? transferConfiguration(from, address) : [];
                await Promise.all(transfers.map(({ done }) => done));
                return answer;
            };
            const answer = await Promise.race([
                handle(),
                wait(longestMs).then(() => {
                    transfers.forEach(transfer => transfer.cancel());
                    return die("mayHaveRun", "no answer in time");
                }),
            ]);
            if (!memberProcess.incarnation.alive || isUnreachable(from, address)) {
                await wait(Math.min(timeoutMs, unansweredMs));
                return die("mayHaveRun", "the answer was lost");
            }
            return answer as never;
        },
    });

    const adviceTermsOf = (stepName: string): AdviceTerms | undefined => {
        const queueKey = queueOf.get(stepName.split(".", 1)[0] ?? "") ?? testQueue.key;
        return queues.find(queue => queue.key === queueKey)?.advice;
    };

    const advisor: AdvisorPort = {
        advise: async ({ stepName, workerIds }) => {
            const terms = adviceTermsOf(stepName);
            await wait((terms?.decideMs ?? 0) + (terms?.eachMs ?? 0) * workerIds.length);
            const validUntilMs = ticketsExpire ? clock.monotonicMs() + (terms?.validMs ?? 0) : Infinity;
            return {
                good: workerIds.filter(workerId => isAllowed(stepName, workerId))
                    .map(workerId => ({
                        workerId,
                        ticket: ticketFor(stepName, workers.entryOf(workerId), validUntilMs),
                    })),
                validMs: terms?.validMs ?? 0,
            };
        },
    };

    const readEntry = (row: Row): Decoded<WorkerEntry> => decodeRow(row, workerSchema);

    const start = (memberId: string): void => {
        const incarnation: Incarnation = { alive: true };
        const processor = createProcessor(clock);
        const suspension = createSuspension(clock);
        const delayUntilResumed =
            <A extends readonly unknown[], T>(call: (...args: A) => Promise<T>) => (...args: A): Promise<T> =>
                afterResume(suspension, call(...args));
        const peers = peersOf(memberId, incarnation);
        const alive = (): boolean => incarnation.alive;
        const memberLog: Log = {
            write: (_level, event, fields) => {
                // Code of a killed daemon goes on in this process; its log lines are dropped.
                if (alive()) {
                    log.push({ memberId, event, fields });
                    claimedAtMs = event === "claimed" ? clock.monotonicMs() : claimedAtMs;
                }
            },
        };
        const connection = store.connect(memberId);
        const unanswered = new Promise<never>(() => {});
        const directPort = workers.connect(
            workerId =>
                !isCut(memberId, "workers") && !isWorkerSeparated(memberId, workerId)
                && cutWorkers.get(memberId)?.has(workerId) !== true,
            suspension.depart,
        );
        const workerPort = costs === noCosts ? directPort : withProcessor(directPort, { clock, processor, costs });
        const dependencies = breakShardPart(broken, {
            workers: {
                start: (target, order, timeoutMs) => alive() ? workerPort.start(target, order, timeoutMs) : unanswered,
                stop: (target, order, timeoutMs) => alive() ? workerPort.stop(target, order, timeoutMs) : unanswered,
                look: (target, order) => alive() ? workerPort.look(target, order) : unanswered,
                pace: (target, order) => alive() ? workerPort.pace(target, order) : unanswered,
            },
            advisor,
            readWorker: readEntry,
        });
        const member = startCellMember({
            clock: costs === noCosts
                ? suspension.clock
                : withQueuedTimers(suspension.clock, processor, costs.countsOwnWork),
            log: memberLog,
            meter: noopMeter,
            random,
            settings: {
                ...defaultShardSettings,
                ticketsNameIncarnation: checksTickets,
                policies: policies ?? defaultShardSettings.policies,
                maxHeldTasks,
            },
            self: {
                memberId,
                address: memberId,
                dataCentre: dataCentreOf(memberId),
                incarnation: `${memberId}-${clock.monotonicMs()}`,
                strength: strengths[ids.indexOf(memberId)] ?? 1,
            },
            store: {
                limits: connection.limits,
                // A killed daemon sends nothing more, but calls that it has sent may still take effect.
                transact: (transaction, timeoutMs) =>
                    unlessExpired(
                        suspension,
                        alive() ? connection.transact(transaction, timeoutMs) : unanswered,
                        { timeoutMs, expired: () => ({ outcome: "unknown", reason: "no answer in time" }) },
                    ),
                read: delayUntilResumed((table, part, fromKey, limit, longestMs) =>
                    alive() ? connection.read(table, part, fromKey, limit, longestMs) : unanswered
                ),
                changes: delayUntilResumed((table, version, waitMs) =>
                    alive() ? connection.changes(table, version, waitMs) : unanswered
                ),
            },
            workers: {
                start: (target, order, timeoutMs) =>
                    unlessExpired(suspension, dependencies.workers.start(target, order, timeoutMs), {
                        timeoutMs,
                        expired: () => orderOutcomes.unknown,
                    }),
                stop: (target, order, timeoutMs) =>
                    unlessExpired(suspension, dependencies.workers.stop(target, order, timeoutMs), {
                        timeoutMs,
                        expired: () => orderOutcomes.unknown,
                    }),
                look: (target, order) =>
                    unlessExpired(suspension, dependencies.workers.look(target, order), {
                        timeoutMs: order.waitMs + order.answerTimeoutMs,
                        expired: () => ({ outcome: orderOutcomes.unknown }),
                    }),
                pace: delayUntilResumed(dependencies.workers.pace),
            },
            advisor: { advise: delayUntilResumed(dependencies.advisor.advise) },
            members: {
                call: (...call) =>
                    unlessExpired(suspension, peers.call(...call), {
                        timeoutMs: call[3],
                        expired: () => die("mayHaveRun", "no answer in time"),
                    }),
            },
            processor: { readTimes: processor.times, configuredShare: 1 },
            platform: {
                configurationTable: "operator",
                readConfiguration: row => row.key === "configuration" ? decodeRow(row, configurationSchema) : noEntry,
                workerTable: "workers",
                readWorker: dependencies.readWorker,
                upkeep: {
                    port: vms.port,
                    staleOrderWindowMs: checksVmTokens ? 0 : 15_000,
                    readWave: row => row.key.startsWith("wave/") ? decodeRow(row, waveSchema) : noEntry,
                    stateRow: (wave, state) => ({ table: "status", part: "", key: `wave/${wave}`, value: state }),
                },
            },
        });
        memberProcesses.set(memberId, { member, handlers: member.handlers, incarnation, processor, suspension });
    };

    const writeWorkerEntries = (): void => {
        for (const [index, workerId] of workers.workerIds().entries()) {
            const isDown = keepsIds && workers.entryOf(workerId) === undefined;
            if (!replacedWorkerIds.has(workerId) && !isDown && reachesStore(workerId)) {
                store.put("workers", workerId, workers.entryOf(workerId) ?? workerEntry(workerId, index, capacity));
            }
        }
    };

    for (let index = 0; index < workerCount; index += 1) {
        const entry = {
            ...workerEntry(`worker-${index}`, index, capacity),
            ...(workerDataCentres[index] === undefined ? {} : { dataCentre: workerDataCentres[index] }),
        };
        workers.add(keepsIds ? { ...entry, bornAtMs: Math.floor(clock.nowMs()) } : entry);
    }
    const fakeVms = createFakeVms({
        clock,
        workers,
        checksTokens: checksVmTokens,
        keepsIds,
        startNextWorker: (vmId, workerId) => {
            if (keepsIds) {
                restartUnderId(workerId);
                return workerId;
            }
            const index = Number(vmId.split("-").at(-1));
            const renewed = workerEntry(`${workerId}+`, index);
            store.remove("workers", workerId);
            workers.add(renewed);
            listWorker(renewed.workerId);
            return renewed.workerId;
        },
    });
    const vms = faultTracker.recordingCalls(fakeVms, ["setFault"]);
    writeWorkerEntries();
    let organisations = firstOrganisations;
    let newestVersion = 0;
    const capVersions: CapVersion[] = [];
    const configure = (version: number, next = organisations): void => {
        organisations = next;
        newestVersion = version;
        capVersions.push({
            atMs: clock.monotonicMs(),
            caps: new Map(organisations?.map(({ name, cap }) => [name, cap])),
        });
        const configuration: CellConfiguration = {
            version,
            queues,
            ...(organisations === undefined ? {} : { organisations }),
            maxHeaderBytes: 16_384,
            maxBodyBytes: 262_144,
        };
        store.put("operator", "configuration", configuration);
    };
    configure(1);
    for (const memberId of ids) {
        start(memberId);
    }

    /** Jobs whose stored state is open; they are accepted, whether or not their callers got the answer. */
    const openJobs = (): readonly string[] =>
        store.rows(journalTable).filter(({ key, value }) =>
            key.startsWith(stateKeyPrefix)
            && openStates.has((JSON.parse(value ?? "{}") as { state?: string; }).state ?? "")
        ).map(({ key }) => key.slice(stateKeyPrefix.length));

    /** Entries of the listed workers that take new tasks and have no fault. */
    const availableWorkers = (): readonly WorkerEntry[] =>
        store.rows("workers").map(readEntry).flatMap(decoded => decoded.kind === "entry" ? [decoded.entry] : [])
            .filter(({ workerId, draining }) => !draining && workers.isFaultFree(workerId));

    /**
     * Whether a job's organisation uses less than half of its cap, and the cap fits every step of the job; true for a job without
     * organisation.
     */
    const hasRoomUnderCap = (jobId: string): boolean => {
        const organisation = organisationOf.get(jobId) ?? "";
        const cap = organisations?.find(({ name }) => name === organisation)?.cap ?? noResources;
        const used = workers.evidence.filter(({ taskName, endedAtMs }) =>
            endedAtMs === undefined && organisationOf.get(parseTaskName(taskName)?.jobId ?? "") === organisation
        ).reduce((sum, { taskName }) => add(sum, heldOf(taskName)), noResources);
        const neededAtOnce = (step: Step): Resources =>
            step.gang ? scale(reservedResources(step), step.count) : reservedResources(step);
        const fitsCap = (steps.get(jobId) ?? []).every(step => amountAboveCap(cap, neededAtOnce(step)) === undefined);
        return organisation === "" || fitsCap && isUnderHalf(used, cap);
    };

    /** Whether an upkeep wave is open. Some of its workers take no new tasks then, and it is not visible from outside which. */
    const hasOpenWave = (): boolean =>
        store.rows("operator").some(({ key }) =>
            key.startsWith("wave/") && store.rows("status").find(row => row.key === key)?.value !== waveStates.completed
        );

    /** Whether a fault of a daemon, the store, the VM calls or a worker lasts; so does a worker that is up but not listed. */
    const isFaulty = (): boolean => {
        const listed = new Set(store.rows("workers").map(({ key }) => key));
        return cuts.size > 0 || cutWorkers.size > 0 || separated.size > 0 || isolated.size > 0
            || workers.hasLateLooks() || !store.isFaultFree() || !vms.isFaultFree()
            || [...memberProcesses.values()].some(({ incarnation, suspension }) =>
                !incarnation.alive || suspension.isSuspended()
            )
            || workers.workerIds().some(workerId =>
                listed.has(workerId) ? !workers.isFaultFree(workerId) : workers.entryOf(workerId) !== undefined
            );
    };

    const owner = (): string | undefined =>
        ids.find(id =>
            memberProcesses.get(id)?.incarnation.alive === true && memberProcesses.get(id)?.member.ownsShard()
        );

    const submitUntilAccepted = async (submission: JobSubmission): Promise<void> => {
        // Resends the same job ID through one daemon after another until it is accepted, as callers do.
        for (let index = submission.jobId.charCodeAt(submission.jobId.length - 1);; index += 1) {
            const memberProcess = memberProcesses.get(ids[index % ids.length] ?? "");
            if (memberProcess?.incarnation.alive === true) {
                try {
                    await Promise.race([
                        memberProcess.member.submit(submission, 2_000),
                        wait(unansweredMs).then(() => die("mayHaveRun", "no answer")),
                    ]);
                    answers.set(submission.jobId, "accepted");
                    return;
                }
                catch {
                    answers.set(submission.jobId, "refused");
                }
            }
            await wait(300);
        }
    };

    return {
        clock,
        store,
        workers,
        log,
        memberIds: () => ids,
        member: memberId => memberProcesses.get(memberId)?.member,
        owner,
        submit: (jobId, jobSteps, queueKey) => {
            steps.set(jobId, jobSteps);
            if (queueKey !== undefined) {
                queueOf.set(jobId, queueKey);
            }
            void submitUntilAccepted(submissionOf(jobId, jobSteps, queueKey === undefined ? {} : { queueKey }));
        },
        submitScheduled: (jobId, jobSteps, schedule) => {
            steps.set(jobId, jobSteps);
            scheduledJobs.add(jobId);
            void submitUntilAccepted({ ...submissionOf(jobId, jobSteps), schedule });
        },
        submitFor: (organisation, jobId, jobSteps, queueKey = testQueue.key) => {
            steps.set(jobId, jobSteps);
            organisationOf.set(jobId, organisation);
            queueOf.set(jobId, queueKey);
            void submitUntilAccepted(submissionOf(jobId, jobSteps, { queueKey, organisation }));
        },
        submitOnce: (jobId, jobSteps, memberId, organisation = "") => {
            steps.set(jobId, jobSteps);
            organisationOf.set(jobId, organisation);
            const memberProcess = memberProcesses.get(
                memberId ?? ids[jobId.charCodeAt(jobId.length - 1) % ids.length] ?? "",
            );
            void memberProcess?.member.submit(submissionOf(jobId, jobSteps, { organisation }), singleSubmitTimeoutMs)
                .then(
                    () => answers.set(jobId, "accepted"),
                    (error: unknown) => answers.set(jobId, kindOf(error)),
                );
        },
        submissionFor: (jobId, jobSteps, organisation) => {
            steps.set(jobId, jobSteps);
            organisationOf.set(jobId, organisation);
            return submissionOf(jobId, jobSteps, { organisation });
        },
        ask: async (memberId, request) => {
            const { member, incarnation, suspension } = memberProcesses.get(memberId)
                ?? die("notFound", "no such daemon");
            await suspension.whenRunning();
            if (!incarnation.alive) {
                return die("unavailable", "the daemon does not run");
            }
            const answer = await afterResume(suspension, request(member));
            return incarnation.alive ? answer : die("mayHaveRun", "the answer was lost");
        },
        answers: () => answers,
        kill: memberId => {
            faultTracker.recordFault();
            const memberProcess = memberProcesses.get(memberId);
            if (memberProcess !== undefined) {
                memberProcess.incarnation.alive = false;
            }
        },
        restart: memberId => {
            faultTracker.recordFault();
            if (memberProcesses.get(memberId)?.incarnation.alive !== true) {
                start(memberId);
            }
        },
        stop: async (memberId, graceMs) => {
            faultTracker.recordFault();
            const memberProcess = memberProcesses.get(memberId);
            const left = memberProcess?.member.leave(clock.monotonicMs() + (graceMs ?? leaveTimeoutMs));
            await (graceMs === undefined ? left : Promise.race([left, wait(graceMs)]));
            memberProcess?.member.close();
            if (memberProcess !== undefined) {
                memberProcess.incarnation.alive = false;
            }
        },
        slowDown: (memberId, factor) => {
            memberProcesses.get(memberId)?.processor.slowDown(factor);
        },
        suspend: (memberId, forMs) => {
            memberProcesses.get(memberId)?.suspension.suspend(forMs);
            clock.setTimer(forMs, faultTracker.recordFault);
        },
        stopProcess: (memberId, forMs, first) => {
            memberProcesses.get(memberId)?.suspension.stop(forMs, first);
            clock.setTimer(forMs, faultTracker.recordFault);
        },
        cut: (memberId, what) => {
            faultTracker.recordFault();
            cuts.set(memberId, new Set(what));
            if (what.includes("store")) {
                store.setFault("hang", memberId);
            }
        },
        cutFromWorkers: (memberId, workerIds) => {
            faultTracker.recordFault();
            cutWorkers.set(memberId, new Set(workerIds));
        },
        restoreLinks: memberId => {
            faultTracker.recordFault();
            cuts.delete(memberId);
            cutWorkers.delete(memberId);
            store.setFault("none", memberId);
        },
        cutDataCentre: (dataCentre, what) => {
            faultTracker.recordFault();
            if (what.includes("peers")) {
                separated.add(dataCentre);
            }
            if (what.includes("store")) {
                storeBlocks.get(dataCentre)?.();
                storeBlocks.set(dataCentre, store.block(ids.filter(id => dataCentreOf(id) === dataCentre)));
            }
            if (what.includes("workers")) {
                isolated.add(dataCentre);
                const cancelLapse = clock.setTimer(entryRemovalMs, () => {
                    for (const workerId of workers.workerIds().filter(id => workers.dataCentreOf(id) === dataCentre)) {
                        store.remove("workers", workerId);
                    }
                });
                entryLapses.set(dataCentre, cancelLapse);
            }
        },
        restoreDataCentre: dataCentre => {
            faultTracker.recordFault();
            separated.delete(dataCentre);
            storeBlocks.get(dataCentre)?.();
            storeBlocks.delete(dataCentre);
            entryLapses.get(dataCentre)?.();
            if (isolated.delete(dataCentre)) {
                relistWorkers();
            }
        },
        loseStoreAndEntries: ({ keepsDead = false } = {}) => {
            faultTracker.recordFault();
            outages += 1;
            keepsDeadEntries = keepsDead;
            if (faultRandom.next() < silentFeedShare) {
                store.silenceFeeds();
            }
            const unblock = store.block(
                ids,
                () =>
                    faultRandom.next() < lateTransactionShare
                        ? longestLateTransactionMs * faultRandom.next()
                        : undefined,
            );
            return () => {
                faultTracker.recordFault();
                for (const { key } of store.rows("workers")) {
                    if (!deadEntries.has(key)) {
                        store.remove("workers", key);
                    }
                }
                for (const workerId of deadEntries) {
                    clock.setTimer(entryRemovalMs, () => {
                        faultTracker.recordFault();
                        store.remove("workers", workerId);
                    });
                }
                deadEntries.clear();
                outages -= 1;
                unblock();
                relistWorkers();
            };
        },
        dataCentreOf,
        isRunning: memberId => memberProcesses.get(memberId)?.incarnation.alive === true,
        isCut,
        vms,
        requestUpkeep: wave => store.put("operator", `wave/${wave.number}`, wave),
        withdrawUpkeep: wave => store.remove("operator", `wave/${wave}`),
        waveState: wave => store.rows("status").find(row => row.key === `wave/${wave}`)?.value,
        configure,
        organisations: () => organisations ?? [],
        version: () => newestVersion,
        writeWorkerEntries: () => {
            faultTracker.recordFault();
            writeWorkerEntries();
        },
        removeWorkerEntry: workerId => {
            faultTracker.recordFault();
            store.remove("workers", workerId);
        },
        crashWorkers: workerIds => {
            for (const workerId of workerIds) {
                const entry = workers.entryOf(workerId);
                if (entry !== undefined) {
                    workers.goDown(workerId);
                    scheduleReturn(entry);
                }
            }
        },
        resize: (workerIds, share) => {
            const usual = capacity ?? workerCapacity;
            const next = {
                cpuMillis: Math.floor(share * usual.cpuMillis),
                memoryMib: Math.floor(share * usual.memoryMib),
                accelerators: Math.floor(share * usual.accelerators),
            };
            for (const workerId of workerIds) {
                const entry = workers.resize(workerId, next);
                if (entry !== undefined) {
                    clock.setTimer(heartbeatMs, () => {
                        if (isListed(workerId)) {
                            listWorker(workerId);
                        }
                    });
                }
            }
        },
        drain: (workerId, remainingMs) => {
            faultTracker.recordFault();
            const index = workers.workerIds().indexOf(workerId);
            store.put("workers", workerId, {
                ...workers.entryOf(workerId) ?? workerEntry(workerId, index),
                draining: true,
                drainRemainingMs: remainingMs,
            });
        },
        peerCalls: () => new Map(peerCalls),
        until: async (holds, limitMs) => {
            for (let passedMs = 0; passedMs < limitMs; passedMs += 100) {
                if (await holds()) {
                    return true;
                }
                await clock.advance(100);
            }
            return holds();
        },
        statesOf: async jobIds => {
            const states = new Map<string, string | undefined>(jobIds.map(jobId => [jobId, undefined]));
            const memberId = owner();
            const memberProcess = memberId === undefined ? undefined : memberProcesses.get(memberId);
            for (const jobId of memberProcess === undefined ? [] : jobIds) {
                void memberProcess?.handlers.jobState({ queueKey: testQueue.key, jobId }).then(answer => {
                    states.set(jobId, answer.state);
                }, () => {
                    states.set(jobId, "unknown");
                });
            }
            // An owner that has just taken over may still be reading the jobs that ended before.
            await clock.advance(stateWaitMs);
            return states;
        },
        breaches: () => [
            ...log.filter(({ event }) => event === "workFailed").map(({ memberId, fields }) =>
                `${memberId}: ${String(fields["work"])} has failed: ${String(fields["reason"])}`
            ),
            ...findBreaches(workers.evidence, taskName => stepOf(taskName)?.speculative === true),
            ...(workers.savedCheckpoints === undefined ? [] : findCheckpointBreaches(workers.evidence, {
                saved: workers.savedCheckpoints,
                gangOf: taskName =>
                    stepOf(taskName)?.gang === true ? taskName.slice(0, taskName.lastIndexOf(".")) : undefined,
            })),
            ...workers.overcommitted().map(workerId => `${workerId} held more than its capacity`),
            ...aloneRuns,
            ...log.filter(({ event }) => event === "accountCorrected").map(({ fields }) =>
                `the account of ${String(fields["organisation"])} had to be corrected`
            ),
            ...capBreaches({
                evidence: workers.evidence,
                versions: capVersions,
                organisationOf: taskName => organisationOf.get(parseTaskName(taskName)?.jobId ?? "") ?? "",
                heldOf,
            }),
        ],
        faultFreeSinceMs: faultTracker.faultFreeSinceMs,
        stepOf,
        claimedAtMs: () => claimedAtMs,
        standing: times =>
            hasOpenWave() ? [] : findStalledTasks({
                jobs: openJobs().filter(jobId => !scheduledJobs.has(jobId) && hasRoomUnderCap(jobId)).map(jobId => ({
                    jobId,
                    steps: steps.get(jobId) ?? [],
                })),
                evidence: workers.evidence,
                workers: availableWorkers(),
                heldOf,
                isAllowed,
                ...(times === undefined ? {} : { roomFactor: times }),
            }),
    };
};
