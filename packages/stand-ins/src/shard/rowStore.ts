/** A stand-in for the platform's store of rows: conditions, a feed whose history can be lost, and faults on a clock. */

import {
    type Clock,
    die,
    errorOf,
    type Row,
    type RowChanges,
    type RowKey,
    type RowStore,
    type RowTransaction,
    type RowTransactResult,
} from "puffinarch";
import { createLink, type Link } from "./link.js";

/** What can be wrong with the store. `late`: a transaction is carried out two seconds after, without an answer. */
export const storeFaults = ["none", "refuse", "hang", "loseReply", "late", "slow"] as const;
/** One of `storeFaults`. */
export type StoreFault = (typeof storeFaults)[number];

/** The stand-in, with one connection for each daemon. */
export interface FakeRowStore {
    /** The store as one daemon reaches it. */
    connect(memberId: string): RowStore;
    /** For one daemon, or for all. */
    setFault(fault: StoreFault, memberId?: string): void;
    /** Whether nothing is wrong with it for anyone. */
    isSound(): boolean;
    /** Whether reads of a table get no answer, all others being answered. */
    setUnreadable(table: string, unreadable: boolean): void;
    /** Bytes that a daemon's link to the store carries in a millisecond; unlimited before. */
    setLink(memberId: string, bytesPerMs: number): void;
    /** A daemon's link; undefined where it carries all at once. */
    link(memberId: string): Link | undefined;
    forgetHistory(): void;
    /** Connections on which a feed waits now go silent for good; later ones work. */
    silenceFeeds(): void;
    /** Writes any text, as another writer may. */
    putText(row: RowKey & { readonly value: string; }): void;
    /** Writes as the platform does. */
    put(table: string, key: string, value: unknown): void;
    remove(table: string, key: string): void;
    rows(table: string): readonly Row[];
    transactions(): number;
}

const answerMs = 4;
const slowAnswerMs = 240;
/** A part carries out one transaction after another, and refuses more once a second of them waits. */
const slowTransactionMs = 110;
const longestQueueMs = 1_000;
const hangMs = 1_500;
/** How long after its longest wait a daemon gives a feed up. */
const feedSlackMs = 1_000;
const lateMs = 2_000;
const pageRows = 500;
/** How long a daemon waits for a read that does not say otherwise, and for the end of changes that have begun to come. */
const readTimeoutMs = 1_000;
const longestChangesMs = 20_000;
/** Values are base64 on the wire. */
const wireFactor = 4 / 3;

const idOf = ({ table, part, key }: { readonly table: string; readonly part: string; readonly key: string; }): string =>
    `${table}|${part}|${key}`;

/**
 * Makes an empty store.
 *
 * @example
 * const store = createFakeRowStore(clock);
 * store.connect("entry-1");
 */
