/**
 * Claims on callers' request ids, so that a non-idempotent request runs at most once even when it is resent through
 * another daemon. A claim is a row that must not exist yet; many claims share a transaction.
 */

import type { Clock, Meter, TableStore } from "../types/ports.js";
import { errorOf } from "../utils/errors.js";
import { sleep } from "../utils/time.js";

/** A claim that holds. */
export interface RequestClaim {
    /** Gives the id free again, for a request that surely did not run; best effort while the table is out. */
    release(): Promise<void>;
}

/** Claims request ids in the table. */
export interface RequestClaims {
    /**
     * Resolves to the claim, or to undefined where the id was claimed before.
     * Rejects with `notRun` where the table does not answer in time; nothing may be run then.
     */
    claim(service: string, requestId: string): Promise<RequestClaim | undefined>;
}

/** What claims need. */
export interface RequestClaimsOptions {
    readonly table: TableStore;
    readonly clock: Clock;
    readonly meter: Meter;
    readonly sessionId: () => string;
    /** Claims that are not decided by then are rejected. */
    readonly timeoutMs: number;
    readonly maxPending: number;
}

interface Waiting {
    readonly key: string;
    readonly token: string;
    readonly giveUpAtMs: number;
    readonly resolve: (claim: RequestClaim | undefined) => void;
    readonly reject: (error: Error) => void;
}

interface ClaimValue {
    readonly token: string;
}

const claimsPerTransaction = 25;
const retryMs = 50;
const releaseTries = 5;

/**
 * Makes the claims of one daemon.
 *
 * @example
 * await claims.claim("claims-core", "payout-17"); // a claim the first time, undefined ever after
 */
export const createRequestClaims = (options: RequestClaimsOptions): RequestClaims => {
    const { table, clock, meter } = options;
    const waiting: Waiting[] = [];
    let sequence = 0;
    let running = false;

    const release = async (key: string, version: number): Promise<void> => {
        for (let left = releaseTries; left > 0; left -= 1) {
            const { outcome } = await table.transact({ conditions: [{ key, version }], puts: [], deletes: [key] });
            if (outcome === "committed" || outcome === "conflict") {
                return;
            }
            await sleep(clock, retryMs);
        }
        meter.count("requestClaimsLeft");
    };

    const claimOf = (key: string, version: number): RequestClaim => ({ release: () => release(key, version) });

    const giveUpLate = (batch: readonly Waiting[]): readonly Waiting[] =>
        batch.filter(each => {
            if (clock.monotonicMs() < each.giveUpAtMs) {
                return true;
            }
            each.reject(
                errorOf({
                    kind: "notRun",
                    message: "the request id could not be claimed in time",
                    retryAfterMs: 1_000,
                }),
            );
            return false;
        });

    /** Decides what the table can tell; the rest is returned to be tried again. */
    const readBack = async (batch: readonly Waiting[]): Promise<readonly Waiting[]> => {
        const rows = await table.read(batch.map(each => each.key)).catch(() => undefined);
        if (rows === undefined) {
            return batch;
        }
        const found = new Map(rows.map(row => [row.key, row]));
        return batch.filter(each => {
            const row = found.get(each.key);
            if (row === undefined) {
                return true;
            }
            const mine = (row.value as ClaimValue).token === each.token;
            each.resolve(mine ? claimOf(each.key, row.version) : undefined);
            return false;
        });
    };

    const decide = async (whole: readonly Waiting[]): Promise<void> => {
        let batch = giveUpLate(whole);
        while (batch.length > 0) {
            const result = await table.transact({
                conditions: batch.map(each => ({ key: each.key, version: "absent" as const })),
                puts: batch.map(each => ({ key: each.key, value: { token: each.token } satisfies ClaimValue })),
                deletes: [],
            });
            meter.count("requestClaimBatches");
            if (result.outcome === "committed") {
                for (const each of batch) {
                    each.resolve(claimOf(each.key, result.version));
                }
                return;
            }
            if (result.outcome !== "conflict") {
                await sleep(clock, retryMs);
            }
            batch = giveUpLate(result.outcome === "refused" ? batch : await readBack(batch));
        }
    };

    const takeBatch = (): readonly Waiting[] => {
        const batch: Waiting[] = [];
        const keys = new Set<string>();
        const later: Waiting[] = [];
        for (const each of waiting.splice(0)) {
            if (batch.length === claimsPerTransaction || keys.has(each.key)) {
                later.push(each);
                continue;
            }
            keys.add(each.key);
            batch.push(each);
        }
        waiting.push(...later);
        return batch;
    };

    const run = async (): Promise<void> => {
        running = true;
        await Promise.resolve();
        while (waiting.length > 0) {
            await decide(takeBatch());
        }
        running = false;
    };

    return {
        claim: (service, requestId) =>
            new Promise((resolve, reject) => {
                if (waiting.length >= options.maxPending) {
                    reject(errorOf({ kind: "overloaded", message: "too many request ids wait", retryAfterMs: 1_000 }));
                    return;
                }
                sequence += 1;
                waiting.push({
                    key: `request/${service}/${requestId}`,
                    token: `${options.sessionId()}.${sequence}`,
                    giveUpAtMs: clock.monotonicMs() + options.timeoutMs,
                    resolve,
                    reject,
                });
                if (!running) {
                    void run();
                }
            }),
    };
};
