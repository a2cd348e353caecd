/** Rendezvous hashing: daemons with the same list of members assign a key to the same member without exchanging messages. */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Hashes text to an unsigned 32-bit integer (FNV-1a with a final mix).
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
 * Returns the member with the highest hash together with the key; undefined where there are no members.
 *
 * @example
 * pickMember("home-1", ["a"]); // "a"
 */
export const pickMember = (key: string, members: readonly string[]): string | undefined => {
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
