/** Returns the entries of readable rows, and reports each version of an unreadable row with a log line and a counter. */

import type { Row } from "../../types/cellPorts.js";
import type { Log, Meter } from "../../types/ports.js";
import type { Decoded } from "../../utils/decode.js";

/** Unwraps decoded rows and reports the unreadable ones. */
export interface RowReader {
    /** Returns the entry; undefined where the row has none, or is unreadable. */
    entryOf<T>(row: Row, decoded: Decoded<T>): T | undefined;
}

/**
 * Creates a row reader.
 *
 * @example
 * const reader = createRowReader({ log, meter });
 * const worker = reader.entryOf(row, readWorker(row));
 */
export const createRowReader = ({ log, meter }: { readonly log: Log; readonly meter: Meter; }): RowReader => {
    /** Versions of the unreadable rows that were reported, by table, part and key. */
    const reportedVersions = new Map<string, number>();
    return {
        entryOf: ({ table, part, key, version }, decoded) => {
            const name = `${table}|${part}|${key}`;
            if (decoded.kind !== "unreadable") {
                reportedVersions.delete(name);
                return decoded.kind === "entry" ? decoded.entry : undefined;
            }
            if (reportedVersions.get(name) !== version) {
                reportedVersions.set(name, version);
                meter.count("rowsUnreadable");
                const { field, reason } = decoded;
                log.write("error", "rowUnreadable", { table, part, key, version, field, reason });
            }
            return undefined;
        },
    };
};
