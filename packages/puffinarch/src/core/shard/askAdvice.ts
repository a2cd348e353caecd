/** Whom to ask the advisor about for a step: at first many workers, then those that may run it and have room. */

import type { AdviceAnswer } from "../../types/cellPorts.js";
import type { Clock, Log, Meter } from "../../types/ports.js";
import { fits } from "../../types/resources.js";
import { createAdviceBreadth } from "./adviceBreadth.js";
import type { AdviceDesk } from "./adviceDesk.js";
import { avoidedByAll, failedLately } from "./avoidance.js";
import { ignoresRests } from "./blockedSteps.js";
import { allowsAnother, countRuns, suits, ticketFor } from "./eligible.js";
import { hasEnded, heldBy, isWaiting, type ShardStep, stepNameOf } from "./jobBook.js";
import type { Reservation, RoomView } from "./roomView.js";
import type { ShardSettings } from "./shardSettings.js";
import { isOpen, roomOf, type ShardWorker } from "./workerTable.js";

/** What asking needs. */
export interface AskAdviceOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    readonly settings: ShardSettings;
    readonly workers: ReadonlyMap<string, ShardWorker>;
    readonly desk: AdviceDesk;
    /** The advisor has answered. */
    readonly onAnswer: () => void;
}

/** A step that waits for tickets, and where its tasks are expected to run. */
export interface AdviceWish {
    readonly step: ShardStep;
    /** Tasks that found no worker with room and a ticket. */
    readonly waiting: number;
    readonly reservations: readonly Reservation[];
    readonly view: RoomView;
    readonly nowMs: number;
}

/** Asks the advisor for steps. */
export interface AdviceAsker {
    /** Asks about workers with room, or about to have some, whose tickets are missing. */
    askFor(wish: AdviceWish): void;
    /** Keeps the room for which tickets are on their way, so that less urgent steps do not ask for the same. */
    keepAsked(wish: AdviceWish): void;
    /** Asks for a step that is not ready yet. */
    askAhead(step: ShardStep, view: RoomView, nowMs: number): void;
}

/** Pause after a failed call to the advisor, and least time between two calls for one step. */
const retryMs = 150;
/** Pause after nobody was worth naming; going through all workers at each pass costs more than the wait. */
const lookMs = 40;
/** A renewal names this many more workers than tasks wait, since some fill up meanwhile. */
const spareNames = 4;
/** A call waits this long for its lane, and its answer takes some milliseconds on the way. */
const queueMs = 250;

/**
 * Makes the asking of a shard.
 *
 * @example
 * const asker = createAdviceAsker({ clock, log, meter, settings, workers, desk, onAnswer: () => placing.pass() });
 * asker.askFor({ step, waiting: 2, reservations: [], view, nowMs });
 */
