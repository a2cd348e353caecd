/** Callers that send many requests at once to one daemon and keep their connections open. */

import { randomBytes } from "node:crypto";
import { connect, type Socket } from "node:net";
import { setImmediate as nextTurn, setTimeout } from "node:timers/promises";

export const callerHost = "nony24.example";
export const pathPrefix = "/lohu930/";

/** What each connection of a crowd sends. */
export interface CrowdRequest {
    readonly head: (jobId: string) => string;
    /** Written one after the other behind the head, each by a call of its own. */
    readonly pieces: readonly Buffer[];
    /** False for a caller that reads none of its answers. */
    readonly reads: boolean;
}

export interface Crowd {
    readonly jobIds: readonly string[];
    /** Status of the first answer on each connection that got one. */
    statuses(): readonly number[];
    /** Waits until everything is written, or nothing more can be written for now. */
    written(): Promise<void>;
    leave(): void;
}

type Framing = (body: Buffer, isWhole: boolean) => { readonly header: string; readonly pieces: readonly Buffer[]; };

const pieceBytes = 65_536;
const lastChunk = "0\r\n\r\n";
/** Length of a chunk in hexadecimal, and two line breaks. */
const maxChunkFrameBytes = 12;

const split = (bytes: Buffer, size: number): readonly Buffer[] => {
    const pieces: Buffer[] = [];
    for (let at = 0; at < bytes.length; at += size) {
        pieces.push(bytes.subarray(at, at + size));
    }
    return pieces;
};

const withoutLastByte = (body: Buffer, isWhole: boolean): Buffer => isWhole ? body : body.subarray(0, -1);

const withLength = (size: number, announcedBytes?: number): Framing => (body, isWhole) => ({
    header: `Content-Length: ${announcedBytes ?? body.length}`,
    pieces: split(withoutLastByte(body, isWhole), size),
});

const inChunks = (chunkBytes: number): Framing => (body, isWhole) => {
    const chunks = Math.ceil(body.length / chunkBytes);
    const framed = Buffer.alloc(body.length + chunks * maxChunkFrameBytes + lastChunk.length);
    let length = 0;
    for (let at = 0; at < body.length; at += chunkBytes) {
        const end = Math.min(at + chunkBytes, body.length);
        length += framed.write(`${(end - at).toString(16)}\r\n`, length, "latin1");
        length += body.copy(framed, length, at, end);
        length += framed.write("\r\n", length, "latin1");
    }
    // Without its last byte, the last chunk lacks the line break that ends it as well.
    length += isWhole ? framed.write(lastChunk, length, "latin1") : -3;
    return { header: "Transfer-Encoding: chunked", pieces: split(framed.subarray(0, length), pieceBytes) };
};

export const framings: Readonly<Record<string, Framing>> = {
    "at once": withLength(Infinity),
    "in pieces of 1 kB": withLength(1_000),
    "as one chunk": inChunks(Infinity),
    "in chunks of 1 byte": inChunks(1),
    "in chunks of 64 KiB": inChunks(pieceBytes),
    "as part of 1 GB": withLength(pieceBytes, 1e9),
};

const job = '{"spec":"{\\"workMs\\":50}","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":50}]';

/** Makers of JSON texts with the given number of bytes. */
export const contents: Readonly<Record<string, (bytes: number) => Buffer>> = {
    "a job and spaces": bytes => Buffer.from(`${job.padEnd(bytes - 1)}}`),
    "empty arrays": bytes => Buffer.from(`[${"[],".repeat(Math.floor(bytes / 3) - 1)}[]]`.padEnd(bytes)),
    "short keys": bytes => {
        const members: string[] = [];
        for (let length = 0; length < bytes - 20; length += (members.at(-1)?.length ?? 0) + 1) {
            members.push(`"${members.length.toString(36)}":0`);
        }
        return Buffer.from(`{${members.join()}}`.padEnd(bytes));
    },
};

export const sizes: Readonly<Record<string, number>> = {
    "256 KiB": 262_144,
    "4 MiB": 4_194_304,
    "30 MB": 30_000_000,
};

