/** Times after which refused callers are told to retry, by the cause of the refusal. */

import { hash } from "../../utils/rendezvous.js";

/** Range of a retry time, as factors on `ShardSettings.retryAfterMs`. */
interface RetryRange {
    readonly least: number;
    readonly most: number;
}

/**
 * Retry ranges by cause. Callers wait 3 s in total and read the `Retry-After` header in whole seconds, rounded up: a time above 1 s
 * leaves them one further attempt instead of two.
 *
 * - `noOwner`: a takeover takes 0.2 to 0.5 s, once the loss of the owner was noticed.
 * - `storeAway`: a store that has not answered for 0.6 s is mostly away for seconds, but a refusal costs the owner little.
 * - `ownerBusy`: only fewer requests help, so that the callers return later than in the other cases.
 */
const retryRanges = {
    noOwner: { least: 0.5, most: 0.75 },
    storeAway: { least: 0.75, most: 1 },
    ownerBusy: { least: 1, most: 1.5 },
} as const satisfies Readonly<Record<string, RetryRange>>;

/** Cause of a refusal, which decides when its caller is told to retry. */
export type RetryCause = keyof typeof retryRanges;

const hashRange = 2 ** 32;

/** Returns a number from `least` up to `most`; it depends only on the job ID, and is `least` without one. */
const spread = ({ least, most }: RetryRange, jobId: string): number =>
    least + (most - least) * (jobId === "" ? 0 : hash(jobId) / hashRange);

/**
 * Returns the time in ms after which a refused caller may retry. The hash of the job ID, where one is known, spreads it over the range
 * of the cause, so that callers which were refused together do not return together.
 *
 * @example
 * retryAfterFor("noOwner", 1_000); // 500
 */
export const retryAfterFor = (cause: RetryCause, baseMs: number, jobId = ""): number =>
    Math.round(baseMs * spread(retryRanges[cause], jobId));
