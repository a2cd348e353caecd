/** Parts that can be broken on purpose. A check that finds none of them proves nothing. */

import type { NodePorts, NodeSettings, PeerCallName, PeerCalls } from "puffinarch";

/** A node's surroundings with one part broken. */
export interface Broken {
    readonly ports: NodePorts;
    readonly settings: Partial<NodeSettings>;
}

type Breaker = (ports: NodePorts) => Broken;

const withTable = (ports: NodePorts, transact: NodePorts["table"]["transact"]): Broken => ({
    ports: { ...ports, table: { ...ports.table, transact } },
    settings: {},
});

const withWorkers = (ports: NodePorts, workers: Partial<NodePorts["workers"]>): Broken => ({
    ports: { ...ports, workers: { ...ports.workers, ...workers } },
    settings: {},
});

/** Changes the answers of one kind of call between daemons. */
const withAnswers = <K extends PeerCallName>(
    ports: NodePorts,
    name: K,
    change: (answer: PeerCalls[K]["output"]) => PeerCalls[K]["output"],
): Broken => ({
    ports: {
        ...ports,
        peers: {
            call: async (address, called, input) => {
                const answer = await ports.peers.call(address, called, input);
                return called as string === name ? change(answer as never) as never : answer;
            },
        },
    },
    settings: {},
});

const endlessMs = 1_000_000;

const breakers = {
    /** Writes of a home that has another holder go through. */
    noFencing: ports =>
        withTable(ports, transaction =>
            ports.table.transact({
                ...transaction,
                conditions: transaction.conditions.filter(each =>
                    !each.key.startsWith("unit/home/") || each.version === "absent"
                ),
            })),
    /** A lost reply is taken for a refusal, and nothing is read back. */
    noReadBack: ports =>
        withTable(ports, async transaction => {
            const result = await ports.table.transact(transaction);
            return result.outcome === "unknown" ? { outcome: "refused" } : result;
        }),
    /** Units of a dead session are taken while its orders may still be under way. */
    noTakeoverWait: ports => ({ ports, settings: { deathGraceMs: 0 } }),
    /** Start orders never become void. */
    startsNeverVoid: ports =>
        withWorkers(ports, {
            start: (address, order) => ports.workers.start(address, { ...order, startBeforeMs: Infinity }),
        }),
    /** A start without an answer is taken for a refusal. */
    unknownStartIsRefused: ports =>
        withWorkers(ports, {
            start: async (address, order) => {
                const outcome = await ports.workers.start(address, order);
                return outcome === "unknown" ? "refused" : outcome;
            },
        }),
    /** What a worker runs already is not looked at. */
    noListing: ports =>
        withWorkers(ports, {
            poll: async (address, poll) => ({ ...await ports.workers.poll(address, poll), running: [] }),
        }),
    /** An owner believes for ever that its deputy will not take over. */
    endlessPromise: ports =>
        withAnswers(ports, "gossip", answer => ({ ...answer, promiseMs: answer.promiseMs * endlessMs })),
    /** A new holder of a home does not ask what runs of it. */
    noRecovery: ports => withAnswers(ports, "attemptsOfHome", answer => ({ ...answer, attempts: [] })),
} satisfies Readonly<Record<string, Breaker>>;

/** Name of a part that can be broken. */
export type BrokenPart = keyof typeof breakers;

/** All parts that can be broken. */
export const brokenParts = Object.keys(breakers) as readonly BrokenPart[];

/**
 * Breaks a part of a node's surroundings; undefined breaks nothing.
 *
 * @example
 * const { ports, settings } = breakPart("noReadBack", healthyPorts);
 */
export const breakPart = (part: BrokenPart | undefined, ports: NodePorts): Broken =>
    part === undefined ? { ports, settings: {} } : breakers[part](ports);
