/** Examples of how a shard accepts jobs and reports what their tasks wait for; each example uses one module by itself. */

import { createFakeClock, plainStep, testQueue } from "@puffinarch/stand-ins";
import {
    applyRunEnd,
    countAvailabilities,
    countDue,
    createAcceptance,
    createAccounts,
    createAdmission,
    createBacklog,
    createCallerKeys,
    createCommitWait,
    createDueOccurrences,
    createEndedJobs,
    createForwarder,
    createLocalRefusals,
    createOccurrenceSet,
    createOwnerShedding,
    createPendingCancels,
    createStartPace,
    createStartQueue,
    createTaskReview,
    defaultShardSettings,
    die,
    digestKey,
    formatTaskName,
    kindOf,
    newJob,
    noResources,
    retryAfterFor,
    type ShardJob,
    tasksUnderCap,
    taskWaitOf,
} from "puffinarch";
import { exampleJob, log, meter, openWorker, runOf, submission, taskOf } from "./shardFixtures.js";

const jobModel = (): string => {
    const job = exampleJob();
    applyRunEnd(taskOf(job), 1, "done", "", 1_000);
    applyRunEnd(taskOf(job, 1), 1, "done", "", 2_000);
    return job.state;
};

const occurrenceSet = (): string => {
    const done = createOccurrenceSet([[0, 3], [5, 6]]);
    done.add(3);
    return `${done.size()} in ${done.ranges().length} ranges; ${done.firstMissing(0)} is missing`;
};

const dueOccurrences = (): string => {
    const schedule = { startAtMs: 0, intervalMs: 1_000, repeatCount: 100 };
    const job = newJob({ ...submission, schedule }, testQueue, { acceptedAtMs: 0, order: 1 });
    job.stored = true;
    const due = createDueOccurrences({
        clock: { ...createFakeClock(), nowMs: () => 2_500 },
        jobs: new Map([[submission.jobId, job]]),
        maxHeldTasks: 12,
        isLate: () => false,
        onOpened: () => {},
    });
    due.open();
    return `${countDue(schedule, 2_500)} due, ${[...job.occurrences.keys()].join(" and ")} open`;
};

const startPace = async (): Promise<string> => {
    const clock = createFakeClock();
    const pace = createStartPace(clock);
    pace.endTurn(true);
    pace.recordSent(128);
    await clock.advance(200);
    pace.endTurn(true);
    const measured = pace.perMs();
    await clock.advance(2_000);
    return `${measured}, then ${pace.perMs()}`;
};

const startQueue = async (): Promise<string> => {
    const sent: string[] = [];
    const clock = createFakeClock();
    const starts = createStartQueue({
        clock,
        startsPerTurn: () => 1,
        send: runs => {
            sent.push(...runs.map(({ task }) => task.name));
            return [];
        },
    });
    const wide = exampleJob();
    starts.add([runOf(wide), runOf(wide), runOf(wide)]);
    starts.add([runOf(newJob({ ...submission, jobId: "b7" }, testQueue, { acceptedAtMs: 0, order: 2 }))]);
    await clock.advance(10);
    return `${sent.indexOf("b7.0.0.0") + 1} of ${sent.length}`;
};

const never = new Promise<never>(() => {});

const commitWait = async (): Promise<string> => {
    const clock = createFakeClock();
    const wait = createCommitWait({
        clock,
        settings: defaultShardSettings,
        commits: { stalledMs: () => 5_000 },
        ownershipLost: never,
    });
    const refusal = wait.until(never, "unavailable").catch(kindOf);
    await clock.advance(200);
    return String(await refusal);
};

const endedJobs = async (): Promise<string> => {
    const ended = createEndedJobs({ clock: createFakeClock(), retentionMs: 180_000, write: async () => {} });
    await ended.recordCancel(submission);
    const before = ended.find(submission.jobId) === undefined ? "unknown" : "known";
    const outcome = ended.applyCancel(submission);
    return `${before}, then ${outcome?.job.state}`;
};

const admissionOf = (job: ShardJob, shedding?: { readonly fromPriority: number; readonly retryAfterMs: number; }) => {
    const clock = createFakeClock();
    const workers = new Map([["i-1", openWorker()]]);
    const jobBacklog = createBacklog({ clock, workers, policies: defaultShardSettings.policies });
    const lagMs = (): number => 0;
    const jobAdmission = createAdmission({
        clock,
        log,
        meter,
        workers,
        backlog: jobBacklog,
        lagMs,
        shedding: () => shedding,
    });
    jobAdmission.accepted(job);
    return { jobAdmission, jobBacklog };
};

const admission = (): string => {
    const job = exampleJob();
    const reasons = [undefined, { fromPriority: 0, retryAfterMs: 1_000 }].map(shedding =>
        admissionOf(job, shedding).jobAdmission.admit(job)?.reason
    );
    return reasons.map(String).join(", then ");
};

const backlog = (): string => {
    const { capacityCores, work } = admissionOf(exampleJob()).jobBacklog.of(testQueue.service) ?? { work: [] };
    return `${work[0]?.coreMs} core-ms for ${capacityCores} cores`;
};

const shedding = (): string => {
    const ownerShedding = createOwnerShedding({
        clock: createFakeClock(),
        priorities: () => [0, 1, 2],
        inProgress: () => 0,
        retryAfterMs: 1_000,
    });
    const shown = [0, 300, 300].map(lateMs => {
        ownerShedding.recordTick(lateMs);
        return String(ownerShedding.current()?.fromPriority);
    });
    return shown.join(", ");
};

