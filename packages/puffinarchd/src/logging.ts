/** Structured log through consola: one JSON object per line, with a level that can be changed at run time. */

import { type ConsolaInstance, type ConsolaReporter, createConsola, LogLevels } from "consola";
import { type Clock, type Log, type LogLevel, showValue } from "puffinarch";

/** A log whose level can be changed. */
export interface DaemonLog extends Log {
    level(): LogLevel;
    setLevel(level: LogLevel): void;
}

const consolaLevels: Readonly<Record<LogLevel, number>> = {
    error: LogLevels.error,
    warn: LogLevels.warn,
    info: LogLevels.info,
    debug: LogLevels.debug,
};

/**
 * Creates the daemon's log; `write` receives each line with its level and its event.
 *
 * @example
 * createLog({ clock, level: "info", vmId: "vm-1", write: openLogOutput(standardOutput).write });
 */
export const createLog = ({ clock, level, vmId, write }: {
    readonly clock: Clock;
    readonly level: LogLevel;
    readonly vmId: string;
    readonly write: (line: string, level: LogLevel, event: string) => void;
}): DaemonLog => {
    const encode = (head: Readonly<Record<string, unknown>>, fields: Readonly<Record<string, unknown>>): string => {
        try {
            return JSON.stringify({ ...head, ...fields });
        }
        catch {
            // A value from outside may be nested too deeply; the work that writes the line must go on.
            return JSON.stringify({ ...head, unprintable: showValue(fields) });
        }
    };
    const reporter: ConsolaReporter = {
        log: ({ type, args }) => {
            const [event, fields] = args as [string, Readonly<Record<string, unknown>>];
            write(`${encode({ atMs: clock.nowMs(), level: type, vmId, event }, fields)}\n`, type as LogLevel, event);
        },
    };
    const consola: ConsolaInstance = createConsola({
        level: consolaLevels[level],
        reporters: [reporter],
        // The default suppresses repeated lines, for which it encodes every line a second time.
        throttle: 0,
    });
    let current = level;
    return {
        write: (lineLevel, event, fields) => {
            if (consolaLevels[lineLevel] <= consola.level) {
                consola[lineLevel](event, fields);
            }
        },
        level: () => current,
        setLevel: next => {
            current = next;
            consola.level = consolaLevels[next];
        },
    };
};
