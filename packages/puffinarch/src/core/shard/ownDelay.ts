/** Extends the limits of calls by the time for which a busy process itself may hold up their requests and answers. */

/** Turns of the event loop that a call and its answer wait for; each lasts about as long as timers are late. */
const turnsPerCall = 2;

/**
 * Returns by how much the limit of a call is extended on a process whose timers fire `lagMs` late, in ms, at most `longestMs`.
 *
 * @example
 * ownDelayMs(100, 500); // 200
 */
export const ownDelayMs = (lagMs: number, longestMs: number): number => Math.min(longestMs, turnsPerCall * lagMs);
