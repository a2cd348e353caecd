/**
 * Claims on callers' request ids, so that a non-idempotent request runs at most once even when it is resent through
 * another daemon. A claim is a row that must not exist yet; many claims share a transaction.
 */

import type { Clock, Meter, TableStore } from "../types/ports.js";
import { errorOf } from "../utils/errors.js";
import { sleep } from "../utils/time.js";

/** A request id that was claimed. */
export interface RequestClaim {
    /** Releases the id of a request that did not run. Gives up after a few tries if the table fails; the id then stays claimed. */
    release(): Promise<void>;
}

/** Claims request ids in the table. */
export interface RequestClaims {
    /**
     * Resolves to the claim, or to undefined if the id was claimed before. Rejects with `notRun` if the table does not
     * decide in time, and with `overloaded` if too many claims are pending; the request must not be run then.
     */
    claim(service: string, requestId: string): Promise<RequestClaim | undefined>;
}

/** Options of `createRequestClaims`. */
export interface RequestClaimsOptions {
    readonly table: TableStore;
    readonly clock: Clock;
    readonly meter: Meter;
    readonly sessionId: () => string;
    /** Claims that are undecided after this time are rejected. */
    readonly timeoutMs: number;
    readonly maxPending: number;
}

interface PendingClaim {
    readonly key: string;
    readonly token: string;
    readonly giveUpAtMs: number;
    readonly resolve: (claim: RequestClaim | undefined) => void;
    readonly reject: (error: Error) => void;
}

interface ClaimValue {
    readonly token: string;
}

/** A transaction takes at most 25 rows. */
const claimsPerTransaction = 25;
const retryMs = 50;
const releaseTries = 5;

/**
 * Creates the request claims of one daemon.
 *
 * @example
 * await claims.claim("claims-core", "payout-17"); // a claim the first time, undefined ever after
 */
export const createRequestClaims = (options: RequestClaimsOptions): RequestClaims => {
    const { table, clock, meter } = options;
    const pending: PendingClaim[] = [];
    let sequence = 0;
    let running = false;

    const release = async (key: string, version: number): Promise<void> => {
        for (let triesLeft = releaseTries; triesLeft > 0; triesLeft -= 1) {
            const { outcome } = await table.transact({ conditions: [{ key, version }], puts: [], deletes: [key] });
            if (outcome === "committed" || outcome === "conflict") {
                return;
            }
            await sleep(clock, retryMs);
        }
        meter.count("requestClaimsLeft");
    };

    const claimOf = (key: string, version: number): RequestClaim => ({ release: () => release(key, version) });

    const rejectExpired = (batch: readonly PendingClaim[]): readonly PendingClaim[] =>
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

    /** Resolves the claims whose row exists, by the token in it; returns the others for another try. */
    const resolveExisting = async (batch: readonly PendingClaim[]): Promise<readonly PendingClaim[]> => {
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
            const isOwn = (row.value as ClaimValue).token === each.token;
            each.resolve(isOwn ? claimOf(each.key, row.version) : undefined);
            return false;
        });
    };

    const commitClaims = async (claims: readonly PendingClaim[]): Promise<void> => {
        let batch = rejectExpired(claims);
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
            batch = rejectExpired(result.outcome === "refused" ? batch : await resolveExisting(batch));
        }
    };

    const takeBatch = (): readonly PendingClaim[] => {
        const batch: PendingClaim[] = [];
        const keys = new Set<string>();
        const deferred: PendingClaim[] = [];
        for (const each of pending.splice(0)) {
            if (batch.length === claimsPerTransaction || keys.has(each.key)) {
                deferred.push(each);
                continue;
            }
            keys.add(each.key);
            batch.push(each);
        }
        pending.push(...deferred);
        return batch;
    };

    const run = async (): Promise<void> => {
        running = true;
        await Promise.resolve();
        while (pending.length > 0) {
            await commitClaims(takeBatch());
        }
        running = false;
    };

    return {
        claim: (service, requestId) =>
            new Promise((resolve, reject) => {
                if (pending.length >= options.maxPending) {
                    reject(
                        errorOf({
                            kind: "overloaded",
                            message: "too many request ids wait to be claimed",
                            retryAfterMs: 1_000,
                        }),
                    );
                    return;
                }
                sequence += 1;
                pending.push({
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