export const createAdviceAsker = (options: AskAdviceOptions): AdviceAsker => {
    const { clock, log, meter, settings, workers, desk, onAnswer } = options;

    const breadth = createAdviceBreadth(settings);

    const takeAdvice = (step: ShardStep, named: readonly string[], answer: AdviceAnswer): void => {
        const { advice } = step;
        advice.inFlight = false;
        breadth.note(step, named.filter(workerId => !advice.asked.has(workerId)), answer);
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

    const costOf = (step: ShardStep, names: number): number => {
        const terms = step.occurrence.job.queue.advice;
        return terms === undefined ? 0 : terms.decideMs + terms.eachMs * names;
    };

    /** Workers named in the call that is under way, and when it began. */
    const asking = new WeakMap<ShardStep, { readonly named: readonly string[]; readonly sinceMs: number; }>();

    const ask = (step: ShardStep, named: readonly string[]): void => {
        if (step.occurrence.job.queue.advice === undefined || named.length === 0) {
            return;
        }
        step.advice.inFlight = true;
        asking.set(step, { named, sinceMs: clock.monotonicMs() });
        meter.count("adviceCalls");
        meter.count("adviceNames", named.length);
        desk.ask({
            stepName: stepNameOf(step),
            workerIds: named,
            costMs: costOf(step, named.length),
            priority: step.occurrence.job.queue.priority,
            wanted: () => !hasEnded(step.occurrence.job),
            onAnswer: answer => {
                takeAdvice(step, named, answer);
                onAnswer();
            },
            onFailure: () => {
                step.advice.inFlight = false;
                step.advice.notBeforeMs = clock.monotonicMs() + retryMs;
            },
        });
    };

    /** Those that take work now first, then most room first: of accelerators where the step needs some, else of processors. */
    const byRoom = ({ spec }: ShardStep, nowMs: number) => (left: ShardWorker, right: ShardWorker): number =>
        Number(isOpen(right, nowMs)) - Number(isOpen(left, nowMs))
        || (spec.size.accelerators > 0 ? roomOf(right).accelerators - roomOf(left).accelerators : 0)
        || roomOf(right).cpuMillis - roomOf(left).cpuMillis;

    /** Workers where room is about to fall free, unless their tickets outlast a call and the wait for the room. */
    const dueSoon = ({ step, reservations, nowMs }: AdviceWish): readonly string[] => {
        const leadMs = costOf(step, 1) + queueMs;
        const names = new Set<string>();
        for (const { workerId, freeAtMs } of reservations) {
            const validUntilMs = step.advice.good.get(workerId)?.validUntilMs ?? 0;
            if (freeAtMs - nowMs <= leadMs && validUntilMs - leadMs < Math.max(freeAtMs, nowMs)) {
                names.add(workerId);
            }
        }
        return [...names];
    };

    /** Workers worth naming: those never asked about first where nothing is known, else the good ones with room. */
    const namesFor = (wish: AdviceWish): readonly string[] => {
        const { step, waiting, view, nowMs } = wish;
        const { advice, spec } = step;
        const held = heldBy(spec);
        const usable = [...workers.values()].filter(worker => isOpen(worker, nowMs, Infinity) && suits(worker, step));
        // Tasks keep off workers that failed them for the sake of those that nobody has asked about, at rest or not.
        const unasked = usable.filter(worker => !advice.asked.has(worker.workerId));
        const mostNames = breadth.namesFor(step, waiting);
        if (advice.asked.size === 0) {
            return unasked.sort(byRoom(step, nowMs)).slice(0, mostNames).map(worker => worker.workerId);
        }
        const runs = countRuns(step);
        // A call that begins once a wait is over, for kept room, a rest or other workers, would add to the time of standing.
        const leadMs = costOf(step, 1) + queueMs;
        const hasRoom = (worker: ShardWorker): boolean =>
            fits(held, view.roomFor(worker, step, leadMs)) && allowsAnother(spec, runs.get(worker.workerId) ?? 0);
        const passes = step.tasks.some(task => isWaiting(task) && ignoresRests(task, nowMs + leadMs));
        const avoided = avoidedByAll(step, { workers, nowMs: nowMs + leadMs });
        const known = usable.filter(worker =>
            isOpen(worker, nowMs, passes ? Infinity : leadMs) && advice.good.has(worker.workerId) && hasRoom(worker)
            && !avoided.has(worker.workerId)
        ).sort(byRoom(step, nowMs));
        const named = known.slice(0, waiting + spareNames);
        const tasks = step.tasks.filter(isWaiting);
        const failed = (workerId: string): boolean => tasks.some(task => failedLately(task, workerId, nowMs));
        if (named.length < waiting || named.every(worker => failed(worker.workerId))) {
            const others = unasked.filter(hasRoom).sort(byRoom(step, nowMs));
            named.push(...others.slice(0, mostNames - named.length));
        }
        const lacks = ({ workerId }: ShardWorker, atMs: number): boolean =>
            ticketFor(step, workerId, atMs) === undefined;
        const missing = named.filter(worker => lacks(worker, isOpen(worker, nowMs) ? nowMs : nowMs + leadMs));
        // The members of a gang need theirs at once; those that end during a call would be asked for by turns for ever.
        const together = spec.gang && missing.length > 0
            ? named.filter(worker => lacks(worker, nowMs + leadMs))
            : missing;
        return [...new Set([...together.map(worker => worker.workerId), ...dueSoon(wish)])];
    };

    return {
        askFor: wish => {
            const { step, nowMs } = wish;
            const { advice, occurrence } = step;
            if (occurrence.job.queue.advice === undefined || advice.inFlight || advice.notBeforeMs > nowMs) {
                return;
            }
            const names = namesFor(wish);
            if (names.length > 0) {
                ask(step, names);
                return;
            }
            advice.notBeforeMs = nowMs + lookMs;
        },
        keepAsked: ({ step, waiting, view, nowMs }) => {
            const call = asking.get(step);
            if (
                !step.advice.inFlight || call === undefined
                || nowMs - call.sinceMs > costOf(step, call.named.length) + queueMs
            ) {
                return;
            }
            const held = heldBy(step.spec);
            const known = call.named.filter(workerId => step.advice.good.has(workerId));
            for (const workerId of known.slice(0, waiting)) {
                view.keep({ step, workerId, held, freeAtMs: nowMs, victims: [] });
            }
        },
        askAhead: (step, view, nowMs) =>
            ask(step, namesFor({ step, waiting: step.open, reservations: [], view, nowMs })),
    };
};
