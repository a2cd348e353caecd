/** The closed list of error kinds, what each means to a caller, and the one place that throws. */

import VError from "verror";

/** One wrong field of an input. */
export interface Violation {
    readonly field: string;
    readonly value: string;
    readonly allowed: string;
    /** Line of a settings file, counted from 1. */
    readonly line?: number;
}

/** Answer that a kind maps to. */
export interface ErrorAnswer {
    readonly httpStatus: number;
    /** Status code name of the Connect protocol. */
    readonly code: string;
    /** Exit code of the command-line tool. */
    readonly exitCode: number;
    /** True where a resend cannot make it run twice. */
    readonly resendSafe: boolean;
    readonly meaning: string;
}

/** Kinds and their answers; a kind that is not listed here does not exist. */
export const errorAnswers = {
    invalid: {
        httpStatus: 400,
        code: "invalid_argument",
        exitCode: 2,
        resendSafe: true,
        meaning: "bad input; correct the fields named",
    },
    unauthenticated: {
        httpStatus: 401,
        code: "unauthenticated",
        exitCode: 9,
        resendSafe: true,
        meaning: "not run: no known API key came with it",
    },
    notFound: { httpStatus: 404, code: "not_found", exitCode: 3, resendSafe: true, meaning: "there is no such thing" },
    alreadyExists: {
        httpStatus: 409,
        code: "already_exists",
        exitCode: 4,
        resendSafe: true,
        meaning: "the name is taken by something different",
    },
    conflict: {
        httpStatus: 409,
        code: "aborted",
        exitCode: 4,
        resendSafe: true,
        meaning: "the configuration moved on; read the winner first",
    },
    neverFits: {
        httpStatus: 422,
        code: "failed_precondition",
        exitCode: 5,
        resendSafe: true,
        meaning: "no worker could ever hold it; the limit is named",
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
        meaning: "not run: too much waits already",
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
        meaning: "it may have run, once at most",
    },
    unavailable: {
        httpStatus: 503,
        code: "unavailable",
        exitCode: 7,
        resendSafe: true,
        meaning: "the question cannot be answered now",
    },
    internal: {
        httpStatus: 500,
        code: "internal",
        exitCode: 1,
        resendSafe: false,
        meaning: "a fault of the system itself",
    },
} as const satisfies Readonly<Record<string, ErrorAnswer>>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof errorAnswers;

/** What an error carries besides its message. */
export interface FailureDetail {
    readonly violations?: readonly Violation[];
    readonly retryAfterMs?: number;
    readonly winningVersion?: number;
    readonly difference?: string;
}

/** An error as data, to be sent to a caller or a peer. */
export interface Failure extends FailureDetail {
    readonly kind: ErrorKind;
    readonly message: string;
}

const errorName = "PuffinarchError";

/**
 * Throws an error of a listed kind.
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
 * Makes an error of a listed kind without throwing it, for rejections.
 *
 * @example
 * Promise.reject(errorOf({ kind: "notRun", message: "no upstream is free" }));
 */
export const errorOf = (failure: Failure): Error =>
    new VError({ name: errorName, info: { failure } }, "%s", failure.message);

const isKind = (kind: unknown): kind is ErrorKind => typeof kind === "string" && kind in errorAnswers;

/**
 * Reads an error as data; what was not thrown by `die` becomes the kind `internal`.
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
 * Gives the kind of an error.
 *
 * @example
 * kindOf(new Error("boom")); // "internal"
 */
export const kindOf = (error: unknown): ErrorKind => failureOf(error).kind;
