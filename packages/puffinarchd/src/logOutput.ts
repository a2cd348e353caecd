/** Where log lines go: batched, never blocking, also when nobody reads standard output; what is left out is counted. */

import type { LogLevel } from "puffinarch";
import sonicBoom from "sonic-boom";

/** An output for log lines. */
export interface LogOutput {
    write(line: string, level: LogLevel): void;
    /** Writes out what is held, as far as the reader takes it within a moment. */
    flush(): Promise<void>;
}

/** File descriptor of the standard output. */
export const standardOutput = 1;

/** A page of the kernel's; a line of its own costs a system call, and thousands come in the second after a takeover. */
const batchBytes = 4_096;
/** A process that is killed loses at most these last lines. */
const batchMs = 50;
/** Lines held while nobody reads: some 40 s of a loaded daemon's, and a fiftieth of a small VM's memory. */
const heldBytes = 8 * 1024 * 1024;
/** Warnings and errors may still use the rest. */
const infoShare = 0.75;
const flushLimitMs = 200;
const informative: ReadonlySet<LogLevel> = new Set(["info", "debug"]);

/**
 * Opens the output.
 *
 * @example
 * const output = openLogOutput(standardOutput);
 * const log = createLog({ clock, level: "info", vmId: "vm-1", write: output.write });
 */
export const openLogOutput = (fileDescriptor: number): LogOutput => {
    const stream = new sonicBoom.SonicBoom({
        fd: fileDescriptor,
        sync: false,
        minLength: batchBytes,
        periodicFlush: batchMs,
        maxLength: heldBytes,
    });
    let held = 0;
    let dropped = 0;
    stream.on("drain", () => {
        held = 0;
    });
    stream.on("write", (written: number) => {
        held = Math.max(0, held - written);
    });
    // There is nowhere left to say that the log itself cannot be written; the next line tells how many are missing.
    stream.on("error", () => {
        dropped += 1;
    });

    return {
        write: (line, level) => {
            const limit = informative.has(level) ? infoShare * heldBytes : heldBytes;
            if (held + line.length > limit) {
                dropped += 1;
                return;
            }
            const missing = dropped === 0
                ? ""
                : `${JSON.stringify({ level: "warn", event: "logDropped", lines: dropped })}\n`;
            dropped = 0;
            held += missing.length + line.length;
            stream.write(missing + line);
        },
        flush: () =>
            new Promise(resolve => {
                const timer = setTimeout(resolve, flushLimitMs);
                stream.flush(() => {
                    clearTimeout(timer);
                    resolve();
                });
            }),
    };
};
