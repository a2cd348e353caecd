/**
 * Runs a scenario in which a worker leaves a start order unanswered and carries it out later, with crashes and other faults at
 * set times around it.
 */

import { jobStates } from "puffinarch";
import { jobIdOf, readSteps } from "./jobShapes.js";
import { createShardCell, type ShardCell } from "./shardCell.js";
import { shardFaults } from "./shardFaults.js";
import { findPersistentlyStalledTasks } from "./stalledTasks.js";
import { watchStalledTasks } from "./stalledTaskWatch.js";

/** Faults around one start order; times count from when the order is sent. */
export interface DelayedStartPlan {
    /** Steps of the job, in the notation of `readSteps`; the order is the first start of the job. */
    readonly steps: string;
    /** How long a crashed worker is down. */
    readonly downMs: number;
    /** How long the worker goes on carrying out orders late. */
    readonly lateForMs: number;
    /** When the worker crashes. */
    readonly crashesAtMs: readonly number[];
    /** Faults by their names in `shardFaults`. */
    readonly faults: readonly { readonly name: string; readonly atMs: number; readonly forMs: number; }[];
    /** Whether workers refuse tickets of other incarnations and the daemons are configured for it. */
    readonly checksTickets?: boolean;
    /** Jobs that are submitted after the first one, `apartMs` apart. */
    readonly others?: { readonly count: number; readonly steps: string; readonly apartMs: number; };
}

/** Result of a run of the scenario. */
export interface DelayedStartOutcome {
    /** Violated guarantees, stalled tasks, and whether a job did not end in the expected state. */
    readonly problems: readonly string[];
    /** From when the start was sent until a task of the job first ran; Infinity where none did. */
    readonly firstRunAfterMs: number;
    /** Start orders that got no answer. */
    readonly unanswered: number;
}

/** From the choice of a worker until the start is sent; the owner commits its intent in between. */
const intentCommitMs = 8;
const placementLimitMs = 2_000;
const completionLimitMs = 60_000;
/** Orders that are still on their way when the jobs end are carried out within this time. */
const lateOrdersMs = 4_000;

const awaitPlacement = async (cell: ShardCell): Promise<string> => {
    for (let waitedMs = 0; waitedMs < placementLimitMs; waitedMs += 1) {
        const line = cell.log.find(({ event }) => event === "placed");
        if (line !== undefined) {
            return /@([^ ]+)/.exec(String(line.fields["runs"]))?.[1] ?? "";
        }
        await cell.clock.advance(1);
    }
    return "";
};

/**
 * Runs a plan on a new cell whose random choices come from the seed.
 *
 * @example
 * const { problems } = await playDelayedStart(1, { steps: "2", downMs: 50, lateForMs: 200, crashesAtMs: [2_700], faults: [] });
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
    const watch = watchStalledTasks(cell);
    const jobId = jobIdOf(1);
    await clock.advance(2_000);
    for (const workerId of workers.workerIds()) {
        workers.setFault(workerId, "late");
    }
    cell.submit(jobId, readSteps(plan.steps));
    const lateWorkerId = await awaitPlacement(cell);
    await clock.advance(intentCommitMs);
    const sentAtMs = clock.monotonicMs();
    for (const workerId of workers.workerIds().filter(each => each !== lateWorkerId)) {
        workers.setFault(workerId, "none");
    }
    clock.setTimer(plan.lateForMs, () => workers.setFault(lateWorkerId, "none"));
    for (const atMs of plan.crashesAtMs) {
        clock.setTimer(atMs, () => cell.crashWorkers([lateWorkerId]));
    }
    for (const { name, atMs, forMs } of plan.faults) {
        clock.setTimer(atMs, () => {
            const undo = shardFaults[name]?.(cell);
            clock.setTimer(forMs, () => undo?.());
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
    const expectedStateOf = (steps: string): string =>
        /crashing|failing/.test(steps) ? jobStates.failed : jobStates.completed;
    const hasEnded = async (): Promise<boolean> =>
        [...await cell.statesOf(jobs)].every(([each, state]) =>
            state === expectedStateOf(each === jobId ? plan.steps : plan.others?.steps ?? "")
        );
    const lastAtMs = Math.max(
        plan.lateForMs,
        ...plan.crashesAtMs,
        ...plan.faults.map(({ atMs, forMs }) => atMs + forMs),
    );
    await clock.advance(lastAtMs);
    const ended = await cell.until(hasEnded, completionLimitMs);
    await clock.advance(lateOrdersMs);
    const stalledTasks = await findPersistentlyStalledTasks(cell);
    const first = workers.evidence.find(({ taskName }) => taskName.startsWith(`${jobId}.`));
    return {
        problems: [
            ...ended ? [] : ["a job did not end in the expected state"],
            ...stalledTasks.map(taskName => `${taskName} stands with room for it`),
            ...watch.stalledTasks(),
            ...cell.breaches(),
        ],
        firstRunAfterMs: (first?.startedAtMs ?? Infinity) - sentAtMs,
        unanswered: cell.log.filter(({ event }) => event === "startUnanswered").length,
    };
};
