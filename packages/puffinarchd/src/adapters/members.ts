/**
 * Calls between the daemons of a cell: tRPC procedures that plain JSON requests invoke directly. tRPC's own HTTP adapter and
 * link would take 0.97 ms of processor time for each call instead of 0.15 ms, and every daemon pings the owner of its shard
 * five times a second.
 */

import { initTRPC } from "@trpc/server";
import type { FastifyInstance } from "fastify";
import {
    die,
    errorResponses,
    type Failure,
    failureOf,
    type MemberCallName,
    type MemberHandlers,
    type MemberPort,
    type Meter,
} from "puffinarch";
import { createHttpClient } from "./http.js";

/** Path prefix of calls between the daemons of a cell. */
const memberPath = "/member";

interface MemberContext {
    readonly handlers: MemberHandlers;
}

const trpc = initTRPC.context<MemberContext>().create();

const passThrough = (input: unknown): unknown => input;

const procedureOf = (name: MemberCallName) =>
    trpc.procedure.input(passThrough).mutation(async ({ ctx, input }) =>
        await ctx.handlers[name](input as never) as unknown
    );

const callNames: readonly MemberCallName[] = [
    "ping",
    "submit",
    "jobState",
    "cancelJob",
    "advise",
    "configuration",
    "handOver",
];

const memberRouter = trpc.router(Object.fromEntries(callNames.map(name => [name, procedureOf(name)])));

/** A `MemberPort` over HTTP; `close` closes its connections. */
export interface HttpMembers extends MemberPort {
    close(): Promise<void>;
}

/** How long an idle connection is kept; a new handshake costs more than an open socket. */
const keepAliveMs = 60_000;
/** A peer on the same network that accepts no connection within this time is gone or cut off. */
const connectTimeoutMs = 400;
const connectionsPerPeer = 8;
/** A busy owner answers within a few seconds; a peer that has gone answers nothing at all. */
const lateAnswerMs = 3_000;
/** Upper limit of every call; each call sets its own limit. */
const callTimeoutMs = 30_000;
const okStatus = 200;

/** Returns the error that a handler threw, without the error that tRPC wraps around it. */
const causeOf = (error: unknown): unknown =>
    error instanceof Error && error.name === "TRPCError" && error.cause !== undefined ? error.cause : error;

/**
 * Registers the routes that answer calls of the other daemons.
 *
 * @example
 * registerMembers(fastify, member.handlers);
 */
export const registerMembers = (fastify: FastifyInstance, handlers: MemberHandlers): void => {
    const procedures = memberRouter.createCaller({ handlers }) as unknown as Record<
        string,
        (input: unknown) => Promise<unknown>
    >;
    for (const name of callNames) {
        fastify.post(`${memberPath}/${name}`, async (request, reply) => {
            try {
                return await procedures[name]?.(request.body);
            }
            catch (error) {
                const failure = failureOf(causeOf(error));
                return reply.code(errorResponses[failure.kind].httpStatus).send(failure);
            }
        });
    }
};

/**
 * Creates the client for calls to the other daemons of a cell.
 *
 * @example
 * const members = createHttpMembers(meter);
 * await members.call("http://127.0.0.1:7100", "ping", { from: "entry-1" }, 400);
 */
export const createHttpMembers = (meter: Meter): HttpMembers => {
    const http = createHttpClient({
        timeoutMs: callTimeoutMs,
        connectionsPerHost: connectionsPerPeer,
        keepAliveMs,
        connectTimeoutMs,
        lateAnswerMs,
        meter,
        purpose: "members",
    });
    return {
        call: async (address, name, input, timeoutMs, longestMs) => {
            meter.count("memberCalls");
            const result = await http.call<Failure | undefined>("POST", `${address}${memberPath}/${name}`, input, {
                timeoutMs,
                longestMs,
            });
            if (result.kind !== "answered") {
                return result.kind === "notDelivered"
                    ? die("unavailable", `${address} cannot be reached: ${result.reason}`)
                    : die("mayHaveRun", `${address} did not answer: ${result.reason}`);
            }
            if (result.status === okStatus) {
                return result.body as never;
            }
            if (result.body?.kind === undefined) {
                // The peer's server refuses requests by itself while it closes; any other answer says nothing about the call.
                const kind = result.status === errorResponses.unavailable.httpStatus ? "unavailable" : "mayHaveRun";
                return die(kind, `${address} answered with status ${result.status}`);
            }
            return die(result.body.kind, result.body.message, result.body);
        },
        close: () => http.close(),
    };
};
