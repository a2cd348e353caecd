/**
 * Proxy for callers' requests to services: sends `/services/NAME/...` to an upstream of that service, or to a peer that owns
 * one with a free slot. A request that fails is answered with `notRun` only if it surely did not run, and with `mayHaveRun`
 * otherwise.
 */

import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import {
    type Clock,
    die,
    type ErrorKind,
    errorResponses,
    type Failure,
    failureOf,
    type Meter,
    type Node,
    type RequestClaim,
    type Route,
    sleep,
} from "puffinarch";
import { Agent, type Dispatcher, request as undiciRequest } from "undici";
import { failureKindOf } from "./adapters/http.js";

/** Headers that identify a request and classify its answer. */
export const requestHeaders = {
    requestId: "x-request-id",
    idempotent: "x-idempotent",
    timeoutMs: "x-timeout-ms",
    caller: "x-caller",
    forwarded: "x-puffinarch-forwarded",
    answer: "x-puffinarch-answer",
    upstream: "x-puffinarch-upstream",
    notRun: "x-not-run",
    upstreamLeaving: "x-upstream-leaving",
    retryAfterMs: "x-retry-after-ms",
} as const;

/** Dependencies and limits of the proxy. */
export interface ProxyOptions {
    readonly node: Node;
    readonly clock: Clock;
    readonly meter: Meter;
    /** Time limit of a request that sets none. */
    readonly requestTimeoutMs: number;
    readonly maxBodyBytes: number;
    readonly connectionsPerUpstream: number;
}

/** A registered proxy. */
export interface Proxy {
    /** Number of requests in flight. */
    inFlight(): number;
    /** Resolves once no request is in flight, or at the deadline. */
    drain(timeoutMs: number): Promise<void>;
    /** Closes the connections to upstreams and peers. */
    close(): Promise<void>;
}

interface CallerRequest {
    readonly service: string;
    readonly path: string;
    readonly method: Dispatcher.HttpMethod;
    readonly requestId: string;
    readonly caller: string;
    readonly idempotent: boolean;
    /** True if this daemon generated the id. It is unique then, so that no claim on it is needed. */
    readonly claimed: boolean;
    /** True if another daemon forwarded the request. */
    readonly forwarded: boolean;
    /** Reading of the monotonic clock. */
    readonly deadlineAtMs: number;
    readonly body: Buffer | undefined;
    readonly contentType: string | undefined;
}

interface UpstreamAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Buffer;
}

/** Result of one try. After `notRun` any request may be tried again, after `mayHaveRun` only an idempotent one. */
type TryResult = { readonly kind: "answered"; readonly answer: UpstreamAnswer; } | {
    readonly kind: "notRun" | "mayHaveRun";
    readonly reason: string;
};

const idempotentMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);
/** Failures of requests that surely did not run; the claim on the request's id is released after them. */
const notRunKinds: ReadonlySet<ErrorKind> = new Set(["notRun", "overloaded", "invalid"]);
const drainPollMs = 25;
const maxTries = 3;
const defaultRetryAfterMs = 1_000;
const maxTimeoutMs = 600_000;
/** Headers of an answer that are passed on to the caller. */
const relayedHeaders = [
    "content-type",
    "x-upstream-leaving",
    requestHeaders.upstream,
    requestHeaders.answer,
    requestHeaders.retryAfterMs,
] as const;

const headerOf = (request: FastifyRequest, name: string): string | undefined => {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
};

const timeoutOf = (request: FastifyRequest, defaultMs: number): number => {
    const text = headerOf(request, requestHeaders.timeoutMs);
    if (text === undefined) {
        return defaultMs;
    }
    const timeoutMs = Number(text);
    if (!Number.isInteger(timeoutMs) || timeoutMs < 1 || timeoutMs > maxTimeoutMs) {
        const violation = {
            field: requestHeaders.timeoutMs,
            value: text,
            allowed: `a whole number from 1 to ${maxTimeoutMs}`,
        };
        return die("invalid", `${violation.field} is ${text}; allowed: ${violation.allowed}`, {
            violations: [violation],
        });
    }
    return timeoutMs;
};

const idempotentOf = (request: FastifyRequest): boolean => {
    const text = headerOf(request, requestHeaders.idempotent);
    if (text === undefined) {
        return idempotentMethods.has(request.method);
    }
    if (text !== "true" && text !== "false") {
        const violation = { field: requestHeaders.idempotent, value: text, allowed: "true or false" };
        return die("invalid", `${violation.field} is ${text}; allowed: ${violation.allowed}`, {
            violations: [violation],
        });
    }
    return text === "true";
};

