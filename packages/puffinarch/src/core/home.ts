/**
 * The home of jobs: it accepts them durably, offers their tasks to rack owners, commits each attempt before it is
 * started, and is the one writer of every task's state.
 *
 * While the table is out of reach, re-runnable tasks are started in the home's own data centre before their attempt is
 * committed. A new holder of the home therefore asks every rack owner there what it runs before it places anything.
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
import { recordFor } from "./outcomes.js";
import { createPlacer, type ReservedTask } from "./placer.js";
import type { OwnerCapacity } from "./rooms.js";
import type { LoadedSnapshot } from "./snapshots.js";
import { createTaskQueue, type QueueItem } from "./taskQueue.js";

/** The holder of one home. */
export interface Home {
    readonly homeId: string;
    submit(spec: JobSpec): Promise<Job>;
    cancel(jobId: string): Promise<Job>;
    cancelTask(taskId: string): Promise<Task>;
    report(reports: readonly AttemptReport[]): Promise<readonly string[]>;
    job(jobId: string): Job | undefined;
    jobs(team: string, afterJobId: string, limit: number): readonly Job[];
    tasks(jobId: string, afterIndex: number, limit: number): readonly Task[];
    /** With its result, read from the object store where it is large. */
    task(taskId: string): Promise<Task | undefined>;
    queuedTasks(): number;
    activeTasks(): number;
    acceptedTasks(): number;
    /** False while a new holder still asks rack owners what runs. */
    recovered(): boolean;
    /** Resources held by active tasks, by team. */
    teamUse(): ReadonlyMap<string, Resources>;
    close(): Promise<void>;
}

/** What a home needs. */
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
    /** Rack owners that can be offered tasks now. */
    readonly rooms: () => readonly OwnerCapacity[];
    /** True where the team's quota leaves room for this much more. */
    readonly withinQuota: (team: string, size: Resources) => boolean;
    readonly call: CallSession;
    /** Whether this session may act now without the table. */
    readonly mayAct: () => boolean;
    /** Saves a snapshot; true where it is in force. */
    readonly saveSnapshot: (loaded: LoadedSnapshot) => Promise<boolean>;
    /** Deletes directory rows of jobs that are forgotten. */
    readonly forgetJobs: (jobIds: readonly string[]) => Promise<void>;
    readonly pumpIntervalMs: number;
    readonly reconcileIntervalMs: number;
    readonly starvationMs: number;
    /** A commit that takes longer than this lets re-runnable tasks start before it. */
    readonly earlyStartMs: number;
    /** Batches after which a snapshot is taken. */
    readonly snapshotBatches: number;
    readonly maintainIntervalMs: number;
    /** Longest wait for pending writes at a planned stop. */
    readonly closeTimeoutMs: number;
    /** Ended jobs are forgotten after this. */
    readonly retentionMs: number;
}

/** Priority from which a class's tasks do not wait for other records to share a write with. */
const pressingPriority = 7;
const inlineResultLength = 8 * 1024;
const recoverRetryMs = 250;
const firstFailureRestMs = 100;
const maxFailureRestMs = 60_000;

