/** Calls between daemons over tRPC. */

import { createTRPCClient, httpLink, type TRPCClient, TRPCClientError } from "@trpc/client";
import { initTRPC, TRPCError } from "@trpc/server";
import { die, type Failure, failureOf, type Meter, type Node, type PeerCallName, type PeerPort } from "puffinarch";
import { Agent, fetch as undiciFetch, type RequestInit } from "undici";
import { failureKindOf } from "./http.js";

/** Path prefix of calls between daemons. */
export const peerPath = "/peer";

interface PeerContext {
    readonly node: Node;
}

const trpc = initTRPC.context<PeerContext>().create({
    errorFormatter: ({ shape, error }) => ({
        ...shape,
        data: { ...shape.data, failure: failureOf(error.cause ?? error) },
    }),
});

const passThrough = (input: unknown): unknown => input;

const procedureOf = (name: PeerCallName) =>
    trpc.procedure.input(passThrough).mutation(async ({ ctx, input }) => {
        try {
            return await ctx.node.handlers[name](input as never) as unknown;
        }
        catch (error) {
            throw new TRPCError({ code: "INTERNAL_SERVER_ERROR", cause: error });
        }
    });

const callNames: readonly PeerCallName[] = [
    "place",
    "start",
    "release",
    "stop",
    "attemptStates",
    "report",
    "gossip",
    "configuration",
    "job",
    "cancel",
    "jobs",
    "task",
    "cancelTask",
    "attemptsOfHome",
    "tasks",
    "decisions",
    "workers",
    "upstreams",
    "daemon",
    "nodeReport",
    "drain",
];

/** One procedure for each call of `PeerCalls`. */
export const peerRouter = trpc.router(Object.fromEntries(callNames.map(name => [name, procedureOf(name)])));
/** Type of the router, for clients. */
export type PeerRouter = typeof peerRouter;

/** A `PeerPort` over tRPC; `close` closes its connections. */
export interface TrpcPeers extends PeerPort {
    close(): Promise<void>;
}

/** Returns the innermost cause of an error, which has the code of a failed connection. */
const rootCauseOf = (error: unknown): unknown => {
    let cause = error;
    while (cause instanceof Error && cause.cause !== undefined) {
        cause = cause.cause;
    }
    return cause;
};

/** Throws the peer's own failure, or one that states whether the call may have run there. */
const rethrow = (address: string, error: unknown): never => {
    if (error instanceof TRPCClientError) {
        const failure = (error.data as { readonly failure?: Failure; } | undefined)?.failure;
        if (failure !== undefined) {
            return die(failure.kind, failure.message, failure);
        }
    }
    return failureKindOf(rootCauseOf(error)) === "notDelivered"
        ? die("unavailable", `the peer at ${address} cannot be reached`)
        : die("mayHaveRun", `the peer at ${address} did not answer`);
};

/**
 * Creates the client for calls to peers, with up to four connections to each peer.
 *
 * @example
 * const peers = createTrpcPeers({ timeoutMs: 2_000, meter });
 * await peers.call("http://127.0.0.1:7100", "daemon", { detail: false });
 */
export const createTrpcPeers = (
    { timeoutMs, meter }: { readonly timeoutMs: number; readonly meter: Meter; },
): TrpcPeers => {
    const dispatcher = new Agent({ connections: 4, connect: { timeout: timeoutMs } });
    const clients = new Map<string, TRPCClient<PeerRouter>>();

    const fetchWithLimit = async (url: unknown, init: unknown): Promise<Response> => {
        const request = init as RequestInit;
        const answer = await undiciFetch(String(url), {
            ...request,
            dispatcher,
            signal: AbortSignal.timeout(timeoutMs),
        });
        const sentBytes = typeof request.body === "string" ? request.body.length : 0;
        meter.count("peerMessages");
        meter.count("peerBytes", sentBytes + Number(answer.headers.get("content-length") ?? 0));
        return answer as unknown as Response;
    };

    const clientOf = (address: string): TRPCClient<PeerRouter> => {
        const known = clients.get(address);
        if (known !== undefined) {
            return known;
        }
        const client = createTRPCClient<PeerRouter>({
            links: [httpLink({ url: `${address}${peerPath}`, fetch: fetchWithLimit as typeof fetch })],
        });
        clients.set(address, client);
        return client;
    };

    return {
        call: async (address, name, input) => {
            try {
                const procedures = clientOf(address) as unknown as Record<
                    string,
                    { mutate(input: unknown): Promise<unknown>; }
                >;
                return await procedures[name]?.mutate(input) as never;
            }
            catch (error) {
                return rethrow(address, error);
            }
        },
        close: () => dispatcher.close(),
    };
};
