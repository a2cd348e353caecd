/**
 * In-memory fake of the platform's row store on a fake clock: conditional transactions, a change feed whose history can be lost,
 * and injected faults.
 */

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
    type StoreLimits,
} from "puffinarch";
import { createLink, type Link } from "./link.js";

/**
 * Faults of the store. `refuse`: every call is refused. `hang`: calls get no answer and have no effect. `loseReply`: transactions
 * are carried out without an answer. `late`: the same, but two seconds later. `lateReply`: transactions are carried out at once, and
 * answered right before their time limit. `slow`: answers take longer, and transactions queue.
 */
export const storeFaults = ["none", "refuse", "hang", "loseReply", "late", "lateReply", "slow"] as const;
/** One of `storeFaults`. */
export type StoreFault = (typeof storeFaults)[number];

/** The fake store with its connections and fault injection. */
export interface FakeRowStore {
    /** Creates the connection of one daemon. */
    connect(memberId: string): RowStore;
    /** Sets the fault for one daemon, which takes precedence, or for all daemons that have none of their own. */
    setFault(fault: StoreFault, memberId?: string): void;
    /**
     * Lets the store reach none of these daemons until the returned function is called. Calls that are under way get no answer.
     * `lateMs` is asked for each transaction: the time after which it takes effect all the same, or undefined where it never does.
     */
    block(memberIds: readonly string[], lateMs?: () => number | undefined): () => void;
    /** Whether no fault is set for any daemon, none is blocked and every table is readable. */
    isFaultFree(): boolean;
    /** Sets whether reads of a table get no answer; reads of other tables are not affected. */
    setUnreadable(table: string, unreadable: boolean): void;
    /** Rejects transactions that put a row of this job from now on, whatever their size; `undefined` rejects none. */
    rejectRowsOf(jobId: string | undefined): void;
    /** Limits a daemon's link to the store, which is unlimited at first. */
    setLink(memberId: string, bytesPerMs: number): void;
    /** A daemon's link; undefined where it is unlimited. */
    link(memberId: string): Link | undefined;
    /** Drops the history of changes, so that feeds from an earlier version get `historyLost`. */
    forgetHistory(): void;
    /** Leaves the feed calls of one daemon, or of all, that wait now without an answer until they time out; later calls work. */
    silenceFeeds(memberId?: string): void;
    /** Writes a row with any text as its value. */
    putText(row: RowKey & { readonly value: string; }): void;
    /** Writes a value as JSON into the part with the empty name, as the platform does. */
    put(table: string, key: string, value: unknown): void;
    /** Removes a row from the part with the empty name. */
    remove(table: string, key: string): void;
    rows(table: string): readonly Row[];
    /** Calls `listener` with each transaction of a daemon that has taken effect, before it is answered; the newest listener only. */
    onCommitted(listener: (transaction: RowTransaction) => void): void;
    /** Number of transactions that were applied or failed with a conflict. */
    transactions(): number;
}

const answerMs = 4;
const slowAnswerMs = 240;
/** With the fault `slow`, transactions run one after another; more are refused once the queue is `longestQueueMs` long. */
const slowTransactionMs = 110;
const longestQueueMs = 1_000;
const hangMs = 1_500;
/** How long after the wait of a feed call its caller gives up. */
const feedSlackMs = 1_000;
const lateMs = 2_000;
/** When an answer comes with the fault `lateReply`, as a share of the call's time limit. */
const lateReplyShare = 0.95;
const pageRows = 500;
/** Default timeout of a read. */
const readTimeoutMs = 1_000;
/** How long a daemon waits for the rest of a page of changes that has begun to arrive. */
const changesTimeoutMs = 20_000;
/** Growth of a value by its base64 encoding on the wire. */
const base64Factor = 4 / 3;
/** Limits of the platform's store: of a row's value in base64, of the entries and bytes of a call, and of the bytes of a page. */
const maxEncodedRowBytes = 65_536;
const maxCallEntries = 100;
const maxCallBytes = 1_000_000;
const maxPageBytes = 1_000_000;
/** Bytes of a call for one entry besides its value: its names and the punctuation of JSON. */
const entryOverheadBytes = 150;

/** The limits as a daemon is told them; a call keeps a part of its bytes for the names of its rows. */
const storeLimits: StoreLimits = {
    rowBytes: maxEncodedRowBytes / base64Factor,
    callEntries: maxCallEntries,
    callBytes: (maxCallBytes - maxCallEntries * entryOverheadBytes) / base64Factor,
};

const encodedBytes = (value: string | undefined): number => Math.ceil(base64Factor * Buffer.byteLength(value ?? ""));

/** Why the store refuses a transaction for its size, whenever it is sent; undefined for one within the limits. */
const sizeRefusal = ({ expect, puts, removes }: RowTransaction): string | undefined => {
    const entries = expect.length + puts.length + removes.length;
    const bytes = puts.reduce((sum, { value }) => sum + encodedBytes(value), entryOverheadBytes * entries);
    const wide = puts.find(({ value }) => encodedBytes(value) > maxEncodedRowBytes);
    if (wide !== undefined) {
        return `400: the row ${wide.table} ${wide.key} has ${encodedBytes(wide.value)} bytes`;
    }
    return entries > maxCallEntries || bytes > maxCallBytes
        ? `400: the call has ${entries} entries and ${bytes} bytes`
        : undefined;
};

