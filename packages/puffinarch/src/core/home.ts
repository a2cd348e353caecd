/**
 * A home: a set of jobs with one journal, held by one session at a time. The holder accepts jobs durably, offers their
 * tasks to rack owners, commits each attempt before it is started, and is the only writer of task states.
 *
 * While the table is slow or unreachable, re-runnable tasks are started in the home's own data centre before their
 * attempt is committed. A new holder therefore places nothing before it has queried every rack owner of that data centre
 * for the attempts that it runs.
 */

import type { Policy, WorkloadClass } from "../types/configuration.js";
import {
    type AttemptOutcome,
    type AttemptReport,
    isFinal,
    type Job,
    type JobSpec,
    type Task,
    taskStates,
    workloadKinds,
} from "../types/job.js";
import { unitKey } from "../types/ownership.js";
import type { AttemptsResponse, AttemptState, CallSession, HomeAttempt } from "../types/peer.js";
import type { Clock, Log, Meter, ObjectStore, Random } from "../types/ports.js";
import type { JournalRecord, TaskEndedRecord } from "../types/records.js";
import { add, noResources, type Resources } from "../types/resources.js";
import { die, failureOf } from "../utils/errors.js";
import { sleep, startLoop } from "../utils/time.js";
import { createAttemptOwners } from "./attemptOwners.js";
import { createHomeRecovery } from "./homeRecovery.js";
import { type HomeState, isCancelled, type JobEntry, showJob, showTask, type TaskEntry } from "./homeState.js";
import type { Journal } from "./journal.js";
import type { Membership } from "./membership.js";
import { recordForOutcome } from "./outcomes.js";
import type { OwnerCapacity } from "./ownerCapacities.js";
import { createPlacer, type ReservedTask } from "./placer.js";
import type { LoadedSnapshot } from "./snapshots.js";
import { createTaskQueue, type QueueItem } from "./taskQueue.js";

/** One home, as its holder runs it. */
export interface Home {
    readonly homeId: string;
    submit(spec: JobSpec): Promise<Job>;
    cancel(jobId: string): Promise<Job>;
    cancelTask(taskId: string): Promise<Task>;
    /** Commits the reported ends of attempts; returns the ids of the attempts that need no further report. */
    report(reports: readonly AttemptReport[]): Promise<readonly string[]>;
    job(jobId: string): Job | undefined;
    jobs(team: string, afterJobId: string, limit: number): readonly Job[];
    tasks(jobId: string, afterIndex: number, limit: number): readonly Task[];
    /** The task with its result; a large result is read from the object store. */
    task(taskId: string): Promise<Task | undefined>;
    queuedTasks(): number;
    activeTasks(): number;
    acceptedTasks(): number;
    /** False until a new holder has queried all rack owners for running attempts. */
    recovered(): boolean;
    /** Resources held by active tasks, by team. */
    teamUse(): ReadonlyMap<string, Resources>;
    close(): Promise<void>;
}

/** Options of `createHome`. */
export interface HomeOptions {
    readonly homeId: string;
    readonly dataCentre: string;
    /** Version of the ownership row; it grows with each new holder. */
    readonly homeVersion: number;
    readonly journal: Journal;
    readonly state: HomeState;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly meter: Meter;
    readonly objects: ObjectStore;
    readonly membership: Membership;
    readonly newAttemptId: (taskId: string) => string;
    readonly policyOf: (name: string) => Policy;
    readonly classOf: (name: string) => WorkloadClass;
    /** Estimated free room of the rack owners that tasks can be offered to now. */
    readonly ownerCapacities: () => readonly OwnerCapacity[];
    /** Whether the team's quota allows this additional amount. */
    readonly withinQuota: (team: string, size: Resources) => boolean;
    readonly call: CallSession;
    /** Whether this session may act on its units now; decided without the table. */
    readonly mayAct: () => boolean;
    /** Saves a snapshot; resolves to true once it is committed as the latest one. */
    readonly saveSnapshot: (loaded: LoadedSnapshot) => Promise<boolean>;
    /** Deletes the directory rows of jobs that were dropped. */
    readonly deleteJobRows: (jobIds: readonly string[]) => Promise<void>;
    readonly pumpIntervalMs: number;
    readonly reconcileIntervalMs: number;
    readonly starvationMs: number;
    /** When a commit takes longer than this, re-runnable tasks start before it completes. */
    readonly earlyStartMs: number;
    /** Number of journal batches after which a snapshot is saved. */
    readonly snapshotBatches: number;
    readonly maintainIntervalMs: number;
    /** Longest wait for pending writes when the home is closed. */
    readonly closeTimeoutMs: number;
    /** Jobs that ended longer ago than this are dropped. */
    readonly retentionMs: number;
}

