/** The pass over all steps that have tasks waiting: the most urgent first, each task to a worker with room. */

import type { AdviceAnswer } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import { fits } from "../../types/resources.js";
import type { AdviceDesk } from "./adviceDesk.js";
import { isTimeToAsk } from "./askAhead.js";
import { type Chooser, countRuns, createChooser, suits, ticketFor } from "./chooseWorker.js";
import {
    hasEnded,
    heldBy,
    isReady,
    isWaiting,
    newRun,
    type ShardJob,
    type ShardRun,
    type ShardStep,
    type ShardTask,
} from "./jobBook.js";
import { victimsOf } from "./preempt.js";
import type { ShardSettings } from "./shardSettings.js";
import { dropRun, holdRoom, isOpen, roomOf, type ShardWorker } from "./workerTable.js";

/** What placing needs. */
export interface PlacingOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly settings: ShardSettings;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly desk: AdviceDesk;
    /** The job's planned runs are to be made durable, then started. */
    readonly onPlanned: (job: ShardJob, runs: readonly ShardRun[]) => void;
    /** The run is to be stopped with its checkpoint, to make room. */
    readonly onPreempt: (run: ShardRun) => void;
}

/** Places tasks. */
export interface Placing {
    /** Looks at the steps of a job again. */
    consider(job: ShardJob): void;
    forget(job: ShardJob): void;
    /** One pass over all that waits. */
    pass(): void;
    readySteps(): number;
}

/** Pause after a failed call to the advisor, and least time between two calls for one step. */
const adviceRetryMs = 150;
/** Pause after nobody was worth naming; going through all workers at each pass costs more than the wait. */
const adviceLookMs = 40;
/** A run that takes this many times its estimate, and this much more, may be on a slow worker. */
const overdueFactor = 2.5;
const overdueMs = 500;
/** A renewal names this many more workers than tasks wait, since some fill up meanwhile. */
const spareNames = 4;

const byUrgency = (left: ShardStep, right: ShardStep): number => {
    const [a, b] = [left.occurrence.job, right.occurrence.job];
    return a.queue.priority - b.queue.priority || a.order - b.order || left.number - right.number;
};

