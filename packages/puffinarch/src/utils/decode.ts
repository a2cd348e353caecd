/**
 * Reads rows of the store that any writer may have left: fields missing or of another type, or bytes that are no JSON. A row
 * that cannot be read says so with its field; it never throws, so that it stops no feed and the other rows stay in force.
 */

import type { z } from "zod";
import type { Row } from "../types/cellPorts.js";
import { violationsOf } from "./check.js";

/** What a row holds: an entry, nothing of the kind that was asked for, or what cannot be read, and why. */
export type Decoded<T> =
    | { readonly kind: "entry"; readonly entry: T; }
    | { readonly kind: "none"; }
    | { readonly kind: "unreadable"; readonly field: string; readonly reason: string; };

/** A row that was removed, or is of another kind. */
export const noEntry = { kind: "none" } as const;

/** Names the whole value where no field of it is at fault. */
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
 * Decodes a text as JSON of a schema.
 *
 * @example
 * decodeText('{"wave":"x"}', z.object({ wave: z.number("a number") })).kind; // "unreadable"
 */
export const decodeText = <T>(text: string, schema: z.ZodType<T>): Decoded<T> => {
    const parsed = parseJson(text);
    if (parsed === undefined) {
        return { kind: "unreadable", field: wholeValue, reason: "it is not JSON" };
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
 * Decodes a row's value; none where the row was removed.
 *
 * @example
 * decodeRow(row, z.object({ address: z.string("an address") }));
 */
export const decodeRow = <T>({ value }: Pick<Row, "value">, schema: z.ZodType<T>): Decoded<T> =>
    value === undefined ? noEntry : decodeText(value, schema);

/**
 * Turns what was decoded into another form.
 *
 * @example
 * mapDecoded({ kind: "entry", entry: 2 }, count => count + 1); // { kind: "entry", entry: 3 }
 */
export const mapDecoded = <T, U>(decoded: Decoded<T>, map: (entry: T) => U): Decoded<U> =>
    decoded.kind === "entry" ? { kind: "entry", entry: map(decoded.entry) } : decoded;
