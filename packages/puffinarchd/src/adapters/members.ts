/** Calls between the daemons of a cell over tRPC. */

import { createTRPCClient, httpLink, type TRPCClient, TRPCClientError } from "@trpc/client";
import { initTRPC, TRPCError } from "@trpc/server";
import { die, type Failure, failureOf, type MemberCallName, type MemberHandlers, type MemberPort, type Meter } from "puffinarch";
import { Agent, request } from "undici";
import { failureKindOf } from "./http.js";

/** Below this path a daemon answers the other daemons of its cell. */
export const memberPath = "/member";

interface MemberContext {
    readonly handlers: MemberHandlers;
}

const trpc = initTRPC.context<MemberContext>().create({
    errorFormatter: ({ shape, error }) => ({
        ...shape,
        data: { ...shape.data, failure: failureOf(error.cause ?? error) },
    }),
});

const passThrough = (input: unknown): unknown => input;

const procedureOf = (name: MemberCallName) =>
    trpc.procedure.input(passThrough).mutation(async ({ ctx, input }) => {
        try {
            return await ctx.handlers[name](input as never) as unknown;
        }
        catch (error) {
            throw new TRPCError({ code: "INTERNAL_SERVER_ERROR", cause: error });
        }
    });

const callNames: readonly MemberCallName[] = [
    "ping",
    "submit",
    "jobState",
    "cancelJob",
    "advise",
    "configuration",
    "handOver",
];

/** One procedure for each call of `MemberCalls`. */
export const memberRouter = trpc.router(Object.fromEntries(callNames.map(name => [name, procedureOf(name)])));

type MemberRouter = typeof memberRouter;

/** Calls to members, with their connections. */
export interface TrpcMembers extends MemberPort {
    close(): Promise<void>;
}


/** An idle connection is kept this long; a handshake costs more than the socket. */
const keepAliveMs = 60_000;
/** A peer on the same network that does not accept by then is gone or cut off. */
const connectTimeoutMs = 400;
const connectionsPerPeer = 8;

const rethrow = (address: string, error: unknown): never => {
    if (error instanceof TRPCClientError) {
        const failure = (error.data as { readonly failure?: Failure; } | undefined)?.failure;
        if (failure !== undefined) {
            return die(failure.kind, failure.message, failure);
        }
    }
    const cause = error instanceof Error && error.cause !== undefined ? error.cause : error;
    const message = cause instanceof Error ? cause.message : String(cause);
    return failureKindOf(cause) === "notDelivered"
        ? die("unavailable", `${address} cannot be reached: ${message}`)
        : die("mayHaveRun", `${address} gave no answer: ${message}`);
};

/**
 * Makes the calls to the other daemons of a cell.
 *
 * @example
 * const members = createTrpcMembers(meter);
 * await members.call("http://127.0.0.1:7100", "ping", { from: "entry-1" }, 400);
 */
export const createTrpcMembers = (meter: Meter): TrpcMembers => {
    const dispatcher = new Agent({
        connections: connectionsPerPeer,
        keepAliveTimeout: keepAliveMs,
        keepAliveMaxTimeout: keepAliveMs,
        connect: { timeout: connectTimeoutMs },
    });
    const clients = new Map<string, TRPCClient<MemberRouter>>();

    /** Undici's plain request; its fetch costs several times the processor time. */
    const send = async (url: unknown, init: unknown): Promise<{ json(): Promise<unknown>; }> => {
        const { body, method, headers, signal } = init as {
            readonly body?: string;
            readonly method?: "POST" | "GET";
            readonly headers?: Record<string, string>;
            readonly signal?: AbortSignal;
        };
        meter.count("memberCalls");
        const answer = await request(String(url), { method: method ?? "POST", headers, body, signal, dispatcher });
        return { json: () => answer.body.json() };
    };

    const clientOf = (address: string): TRPCClient<MemberRouter> => {
        const known = clients.get(address);
        if (known !== undefined) {
            return known;
        }
        const client = createTRPCClient<MemberRouter>({
            links: [httpLink({ url: `${address}${memberPath}`, fetch: send as unknown as typeof fetch })],
        });
        clients.set(address, client);
        return client;
    };

    return {
        call: async (address, name, input, timeoutMs) => {
            const abort = new AbortController();
            const timer = setTimeout(() => abort.abort(), timeoutMs);
            try {
                const procedures = clientOf(address) as unknown as Record<
                    string,
                    { mutate(input: unknown, options: { readonly signal: AbortSignal; }): Promise<unknown>; }
                >;
                return await procedures[name]?.mutate(input, { signal: abort.signal }) as never;
            }
            catch (error) {
                return rethrow(address, error);
            }
            finally {
                clearTimeout(timer);
            }
        },
        close: () => dispatcher.close(),
    };
};
