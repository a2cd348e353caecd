/** Checks of untrusted input with zod, turned into violations that name the field, the value and what is allowed. */

import { z } from "zod";
import { die, type Violation } from "./errors.js";

const shownValueLength = 80;

const show = (value: unknown): string => {
    const text = value === undefined ? "nothing" : JSON.stringify(value);
    return text.length > shownValueLength ? `${text.slice(0, shownValueLength)}...` : text;
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

const joinPath = (path: readonly PropertyKey[]): string =>
    path.map((part, index) => typeof part === "number" ? `[${part}]` : index === 0 ? String(part) : `.${String(part)}`)
        .join("");

/**
 * Names each field of an input that a schema refused, its value and what is allowed.
 *
 * @example
 * violationsOf(input, parsed.error)[0]?.field;
 */
export const violationsOf = (input: unknown, error: z.ZodError): readonly Violation[] => {
    const violations: Violation[] = [];
    for (const issue of error.issues) {
        if (issue.code === "unrecognized_keys") {
            for (const key of issue.keys) {
                const path = [...issue.path, key];
                violations.push({ field: joinPath(path), value: show(valueAt(input, path)), allowed: "no such field" });
            }
            continue;
        }
        violations.push({
            field: joinPath(issue.path),
            value: show(valueAt(input, issue.path)),
            allowed: issue.message,
        });
    }
    return violations;
};

/**
 * Checks an input whole and returns it typed; fails with the kind `invalid` and every violation at once.
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
 * A whole number within bounds.
 *
 * @example
 * wholeNumber(1, 10).safeParse(11).success; // false
 */
export const wholeNumber = (min: number, max: number) => {
    const allowed = `a whole number from ${min} to ${max}`;
    return z.number(allowed).int(allowed).min(min, allowed).max(max, allowed);
};

const nameAllowed = "1 to 128 characters of a-z, A-Z, 0-9, dot, underscore and hyphen";

/** A name of 1 to 128 safe characters. */
export const nameSchema = z.string(nameAllowed).regex(/^[A-Za-z0-9._-]{1,128}$/, nameAllowed);

/**
 * One of a closed list of words.
 *
 * @example
 * oneOf(["a", "b"]).safeParse("c").success; // false
 */
export const oneOf = <const T extends string>(words: readonly T[]) =>
    z.enum(words as readonly [T, ...T[]], `one of ${words.join(", ")}`);

/**
 * Text of bounded length.
 *
 * @example
 * textUpTo(3).safeParse("abcd").success; // false
 */
export const textUpTo = (maxLength: number) => {
    const allowed = `text of ${maxLength} characters at most`;
    return z.string(allowed).max(maxLength, allowed);
};

/**
 * The value that a table has for a word from outside; nothing that every object inherits, such as `constructor`.
 *
 * @example
 * lookUp({ done: 1 }, "constructor"); // undefined
 */
export const lookUp = <T>(table: Readonly<Record<PropertyKey, T>>, word: PropertyKey): T | undefined =>
    Object.hasOwn(table, word) ? table[word] : undefined;
