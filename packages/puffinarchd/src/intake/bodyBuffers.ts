/**
 * Buffers for the bodies of requests under way. They lie outside the heap and have a fixed total size, so that a crowd of bodies that
 * never end cannot exhaust the process. If they are full, the body that occupies most for longest without progress is given up: small
 * bodies, which arrive at once, never wait behind large ones that stand still.
 */

import { type Clock, die, type ErrorKind, errorOf } from "puffinarch";

/** Why a body is given up. */
export const bodyRefusals = {
    /** The buffers are full, and this body has occupied most for longest without progress. */
    memory: "memory",
    /** It did not end within the time limit of its request. */
    deadline: "deadline",
    /** It arrives in tiny chunks, which cost the processor much more than their bytes, and so does another one. */
    fragments: "fragments",
    /** The process stops. */
    stopping: "stopping",
} as const;
/** One of `bodyRefusals`. */
export type BodyRefusal = keyof typeof bodyRefusals;

/** Dependencies and limits of body buffers. */
export interface BodyBuffersOptions {
    readonly clock: Clock;
    /** Bytes of all bodies together. */
    readonly totalBytes: number;
    /** Called for each body that is given up. */
    readonly onRefused?: (reason: BodyRefusal) => void;
}

/** What `open` needs to know of a body. */
export interface BodyOptions {
    readonly maxBytes: number;
    /** Time from now on within which the body must end. */
    readonly timeoutMs: number;
    /** Called at most once, with the error for the caller; the body has released its buffers by then. */
    readonly onGivenUp: (error: Error) => void;
}

/** A body under way. */
export interface Body {
    /** Copies a chunk. May give this body up, or another one. */
    append(chunk: Uint8Array): void;
    /** Returns the whole text. */
    text(): string;
    /** Releases the buffers; repeated calls have no effect. */
    release(): void;
}

/** Buffers that all bodies of a process share. */
export interface BodyBuffers {
    open(options: BodyOptions): Body;
    /** Gives up all bodies under way. */
    stop(): void;
    /** Bytes that bodies occupy now. */
    usedBytes(): number;
}

interface OpenBody extends BodyOptions {
    readonly blocks: Buffer[];
    readonly deadlineAtMs: number;
    receivedBytes: number;
    chunks: number;
    progressAtMs: number;
}

/** Most bodies fit into one block. */
const blockBytes = 4_096;
const sweepMs = 250;
/** Beyond this many chunks, a body with fewer bytes a chunk than `fragmentBytes` counts as fragmented. */
const maxFragments = 1_024;
const fragmentBytes = 16;

const refusals: Readonly<Record<BodyRefusal, { readonly kind: ErrorKind; readonly message: string; }>> = {
    memory: { kind: "overloaded", message: "too many request bodies are under way" },
    deadline: { kind: "notRun", message: "the body did not arrive within the time limit of the request" },
    fragments: { kind: "overloaded", message: "too many bodies arrive in tiny chunks" },
    stopping: { kind: "notRun", message: "this daemon stops, and the body has not arrived" },
};

const tooLargeStatus = 413;

/**
 * Returns the error for a body that is larger than allowed.
 *
 * @example
 * throw bodyTooLarge(262_144);
 */
export const bodyTooLarge = (maxBytes: number): Error =>
    Object.assign(errorOf({ kind: "invalid", message: `the body is too large; allowed: ${maxBytes} bytes` }), {
        statusCode: tooLargeStatus,
    });

/**
 * Creates empty buffers. Blocks are allocated as they are needed and used again, so that they never become garbage.
 *
 * @example
 * const buffers = createBodyBuffers({ clock, totalBytes: 32_000_000 });
 * const body = buffers.open({ maxBytes: 262_144, timeoutMs: 3_000, onGivenUp: error => reply.send(error) });
 */
