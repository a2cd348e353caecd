/**
 * The ledger of worker capacity: what each worker has, and what each attempt holds of it. It has one writer, the
 * owner of the rack, and refuses whatever would exceed a worker's capacity.
 */

import { add, fits, noResources, type Resources, subtract } from "../types/resources.js";

/** A worker as the ledger sees it. */
export interface LedgerWorker {
    readonly workerId: string;
    readonly rack: string;
    readonly capacity: Resources;
    readonly reserved: Resources;
    readonly free: Resources;
    /** Only open workers are offered to policies. */
    readonly open: boolean;
}

/** Capacity of one rack owner's workers. */
export interface Ledger {
    /** Adds a worker, closed, or changes the capacity of one. */
    addWorker(workerId: string, rack: string, capacity: Resources): void;
    removeWorker(workerId: string): void;
    /** Opens or closes a worker for new attempts. */
    setOpen(workerId: string, open: boolean): void;
    /** False, and no change, where it does not fit or the worker is closed; true again for the same attempt. */
    reserve(workerId: string, attemptId: string, size: Resources): boolean;
    /** Like `reserve`, on a worker that is closed to all others. */
    reserveClosed(workerId: string, attemptId: string, size: Resources): boolean;
    /** Changes what an attempt holds, whether it fits or not. */
    resize(attemptId: string, size: Resources): void;
    /** Records an attempt that a worker already runs, whether it fits or not. */
    adopt(workerId: string, attemptId: string, size: Resources): void;
    /** Harmless where the attempt holds nothing. */
    release(attemptId: string): void;
    worker(workerId: string): LedgerWorker | undefined;
    workers(): readonly LedgerWorker[];
    holderOf(attemptId: string): string | undefined;
    /** Open workers that have room in every dimension, least free processors first. */
    candidates(size: Resources): Iterable<LedgerWorker>;
    /** Open workers, most free processors first. */
    emptiest(size: Resources): Iterable<LedgerWorker>;
    openWorkers(): readonly LedgerWorker[];
    openCount(): number;
    /** The open worker at a place from 0 to `openCount() - 1`, in no order. */
    openAt(place: number): LedgerWorker | undefined;
}

interface Entry {
    readonly workerId: string;
    readonly rack: string;
    capacity: Resources;
    reserved: Resources;
    free: Resources;
    open: boolean;
    bucket: number;
    openIndex: number;
    readonly attempts: Map<string, Resources>;
    view: LedgerWorker | undefined;
}

const bucketCpuMillis = 250;

/**
 * Makes an empty ledger. Open workers are kept in buckets by free processors, so that a choice looks at few of them.
 *
 * @example
 * const ledger = createLedger();
 * ledger.addWorker("w1", "rack-1", { cpuMillis: 4000, memoryMib: 8192, accelerators: 0 });
 * ledger.setOpen("w1", true);
 * ledger.reserve("w1", "attempt-1", { cpuMillis: 1000, memoryMib: 512, accelerators: 0 }); // true
 */
