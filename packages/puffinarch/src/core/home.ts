/**
 * The home of jobs: it accepts them durably, offers their tasks to rack owners, commits each attempt before it is
 * started, and is the one writer of every task's state.
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
import type {
    AttemptsRequest,
    AttemptsResponse,
    AttemptState,
    PeerCallName,
    PeerCalls,
    Placement,
    TaskOffer,
} from "../types/peer.js";
import type { Clock, Log, Meter, ObjectStore, Random } from "../types/ports.js";
import type { AttemptIntendedRecord, JournalRecord, TaskEndedRecord } from "../types/records.js";
import { add, noResources, type Resources } from "../types/resources.js";
import { die, failureOf } from "../utils/errors.js";
import { startLoop } from "../utils/time.js";
import { type HomeState, type JobEntry, showJob, showTask, type TaskEntry } from "./homeState.js";
import type { Journal } from "./journal.js";
import type { Membership } from "./membership.js";
import { createRooms, type Room, type Rooms } from "./rooms.js";
import { createTaskQueue, type QueueItem } from "./taskQueue.js";

/** The holder of one home. */
export interface Home {
    readonly homeId: string;
    submit(spec: JobSpec): Promise<Job>;
    cancel(jobId: string): Promise<Job>;
    report(reports: readonly AttemptReport[]): Promise<readonly string[]>;
    job(jobId: string): Job | undefined;
    jobs(team: string, afterJobId: string, limit: number): readonly Job[];
    tasks(jobId: string, afterIndex: number, limit: number): readonly Task[];
    /** With its result, read from the object store where it is large. */
    task(taskId: string): Promise<Task | undefined>;
    queuedTasks(): number;
    activeTasks(): number;
    acceptedTasks(): number;
    /** Resources held by active tasks, by team. */
    teamUse(): ReadonlyMap<string, Resources>;
    close(): Promise<void>;
}

/** What a home needs. */
export interface HomeOptions {
    readonly homeId: string;
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
    readonly rooms: () => readonly Room[];
    /** True where the team's quota leaves room for this much more. */
    readonly withinQuota: (team: string, size: Resources) => boolean;
    readonly call: <K extends PeerCallName>(
        sessionId: string,
        name: K,
        input: PeerCalls[K]["input"],
    ) => Promise<PeerCalls[K]["output"]>;
    readonly pumpIntervalMs: number;
    readonly reconcileIntervalMs: number;
}

interface Offered {
    readonly item: QueueItem;
    readonly task: TaskEntry;
    readonly offer: TaskOffer;
}

interface Made {
    readonly task: TaskEntry;
    readonly placement: Placement;
}

const itemsPerRound = 256;
const maxBatchAttempts = 3;
const inlineResultLength = 8 * 1024;
const baseRestMs = 100;
const maxRestMs = 5_000;
const quotaRestMs = 500;

/**
 * Opens a home whose state has been replayed.
 *
 * @example
 * const home = createHome(options);
 * await home.submit(spec); // durable once this resolves
 */
