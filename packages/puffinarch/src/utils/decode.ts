/**
 * Decoding of rows from the store, which other programs also write: fields may be missing or of another type, and a value may not be
 * JSON. The functions never throw: an invalid row is returned as `unreadable`, so that it does not stop a feed and all other rows
 * stay in force.
 */

import type { z } from "zod";
import type { Row } from "../types/cellPorts.js";
import { violationsOf } from "./check.js";

/**
 * Result of decoding a row. `none`: the row was removed or is of another kind. `unreadable`: its value is invalid, at the given field
 * and for the given reason.
 */
export type Decoded<T> =
    | { readonly kind: "entry"; readonly entry: T; }
    | { readonly kind: "none"; }
    | { readonly kind: "unreadable"; readonly field: string; readonly reason: string; };

/** Result for a row that was removed or is of another kind. */
export const noEntry = { kind: "none" } as const;

/** Field name that stands for the value as a whole. */
const wholeValue = "value";

const parseJson = (text: string): { readonly json: unknown; } | undefined => {
    try {
        return { json: JSON.parse(text) as unknown };
    }
    catch {
        return undefined;
    }
};

/**
 * Parses a text as JSON and checks it against a schema.
 *
 * @example
 * decodeText('{"wave":"x"}', z.object({ wave: z.number("a number") })).kind; // "unreadable"
 */
export const decodeText = <T>(text: string, schema: z.ZodType<T>): Decoded<T> => {
    const parsed = parseJson(text);
    if (parsed === undefined) {
        return { kind: "unreadable", field: wholeValue, reason: "the value is not valid JSON" };
    }
    const result = schema.safeParse(parsed.json);
    if (result.success) {
        return { kind: "entry", entry: result.data };
    }
    const [first] = violationsOf(parsed.json, result.error);
    return {
        kind: "unreadable",
        field: first === undefined || first.field === "" ? wholeValue : first.field,
        reason: `${first?.value ?? "it"} is not allowed; allowed: ${first?.allowed ?? "another value"}`,
    };
};

/**
 * Decodes a row's value; returns `noEntry` where the row was removed.
 *
 * @example
 * decodeRow(row, z.object({ address: z.string("an address") }));
 */
export const decodeRow = <T>({ value }: Pick<Row, "value">, schema: z.ZodType<T>): Decoded<T> =>
    value === undefined ? noEntry : decodeText(value, schema);

/**
 * Converts the entry of a result; other results are returned unchanged.
 *
 * @example
 * mapDecoded({ kind: "entry", entry: 2 }, count => count + 1); // { kind: "entry", entry: 3 }
 */
export const mapDecoded = <T, U>(decoded: Decoded<T>, map: (entry: T) => U): Decoded<U> =>
    decoded.kind === "entry" ? { kind: "entry", entry: map(decoded.entry) } : decoded;