/**
 * Returns the request of a job with such a body; `isWhole` is false for a body without its last byte.
 *
 * @example
 * const request = bodyRequest("a job and spaces", 262_144, "at once", false);
 */
export const bodyRequest = (content: string, bytes: number, framing: string, isWhole: boolean): CrowdRequest => {
    const make = contents[content];
    const frame = framings[framing];
    if (make === undefined || frame === undefined) {
        throw new Error(`unknown content "${content}" or framing "${framing}"`);
    }
    const { header, pieces } = frame(make(bytes), isWhole);
    const type = "Content-Type: application/json";
    return {
        head: jobId => `POST ${pathPrefix}${jobId} HTTP/1.1\r\nHost: ${callerHost}\r\n${type}\r\n${header}\r\n\r\n`,
        pieces,
        reads: true,
    };
};

/** Requests in a row on one connection whose answers are not read. */
export const unreadRequests = (count: number): CrowdRequest => {
    const perPiece = 200;
    const get = `GET ${pathPrefix}00000000000000aa HTTP/1.1\r\nHost: ${callerHost}\r\n\r\n`;
    const piece = Buffer.from(get.repeat(perPiece));
    return { head: () => "", pieces: Array.from({ length: count / perPiece }, () => piece), reads: false };
};

export const halfRequestLine: CrowdRequest = { head: () => `GET ${pathPrefix}`, pieces: [], reads: true };

const pollMs = 500;
/** Polls without progress after which the daemon is taken to read no more for now. */
const idlePolls = 4;
/** The step goes on after so many polls in any case, while the crowd goes on sending. */
const maxPolls = 40;

const openConnection = (port: number, host: string, jobId: string, request: CrowdRequest) => {
    const socket = connect({ port, host, noDelay: true });
    let wake = (): void => {};
    let status: number | undefined;
    socket.on("drain", () => wake());
    socket.on("close", () => wake());
    // A daemon may refuse or cut off such callers.
    socket.on("error", () => {});
    if (request.reads) {
        socket.on("data", (data: Buffer) => {
            status ??= Number(/^HTTP\/1\.1 (\d{3})/.exec(data.toString("latin1"))?.[1] ?? 0);
        });
    }
    else {
        socket.pause();
    }
    const write = async (): Promise<void> => {
        for (const piece of [Buffer.from(request.head(jobId)), ...request.pieces]) {
            if (socket.destroyed) {
                return;
            }
            if (socket.write(piece)) {
                // Connections take turns, and the stand-ins in this process keep answering.
                await nextTurn();
            }
            else {
                await new Promise<void>(resolve => {
                    wake = resolve;
                });
            }
        }
    };
    return { socket, status: () => status, written: write() };
};

const writtenBytes = (sockets: readonly Socket[]): number =>
    sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength, 0);

/**
 * Opens the connections of a crowd, which begin to send at once.
 *
 * @example
 * const crowd = startCrowd({ host, port, connections: 700, request: bodyRequest("a job and spaces", 262_144, "at once", false) });
 */
export const startCrowd = (
    { host, port, connections, request }: {
        readonly host: string;
        readonly port: number;
        readonly connections: number;
        readonly request: CrowdRequest;
    },
): Crowd => {
    const jobIds = Array.from({ length: connections }, () => randomBytes(8).toString("hex"));
    const opened = jobIds.map(jobId => openConnection(port, host, jobId, request));
    const sockets = opened.map(({ socket }) => socket);
    let isWritten = false;
    const all = Promise.all(opened.map(({ written }) => written)).then(() => {
        isWritten = true;
    });
    return {
        jobIds,
        statuses: () => opened.flatMap(({ status }) => status() ?? []),
        written: async () => {
            let idle = 0;
            let before = -1;
            for (let polls = 0; polls < maxPolls && idle < idlePolls && !isWritten; polls += 1) {
                await Promise.race([all, setTimeout(pollMs)]);
                const now = writtenBytes(sockets);
                idle = now === before ? idle + 1 : 0;
                before = now;
            }
        },
        leave: () => {
            for (const socket of sockets) {
                socket.destroy();
            }
        },
    };
};
