/** Tables and keys of a shard in the store. The part is the shard's name. */

/** Table of a shard's jobs; the part is the shard's name. */
export const journalTable = "puffinarch-journal";
/** Table of the jobs that have ended, which a successor need not read before it places the others. */
export const endedTable = "puffinarch-ended";
/** Table of the owners of shards. */
export const ownerTable = "puffinarch-owner";
/** Key of the owner's row in the shard's part. */
export const ownerKey = "owner";
/** Key of the row that orders commits. */
export const sequenceKey = "sequence";
/** Table of the VMs that have begun their upkeep; the key is the wave's number. */
export const upkeepTable = "puffinarch-upkeep";
