/**
 * Watch over the runs of gangs until all their members have started. The members that have started wait for the others, and hold
 * their capacity idle until their workers end them; a gang that cannot become whole is therefore stopped as a whole.
 */

import type { Clock, Log, Meter } from "../../types/ports.js";
import { runPhases, type ShardRun, type ShardStep, stepNameOf } from "./jobModel.js";

/** Dependencies and settings of the watch. */
export interface GangWatchOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly meter: Meter;
    /** How long a member that has started waits for the others. */
    readonly gangWaitMs: number;
    /** How long a worker may take to stop a run; none where it is left out. */
    readonly stopMs?: number;
    /** How late timers of this process fire now, in ms; never late where it is left out. */
    readonly lagMs?: (() => number) | undefined;
    /** Stops a run; one that is only planned is dropped at once. */
    readonly stop: (run: ShardRun) => void;
}

/** Watches the runs of gangs, each identified by its step and run number. */
export interface GangWatch {
    /** Begins to watch the gang of a run whose start is sent now, or that a former owner may have sent. */
    watch(run: ShardRun): void;
    /** Stops the other members of a run's gang, since the run is lost or cannot start; does nothing for a run in no gang. */
    memberLost(run: ShardRun, reason: string): void;
    /** Stops the gangs that have not become whole in time, or have lost a member. */
    review(): void;
}

/** A run of a gang, and the local time since which it is watched. */
interface WatchedGang {
    readonly step: ShardStep;
    readonly run: number;
    readonly sinceMs: number;
}

/** Largest share of `gangWaitMs` after which all members have to be confirmed; the rest is for the stops to arrive. */
const confirmShare = 0.6;
/**
 * Smallest such share, however late the owner is. It is as long as a start may be unanswered; an owner that stopped its gangs earlier
 * would start and stop them without end.
 */
const minConfirmShare = 0.2;

const keyOf = ({ task: { step }, run }: ShardRun): string => `${stepNameOf(step)}#${run}`;

const membersOf = ({ step, run }: Pick<WatchedGang, "step" | "run">): readonly ShardRun[] =>
    step.tasks.flatMap(({ runs }) => runs).filter(each => each.run === run);

/** Whether each task of the gang that is not done has a run that its worker's present incarnation may carry out. */
const isWhole = ({ step, run }: WatchedGang): boolean =>
    step.tasks.every(task => task.done || task.runs.some(each => each.run === run && !each.absent));

const isConfirmed = (gang: WatchedGang): boolean =>
    membersOf(gang).every(({ startedAtMs }) => startedAtMs !== undefined);

/** Whether members that a former owner started use processors, which they do only once all members are present. */
const wasWhole = (gang: WatchedGang): boolean =>
    membersOf(gang).some(({ sentAtMs, figure }) => sentAtMs === undefined && figure > 0);

/**
 * Creates a watch without gangs.
 *
 * @example
 * const gangs = createGangWatch({ clock, log, meter, gangWaitMs: 3_000, stopMs: 900, stop: run => link.stop(run) });
 * gangs.watch(run);
 * gangs.review();
 */
export const createGangWatch = (
    { clock, log, meter, gangWaitMs, stopMs = 0, lagMs = () => 0, stop }: GangWatchOptions,
): GangWatch => {
    const watched = new Map<string, WatchedGang>();
    let reviewedAtMs = clock.monotonicMs();

    /**
     * Returns how long a gang may be unconfirmed. A stop has to leave this process, which takes as long as its timers are late, and to
     * be carried out before a member ends alone; and one that this review leaves out comes no sooner than the next.
     */
    const confirmLimitMs = (sinceReviewMs: number): number =>
        Math.max(
            minConfirmShare * gangWaitMs,
            Math.min(confirmShare * gangWaitMs, gangWaitMs - stopMs - lagMs() - sinceReviewMs),
        );

    const stopGang = (gang: Pick<WatchedGang, "step" | "run">, reason: string): void => {
        const members = membersOf(gang);
        // Each member that is lost reports it; the others are stopped once.
        const toStop = members.filter(({ phase }) => phase !== runPhases.stopping);
        if (toStop.length === 0) {
            return;
        }
        meter.count(`gangsStopped.${reason}`);
        log.write("warn", "gangStopped", {
            step: stepNameOf(gang.step),
            run: gang.run,
            reason,
            members: members.length,
            confirmed: members.filter(({ startedAtMs }) => startedAtMs !== undefined).length,
        });
        for (const member of toStop) {
            stop(member);
        }
    };

    /** Returns why a gang has to be stopped; undefined where it may go on. */
    const problemOf = (gang: WatchedGang, nowMs: number, limitMs: number): string | undefined => {
        if (!isWhole(gang)) {
            return "memberLost";
        }
        const isLate = nowMs - gang.sinceMs > limitMs;
        return isLate && !isConfirmed(gang) && !wasWhole(gang) ? "unconfirmed" : undefined;
    };

    return {
        watch: run => {
            const { step } = run.task;
            const key = keyOf(run);
            if (step.spec.gang && !watched.has(key)) {
                watched.set(key, { step, run: run.run, sinceMs: clock.monotonicMs() });
            }
        },
        memberLost: (run, reason) => {
            if (run.task.step.spec.gang && !run.task.done) {
                watched.delete(keyOf(run));
                stopGang({ step: run.task.step, run: run.run }, reason);
            }
        },
        review: () => {
            const nowMs = clock.monotonicMs();
            const limitMs = confirmLimitMs(nowMs - reviewedAtMs);
            reviewedAtMs = nowMs;
            for (const [key, gang] of watched) {
                const problem = problemOf(gang, nowMs, limitMs);
                if (problem !== undefined) {
                    watched.delete(key);
                    stopGang(gang, problem);
                    continue;
                }
                // Members that were confirmed at different times may have missed each other until this time is over.
                if (membersOf(gang).length === 0 || nowMs - gang.sinceMs > gangWaitMs) {
                    watched.delete(key);
                }
            }
        },
    };
};
