/** Several daemons of a cell in one process on a fake clock, with links that can be cut and daemons that can be killed. */

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
    type Organisation,
    parseTaskName,
    type Queue,
    reservedResources,
    type Resources,
    type Row,
    scale,
    type ShardPolicies,
    startCellMember,
    type Step,
    type UpkeepWave,
    waveStates,
    type WorkerEntry,
} from "puffinarch";
import { z } from "zod";
import { createFakeClock, type FakeClock } from "../cell/fakeClock.js";
import { quietMeter } from "../quiet.js";
import { breakShardPart, type BrokenShardPart } from "./brokenShardParts.js";
import { createCalm } from "./calm.js";
import { capBreaches, type CapVersion, isUnderHalf } from "./capCheck.js";
import { createFakeVms, type FakeVms } from "./fakeVms.js";
import { breachesOf, createFakeFencedWorkers, type FakeFencedWorkers, ticketFor } from "./fencedWorkers.js";
import type { Transfer } from "./link.js";
import { createProcessor, type Processor, type ProcessorCosts, withLateTimers, withProcessor } from "./processor.js";
import { createFakeRowStore, type FakeRowStore } from "./rowStore.js";
import { standingTasks } from "./standing.js";
import { createSuspension, type Suspension } from "./suspension.js";

/** The queue that the cell's configuration has. */
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

/** So many queues that nobody uses, each with some 240 bytes in the configuration. */
export const otherQueues = (count: number): readonly Queue[] =>
    Array.from({ length: count }, (_, index) => ({
        ...testQueue,
        key: `stages.example/others/${index}/`,
        pathPrefix: `/others/${index}/`,
    }));

/** A step of one plain task, to be changed in part. */
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

/** The cell. */
export interface ShardCell {
    readonly clock: FakeClock;
    readonly store: FakeRowStore;
    readonly workers: FakeFencedWorkers;
    readonly vms: FakeVms;
    readonly log: readonly {
        readonly memberId: string;
        readonly event: string;
        readonly fields: Readonly<Record<string, unknown>>;
    }[];
    memberIds(): readonly string[];
    member(memberId: string): CellMember | undefined;
    owner(): string | undefined;
    submit(jobId: string, steps: readonly Step[], queueKey?: string): void;
    /** Submits for a caller of an organisation. */
    submitFor(organisation: string, jobId: string, steps: readonly Step[], queueKey?: string): void;
    /** Submits through one daemon and never again; the answer, or the kind of its failure, is among the answers. */
    submitOnce(jobId: string, steps: readonly Step[], memberId?: string, organisation?: string): void;
    /** Acceptances and refusals so far, by job. */
    answers(): ReadonlyMap<string, string>;
    kill(memberId: string): void;
    restart(memberId: string): void;
    stop(memberId: string): Promise<void>;
    /** Suspends a daemon's VM for a while, which its steady clock does not count. */
    suspend(memberId: string, forMs: number): void;
    /** Cuts a daemon off from its peers, the store and the workers, or mends all of it. */
    cut(memberId: string, what: readonly ("peers" | "store" | "workers")[]): void;
    mend(memberId: string): void;
    /** Whether the daemon's process is there, cut off or not. */
    isRunning(memberId: string): boolean;
    isCut(memberId: string, what: "peers" | "store" | "workers"): boolean;
    /** Puts the configuration in force under a new version, with these organisations where they change. */
    configure(version: number, organisations?: readonly Organisation[]): void;
    /** The organisations of the newest version. */
    organisations(): readonly Organisation[];
    /** The newest version. */
    version(): number;
    /** The operator asks for a wave of upkeep. */
    askUpkeep(wave: UpkeepWave): void;
    withdrawUpkeep(wave: number): void;
    /** State of a wave as the operator is shown it. */
    waveState(wave: number): string | undefined;
    listWorkers(): void;
    unlist(workerId: string): void;
    /** Workers go down at once, for a cause that is not their tasks', and are back at their addresses as other incarnations. */
    crashWorkers(workerIds: readonly string[]): void;
    /** Workers have this share of their usual capacity from now on, and say so with their next heartbeats. */
    resize(workerIds: readonly string[], share: number): void;
    /** The worker says that it leaves, after this time at the least. */
    drain(workerId: string, remainingMs: number): void;
    /** Calls that each daemon has sent to its peers and taken from them so far. */
    peerCalls(): ReadonlyMap<string, PeerCalls>;
    /** Moves time until a condition holds; fails after the limit. */
    until(holds: () => boolean | Promise<boolean>, limitMs: number): Promise<boolean>;
    /** State of each job as the owner shows it; moves time a little. */
    statesOf(jobIds: readonly string[]): Promise<ReadonlyMap<string, string | undefined>>;
    breaches(): readonly string[];
    /**
     * Accepted tasks that neither run nor have ended although their turn has come and workers with room answer; only those
     * with room for so many of them, where a number is given.
     */
    standing(times?: number): readonly string[];
    /** When the last fault was over, as a scene or a crash brought it; undefined while one lasts. */
    calmSinceMs(): number | undefined;
    /** The step of a task that was submitted. */
    stepOf(taskName: string): Step | undefined;
    /** When the shard's present owner claimed it, or the last one. */
    claimedAtMs(): number;
}

