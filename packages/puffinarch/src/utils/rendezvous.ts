/** Rendezvous hashing: all who know the same members pick the same one, without a message. */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Hashes text to 32 bits (FNV-1a with a final mix).
 *
 * @example
 * hash("leon-feria") === hash("leon-feria"); // true
 */
export const hash = (text: string): number => {
    let value = fnvOffset;
    for (let index = 0; index < text.length; index += 1) {
        value = Math.imul(value ^ text.charCodeAt(index), fnvPrime);
    }
    value ^= value >>> 16;
    value = Math.imul(value, 0x85ebca6b);
    return (value ^ (value >>> 13)) >>> 0;
};

/**
 * Picks the member that is responsible for a key; undefined without members.
 *
 * @example
 * pick("home-1", ["a"]); // "a"
 */
export const pick = (key: string, members: readonly string[]): string | undefined => {
    let best: string | undefined;
    let bestScore = -1;
    for (const member of members) {
        const score = hash(`${key}|${member}`);
        if (score > bestScore) {
            best = member;
            bestScore = score;
        }
    }
    return best;
};
