/** JSON over HTTP to the platform, workers and upstreams, with the outcome of a failed call told apart. */

import { die, type Meter } from "puffinarch";
import { Agent, type Dispatcher, request } from "undici";

/** How a call ended that brought no answer. */
export type CallFailure = "notDelivered" | "unknown";

/** An answer, or what is known without one. */
export type CallResult<T> =
    | { readonly kind: "answered"; readonly status: number; readonly body: T; }
    | { readonly kind: CallFailure; readonly reason: string; };

/** What one call may set. */
export interface HttpCallOptions {
    /** Limit of the whole call; the caller's own limits hold besides. */
    readonly timeoutMs?: number;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Connections to one kind of outside system. */
export interface HttpCaller {
    call<T>(
        method: "GET" | "POST" | "PUT" | "DELETE",
        url: string,
        body?: unknown,
        options?: HttpCallOptions,
    ): Promise<CallResult<T>>;
    close(): Promise<void>;
}

/** Limits of an HTTP caller. */
export interface HttpCallerOptions {
    readonly timeoutMs: number;
    readonly connectionsPerHost: number;
    /** How long an idle connection is kept; the library's default where it is left out. */
    readonly keepAliveMs?: number;
    readonly connectTimeoutMs?: number;
    /** Counts calls and the bytes of their bodies. */
    readonly meter: Meter;
}

const neverConnectedCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Tells from an error whether the request surely was not delivered.
 *
 * @example
 * failureKindOf(Object.assign(new Error(), { code: "ECONNREFUSED" })); // "notDelivered"
 */
export const failureKindOf = (error: unknown): CallFailure => {
    const code = (error as { readonly code?: unknown; }).code;
    return typeof code === "string" && neverConnectedCodes.has(code) ? "notDelivered" : "unknown";
};

/**
 * Makes a caller with its own connection pool.
 *
 * @example
 * const http = createHttpCaller({ timeoutMs: 2_000, connectionsPerHost: 4, meter });
 * await http.call("GET", `${address}/vms`);
 */
export const createHttpCaller = (limits: HttpCallerOptions): HttpCaller => {
    const { timeoutMs, connectionsPerHost, keepAliveMs, connectTimeoutMs, meter } = limits;
    const dispatcher: Dispatcher = new Agent({
        connections: connectionsPerHost,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        connect: { timeout: connectTimeoutMs ?? timeoutMs },
        ...(keepAliveMs === undefined ? {} : { keepAliveTimeout: keepAliveMs, keepAliveMaxTimeout: keepAliveMs }),
    });
    return {
        call: async <T>(
            method: "GET" | "POST" | "PUT" | "DELETE",
            url: string,
            body?: unknown,
            { timeoutMs: callTimeoutMs, headers }: HttpCallOptions = {},
        ): Promise<CallResult<T>> => {
            const sent = body === undefined ? "" : JSON.stringify(body);
            const abort = callTimeoutMs === undefined ? undefined : new AbortController();
            const timer = abort === undefined ? undefined : setTimeout(() => abort.abort(), callTimeoutMs);
            try {
                const answer = await request(url, {
                    method,
                    dispatcher,
                    headers: body === undefined ? headers ?? {} : { ...headers, "content-type": "application/json" },
                    body: body === undefined ? undefined : sent,
                    signal: abort?.signal,
                });
                const text = await answer.body.text();
                meter.count("outsideCalls");
                meter.count("outsideBytes", text.length + sent.length);
                return {
                    kind: "answered",
                    status: answer.statusCode,
                    body: (text === "" ? undefined : JSON.parse(text)) as T,
                };
            }
            catch (error) {
                const reason = error instanceof Error ? error.message : String(error);
                return {
                    kind: failureKindOf(error),
                    reason: abort?.signal.aborted === true ? `no answer within ${callTimeoutMs} ms` : reason,
                };
            }
            finally {
                clearTimeout(timer);
            }
        },
        close: () => dispatcher.close(),
    };
};

const okStatus = 200;

/**
 * Takes the body of a good answer; fails with `unavailable` for everything else.
 *
 * @example
 * const listing = bodyOf(await http.call<VmListing>("GET", url), "list of VMs");
 */
export const bodyOf = <T>(result: CallResult<T>, what: string): T => {
    if (result.kind !== "answered") {
        return die("unavailable", `the ${what} did not answer: ${result.reason}`);
    }
    return result.status === okStatus
        ? result.body
        : die("unavailable", `the ${what} answered with status ${result.status}`);
};