/** Records of classes with this priority or a higher one are urgent: they do not wait to share a batch with others. */
const urgentCommitPriority = 7;
const maxInlineResultLength = 8 * 1024;
const recoveryRetryMs = 250;
const firstRetryDelayMs = 100;
const maxRetryDelayMs = 60_000;

const retryDelayAfter = (failures: number): number =>
    failures === 0 ? 0 : Math.min(maxRetryDelayMs, firstRetryDelayMs * 2 ** Math.min(failures - 1, 20));

/**
 * Opens a home whose state has been replayed.
 *
 * @example
 * const home = createHome(options);
 * await home.submit(spec); // durable once this resolves
 */
export const createHome = (options: HomeOptions): Home => {
    const { homeId, homeVersion, journal, state, clock, random, log, meter, objects, membership } = options;
    const queue = createTaskQueue();
    const teamUse = new Map<string, Resources>();
    /** Ids of attempts whose start may have reached a rack owner; an absent attempt that is not in this set never started. */
    const possiblyStarted = new Set<string>();
    /** Records that were applied before they were durable; they must not be applied again after the commit. */
    const appliedBeforeCommit = new Set<JournalRecord>();
    let acceptedTasks = 0;
    let closed = false;
    let recovered = [...state.jobs()].every(job => showJob(job, homeId).ended);
    let snapshotSequence = journal.nextSequence();

    const write = async (records: readonly JournalRecord[], urgent = false): Promise<void> => {
        if (records.length === 0) {
            return;
        }
        await journal.append(records, urgent);
        for (const record of records) {
            if (!appliedBeforeCommit.delete(record)) {
                state.apply(record);
            }
        }
    };

    const classOf = (job: JobEntry): WorkloadClass => options.classOf(job.spec.workloadClass);
    const isUrgent = (job: JobEntry): boolean => classOf(job).priority >= urgentCommitPriority;
    const isGang = (job: JobEntry): boolean => classOf(job).kind === workloadKinds.gang;

    const queueItemOf = (job: JobEntry, tasks: readonly TaskEntry[], gang: boolean): QueueItem => {
        const { priority, policy } = classOf(job);
        const { team, taskSize } = job.spec;
        return { tasks, gang, priority, policy, team, size: taskSize, queuedAtMs: job.acceptedAtMs, tries: 0 };
    };

    const enqueueGang = (job: JobEntry): void => {
        const unfinished = job.tasks.filter(task => !isFinal(task.state));
        if (!job.gangQueued && unfinished.length > 0 && unfinished.every(task => task.state === taskStates.queued)) {
            job.gangQueued = true;
            queue.push(queueItemOf(job, unfinished, true));
        }
    };

    const enqueueJob = (job: JobEntry): void => {
        if (isGang(job)) {
            enqueueGang(job);
            return;
        }
        for (const task of job.tasks) {
            if (task.state === taskStates.queued) {
                queue.push(queueItemOf(job, [task], false));
            }
        }
    };

    const owners = createAttemptOwners({
        homeId,
        homeVersion,
        membership,
        log,
        call: options.call,
        onStartUnknown: attemptIds => attemptIds.forEach(attemptId => possiblyStarted.add(attemptId)),
    });

    const noteRunning = (task: TaskEntry): void => {
        if (task.state !== taskStates.starting) {
            return;
        }
        state.setState(task, taskStates.running);
        task.startedAtMs = clock.nowMs();
        meter.record("taskWaitMs", Math.max(0, task.startedAtMs - task.queuedAtMs));
        meter.record(`taskWaitMs.${task.job.spec.workloadClass}`, Math.max(0, task.startedAtMs - task.queuedAtMs));
    };

    /** Applies the attempt states that a rack owner returned; attempts that certainly do not run are settled at once. */
    const applyStates = async (
        tasks: readonly TaskEntry[],
        { states }: AttemptsResponse,
        tenures: ReadonlyMap<string, string | undefined>,
    ): Promise<void> => {
        const reports: AttemptReport[] = [];
        for (const task of tasks) {
            const attemptId = task.attemptId ?? "";
            const reported: AttemptState | undefined = states[attemptId];
            if (reported === "running" || reported === "starting" || reported === "ended") {
                possiblyStarted.add(attemptId);
                task.confirmedBy = tenures.get(task.taskId);
            }
            if (reported === "running") {
                noteRunning(task);
            }
            if (reported === "notStarted" || reported === "absent") {
                const outcome: AttemptOutcome = reported === "absent" && possiblyStarted.has(attemptId)
                    ? "absent"
                    : "notStarted";
                reports.push({ attemptId, taskId: task.taskId, outcome, result: "", checkpoint: "" });
            }
        }
        await report(reports);
    };

    const start = async (tasks: readonly TaskEntry[]): Promise<void> => {
        await owners.call("start", tasks, applyStates);
    };

    const startInBackground = (tasks: readonly TaskEntry[]): void => {
        start(tasks).catch(error => log.write("debug", "startFailed", { ...failureOf(error) }));
    };

    const stop = async (tasks: readonly TaskEntry[]): Promise<void> => {
        await owners.call("stop", tasks, async () => {});
    };

    const storeResult = async (
        { attemptId, outcome, result }: AttemptReport,
    ): Promise<Pick<TaskEndedRecord, "result" | "resultKey">> => {
        if (outcome !== "completed" || result.length <= maxInlineResultLength) {
            return { result };
        }
        const resultKey = `results/${attemptId}`;
        await objects.put(resultKey, result);
        return { resultKey };
    };

    /** Queues a task again; the delay grows with its failures, so that a service that cannot start is not restarted in a tight loop. */
    const enqueueAfterDelay = (task: TaskEntry, delayMs: number): void => {
        const enqueue = (): void => {
            if (!closed && task.state === taskStates.queued) {
                queue.push(queueItemOf(task.job, [task], false));
                placementLoop.wake();
            }
        };
        if (delayMs === 0) {
            enqueue();
            return;
        }
        clock.setTimer(delayMs, enqueue);
    };

    /** Queues the task again. A gang is queued only as a whole, so its other members are stopped first. */
    const afterSettled = async (task: TaskEntry): Promise<void> => {
        if (!isGang(task.job)) {
            if (task.state === taskStates.queued) {
                enqueueAfterDelay(task, retryDelayAfter(task.failures));
            }
            return;
        }
        if (!task.job.tasks.some(each => each.state === taskStates.queued)) {
            return;
        }
        const others = task.job.tasks.filter(each =>
            each.state === taskStates.running || each.state === taskStates.starting
        );
        if (others.length > 0) {
            await stop(others);
            return;
        }
        enqueueGang(task.job);
    };

    const settle = async (task: TaskEntry, ended: AttemptReport): Promise<void> => {
        const result = await storeResult(ended);
        const record = recordForOutcome(task, ended, {
            nowMs: clock.nowMs(),
            workloadClass: classOf(task.job),
            result,
        });
        if (ended.outcome === "failed" && task.workerId !== undefined) {
            task.failedOn.add(task.workerId);
            task.failures += 1;
        }
        await write([record]);
        possiblyStarted.delete(ended.attemptId);
        meter.count(`attempts.${ended.outcome}`);
        await afterSettled(task);
        placementLoop.wake();
    };

    const report = async (reports: readonly AttemptReport[]): Promise<readonly string[]> => {
        const settled: string[] = [];
        await Promise.all(reports.map(async each => {
            const task = state.task(each.taskId);
            const abandoned = task?.abandonedIds.includes(each.attemptId) === true;
            // Recovery may still adopt an unknown attempt, so its report is left unsettled until then.
            if (!recovered && !abandoned && task?.attemptId !== each.attemptId) {
                return;
            }
            if (task === undefined || task.attemptId !== each.attemptId || isFinal(task.state)) {
                meter.count("lateReports");
                settled.push(each.attemptId);
                return;
            }
            task.settling ??= settle(task, each).finally(() => {
                task.settling = undefined;
            });
            await task.settling;
            settled.push(each.attemptId);
        }));
        return settled;
    };

    const isStillAssigned = ({ task, placement }: ReservedTask): boolean =>
        task.attemptId === placement.attemptId && task.state === taskStates.starting;

    const mayStartBeforeCommit = ({ task, placement }: ReservedTask): boolean =>
        !task.job.spec.atMostOnce && placement.rackKey.startsWith(unitKey("rack", options.dataCentre, ""));

    /** Commits reservations and then starts them; if the commit is slow, starts those that may run before it completes. */
    const commit = async (reserved: readonly ReservedTask[], gang: boolean): Promise<void> => {
        const intents = reserved.map(each => {
            const record: JournalRecord = { kind: "attemptIntended", taskId: each.task.taskId, ...each.placement };
            return { ...each, record };
        });
        for (const { task } of reserved) {
            task.job.gangQueued = false;
        }
        const urgent = reserved.some(({ task }) => isUrgent(task.job));
        const durable = write(intents.map(each => each.record), urgent);
        durable.then(
            () =>
                startInBackground(
                    intents.filter(isStillAssigned).filter(each => !startedEarly.has(each.task)).map(each => each.task),
                ),
            error => log.write("debug", "commitFailed", { homeId, ...failureOf(error) }),
        );
        const startedEarly = new Set<TaskEntry>();
        const timedOut = sleep(clock, options.earlyStartMs).then(() => true);
        const isSlow = await Promise.race([durable.then(() => false, () => false), timedOut]);
        if (!isSlow || gang || closed || !options.mayAct()) {
            return;
        }
        for (const each of intents.filter(mayStartBeforeCommit)) {
            state.apply(each.record);
            appliedBeforeCommit.add(each.record);
            startedEarly.add(each.task);
        }
        meter.count("earlyStarts", startedEarly.size);
        startInBackground([...startedEarly].filter(task => task.state === taskStates.starting));
    };

    const recountTeamUse = (): void => {
        teamUse.clear();
        for (const { job: { spec } } of state.active()) {
            teamUse.set(spec.team, add(teamUse.get(spec.team) ?? noResources, spec.taskSize));
        }
    };

    const placer = createPlacer({
        queue,
        clock,
        random,
        newAttemptId: options.newAttemptId,
        policyOf: options.policyOf,
        ownerCapacities: options.ownerCapacities,
        withinQuota: options.withinQuota,
        useOf: team => teamUse.get(team)?.cpuMillis ?? 0,
        addUse: (team, size) => teamUse.set(team, add(teamUse.get(team) ?? noResources, size)),
        offer: async (owner, offers) => {
            try {
                return (await options.call(owner, "place", { homeId, homeVersion, offers })).placements;
            }
            catch (error) {
                log.write("debug", "offerFailed", { owner, offers: offers.length, ...failureOf(error) });
                return [];
            }
        },
        release: async (owner, placements, keepKeys) => {
            const request = { homeId, homeVersion, attempts: placements, keepKeys };
            await options.call(owner, "release", request).catch(() => undefined);
        },
        commit,
        isWaiting: task => task.state === taskStates.queued && !isCancelled(task),
        starvationMs: options.starvationMs,
    });

    const placeQueued = async (): Promise<void> => {
        if (closed || !recovered || queue.size() === 0) {
            return;
        }
        recountTeamUse();
        if (await placer.round() > 0) {
            placementLoop.wake();
        }
    };

    /** Journals attempts that an earlier holder started before their intent was committed. */
    const adoptAttempts = async (found: readonly HomeAttempt[]): Promise<void> => {
        const records: JournalRecord[] = [];
        for (const { state: reported, ...attempt } of found) {
            const { attemptId, taskId } = attempt;
            const task = state.task(taskId);
            const isWaiting = task?.state === taskStates.queued && !task.abandonedIds.includes(attemptId);
            if (isWaiting && reported !== "absent" && reported !== "notStarted") {
                records.push({ kind: "attemptIntended", ...attempt });
                possiblyStarted.add(attemptId);
            }
        }
        await write(records);
    };

    const tryRecovery = createHomeRecovery({
        homeId,
        homeVersion,
        dataCentre: options.dataCentre,
        membership,
        call: options.call,
        adopt: adoptAttempts,
    });

    const recover = async (): Promise<void> => {
        while (!recovered && !closed) {
            recovered = await tryRecovery().catch(() => false);
            if (!recovered) {
                await sleep(clock, recoveryRetryMs);
            }
        }
        if (closed) {
            return;
        }
        log.write("info", "homeRecovered", { homeId });
        for (const job of state.jobs()) {
            enqueueJob(job);
        }
        placementLoop.wake();
    };

    /** Settles attempts that no rack owner can report: the worker is gone from the VM list and its rack has no owner. */
    const settleLostAttempts = async (): Promise<void> => {
        const reports: AttemptReport[] = [];
        for (const { workerId, rackKey, attemptId, taskId, listedGeneration } of state.active()) {
            const ownerless = rackKey !== undefined && membership.ownerOf(rackKey) === undefined;
            if (workerId !== undefined && ownerless && membership.vmGoneSince(workerId, listedGeneration)) {
                reports.push({ attemptId: attemptId ?? "", taskId, outcome: "absent", result: "", checkpoint: "" });
            }
        }
        await report(reports);
    };

    /** Queries the present rack owners about every attempt that they have not confirmed yet. */
    const reconcile = async (): Promise<void> => {
        const unconfirmed = [...state.active()].filter(task =>
            task.settling === undefined && task.rackKey !== undefined
            && (task.confirmedBy === undefined || owners.tenureOf(task.rackKey) !== task.confirmedBy)
        );
        await owners.call("attemptStates", unconfirmed, async (tasks, answer, tenures) => {
            await applyStates(tasks, answer, tenures);
            await start(tasks.filter(task => answer.states[task.attemptId ?? ""] === "reserved"));
        });
        await stop([...state.active()].filter(isCancelled));
        await settleLostAttempts();
    };

    /** Saves a snapshot when one is due. It runs from a timer callback, when every committed record has been applied to the state. */
    const maintain = async (): Promise<void> => {
        const nextSequence = journal.nextSequence();
        if (closed || nextSequence - snapshotSequence < options.snapshotBatches) {
            return;
        }
        const dropped = state.dropEndedJobs(clock.nowMs() - options.retentionMs);
        if (await options.saveSnapshot({ snapshot: state.snapshot(), nextSequence })) {
            snapshotSequence = nextSequence;
            meter.count("snapshots");
            await options.deleteJobRows(dropped);
        }
    };

    const startHomeLoop = (name: string, intervalMs: number, run: () => Promise<void>) =>
        startLoop({ clock, log, name: `${name} ${homeId}`, intervalMs, run });
    const placementLoop = startHomeLoop("pump", options.pumpIntervalMs, placeQueued);
    const reconcileLoop = startHomeLoop("reconcile", options.reconcileIntervalMs, reconcile);
    const maintainLoop = startHomeLoop("maintain", options.maintainIntervalMs, maintain);

    for (const task of state.active()) {
        possiblyStarted.add(task.attemptId ?? "");
    }
    if (!recovered) {
        void recover();
    }

    const submit = async (spec: JobSpec): Promise<Job> => {
        const record: JournalRecord = { kind: "jobAccepted", spec, acceptedAtMs: clock.nowMs() };
        const urgent = options.classOf(spec.workloadClass).priority >= urgentCommitPriority;
        await journal.claim([record], { key: jobKey(spec.jobId), value: { homeId } }, urgent);
        state.apply(record);
        const job = state.job(spec.jobId) ?? die("internal", `job ${spec.jobId} is missing from its home`);
        acceptedTasks += spec.tasks;
        if (recovered) {
            enqueueJob(job);
        }
        placementLoop.wake();
        log.write("info", "jobAccepted", {
            jobId: spec.jobId,
            homeId,
            tasks: spec.tasks,
            workloadClass: spec.workloadClass,
        });
        return showJob(job, homeId);
    };

    const stopInBackground = (tasks: readonly TaskEntry[]): void => {
        stop(tasks).catch(error => log.write("debug", "stopFailed", { ...failureOf(error) }));
    };

    /** Before recovery ends, a task that is queued here may have been started by an earlier holder. */
    const requireRecovered = (): void => {
        if (!recovered) {
            die("unavailable", `home ${homeId} is still recovering its running attempts`, {
                retryAfterMs: recoveryRetryMs,
            });
        }
    };

    const cancel = async (jobId: string): Promise<Job> => {
        requireRecovered();
        const job = state.job(jobId) ?? die("notFound", `home ${homeId} has no job ${jobId}`);
        if (!job.cancelled && !showJob(job, homeId).ended) {
            await write([{ kind: "jobCancelled", jobId, cancelledAtMs: clock.nowMs() }]);
            stopInBackground(job.tasks.filter(task => !isFinal(task.state)));
        }
        return showJob(job, homeId);
    };

    const cancelTask = async (taskId: string): Promise<Task> => {
        requireRecovered();
        const task = state.task(taskId) ?? die("notFound", `home ${homeId} has no task ${taskId}`);
        if (!isCancelled(task) && !isFinal(task.state)) {
            await write([{ kind: "taskCancelled", taskId, cancelledAtMs: clock.nowMs() }]);
            stopInBackground([task]);
        }
        return showTask(task);
    };

    const taskWithResult = async (taskId: string): Promise<Task | undefined> => {
        const entry = state.task(taskId);
        if (entry === undefined) {
            return undefined;
        }
        const { resultKey } = entry;
        return resultKey === undefined ? showTask(entry) : { ...showTask(entry), result: await objects.get(resultKey) };
    };

    const listJobs = (team: string, afterJobId: string, limit: number): readonly Job[] =>
        [...state.jobs()]
            .filter(job => (team === "" || job.spec.team === team) && job.spec.jobId > afterJobId)
            .sort((left, right) => left.spec.jobId < right.spec.jobId ? -1 : 1)
            .slice(0, limit)
            .map(job => showJob(job, homeId));

    return {
        homeId,
        submit,
        cancel,
        cancelTask,
        report,
        job: jobId => {
            const job = state.job(jobId);
            return job === undefined ? undefined : showJob(job, homeId);
        },
        jobs: listJobs,
        tasks: (jobId, afterIndex, limit) => {
            const job = state.job(jobId) ?? die("notFound", `home ${homeId} has no job ${jobId}`);
            return job.tasks.slice(afterIndex + 1, afterIndex + 1 + limit).map(showTask);
        },
        task: taskWithResult,
        queuedTasks: () => queue.size(),
        activeTasks: () => [...state.active()].length,
        acceptedTasks: () => acceptedTasks,
        recovered: () => recovered,
        teamUse: () => teamUse,
        close: async () => {
            closed = true;
            await Promise.all([placementLoop.stop(), reconcileLoop.stop(), maintainLoop.stop()]);
            if (options.mayAct()) {
                await Promise.race([journal.flush(), sleep(clock, options.closeTimeoutMs)]);
            }
            journal.close();
        },
    };
};

/**
 * Returns the key of the directory row that names the home of a job.
 *
 * @example
 * jobKey("load-in-7"); // "job/load-in-7"
 */
export const jobKey = (jobId: string): string => `job/${jobId}`;
