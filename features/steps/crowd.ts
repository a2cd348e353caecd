/** Callers that send many requests at once to one daemon and keep their connections open. */

import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { connect } from "node:net";
import { pipeline } from "node:stream/promises";
import { setImmediate as nextTurn, setTimeout } from "node:timers/promises";

export const callerHost = "nony24.example";
export const pathPrefix = "/lohu930/";

/** What a connection sends. */
interface CrowdRequest {
    readonly head: (jobId: string) => string;
    /** The rest, as it is written piece by piece. */
    readonly pieces: readonly Buffer[];
}

const pieceBytes = 65_536;
const kib256 = 262_144;
const mib4 = 4_194_304;

const split = (text: string, size: number): readonly Buffer[] => {
    const starts = Array.from({ length: Math.ceil(text.length / size) }, (_, index) => index * size);
    return starts.map(at => Buffer.from(text.slice(at, at + size)));
};

const jsonTo = `Host: ${callerHost}\r\nContent-Type: application/json`;
const post = (framing: string, body: string, size = pieceBytes): CrowdRequest => ({
    head: jobId => `POST ${pathPrefix}${jobId} HTTP/1.1\r\n${jsonTo}\r\n${framing}\r\n\r\n`,
    pieces: split(body, size),
});
const plain = (text: string, length = text.length): CrowdRequest => post(`Content-Length: ${length}`, text);
const withoutLastByte = (text: string, size: number): CrowdRequest =>
    post(`Content-Length: ${text.length}`, text.slice(0, -1), size);

const chunked = (text: string, size: number): string =>
    text.replace(new RegExp(`[^]{1,${size}}`, "g"), chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`);
const whole = (chunks: string): CrowdRequest => post("Transfer-Encoding: chunked", `${chunks}0\r\n\r\n`);
/** Leaves out the last byte of the last chunk, and all that follows. */
const unfinished = (chunks: string): CrowdRequest => post("Transfer-Encoding: chunked", chunks.slice(0, -3));

const jobText = '{"spec":"{\\"workMs\\":50}","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":50}]';
/** A job that would be accepted, with spaces up to the given length. */
const job = (bytes: number): string => `${jobText.padEnd(bytes - 1)}}`;
const arrays = (bytes: number): string => `[${"[],".repeat(Math.floor(bytes / 3) - 1)}[]]`.padEnd(bytes);
/** Each member takes at least 6 bytes, which makes the text too long before it is cut. */
const keys = (bytes: number): string => {
    const members = Array.from({ length: Math.ceil(bytes / 6) }, (_, index) => `"${index.toString(36)}":0,`).join("");
    return `{${members.slice(0, members.lastIndexOf(",", bytes - 2))}}`.padEnd(bytes);
};

const get = `GET ${pathPrefix}00000000000000aa HTTP/1.1\r\nHost: ${callerHost}\r\n\r\n`;
const unread = "20000 requests in a row, of which they read no answer";

/** What a crowd may send, by the words of the feature; its connections take the requests in turn. */
const requests: Readonly<Record<string, () => readonly CrowdRequest[]>> = {
    "256 KiB without the last byte": () => [withoutLastByte(job(kib256), kib256)],
    "256 KiB in pieces of 1 kB, without the last byte": () => [withoutLastByte(job(kib256), 1_000)],
    "256 KiB as one chunk, without the last byte": () => [unfinished(chunked(job(kib256), kib256))],
    "256 KiB in chunks of 1 byte, without the last byte": () => [unfinished(chunked(job(kib256), 1))],
    "4 MiB without the last byte": () => [withoutLastByte(job(mib4), mib4)],
    "4 MiB in chunks of 1 byte": () => [whole(chunked(job(mib4), 1))],
    "30 MB of an announced GB": () => [plain(job(3e7), 1e9)],
    "30 MB in chunks of 64 KiB": () => [whole(chunked(job(3e7), pieceBytes))],
    "4 MiB of empty arrays or of short keys": () => [plain(arrays(mib4)), plain(keys(mib4))],
    "256 KiB of empty arrays or of short keys": () => [plain(arrays(kib256)), plain(keys(kib256))],
    "262000 bytes": () => [plain(job(262_000))],
    "262000 bytes in chunks of 1 byte": () => [whole(chunked(job(262_000), 1))],
    [unread]: () => [{ head: () => get, pieces: split(get.repeat(19_999), pieceBytes) }],
    "half a request line": () => [{ head: () => `GET ${pathPrefix}`, pieces: [] }],
};

/** The test goes on after this time in any case, while the crowd goes on sending. */
const longestWriteMs = 10_000;

/** Yields each piece in a turn of its own, so that connections take turns and the stand-ins in this process keep answering. */
const inTurns = async function*(pieces: readonly Buffer[]) {
    for (const piece of pieces) {
        await nextTurn();
        yield piece;
    }
};

/**
 * Opens the connections of a crowd, which begin to send at once.
 *
 * @example
 * const crowd = startCrowd("127.0.0.1", 20_000, 700, "256 KiB without the last byte");
 */
export const startCrowd = (host: string, port: number, callers: number, what: string) => {
    const chosen = requests[what]?.() ?? assert.fail(`unknown request "${what}"`);
    const jobIds = Array.from({ length: callers }, () => randomBytes(8).toString("hex"));
    const statuses: number[] = [];
    const sockets = jobIds.map(() => connect({ host, port, noDelay: true }));
    const allWritten = Promise.all(sockets.map(async (socket, index) => {
        // A daemon may refuse such callers or cut them off.
        socket.on("error", () => {});
        if (what === unread) {
            socket.pause();
        }
        else {
            socket.once("data", data => statuses.push(Number(/^HTTP\/1\.1 (\d+)/.exec(String(data))?.[1]))).resume();
        }
        const { head, pieces } = chosen[index % chosen.length] ?? assert.fail("no request");
        const start = Buffer.from(head(jobIds[index] ?? ""));
        await pipeline(inTurns([start, ...pieces]), socket, { end: false }).catch(() => {});
    }));
    return {
        jobIds,
        /** Status of the first answer on each connection that got one. */
        statuses,
        /** Resolves once everything is written or cut off, or the time for it is over. */
        written: Promise.race([allWritten, setTimeout(longestWriteMs, undefined, { ref: false })]),
        leave: async () => sockets.forEach(socket => socket.destroy()),
    };
};