/** The longest prefix of these rows that one page can hold; at least one row. */
const pageOf = (rows: readonly Row[], limit: number): readonly Row[] => {
    const page: Row[] = [];
    let bytes = 0;
    for (const row of rows) {
        bytes += encodedBytes(row.value);
        if (page.length >= Math.min(limit, pageRows) || page.length > 0 && bytes > maxPageBytes) {
            break;
        }
        page.push(row);
    }
    return page;
};

/** Daemons that the store does not reach, and when a transaction of theirs takes effect. */
interface Block {
    readonly memberIds: ReadonlySet<string>;
    readonly lateMs: () => number | undefined;
}

const idOf = ({ table, part, key }: { readonly table: string; readonly part: string; readonly key: string; }): string =>
    `${table}|${part}|${key}`;

/**
 * Creates an empty store.
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
    let committed: (transaction: RowTransaction) => void = () => {};
    let freeAtMs = 0;
    const unreadable = new Set<string>();
    const blocks = new Set<Block>();
    let rejectedJobId: string | undefined;
    const links = new Map<string, Link>();
    const waiters = new Set<() => void>();
    /** Callbacks that let each waiting feed call go silent. */
    const silenceCallbacks = new Map<() => void, string>();

    const wait = (delayMs: number): Promise<void> =>
        new Promise(resolve => {
            clock.setTimer(delayMs, resolve);
        });

    const apply = (transaction: RowTransaction): RowTransactResult => {
        const { expect, puts, removes } = transaction;
        transactions += 1;
        const conflicting = expect.filter(each => (rows.get(idOf(each))?.version ?? 0) !== each.version);
        if (conflicting.length > 0) {
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
        committed(transaction);
        return { outcome: "committed", version };
    };

    const blockOf = (memberId: string): Block | undefined =>
        [...blocks].find(({ memberIds }) => memberIds.has(memberId));

    const faultOf = (memberId: string): StoreFault =>
        blockOf(memberId) === undefined ? faults.get(memberId) ?? faults.get("") ?? "none" : "hang";

    const unanswered = async (timeoutMs: number): Promise<RowTransactResult> => {
        await wait(timeoutMs);
        return { outcome: "unknown", reason: "no answer" };
    };

    type Transact = (transaction: RowTransaction, timeoutMs: number, memberId: string) => Promise<RowTransactResult>;
    type Answer = RowTransactResult | Promise<RowTransactResult>;

    /** The answer to a transaction that was carried out; it is lost where its daemon is blocked by now. */
    const deliver = (result: RowTransactResult, timeoutMs: number, memberId: string): Answer =>
        blockOf(memberId) === undefined
            ? result
            : unanswered(timeoutMs);

    const transactHandlers: Readonly<Record<StoreFault, Transact>> = {
        none: async (transaction, timeoutMs, memberId) => {
            await wait(answerMs);
            return deliver(apply(transaction), timeoutMs, memberId);
        },
        slow: async (transaction, timeoutMs, memberId) => {
            const nowMs = clock.monotonicMs();
            const queueDelayMs = Math.max(0, freeAtMs - nowMs);
            if (queueDelayMs > longestQueueMs) {
                await wait(answerMs);
                return { outcome: "refused", reason: "429" };
            }
            freeAtMs = nowMs + queueDelayMs + slowTransactionMs;
            const takesMs = queueDelayMs + slowAnswerMs;
            const result = new Promise<RowTransactResult>(resolve => {
                clock.setTimer(takesMs, () => resolve(deliver(apply(transaction), timeoutMs, memberId)));
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
        hang: (_transaction, timeoutMs) => unanswered(timeoutMs),
        loseReply: async (transaction, timeoutMs) => {
            await wait(answerMs);
            apply(transaction);
            await wait(timeoutMs);
            return { outcome: "unknown", reason: "connection closed" };
        },
        lateReply: async (transaction, timeoutMs, memberId) => {
            await wait(answerMs);
            const result = apply(transaction);
            await wait(lateReplyShare * timeoutMs);
            return deliver(result, timeoutMs, memberId);
        },
        late: async transaction => {
            clock.setTimer(lateMs, () => apply(transaction));
            await wait(answerMs);
            return { outcome: "unknown", reason: "connection closed" };
        },
    };

    const awaitStore = async (memberId: string): Promise<void> => {
        const fault = faultOf(memberId);
        await wait(fault === "slow" ? slowAnswerMs : fault === "hang" ? hangMs : answerMs);
        if (fault === "hang" || fault === "refuse") {
            die("unavailable", "the store does not answer");
        }
    };

    /** Sends a transaction of a blocked daemon, which may take effect later. */
    const transactLate = (
        { lateMs: drawLateMs }: Block,
        transaction: RowTransaction,
        timeoutMs: number,
    ): Promise<RowTransactResult> => {
        const delayMs = drawLateMs();
        if (delayMs !== undefined) {
            clock.setTimer(delayMs, () => apply(transaction));
        }
        return unanswered(timeoutMs);
    };

    const transferPage = async (memberId: string, page: readonly Row[], withinMs: number): Promise<void> => {
        const bytes = page.reduce((sum, row) => sum + (row.value?.length ?? 0), 0);
        const transfer = links.get(memberId)?.send(base64Factor * bytes);
        const transferred = transfer?.done.then(() => true) ?? true;
        if (await Promise.race([transferred, wait(withinMs).then(() => false)])) {
            return;
        }
        transfer?.cancel();
        die("unavailable", "the page did not arrive in time");
    };

    /** Fails a read whose daemon is blocked when the answer would arrive. */
    const loseAnswer = async (): Promise<never> => {
        await wait(hangMs);
        return die("unavailable", "the answer was lost");
    };

    const changesOf = (table: string, after: number): readonly Row[] =>
        history.filter(row => row.table === table && row.version > after);

    return {
        connect: memberId => ({
            limits: storeLimits,
            transact: async (transaction, timeoutMs) => {
                const fault = faultOf(memberId);
                const isRejected = rejectedJobId !== undefined
                    && transaction.puts.some(({ key }) => key.split("/")[1] === rejectedJobId);
                const reason = isRejected ? "400: the row is not allowed" : sizeRefusal(transaction);
                if (reason !== undefined && fault !== "hang") {
                    await wait(answerMs);
                    return { outcome: "rejected", reason };
                }
                const block = blockOf(memberId);
                if (block !== undefined) {
                    return transactLate(block, transaction, timeoutMs);
                }
                return transactHandlers[fault](transaction, timeoutMs, memberId);
            },
            read: async (table, part, fromKey, limit = pageRows, longestMs = readTimeoutMs) => {
                await awaitStore(memberId);
                if (unreadable.has(table)) {
                    await wait(readTimeoutMs);
                    die("unavailable", "the read was not answered");
                }
                const all = [...rows.values()]
                    .filter(row => row.table === table && row.part === part && row.key >= (fromKey ?? ""))
                    .sort((left, right) => left.key < right.key ? -1 : 1);
                const page = pageOf(all, limit);
                const readVersion = version;
                await transferPage(memberId, page, longestMs);
                if (blockOf(memberId) !== undefined) {
                    await loseAnswer();
                }
                return { rows: page, hasMore: all.length > page.length, version: readVersion };
            },
            changes: async (table, after, waitMs): Promise<RowChanges> => {
                await awaitStore(memberId);
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
                            silenceCallbacks.delete(goSilent);
                            resolve();
                        };
                        const goSilent = (): void => {
                            waiters.delete(wake);
                            silenceCallbacks.delete(goSilent);
                            clock.setTimer(
                                waitMs + feedSlackMs,
                                () => reject(errorOf({ kind: "unavailable", message: "the feed went silent" })),
                            );
                            cancel();
                        };
                        const cancel = clock.setTimer(waitMs, end);
                        waiters.add(wake);
                        silenceCallbacks.set(goSilent, memberId);
                    });
                    await awaitStore(memberId);
                }
                if (after < historyStart) {
                    // The history was lost during the wait, so changes from before would be missing.
                    return { kind: "historyLost" };
                }
                const changed = changesOf(table, after);
                const readVersion = version;
                await transferPage(memberId, changed, changesTimeoutMs);
                if (blockOf(memberId) !== undefined) {
                    await loseAnswer();
                }
                return { kind: "changes", rows: changed, version: readVersion };
            },
        }),
        setFault: (fault, memberId = "") => {
            faults.set(memberId, fault);
        },
        block: (memberIds, drawLateMs = () => undefined) => {
            const block: Block = { memberIds: new Set(memberIds), lateMs: drawLateMs };
            blocks.add(block);
            return () => {
                blocks.delete(block);
            };
        },
        isFaultFree: () =>
            unreadable.size === 0 && blocks.size === 0 && rejectedJobId === undefined
            && [...faults.values()].every(fault => fault === "none"),
        setUnreadable: (table, isUnreadable) => {
            if (isUnreadable) {
                unreadable.add(table);
            }
            else {
                unreadable.delete(table);
            }
        },
        rejectRowsOf: jobId => {
            rejectedJobId = jobId;
        },
        setLink: (memberId, bytesPerMs) => {
            links.set(memberId, createLink(clock, bytesPerMs));
        },
        link: memberId => links.get(memberId),
        forgetHistory: () => {
            history = [];
            historyStart = version;
        },
        silenceFeeds: memberId => {
            for (const [goSilent, waitingId] of [...silenceCallbacks]) {
                if (memberId === undefined || memberId === waitingId) {
                    goSilent();
                }
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
        onCommitted: listener => {
            committed = listener;
        },
        transactions: () => transactions,
    };
};
