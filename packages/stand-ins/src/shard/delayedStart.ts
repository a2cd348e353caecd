/** Plays of one start that a worker leaves unanswered and carries out later, by when what else goes wrong around it is set. */

import { jobStates } from "puffinarch";
import { jobIdOf, readSteps } from "./jobShapes.js";
import { createShardCell, type ShardCell } from "./shardCell.js";
import { shardFaults } from "./shardFaults.js";
import { findStanding } from "./standing.js";
import { watchStanding } from "./standingWatch.js";

/** What happens around a start; times count from when it is sent. */
export interface DelayedStartPlan {
    /** Of the job whose first start it is. */
    readonly steps: string;
    /** How long a worker that crashed is away. */
    readonly downMs: number;
    /** Until when the worker carries orders out late. */
    readonly lateForMs: number;
    /** When the worker crashes. */
    readonly crashesAtMs: readonly number[];
    readonly faults: readonly { readonly name: string; readonly atMs: number; readonly forMs: number; }[];
    /** Whether workers refuse tickets of other incarnations, as the daemons are told. */
    readonly checksTickets?: boolean;
    /** Jobs that are submitted after it. */
    readonly others?: { readonly count: number; readonly steps: string; readonly apartMs: number; };
}

/** What became of it. */
export interface DelayedStartOutcome {
    /** Broken promises, tasks that stood, and a job that did not end as it should. */
    readonly wrong: readonly string[];
    /** How long after the start was sent a task of the job was first at work. */
    readonly firstRunAfterMs: number;
    /** Starts that got no answer. */
    readonly unanswered: number;
}

/** From the choice of a worker to the start: the intent is made durable. */
const intentMs = 8;
const placesWithinMs = 2_000;
const endsWithinMs = 60_000;
/** What is under way when the job has ended has come by then. */
const ordersArriveMs = 4_000;

const untilPlaced = async (cell: ShardCell): Promise<string> => {
    for (let waitedMs = 0; waitedMs < placesWithinMs; waitedMs += 1) {
        const line = cell.log.find(({ event }) => event === "placed");
        if (line !== undefined) {
            return /@([^ ]+)/.exec(String(line.fields["runs"]))?.[1] ?? "";
        }
        await cell.clock.advance(1);
    }
    return "";
};

/**
 * Plays a plan with the draws of a seed.
 *
 * @example
 * const { wrong } = await playDelayedStart(1, { steps: "2", downMs: 50, lateForMs: 200, crashesAtMs: [2_700], faults: [] });
 */
export const playDelayedStart = async (seed: number, plan: DelayedStartPlan): Promise<DelayedStartOutcome> => {
    const { downMs, checksTickets = false } = plan;
    const cell = createShardCell({
        members: 4,
        workers: 4,
        seed,
        keepsIds: true,
        crashedDownMs: downMs,
        checksTickets,
    });
    const { clock, workers } = cell;
    const watch = watchStanding(cell);
    const jobId = jobIdOf(1);
    await clock.advance(2_000);
    for (const workerId of workers.workerIds()) {
        workers.setFault(workerId, "late");
    }
    cell.submit(jobId, readSteps(plan.steps));
    const late = await untilPlaced(cell);
    await clock.advance(intentMs);
    const sentAtMs = clock.monotonicMs();
    for (const workerId of workers.workerIds().filter(each => each !== late)) {
        workers.setFault(workerId, "none");
    }
    clock.setTimer(plan.lateForMs, () => workers.setFault(late, "none"));
    for (const atMs of plan.crashesAtMs) {
        clock.setTimer(atMs, () => cell.crashWorkers([late]));
    }
    for (const { name, atMs, forMs } of plan.faults) {
        clock.setTimer(atMs, () => {
            const mend = shardFaults[name]?.(cell);
            clock.setTimer(forMs, () => mend?.());
        });
    }
    const jobs = [jobId];
    for (let index = 0; index < (plan.others?.count ?? 0); index += 1) {
        const otherId = jobIdOf(2 + index);
        jobs.push(otherId);
        clock.setTimer((1 + index) * (plan.others?.apartMs ?? 0), () => {
            cell.submit(otherId, readSteps(plan.others?.steps ?? ""));
        });
    }
    const wantedOf = (steps: string): string => /crashing|failing/.test(steps) ? jobStates.failed : jobStates.completed;
    const hasEnded = async (): Promise<boolean> =>
        [...await cell.statesOf(jobs)].every(([each, state]) =>
            state === wantedOf(each === jobId ? plan.steps : plan.others?.steps ?? "")
        );
    const lastAtMs = Math.max(
        plan.lateForMs,
        ...plan.crashesAtMs,
        ...plan.faults.map(({ atMs, forMs }) => atMs + forMs),
    );
    await clock.advance(lastAtMs);
    const ended = await cell.until(hasEnded, endsWithinMs);
    await clock.advance(ordersArriveMs);
    const standing = await findStanding(cell);
    const first = workers.evidence.find(({ taskName }) => taskName.startsWith(`${jobId}.`));
    return {
        wrong: [
            ...ended ? [] : ["a job has not ended as it should"],
            ...standing.map(taskName => `${taskName} stands with room for it`),
            ...watch.stood(),
            ...cell.breaches(),
        ],
        firstRunAfterMs: (first?.startedAtMs ?? Infinity) - sentAtMs,
        unanswered: cell.log.filter(({ event }) => event === "startUnanswered").length,
    };
};