const localRefusals = async (): Promise<string> => {
    const refusals = createLocalRefusals({ clock: createFakeClock(), meter, priorityOf: () => 2 });
    refusals.onOwnerAnswer({ fromPriority: 2, retryAfterMs: 1_000 });
    return refusals.run(submission, async () => {}).then(() => "accepted", kindOf);
};

const acceptance = async (): Promise<string> => {
    const jobs = new Map<string, ShardJob>();
    const commits = {
        commit: async () => {},
        confirm: async () => {},
        setAsideReason: () => undefined,
        withdraw: () => true,
        stalledMs: () => 5_000,
        expectedWaitMs: () => 0,
        answeredAtMs: () => 0,
        written: async () => {},
        probe: () => {},
        stop: () => {},
    };
    const clock = createFakeClock();
    const commitWait = createCommitWait({ clock, settings: defaultShardSettings, commits, ownershipLost: never });
    const submit = createAcceptance({
        clock,
        log,
        meter,
        jobs,
        queueOf: () => testQueue,
        accounts: createAccounts(),
        admission: admissionOf(exampleJob()).jobAdmission,
        nextOrder: 1,
        commits,
        commitWait,
        maxHeldTasks: 100,
        backlogMs: () => 0,
        explainOversized: () => undefined,
        commit: () => new Promise(() => {}),
        scheduleJob: () => {},
        dropPlannedStarts: () => {},
        endedJobs: Promise.resolve(createEndedJobs({ clock, retentionMs: 0, write: commits.commit })),
    });
    const refusal = submit({ ...submission, steps: [plainStep] }).catch(kindOf);
    await clock.advance(200);
    return `${String(await refusal)}, ${jobs.size} jobs`;
};

const accounts = (): string => {
    const accountsByName = createAccounts();
    const cap = { ...noResources, cpuMillis: 4_000 };
    accountsByName.update([{ name: "north", keyDigests: [], weight: 1, cap }]);
    return `${tasksUnderCap(accountsByName.of("north"), { ...noResources, cpuMillis: 1_500 })} tasks`;
};

const callerKeys = (): string => {
    const organisations = [{ name: "north", keyDigests: [digestKey("9m2jju7j")], weight: 1, cap: noResources }];
    const keys = createCallerKeys({ organisations });
    const unknownCaller = ((): string => {
        try {
            return keys.organisationOf(testQueue, "7j9m2jju");
        }
        catch (error) {
            return kindOf(error);
        }
    })();
    return `${keys.organisationOf(testQueue, "9m2jju7j")}, then ${unknownCaller}`;
};

const forward = async (): Promise<string> => {
    const clock = createFakeClock();
    const forwarder = createForwarder({
        clock,
        retryAfterMs: 1_000,
        shard: () => undefined,
        ownerAddress: () => undefined,
        ownerLostMs: () => clock.monotonicMs(),
        onNoAnswer: () => {},
    });
    const request = { local: async () => "here", remote: async () => "there", totalTimeoutMs: 2_000 };
    const outcome = forwarder.run({ ...request, refusal: "notAccepted" })
        .catch((error: unknown) => `${kindOf(error)} after ${clock.monotonicMs()} ms`);
    await clock.advance(3_000);
    return outcome;
};

const pendingCancels = async (): Promise<string> => {
    const clock = createFakeClock();
    const ends: string[] = [];
    const cancels = createPendingCancels({
        clock,
        log: { write: (_level, _event, { jobId, outcome }) => ends.push(`${String(jobId)} ${String(outcome)}`) },
        meter,
        deliver: async ({ jobId }) =>
            jobId === "a" && clock.monotonicMs() >= 5_000 || die("unavailable", "no owner of the shard can be reached"),
    });
    const answers = ["a", "a", "b"].map(jobId => cancels.cancel({ queueKey: testQueue.key, jobId }, 100).catch(kindOf));
    await clock.advance(10_000);
    cancels.close();
    return `${(await Promise.all(answers)).join(", ")}; ${ends.join(", ")}`;
};

const taskWait = (): string => {
    const { step } = taskOf(exampleJob());
    const worker = openWorker();
    const now = { workers: new Map([["i-1", worker]]), nowMs: 100 };
    const before = taskWaitOf(taskOf(step.occurrence.job), countAvailabilities(step, now), now);
    step.advice.good.set("i-1", { ticket: "t", validUntilMs: 9_000 });
    worker.held = worker.entry.capacity;
    return `${before}, then ${taskWaitOf(taskOf(step.occurrence.job), countAvailabilities(step, now), now)}`;
};

const taskReview = (): string => {
    const job = exampleJob();
    job.stored = true;
    const considered: string[] = [];
    const review = createTaskReview({
        clock: createFakeClock(),
        log,
        meter,
        jobs: new Map([[submission.jobId, job]]),
        workers: new Map([["i-1", openWorker()]]),
        taskPlacer: {
            isQueued: () => considered.length > 0,
            updateJob: each => considered.push(each.submission.jobId),
        },
    });
    return `${review.run()} step put back, then ${review.run()}`;
};

/** Examples of the modules about jobs, by the module's name. */
export const shardJobExamples: Readonly<Record<string, () => string | Promise<string>>> = {
    acceptance,
    accounts,
    admission,
    backlog,
    callerKeys,
    commitWait,
    endedJobs,
    forward,
    jobModel,
    localRefusals,
    pendingCancels,
    retryTimes: () => `${retryAfterFor("noOwner", 1_000)} ms`,
    dueOccurrences,
    occurrenceSet,
    shedding,
    startPace,
    startQueue,
    taskReview,
    taskWait,
    taskName: () => formatTaskName({ jobId: "5c0e7a21d94b36f8", occurrence: 0, step: 1, index: 17 }),
};
