/** Deliberate defects in a daemon's dependencies, which show that the checks of the exploration detect them. */

import {
    type AdvisorPort,
    type Decoded,
    type FencedWorkerPort,
    noEntry,
    orderOutcomes,
    type Row,
    runEnds,
    type WorkerEntry,
} from "puffinarch";

/** The dependencies of a daemon that a defect can replace. */
export interface MemberDependencies {
    readonly workers: FencedWorkerPort;
    readonly advisor: AdvisorPort;
    readonly readWorker: (row: Row) => Decoded<WorkerEntry>;
}

type Breaker = (dependencies: MemberDependencies) => MemberDependencies;

const breakers = {
    /** Hides the entry of a worker for good once it was removed, although the worker is listed again later. */
    listedOnce: dependencies => {
        const lapsed = new Set<string>();
        return {
            ...dependencies,
            readWorker: row => {
                if (row.value === undefined) {
                    lapsed.add(row.key);
                }
                return lapsed.has(row.key) ? noEntry : dependencies.readWorker(row);
            },
        };
    },
    /** Reports runs that ended in any other way than `done` as still running and leaves their ends out. */
    endsHidden: dependencies => ({
        ...dependencies,
        workers: {
            ...dependencies.workers,
            look: async (target, order) => {
                const answer = await dependencies.workers.look(target, order);
                if (answer.outcome !== "done") {
                    return answer;
                }
                const unfinished = answer.ended.filter(end => end.how !== runEnds.done);
                return {
                    ...answer,
                    ended: answer.ended.filter(end => end.how === runEnds.done),
                    running: [
                        ...answer.running,
                        ...unfinished.map(({ taskName, run }) => ({
                            taskName,
                            run,
                            checkpoint: "",
                            percent: 100,
                            figure: 1,
                        })),
                    ],
                };
            },
        },
    }),
    /** Removes every worker from the advisor's answers, so that no step may run anywhere. */
    nobodyAllowed: dependencies => ({
        ...dependencies,
        advisor: { advise: async request => ({ ...await dependencies.advisor.advise(request), good: [] }) },
    }),
    /** Reports stop orders as carried out without sending them. */
    stopsNotSent: dependencies => ({
        ...dependencies,
        workers: { ...dependencies.workers, stop: async () => Promise.resolve(orderOutcomes.done) },
    }),
} satisfies Readonly<Record<string, Breaker>>;

/** Name of a defect. */
export type BrokenShardPart = keyof typeof breakers;

/** The names of all defects. */
export const brokenShardParts = Object.keys(breakers) as readonly BrokenShardPart[];

/**
 * Returns the dependencies with the given defect applied, or unchanged for undefined.
 *
 * @example
 * const { workers, advisor, readWorker } = breakShardPart("listedOnce", dependencies);
 */
export const breakShardPart = (
    part: BrokenShardPart | undefined,
    dependencies: MemberDependencies,
): MemberDependencies => part === undefined ? dependencies : breakers[part](dependencies);
