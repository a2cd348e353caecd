/** Passes calls on to the stand-ins behind a server of the soak's network. */

import { request as openRequest } from "node:http";

const jsonHeaders = { "content-type": "application/json" };

/** Passes a call on and returns its answer, or undefined where none came. */
export const passOn = (agent, { host, port, method, path, headers, body }) =>
    new Promise(resolve => {
        const request = openRequest({ agent, host, port, method, path, headers: { ...jsonHeaders, ...headers } });
        request.on("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", () => resolve(undefined));
            response.on("end", () => {
                const text = Buffer.concat(chunks).toString("utf8");
                resolve({ status: response.statusCode, body: text === "" ? undefined : JSON.parse(text) });
            });
        });
        request.on("error", () => resolve(undefined));
        request.end(body === undefined ? undefined : JSON.stringify(body));
    });
