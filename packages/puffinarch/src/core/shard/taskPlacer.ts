/** Scheduling passes over all steps with waiting tasks: the most urgent step first, each task to a worker with free capacity. */

import type { Accounts } from "./accounts.js";
import { shouldRequestAhead } from "./adviceAhead.js";
import { type AdviceRequesterOptions, createAdviceRequester } from "./adviceRequester.js";
import { isBlocked, recordBlocked } from "./blockedSteps.js";
import { type CapacityView, createCapacityView, type Reservation } from "./capacityView.js";
import { type CapView, type CapWaits, createCapView } from "./capView.js";
import { type ChoiceLimits, type Chooser, createChooser, openWorkersFor } from "./chooseWorker.js";
import { awaitsCrashConfirmation, needsTrial } from "./crashes.js";
import { isAtCap } from "./eligible.js";
import { createFairShares } from "./fairShares.js";
import { createHeadroom, type PassHeadroom } from "./headroom.js";
import {
    estimatedRunMs,
    hasEnded,
    isReady,
    isWaiting,
    newRun,
    type ShardJob,
    type ShardRun,
    type ShardStep,
    type ShardTask,
    stepNameOf,
} from "./jobModel.js";
import { planReservations } from "./planReservations.js";
import { roomyWorkers } from "./roomyWorkers.js";
import { type RunTimes, scoreSpeed, type TimeLeft } from "./runTimes.js";
import { createShortage } from "./shortage.js";
import { createTicketBudget, type TicketBudget } from "./ticketBudget.js";
import { fellSilentAtStart, holdForTrial, startableTasks } from "./trials.js";
import { inSchedulingOrder, isPlacedLast, type RankedStep, slackMsOf, standings, timeLeftOf } from "./urgency.js";
import { dropRun, holdCapacity, type ShardWorker } from "./workerTable.js";

/** Dependencies of a task placer. */
export interface TaskPlacerOptions extends Omit<AdviceRequesterOptions, "onAnswer"> {
    /** How many starts of tasks that are in no gang may be planned; any number where it is left out. */
    readonly freeStarts?: (() => number) | undefined;
    /** Receives planned runs of a job, to be committed and then started. */
    readonly onPlanned: (job: ShardJob, runs: readonly ShardRun[]) => void;
    /** Receives a run to be stopped with its checkpoint, to free its capacity. */
    readonly onPreempt: (run: ShardRun) => void;
    /** The organisations' use, for the policy `shares`. */
    readonly accounts?: Pick<Accounts, "all">;
    /** Learned speeds and biases; where they are left out, all workers count as equal and estimates as right. */
    readonly runTimes?: Pick<RunTimes, "isSpread" | "speedOf" | "expectedMs" | "remainingFactorOf"> | undefined;
    /** Requests another pass soon; requests made before it begins are merged. */
    readonly wake: () => void;
}

/** Places the waiting tasks of a shard on workers. */
export interface TaskPlacer {
    /** Adds the steps of a job that have become ready, and those for which advice may be requested ahead. */
    updateJob(job: ShardJob): void;
    /** Removes all steps of a job. */
    removeJob(job: ShardJob): void;
    /** Runs one pass: places waiting tasks and speculative copies of running ones, and requests advice. */
    runPass(): void;
    /** Number of steps that are ready and have waiting tasks. */
    waitingSteps(): number;
    /** Number of all steps that a pass visits: also those that may need copies, or advice ahead of time. */
    activeSteps(): number;
    /** Whether the next pass tries to place the step's waiting tasks. */
    isQueued(step: ShardStep): boolean;
    /** Local time at which the newest plan has capacity for all tasks that it covers; undefined without a plan, and once it is past. */
    plannedStartMs(step: ShardStep): number | undefined;
}

/** A run is overdue, and its worker may be slow, after `overdueFactor` times its estimate plus `overdueMs`. */
const overdueFactor = 2.5;
const overdueMs = 500;
/** Runs are stopped only for steps that have waited this long: under load tasks end every few milliseconds and free capacity anyway. */
const preemptAfterMs = 120;
/** A capacity plan is reused for this long: runs end every few milliseconds, and planning after each end costs too much. */
const planValidMs = 80;
/** Capacity is planned only for this many of the most urgent waiting steps; the others would get theirs far in the future. */
const maxPlannedSteps = 24;
/** Runs are stopped only for jobs whose objective is long enough that a stop takes at most this share of it. */
const maxStopShare = 0.34;