const restAfterFailures = (failures: number): number =>
    failures === 0 ? 0 : Math.min(maxFailureRestMs, firstFailureRestMs * 2 ** Math.min(failures - 1, 20));

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
    /** Attempts whose start may have reached an owner; an absent one that is not here never started. */
    const startSent = new Set<string>();
    /** Records that were applied before they were durable. */
    const appliedEarly = new Set<JournalRecord>();
    let acceptedTasks = 0;
    let closed = false;
    let recovered = [...state.jobs()].every(job => showJob(job, homeId).ended);
    let snapshotAt = journal.nextSequence();

    const write = async (records: readonly JournalRecord[], urgent = false): Promise<void> => {
        if (records.length === 0) {
            return;
        }
        await journal.append(records, urgent);
        for (const record of records) {
            if (!appliedEarly.delete(record)) {
                state.apply(record);
            }
        }
    };

    const classOf = (job: JobEntry): WorkloadClass => options.classOf(job.spec.workloadClass);
    const isPressing = (job: JobEntry): boolean => classOf(job).priority >= pressingPriority;
    const isGang = (job: JobEntry): boolean => classOf(job).kind === workloadKinds.gang;

    const itemOf = (job: JobEntry, tasks: readonly TaskEntry[], gang: boolean): QueueItem => {
        const { priority, policy } = classOf(job);
        const { team, taskSize } = job.spec;
        return { tasks, gang, priority, policy, team, size: taskSize, queuedAtMs: job.acceptedAtMs, tries: 0 };
    };

    const enqueueGang = (job: JobEntry): void => {
        const open = job.tasks.filter(task => !isFinal(task.state));
        if (!job.gangQueued && open.length > 0 && open.every(task => task.state === taskStates.queued)) {
            job.gangQueued = true;
            queue.push(itemOf(job, open, true));
        }
    };

    const enqueueJob = (job: JobEntry): void => {
        if (isGang(job)) {
            enqueueGang(job);
            return;
        }
        for (const task of job.tasks) {
            if (task.state === taskStates.queued) {
                queue.push(itemOf(job, [task], false));
            }
        }
    };

    const owners = createAttemptOwners({
        homeId,
        homeVersion,
        membership,
        log,
        call: options.call,
        onStartUnknown: attemptIds => attemptIds.forEach(attemptId => startSent.add(attemptId)),
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

    /** Takes what an owner says of attempts; the ones that surely do not run are settled at once. */
    const takeStates = async (
        tasks: readonly TaskEntry[],
        { states }: AttemptsResponse,
        tenures: ReadonlyMap<string, string | undefined>,
    ): Promise<void> => {
        const reports: AttemptReport[] = [];
        for (const task of tasks) {
            const attemptId = task.attemptId ?? "";
            const said: AttemptState | undefined = states[attemptId];
            if (said === "running" || said === "starting" || said === "ended") {
                startSent.add(attemptId);
                task.confirmedBy = tenures.get(task.taskId);
            }
            if (said === "running") {
                noteRunning(task);
            }
            if (said === "notStarted" || said === "absent") {
                const outcome: AttemptOutcome = said === "absent" && startSent.has(attemptId) ? "absent" : "notStarted";
                reports.push({ attemptId, taskId: task.taskId, outcome, result: "", checkpoint: "" });
            }
        }
        await report(reports);
    };

    const start = async (tasks: readonly TaskEntry[]): Promise<void> => {
        await owners.call("start", tasks, takeStates);
    };

    const startSoon = (tasks: readonly TaskEntry[]): void => {
        start(tasks).catch(error => log.write("debug", "startFailed", { ...failureOf(error) }));
    };

    const stop = async (tasks: readonly TaskEntry[]): Promise<void> => {
        await owners.call("stop", tasks, async () => {});
    };

    const resultOf = async (
        { attemptId, outcome, result }: AttemptReport,
    ): Promise<Pick<TaskEndedRecord, "result" | "resultKey">> => {
        if (outcome !== "completed" || result.length <= inlineResultLength) {
            return { result };
        }
        const resultKey = `results/${attemptId}`;
        await objects.put(resultKey, result);
        return { resultKey };
    };

    /** A task that fails again and again, such as a service that cannot start, comes back at growing intervals. */
    const enqueueAfter = (task: TaskEntry, restMs: number): void => {
        const enqueue = (): void => {
            if (!closed && task.state === taskStates.queued) {
                queue.push(itemOf(task.job, [task], false));
                pumpLoop.wake();
            }
        };
        if (restMs === 0) {
            enqueue();
            return;
        }
        clock.setTimer(restMs, enqueue);
    };

    const afterSettled = async (task: TaskEntry): Promise<void> => {
        if (!isGang(task.job)) {
            if (task.state === taskStates.queued) {
                enqueueAfter(task, restAfterFailures(task.failures));
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
        const result = await resultOf(ended);
        const record = recordFor(task, ended, { nowMs: clock.nowMs(), workloadClass: classOf(task.job), result });
        if (ended.outcome === "failed" && task.workerId !== undefined) {
            task.failedOn.add(task.workerId);
            task.failures += 1;
        }
        await write([record]);
        startSent.delete(ended.attemptId);
        meter.count(`attempts.${ended.outcome}`);
        await afterSettled(task);
        pumpLoop.wake();
    };

    const report = async (reports: readonly AttemptReport[]): Promise<readonly string[]> => {
        const settled: string[] = [];
        await Promise.all(reports.map(async each => {
            const task = state.task(each.taskId);
            const abandoned = task?.abandonedIds.includes(each.attemptId) === true;
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

    const isAgreed = ({ task, placement }: ReservedTask): boolean =>
        task.attemptId === placement.attemptId && task.state === taskStates.starting;

    const mayStartEarly = ({ task, placement }: ReservedTask): boolean =>
        !task.job.spec.atMostOnce && placement.rackKey.startsWith(unitKey("rack", options.dataCentre, ""));

    /** Commits reservations and starts them; where the commit is slow, what may start before it does. */
    const commit = async (reserved: readonly ReservedTask[], gang: boolean): Promise<void> => {
        const intents = reserved.map(each => {
            const record: JournalRecord = { kind: "attemptIntended", taskId: each.task.taskId, ...each.placement };
            return { ...each, record };
        });
        for (const { task } of reserved) {
            task.job.gangQueued = false;
        }
        const urgent = reserved.some(({ task }) => isPressing(task.job));
        const durable = write(intents.map(each => each.record), urgent);
        durable.then(
            () => startSoon(intents.filter(isAgreed).filter(each => !early.has(each.task)).map(each => each.task)),
            error => log.write("debug", "commitFailed", { homeId, ...failureOf(error) }),
        );
        const early = new Set<TaskEntry>();
        const slow = sleep(clock, options.earlyStartMs).then(() => true);
        const isSlow = await Promise.race([durable.then(() => false, () => false), slow]);
        if (!isSlow || gang || closed || !options.mayAct()) {
            return;
        }
        for (const each of intents.filter(mayStartEarly)) {
            state.apply(each.record);
            appliedEarly.add(each.record);
            early.add(each.task);
        }
        meter.count("earlyStarts", early.size);
        startSoon([...early].filter(task => task.state === taskStates.starting));
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
        ownerCapacities: options.rooms,
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

    const pump = async (): Promise<void> => {
        if (closed || !recovered || queue.size() === 0) {
            return;
        }
        recountTeamUse();
        if (await placer.round() > 0) {
            pumpLoop.wake();
        }
    };

    /** Attempts that an earlier holder started without a committed intent. */
    const adoptFound = async (found: readonly HomeAttempt[]): Promise<void> => {
        const records: JournalRecord[] = [];
        for (const { state: said, ...parts } of found) {
            const { attemptId, taskId } = parts;
            const task = state.task(taskId);
            const isOpen = task?.state === taskStates.queued && !task.abandonedIds.includes(attemptId);
            if (isOpen && said !== "absent" && said !== "notStarted") {
                records.push({ kind: "attemptIntended", ...parts });
                startSent.add(attemptId);
            }
        }
        await write(records);
    };

    const recoverOnce = createHomeRecovery({
        homeId,
        homeVersion,
        dataCentre: options.dataCentre,
        membership,
        call: options.call,
        adopt: adoptFound,
    });

    const recover = async (): Promise<void> => {
        while (!recovered && !closed) {
            recovered = await recoverOnce().catch(() => false);
            if (!recovered) {
                await sleep(clock, recoverRetryMs);
            }
        }
        if (closed) {
            return;
        }
        log.write("info", "homeRecovered", { homeId });
        for (const job of state.jobs()) {
            enqueueJob(job);
        }
        pumpLoop.wake();
    };

    const settleLost = async (): Promise<void> => {
        const reports: AttemptReport[] = [];
        for (const { workerId, rackKey, attemptId, taskId, listedGeneration } of state.active()) {
            const ownerless = rackKey !== undefined && membership.ownerOf(rackKey) === undefined;
            if (workerId !== undefined && ownerless && membership.vmGoneSince(workerId, listedGeneration)) {
                reports.push({ attemptId: attemptId ?? "", taskId, outcome: "absent", result: "", checkpoint: "" });
            }
        }
        await report(reports);
    };

    /** Asks the present owners about every attempt that they have not yet answered for. */
    const reconcile = async (): Promise<void> => {
        const unconfirmed = [...state.active()].filter(task =>
            task.settling === undefined && task.rackKey !== undefined
            && (task.confirmedBy === undefined || owners.tenureOf(task.rackKey) !== task.confirmedBy)
        );
        await owners.call("attemptStates", unconfirmed, async (tasks, answer, tenures) => {
            await takeStates(tasks, answer, tenures);
            await start(tasks.filter(task => answer.states[task.attemptId ?? ""] === "reserved"));
        });
        await stop([...state.active()].filter(isCancelled));
        await settleLost();
    };

    /** Runs from a timer, when everything committed so far has been applied. */
    const maintain = async (): Promise<void> => {
        const nextSequence = journal.nextSequence();
        if (closed || nextSequence - snapshotAt < options.snapshotBatches) {
            return;
        }
        const forgotten = state.forgetEnded(clock.nowMs() - options.retentionMs);
        if (await options.saveSnapshot({ snapshot: state.snapshot(), nextSequence })) {
            snapshotAt = nextSequence;
            meter.count("snapshots");
            await options.forgetJobs(forgotten);
        }
    };

    const loopOf = (name: string, intervalMs: number, run: () => Promise<void>) =>
        startLoop({ clock, log, name: `${name} ${homeId}`, intervalMs, run });
    const pumpLoop = loopOf("pump", options.pumpIntervalMs, pump);
    const reconcileLoop = loopOf("reconcile", options.reconcileIntervalMs, reconcile);
    const maintainLoop = loopOf("maintain", options.maintainIntervalMs, maintain);

    for (const task of state.active()) {
        startSent.add(task.attemptId ?? "");
    }
    if (!recovered) {
        void recover();
    }

    const submit = async (spec: JobSpec): Promise<Job> => {
        const record: JournalRecord = { kind: "jobAccepted", spec, acceptedAtMs: clock.nowMs() };
        const urgent = options.classOf(spec.workloadClass).priority >= pressingPriority;
        await journal.claim([record], { key: jobKey(spec.jobId), value: { homeId } }, urgent);
        state.apply(record);
        const job = state.job(spec.jobId) ?? die("internal", `job ${spec.jobId} is not in its home`);
        acceptedTasks += spec.tasks;
        if (recovered) {
            enqueueJob(job);
        }
        pumpLoop.wake();
        log.write("info", "jobAccepted", {
            jobId: spec.jobId,
            homeId,
            tasks: spec.tasks,
            workloadClass: spec.workloadClass,
        });
        return showJob(job, homeId);
    };

    const stopSoon = (tasks: readonly TaskEntry[]): void => {
        stop(tasks).catch(error => log.write("debug", "stopFailed", { ...failureOf(error) }));
    };

    /** An earlier holder may have started tasks that this one takes for waiting. */
    const refuseUntilRecovered = (): void => {
        if (!recovered) {
            die("unavailable", `home ${homeId} still asks what runs of it`, { retryAfterMs: recoverRetryMs });
        }
    };

    const cancel = async (jobId: string): Promise<Job> => {
        refuseUntilRecovered();
        const job = state.job(jobId) ?? die("notFound", `home ${homeId} has no job ${jobId}`);
        if (!job.cancelled && !showJob(job, homeId).ended) {
            await write([{ kind: "jobCancelled", jobId, cancelledAtMs: clock.nowMs() }]);
            stopSoon(job.tasks.filter(task => !isFinal(task.state)));
        }
        return showJob(job, homeId);
    };

    const cancelTask = async (taskId: string): Promise<Task> => {
        refuseUntilRecovered();
        const task = state.task(taskId) ?? die("notFound", `home ${homeId} has no task ${taskId}`);
        if (!isCancelled(task) && !isFinal(task.state)) {
            await write([{ kind: "taskCancelled", taskId, cancelledAtMs: clock.nowMs() }]);
            stopSoon([task]);
        }
        return showTask(task);
    };

    const fullTask = async (taskId: string): Promise<Task | undefined> => {
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
        task: fullTask,
        queuedTasks: () => queue.size(),
        activeTasks: () => [...state.active()].length,
        acceptedTasks: () => acceptedTasks,
        recovered: () => recovered,
        teamUse: () => teamUse,
        close: async () => {
            closed = true;
            await Promise.all([pumpLoop.stop(), reconcileLoop.stop(), maintainLoop.stop()]);
            if (options.mayAct()) {
                await Promise.race([journal.flush(), sleep(clock, options.closeTimeoutMs)]);
            }
            journal.close();
        },
    };
};

/**
 * Names the directory row that says which home holds a job.
 *
 * @example
 * jobKey("load-in-7"); // "job/load-in-7"
 */
export const jobKey = (jobId: string): string => `job/${jobId}`;