/** Calls between a daemon and its peers. */
export interface PeerCalls {
    readonly sent: number;
    readonly taken: number;
}

/** What a cell is made of. */
export interface ShardCellOptions {
    readonly members: number;
    readonly workers: number;
    readonly seed: number;
    /** Share of runs that fail. */
    readonly failOften?: number;
    /** Mean length of a run; "estimated" for the estimates of the steps, off by a fifth at most. */
    readonly durationMs?: number | "estimated";
    /** Of each worker. */
    readonly capacity?: Resources;
    readonly queues?: readonly Queue[];
    /** Callers are not told apart where it is left out. */
    readonly organisations?: readonly Organisation[];
    readonly policies?: ShardPolicies;
    /** Of the daemons' VMs; 1 where it is left out. */
    readonly strengths?: readonly number[];
    /** Whether the calls for VMs refuse a lower fencing token than they have seen. */
    readonly checksVmTokens?: boolean;
    /** Whether the members of a gang work and end with each other, as users' workers have it; each by itself where it is left out. */
    readonly breaksGangs?: boolean;
    /** Whether the advisor allows a step on a worker. */
    readonly isGood?: (stepName: string, workerId: string) => boolean;
    /** How long a worker that crashed is away; as users saw it where it is left out. */
    readonly crashedDownMs?: number | undefined;
    /** Whether a worker that crashed, or had its upkeep, starts again under its ID; it has another one where it is left out. */
    readonly keepsIds?: boolean | undefined;
    /** Whether workers refuse tickets of other incarnations; where they do not, orders for one incarnation can be carried out by the next. */
    readonly checksTickets?: boolean;
    /** Of workers that have started again; as before where it is left out. */
    readonly nextCapacity?: Resources;
    /** What the daemons' work costs their processors; nothing where it is left out. */
    readonly costs?: ProcessorCosts;
    /** A part of every daemon's surroundings that is broken on purpose. */
    readonly broken?: BrokenShardPart | undefined;
}

/** One incarnation of a daemon's process. */
interface Incarnation {
    alive: boolean;
}

interface Seat {
    readonly member: CellMember;
    readonly handlers: MemberHandlers;
    readonly incarnation: Incarnation;
    readonly processor: Processor;
    readonly suspension: Suspension;
}

/** Images whose tasks crash each worker that starts them: all tasks of a step, or its first one. */
export const crashingImages = { all: "crashes", first: "crashes-first" } as const;
/** Images whose tasks fail by themselves: in each run, or in the first two; all tasks of a step, or its first one. */
export const failingImages = {
    all: "fails",
    first: "fails-first",
    allTwice: "fails-twice",
    firstTwice: "fails-first-twice",
} as const;
const failsInRuns = 2;
/** When a run fails by itself, as a share of its time: before any member of its gang has ended. */
const failsAtShare = 0.3;
/** How long after its start such a task crashes its worker, how long the worker is down, and when its entry lapses. */
const crashAfterMs = 10;
const usualDownMs = 3_300;
const entryLapsesMs = 4_500;
/** The longest time from a change at a worker to its next heartbeat. */
const heartbeatMs = 1_500;

