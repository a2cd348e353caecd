/** Output of log lines in batches. It never blocks, even if nobody reads it; lines that do not fit the buffer are dropped and counted. */

import type { LogLevel } from "puffinarch";
import sonicBoom from "sonic-boom";

/** An output for log lines. */
export interface LogOutput {
    /** Buffers a line; `event` is the name of what it reports. */
    write(line: string, level: LogLevel, event?: string): void;
    /** Writes the buffered lines; gives up after 200 ms if nobody reads them. */
    flush(): Promise<void>;
}

/** File descriptor of standard output. */
export const standardOutput = 1;

/** A kernel page. Writing each line on its own would cost a system call for each of the thousands in the second after a takeover. */
const batchBytes = 4_096;
/** Longest time that a line waits for its batch; a process that is killed loses the lines of this time at most. */
const batchMs = 50;
/** Limit of the lines buffered while nobody reads: 40 s of a daemon under load, and 1/50 of a small VM's memory. */
const maxBufferedBytes = 8 * 1024 * 1024;
/** Shares of the buffer up to which lines are kept; what one level leaves is reserved for the more important ones. */
const bufferShares: Readonly<Record<LogLevel, number>> = { debug: 0.75, info: 0.75, warn: 0.95, error: 0.95 };
/** Events that tell who owned the shard and when. They are dropped last, since no other line can be put into order without them. */
const ownershipEvents: ReadonlySet<string> = new Set([
    "claimBegins",
    "claimed",
    "claimLost",
    "claimResumed",
    "handOver",
    "listening",
    "ownerKnown",
    "ownerPaused",
    "restoreGivenUp",
    "shardLost",
    "shardRestored",
    "stopped",
    "stopping",
]);
const flushLimitMs = 200;

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
        maxLength: maxBufferedBytes,
    });
    let bufferedBytes = 0;
    let dropped = 0;
    stream.on("drain", () => {
        bufferedBytes = 0;
    });
    stream.on("write", (written: number) => {
        bufferedBytes = Math.max(0, bufferedBytes - written);
    });
    // A failed write cannot be logged, so it counts as a dropped line; the next line that is written reports the number.
    stream.on("error", () => {
        dropped += 1;
    });

    return {
        write: (line, level, event = "") => {
            const share = ownershipEvents.has(event) ? 1 : bufferShares[level];
            const limit = share * maxBufferedBytes;
            if (bufferedBytes + line.length > limit) {
                dropped += 1;
                return;
            }
            const droppedNotice = dropped === 0
                ? ""
                : `${JSON.stringify({ level: "warn", event: "logDropped", lines: dropped })}\n`;
            dropped = 0;
            bufferedBytes += droppedNotice.length + line.length;
            stream.write(droppedNotice + line);
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
