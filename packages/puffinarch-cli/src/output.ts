/** Formats answers as JSON for programs and as tables for people. */

import { type DescMessage, type MessageShape, toJson } from "@bufbuild/protobuf";
import Table from "cli-table3";

/** Receives what the tool writes. */
export interface Output {
    write(text: string): void;
    writeError(text: string): void;
}

/** One column of a table. */
export interface Column<T> {
    readonly title: string;
    readonly cell: (row: T) => string | number;
}

const noBorder = {
    top: "",
    "top-mid": "",
    "top-left": "",
    "top-right": "",
    bottom: "",
    "bottom-mid": "",
    "bottom-left": "",
    "bottom-right": "",
    left: "",
    "left-mid": "",
    mid: "",
    "mid-mid": "",
    right: "",
    "right-mid": "",
    middle: "  ",
};

/**
 * Formats rows as a table without borders.
 *
 * @example
 * tableOf([{ title: "NAME", cell: row => row.name }], [{ name: "pack" }]);
 */
export const tableOf = <T>(columns: readonly Column<T>[], rows: readonly T[]): string => {
    const table = new Table({
        head: columns.map(column => column.title),
        chars: noBorder,
        style: { head: [], border: [], "padding-left": 0, "padding-right": 0 },
    });
    for (const row of rows) {
        table.push(columns.map(column => String(column.cell(row))));
    }
    return `${table.toString().split("\n").map(line => line.trimEnd()).join("\n")}\n`;
};

/**
 * Formats a message as JSON, with all fields under their names in the schema's JSON form.
 *
 * @example
 * jsonOf(GetJobResponseSchema, response);
 */
export const jsonOf = <D extends DescMessage>(schema: D, message: MessageShape<D>): string =>
    `${JSON.stringify(toJson(schema, message, { alwaysEmitImplicit: true }), undefined, 2)}\n`;

const msPerDay = 86_400_000;

/**
 * Formats a Unix time in milliseconds. Times of the first day, such as 0 for none, give `-`.
 *
 * @example
 * timeOf(0); // "-"
 */
export const timeOf = (atMs: number): string => atMs < msPerDay ? "-" : new Date(atMs).toISOString();

/**
 * Formats an amount of resources.
 *
 * @example
 * amountOf({ cpuMillis: 1500, memoryMib: 64, accelerators: 0 }); // "1.5 cpu, 64 MiB"
 */
export const amountOf = (
    amount: { readonly cpuMillis: number; readonly memoryMib: number; readonly accelerators: number; } | undefined,
): string => {
    if (amount === undefined) {
        return "-";
    }
    const accelerators = amount.accelerators === 0 ? "" : `, ${amount.accelerators} acc`;
    return `${amount.cpuMillis / 1_000} cpu, ${amount.memoryMib} MiB${accelerators}`;
};
