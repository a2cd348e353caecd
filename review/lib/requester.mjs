/**
 * Stand-in for a requester: hands submissions in and asks for their states, as the pages say. After no answer, 502 or 504 the same ID
 * comes again, at another node; after 429 or 503 as well, up to the requester's number of retries.
 */

import { randomBytes } from "node:crypto";
import { send, sleep } from "./http.mjs";

const timeBudgetMs = 3_000;
const maxRetries = 4;
const retryPauseMs = 300;

export const newId = () => randomBytes(8).toString("hex");

export const createRequester = ({ rotation, front, host, prefix, record }) => {
    const pick = except => {
        const nodes = rotation();
        const others = nodes.filter(node => node !== except);
        const from = others.length === 0 ? nodes : others;
        return from[Math.floor(Math.random() * from.length)];
    };
    const call = (node, method, id, body) =>
        send(method, {
            host: node.ip,
            port: front,
            path: prefix + id,
            headers: { host, "x-request-deadline": String(timeBudgetMs) },
            body,
            timeoutMs: timeBudgetMs,
        });

    return {
        /** Returns `accepted` (2xx), `refused` (every attempt was rejected), or `unknown`. */
        submit: async (id, body, label) => {
            let node;
            let allRejected = true;
            for (let attempt = 0; attempt <= maxRetries; attempt += 1) {
                node = pick(node);
                const { status, reason, tookMs } = await call(node, "POST", id, body);
                record(`POST ${id} ${label} at ${node.node}: ${status === 0 ? reason : status} after ${tookMs} ms`);
                if (status >= 200 && status < 300) {
                    return "accepted";
                }
                allRejected &&= status === 429 || status === 503 || status === 404;
                if (status === 400 || status === 404) {
                    return "refused";
                }
                await sleep(retryPauseMs);
            }
            return allRejected ? "refused" : "unknown";
        },
        /** Returns the state, `gone` for 410, or `noAnswer` where no attempt was answered with either. */
        state: async (id, attempts = 3) => {
            let node;
            let last = "";
            for (let attempt = 0; attempt < attempts; attempt += 1) {
                node = pick(node);
                const { status, body, reason } = await call(node, "GET", id);
                if (status === 200) {
                    return { state: body.state, body };
                }
                if (status === 410) {
                    return { state: "gone" };
                }
                last = status === 0 ? reason : String(status);
                await sleep(retryPauseMs);
            }
            return { state: "noAnswer", last };
        },
    };
};
