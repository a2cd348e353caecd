/** Further ports of a server. */

import { once } from "node:events";
import type { Server } from "node:http";
import { createServer, type Server as Listener } from "node:net";

/**
 * Accepts the connections of an HTTP server at a further port as well; closing the listener leaves its connections to the server. A
 * listener accepts one connection in each turn of the event loop, so that several ports are reached sooner while the process is busy.
 *
 * @example
 * const listener = await listenAlso(fastify.server, { host: "127.0.0.1", port: 7721 });
 */
export const listenAlso = async (
    server: Server,
    { host, port }: { readonly host: string; readonly port: number; },
): Promise<Listener> => {
    const listener = createServer(socket => server.emit("connection", socket));
    listener.listen({ host, port });
    await once(listener, "listening");
    return listener;
};