export const createLedger = (): Ledger => {
    const entries = new Map<string, Entry>();
    const holders = new Map<string, Entry>();
    const buckets: Set<Entry>[] = [];
    const openEntries: Entry[] = [];

    const bucketOf = (cpuMillis: number): number => Math.max(0, Math.floor(cpuMillis / bucketCpuMillis));

    const viewOf = (entry: Entry): LedgerWorker => {
        entry.view ??= {
            workerId: entry.workerId,
            rack: entry.rack,
            capacity: entry.capacity,
            reserved: entry.reserved,
            free: entry.free,
            open: entry.open,
        };
        return entry.view;
    };

    const reindex = (entry: Entry): void => {
        entry.view = undefined;
        entry.free = subtract(entry.capacity, entry.reserved);
        const bucket = entry.open ? bucketOf(entry.free.cpuMillis) : -1;
        if (bucket === entry.bucket) {
            return;
        }
        buckets[entry.bucket]?.delete(entry);
        entry.bucket = bucket;
        if (bucket < 0) {
            return;
        }
        while (buckets.length <= bucket) {
            buckets.push(new Set());
        }
        buckets[bucket]?.add(entry);
    };

    const dropFromOpen = (entry: Entry): void => {
        const last = openEntries.pop();
        if (last !== undefined && last !== entry) {
            openEntries[entry.openIndex] = last;
            last.openIndex = entry.openIndex;
        }
        entry.openIndex = -1;
    };

    const setOpen = (entry: Entry, open: boolean): void => {
        if (entry.open === open) {
            return;
        }
        entry.open = open;
        if (open) {
            entry.openIndex = openEntries.push(entry) - 1;
        }
        else {
            dropFromOpen(entry);
        }
        reindex(entry);
    };

    const hold = (entry: Entry, attemptId: string, size: Resources): void => {
        entry.attempts.set(attemptId, size);
        holders.set(attemptId, entry);
        entry.reserved = add(entry.reserved, size);
        reindex(entry);
    };

    const reserve = (entry: Entry | undefined, attemptId: string, size: Resources, evenClosed: boolean): boolean => {
        const holder = holders.get(attemptId);
        if (holder !== undefined) {
            return holder === entry;
        }
        if (entry === undefined || (!entry.open && !evenClosed) || !fits(size, entry.free)) {
            return false;
        }
        hold(entry, attemptId, size);
        return true;
    };

    const release = (attemptId: string): void => {
        const entry = holders.get(attemptId);
        const size = entry?.attempts.get(attemptId);
        if (entry === undefined || size === undefined) {
            return;
        }
        entry.attempts.delete(attemptId);
        holders.delete(attemptId);
        entry.reserved = subtract(entry.reserved, size);
        reindex(entry);
    };

    const candidates = function*(size: Resources): Iterable<LedgerWorker> {
        for (let bucket = bucketOf(size.cpuMillis); bucket < buckets.length; bucket += 1) {
            for (const entry of buckets[bucket] ?? []) {
                if (fits(size, entry.free)) {
                    yield viewOf(entry);
                }
            }
        }
    };

    const emptiest = function*(size: Resources): Iterable<LedgerWorker> {
        for (let bucket = buckets.length - 1; bucket >= bucketOf(size.cpuMillis); bucket -= 1) {
            for (const entry of buckets[bucket] ?? []) {
                if (fits(size, entry.free)) {
                    yield viewOf(entry);
                }
            }
        }
    };

    return {
        addWorker: (workerId, rack, capacity) => {
            const known = entries.get(workerId);
            if (known !== undefined) {
                known.capacity = capacity;
                reindex(known);
                return;
            }
            entries.set(workerId, {
                workerId,
                rack,
                capacity,
                reserved: noResources,
                free: capacity,
                open: false,
                bucket: -1,
                openIndex: -1,
                attempts: new Map(),
                view: undefined,
            });
        },
        removeWorker: workerId => {
            const entry = entries.get(workerId);
            if (entry === undefined) {
                return;
            }
            for (const attemptId of [...entry.attempts.keys()]) {
                release(attemptId);
            }
            setOpen(entry, false);
            entries.delete(workerId);
        },
        setOpen: (workerId, open) => {
            const entry = entries.get(workerId);
            if (entry !== undefined) {
                setOpen(entry, open);
            }
        },
        reserve: (workerId, attemptId, size) => reserve(entries.get(workerId), attemptId, size, false),
        reserveClosed: (workerId, attemptId, size) => reserve(entries.get(workerId), attemptId, size, true),
        resize: (attemptId, size) => {
            const entry = holders.get(attemptId);
            const held = entry?.attempts.get(attemptId);
            if (entry !== undefined && held !== undefined) {
                entry.attempts.set(attemptId, size);
                entry.reserved = add(subtract(entry.reserved, held), size);
                reindex(entry);
            }
        },
        adopt: (workerId, attemptId, size) => {
            const entry = entries.get(workerId);
            if (entry !== undefined && !holders.has(attemptId)) {
                hold(entry, attemptId, size);
            }
        },
        release,
        worker: workerId => {
            const entry = entries.get(workerId);
            return entry === undefined ? undefined : viewOf(entry);
        },
        workers: () => [...entries.values()].map(viewOf),
        holderOf: attemptId => holders.get(attemptId)?.workerId,
        candidates,
        emptiest,
        openWorkers: () => openEntries.map(viewOf),
        openCount: () => openEntries.length,
        openAt: place => {
            const entry = openEntries[place];
            return entry === undefined ? undefined : viewOf(entry);
        },
    };
};
