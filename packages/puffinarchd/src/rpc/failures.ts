/** Converts errors of the library to errors of the Connect protocol, with the failure as a typed detail. */

import { Code, ConnectError, type Interceptor } from "@connectrpc/connect";
import { FailureSchema } from "@puffinarch/schema";
import { errorResponses, failureOf } from "puffinarch";

/** Connect codes by their names in the protocol, such as `not_found`. */
const codesByName: ReadonlyMap<string, Code> = new Map(
    Object.entries(Code)
        .filter((entry): entry is [string, Code] => typeof entry[1] === "number")
        .map(([name, code]) => [name.replaceAll(/([a-z])([A-Z])/g, "$1_$2").toLowerCase(), code]),
);

/**
 * Converts any error to a Connect error whose code follows from the kind of the failure.
 *
 * @example
 * toConnectError(new Error("boom")).code; // Code.Internal
 */
export const toConnectError = (error: unknown): ConnectError => {
    if (error instanceof ConnectError) {
        return error;
    }
    const failure = failureOf(error);
    const value = {
        kind: failure.kind,
        message: failure.message,
        violations: (failure.violations ?? []).map(({ field, value: given, allowed }) => ({
            field,
            value: given,
            allowed,
        })),
        retryAfterMs: failure.retryAfterMs ?? 0,
        winningVersion: failure.winningVersion ?? 0,
        difference: failure.difference ?? "",
    };
    const code = codesByName.get(errorResponses[failure.kind].code) ?? Code.Internal;
    return new ConnectError(failure.message, code, undefined, [{ desc: FailureSchema, value }]);
};

/** Converts the errors of all calls with `toConnectError`. */
export const failureInterceptor: Interceptor = next => async request => {
    try {
        return await next(request);
    }
    catch (error) {
        throw toConnectError(error);
    }
};
