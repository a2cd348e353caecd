/** Parts of a daemon's surroundings in a cell that can be broken on purpose, to show that the check of standing tasks finds it. */

import {
    type AdvisorPort,
    type Decoded,
    type FencedWorkerPort,
    noEntry,
    type Row,
    runEnds,
    type WorkerEntry,
} from "puffinarch";

/** What a daemon of a cell sees of its surroundings, as far as it can be broken. */
export interface ShardSurroundings {
    readonly workers: FencedWorkerPort;
    readonly advisor: AdvisorPort;
    readonly readWorker: (row: Row) => Decoded<WorkerEntry>;
}

type Breaker = (surroundings: ShardSurroundings) => ShardSurroundings;

const breakers = {
    /** A worker whose entry lapsed once is never seen to be listed again. */
    listedOnce: surroundings => {
        const lapsed = new Set<string>();
        return {
            ...surroundings,
            readWorker: row => {
                if (row.value === undefined) {
                    lapsed.add(row.key);
                }
                return lapsed.has(row.key) ? noEntry : surroundings.readWorker(row);
            },
        };
    },
    /** Runs that ended undone are still listed as running, and their ends are not. */
    endsHidden: surroundings => ({
        ...surroundings,
        workers: {
            ...surroundings.workers,
            look: async (target, order) => {
                const look = await surroundings.workers.look(target, order);
                if (look.outcome !== "done") {
                    return look;
                }
                const undone = look.ended.filter(end => end.how !== runEnds.done);
                return {
                    ...look,
                    ended: look.ended.filter(end => end.how === runEnds.done),
                    running: [
                        ...look.running,
                        ...undone.map(({ taskName, run }) => ({
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
    /** The advisor allows a step on no worker. */
    nobodyAllowed: surroundings => ({
        ...surroundings,
        advisor: { advise: async request => ({ ...await surroundings.advisor.advise(request), good: [] }) },
    }),
} satisfies Readonly<Record<string, Breaker>>;

/** Name of a part that can be broken. */
export type BrokenShardPart = keyof typeof breakers;

/** All parts that can be broken. */
export const brokenShardParts = Object.keys(breakers) as readonly BrokenShardPart[];

/**
 * Breaks a part of a daemon's surroundings; undefined breaks nothing.
 *
 * @example
 * const { workers, advisor, readWorker } = breakShardPart("listedOnce", surroundings);
 */
export const breakShardPart = (
    part: BrokenShardPart | undefined,
    surroundings: ShardSurroundings,
): ShardSurroundings => part === undefined ? surroundings : breakers[part](surroundings);
