/**
 * JSON over HTTP to the platform, workers and upstreams. A failed call reports whether the request may have been delivered.
 *
 * Open connections may go silent for good, without a reset, while new connections work. A call that times out closes only
 * its own connection, and each idle connection left in the pool would cost another call its whole time limit. So if nothing
 * at all arrived from an origin during a call that timed out, all connections to that origin are replaced.
 *
 * A busy origin answers late. If each call that times out closes its connection, the origin spends its time on accepting new ones
 * and falls further behind. With `lateAnswerMs`, the connection of such a call is kept for the late answer. So are connections over
 * which nothing has arrived since they were opened: the origin may not have accepted them yet, and new ones would queue behind them.
 */

import { type CancelTimer, countCall, countReceived, die, type Meter, type TrafficPurpose } from "puffinarch";
import { type Dispatcher, Pool } from "undici";

/** Outcome of a call without an answer: the request was surely not delivered, or that is unknown. */
export type CallFailure = "notDelivered" | "unknown";

/** The answer to a call, or why there is none. */
export type CallResult<T> =
    | { readonly kind: "answered"; readonly status: number; readonly body: T; }
    | {
        readonly kind: CallFailure;
        readonly reason: string;
        /** Whether the origin refused or closed the connection. */
        readonly connectionLost: boolean;
        /** Whether the time limit ended while the request waited for one of the open connections; it is never sent. */
        readonly expiredUnsent: boolean;
    };

/** Options of one call. */
export interface HttpCallOptions {
    /** Limit of the whole call; the limits of the client apply as well. */
    readonly timeoutMs?: number;
    /**
     * Limit of the whole call; if it is set, `timeoutMs` limits only the time until the answer begins and between two chunks of it.
     * This lets a large answer arrive over a slow link, instead of being dropped half read and requested again.
     */
    readonly longestMs?: number | undefined;
    /** If nothing has arrived from the origin this long after the call began, its connections are replaced; the call goes on. */
    readonly suspectAfterMs?: number;
    readonly headers?: Readonly<Record<string, string>>;
}

/** HTTP client with a pool of connections for each origin. */
export interface HttpClient {
    /** Sends a request and resolves with the answer; never rejects. */
    call<T>(
        method: "GET" | "POST" | "PUT" | "DELETE",
        url: string,
        body?: unknown,
        options?: HttpCallOptions,
    ): Promise<CallResult<T>>;
    close(): Promise<void>;
}

/** Limits and meter of an HTTP client. */
export interface HttpClientOptions {
    /** Limit of the time until an answer begins and between two chunks of it. */
    readonly timeoutMs: number;
    readonly connectionsPerHost: number;
    /** How long an idle connection is kept; the default of undici if it is missing. */
    readonly keepAliveMs?: number;
    /** Limit of the time to open a connection; `timeoutMs` if it is missing. */
    readonly connectTimeoutMs?: number;
    /**
     * How long a call that has timed out keeps its connection for a late answer, while the origin answers others; also how long new
     * connections are kept before anything has arrived. If this is missing, a call that times out closes its connection.
     */
    readonly lateAnswerMs?: number;
    /** Counts calls, the bytes of their bodies and replacements of connections. */
    readonly meter: Meter;
    /** What the calls are for; their traffic is not counted apart if it is missing. */
    readonly purpose?: TrafficPurpose;
}

/** A late answer: how long after the time limit of its call it arrived, and when. */
interface Overdue {
    readonly byMs: number;
    readonly seenAtMs: number;
}

const neverOverdue: Overdue = { byMs: 0, seenAtMs: -Infinity };
/** For how long an origin is taken for late after its newest late answer. */
const overdueValidMs = 10_000;
/** Multiple of the lateness of an origin for which nothing must arrive before its connections count as silent. */
const overdueFactor = 2;

/** Open connections to one origin. Times are readings of `performance.now()`. */
interface Connections {
    readonly pool: Pool;
    readonly openedAtMs: number;
    /** When data last arrived over one of them; 0 if none has. */
    receivedAtMs: number;
    /** How long after its time limit the origin's newest late answer arrived, and when; carried over to connections that replace these. */
    overdue: Overdue;
    /** Calls that were passed to the pool and have not ended. */
    inFlight: number;
    /** Calls that wait for the first data; each takes the connections over which to send it. */
    readonly held: ((to: Connections) => void)[];
}

/** Errors that occur before a request is sent. */
const neverConnectedCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

const timeoutCodes: ReadonlySet<unknown> = new Set(["UND_ERR_HEADERS_TIMEOUT", "UND_ERR_BODY_TIMEOUT"]);
/** Errors by which the origin's machine refuses or closes a connection, as it does once its process has ended. */
const connectionLostCodes: ReadonlySet<unknown> = new Set(["ECONNREFUSED", "ECONNRESET", "EPIPE", "UND_ERR_SOCKET"]);

