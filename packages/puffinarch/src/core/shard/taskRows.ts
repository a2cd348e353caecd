/** Encodes the progress of tasks, as the rows of their jobs hold it, and restores it. */

import type { Clock } from "../../types/ports.js";
import type { CrashedRun } from "./crashes.js";
import { recordCheckpoint, type ShardJob, type ShardRun, type ShardTask } from "./jobModel.js";
import type {
    StoredCrashedTask,
    StoredDetails,
    StoredFailedTask,
    StoredLoss,
    StoredTask,
    StoredUnanswered,
} from "./jobRowSchemas.js";
import { runKey } from "./workerTable.js";

/** A run that a row of a job lists: its start was intended, and may have been ordered. */
export interface StoredRun {
    readonly taskName: string;
    readonly run: number;
    readonly workerId: string;
    /** Start time of the worker incarnation that it was planned for; undefined if the row does not state it. */
    readonly bornAtMs: number | undefined;
    /** Address of the worker; empty if the row does not state it. */
    readonly address: string;
    /** Local time until which its unanswered start order may still be carried out; undefined if the row does not state it. */
    readonly mayArriveUntilMs: number | undefined;
    /** The worker incarnation that answered the last look does not run it and would refuse its order. */
    readonly absent: boolean;
    /** A worker incarnation that never answered a look may have crashed because of it. */
    readonly mayHaveCrashed: boolean;
    /** Local time at which the state row was written. */
    readonly storedAtMs: number;
}

/** A run that was lost under a former owner because its worker stopped answering; whether the worker crashed is not known. */
export interface RestoredLoss {
    readonly workerId: string;
    /** Address of the worker. */
    readonly address: string;
    readonly crashed: CrashedRun;
}

/**
 * Encodes the state of a task. A checkpoint that is longer than `maxCheckpointBytes` is left out, so that a successor starts the task
 * from the beginning.
 *
 * @example
 * encodeTask(task, 12_000); // 0 for a task that was never started
 */
export const encodeTask = (task: ShardTask, maxCheckpointBytes: number): StoredTask => {
    if (task.done && task.runs.length === 0) {
        return 1;
    }
    if (task.lastRun === 0) {
        return 0;
    }
    const { lastRun, failures, saved: { checkpoint }, done } = task;
    const kept = Buffer.byteLength(checkpoint) > maxCheckpointBytes ? "" : checkpoint;
    const runs = task.runs.map((run): [string, number] => [run.workerId, run.run]);
    return done ? [lastRun, failures, kept, runs, 1] : [lastRun, failures, kept, runs];
};

type TaskPosition = StoredCrashedTask["place"];

const positionOf = ({ step, index }: ShardTask): TaskPosition => [step.occurrence.number, step.number, index];

const taskAt = (job: ShardJob, [occurrence, step, index]: TaskPosition): ShardTask | undefined =>
    job.occurrences.get(occurrence)?.steps[step]?.tasks[index];

/** Workers on which tasks failed. Without them, a successor could spend a task's last attempt on a worker that has failed it before. */
const encodeFailed = (tasks: readonly ShardTask[]): StoredFailedTask[] => {
    const failed: StoredFailedTask[] = [];
    for (const task of tasks) {
        if (task.failedOn.size > 0 && !task.done) {
            failed.push({ place: positionOf(task), workerIds: [...task.failedOn.keys()] });
        }
    }
    return failed;
};

/** Crash counts of tasks. They are durable no later than the next intent to start the task, so that a successor continues from them. */
const encodeCrashed = (tasks: readonly ShardTask[]): StoredCrashedTask[] => {
    const crashed: StoredCrashedTask[] = [];
    for (const task of tasks) {
        const { crashes, crashesExcused: excused, crashesUnconfirmed: unconfirmed, confirmedRun, done } = task;
        const { possibleCrashes: possible } = task;
        if (crashes + excused + possible + confirmedRun > 0 && !done) {
            crashed.push({ place: positionOf(task), crashes, excused, unconfirmed, possible, confirmedRun });
        }
    }
    return crashed;
};

/** Runs that were lost with workers that stopped answering. Whether they crashed their workers may become known only under a successor. */
const encodeLosses = (tasks: readonly ShardTask[]): StoredLoss[] => {
    const lost: StoredLoss[] = [];
    for (const task of tasks) {
        for (const loss of task.done ? [] : task.unresolvedLosses) {
            const { run, workerId, bornAtMs, address, alone, confirmed } = loss;
            lost.push({ place: positionOf(task), run, workerId, bornAtMs, address, alone, confirmed });
        }
    }
    return lost;
};

/**
 * Addresses of the workers of live runs, by worker ID. If the worker list shows another incarnation at an address, a successor detects
 * the crash at once; otherwise it would wait 7.6 s for the leases to expire and count no crash.
 */
const encodeAddresses = (runs: readonly ShardRun[]): Record<string, string> => {
    const addresses: Record<string, string> = {};
    for (const { workerId, address } of runs) {
        addresses[workerId] = address;
    }
    return addresses;
};

/**
 * Start times of the worker incarnations of live runs, by worker ID. With them a successor can detect that an incarnation is over and
 * crashed under its runs.
 */
const encodeIncarnations = (runs: readonly ShardRun[]): Record<string, number> => {
    const incarnations: Record<string, number> = {};
    for (const { workerId, bornAtMs } of runs) {
        if (bornAtMs !== undefined) {
            incarnations[workerId] = bornAtMs;
        }
    }
    return incarnations;
};