/**
 * Makes the placing of a shard.
 *
 * @example
 * const placing = createPlacing({ clock, log, meter, settings, workers, desk, onPlanned });
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
        const run = newRun(task, worker.workerId, number);
        if (!holdRoom(worker, run)) {
            return undefined;
        }
        task.lastRun = number;
        task.runs.push(run);
        return run;
    };

    const takeAdvice = (step: ShardStep, named: readonly string[], answer: AdviceAnswer): void => {
        const { advice } = step;
        advice.inFlight = false;
        for (const workerId of named) {
            advice.asked.add(workerId);
        }
        const validUntilMs = clock.monotonicMs() + answer.validMs;
        for (const { workerId, ticket } of answer.good) {
            advice.good.set(workerId, { ticket, validUntilMs });
        }
        log.write("info", "advice", {
            step: stepNameOf(step),
            named: named.length,
            good: answer.good.length,
            validMs: answer.validMs,
        });
    };

    const stepNameOf = ({ occurrence, number }: ShardStep): string =>
        `${occurrence.job.submission.jobId}.${occurrence.number}.${number}`;

    const ask = (step: ShardStep, named: readonly string[]): void => {
        const terms = step.occurrence.job.queue.advice;
        if (terms === undefined || named.length === 0) {
            return;
        }
        step.advice.inFlight = true;
        meter.count("adviceCalls");
        meter.count("adviceNames", named.length);
        desk.ask({
            stepName: stepNameOf(step),
            workerIds: named,
            costMs: terms.decideMs + terms.eachMs * named.length,
            priority: step.occurrence.job.queue.priority,
            wanted: () => !hasEnded(step.occurrence.job),
            onAnswer: answer => {
                takeAdvice(step, named, answer);
                pass();
            },
            onFailure: () => {
                step.advice.inFlight = false;
                step.advice.notBeforeMs = clock.monotonicMs() + adviceRetryMs;
            },
        });
    };

    /** Workers worth naming: those never asked about first where nothing is known, else the good ones with room. */
    const namesFor = (step: ShardStep, waiting: number, nowMs: number): readonly string[] => {
        const { advice, spec } = step;
        const held = heldBy(spec);
        const usable = [...workers.values()].filter(worker => isOpen(worker, nowMs) && suits(worker, step));
        const byRoom = (left: ShardWorker, right: ShardWorker): number =>
            roomOf(right).cpuMillis - roomOf(left).cpuMillis;
        const runs = countRuns(step);
        const hasRoom = (worker: ShardWorker): boolean =>
            fits(held, roomOf(worker))
            && (spec.maxPerWorker === 0 || (runs.get(worker.workerId) ?? 0) < spec.maxPerWorker);
        const unasked = usable.filter(worker => !advice.asked.has(worker.workerId));
        if (advice.asked.size === 0) {
            return unasked.sort(byRoom).slice(0, settings.maxAdviceWorkers).map(worker => worker.workerId);
        }
        const known = usable.filter(worker => advice.good.has(worker.workerId) && hasRoom(worker)).sort(byRoom);
        const named = known.slice(0, waiting + spareNames);
        const failed = new Set(step.tasks.filter(isWaiting).flatMap(task => [...task.failedOn]));
        if (named.length < waiting || named.every(worker => failed.has(worker.workerId))) {
            named.push(...unasked.filter(hasRoom).sort(byRoom).slice(0, settings.maxAdviceWorkers - named.length));
        }
        return named.map(worker => worker.workerId);
    };

    const askIfNeeded = (step: ShardStep, waiting: number, nowMs: number): void => {
        const { advice, occurrence } = step;
        if (occurrence.job.queue.advice === undefined || advice.inFlight || advice.notBeforeMs > nowMs) {
            return;
        }
        const names = namesFor(step, waiting, nowMs);
        const useful = names.filter(workerId => ticketFor(step, workerId, nowMs) === undefined);
        if (useful.length > 0) {
            ask(step, useful);
            return;
        }
        advice.notBeforeMs = nowMs + adviceLookMs;
    };

    /** Plans a run of the task on the best worker; undefined where there is no room. */
    const placeOne = (
        chooser: Chooser,
        task: ShardTask,
        number: number,
        except?: ReadonlySet<string>,
    ): ShardRun | undefined => {
        const worker = chooser.choose(task, except);
        const run = worker === undefined ? undefined : plan(task, worker, number);
        if (worker !== undefined && run !== undefined) {
            chooser.took(worker);
        }
        return run;
    };

    const placeTasks = (step: ShardStep, waiting: readonly ShardTask[], nowMs: number): readonly ShardRun[] => {
        const runs: ShardRun[] = [];
        const chooser = createChooser(step, workers.values(), { nowMs });
        for (const task of waiting) {
            const run = placeOne(chooser, task, task.lastRun + 1);
            if (run === undefined) {
                break;
            }
            runs.push(run);
        }
        return runs;
    };

    /** All members at once under one run number, or none. */
    const placeGang = (step: ShardStep, waiting: readonly ShardTask[], nowMs: number): readonly ShardRun[] => {
        if (waiting.length < step.tasks.length) {
            return [];
        }
        const number = 1 + Math.max(...step.tasks.map(task => task.lastRun));
        const runs: ShardRun[] = [];
        const chooser = createChooser(step, workers.values(), { nowMs });
        for (const task of waiting) {
            const run = placeOne(chooser, task, number);
            if (run === undefined) {
                for (const planned of runs) {
                    const holder = workers.get(planned.workerId);
                    if (holder !== undefined) {
                        dropRun(holder, planned);
                    }
                    planned.task.lastRun = number - 1;
                }
                return [];
            }
            runs.push(run);
        }
        return runs;
    };

    /** Whether a copy is worth its room: its only run is on a worker that does not answer, or takes far too long. */
    const wantsCopy = (task: ShardTask, nowMs: number): boolean => {
        const [run] = task.runs;
        if (task.done || run === undefined || task.runs.length > 1) {
            return false;
        }
        const silent = (workers.get(run.workerId)?.silentLooks ?? 1) > 0;
        const { estimateMs } = task.step.spec;
        const overdue = estimateMs > 0 && run.startedAtMs !== undefined
            && nowMs - run.startedAtMs > overdueFactor * estimateMs + overdueMs;
        return silent || overdue;
    };

    const placeCopies = (step: ShardStep, nowMs: number): void => {
        const tasks = step.tasks.filter(task => wantsCopy(task, nowMs));
        if (tasks.length === 0) {
            return;
        }
        const runs: ShardRun[] = [];
        const chooser = createChooser(step, workers.values(), { nowMs });
        for (const task of tasks) {
            const run = placeOne(chooser, task, task.lastRun + 1, new Set(task.runs.map(each => each.workerId)));
            if (run !== undefined) {
                runs.push(run);
            }
        }
        if (runs.length > 0) {
            log.write("info", "copied", {
                step: stepNameOf(step),
                runs: runs.map(run => `${run.task.index}#${run.run}@${run.workerId}`).join(" "),
            });
            meter.count("copies", runs.length);
            onPlanned(step.occurrence.job, runs);
        }
        if (runs.length < tasks.length) {
            askIfNeeded(step, tasks.length - runs.length, nowMs);
        }
    };

    const placeStep = (step: ShardStep, nowMs: number): void => {
        const waiting = step.tasks.filter(isWaiting);
        if (waiting.length === 0 || hasEnded(step.occurrence.job)) {
            ready.delete(step);
            return;
        }
        const runs = step.spec.gang ? placeGang(step, waiting, nowMs) : placeTasks(step, waiting, nowMs);
        if (runs.length > 0) {
            log.write("info", "placed", {
                step: stepNameOf(step),
                waitedMs: Math.round(nowMs - step.readyAtMs),
                runs: runs.map(run => `${run.task.index}#${run.run}@${run.workerId}`).join(" "),
                waiting: waiting.length - runs.length,
            });
            onPlanned(step.occurrence.job, runs);
            if (step.spec.speculative && !step.spec.gang) {
                copyable.add(step);
            }
        }
        if (runs.length < waiting.length) {
            askIfNeeded(step, waiting.length - runs.length, nowMs);
            makeRoom(step, waiting.length - runs.length, nowMs);
        }
    };

    const makeRoom = (step: ShardStep, waiting: number, nowMs: number): void => {
        for (const run of victimsOf({ step, waiting, workers, nowMs, stopMs: settings.stopMs })) {
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

    const askAhead = (nowMs: number): void => {
        for (const step of upcoming) {
            if (hasEnded(step.occurrence.job) || isReady(step)) {
                upcoming.delete(step);
                continue;
            }
            if (isTimeToAsk(step)) {
                upcoming.delete(step);
                ask(step, namesFor(step, step.open, nowMs));
            }
        }
    };

    const pass = (): void => {
        const nowMs = clock.monotonicMs();
        for (const step of [...ready].sort(byUrgency)) {
            placeStep(step, nowMs);
        }
        askAhead(nowMs);
        for (const step of copyable) {
            if (step.open === 0 || hasEnded(step.occurrence.job)) {
                copyable.delete(step);
                continue;
            }
            placeCopies(step, nowMs);
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
                    copyable.delete(step);
                    upcoming.delete(step);
                }
            }
        },
        pass,
        readySteps: () => ready.size + copyable.size + upcoming.size,
    };
};