const codeOf = (error: unknown): unknown => (error as { readonly code?: unknown; }).code;

/**
 * Returns `notDelivered` if an error means that the request surely was not delivered, and `unknown` otherwise.
 *
 * @example
 * failureKindOf(Object.assign(new Error(), { code: "ECONNREFUSED" })); // "notDelivered"
 */
export const failureKindOf = (error: unknown): CallFailure => {
    const code = codeOf(error);
    return typeof code === "string" && neverConnectedCodes.has(code) ? "notDelivered" : "unknown";
};

/**
 * Most calls at a time over connections that the origin may not have accepted yet. A busy origin accepts one connection in each turn of its
 * event loop, while a hundred peers may open connections to it at once.
 */
const mostBeforeAcceptance = 2;

/** Timers have a resolution of 1 ms and may fire early by less than that. */
const shortestTimerMs = 1;

/**
 * Sets a timer that runs after the data that has arrived by then was read: a busy process must not count an answer as missing that it has
 * not got round to reading.
 */
const setTimerAfterReading = (delayMs: number, run: () => void): CancelTimer => {
    let afterReading: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
        afterReading = setImmediate(run);
    }, delayMs);
    return () => {
        clearTimeout(timer);
        clearImmediate(afterReading);
    };
};

/** Time limit of one call. */
interface Deadline {
    /** Restarts the time limit between two chunks of an answer. */
    onChunk(nowMs: number): void;
    /** Stops the timer. */
    end(): void;
}

const noDeadline: Deadline = { onChunk: () => {}, end: () => {} };

/** Starts the time limit of a call. */
const startDeadline = (
    { timeoutMs, longestMs = timeoutMs }: Pick<HttpCallOptions, "timeoutMs" | "longestMs">,
    { startedAtMs, onExpired }: { readonly startedAtMs: number; readonly onExpired: (timeoutMs: number) => void; },
): Deadline => {
    if (timeoutMs === undefined || longestMs === undefined) {
        return noDeadline;
    }
    const endsAtMs = startedAtMs + longestMs;
    let receivedAtMs = startedAtMs;
    const check = (): void => {
        const leftMs = Math.min(receivedAtMs + timeoutMs, endsAtMs) - performance.now();
        if (leftMs >= shortestTimerMs) {
            cancelTimer = setTimerAfterReading(leftMs, check);
            return;
        }
        onExpired(timeoutMs);
    };
    let cancelTimer = setTimerAfterReading(timeoutMs, check);
    return {
        onChunk: nowMs => {
            receivedAtMs = nowMs;
        },
        end: () => cancelTimer(),
    };
};

/** Callbacks of one request. */
interface ExchangeEvents {
    /** Called when the request is passed to a connection. */
    readonly onSent: () => void;
    /** Called for each chunk of the answer. */
    readonly onChunk: (bytes: number) => void;
    /** Called with the whole answer. */
    readonly onAnswer: (status: number, text: string) => void;
    readonly onError: (error: unknown) => void;
}

/** One request and its answer. */
interface Exchange {
    readonly handler: Dispatcher.DispatchHandler;
    /** Whether the request has been passed to a connection. */
    isSent(): boolean;
    /** Ends the request; one that was not sent yet is never sent. */
    abort(): void;
}

/**
 * Creates the handler of one request, which collects the answer. The streams and abort signals of `Pool.request` would take about half
 * of the processor time of a call, and most of its memory.
 */
const createExchange = ({ onSent, onChunk, onAnswer, onError }: ExchangeEvents): Exchange => {
    const chunks: Buffer[] = [];
    let status = 0;
    let controller: Dispatcher.DispatchController | undefined;
    let isAborted = false;
    let isSent = false;

    const abort = (): void => {
        isAborted = true;
        controller?.abort(new Error("the call has timed out"));
    };

    return {
        handler: {
            onRequestStart: started => {
                if (isAborted) {
                    // An abort would destroy the connection that has just become free; undici drops a request whose handler throws.
                    die("unavailable", "the call has timed out");
                }
                controller = started;
                isSent = true;
                onSent();
            },
            onResponseStart: (_controller, statusCode) => {
                status = statusCode;
            },
            onResponseData: (_controller, chunk) => {
                chunks.push(chunk);
                onChunk(chunk.length);
            },
            onResponseEnd: () => {
                const [first] = chunks;
                const bytes = chunks.length > 1 ? Buffer.concat(chunks) : first;
                onAnswer(status, bytes?.toString("utf8") ?? "");
            },
            onResponseError: (_controller, error) => onError(error),
        },
        isSent: () => isSent,
        abort,
    };
};

const schemeLength = "http://".length;