/**
 * Live runs whose start order is unanswered. Without them, a successor would start the task elsewhere as soon as a look does not list the
 * run, although the order may still be carried out.
 */
const encodeUnanswered = (runs: readonly ShardRun[], clock: Clock): StoredUnanswered[] => {
    const unanswered: StoredUnanswered[] = [];
    for (const { task, run, mayArriveUntilMs, absent, mayHaveCrashed } of runs) {
        if (mayArriveUntilMs !== undefined) {
            const untilMs = clock.nowMs() + mayArriveUntilMs - clock.monotonicMs();
            unanswered.push({ place: positionOf(task), run, untilMs, absent, mayHaveCrashed });
        }
    }
    return unanswered;
};

/**
 * Encodes what is stored of tasks beside their states.
 *
 * @example
 * encodeDetails(step.tasks, clock).failed; // the tasks that failed, and on which workers
 */
export const encodeDetails = (tasks: readonly ShardTask[], clock: Clock): StoredDetails => {
    const runs = tasks.flatMap(task => task.runs);
    return {
        crashed: encodeCrashed(tasks),
        lost: encodeLosses(tasks),
        failed: encodeFailed(tasks),
        addresses: encodeAddresses(runs),
        lives: encodeIncarnations(runs),
        unanswered: encodeUnanswered(runs, clock),
    };
};

const markDone = (task: ShardTask): void => {
    if (!task.done) {
        task.done = true;
        task.step.open -= 1;
    }
};

/**
 * Restores the state of a task and returns its live runs, as worker ID and run number.
 *
 * @example
 * restoreTask(task, [2, 1, "", [["i-7f3a91c2", 2]]]); // [["i-7f3a91c2", 2]]
 */
export const restoreTask = (task: ShardTask, stored: StoredTask): readonly (readonly [string, number])[] => {
    if (stored === 0) {
        return [];
    }
    if (stored === 1) {
        markDone(task);
        return [];
    }
    const [lastRun, failures, checkpoint, runs, done] = stored;
    if (done === 1) {
        markDone(task);
    }
    task.lastRun = lastRun;
    task.failures = failures;
    // Earlier versions stored a checkpoint of its own for each member of a gang; the last one becomes that of all.
    recordCheckpoint(task, lastRun, checkpoint);
    return runs;
};

const restoreCrashes = (
    job: ShardJob,
    { place, crashes, excused, unconfirmed, possible, confirmedRun }: StoredCrashedTask,
): void => {
    const task = taskAt(job, place);
    if (task !== undefined) {
        task.crashes = crashes;
        task.crashesExcused = excused;
        task.crashesUnconfirmed = unconfirmed;
        task.possibleCrashes = possible;
        task.confirmedRun = confirmedRun;
    }
};

const restoreLosses = (job: ShardJob, stored: readonly StoredLoss[]): readonly RestoredLoss[] =>
    stored.flatMap(({ place, run, workerId, bornAtMs, address, alone, confirmed }) => {
        const task = taskAt(job, place);
        // It is no longer known which other workers stopped answering at that moment, so a time is set that matches no other crash.
        const goneAtMs = -Infinity;
        return task === undefined
            ? []
            : [{ workerId, address, crashed: { task, run, bornAtMs, goneAtMs, alone, confirmed } }];
    });

/** Local times that the runs of a job are restored with. */
export interface RestoreTimes {
    /** Current local time. */
    readonly nowMs: number;
    /** Local time at which the job's state was written. */
    readonly storedAtMs: number;
    /** Converts a time in milliseconds since the Unix epoch to local time. */
    readonly toLocalMs: (epochMs: number) => number;
}

/** Runs that a former owner intended to start, and those that it lost. */
export interface RestoredRuns {
    readonly runs: readonly StoredRun[];
    readonly losses: readonly RestoredLoss[];
}

/**
 * Restores what was stored of a job's tasks beside their states; `live` are the runs that the states list.
 *
 * @example
 * const { runs, losses } = restoreDetails(job, details, [{ task, workerId: "i-7f3a91c2", run: 2 }], times);
 */
export const restoreDetails = (
    job: ShardJob,
    stored: StoredDetails,
    live: readonly { readonly task: ShardTask; readonly workerId: string; readonly run: number; }[],
    { nowMs, storedAtMs, toLocalMs }: RestoreTimes,
): RestoredRuns => {
    for (const crashed of stored.crashed) {
        restoreCrashes(job, crashed);
    }
    for (const { place, workerIds } of stored.failed) {
        for (const workerId of workerIds) {
            taskAt(job, place)?.failedOn.set(workerId, nowMs);
        }
    }
    const unanswered = new Map(
        stored.unanswered.map(each => [runKey(taskAt(job, each.place)?.name ?? "", each.run), each]),
    );
    return {
        runs: live.map(({ task, workerId, run }) => {
            const start = unanswered.get(runKey(task.name, run));
            return {
                taskName: task.name,
                run,
                workerId,
                address: stored.addresses[workerId] ?? "",
                bornAtMs: stored.lives[workerId],
                absent: start?.absent ?? false,
                mayHaveCrashed: start?.mayHaveCrashed ?? false,
                mayArriveUntilMs: start && toLocalMs(start.untilMs),
                storedAtMs,
            };
        }),
        losses: restoreLosses(job, stored.lost),
    };
};
