/**
 * Trials: how tasks under which workers have crashed are started again, so that what else runs loses little by it. A step
 * of which a worker crashed goes on with one task until one of the step is at work; a task under which two crashed runs on
 * a worker by itself until it is.
 */

import { atWorkMs, awaitsVerdict, isNearEnd, needsTrial } from "./crashes.js";
import { jobOf, runPhases, type ShardJob, type ShardRun, type ShardStep, type ShardTask } from "./jobBook.js";
import { runKey, type ShardWorker } from "./workerTable.js";

/** A task on trial shares its worker sooner than its job should stand still: what runs there loses less than its callers. */
const longestWaitMs = 1_500;
/**
 * A job that might be given up for what runs beside it waits longer, since tasks of a second or so have left a worker by then;
 * not for so long that nothing of it runs for 3 s though there is room, which its callers count as lost.
 */
const longestWaitNearEndMs = 2_000;
/**
 * A step of which nothing is at work goes on elsewhere while so many workers lie silent since they were sent a task of it;
 * once one of them has surely crashed, it waits for the others.
 */
const mostFallen = 1;
/** At most this share of the workers is emptied for trials at any moment. */
const mostHeldShare = 0.25;

/** What tells whether a run is at work. */
interface Sight {
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly nowMs: number;
}

const isAtWork = (run: ShardRun, { workers, nowMs }: Sight): boolean =>
    run.phase === runPhases.running && run.startedAtMs !== undefined && nowMs - run.startedAtMs >= atWorkMs
    && workers.get(run.workerId)?.silentLooks === 0;

/**
 * Tells whether a worker fell silent before a run had shown that it is at work: the task may have crashed it, and a copy
 * would crash the next one.
 *
 * @example
 * if (fellAtStart(run, worker)) { return; }
 */
export const fellAtStart = ({ sentAtMs }: ShardRun, { silentSinceMs }: ShardWorker): boolean =>
    silentSinceMs !== undefined && sentAtMs !== undefined && silentSinceMs - sentAtMs < atWorkMs;

const hasCrashed = ({ crashes }: ShardTask): boolean => crashes > 0;

/** Whether something of the step runs, or has run, as it should: then not every task of it crashes its worker. */
const isShown = ({ tasks }: ShardStep, sight: Sight): boolean =>
    tasks.some(task => task.done || task.runs.some(run => isAtWork(run, sight)));

/** Workers that fell silent as runs of the step had just been started there; whether they crashed is known seconds later. */
const fallenWorkers = ({ tasks }: ShardStep, { workers }: Sight): ReadonlySet<string> => {
    const fallen = new Set<string>();
    for (const task of tasks) {
        for (const run of task.runs) {
            const worker = workers.get(run.workerId);
            if (worker !== undefined && fellAtStart(run, worker)) {
                fallen.add(worker.workerId);
            }
        }
    }
    return fallen;
};

/** One that fails by itself shows nothing of the others of its step, which wait for as long as it is tried. */
const mostCrashed = (tasks: readonly ShardTask[]): readonly ShardTask[] =>
    [...tasks].sort((left, right) => right.crashes - left.crashes || left.failures - right.failures).slice(0, 1);

/**
 * Chooses those of a step's waiting tasks that may be started now.
 *
 * @example
 * for (const task of startable(step, waiting, { workers, nowMs })) { place(task); }
 */
export const startable = (
    step: ShardStep,
    all: readonly ShardTask[],
    sight: Sight,
): readonly ShardTask[] => {
    const waiting = all.filter(task => !awaitsVerdict(task, sight.nowMs));
    if (step.spec.gang) {
        return waiting;
    }
    const fallen = fallenWorkers(step, sight);
    const counted = isSuspect(step);
    if (fallen.size === 0 && !counted) {
        return waiting;
    }
    const live = step.tasks.flatMap(task => task.runs).filter(run =>
        !run.absent && !isAtWork(run, sight) && !fallen.has(run.workerId)
    );
    if (!isShown(step, sight)) {
        const tooMany = fallen.size > (counted ? 0 : mostFallen);
        return live.length > 0 || tooMany ? [] : mostCrashed(waiting);
    }
    const onTrial = live.some(run => needsTrial(run.task));
    return [
        ...onTrial ? [] : mostCrashed(waiting.filter(needsTrial)),
        ...waiting.filter(task => !needsTrial(task)),
    ];
};

