/** Decoders of the rows in which daemons register themselves, and of the row of a shard's owner. */

import { z } from "zod";
import type { KnownOwner, MemberRow, OwnerRow, Row } from "../../types/cellPorts.js";
import { type Decoded, decodeRow } from "../../utils/decode.js";

const text = z.string("a string").min(1, "a string that is not empty");
/** Daemons connect to each other over plain HTTP. */
const addressAllowed = "an address such as http://10.1.0.13:7720";

const memberSchema = z.object({
    memberId: text,
    address: z.string(addressAllowed).regex(/^[a-z0-9:/.-]+$/i, addressAllowed),
    dataCentre: text,
    incarnation: text,
    strength: z.number("a share").min(0, "0 or more").optional(),
});

const ownerSchema = memberSchema.extend({
    claimId: text,
    shortOffices: z.number("a number").int("a whole number").min(0, "0 or more").optional(),
});

/**
 * Decodes the row in which a daemon registered itself; its key must be the daemon's own id.
 *
 * @example
 * decodeMember(row).kind; // "entry"
 */
export const decodeMember = (row: Row): Decoded<MemberRow> => {
    const decoded = decodeRow(row, memberSchema);
    return decoded.kind === "entry" && decoded.entry.memberId !== row.key
        ? { kind: "unreadable", field: "memberId", reason: "it is not the key of the row" }
        : decoded;
};

/**
 * Decodes the row of a shard's owner.
 *
 * @example
 * decodeOwner(row).kind; // "entry"
 */
export const decodeOwner = (row: Row): Decoded<OwnerRow> => decodeRow(row, ownerSchema);

/** The row of an owner as a peer sends it; the placeholder of an unreadable row has no names. */
const knownOwnerSchema = z.object({
    row: z.union([ownerSchema, z.object({ memberId: z.literal("") })]),
    version: z.number("a version").int("a whole number").min(0, "0 or more"),
});

/**
 * Decodes the owner that a peer knows; undefined where the peer sent something else.
 *
 * @example
 * decodeKnownOwner({ row: { memberId: "entry-1" }, version: 7 }); // undefined
 */
export const decodeKnownOwner = (value: unknown): KnownOwner | undefined => {
    const { data } = knownOwnerSchema.safeParse(value);
    if (data === undefined) {
        return undefined;
    }
    const { row, version } = data;
    return "claimId" in row ? { row, version } : unreadableOwner(version);
};

/**
 * Returns a placeholder for an owner whose row cannot be decoded. Nothing answers at its address, so that a daemon claims the
 * shard on the version of the unreadable row; without that version no claim could ever succeed.
 *
 * @example
 * unreadableOwner(7).row.memberId; // ""
 */
export const unreadableOwner = (version: number): KnownOwner => ({
    row: { memberId: "", address: "http://0.0.0.0:0", dataCentre: "", incarnation: "", claimId: "" },
    version,
});
