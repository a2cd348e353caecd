/** HTTP helpers of the stand-ins: servers on loopback addresses, and calls of clients. */
import { Agent, createServer, request as httpRequest } from "node:http";

export const sleep = delayMs => new Promise(resolve => setTimeout(resolve, delayMs));

export const readJson = async request => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? undefined : JSON.parse(text);
};

export const reply = (response, status, body) => {
    if (!response.destroyed) {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body));
    }
};

/** Listens on a free port of a loopback address, or on the given one. */
export const listen = async (host, handle, port = 0) => {
    const server = createServer((request, response) => {
        Promise.resolve(handle(request, response)).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 300_000;
    const sockets = new Set();
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    const { port: usedPort } = server.address();
    return {
        address: `${host}:${usedPort}`,
        port: usedPort,
        close: () => {
            server.close();
            for (const socket of sockets) {
                socket.destroy();
            }
        },
    };
};

const agent = new Agent({ keepAlive: false });

/** Sends a call of a client; resolves with the status and the body, or with status 0 where no whole answer came in time. */
export const send = (method, { host, port, path, headers = {}, body, timeoutMs = 3_000 }) =>
    new Promise(resolve => {
        const text = body === undefined ? "" : JSON.stringify(body);
        const request = httpRequest({
            agent,
            method,
            host,
            port,
            path,
            headers: {
                ...headers,
                ...body === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(text) },
            },
        }, async response => {
            try {
                const answer = await readJson(response);
                clearTimeout(timer);
                resolve({ status: response.statusCode, body: answer, headers: response.headers });
            }
            catch {
                resolve({ status: 0 });
            }
        });
        const timer = setTimeout(() => request.destroy(), timeoutMs);
        request.on("error", () => {
            clearTimeout(timer);
            resolve({ status: 0 });
        });
        request.end(text);
    });
