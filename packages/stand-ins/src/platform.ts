/** Simulated platform: a transactional table and an object store with rate limits, and a list of VMs that lags. */

import {
    type Clock,
    die,
    type ObjectStore,
    type TableRow,
    type TableStore,
    type TransactResult,
    type Vm,
    type VmList,
} from "puffinarch";
import type { Random } from "puffinarch";
import { createFaultInjector, type FaultInjector } from "./faults.js";

/** Rate limits of the platform, per second, and the lag of its VM list. */
export interface PlatformLimits {
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
    readonly vmListLagMs: number;
}

/** The platform's limits are several hundred writes, taken as 300, and 2,000 reads a second. */
export const defaultPlatformLimits: PlatformLimits = {
    writesPerSecond: 300,
    readsPerSecond: 2_000,
    vmListLagMs: 2_000,
};

/** Counts that the platform keeps, independent of the daemons' own metrics. */
export interface PlatformEvidence {
    readonly writes: number;
    readonly reads: number;
    readonly refusedByLimit: number;
    readonly rows: number;
}

/** A platform, with fault injection and control of its VMs. */
export interface Platform {
    readonly table: TableStore;
    readonly objects: ObjectStore;
    readonly vmList: VmList;
    readonly faults: FaultInjector;
    /** Adds or changes VMs; the list shows the change after its lag. */
    setVms(vms: readonly Vm[]): void;
    /** Removes VMs; the list shows the change after its lag. */
    removeVms(vmIds: readonly string[]): void;
    evidence(): PlatformEvidence;
}

const maxRowBytes = 64 * 1024;
/** Rows of one transaction, and of one read by keys; a read of more keys costs several reads. */
const maxRowsPerCall = 25;
/** Rows of one page of a scan; each page costs one read. */
const rowsPerScanPage = 100;
const windowMs = 1_000;

/** Fixed window of a rate limit. */
interface RateWindow {
    startedAtMs: number;
    used: number;
}

/**
 * Creates a platform with an empty table and no VMs.
 *
 * @example
 * const platform = createPlatform(clock, random, defaultPlatformLimits);
 * await platform.table.read(["session/vm-1"]);
 */
export const createPlatform = (clock: Clock, random: Random, limits: PlatformLimits): Platform => {
    const rows = new Map<string, TableRow>();
    const objects = new Map<string, string>();
    const faults = createFaultInjector(clock, random);
    const vms = new Map<string, Vm>();
    const listings: { readonly atMs: number; readonly generation: number; readonly vms: readonly Vm[]; }[] = [];
    const writeWindow: RateWindow = { startedAtMs: 0, used: 0 };
    const readWindow: RateWindow = { startedAtMs: 0, used: 0 };
    let version = 0;
    let generation = 0;
    let writes = 0;
    let reads = 0;
    let refusedByLimit = 0;

    /** Charges a cost to the window; false, and counted, where it would exceed the limit. */
    const admit = (window: RateWindow, limit: number, cost: number): boolean => {
        const nowMs = clock.monotonicMs();
        if (nowMs - window.startedAtMs >= windowMs) {
            window.startedAtMs = nowMs;
            window.used = 0;
        }
        if (window.used + cost > limit) {
            refusedByLimit += 1;
            return false;
        }
        window.used += cost;
        return true;
    };

    const conditionHolds = (key: string, expectedVersion: number | "absent"): boolean => {
        const row = rows.get(key);
        return expectedVersion === "absent" ? row === undefined : row?.version === expectedVersion;
    };

    const commit: TableStore["transact"] = async ({ conditions, puts, deletes }) => {
        const keys = new Set([...conditions.map(each => each.key), ...puts.map(each => each.key), ...deletes]);
        const tooLarge = puts.some(put => JSON.stringify(put.value).length > maxRowBytes);
        if (keys.size > maxRowsPerCall || tooLarge) {
            die(
                "internal",
                `transaction too large: ${keys.size} rows, or a row over ${maxRowBytes} bytes`,
            );
        }
        if (!conditions.every(each => conditionHolds(each.key, each.version))) {
            return { outcome: "conflict" };
        }
        version += 1;
        for (const put of puts) {
            rows.set(put.key, { key: put.key, version, value: structuredClone(put.value) });
        }
        for (const key of deletes) {
            rows.delete(key);
        }
        return { outcome: "committed", version };
    };

    const transact: TableStore["transact"] = async transaction => {
        if (!admit(writeWindow, limits.writesPerSecond, 1)) {
            return { outcome: "refused" };
        }
        const result = await faults.apply<TransactResult>("tableWrites", () => {
            writes += 1;
            return commit(transaction);
        });
        if (result.kind === "answered") {
            return result.value;
        }
        return { outcome: result.kind === "refused" ? "refused" : "unknown" };
    };

    /** Runs a call that is charged as reads: a read of the table, or any call to the object store. */
    const callWithinReadLimit = async <T>(target: string, cost: number, effect: () => T): Promise<T> => {
        if (!admit(readWindow, limits.readsPerSecond, cost)) {
            return die("unavailable", "the platform's read limit is exceeded");
        }
        const result = await faults.apply(target, () => {
            reads += cost;
            return effect();
        });
        return result.kind === "answered"
            ? result.value
            : die("unavailable", `the platform's ${target} does not answer`);
    };

    const scan = (prefix: string): readonly TableRow[] =>
        [...rows.values()].filter(row => row.key.startsWith(prefix)).sort((left, right) =>
            left.key < right.key ? -1 : 1
        );

    const publishListing = (): void => {
        generation += 1;
        listings.push({ atMs: clock.monotonicMs(), generation, vms: [...vms.values()] });
    };

    /** The newest listing that is at least as old as the lag; empty before the first. */
    const visibleListing = () => {
        const visibleAtMs = clock.monotonicMs() - limits.vmListLagMs;
        while (listings.length > 1 && (listings[1]?.atMs ?? Infinity) <= visibleAtMs) {
            listings.shift();
        }
        const [oldest] = listings;
        return oldest !== undefined && oldest.atMs <= visibleAtMs ? oldest : { generation: 0, vms: [] };
    };

    return {
        faults,
        table: {
            read: keys =>
                callWithinReadLimit(
                    "tableReads",
                    Math.ceil(keys.length / maxRowsPerCall),
                    () => keys.flatMap(key => rows.get(key) ?? []),
                ),
            scan: prefix => {
                const found = scan(prefix);
                return callWithinReadLimit(
                    "tableReads",
                    Math.max(1, Math.ceil(found.length / rowsPerScanPage)),
                    () => found,
                );
            },
            transact,
        },
        objects: {
            put: (key, body) => callWithinReadLimit("objects", 1, () => void objects.set(key, body)),
            get: key => callWithinReadLimit("objects", 1, () => objects.get(key)),
            delete: key => callWithinReadLimit("objects", 1, () => void objects.delete(key)),
        },
        vmList: {
            list: async () => {
                const result = await faults.apply("vmList", visibleListing);
                return result.kind === "answered"
                    ? { generation: result.value.generation, vms: result.value.vms }
                    : die("unavailable", "the platform's list of VMs does not answer");
            },
        },
        setVms: changed => {
            for (const vm of changed) {
                vms.set(vm.vmId, vm);
            }
            publishListing();
        },
        removeVms: vmIds => {
            for (const vmId of vmIds) {
                vms.delete(vmId);
            }
            publishListing();
        },
        evidence: () => ({ writes, reads, refusedByLimit, rows: rows.size }),
    };
};