export const createHome = (options: HomeOptions): Home => {
    const { homeId, journal, state, clock, random, log, meter, objects, membership } = options;
    const queue = createTaskQueue();
    const teamUse = new Map<string, Resources>();
    /** Attempts whose start may have reached an owner from this holder; absent ones never did. */
    const startSent = new Set<string>();
    let acceptedTasks = 0;
    let closed = false;

    const write = async (records: readonly JournalRecord[]): Promise<void> => {
        if (records.length === 0) {
            return;
        }
        await journal.append(records);
        for (const record of records) {
            state.apply(record);
        }
    };

    const isGang = (job: JobEntry): boolean => options.classOf(job.spec.workloadClass).kind === workloadKinds.gang;

    const itemOf = (job: JobEntry, tasks: readonly TaskEntry[], gang: boolean, tries: number): QueueItem => {
        const workloadClass = options.classOf(job.spec.workloadClass);
        return {
            tasks,
            gang,
            priority: workloadClass.priority,
            policy: workloadClass.policy,
            team: job.spec.team,
            size: job.spec.taskSize,
            queuedAtMs: job.acceptedAtMs,
            tries,
        };
    };

    const enqueueGang = (job: JobEntry): void => {
        const open = job.tasks.filter(task => !isFinal(task.state));
        if (open.length > 0 && open.every(task => task.state === taskStates.queued)) {
            queue.push(itemOf(job, open, true, 0));
        }
    };

    const enqueueJob = (job: JobEntry): void => {
        if (isGang(job)) {
            enqueueGang(job);
            return;
        }
        for (const task of job.tasks) {
            if (task.state === taskStates.queued) {
                queue.push(itemOf(job, [task], false, 0));
            }
        }
    };

    const attemptsOf = (tasks: readonly TaskEntry[]): AttemptsRequest => ({
        attempts: tasks.flatMap(task =>
            task.attemptId === undefined || task.workerId === undefined || task.rackKey === undefined
                ? []
                : [{ attemptId: task.attemptId, workerId: task.workerId, rackKey: task.rackKey }]
        ),
    });

    const byOwner = (tasks: Iterable<TaskEntry>): ReadonlyMap<string, readonly TaskEntry[]> => {
        const groups = new Map<string, TaskEntry[]>();
        for (const task of tasks) {
            const owner = task.rackKey === undefined ? undefined : membership.ownerOf(task.rackKey);
            if (owner === undefined) {
                continue;
            }
            const group = groups.get(owner.sessionId) ?? [];
            group.push(task);
            groups.set(owner.sessionId, group);
        }
        return groups;
    };

    const callOwners = async (
        name: "start" | "stop" | "attemptStates",
        tasks: Iterable<TaskEntry>,
        onAnswer: (owner: string, group: readonly TaskEntry[], answer: AttemptsResponse) => Promise<void>,
    ): Promise<void> => {
        await Promise.all([...byOwner(tasks)].map(async ([owner, group]) => {
            try {
                await onAnswer(owner, group, await options.call(owner, name, attemptsOf(group)));
            }
            catch (error) {
                const failure = failureOf(error);
                log.write("debug", "ownerSilent", { call: name, owner, tasks: group.length, ...failure });
                if (name === "start" && failure.kind !== "unavailable") {
                    group.forEach(task => startSent.add(task.attemptId ?? ""));
                }
            }
        }));
    };

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
        owner: string,
        tasks: readonly TaskEntry[],
        { states }: AttemptsResponse,
    ): Promise<void> => {
        const reports: AttemptReport[] = [];
        for (const task of tasks) {
            const attemptId = task.attemptId ?? "";
            const said: AttemptState | undefined = states[attemptId];
            if (said === "running" || said === "starting" || said === "ended") {
                startSent.add(attemptId);
                task.confirmedBy = owner;
            }
            if (said === "running") {
                noteRunning(task);
            }
            if (said === "notStarted" || said === "absent") {
                const outcome: AttemptOutcome = said === "absent" && startSent.has(attemptId) ? "absent" : "notStarted";
                reports.push({ attemptId, taskId: task.taskId, outcome, result: "" });
            }
        }
        await report(reports);
    };

    const start = async (tasks: readonly TaskEntry[]): Promise<void> => {
        await callOwners("start", tasks, takeStates);
    };

    const stop = async (tasks: readonly TaskEntry[]): Promise<void> => {
        await callOwners("stop", tasks, async () => {});
    };

    const ended = (
        task: TaskEntry,
        end: Pick<TaskEndedRecord, "state" | "detail" | "started"> & Partial<TaskEndedRecord>,
    ): JournalRecord => ({
        kind: "taskEnded",
        taskId: task.taskId,
        startedAtMs: task.startedAtMs,
        endedAtMs: clock.nowMs(),
        ...end,
    });

    const abandoned = (task: TaskEntry, started: boolean, reason: string): JournalRecord => ({
        kind: "attemptAbandoned",
        taskId: task.taskId,
        attemptId: task.attemptId ?? "",
        started,
        reason,
    });

    const mayRetry = (task: TaskEntry): boolean => {
        const { kind } = options.classOf(task.job.spec.workloadClass);
        if (task.job.spec.atMostOnce || kind === workloadKinds.gang) {
            return false;
        }
        return kind === workloadKinds.service || task.attempts < maxBatchAttempts;
    };

    const resultOf = async (attemptId: string, result: string): Promise<Partial<TaskEndedRecord>> => {
        if (result.length <= inlineResultLength) {
            return { result };
        }
        const resultKey = `results/${attemptId}`;
        await objects.put(resultKey, result);
        return { resultKey };
    };

    const lost = (task: TaskEntry, reason: string): JournalRecord => {
        if (task.job.cancelled) {
            return ended(task, { state: "cancelled", detail: reason, started: true });
        }
        return task.job.spec.atMostOnce
            ? ended(task, { state: "mayHaveRun", detail: reason, started: true })
            : abandoned(task, true, reason);
    };

    const outcomeHandlers: Readonly<
        Record<AttemptOutcome, (task: TaskEntry, result: string) => Promise<JournalRecord>>
    > = {
        completed: async (task, result) =>
            ended(task, {
                state: "completed",
                detail: "",
                started: true,
                ...await resultOf(task.attemptId ?? "", result),
            }),
        failed: async (task, result) =>
            mayRetry(task) && !task.job.cancelled
                ? abandoned(task, true, `failed on ${task.workerId}: ${result}`)
                : ended(task, { state: "failed", detail: result, started: true }),
        stopped: async task =>
            task.job.cancelled
                ? ended(task, { state: "cancelled", detail: "stopped", started: true })
                : lost(task, `stopped on ${task.workerId}`),
        lapsed: async task => lost(task, `the lease lapsed on ${task.workerId}`),
        absent: async task => lost(task, `lost with ${task.workerId}`),
        notStarted: async task =>
            task.job.cancelled
                ? ended(task, { state: "cancelled", detail: "cancelled before it started", started: false })
                : abandoned(task, false, `did not start on ${task.workerId}`),
    };

    const afterSettled = async (task: TaskEntry): Promise<void> => {
        if (task.state !== taskStates.queued) {
            return;
        }
        if (!isGang(task.job)) {
            queue.push(itemOf(task.job, [task], false, task.attempts));
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

    const settle = async (task: TaskEntry, { attemptId, outcome, result }: AttemptReport): Promise<void> => {
        const record = await outcomeHandlers[outcome](task, result);
        await write([record]);
        startSent.delete(attemptId);
        meter.count(`attempts.${outcome}`);
        await afterSettled(task);
        pumpLoop.wake();
    };

    const report = async (reports: readonly AttemptReport[]): Promise<readonly string[]> => {
        const settled: string[] = [];
        await Promise.all(reports.map(async each => {
            const task = state.task(each.taskId);
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

    const isWaiting = (task: TaskEntry): boolean => task.state === taskStates.queued && !task.job.cancelled;

    const addTeamUse = (item: QueueItem): void => {
        for (const { job: { spec } } of item.tasks) {
            teamUse.set(spec.team, add(teamUse.get(spec.team) ?? noResources, spec.taskSize));
        }
    };

    const recountTeamUse = (): void => {
        teamUse.clear();
        for (const { job: { spec } } of state.active()) {
            teamUse.set(spec.team, add(teamUse.get(spec.team) ?? noResources, spec.taskSize));
        }
    };

    const offerOf = (item: QueueItem, task: TaskEntry): TaskOffer => ({
        attemptId: options.newAttemptId(task.taskId),
        taskId: task.taskId,
        size: item.size,
        payload: task.job.spec.payload,
        policy: item.policy,
    });

    const putBack = (item: QueueItem, restMs: number): void => {
        queue.putBack({ ...item, tries: item.tries + 1 }, clock.monotonicMs() + restMs);
    };

    const restFor = (item: QueueItem): number => {
        const ceilingMs = Math.min(maxRestMs, baseRestMs * 2 ** Math.min(10, item.tries));
        return item.gang ? ceilingMs * (0.5 + random.next() / 2) : baseRestMs;
    };

    const send = async (owner: string, offers: readonly TaskOffer[]): Promise<readonly Placement[]> => {
        try {
            return (await options.call(owner, "place", { homeId, offers })).placements;
        }
        catch (error) {
            log.write("debug", "offerFailed", { owner, offers: offers.length, ...failureOf(error) });
            return [];
        }
    };

    const commitAndStart = async (made: readonly Made[]): Promise<void> => {
        const records: readonly AttemptIntendedRecord[] = made.map(({ task, placement }) => ({
            kind: "attemptIntended",
            taskId: task.taskId,
            ...placement,
        }));
        await write(records);
        const agreed = made.filter(({ task, placement }) =>
            task.attemptId === placement.attemptId && task.state === taskStates.starting
        );
        void start(agreed.map(({ task }) => task)).catch(error => {
            log.write("debug", "startFailed", { ...failureOf(error) });
        });
    };

    const placeSingles = async (items: readonly QueueItem[], rooms: Rooms): Promise<number> => {
        const byTarget = new Map<string, Offered[]>();
        const unplaced: QueueItem[] = [];
        for (const item of items) {
            const [task] = item.tasks;
            const owner = rooms.choose(item.size, options.policyOf(item.policy).placement);
            if (owner === undefined || task === undefined) {
                unplaced.push(item);
                continue;
            }
            byTarget.set(owner, [...(byTarget.get(owner) ?? []), { item, task, offer: offerOf(item, task) }]);
        }
        const counts = await Promise.all([...byTarget].map(async ([owner, group]) => {
            const placements = await send(owner, group.map(({ offer }) => offer));
            const placed = new Map(placements.map(placement => [placement.attemptId, placement]));
            const made: Made[] = [];
            for (const { item, task, offer } of group) {
                const placement = placed.get(offer.attemptId);
                if (placement === undefined) {
                    unplaced.push(item);
                    continue;
                }
                made.push({ task, placement });
            }
            await commitAndStart(made);
            return made.length;
        }));
        unplaced.sort((left, right) => right.queuedAtMs - left.queuedAtMs);
        for (const item of unplaced) {
            putBack(item, restFor(item));
        }
        return counts.reduce((sum, count) => sum + count, 0);
    };

    const groupGang = (
        item: QueueItem,
        rooms: Rooms,
    ): ReadonlyMap<string, { task: TaskEntry; offer: TaskOffer; }[]> | undefined => {
        const byTarget = new Map<string, { task: TaskEntry; offer: TaskOffer; }[]>();
        for (const task of item.tasks) {
            const owner = rooms.choose(item.size, options.policyOf(item.policy).placement);
            if (owner === undefined) {
                return undefined;
            }
            byTarget.set(owner, [...(byTarget.get(owner) ?? []), { task, offer: offerOf(item, task) }]);
        }
        return byTarget;
    };

    const releaseAll = async (owner: string, placements: readonly Placement[]): Promise<void> => {
        await options.call(owner, "release", { attempts: placements }).catch(() => undefined);
    };

    /** All or nothing: owners are asked in one fixed order, and the first refusal gives everything back. */
    const placeGang = async (item: QueueItem, rooms: Rooms): Promise<number> => {
        const byTarget = groupGang(item, rooms);
        const held: { owner: string; placements: readonly Placement[]; }[] = [];
        const tasks = new Map<string, TaskEntry>();
        let complete = byTarget !== undefined;
        for (const owner of [...(byTarget?.keys() ?? [])].sort()) {
            const offers = byTarget?.get(owner) ?? [];
            const placements = await send(owner, offers.map(each => each.offer));
            held.push({ owner, placements });
            offers.forEach(each => tasks.set(each.offer.attemptId, each.task));
            if (placements.length < offers.length) {
                complete = false;
                break;
            }
        }
        if (!complete) {
            await Promise.all(held.map(({ owner, placements }) => releaseAll(owner, placements)));
            putBack(item, restFor(item));
            return 0;
        }
        const made = held.flatMap(({ placements }) => placements).flatMap(placement => {
            const task = tasks.get(placement.attemptId);
            return task === undefined ? [] : [{ task, placement }];
        });
        await commitAndStart(made);
        return made.length;
    };

    const waitingPart = (item: QueueItem): QueueItem | undefined => {
        const tasks = item.tasks.filter(isWaiting);
        return tasks.length === 0 ? undefined : { ...item, tasks };
    };

    const admitted = (items: readonly QueueItem[]): readonly QueueItem[] => {
        const open: QueueItem[] = [];
        for (const taken of items) {
            const item = waitingPart(taken);
            if (item === undefined) {
                continue;
            }
            const size = item.tasks.reduce(sum => add(sum, item.size), noResources);
            if (!options.withinQuota(item.team, size)) {
                putBack(item, quotaRestMs);
                continue;
            }
            addTeamUse(item);
            open.push(item);
        }
        return open;
    };

    const round = async (): Promise<void> => {
        if (closed || queue.size() === 0) {
            return;
        }
        recountTeamUse();
        const items = admitted(queue.take(itemsPerRound, clock.monotonicMs()));
        const rooms = createRooms(options.rooms(), random);
        let placed = await placeSingles(items.filter(item => !item.gang), rooms);
        for (const item of items.filter(each => each.gang)) {
            placed += await placeGang(item, rooms);
        }
        if (placed > 0) {
            pumpLoop.wake();
        }
    };

    const settleLost = async (): Promise<void> => {
        const reports: AttemptReport[] = [];
        for (const task of state.active()) {
            const { workerId, rackKey, attemptId } = task;
            const ownerless = rackKey !== undefined && membership.ownerOf(rackKey) === undefined;
            if (workerId !== undefined && ownerless && membership.vmGone(workerId)) {
                reports.push({ attemptId: attemptId ?? "", taskId: task.taskId, outcome: "absent", result: "" });
            }
        }
        await report(reports);
    };

    /** Asks the present owners about every attempt that they have not yet answered for. */
    const reconcile = async (): Promise<void> => {
        const unconfirmed = [...state.active()].filter(task =>
            task.rackKey !== undefined && membership.ownerOf(task.rackKey)?.sessionId !== task.confirmedBy
        );
        await callOwners("attemptStates", unconfirmed, async (owner, tasks, answer) => {
            await takeStates(owner, tasks, answer);
            await start(tasks.filter(task => answer.states[task.attemptId ?? ""] === "reserved"));
        });
        await stop([...state.active()].filter(task => task.job.cancelled));
        await settleLost();
    };

    const pumpLoop = startLoop({ clock, log, name: `pump ${homeId}`, intervalMs: options.pumpIntervalMs, run: round });
    const reconcileLoop = startLoop({
        clock,
        log,
        name: `reconcile ${homeId}`,
        intervalMs: options.reconcileIntervalMs,
        run: reconcile,
    });

    for (const job of state.jobs()) {
        enqueueJob(job);
    }
    for (const task of state.active()) {
        startSent.add(task.attemptId ?? "");
    }

    const submit = async (spec: JobSpec): Promise<Job> => {
        const record: JournalRecord = { kind: "jobAccepted", spec, acceptedAtMs: clock.nowMs() };
        await journal.claim([record], { key: jobKey(spec.jobId), value: { homeId } });
        state.apply(record);
        const job = state.job(spec.jobId) ?? die("internal", `job ${spec.jobId} is not in its home`);
        acceptedTasks += spec.tasks;
        enqueueJob(job);
        pumpLoop.wake();
        log.write("info", "jobAccepted", {
            jobId: spec.jobId,
            homeId,
            tasks: spec.tasks,
            workloadClass: spec.workloadClass,
        });
        return showJob(job, homeId);
    };

    const cancel = async (jobId: string): Promise<Job> => {
        const job = state.job(jobId) ?? die("notFound", `home ${homeId} has no job ${jobId}`);
        if (!job.cancelled && !showJob(job, homeId).ended) {
            await write([{ kind: "jobCancelled", jobId, cancelledAtMs: clock.nowMs() }]);
            void stop(job.tasks.filter(task => !isFinal(task.state))).catch(() => undefined);
        }
        return showJob(job, homeId);
    };

    const fullTask = async (taskId: string): Promise<Task | undefined> => {
        const entry = state.task(taskId);
        if (entry === undefined) {
            return undefined;
        }
        const { resultKey } = entry;
        return resultKey === undefined ? showTask(entry) : { ...showTask(entry), result: await objects.get(resultKey) };
    };

    return {
        homeId,
        submit,
        cancel,
        report,
        job: jobId => {
            const job = state.job(jobId);
            return job === undefined ? undefined : showJob(job, homeId);
        },
        jobs: (team, afterJobId, limit) =>
            [...state.jobs()]
                .filter(job => (team === "" || job.spec.team === team) && job.spec.jobId > afterJobId)
                .sort((left, right) => left.spec.jobId < right.spec.jobId ? -1 : 1)
                .slice(0, limit)
                .map(job => showJob(job, homeId)),
        tasks: (jobId, afterIndex, limit) => {
            const job = state.job(jobId) ?? die("notFound", `home ${homeId} has no job ${jobId}`);
            return job.tasks.slice(afterIndex + 1, afterIndex + 1 + limit).map(showTask);
        },
        task: fullTask,
        queuedTasks: () => queue.size(),
        activeTasks: () => [...state.active()].length,
        acceptedTasks: () => acceptedTasks,
        teamUse: () => teamUse,
        close: async () => {
            closed = true;
            await pumpLoop.stop();
            await reconcileLoop.stop();
            await journal.flush();
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
