/** Authenticates callers by the API keys in the configuration, which holds only digests of the keys. */

import { createHash, timingSafeEqual } from "node:crypto";
import type { CellConfiguration, Queue } from "../../types/work.js";
import { die } from "../../utils/errors.js";

/** Caller keys of one version of the configuration. */
export interface CallerKeys {
    /**
     * Returns the name of the organisation that the key belongs to; empty for a caller without a key. Fails with
     * `unauthenticated` where the key is unknown, or is missing and the queue requires one.
     */
    organisationOf(queue: Queue, key: string | undefined): string;
}

/** Leading hexadecimal digits of a digest that select its bucket. */
const bucketDigits = 8;

/**
 * Returns the hexadecimal SHA-256 digest under which a key is stored and transmitted.
 *
 * @example
 * digestKey("9m2jju7j").length; // 64
 */
export const digestKey = (key: string): string => createHash("sha256").update(key).digest("hex");

interface KnownKey {
    readonly digest: Buffer;
    readonly organisation: string;
}

const bucketOf = (digest: string): string => digest.slice(0, bucketDigits);

/**
 * Indexes the keys of a configuration. Without `organisations` no caller needs a key, and all belong to no organisation.
 *
 * @example
 * createCallerKeys(configuration).organisationOf(queue, "9m2jju7j"); // "north"
 */
export const createCallerKeys = ({ organisations }: Pick<CellConfiguration, "organisations">): CallerKeys => {
    const buckets = new Map<string, KnownKey[]>();
    for (const { name, keyDigests } of organisations ?? []) {
        for (const digest of keyDigests) {
            const known = { digest: Buffer.from(digest, "hex"), organisation: name };
            buckets.set(bucketOf(digest), [...buckets.get(bucketOf(digest)) ?? [], known]);
        }
    }

    /** Compares the digests of a bucket in constant time, so that the duration reveals no more than whether the bucket's digits matched. */
    const find = (key: string): string | undefined => {
        const hex = digestKey(key);
        const digest = Buffer.from(hex, "hex");
        return buckets.get(bucketOf(hex))?.find(known => timingSafeEqual(known.digest, digest))?.organisation;
    };

    return {
        organisationOf: (queue, key = "") => {
            if (organisations === undefined) {
                return "";
            }
            if (key === "") {
                return queue.isPublic === true ? "" : die("unauthenticated", "this queue requires an API key");
            }
            return find(key) ?? die("unauthenticated", "the API key is not known");
        },
    };
};
