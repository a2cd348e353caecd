/** Runnable examples of the modules that make decisions; each sets up one module without the rest of a daemon. */

import {
    checkJobSpec,
    createHomeState,
    createLedger,
    createOwnerCapacities,
    createSeededRandom,
    createTaskQueue,
    diffDocuments,
    failureOf,
    initialDocument,
    type JobSpec,
    placements,
    type QueueItem,
    upstreamChoices,
} from "puffinarch";

const size = { cpuMillis: 1_000, memoryMib: 512, accelerators: 0 };
const random = createSeededRandom(1);

const spec: JobSpec = {
    jobId: "load-in-7",
    workloadClass: "batch",
    team: "rigging",
    tasks: 1,
    taskSize: size,
    atMostOnce: false,
    payload: "",
};

const ledger = (): string => {
    const workerLedger = createLedger();
    workerLedger.addWorker("w1", "r1", size);
    workerLedger.setOpen("w1", true);
    const first = workerLedger.reserve("w1", "a1", size);
    const second = workerLedger.reserve("w1", "a2", size);
    return `${first ? "reserved" : "refused"}, then ${second ? "reserved" : "refused"}`;
};

const placementExample = (): string => {
    const workerLedger = createLedger();
    for (const [workerId, cpuMillis] of [["a", 4_000], ["b", 1_500]] as const) {
        workerLedger.addWorker(workerId, "r1", { ...size, cpuMillis });
        workerLedger.setOpen(workerId, true);
    }
    return placements.bestFit({ ledger: workerLedger, size, random, sampleSize: 2, avoid: new Set() }).worker?.workerId
        ?? "none";
};

const upstreamChoice = (): string => {
    const candidates = [{ upstreamId: "u1", slotsInUse: 3 }, { upstreamId: "u2", slotsInUse: 1 }];
    return upstreamChoices.roundRobin({ candidates, random, sequence: 1 })?.upstreamId ?? "none";
};

const homeState = (): string => {
    const state = createHomeState();
    state.apply({ kind: "jobAccepted", spec, acceptedAtMs: 0 });
    const before = state.task("load-in-7/0")?.state;
    state.apply({
        kind: "attemptIntended",
        taskId: "load-in-7/0",
        attemptId: "a1",
        workerId: "w1",
        rackKey: "unit/rack/leon-feria/r1",
        listedGeneration: 1,
    });
    return `${before}, then ${state.task("load-in-7/0")?.state}`;
};

const taskQueue = (): string => {
    const queue = createTaskQueue();
    const item = (policy: string, priority: number, queuedAtMs: number): QueueItem => ({
        tasks: [],
        gang: false,
        priority,
        policy,
        team: "rigging",
        size,
        queuedAtMs,
        tries: 0,
    });
    queue.push(item("early", 3, 0));
    queue.push(item("urgent", 9, 5));
    return `${queue.take(1, 10, () => 0)[0]?.policy} first`;
};

const ownerCapacities = (): string => {
    const ownerRooms = [
        { sessionId: "owner-1", inSameDataCentre: true, free: size, mostFree: { ...size, cpuMillis: 100 } },
        { sessionId: "owner-2", inSameDataCentre: false, free: size, mostFree: size },
    ];
    return createOwnerCapacities(ownerRooms, random).choose(size, "bestFit") ?? "none";
};

const jobSpec = (): string => {
    const worker = {
        vmId: "w1",
        role: "worker",
        dataCentre: "leon-feria",
        address: "",
        leaving: false,
        capacity: size,
    } as const;
    const configuration = { version: 0, document: initialDocument, author: "", reason: "", acceptedAtMs: 0 };
    try {
        return checkJobSpec({ ...spec, taskSize: { ...size, cpuMillis: 9_000 } }, configuration, [worker]).jobId;
    }
    catch (error) {
        return failureOf(error).kind;
    }
};

const configurationDocument = (): string =>
    diffDocuments(initialDocument, {
        ...initialDocument,
        workloadClasses: initialDocument.workloadClasses.filter(each => each.name !== "batch"),
    });

/** The examples by module name; each returns a line that the feature compares. */
export const decisionExamples = {
    ledger,
    placements: placementExample,
    upstreamChoices: upstreamChoice,
    homeState,
    taskQueue,
    ownerCapacities,
    jobSpec,
    configurationDocument,
};
