/** Tables and keys of a shard in the store. The part is the shard's name. */

/** Table of a shard's jobs; the part is the shard's name. */
export const journalTable = "puffinarch-journal";
/** Table of the jobs that have ended, which a successor need not read before it places the others. */
export const endedTable = "puffinarch-ended";
/** Table of the owners of shards. */
export const ownerTable = "puffinarch-owner";
/** Key of the owner's row in the shard's part. */
export const ownerKey = "owner";
/** Batches under way at once: a store that is 60 times slower takes 0.4 s for one. */
export const maxFlights = 6;
/** Key of the row that orders the batches of one place. */
export const sequenceKey = (place: number): string => `sequence/${place}`;
