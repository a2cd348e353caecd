/** All error kinds with their meaning for callers, and the functions that create, throw and read errors of these kinds. */

import VError from "verror";

/** One invalid field of an input. */
export interface Violation {
    /** Path of the field, such as `steps[0].after`. */
    readonly field: string;
    /** The value as JSON, shortened where it is long. */
    readonly value: string;
    /** Description of the allowed values. */
    readonly allowed: string;
    /** Line in the settings file, counted from 1; set for settings files only. */
    readonly line?: number;
}

/** How an error kind is presented to callers. */
export interface ErrorResponse {
    readonly httpStatus: number;
    /** Status code name of the Connect protocol. */
    readonly code: string;
    /** Exit code of the command-line tool. */
    readonly exitCode: number;
    /** True where sending the request again cannot make it run twice. */
    readonly resendSafe: boolean;
    /** Description for callers. */
    readonly meaning: string;
}

/** All error kinds and how they are presented. */
export const errorResponses = {
    invalid: {
        httpStatus: 400,
        code: "invalid_argument",
        exitCode: 2,
        resendSafe: true,
        meaning: "the input is invalid; correct the named fields",
    },
    unauthenticated: {
        httpStatus: 401,
        code: "unauthenticated",
        exitCode: 9,
        resendSafe: true,
        meaning: "not run: the request carries no known API key",
    },
    notFound: {
        httpStatus: 404,
        code: "not_found",
        exitCode: 3,
        resendSafe: true,
        meaning: "the named item does not exist",
    },
    alreadyExists: {
        httpStatus: 409,
        code: "already_exists",
        exitCode: 4,
        resendSafe: true,
        meaning: "the name is already used for a different item",
    },
    conflict: {
        httpStatus: 409,
        code: "aborted",
        exitCode: 4,
        resendSafe: true,
        meaning: "the configuration has changed; read the version in force before the next attempt",
    },
    neverFits: {
        httpStatus: 422,
        code: "failed_precondition",
        exitCode: 5,
        resendSafe: true,
        meaning: "it can never be placed; the message names the limit that it exceeds",
    },
    overQuota: {
        httpStatus: 429,
        code: "resource_exhausted",
        exitCode: 6,
        resendSafe: true,
        meaning: "not run: the team's quota does not allow it",
    },
    overloaded: {
        httpStatus: 429,
        code: "resource_exhausted",
        exitCode: 6,
        resendSafe: true,
        meaning: "not run: too many requests or jobs are waiting",
    },
    notAccepted: {
        httpStatus: 503,
        code: "unavailable",
        exitCode: 7,
        resendSafe: true,
        meaning: "the job was not accepted and will not run",
    },
    notRun: {
        httpStatus: 503,
        code: "unavailable",
        exitCode: 7,
        resendSafe: true,
        meaning: "the request did not run and will not",
    },
    mayHaveRun: {
        httpStatus: 504,
        code: "unknown",
        exitCode: 8,
        resendSafe: false,
        meaning: "it may have run, at most once",
    },
    unavailable: {
        httpStatus: 503,
        code: "unavailable",
        exitCode: 7,
        resendSafe: true,
        meaning: "the request cannot be answered at present",
    },
    internal: {
        httpStatus: 500,
        code: "internal",
        exitCode: 1,
        resendSafe: false,
        meaning: "internal error",
    },
} as const satisfies Readonly<Record<string, ErrorResponse>>;

/** Name of an error kind. */
export type ErrorKind = keyof typeof errorResponses;

/** Optional data of an error besides its message. */
export interface FailureDetail {
    readonly violations?: readonly Violation[];
    /** Time after which a caller may try again. */
    readonly retryAfterMs?: number;
    /** Version of the configuration in force, where a change of it was refused. */
    readonly winningVersion?: number;
    /** Difference between the configuration in force and the refused one, a line each. */
    readonly difference?: string;
}

/** An error as plain data, for sending to a caller or a peer. */
export interface Failure extends FailureDetail {
    readonly kind: ErrorKind;
    readonly message: string;
}

const errorName = "PuffinarchError";

/**
 * Throws an error of the given kind.
 *
 * @example
 * die("notFound", "there is no job load-in-7");
 */
export const die = (kind: ErrorKind, message: string, detail: FailureDetail = {}, cause?: unknown): never => {
    throw new VError(
        {
            name: errorName,
            info: { failure: { ...detail, kind, message } },
            cause: cause instanceof Error ? cause : undefined,
        },
        "%s",
        message,
    );
};

/**
 * Creates an error from a failure without throwing it, for example to reject a promise.
 *
 * @example
 * Promise.reject(errorOf({ kind: "notRun", message: "no upstream is free" }));
 */
export const errorOf = (failure: Failure): Error =>
    new VError({ name: errorName, info: { failure } }, "%s", failure.message);

const isKind = (kind: unknown): kind is ErrorKind => typeof kind === "string" && kind in errorResponses;

/**
 * Converts an error to plain data; errors that neither `die` nor `errorOf` created become the kind `internal`.
 *
 * @example
 * failureOf(new Error("boom")).kind; // "internal"
 */
export const failureOf = (error: unknown): Failure => {
    if (!(error instanceof Error)) {
        return { kind: "internal", message: String(error) };
    }
    const failure = VError.info(error)["failure"] as Failure | undefined;
    if (failure !== undefined && isKind(failure.kind)) {
        return failure;
    }
    return { kind: "internal", message: error.message };
};

/**
 * Returns the kind of an error.
 *
 * @example
 * kindOf(new Error("boom")); // "internal"
 */
export const kindOf = (error: unknown): ErrorKind => failureOf(error).kind;
