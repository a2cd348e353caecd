/**
 * The ledger of worker capacity: the capacity of each worker and the part of it that each attempt holds. Only the owner of
 * the rack changes it. A reservation that would exceed a worker's free capacity is refused.
 */

import { add, fits, noResources, type Resources, subtract } from "../types/resources.js";

/** A worker and its capacity at the time of the call. */
export interface LedgerWorker {
    readonly workerId: string;
    readonly rack: string;
    readonly capacity: Resources;
    /** Sum of what attempts hold. */
    readonly reserved: Resources;
    /** Capacity less `reserved`; negative in a dimension where adopted or resized attempts exceed the capacity. */
    readonly free: Resources;
    /** Whether the worker accepts any new attempt; placement policies choose among open workers only. */
    readonly open: boolean;
}

/** Capacity of one rack owner's workers. */
export interface Ledger {
    /** Adds a worker, closed at first, or changes the capacity of a known one. */
    addWorker(workerId: string, rack: string, capacity: Resources): void;
    /** Removes a worker and releases what its attempts hold. */
    removeWorker(workerId: string): void;
    /** Opens or closes a worker for new attempts. */
    setOpen(workerId: string, open: boolean): void;
    /**
     * Reserves capacity for an attempt. Returns false and changes nothing if the size does not fit, the worker is closed or
     * unknown, or the attempt holds capacity of another worker. A repeated call for the same worker returns true.
     */
    reserve(workerId: string, attemptId: string, size: Resources): boolean;
    /** Like `reserve`, but also on a closed worker; for the task that the worker is earmarked for. */
    reserveClosed(workerId: string, attemptId: string, size: Resources): boolean;
    /** Changes what an attempt holds, even if that exceeds the worker's capacity. */
    resize(attemptId: string, size: Resources): void;
    /** Records an attempt that a worker already runs, even if that exceeds the worker's capacity. */
    adopt(workerId: string, attemptId: string, size: Resources): void;
    /** Releases what an attempt holds; has no effect if it holds nothing. */
    release(attemptId: string): void;
    worker(workerId: string): LedgerWorker | undefined;
    workers(): readonly LedgerWorker[];
    /** Id of the worker whose capacity the attempt holds. */
    holderOf(attemptId: string): string | undefined;
    /** Open workers on which the size fits, fewest free processors first, compared in steps of a quarter of a core. */
    candidates(size: Resources): Iterable<LedgerWorker>;
    /** Open workers on which the size fits, most free processors first, compared in the same steps. */
    emptiest(size: Resources): Iterable<LedgerWorker>;
    openWorkers(): readonly LedgerWorker[];
    openCount(): number;
    /** The open worker at an index from 0 to `openCount() - 1`; the order is arbitrary and changes. */
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
 * Creates an empty ledger. Open workers are indexed in buckets by free processors, so that a search visits few of them.
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

    const removeFromOpen = (entry: Entry): void => {
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
            removeFromOpen(entry);
        }
        reindex(entry);
    };

    const holdCapacity = (entry: Entry, attemptId: string, size: Resources): void => {
        entry.attempts.set(attemptId, size);
        holders.set(attemptId, entry);
        entry.reserved = add(entry.reserved, size);
        reindex(entry);
    };

    const reserve = (entry: Entry | undefined, attemptId: string, size: Resources, allowClosed: boolean): boolean => {
        const holder = holders.get(attemptId);
        if (holder !== undefined) {
            return holder === entry;
        }
        if (entry === undefined || (!entry.open && !allowClosed) || !fits(size, entry.free)) {
            return false;
        }
        holdCapacity(entry, attemptId, size);
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
                holdCapacity(entry, attemptId, size);
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
