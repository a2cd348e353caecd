/** Takes the entries of rows that can be read, and tells of the others: a log line for each version of a row, and a count. */

import type { Row } from "../../types/cellPorts.js";
import type { Log, Meter } from "../../types/ports.js";
import type { Decoded } from "../../utils/decode.js";

/** Takes entries from rows. */
export interface RowReader {
    /** The entry; undefined where the row holds none, or cannot be read. */
    entryOf<T>(row: Row, decoded: Decoded<T>): T | undefined;
}

/**
 * Makes a reader of rows.
 *
 * @example
 * const reader = createRowReader({ log, meter });
 * const worker = reader.entryOf(row, readWorker(row));
 */
export const createRowReader = ({ log, meter }: { readonly log: Log; readonly meter: Meter; }): RowReader => {
    /** Versions of the unreadable rows that were told of. */
    const told = new Map<string, number>();
    return {
        entryOf: ({ table, part, key, version }, decoded) => {
            const name = `${table}|${part}|${key}`;
            if (decoded.kind !== "unreadable") {
                told.delete(name);
                return decoded.kind === "entry" ? decoded.entry : undefined;
            }
            if (told.get(name) !== version) {
                told.set(name, version);
                meter.count("rowsUnreadable");
                const { field, reason } = decoded;
                log.write("error", "rowUnreadable", { table, part, key, version, field, reason });
            }
            return undefined;
        },
    };
};
