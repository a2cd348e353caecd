/** Calls to daemons: the endpoints are tried in turn until one answers. */

import type { DescService } from "@bufbuild/protobuf";
import { type Client, Code, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { FailureSchema } from "@puffinarch/schema";
import { die, type ErrorKind, errorOf, errorResponses, type Failure } from "puffinarch";
import type { CliSettings } from "./settings.js";

/** Runs a call of one service on the first endpoint that answers. */
export type Caller<S extends DescService> = <T>(call: (client: Client<S>) => Promise<T>) => Promise<T>;

const isKind = (kind: string): kind is ErrorKind => kind in errorResponses;

/**
 * Returns the failure that a daemon attached to its answer; undefined if the error does not come from a daemon.
 *
 * @example
 * failureFrom(new ConnectError("no", Code.Unavailable)); // undefined
 */
export const failureFrom = (error: ConnectError): Failure | undefined => {
    const [detail] = error.findDetails(FailureSchema);
    if (detail === undefined || !isKind(detail.kind)) {
        return undefined;
    }
    const { kind, message, violations, retryAfterMs, winningVersion, difference } = detail;
    return { kind, message, violations, retryAfterMs, winningVersion, difference };
};

/** Codes of errors without a daemon's answer after which the next endpoint is tried. */
const nextEndpointCodes: ReadonlySet<Code> = new Set([
    Code.Unavailable,
    Code.DeadlineExceeded,
    Code.Aborted,
    Code.Unknown,
    Code.Internal,
]);

/**
 * Creates the function that calls one service. The next endpoint is tried if a daemon does not answer, or answers with
 * `unavailable` or `notAccepted`; every other answer is final.
 *
 * @example
 * const jobs = createCaller(JobService, settings);
 * await jobs(client => client.getJob({ jobId: "load-in-7" }));
 */
export const createCaller = <S extends DescService>(service: S, settings: CliSettings): Caller<S> => async call => {
    const failures: string[] = [];
    for (const baseUrl of settings.endpoints) {
        const transport = createConnectTransport({ baseUrl, httpVersion: "1.1", defaultTimeoutMs: settings.timeoutMs });
        try {
            return await call(createClient(service, transport));
        }
        catch (error) {
            const connectError = ConnectError.from(error);
            const failure = failureFrom(connectError);
            if (failure !== undefined && failure.kind !== "unavailable" && failure.kind !== "notAccepted") {
                throw errorOf(failure);
            }
            if (failure === undefined && !nextEndpointCodes.has(connectError.code)) {
                throw errorOf({ kind: "internal", message: connectError.message });
            }
            failures.push(`${baseUrl}: ${failure?.message ?? connectError.rawMessage}`);
        }
    }
    return die("unavailable", `no endpoint answered; ${failures.join("; ")}`);
};
