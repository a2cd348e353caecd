/**
 * JSON over HTTP to the platform, workers and upstreams, with the outcome of a failed call told apart.
 *
 * Open connections may go silent for good, without a reset, while new ones work. A call that times out ends its own
 * connection only, and the idle ones beside it would each cost another call its whole time. So where nothing at all came
 * from an origin during a call that timed out, all its connections are replaced.
 */

import { die, type Meter } from "puffinarch";
import { Pool } from "undici";

/** How a call ended that brought no answer. */
export type CallFailure = "notDelivered" | "unknown";

/** An answer, or what is known without one. */
export type CallResult<T> =
    | { readonly kind: "answered"; readonly status: number; readonly body: T; }
    | { readonly kind: CallFailure; readonly reason: string; readonly connectionLost: boolean; };

/** What one call may set. */
export interface HttpCallOptions {
    /** Limit of the whole call; the caller's own limits hold besides. */
    readonly timeoutMs?: number;
    /**
     * With it `timeoutMs` limits the time until the answer begins and between two pieces of it, and this one the whole call. A large
     * answer over a thin link is then not thrown away half read, to be asked for anew.
     */
    readonly longestMs?: number | undefined;
    /** A call that may be answered late: after this long its connections are judged as if it had timed out. */
    readonly suspectAfterMs?: number;
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

/** Open connections to one origin, and when they last brought an answer. */
interface Connections {
    readonly pool: Pool;
    readonly openedAtMs: number;
    answeredAtMs: number;
}

/** The time was over before a connection came about. */
const neverSentCode = "NEVER_SENT";

const neverConnectedCodes: ReadonlySet<string> = new Set([
    neverSentCode,
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

const timeoutCodes: ReadonlySet<unknown> = new Set(["UND_ERR_HEADERS_TIMEOUT", "UND_ERR_BODY_TIMEOUT"]);
/** The origin's machine refused or closed the connection, as it does once a process has ended there. */
const connectionLostCodes: ReadonlySet<unknown> = new Set(["ECONNREFUSED", "ECONNRESET", "EPIPE", "UND_ERR_SOCKET"]);

const codeOf = (error: unknown): unknown => (error as { readonly code?: unknown; }).code;

/**
 * Tells from an error whether the request surely was not delivered.
 *
 * @example
 * failureKindOf(Object.assign(new Error(), { code: "ECONNREFUSED" })); // "notDelivered"
 */
export const failureKindOf = (error: unknown): CallFailure => {
    const code = codeOf(error);
    return typeof code === "string" && neverConnectedCodes.has(code) ? "notDelivered" : "unknown";
};

/** Timers are exact to a millisecond and may fire a little early. */
const shortestTimerMs = 1;

/** A limit of one call. */
interface Limit {
    readonly signal: AbortSignal | undefined;
    /** Rejects when the time is over. */
    readonly over: Promise<never>;
    /** A piece of the answer has come. */
    heard(): void;
    end(): void;
}

const unlimited: Limit = { signal: undefined, over: new Promise<never>(() => {}), heard: () => {}, end: () => {} };

/** The library heeds a signal only once a request has a connection, so the end of the time is told beside it. */
const startLimit = (
    { timeoutMs, longestMs = timeoutMs }: Pick<HttpCallOptions, "timeoutMs" | "longestMs">,
    isConnected: () => boolean,
): Limit => {
    if (timeoutMs === undefined || longestMs === undefined) {
        return unlimited;
    }
    const abort = new AbortController();
    const endsAtMs = performance.now() + longestMs;
    let heardAtMs = performance.now();
    let timer: NodeJS.Timeout | undefined;
    const over = new Promise<never>((_resolve, reject) => {
        const check = (): void => {
            const leftMs = Math.min(heardAtMs + timeoutMs, endsAtMs) - performance.now();
            if (leftMs >= shortestTimerMs) {
                timer = setTimeout(check, leftMs);
                return;
            }
            // Asked before the abort, which ends the request's connection. Without one it was not sent, and never will be.
            const code = isConnected() ? undefined : neverSentCode;
            abort.abort();
            reject(Object.assign(new Error(`no answer within ${timeoutMs} ms`), { code }));
        };
        timer = setTimeout(check, timeoutMs);
    });
    const heard = (): void => {
        heardAtMs = performance.now();
    };
    return { signal: abort.signal, over, heard, end: () => clearTimeout(timer) };
};

/** Reads a body as text and tells of each piece of it. */
const readPieces = async (body: AsyncIterable<Buffer>, onPiece: () => void): Promise<string> => {
    const pieces: Buffer[] = [];
    for await (const piece of body) {
        onPiece();
        pieces.push(piece);
    }
    return Buffer.concat(pieces).toString("utf8");
};

const schemeLength = "http://".length;

/** The callers write whole URLs of their own; to parse each anew takes more time than the rest of a call's beginning. */
const splitUrl = (url: string): { readonly origin: string; readonly path: string; } => {
    const pathAt = url.indexOf("/", schemeLength);
    return pathAt < 0 ? { origin: url, path: "/" } : { origin: url.slice(0, pathAt), path: url.slice(pathAt) };
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
    const byOrigin = new Map<string, Connections>();

    const connectionsTo = (origin: string): Connections => {
        const known = byOrigin.get(origin);
        if (known !== undefined) {
            return known;
        }
        const pool = new Pool(origin, {
            connections: connectionsPerHost,
            headersTimeout: timeoutMs,
            bodyTimeout: timeoutMs,
            connect: { timeout: connectTimeoutMs ?? timeoutMs },
            ...(keepAliveMs === undefined ? {} : { keepAliveTimeout: keepAliveMs, keepAliveMaxTimeout: keepAliveMs }),
        });
        const opened = { pool, openedAtMs: performance.now(), answeredAtMs: 0 };
        byOrigin.set(origin, opened);
        return opened;
    };

    /** Calls that are under way may still be answered; new ones go over new connections. */
    const replaceIfSilent = (origin: string, connections: Connections, askedAtMs: number): void => {
        const silent = Math.max(connections.openedAtMs, connections.answeredAtMs) < askedAtMs;
        if (silent && byOrigin.get(origin) === connections) {
            byOrigin.delete(origin);
            meter.count("connectionsReplaced");
            void connections.pool.close();
        }
    };

    return {
        call: async <T>(
            method: "GET" | "POST" | "PUT" | "DELETE",
            url: string,
            body?: unknown,
            { timeoutMs: callTimeoutMs, longestMs, suspectAfterMs, headers }: HttpCallOptions = {},
        ): Promise<CallResult<T>> => {
            const sent = body === undefined ? "" : JSON.stringify(body);
            const { origin, path } = splitUrl(url);
            const connections = connectionsTo(origin);
            const askedAtMs = performance.now();
            const suspicion = suspectAfterMs === undefined
                ? undefined
                : setTimeout(() => replaceIfSilent(origin, connections, askedAtMs), suspectAfterMs);
            const limit = startLimit(
                { timeoutMs: callTimeoutMs, longestMs },
                () => connections.pool.stats.connected > 0,
            );
            const notePiece = (): void => {
                limit.heard();
                connections.answeredAtMs = performance.now();
            };

            const ask = async (): Promise<CallResult<T>> => {
                const answer = await connections.pool.request({
                    path,
                    method,
                    headers: body === undefined ? headers ?? {} : { ...headers, "content-type": "application/json" },
                    body: body === undefined ? undefined : sent,
                    signal: limit.signal,
                });
                const text = longestMs === undefined
                    ? await answer.body.text()
                    : await readPieces(answer.body as AsyncIterable<Buffer>, notePiece);
                connections.answeredAtMs = performance.now();
                meter.count("outsideCalls");
                meter.count("outsideBytes", text.length + sent.length);
                return {
                    kind: "answered",
                    status: answer.statusCode,
                    body: (text === "" ? undefined : JSON.parse(text)) as T,
                };
            };

            const asked = ask();
            try {
                return await Promise.race([asked, limit.over]);
            }
            catch (error) {
                if (limit.signal?.aborted === true || timeoutCodes.has(codeOf(error))) {
                    replaceIfSilent(origin, connections, askedAtMs);
                    // The limit has been told already; what the library says of it later adds nothing.
                    asked.catch(() => {});
                }
                return {
                    kind: failureKindOf(error),
                    reason: error instanceof Error ? error.message : String(error),
                    connectionLost: connectionLostCodes.has(codeOf(error)),
                };
            }
            finally {
                limit.end();
                clearTimeout(suspicion);
            }
        },
        close: async () => {
            await Promise.all([...byOrigin.values()].map(({ pool }) => pool.close()));
        },
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
