/** Reads the structured logs of any number of processes as typed lines, sorted by time. */

import { readFileSync } from "node:fs";
import { die } from "puffinarch";

/** One line of a log; `fields` holds its other fields. */
export interface LogLine {
    /** Milliseconds since the Unix epoch. */
    readonly atMs: number;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** The lines that were read, and the number of lines that were skipped because they are not structured. */
export interface ReadLog {
    readonly lines: readonly LogLine[];
    readonly skipped: number;
}

const parseLine = (text: string): LogLine | undefined => {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const { atMs, event, ...fields } = JSON.parse(text.slice(start)) as Record<string, unknown>;
        return typeof atMs === "number" && typeof event === "string" ? { atMs, event, fields } : undefined;
    }
    catch {
        // Such a line is skipped: logs may hold lines of other programs, and lines that were cut off.
        return undefined;
    }
};

const readText = (path: string): string => {
    try {
        return readFileSync(path, "utf8");
    }
    catch (error) {
        const allowed = "a readable file with one JSON object a line";
        return die("invalid", `a log is "${path}"; allowed: ${allowed}`, {
            violations: [{ field: "logs", value: `"${path}"`, allowed }],
        }, error);
    }
};

/**
 * Reads logs; text before the first brace of a line is ignored. Fails with the kind `invalid` if a file cannot be read.
 *
 * @example
 * const { lines, skipped } = readLogs(["entry-1.log", "entry-2.log"]);
 */
export const readLogs = (paths: readonly string[]): ReadLog => {
    const lines: LogLine[] = [];
    let skipped = 0;
    for (const path of paths) {
        for (const text of readText(path).split("\n")) {
            const line = parseLine(text);
            if (line !== undefined) {
                lines.push(line);
            }
            else if (text.trim() !== "") {
                skipped += 1;
            }
        }
    }
    lines.sort((left, right) => left.atMs - right.atMs);
    return { lines, skipped };
};