/** State of one pass over the waiting steps. */
interface PassContext {
    readonly nowMs: number;
    readonly wallMs: number;
    readonly view: CapacityView;
    readonly headroom: PassHeadroom | undefined;
    /** Number of steps for which capacity was planned in this pass, or an earlier plan was reused. */
    planned: number;
    readonly caps: CapView;
    readonly tickets: TicketBudget;
    /** Largest priority number of the waiting steps; advice for steps that are placed last is requested with it. */
    readonly leastPriority: number;
}

/** Where a step's waiting tasks are expected to run, and when this was planned. */
interface CapacityPlan {
    readonly madeAtMs: number;
    readonly reservations: readonly Reservation[];
}

/**
 * Creates the task placer of a shard.
 *
 * @example
 * const placer = createTaskPlacer({ clock, log, meter, settings, workers, dispatcher, onPlanned, onPreempt, wake });
 * placer.updateJob(job);
 * placer.runPass();
 */
export const createTaskPlacer = (options: TaskPlacerOptions): TaskPlacer => {
    const { clock, log, meter, settings, workers, dispatcher, onPlanned, accounts, runTimes } = options;
    const { policies } = settings;
    const ready = new Set<ShardStep>();
    /** Steps that wait for their predecessors and for which no advice was requested yet. */
    const upcoming = new Set<ShardStep>();
    /** Started steps whose tasks may have several runs at the same time. */
    const copyable = new Set<ShardStep>();

    const planRun = (task: ShardTask, worker: ShardWorker, number: number): ShardRun | undefined => {
        const run = newRun(task, worker.workerId, number, {
            address: worker.entry.address,
            bornAtMs: worker.bornAtMs,
        });
        if (!holdCapacity(worker, run)) {
            return undefined;
        }
        if (needsTrial(task)) {
            worker.trial = run;
        }
        task.lastRun = number;
        task.runs.push(run);
        return run;
    };

    const adviceRequester = createAdviceRequester({
        clock,
        log,
        meter,
        settings,
        workers,
        dispatcher,
        onAnswer: options.wake,
    });
    const plans = new Map<ShardStep, CapacityPlan>();
    const capWaits: CapWaits = new WeakMap();
    const shortage = createShortage(workers);
    const fairShares = createFairShares({ log, meter, policies, workers, accounts, shortage });
    const headroom = createHeadroom({ clock, log, meter, policies, workers, shortage });

    /** Ends the trial waits of placed tasks. For a gang, call it only once all members have a worker. */
    const endTrialWaits = (runs: readonly ShardRun[]): void => {
        for (const { task } of runs) {
            task.trialWantedAtMs = undefined;
        }
    };

    /** Expected run time of a run on its worker. */
    const expectedRunMs = (run: ShardRun): number =>
        runTimes?.isSpread() === true && run.task.step.spec.estimateMs > 0
            ? runTimes.expectedMs(run.task.step, run)
            : estimatedRunMs(run);

    /** Returns the score of a worker by its speed for a step; undefined where speeds do not matter. */
    const speedScoreFor = (step: ShardStep, timeLeft: () => TimeLeft): ChoiceLimits["scoreSpeed"] => {
        const { longRunning, estimateMs } = step.spec;
        if (runTimes?.isSpread() !== true || longRunning || estimateMs === 0) {
            return undefined;
        }
        const left = timeLeft();
        return ({ entry }) => {
            const speed = runTimes.speedOf(entry.address);
            return scoreSpeed({ ...left, speed, expectedMs: runTimes.expectedMs(step, entry) });
        };
    };

    const chooserFor = (step: ShardStep, { nowMs, view }: PassContext, timeLeft: () => TimeLeft): Chooser =>
        createChooser(step, workers, {
            nowMs,
            view,
            packing: policies.packing,
            scoreSpeed: speedScoreFor(step, timeLeft),
        });

    /** Starts the wait of tasks on trial for a worker of their own; the members of a gang start it together. */
    const startTrialWaits = (tasks: readonly ShardTask[]): void => {
        for (const task of tasks.filter(needsTrial)) {
            task.trialWantedAtMs ??= clock.monotonicMs();
        }
    };

    /** Plans a run of the task on the best worker; undefined where no worker can take it. */
    const placeOne = (
        chooser: Chooser,
        task: ShardTask,
        number: number,
        except?: ReadonlySet<string>,
    ): ShardRun | undefined => {
        startTrialWaits([task]);
        const worker = chooser.choose(task, except);
        const run = worker === undefined ? undefined : planRun(task, worker, number);
        if (worker !== undefined && run !== undefined) {
            chooser.recordPlacement(worker);
        }
        return run;
    };

    const recordPlacement = ({ workerId, task }: ShardRun, view: CapacityView): void => {
        const worker = workers.get(workerId);
        if (worker !== undefined) {
            view.recordPlacement(worker, task.step);
        }
    };

    const placeTasks = (
        ranked: RankedStep,
        waiting: readonly ShardTask[],
        context: PassContext,
    ): readonly ShardRun[] => {
        const { step } = ranked;
        const runs: ShardRun[] = [];
        const chooser = chooserFor(step, context, () => timeLeftOf(ranked, context.wallMs));
        // Tasks without failures and trials have the same requirements, so the rest are skipped once one found no worker.
        // Tasks that failed avoid some workers, so their result says nothing about the rest.
        let workersFull = false;
        for (const task of waiting) {
            const isPlain = task.failedOn.size === 0 && !needsTrial(task);
            const run = isPlain && workersFull ? undefined : placeOne(chooser, task, task.lastRun + 1);
            if (run !== undefined) {
                runs.push(run);
                recordPlacement(run, context.view);
            }
            else if (needsTrial(task)) {
                holdForTrial(task, openWorkersFor(step, workers, context.nowMs), { workers, nowMs: context.nowMs });
            }
            else if (isPlain) {
                workersFull = true;
            }
        }
        return runs;
    };

    /** Places all members of a gang under one run number, or none. */
    const placeGang = (
        ranked: RankedStep,
        waiting: readonly ShardTask[],
        context: PassContext,
    ): readonly ShardRun[] => {
        const { step } = ranked;
        if (waiting.length < step.tasks.length) {
            return [];
        }
        const number = 1 + Math.max(...step.tasks.map(task => task.lastRun));
        const runs: ShardRun[] = [];
        const chooser = chooserFor(step, context, () => timeLeftOf(ranked, context.wallMs));
        startTrialWaits(waiting);
        const trials = waiting.some(needsTrial)
            ? new Map([...workers.values()].map(worker => [worker, worker.trial]))
            : undefined;
        for (const task of waiting) {
            const run = placeOne(chooser, task, number);
            if (run === undefined) {
                for (const planned of runs) {
                    const holder = workers.get(planned.workerId);
                    if (holder !== undefined) {
                        dropRun(holder, planned);
                        holder.trial = trials === undefined ? holder.trial : trials.get(holder);
                    }
                    planned.task.lastRun = number - 1;
                }
                return [];
            }
            runs.push(run);
        }
        for (const run of runs) {
            recordPlacement(run, context.view);
        }
        return runs;
    };

    /** Whether a copy is worth its capacity: the task's only run is on an unresponsive worker, or is overdue. */
    const needsCopy = (task: ShardTask, nowMs: number): boolean => {
        const [run] = task.runs;
        if (task.done || run === undefined || task.runs.length > 1 || task.crashes > 0) {
            return false;
        }
        const worker = workers.get(run.workerId);
        if (worker !== undefined && fellSilentAtStart(run, worker)) {
            return false;
        }
        const unresponsive = (worker?.silentLooks ?? 1) > 0;
        const { estimateMs } = task.step.spec;
        const overdue = estimateMs > 0 && run.startedAtMs !== undefined
            && nowMs - run.startedAtMs > overdueFactor * expectedRunMs(run) + overdueMs;
        return unresponsive || overdue;
    };

    const placeCopies = (step: ShardStep, context: PassContext): void => {
        const { nowMs, view } = context;
        const tasks = step.tasks.filter(task => needsCopy(task, nowMs));
        if (tasks.length === 0 || isAtCap(step)) {
            return;
        }
        const runs: ShardRun[] = [];
        // A copy is late already, so that the fastest worker is the best.
        const chooser = chooserFor(step, context, () => ({ leftMs: 0, limitMs: 0 }));
        for (const task of tasks) {
            const run = placeOne(chooser, task, task.lastRun + 1, new Set(task.runs.map(each => each.workerId)));
            if (run !== undefined) {
                runs.push(run);
            }
        }
        if (runs.length > 0) {
            endTrialWaits(runs);
            log.write("info", "copied", {
                step: stepNameOf(step),
                runs: runs.map(run => `${run.task.index}#${run.run}@${run.workerId}`).join(" "),
            });
            meter.count("copies", runs.length);
            onPlanned(step.occurrence.job, runs);
        }
        if (runs.length < tasks.length) {
            adviceRequester.requestTickets({
                step,
                waiting: tasks.length - runs.length,
                reservations: [],
                view,
                nowMs,
            });
        }
    };

    /** Reserves capacity for tasks that found no worker, so that later steps of this pass do not take it. */
    const reserveCapacity = (
        ranked: RankedStep,
        waiting: number,
        context: PassContext,
    ): readonly Reservation[] => {
        const { step, standing } = ranked;
        const { nowMs, wallMs, view } = context;
        if (policies.room === "none" || standing !== standings.onTime || step.spec.fills) {
            return [];
        }
        context.planned += 1;
        const lastPlan = plans.get(step);
        if (context.planned > maxPlannedSteps) {
            return [];
        }
        if (lastPlan !== undefined && nowMs - lastPlan.madeAtMs < planValidMs) {
            lastPlan.reservations.forEach(view.reserve);
            return lastPlan.reservations;
        }
        const reservations = planReservations({
            step,
            waiting,
            workers,
            view,
            nowMs,
            stopMs: settings.stopMs,
            slackMs: slackMsOf(ranked, wallMs),
            expectedRunMs,
        });
        plans.set(step, { madeAtMs: nowMs, reservations });
        reservations.forEach(view.reserve);
        stopVictims(step, reservations, nowMs);
        return reservations;
    };

    const stopVictims = (step: ShardStep, reservations: readonly Reservation[], nowMs: number): void => {
        const objectiveMs = step.occurrence.timing?.objectiveMs ?? Infinity;
        if (nowMs - step.readyAtMs < preemptAfterMs || settings.stopMs > maxStopShare * objectiveMs) {
            return;
        }
        for (const run of reservations.flatMap(reservation => reservation.victims)) {
            log.write("info", "preempted", {
                task: run.task.name,
                run: run.run,
                workerId: run.workerId,
                for: stepNameOf(step),
            });
            meter.count("preemptions");
            options.onPreempt(run);
        }
    };

    /** Records whether a step with unplaced tasks lacks capacity, which only these policies depend on. */
    const recordShortage = (step: ShardStep, context: PassContext): void => {
        if (context.headroom?.isKeptBack(step) === true) {
            shortage.recordKeptBack(context.nowMs);
        }
        else if (policies.shares !== "none" || policies.headroom !== "none") {
            shortage.recordWait(step, context.nowMs);
        }
    };

    const placeStep = (ranked: RankedStep, context: PassContext): void => {
        const { step } = ranked;
        const { nowMs, view } = context;
        const all = step.tasks.filter(isWaiting);
        if (all.length === 0 || hasEnded(step.occurrence.job)) {
            ready.delete(step);
            plans.delete(step);
            return;
        }
        if (step.spec.longRunning) {
            // Each of these tasks counts as lost after 3 s without a run. Their trials run one after the other, so all waits begin now.
            startTrialWaits(all.filter(task => !awaitsCrashConfirmation(task, nowMs)));
        }
        context.headroom?.visit(ranked);
        const mostStarts = step.spec.gang ? Infinity : options.freeStarts?.() ?? Infinity;
        if (mostStarts <= 0) {
            return;
        }
        const startable = startableTasks(step, all, { workers, nowMs });
        const waiting = context.caps.allowed(step, startable).slice(0, mostStarts);
        if (waiting.length === 0 && startable.length > 0) {
            // The organisation's cap prevents a start: request no advice, reserve nothing and stop no runs.
            step.blockedAtMs = undefined;
            return;
        }
        const runs = step.spec.gang ? placeGang(ranked, waiting, context) : placeTasks(ranked, waiting, context);
        if (runs.length > 0) {
            endTrialWaits(runs);
            log.write("info", "placed", {
                step: stepNameOf(step),
                waitedMs: Math.round(nowMs - step.readyAtMs),
                standing: ranked.standing,
                runs: runs.map(run => `${run.task.index}#${run.run}@${run.workerId}`).join(" "),
                waiting: all.length - runs.length,
            });
            plans.delete(step);
            step.timesOverridden = 0;
            step.nextOverrideAtMs = 0;
            onPlanned(step.occurrence.job, runs);
            if (step.spec.speculative && !step.spec.gang) {
                copyable.add(step);
            }
        }
        const isLast = isPlacedLast(ranked, policies.order);
        const priority = isLast ? context.leastPriority : step.occurrence.job.queue.priority;
        if (step.spec.gang && waiting.length < step.tasks.length) {
            // A gang starts only as a whole, once runs of its other members have ended; its tickets are requested meanwhile.
            step.blockedAtMs = undefined;
            const waitingMembers = step.tasks.length;
            adviceRequester.requestTickets({ step, waiting: waitingMembers, reservations: [], view, nowMs, priority });
            return;
        }
        const unplaced = waiting.length - runs.length;
        recordBlocked(step, unplaced > 0 && isBlocked(step, { workers, nowMs, roomy: view.roomy }), nowMs);
        if (runs.length > 0) {
            step.blockedBeforeMs = 0;
        }
        if (unplaced > 0) {
            recordShortage(step, context);
            // A task on trial needs a worker without other runs, so that a reservation on a shared worker is of no use to it.
            const reservations = step.tasks.some(needsTrial) ? [] : reserveCapacity(ranked, unplaced, context);
            context.caps.reserve(step, reservations.length);
            const request = { step, waiting: unplaced, reservations, view, nowMs, priority };
            if (context.tickets.take(step, unplaced)) {
                adviceRequester.requestTickets(request);
            }
            else {
                meter.count("ticketRequestsPostponed");
            }
            if (!isLast) {
                adviceRequester.reserveRequested(request);
            }
        }
    };

    const requestAdviceAhead = ({ view, nowMs }: PassContext): void => {
        for (const step of upcoming) {
            if (hasEnded(step.occurrence.job) || isReady(step)) {
                upcoming.delete(step);
                continue;
            }
            if (shouldRequestAhead(step) && !isAtCap(step)) {
                upcoming.delete(step);
                adviceRequester.requestAhead(step, view, nowMs);
            }
        }
    };

    const runPass = (): void => {
        const nowMs = clock.monotonicMs();
        const biasOf = runTimes?.remainingFactorOf;
        const order = inSchedulingOrder(ready, { clock, workers, order: policies.order, biasOf });
        const wallMs = clock.nowMs();
        const passHeadroom = headroom.beginPass(nowMs, wallMs);
        const roomy = roomyWorkers(workers.values(), [...ready, ...copyable]);
        const context: PassContext = {
            nowMs,
            wallMs,
            view: createCapacityView(nowMs, { roomy, headroom: passHeadroom }),
            headroom: passHeadroom,
            planned: 0,
            caps: createCapView(nowMs, capWaits),
            tickets: createTicketBudget([...workers.values()], nowMs),
            leastPriority: order.reduce((most, { step }) => Math.max(most, step.occurrence.job.queue.priority), 0),
        };
        for (const ranked of fairShares.arrange(order, nowMs)) {
            placeStep(ranked, context);
        }
        requestAdviceAhead(context);
        for (const step of copyable) {
            if (step.open === 0 || hasEnded(step.occurrence.job)) {
                copyable.delete(step);
                continue;
            }
            placeCopies(step, context);
        }
    };

    return {
        updateJob: job => {
            if (hasEnded(job)) {
                return;
            }
            for (const occurrence of job.occurrences.values()) {
                for (const step of occurrence.steps) {
                    if (
                        step.open > 0 && step.advice.askedWorkerIds.size === 0 && !step.advice.inFlight
                        && !isReady(step)
                    ) {
                        upcoming.add(step);
                    }
                    if (step.open > 0 && !ready.has(step) && isReady(step) && step.tasks.some(isWaiting)) {
                        step.readyAtMs = clock.monotonicMs();
                        ready.add(step);
                        headroom.recordArrival(step);
                    }
                }
            }
        },
        removeJob: job => {
            for (const step of [...ready, ...copyable, ...upcoming]) {
                if (step.occurrence.job === job) {
                    ready.delete(step);
                    plans.delete(step);
                    copyable.delete(step);
                    upcoming.delete(step);
                }
            }
        },
        runPass,
        isQueued: step => ready.has(step),
        plannedStartMs: step => {
            const times = plans.get(step)?.reservations.map(({ freeAtMs }) => freeAtMs) ?? [];
            const latestMs = Math.max(...times);
            return Number.isFinite(latestMs) && latestMs >= clock.monotonicMs() ? latestMs : undefined;
        },
        waitingSteps: () => ready.size,
        activeSteps: () => ready.size + copyable.size + upcoming.size,
    };
};