/**
 * Adds the route for callers' requests to a Fastify instance.
 *
 * @example
 * const proxy = registerProxy(fastify, options);
 */
export const registerProxy = (fastify: FastifyInstance, options: ProxyOptions): Proxy => {
    const { node, clock, meter } = options;
    const dispatcher = new Agent({ connections: options.connectionsPerUpstream, pipelining: 1 });
    const peerDispatcher = new Agent({ pipelining: 1 });
    let inFlight = 0;
    let requestCount = 0;

    const parse = (request: FastifyRequest<{ Params: { service: string; "*": string; }; }>): CallerRequest => {
        requestCount += 1;
        const givenId = headerOf(request, requestHeaders.requestId);
        const query = request.url.indexOf("?");
        return {
            service: request.params.service,
            path: `/${request.params["*"]}${query < 0 ? "" : request.url.slice(query)}`,
            method: request.method as Dispatcher.HttpMethod,
            requestId: givenId ?? `${node.sessionId()}.r${requestCount}`,
            caller: headerOf(request, requestHeaders.caller) ?? request.ip,
            idempotent: idempotentOf(request),
            claimed: givenId === undefined,
            forwarded: headerOf(request, requestHeaders.forwarded) !== undefined,
            deadlineAtMs: clock.monotonicMs() + timeoutOf(request, options.requestTimeoutMs),
            body: Buffer.isBuffer(request.body) ? request.body : undefined,
            contentType: headerOf(request, "content-type"),
        };
    };

    const forwardHeaders = (request: CallerRequest, remainingMs: number): Record<string, string> => ({
        [requestHeaders.requestId]: request.requestId,
        [requestHeaders.idempotent]: String(request.idempotent),
        [requestHeaders.timeoutMs]: String(Math.max(1, Math.ceil(remainingMs))),
        [requestHeaders.caller]: request.caller,
        ...request.contentType === undefined ? {} : { "content-type": request.contentType },
    });

    const send = async (
        url: string,
        via: Dispatcher,
        request: CallerRequest,
        extra: Readonly<Record<string, string>>,
    ): Promise<TryResult> => {
        const remainingMs = request.deadlineAtMs - clock.monotonicMs();
        if (remainingMs <= 0) {
            return { kind: "notRun", reason: "the deadline passed before the request was sent" };
        }
        try {
            const answer = await undiciRequest(url, {
                method: request.method,
                dispatcher: via,
                headers: { ...forwardHeaders(request, remainingMs), ...extra },
                body: request.body,
                signal: AbortSignal.timeout(Math.ceil(remainingMs)),
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            const body = Buffer.from(await answer.body.arrayBuffer());
            return { kind: "answered", answer: { status: answer.statusCode, headers: answer.headers, body } };
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            return { kind: failureKindOf(error) === "notDelivered" ? "notRun" : "mayHaveRun", reason };
        }
    };

    const recordRoute = (request: CallerRequest, route: Route, startedAtMs: number): void => {
        const toSlot = route.kind === "slot";
        node.recordDecision({
            atMs: clock.nowMs(),
            daemonId: node.sessionId(),
            kind: "routing",
            subject: request.requestId,
            requester: request.caller,
            chosen: toSlot ? route.slot.upstreamId : route.sessionId,
            reason: toSlot ? "this daemon owns a free slot" : "a peer owns a free slot",
            policy: request.service,
            alternatives: toSlot ? route.slot.alternatives : route.alternatives,
            durationUs: (clock.monotonicMs() - startedAtMs) * 1_000,
        });
    };

    const tryUpstream = async (
        request: CallerRequest,
        route: Extract<Route, { kind: "slot"; }>,
    ): Promise<TryResult> => {
        const { slot } = route;
        try {
            const result = await send(`${slot.address}${request.path}`, dispatcher, request, {});
            if (result.kind !== "answered") {
                if (result.kind === "notRun") {
                    slot.setUpstreamState("unreachable");
                }
                return result;
            }
            if (result.answer.headers[requestHeaders.upstreamLeaving] !== undefined) {
                slot.setUpstreamState("leaving");
            }
            if (result.answer.headers[requestHeaders.notRun] !== undefined) {
                return { kind: "notRun", reason: "the upstream refused the request" };
            }
            const headers = {
                ...result.answer.headers,
                [requestHeaders.upstream]: slot.upstreamId,
                [requestHeaders.answer]: "completed",
            };
            return { kind: "answered", answer: { ...result.answer, headers } };
        }
        finally {
            slot.release();
        }
    };

    const tryPeer = async (request: CallerRequest, route: Extract<Route, { kind: "peer"; }>): Promise<TryResult> => {
        try {
            const url = `${route.address}/services/${encodeURIComponent(request.service)}${request.path}`;
            const result = await send(url, peerDispatcher, request, { [requestHeaders.forwarded]: node.sessionId() });
            if (result.kind !== "answered") {
                return result;
            }
            const outcome = result.answer.headers[requestHeaders.answer];
            if (outcome === "completed") {
                return result;
            }
            const notRun = outcome === "notRun" || outcome === "overloaded";
            return {
                kind: notRun ? "notRun" : "mayHaveRun",
                reason: `the peer ${route.sessionId} answered with ${String(outcome)}`,
            };
        }
        finally {
            route.done();
        }
    };

    const claim = async (request: CallerRequest): Promise<RequestClaim | undefined> => {
        if (request.idempotent || request.claimed || request.forwarded) {
            return undefined;
        }
        return await node.claims.claim(request.service, request.requestId)
            ?? die("mayHaveRun", `request ${request.requestId} was sent before; it may have run, at most once`);
    };

    const handle = async (request: CallerRequest): Promise<UpstreamAnswer> => {
        if (node.draining() && !request.forwarded) {
            die("notRun", "this daemon is shutting down", { retryAfterMs: defaultRetryAfterMs });
        }
        const requestClaim = await claim(request);
        try {
            return await tryRoutes(request);
        }
        catch (error) {
            if (notRunKinds.has(failureOf(error).kind)) {
                await requestClaim?.release();
            }
            throw error;
        }
    };

    const tryRoutes = async (request: CallerRequest): Promise<UpstreamAnswer> => {
        let reason = "";
        let mayHaveRun = false;
        for (let triesLeft = maxTries; triesLeft > 0; triesLeft -= 1) {
            const startedAtMs = clock.monotonicMs();
            const route = await node.router.route(request.service, request.forwarded, request.deadlineAtMs);
            recordRoute(request, route, startedAtMs);
            const result = route.kind === "slot" ? await tryUpstream(request, route) : await tryPeer(request, route);
            if (result.kind === "answered") {
                return result.answer;
            }
            reason = result.reason;
            mayHaveRun ||= result.kind === "mayHaveRun";
            if (mayHaveRun && !request.idempotent) {
                return die("mayHaveRun", `request ${request.requestId} was sent but not answered: ${reason}`);
            }
            if (clock.monotonicMs() >= request.deadlineAtMs) {
                break;
            }
            meter.count("requestRetries");
        }
        return die(mayHaveRun ? "mayHaveRun" : "notRun", `no upstream of ${request.service} answered: ${reason}`, {
            retryAfterMs: defaultRetryAfterMs,
        });
    };

    const sendFailure = (reply: FastifyReply, failure: Failure): FastifyReply => {
        meter.count(`requests.${failure.kind}`);
        return reply.code(errorResponses[failure.kind].httpStatus)
            .header(requestHeaders.answer, failure.kind)
            .header(requestHeaders.retryAfterMs, String(failure.retryAfterMs ?? 0))
            .send(failure);
    };

    const sendAnswer = (reply: FastifyReply, answer: UpstreamAnswer): FastifyReply => {
        for (const name of relayedHeaders) {
            const value = answer.headers[name];
            if (value !== undefined) {
                reply.header(name, value);
            }
        }
        return reply.code(answer.status).send(answer.body);
    };

    fastify.register(async scope => {
        scope.removeAllContentTypeParsers();
        scope.addContentTypeParser(
            "*",
            { parseAs: "buffer", bodyLimit: options.maxBodyBytes },
            (_request, body, done) => {
                done(null, body);
            },
        );
        scope.all<{ Params: { service: string; "*": string; }; }>("/services/:service/*", async (request, reply) => {
            inFlight += 1;
            const startedAtMs = clock.monotonicMs();
            let requestId = headerOf(request, requestHeaders.requestId) ?? "";
            try {
                const parsed = parse(request);
                requestId = parsed.requestId;
                reply.header(requestHeaders.requestId, requestId);
                const answer = await handle(parsed);
                meter.count("requestsAnswered");
                meter.record("requestMs", clock.monotonicMs() - startedAtMs);
                return sendAnswer(reply, answer);
            }
            catch (error) {
                return sendFailure(reply, failureOf(error));
            }
            finally {
                inFlight -= 1;
            }
        });
    });

    return {
        inFlight: () => inFlight,
        drain: async timeoutMs => {
            const deadlineAtMs = clock.monotonicMs() + timeoutMs;
            while (inFlight > 0 && clock.monotonicMs() < deadlineAtMs) {
                await sleep(clock, drainPollMs);
            }
        },
        close: async () => {
            await dispatcher.close();
            await peerDispatcher.close();
        },
    };
};
