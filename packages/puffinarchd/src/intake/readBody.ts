/** Reads the body of a request into shared buffers, within a size and a time limit. */

import type { IncomingMessage } from "node:http";
import { errorOf } from "puffinarch";
import { type BodyBuffers, type BodyOptions, bodyTooLarge } from "./bodyBuffers.js";

/** Limits of one body. */
export type BodyLimits = Pick<BodyOptions, "maxBytes" | "timeoutMs">;

/**
 * Resolves with the text of a body once it is whole. Rejects with status 413 for one that is larger than `maxBytes`, at once where its
 * length is announced; with `overloaded` or `notRun` for one that is given up.
 *
 * @example
 * const text = await readBody(request.raw, buffers, { maxBytes: 262_144, timeoutMs: 3_000 });
 */
export const readBody = (request: IncomingMessage, buffers: BodyBuffers, limits: BodyLimits): Promise<string> =>
    new Promise((resolve, reject) => {
        if (Number(request.headers["content-length"]) > limits.maxBytes) {
            reject(bodyTooLarge(limits.maxBytes));
            return;
        }
        const onData = (chunk: Buffer): void => body.append(chunk);
        const detach = (): void => {
            request.off("data", onData).off("end", onEnd).off("close", onClose);
        };
        const onEnd = (): void => {
            detach();
            const text = body.text();
            body.release();
            resolve(text);
        };
        const onClose = (): void => {
            detach();
            body.release();
            reject(errorOf({ kind: "notRun", message: "the connection was closed before the body had arrived" }));
        };
        const body = buffers.open({
            ...limits,
            onGivenUp: error => {
                detach();
                // The answer closes the connection; what arrives until then would be parsed for nothing.
                request.socket.pause();
                reject(error);
            },
        });
        request.on("data", onData).on("end", onEnd).on("close", onClose);
    });
