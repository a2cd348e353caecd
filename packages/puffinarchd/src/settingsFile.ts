/** Reads settings files in YAML and adds the line to each violation found in them. */

import { readFileSync } from "node:fs";
import { die, failureOf, rejectAll, type Violation } from "puffinarch";
import { type Document, isMap, isNode, LineCounter, parseDocument } from "yaml";

/** Splits the name of a field, such as `peers[0].port`, into keys and indices. */
const pathOf = (field: string): (string | number)[] =>
    field.split(/[.[\]]/).filter(part => part !== "").map(part => /^\d+$/.test(part) ? Number(part) : part);

/** Returns the line of a field, or of its closest parent in the file. */
const lineOf = (document: Document, lines: LineCounter, field: string): number | undefined => {
    const path = pathOf(field);
    while (path.length > 0) {
        const node = document.getIn(path, true);
        const range = isNode(node) ? node.range : undefined;
        if (range !== undefined && range !== null) {
            return lines.linePos(range[0]).line;
        }
        path.pop();
    }
    return isMap(document.contents) ? 1 : undefined;
};

const withLines = (document: Document, lines: LineCounter, violations: readonly Violation[]): readonly Violation[] =>
    violations.map(violation => ({ ...violation, line: lineOf(document, lines, violation.field) }));

/**
 * Parses the text of a settings file and checks it with `checkInput`. Fails with the kind `invalid` and every violation with its
 * line.
 *
 * @example
 * checkYaml("vmId: vm-1", input => check(schema, input, "settings file"));
 */
export const checkYaml = <T>(text: string, checkInput: (input: unknown) => T): T => {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
    if (document.errors.length > 0) {
        return rejectAll(
            document.errors.map(error => ({
                field: "file",
                value: error.message,
                allowed: "well-formed YAML",
                line: lines.linePos(error.pos[0]).line,
            })),
            "settings file",
        );
    }
    try {
        return checkInput(document.toJS() ?? {});
    }
    catch (error) {
        const { violations } = failureOf(error);
        return violations === undefined
            ? die("internal", String(error))
            : rejectAll(withLines(document, lines, violations), "settings file");
    }
};

/**
 * Reads the text of a settings file; fails with the kind `invalid` if it cannot be read.
 *
 * @example
 * const text = readSettingsFile("puffinarchd.yaml");
 */
export const readSettingsFile = (path: string): string => {
    try {
        return readFileSync(path, "utf8");
    }
    catch {
        return rejectAll([{ field: "config", value: `"${path}"`, allowed: "a file that can be read" }], "command line");
    }
};
