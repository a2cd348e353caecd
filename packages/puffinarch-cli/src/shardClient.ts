/** Operators' queries to the metrics servers of daemons: one after the other is asked until one answers as the owner of the shard. */

import { die, type ErrorKind, errorOf, errorResponses, failureOf } from "puffinarch";
import { z } from "zod";

/** Addresses to ask, and the time limit of each call. */
export interface ShardClientOptions {
    readonly addresses: readonly string[];
    readonly timeoutMs: number;
}

const isKind = (kind: string): kind is ErrorKind => kind in errorResponses;

const failureSchema = z.object({
    error: z.string().refine(isKind),
    reason: z.string(),
    violations: z.array(z.object({ field: z.string(), value: z.string(), allowed: z.string() })).optional(),
    retry_after_ms: z.number().optional(),
    owner: z.object({ id: z.string(), address: z.string() }).optional(),
});

const okStatus = 200;

/** Asks one daemon; fails with the kind of its answer, or with `unavailable` where it gives none that can be read. */
const askOne = async <T>(url: string, schema: z.ZodType<T>, timeoutMs: number): Promise<T> => {
    let status: number;
    let body: unknown;
    try {
        const response = await fetch(url, { signal: AbortSignal.timeout(timeoutMs) });
        status = response.status;
        body = await response.json();
    }
    catch (error) {
        return die("unavailable", error instanceof Error ? error.message : "no answer", {}, error);
    }
    const answer = schema.safeParse(body);
    if (status === okStatus && answer.success) {
        return answer.data;
    }
    const refusal = failureSchema.safeParse(body);
    if (status === okStatus || !refusal.success) {
        return die("unavailable", `status ${status} with an answer that cannot be read`);
    }
    const { error: kind, reason, violations, retry_after_ms: retryAfterMs, owner } = refusal.data;
    const ownerText = owner === undefined ? "" : `; the owner is ${owner.id} at ${owner.address}`;
    throw errorOf({
        kind,
        message: `${reason}${ownerText}`,
        ...(violations === undefined ? {} : { violations }),
        ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    });
};

/**
 * Asks daemons in turn until one answers as the owner. Fails with the kind of the owner's answer, or with `unavailable` and what each
 * daemon answered.
 *
 * @example
 * await askOwner("/shard/speeds", schema, { addresses: ["http://127.0.0.1:9464"], timeoutMs: 10_000 });
 */
export const askOwner = async <T>(
    path: string,
    schema: z.ZodType<T>,
    { addresses, timeoutMs }: ShardClientOptions,
): Promise<T> => {
    const failures: string[] = [];
    for (const address of addresses) {
        try {
            return await askOne(`${address}${path}`, schema, timeoutMs);
        }
        catch (error) {
            const failure = failureOf(error);
            if (failure.kind !== "unavailable") {
                throw error;
            }
            failures.push(`${address}: ${failure.message}`);
        }
    }
    return die("unavailable", `no daemon answered as the owner of the shard; ${failures.join("; ")}`);
};
