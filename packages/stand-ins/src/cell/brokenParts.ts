/** Parts of a node's environment that tests break on purpose, to prove that the checks detect each defect. */

import type { NodePorts, NodeSettings, PeerCallName, PeerCalls } from "puffinarch";

/** Ports and setting overrides of a node after a part was broken. */
export interface BrokenEnvironment {
    readonly ports: NodePorts;
    readonly settings: Partial<NodeSettings>;
}

type BreakFunction = (ports: NodePorts) => BrokenEnvironment;

const replaceTransact = (ports: NodePorts, transact: NodePorts["table"]["transact"]): BrokenEnvironment => ({
    ports: { ...ports, table: { ...ports.table, transact } },
    settings: {},
});

const replaceWorkerCalls = (ports: NodePorts, workers: Partial<NodePorts["workers"]>): BrokenEnvironment => ({
    ports: { ...ports, workers: { ...ports.workers, ...workers } },
    settings: {},
});

/** Applies a change to the answers of one kind of call between daemons. */
const mapPeerAnswers = <K extends PeerCallName>(
    ports: NodePorts,
    name: K,
    change: (answer: PeerCalls[K]["output"]) => PeerCalls[K]["output"],
): BrokenEnvironment => ({
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

/** Multiplies the deputy's promise so that it outlasts any run. */
const promiseFactor = 1_000_000;

const breakFunctions = {
    /** Drops the version conditions on ownership rows of homes, so that a former owner's writes still commit. */
    noFencing: ports =>
        replaceTransact(ports, transaction =>
            ports.table.transact({
                ...transaction,
                conditions: transaction.conditions.filter(each =>
                    !each.key.startsWith("unit/home/") || each.version === "absent"
                ),
            })),
    /** Treats a transaction without a reply as refused, so that its effect is not read back. */
    noReadBack: ports =>
        replaceTransact(ports, async transaction => {
            const result = await ports.table.transact(transaction);
            return result.outcome === "unknown" ? { outcome: "refused" } : result;
        }),
    /** Takes over the units of a dead session at once, while its start orders may still be in flight. */
    noTakeoverWait: ports => ({ ports, settings: { deathGraceMs: 0 } }),
    /** Start orders never expire. */
    startsNeverVoid: ports =>
        replaceWorkerCalls(ports, {
            start: (address, order) => ports.workers.start(address, { ...order, startBeforeMs: Infinity }),
        }),
    /** Treats a start order without an answer as refused. */
    unknownStartIsRefused: ports =>
        replaceWorkerCalls(ports, {
            start: async (address, order) => {
                const outcome = await ports.workers.start(address, order);
                return outcome === "unknown" ? "refused" : outcome;
            },
        }),
    /** Removes the running attempts from the reports of workers. */
    noListing: ports =>
        replaceWorkerCalls(ports, {
            poll: async (address, poll) => ({ ...await ports.workers.poll(address, poll), running: [] }),
        }),
    /** Extends a deputy's promise not to take over far beyond the time that the deputy granted. */
    endlessPromise: ports =>
        mapPeerAnswers(ports, "gossip", answer => ({ ...answer, promiseMs: answer.promiseMs * promiseFactor })),
    /** A new owner of a home receives no attempts from the rack owners, so it does not recover those that run. */
    noRecovery: ports => mapPeerAnswers(ports, "attemptsOfHome", answer => ({ ...answer, attempts: [] })),
} satisfies Readonly<Record<string, BreakFunction>>;

/** Name of a part that can be broken; a value of the option `--broken`. */
export type BrokenPart = keyof typeof breakFunctions;

/** Names of all parts that can be broken. */
export const brokenParts = Object.keys(breakFunctions) as readonly BrokenPart[];

/**
 * Returns the ports and setting overrides of a node with a part broken; `undefined` changes nothing.
 *
 * @example
 * const { ports, settings } = breakPart("noReadBack", healthyPorts);
 */
export const breakPart = (part: BrokenPart | undefined, ports: NodePorts): BrokenEnvironment =>
    part === undefined ? { ports, settings: {} } : breakFunctions[part](ports);
