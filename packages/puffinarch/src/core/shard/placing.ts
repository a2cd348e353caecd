/** The pass over all steps that have tasks waiting: the most urgent first, each task to a worker with room. */

import { type AskAdviceOptions, createAdviceAsker } from "./askAdvice.js";
import { isTimeToAsk } from "./askAhead.js";
import { isBlocked, noteBlocked } from "./blockedSteps.js";
import { type CapView, type CapWaits, createCapView } from "./capView.js";
import { type Chooser, createChooser, openFor } from "./chooseWorker.js";
import { awaitsVerdict, needsTrial } from "./crashes.js";
import { isAtCap } from "./eligible.js";
import {
    hasEnded,
    isReady,
    isWaiting,
    newRun,
    type ShardJob,
    type ShardRun,
    type ShardStep,
    type ShardTask,
    stepNameOf,
} from "./jobBook.js";
import { planRoom } from "./planRoom.js";
import { createRoomView, type Reservation, type RoomView } from "./roomView.js";
import { fellAtStart, holdForTrial, startable } from "./trials.js";
import { inTurn, type RankedStep, standings } from "./urgency.js";
import { dropRun, holdRoom, type ShardWorker } from "./workerTable.js";

/** What placing needs. */
export interface PlacingOptions extends Omit<AskAdviceOptions, "onAnswer"> {
    /** The job's planned runs are to be made durable, then started. */
    readonly onPlanned: (job: ShardJob, runs: readonly ShardRun[]) => void;
    /** The run is to be stopped with its checkpoint, to make room. */
    readonly onPreempt: (run: ShardRun) => void;
    /** Asks for another pass soon; all that happens until then shares it. */
    readonly wake: () => void;
}

/** Places tasks. */
export interface Placing {
    /** Looks at the steps of a job again. */
    consider(job: ShardJob): void;
    forget(job: ShardJob): void;
    /** One pass over all that waits. */
    pass(): void;
    /** Steps whose turn has come and some of whose tasks wait. */
    waitingSteps(): number;
    /** Those, and the steps of which copies or advice may be wanted. */
    readySteps(): number;
    /** Whether the step is among those that the next pass looks at. */
    holds(step: ShardStep): boolean;
}

/** A run that takes this many times its estimate, and this much more, may be on a slow worker. */
const overdueFactor = 2.5;
const overdueMs = 500;
/** A step that has waited for less than this may find room by itself; tasks end every few milliseconds under load. */
const patienceMs = 120;
/** A plan of room holds for this long: runs end every few milliseconds, and planning at each end costs too much. */
const planMs = 80;
/** Only so many of the most urgent steps that wait have room planned; what is planned for others is far off. */
const maxPlanned = 24;
/** Runs are stopped only for jobs of which a stop takes at most this share of the time that they may take. */
const stopShare = 0.34;

/** One pass over the waiting steps. */
interface Round {
    readonly nowMs: number;
    readonly wallMs: number;
    readonly view: RoomView;
    /** Steps that had room planned so far. */
    planned: number;
    readonly caps: CapView;
}

/** Where a step's waiting tasks are expected to run. */
interface RoomPlan {
    readonly madeAtMs: number;
    readonly reservations: readonly Reservation[];
}

/**
 * Makes the placing of a shard.
 *
 * @example
 * const placing = createPlacing({ clock, log, meter, settings, workers, desk, onPlanned, onPreempt, wake });
 * placing.consider(job);
 * placing.pass();
 */
