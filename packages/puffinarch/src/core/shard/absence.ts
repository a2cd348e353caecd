/**
 * Decides when a run that looks do not list is gone, so that its task may run elsewhere. A look shows what its worker lists at one moment.
 * A run that it lacks may be about to begin, since the worker has checked the token of its start before that of the look, or it may be
 * ending, since a stop takes time. Neither is proof that the run is over.
 */

import { runPhases, type ShardRun } from "./jobModel.js";

/** What an owner knows of a run that looks do not list. */
export const runKnowledge = {
    /** Its worker has listed it or answered its start. */
    begun: "begun",
    /** A former owner may have ordered its start. */
    inherited: "inherited",
    /** The same for a run of a kind that owners stop and start again; the former one may have ordered its stop as well. */
    inheritedStoppable: "inheritedStoppable",
    /** Its start got no answer from its worker. */
    ordered: "ordered",
} as const;
/** One of `runKnowledge`. */
export type RunKnowledge = (typeof runKnowledge)[keyof typeof runKnowledge];

/** Times that workers may take, in ms. */
export interface AbsenceTimes {
    /** Most for a stop, until the end of the run is listed. */
    readonly stopMs: number;
}

/** Most time between the check of a start's token and the moment from which looks list the run. */
const beginsWithinMs = 150;

/**
 * Returns what is known of a run.
 *
 * @example
 * knowledgeOf({ ...run, wasListed: false, startedAtMs: undefined, sentAtMs: 4_000 }); // "ordered"
 */
export const knowledgeOf = ({ wasListed, startedAtMs, sentAtMs, task }: ShardRun): RunKnowledge => {
    if (wasListed || startedAtMs !== undefined) {
        return runKnowledge.begun;
    }
    if (sentAtMs !== undefined) {
        return runKnowledge.ordered;
    }
    const { longRunning, checkpointing, gang } = task.step.spec;
    return longRunning || checkpointing || gang ? runKnowledge.inheritedStoppable : runKnowledge.inherited;
};

/** How long after it is found missing a run may still be listed or, after a stop, its end. */
const unlistedMs: Readonly<Record<RunKnowledge, (times: AbsenceTimes) => number>> = {
    begun: ({ stopMs }) => stopMs,
    inherited: () => beginsWithinMs,
    inheritedStoppable: ({ stopMs }) => Math.max(stopMs, beginsWithinMs),
    ordered: () => beginsWithinMs,
};

/**
 * Returns the local time by which a run that is missing from a look at `nowMs` is listed if it has begun, or its end if it has been
 * stopped.
 *
 * @example
 * run.absenceProvenAfterMs = listedByMs(run, clock.monotonicMs(), { stopMs: 900 });
 */
export const listedByMs = (run: ShardRun, nowMs: number, times: AbsenceTimes): number =>
    nowMs + unlistedMs[knowledgeOf(run)](times);

/**
 * The same for a run of which its worker answers a stop at `nowMs`. The run may have begun right before the stop, also where its start got no
 * answer. A run that the worker was only told to refuse has been missing for long enough.
 *
 * @example
 * run.absenceProvenAfterMs = endedByMs(run, clock.monotonicMs(), { stopMs: 900 });
 */
export const endedByMs = (run: ShardRun, nowMs: number, times: AbsenceTimes): number =>
    run.refused && knowledgeOf(run) !== runKnowledge.begun
        ? nowMs
        : Math.max(nowMs + times.stopMs, listedByMs(run, nowMs, times));

/** How many times as long as a stop may take a run is missing in all looks before it counts as ended although its stops get no answer. */
const unansweredStopFactor = 2;

/**
 * The same for a run that has begun, is missing at `nowMs` and is told to stop, where the worker answers looks and no orders.
 *
 * @example
 * run.absenceProvenAfterMs = goneByMs(clock.monotonicMs(), { stopMs: 900 });
 */
export const goneByMs = (nowMs: number, { stopMs }: AbsenceTimes): number => nowMs + unansweredStopFactor * stopMs;

/** What is done about a run that a look does not list. */
export const absenceSteps = {
    /** Another look, once the run would be listed if it had begun. */
    wait: "wait",
    /** The worker is told to refuse its start. */
    refuse: "refuse",
    /** The worker is told to stop it. */
    stop: "stop",
    /** It keeps its task without room, since a later incarnation of the worker may still carry its start out. */
    setAside: "setAside",
    /** It is over. */
    drop: "drop",
} as const;
/** One of `absenceSteps`. */
export type AbsenceStep = (typeof absenceSteps)[keyof typeof absenceSteps];

/** Returns the next step for the incarnation that answered the look. */
const nextStepHere = (run: ShardRun): AbsenceStep => {
    if (run.phase === runPhases.stopping || run.absent) {
        return absenceSteps.drop;
    }
    if (knowledgeOf(run) === runKnowledge.begun) {
        return absenceSteps.stop;
    }
    if (run.missingSinceMs === undefined) {
        return absenceSteps.wait;
    }
    return run.refused ? absenceSteps.drop : absenceSteps.refuse;
};

/**
 * Returns the next step about a run that is missing from a look which was sent after its `absenceProvenAfterMs`; `mayArriveLater` is whether
 * another incarnation of the worker may still carry its start out.
 *
 * @example
 * nextAbsenceStep({ ...run, wasListed: true, phase: "running" }, false); // "stop"
 */
export const nextAbsenceStep = (run: ShardRun, mayArriveLater: boolean): AbsenceStep => {
    const step = nextStepHere(run);
    return mayArriveLater && step !== absenceSteps.wait ? absenceSteps.setAside : step;
};