/**
 * Tells whether a worker is kept from a job, since a task of another one is on trial there.
 *
 * @example
 * isKeptFrom(worker, step.occurrence.job, { workers, nowMs });
 */
export const isKeptFrom = ({ trial, trialHold, runs }: ShardWorker, job: ShardJob, sight: Sight): boolean => {
    if (trialHold !== undefined && trialHold.job !== job && sight.nowMs < trialHold.untilMs) {
        return true;
    }
    return trial !== undefined && !trial.absent && jobOf(trial) !== job && runs.has(runKey(trial.task.name, trial.run))
        && !isAtWork(trial, sight);
};

const waitMsOf = (task: ShardTask): number => isNearEnd(task) ? longestWaitNearEndMs : longestWaitMs;

/** Whether an order that got no answer may still be under way to the worker, which its next incarnation would carry out. */
const losesOrders = ({ unansweredStarts, startUnansweredAtMs }: ShardWorker, nowMs: number): boolean =>
    unansweredStarts > 0 && nowMs - startUnansweredAtMs < longestWaitMs;

/**
 * Tells whether a task may run on a worker as far as its trial is concerned: nothing else runs there, or it has waited long. No
 * task under which a worker has crashed goes to one that has just lost an order: it might crash a worker later, unseen.
 *
 * @example
 * allowsTrial(worker, task, clock.monotonicMs());
 */
export const allowsTrial = (worker: ShardWorker, task: ShardTask, nowMs: number): boolean => {
    if (hasCrashed(task) && losesOrders(worker, nowMs)) {
        return false;
    }
    if (!needsTrial(task) || nowMs - (task.trialWantedAtMs ?? nowMs) >= waitMsOf(task)) {
        return true;
    }
    const { job } = task.step.occurrence;
    return otherRuns(worker, job) === 0;
};

/** What the worker refuses when it comes takes no part in a trial there. */
const otherRuns = ({ runs }: ShardWorker, job: ShardJob): number =>
    [...runs.values()].filter(run => jobOf(run) !== job && !run.absent).length;

/** Whether a worker is empty in a while if nothing more is started there. */
const emptiesSoon = ({ runs }: ShardWorker): boolean =>
    [...runs.values()].every(({ task, absent }) => absent || !task.step.spec.longRunning);

/**
 * Keeps a worker from other jobs until a task on trial may run there by itself: the one with the fewest runs of others
 * among those that may run its step. Nothing is done while the job has one, or where too many are kept already.
 *
 * @example
 * holdForTrial(task, candidates, { workers, nowMs });
 */
export const holdForTrial = (task: ShardTask, candidates: readonly ShardWorker[], sight: Sight): void => {
    const { job } = task.step.occurrence;
    const { workers, nowMs } = sight;
    const isHeld = ({ trialHold }: ShardWorker): boolean => trialHold !== undefined && nowMs < trialHold.untilMs;
    const held = [...workers.values()].filter(isHeld);
    if (
        held.some(({ trialHold }) => trialHold?.job === job) || held.length >= Math.max(1, mostHeldShare * workers.size)
    ) {
        return;
    }
    const able = candidates.filter(worker => !isHeld(worker) && emptiesSoon(worker) && !isKeptFrom(worker, job, sight))
        .sort((left, right) => otherRuns(left, job) - otherRuns(right, job));
    const [chosen] = able;
    if (chosen !== undefined) {
        chosen.trialHold = { job, untilMs: (task.trialWantedAtMs ?? nowMs) + waitMsOf(task) };
    }
};

/**
 * Tells whether a worker has crashed under a task of the step.
 *
 * @example
 * isSuspect(step); // false for a step none of whose workers crashed
 */
export const isSuspect = ({ tasks }: ShardStep): boolean => tasks.some(hasCrashed);

/**
 * Share of the runs that the loss of a worker would harm: those of other jobs for a suspect step, those of suspect tasks for
 * any other; 0 where nothing speaks against the worker.
 *
 * @example
 * const value = -companyOf(worker, job, isSuspect(step));
 */
export const companyOf = ({ runs }: ShardWorker, job: ShardJob, suspect: boolean): number => {
    let harmed = 0;
    for (const run of runs.values()) {
        if (jobOf(run) !== job && !run.absent && (suspect || hasCrashed(run.task))) {
            harmed += 1;
        }
    }
    return harmed / (harmed + 1);
};