export const createPlacing = (options: PlacingOptions): Placing => {
    const { clock, log, meter, settings, workers, desk, onPlanned } = options;
    const ready = new Set<ShardStep>();
    /** Steps that wait for others and about which nobody has asked yet. */
    const upcoming = new Set<ShardStep>();
    /** Steps that began and whose tasks may run twice at once. */
    const copyable = new Set<ShardStep>();

    const plan = (task: ShardTask, worker: ShardWorker, number: number): ShardRun | undefined => {
        const run = newRun(task, worker.workerId, number, {
            address: worker.entry.address,
            bornAtMs: worker.bornAtMs,
        });
        if (!holdRoom(worker, run)) {
            return undefined;
        }
        if (needsTrial(task)) {
            worker.trial = run;
        }
        task.lastRun = number;
        task.runs.push(run);
        return run;
    };

    const asker = createAdviceAsker({ clock, log, meter, settings, workers, desk, onAnswer: options.wake });
    const plans = new Map<ShardStep, RoomPlan>();
    const gangsSinceMs: CapWaits = new WeakMap();

    /** The waits of tasks that have places for sure; members of a gang are planned before that is known. */
    const endTrialWaits = (runs: readonly ShardRun[]): void => {
        for (const { task } of runs) {
            task.trialWantedAtMs = undefined;
        }
    };

    const chooserFor = (step: ShardStep, { nowMs, view }: Round): Chooser =>
        createChooser(step, workers, { nowMs, view, packing: settings.policies.packing });

    /** From now on a task on trial waits for a worker of its own; the members of a gang do so at the same time. */
    const wantTrials = (tasks: readonly ShardTask[]): void => {
        for (const task of tasks.filter(needsTrial)) {
            task.trialWantedAtMs ??= clock.monotonicMs();
        }
    };

    /** Plans a run of the task on the best worker; undefined where there is no room. */
    const placeOne = (
        chooser: Chooser,
        task: ShardTask,
        number: number,
        except?: ReadonlySet<string>,
    ): ShardRun | undefined => {
        wantTrials([task]);
        const worker = chooser.choose(task, except);
        const run = worker === undefined ? undefined : plan(task, worker, number);
        if (worker !== undefined && run !== undefined) {
            chooser.took(worker);
        }
        return run;
    };

    const noteTaken = ({ workerId, task }: ShardRun, view: RoomView): void => {
        const worker = workers.get(workerId);
        if (worker !== undefined) {
            view.tookRoom(worker, task.step);
        }
    };

    const placeTasks = (step: ShardStep, waiting: readonly ShardTask[], round: Round): readonly ShardRun[] => {
        const runs: ShardRun[] = [];
        const chooser = chooserFor(step, round);
        // Tasks that have not failed are alike; one that failed may keep off workers that take the others.
        let full = false;
        for (const task of waiting) {
            const isPlain = task.failedOn.size === 0 && !needsTrial(task);
            const run = isPlain && full ? undefined : placeOne(chooser, task, task.lastRun + 1);
            if (run !== undefined) {
                runs.push(run);
                noteTaken(run, round.view);
            }
            else if (needsTrial(task)) {
                holdForTrial(task, openFor(step, workers, round.nowMs), { workers, nowMs: round.nowMs });
            }
            else if (isPlain) {
                full = true;
            }
        }
        return runs;
    };

    /** All members at once under one run number, or none. */
    const placeGang = (step: ShardStep, waiting: readonly ShardTask[], round: Round): readonly ShardRun[] => {
        if (waiting.length < step.tasks.length) {
            return [];
        }
        const number = 1 + Math.max(...step.tasks.map(task => task.lastRun));
        const runs: ShardRun[] = [];
        const chooser = chooserFor(step, round);
        wantTrials(waiting);
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
            noteTaken(run, round.view);
        }
        return runs;
    };

    /** Whether a copy is worth its room: its only run is on a worker that does not answer, or takes far too long. */
    const wantsCopy = (task: ShardTask, nowMs: number): boolean => {
        const [run] = task.runs;
        if (task.done || run === undefined || task.runs.length > 1 || task.crashes > 0) {
            return false;
        }
        const worker = workers.get(run.workerId);
        if (worker !== undefined && fellAtStart(run, worker)) {
            return false;
        }
        const silent = (worker?.silentLooks ?? 1) > 0;
        const { estimateMs } = task.step.spec;
        const overdue = estimateMs > 0 && run.startedAtMs !== undefined
            && nowMs - run.startedAtMs > overdueFactor * estimateMs + overdueMs;
        return silent || overdue;
    };

    const placeCopies = (step: ShardStep, round: Round): void => {
        const { nowMs, view } = round;
        const tasks = step.tasks.filter(task => wantsCopy(task, nowMs));
        if (tasks.length === 0 || isAtCap(step)) {
            return;
        }
        const runs: ShardRun[] = [];
        const chooser = chooserFor(step, round);
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
            asker.askFor({ step, waiting: tasks.length - runs.length, reservations: [], view, nowMs });
        }
    };

    /** Keeps room for tasks that found none, from all steps that follow in this pass. */
    const keepRoom = (
        { step, standing, dueAtMs }: RankedStep,
        waiting: number,
        round: Round,
    ): readonly Reservation[] => {
        const { nowMs, wallMs, view } = round;
        if (settings.policies.room === "none" || standing !== standings.onTime || step.spec.fills) {
            return [];
        }
        round.planned += 1;
        const known = plans.get(step);
        if (round.planned > maxPlanned) {
            return [];
        }
        if (known !== undefined && nowMs - known.madeAtMs < planMs) {
            known.reservations.forEach(view.keep);
            return known.reservations;
        }
        const tailMs = step.occurrence.course?.tailsMs[step.number] ?? 0;
        // A step that lasts, or has no objective, earns from its start on.
        const slackMs = Number.isFinite(dueAtMs) ? dueAtMs - wallMs - tailMs : 0;
        const reservations = planRoom({ step, waiting, workers, view, nowMs, stopMs: settings.stopMs, slackMs });
        plans.set(step, { madeAtMs: nowMs, reservations });
        reservations.forEach(view.keep);
        stopVictims(step, reservations, nowMs);
        return reservations;
    };

    const stopVictims = (step: ShardStep, reservations: readonly Reservation[], nowMs: number): void => {
        const objectiveMs = step.occurrence.course?.objectiveMs ?? Infinity;
        if (nowMs - step.readyAtMs < patienceMs || settings.stopMs > stopShare * objectiveMs) {
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

    const placeStep = (ranked: RankedStep, round: Round): void => {
        const { step } = ranked;
        const { nowMs, view } = round;
        const all = step.tasks.filter(isWaiting);
        if (all.length === 0 || hasEnded(step.occurrence.job)) {
            ready.delete(step);
            plans.delete(step);
            return;
        }
        if (step.spec.longRunning) {
            // Each of its tasks counts as lost once it has stood for 3 s, and they are tried one after the other.
            wantTrials(all.filter(task => !awaitsVerdict(task, nowMs)));
        }
        const able = startable(step, all, { workers, nowMs });
        const waiting = round.caps.allowed(step, able);
        if (waiting.length === 0 && able.length > 0) {
            // No advice, no kept room and no stops for what cannot start.
            step.blockedAtMs = undefined;
            return;
        }
        const runs = step.spec.gang ? placeGang(step, waiting, round) : placeTasks(step, waiting, round);
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
            step.timesPassed = 0;
            step.passableAtMs = 0;
            onPlanned(step.occurrence.job, runs);
            if (step.spec.speculative && !step.spec.gang) {
                copyable.add(step);
            }
        }
        if (step.spec.gang && waiting.length < step.tasks.length) {
            // It cannot begin before the other members have ended; only its tickets may be there by then.
            step.blockedAtMs = undefined;
            asker.askFor({ step, waiting: step.tasks.length, reservations: [], view, nowMs });
            return;
        }
        const left = waiting.length - runs.length;
        noteBlocked(step, left > 0 && isBlocked(step, { workers, nowMs }), nowMs);
        if (runs.length > 0) {
            step.blockedBeforeMs = 0;
        }
        if (left > 0) {
            // Room that is kept beside others is of no use to a task that is to run by itself.
            const reservations = step.tasks.some(needsTrial) ? [] : keepRoom(ranked, left, round);
            round.caps.keep(step, reservations.length);
            const wish = { step, waiting: left, reservations, view, nowMs };
            asker.askFor(wish);
            asker.keepAsked(wish);
        }
    };

    const askAhead = ({ view, nowMs }: Round): void => {
        for (const step of upcoming) {
            if (hasEnded(step.occurrence.job) || isReady(step)) {
                upcoming.delete(step);
                continue;
            }
            if (isTimeToAsk(step) && !isAtCap(step)) {
                upcoming.delete(step);
                asker.askAhead(step, view, nowMs);
            }
        }
    };

    const pass = (): void => {
        const nowMs = clock.monotonicMs();
        const round: Round = {
            nowMs,
            wallMs: clock.nowMs(),
            view: createRoomView(nowMs),
            planned: 0,
            caps: createCapView(nowMs, gangsSinceMs),
        };
        for (const ranked of inTurn(ready, { clock, workers, order: settings.policies.order })) {
            placeStep(ranked, round);
        }
        askAhead(round);
        for (const step of copyable) {
            if (step.open === 0 || hasEnded(step.occurrence.job)) {
                copyable.delete(step);
                continue;
            }
            placeCopies(step, round);
        }
    };

    return {
        consider: job => {
            if (hasEnded(job)) {
                return;
            }
            for (const occurrence of job.occurrences.values()) {
                for (const step of occurrence.steps) {
                    if (step.open > 0 && step.advice.asked.size === 0 && !step.advice.inFlight && !isReady(step)) {
                        upcoming.add(step);
                    }
                    if (step.open > 0 && !ready.has(step) && isReady(step) && step.tasks.some(isWaiting)) {
                        step.readyAtMs = clock.monotonicMs();
                        ready.add(step);
                    }
                }
            }
        },
        forget: job => {
            for (const step of [...ready, ...copyable, ...upcoming]) {
                if (step.occurrence.job === job) {
                    ready.delete(step);
                    plans.delete(step);
                    copyable.delete(step);
                    upcoming.delete(step);
                }
            }
        },
        pass,
        holds: step => ready.has(step),
        waitingSteps: () => ready.size,
        readySteps: () => ready.size + copyable.size + upcoming.size,
    };
};
