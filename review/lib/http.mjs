/** Small helpers for the stand-ins: an HTTP/1.1 server for JSON bodies, and a client that reports what happened to a request. */

import { Agent, createServer, request as openRequest } from "node:http";

export const sleep = ms =>
    new Promise(resolve => {
        setTimeout(resolve, ms);
    });

const readBody = stream =>
    new Promise((resolve, reject) => {
        const chunks = [];
        stream.on("data", chunk => chunks.push(chunk));
        stream.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")));
        stream.on("error", reject);
    });

/**
 * Starts a server; `handle` gets method, URL, headers, body and response, and returns `{ status, body }`, or undefined where no answer
 * is sent. `stop()` resets all connections, as the end of a process does.
 */
export const serveJson = async (host, port, handle) => {
    const sockets = new Set();
    const server = createServer(async (request, response) => {
        try {
            const text = await readBody(request);
            const answer = await handle({
                method: request.method,
                url: new URL(request.url, "http://127.0.0.1"),
                headers: request.headers,
                body: text === "" ? undefined : JSON.parse(text),
                response,
            });
            if (answer === undefined || response.destroyed) {
                return;
            }
            const body = answer.body === undefined ? "" : JSON.stringify(answer.body);
            response.writeHead(answer.status, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
            });
            response.end(body);
        }
        catch {
            response.destroy();
        }
    });
    server.keepAliveTimeout = 300_000;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    return {
        port: server.address().port,
        stop: () => {
            server.close();
            for (const socket of sockets) {
                socket.resetAndDestroy();
            }
        },
    };
};

/** Sends one request over a connection of its own; `status` is 0 where no whole answer came, and `reason` says why. */
export const send = (method, { host, port, path, headers = {}, body, timeoutMs }) =>
    new Promise(resolve => {
        const text = body === undefined ? undefined : JSON.stringify(body);
        const agent = new Agent({ keepAlive: false });
        const startedAtMs = performance.now();
        let timer;
        const finish = result => {
            clearTimeout(timer);
            resolve({ tookMs: Math.round(performance.now() - startedAtMs), ...result });
        };
        const request = openRequest({
            host,
            port,
            path,
            method,
            agent,
            headers: {
                ...headers,
                ...text === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(text) },
            },
        }, async response => {
            try {
                const answer = await readBody(response);
                finish({ status: response.statusCode, body: answer === "" ? undefined : JSON.parse(answer) });
            }
            catch (error) {
                finish({ status: 0, reason: String(error.code ?? error.message) });
            }
        });
        timer = setTimeout(() => {
            finish({ status: 0, reason: "timeout" });
            request.destroy();
        }, timeoutMs);
        request.on("error", error => finish({ status: 0, reason: String(error.code ?? error.message) }));
        request.end(text);
    });
