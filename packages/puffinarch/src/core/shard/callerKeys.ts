/** API keys of callers: who sends a request, as the configuration tells. Keys are held as digests only. */

import { createHash, timingSafeEqual } from "node:crypto";
import type { CellConfiguration, Queue } from "../../types/work.js";
import { die } from "../../utils/errors.js";

/** Tells callers apart by one version of the configuration. */
export interface CallerKeys {
    /**
     * Name of the organisation whose caller sends this key to a queue; empty for a caller without a key. Fails with
     * `unauthenticated` where the key is not known, or the queue asks for one and there is none.
     */
    organisationOf(queue: Queue, key: string | undefined): string;
}

/** Of a digest's hexadecimal digits, those by which its candidates are found. */
const bucketDigits = 8;

/**
 * Gives the digest by which a key is held and passed on.
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
 * Prepares the keys of a configuration. Where it names no organisations, no caller needs a key.
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

    /** How long a comparison takes tells nothing of how much of a digest was right. */
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
                return queue.isPublic === true ? "" : die("unauthenticated", "this queue asks for an API key");
            }
            return find(key) ?? die("unauthenticated", "the API key is not known");
        },
    };
};