export const createFakeRowStore = (clock: Clock): FakeRowStore => {
    const rows = new Map<string, Row>();
    const faults = new Map<string, StoreFault>();
    let history: Row[] = [];
    let historyStart = 0;
    let version = 0;
    let transactions = 0;
    let freeAtMs = 0;
    const unreadable = new Set<string>();
    const links = new Map<string, Link>();
    const waiters = new Set<() => void>();
    /** Ends the hearing of each feed that waits. */
    const silenced = new Set<() => void>();

    const wait = (delayMs: number): Promise<void> =>
        new Promise(resolve => {
            clock.setTimer(delayMs, resolve);
        });

    const apply = ({ expect, puts, removes }: RowTransaction): RowTransactResult => {
        transactions += 1;
        const wrong = expect.filter(each => (rows.get(idOf(each))?.version ?? 0) !== each.version);
        if (wrong.length > 0) {
            return { outcome: "conflict", rows: expect.flatMap(each => rows.get(idOf(each)) ?? []) };
        }
        version += 1;
        for (const put of puts) {
            const row: Row = { ...put, version };
            rows.set(idOf(put), row);
            history.push(row);
        }
        for (const remove of removes) {
            rows.delete(idOf(remove));
            history.push({ ...remove, value: undefined, version });
        }
        for (const wake of [...waiters]) {
            wake();
        }
        return { outcome: "committed", version };
    };

    const faultOf = (memberId: string): StoreFault => faults.get(memberId) ?? faults.get("") ?? "none";

    type Transact = (transaction: RowTransaction, timeoutMs: number) => Promise<RowTransactResult>;

    const transactHandlers: Readonly<Record<StoreFault, Transact>> = {
        none: async transaction => {
            await wait(answerMs);
            return apply(transaction);
        },
        slow: async (transaction, timeoutMs) => {
            const nowMs = clock.monotonicMs();
            const queuedMs = Math.max(0, freeAtMs - nowMs);
            if (queuedMs > longestQueueMs) {
                await wait(answerMs);
                return { outcome: "refused", reason: "429" };
            }
            freeAtMs = nowMs + queuedMs + slowTransactionMs;
            const takesMs = queuedMs + slowAnswerMs;
            const result = new Promise<RowTransactResult>(resolve => {
                clock.setTimer(takesMs, () => resolve(apply(transaction)));
            });
            if (timeoutMs < takesMs) {
                await wait(timeoutMs);
                return { outcome: "unknown", reason: "no answer in time" };
            }
            return result;
        },
        refuse: async () => {
            await wait(answerMs);
            return { outcome: "refused", reason: "503" };
        },
        hang: async (_transaction, timeoutMs) => {
            await wait(timeoutMs);
            return { outcome: "unknown", reason: "no answer" };
        },
        loseReply: async (transaction, timeoutMs) => {
            await wait(answerMs);
            apply(transaction);
            await wait(timeoutMs);
            return { outcome: "unknown", reason: "connection closed" };
        },
        late: async transaction => {
            clock.setTimer(lateMs, () => apply(transaction));
            await wait(answerMs);
            return { outcome: "unknown", reason: "connection closed" };
        },
    };

    const reachable = async (memberId: string): Promise<void> => {
        const fault = faultOf(memberId);
        await wait(fault === "slow" ? slowAnswerMs : fault === "hang" ? hangMs : answerMs);
        if (fault === "hang" || fault === "refuse") {
            die("unavailable", "the store does not answer");
        }
    };

    const carry = async (memberId: string, page: readonly Row[], withinMs: number): Promise<void> => {
        const bytes = page.reduce((sum, row) => sum + (row.value?.length ?? 0), 0);
        const transfer = links.get(memberId)?.carry(wireFactor * bytes);
        const came = transfer?.done.then(() => true) ?? true;
        if (await Promise.race([came, wait(withinMs).then(() => false)])) {
            return;
        }
        transfer?.cancel();
        die("unavailable", "the page did not come in time");
    };

    const changesOf = (table: string, after: number): readonly Row[] =>
        history.filter(row => row.table === table && row.version > after);

    return {
        connect: memberId => ({
            transact: (transaction, timeoutMs) => transactHandlers[faultOf(memberId)](transaction, timeoutMs),
            read: async (table, part, fromKey, limit = pageRows, longestMs = readTimeoutMs) => {
                await reachable(memberId);
                if (unreadable.has(table)) {
                    await wait(readTimeoutMs);
                    die("unavailable", "the read was not answered");
                }
                const all = [...rows.values()]
                    .filter(row => row.table === table && row.part === part && row.key >= (fromKey ?? ""))
                    .sort((left, right) => left.key < right.key ? -1 : 1);
                const page = all.slice(0, Math.min(limit, pageRows));
                const readVersion = version;
                await carry(memberId, page, longestMs);
                return { rows: page, hasMore: all.length > page.length, version: readVersion };
            },
            changes: async (table, after, waitMs): Promise<RowChanges> => {
                await reachable(memberId);
                if (after < historyStart) {
                    return { kind: "historyLost" };
                }
                if (changesOf(table, after).length === 0) {
                    await new Promise<void>((resolve, reject) => {
                        const wake = (): void => {
                            if (changesOf(table, after).length > 0) {
                                end();
                            }
                        };
                        const end = (): void => {
                            cancel();
                            waiters.delete(wake);
                            silenced.delete(giveUp);
                            resolve();
                        };
                        const giveUp = (): void => {
                            waiters.delete(wake);
                            silenced.delete(giveUp);
                            clock.setTimer(
                                waitMs + feedSlackMs,
                                () => reject(errorOf({ kind: "unavailable", message: "the feed went silent" })),
                            );
                            cancel();
                        };
                        const cancel = clock.setTimer(waitMs, end);
                        waiters.add(wake);
                        silenced.add(giveUp);
                    });
                    await reachable(memberId);
                }
                if (after < historyStart) {
                    // What changed before the history was lost would be missing.
                    return { kind: "historyLost" };
                }
                const changed = changesOf(table, after);
                const readVersion = version;
                await carry(memberId, changed, longestChangesMs);
                return { kind: "changes", rows: changed, version: readVersion };
            },
        }),
        setFault: (fault, memberId = "") => {
            faults.set(memberId, fault);
        },
        isSound: () => unreadable.size === 0 && [...faults.values()].every(fault => fault === "none"),
        setUnreadable: (table, isUnreadable) => {
            if (isUnreadable) {
                unreadable.add(table);
            }
            else {
                unreadable.delete(table);
            }
        },
        setLink: (memberId, bytesPerMs) => {
            links.set(memberId, createLink(clock, bytesPerMs));
        },
        link: memberId => links.get(memberId),
        forgetHistory: () => {
            history = [];
            historyStart = version;
        },
        silenceFeeds: () => {
            for (const giveUp of [...silenced]) {
                giveUp();
            }
        },
        putText: row => {
            apply({ expect: [], puts: [row], removes: [] });
        },
        put: (table, key, value) => {
            apply({ expect: [], puts: [{ table, part: "", key, value: JSON.stringify(value) }], removes: [] });
        },
        remove: (table, key) => {
            apply({ expect: [], puts: [], removes: [{ table, part: "", key }] });
        },
        rows: table => [...rows.values()].filter(row => row.table === table),
        transactions: () => transactions,
    };
};
