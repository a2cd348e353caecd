/** Stand-in for the platform: a transactional table and an object store with limits, and a lagging list of VMs. */

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
import { createFaults, type Faults } from "./faults.js";

/** Limits of the platform. */
export interface PlatformLimits {
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
    readonly vmListLagMs: number;
}

/** Several hundred writes and 2,000 reads a second. */
export const defaultPlatformLimits: PlatformLimits = {
    writesPerSecond: 300,
    readsPerSecond: 2_000,
    vmListLagMs: 2_000,
};

/** Counts kept by the platform itself. */
export interface PlatformEvidence {
    readonly writes: number;
    readonly reads: number;
    readonly refusedByLimit: number;
    readonly rows: number;
}

/** The platform and the means to break it. */
export interface Platform {
    readonly table: TableStore;
    readonly objects: ObjectStore;
    readonly vmList: VmList;
    readonly faults: Faults;
    /** Adds or changes VMs; the list shows it after its lag. */
    setVms(vms: readonly Vm[]): void;
    removeVms(vmIds: readonly string[]): void;
    evidence(): PlatformEvidence;
}

const maxRowBytes = 64 * 1024;
const maxRows = 25;
const rowsPerRead = 100;
const windowMs = 1_000;

interface Window {
    startedAtMs: number;
    used: number;
}

/**
 * Makes a platform.
 *
 * @example
 * const platform = createPlatform(clock, random, defaultPlatformLimits);
 * await platform.table.read(["session/vm-1"]);
 */
export const createPlatform = (clock: Clock, random: Random, limits: PlatformLimits): Platform => {
    const rows = new Map<string, TableRow>();
    const objects = new Map<string, string>();
    const faults = createFaults(clock, random);
    const vms = new Map<string, Vm>();
    const listings: { readonly atMs: number; readonly generation: number; readonly vms: readonly Vm[]; }[] = [];
    const writeWindow: Window = { startedAtMs: 0, used: 0 };
    const readWindow: Window = { startedAtMs: 0, used: 0 };
    let version = 0;
    let generation = 0;
    let writes = 0;
    let reads = 0;
    let refusedByLimit = 0;

    const admit = (window: Window, limit: number, cost: number): boolean => {
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

    const holds = (key: string, wanted: number | "absent"): boolean => {
        const row = rows.get(key);
        return wanted === "absent" ? row === undefined : row?.version === wanted;
    };

    const commit: TableStore["transact"] = async ({ conditions, puts, deletes }) => {
        const keys = new Set([...conditions.map(each => each.key), ...puts.map(each => each.key), ...deletes]);
        const tooLarge = puts.some(put => JSON.stringify(put.value).length > maxRowBytes);
        if (keys.size > maxRows || tooLarge) {
            die("internal", `a transaction of ${keys.size} rows or with a row over ${maxRowBytes} bytes`);
        }
        if (!conditions.every(each => holds(each.key, each.version))) {
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

    const answerRead = async <T>(target: string, cost: number, effect: () => T): Promise<T> => {
        if (!admit(readWindow, limits.readsPerSecond, cost)) {
            return die("unavailable", "over the platform's read limit");
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

    const publish = (): void => {
        generation += 1;
        listings.push({ atMs: clock.monotonicMs(), generation, vms: [...vms.values()] });
    };

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
                answerRead(
                    "tableReads",
                    Math.ceil(keys.length / maxRows),
                    () => keys.flatMap(key => rows.get(key) ?? []),
                ),
            scan: prefix => {
                const found = scan(prefix);
                return answerRead("tableReads", Math.max(1, Math.ceil(found.length / rowsPerRead)), () => found);
            },
            transact,
        },
        objects: {
            put: (key, body) => answerRead("objects", 1, () => void objects.set(key, body)),
            get: key => answerRead("objects", 1, () => objects.get(key)),
            delete: key => answerRead("objects", 1, () => void objects.delete(key)),
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
            publish();
        },
        removeVms: vmIds => {
            for (const vmId of vmIds) {
                vms.delete(vmId);
            }
            publish();
        },
        evidence: () => ({ writes, reads, refusedByLimit, rows: rows.size }),
    };
};