/** Splits a URL without parsing it, since `new URL` would take most of the time of starting a call and all URLs come from this code. */
const splitUrl = (url: string): { readonly origin: string; readonly path: string; } => {
    const pathAt = url.indexOf("/", schemeLength);
    return pathAt < 0 ? { origin: url, path: "/" } : { origin: url.slice(0, pathAt), path: url.slice(pathAt) };
};

/**
 * Creates an HTTP client with connection pools of its own.
 *
 * @example
 * const http = createHttpClient({ timeoutMs: 2_000, connectionsPerHost: 4, meter });
 * await http.call("GET", `${address}/vms`);
 */
export const createHttpClient = (limits: HttpClientOptions): HttpClient => {
    const { timeoutMs, connectionsPerHost, keepAliveMs, connectTimeoutMs, lateAnswerMs, meter, purpose } = limits;
    const byOrigin = new Map<string, Connections>();
    /** Connections that were replaced, by what, and the timer that closes them once no late answer is awaited any more. */
    const closing = new Map<Connections, { readonly successor: Connections; readonly timer: NodeJS.Timeout; }>();

    const open = (origin: string): Connections => {
        const pool = new Pool(origin, {
            connections: connectionsPerHost,
            headersTimeout: timeoutMs,
            bodyTimeout: timeoutMs,
            connect: { timeout: connectTimeoutMs ?? timeoutMs },
            ...(keepAliveMs === undefined ? {} : { keepAliveTimeout: keepAliveMs, keepAliveMaxTimeout: keepAliveMs }),
        });
        const opened = {
            pool,
            openedAtMs: performance.now(),
            receivedAtMs: 0,
            overdue: byOrigin.get(origin)?.overdue ?? neverOverdue,
            inFlight: 0,
            held: [],
        };
        byOrigin.set(origin, opened);
        return opened;
    };

    const connectionsTo = (origin: string): Connections => byOrigin.get(origin) ?? open(origin);

    /** Whether the origin may not have accepted the connections yet: they are new, and nothing has arrived over them. */
    const mayAwaitAcceptance = ({ openedAtMs, receivedAtMs }: Connections): boolean =>
        lateAnswerMs !== undefined && receivedAtMs === 0 && performance.now() - openedAtMs < lateAnswerMs;

    /** Sends the calls that wait for the first data over `from`, by other connections or by the same ones. */
    const releaseHeld = (from: Connections, to: Connections): void => {
        for (const send of from.held.splice(0)) {
            send(to);
        }
    };

    /** Whether nothing has arrived since a call began, nor for longer than an origin that answers late has lately taken. */
    const isSilent = ({ openedAtMs, receivedAtMs, overdue }: Connections, startedAtMs: number): boolean => {
        const nowMs = performance.now();
        const silentSinceMs = Math.max(openedAtMs, receivedAtMs);
        const lateByMs = nowMs - overdue.seenAtMs < overdueValidMs ? overdueFactor * overdue.byMs : 0;
        return silentSinceMs < startedAtMs && nowMs - silentSinceMs >= lateByMs;
    };

    /**
     * Replaces the connections to an origin if they are silent. Calls in flight keep the old connections and may still be answered; new
     * calls use new ones.
     */
    const replaceIfSilent = (origin: string, connections: Connections, startedAtMs: number): void => {
        const silent = isSilent(connections, startedAtMs);
        if (!silent || byOrigin.get(origin) !== connections) {
            return;
        }
        meter.count("connectionsReplaced");
        const successor = open(origin);
        releaseHeld(connections, successor);
        if (lateAnswerMs === undefined) {
            void connections.pool.close();
            return;
        }
        const close = (): void => {
            closing.delete(connections);
            void connections.pool.close();
        };
        closing.set(connections, { successor, timer: setTimeout(close, lateAnswerMs).unref() });
    };

    /**
     * Uses connections again that were replaced, where data has arrived over them and none over the new ones: the origin was only late, and
     * may not accept the new ones for long.
     */
    const useAgain = (origin: string, connections: Connections): void => {
        const replaced = closing.get(connections);
        if (
            replaced === undefined || byOrigin.get(origin) !== replaced.successor || replaced.successor.receivedAtMs > 0
        ) {
            return;
        }
        clearTimeout(replaced.timer);
        closing.delete(connections);
        byOrigin.set(origin, connections);
        releaseHeld(replaced.successor, connections);
        void replaced.successor.pool.close();
    };

    const recordArrival = (origin: string, connections: Connections): void => {
        const isFirst = connections.receivedAtMs === 0;
        connections.receivedAtMs = performance.now();
        useAgain(origin, connections);
        if (isFirst) {
            releaseHeld(connections, connections);
        }
    };

    const sendCall = async <T>(
        method: Dispatcher.HttpMethod,
        url: string,
        body?: unknown,
        { timeoutMs: callTimeoutMs, longestMs, suspectAfterMs, headers }: HttpCallOptions = {},
    ): Promise<CallResult<T>> => {
        const sent = body === undefined ? "" : JSON.stringify(body);
        const { origin, path } = splitUrl(url);
        let connections = connectionsTo(origin);
        const startedAtMs = performance.now();

        return new Promise(resolve => {
            let isReported = false;
            let expiredAtMs = startedAtMs;
            const cancelSilenceTimer = suspectAfterMs === undefined
                ? () => {}
                : setTimerAfterReading(suspectAfterMs, () => replaceIfSilent(origin, connections, startedAtMs));

            const report = (result: CallResult<T>): void => {
                isReported = true;
                deadline.end();
                cancelSilenceTimer();
                resolve(result);
            };

            const onError = (error: unknown): void => {
                // A call that timed out was reported when it did.
                if (isReported) {
                    return;
                }
                if (timeoutCodes.has(codeOf(error))) {
                    replaceIfSilent(origin, connections, startedAtMs);
                }
                report({
                    kind: failureKindOf(error),
                    reason: error instanceof Error ? error.message : String(error),
                    connectionLost: connectionLostCodes.has(codeOf(error)),
                    expiredUnsent: false,
                });
            };

            const exchange = createExchange({
                onSent: () => {
                    if (purpose !== undefined) {
                        countCall(meter, purpose, Buffer.byteLength(sent));
                    }
                },
                onChunk: bytes => {
                    if (purpose !== undefined) {
                        countReceived(meter, purpose, bytes);
                    }
                    recordArrival(origin, connections);
                    deadline.onChunk(connections.receivedAtMs);
                },
                onAnswer: (status, text) => {
                    connections.inFlight -= 1;
                    recordArrival(origin, connections);
                    meter.count("outsideCalls");
                    meter.count("outsideBytes", text.length + sent.length);
                    if (isReported) {
                        const seenAtMs = performance.now();
                        connectionsTo(origin).overdue = { byMs: seenAtMs - expiredAtMs, seenAtMs };
                        return;
                    }
                    try {
                        report({ kind: "answered", status, body: (text === "" ? undefined : JSON.parse(text)) as T });
                    }
                    catch (error) {
                        onError(error);
                    }
                },
                onError: error => {
                    connections.inFlight -= 1;
                    onError(error);
                },
            });

            const onExpired = (limitMs: number): void => {
                expiredAtMs = performance.now();
                const isSent = exchange.isSent();
                // While connections are still being opened, it is the origin that keeps the request waiting.
                const expiredUnsent = !isSent && connections.pool.stats.connected >= connectionsPerHost;
                report({
                    kind: isSent ? "unknown" : "notDelivered",
                    reason: `no answer within ${limitMs} ms`,
                    connectionLost: false,
                    expiredUnsent,
                });
                if (isSent && lateAnswerMs !== undefined) {
                    setTimeout(exchange.abort, lateAnswerMs).unref();
                }
                else {
                    exchange.abort();
                }
                if (!mayAwaitAcceptance(connections)) {
                    replaceIfSilent(origin, connections, startedAtMs);
                }
            };

            const deadline = startDeadline({ timeoutMs: callTimeoutMs, longestMs }, { startedAtMs, onExpired });
            const send = (to: Connections): void => {
                if (isReported) {
                    return;
                }
                connections = to;
                if (mayAwaitAcceptance(to) && to.inFlight >= mostBeforeAcceptance) {
                    to.held.push(send);
                    return;
                }
                to.inFlight += 1;
                try {
                    to.pool.dispatch({
                        path,
                        method,
                        headers: body === undefined
                            ? headers ?? {}
                            : { ...headers, "content-type": "application/json" },
                        body: body === undefined ? null : sent,
                    }, exchange.handler);
                }
                catch (error) {
                    to.inFlight -= 1;
                    onError(error);
                }
            };
            send(connections);
        });
    };

    /** An address that cannot be used, or a body that cannot be written, is a call without an answer; it does not throw. */
    const call: HttpClient["call"] = async (method, url, body, options) => {
        try {
            return await sendCall(method, url, body, options);
        }
        catch (error) {
            meter.count("callsNotSent");
            return {
                kind: "notDelivered",
                reason: error instanceof Error ? error.message : String(error),
                connectionLost: false,
                expiredUnsent: false,
            };
        }
    };

    return {
        call,
        close: async () => {
            for (const { timer } of closing.values()) {
                clearTimeout(timer);
            }
            const pools = [...byOrigin.values(), ...closing.keys()].map(({ pool }) => pool);
            closing.clear();
            await Promise.all(pools.map(pool => pool.close()));
        },
    };
};

const okStatus = 200;

/**
 * Returns the body of an answer with status 200; fails with `unavailable` for everything else. `what` names the called service.
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