/** Key prefix of the rows with the jobs' states, and the states of jobs that go on. */
const stateKeyPrefix = "state/";
const openStates: ReadonlySet<string> = new Set([jobStates.queued, jobStates.running]);
const isObjectWith = (value: unknown, field: string, type: string): boolean =>
    typeof value === "object" && value !== null && typeof (value as Record<string, unknown>)[field] === type;

const linkMs = 1;
const unansweredMs = 3_000;
const leaveMs = 4_000;
/** The time of a caller that asks once. */
const onceMs = 2_500;
const stateWaitMs = 10;
const noCosts: ProcessorCosts = { firstLookMs: 0, lookMs: 0, callMs: 0 };
const workerCapacity: Resources = { cpuMillis: 8_000, memoryMib: 16_000, accelerators: 0 };

/** Rows of the fakes' operator and workers are the product's own types; what is no object of theirs cannot be read. */
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

/** An entry in the platform's list for a worker of the cell. */
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
 * Starts a cell of some daemons and workers.
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
        failOften = 0,
        durationMs = 800,
        capacity,
        queues = [testQueue],
        organisations: firstOrganisations,
        policies,
        strengths = [],
        checksVmTokens = true,
        breaksGangs = false,
        isGood = () => true,
        crashedDownMs = usualDownMs,
        keepsIds = false,
        checksTickets = false,
        nextCapacity,
        costs = noCosts,
        broken,
    }: ShardCellOptions,
): ShardCell => {
    const clock = createFakeClock();
    const random = createSeededRandom(seed);
    const calm = createCalm(clock, () => isDisturbed());
    const store = calm.noting(createFakeRowStore(clock), [
        "setFault",
        "setUnreadable",
        "setLink",
        "forgetHistory",
        "silenceFeeds",
    ]);
    let claimedAtMs = 0;
    const log: { memberId: string; event: string; fields: Readonly<Record<string, unknown>>; }[] = [];
    const steps = new Map<string, readonly Step[]>();
    /** Queue of each job that was not submitted to the usual one. */
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
        const isHit = image === all || image === allTwice
            || (image === first || image === firstTwice) && parseTaskName(taskName)?.index === 0;
        return isHit && (image === all || image === first || run <= failsInRuns);
    };
    /** Workers that went down, which no list has any more. */
    const replaced = new Set<string>();
    const isListed = (workerId: string): boolean => store.rows("workers").some(({ key }) => key === workerId);

    /** The worker starts again under its ID, and says so in the store with its first heartbeat, sooner or later. */
    const startAgain = (workerId: string): void => {
        const entry = workers.startAgain(workerId, nextCapacity ?? capacity ?? workerCapacity);
        if (entry !== undefined) {
            clock.setTimer(heartbeatMs * random.next(), () => {
                const newest = workers.entryOf(workerId);
                if (newest !== undefined) {
                    store.put("workers", workerId, newest);
                }
            });
        }
    };

    /** It is back under its ID after a while; its entry, which is that of the incarnation before, lapses if that takes long. */
    const bringBackUnderId = ({ workerId }: WorkerEntry): void => {
        clock.setTimer(crashedDownMs, () => startAgain(workerId));
        clock.setTimer(entryLapsesMs, () => {
            if (workers.entryOf(workerId) === undefined) {
                store.remove("workers", workerId);
            }
        });
    };

    /** A worker that was crashed is back at its address after a while, and its former entry lapses. */
    const bringBackAnew = (entry: WorkerEntry): void => {
        replaced.add(entry.workerId);
        clock.setTimer(crashedDownMs, () => {
            const next = { ...entry, workerId: `${entry.workerId}*`, capacity: capacity ?? workerCapacity };
            workers.replace(entry.workerId, next);
            store.put("workers", next.workerId, next);
        });
        clock.setTimer(entryLapsesMs, () => store.remove("workers", entry.workerId));
    };
    const bringBack = keepsIds ? bringBackUnderId : bringBackAnew;
    const fakeWorkers = createFakeFencedWorkers({
        clock,
        leaseLimitMs: 10_000,
        checksTickets,
        heldOf,
        gangSize: taskName => {
            const { gang = false, count = 0 } = stepOf(taskName) ?? {};
            return breaksGangs && gang ? count : 0;
        },
        onCrash: entry => {
            calm.note();
            bringBack(entry);
        },
        model: (taskName, run) => ({
            crashesAfterMs: crashesWorker(taskName) ? crashAfterMs : undefined,
            durationMs: stepOf(taskName)?.longRunning === true
                ? 3_600_000
                : runMs(taskName) * (failsByItself(taskName, run) ? failsAtShare : 1),
            // One failure a task: a job that fails by bad luck alone proves nothing.
            fails: (run === 1 || failOften === 1) && random.next() < failOften || failsByItself(taskName, run),
        }),
    });
    const workers = calm.noting(fakeWorkers, ["setFault", "crash", "goDown", "replace", "startAgain", "resize", "add"]);
    const seats = new Map<string, Seat>();
    const cuts = new Map<string, ReadonlySet<string>>();
    const answers = new Map<string, string>();
    const ids = Array.from({ length: memberCount }, (_, index) => `entry-${index}`);
    const isCut = (memberId: string, what: string): boolean => cuts.get(memberId)?.has(what) === true;

    const wait = (delayMs: number): Promise<void> =>
        new Promise(resolve => {
            clock.setTimer(delayMs, resolve);
        });

    const peerCalls = new Map<string, PeerCalls>();
    const countCall = (memberId: string, { sent, taken }: PeerCalls): void => {
        const before = peerCalls.get(memberId) ?? { sent: 0, taken: 0 };
        peerCalls.set(memberId, { sent: before.sent + sent, taken: before.taken + taken });
    };

    /** What arrives while the VM is suspended is read when it runs again. */
    const readAwake = async <T>(suspension: Suspension, answer: Promise<T>): Promise<T> => {
        try {
            return await answer;
        }
        finally {
            await suspension.awake();
        }
    };

    const queueMsBetween = (from: string, to: string): number =>
        (store.link(from)?.queueMs() ?? 0) + (store.link(to)?.queueMs() ?? 0);

    /** Over the links of both, which it fills while it comes. */
    const carryConfiguration = (from: string, to: string): readonly Transfer[] => {
        const bytes = store.rows("operator").reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
        return [from, to].flatMap(memberId => store.link(memberId)?.carry(bytes) ?? []);
    };

    const peersOf = (from: string, incarnation: Incarnation): MemberPort => ({
        call: async (address, name, input, timeoutMs, longestMs = timeoutMs) => {
            countCall(from, { sent: 1, taken: 0 });
            countCall(address, { sent: 0, taken: 1 });
            const seat = seats.get(address);
            if (!incarnation.alive) {
                return new Promise<never>(() => {});
            }
            await wait(linkMs);
            if (seat?.incarnation.alive !== true) {
                return die("unavailable", "nobody listens there");
            }
            if (isCut(from, "peers") || isCut(address, "peers")) {
                await wait(Math.min(timeoutMs, unansweredMs));
                return die("mayHaveRun", "no answer");
            }
            let carried: readonly Transfer[] = [];
            const handle = async (): Promise<unknown> => {
                await wait(queueMsBetween(from, address));
                await seat.suspension.awake();
                if (costs.callMs > 0) {
                    await seat.processor.use(costs.callMs);
                }
                const answer = await seat.handlers[name](input as never);
                carried = name === "configuration" ? carryConfiguration(from, address) : [];
                await Promise.all(carried.map(({ done }) => done));
                return answer;
            };
            const answer = await Promise.race([
                handle(),
                wait(longestMs).then(() => {
                    carried.forEach(transfer => transfer.cancel());
                    return die("mayHaveRun", "no answer in time");
                }),
            ]);
            if (!seat.incarnation.alive || isCut(from, "peers") || isCut(address, "peers")) {
                await wait(Math.min(timeoutMs, unansweredMs));
                return die("mayHaveRun", "the answer was lost");
            }
            return answer as never;
        },
    });

    const termsOf = (stepName: string): AdviceTerms | undefined => {
        const queueKey = queueOf.get(stepName.split(".", 1)[0] ?? "") ?? testQueue.key;
        return queues.find(queue => queue.key === queueKey)?.advice;
    };

    const advisor: AdvisorPort = {
        advise: async ({ stepName, workerIds }) => {
            const terms = termsOf(stepName);
            await wait((terms?.decideMs ?? 0) + (terms?.eachMs ?? 0) * workerIds.length);
            return {
                good: workerIds.filter(workerId => isGood(stepName, workerId))
                    .map(workerId => ({ workerId, ticket: ticketFor(stepName, workers.entryOf(workerId)) })),
                validMs: terms?.validMs ?? 0,
            };
        },
    };

    const readEntry = (row: Row): Decoded<WorkerEntry> => decodeRow(row, workerSchema);

    const start = (memberId: string): void => {
        const incarnation: Incarnation = { alive: true };
        const processor = createProcessor(clock);
        const suspension = createSuspension(clock);
        const awake = <A extends readonly unknown[], T>(call: (...args: A) => Promise<T>) => (...args: A): Promise<T> =>
            readAwake(suspension, call(...args));
        const peers = peersOf(memberId, incarnation);
        const alive = (): boolean => incarnation.alive;
        const writer: Log = {
            write: (_level, event, fields) => {
                // What is left of a killed process in this one says nothing.
                if (alive()) {
                    log.push({ memberId, event, fields });
                    claimedAtMs = event === "claimed" ? clock.monotonicMs() : claimedAtMs;
                }
            },
        };
        const connection = store.connect(memberId);
        const never = new Promise<never>(() => {});
        const fast = workers.connect(() => !isCut(memberId, "workers"));
        const port = costs === noCosts ? fast : withProcessor(fast, { clock, processor, costs });
        const surroundings = breakShardPart(broken, {
            workers: {
                start: (target, order, timeoutMs) => alive() ? port.start(target, order, timeoutMs) : never,
                stop: (target, order, timeoutMs) => alive() ? port.stop(target, order, timeoutMs) : never,
                look: (target, order) => alive() ? port.look(target, order) : never,
                pace: (target, order) => alive() ? port.pace(target, order) : never,
            },
            advisor,
            readWorker: readEntry,
        });
        const member = startCellMember({
            clock: costs === noCosts ? suspension.clock : withLateTimers(suspension.clock, processor),
            log: writer,
            meter: quietMeter,
            random,
            settings: {
                ...defaultShardSettings,
                ticketsNameIncarnation: checksTickets,
                policies: policies ?? defaultShardSettings.policies,
            },
            self: {
                memberId,
                address: memberId,
                dataCentre: "leon-feria",
                incarnation: `${memberId}-${clock.monotonicMs()}`,
                strength: strengths[ids.indexOf(memberId)] ?? 1,
            },
            store: {
                // A killed process sends nothing more; what it had sent may still take effect.
                transact: awake((transaction, timeoutMs) =>
                    alive() ? connection.transact(transaction, timeoutMs) : never
                ),
                read: awake((table, part, fromKey, limit, longestMs) =>
                    alive() ? connection.read(table, part, fromKey, limit, longestMs) : never
                ),
                changes: awake((table, version, waitMs) =>
                    alive() ? connection.changes(table, version, waitMs) : never
                ),
            },
            workers: {
                start: awake(surroundings.workers.start),
                stop: awake(surroundings.workers.stop),
                look: awake(surroundings.workers.look),
                pace: awake(surroundings.workers.pace),
            },
            advisor: { advise: awake(surroundings.advisor.advise) },
            members: { call: (...call) => readAwake(suspension, peers.call(...call)) },
            platform: {
                configurationTable: "operator",
                readConfiguration: row => row.key === "configuration" ? decodeRow(row, configurationSchema) : noEntry,
                workerTable: "workers",
                readWorker: surroundings.readWorker,
                upkeep: {
                    port: vms.port,
                    staleOrderWindowMs: checksVmTokens ? 0 : 15_000,
                    readWave: row => row.key.startsWith("wave/") ? decodeRow(row, waveSchema) : noEntry,
                    stateRow: (wave, state) => ({ table: "status", part: "", key: `wave/${wave}`, value: state }),
                },
            },
        });
        seats.set(memberId, { member, handlers: member.handlers, incarnation, processor, suspension });
    };

    const listWorkers = (): void => {
        for (const [index, workerId] of workers.workerIds().entries()) {
            const isDown = keepsIds && workers.entryOf(workerId) === undefined;
            if (!replaced.has(workerId) && !isDown) {
                store.put("workers", workerId, workers.entryOf(workerId) ?? workerEntry(workerId, index, capacity));
            }
        }
    };

    for (let index = 0; index < workerCount; index += 1) {
        const entry = workerEntry(`worker-${index}`, index, capacity);
        workers.add(keepsIds ? { ...entry, bornAtMs: Math.floor(clock.nowMs()) } : entry);
    }
    const fakeVms = createFakeVms({
        clock,
        workers,
        checksTokens: checksVmTokens,
        keepsIds,
        renew: (vmId, workerId) => {
            if (keepsIds) {
                startAgain(workerId);
                return workerId;
            }
            const index = Number(vmId.split("-").at(-1));
            const renewed = workerEntry(`${workerId}+`, index);
            store.remove("workers", workerId);
            workers.add(renewed);
            store.put("workers", renewed.workerId, renewed);
            return renewed.workerId;
        },
    });
    const vms = calm.noting(fakeVms, ["setFault"]);
    listWorkers();
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

    /** Jobs whose row says that they go on; they are accepted, whoever has heard so. */
    const openJobs = (): readonly string[] =>
        store.rows(journalTable).filter(({ key, value }) =>
            key.startsWith(stateKeyPrefix)
            && openStates.has((JSON.parse(value ?? "{}") as { state?: string; }).state ?? "")
        ).map(({ key }) => key.slice(stateKeyPrefix.length));

    const workersForNew = (): readonly WorkerEntry[] =>
        store.rows("workers").map(readEntry).flatMap(decoded => decoded.kind === "entry" ? [decoded.entry] : [])
            .filter(({ workerId, draining }) => !draining && workers.isSound(workerId));

    /** Whether the organisation of a job has under half of its cap at work, and a cap that ever holds its widest step. */
    const hasRoomUnderCap = (jobId: string): boolean => {
        const organisation = organisationOf.get(jobId) ?? "";
        const cap = organisations?.find(({ name }) => name === organisation)?.cap ?? noResources;
        const used = workers.evidence.filter(({ taskName, endedAtMs }) =>
            endedAtMs === undefined && organisationOf.get(parseTaskName(taskName)?.jobId ?? "") === organisation
        ).reduce((sum, { taskName }) => add(sum, heldOf(taskName)), noResources);
        const atOnce = (step: Step): Resources =>
            step.gang ? scale(reservedResources(step), step.count) : reservedResources(step);
        const fitsCap = (steps.get(jobId) ?? []).every(step => amountAboveCap(cap, atOnce(step)) === undefined);
        return organisation === "" || fitsCap && isUnderHalf(used, cap);
    };

    /** Workers of a wave that goes on are closed to new tasks, and from outside nobody sees which. */
    const wavesOpen = (): boolean =>
        store.rows("operator").some(({ key }) =>
            key.startsWith("wave/") && store.rows("status").find(row => row.key === key)?.value !== waveStates.completed
        );

    /** Whether a fault lasts: of a daemon, the store, the VMs' calls or a worker that is listed or should be. */
    const isDisturbed = (): boolean => {
        const listed = new Set(store.rows("workers").map(({ key }) => key));
        return cuts.size > 0 || !store.isSound() || !vms.isSound()
            || [...seats.values()].some(({ incarnation, suspension }) => !incarnation.alive || suspension.isSuspended())
            || workers.workerIds().some(workerId =>
                listed.has(workerId) ? !workers.isSound(workerId) : workers.entryOf(workerId) !== undefined
            );
    };

    const owner = (): string | undefined =>
        ids.find(id => seats.get(id)?.incarnation.alive === true && seats.get(id)?.member.ownsShard());

    const send = async (submission: JobSubmission): Promise<void> => {
        // A caller resends the same id, through any daemon, until it is accepted.
        for (let index = submission.jobId.charCodeAt(submission.jobId.length - 1);; index += 1) {
            const seat = seats.get(ids[index % ids.length] ?? "");
            if (seat?.incarnation.alive === true) {
                try {
                    await Promise.race([
                        seat.member.submit(submission, 2_000),
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
        member: memberId => seats.get(memberId)?.member,
        owner,
        submit: (jobId, jobSteps, queueKey) => {
            steps.set(jobId, jobSteps);
            if (queueKey !== undefined) {
                queueOf.set(jobId, queueKey);
            }
            void send(submissionOf(jobId, jobSteps, queueKey === undefined ? {} : { queueKey }));
        },
        submitFor: (organisation, jobId, jobSteps, queueKey = testQueue.key) => {
            steps.set(jobId, jobSteps);
            organisationOf.set(jobId, organisation);
            queueOf.set(jobId, queueKey);
            void send(submissionOf(jobId, jobSteps, { queueKey, organisation }));
        },
        submitOnce: (jobId, jobSteps, memberId, organisation = "") => {
            steps.set(jobId, jobSteps);
            organisationOf.set(jobId, organisation);
            const seat = seats.get(memberId ?? ids[jobId.charCodeAt(jobId.length - 1) % ids.length] ?? "");
            void seat?.member.submit(submissionOf(jobId, jobSteps, { organisation }), onceMs).then(
                () => answers.set(jobId, "accepted"),
                (error: unknown) => answers.set(jobId, kindOf(error)),
            );
        },
        answers: () => answers,
        kill: memberId => {
            calm.note();
            const seat = seats.get(memberId);
            if (seat !== undefined) {
                seat.incarnation.alive = false;
            }
        },
        restart: memberId => {
            calm.note();
            if (seats.get(memberId)?.incarnation.alive !== true) {
                start(memberId);
            }
        },
        stop: async memberId => {
            calm.note();
            const seat = seats.get(memberId);
            await seat?.member.leave(clock.monotonicMs() + leaveMs);
            seat?.member.close();
            if (seat !== undefined) {
                seat.incarnation.alive = false;
            }
        },
        suspend: (memberId, forMs) => {
            seats.get(memberId)?.suspension.suspend(forMs);
            clock.setTimer(forMs, calm.note);
        },
        cut: (memberId, what) => {
            calm.note();
            cuts.set(memberId, new Set(what));
            if (what.includes("store")) {
                store.setFault("hang", memberId);
            }
        },
        mend: memberId => {
            calm.note();
            cuts.delete(memberId);
            store.setFault("none", memberId);
        },
        isRunning: memberId => seats.get(memberId)?.incarnation.alive === true,
        isCut,
        vms,
        askUpkeep: wave => store.put("operator", `wave/${wave.number}`, wave),
        withdrawUpkeep: wave => store.remove("operator", `wave/${wave}`),
        waveState: wave => store.rows("status").find(row => row.key === `wave/${wave}`)?.value,
        configure,
        organisations: () => organisations ?? [],
        version: () => newestVersion,
        listWorkers: () => {
            calm.note();
            listWorkers();
        },
        unlist: workerId => {
            calm.note();
            store.remove("workers", workerId);
        },
        crashWorkers: workerIds => {
            for (const workerId of workerIds) {
                const entry = workers.entryOf(workerId);
                if (entry !== undefined) {
                    workers.goDown(workerId);
                    bringBack(entry);
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
                        const newest = workers.entryOf(workerId);
                        if (newest !== undefined && isListed(workerId)) {
                            store.put("workers", workerId, newest);
                        }
                    });
                }
            }
        },
        drain: (workerId, remainingMs) => {
            calm.note();
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
            const seat = memberId === undefined ? undefined : seats.get(memberId);
            for (const jobId of seat === undefined ? [] : jobIds) {
                void seat?.handlers.jobState({ queueKey: testQueue.key, jobId }).then(answer => {
                    states.set(jobId, answer.state);
                }, () => {
                    states.set(jobId, "unknown");
                });
            }
            // An owner that has just taken over may still be reading what ended before.
            await clock.advance(stateWaitMs);
            return states;
        },
        breaches: () => [
            ...breachesOf(workers.evidence, taskName => stepOf(taskName)?.speculative === true),
            ...workers.overcommitted().map(workerId => `${workerId} held more than it has`),
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
        calmSinceMs: calm.sinceMs,
        stepOf,
        claimedAtMs: () => claimedAtMs,
        standing: times =>
            wavesOpen() ? [] : standingTasks({
                jobs: openJobs().filter(hasRoomUnderCap).map(jobId => ({ jobId, steps: steps.get(jobId) ?? [] })),
                evidence: workers.evidence,
                workers: workersForNew(),
                heldOf,
                isGood,
                ...(times === undefined ? {} : { times }),
            }),
    };
};
