/** Validation of untrusted input with zod; each violation names the field, its value and the allowed values. */

import { z } from "zod";
import { die, type Violation } from "./errors.js";

const maxShownLength = 80;
/** Fields that are named in one error; a list of wrong elements may have a hundred thousand. */
const maxViolations = 50;

/**
 * Writes a value as JSON, shortened where it is long. Each level of nesting adds to the text, so that the limit of the length bounds
 * the depth as well: `JSON.stringify` exceeds the stack on a value that is nested some thousand deep.
 *
 * @example
 * showValue({ wave: "x" }); // '{"wave":"x"}'
 */
export const showValue = (value: unknown): string => {
    let text = "";
    const isFull = (): boolean => text.length > maxShownLength;

    const writeList = (elements: readonly unknown[]): void => {
        text += "[";
        for (const [index, element] of elements.entries()) {
            if (isFull()) {
                return;
            }
            text += index === 0 ? "" : ",";
            write(element);
        }
        text += "]";
    };

    const writeFields = (object: object): void => {
        text += "{";
        for (const [index, key] of Object.keys(object).entries()) {
            if (isFull()) {
                return;
            }
            text += index === 0 ? "" : ",";
            write(key);
            text += ":";
            write((object as Readonly<Record<string, unknown>>)[key]);
        }
        text += "}";
    };

    const write = (part: unknown): void => {
        if (isFull()) {
            return;
        }
        if (Array.isArray(part)) {
            writeList(part);
        }
        else if (typeof part === "object" && part !== null) {
            writeFields(part);
        }
        else {
            text += typeof part === "string" ? JSON.stringify(part.slice(0, maxShownLength)) : String(part);
        }
    };

    if (value === undefined) {
        return "nothing";
    }
    write(value);
    return isFull() ? `${text.slice(0, maxShownLength)}...` : text;
};

const valueAt = (input: unknown, path: readonly PropertyKey[]): unknown => {
    let value = input;
    for (const part of path) {
        if (typeof value !== "object" || value === null) {
            return undefined;
        }
        value = (value as Record<PropertyKey, unknown>)[part];
    }
    return value;
};

const maxFieldLength = 200;

const joinPath = (path: readonly PropertyKey[]): string =>
    path.map((part, index) => typeof part === "number" ? `[${part}]` : index === 0 ? String(part) : `.${String(part)}`)
        .join("").slice(0, maxFieldLength);

/**
 * Converts the error of a failed schema check into violations, one for each wrong field of the input, up to a limit.
 *
 * @example
 * violationsOf(input, parsed.error)[0]?.field;
 */
export const violationsOf = (input: unknown, error: z.ZodError): readonly Violation[] => {
    const violations: Violation[] = [];
    for (const issue of error.issues.slice(0, maxViolations)) {
        if (issue.code === "unrecognized_keys") {
            for (const key of issue.keys.slice(0, maxViolations)) {
                const path = [...issue.path, key];
                violations.push({
                    field: joinPath(path),
                    value: showValue(valueAt(input, path)),
                    allowed: "no such field",
                });
            }
            continue;
        }
        violations.push({
            field: joinPath(issue.path),
            value: showValue(valueAt(input, issue.path)),
            allowed: issue.message,
        });
    }
    return violations.slice(0, maxViolations);
};

/**
 * Validates an input and returns it typed; fails with the kind `invalid` and its violations. `what` names the input in the
 * error message.
 *
 * @example
 * check(z.strictObject({ tasks: wholeNumber(1, 10) }), { tasks: 3 }, "job").tasks; // 3
 */
export const check = <T>(schema: z.ZodType<T>, input: unknown, what: string): T => {
    const parsed = schema.safeParse(input);
    if (parsed.success) {
        return parsed.data;
    }
    const violations = violationsOf(input, parsed.error);
    return rejectAll(violations, what);
};

/**
 * Fails with the kind `invalid` and these violations.
 *
 * @example
 * rejectAll([{ field: "team", value: "\"\"", allowed: "a name" }], "job");
 */
export const rejectAll = (violations: readonly Violation[], what: string): never => {
    const listed = violations.map(violation =>
        `${
            violation.line === undefined
                ? ""
                : `line ${violation.line}: `
        }${violation.field} is ${violation.value}; allowed: ${violation.allowed}`
    );
    return die("invalid", `the ${what} is not valid: ${listed.join("; ")}`, { violations });
};

/**
 * Creates a schema for a whole number within bounds, both inclusive.
 *
 * @example
 * wholeNumber(1, 10).safeParse(11).success; // false
 */
export const wholeNumber = (min: number, max: number) => {
    const allowed = `a whole number from ${min} to ${max}`;
    return z.number(allowed).int(allowed).min(min, allowed).max(max, allowed);
};

const nameAllowed = "1 to 128 characters of a-z, A-Z, 0-9, dot, underscore and hyphen";

/** Schema for names of 1 to 128 characters that are safe in URLs and file names. */
export const nameSchema = z.string(nameAllowed).regex(/^[A-Za-z0-9._-]{1,128}$/, nameAllowed);

/**
 * Creates a schema for one of the given words.
 *
 * @example
 * oneOf(["a", "b"]).safeParse("c").success; // false
 */
export const oneOf = <const T extends string>(words: readonly T[]) =>
    z.enum(words as readonly [T, ...T[]], `one of ${words.join(", ")}`);

/**
 * Creates a schema for text of at most `maxLength` characters.
 *
 * @example
 * textUpTo(3).safeParse("abcd").success; // false
 */
export const textUpTo = (maxLength: number) => {
    const allowed = `text of ${maxLength} characters at most`;
    return z.string(allowed).max(maxLength, allowed);
};

/**
 * Looks up a word from untrusted input in a table; undefined where the table has no such own property, so that inherited ones such as
 * `constructor` are never returned.
 *
 * @example
 * lookUp({ done: 1 }, "constructor"); // undefined
 */
export const lookUp = <T>(table: Readonly<Record<PropertyKey, T>>, word: PropertyKey): T | undefined =>
    Object.hasOwn(table, word) ? table[word] : undefined;
