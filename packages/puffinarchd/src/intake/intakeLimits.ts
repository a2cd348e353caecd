/** Limits of what callers may occupy in a process, derived from the memory and the descriptors of its VM. */

/** Resources of the process. */
export interface ProcessResources {
    /** Memory of the VM, in MB. */
    readonly memoryMb?: number | null | undefined;
    /** Most descriptors that the process may have open. */
    readonly maxFds?: number | null | undefined;
}

/** What all callers together may occupy. */
export interface IntakeLimits {
    /** Bytes of all bodies under way. */
    readonly bodyBytes: number;
    readonly connections: number;
}

/** Resources where the settings leave them out: those of a small VM, and the usual limit of a process. */
const defaultMemoryMb = 256;
const defaultMaxFds = 1_024;
const bytesPerMb = 1_000_000;
/** Bodies under way take at most this share of the memory; a daemon with its shard needs up to two thirds. */
const bodyShare = 1 / 8;
/** Share of the memory for connections of callers. */
const connectionShare = 1 / 8;
/** Memory of a connection with a head of the largest size that is not complete. */
const connectionBytes = 32 * 1_024;
/** Descriptors that the platform reserves for files, so that they are not available for sockets. */
const fileFds = 200;
/** Callers get at most this share of the other descriptors; the rest is for calls to the store, workers and peers. */
const callerFdShare = 1 / 2;

/**
 * Returns the limits for a process with these resources.
 *
 * @example
 * intakeLimitsOf({ memoryMb: 350, maxFds: 4_100 }).connections; // 1335
 */
export const intakeLimitsOf = ({ memoryMb, maxFds }: ProcessResources): IntakeLimits => {
    const memoryBytes = (memoryMb ?? defaultMemoryMb) * bytesPerMb;
    const socketFds = Math.max(2, (maxFds ?? defaultMaxFds) - fileFds);
    const byMemory = memoryBytes * connectionShare / connectionBytes;
    return {
        bodyBytes: Math.floor(memoryBytes * bodyShare),
        connections: Math.max(1, Math.floor(Math.min(byMemory, socketFds * callerFdShare))),
    };
};