export const createBodyBuffers = ({ clock, totalBytes, onRefused }: BodyBuffersOptions): BodyBuffers => {
    const open = new Set<OpenBody>();
    const free: Buffer[] = [];
    const blockCount = Math.max(1, Math.floor(totalBytes / blockBytes));
    let allocated = 0;
    /** The one body in tiny chunks that is read; the others are given up meanwhile. */
    let fragmented: OpenBody | undefined;
    /** Joins the blocks of one body at a time; it has the size of the largest body so far. */
    let joined = Buffer.alloc(0);
    let isSweeping = false;

    const release = (body: OpenBody): void => {
        if (open.delete(body)) {
            free.push(...body.blocks.splice(0));
            fragmented = fragmented === body ? undefined : fragmented;
        }
    };

    /** Time until a body under way has ended or is given up, which makes room for the next. */
    const retryAfterMs = (): number => {
        const nowMs = clock.monotonicMs();
        let soonestMs = Infinity;
        for (const { deadlineAtMs } of open) {
            soonestMs = Math.min(soonestMs, deadlineAtMs - nowMs);
        }
        return Number.isFinite(soonestMs) ? Math.max(1, soonestMs) : 1;
    };

    const giveUp = (body: OpenBody, reason: BodyRefusal): void => {
        release(body);
        onRefused?.(reason);
        body.onGivenUp(errorOf({ ...refusals[reason], retryAfterMs: retryAfterMs() }));
    };

    /** The body that occupies most bytes for longest since its last chunk. */
    const leastProgressing = (): OpenBody | undefined => {
        const nowMs = clock.monotonicMs();
        let found: OpenBody | undefined;
        let mostByteMs = -1;
        for (const body of open) {
            const byteMs = body.blocks.length * (nowMs - body.progressAtMs + 1);
            if (byteMs > mostByteMs) {
                found = body;
                mostByteMs = byteMs;
            }
        }
        return found;
    };

    const takeBlock = (): Buffer | undefined => {
        const block = free.pop();
        if (block !== undefined || allocated === blockCount) {
            return block;
        }
        allocated += 1;
        return Buffer.allocUnsafeSlow(blockBytes);
    };

    /** Takes a block, from other bodies if there is no free one; undefined if `body` itself is given up for it. */
    const blockFor = (body: OpenBody): Buffer | undefined => {
        let block = takeBlock();
        while (block === undefined && open.has(body)) {
            giveUp(leastProgressing() ?? body, "memory");
            block = takeBlock();
        }
        if (block !== undefined && !open.has(body)) {
            free.push(block);
            return undefined;
        }
        return block;
    };

    const isFragmented = ({ chunks, receivedBytes }: OpenBody): boolean =>
        chunks > maxFragments && receivedBytes < chunks * fragmentBytes;

    const copy = (body: OpenBody, chunk: Uint8Array): void => {
        let copied = 0;
        while (copied < chunk.length) {
            const offset = body.receivedBytes % blockBytes;
            const block = offset === 0 ? blockFor(body) : body.blocks.at(-1);
            if (block === undefined) {
                return;
            }
            if (offset === 0) {
                body.blocks.push(block);
            }
            const part = chunk.subarray(copied, copied + blockBytes - offset);
            block.set(part, offset);
            copied += part.length;
            body.receivedBytes += part.length;
        }
    };

    const append = (body: OpenBody, chunk: Uint8Array): void => {
        if (!open.has(body)) {
            return;
        }
        body.chunks += 1;
        body.progressAtMs = clock.monotonicMs();
        if (body.receivedBytes + chunk.length > body.maxBytes) {
            release(body);
            body.onGivenUp(bodyTooLarge(body.maxBytes));
            return;
        }
        if (isFragmented(body)) {
            if (fragmented !== undefined && fragmented !== body) {
                giveUp(body, "fragments");
                return;
            }
            fragmented = body;
        }
        copy(body, chunk);
    };

    const textOf = ({ blocks, receivedBytes }: OpenBody): string => {
        const [first] = blocks;
        if (first === undefined || blocks.length === 1) {
            return first?.toString("utf8", 0, receivedBytes) ?? "";
        }
        if (joined.length < receivedBytes) {
            joined = Buffer.allocUnsafeSlow(blocks.length * blockBytes);
        }
        for (const [index, block] of blocks.entries()) {
            joined.set(block, index * blockBytes);
        }
        return joined.toString("utf8", 0, receivedBytes);
    };

    const giveUpLate = (): void => {
        const nowMs = clock.monotonicMs();
        for (const body of [...open]) {
            if (nowMs >= body.deadlineAtMs) {
                giveUp(body, "deadline");
            }
        }
        isSweeping = false;
        scheduleSweep();
    };

    const scheduleSweep = (): void => {
        if (!isSweeping && open.size > 0) {
            isSweeping = true;
            clock.setTimer(sweepMs, giveUpLate);
        }
    };

    return {
        open: options => {
            if (options.maxBytes < 0 || !(options.timeoutMs > 0)) {
                return die("invalid", "a body needs a size limit of at least 0 bytes and a time limit above 0 ms");
            }
            const nowMs = clock.monotonicMs();
            const body: OpenBody = {
                ...options,
                blocks: [],
                deadlineAtMs: nowMs + options.timeoutMs,
                receivedBytes: 0,
                chunks: 0,
                progressAtMs: nowMs,
            };
            open.add(body);
            scheduleSweep();
            return {
                append: chunk => append(body, chunk),
                text: () => textOf(body),
                release: () => release(body),
            };
        },
        stop: () => {
            for (const body of [...open]) {
                giveUp(body, "stopping");
            }
        },
        usedBytes: () => (allocated - free.length) * blockBytes,
    };
};
