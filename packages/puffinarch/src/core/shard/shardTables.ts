/** Tables and keys of a shard in the store; the part of each row is the shard's name. */

/** Table of a shard's jobs that have not ended, and of its sequence row. */
export const journalTable = "puffinarch-journal";
/** Table of the jobs that have ended, which a new owner need not read before it places the others. */
export const endedTable = "puffinarch-ended";
/** Table of the owners of shards. */
export const ownerTable = "puffinarch-owner";
/** Key of the owner's row in the shard's part. */
export const ownerKey = "owner";
/** Key of the sequence row: each commit expects its version and replaces it, which orders the commits. */
export const sequenceKey = "sequence";
/** Key of the row with the run times that an owner has learned. */
export const runTimesKey = "runTimes";
/** Table of the VMs whose upkeep has begun or may have been ordered; the key is the number of the wave. */
export const upkeepTable = "puffinarch-upkeep";
