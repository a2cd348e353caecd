/**
 * Limits what connections of callers may occupy: their number, so that the process keeps descriptors for its own calls, and the requests
 * that one connection sends before their answers, which are handled one after the other.
 */

import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions } from "node:http";
import type { Socket } from "node:net";

/** Why a connection was closed. */
export const connectionRefusals = {
    /** There were too many, and this one was the least useful: it had sent no whole request, or had been idle for longest. */
    tooMany: "tooMany",
    /** It had sent too many requests in a row without waiting for their answers. */
    pipelined: "pipelined",
    /** The process stops, and no whole request had arrived. */
    stopping: "stopping",
} as const;
/** One of `connectionRefusals`. */
export type ConnectionRefusal = keyof typeof connectionRefusals;

/** Limits of the connections. */
export interface ConnectionGuardOptions {
    readonly maxConnections: number;
    /** Called for each connection that is closed. */
    readonly onClosed?: (reason: ConnectionRefusal) => void;
}

/** Timeouts and limits of the server; all in ms or bytes. */
export interface GuardedServerOptions extends Pick<ServerOptions, "maxHeaderSize" | "keepAliveTimeout"> {
    /** Limit of the time in which a whole request must arrive. */
    readonly requestTimeout: number;
}

/** A guard of the connections of one server. */
export interface ConnectionGuard {
    /** Creates the server whose connections are guarded. */
    createServer(handle: RequestListener, options: GuardedServerOptions): Server;
    /** Closes all connections without a whole request. */
    closeUnfinished(): void;
}

interface Connection {
    readonly socket: Socket;
    /** The request that is handled now. */
    current: IncomingMessage | undefined;
    /** Starts the requests that wait until the answer to the previous one is taken. */
    readonly waiting: (() => void)[];
}

/** Most requests that wait on one connection for the answer to the previous one. */
const maxWaiting = 8;

/**
 * Creates a guard without connections.
 *
 * @example
 * const guard = createConnectionGuard({ maxConnections: 1_000 });
 * const fastify = Fastify({ serverFactory: handle => guard.createServer(handle, { requestTimeout: 60_000 }) });
 */
export const createConnectionGuard = ({ maxConnections, onClosed }: ConnectionGuardOptions): ConnectionGuard => {
    const bySocket = new Map<Socket, Connection>();
    /** Connections that have sent no whole head yet, the oldest first. */
    const fresh = new Set<Connection>();
    /** Connections between two requests, those that have been idle for longest first. */
    const idle = new Set<Connection>();
    /** Connections with a request that is handled, which may not have arrived as a whole. */
    const busy = new Set<Connection>();

    const close = (connection: Connection, reason: ConnectionRefusal): void => {
        forget(connection);
        onClosed?.(reason);
        connection.socket.destroy();
    };

    const forget = (connection: Connection): void => {
        bySocket.delete(connection.socket);
        connection.waiting.length = 0;
        for (const group of [fresh, idle, busy]) {
            group.delete(connection);
        }
    };

    const firstUnfinished = (): Connection | undefined => {
        for (const connection of busy) {
            if (connection.current?.complete === false) {
                return connection;
            }
        }
        return undefined;
    };

    const leastUseful = (): Connection | undefined => {
        const [oldestFresh] = fresh;
        const [longestIdle] = idle;
        return oldestFresh ?? firstUnfinished() ?? longestIdle;
    };

    const accept = (socket: Socket): void => {
        const connection: Connection = { socket, current: undefined, waiting: [] };
        if (bySocket.size >= maxConnections) {
            const replaced = leastUseful();
            if (replaced === undefined) {
                close(connection, "tooMany");
                return;
            }
            close(replaced, "tooMany");
        }
        bySocket.set(socket, connection);
        fresh.add(connection);
        socket.once("close", () => forget(connection));
    };

    const begin = (connection: Connection, request: IncomingMessage): void => {
        connection.current = request;
        fresh.delete(connection);
        idle.delete(connection);
        busy.add(connection);
    };

    const end = (connection: Connection): void => {
        connection.current = undefined;
        busy.delete(connection);
        const next = connection.waiting.shift();
        if (next !== undefined) {
            next();
        }
        else if (bySocket.has(connection.socket)) {
            idle.add(connection);
        }
    };

    return {
        createServer: (handle, { requestTimeout, keepAliveTimeout, ...options }) => {
            const server = createServer({ ...options, requestTimeout }, (request, response) => {
                const connection = bySocket.get(request.socket);
                if (connection === undefined) {
                    // The connection was closed, and this request was read together with the one that ended it.
                    return;
                }
                const start = (): void => {
                    begin(connection, request);
                    response.once("close", () => end(connection));
                    handle(request, response);
                };
                if (connection.current === undefined) {
                    start();
                }
                else if (connection.waiting.length < maxWaiting) {
                    connection.waiting.push(start);
                }
                else {
                    close(connection, "pipelined");
                }
            });
            if (keepAliveTimeout !== undefined) {
                server.keepAliveTimeout = keepAliveTimeout;
                // Ends connections on which nothing moves, as one whose caller does not take its answers.
                server.setTimeout(Math.max(keepAliveTimeout, requestTimeout));
            }
            server.prependListener("connection", accept);
            return server;
        },
        closeUnfinished: () => {
            for (const connection of [...fresh, ...idle, ...busy]) {
                if (connection.current?.complete !== true) {
                    close(connection, "stopping");
                }
            }
        },
    };
};
